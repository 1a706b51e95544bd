// Package store defines the interface to the platform's log. The log offers
// conditional appends, by which a newer writer fences off an older one, and
// compacted topics, which keep the newest record of each key.
//
// A record whose append was acknowledged is never lost. It is kept until a
// later record with the same key replaces it; an empty value deletes the key.
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Partition identifies one ordered sequence of records: a part of a topic.
type Partition struct {
	Topic string
	Part  int
}

// Record is one entry of a partition.
type Record struct {
	Key   string
	Value []byte
	// Offset is the position of the record in its partition. Read and Newest
	// set it; Append ignores it.
	Offset int64
	// Err is set by Read and Newest on a record that can't be taken apart. The record
	// then has no value, and no key if that can't be read either.
	Err error
}

// Writer identifies a sequence of appends by one producer. An append with a
// lower epoch than the highest that the partition has seen fails with Fenced.
type Writer struct {
	Producer string
	Epoch    int64
	// Sequence increases by one with each append of an epoch. An append that
	// repeats a recent sequence number is not added again and returns the
	// result of the first.
	Sequence int64
}

// Condition states what must hold for an append to be carried out. The zero
// value always holds.
type Condition struct {
	// Writer is the producer, epoch and sequence of the append, or nil for an
	// append without a producer, which is neither fenced nor deduplicated.
	Writer *Writer
	// EndOffset is the offset at which the partition must end, or nil for any
	// offset.
	EndOffset *int64
}

// Batch is the result of a read.
type Batch struct {
	Records []Record
	// NextOffset is the offset from which the next read continues. EndOffset is
	// the offset after the last record of the partition.
	NextOffset int64
	EndOffset  int64
}

// Log is a client of the platform's log. All methods return an *Error on
// failure.
type Log interface {
	// Append adds either all records or none if the condition holds. It returns
	// the offset of the first record.
	Append(ctx context.Context, to Partition, records []Record, when Condition) (offset int64, err error)
	// Read returns records from offset on. If there are none yet, it waits up
	// to wait for one.
	Read(ctx context.Context, from Partition, offset int64, wait time.Duration) (Batch, error)
	// Newest returns the newest record of each key, and the end of the partition
	// as it was before the first record was read. A later Read from end on
	// therefore misses no record.
	Newest(ctx context.Context, from Partition) (records []Record, end int64, err error)
}

// PageReader is a Log that passes on the newest records as they arrive.
type PageReader interface {
	// VisitNewest is like Log.Newest and passes the records to visit, a page at a time. It stops
	// at an error of visit and returns it.
	VisitNewest(ctx context.Context, from Partition, visit func(page []Record) error) (end int64, err error)
}

// VisitNewest passes the newest record of each key to visit, a page at a time if the log reads
// pages. If it fails, visit may have been called for a part of the records.
func VisitNewest(ctx context.Context, log Log, from Partition, visit func(page []Record) error) (end int64, err error) {
	if reader, ok := log.(PageReader); ok {
		return reader.VisitNewest(ctx, from, visit)
	}
	records, end, err := log.Newest(ctx, from)
	if err != nil {
		return 0, err
	}
	return end, visit(records)
}

// Reason is the class of a failed call to the log.
type Reason string

const (
	// Unanswered means that no usable answer arrived: the call may have been
	// carried out, or may still be.
	Unanswered Reason = "unanswered"
	// Unavailable means that the log could not serve the call and did nothing.
	Unavailable Reason = "unavailable"
	// RateLimited means that the log did nothing, because all clients together
	// exceed its rate limit.
	RateLimited Reason = "rate_limited"
	// Fenced means that a writer with a higher epoch has taken over.
	Fenced Reason = "fenced"
	// OutOfSequence means that Writer.Sequence is not the next number of its
	// epoch.
	OutOfSequence Reason = "out_of_sequence"
	// EndMismatch means that the partition does not end at Condition.EndOffset.
	EndMismatch Reason = "moved"
	// Expired means that the requested records are no longer kept, or that the
	// partition ends before them.
	Expired Reason = "expired"
	// TooLarge means that a record, a key or the records of one call exceed the
	// limits of the log, and that it did nothing.
	TooLarge Reason = "too_large"
	// Rejected means that the call itself is invalid.
	Rejected Reason = "rejected"
)

// Error describes a failed call to the log.
type Error struct {
	Reason Reason
	Detail string
	// Expected is the next sequence number if Reason is OutOfSequence, the end
	// of the partition if it is EndMismatch, and the oldest kept offset if it is
	// Expired.
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

// ReasonOf returns the reason of the *Error inside err. It returns Unanswered
// for any other error, because such an error does not prove that the call was
// not carried out.
func ReasonOf(err error) Reason {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return Unanswered
}
