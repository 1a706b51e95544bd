// Package start carries out one start on a worker that this instance owns.
//
// A start leaves the process only while the instance's own lease and the start
// lease at the worker last and the ledger has reserved the demand. The
// reservation is returned only when the task is known to be over. A task
// identifier is sent a second time only if its first start was provably
// refused.
package start

import (
	"context"
	"sync"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/fence"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/ledger"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

// Session is the connection to an owned worker.
type Session interface {
	// StartLease returns the lease for a start sent now, or OwnerNotReady.
	StartLease(now time.Time) (worker.Lease, error)
	// Keep renews a task's run lease and calls over once when it is over.
	Keep(task ident.TaskID, started time.Time, over func(worker.TaskReport))
	// Watch calls over too when a kept task is over; false if it is not kept.
	Watch(task ident.TaskID, over func(worker.TaskReport)) bool
	// GiveUp ends renewals of a task and returns when its run lease is over.
	GiveUp(task ident.TaskID) (time.Time, bool)
	// Continuity returns a count that changes when the worker may have
	// restarted, and until when it is known.
	Continuity() (count uint64, known time.Time)
	// ProveContinuity has the known time of Continuity advanced soon.
	ProveContinuity()
	// CoversAllStarts reports whether the worker remembers, since Continuity
	// had a count, every start that any owner sent to it.
	CoversAllStarts(count uint64) bool
	// TakenOver reports whether no start of an earlier owner can arrive.
	TakenOver() bool
	// Finish records that a kept task is over.
	Finish(report worker.TaskReport)
	// FoundRunning reports whether an earlier owner's task was found running.
	FoundRunning(task ident.TaskID) bool
	// MarkLeaving ends starts at a worker that refused one as leaving.
	MarkLeaving()
	worker.API
}

// Sessions finds the session of an owned worker.
type Sessions interface {
	Session(id ident.WorkerID) (Session, bool)
}

// Runner starts tasks on owned workers. Its exported fields are set before use.
type Runner struct {
	Clock    clock.Clock
	Fence    *fence.Fence
	Ledger   *ledger.Ledger
	Sessions Sessions
	// RunLease is the first run lease of each task.
	RunLease time.Duration
	// Random spreads questions to workers; it returns values in [0, 1) and is
	// safe for use by many threads. Nil stands for the process's source.
	Random func() float64
	// Health may be nil: then every worker is started on.
	Health Health

	recent recent
}

// Health learns how starts end and decides whether a worker may get one. It is
// safe for use by many threads and does not block.
type Health interface {
	// Admit returns a failure of outcome NotRun for a worker that is out of
	// service. It admits one start at a time to a worker that is probed.
	Admit(id ident.WorkerID) error
	// Ended takes the result of a task, for which only the worker or the task
	// itself can be the cause.
	Ended(task Task, success bool)
}

// Task is what is to be started.
type Task struct {
	ID         ident.TaskID
	Worker     ident.WorkerID
	Service    ident.ServiceName
	Class      work.Class
	Body       []byte
	Checkpoint []byte
	Demand     resource.Vector
}

// Handle is a task that was begun and whose reservation is held.
type Handle struct {
	done    chan struct{}
	report  worker.TaskReport
	attempt *attempt
}

// Done returns a channel that is closed when the task is known to be over, or
// when its worker is no longer owned.
func (h *Handle) Done() <-chan struct{} { return h.done }

// Report returns the last report once Done is closed. State TaskUnknown means
// that the run lease is over or that the worker forgot the task; TaskRunning
// means that this instance no longer owns the worker and the task goes on.
func (h *Handle) Report() worker.TaskReport { return h.report }

// Resize changes the task's reservation to a learnt size, if that fits and the
// task is not over, and reports whether it did.
func (h *Handle) Resize(to resource.Vector) bool { return h.attempt.resize(to) }

// attempt is one start on its way. It owns the reservation until release.
type attempt struct {
	task    Task
	session Session
	account *ledger.Account
	entry   *entry
	lease   worker.Lease
	// continuity is the session's continuity count before the send.
	continuity uint64

	// mu protects held and released.
	mu sync.Mutex
	// held is the size of the reservation.
	held     resource.Vector
	released bool
}

// release returns the reservation. Further calls do nothing.
func (a *attempt) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.released {
		return
	}
	a.released = true
	a.account.Release(a.held)
}

// resize changes the reservation unless it was returned.
func (a *attempt) resize(to resource.Vector) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.released || !a.account.Resize(a.held, to) {
		return false
	}
	a.held = to
	return true
}

// beginTimeout is how long the reply to the start of a batch or live task is
// waited for. By then the start has taken effect or never will.
const beginTimeout = worker.StartLeasePeriod + worker.ClockMargin

// Call runs an urgent task to its end. The error's outcome says whether the
// task may have run. A repeat of an identifier waits for the first.
//
// A call gets one run lease, which is not renewed, and Call ends at the latest
// one run lease and the margin after it began, whatever time ctx leaves. A call
// that the worker stopped is a failure with outcome Unknown. A ctx that ends
// later is not refused: its caller may be patient about a short call.
func (r *Runner) Call(ctx context.Context, task Task) (worker.TaskReport, error) {
	first, fresh, err := r.recent.claim(task.ID, r.Clock.Now())
	if err != nil {
		return worker.TaskReport{}, err
	}
	if !fresh {
		return first.wait(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, r.RunLease+worker.ClockMargin)
	defer cancel()
	a, err := r.prepare(task, first)
	if err != nil {
		r.recent.forget(task.ID, first, err)
		return worker.TaskReport{}, err
	}
	report, err := r.send(ctx, a)
	if fault.KindOf(err) == fault.Resolved {
		return report, r.notSent(a, err)
	}
	if err == nil && report.State.Over() {
		return report, r.over(a, report)
	}
	if provesNotRun(err) {
		return report, r.refused(a, err)
	}
	return r.settleCall(ctx, a)
}

// Begin starts a batch or live task and returns when it runs. The reservation
// stays until the task is known to be over.
func (r *Runner) Begin(ctx context.Context, task Task) (*Handle, error) {
	first, fresh, err := r.recent.claim(task.ID, r.Clock.Now())
	if err != nil {
		return nil, err
	}
	if !fresh {
		return first.waitBegun(ctx)
	}
	a, err := r.prepare(task, first)
	if err != nil {
		r.recent.forget(task.ID, first, err)
		return nil, err
	}
	limited, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	report, err := r.send(limited, a)
	if err == nil {
		return r.begun(a, report), nil
	}
	if fault.KindOf(err) == fault.Resolved {
		return nil, r.notSent(a, err)
	}
	if provesNotRun(err) {
		return nil, r.refused(a, err)
	}
	return r.settleBegin(ctx, a)
}

// provesNotRun reports whether err excludes that the worker runs the task.
func provesNotRun(err error) bool {
	return err != nil && fault.From(err).Outcome == fault.NotRun
}

// prepare reserves the demand of a task.
func (r *Runner) prepare(task Task, first *entry) (*attempt, error) {
	session, found := r.Sessions.Session(task.Worker)
	if !found {
		return nil, fault.New(fault.NotOwner, "worker %s", task.Worker)
	}
	account, found := r.Ledger.Find(task.Worker)
	if !found {
		return nil, fault.New(fault.OwnerNotReady, "worker %s", task.Worker)
	}
	if !account.Reserve(task.Demand) {
		return nil, fault.New(fault.NoCapacity, "worker %s", task.Worker)
	}
	if r.Health != nil {
		if err := r.Health.Admit(task.Worker); err != nil {
			account.Release(task.Demand)
			return nil, err
		}
	}
	return &attempt{task: task, session: session, account: account, entry: first, held: task.Demand}, nil
}

// send checks the leases last, immediately before the command leaves. The fence
// is checked at a time read after the start lease: at an earlier time it would
// let through a lease that was granted after the fence closed.
func (r *Runner) send(ctx context.Context, a *attempt) (worker.TaskReport, error) {
	command := worker.StartCommand{
		Task:       a.task.ID,
		RunLease:   r.RunLease,
		Service:    a.task.Service,
		Class:      a.task.Class,
		Body:       a.task.Body,
		Demand:     a.task.Demand,
		Checkpoint: a.task.Checkpoint,
	}
	a.continuity, _ = a.session.Continuity()
	if ctx.Err() != nil {
		return worker.TaskReport{}, fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "before the start of %s", a.task.ID).WithOutcome(fault.NotRun)
	}
	lease, err := a.session.StartLease(r.Clock.Now())
	if err != nil {
		return worker.TaskReport{}, err
	}
	// The worker would start the task a second time under another lease.
	if a.session.FoundRunning(a.task.ID) {
		refusal := fault.New(fault.Resolved, "task %s was started by an earlier owner", a.task.ID)
		return worker.TaskReport{}, refusal.WithOutcome(fault.Unknown)
	}
	if !r.Fence.Open(r.Clock.Now()) {
		return worker.TaskReport{}, fault.New(fault.Fenced, "before the start of %s", a.task.ID)
	}
	a.lease, command.StartLease = lease, lease.ID
	report, err := a.session.Start(ctx, command)
	if fault.KindOf(err) == fault.WorkerLeaving {
		a.session.MarkLeaving()
	}
	return report, err
}

// refused ends an attempt that provably did not run.
func (r *Runner) refused(a *attempt, err error) error {
	a.release()
	if r.Health != nil && fault.KindOf(err) == fault.WorkerRefused {
		r.Health.Ended(a.task, false)
	}
	r.recent.forget(a.task.ID, a.entry, err)
	return err
}

// notSent ends an attempt of an identifier that an earlier owner started. The
// identifier stays refused for good.
func (r *Runner) notSent(a *attempt, err error) error {
	a.release()
	r.recent.lose(a.task.ID, a.entry, err, r.Clock.Now())
	return err
}

// over ends an attempt whose call is over. A call that was stopped has no whole
// answer, and its effect is not known.
func (r *Runner) over(a *attempt, report worker.TaskReport) error {
	a.release()
	r.judge(a.task, report)
	var err error
	if report.State == work.TaskStopped {
		err = fault.New(fault.DeadlineExceeded, "call %s was stopped at worker %s", a.task.ID, a.task.Worker)
	}
	r.recent.finish(a.task.ID, a.entry, report, err, r.Clock.Now())
	return err
}

// judge tells Health of a task that ended by itself. A stop says nothing about
// the worker.
func (r *Runner) judge(task Task, report worker.TaskReport) {
	if r.Health == nil || report.State != work.TaskSucceeded && report.State != work.TaskErrored {
		return
	}
	r.Health.Ended(task, report.State == work.TaskSucceeded)
}

// begun hands a task that runs, or ran, to its session.
func (r *Runner) begun(a *attempt, report worker.TaskReport) *Handle {
	handle := &Handle{done: make(chan struct{}), attempt: a}
	a.entry.begin(handle)
	end := func(report worker.TaskReport) {
		a.release()
		r.judge(a.task, report)
		handle.report = report
		close(handle.done)
		var err error
		if !report.State.Over() {
			err = fault.New(fault.WorkerLost, "the end of task %s is not known", a.task.ID)
		}
		r.recent.finish(a.task.ID, a.entry, report, err, r.Clock.Now())
	}
	if report.State.Over() {
		end(report)
		return handle
	}
	a.session.Keep(a.task.ID, r.Clock.Now(), end)
	return handle
}
