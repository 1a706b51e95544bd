package cell

import (
	"fmt"
	"slices"
	"time"
)

// A task may crash each worker that starts it. The cell counts the workers that
// crashed under a task. A task with such a crash is implicated until one of its runs
// outlasts the probation period. Implicated tasks run apart from each other, so that
// the next crash shows which of them is the cause, and a task that is the cause is
// given up together with its job.
//
// A worker counts as crashed only if a later incarnation has answered in its place. A
// worker that is merely cut off, that drains, or that is lost together with its rack
// implicates no task, unless that task was lost with a rack just before.

const (
	// probationPeriod is how long a run must last to clear its task.
	probationPeriod = 2 * time.Second
	// isolationWait is how long an implicated task waits for a worker without another
	// implicated run.
	isolationWait = time.Second
	// crashLimit is the number of crashes after which a task is given up.
	// isolatedCrashLimit applies if no other task explains the last crash.
	crashLimit         = 3
	isolatedCrashLimit = 2
	// confirmedCrashMinimum is the number of crashes, of those counted, for which the
	// task must certainly have started. maxCrashes applies whether or not it had.
	confirmedCrashMinimum = 2
	maxCrashes            = 5
	// rackLossWindow is the time within which the workers of a rack fall silent if the
	// rack itself is lost. rackLossMinimum is the smallest number of them.
	rackLossWindow  = time.Second
	rackLossMinimum = 3
	// lostWorkerRetention is how long a lost worker is remembered, since its machine
	// may be back only after its leases have expired.
	lostWorkerRetention = time.Minute
)

// lostWorker is a worker that became unresponsive.
type lostWorker struct {
	worker      *worker
	silentSince time.Time
	// answered is set if the worker had answered in this term before. Otherwise it may
	// have been lost at any time.
	answered bool
	// judged is set once it is known whether the worker crashed.
	judged bool
}

// implicated reports whether workers have crashed under the task and no later run has
// cleared it.
func (t *task) implicated() bool { return t.crashes > 0 }

// mayCrashWorkers reports whether a worker has crashed under the task, or may have done
// so without the cell's knowledge.
func (t *task) mayCrashWorkers() bool {
	return t.implicated() || t.mayHaveStarted || len(t.suspects) > 0
}

// recordLoss remembers a worker that became unresponsive.
func (c *Cell) recordLoss(now time.Time, w *worker) {
	c.lostWorkers = slices.DeleteFunc(c.lostWorkers, func(lost *lostWorker) bool { return lost.worker == w })
	c.lostWorkers = append(c.lostWorkers, &lostWorker{worker: w, silentSince: now, answered: w.renewed})
}

// findLoss returns the loss of a worker, or nil.
func (c *Cell) findLoss(w *worker) *lostWorker {
	for _, lost := range c.lostWorkers {
		if lost.worker == w {
			return lost
		}
	}
	return nil
}

// forgetLosses drops the lost workers that were retained long enough. A worker that the
// cell still knows keeps its suspects: its next answer shows what became of them.
func (c *Cell) forgetLosses(now time.Time) {
	c.lostWorkers = slices.DeleteFunc(c.lostWorkers, func(lost *lostWorker) bool {
		if now.Sub(lost.silentSince) <= lostWorkerRetention {
			return false
		}
		if w := lost.worker; c.workers[w.info.ID] != w {
			c.dropEarlierSuspects(w)
		}
		return true
	})
}

// addSuspect stores a run with its job, so that a crash under it counts at the next
// leader as well.
func (c *Cell) addSuspect(r *run) {
	t := r.task
	if t.done || t.job().state.IsFinal() || slices.Contains(t.suspects, r) {
		return
	}
	t.suspects = append(t.suspects, r)
	c.markTaskChanged(t)
}

// dropSuspect removes a run that can't crash its worker any more, or whose crash was
// judged, from those that are stored.
func (c *Cell) dropSuspect(r *run) {
	t := r.task
	index := slices.Index(t.suspects, r)
	if index < 0 {
		return
	}
	t.suspects = slices.Concat(t.suspects[:index], t.suspects[index+1:])
	if !t.job().state.IsFinal() {
		c.markTaskChanged(t)
	}
}

// storeStarted stores that a suspect run has certainly started. If the worker is silent
// by now, the run becomes one.
func (c *Cell) storeStarted(r *run) {
	switch {
	case slices.Contains(r.task.suspects, r):
		c.markTaskChanged(r.task)
	case r.worker.unresponsive:
		c.addSuspect(r)
	}
}

func (c *Cell) dropEarlierSuspects(w *worker) {
	for _, r := range w.earlierSuspects {
		c.dropSuspect(r)
	}
	w.earlierSuspects = nil
}

// recordSuspects keeps the runs that may have crashed a worker, before they are given
// up because their leases have expired. The worker's next answer, or that of its
// successor, shows whether it did.
func (w *worker) recordSuspects() { w.earlierSuspects = w.crashSuspects() }

// handleSuccessor handles the first answer of a worker. If other workers at its address
// were lost, they have ended, and so has all that ran on them. If the worker itself was lost and
// forgotten, it has not crashed.
func (c *Cell) handleSuccessor(now time.Time, successor *worker) {
	for _, lost := range c.lostWorkers {
		w := lost.worker
		if w != successor && w.isSameIncarnation(successor) {
			c.dropEarlierSuspects(w)
			lost.judged = true
		}
		if w.info.Address == successor.info.Address && !w.moved && !lost.judged && !w.isSameIncarnation(successor) {
			c.handleReplacement(now, w)
		}
	}
}

// handleReplacement handles the end of a worker that another one has replaced at its
// address.
func (c *Cell) handleReplacement(now time.Time, w *worker) {
	w.replacedAt = now
	w.unresponsive = true
	c.endRecovery(w)
	c.judgeCrash(now, w, w.crashSuspects())
	c.dropEarlierSuspects(w)
	for _, r := range w.runs {
		// The outcome of an order in flight is still to come.
		if r.phase != starting {
			c.recordLostRun(now, r, "worker replaced")
		}
	}
}

// isSameIncarnation reports whether both are the same incarnation of a worker. The cell
// forgets a worker that is cut off for long, and may learn of it again.
func (w *worker) isSameIncarnation(other *worker) bool {
	return w.info.ID == other.info.ID && w.info.Incarnation == other.info.Incarnation
}

// judgeCrash implicates the tasks that may have crashed a worker.
func (c *Cell) judgeCrash(now time.Time, w *worker, suspects []*run) {
	var lost *lostWorker
	if w.unresponsive {
		lost = c.findLoss(w)
	}
	if lost != nil {
		lost.judged = true
	}
	switch {
	case len(suspects) == 0 && !w.renewed:
		return // It may never have been a worker.
	case w.departure.expected:
		c.addEvent(DecisionEvent{Event: "worker crashed", Worker: w.info.ID, Outcome: "while draining"})
		return
	}
	withRack := lost != nil && lost.answered && c.lostWithRack(lost)
	if withRack {
		suspects = excuseRackLoss(suspects)
		if len(suspects) == 0 {
			c.addEvent(DecisionEvent{Event: "worker crashed", Worker: w.info.ID, Outcome: "with its rack"})
			return
		}
	}
	c.effects.CrashedWorkers++
	blamed, limit := blame(suspects)
	if withRack || lost != nil && !lost.answered {
		limit = crashLimit // The rack may have been lost.
	}
	c.addEvent(DecisionEvent{Event: "worker crashed", Worker: w.info.ID, Outcome: fmt.Sprintf("%d tasks implicated", len(blamed))})
	for _, r := range blamed {
		c.implicate(now, r, limit)
	}
}

// excuseRackLoss leaves out the runs whose tasks are lost with a rack for the first time
// since a run of theirs outlasted the probation period, and are not implicated. Tasks that
// crash many workers of a rack together look like the loss of the rack, but do so again
// when they are restarted.
func excuseRackLoss(suspects []*run) (counted []*run) {
	for _, r := range suspects {
		if r.task.lostWithRack || r.task.implicated() {
			counted = append(counted, r)
		}
		r.task.lostWithRack = true
	}
	return counted
}

// implicate counts a crash under a task, and gives the task up at the limit.
func (c *Cell) implicate(now time.Time, r *run, limit int) {
	t := r.task
	if t.done || t.job().state.IsFinal() {
		return
	}
	t.crashes++
	for _, later := range t.runs {
		if later != r && later.phase != over && !later.outlastedProbation() {
			later.startProbation()
			c.addSuspect(later)
		}
	}
	if r.hasStarted() {
		t.confirmedCrashes++
	}
	c.markTaskChanged(t)
	outcome := fmt.Sprintf("%d workers crashed", t.crashes)
	if t.crashes < t.uncertainCrashLimit() && (t.crashes < limit || t.confirmedCrashes < confirmedCrashMinimum) {
		c.addEvent(DecisionEvent{Event: "task implicated", Task: t.id(), Run: r.number, Worker: r.worker.info.ID, Outcome: outcome})
		return
	}
	c.effects.JobsGivenUp++
	c.addEvent(DecisionEvent{Event: "job failed", Task: t.id(), Run: r.number, Worker: r.worker.info.ID, Outcome: outcome})
	c.endJob(now, t.job(), Failed)
}

// uncertainCrashLimit returns the number of crashes after which the task is given up even
// if it has certainly started for none. A leader that has ended may have known of one more.
func (t *task) uncertainCrashLimit() int {
	if t.job().fromEarlierTerm {
		return maxCrashes - 1
	}
	return maxCrashes
}

// hasStarted reports whether the worker has accepted or listed the run.
func (r *run) hasStarted() bool { return r.phase == running || r.phase == stopping }

// earlyCloseLimit is the time after a start order within which the worker may have
// crashed by the task before its answer arrived. It is above the round-trip time between
// regions; a worker that closes the connection later has not received the order or has
// not carried it out.
const earlyCloseLimit = 200 * time.Millisecond

// crashSuspects returns the runs on the worker that had not outlasted the probation
// period when it last answered, including those that may have started.
func (w *worker) crashSuspects() []*run {
	suspects := slices.Clone(w.earlierSuspects)
	for _, r := range w.runs {
		if (r.hasStarted() || r.closedEarly) && !r.outlastedProbation() && !slices.Contains(w.earlierSuspects, r) {
			suspects = append(suspects, r)
		}
	}
	return suspects
}

// restoreSuspects restores the suspect runs that an earlier leader stored, so that a
// crash which only this leader notices counts.
func (c *Cell) restoreSuspects(now time.Time, record ProgressRecord) {
	j := c.jobs[record.ID]
	if j == nil || j.state.IsFinal() {
		return
	}
	for _, stored := range record.Crashes {
		if stored.Worker != "" {
			record.Suspects = append(record.Suspects, SuspectRecord{Occurrence: stored.Occurrence, Step: stored.Step, Index: stored.Index, Run: stored.Run, Worker: stored.Worker})
		}
	}
	for _, stored := range record.Suspects {
		t := j.findTask(TaskID{j.id, stored.Occurrence, stored.Step, stored.Index})
		if t == nil || t.done || slices.ContainsFunc(t.suspects, func(r *run) bool { return r.number == stored.Run }) {
			continue
		}
		w := c.suspectWorker(now, stored)
		r := &run{task: t, worker: w, number: stored.Run, phase: inDoubt}
		if stored.Started {
			r.phase = running
		}
		w.earlierSuspects = append(w.earlierSuspects, r)
		t.suspects = append(t.suspects, r)
		c.addEvent(DecisionEvent{Event: "run suspect", Task: t.id(), Run: r.number, Worker: w.info.ID, Outcome: "stored by an earlier leader"})
	}
}

// suspectWorker returns the worker of a stored suspect run. If the earlier leader has
// removed the worker, it is one of the lost workers.
func (c *Cell) suspectWorker(now time.Time, stored SuspectRecord) *worker {
	if w := c.workers[stored.Worker]; w != nil {
		return w
	}
	for _, lost := range c.lostWorkers {
		if lost.worker.info.ID == stored.Worker && lost.worker.info.Incarnation == stored.Incarnation {
			return lost.worker
		}
	}
	w := newWorker(WorkerInfo{ID: stored.Worker, Address: stored.Address, Incarnation: stored.Incarnation})
	w.unresponsive = true
	c.recordLoss(now, w)
	return w
}

// outlastedProbation reports whether the worker has answered a renewal that was sent
// after the run had lasted for the probation period.
func (r *run) outlastedProbation() bool {
	return r.hasStarted() && r.worker.lastReportSent.Sub(r.runningSince) >= probationPeriod
}

// blame returns the runs that may explain a crash, and the number of crashes from which
// their tasks are given up. If tasks were implicated before, it leaves out those with
// fewer crashes, except for runs that are unproven: the worker has not answered a renewal
// that was sent after their start.
func blame(suspects []*run) (blamed []*run, limit int) {
	most := 0
	for _, r := range suspects {
		most = max(most, r.task.crashes)
	}
	for _, r := range suspects {
		if r.task.crashes == most || r.unproven() {
			blamed = append(blamed, r)
		}
	}
	if len(blamed) > 1 {
		return blamed, crashLimit
	}
	return blamed, isolatedCrashLimit
}

func (r *run) unproven() bool {
	return !r.hasStarted() || !r.runningSince.Before(r.worker.lastReportSent)
}

// lostWithRack reports whether at least half of the workers in a lost worker's rack
// became unresponsive at the same time as it.
func (c *Cell) lostWithRack(reference *lostWorker) bool {
	rack := reference.worker.info.Rack
	lostAddresses := map[string]bool{}
	for _, lost := range c.lostWorkers {
		if lost.answered && lost.worker.info.Rack == rack && lost.silentSince.Sub(reference.silentSince).Abs() <= rackLossWindow {
			lostAddresses[lost.worker.info.Address] = true
		}
	}
	others := 0
	for _, w := range c.workers {
		if w.info.Rack == rack && w.registered && !lostAddresses[w.info.Address] {
			others++
		}
	}
	return len(lostAddresses) >= rackLossMinimum && len(lostAddresses) >= others
}

// startProbation marks a run that was started before its task was implicated, so that it
// runs apart from other implicated tasks and is stored with the crashes.
func (r *run) startProbation() {
	if !r.implicated && !r.outlastedProbation() {
		r.implicated = true
		r.worker.implicatedRuns++
	}
}

// endProbation clears a task if the run has outlasted the probation period.
func (c *Cell) endProbation(r *run) {
	if !r.outlastedProbation() {
		return
	}
	r.task.lostWithRack = false
	r.task.mayHaveStarted = false
	c.dropSuspect(r)
	if r.implicated {
		r.implicated = false
		r.worker.implicatedRuns--
	}
	if !r.task.implicated() {
		return
	}
	r.task.crashes, r.task.confirmedCrashes = 0, 0
	c.markTaskChanged(r.task)
	c.addEvent(DecisionEvent{Event: "task cleared", Task: r.task.id(), Run: r.number, Worker: r.worker.info.ID})
}

// Scores that keep implicated tasks apart, expressed in spare cores.
const (
	// besideImplicatedPenalty keeps tasks off a worker with an implicated run.
	besideImplicatedPenalty = 300
	// recentStartPenalty keeps an implicated task off a worker that has not answered
	// since its last start. companionPenalty is multiplied by the number of the runs that
	// another crash would end.
	recentStartPenalty = 200
	companionPenalty   = 5
)

// isolationScore rates a worker for a task by what a crash would end there and whether
// it would show the cause. It returns a reason if the task must not be started there.
func (w *worker) isolationScore(now time.Time, t *task) (score float64, reason unsuitability) {
	if w.implicatedRuns > 0 {
		if t.implicated() && now.Sub(t.readySince) < isolationWait {
			return 0, besideImplicated
		}
		score -= besideImplicatedPenalty
	}
	if !t.implicated() {
		return score, suitable
	}
	if !w.lastStartAt.Before(w.lastReportSent) {
		score -= recentStartPenalty
	}
	return score - companionPenalty*float64(len(w.runs)), suitable
}
