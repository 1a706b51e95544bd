package cell

import (
	"slices"
	"time"
)

// findWorker returns the best worker for a task, or nil if none is suitable.
func (c *Cell) findWorker(now time.Time, t *task) *worker {
	return c.findWorkerExcept(now, t, nil)
}

// findWorkerExcept is like findWorker but never returns the worker avoid.
func (c *Cell) findWorkerExcept(now time.Time, t *task, avoid *worker) *worker {
	if c.blockedByReserve(now, t) {
		return nil
	}
	return c.bestWorker(now, t, c.sortedWorkers(), func(w *worker) bool { return w != avoid })
}

// blockedByReserve reports whether a long-running task would use the capacity
// reserved for short tasks, or the room held for tasks of earlier terms, although there
// are not enoughPlaces beside the held ones.
func (c *Cell) blockedByReserve(now time.Time, t *task) bool {
	return t.spec().LongRunning && !c.mayUseReserve(now, t) && !c.leavesReserve(now, t)
}

// leavesReserve reports whether a start of a long-running task leaves the reserve for short
// tasks and the held room, or there are enoughPlaces.
func (c *Cell) leavesReserve(now time.Time, t *task) bool {
	if c.leavesHeldRoom(t.size()) {
		return true
	}
	enough := enoughPlaces + c.held.places
	return c.countPlaces(now, t, enough) >= enough
}

// mayUseReserve reports whether an overdue long-running task may use all room. While room
// is held, a task that has never run may do so only if its job has no run.
func (c *Cell) mayUseReserve(now time.Time, t *task) bool {
	return t.overdue(now) && (c.held.places == 0 || t.lastRun > 0 || !c.hasRuns(t.job()))
}

// longRunningMaxWait is how long a ready long-running task waits behind short
// tasks. After that it is overdue if it may have run before or if its job has not
// started any task. If there is capacity for such a task, it must run again
// within 9 s.
const longRunningMaxWait = 4 * time.Second

// overdue reports whether a long-running task comes before short tasks. The
// capacity reserved for short tasks is then no longer kept from it.
func (t *task) overdue(now time.Time) bool {
	if !t.spec().LongRunning {
		return false
	}
	if t.displaced {
		return true
	}
	if now.Sub(t.awaySince()) < longRunningMaxWait {
		return false
	}
	// The starts of earlier terms are not stored.
	return t.lastRun > 0 || t.job().fromEarlierTerm || !t.job().started
}

// awaySince returns since when a task waits for a run, in this term or before, or since when the
// worker was silent that it was lost with.
func (t *task) awaySince() time.Time {
	since := t.readySince
	if t.confined != nil && t.confined.since.Before(since) {
		since = t.confined.since
	}
	if !t.waitsSince.IsZero() && t.waitsSince.Before(since) {
		since = t.waitsSince
	}
	return since
}

func anyWorker(*worker) bool { return true }

// bestWorker returns the worker with the highest score among those of the given ones that
// are considered, suitable and have enough free capacity, or nil.
func (c *Cell) bestWorker(now time.Time, t *task, workers []*worker, considered func(*worker) bool) *worker {
	var best *worker
	var bestScore float64
	for _, w := range workers {
		if !considered(w) || !w.canRun(now, t) || !t.adviceAllows(now, w) {
			continue
		}
		score, reason := c.score(now, t, w)
		if reason == suitable && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}

// enoughPlaces is the number of places from which a long-running task is
// started even if that leaves less than the reserve for short tasks.
const enoughPlaces = 2

// countPlaces returns how many tasks of the size of t would fit on the usable
// workers. It stops counting at enough.
func (c *Cell) countPlaces(now time.Time, t *task, enough int) int {
	size := t.size()
	count := 0
	for _, w := range c.sortedWorkers() {
		if !w.usable(now) || !w.policyAllows(t) {
			continue
		}
		free := w.free()
		for free.canHold(size) && count < enough {
			count++
			free = free.minus(size)
		}
	}
	return count
}

// Weights in a score, expressed as the number of spare cores that they
// outweigh.
const (
	// failedWorkerPenalty keeps a task off a worker on which it failed or
	// stalled.
	failedWorkerPenalty = 1000
	// suspectPenalty keeps tasks off a worker on which other tasks failed or
	// stalled.
	suspectPenalty = 300
	// offDataRackPenalty is multiplied by the relative increase in the duration
	// of a task that runs outside its data rack.
	offDataRackPenalty = 20
)

// otherWorkerWait is how long a task that failed on a worker waits for another
// one. Without the wait it would often return to the same worker, because a
// worker on which everything fails soon has the most free capacity.
const otherWorkerWait = 1500 * time.Millisecond

// score rates a worker for a task; a higher score is better. It returns a reason if
// the task must not be started there now.
func (c *Cell) score(now time.Time, t *task, w *worker) (score float64, reason unsuitability) {
	if slices.Contains(t.failedWorkers, w.info.ID) {
		if now.Sub(t.readySince) < otherWorkerWait {
			return 0, failedThere
		}
		score -= failedWorkerPenalty
	}
	switch w.trust(now) {
	case excluded:
		return 0, notTrusted
	case suspect:
		score -= suspectPenalty
	}
	isolation, reason := w.isolationScore(now, t)
	if reason != suitable {
		return 0, reason
	}
	score += isolation + w.departureScore() + c.coldScore(now, w)
	speed, reason := c.speedScore(now, t, w)
	if reason != suitable {
		return 0, reason
	}
	score += speed
	spec := t.spec()
	if spec.DataRack != "" && w.info.Rack != spec.DataRack {
		score -= offDataRackPenalty * (c.config.RemoteFactor - 1)
	}
	if spec.BestEffort {
		bestEffort, reason := c.bestEffortScore(now, t, w)
		return score + bestEffort, reason
	}
	// Prefer the fullest worker that the task fits on, so that places for large
	// tasks remain elsewhere.
	score -= float64(w.free().CPU-spec.CPUMillis) / 1000
	if spec.LongRunning {
		score += w.serviceMixScore(t)
	}
	return score, suitable
}

// Scores for service tasks, expressed in spare cores. If the service tasks of a
// worker all have one image, fewer pairs of images limit the best-effort tasks
// there, so that every best-effort image finds a suitable worker.
const (
	sameImageScore  = 60
	otherImageScore = -60
)

// serviceMixScore rates a worker for a service task by the images of the
// service tasks that it already runs.
func (w *worker) serviceMixScore(t *task) float64 {
	otherImages := map[string]bool{}
	score := 0.0
	for _, r := range w.runs {
		image := r.task.spec().Image
		switch {
		case !r.task.isService():
		case image == t.spec().Image:
			score = sameImageScore
		case !otherImages[image]:
			otherImages[image] = true
		}
	}
	if score == 0 {
		return otherImageScore * float64(len(otherImages))
	}
	return score
}
