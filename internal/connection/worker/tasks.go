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

// taskBook holds the running tasks of a session. Its critical sections do no
// I/O.
type taskBook struct {
	mu      sync.Mutex
	entries map[ident.TaskID]*runTask
	// ended is whether the session ended and keeps no more tasks.
	ended bool
}

// runTask is one task whose run lease the session renews.
type runTask struct {
	// kept is when the session learnt that the task runs.
	kept time.Time
	// renewed is the latest time at which the worker can have got a renewal.
	renewed time.Time
	// renewing is whether a renewal is under way.
	renewing bool
	givenUp  bool
	over     func(TaskReport)
}

// Measurement is a usage report with the time it arrived.
type Measurement struct {
	UsageReport
	Arrived time.Time
}

// Keep renews the run lease of a task until it is over or given up. started is
// the time at which the worker last confirmed the run lease. over is called
// once, without a lock held, when the task is known to be over; a report with
// state TaskUnknown means that its run lease is over or the worker forgot it,
// and one with state TaskRunning that the session ended and the task goes on.
func (s *Session) Keep(task ident.TaskID, started time.Time, over func(TaskReport)) {
	if !s.keep(task, &runTask{kept: started, renewed: started, over: over}) {
		over(TaskReport{Task: task, State: work.TaskRunning})
	}
}

func (s *Session) keep(task ident.TaskID, entry *runTask) bool {
	s.tasks.mu.Lock()
	defer s.tasks.mu.Unlock()
	if s.tasks.ended {
		return false
	}
	s.tasks.entries[task] = entry
	return true
}

// Watch calls over too when a kept task is over, as Keep would. It reports false
// for a task that is not kept.
func (s *Session) Watch(task ident.TaskID, over func(TaskReport)) bool {
	s.tasks.mu.Lock()
	defer s.tasks.mu.Unlock()
	entry, found := s.tasks.entries[task]
	if !found {
		return false
	}
	first := entry.over
	entry.over = func(report TaskReport) {
		first(report)
		over(report)
	}
	return true
}

// abandon lets go of every task when the session ends.
func (s *Session) abandon() {
	s.tasks.mu.Lock()
	s.tasks.ended = true
	s.tasks.mu.Unlock()
	for _, task := range s.Tasks() {
		s.Finish(TaskReport{Task: task, State: work.TaskRunning})
	}
}

// GiveUp guarantees that no further renewal of the task is sent, and returns
// when its run lease is over at the worker. It reports false for a task that is
// not kept, of which nothing is known here.
func (s *Session) GiveUp(task ident.TaskID) (time.Time, bool) {
	s.tasks.mu.Lock()
	defer s.tasks.mu.Unlock()
	entry, found := s.tasks.entries[task]
	if !found {
		return time.Time{}, false
	}
	entry.givenUp = true
	return s.lastRenewal(entry).Add(RunLeasePeriod + ClockMargin), true
}

// LastRenewal returns the latest time at which the worker can have received a
// renewal of the task that was sent so far.
func (s *Session) LastRenewal(task ident.TaskID) (time.Time, bool) {
	s.tasks.mu.Lock()
	defer s.tasks.mu.Unlock()
	entry, found := s.tasks.entries[task]
	if !found {
		return time.Time{}, false
	}
	return s.lastRenewal(entry), true
}

// lastRenewal counts a renewal that is under way as arriving at its timeout.
func (s *Session) lastRenewal(entry *runTask) time.Time {
	if entry.renewing {
		return s.clock.Now().Add(commandTimeout)
	}
	return entry.renewed
}

// Tasks returns the tasks whose end is not known yet, in order.
func (s *Session) Tasks() []ident.TaskID {
	return s.collect(func(*runTask) bool { return true })
}

func (s *Session) collect(choose func(*runTask) bool) []ident.TaskID {
	s.tasks.mu.Lock()
	defer s.tasks.mu.Unlock()
	var tasks []ident.TaskID
	for task, entry := range s.tasks.entries {
		if choose(entry) {
			tasks = append(tasks, task)
		}
	}
	slices.Sort(tasks)
	return tasks
}

// Finish records that a task is known to be over. It does nothing for a task
// that is not kept.
func (s *Session) Finish(report TaskReport) {
	s.tasks.mu.Lock()
	entry, found := s.tasks.entries[report.Task]
	delete(s.tasks.entries, report.Task)
	s.tasks.mu.Unlock()
	if found {
		entry.over(report)
	}
}

// renewTasks renews the run leases of all tasks that should go on.
func (s *Session) renewTasks(ctx context.Context) error {
	s.expire()
	if err := s.under(s.keeping); err != nil {
		return err
	}
	batch := s.collect(func(entry *runTask) bool {
		entry.renewing = !entry.givenUp
		return entry.renewing
	})
	if len(batch) == 0 {
		return nil
	}
	missing, err := s.RenewTasks(ctx, batch, RunLeasePeriod)
	s.renewed(batch, fault.KindOf(err) != fault.WorkerUnreachable)
	if err != nil {
		return err
	}
	return s.check(ctx, missing)
}

// renewed ends a batch. A renewal that was sent counts from now, since it may
// have reached the worker at any time until now.
func (s *Session) renewed(batch []ident.TaskID, sent bool) {
	now := s.clock.Now()
	s.tasks.mu.Lock()
	defer s.tasks.mu.Unlock()
	for _, task := range batch {
		entry, found := s.tasks.entries[task]
		if !found {
			continue
		}
		entry.renewing = false
		if sent {
			entry.renewed = now
		}
	}
}

// check asks for tasks that seem to be over.
func (s *Session) check(ctx context.Context, tasks []ident.TaskID) error {
	for _, task := range tasks {
		report, err := s.Task(ctx, task)
		if err != nil {
			return err
		}
		report.Task = task
		if report.State != work.TaskRunning {
			s.Finish(report)
		}
	}
	return nil
}

// expire ends the tasks whose run lease is over at the worker.
func (s *Session) expire() {
	limit := s.clock.Now().Add(-RunLeasePeriod - ClockMargin)
	lapsed := s.collect(func(entry *runTask) bool {
		return !entry.renewing && entry.renewed.Before(limit)
	})
	for _, task := range lapsed {
		s.Finish(TaskReport{Task: task, State: work.TaskUnknown})
	}
}

// Measured returns the newest measurement that was polled, or nil.
func (s *Session) Measured() *Measurement { return s.usage.Load() }

// poll reads the usage and asks for tasks that the report no longer names.
func (s *Session) poll(ctx context.Context) error {
	s.expire()
	report, err := s.Usage(ctx)
	if err != nil {
		return err
	}
	now := s.clock.Now()
	s.usage.Store(&Measurement{UsageReport: report, Arrived: now})
	named := map[ident.TaskID]bool{}
	for _, usage := range report.Tasks {
		named[usage.Task] = true
	}
	measured := now.Add(-report.Age)
	var absent []ident.TaskID
	for _, task := range s.collect(func(entry *runTask) bool { return entry.kept.Before(measured) }) {
		if !named[task] {
			absent = append(absent, task)
		}
	}
	return s.check(ctx, absent)
}
