package cell

import (
	"cmp"
	"slices"
	"time"
)

// requeue makes a task ready if it needs a run and its step is open.
func (c *Cell) requeue(now time.Time, t *task) {
	if t.done || t.queued || len(t.runs) > 0 || !t.step.opened || t.job().state.IsFinal() {
		return
	}
	t.queued = true
	t.readySince = now
	c.readyTasks = append(c.readyTasks, t)
	c.needsRanking = true
}

// requeueUnstarted makes the task of a run ready again that never started. What the task
// waits for it has waited for all the while.
func (c *Cell) requeueUnstarted(now time.Time, r *run) {
	t := r.task
	c.requeue(now, t)
	if t.queued && !r.readySince.IsZero() {
		t.readySince = r.readySince
	}
}

// recoveryDone reports whether tasks of earlier terms may be started: every
// worker that may have runs of those terms, or ends of them, has reported all, or the
// recovery wait is over and the leases of the others have expired.
func (c *Cell) recoveryDone(now time.Time) bool {
	if !c.isOver(now, c.recoveryDeadline) {
		return c.registryRead && len(c.recovering) == 0
	}
	return len(c.partlyRecovered) == 0
}

// mayRunElsewhere reports whether a worker that has not answered in this term may have
// a run of the task, or of another member of its gang.
func (c *Cell) mayRunElsewhere(now time.Time, t *task) bool {
	if !t.job().fromEarlierTerm || c.recoveryDone(now) {
		return false
	}
	if t.spec().Gang {
		return slices.ContainsFunc(t.step.tasks, func(member *task) bool { return !member.located })
	}
	if t.confinedEarlier != nil {
		return c.recovering[t.confinedEarlier.worker]
	}
	return !t.located
}

// recoveryReason returns why a task waits for no worker of earlier terms, or "" if none of
// these terms can have started it.
func (c *Cell) recoveryReason(now time.Time, t *task) string {
	switch {
	case !t.job().fromEarlierTerm:
		return ""
	case len(c.recovering) == 0:
		return "all workers reported"
	case c.recoveryDone(now):
		return "silent workers waited out"
	case t.confinedEarlier != nil:
		return "its worker waited out"
	}
	return "no run elsewhere"
}

// recordSighting notes that a worker has listed a run after the time at which an earlier
// leader could have started another. Since a task has one run at a time, no other worker
// has one then. Neither holds for speculative tasks. A first run that is still running
// also shows that the task was never done: a later one may have been started while the
// successful end of the first was not known.
func (c *Cell) recordSighting(r *run) {
	t := r.task
	if t.spec().Speculative || t.done || r.worker.lastReportSent.Before(c.authorityEnd) {
		return
	}
	t.located = true
	t.notDoneEarlier = t.notDoneEarlier || r.number == 1
}

// unopenedEarlier reports whether no earlier leader has started a task of the step,
// because one of the tasks that it depends on was not done.
func (s *step) unopenedEarlier() bool {
	return slices.ContainsFunc(s.spec.DependsOn, func(earlier int) bool {
		return slices.ContainsFunc(s.occurrence.steps[earlier].tasks, func(t *task) bool { return t.notDoneEarlier })
	})
}

// mayStart reports whether tasks may be started.
func (c *Cell) mayStart() bool {
	return !c.startsPaused && !c.HandingOver() && !c.awaitsEvacuations()
}

// startReadyTasks starts the ready tasks that can be placed.
func (c *Cell) startReadyTasks(now time.Time) {
	defer func() { c.freedWorkers, c.near.pass = nil, nil }()
	if len(c.readyTasks) == 0 || !c.mayStart() {
		return
	}
	if c.rankingDue(now) {
		c.rankReady(now)
	}
	c.measureCapacity(now)
	c.held = heldRoom{}
	c.beginPlacing(now)
	stillWaiting := c.readyTasks[:0]
	for i, t := range c.readyTasks {
		if !c.hasRunRoom() {
			stillWaiting = append(stillWaiting, c.readyTasks[i:]...)
			break
		}
		if t.done || len(t.runs) > 0 || t.job().state.IsFinal() {
			t.queued = false // It is done or has a run by now, or its job ended.
			continue
		}
		if c.mayRunElsewhere(now, t) {
			c.held.add(t, c.totals)
		} else if !c.waitsNear(t) && now.Before(t.step.retryAt) {
			if c.startOnFreedWorker(now, t) {
				continue
			}
		} else if c.defersPlacing(i, t) {
			stillWaiting = append(stillWaiting, t)
			continue
		} else if !c.pausesNear(now, t) && c.startTask(now, t) {
			continue
		} else {
			c.placing.failed(i)
		}
		if !c.waitsNear(t) {
			t.step.postpone(now)
		}
		stillWaiting = append(stillWaiting, t)
	}
	clear(c.readyTasks[len(stillWaiting):])
	c.readyTasks = stillWaiting
	c.startHeldOffTasks(now)
}

// startOnFreedWorker starts an overdue task during the pause of its step if a place has
// been freed since the last pass. Otherwise tasks ranked behind it, whose steps don't
// pause, would take each such place.
func (c *Cell) startOnFreedWorker(now time.Time, t *task) bool {
	if len(c.freedWorkers) == 0 || t.spec().Gang || !t.overdue(now) || c.blockedByReserve(now, t) {
		return false
	}
	w := c.bestWorker(now, t, c.freedWorkers, anyWorker)
	if w == nil {
		return false
	}
	c.orderStart(now, t, w, c.nextRunNumber(t))
	return true
}

// retryPause is how long the tasks of a step wait after one of them could not
// be placed. Reports arrive every few milliseconds, and without the pause each
// would cause an attempt to place all waiting tasks.
const retryPause = 30 * time.Millisecond

func (s *step) postpone(now time.Time) {
	if !now.Before(s.retryAt) {
		s.retryAt = now.Add(retryPause)
	}
}

// rankReady sorts the ready tasks: first by priority, then overdue long-running
// tasks, then by the urgency of the job.
func (c *Cell) rankReady(now time.Time) {
	c.needsRanking = false
	c.rankedAt = now
	for _, t := range c.readyTasks {
		if j := t.job(); !j.urgencyAt.Equal(now) {
			j.urgency, j.urgencyAt = c.urgencyOf(now, j), now
			c.noteUrgency(j)
		}
	}
	slices.SortStableFunc(c.readyTasks, func(a, b *task) int {
		if order := cmp.Compare(a.job().terms.Priority, b.job().terms.Priority); order != 0 {
			return order
		}
		if overdue := a.overdue(now); overdue != b.overdue(now) {
			return map[bool]int{true: -1, false: 1}[overdue]
		}
		return a.job().urgency.compare(b.job().urgency)
	})
}

// rankPeriod is how often waiting tasks are ranked again, since jobs become
// late in the meantime.
const rankPeriod = 250 * time.Millisecond

// urgencyClass orders jobs by whether they can still be completed in time.
type urgencyClass uint8

const (
	// startedInTime jobs have started and can be completed in time.
	startedInTime urgencyClass = iota
	// unstartedInTime jobs have not started and can be completed in time.
	unstartedInTime
	// late jobs can still earn a part of their value.
	late
	// tooLate jobs earn nothing; they run only in capacity that no other job
	// uses.
	tooLate
)

// urgency determines the position of a job among those of the same priority:
// first by class, then by sortTime. That is the latest time of completion for
// the class, or the time of acceptance for tooLate jobs.
type urgency struct {
	class    urgencyClass
	sortTime time.Time
	// beyondShare is set for a job of a queue that has more work waiting than its share of the
	// capacity can complete in time, if hopeless jobs are refused.
	beyondShare bool
}

func (u urgency) compare(other urgency) int {
	if order := cmp.Compare(u.class, other.class); order != 0 {
		return order
	}
	if u.beyondShare != other.beyondShare {
		return map[bool]int{true: 1, false: -1}[u.beyondShare]
	}
	return u.sortTime.Compare(other.sortTime)
}

// lateFactor is the multiple of its objective within which a job still earns a
// part of its value.
const lateFactor = 3

// urgencyOf classifies a job by the time left and the work left. Under
// overload, this keeps the capacity for jobs that can be completed in time, and
// completes started jobs first.
func (c *Cell) urgencyOf(now time.Time, j *job) urgency {
	objective := c.objective(j)
	end := now.Add(c.remainingByForecast(j))
	switch {
	case !end.After(j.acceptedAt.Add(objective)):
		if j.started {
			return urgency{class: startedInTime, sortTime: j.acceptedAt.Add(objective)}
		}
		return urgency{class: unstartedInTime, sortTime: j.acceptedAt.Add(objective)}
	case !end.After(j.acceptedAt.Add(lateFactor * objective)):
		return urgency{class: late, sortTime: j.acceptedAt.Add(lateFactor * objective)}
	}
	return urgency{class: tooLate, sortTime: j.acceptedAt}
}

// objective returns the time, from its acceptance, within which a job should be
// completed.
func (c *Cell) objective(j *job) time.Duration {
	chain := c.longestChain(j, func(int) bool { return true })
	return time.Duration(j.terms.Stretch*float64(chain)) + time.Duration(j.terms.ObjectiveMillis)*time.Millisecond
}

// remaining returns the shortest time in which the unfinished steps can be
// completed.
func (c *Cell) remaining(j *job) time.Duration {
	o := j.occurrences[j.nextOccurrence]
	return c.longestChain(j, func(step int) bool { return o == nil || o.steps[step].unfinishedTasks > 0 })
}

// longestChain returns the highest sum of estimates along a chain of dependent
// steps, over the steps for which counts returns true. Long-running steps count
// as zero.
func (c *Cell) longestChain(j *job, counts func(step int) bool) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(j.spec.Steps))
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		for _, earlier := range step.DependsOn {
			ends[i] = max(ends[i], ends[earlier])
		}
		if counts(i) && !step.LongRunning {
			ends[i] += time.Duration(step.EstimateMillis) * time.Millisecond
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// startTask places a task, or its whole gang, and orders the start. It returns
// false if that is not possible now; it then asks the advice service if the queue
// needs advice.
func (c *Cell) startTask(now time.Time, t *task) bool {
	if t.spec().Gang {
		return c.startGang(now, t.step)
	}
	w := c.continueNearWait(now, t)
	if w == nil && !c.waitsNear(t) {
		w = c.chooseNear(now, t, c.findFarWorker(now, t))
	}
	if w == nil && c.waitsNear(t) {
		return false
	}
	if w == nil {
		c.requestAdvice(now, t)
		c.markHeldOff(now, t)
		return false
	}
	c.orderStart(now, t, w, c.nextRunNumber(t))
	return true
}

// nextRunNumber returns a number above those of all earlier runs of the task.
func (c *Cell) nextRunNumber(t *task) int64 {
	floor := int64(0)
	if t.job().fromEarlierTerm {
		floor = c.config.Epoch * runsPerTerm
	}
	return max(t.lastRun, floor) + 1
}

// runsPerTerm is the number of run numbers that a term has for each task. It
// ensures that the run numbers of a later term are higher, without a stored
// record of each start.
const runsPerTerm = 1000

// orderStart reserves a run on the worker and orders its start. The start of a task that
// may crash its workers is ordered once the run is stored, so that the next leader counts
// a crash under it.
func (c *Cell) orderStart(now time.Time, t *task, w *worker, number int64) {
	knownRun := t.lastRun
	c.issueStart(now, c.addRun(now, t, w, number), knownRun)
}

// addRun reserves a run of a task on the worker.
func (c *Cell) addRun(now time.Time, t *task, w *worker, number int64) *run {
	r := &run{task: t, number: number, phase: starting, size: t.size(), orderedAt: now, throttle: 100, implicated: t.implicated()}
	if len(t.runs) == 0 {
		r.readySince = t.readySince
	}
	c.recordTrial(now, t, w)
	c.endNearWaitAt(now, t, w)
	t.queued = false
	t.lastRun = number
	t.runs = append(t.runs, r)
	t.step.occurrence.runs++
	w.addRun(r)
	c.totals.runs++
	c.totals.starting++
	t.countWork()
	if t.spec().LongRunning {
		c.totals.free -= r.size.CPU
		c.totals.freeMemoryMB -= r.size.MemoryMB
	}
	return r
}

// issueStart orders the start of a run that is reserved on its worker. knownRun is the highest
// earlier run of the task.
func (c *Cell) issueStart(now time.Time, r *run, knownRun int64) {
	t, w := r.task, r.worker
	r.orderedAt = now
	w.lastStartAt = now
	ticket, _ := t.step.ticketFor(now, w) // Empty if the queue needs no ticket.
	order := StartOrder{
		Worker:     w.info.ID,
		Task:       t.id(),
		Run:        r.number,
		Spec:       t.job().spec.Spec,
		Checkpoint: t.checkpoint,
		Ticket:     ticket,
		KnownRun:   knownRun,
		Recovery:   c.recoveryReason(now, t),
	}
	if t.confined != nil {
		r.releasedFrom = t.confined
		c.release(t)
	} else if !t.runsOnProbation() {
		c.effects.Starts = append(c.effects.Starts, order)
		return
	}
	r.phase = planned
	if t.mayCrashWorkers() {
		c.addSuspect(r)
	}
	c.afterWrite(func(now time.Time) { c.sendPlanned(now, r, order) }, RecordOwner{Job: t.job().id}, RecordOwner{LeaseBounds: true})
}

// runsOnProbation reports whether the start of a task waits until it is stored. The
// members of a gang start together.
func (t *task) runsOnProbation() bool {
	if !t.spec().Gang {
		return t.mayCrashWorkers()
	}
	return slices.ContainsFunc(t.step.tasks, (*task).mayCrashWorkers)
}

// sendPlanned orders the start of a planned run. It gives up the run if its task needs
// none any more, or if the worker can't take it any more.
func (c *Cell) sendPlanned(now time.Time, r *run, order StartOrder) {
	if r.phase != planned || !slices.Contains(r.worker.runs, r) {
		return
	}
	t, w := r.task, r.worker
	if t.done || t.job().state.IsFinal() || !w.usable(now) || !w.info.Capacity.canHold(w.reserved) || c.HandingOver() || c.awaitsEvacuations() {
		c.withdrawPlanned(now, r)
		return
	}
	r.phase = starting
	c.effects.Starts = append(c.effects.Starts, order)
}

// withdrawPlanned gives up a planned run. Its start was not ordered.
func (c *Cell) withdrawPlanned(now time.Time, r *run) {
	c.removeRun(r)
	c.requeueUnstarted(now, r)
	if r.releasedFrom != nil {
		c.confineAgain(r.task, r.releasedFrom)
	}
}

// speculativeFactor is the multiple of its expected duration that a run may
// take before a speculative run is started.
const speculativeFactor = 1.6

// handleSlowRuns starts a second run for slow runs of speculative steps, stops
// stalled runs so that their tasks start elsewhere, and relocates throttled
// best-effort runs.
func (c *Cell) handleSlowRuns(now time.Time) {
	for _, w := range c.sortedWorkers() {
		for _, r := range w.runs {
			if r.phase == running && c.isSlow(now, r) {
				c.startSpeculativeOrStop(now, r)
			}
			c.relocate(now, r)
		}
	}
}

// isSlow reports whether a run takes much longer than earlier runs of its image
// suggest.
func (c *Cell) isSlow(now time.Time, r *run) bool {
	t := r.task
	if t.spec().LongRunning || t.done || len(t.runs) > 1 || t.job().state.IsFinal() {
		return false
	}
	expected := c.expectedRunTime(r)
	return now.Sub(r.runningSince) > time.Duration(speculativeFactor*float64(expected))+endReportMargin
}

// endReportMargin covers the time until an end is reported.
const endReportMargin = 250 * time.Millisecond

// stallLimit is how long the progress of a slow run may stand still before the
// run is stopped. Progress is reported in whole percents, so the limit must be
// longer than the time in which a run advances by one percent.
const stallLimit = 1500 * time.Millisecond

func (c *Cell) startSpeculativeOrStop(now time.Time, r *run) {
	t := r.task
	if t.spec().Speculative {
		if t.implicated() || t.lostWithRack || r.unproven() || c.HandingOver() {
			return // A second run could crash another worker.
		}
		w := c.findWorkerExcept(now, t, r.worker)
		if w == nil {
			return
		}
		c.addEvent(DecisionEvent{Event: "copy started", Task: t.id(), Run: r.number, Worker: r.worker.info.ID, Age: now.Sub(r.runningSince)})
		c.orderStart(now, t, w, c.nextRunNumber(t))
		return
	}
	if now.Sub(r.progressAt) < stallLimit || r.worker.unresponsive || r.throttle < 100 || t.spec().Gang {
		return
	}
	c.addEvent(DecisionEvent{Event: "run stalled", Task: t.id(), Run: r.number, Worker: r.worker.info.ID, Age: now.Sub(r.progressAt)})
	r.worker.health.recordFault(now)
	t.recordFailedWorker(r.worker)
	c.stopRun(now, r)
}
