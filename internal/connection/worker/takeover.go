package worker

import (
	"context"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// EarlierOwnersOver says that no earlier owner can send to the worker any
// more. The wait for their start leases is counted from this call.
func (s *Session) EarlierOwnersOver() {
	s.clearOnce.Do(func() { close(s.cleared) })
}

// TakenOver reports whether every start of earlier owners has been counted or
// will be refused by the worker, and the worker was not handed over since.
func (s *Session) TakenOver() bool {
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	return s.leases.ready
}

// takeOver opens the worker for starts once every start of earlier owners has
// either been counted or will be refused by the worker. Lease says why the
// wait covers every start.
func (s *Session) takeOver(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-s.cleared:
	}
	s.sleep(ctx, nil, StartLeasePeriod+ClockMargin)
	for failures := 1; ctx.Err() == nil; failures++ {
		if s.bounded(ctx, s.countInventory) == nil {
			return
		}
		s.sleep(ctx, nil, backoff(failures, s.random()))
	}
}

// countInventory counts what runs at the worker and makes the session ready.
func (s *Session) countInventory(ctx context.Context) error {
	if err := s.fenced(); err != nil {
		return err
	}
	// A leaving worker grants no lease, but its tasks still have to be kept.
	if !s.holdsLease() && !s.Leaving() {
		return fault.New(fault.OwnerNotReady, "no start lease at worker %s", s.worker)
	}
	read := s.clock.Now()
	reports, err := s.Inventory(ctx)
	if err != nil {
		return err
	}
	found := map[ident.TaskID]bool{}
	for _, report := range reports {
		if report.State == work.TaskRunning {
			found[report.Task] = true
			s.count(report, read)
		}
	}
	s.found.Store(&found)
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	if s.leases.closed {
		return nil
	}
	s.leases.ready = true
	s.lease.Store(s.leases.newest)
	return nil
}

// FoundRunning reports whether the takeover found a task running. It takes no
// lock, and its answer is final once StartLease has returned a lease.
func (s *Session) FoundRunning(task ident.TaskID) bool {
	found := s.found.Load()
	return found != nil && (*found)[task]
}

func (s *Session) holdsLease() bool {
	s.leases.mu.Lock()
	defer s.leases.mu.Unlock()
	return s.leases.newest != nil
}

// count adds a running task to the ledger until it is known to be over.
func (s *Session) count(report TaskReport, read time.Time) {
	demand := report.Demand
	s.account.Count(demand)
	s.Keep(report.Task, read, func(TaskReport) { s.account.Release(demand) })
}
