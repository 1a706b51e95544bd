// Package start carries out the start of one task on a worker that this
// instance owns: it reserves capacity, sends the start command, and finds out
// whether the task ran if the reply is lost.
//
// A start command is sent only while the instance's own lease and its start
// lease at the worker are valid and the ledger has reserved the demand. The
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

// Session is the connection to a worker that this instance owns.
type Session interface {
	// StartLease returns the start lease for a command sent at now. It fails
	// with OwnerNotReady if there is no valid start lease.
	StartLease(now time.Time) (worker.Lease, error)
	// TrackTask tracks a task: it renews the run lease of the task and calls
	// onEnd once when the task is over. leaseConfirmed is the time at which the
	// worker last confirmed the run lease.
	TrackTask(task ident.TaskID, leaseConfirmed time.Time, onEnd func(worker.TaskReport))
	// OnTaskEnd adds an onEnd callback to a task that the session tracks, which
	// may be a task that the takeover found. It returns false if the task is
	// not tracked.
	OnTaskEnd(task ident.TaskID, onEnd func(worker.TaskReport)) bool
	// StopRenewal stops the renewal of a task's run lease and returns the time
	// at which that lease ends. It returns false if the task is not tracked.
	StopRenewal(task ident.TaskID) (time.Time, bool)
	// Continuity returns a count that changes when the worker may have
	// restarted, and the time up to which the count is known to be valid.
	Continuity() (count uint64, knownUntil time.Time)
	// RequestContinuityProof requests that the time returned by Continuity
	// advance soon.
	RequestContinuityProof()
	// RemembersAllStarts reports whether the worker still remembers every start
	// that any owner ever sent to it, provided that Continuity still returns
	// count.
	RemembersAllStarts(count uint64) bool
	// TakeoverComplete reports whether the takeover is complete, so that no
	// start of an earlier owner can arrive any more.
	TakeoverComplete() bool
	// RecordTaskEnd records that a tracked task is over.
	RecordTaskEnd(report worker.TaskReport)
	// FoundRunningAtTakeover reports whether the takeover found the task
	// running for an earlier owner.
	FoundRunningAtTakeover(task ident.TaskID) bool
	// MarkLeaving prevents further starts on a worker that refused one because
	// it is leaving.
	MarkLeaving()
	worker.WorkerClient
}

// Sessions looks up the session of a worker that this instance owns.
type Sessions interface {
	Session(id ident.WorkerID) (Session, bool)
}

// Runner starts tasks on owned workers. Its exported fields are set before
// use.
type Runner struct {
	Clock    clock.Clock
	Fence    *fence.Fence
	Ledger   *ledger.Ledger
	Sessions Sessions
	// RunLease is the duration of the first run lease of each task.
	RunLease time.Duration
	// Random adds jitter to the delays between queries to workers. It returns
	// values in [0, 1) and is safe for concurrent use. If it is nil, the
	// random source of the process is used.
	Random func() float64
	// Health may be nil: then starts are sent to every worker.
	Health Health

	starts startTable
}

// Health receives the results of starts and decides whether a worker may get a
// start. It is safe for concurrent use and does not block.
type Health interface {
	// Admit returns a failure of outcome NotRun for a worker that is out of
	// service. While a worker is being probed, it admits one start at a time.
	Admit(id ident.WorkerID) error
	// RecordResult receives the result of a task. It is called only for results
	// that the worker or the task itself can have caused.
	RecordResult(task Task, success bool)
}

// Task describes a task to start.
type Task struct {
	ID         ident.TaskID
	Worker     ident.WorkerID
	Service    ident.ServiceName
	Class      work.Class
	Body       []byte
	Checkpoint []byte
	Demand     resource.Vector
}

// Handle refers to a started task whose reservation is held.
type Handle struct {
	done    chan struct{}
	report  worker.TaskReport
	attempt *attempt
}

// Done returns a channel that is closed when the task is known to be over or
// when this instance no longer owns its worker.
func (h *Handle) Done() <-chan struct{} { return h.done }

// Report returns the last report of the task. It may be called only after Done
// is closed. State TaskUnknown means that the run lease is over or that the
// worker forgot the task. State TaskRunning means that this instance no longer
// owns the worker and the task continues.
func (h *Handle) Report() worker.TaskReport { return h.report }

// Resize changes the task's reservation to a learned size. It reports whether
// it did so: it does nothing if the new size does not fit or the task is over.
func (h *Handle) Resize(to resource.Vector) bool { return h.attempt.resize(to) }

// attempt is one start that has been prepared. It owns the reservation until
// release is called.
type attempt struct {
	task    Task
	session Session
	account *ledger.Account
	record  *startRecord
	lease   worker.Lease
	// continuity is the session's continuity count, read before the start
	// command is sent.
	continuity uint64

	// mu protects reserved and released.
	mu sync.Mutex
	// reserved is the size of the reservation.
	reserved resource.Vector
	released bool
}

// release returns the reservation to the ledger. Only the first call has an
// effect.
func (a *attempt) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.released {
		return
	}
	a.released = true
	a.account.Release(a.reserved)
}

// resize changes the size of the reservation unless it was already released.
func (a *attempt) resize(to resource.Vector) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.released || !a.account.Resize(a.reserved, to) {
		return false
	}
	a.reserved = to
	return true
}

// startReplyTimeout bounds the wait for the reply to the start of a batch or
// live task. By then the start lease is over, so the start has either taken
// effect or never will.
const startReplyTimeout = worker.StartLeasePeriod + worker.ClockMargin

// Call runs an urgent task until it ends. The outcome of the error says
// whether the task may have run. A repeated call with the same identifier
// waits for the first one.
//
// The task gets one run lease, which is not renewed. Call therefore returns at
// the latest one run lease plus ClockMargin after it began, even if the
// deadline of ctx is later. A later deadline is not refused, because the
// caller may allow a long time for a short call. A call that the worker
// stopped is a failure with outcome Unknown.
func (r *Runner) Call(ctx context.Context, task Task) (worker.TaskReport, error) {
	record, created, err := r.starts.claim(task.ID, r.Clock.Now())
	if err != nil {
		return worker.TaskReport{}, err
	}
	if !created {
		return record.waitReport(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, r.RunLease+worker.ClockMargin)
	defer cancel()
	a, err := r.prepare(task, record)
	if err != nil {
		r.starts.discardNotRun(task.ID, record, err)
		return worker.TaskReport{}, err
	}
	report, err := r.send(ctx, a)
	if fault.KindOf(err) == fault.ResolvedNotRun {
		return report, r.finishNotSent(a, err)
	}
	if err == nil && report.State.IsFinal() {
		return report, r.finishCall(a, report)
	}
	if provesNotRun(err) {
		return report, r.finishRefused(a, err)
	}
	return r.resolveCall(ctx, a)
}

// Start starts a batch or live task and returns when the task runs. The
// reservation is held until the task is known to be over.
func (r *Runner) Start(ctx context.Context, task Task) (*Handle, error) {
	record, created, err := r.starts.claim(task.ID, r.Clock.Now())
	if err != nil {
		return nil, err
	}
	if !created {
		return record.waitHandle(ctx)
	}
	a, err := r.prepare(task, record)
	if err != nil {
		r.starts.discardNotRun(task.ID, record, err)
		return nil, err
	}
	replyCtx, cancel := context.WithTimeout(ctx, startReplyTimeout)
	defer cancel()
	report, err := r.send(replyCtx, a)
	if err == nil {
		return r.trackTask(a, report), nil
	}
	if fault.KindOf(err) == fault.ResolvedNotRun {
		return nil, r.finishNotSent(a, err)
	}
	if provesNotRun(err) {
		return nil, r.finishRefused(a, err)
	}
	return r.resolveStart(ctx, a)
}

// provesNotRun reports whether err proves that the worker did not run the task
// and never will.
func provesNotRun(err error) bool {
	return err != nil && fault.From(err).Outcome == fault.NotRun
}

// prepare reserves the demand of a task and asks Health to admit the start.
func (r *Runner) prepare(task Task, record *startRecord) (*attempt, error) {
	session, found := r.Sessions.Session(task.Worker)
	if !found {
		return nil, fault.New(fault.NotOwner, "this instance does not own worker %s", task.Worker)
	}
	account, found := r.Ledger.Find(task.Worker)
	if !found {
		return nil, fault.New(fault.OwnerNotReady, "no capacity account is open for worker %s", task.Worker)
	}
	if !account.Reserve(task.Demand) {
		return nil, fault.New(fault.NoCapacity, "not enough free capacity on worker %s", task.Worker)
	}
	if r.Health != nil {
		if err := r.Health.Admit(task.Worker); err != nil {
			account.Release(task.Demand)
			return nil, err
		}
	}
	return &attempt{task: task, session: session, account: account, record: record, reserved: task.Demand}, nil
}

// send sends the start command. It checks the leases last, immediately before
// the command leaves. The fence is checked at a time read after StartLease has
// returned: a check at an earlier time would let a start through under a start
// lease that was granted after the fence closed.
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
		return worker.TaskReport{}, fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "request ended before the start of task %s was sent", a.task.ID).WithOutcome(fault.NotRun)
	}
	lease, err := a.session.StartLease(r.Clock.Now())
	if err != nil {
		return worker.TaskReport{}, err
	}
	// If the task were sent again under another lease, the worker would start
	// it a second time.
	if a.session.FoundRunningAtTakeover(a.task.ID) {
		refusal := fault.New(fault.ResolvedNotRun, "task %s is already running: an earlier owner started it", a.task.ID)
		return worker.TaskReport{}, refusal.WithOutcome(fault.Unknown)
	}
	if !r.Fence.Open(r.Clock.Now()) {
		return worker.TaskReport{}, fault.New(fault.Fenced, "instance lease ended before the start of task %s was sent", a.task.ID)
	}
	a.lease, command.StartLease = lease, lease.ID
	report, err := a.session.Start(ctx, command)
	if fault.KindOf(err) == fault.WorkerLeaving {
		a.session.MarkLeaving()
	}
	return report, err
}

// finishRefused ends an attempt that provably did not run.
func (r *Runner) finishRefused(a *attempt, err error) error {
	a.release()
	if r.Health != nil && fault.KindOf(err) == fault.WorkerRefused {
		r.Health.RecordResult(a.task, false)
	}
	r.starts.discardNotRun(a.task.ID, a.record, err)
	return err
}

// finishNotSent ends an attempt for an identifier that an earlier owner
// started. All later starts of the identifier are refused too.
func (r *Runner) finishNotSent(a *attempt, err error) error {
	a.release()
	r.starts.recordFailure(a.task.ID, a.record, err, r.Clock.Now())
	return err
}

// finishCall ends an attempt whose call is over. If the call was stopped, its
// answer is incomplete and its effect is unknown.
func (r *Runner) finishCall(a *attempt, report worker.TaskReport) error {
	a.release()
	r.reportHealth(a.task, report)
	var err error
	if report.State == work.TaskStopped {
		err = fault.New(fault.DeadlineExceeded, "call %s was stopped at worker %s before it completed", a.task.ID, a.task.Worker)
	}
	r.starts.recordReport(a.task.ID, a.record, report, err, r.Clock.Now())
	return err
}

// reportHealth tells Health about a task that ended by itself. A stopped task
// says nothing about the worker.
func (r *Runner) reportHealth(task Task, report worker.TaskReport) {
	if r.Health == nil || report.State != work.TaskSucceeded && report.State != work.TaskFailed {
		return
	}
	r.Health.RecordResult(task, report.State == work.TaskSucceeded)
}

// trackTask has the session track a started task, and ends the attempt when
// the task is over. The task may be over already.
func (r *Runner) trackTask(a *attempt, report worker.TaskReport) *Handle {
	handle := &Handle{done: make(chan struct{}), attempt: a}
	a.record.setHandle(handle)
	finish := func(report worker.TaskReport) {
		a.release()
		r.reportHealth(a.task, report)
		handle.report = report
		close(handle.done)
		var err error
		if !report.State.IsFinal() {
			err = fault.New(fault.WorkerLost, "the outcome of task %s is unknown", a.task.ID)
		}
		r.starts.recordReport(a.task.ID, a.record, report, err, r.Clock.Now())
	}
	if report.State.IsFinal() {
		finish(report)
		return handle
	}
	a.session.TrackTask(a.task.ID, r.Clock.Now(), finish)
	return handle
}
