package start

import (
	"context"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// Standing is what is known about an attempt that this or an earlier owner of
// its worker may have started.
type Standing uint8

const (
	// StandingUnknown: nothing is proved but what the typed reason says.
	StandingUnknown Standing = iota
	// StandingRunning: the worker reports that the task runs.
	StandingRunning
	// StandingOver: the task ran and is over. Its report carries the newest
	// checkpoint that is known.
	StandingOver
	// StandingNeverStarted: the task did not run, and neither this owner nor an
	// earlier one will ever start it.
	StandingNeverStarted
)

// Status tells the home of a job where an attempt stands, also after a change
// of owner. It refuses the identifier for good at this owner, so it is not
// asked before the start. The error is the reason of StandingUnknown and nil
// otherwise; its outcome is always Unknown.
//
// Reason TaskForgotten guarantees that the task does not run at the worker and
// that neither this owner nor an earlier one will start it, but it may have
// run. After a takeover that is all that can be proved about a task that the
// worker does not know: the worker may have run it and restarted before this
// owner's first message. StandingNeverStarted is given if the session's
// continuity covers every start that the worker ever got.
func (r *Runner) Status(ctx context.Context, at ident.WorkerID, task ident.TaskID) (Standing, worker.TaskReport, error) {
	own, err := r.refuseStart(ctx, task)
	if err != nil {
		return unproved(err)
	}
	session, found := r.Sessions.Session(at)
	if !found {
		return unproved(fault.New(fault.NotOwner, "worker %s", at))
	}
	opened := session.TakenOver()
	count, _ := session.Continuity()
	asked := r.Clock.Now()
	report, err := r.ask(ctx, session, task)
	if err != nil {
		return unproved(err)
	}
	report.Task = task
	if report.State == work.TaskRunning {
		return StandingRunning, report, nil
	}
	session.Finish(report)
	switch {
	case report.State.Over():
		return StandingOver, report, nil
	case own.report.State.Over():
		return StandingOver, own.report, nil
	case !opened:
		return unproved(fault.New(fault.OwnerNotReady, "worker %s does not know task %s yet", at, task))
	case !own.started && session.CoversAllStarts(count) && r.remembers(ctx, session, count, asked):
		report, err = worker.TaskReport{Task: task}, nil
	default:
		err = fault.New(fault.TaskForgotten, "worker %s does not know task %s", at, task)
	}
	return r.stillOwner(session, report, err)
}

// Watch calls over once when a task that this owner follows is over, also if an
// earlier owner started it. It reports false for a task that is not followed.
// A report with state TaskRunning says that this instance no longer follows it.
func (r *Runner) Watch(at ident.WorkerID, task ident.TaskID, over func(worker.TaskReport)) bool {
	session, found := r.Sessions.Session(at)
	return found && session.Watch(task, over)
}

// stillOwner returns what was proved if no later owner can have been chosen by
// now.
func (r *Runner) stillOwner(session Session, report worker.TaskReport, err error) (Standing, worker.TaskReport, error) {
	if !r.Fence.Open(r.Clock.Now()) || !session.TakenOver() {
		return unproved(fault.New(fault.Fenced, "after the question about %s", report.Task))
	}
	if err != nil {
		return unproved(err)
	}
	return StandingNeverStarted, report, nil
}

// unproved states a reason without the outcome that its kind implies for the
// command that failed, since that says nothing about the task.
func unproved(err error) (Standing, worker.TaskReport, error) {
	return StandingUnknown, worker.TaskReport{}, fault.From(err).WithOutcome(fault.Unknown)
}

// ownStart is what this owner did with an identifier. Both fields are final.
type ownStart struct {
	// started is whether a start of this owner may have taken effect.
	started bool
	// report is the last report of a start whose end is known.
	report worker.TaskReport
}

// refuseStart guarantees that this owner sends no further start of an
// identifier. It waits until a start on its way is settled.
func (r *Runner) refuseStart(ctx context.Context, id ident.TaskID) (ownStart, error) {
	now := r.Clock.Now()
	known, fresh, err := r.recent.claim(id, now)
	if err != nil {
		return ownStart{}, err
	}
	if fresh {
		refusal := fault.New(fault.Resolved, "task %s was asked about", id).WithOutcome(fault.Unknown)
		r.recent.lose(id, known, refusal, now)
		return ownStart{}, nil
	}
	handle, err := known.waitBegun(ctx)
	select {
	case <-known.settled:
		return r.settledStart(ctx, id, known)
	default:
	}
	if handle == nil {
		return ownStart{}, err
	}
	return ownStart{started: true}, nil
}

func (r *Runner) settledStart(ctx context.Context, id ident.TaskID, known *entry) (ownStart, error) {
	if fault.KindOf(known.err) == fault.Resolved {
		return ownStart{}, nil
	}
	if provesNotRun(known.err) {
		return r.refuseStart(ctx, id)
	}
	return ownStart{started: true, report: known.report}, nil
}

// remembers reports whether the worker did not restart from the time at which
// the session's continuity had the count until asked. It waits for the proof
// until ctx ends.
func (r *Runner) remembers(ctx context.Context, session Session, count uint64, asked time.Time) bool {
	session.ProveContinuity()
	for {
		current, known := session.Continuity()
		if current != count {
			return false
		}
		if !known.Before(asked) {
			return true
		}
		timer := r.Clock.NewTimer(continuityPoll)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
	}
}
