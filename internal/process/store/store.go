// Package store is what the product needs of the platform's log: appends that
// a later writer can fence off, and topics that keep the newest record of each
// key.
//
// Nothing that Append acknowledged is lost. Records are kept
// until a later record of the same key; an empty value removes the key.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Partition names one sequence of records.
type Partition struct {
	Topic string
	Part  int
}

// Record is one entry.
type Record struct {
	Key   string
	Value []byte
	// Offset is set by reads.
	Offset int64
}

// Writer identifies a sequence of appends by one producer. Appends of a lower
// epoch than the highest that the partition has seen fail with Fenced.
type Writer struct {
	Producer string
	Epoch    int64
	// Sequence rises by one with each append of an epoch. A repeat of a recent
	// append returns what the first one returned.
	Sequence int64
}

// Condition restricts an append. The zero value restricts nothing.
type Condition struct {
	// Writer is nil for an append without a producer.
	Writer *Writer
	// End is the offset at which the partition must end; nil means any.
	End *int64
}

// Batch is what a read returned.
type Batch struct {
	Records []Record
	// Next is the offset to go on with, End the end of the partition.
	Next int64
	End  int64
}

// Log is the platform's log. All methods return an *Error on failure.
type Log interface {
	// Append adds all records or none and returns the offset of the first.
	Append(ctx context.Context, to Partition, records []Record, when Condition) (offset int64, err error)
	// Read returns records from an offset on, and waits up to wait for one.
	Read(ctx context.Context, from Partition, offset int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of every key and the end of the
	// partition before the first of them was read.
	Newest(ctx context.Context, from Partition) (records []Record, end int64, err error)
}

// Reason says why a call failed.
type Reason string

const (
	// Unanswered means that the call may have been or may yet be carried out.
	Unanswered Reason = "unanswered"
	// Unavailable means that nothing was done.
	Unavailable Reason = "unavailable"
	// RateLimited means that nothing was done because all clients together call
	// too often.
	RateLimited Reason = "rate_limited"
	// Fenced means that a writer with a higher epoch has taken over.
	Fenced Reason = "fenced"
	// OutOfSequence means that the sequence isn't the next one.
	OutOfSequence Reason = "out_of_sequence"
	// Moved means that the partition doesn't end where the condition says.
	Moved Reason = "moved"
	// Expired means that the records asked for are no longer kept.
	Expired Reason = "expired"
	// Rejected means that the call itself is not acceptable.
	Rejected Reason = "rejected"
)

// Error is the failure of a call to the log.
type Error struct {
	Reason Reason
	Detail string
	// Expected is the next sequence with OutOfSequence, the end of the
	// partition with Moved, and the oldest offset kept with Expired.
	Expected int64
	Cause    error
}

func (e *Error) Error() string {
	text := fmt.Sprintf("log call %s: %s", e.Reason, e.Detail)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

func (e *Error) Unwrap() error { return e.Cause }

// ReasonOf returns why a call failed, and Unanswered for errors of other
// types, since they prove nothing.
func ReasonOf(err error) Reason {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return Unanswered
}
