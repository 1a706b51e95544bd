package worker

import (
	"context"
	"slices"
	"sync"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// runningTasks holds the tasks that a session tracks. No I/O is done while mu is
// held.
type runningTasks struct {
	mu      sync.Mutex
	entries map[ident.TaskID]*runningTask
	// ended is whether the session has ended and accepts no more tasks.
	ended bool
}

// runningTask is one task whose run lease the session renews.
type runningTask struct {
	// learnedAt is when the session learned that the task runs.
	learnedAt time.Time
	// renewedAt is the latest time at which the worker can have received a
	// renewal.
	renewedAt time.Time
	// renewing is whether a renewal is in progress.
	renewing bool
	// renewalStopped is whether StopRenewal was called.
	renewalStopped bool
	// onEnd is called when the task is known to have ended.
	onEnd func(TaskReport)
}

// Measurement is a usage report with the time of its arrival.
type Measurement struct {
	UsageReport
	ReceivedAt time.Time
}

// TrackTask renews the run lease of a task until the task has ended or
// StopRenewal was called. started is the time at which the worker last confirmed
// the run lease. onEnd is called once, without a lock held, when the task is
// known to have ended. A report with state TaskUnknown means that the run lease
// has ended or that the worker forgot the task; one with state TaskRunning means
// that the session ended and the task goes on.
func (s *Session) TrackTask(task ident.TaskID, started time.Time, onEnd func(TaskReport)) {
	if !s.addTask(task, &runningTask{learnedAt: started, renewedAt: started, onEnd: onEnd}) {
		onEnd(TaskReport{Task: task, State: work.TaskRunning})
	}
}

func (s *Session) addTask(task ident.TaskID, entry *runningTask) bool {
	s.runningTasks.mu.Lock()
	defer s.runningTasks.mu.Unlock()
	if s.runningTasks.ended {
		return false
	}
	s.runningTasks.entries[task] = entry
	return true
}

// OnTaskEnd adds onEnd to the functions that are called when a tracked task has
// ended, as for TrackTask. It returns false for a task that is not tracked.
func (s *Session) OnTaskEnd(task ident.TaskID, onEnd func(TaskReport)) bool {
	s.runningTasks.mu.Lock()
	defer s.runningTasks.mu.Unlock()
	entry, found := s.runningTasks.entries[task]
	if !found {
		return false
	}
	earlier := entry.onEnd
	entry.onEnd = func(report TaskReport) {
		earlier(report)
		onEnd(report)
	}
	return true
}

// releaseTasks ends the renewal of every task when the session ends, and
// reports the tasks as running.
func (s *Session) releaseTasks() {
	s.runningTasks.mu.Lock()
	s.runningTasks.ended = true
	s.runningTasks.mu.Unlock()
	for _, task := range s.TrackedTasks() {
		s.RecordTaskEnd(TaskReport{Task: task, State: work.TaskRunning})
	}
}

// StopRenewal guarantees that no further renewal of the task is sent. It returns
// the time by which the task's run lease has ended at the worker. It returns
// false for a task that is not tracked, since the session knows nothing about
// its lease.
func (s *Session) StopRenewal(task ident.TaskID) (time.Time, bool) {
	s.runningTasks.mu.Lock()
	defer s.runningTasks.mu.Unlock()
	entry, found := s.runningTasks.entries[task]
	if !found {
		return time.Time{}, false
	}
	entry.renewalStopped = true
	return s.latestRenewal(entry).Add(RunLeasePeriod + ClockMargin), true
}

// LastRenewal returns the latest time at which the worker can have received a
// renewal of the task that was sent so far. It returns false for a task that is
// not tracked.
func (s *Session) LastRenewal(task ident.TaskID) (time.Time, bool) {
	s.runningTasks.mu.Lock()
	defer s.runningTasks.mu.Unlock()
	entry, found := s.runningTasks.entries[task]
	if !found {
		return time.Time{}, false
	}
	return s.latestRenewal(entry), true
}

// latestRenewal returns the latest time at which the worker can have received a
// renewal of the task. A renewal without an answer counts as arriving at its
// timeout.
func (s *Session) latestRenewal(entry *runningTask) time.Time {
	if entry.renewing {
		return s.clock.Now().Add(commandTimeout)
	}
	return entry.renewedAt
}

// TrackedTasks returns the tracked tasks, which are those not known to have
// ended, sorted by identifier.
func (s *Session) TrackedTasks() []ident.TaskID {
	return s.selectTasks(func(*runningTask) bool { return true })
}

func (s *Session) selectTasks(matches func(*runningTask) bool) []ident.TaskID {
	s.runningTasks.mu.Lock()
	defer s.runningTasks.mu.Unlock()
	var tasks []ident.TaskID
	for task, entry := range s.runningTasks.entries {
		if matches(entry) {
			tasks = append(tasks, task)
		}
	}
	slices.Sort(tasks)
	return tasks
}

// RecordTaskEnd records that a task is known to have ended. It does nothing for
// a task that is not tracked.
func (s *Session) RecordTaskEnd(report TaskReport) {
	s.runningTasks.mu.Lock()
	entry, found := s.runningTasks.entries[report.Task]
	delete(s.runningTasks.entries, report.Task)
	s.runningTasks.mu.Unlock()
	if found {
		entry.onEnd(report)
	}
}

// renewTasks renews the run leases of all tracked tasks, except those for which
// StopRenewal was called.
func (s *Session) renewTasks(ctx context.Context) error {
	s.expireTasks()
	if err := s.checkOpen(s.continuationFence); err != nil {
		return err
	}
	batch := s.selectTasks(func(entry *runningTask) bool {
		entry.renewing = !entry.renewalStopped
		return entry.renewing
	})
	if len(batch) == 0 {
		return nil
	}
	missing, err := s.RenewTasks(ctx, batch, RunLeasePeriod)
	s.endRenewal(batch, fault.KindOf(err) != fault.WorkerUnreachable)
	if err != nil {
		return err
	}
	return s.checkTasks(ctx, missing)
}

// endRenewal records the end of one renewal of a batch. If the renewal was
// sent, the leases count from now, since it may have reached the worker at any
// time until now.
func (s *Session) endRenewal(batch []ident.TaskID, sent bool) {
	now := s.clock.Now()
	s.runningTasks.mu.Lock()
	defer s.runningTasks.mu.Unlock()
	for _, task := range batch {
		entry, found := s.runningTasks.entries[task]
		if !found {
			continue
		}
		entry.renewing = false
		if sent {
			entry.renewedAt = now
		}
	}
}

// checkTasks asks the worker for tasks that seem to have ended and records
// those that have.
func (s *Session) checkTasks(ctx context.Context, tasks []ident.TaskID) error {
	for _, task := range tasks {
		report, err := s.Task(ctx, task)
		if err != nil {
			return err
		}
		report.Task = task
		if report.State != work.TaskRunning {
			s.RecordTaskEnd(report)
		}
	}
	return nil
}

// expireTasks ends the tasks whose run leases have ended at the worker.
func (s *Session) expireTasks() {
	limit := s.clock.Now().Add(-RunLeasePeriod - ClockMargin)
	expired := s.selectTasks(func(entry *runningTask) bool {
		return !entry.renewing && entry.renewedAt.Before(limit)
	})
	for _, task := range expired {
		s.RecordTaskEnd(TaskReport{Task: task, State: work.TaskUnknown})
	}
}

// LatestMeasurement returns the latest polled measurement, or nil if there is
// none.
func (s *Session) LatestMeasurement() *Measurement { return s.usage.Load() }

// pollUsage polls the usage, and asks for tasks that the report no longer names
// although they were known when it was measured.
func (s *Session) pollUsage(ctx context.Context) error {
	s.expireTasks()
	report, err := s.Usage(ctx)
	if err != nil {
		return err
	}
	now := s.clock.Now()
	s.usage.Store(&Measurement{UsageReport: report, ReceivedAt: now})
	reported := map[ident.TaskID]bool{}
	for _, usage := range report.Tasks {
		reported[usage.Task] = true
	}
	measuredAt := now.Add(-report.Age)
	var unreported []ident.TaskID
	for _, task := range s.selectTasks(func(entry *runningTask) bool { return entry.learnedAt.Before(measuredAt) }) {
		if !reported[task] {
			unreported = append(unreported, task)
		}
	}
	return s.checkTasks(ctx, unreported)
}
