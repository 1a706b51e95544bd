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
	// evictThrottlePercent is the share of its processors that a task keeps
	// while its checkpoint is saved.
	evictThrottlePercent = 20
	// unthrottledPercent is the share that removes a throttle.
	unthrottledPercent = 100
)

// Stop ends a task and returns its last report. An error means that the task
// may still run.
func (r *Runner) Stop(ctx context.Context, workerID ident.WorkerID, task ident.TaskID) (worker.TaskReport, error) {
	session, found := r.Sessions.Session(workerID)
	if !found {
		return worker.TaskReport{}, fault.New(fault.NotOwner, "this instance does not own worker %s", workerID)
	}
	return r.stop(ctx, session, task)
}

func (r *Runner) stop(ctx context.Context, session Session, task ident.TaskID) (worker.TaskReport, error) {
	var report worker.TaskReport
	err := r.retryUntilKnown(ctx, session, task, func(ctx context.Context) (err error) {
		report, err = session.Stop(ctx, task)
		return err
	}, &report)
	if err != nil {
		return report, err
	}
	report.Task = task
	session.RecordTaskEnd(report)
	return report, nil
}

// retryUntilKnown sends an idempotent command until its effect is known. After
// a lost reply it first queries the task and returns the task's report if the
// task no longer runs.
func (r *Runner) retryUntilKnown(ctx context.Context, session Session, task ident.TaskID, command func(context.Context) error, report *worker.TaskReport) error {
	for interval := minPollInterval; ; interval = min(2*interval, maxPollInterval) {
		err := r.sendUnlessFenced(ctx, command)
		if err == nil || isFinalError(err) {
			return err
		}
		current, queryErr := r.queryTask(ctx, session, task)
		if queryErr == nil && current.State != work.TaskRunning {
			*report = current
			return nil
		}
		timer := r.Clock.NewTimer(r.jitter(interval))
		select {
		case <-ctx.Done():
			timer.Stop()
			return fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "effect of a command to task %s is not known", task)
		case <-timer.C:
		}
	}
}

// sendUnlessFenced checks the instance lease immediately before it sends a
// command to a worker.
func (r *Runner) sendUnlessFenced(ctx context.Context, command func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	if !r.Fence.Open(r.Clock.Now()) {
		return fault.New(fault.Fenced, "instance lease ended before a command to a task was sent")
	}
	return command(ctx)
}

// isFinalError reports whether err shows that repeating the command is
// useless.
func isFinalError(err error) bool {
	switch fault.KindOf(err) {
	case fault.WorkerLost, fault.WorkerUnreachable:
		return false
	default:
		return true
	}
}

// EvictionResult is the result of an eviction. If Ended is false, the task
// still runs. Otherwise Report is the last report of the task, with the
// checkpoint from which it can resume.
type EvictionResult struct {
	Ended  bool
	Report worker.TaskReport
}

// Evict throttles a task, saves a checkpoint and stops the task. It ends in
// exactly one of two ways: the task still runs and its run lease is renewed,
// or the task is over. ctx bounds the steps until the checkpoint is saved.
// After that the task is always stopped, at the latest by the end of its run
// lease.
func (r *Runner) Evict(ctx context.Context, workerID ident.WorkerID, task ident.TaskID) (EvictionResult, error) {
	session, found := r.Sessions.Session(workerID)
	if !found {
		return EvictionResult{}, fault.New(fault.NotOwner, "this instance does not own worker %s", workerID)
	}
	// If the throttle fails, the eviction only takes longer.
	_ = r.sendUnlessFenced(ctx, func(ctx context.Context) error { return session.Throttle(ctx, task, evictThrottlePercent) })
	checkpoint, report, err := r.saveCheckpoint(ctx, session, task)
	if err != nil {
		r.unthrottle(ctx, session, task)
		return EvictionResult{}, err
	}
	if report.State.IsFinal() {
		session.RecordTaskEnd(report)
		return EvictionResult{Ended: true, Report: report}, nil
	}
	return r.stopSaved(ctx, session, task, checkpoint), nil
}

// saveCheckpoint returns the checkpoint of a running task, or the report of a
// task that ended in the meantime.
func (r *Runner) saveCheckpoint(ctx context.Context, session Session, task ident.TaskID) ([]byte, worker.TaskReport, error) {
	var checkpoint []byte
	var report worker.TaskReport
	err := r.retryUntilKnown(ctx, session, task, func(ctx context.Context) (err error) {
		checkpoint, err = session.Checkpoint(ctx, task)
		return err
	}, &report)
	if fault.KindOf(err) != fault.NotFound {
		return checkpoint, report, err
	}
	report, queryErr := r.queryTask(ctx, session, task)
	if queryErr == nil && report.State.IsFinal() {
		return nil, report, nil
	}
	return nil, report, err
}

// unthrottle removes the throttle of a task that keeps running.
func (r *Runner) unthrottle(ctx context.Context, session Session, task ident.TaskID) {
	_ = r.sendUnlessFenced(context.WithoutCancel(ctx), func(ctx context.Context) error {
		return session.Throttle(ctx, task, unthrottledPercent)
	})
}

// stopSaved stops a task whose checkpoint is saved. From here on the task must
// not continue, so its run lease is no longer renewed.
func (r *Runner) stopSaved(ctx context.Context, session Session, task ident.TaskID, checkpoint []byte) EvictionResult {
	runLeaseEnd, tracked := session.StopRenewal(task)
	if !tracked {
		runLeaseEnd = r.Clock.Now().Add(worker.RunLeasePeriod + worker.ClockMargin)
	}
	remaining := runLeaseEnd.Sub(r.Clock.Now())
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(remaining, time.Nanosecond))
	defer cancel()
	report, err := r.stop(ctx, session, task)
	if err != nil {
		r.sleep(runLeaseEnd.Sub(r.Clock.Now()))
		report = worker.TaskReport{Task: task, State: work.TaskStopped}
		session.RecordTaskEnd(report)
	}
	if len(report.Checkpoint) == 0 {
		report.Checkpoint = checkpoint
	}
	return EvictionResult{Ended: true, Report: report}
}
