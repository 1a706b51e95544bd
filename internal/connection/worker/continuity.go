package worker

import (
	"context"
	"sync"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

const (
	// continuityLeasePeriod is how long a worker may be unreachable before its
	// continuity can no longer be proved. It equals the run lease, after which
	// the tasks of an unreachable worker have ended anyway.
	continuityLeasePeriod = RunLeasePeriod
	// continuityRenewalPeriod is the time between two regular renewals, apart
	// from those that RequestContinuityProof triggers. A renewal is small, and
	// four may be lost before the lease expires.
	continuityRenewalPeriod = 4 * time.Second
)

// continuityLease is the state of the continuity lease: a lease that no start
// names, and that the worker forgets when it restarts. A renewal that arrives
// late extends nothing but this lease, so it is harmless. No I/O is done while
// mu is held.
type continuityLease struct {
	mu sync.Mutex
	// id is the current lease, or empty.
	id ident.LeaseID
	// count is the number of continuity leases granted so far.
	count uint64
	// verifiedAt is the send time of the newest message that proved the lease.
	verifiedAt time.Time
}

// Continuity returns a count and the time up to which it is proved. If two
// calls return the same count, the worker did not restart between the first
// call and the proved time of the second. Each session has its own count, which
// is 1 before the session's first start lease is granted.
func (s *Session) Continuity() (count uint64, provenUntil time.Time) {
	s.continuityLease.mu.Lock()
	defer s.continuityLease.mu.Unlock()
	return s.continuityLease.count, s.continuityLease.verifiedAt
}

// RemembersAllStarts reports whether the continuity that a count stands for
// began before any start was sent to the worker by this or an earlier owner.
// After a takeover it is always false: the worker may have restarted after a
// start of an earlier owner and before this session's first lease.
func (s *Session) RemembersAllStarts(count uint64) bool {
	return s.neverOwnedBefore && count == 1
}

// RequestContinuityProof triggers a renewal now, so that the time returned by
// Continuity soon passes the time of this call if the worker answers.
func (s *Session) RequestContinuityProof() {
	select {
	case s.continuityWake <- struct{}{}:
	default:
	}
}

// renewContinuity renews the continuity lease, or gets a new one if the worker
// no longer knows it.
func (s *Session) renewContinuity(ctx context.Context) error {
	if err := s.checkFence(); err != nil {
		return err
	}
	id := s.continuityLeaseID()
	if id == "" {
		return s.grantContinuity(ctx)
	}
	sent := s.clock.Now()
	err := s.RenewLease(ctx, id, continuityLeasePeriod)
	switch fault.KindOf(err) {
	case "":
		s.setContinuityVerified(sent)
		return nil
	case fault.LeaseExpired:
		s.clearContinuity()
		return s.grantContinuity(ctx)
	default:
		return err
	}
}

func (s *Session) continuityLeaseID() ident.LeaseID {
	s.continuityLease.mu.Lock()
	defer s.continuityLease.mu.Unlock()
	return s.continuityLease.id
}

func (s *Session) grantContinuity(ctx context.Context) error {
	id := s.nextLeaseID("continuity")
	sent := s.clock.Now()
	if err := s.requestLease(ctx, id, continuityLeasePeriod); err != nil {
		return err
	}
	s.continuityLease.mu.Lock()
	defer s.continuityLease.mu.Unlock()
	s.continuityLease.id = id
	s.continuityLease.count++
	s.continuityLease.verifiedAt = sent
	if s.continuityLease.count == 1 {
		close(s.firstContinuityGranted)
	}
	return nil
}

func (s *Session) setContinuityVerified(sent time.Time) {
	s.continuityLease.mu.Lock()
	defer s.continuityLease.mu.Unlock()
	s.continuityLease.verifiedAt = sent
}

func (s *Session) clearContinuity() {
	s.continuityLease.mu.Lock()
	defer s.continuityLease.mu.Unlock()
	s.continuityLease.id = ""
}
