// Package answer puts an answer together from its frames.
//
// An answer is whole only when its last frame has arrived and the number of
// bytes equals the total that its head states. Everything else is AnswerCut.
package answer

import (
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/work"
)

// MaxBytes bounds the body of one answer.
const MaxBytes = 16 << 20

// Assembly is one answer under construction. The zero value waits for a head.
type Assembly struct {
	answer  work.Answer
	total   int64
	next    uint32
	started bool
	whole   bool
}

// Head states the answer without its body and the body's length in bytes. A
// repeated head changes nothing.
func (a *Assembly) Head(head work.Answer, total int64) error {
	if a.started {
		return nil
	}
	if total < 0 || total > MaxBytes {
		return fault.New(fault.AnswerCut, "stated length of %d bytes", total)
	}
	a.answer = head
	a.answer.Body = nil
	a.total = total
	a.started = true
	return nil
}

// Frame adds a part of the body and reports whether the answer is whole. A
// repeated frame changes nothing. A frame after a gap, or before the head, cuts
// the answer, because a link that keeps order can't have delivered it.
func (a *Assembly) Frame(index uint32, data []byte, last bool) (bool, error) {
	if !a.started {
		return false, fault.New(fault.AnswerCut, "frame %d before the head", index)
	}
	if index < a.next {
		return a.whole, nil
	}
	if index > a.next || a.whole {
		return false, fault.New(fault.AnswerCut, "frame %d instead of %d", index, a.next)
	}
	if a.Taken()+int64(len(data)) > a.total {
		return false, fault.New(fault.AnswerCut, "more than %d bytes", a.total)
	}
	a.next++
	a.answer.Body = append(a.answer.Body, data...)
	if !last {
		return false, nil
	}
	if a.Taken() != a.total {
		return false, fault.New(fault.AnswerCut, "%d of %d bytes", a.Taken(), a.total)
	}
	a.whole = true
	return true, nil
}

// Taken returns the number of bytes of the body so far.
func (a *Assembly) Taken() int64 {
	return int64(len(a.answer.Body))
}

// Answer returns the answer. It is complete only after Frame has reported so.
func (a *Assembly) Answer() work.Answer {
	return a.answer
}
