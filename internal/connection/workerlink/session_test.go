package workerlink

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/version/cell"
	"poplarvalve/test/virtualtime"
)

// fakeWorker answers holds after their wait, unless it is silent.
type fakeWorker struct {
	mu     sync.Mutex
	silent bool
	orders []HoldOrder
	ended  []cell.End
}

func (f *fakeWorker) Hold(ctx context.Context, order HoldOrder) (HoldAnswer, error) {
	f.mu.Lock()
	f.orders = append(f.orders, order)
	silent, ended := f.silent, f.ended
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return HoldAnswer{}, ctx.Err()
	}
	var listed []cell.End
	for _, end := range ended {
		if end.Number > order.Seen {
			listed = append(listed, end)
		}
	}
	if len(listed) == 0 {
		select {
		case <-time.After(order.Wait):
		case <-ctx.Done():
			return HoldAnswer{}, ctx.Err()
		}
	}
	return HoldAnswer{Clock: 1000, Born: 1, Ended: listed}, nil
}

func (f *fakeWorker) Start(ctx context.Context, _ Grant, order cell.StartOrder) (int64, error) {
	switch order.Run {
	case 1:
		return 1000, nil
	case 2:
		return 0, &Refused{cell.RefusedRoom}
	}
	return 0, errors.New("reset")
}

func (f *fakeWorker) Stop(context.Context, Grant, cell.StopOrder) error { return nil }
func (f *fakeWorker) Pace(context.Context, Grant, cell.PaceOrder) error { return nil }

func (f *fakeWorker) seen() []HoldOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]HoldOrder(nil), f.orders...)
}

// sink keeps what a session reports.
type sink struct {
	mu      sync.Mutex
	silent  []time.Time
	reports []cell.Report
	results []cell.StartResult
	// unauthorized is what Authorized denies.
	unauthorized atomic.Bool
}

func (s *sink) Authorized() bool { return !s.unauthorized.Load() }

func (s *sink) Report(report cell.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, report)
}

func (s *sink) Silent(_ cell.WorkerID, until time.Time, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = append(s.silent, until)
}

func (s *sink) StartResult(result cell.StartResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.results = append(s.results, result)
}

// Guards against a worker that is never given up because holds without an
// answer go on to prolong its lease.
func TestSilentWorkerIsNotProlonged(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker, got := &fakeWorker{}, &sink{}
		session := Open(ctx, "w", worker, got, 7)
		time.Sleep(5 * time.Second)
		worker.mu.Lock()
		worker.silent = true
		before := len(worker.orders)
		worker.mu.Unlock()
		time.Sleep(10 * time.Second)
		session.Close()
		cancel()
		synctest.Wait()
		prolonged := 0
		for _, order := range worker.seen()[before:] {
			if order.Until > 0 {
				prolonged++
			}
		}
		assert.Assert(t, prolonged <= 1, "%d holds prolonged the lease", prolonged)
		got.mu.Lock()
		defer got.mu.Unlock()
		assert.Assert(t, len(got.silent) > 2)
		assert.Assert(t, !got.silent[0].IsZero(), "the first may have prolonged it")
		assert.Assert(t, got.silent[1].IsZero())
	})
}

// Guards against a lease granted before the worker's clock is known, and
// against one on the clock of an earlier life.
func TestFirstHoldGrantsNoLease(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker := &fakeWorker{}
		session := Open(ctx, "w", worker, &sink{}, 7)
		time.Sleep(time.Second)
		orders := worker.seen()
		assert.Equal(t, orders[0].Until, int64(0))
		assert.Equal(t, orders[1].Until, 1000+Lease.Milliseconds())
		session.Close()
		cancel()
		synctest.Wait()
	})
}

// Guards against ends that a worker forgets before they are stored.
func TestSeenFollowsTheStore(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker := &fakeWorker{ended: []cell.End{{Number: 3, How: cell.EndDone}}}
		session := Open(ctx, "w", worker, &sink{}, 7)
		time.Sleep(2 * time.Second)
		for _, order := range worker.seen() {
			assert.Equal(t, order.Seen, int64(0))
		}
		session.Seen(1, 3)
		time.Sleep(2 * time.Second)
		orders := worker.seen()
		assert.Equal(t, orders[len(orders)-1].Seen, int64(3))
		session.Close()
		cancel()
		synctest.Wait()
	})
}

// Guards against an order without an answer that is taken for refused, and
// against settling it under the token that it carried.
func TestOutcomesOfStarts(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker, got := &fakeWorker{}, &sink{}
		session := Open(ctx, "w", worker, got, 7)
		time.Sleep(100 * time.Millisecond)
		for run := int64(1); run <= 3; run++ {
			session.Start(ctx, cell.StartOrder{Worker: "w", Run: run})
		}
		synctest.Wait()
		assert.Equal(t, got.results[0].Outcome, cell.StartAccepted)
		assert.Equal(t, got.results[1].Outcome, cell.StartRefused)
		assert.Equal(t, got.results[1].Refusal, cell.RefusedRoom)
		assert.Equal(t, got.results[2].Outcome, cell.StartUnknown)
		assert.Equal(t, got.results[2].Token, int64(7))
		session.Settle()
		synctest.Wait()
		orders := worker.seen()
		assert.Equal(t, orders[len(orders)-1].Token, int64(8))
		session.Close()
		cancel()
		synctest.Wait()
	})
}

// Guards against a leader that was suspended while another took over: what it
// sent on waking reached workers that had not heard of its successor.
func TestNothingIsSentWithoutAuthority(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		worker, results := &fakeWorker{}, &sink{}
		results.unauthorized.Store(true)
		session := Open(t.Context(), "w1", worker, results, 10)
		defer session.Close()
		session.Start(t.Context(), cell.StartOrder{Worker: "w1", Run: 1})
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(worker.seen()), 0)
		assert.Equal(t, results.results[0].Refusal, cell.RefusedUnsent)
		results.unauthorized.Store(false)
		time.Sleep(time.Second)
		assert.Assert(t, len(worker.seen()) > 0)
	})
}
