package workerlink

import (
	"sync/atomic"
	"time"

	"poplarvalve/internal/version/cell"
)

// The end of a lease is named on the clock of one incarnation of the worker, and an order names
// the worker only. If the worker has restarted, the next incarnation carries out orders that
// were meant for the earlier one. To it the end of their lease lies far ahead, and it grants the
// longest lease that it ever grants, from when the order arrives. Only the answer shows which
// incarnation has taken an order.

// MaxOrderDelay is how long after it was sent an order without an answer may be carried out.
const MaxOrderDelay = 12 * time.Second

// clockReading is the clock of one incarnation of the worker, in milliseconds,
// and the local time at which it was read. sent is when the call that read it was
// sent.
type clockReading struct {
	millis       int64
	sent, readAt time.Time
	incarnation  int64
}

// newest returns the newer one of an earlier reading and this one. It returns nil if they
// are of two incarnations and the call of this one was sent before the earlier one was
// read: numbers don't tell which incarnation is newer, since the time of day may have been
// stepped.
func (r *clockReading) newest(earlier *clockReading) *clockReading {
	switch {
	case earlier == nil:
		return r
	case r.incarnation != earlier.incarnation && r.sent.Before(earlier.readAt):
		return nil
	case r.sent.Before(earlier.sent):
		return earlier
	}
	return r
}

// isContinuedBy reports whether a reading by a call that was sent and answered at the given
// times continues this one, as that of another incarnation does not: its clock starts anew.
func (r *clockReading) isContinuedBy(millis int64, sent, answered time.Time) bool {
	least := float64(sent.Sub(r.readAt).Milliseconds()) * (1 - maxClockDrift)
	most := float64(answered.Sub(r.sent).Milliseconds()) * (1 + maxClockDrift)
	elapsed := float64(millis - r.millis)
	return least-1 <= elapsed && elapsed <= most+1
}

// recordClock records a reading of the worker's clock by a call that was sent at
// sent, unless a later call has read it already. The worker took the reading before
// its answer arrived here, so its clock now shows at least millis. The clock becomes
// unknown if it may be that of an ended incarnation; the next renewal then grants no
// lease.
func (s *Session) recordClock(millis, incarnation int64, sent time.Time) {
	if millis <= 0 {
		return
	}
	reading := &clockReading{millis: millis, sent: sent, readAt: time.Now(), incarnation: incarnation}
	for {
		earlier := s.clock.Load()
		if !s.clock.CompareAndSwap(earlier, reading.newest(earlier)) {
			continue
		}
		if earlier != nil && earlier.incarnation != incarnation {
			s.recordRestart()
		}
		return
	}
}

// recordUnanswered notes that an order got no answer, or none in time. The answer to an order with
// a higher token excludes it.
func (s *Session) recordUnanswered(grant Grant) {
	if grant.LeaseUntil != 0 {
		recordHighest(&s.unansweredToken, grant.Token)
	}
}

// recordUnansweredRenewal is recordUnanswered for a renewal. The next one has a higher token.
func (s *Session) recordUnansweredRenewal(order RenewalOrder) {
	s.recordUnanswered(order.Grant)
	recordHighest(&s.token, order.Token+1)
}

func recordHighest(recorded *atomic.Int64, token int64) {
	for {
		highest := recorded.Load()
		if token <= highest || recorded.CompareAndSwap(highest, token) {
			return
		}
	}
}

// recordRestart notes that another incarnation of the worker has answered than the one whose
// clock the session went by. The clock must be replaced before.
func (s *Session) recordRestart() {
	last := s.unansweredToken.Load()
	if s.startsUnderWay.Load() > 0 {
		last = s.token.Add(1) - 1
	}
	s.earlierClock.Store(&last)
}

// recordStartClock compares the worker's clock in the answer to a start with the newest reading.
// It reports whether the incarnation has answered by whose clock the start went. If another one
// may have, no ends are acknowledged before the next report, and the clock is unknown until then.
func (s *Session) recordStartClock(grant Grant, millis int64, sent time.Time) bool {
	reading := s.clock.Load()
	if reading != nil && reading.isContinuedBy(millis, sent, time.Now()) {
		return grant.LeaseUntil == 0 || grant.Incarnation == reading.incarnation
	}
	recordLatest(&s.doubtedAt, time.Now())
	if reading != nil && s.clock.CompareAndSwap(reading, nil) {
		s.recordRestart()
	}
	return grant.LeaseUntil == 0
}

// LeaseExcess returns how much longer a lease may last than latestLeaseEnd allows for, if another
// incarnation has carried out the order than the one it was meant for.
func LeaseExcess(maxLease time.Duration) time.Duration {
	return max(0, onSlowClock(maxLease)-onSlowClock(LeaseDuration))
}

// onSlowClock returns how long a time on a worker's clock may last.
func onSlowClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + 2*maxClockDrift))
}

// longestLeaseEnd returns when a lease has ended for certain that the worker has granted by now,
// whatever end the order named.
func (s *Session) longestLeaseEnd() time.Time {
	return time.Now().Add(onSlowClock(s.maxLease) + leaseMargin)
}

// earlierClockEnds returns until when leases may last by orders that went by the clock of an
// earlier incarnation than the one that has answered order: those carried out so far, and those
// that may still be.
func (s *Session) earlierClockEnds(order RenewalOrder, incarnation int64) (carriedOut, stray time.Time) {
	if order.LeaseUntil != 0 && order.Incarnation != incarnation {
		carriedOut = s.longestLeaseEnd()
	}
	if last := s.earlierClock.Load(); last != nil {
		carriedOut = s.longestLeaseEnd()
		if order.Token <= *last || !s.earlierClock.CompareAndSwap(last, nil) {
			stray = carriedOut.Add(MaxOrderDelay)
		}
	}
	if !carriedOut.IsZero() {
		recordLatest(&s.leaseEnd, carriedOut)
	}
	return carriedOut, stray
}

// newReport returns the report that an answer contains and records the worker's
// clock.
func (s *Session) newReport(order RenewalOrder, sent time.Time, answer RenewalAnswer) cell.Report {
	s.recordClock(answer.Clock, answer.Incarnation, sent)
	report := cell.Report{
		Worker:      s.worker,
		Incarnation: answer.Incarnation,
		Sent:        sent,
		Token:       order.Token,
		Running:     answer.Running,
		Ended:       answer.Ended,
		Complete:    answer.Complete,
	}
	report.LeaseUntil = order.leaseEnd(sent)
	report.EarlierClockUntil, report.StrayUntil = s.earlierClockEnds(order, answer.Incarnation)
	return report
}

// leaseEnd returns when the lease that the order grants has ended at the latest, if the
// incarnation carries it out that it was meant for. It is zero if the order grants none.
func (o RenewalOrder) leaseEnd(sent time.Time) time.Time {
	if o.LeaseUntil == 0 {
		return time.Time{}
	}
	return latestLeaseEnd(sent)
}

// latestLeaseEnd returns the local time at which a lease granted by a call sent
// at sent has ended for certain, even if the worker's clock is slow.
func latestLeaseEnd(sent time.Time) time.Time {
	return sent.Add(onSlowClock(LeaseDuration) + callTimeout/2 + leaseMargin)
}
