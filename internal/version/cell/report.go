package cell

import (
	"fmt"
	"slices"
	"time"

	"poplarvalve/internal/version/workerspeed"
)

// ApplyReport applies a worker's answer to a lease renewal. It ignores an answer to a
// renewal that was sent before the one whose answer was applied last.
func (c *Cell) ApplyReport(now time.Time, report Report) {
	w := c.workers[report.Worker]
	if w == nil || w.replaced() && report.Sent.Before(w.replacedAt) {
		return
	}
	w.replacedAt = time.Time{}
	if w.info.Incarnation != 0 && report.Incarnation != 0 && w.info.Incarnation != report.Incarnation {
		// Numbers don't tell which incarnation is newer, since the time of day may have
		// been stepped. A renewal sent after the known one has answered does.
		if report.Sent.Before(w.lastResponse) {
			return
		}
		c.handleRestart(now, w, report)
	} else if report.Sent.Before(w.lastReportSent) {
		return
	}
	w.lastReportSent = report.Sent
	w.restartListed = w.restartListed && report.Incarnation != w.listedIncarnation
	if report.Incarnation != 0 && w.info.Incarnation == 0 {
		w.info.Incarnation = report.Incarnation
		c.storeWorker(w)
	}
	c.recordResponse(now, w, report.LeaseUntil)
	w.extendLease(report.EarlierClockUntil)
	w.strayUntil = report.StrayUntil
	listed := make(map[*run]bool, len(report.Running))
	w.hasUnknownRuns = false
	for _, end := range report.Ended {
		c.applyEnd(now, w, end)
	}
	for _, reported := range report.Running {
		if r := c.applyRunReport(now, w, reported); r != nil {
			listed[r] = true
			r.listedIn = report.Sent
		}
	}
	complete := report.Complete
	if report.Complete {
		c.handleUnlistedRuns(now, w, listed, report)
		w.partial = nil
	} else {
		c.markOver(now, w, listed, report)
		complete = c.completePartial(now, w, report)
	}
	c.recordRecovery(w, complete)
	if len(report.Ended) > 0 {
		c.acknowledge(now, w, report.Ended)
	}
	c.throttleBestEffort(now, w)
	c.observeSpeed(now, w)
}

// ExtendLease records that the leases on a worker may last until a time, by orders that were
// sent. The cell need not know of their outcome yet.
func (c *Cell) ExtendLease(id WorkerID, until time.Time) {
	w := c.workers[id]
	if w == nil || until.IsZero() {
		return
	}
	w.extendLease(until)
	if c.recovering[id] {
		c.partlyRecovered[id] = true
	}
}

func (c *Cell) recordResponse(now time.Time, w *worker, leaseUntil time.Time) {
	if !w.renewed || w.unresponsive {
		c.addEvent(DecisionEvent{Event: "worker held", Worker: w.info.ID})
	}
	if !w.renewed {
		// An earlier leader, or an order to an earlier incarnation, may have prolonged the
		// lease just before.
		w.leaseUntil = now.Add(c.config.MaxEarlierLease + c.config.LeaseExcess)
		c.handleSuccessor(now, w)
	}
	w.renewed = true
	w.unresponsive = false
	w.moved = false
	w.lastResponse = now
	w.extendLease(leaseUntil)
	c.dropEarlierSuspects(w)
	c.markInUse(w)
	c.liftBound(w)
}

// recordRecovery notes how much of what an earlier term started a report has shown. If
// its list of ends is cut, tasks of that term may have ended beyond it.
func (c *Cell) recordRecovery(w *worker, complete bool) {
	if !c.recovering[w.info.ID] {
		return
	}
	if complete {
		c.endRecovery(w)
	} else {
		c.partlyRecovered[w.info.ID] = true
	}
}

// awaitsFirstAnswer reports whether an earlier leader may still extend the leases of the
// worker.
func (c *Cell) awaitsFirstAnswer(w *worker) bool {
	return c.recovering[w.info.ID] && !c.partlyRecovered[w.info.ID]
}

// Recovering reports whether workers may have runs of earlier terms, or ends of them, that
// the cell does not know of.
func (c *Cell) Recovering() bool { return len(c.recovering) > 0 }

// endRecovery notes that the cell knows all that an earlier term started on a worker, or
// that its leases have expired.
func (c *Cell) endRecovery(w *worker) {
	delete(c.recovering, w.info.ID)
	delete(c.partlyRecovered, w.info.ID)
}

// acknowledge allows the worker to discard its ends once they are stored. The worker
// lists every end that it has not discarded.
func (c *Cell) acknowledge(received time.Time, w *worker, ends []RunEnd) {
	ack := Acknowledgement{w.info.ID, w.info.Incarnation, w.lastEndNumber}
	var owners []RecordOwner
	for _, end := range ends {
		if owner := (RecordOwner{Job: end.Task.Job}); !slices.Contains(owners, owner) {
			owners = append(owners, owner)
		}
	}
	c.afterWrite(func(now time.Time) {
		c.effects.Acknowledgements = append(c.effects.Acknowledgements, ack)
		c.addEvent(DecisionEvent{Event: "ends acknowledged", Worker: ack.Worker, End: ack.Number, Age: now.Sub(received)})
	}, owners...)
}

// MarkUnresponsive records that a worker did not answer a lease renewal. The
// renewal may still have prolonged the worker's leases until leaseUntil.
func (c *Cell) MarkUnresponsive(now time.Time, id WorkerID, leaseUntil time.Time) {
	w := c.workers[id]
	if w == nil {
		return
	}
	w.extendLease(leaseUntil)
	if w.unresponsive {
		return
	}
	w.unresponsive = true
	c.renewBound(w)
	c.recordLoss(now, w)
	for _, r := range w.crashSuspects() {
		c.addEvent(DecisionEvent{Event: "run suspect", Task: r.task.id(), Run: r.number, Worker: id, Outcome: "worker silent", Age: now.Sub(r.orderedAt)})
		c.addSuspect(r)
	}
	c.addEvent(DecisionEvent{Event: "worker silent", Worker: id, Age: now.Sub(w.lastResponse)})
}

// MarkReplaced records that a worker did not answer a lease renewal and that another
// worker answers at its address. If the worker has never answered at that address, its
// runs end with their leases.
func (c *Cell) MarkReplaced(now time.Time, id WorkerID) {
	if w := c.workers[id]; w != nil && w.unresponsive && !w.replaced() && !w.moved {
		c.handleReplacement(now, w)
	}
}

// handleRestart handles the first answer of a new incarnation of the worker.
// Nothing that the earlier incarnation started is running any more. A run that it has not
// listed may have been started by the new one, and its end may be missing in the report.
func (c *Cell) handleRestart(now time.Time, w *worker, report Report) {
	c.addEvent(DecisionEvent{Event: "worker restarted", Worker: w.info.ID})
	c.judgeCrash(now, w, w.crashSuspects())
	for _, r := range w.runs {
		// A start order in flight may still arrive at the new incarnation. A
		// report under a higher token resolves it. One that was accepted since the renewal
		// was sent may have reached the new incarnation after it made the report. The next
		// report shows whether it has.
		if (r.hasStarted() || r.phase == over) && (report.Complete || !r.unproven()) && r.runningSince.Before(report.Sent) {
			c.recordLostRun(now, r, "worker restarted")
		}
	}
	c.effects.Resolve = append(c.effects.Resolve, w.info.ID)
	w.info.Incarnation = report.Incarnation
	c.storeWorker(w)
	w.lastEndNumber, w.partial = 0, nil
	w.renewed = false
	w.health = health{}
	w.speed = workerspeed.Estimate{}
}

// recordLostRun removes a run that is known to have ended without a reported
// end, and makes its task ready again.
func (c *Cell) recordLostRun(now time.Time, r *run, reason string) {
	t := r.task
	c.addEvent(DecisionEvent{Event: "run lost", Task: t.id(), Run: r.number, Worker: r.worker.info.ID, Outcome: reason, Age: now.Sub(r.orderedAt)})
	c.keepCheckpoint(t, r.checkpoint)
	c.removeRun(r)
	t.displaced = t.displaced || r.phase == stopping
	r.recordAwayByLoss()
	c.requeue(now, t)
}

// removeRun removes a run. It remains a suspect only if its worker may have crashed.
func (c *Cell) removeRun(r *run) {
	r.task.percentDone = max(r.task.percentDone, r.percent)
	if r.worker.removeRun(r) {
		r.task.step.occurrence.countRemovedRun()
	}
	r.task.countWork()
	c.freedWorkers = append(c.freedWorkers, r.worker)
	if !slices.Contains(r.worker.earlierSuspects, r) {
		c.dropSuspect(r)
	}
}

func (c *Cell) keepCheckpoint(t *task, checkpoint string) {
	if checkpoint != "" && len(checkpoint) <= MaxCheckpointBytes && t.spec().Checkpointing {
		t.checkpoint = checkpoint
		t.step.markBlock(t.block())
	}
}

// handleUnlistedRuns removes the runs that a complete report does not list, if the report
// proves that they do not exist and have not ended.
func (c *Cell) handleUnlistedRuns(now time.Time, w *worker, listed map[*run]bool, report Report) {
	for _, r := range w.runs {
		if listed[r] {
			continue
		}
		switch r.phase {
		case inDoubt:
			if report.Token > r.startToken {
				c.recordUnarrivedStart(now, r)
			}
		case running, stopping, over:
			if r.runningSince.Before(report.Sent) {
				c.recordLostRun(now, r, "not listed")
			}
		}
	}
}

// markOver notes that the runs which a report does not list as running have ended. The
// report may leave out their ends; they keep their reserved size until these are listed.
func (c *Cell) markOver(now time.Time, w *worker, listed map[*run]bool, report Report) {
	marked := 0
	for _, r := range w.runs {
		if !listed[r] && r.hasStarted() && r.runningSince.Before(report.Sent) {
			r.phase = over
			c.dropSuspect(r)
			marked++
		}
	}
	if marked > 0 {
		c.addEvent(DecisionEvent{Event: "ends not listed", Worker: w.info.ID, Outcome: fmt.Sprintf("%d runs over", marked), Age: now.Sub(report.Sent)})
	}
}

// applyEnd applies one end. It ignores ends that were applied before.
func (c *Cell) applyEnd(now time.Time, w *worker, end RunEnd) {
	if end.Number <= w.lastEndNumber {
		return
	}
	w.lastEndNumber = end.Number
	var t *task
	j := c.jobs[end.Task.Job]
	if j != nil {
		t = j.findTask(end.Task) // The removal of its last run may let the cell forget it.
	}
	duration := time.Duration(0)
	if r := w.findRun(end.Task, end.Run); r != nil {
		if w.partial != nil && w.partial.shows(r) {
			w.partial.completed = true
		}
		duration = now.Sub(r.runningSince)
		r.recordRunEnd(end.Reason, now)
		if r.phase != over { // Otherwise it ended some time ago.
			c.durations.recordEnd(now, r, end.Reason, c.nearDuration(r, c.usualDuration(now, r, end.Reason, duration)))
		}
		c.removeRun(r)
	}
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, end.Run)
	c.markStarted(j)
	c.markTaskChanged(t)
	c.addEvent(DecisionEvent{Event: "run ended", Task: end.Task, Run: end.Run, Worker: w.info.ID, Outcome: string(end.Reason), End: end.Number, Age: duration})
	c.applyEndToTask(now, t, w, end)
}

func (c *Cell) applyEndToTask(now time.Time, t *task, w *worker, end RunEnd) {
	if t.done || t.job().state.IsFinal() {
		return
	}
	switch end.Reason {
	case EndSucceeded:
		c.completeTask(now, t)
		return
	case EndFailed:
		t.countFailure(end.Run)
		t.recordFailedWorker(w)
		if !t.spec().LongRunning && len(t.failedRuns) >= min(max(1, t.job().terms.Attempts), MaxAttempts) {
			c.addEvent(DecisionEvent{Event: "job failed", Task: t.id(), Run: end.Run, Worker: w.info.ID})
			c.endJob(now, t.job(), Failed)
			return
		}
	}
	t.displaced = t.displaced || end.Reason == EndStopped
	t.recordAwayByEnd(now, w, end.Reason)
	c.keepCheckpoint(t, end.Checkpoint)
	c.requeue(now, t)
}

// countFailure counts the failure of a run once, however often its end is
// listed. It keeps only the newest failure of a long-running task, which has no limit of
// them.
func (t *task) countFailure(run int64) {
	if t.spec().LongRunning {
		t.failedRuns = []int64{run}
		return
	}
	if !slices.Contains(t.failedRuns, run) {
		t.failedRuns = append(t.failedRuns, run)
	}
}

func (t *task) recordFailedWorker(w *worker) {
	if !slices.Contains(t.failedWorkers, w.info.ID) {
		t.failedWorkers = append(t.failedWorkers, w.info.ID)
	}
}

func (c *Cell) completeTask(now time.Time, t *task) {
	if t.spec().LongRunning {
		t.recordAway(now, AwayOwnEnd)
		c.requeue(now, t)
		return
	}
	t.markDone()
	for _, other := range t.runs {
		c.stopRun(now, other)
	}
	if t.spec().Gang {
		for _, member := range t.step.tasks {
			if !member.done {
				member.markDone()
			}
		}
	}
	if t.step.unfinishedTasks == 0 {
		c.openOccurrence(now, t.step.occurrence)
		c.advanceOccurrence(now, t.job())
	}
}

// advanceOccurrence moves on to the next occurrence while the current one is
// complete, and ends the job after the last.
func (c *Cell) advanceOccurrence(now time.Time, j *job) {
	for !j.state.IsFinal() {
		o := j.occurrences[j.nextOccurrence]
		if o == nil || o.unfinishedSteps > 0 {
			return
		}
		j.completeCurrent()
		if j.nextOccurrence >= j.spec.OccurrenceCount() {
			c.endJob(now, j, Completed)
		}
	}
}

// applyRunReport applies one run that a worker lists as running. It returns the
// run, or nil if it belongs to no task of a known job.
func (c *Cell) applyRunReport(now time.Time, w *worker, reported RunReport) *run {
	if r := w.findRun(reported.Task, reported.Run); r != nil {
		c.updateRun(now, r, reported)
		return r
	}
	var t *task
	if j := c.jobs[reported.Task.Job]; j != nil {
		t = j.findTask(reported.Task)
		if t == nil {
			t = j.findCompletedTask(reported.Task)
		}
	}
	if t == nil {
		// The unknown run occupies an unknown amount of capacity until it has
		// ended.
		w.hasUnknownRuns = true
		c.effects.Stops = append(c.effects.Stops, StopOrder{w.info.ID, reported.Task, reported.Run})
		return nil
	}
	r := c.adoptRun(now, w, t, reported)
	c.updateRun(now, r, reported)
	return r
}

// unknownThrottle is the throttle of a run that an earlier leader may have
// throttled, or whose last throttle order may have failed.
const unknownThrottle = -1

// adoptRun adds a run that was started in an earlier term or by a start order
// that got no answer. If the run is not needed it is stopped, but its size
// stays reserved until it ends.
func (c *Cell) adoptRun(now time.Time, w *worker, t *task, reported RunReport) *run {
	r := &run{task: t, number: reported.Run, phase: running, size: t.size(), orderedAt: now, runningSince: now, throttle: unknownThrottle, progressAt: now}
	unwanted := t.done || t.job().state.IsFinal() || (len(t.runs) > 0 && !t.spec().Speculative)
	t.runs = append(t.runs, r)
	t.step.occurrence.runs++
	t.lastRun = max(t.lastRun, reported.Run)
	w.addRun(r)
	t.countWork()
	if t.implicated() && !unwanted {
		r.startProbation()
		c.addSuspect(r)
	}
	c.markStarted(t.job())
	if t.absence.cause == AwayLeaderChange {
		t.absence = absence{}
	} else {
		c.endAway(now, t)
	}
	c.addEvent(DecisionEvent{Event: "run adopted", Task: t.id(), Run: reported.Run, Worker: w.info.ID})
	if unwanted {
		c.stopRun(now, r)
	}
	return r
}

func (c *Cell) updateRun(now time.Time, r *run, reported RunReport) {
	r.task.waitsSince = time.Time{}
	if r.phase == starting || r.phase == inDoubt {
		r.phase = running
		r.runningSince = now
		r.task.displaced = false
		c.endAway(now, r.task)
		c.markStarted(r.task.job())
		c.storeStarted(r)
		if r.task.done || r.task.job().state.IsFinal() {
			c.stopRun(now, r) // An earlier stop order may have been lost.
		}
	}
	if reported.Checkpoint != "" {
		r.checkpoint = reported.Checkpoint
	}
	if reported.Percent != r.percent {
		r.progressAt = now
	}
	c.recordSighting(r)
	r.percent = reported.Percent
	r.measurement = reported.Measurement
	c.endProbation(r)
}

func (c *Cell) markStarted(j *job) {
	j.started = true
	j.visibleState.CompareAndSwap(uint32(Queued), uint32(Running))
	if j.state == Queued {
		j.state = Running
	}
}

// ApplyStartResult applies the outcome of a start order.
func (c *Cell) ApplyStartResult(now time.Time, result StartResult) {
	w := c.workers[result.Worker]
	if w == nil {
		return
	}
	// The order prolongs the lease of everything on the worker, whatever became
	// of its own run.
	w.extendLease(result.LeaseUntil)
	if !result.StrayUntil.IsZero() {
		w.strayUntil = result.StrayUntil
	}
	r := w.findRun(result.Task, result.Run)
	if r == nil || r.phase != starting {
		return
	}
	switch result.Outcome {
	case StartAccepted:
		c.handleStartAccepted(now, r)
	case StartRefused:
		c.handleStartRefused(now, r, result.Refusal)
	case StartUnknown:
		r.phase = inDoubt
		r.startToken = result.Token
		r.closedEarly = result.ClosedAfter > 0 && result.ClosedAfter < earlyCloseLimit
		if r.closedEarly {
			c.addSuspect(r)
		}
		c.effects.Resolve = append(c.effects.Resolve, result.Worker)
		c.addEvent(DecisionEvent{Event: "start unanswered", Task: result.Task, Run: result.Run, Worker: result.Worker, Age: now.Sub(r.orderedAt)})
	}
}

func (c *Cell) handleStartAccepted(now time.Time, r *run) {
	r.phase = running
	r.runningSince = now
	r.progressAt = now
	t := r.task
	t.waitsSince = time.Time{}
	t.displaced = false
	c.endAway(now, t)
	c.markStarted(t.job())
	c.storeStarted(r)
	if t.done || t.job().state.IsFinal() {
		c.stopRun(now, r)
		return
	}
	if r.heldOff {
		c.setThrottle(now, r, minThrottlePercent)
	}
}

func (c *Cell) handleStartRefused(now time.Time, r *run, reason Refusal) {
	t := r.task
	w := r.worker
	c.addEvent(DecisionEvent{Event: "start refused", Task: t.id(), Run: r.number, Worker: w.info.ID, Outcome: string(reason), Age: now.Sub(r.orderedAt)})
	c.removeRun(r)
	switch reason {
	case RefusedTicket:
		t.step.forgetAdvice(w.info.ID)
	case RefusedUnhealthy:
		w.health.recordFault(now)
		w.startsBlockedUntil = now.Add(refusalPause)
	default:
		w.startsBlockedUntil = now.Add(refusalPause)
	}
	c.requeueUnstarted(now, r)
}

// refusalPause is how long a worker that refused a start gets no other. The
// next report of the worker, which may correct the cell's view of it, takes
// about as long.
const refusalPause = 300 * time.Millisecond
