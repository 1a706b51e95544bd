package start

import (
	"context"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// TaskStatus is what is known about a task that this or an earlier owner of its
// worker may have started.
type TaskStatus uint8

const (
	// TaskStatusUnknown means that nothing is proven except what the kind of
	// the returned failure says.
	TaskStatusUnknown TaskStatus = iota
	// TaskStatusRunning means that the worker reports the task as running.
	TaskStatusRunning
	// TaskStatusEnded means that the task ran and is over. Its report contains
	// the newest checkpoint that is known.
	TaskStatusEnded
	// TaskStatusNeverStarted means that the task did not run and that neither
	// this owner nor an earlier one will ever start it.
	TaskStatusNeverStarted
)

// Status tells the home of a job what is known about one of its tasks, also
// after a change of owner. Status permanently refuses the identifier at this
// owner, so it must not be called before the start of the task. The error is
// the reason for TaskStatusUnknown and nil otherwise; its outcome is always
// Unknown.
//
// The reason TaskUnknownToWorker guarantees that the task does not run at the
// worker and that neither this owner nor an earlier one will start it. The task
// may have run, however. After a takeover nothing more can be proven about a
// task that the worker does not know, because the worker may have run it and
// restarted before the first message of this owner. TaskStatusNeverStarted is
// returned only if the continuity of the session covers every start that the
// worker ever received.
func (r *Runner) Status(ctx context.Context, workerID ident.WorkerID, task ident.TaskID) (TaskStatus, worker.TaskReport, error) {
	previous, err := r.preventStart(ctx, task)
	if err != nil {
		return unknownStatus(err)
	}
	session, found := r.Sessions.Session(workerID)
	if !found {
		return unknownStatus(fault.New(fault.NotOwner, "this instance does not own worker %s", workerID))
	}
	takenOver := session.TakeoverComplete()
	count, _ := session.Continuity()
	queriedAt := r.Clock.Now()
	report, err := r.queryTask(ctx, session, task)
	if err != nil {
		return unknownStatus(err)
	}
	report.Task = task
	if report.State == work.TaskRunning {
		return TaskStatusRunning, report, nil
	}
	session.RecordTaskEnd(report)
	switch {
	case report.State.IsFinal():
		return TaskStatusEnded, report, nil
	case previous.report.State.IsFinal():
		return TaskStatusEnded, previous.report, nil
	case !takenOver:
		return unknownStatus(fault.New(fault.OwnerNotReady, "the takeover of worker %s is not complete and has not found task %s", workerID, task))
	case !previous.started && session.RemembersAllStarts(count) && r.provesNoRestart(ctx, session, count, queriedAt):
		report, err = worker.TaskReport{Task: task}, nil
	default:
		err = fault.New(fault.TaskUnknownToWorker, "worker %s does not know task %s, which may have run earlier", workerID, task)
	}
	return r.confirmOwnership(session, report, err)
}

// OnTaskEnd calls onEnd once when a task that this owner tracks is over,
// including a task that an earlier owner started. It returns false if the task
// is not tracked. A report with state TaskRunning means that this instance no
// longer tracks the task.
func (r *Runner) OnTaskEnd(workerID ident.WorkerID, task ident.TaskID, onEnd func(worker.TaskReport)) bool {
	session, found := r.Sessions.Session(workerID)
	return found && session.OnTaskEnd(task, onEnd)
}

// confirmOwnership returns the result of a query if no later owner can have
// been chosen by now.
func (r *Runner) confirmOwnership(session Session, report worker.TaskReport, err error) (TaskStatus, worker.TaskReport, error) {
	if !r.Fence.Open(r.Clock.Now()) || !session.TakeoverComplete() {
		return unknownStatus(fault.New(fault.Fenced, "the instance lease ended or the worker changed owner before the state of task %s was confirmed", report.Task))
	}
	if err != nil {
		return unknownStatus(err)
	}
	return TaskStatusNeverStarted, report, nil
}

// unknownStatus returns TaskStatusUnknown with err as the reason. It replaces
// the outcome of err by Unknown, because that outcome concerns the command
// that failed and says nothing about the task.
func unknownStatus(err error) (TaskStatus, worker.TaskReport, error) {
	return TaskStatusUnknown, worker.TaskReport{}, fault.From(err).WithOutcome(fault.Unknown)
}

// ownStart describes what this owner did with an identifier. Both fields are
// final.
type ownStart struct {
	// started reports whether a start by this owner may have taken effect.
	started bool
	// report is the last report of a start whose end is known.
	report worker.TaskReport
}

// preventStart guarantees that this owner sends no further start command for
// an identifier. If a start is in progress, preventStart waits until its
// result is known.
func (r *Runner) preventStart(ctx context.Context, id ident.TaskID) (ownStart, error) {
	now := r.Clock.Now()
	record, created, err := r.starts.claim(id, now)
	if err != nil {
		return ownStart{}, err
	}
	if created {
		refusal := fault.New(fault.ResolvedNotRun, "the status of task %s was queried, so it can no longer be started", id).WithOutcome(fault.Unknown)
		r.starts.recordFailure(id, record, refusal, now)
		return ownStart{}, nil
	}
	handle, err := record.waitHandle(ctx)
	select {
	case <-record.resolved:
		return r.resolvedStart(ctx, id, record)
	default:
	}
	if handle == nil {
		return ownStart{}, err
	}
	return ownStart{started: true}, nil
}

func (r *Runner) resolvedStart(ctx context.Context, id ident.TaskID, record *startRecord) (ownStart, error) {
	if fault.KindOf(record.err) == fault.ResolvedNotRun {
		return ownStart{}, nil
	}
	if provesNotRun(record.err) {
		return r.preventStart(ctx, id)
	}
	return ownStart{started: true, report: record.report}, nil
}

// provesNoRestart reports whether the worker did not restart between the time
// at which the session's continuity had the given count and queriedAt. It
// waits for the proof until ctx ends.
func (r *Runner) provesNoRestart(ctx context.Context, session Session, count uint64, queriedAt time.Time) bool {
	session.RequestContinuityProof()
	for {
		current, knownUntil := session.Continuity()
		if current != count {
			return false
		}
		if !knownUntil.Before(queriedAt) {
			return true
		}
		timer := r.Clock.NewTimer(continuityPollInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
	}
}
