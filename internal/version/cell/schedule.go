package cell

import (
	"cmp"
	"slices"
	"time"
)

// openSteps makes the tasks of all steps ready whose earlier steps are done.
func (c *Cell) openSteps(now time.Time, j *job) {
	if j.state.Over() {
		return
	}
	if j.spec.Occurrences > 0 {
		c.openTimed(now, j)
		return
	}
	c.openOccurrence(now, j.open(0))
}

func (c *Cell) openOccurrence(now time.Time, o *occurrence) {
	for _, s := range o.steps {
		if s.open || !s.ready() {
			continue
		}
		s.open = true
		for _, t := range s.tasks {
			c.requeue(now, t)
		}
	}
}

// openTimed opens the occurrences that are due and enlists the job for the
// next one.
func (c *Cell) openTimed(now time.Time, j *job) {
	for number := j.next; number < j.spec.Runs(); number++ {
		if now.Before(j.spec.Due(number)) {
			if !slices.Contains(c.timed, j) {
				c.timed = append(c.timed, j)
			}
			return
		}
		c.openOccurrence(now, j.open(number))
	}
}

func (c *Cell) openDue(now time.Time) {
	waiting := c.timed
	c.timed = nil
	for _, j := range waiting {
		if !j.state.Over() {
			c.openTimed(now, j)
		}
	}
}

// requeue makes a task ready if it needs a run and its step is open.
func (c *Cell) requeue(now time.Time, t *task) {
	if t.done || t.queued || len(t.runs) > 0 || !t.step.open || t.job().state.Over() {
		return
	}
	t.queued = true
	t.readySince = now
	c.ready = append(c.ready, t)
	c.unsorted = true
}

// recovered says whether every worker that may have runs of earlier terms has
// answered or can't have any.
func (c *Cell) recovered(now time.Time) bool {
	return c.registered && len(c.recovering) == 0 || !now.Before(c.recoverUntil)
}

// schedule starts the ready tasks that find a place.
func (c *Cell) schedule(now time.Time) {
	if len(c.ready) == 0 || c.paused {
		return
	}
	if c.unsorted || now.Sub(c.rankedAt) > rankPeriod {
		c.rank(now)
	}
	c.measureRoom(now)
	recovered := c.recovered(now)
	kept := c.ready[:0]
	for _, t := range c.ready {
		if t.done || len(t.runs) > 0 || t.job().state.Over() {
			t.queued = false // It ended or was found running meanwhile.
			continue
		}
		if t.job().recovered && !recovered || now.Before(t.step.retryAt) || !c.start(now, t) {
			t.step.postpone(now)
			kept = append(kept, t)
		}
	}
	clear(c.ready[len(kept):])
	c.ready = kept
}

// retryPause is how long the tasks of a step that found no place wait. Reports
// come every few milliseconds, and each would try all tasks that wait.
const retryPause = 30 * time.Millisecond

func (s *step) postpone(now time.Time) {
	if !now.Before(s.retryAt) {
		s.retryAt = now.Add(retryPause)
	}
}

// rank orders the ready tasks: priority first, then those that last and have
// waited too long, then by what finishing the job still earns.
func (c *Cell) rank(now time.Time) {
	c.unsorted = false
	c.rankedAt = now
	keys := map[*job]urgency{}
	for _, t := range c.ready {
		if _, known := keys[t.job()]; !known {
			keys[t.job()] = c.urgencyOf(now, t.job())
		}
	}
	slices.SortStableFunc(c.ready, func(a, b *task) int {
		if by := cmp.Compare(a.job().terms.Priority, b.job().terms.Priority); by != 0 {
			return by
		}
		if late := a.overdue(now); late != b.overdue(now) {
			return map[bool]int{true: -1, false: 1}[late]
		}
		return keys[a.job()].compare(keys[b.job()])
	})
}

// rankPeriod is how often tasks that wait are ranked anew, since jobs become
// late meanwhile.
const rankPeriod = 250 * time.Millisecond

// class orders jobs by whether they can still be in time.
type class uint8

const (
	// inTime jobs have begun and can be in time.
	inTime class = iota
	// fresh jobs have not begun and can be in time.
	fresh
	// late jobs earn a part of their worth.
	late
	// hopeless jobs earn nothing, but are run when there is room.
	hopeless
)

// urgency is the place of a job among those of its priority.
type urgency struct {
	class class
	at    time.Time
}

func (u urgency) compare(o urgency) int {
	if by := cmp.Compare(u.class, o.class); by != 0 {
		return by
	}
	return u.at.Compare(o.at)
}

// lateFactor is how many times its objective a job may take and still earn a
// part of its worth.
const lateFactor = 3

// urgencyOf classes a job by the time that is left for the work that is left.
// Under overload this keeps the room for jobs that can be in time, and
// finishes what has begun.
func (c *Cell) urgencyOf(now time.Time, j *job) urgency {
	objective := c.objective(j)
	end := now.Add(c.remaining(j))
	switch {
	case !end.After(j.accepted.Add(objective)):
		if j.began {
			return urgency{inTime, j.accepted.Add(objective)}
		}
		return urgency{fresh, j.accepted.Add(objective)}
	case !end.After(j.accepted.Add(lateFactor * objective)):
		return urgency{late, j.accepted.Add(lateFactor * objective)}
	}
	return urgency{hopeless, j.accepted}
}

// objective returns the time within which a job is to be completed.
func (c *Cell) objective(j *job) time.Duration {
	chain := c.chain(j, func(int) bool { return true })
	return time.Duration(j.terms.Stretch*float64(chain)) + time.Duration(j.terms.ObjectiveMillis)*time.Millisecond
}

// remaining returns the least time that the unfinished steps take.
func (c *Cell) remaining(j *job) time.Duration {
	o := j.occurrences[j.next]
	return c.chain(j, func(step int) bool { return o == nil || o.steps[step].left > 0 })
}

// chain returns the longest chain of estimates over the steps that count.
func (c *Cell) chain(j *job, counts func(step int) bool) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.spec.Steps))
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		for _, earlier := range step.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		if counts(i) && !step.LongRunning {
			ends[i] += time.Duration(step.EstimateMillis) * time.Millisecond
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// start places a task and orders its start. It returns false if there is no
// place.
func (c *Cell) start(now time.Time, t *task) bool {
	if t.spec().Gang {
		return c.startGang(now, t.step)
	}
	w := c.place(now, t)
	if w == nil {
		c.seekAdvice(now, t)
		return false
	}
	c.order(now, t, w, c.nextRun(t))
	return true
}

// nextRun returns a number above those of all earlier runs of the task.
func (c *Cell) nextRun(t *task) int64 {
	floor := int64(0)
	if t.job().recovered {
		floor = c.config.Epoch * runsPerTerm
	}
	return max(t.lastRun, floor) + 1
}

// runsPerTerm leaves room for the run numbers of one task in one term, so that
// those of a later term are higher without a stored record of each start.
const runsPerTerm = 1000

func (c *Cell) order(now time.Time, t *task, w *worker, number int64) {
	r := &run{task: t, number: number, phase: starting, size: t.size(), ordered: now, pace: 100}
	c.tried(now, t, w)
	t.queued = false
	t.lastRun = number
	t.runs = append(t.runs, r)
	w.attach(r)
	if t.spec().LongRunning {
		c.room.free -= r.size.CPU
	}
	ticket, _ := t.step.ticketFor(now, w) // Empty where the policy needs none.
	c.effects.Starts = append(c.effects.Starts, StartOrder{
		Worker:     w.info.ID,
		Task:       t.id(),
		Run:        number,
		Spec:       t.job().spec.Spec,
		Checkpoint: t.checkpoint,
		Ticket:     ticket,
	})
}

// backupFactor is how many times the expected duration a run may take before
// a speculative copy is started.
const backupFactor = 1.6

// backup starts a second copy of late runs of speculative steps, and moves
// runs that stand still.
func (c *Cell) backup(now time.Time) {
	for _, w := range c.workers {
		for r := range w.runs {
			if r.phase == running && c.slow(now, r) {
				c.copyOrMove(now, r)
			}
			c.relocate(now, r)
		}
	}
}

// slow says whether a run takes much longer than others of its kind.
func (c *Cell) slow(now time.Time, r *run) bool {
	t := r.task
	if t.spec().LongRunning || t.done || len(t.runs) > 1 || t.job().state.Over() {
		return false
	}
	expected := c.images.expected(t)
	return now.Sub(r.answered) > time.Duration(backupFactor*float64(expected))+slowMargin
}

// slowMargin covers the time until an end is reported.
const slowMargin = 250 * time.Millisecond

// stallLimit is how long the progress of a run may stand still, beyond the
// time that a worker takes for one percent, before it is moved.
const stallLimit = 1500 * time.Millisecond

func (c *Cell) copyOrMove(now time.Time, r *run) {
	t := r.task
	if t.spec().Speculative {
		w := c.placeAvoiding(now, t, r.worker)
		if w == nil {
			return
		}
		c.note(Note{Event: "copy started", Task: t.id(), Run: r.number, Worker: r.worker.info.ID, Age: now.Sub(r.answered)})
		c.order(now, t, w, c.nextRun(t))
		return
	}
	if now.Sub(r.moved) < stallLimit || r.worker.silent || r.pace < 100 || t.spec().Gang {
		return
	}
	c.note(Note{Event: "run stalled", Task: t.id(), Run: r.number, Worker: r.worker.info.ID, Age: now.Sub(r.moved)})
	r.worker.health.bad(now)
	t.failedOn = append(t.failedOn, r.worker.info.ID)
	c.stop(now, r)
}
