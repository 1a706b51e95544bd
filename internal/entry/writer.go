package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/cell"
)

const (
	// cellTopic is the topic that holds the records of the cells, one partition
	// per cell.
	cellTopic = "cells"
	// maxRecordsPerAppend is the number of records at which an append takes no
	// further write.
	maxRecordsPerAppend = 1000
	// appendRetryPause is the pause before a failed append is repeated.
	appendRetryPause = 100 * time.Millisecond
)

// writer appends the writes of one term to the log in order. Appends of earlier
// terms fail once fence has returned.
type writer struct {
	log       store.Log
	partition store.Partition
	producer  store.Writer

	// inFlightSince is the time at which the append in progress was first sent,
	// in Unix nanoseconds, or 0 if none is in progress.
	inFlightSince atomic.Int64

	mu     sync.Mutex
	queue  []cell.WriteBatch
	wakeup chan struct{}

	// onStored is called after each append: all writes up to number are stored,
	// and the append took the given time. onFatalError is called when no further
	// write can be stored in this term. Both are called from the writer's
	// goroutine. onRetry is called with the error of each failed append or read
	// that is going to be retried.
	onStored     func(number uint64, took time.Duration)
	onFatalError func(err error)
	onRetry      func(err error)
}

func newWriter(log store.Log, number int, epoch int64) *writer {
	return &writer{
		log:       log,
		partition: store.Partition{Topic: cellTopic, Part: number},
		producer:  store.Writer{Producer: "leader", Epoch: epoch},
		wakeup:    make(chan struct{}, 1),
	}
}

// fence appends an empty batch, after which the log refuses the appends of earlier
// terms.
func (w *writer) fence(ctx context.Context) error {
	return w.appendUntilResolved(ctx, nil)
}

// stalledAppendAge is the age of the append in progress above which new jobs and
// cancellations are refused, since they could not be stored in time.
const stalledAppendAge = 500 * time.Millisecond

// stalled reports whether the append in progress is older than stalledAppendAge.
func (w *writer) stalled() bool {
	start := w.inFlightSince.Load()
	return start != 0 && time.Since(time.Unix(0, start)) > stalledAppendAge
}

// add queues a write. It does not wait for the log.
func (w *writer) add(write cell.WriteBatch) {
	w.mu.Lock()
	w.queue = append(w.queue, write)
	w.mu.Unlock()
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// run appends the queued writes until ctx ends, the term is fenced or a write can't
// be encoded.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-w.wakeup:
		case <-ctx.Done():
			return
		}
		for {
			w.waitForBatch(ctx)
			records, last, err := w.takeBatch()
			if err != nil {
				w.onFatalError(err)
				return
			}
			if last == 0 {
				break
			}
			start := time.Now()
			if err := w.appendUntilResolved(ctx, records); err != nil {
				if ctx.Err() == nil {
					w.onFatalError(err)
				}
				return
			}
			w.onStored(last, time.Since(start))
		}
	}
}

// batchDelay is how long writes that no caller waits for are collected into one
// append. Each append is charged for and takes the log a millisecond.
const batchDelay = 25 * time.Millisecond

// waitForBatch waits up to batchDelay for more writes, unless a caller waits for one
// of those that are queued.
func (w *writer) waitForBatch(ctx context.Context) {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for w.onlyDeferrableWrites() {
		select {
		case <-w.wakeup:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// onlyDeferrableWrites reports whether writes are queued and no caller waits for any
// of them.
func (w *writer) onlyDeferrableWrites() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > 0 && !slices.ContainsFunc(w.queue, func(write cell.WriteBatch) bool { return write.Urgent })
}

// takeBatch removes writes from the queue until they have at least
// maxRecordsPerAppend records or the queue is empty. It returns their records and
// the number of the last write, or 0 if the queue was empty.
func (w *writer) takeBatch() (records []store.Record, last uint64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) > 0 && len(records) < maxRecordsPerAppend {
		encoded, err := cellcodec.EncodeWriteBatch(w.queue[0])
		if err != nil {
			return nil, 0, err
		}
		records = append(records, encoded...)
		last = w.queue[0].Number
		w.queue = w.queue[1:]
	}
	return records, last, nil
}

// appendUntilResolved repeats an append under the same sequence number until its
// outcome is known. The error has reason Fenced, or is that of ctx.
func (w *writer) appendUntilResolved(ctx context.Context, records []store.Record) error {
	if len(records) == 0 && w.producer.Sequence > 0 {
		return nil
	}
	w.inFlightSince.Store(time.Now().UnixNano())
	defer w.inFlightSince.Store(0)
	for {
		err := w.sendUntilAnswered(ctx, records)
		if err == nil {
			w.producer.Sequence++
			return nil
		}
		if isFinalError(err) {
			return fault.Wrap(fault.Fenced, err, "appending with sequence number %d in epoch %d", w.producer.Sequence, w.producer.Epoch)
		}
		w.onRetry(err)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep(ctx, appendRetryPause)
	}
}

// sendUntilAnswered sends an append and, as long as no reply arrives, sends it again
// under the same sequence number on another connection. If a reply was lost, the log
// returns it for any duplicate; if the log was unresponsive, it answers the first
// duplicate that is sent after it is back. The error is that of the last reply.
func (w *writer) sendUntilAnswered(ctx context.Context, records []store.Record) error {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	results := make(chan error, 1+int(logCallTimeout/resendDelay))
	unanswered := 0
	send := func() {
		unanswered++
		producer := w.producer
		go func() {
			_, err := w.log.Append(ctx, w.partition, records, store.Condition{Writer: &producer})
			results <- err
		}()
	}
	send()
	resendTicker := time.NewTicker(resendDelay)
	defer resendTicker.Stop()
	for {
		select {
		case err := <-results:
			unanswered--
			if err == nil || isFinalError(err) || unanswered == 0 {
				return err
			}
		case <-resendTicker.C:
			if ctx.Err() == nil {
				send()
			}
		}
	}
}

// resendDelay is the time without a reply after which an append is sent again. The
// log replies within 4 ms, and within 65 ms to another region.
const resendDelay = 250 * time.Millisecond

// isFinalError reports whether an error shows that the append was not executed and
// never will be.
func isFinalError(err error) bool {
	switch store.ReasonOf(err) {
	case store.Fenced, store.Rejected, store.OutOfSequence:
		return true
	default:
		return false
	}
}
