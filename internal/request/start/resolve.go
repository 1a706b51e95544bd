package start

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

const (
	// minPollInterval is the delay between the first and the second query
	// about a task.
	minPollInterval = 20 * time.Millisecond
	// maxPollInterval bounds the delay between queries about a task.
	maxPollInterval = 1 * time.Second
	// workerCallTimeout bounds one query or command to a worker.
	workerCallTimeout = 1 * time.Second
	// minResolveTime is the minimum time for finding out how a start ended. It
	// leaves time for a few queries about a start whose reply was lost late.
	minResolveTime = 3 * time.Second
)

// resolution is the result of finding out how a start without a reply ended.
type resolution struct {
	report worker.TaskReport
	err    error
}

// resolveCall finds out how a call without a reply ended. If ctx ends first,
// the outcome is Unknown, and the search continues in the background so that
// the reservation can be released.
func (r *Runner) resolveCall(ctx context.Context, a *attempt) (worker.TaskReport, error) {
	resolved := r.resolveInBackground(ctx, a, func(report worker.TaskReport) bool { return report.State.IsFinal() },
		func(report worker.TaskReport) error { return r.finishCall(a, report) })
	select {
	case result := <-resolved:
		return result.report, result.err
	case <-ctx.Done():
		return worker.TaskReport{}, r.inDoubtFailure(ctx, a)
	}
}

// resolveStart finds out whether a task without a start reply runs. If ctx
// ends first, it behaves like resolveCall.
func (r *Runner) resolveStart(ctx context.Context, a *attempt) (*Handle, error) {
	var handle *Handle
	resolved := r.resolveInBackground(ctx, a, func(report worker.TaskReport) bool { return report.State != work.TaskUnknown },
		func(report worker.TaskReport) error {
			handle = r.trackTask(a, report)
			return nil
		})
	select {
	case result := <-resolved:
		return handle, result.err
	case <-ctx.Done():
		return nil, r.inDoubtFailure(ctx, a)
	}
}

func (r *Runner) inDoubtFailure(ctx context.Context, a *attempt) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.Wrap(fault.Canceled, ctx.Err(), "request canceled while task %s was in doubt", a.task.ID)
	}
	return fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "time limit passed while task %s was in doubt", a.task.ID)
}

// resolveInBackground finds out how an attempt ended, even after ctx has
// ended. It applies the result before it sends it to the returned channel.
// isConclusive reports whether a report answers the question, and applyReport
// receives that report.
func (r *Runner) resolveInBackground(ctx context.Context, a *attempt, isConclusive func(worker.TaskReport) bool, applyReport func(worker.TaskReport) error) <-chan resolution {
	resolved := make(chan resolution, 1)
	go func() {
		result := r.pollTask(context.WithoutCancel(ctx), a, isConclusive)
		if result.err == nil {
			result.err = applyReport(result.report)
		} else {
			r.finishUnresolved(a, result.err)
		}
		resolved <- result
	}()
	return resolved
}

// finishUnresolved ends an attempt for which polling returned an error, so
// that nothing more will be learned about its task.
func (r *Runner) finishUnresolved(a *attempt, err error) {
	if provesNotRun(err) {
		_ = r.finishRefused(a, err)
		return
	}
	a.release()
	r.starts.recordFailure(a.task.ID, a.record, err, r.Clock.Now())
}

// pollTask polls the worker until isConclusive accepts a report of the task.
// If the worker does not know the task, pollTask queries it again after the
// start lease of the attempt has ended. Polling ends at the latest when a run
// lease that was granted under the start lease is over.
func (r *Runner) pollTask(ctx context.Context, a *attempt, isConclusive func(worker.TaskReport) bool) resolution {
	wasKnown := false
	deadline := r.pollDeadline(a)
	for interval := minPollInterval; r.Clock.Now().Before(deadline); interval = min(2*interval, maxPollInterval) {
		queriedAt := r.Clock.Now()
		report, err := r.queryTask(ctx, a.session, a.task.ID)
		if err == nil && isConclusive(report) {
			return resolution{report: report}
		}
		if err == nil && report.State != work.TaskUnknown {
			wasKnown = true
		}
		if err == nil && report.State == work.TaskUnknown {
			if wasKnown {
				return resolution{err: fault.New(fault.WorkerLost, "worker %s no longer knows task %s", a.task.Worker, a.task.ID)}
			}
			if !queriedAt.Before(a.lease.EndedAtWorker) {
				return resolution{err: r.unknownTaskFailure(ctx, a, queriedAt, deadline)}
			}
			r.sleep(a.lease.EndedAtWorker.Sub(queriedAt))
			continue
		}
		r.sleep(r.jitter(interval))
	}
	return resolution{err: fault.New(fault.WorkerLost, "the run lease of task %s ended before the worker reported a conclusive state", a.task.ID)}
}

// pollDeadline returns the time after which the task can no longer be running
// because of this start, but at least minResolveTime from now.
func (r *Runner) pollDeadline(a *attempt) time.Time {
	taskEnd := a.lease.EndedAtWorker.Add(r.RunLease + worker.ClockMargin)
	minimum := r.Clock.Now().Add(minResolveTime)
	if taskEnd.Before(minimum) {
		return minimum
	}
	return taskEnd
}

// continuityPollInterval is the time between checks of the session's
// continuity.
const continuityPollInterval = 200 * time.Millisecond

// unknownTaskFailure returns the failure of a task that the worker did not
// know at queriedAt, which is after the end of its start lease. The outcome is
// NotRun only if the worker provably did not restart since the start was sent,
// because a restarted worker has forgotten its tasks.
func (r *Runner) unknownTaskFailure(ctx context.Context, a *attempt, queriedAt, deadline time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, deadline.Sub(queriedAt))
	defer cancel()
	if r.provesNoRestart(ctx, a.session, a.continuity, queriedAt) {
		return fault.New(fault.WorkerLost, "task %s did not start before its start lease ended", a.task.ID).WithOutcome(fault.NotRun)
	}
	return fault.New(fault.WorkerLost, "worker %s may have restarted and forgotten task %s", a.task.Worker, a.task.ID)
}

func (r *Runner) queryTask(ctx context.Context, session Session, task ident.TaskID) (worker.TaskReport, error) {
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	return session.Task(ctx, task)
}

// jitter returns a random duration between d/2 and d.
func (r *Runner) jitter(d time.Duration) time.Duration {
	random := r.Random
	if random == nil {
		random = rand.Float64
	}
	return d/2 + time.Duration(random()*float64(d/2))
}

func (r *Runner) sleep(d time.Duration) {
	<-r.Clock.NewTimer(d).C
}
