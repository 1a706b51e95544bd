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
	// firstAsk is the delay before the second question about a task.
	firstAsk = 20 * time.Millisecond
	// maxAsk bounds the delay between questions about a task.
	maxAsk = 1 * time.Second
	// askTimeout bounds one question to a worker.
	askTimeout = 1 * time.Second
	// settleMinimum leaves time for a few questions about a start whose reply
	// was lost late.
	settleMinimum = 3 * time.Second
)

// settlement is how a start that got no reply ended.
type settlement struct {
	report worker.TaskReport
	err    error
}

// settleCall learns how a call ended. At the deadline of ctx the outcome is
// unknown, and settling goes on in the background to free the reservation.
func (r *Runner) settleCall(ctx context.Context, a *attempt) (worker.TaskReport, error) {
	settled := r.inBackground(ctx, a, func(report worker.TaskReport) bool { return report.State.Over() },
		func(report worker.TaskReport) error { return r.over(a, report) })
	select {
	case s := <-settled:
		return s.report, s.err
	case <-ctx.Done():
		return worker.TaskReport{}, r.unsettled(ctx, a)
	}
}

// settleBegin learns whether a task runs, like settleCall.
func (r *Runner) settleBegin(ctx context.Context, a *attempt) (*Handle, error) {
	var handle *Handle
	settled := r.inBackground(ctx, a, func(report worker.TaskReport) bool { return report.State != work.TaskUnknown },
		func(report worker.TaskReport) error {
			handle = r.begun(a, report)
			return nil
		})
	select {
	case s := <-settled:
		return handle, s.err
	case <-ctx.Done():
		return nil, r.unsettled(ctx, a)
	}
}

func (r *Runner) unsettled(ctx context.Context, a *attempt) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.Wrap(fault.Canceled, ctx.Err(), "task %s", a.task.ID)
	}
	return fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "task %s", a.task.ID)
}

// inBackground settles an attempt beyond the end of ctx, and applies the
// result before it is sent. found takes a report that is enough.
func (r *Runner) inBackground(ctx context.Context, a *attempt, enough func(worker.TaskReport) bool, found func(worker.TaskReport) error) <-chan settlement {
	settled := make(chan settlement, 1)
	go func() {
		result := r.settle(context.WithoutCancel(ctx), a, enough)
		if result.err == nil {
			result.err = found(result.report)
		} else {
			r.unfound(a, result.err)
		}
		settled <- result
	}()
	return settled
}

// unfound ends an attempt about whose task nothing more will be learnt.
func (r *Runner) unfound(a *attempt, err error) {
	if provesNotRun(err) {
		_ = r.refused(a, err)
		return
	}
	a.release()
	r.recent.lose(a.task.ID, a.entry, err, r.Clock.Now())
}

// settle asks the worker for the task until the report is enough. If the worker
// does not know the task, settle asks again when the lease under which the
// start was sent is over. It ends at the latest when a run lease that was
// granted under the start lease is over.
func (r *Runner) settle(ctx context.Context, a *attempt, enough func(worker.TaskReport) bool) settlement {
	seen := false
	last := r.lastQuestion(a)
	for wait := firstAsk; r.Clock.Now().Before(last); wait = min(2*wait, maxAsk) {
		asked := r.Clock.Now()
		report, err := r.ask(ctx, a.session, a.task.ID)
		if err == nil && enough(report) {
			return settlement{report: report}
		}
		if err == nil && report.State != work.TaskUnknown {
			seen = true
		}
		if err == nil && report.State == work.TaskUnknown {
			if seen {
				return settlement{err: fault.New(fault.WorkerLost, "worker %s forgot task %s", a.task.Worker, a.task.ID)}
			}
			if !asked.Before(a.lease.Over) {
				return settlement{err: r.neverStarted(ctx, a, asked, last)}
			}
			r.sleep(a.lease.Over.Sub(asked))
			continue
		}
		r.sleep(r.spread(wait))
	}
	return settlement{err: fault.New(fault.WorkerLost, "the run lease of task %s is over", a.task.ID)}
}

// lastQuestion returns when nothing of a start can run any more, but at least
// settleMinimum from now.
func (r *Runner) lastQuestion(a *attempt) time.Time {
	taskOver := a.lease.Over.Add(r.RunLease + worker.ClockMargin)
	minimum := r.Clock.Now().Add(settleMinimum)
	if taskOver.Before(minimum) {
		return minimum
	}
	return taskOver
}

// continuityPoll is the time between looks at the session's continuity.
const continuityPoll = 200 * time.Millisecond

// neverStarted returns the failure of a task that the worker did not know at
// asked, after its start lease. Only a worker that did not restart since the
// start was sent proves NotRun, since a restarted one has forgotten its tasks.
func (r *Runner) neverStarted(ctx context.Context, a *attempt, asked, last time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, last.Sub(asked))
	defer cancel()
	if r.remembers(ctx, a.session, a.continuity, asked) {
		return fault.New(fault.WorkerLost, "task %s never started", a.task.ID).WithOutcome(fault.NotRun)
	}
	return fault.New(fault.WorkerLost, "worker %s may have forgotten task %s", a.task.Worker, a.task.ID)
}

func (r *Runner) ask(ctx context.Context, session Session, task ident.TaskID) (worker.TaskReport, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return session.Task(ctx, task)
}

// spread returns a delay within the upper half of d.
func (r *Runner) spread(d time.Duration) time.Duration {
	random := r.Random
	if random == nil {
		random = rand.Float64
	}
	return d/2 + time.Duration(random()*float64(d/2))
}

func (r *Runner) sleep(d time.Duration) {
	<-r.Clock.NewTimer(d).C
}
