package cell

import (
	"slices"
	"time"
)

// Report applies a worker's answer to a hold.
func (c *Cell) Report(now time.Time, report Report) {
	w := c.workers[report.Worker]
	if w == nil {
		return
	}
	if w.info.Born != 0 && report.Born != 0 && w.info.Born != report.Born {
		if report.Born < w.info.Born {
			return // An answer of an earlier life that came late.
		}
		c.reborn(now, w, report.Born)
	}
	if report.Born != 0 {
		w.info.Born = report.Born
	}
	c.heard(now, w, report.LeaseUntil)
	seen := make(map[*run]bool, len(report.Running))
	w.foreign = false
	for _, end := range report.Ended {
		c.applyEnd(now, w, end)
	}
	for _, row := range report.Running {
		if r := c.applyRow(now, w, row); r != nil {
			seen[r] = true
		}
	}
	for r := range w.runs {
		if !seen[r] {
			c.missing(now, r, report)
		}
	}
	if len(report.Ended) > 0 {
		c.acknowledge(w)
	}
	c.pace(now, w)
}

func (c *Cell) heard(now time.Time, w *worker, leaseUntil time.Time) {
	if !w.held || w.silent {
		c.note(Note{Event: "worker held", Worker: w.info.ID})
	}
	if !w.held {
		// An earlier leader may have prolonged the lease just before.
		w.leaseUntil = now.Add(c.config.Lease)
	}
	w.held = true
	w.silent = false
	w.heard = now
	if leaseUntil.After(w.leaseUntil) {
		w.leaseUntil = leaseUntil
	}
	delete(c.recovering, w.info.ID)
}

// acknowledge lets the worker forget its ends once they are stored.
func (c *Cell) acknowledge(w *worker) {
	ack := Acknowledgement{w.info.ID, w.info.Born, w.lastEnd}
	c.afterWrite(func() { c.effects.Acks = append(c.effects.Acks, ack) })
}

// Silent says that a worker did not answer a hold, which may have prolonged
// its lease until leaseUntil.
func (c *Cell) Silent(now time.Time, id WorkerID, leaseUntil time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	if leaseUntil.After(w.leaseUntil) {
		w.leaseUntil = leaseUntil
	}
	if w.silent {
		return
	}
	w.silent = true
	c.note(Note{Event: "worker silent", Worker: id, Age: now.Sub(w.heard)})
}

// reborn applies that another life of the worker answered, so that nothing
// that the earlier one started runs.
func (c *Cell) reborn(now time.Time, w *worker, born int64) {
	c.note(Note{Event: "worker restarted", Worker: w.info.ID})
	for r := range w.runs {
		// An order on its way may arrive in the new life; a report under a
		// higher token settles it.
		if r.phase == running || r.phase == stopping {
			c.lost(now, r, "worker restarted")
		}
	}
	c.effects.Settle = append(c.effects.Settle, w.info.ID)
	w.info.Born = born
	w.lastEnd = 0
	w.held = false
	w.health = health{}
}

// lost ends a run that is known not to run any more and left no end.
func (c *Cell) lost(now time.Time, r *run, why string) {
	t := r.task
	c.note(Note{Event: "run lost", Task: t.id(), Run: r.number, Worker: r.worker.info.ID, Outcome: why, Age: now.Sub(r.ordered)})
	c.keepCheckpoint(t, r.saved)
	r.worker.detach(r)
	c.requeue(now, t)
}

func (c *Cell) keepCheckpoint(t *task, saved string) {
	if saved != "" && t.spec().Checkpointing {
		t.checkpoint = saved
	}
}

// missing decides about a run that a report doesn't list.
func (c *Cell) missing(now time.Time, r *run, report Report) {
	switch r.phase {
	case uncertain:
		if report.Token > r.token {
			c.lost(now, r, "start did not arrive")
		}
	case running, stopping:
		if r.answered.Before(report.Sent) {
			c.lost(now, r, "not listed")
		}
	}
}

// applyEnd applies one end. Ends that were applied before change nothing.
func (c *Cell) applyEnd(now time.Time, w *worker, end End) {
	if end.Number <= w.lastEnd {
		return
	}
	w.lastEnd = end.Number
	ran := time.Duration(0)
	if r := w.find(end.Task, end.Run); r != nil {
		ran = now.Sub(r.answered)
		w.health.ended(end.How, end.Task.Job, now)
		c.images.learnEnd(r, end.How, ran)
		w.detach(r)
	}
	j := c.jobs[end.Task.Job]
	if j == nil {
		return
	}
	t := j.find(end.Task)
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, end.Run)
	c.began(j)
	c.markDirty(j)
	if end.How != EndDone {
		c.note(Note{Event: "run ended", Task: end.Task, Run: end.Run, Worker: w.info.ID, Outcome: string(end.How), Age: ran})
	}
	c.settle(now, t, w, end)
}

func (c *Cell) settle(now time.Time, t *task, w *worker, end End) {
	if t.done || t.job().state.Over() {
		return
	}
	switch end.How {
	case EndDone:
		c.taskDone(now, t)
		return
	case EndFailed:
		t.countFailure(end.Run)
		t.failedOn = append(t.failedOn, w.info.ID)
		if !t.spec().LongRunning && len(t.failedRuns) >= max(1, t.job().terms.Attempts) {
			c.note(Note{Event: "job failed", Task: t.id(), Run: end.Run, Worker: w.info.ID})
			c.end(now, t.job(), Failed)
			return
		}
	}
	c.keepCheckpoint(t, end.Saved)
	c.requeue(now, t)
}

// countFailure counts the failure of a run once, however often it is listed.
func (t *task) countFailure(run int64) {
	if !slices.Contains(t.failedRuns, run) {
		t.failedRuns = append(t.failedRuns, run)
	}
}

func (c *Cell) taskDone(now time.Time, t *task) {
	if t.spec().LongRunning {
		c.requeue(now, t)
		return
	}
	t.markDone()
	for _, other := range t.runs {
		c.stop(now, other)
	}
	if t.spec().Gang {
		for _, member := range t.step.tasks {
			if !member.done {
				member.markDone()
			}
		}
	}
	if t.step.left == 0 {
		c.advance(now, t.job())
		c.openSteps(now, t.job())
	}
}

// advance moves past complete occurrences and ends a job that has no more.
func (c *Cell) advance(now time.Time, j *job) {
	for !j.state.Over() {
		o := j.occurrences[j.next]
		if o == nil || o.left > 0 {
			return
		}
		delete(j.occurrences, j.next)
		j.next++
		if j.next >= j.spec.Runs() {
			c.end(now, j, Completed)
		}
	}
}

// applyRow applies one run that a worker lists as running, and returns it.
func (c *Cell) applyRow(now time.Time, w *worker, row Row) *run {
	if r := w.find(row.Task, row.Run); r != nil {
		c.update(now, r, row)
		return r
	}
	var t *task
	if j := c.jobs[row.Task.Job]; j != nil {
		t = j.find(row.Task)
	}
	if t == nil {
		// It takes room of an unknown size until it has ended.
		w.foreign = true
		c.effects.Stops = append(c.effects.Stops, StopOrder{w.info.ID, row.Task, row.Run})
		return nil
	}
	r := c.adopt(now, w, t, row)
	c.update(now, r, row)
	return r
}

// unknownPace is that of a run that an earlier leader may have slowed.
const unknownPace = -1

// adopt takes over a run that an earlier term or an order without an answer
// began. A run that is not wanted is stopped, but counted until it ends.
func (c *Cell) adopt(now time.Time, w *worker, t *task, row Row) *run {
	r := &run{task: t, number: row.Run, phase: running, size: t.size(), ordered: now, answered: now, pace: unknownPace, moved: now}
	unwanted := t.done || t.job().state.Over() || (len(t.runs) > 0 && !t.spec().Speculative)
	t.runs = append(t.runs, r)
	t.lastRun = max(t.lastRun, row.Run)
	w.attach(r)
	c.began(t.job())
	c.note(Note{Event: "run adopted", Task: t.id(), Run: row.Run, Worker: w.info.ID})
	if unwanted {
		c.stop(now, r)
	}
	return r
}

func (c *Cell) update(now time.Time, r *run, row Row) {
	if r.phase == starting || r.phase == uncertain {
		r.phase = running
		r.answered = now
		c.began(r.task.job())
	}
	if row.Saved != "" {
		r.saved = row.Saved
	}
	if row.Percent != r.percent {
		r.moved = now
	}
	r.percent = row.Percent
	r.gauge = row.Gauge
}

func (c *Cell) began(j *job) {
	j.began = true
	j.visible.CompareAndSwap(uint32(Queued), uint32(Running))
	if j.state == Queued {
		j.state = Running
	}
}

// StartResult applies the outcome of a start order.
func (c *Cell) StartResult(now time.Time, result StartResult) {
	w := c.workers[result.Worker]
	if w == nil {
		return
	}
	r := w.find(result.Task, result.Run)
	if r == nil || r.phase != starting {
		return
	}
	if result.LeaseUntil.After(w.leaseUntil) {
		w.leaseUntil = result.LeaseUntil
	}
	switch result.Outcome {
	case StartAccepted:
		c.startAccepted(now, r)
	case StartRefused:
		c.startRefused(now, r, result.Refusal)
	case StartUnknown:
		r.phase = uncertain
		r.token = result.Token
		c.effects.Settle = append(c.effects.Settle, result.Worker)
		c.note(Note{Event: "start unanswered", Task: result.Task, Run: result.Run, Worker: result.Worker, Age: now.Sub(r.ordered)})
	}
}

func (c *Cell) startAccepted(now time.Time, r *run) {
	r.phase = running
	r.answered = now
	r.moved = now
	t := r.task
	c.began(t.job())
	if t.done || t.job().state.Over() {
		c.stop(now, r)
	}
}

func (c *Cell) startRefused(now time.Time, r *run, why Refusal) {
	t := r.task
	w := r.worker
	c.note(Note{Event: "start refused", Task: t.id(), Run: r.number, Worker: w.info.ID, Outcome: string(why), Age: now.Sub(r.ordered)})
	w.detach(r)
	switch why {
	case RefusedTicket:
		t.step.ticketRefused(w.info.ID)
	case RefusedHealth:
		w.health.bad(now)
		w.blockedUntil = now.Add(refusalPause)
	default:
		w.blockedUntil = now.Add(refusalPause)
	}
	c.requeue(now, t)
}

// refusalPause is how long a worker that refused a start gets no other: the
// next report, which may change what is believed of it, takes about as long.
const refusalPause = 300 * time.Millisecond
