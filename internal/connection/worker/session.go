package worker

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

const (
	// StartLeasePeriod is how long a start lease lasts without renewal.
	StartLeasePeriod = 3 * time.Second
	// startLeaseRenewal is the time between renewals of a start lease.
	startLeaseRenewal = 1 * time.Second
	// RunLeasePeriod is how long a task runs without renewal.
	RunLeasePeriod = 20 * time.Second
	// ClockMargin covers the difference in clock rate between two machines over
	// one lease.
	ClockMargin = 500 * time.Millisecond
)

// Session holds the start lease at one owned worker. StartLease takes no lock.
type Session struct {
	API
	clock  clock.Clock
	worker ident.WorkerID
	holder ident.Incarnation
	grants uint64
	lease  atomic.Pointer[startLease]
}

// startLease is an immutable version of the session's lease.
type startLease struct {
	id    ident.LeaseID
	until time.Time
}

// NewSession returns a session without a lease.
func NewSession(api API, clock clock.Clock, worker ident.WorkerID, holder ident.Incarnation) *Session {
	return &Session{API: api, clock: clock, worker: worker, holder: holder}
}

// StartLease returns the lease for a start sent now. The lease is counted from
// before its renewal was sent, so it ends here before it ends at the worker.
func (s *Session) StartLease(now time.Time) (ident.LeaseID, error) {
	lease := s.lease.Load()
	if lease == nil || !now.Before(lease.until) {
		return "", fault.New(fault.OwnerNotReady, "no start lease at worker %s", s.worker)
	}
	return lease.id, nil
}

// Run keeps a start lease at the worker until ctx ends.
func (s *Session) Run(ctx context.Context) {
	ticker := s.clock.NewTicker(startLeaseRenewal)
	defer ticker.Stop()
	for {
		s.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// renew extends the lease, or gets a new one if the worker doesn't extend it.
func (s *Session) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startLeaseRenewal)
	defer cancel()
	sent := s.clock.Now()
	current := s.lease.Load()
	if current != nil {
		if s.RenewLease(ctx, current.id, StartLeasePeriod) == nil {
			s.lease.Store(&startLease{id: current.id, until: sent.Add(StartLeasePeriod)})
			return
		}
	}
	s.grants++
	id := ident.LeaseID(fmt.Sprintf("%s-%s-%d", s.holder, s.worker, s.grants))
	if s.GrantLease(ctx, id, StartLeasePeriod) == nil {
		s.lease.Store(&startLease{id: id, until: sent.Add(StartLeasePeriod)})
	}
}
