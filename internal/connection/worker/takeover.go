package worker

import (
	"context"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// ConfirmEarlierOwnersOver records that no earlier owner can send commands to
// the worker any more. The wait for their start leases is counted from this
// call.
func (s *Session) ConfirmEarlierOwnersOver() {
	s.earlierOwnersOverOnce.Do(func() { close(s.earlierOwnersOver) })
}

// TakeoverComplete reports whether every start of earlier owners has been
// counted or will be refused by the worker, and StopStarts was not called since.
func (s *Session) TakeoverComplete() bool {
	s.startLeases.mu.Lock()
	defer s.startLeases.mu.Unlock()
	return s.startLeases.ready
}

// takeOver makes the session ready for starts once every start of earlier
// owners has either been counted or will be refused by the worker. The comment
// of Lease explains why the wait covers every start.
func (s *Session) takeOver(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-s.earlierOwnersOver:
	}
	s.sleep(ctx, nil, StartLeasePeriod+ClockMargin)
	for failures := 1; ctx.Err() == nil; failures++ {
		if s.runWithTimeout(ctx, s.countRunningTasks) == nil {
			return
		}
		s.sleep(ctx, nil, backoff(failures, s.random()))
	}
}

// countRunningTasks counts the tasks that run at the worker in the ledger and
// makes the session ready.
func (s *Session) countRunningTasks(ctx context.Context) error {
	if err := s.checkFence(); err != nil {
		return err
	}
	// A leaving worker grants no lease, but its running tasks must still be
	// counted and their run leases renewed.
	if !s.hasStartLease() && !s.Leaving() {
		return fault.New(fault.OwnerNotReady, "no valid start lease at worker %s", s.worker)
	}
	readAt := s.clock.Now()
	reports, err := s.Inventory(ctx)
	if err != nil {
		return err
	}
	found := map[ident.TaskID]bool{}
	for _, report := range reports {
		if report.State == work.TaskRunning {
			found[report.Task] = true
			s.countTask(report, readAt)
		}
	}
	s.foundRunning.Store(&found)
	s.startLeases.mu.Lock()
	defer s.startLeases.mu.Unlock()
	if s.startLeases.stopped {
		return nil
	}
	s.startLeases.ready = true
	s.usableStartLease.Store(s.startLeases.newest)
	return nil
}

// FoundRunningAtTakeover reports whether the takeover found a task running. It
// takes no lock. Its answer is final once StartLease has returned a lease.
func (s *Session) FoundRunningAtTakeover(task ident.TaskID) bool {
	found := s.foundRunning.Load()
	return found != nil && (*found)[task]
}

func (s *Session) hasStartLease() bool {
	s.startLeases.mu.Lock()
	defer s.startLeases.mu.Unlock()
	return s.startLeases.newest != nil
}

// countTask adds a running task to the ledger until it is known to have ended.
func (s *Session) countTask(report TaskReport, readAt time.Time) {
	demand := report.Demand
	s.account.AddRunning(demand)
	s.TrackTask(report.Task, readAt, func(TaskReport) { s.account.Release(demand) })
}
