package entry

import (
	"context"
	"fmt"
	"time"

	"poplarvalve/internal/process/logging"
	"poplarvalve/internal/version/cell"
)

// applyEffects carries out the effects of the cell's decisions. It runs in the
// cell's goroutine; orders to workers are sent in separate goroutines of the term so
// that it does not block.
func (l *leadership) applyEffects(ctx context.Context, effects cell.Effects) {
	l.applyExtensions(effects.Extensions)
	if effects.Write != nil {
		l.writer.add(*effects.Write)
	}
	// The token must be raised before the starts: at a restarted worker, theirs fences the
	// orders to the earlier incarnation.
	for _, worker := range effects.Resolve {
		if session := l.sessions[worker]; session != nil {
			session.Resolve()
		}
	}
	for _, order := range effects.Starts {
		l.startRun(ctx, order)
	}
	for _, order := range effects.Stops {
		l.stopRun(ctx, order)
	}
	for _, order := range effects.Throttles {
		l.throttle(ctx, order)
	}
	for _, ack := range effects.Acknowledgements {
		if session := l.sessions[ack.Worker]; session != nil {
			session.AcknowledgeEnds(ack.Incarnation, ack.Number)
		}
	}
	for _, request := range effects.Advice {
		l.spawn(func() { l.requestAdvice(ctx, request) })
	}
	for _, request := range effects.AnswerableRequests {
		l.completeRequest(request)
	}
	if effects.HandOverReady {
		l.handOverOnce.Do(func() { close(l.handOverReady) })
	}
	l.logEffects(effects)
}

// applyExtensions tells the sessions which leases may be extended.
func (l *leadership) applyExtensions(orders []cell.ExtensionOrder) {
	for _, order := range orders {
		session := l.sessions[order.Worker]
		switch {
		case session == nil:
		case order.Allowed:
			session.AllowExtension()
		default:
			session.StopExtension()
		}
	}
}

// requestAdvice asks the advice service which workers may run a step and passes the
// answer, or the failure, to the cell.
func (l *leadership) requestAdvice(ctx context.Context, request cell.AdviceRequest) {
	result := cell.AdviceResult{Step: request.Step, Workers: request.Workers, Sent: time.Now()}
	if l.entry.options.Advice == nil {
		result.Failed = true
		l.post(func(now time.Time, c *cell.Cell) { c.ApplyAdvice(now, result) })
		return
	}
	timeout := request.Latency.ResponseTime(len(request.Workers)) + adviceMargin
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := l.entry.options.Advice.AllowedWorkers(callCtx, request.Step, request.Workers)
	if err != nil {
		result.Failed = true
		if ctx.Err() == nil {
			l.entry.options.Journal.Retrying("advice on "+stepName(request.Step), err)
		}
	}
	result.Tickets = answer.Tickets
	// The validity is counted from the time at which the request was sent, which
	// is before the tickets were issued, so that no expired ticket is used.
	result.ValidUntil = result.Sent.Add(answer.ValidFor)
	l.post(func(now time.Time, c *cell.Cell) { c.ApplyAdvice(now, result) })
}

// adviceMargin is how much longer a call to the advice service may take than the
// service itself needs for it. It covers a preceding call that the service is still
// handling, and two round trips between regions.
const adviceMargin = 2 * time.Second

// startRun sends a start order. The session passes its outcome to the cell.
func (l *leadership) startRun(ctx context.Context, order cell.StartOrder) {
	session := l.sessions[order.Worker]
	if session == nil {
		l.cell.ApplyStartResult(time.Now(), cell.StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run,
			Outcome: cell.StartRefused, Refusal: cell.RefusedNotSent})
		return
	}
	l.spawn(func() { session.Start(ctx, order) })
}

// stopRun sends an order to stop a run, and logs a failure.
func (l *leadership) stopRun(ctx context.Context, order cell.StopOrder) {
	session := l.sessions[order.Worker]
	if session == nil {
		return
	}
	l.spawn(func() {
		if err := session.Stop(ctx, order); err != nil && ctx.Err() == nil {
			l.entry.options.Journal.Retrying("stop of "+taskName(order.Task), err)
		}
	})
}

// throttle sends an order that limits the speed of a best-effort run. A failure is
// reported to the cell.
func (l *leadership) throttle(ctx context.Context, order cell.ThrottleOrder) {
	session := l.sessions[order.Worker]
	if session == nil {
		return
	}
	l.spawn(func() {
		if err := session.Throttle(ctx, order); err != nil && ctx.Err() == nil {
			l.post(func(now time.Time, c *cell.Cell) { c.ThrottleFailed(order) })
		}
	})
}

// logEffects records the orders and the decisions in the metrics and the log.
func (l *leadership) logEffects(effects cell.Effects) {
	options := l.entry.options
	options.Metrics.OrdersSent(len(effects.Starts), len(effects.Stops), len(effects.Throttles))
	options.Metrics.LeasesBound(effects.LeasesBound)
	options.Metrics.WorkersCrashed(effects.CrashedWorkers, effects.JobsGivenUp)
	l.countDepartures(effects)
	for _, wait := range effects.NearWaits {
		options.Metrics.NearWaitEnded(wait.Outcome.Label(), wait.Duration)
	}
	l.countAdmissions(effects)
	for _, order := range effects.Starts {
		options.Journal.LogTask(logging.TaskLine{Event: "start ordered", Task: taskName(order.Task), Run: order.Run, Worker: string(order.Worker), KnownRun: order.KnownRun, Recovery: order.Recovery, Epoch: l.term.Epoch})
	}
	for _, decision := range effects.Events {
		options.Journal.LogTask(logging.TaskLine{Event: decision.Event, Task: decisionSubject(decision), Run: decision.Run, Worker: string(decision.Worker), Outcome: decision.Outcome, End: decision.End, InputAge: decision.Age, Epoch: l.term.Epoch})
	}
}

// decisionSubject returns the name of the task that a decision is about, or the ID of
// the job if the decision is not about a run.
func decisionSubject(decision cell.DecisionEvent) string {
	if decision.Run == 0 {
		return string(decision.Task.Job)
	}
	return taskName(decision.Task)
}

func stepName(id cell.StepID) string {
	return fmt.Sprintf("%s.%d.%d", id.Job, id.Occurrence, id.Step)
}

func taskName(id cell.TaskID) string {
	return fmt.Sprintf("%s.%d.%d.%d", id.Job, id.Occurrence, id.Step, id.Index)
}
