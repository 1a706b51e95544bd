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
	limits    store.Limits

	// inFlightSince is the time at which the append in progress was first sent,
	// in Unix nanoseconds, or 0 if none is in progress.
	inFlightSince atomic.Int64

	mu     sync.Mutex
	queue  []cell.WriteBatch
	wakeup chan struct{}

	// onStored is called when all writes up to number are stored but for the records
	// of keptBack, which took the given time. onKeptBack is called for each of these
	// records before. onFatalError is called when no further
	// write can be stored in this term. Both are called from the writer's
	// goroutine. onRetry is called with the error of each failed append or read
	// that is going to be retried.
	onStored     func(number uint64, keptBack []cell.RecordOwner, took time.Duration)
	onKeptBack   func(record store.Record, err error)
	onFatalError func(err error)
	onRetry      func(err error)
}

func newWriter(log store.Log, number int, epoch int64) *writer {
	return &writer{
		log:       log,
		partition: store.Partition{Topic: cellTopic, Part: number},
		producer:  store.Writer{Producer: "leader", Epoch: epoch},
		limits:    store.DefaultLimits,
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
			batch, err := w.takeBatch()
			if err != nil {
				w.onFatalError(err)
				return
			}
			if batch.last == 0 {
				break
			}
			start := time.Now()
			if err := w.appendBatch(ctx, &batch); err != nil {
				if ctx.Err() == nil {
					w.onFatalError(err)
				}
				return
			}
			w.onStored(batch.last, batch.keptBack, time.Since(start))
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

// batch is a number of writes that are stored together.
type batch struct {
	records []store.Record
	// last is the number of the last write, or 0 if there is none.
	last uint64
	// keptBack lists the owners of the records that the log does not take.
	keptBack []cell.RecordOwner
}

// takeBatch removes writes from the queue until they fill an append or the queue is
// empty.
func (w *writer) takeBatch() (batch, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var taken batch
	for len(w.queue) > 0 && len(taken.records) < maxRecordsPerAppend && w.limits.FittingRecords(taken.records) == len(taken.records) {
		records, tooLarge, err := cellcodec.EncodeWriteBatch(w.queue[0], w.limits)
		if err != nil {
			return batch{}, err
		}
		for _, record := range tooLarge {
			w.keepBack(&taken, record, w.limits.Check(record))
		}
		taken.records = append(taken.records, records...)
		taken.last = w.queue[0].Number
		w.queue = w.queue[1:]
	}
	return taken, nil
}

// keepBack leaves a record out of a batch.
func (w *writer) keepBack(b *batch, record store.Record, err error) {
	w.onKeptBack(record, err)
	b.keptBack = append(b.keptBack, cellcodec.OwnerOf(record))
}

// appendBatch appends the records of a batch, in several appends if they are too large
// for one.
func (w *writer) appendBatch(ctx context.Context, b *batch) error {
	rest := b.records
	for len(rest) > 0 {
		count := max(1, w.limits.FittingRecords(rest))
		if err := w.appendDivided(ctx, b, rest[:count]); err != nil {
			return err
		}
		rest = rest[count:]
	}
	return nil
}

// appendDivided appends records. If the log refuses them for what they contain, each
// half is appended by itself, so that only the record at fault is kept back.
func (w *writer) appendDivided(ctx context.Context, b *batch, records []store.Record) error {
	err := w.appendUntilResolved(ctx, records)
	switch {
	case !isContentError(err):
		return err
	case len(records) == 1:
		w.keepBack(b, records[0], err)
		return nil
	}
	middle := len(records) / 2
	if err := w.appendDivided(ctx, b, records[:middle]); err != nil {
		return err
	}
	return w.appendDivided(ctx, b, records[middle:])
}

// appendUntilResolved repeats an append under the same sequence number until its
// outcome is known. The error is of kind Fenced, shows that the log refuses the records,
// or is that of ctx.
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
		if isContentError(err) {
			return err
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
			if err == nil || isFinalError(err) || isContentError(err) || unanswered == 0 {
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

// isFinalError reports whether an error shows that no append of the term will be
// executed any more.
func isFinalError(err error) bool {
	reason := store.ReasonOf(err)
	return reason == store.Fenced || reason == store.OutOfSequence
}

// isContentError reports whether an error shows that the log takes no append of these
// records, whoever sends it.
func isContentError(err error) bool {
	reason := store.ReasonOf(err)
	return reason == store.TooLarge || reason == store.Rejected
}
