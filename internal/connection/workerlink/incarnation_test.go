package workerlink

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/version/cell"
	"poplarvalve/test/virtualtime"
)

// leasingWorker grants leases as the workers of the platform do: until the end that an order
// names on the worker's clock, but for testMaxLease at most. Its clock starts anew with each
// incarnation, which carries out whatever orders reach it.
type leasingWorker struct {
	mu          sync.Mutex
	incarnation int64
	booted      time.Time
	leaseEnd    time.Time
	// restarted is closed when the incarnation ends.
	restarted chan struct{}
	// renewalsHeld and startsHeld keep renewals or starts from arriving.
	renewalsHeld, startsHeld bool
}

func newLeasingWorker() *leasingWorker {
	return &leasingWorker{incarnation: 1, booted: time.Now().Add(-time.Hour), restarted: make(chan struct{})}
}

func (w *leasingWorker) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation++
	w.booted, w.leaseEnd = time.Now(), time.Time{}
	close(w.restarted)
	w.restarted = make(chan struct{})
}

func (w *leasingWorker) grantedUntil() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaseEnd
}

func (w *leasingWorker) setHeld(renewals, starts bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.renewalsHeld, w.startsHeld = renewals, starts
}

// take carries out an order, and returns the clock, the incarnation, and a channel that is
// closed when that ends. It returns false if the order doesn't arrive.
func (w *leasingWorker) take(grant Grant, isRenewal bool) (int64, int64, chan struct{}, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if isRenewal && w.renewalsHeld || !isRenewal && w.startsHeld {
		return 0, 0, nil, false
	}
	clock := 1000 + time.Since(w.booted).Milliseconds()
	if left := min(time.Duration(grant.LeaseUntil-clock)*time.Millisecond, testMaxLease); left > 0 {
		if end := time.Now().Add(left); end.After(w.leaseEnd) {
			w.leaseEnd = end
		}
	}
	return clock, w.incarnation, w.restarted, true
}

func (w *leasingWorker) RenewLease(ctx context.Context, order RenewalOrder) (RenewalAnswer, error) {
	clock, incarnation, restarted, arrived := w.take(order.Grant, true)
	if !arrived {
		<-ctx.Done()
		return RenewalAnswer{}, ctx.Err()
	}
	select {
	case <-time.After(order.Wait):
	case <-restarted:
		return RenewalAnswer{}, io.EOF
	case <-ctx.Done():
		return RenewalAnswer{}, ctx.Err()
	}
	return RenewalAnswer{Clock: clock + order.Wait.Milliseconds(), Incarnation: incarnation, Complete: true}, nil
}

func (w *leasingWorker) Start(ctx context.Context, grant Grant, _ cell.StartOrder) (int64, error) {
	clock, _, _, arrived := w.take(grant, false)
	if !arrived {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return clock, nil
}

func (w *leasingWorker) Stop(context.Context, Grant, cell.StopOrder) error         { return nil }
func (w *leasingWorker) Throttle(context.Context, Grant, cell.ThrottleOrder) error { return nil }

// knownLeaseEnd returns until when leases may last by what the session has told its sink, leaving
// out orders that may still be carried out.
func (s *recordingSink) knownLeaseEnd() (end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ends := s.leaseEnds
	for _, report := range s.reports {
		ends = append(ends, report.LeaseUntil, report.EarlierClockUntil)
	}
	for _, result := range s.startResults {
		ends = append(ends, result.LeaseUntil)
	}
	for _, known := range ends {
		if known.After(end) {
			end = known
		}
	}
	return end
}

// reportsOf returns the reports of an incarnation.
func (s *recordingSink) reportsOf(incarnation int64) (reports []cell.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, report := range s.reports {
		if report.Incarnation == incarnation {
			reports = append(reports, report)
		}
	}
	return reports
}

// Guards against two runs of a task after a restart: the worker takes orders that name the end of
// their lease on the clock of its former incarnation, and holds what they start or extend for the
// longest lease, while the leader takes it as over after the lease that it meant.
func TestLeasesThatNextIncarnationGrantsAreCovered(t *testing.T) {
	for name, play := range map[string]func(*Session, *leasingWorker){
		"renewal": func(*Session, *leasingWorker) { time.Sleep(300 * time.Millisecond) },
		"start": func(session *Session, worker *leasingWorker) {
			worker.setHeld(true, false)
			session.Start(context.Background(), cell.StartOrder{Worker: "w", Run: 1})
		},
		"start, and the renewal after it": func(session *Session, worker *leasingWorker) {
			session.Start(context.Background(), cell.StartOrder{Worker: "w", Run: 1})
			time.Sleep(300 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				worker, sink := newLeasingWorker(), &recordingSink{}
				session := Open(t.Context(), Options{Worker: "w", Client: worker, Sink: sink, Token: 7, MaxLease: testMaxLease})
				time.Sleep(3 * time.Second)
				worker.restart()
				play(session, worker)
				worker.setHeld(true, true)
				time.Sleep(5 * time.Second)
				known := sink.knownLeaseEnd()
				granted := worker.grantedUntil()
				assert.Assert(t, !known.Before(granted), "leases last %v longer than known", granted.Sub(known))
				assert.Assert(t, !session.LeaseEnd().Before(granted))
				session.Close()
				session.Wait()
			})
		})
	}
}

// Guards against orders that are carried out late by the next incarnation: until a report under a
// higher token excludes them, they may start or extend what the leader takes as over. Orders that
// the first report of the incarnation excludes must not be waited for.
func TestOrdersOnEarlierClockAreStrayUntilHigherToken(t *testing.T) {
	for name, startHeld := range map[string]bool{"start under way": true, "renewal without an answer": false} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				worker, sink := newLeasingWorker(), &recordingSink{}
				session := Open(t.Context(), Options{Worker: "w", Client: worker, Sink: sink, Token: 7, MaxLease: testMaxLease})
				defer session.Close()
				time.Sleep(3 * time.Second)
				worker.setHeld(!startHeld, startHeld)
				if startHeld {
					go session.Start(t.Context(), cell.StartOrder{Worker: "w", Run: 1})
					time.Sleep(100 * time.Millisecond)
				} else {
					time.Sleep(5 * time.Second)
				}
				worker.restart()
				worker.setHeld(false, false)
				time.Sleep(3 * time.Second)
				shown := sink.reportsOf(2)
				first, second, last := shown[0], shown[1], shown[len(shown)-1]
				if startHeld {
					assert.Equal(t, first.StrayUntil.Sub(first.EarlierClockUntil), MaxOrderDelay)
					assert.Assert(t, !second.EarlierClockUntil.IsZero(), "the start may have been carried out before")
				}
				assert.Equal(t, first.StrayUntil.IsZero(), !startHeld)
				assert.Assert(t, !first.EarlierClockUntil.IsZero())
				assert.Assert(t, second.StrayUntil.IsZero(), "orders with lower tokens are refused now")
				assert.Assert(t, last.StrayUntil.IsZero() && last.EarlierClockUntil.IsZero())
				synctest.Wait()
			})
		})
	}
}
