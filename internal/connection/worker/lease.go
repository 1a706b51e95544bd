package worker

import (
	"context"
	"fmt"
	"sync"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

// startLease is an immutable version of the session's lease.
type startLease struct {
	id    ident.LeaseID
	until time.Time
}

// leaseBook is what a session knows of its start leases. Its critical sections
// do no I/O.
type leaseBook struct {
	mu sync.Mutex
	// ready is whether new starts may use the lease.
	ready bool
	// closed is whether the worker was handed over.
	closed  bool
	current *startLease
	// confirmed is when the worker last answered for current.
	confirmed time.Time
	// renewing is whether a renewal of current may be under way.
	renewing bool
	// closing holds retired leases that prove, by one last renewal after the
	// grant of the next lease, that the worker did not restart in between.
	closing []ident.LeaseID
	// breaks counts the times at which the worker may have restarted.
	breaks uint64
	// verified is when the newest renewal was sent that the worker confirmed.
	verified time.Time
	// retired holds the time at which each retired lease is over.
	retired map[ident.LeaseID]time.Time
	grants  uint64
}

// maxLeaseEnd is how long after now any lease of the session is over at the
// worker, even if a renewal under way and the last one that proves continuity
// each arrive at the last moment.
const maxLeaseEnd = 3*StartLeasePeriod + ClockMargin

// keepLease extends the lease, or gets a new one if that is not possible.
func (s *Session) keepLease(ctx context.Context) error {
	if err := s.fenced(); err != nil {
		return err
	}
	id, found := s.beginRenewal()
	if !found {
		return s.grant(ctx)
	}
	sent := s.clock.Now()
	err := s.RenewLease(ctx, id, StartLeasePeriod)
	s.endRenewal(id, sent, err)
	if err == nil || fault.KindOf(err) == fault.WorkerUnreachable {
		return err
	}
	return s.grant(ctx)
}

func (s *Session) beginRenewal() (ident.LeaseID, bool) {
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	if s.leases.current == nil {
		return "", false
	}
	s.leases.renewing = true
	return s.leases.current.id, true
}

// endRenewal applies the result of a renewal. A renewal without an answer may
// still arrive, so its lease is retired rather than renewed once more; that
// bounds how far late renewals can extend a lease.
func (s *Session) endRenewal(id ident.LeaseID, sent time.Time, err error) {
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	if s.leases.current == nil || s.leases.current.id != id {
		s.leases.renewing = false
		return
	}
	switch fault.KindOf(err) {
	case "":
		s.leases.renewing = false
		s.leases.verified = sent
		s.adopt(id, sent)
	case fault.WorkerUnreachable:
		s.leases.renewing = false
	case fault.LeaseLapsed:
		s.leases.breaks++
		s.retire(s.clock.Now())
	default:
		s.retireForProof()
	}
}

// grant asks for a lease with a new identifier.
func (s *Session) grant(ctx context.Context) error {
	id, open := s.nextLease()
	if !open {
		return nil
	}
	if err := s.fenced(); err != nil {
		return err
	}
	sent := s.clock.Now()
	err := s.GrantLease(ctx, id, StartLeasePeriod)
	if fault.KindOf(err) == fault.WorkerLeaving {
		s.MarkLeaving()
	}
	if err != nil {
		return err
	}
	closing := s.granted(id, sent)
	for _, old := range closing {
		s.prove(ctx, old)
	}
	return nil
}

func (s *Session) granted(id ident.LeaseID, sent time.Time) []ident.LeaseID {
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	if s.leases.closed {
		return nil
	}
	s.adopt(id, sent)
	closing := s.leases.closing
	s.leases.closing = nil
	return closing
}

// prove renews a retired lease once. If the worker still holds it, it did not
// restart between the grants of the old and the new lease.
func (s *Session) prove(ctx context.Context, old ident.LeaseID) {
	err := s.fenced()
	if err == nil {
		err = s.RenewLease(ctx, old, StartLeasePeriod)
	}
	if err == nil {
		return
	}
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	s.leases.breaks++
}

// Continuity returns how often the worker may have restarted, and until when
// that is known. If two calls return the same count, the worker did not restart
// from the first call to the known time of the second.
func (s *Session) Continuity() (breaks uint64, known time.Time) {
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	return s.leases.breaks, s.leases.verified
}

func (s *Session) nextLease() (ident.LeaseID, bool) {
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	s.leases.grants++
	id := fmt.Sprintf("%s-%s-%d", s.holder, s.worker, s.leases.grants)
	return ident.LeaseID(id), !s.leases.closed
}

// adopt makes a confirmed lease the current one.
func (s *Session) adopt(id ident.LeaseID, sent time.Time) {
	s.leases.current = &startLease{id: id, until: sent.Add(StartLeasePeriod)}
	s.leases.confirmed = s.clock.Now()
	if s.leases.ready {
		s.lease.Store(s.leases.current)
	}
}

// end returns when the current lease is over at the worker if it is never
// renewed again.
func (b *leaseBook) end() time.Time {
	end := b.confirmed.Add(StartLeasePeriod + ClockMargin)
	if b.renewing {
		end = end.Add(StartLeasePeriod)
	}
	return end
}

// retire gives the current lease up; it is over at the worker at end.
func (s *Session) retire(end time.Time) {
	now := s.clock.Now()
	for id, over := range s.leases.retired {
		if now.Sub(over) > maxLeaseEnd {
			delete(s.leases.retired, id)
		}
	}
	s.leases.retired[s.leases.current.id] = end
	s.leases.current = nil
	s.leases.renewing = false
	s.lease.Store(nil)
}

// retireForProof gives the current lease up, and returns when it is over at
// the worker even after the last renewal that proves continuity.
func (s *Session) retireForProof() time.Time {
	end := s.leases.end().Add(StartLeasePeriod)
	s.leases.closing = append(s.leases.closing, s.leases.current.id)
	s.retire(end)
	return end
}

// RetireLease ends the renewals of a lease, except for one that proves that the
// worker did not restart, and returns when the lease is over at the worker in
// any case. New starts get a new lease.
func (s *Session) RetireLease(id ident.LeaseID) time.Time {
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	if end, found := s.leases.retired[id]; found {
		return end
	}
	if s.leases.current == nil || s.leases.current.id != id {
		return s.clock.Now().Add(maxLeaseEnd)
	}
	end := s.retireForProof()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return end
}

// HandOver ends starts on the worker for good and returns when the last start
// lease is over there. Run leases are renewed until Run ends.
func (s *Session) HandOver() time.Time {
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	end := s.clock.Now()
	if s.leases.current != nil {
		end = s.leases.end()
		s.retire(end)
	}
	s.leases.closed = true
	s.leases.ready = false
	return end
}
