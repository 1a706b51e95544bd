package workerlink

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/version/cell"
	"poplarvalve/test/virtualtime"
)

// testMaxLease is the longest lease that the workers grant.
const testMaxLease = 6 * time.Second

// fakeWorker answers a lease renewal at once if it has ends to list, otherwise
// after the renewal's Wait, and never while it is unresponsive.
type fakeWorker struct {
	mu           sync.Mutex
	unresponsive bool
	// networkDelay is the time that an answer takes to arrive. The delay ends with the
	// call's context.
	networkDelay time.Duration
	renewals     []RenewalOrder
	ended        []cell.RunEnd
	// booted is when the clock showed 1000. It is set by the first call.
	booted time.Time
	// maxListed is the number of ends in one answer, or 0 for no limit.
	maxListed int
	// openRenewals is the number of lease renewals without an answer.
	openRenewals atomic.Int64
}

// clock returns the worker's clock in milliseconds.
func (f *fakeWorker) clock() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.booted.IsZero() {
		f.booted = time.Now()
	}
	return 1000 + time.Since(f.booted).Milliseconds()
}

func (f *fakeWorker) RenewLease(ctx context.Context, order RenewalOrder) (RenewalAnswer, error) {
	f.openRenewals.Add(1)
	defer f.openRenewals.Add(-1)
	f.mu.Lock()
	f.renewals = append(f.renewals, order)
	unresponsive, networkDelay, ended, maxListed := f.unresponsive, f.networkDelay, f.ended, f.maxListed
	f.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return RenewalAnswer{}, ctx.Err()
	}
	var listed []cell.RunEnd
	for _, end := range ended {
		if end.Number > order.AcknowledgedEnd {
			listed = append(listed, end)
		}
	}
	if len(listed) == 0 {
		select {
		case <-time.After(order.Wait):
		case <-ctx.Done():
			return RenewalAnswer{}, ctx.Err()
		}
	}
	select {
	case <-time.After(networkDelay):
	case <-ctx.Done():
		return RenewalAnswer{}, ctx.Err()
	}
	if maxListed > 0 && len(listed) > maxListed {
		listed = listed[:maxListed]
	}
	return RenewalAnswer{Clock: f.clock(), Incarnation: 1, Ended: listed, Complete: maxListed == 0 || len(listed) < maxListed}, nil
}

func (f *fakeWorker) Start(ctx context.Context, _ Grant, order cell.StartOrder) (int64, error) {
	switch order.Run {
	case 1:
		return f.clock(), nil
	case 2:
		return 0, &RefusedError{cell.RefusedNoCapacity}
	}
	return 0, errors.New("reset")
}

func (f *fakeWorker) Stop(context.Context, Grant, cell.StopOrder) error         { return nil }
func (f *fakeWorker) Throttle(context.Context, Grant, cell.ThrottleOrder) error { return nil }

// receivedRenewals returns a copy of the lease renewals received so far.
func (f *fakeWorker) receivedRenewals() []RenewalOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]RenewalOrder(nil), f.renewals...)
}

// recordingSink records the results of a session.
type recordingSink struct {
	mu sync.Mutex
	// leaseEnds holds the lease end of each lease renewal without an answer.
	leaseEnds    []time.Time
	reports      []cell.Report
	startResults []cell.StartResult
	// unauthorized is the opposite of what Authorized returns.
	unauthorized atomic.Bool
}

func (s *recordingSink) Authorized() bool { return !s.unauthorized.Load() }
func (s *recordingSink) MayStart() bool   { return !s.unauthorized.Load() }

func (s *recordingSink) Report(report cell.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports = append(s.reports, report)
}

func (s *recordingSink) RenewalUnanswered(_ cell.WorkerID, leaseUntil time.Time, _ error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseEnds = append(s.leaseEnds, leaseUntil)
}

func (s *recordingSink) StartResult(result cell.StartResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startResults = append(s.startResults, result)
}

// A worker whose answers are lost may still receive lease renewals. If each of
// them extended the lease, the worker would never be declared lost; so only the
// first renewal without an answer may extend it.
func TestUnansweredRenewalsDoNotExtendLease(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker, recorder := &fakeWorker{}, &recordingSink{}
		session := Open(ctx, Options{Worker: "w", Client: worker, Sink: recorder, Token: 7, MaxLease: testMaxLease})
		time.Sleep(5 * time.Second)
		worker.mu.Lock()
		worker.unresponsive = true
		before := len(worker.renewals)
		worker.mu.Unlock()
		time.Sleep(10 * time.Second)
		session.Close()
		cancel()
		synctest.Wait()
		extensions := 0
		for _, order := range worker.receivedRenewals()[before:] {
			if order.LeaseUntil > 0 {
				extensions++
			}
		}
		assert.Assert(t, extensions <= 1, "%d lease renewals without an answer extended the lease, want at most 1", extensions)
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		assert.Assert(t, len(recorder.leaseEnds) > 2)
		assert.Assert(t, !recorder.leaseEnds[0].IsZero(), "the first renewal without an answer may have extended the lease, but its lease end is zero")
		assert.Assert(t, recorder.leaseEnds[1].IsZero())
	})
}

// On a congested connection, the answer to a lease renewal takes seconds. If it was
// discarded after the time-out, the leader would never learn of a run that has ended,
// give the run up with its lease, and start the task again.
func TestLateAnswerIsReported(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker, recorder := &fakeWorker{networkDelay: 2 * time.Second}, &recordingSink{}
		worker.ended = []cell.RunEnd{{Number: 1, Run: 1, Reason: cell.EndSucceeded}}
		start := time.Now()
		session := Open(ctx, Options{Worker: "w", Client: worker, Sink: recorder, Token: 7, MaxLease: testMaxLease})
		time.Sleep(LeaseDuration)
		session.Close()
		cancel()
		synctest.Wait()
		recorder.mu.Lock()
		defer recorder.mu.Unlock()
		assert.Assert(t, len(recorder.leaseEnds) > 0, "the renewals were not counted as unanswered meanwhile")
		assert.Assert(t, len(recorder.reports) > 0, "no late answer was reported")
		first := recorder.reports[0]
		assert.Equal(t, first.Sent, start, "the report must say when its renewal was sent")
		assert.Equal(t, len(first.Ended), 1)
	})
}

// An answer that arrives late shows that the worker's answers are not lost. If the
// lease was not extended after it, a worker behind a slow connection would kill its
// running work again and again.
func TestLateAnswerLetsNextRenewalExtendLease(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker, recorder := &fakeWorker{networkDelay: 1500 * time.Millisecond}, &recordingSink{}
		session := Open(ctx, Options{Worker: "w", Client: worker, Sink: recorder, Token: 7, MaxLease: testMaxLease})
		time.Sleep(20 * time.Second)
		session.Close()
		session.Wait()
		cancel()
		synctest.Wait()
		extensions := 0
		for _, order := range worker.receivedRenewals() {
			if order.LeaseUntil > 0 {
				extensions++
			}
		}
		// The first renewal grants no lease because it does not know the clock.
		assert.Assert(t, extensions >= int(20*time.Second/LeaseDuration), "only %d renewals extended the lease", extensions)
	})
}

// A worker that never answers must not collect one open connection for each renewal:
// start and stop orders need connections too.
func TestAtMostOneRenewalWaitsForLateAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker, recorder := &fakeWorker{networkDelay: time.Hour}, &recordingSink{}
		session := Open(ctx, Options{Worker: "w", Client: worker, Sink: recorder, Token: 7, MaxLease: testMaxLease})
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			assert.Assert(t, worker.openRenewals.Load() <= 2, "%d lease renewals are open", worker.openRenewals.Load())
		}
		session.Close()
		session.Wait()
		cancel()
		synctest.Wait()
		assert.Equal(t, worker.openRenewals.Load(), int64(0))
	})
}

// The end of a lease is a time on the worker's own clock. The first renewal must
// grant none, since that clock is still unknown or may be that of an earlier
// incarnation; the second uses the clock that the worker answered.
func TestFirstRenewalGrantsNoLease(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker := &fakeWorker{}
		session := Open(ctx, Options{Worker: "w", Client: worker, Sink: &recordingSink{}, Token: 7, MaxLease: testMaxLease})
		time.Sleep(time.Second)
		renewals := worker.receivedRenewals()
		assert.Equal(t, renewals[0].LeaseUntil, int64(0))
		assert.Equal(t, renewals[1].LeaseUntil, 1000+LeaseDuration.Milliseconds())
		session.Close()
		cancel()
		synctest.Wait()
	})
}

// A worker forgets the ends up to the number in the renewal's AcknowledgedEnd
// field. If that advanced before the ends are stored, they could be lost.
func TestAcknowledgedEndAdvancesOnlyAfterEndsAreStored(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker := &fakeWorker{ended: []cell.RunEnd{{Number: 3, Reason: cell.EndSucceeded}}}
		session := Open(ctx, Options{Worker: "w", Client: worker, Sink: &recordingSink{}, Token: 7, MaxLease: testMaxLease})
		time.Sleep(2 * time.Second)
		for _, order := range worker.receivedRenewals() {
			assert.Equal(t, order.AcknowledgedEnd, int64(0))
		}
		session.AcknowledgeEnds(1, 3)
		time.Sleep(2 * time.Second)
		renewals := worker.receivedRenewals()
		assert.Equal(t, renewals[len(renewals)-1].AcknowledgedEnd, int64(3))
		session.Close()
		cancel()
		synctest.Wait()
	})
}

// Guards against pages of ends that are not requested any more once the store has been away
// for a while, and against a report that loses the mark of a page that may be cut.
func TestPagesOfEndsGoOnOnceEndsAreStored(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker, recorder := &fakeWorker{maxListed: 4}, &recordingSink{}
		for number := int64(1); number <= 10; number++ {
			worker.ended = append(worker.ended, cell.RunEnd{Number: number, Reason: cell.EndSucceeded})
		}
		session := Open(ctx, Options{Worker: "w", Client: worker, Sink: recorder, Token: 7, MaxLease: testMaxLease})
		newestReport := func() cell.Report {
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			return recorder.reports[len(recorder.reports)-1]
		}
		stored := int64(0)
		for _, page := range []struct {
			first, last int64
			complete    bool
		}{{1, 4, false}, {5, 8, false}, {9, 10, true}} {
			time.Sleep(6 * time.Second)
			report := newestReport()
			assert.Equal(t, report.Ended[0].Number, page.first)
			assert.Equal(t, report.Ended[len(report.Ended)-1].Number, page.last)
			assert.Equal(t, report.Complete, page.complete)
			for _, order := range worker.receivedRenewals() {
				assert.Assert(t, order.AcknowledgedEnd <= stored, "end %d was acknowledged while %d ends were stored", order.AcknowledgedEnd, stored)
			}
			stored = page.last
			session.AcknowledgeEnds(1, stored)
		}
		time.Sleep(6 * time.Second)
		assert.Equal(t, len(newestReport().Ended), 0)
		session.Close()
		cancel()
		synctest.Wait()
	})
}

// A start order without an answer may have been carried out, so its outcome must
// be unknown and not refused. Only a report requested with a higher token than
// the order's can resolve it: under the same token the order might still arrive.
func TestUnansweredStartIsInDoubt(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker, recorder := &fakeWorker{}, &recordingSink{}
		session := Open(ctx, Options{Worker: "w", Client: worker, Sink: recorder, Token: 7, MaxLease: testMaxLease})
		time.Sleep(100 * time.Millisecond)
		for run := int64(1); run <= 3; run++ {
			session.Start(ctx, cell.StartOrder{Worker: "w", Run: run})
		}
		synctest.Wait()
		assert.Equal(t, recorder.startResults[0].Outcome, cell.StartAccepted)
		assert.Equal(t, recorder.startResults[1].Outcome, cell.StartRefused)
		assert.Equal(t, recorder.startResults[1].Refusal, cell.RefusedNoCapacity)
		assert.Equal(t, recorder.startResults[2].Outcome, cell.StartUnknown)
		assert.Equal(t, recorder.startResults[2].Token, int64(7))
		session.Resolve()
		synctest.Wait()
		renewals := worker.receivedRenewals()
		assert.Equal(t, renewals[len(renewals)-1].Token, int64(8))
		session.Close()
		cancel()
		synctest.Wait()
	})
}

// Guards against a lease that a leader takes for expired because the answer to the order that
// extended it is still on its way, or was lost.
func TestLeaseEndCoversOrdersWithoutAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker, recorder := &fakeWorker{}, &recordingSink{}
		session := Open(ctx, Options{Worker: "w", Client: worker, Sink: recorder, Token: 7, MaxLease: testMaxLease})
		assert.Assert(t, session.LeaseEnd().IsZero(), "no order granted a lease yet")
		time.Sleep(5 * time.Second)
		worker.mu.Lock()
		worker.unresponsive = true
		worker.mu.Unlock()
		time.Sleep(2 * time.Second) // The renewal that is open now has extended the lease.
		end := session.LeaseEnd()
		time.Sleep(10 * time.Second)
		assert.Equal(t, session.LeaseEnd(), end, "renewals after one without an answer extend no lease")
		recorder.mu.Lock()
		assert.Equal(t, end, recorder.leaseEnds[0])
		recorder.mu.Unlock()
		began := time.Now()
		session.Start(ctx, cell.StartOrder{Worker: "w", Run: 3})
		assert.Equal(t, session.LeaseEnd(), latestLeaseEnd(began), "a start order extends the lease, also without an answer")
		session.Close()
		cancel()
		synctest.Wait()
	})
}

// A leader can be suspended while another instance takes over. When it resumes,
// workers that its successor has not reached yet would still obey it, so it must
// send nothing until it is authorized again.
func TestNothingIsSentWithoutAuthorization(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		worker, recorder := &fakeWorker{}, &recordingSink{}
		recorder.unauthorized.Store(true)
		session := Open(t.Context(), Options{Worker: "w1", Client: worker, Sink: recorder, Token: 10, MaxLease: testMaxLease})
		defer session.Close()
		session.Start(t.Context(), cell.StartOrder{Worker: "w1", Run: 1})
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(worker.receivedRenewals()), 0)
		assert.Equal(t, recorder.startResults[0].Refusal, cell.RefusedNotSent)
		recorder.unauthorized.Store(false)
		time.Sleep(time.Second)
		assert.Assert(t, len(worker.receivedRenewals()) > 0)
	})
}

// Guards against a lease that ends at a time of an ended incarnation's clock: a late answer
// of that incarnation, whose number may be higher, must not set the clock.
func TestLateAnswerOfEndedIncarnationDoesNotSetClock(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		s := &Session{}
		lateRenewalSent := time.Now()
		time.Sleep(time.Second)
		s.recordClock(500, 50, time.Now())
		time.Sleep(time.Second)
		s.recordClock(9_000_000, 100, lateRenewalSent)
		assert.Equal(t, s.newGrant().LeaseUntil, int64(0), "either incarnation may be the newer one")
		s.recordClock(1500, 50, time.Now())
		assert.Equal(t, s.newGrant().LeaseUntil, 1500+LeaseDuration.Milliseconds())
	})
}

// Guards against a lease end that is lost with an abandoned renewal: the runs would be given up
// and started again while their lease runs on.
func TestAbandonedRenewalKeepsItsLeaseEnd(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker, recorder := &fakeWorker{}, &recordingSink{}
		session := Open(ctx, Options{Worker: "w", Client: worker, Sink: recorder, Token: 7, MaxLease: testMaxLease})
		time.Sleep(2*idleWait + idleWait/2)
		sent := time.Now().Add(-idleWait / 2)
		renewals := len(worker.receivedRenewals())
		assert.Assert(t, worker.receivedRenewals()[renewals-1].LeaseUntil > 0)
		recorder.unauthorized.Store(true)
		session.Resolve()
		synctest.Wait()
		assert.Equal(t, len(worker.receivedRenewals()), renewals+1)
		recorder.mu.Lock()
		known := time.Time{}
		for _, report := range recorder.reports {
			if report.LeaseUntil.After(known) {
				known = report.LeaseUntil
			}
		}
		recorder.mu.Unlock()
		assert.Assert(t, !known.Before(latestLeaseEnd(sent)), "the abandoned renewal extended the lease until %v, reported is %v", latestLeaseEnd(sent), known)
		session.Close()
		cancel()
		synctest.Wait()
	})
}

// Guards against a lease that is extended by the retry of a renewal after the authority to do so
// has ended.
func TestRetryOfRenewalGrantsNoLeaseWithoutAuthorization(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker, recorder := &fakeWorker{}, &recordingSink{}
		session := Open(ctx, Options{Worker: "w", Client: worker, Sink: recorder, Token: 7, MaxLease: testMaxLease})
		time.Sleep(2*idleWait + idleWait/2)
		renewals := len(worker.receivedRenewals())
		recorder.unauthorized.Store(true)
		session.Resolve()
		synctest.Wait()
		received := worker.receivedRenewals()
		assert.Equal(t, len(received), renewals+1)
		assert.Assert(t, received[renewals-1].LeaseUntil > 0)
		assert.Equal(t, received[renewals].LeaseUntil, int64(0))
		session.Close()
		cancel()
		synctest.Wait()
	})
}

// restartingWorker lists an end in its first incarnation. After its restart it has started a run.
type restartingWorker struct {
	fakeWorker
	restarted    bool
	acknowledged int64
}

func (w *restartingWorker) RenewLease(_ context.Context, order RenewalOrder) (RenewalAnswer, error) {
	w.mu.Lock()
	restarted := w.restarted
	if restarted {
		w.acknowledged = max(w.acknowledged, order.AcknowledgedEnd)
	}
	w.mu.Unlock()
	if !restarted {
		return RenewalAnswer{Clock: 1000, Incarnation: 1, Ended: []cell.RunEnd{{Number: 3, Reason: cell.EndSucceeded}}, Complete: true}, nil
	}
	time.Sleep(order.Wait)
	return RenewalAnswer{Clock: 10, Incarnation: 2, Complete: true}, nil
}

// Guards against an end of a run that a restarted worker has accepted and that it forgets,
// because the next renewal acknowledges the ends of the earlier incarnation.
func TestEndsAreNotAcknowledgedAfterStartAtRestartedWorker(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker := &restartingWorker{}
		session := Open(ctx, Options{Worker: "w", Client: worker, Sink: &recordingSink{}, Token: 7, MaxLease: testMaxLease})
		time.Sleep(900 * time.Millisecond) // Between two renewals.
		worker.mu.Lock()
		worker.restarted = true
		worker.mu.Unlock()
		session.Start(ctx, cell.StartOrder{Worker: "w", Run: 1})
		session.AcknowledgeEnds(1, 3)
		time.Sleep(2 * time.Second)
		session.Close()
		cancel()
		time.Sleep(idleWait) // The renewal under way ends.
		session.Wait()
		assert.Check(t, worker.acknowledged == 0, "ends up to %d are forgotten", worker.acknowledged)
	})
}

// Guards against ends that a slow worker keeps for good: if each renewal is sent before the
// answer to the one before it arrives, none may be acknowledged as uncertain for ever.
func TestEndsOfWorkerWithSlowAnswersAreAcknowledged(t *testing.T) {
	for _, delay := range []time.Duration{600, 800, 1000, 1500, 3000, 4000} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				worker := &fakeWorker{ended: []cell.RunEnd{{Number: 3, Reason: cell.EndSucceeded}}, networkDelay: delay}
				session := Open(ctx, Options{Worker: "w", Client: worker, Sink: &recordingSink{}, Token: 7, MaxLease: testMaxLease})
				time.Sleep(10 * time.Second)
				session.AcknowledgeEnds(1, 3)
				time.Sleep(20 * time.Second)
				acknowledges := func(order RenewalOrder) bool { return order.AcknowledgedEnd == 3 }
				assert.Assert(t, slices.ContainsFunc(worker.receivedRenewals(), acknowledges))
				session.Close()
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against an end that is lost: a worker that restarts under its id numbers its ends
// anew. If a leader that has not heard of the restart acknowledged ends of the earlier
// incarnation, the worker would forget ends of the new one that nobody has read, and their
// tasks would start again after they were done.
func TestEndsAreNotAcknowledgedWhileWorkerMayHaveRestarted(t *testing.T) {
	for _, cause := range []string{"unanswered renewal", "unanswered start"} {
		t.Run(cause, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				worker := &fakeWorker{ended: []cell.RunEnd{{Number: 3, Reason: cell.EndSucceeded}}}
				session := Open(ctx, Options{Worker: "w", Client: worker, Sink: &recordingSink{}, Token: 7, MaxLease: testMaxLease})
				time.Sleep(2 * time.Second)
				worker.setUnresponsive(true)
				if cause == "unanswered renewal" {
					time.Sleep(busyWait + callTimeout)
				} else {
					session.Resolve()
					synctest.Wait()
				}
				session.AcknowledgeEnds(1, 3)
				time.Sleep(3 * time.Second)
				for _, order := range worker.receivedRenewals() {
					assert.Equal(t, order.AcknowledgedEnd, int64(0))
				}
				worker.setUnresponsive(false)
				time.Sleep(3 * time.Second)
				renewals := worker.receivedRenewals()
				assert.Equal(t, renewals[len(renewals)-1].AcknowledgedEnd, int64(3), "the worker has answered")
				session.Close()
				cancel()
				synctest.Wait()
			})
		})
	}
}

func (f *fakeWorker) setUnresponsive(unresponsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unresponsive = unresponsive
}
