package start

import (
	"context"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

const (
	// evictPercent is the share of its processors that a task keeps while its
	// state is saved.
	evictPercent = 20
	// fullPercent lifts a throttle.
	fullPercent = 100
)

// Stop ends a task and returns its last report. An error means that the task
// may still run.
func (r *Runner) Stop(ctx context.Context, at ident.WorkerID, task ident.TaskID) (worker.TaskReport, error) {
	session, found := r.Sessions.Session(at)
	if !found {
		return worker.TaskReport{}, fault.New(fault.NotOwner, "worker %s", at)
	}
	return r.stop(ctx, session, task)
}

func (r *Runner) stop(ctx context.Context, session Session, task ident.TaskID) (worker.TaskReport, error) {
	var report worker.TaskReport
	err := r.untilKnown(ctx, session, task, func(ctx context.Context) (err error) {
		report, err = session.Stop(ctx, task)
		return err
	}, &report)
	if err != nil {
		return report, err
	}
	report.Task = task
	session.Finish(report)
	return report, nil
}

// untilKnown sends a repeatable command until its effect is known. After a
// lost reply it asks for the task first and ends if that no longer runs.
func (r *Runner) untilKnown(ctx context.Context, session Session, task ident.TaskID, command func(context.Context) error, report *worker.TaskReport) error {
	for wait := firstAsk; ; wait = min(2*wait, maxAsk) {
		err := r.guarded(ctx, command)
		if err == nil || refusesCommand(err) {
			return err
		}
		asked, askErr := r.ask(ctx, session, task)
		if askErr == nil && asked.State != work.TaskRunning {
			*report = asked
			return nil
		}
		timer := r.Clock.NewTimer(r.spread(wait))
		select {
		case <-ctx.Done():
			timer.Stop()
			return fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "task %s", task)
		case <-timer.C:
		}
	}
}

// guarded checks the fence last before a command leaves.
func (r *Runner) guarded(ctx context.Context, command func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if !r.Fence.Open(r.Clock.Now()) {
		return fault.New(fault.Fenced, "before a command to a task")
	}
	return command(ctx)
}

// refusesCommand reports whether repeating a command is useless.
func refusesCommand(err error) bool {
	switch fault.KindOf(err) {
	case fault.WorkerLost, fault.WorkerUnreachable:
		return false
	default:
		return true
	}
}

// Evicted is the end of an eviction. Over is false if the task still runs;
// otherwise Report is its last, with the checkpoint from which it resumes.
type Evicted struct {
	Over   bool
	Report worker.TaskReport
}

// Evict throttles a task, saves its state and stops it. It ends in exactly one
// of two ways: the task still runs and its run lease is renewed, or the task
// is over. ctx bounds the steps up to the saved state. Once that is saved, the
// task is stopped, at the latest by the end of its run lease.
func (r *Runner) Evict(ctx context.Context, at ident.WorkerID, task ident.TaskID) (Evicted, error) {
	session, found := r.Sessions.Session(at)
	if !found {
		return Evicted{}, fault.New(fault.NotOwner, "worker %s", at)
	}
	// A throttle that fails only makes the eviction slower.
	_ = r.guarded(ctx, func(ctx context.Context) error { return session.Throttle(ctx, task, evictPercent) })
	saved, report, err := r.save(ctx, session, task)
	if err != nil {
		r.unthrottle(ctx, session, task)
		return Evicted{}, err
	}
	if report.State.Over() {
		session.Finish(report)
		return Evicted{Over: true, Report: report}, nil
	}
	return r.end(ctx, session, task, saved), nil
}

// save returns the checkpoint of a running task, or the report of one that
// ended meanwhile.
func (r *Runner) save(ctx context.Context, session Session, task ident.TaskID) ([]byte, worker.TaskReport, error) {
	var saved []byte
	var report worker.TaskReport
	err := r.untilKnown(ctx, session, task, func(ctx context.Context) (err error) {
		saved, err = session.Checkpoint(ctx, task)
		return err
	}, &report)
	if fault.KindOf(err) != fault.NotFound {
		return saved, report, err
	}
	report, askErr := r.ask(ctx, session, task)
	if askErr == nil && report.State.Over() {
		return nil, report, nil
	}
	return nil, report, err
}

// unthrottle lifts the throttle of a task that goes on.
func (r *Runner) unthrottle(ctx context.Context, session Session, task ident.TaskID) {
	_ = r.guarded(context.WithoutCancel(ctx), func(ctx context.Context) error {
		return session.Throttle(ctx, task, fullPercent)
	})
}

// end stops a task whose state is saved. From here the task must not go on, so
// its run lease is no longer renewed.
func (r *Runner) end(ctx context.Context, session Session, task ident.TaskID, saved []byte) Evicted {
	leaseOver, kept := session.GiveUp(task)
	if !kept {
		leaseOver = r.Clock.Now().Add(worker.RunLeasePeriod + worker.ClockMargin)
	}
	left := leaseOver.Sub(r.Clock.Now())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(left, time.Nanosecond))
	defer cancel()
	report, err := r.stop(ctx, session, task)
	if err != nil {
		r.sleep(leaseOver.Sub(r.Clock.Now()))
		report = worker.TaskReport{Task: task, State: work.TaskStopped}
		session.Finish(report)
	}
	if len(report.Checkpoint) == 0 {
		report.Checkpoint = saved
	}
	return Evicted{Over: true, Report: report}
}
