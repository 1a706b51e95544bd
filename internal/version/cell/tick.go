package cell

import "time"

// Tick does the work that depends on time alone: it opens due occurrences, expires and
// bounds leases, repeats stop orders that had no effect, relieves service tasks over their target,
// moves tasks off workers that are going to leave or are slow, forgets lost workers and ended jobs, stores
// the learned estimates and what the log did
// not take, handles slow runs and reports tasks that wait.
func (c *Cell) Tick(now time.Time) {
	c.openDueJobs(now)
	c.saveLearned(now)
	c.reportRecoveryEnd(now)
	c.waitOutBounded(now)
	c.retryKeptBack(now)
	for _, w := range c.sortedWorkers() {
		c.expireLeases(now, w)
	}
	c.updateLeaseBounds(now)
	c.dropEndedConfinements()
	c.repeatStops(now)
	c.relieveServices(now)
	c.planMoves(now)
	c.followSpeeds(now)
	c.forgetLosses(now)
	c.forgetEndedJobs(now)
	c.handleSlowRuns(now)
	c.reportWaiting(now)
	c.reportUnopened(now)
}

// expireLeases gives up the runs on an unresponsive worker once their leases
// have expired. It then marks the worker as idle, or removes it if it is no longer
// registered. A start order whose outcome is not known yet may have granted a later
// lease, so it waits for that outcome. If the worker has restarted, a start in doubt may
// still be carried out.
func (c *Cell) expireLeases(now time.Time, w *worker) {
	if !w.unresponsive || w.hasStartInFlight() || !c.isOver(now, c.leaseEnd(w)) {
		return
	}
	if len(w.runs) > 0 {
		w.recordSuspects()
	}
	for _, r := range w.runs {
		if r.phase != inDoubt || !w.restartListed || c.isOver(now, c.strayStartEnd(w)) {
			c.recordLostRun(now, r, "lease over")
		}
	}
	if len(w.runs) > 0 {
		return
	}
	c.endRecovery(w)
	if w.registered {
		c.markIdle(w)
	} else if c.registryRead {
		c.bounds.changed = c.bounds.changed || w.binding == bound
		delete(c.workers, w.info.ID)
		c.workersByID = nil
		c.workersChanged = true
		c.write.RemovedWorkers = append(c.write.RemovedWorkers, w.info.ID)
		c.addEvent(DecisionEvent{Event: "worker gone", Worker: w.info.ID})
	}
}

// reportRecoveryEnd logs the workers that the cell stops waiting for: their leases of
// earlier terms are over.
func (c *Cell) reportRecoveryEnd(now time.Time) {
	if c.recoveryEndReported || !c.isOver(now, c.recoveryDeadline) {
		return
	}
	c.recoveryEndReported = true
	for _, w := range c.sortedWorkers() {
		if c.awaitsFirstAnswer(w) {
			c.addEvent(DecisionEvent{Event: "worker waited out", Worker: w.info.ID})
		}
	}
}

// stopRepeatPause is the pause before a stop order is repeated.
const stopRepeatPause = time.Second

func (c *Cell) repeatStops(now time.Time) {
	for _, w := range c.sortedWorkers() {
		if w.unresponsive {
			continue
		}
		for _, r := range w.runs {
			if r.phase == stopping && now.Sub(r.stopOrderedAt) > stopRepeatPause {
				c.stopRun(now, r)
			}
		}
	}
}

// forgetEndedJobs removes the jobs whose retention is over, and records when the next one is
// removed.
func (c *Cell) forgetEndedJobs(now time.Time) {
	var next time.Time
	for id, j := range c.jobs {
		if !j.state.IsFinal() {
			continue
		}
		if end := j.endedAt.Add(c.config.EndedJobRetention); now.Before(end) || c.hasRuns(j) {
			if next.IsZero() || end.Before(next) {
				next = end
			}
			continue
		}
		delete(c.jobs, id)
		c.config.Budget.Refund(j.source, j.cost)
		c.write.RemovedJobs = append(c.write.RemovedJobs, id)
		tree, _, _ := c.storedJobs.Load().Delete([]byte(id))
		c.storedJobs.Store(tree)
	}
	c.config.Budget.SetRoomAt(next)
}

func (c *Cell) hasRuns(j *job) bool {
	for _, o := range j.occurrences {
		if o.runs > 0 {
			return true
		}
	}
	return false
}
