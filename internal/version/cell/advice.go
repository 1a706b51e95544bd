package cell

import (
	"slices"
	"time"
)

// A queue may have a policy that allows only some workers to run a step, known
// to the advice service alone. It is asked for a few workers at a time; its
// tickets are kept with the step, and a task of the step starts only on a worker
// that it has a valid ticket for.

const (
	// workersPerCall is how many workers one call names. Each costs the service
	// time; fewer would take several calls in a row for most steps.
	workersPerCall = 30
	// callsAtOnce bounds the calls that wait at the service, which handles those
	// of one instance in turn. The second one waits while the first is answered.
	callsAtOnce = 2
	// adviceRetry is the pause before a step is asked about again after a call
	// that failed.
	adviceRetry = 300 * time.Millisecond
	// ticketMargin is left of a ticket's validity for the way of a start order.
	ticketMargin = 250 * time.Millisecond
)

// advice is what is known about the workers that may run a step.
type advice struct {
	// pending says that a call is on its way.
	pending bool
	// retryAt ends the pause after a call that failed.
	retryAt time.Time
	// answered holds the life of each worker that the service has judged.
	answered map[WorkerID]int64
	tickets  map[WorkerID]ticket
}

// ticket lets the tasks of one step start on one life of a worker.
type ticket struct {
	text  string
	born  int64
	until time.Time
}

// id returns the name of the step.
func (s *step) id() StepID {
	o := s.occurrence
	return StepID{Job: o.job.id, Occurrence: o.number, Step: s.index}
}

// ticketFor returns the ticket for a worker. valid is false if there is none
// that a start could still use.
func (s *step) ticketFor(now time.Time, w *worker) (text string, valid bool) {
	if s.advice == nil {
		return "", false
	}
	known, found := s.advice.tickets[w.info.ID]
	if !found || known.born != w.info.Born || !now.Before(known.until) {
		return "", false
	}
	return known.text, true
}

// permitted says whether the policy of the queue lets the task start on the
// worker now.
func (t *task) permitted(now time.Time, w *worker) bool {
	if t.job().terms.Advice == nil {
		return true
	}
	_, valid := t.step.ticketFor(now, w)
	return valid
}

// seekAdvice asks about workers on which a task of the step would find a place.
func (c *Cell) seekAdvice(now time.Time, t *task) {
	s := t.step
	if t.job().terms.Advice == nil || c.adviceCalls >= callsAtOnce {
		return
	}
	if s.advice == nil {
		s.advice = &advice{answered: map[WorkerID]int64{}, tickets: map[WorkerID]ticket{}}
	}
	if s.advice.pending || now.Before(s.advice.retryAt) {
		return
	}
	workers := c.toAsk(now, t)
	if len(workers) == 0 {
		return
	}
	s.advice.pending = true
	c.adviceCalls++
	c.effects.Advice = append(c.effects.Advice, AdviceOrder{Step: s.id(), Workers: workers, Terms: *t.job().terms.Advice})
}

// toAsk returns the workers to ask about: those whose ticket is over, since they
// are known to be allowed, then the best that were not judged yet.
func (c *Cell) toAsk(now time.Time, t *task) []WorkerID {
	var again, fresh []WorkerID
	for _, w := range c.list() {
		if !w.takes(now, t) {
			continue
		}
		_, ticketed := t.step.advice.tickets[w.info.ID]
		born, judged := t.step.advice.answered[w.info.ID]
		switch {
		case ticketed:
			again = append(again, w.info.ID)
		case !judged || born != w.info.Born:
			fresh = append(fresh, w.info.ID)
		}
	}
	slices.SortStableFunc(fresh, func(a, b WorkerID) int {
		return c.workers[b].free().CPU - c.workers[a].free().CPU
	})
	workers := append(again, fresh...)
	return workers[:min(len(workers), workersPerCall)]
}

// Advised applies the answer of the advice service, or its failure.
func (c *Cell) Advised(now time.Time, result AdviceResult) {
	c.adviceCalls = max(0, c.adviceCalls-1)
	s := c.findStep(result.Step)
	if s == nil || s.advice == nil {
		return
	}
	s.advice.pending = false
	s.retryAt = time.Time{}
	outcome := "failed"
	if result.Failed {
		s.advice.retryAt = now.Add(adviceRetry)
	} else {
		outcome = s.advice.apply(c, result)
	}
	c.note(Note{Event: "advice", Task: TaskID{Job: result.Step.Job, Occurrence: result.Step.Occurrence, Step: result.Step.Step},
		Outcome: outcome, Age: now.Sub(result.Sent)})
}

func (a *advice) apply(c *Cell, result AdviceResult) (outcome string) {
	for _, id := range result.Asked {
		w := c.workers[id]
		if w == nil {
			continue
		}
		a.answered[id] = w.info.Born
		delete(a.tickets, id)
		if text, allowed := result.Tickets[id]; allowed {
			a.tickets[id] = ticket{text: text, born: w.info.Born, until: result.ValidUntil.Add(-ticketMargin)}
		}
	}
	if len(result.Tickets) == 0 {
		return "no worker allowed"
	}
	return "workers allowed"
}

func (c *Cell) findStep(id StepID) *step {
	j := c.jobs[id.Job]
	if j == nil || j.state.Over() {
		return nil
	}
	t := j.find(TaskID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step})
	if t == nil {
		return nil
	}
	return t.step
}

// ticketRefused forgets a ticket that a worker doesn't take.
func (s *step) ticketRefused(id WorkerID) {
	if s.advice != nil {
		delete(s.advice.tickets, id)
		delete(s.advice.answered, id)
	}
}
