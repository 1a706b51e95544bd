// Package answer assembles an answer from its frames.
//
// An answer is complete only if its last frame has arrived and the number of
// bytes equals the length that its head states. Everything else is
// AnswerIncomplete.
package answer

import (
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/work"
)

// MaxBytes is the maximum size of the body of one answer.
const MaxBytes = 16 << 20

// Assembly is an answer that is being received. The zero value is ready for the
// head.
type Assembly struct {
	answer    work.Answer
	total     int64
	nextFrame uint32
	hasHead   bool
	complete  bool
}

// SetHead sets the answer without its body, and the length of the body in
// bytes. It returns AnswerIncomplete for a length below 0 or above MaxBytes. A
// repeated head changes nothing.
func (a *Assembly) SetHead(head work.Answer, total int64) error {
	if a.hasHead {
		return nil
	}
	if total < 0 || total > MaxBytes {
		return fault.New(fault.AnswerIncomplete, "answer head states a body of %d bytes, which is negative or above answer.MaxBytes", total)
	}
	a.answer = head
	a.answer.Body = nil
	a.total = total
	a.hasHead = true
	return nil
}

// AddFrame adds a part of the body and reports whether the answer is complete.
// A repeated frame changes nothing. AddFrame returns AnswerIncomplete for a
// frame before the head or after a gap, since a link that keeps the order
// cannot have delivered it. It also does so for a body that exceeds the stated
// length, or whose last frame leaves it shorter.
func (a *Assembly) AddFrame(index uint32, data []byte, last bool) (bool, error) {
	if !a.hasHead {
		return false, fault.New(fault.AnswerIncomplete, "answer frame %d arrived before the head", index)
	}
	if index < a.nextFrame {
		return a.complete, nil
	}
	if index > a.nextFrame || a.complete {
		return false, fault.New(fault.AnswerIncomplete, "answer frame %d arrived where frame %d was expected", index, a.nextFrame)
	}
	if a.ReceivedBytes()+int64(len(data)) > a.total {
		return false, fault.New(fault.AnswerIncomplete, "answer body exceeds its stated length of %d bytes", a.total)
	}
	a.nextFrame++
	a.answer.Body = append(a.answer.Body, data...)
	if !last {
		return false, nil
	}
	if a.ReceivedBytes() != a.total {
		return false, fault.New(fault.AnswerIncomplete, "answer body ended after %d of %d bytes", a.ReceivedBytes(), a.total)
	}
	a.complete = true
	return true, nil
}

// ReceivedBytes returns the number of body bytes received so far.
func (a *Assembly) ReceivedBytes() int64 {
	return int64(len(a.answer.Body))
}

// Answer returns the answer as received so far. It is complete only after
// AddFrame has reported that.
func (a *Assembly) Answer() work.Answer {
	return a.answer
}
