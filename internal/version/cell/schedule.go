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
	if c.unsorted {
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

// rank orders the ready tasks: priority first, then by the time at which the
// job is late, and large tasks before small ones of the same job.
func (c *Cell) rank(now time.Time) {
	c.unsorted = false
	due := map[*job]time.Time{}
	for _, t := range c.ready {
		if _, known := due[t.job()]; !known {
			due[t.job()] = c.lateAt(now, t.job())
		}
	}
	slices.SortStableFunc(c.ready, func(a, b *task) int {
		if by := cmp.Compare(a.job().terms.Priority, b.job().terms.Priority); by != 0 {
			return by
		}
		return due[a.job()].Compare(due[b.job()])
	})
}

// lateAt returns when the job stops being in time. A job that is too late
// already comes after all that can still be in time.
func (c *Cell) lateAt(now time.Time, j *job) time.Time {
	chain := time.Duration(0)
	for i := range j.spec.Steps {
		chain += time.Duration(j.spec.Steps[i].EstimateMillis) * time.Millisecond
	}
	allowed := time.Duration(j.terms.Stretch*float64(chain)) + time.Duration(j.terms.ObjectiveMillis)*time.Millisecond
	at := j.accepted.Add(allowed)
	if at.Before(now) {
		return at.Add(lateHandicap)
	}
	return at
}

// lateHandicap puts jobs that missed their objective behind those that haven't,
// without starving them: a job that is this late comes before new ones.
const lateHandicap = 20 * time.Second

// start places a task and orders its start. It returns false if there is no
// place.
func (c *Cell) start(now time.Time, t *task) bool {
	if t.spec().Gang {
		return c.startGang(now, t.step)
	}
	w := c.place(now, t)
	if w == nil {
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
	t.queued = false
	t.lastRun = number
	t.runs = append(t.runs, r)
	w.attach(r)
	if t.spec().LongRunning {
		c.room.free -= r.size.CPU
	}
	c.began(t.job())
	c.effects.Starts = append(c.effects.Starts, StartOrder{
		Worker:     w.info.ID,
		Task:       t.id(),
		Run:        number,
		Spec:       t.job().spec.Spec,
		Checkpoint: t.checkpoint,
	})
}

// startGang places all tasks of a step or none.
func (c *Cell) startGang(now time.Time, s *step) bool {
	number := int64(0)
	checkpoint := ""
	for _, t := range s.tasks {
		if len(t.runs) > 0 || !t.queued {
			return false
		}
		number = max(number, c.nextRun(t))
		checkpoint = max(checkpoint, t.checkpoint)
	}
	placed := c.placeGang(now, s)
	if placed == nil {
		return false
	}
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		c.order(now, t, placed[i], number)
	}
	return true
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
	r.worker.health.stalled(now)
	t.failedOn = append(t.failedOn, r.worker.info.ID)
	c.stop(now, r)
}
