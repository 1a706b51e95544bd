package cell

import (
	"slices"
	"time"
)

// A queue may have a policy that allows only some workers to run a step. Only
// the advice service knows the policy. The cell asks it about a limited number
// of workers at a time and keeps its tickets with the step. A task of the step
// is started only on a worker for which the step has a valid ticket.

const (
	// maxWorkersPerCall limits the workers named in one call, since the service
	// takes time for each. With fewer workers per call, most steps would need
	// several calls one after the other.
	maxWorkersPerCall = 30
	// maxCallsInFlight limits the unanswered calls, because the service handles
	// the calls of one instance one at a time. With two, the second call waits
	// at the service while the first is answered.
	maxCallsInFlight = 2
	// adviceRetryPause is the pause after a failed call before the service is
	// asked about the same step again.
	adviceRetryPause = 300 * time.Millisecond
	// ticketMargin is how long before its expiry a ticket is no longer used: a
	// start order needs this time to reach its worker.
	ticketMargin = 250 * time.Millisecond
)

// adviceState holds what the advice service has answered about a step.
type adviceState struct {
	// pending is set while a call about the step is in flight.
	pending bool
	// askedIncarnations holds the incarnations of the workers that the last call is
	// about.
	askedIncarnations map[WorkerID]int64
	// retryAt is the end of the pause after a failed call.
	retryAt time.Time
	// judgedIncarnations holds, for each worker that the service has answered
	// for, the worker's incarnation when it was asked.
	judgedIncarnations map[WorkerID]int64
	tickets            map[WorkerID]ticket
}

// ticket allows the tasks of one step to start on one incarnation of a worker.
type ticket struct {
	text        string
	incarnation int64
	validUntil  time.Time
}

// id returns the identifier of the step.
func (s *step) id() StepID {
	o := s.occurrence
	return StepID{Job: o.job.id, Occurrence: o.number, Step: s.index}
}

// ticketFor returns the step's ticket for a worker. It returns false if there
// is none, or if it expires too soon for a start order.
func (s *step) ticketFor(now time.Time, w *worker) (text string, valid bool) {
	if s.advice == nil {
		return "", false
	}
	kept, found := s.advice.tickets[w.info.ID]
	if !found || kept.incarnation != w.info.Incarnation || !now.Before(kept.validUntil) {
		return "", false
	}
	return kept.text, true
}

// adviceAllows reports whether the policy of the queue lets the task start on
// the worker now. It is always true for queues without advice.
func (t *task) adviceAllows(now time.Time, w *worker) bool {
	if t.job().terms.Advice == nil {
		return true
	}
	_, valid := t.step.ticketFor(now, w)
	return valid
}

// requestAdvice asks the advice service about workers on which the task could
// run. It does nothing while a call about the step is in flight, during the
// pause after a failed call, or while maxCallsInFlight calls are unanswered.
func (c *Cell) requestAdvice(now time.Time, t *task) {
	s := t.step
	if t.job().terms.Advice == nil || c.adviceCallsInFlight >= maxCallsInFlight {
		return
	}
	if s.advice == nil {
		s.advice = &adviceState{judgedIncarnations: map[WorkerID]int64{}, tickets: map[WorkerID]ticket{}}
	}
	if s.advice.pending || now.Before(s.advice.retryAt) {
		return
	}
	workers := c.workersToAsk(now, t)
	if len(workers) == 0 {
		return
	}
	s.advice.pending = true
	s.advice.askedIncarnations = map[WorkerID]int64{}
	for _, id := range workers {
		s.advice.askedIncarnations[id] = c.workers[id].info.Incarnation
	}
	c.adviceCallsInFlight++
	c.effects.Advice = append(c.effects.Advice, AdviceRequest{Step: s.id(), Workers: workers, Latency: *t.job().terms.Advice})
}

// workersToAsk returns at most maxWorkersPerCall workers to ask about, none of them with
// a valid ticket or unsuitable for the task: steps that can't be placed would otherwise
// take the calls that other steps wait for. Workers with an expired ticket come first,
// since the policy is known to allow them, followed by workers that the service has not
// judged yet, those with most free CPU first.
func (c *Cell) workersToAsk(now time.Time, t *task) []WorkerID {
	var expired, unjudged []WorkerID
	for _, w := range c.sortedWorkers() {
		if !w.canRun(now, t) {
			continue
		}
		if _, reason := c.score(now, t, w); reason != suitable && !c.mayStartHeldOff(now, t, w) {
			continue
		}
		if _, valid := t.step.ticketFor(now, w); valid {
			continue
		}
		_, hasTicket := t.step.advice.tickets[w.info.ID]
		incarnation, judged := t.step.advice.judgedIncarnations[w.info.ID]
		switch {
		case hasTicket:
			expired = append(expired, w.info.ID)
		case !judged || incarnation != w.info.Incarnation:
			unjudged = append(unjudged, w.info.ID)
		}
	}
	slices.SortStableFunc(unjudged, func(a, b WorkerID) int {
		return c.workers[b].free().CPU - c.workers[a].free().CPU
	})
	workers := append(expired, unjudged...)
	return workers[:min(len(workers), maxWorkersPerCall)]
}

// ApplyAdvice applies the result of a call to the advice service.
func (c *Cell) ApplyAdvice(now time.Time, result AdviceResult) {
	c.adviceCallsInFlight = max(0, c.adviceCallsInFlight-1)
	s := c.findStep(result.Step)
	if s == nil || s.advice == nil {
		return
	}
	s.advice.pending = false
	s.retryAt = time.Time{}
	outcome := "failed"
	if result.Failed {
		s.advice.retryAt = now.Add(adviceRetryPause)
	} else {
		outcome = s.advice.apply(c, result)
	}
	c.addEvent(DecisionEvent{Event: "advice", Task: TaskID{Job: result.Step.Job, Occurrence: result.Step.Occurrence, Step: result.Step.Step},
		Outcome: outcome, Age: now.Sub(result.Sent)})
}

func (a *adviceState) apply(c *Cell, result AdviceResult) (outcome string) {
	for _, id := range result.Workers {
		if c.workers[id] == nil {
			continue
		}
		incarnation := a.askedIncarnations[id]
		a.judgedIncarnations[id] = incarnation
		delete(a.tickets, id)
		if text, allowed := result.Tickets[id]; allowed {
			a.tickets[id] = ticket{text: text, incarnation: incarnation, validUntil: result.ValidUntil.Add(-ticketMargin)}
		}
	}
	if len(result.Tickets) == 0 {
		return "no worker allowed"
	}
	return "workers allowed"
}

func (c *Cell) findStep(id StepID) *step {
	j := c.jobs[id.Job]
	if j == nil || j.state.IsFinal() {
		return nil
	}
	t := j.findTask(TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step})
	if t == nil {
		return nil
	}
	return t.step
}

// forgetAdvice removes the ticket for a worker that refused it, so that the
// advice service is asked about the worker again.
func (s *step) forgetAdvice(id WorkerID) {
	if s.advice != nil {
		delete(s.advice.tickets, id)
		delete(s.advice.judgedIncarnations, id)
	}
}
