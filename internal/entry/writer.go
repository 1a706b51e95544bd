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
	// cellTopic holds the records of the cells, one partition each.
	cellTopic = "cells"
	// maxBatchRecords bounds one append.
	maxBatchRecords = 1000
	// writePause is the pause before an append is repeated.
	writePause = 100 * time.Millisecond
)

// writer appends the writes of one term in order. Appends of an earlier term
// fail once fence has returned.
type writer struct {
	log       store.Log
	partition store.Partition
	producer  store.Writer

	// began is when the append that is under way was first sent, in Unix
	// nanoseconds; 0 if there is none.
	began atomic.Int64

	mu     sync.Mutex
	queue  []cell.Write
	wakeup chan struct{}

	// stored and lost are called from the writer's goroutine.
	stored func(number uint64, took time.Duration)
	lost   func(err error)
	failed func(err error)
}

func newWriter(log store.Log, number int, epoch int64) *writer {
	return &writer{
		log:       log,
		partition: store.Partition{Topic: cellTopic, Part: number},
		producer:  store.Writer{Producer: "leader", Epoch: epoch},
		wakeup:    make(chan struct{}, 1),
	}
}

// fence makes the log refuse the appends of earlier terms.
func (w *writer) fence(ctx context.Context) error {
	return w.append(ctx, nil)
}

// stalledWrite is the age of an append from which new work is refused: it
// could not be stored in time.
const stalledWrite = 500 * time.Millisecond

// stalled says whether the log has not taken what was sent for some time.
func (w *writer) stalled() bool {
	began := w.began.Load()
	return began != 0 && time.Since(time.Unix(0, began)) > stalledWrite
}

// add hands over a write. It never blocks.
func (w *writer) add(write cell.Write) {
	w.mu.Lock()
	w.queue = append(w.queue, write)
	w.mu.Unlock()
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// run appends until ctx ends or the term is fenced off.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-w.wakeup:
		case <-ctx.Done():
			return
		}
		for {
			w.gather(ctx)
			records, last, err := w.take()
			if err != nil {
				w.lost(err)
				return
			}
			if last == 0 {
				break
			}
			began := time.Now()
			if err := w.append(ctx, records); err != nil {
				if ctx.Err() == nil {
					w.lost(err)
				}
				return
			}
			w.stored(last, time.Since(began))
		}
	}
}

// gatherTime is how long writes that no caller waits for are gathered into one
// append. Each append is paid for, and takes the log a millisecond.
const gatherTime = 25 * time.Millisecond

// gather waits for more writes, unless a caller waits for one.
func (w *writer) gather(ctx context.Context) {
	timer := time.NewTimer(gatherTime)
	defer timer.Stop()
	for w.patient() {
		select {
		case <-w.wakeup:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// patient says whether writes wait, none of them for a caller.
func (w *writer) patient() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.queue) > 0 && !slices.ContainsFunc(w.queue, func(write cell.Write) bool { return write.Urgent })
}

// take returns the records of the writes that wait and the number of the last.
func (w *writer) take() (records []store.Record, last uint64, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.queue) > 0 && len(records) < maxBatchRecords {
		encoded, err := cellcodec.EncodeWrite(w.queue[0])
		if err != nil {
			return nil, 0, err
		}
		records = append(records, encoded...)
		last = w.queue[0].Number
		w.queue = w.queue[1:]
	}
	return records, last, nil
}

// append repeats an append under the same sequence until its outcome is known.
// The error is of reason Fenced, or that of ctx.
func (w *writer) append(ctx context.Context, records []store.Record) error {
	if len(records) == 0 && w.producer.Sequence > 0 {
		return nil
	}
	w.began.Store(time.Now().UnixNano())
	defer w.began.Store(0)
	for {
		err := w.attempt(ctx, records)
		if err == nil {
			w.producer.Sequence++
			return nil
		}
		if settled(err) {
			return fault.Wrap(fault.Fenced, err, "append %d of epoch %d", w.producer.Sequence, w.producer.Epoch)
		}
		w.failed(err)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep(ctx, writePause)
	}
}

// attempt sends an append, and again under the same sequence on another
// connection while no answer comes: a lost answer is given again to any copy,
// and a log that was silent answers the first copy sent after its return. The
// error is that of the last copy.
func (w *writer) attempt(ctx context.Context, records []store.Record) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	results := make(chan error, 1+int(callTimeout/copyPause))
	pending := 0
	send := func() {
		pending++
		producer := w.producer
		go func() {
			_, err := w.log.Append(ctx, w.partition, records, store.Condition{Writer: &producer})
			results <- err
		}()
	}
	send()
	copies := time.NewTicker(copyPause)
	defer copies.Stop()
	for {
		select {
		case err := <-results:
			pending--
			if err == nil || settled(err) || pending == 0 {
				return err
			}
		case <-copies.C:
			if ctx.Err() == nil {
				send()
			}
		}
	}
}

// copyPause is the time without an answer after which an append is sent again.
// The log answers within 4 ms, and within 65 ms from another region.
const copyPause = 250 * time.Millisecond

// settled says whether an error shows that the append has not been and never
// will be done.
func settled(err error) bool {
	switch store.ReasonOf(err) {
	case store.Fenced, store.Rejected, store.OutOfSequence:
		return true
	default:
		return false
	}
}
