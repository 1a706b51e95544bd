package worker

import (
	"context"
	"sync"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

const (
	// continuityPeriod is how long the worker may be out of reach before its
	// continuity can't be proved any more. It equals the run lease, after which
	// the tasks of an unreachable worker are over anyway.
	continuityPeriod = RunLeasePeriod
	// continuityRenewal is the time between renewals that nobody asked for. A
	// renewal is small, and four may be lost before the lease lapses.
	continuityRenewal = 4 * time.Second
)

// continuityBook holds the continuity lease: a lease at the worker that no
// start names, which a worker forgets when it restarts. A renewal that arrives
// late extends nothing but this lease, so it is harmless. The critical sections
// do no I/O.
type continuityBook struct {
	mu sync.Mutex
	// id is the lease that is held, or empty.
	id ident.LeaseID
	// count is how many continuity leases were granted.
	count uint64
	// verified is when the newest message was sent that proved the lease.
	verified time.Time
}

// Continuity returns a count and the time up to which it is known. If two
// calls return the same count, the worker did not restart from the first call
// to the known time of the second. Each session has a count of its own, which
// starts at 1 before the session's first start lease.
func (s *Session) Continuity() (count uint64, known time.Time) {
	s.continuity.mu.Lock()
	defer s.continuity.mu.Unlock()
	return s.continuity.count, s.continuity.verified
}

// CoversAllStarts reports whether the continuity that a count stands for began
// before any start was sent to the worker by this or an earlier owner. After a
// takeover it never does: the worker may have restarted after a start of an
// earlier owner and before this session's first lease.
func (s *Session) CoversAllStarts(count uint64) bool {
	return s.only && count == 1
}

// ProveContinuity asks for a renewal now, so that the known time of Continuity
// soon passes the present if the worker answers.
func (s *Session) ProveContinuity() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// keepContinuity renews the continuity lease, or gets a new one if the worker
// no longer knows it.
func (s *Session) keepContinuity(ctx context.Context) error {
	if err := s.fenced(); err != nil {
		return err
	}
	id := s.continuityLease()
	if id == "" {
		return s.grantContinuity(ctx)
	}
	sent := s.clock.Now()
	err := s.RenewLease(ctx, id, continuityPeriod)
	switch fault.KindOf(err) {
	case "":
		s.verify(sent)
		return nil
	case fault.LeaseLapsed:
		s.loseContinuity()
		return s.grantContinuity(ctx)
	default:
		return err
	}
}

func (s *Session) continuityLease() ident.LeaseID {
	s.continuity.mu.Lock()
	defer s.continuity.mu.Unlock()
	return s.continuity.id
}

func (s *Session) grantContinuity(ctx context.Context) error {
	id := s.nextLeaseID("continuity")
	sent := s.clock.Now()
	if err := s.requestLease(ctx, id, continuityPeriod); err != nil {
		return err
	}
	s.continuity.mu.Lock()
	defer s.continuity.mu.Unlock()
	s.continuity.id = id
	s.continuity.count++
	s.continuity.verified = sent
	if s.continuity.count == 1 {
		close(s.remembered)
	}
	return nil
}

func (s *Session) verify(sent time.Time) {
	s.continuity.mu.Lock()
	defer s.continuity.mu.Unlock()
	s.continuity.verified = sent
}

func (s *Session) loseContinuity() {
	s.continuity.mu.Lock()
	defer s.continuity.mu.Unlock()
	s.continuity.id = ""
}
