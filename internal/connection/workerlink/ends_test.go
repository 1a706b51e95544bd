package workerlink

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/version/cell"
	"poplarvalve/test/virtualtime"
)

// busyWorker ends each run at its start. Its clock runs on.
type busyWorker struct {
	fakeWorker
	startTime time.Duration
	// answersLost is set if the answers to start orders are lost.
	answersLost  bool
	boot         time.Time
	ends         int64
	acknowledged int64
	// mostListed is the highest number of ends that the worker kept.
	mostListed int64
}

func (w *busyWorker) clock() int64 { return 1000 + time.Since(w.boot).Milliseconds() }

func (w *busyWorker) RenewLease(_ context.Context, order RenewalOrder) (RenewalAnswer, error) {
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.renewals = append(w.renewals, order)
	w.acknowledged = max(w.acknowledged, order.AcknowledgedEnd)
	if w.ends == w.acknowledged {
		w.mu.Unlock()
		time.Sleep(order.Wait)
		w.mu.Lock()
	}
	var listed []cell.RunEnd
	for number := w.acknowledged + 1; number <= w.ends; number++ {
		listed = append(listed, cell.RunEnd{Number: number, Reason: cell.EndSucceeded})
	}
	return RenewalAnswer{Clock: w.clock(), Incarnation: 1, Ended: listed, Complete: true}, nil
}

func (w *busyWorker) Start(context.Context, Grant, cell.StartOrder) (int64, error) {
	w.mu.Lock()
	startTime, lost := w.startTime, w.answersLost
	w.mu.Unlock()
	if lost {
		return 0, io.ErrUnexpectedEOF
	}
	time.Sleep(startTime / 2)
	w.mu.Lock()
	w.ends++
	w.mostListed = max(w.mostListed, w.ends-w.acknowledged)
	clock := w.clock()
	w.mu.Unlock()
	time.Sleep(startTime / 2)
	return clock, nil
}

func (w *busyWorker) setStart(startTime time.Duration, answersLost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startTime, w.answersLost = startTime, answersLost
}

// storingSink acknowledges the ends of a report after the time that storing them takes.
type storingSink struct {
	recordingSink
	session atomic.Pointer[Session]
}

func (s *storingSink) Report(report cell.Report) {
	if last := highestNumber(report.Ended); last > 0 {
		time.AfterFunc(10*time.Millisecond, func() { s.session.Load().AcknowledgeEnds(report.Incarnation, last) })
	}
}

// Guards against a busy worker that keeps its ends: if each start put off acknowledgements until
// the next report, a worker with a start in each renewal period would never forget any, and past
// the 500 ends that it lists at a time its reports would be incomplete.
func TestEndsOfWorkerWithStartInEachRenewalPeriodAreAcknowledged(t *testing.T) {
	for _, startTime := range []time.Duration{2, 20, 40, 80, 200, 600} {
		startTime *= time.Millisecond
		t.Run(startTime.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				worker := &busyWorker{startTime: startTime, boot: time.Now()}
				sink := &storingSink{}
				session := Open(ctx, Options{Worker: "w", Client: worker, Sink: sink, Token: 7, MaxLease: testMaxLease})
				sink.session.Store(session)
				for range 1000 {
					time.Sleep(60 * time.Millisecond)
					go session.Start(ctx, cell.StartOrder{Worker: "w", Run: 1})
				}
				time.Sleep(time.Second)
				session.Close()
				cancel()
				session.Wait()
				time.Sleep(2 * time.Second) // The calls under way end.
				synctest.Wait()
				t.Logf("%d runs, at most %d ends kept", worker.ends, worker.mostListed)
				assert.Assert(t, worker.mostListed < 500, "the worker kept %d ends", worker.mostListed)
			})
		})
	}
}

// Guards against an end that a restarted worker forgets while a start to it has no answer: the
// start may have been carried out and its run may have ended.
func TestEndsAreNotAcknowledgedWhileStartIsUnanswered(t *testing.T) {
	for _, outcome := range []string{"under way", "lost"} {
		t.Run(outcome, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				worker := &busyWorker{boot: time.Now(), ends: 1}
				session := Open(ctx, Options{Worker: "w", Client: worker, Sink: &recordingSink{}, Token: 7, MaxLease: testMaxLease})
				time.Sleep(900 * time.Millisecond) // Between two renewals.
				worker.setStart(4*time.Second, outcome == "lost")
				go session.Start(ctx, cell.StartOrder{Worker: "w", Run: 1})
				synctest.Wait()
				session.AcknowledgeEnds(1, 1)
				renewals := len(worker.receivedRenewals())
				time.Sleep(200 * time.Millisecond)
				next := worker.receivedRenewals()[renewals]
				session.Close()
				cancel()
				time.Sleep(10 * time.Second) // The calls under way end.
				synctest.Wait()
				assert.Equal(t, next.AcknowledgedEnd, int64(0))
			})
		})
	}
}

// Guards against a start that never gets a result because its session is closed while starts are
// held for the acknowledgement of ends: its task would wait for the rest of the term.
func TestHeldStartEndsWithItsSession(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		worker, sink := &busyWorker{boot: time.Now()}, &recordingSink{}
		session := Open(t.Context(), Options{Worker: "w", Client: worker, Sink: sink, Token: 7, MaxLease: testMaxLease})
		synctest.Wait()
		released := make(chan struct{})
		session.startsHeld.Store(&released)
		go session.Start(t.Context(), cell.StartOrder{Worker: "w", Run: 1})
		synctest.Wait()
		session.Close()
		time.Sleep(5 * time.Second)
		sink.mu.Lock()
		defer sink.mu.Unlock()
		assert.Equal(t, len(sink.startResults), 1)
	})
}
