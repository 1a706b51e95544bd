package cell

import (
	"fmt"
	"slices"
	"time"
)

// A best-effort task is held off while workers have room for it and interference alone
// keeps it from all of them. Interference orders where such a task goes, and decides for a
// limited time only whether it goes; the limit is lower for a job without a run. The task
// then starts throttled on the worker with the most pressure left, beside no service task
// that is over its target, and gets only the speed that the other runs there leave. The
// measures against tails over their target apply to it as to any other run.
const (
	// heldOffLimit is how long a task of a job without a run is held off before it starts
	// anyway. Each stop or move of the task doubles it, up to maxHeldOffLimit.
	heldOffLimit    = 12 * time.Second
	maxHeldOffLimit = 18 * time.Second
	// quietHeldOffLimit takes the place of heldOffLimit for the tasks of jobs without runs
	// once no job has been accepted for quietAfter: no newer job needs the places then.
	// Each stop or move of the task doubles it, up to maxQuietHeldOffLimit.
	quietHeldOffLimit    = time.Second
	maxQuietHeldOffLimit = 2 * time.Second
	quietAfter           = 5 * time.Second
	// overdueHeldOffLimit is how long any task is held off before it starts anyway.
	overdueHeldOffLimit = 26 * time.Second
	// maxEarlierWait and maxKnownEarlierWait limit what counts towards overdueHeldOffLimit of
	// the wait of a task before the term. The second holds if that wait is known: the task
	// then starts once it has also been held off for 3 s by this leader.
	maxEarlierWait      = 16 * time.Second
	maxKnownEarlierWait = overdueHeldOffLimit - 3*time.Second
	// maxHeldOffRuns is the most runs of held-off tasks below full speed on a worker beside
	// which a task starts that is not overdue, and overdueHeldOffRuns the most beside which
	// an overdue one does. quietHeldOffRuns takes their place once no job has been accepted
	// for quietAfter.
	maxHeldOffRuns     = 2
	overdueHeldOffRuns = 6
	quietHeldOffRuns   = 12
	// heldOffStartPeriod is the time between two starts of held-off tasks in a cell. If that
	// allows more, one overdue task may start on each worker in overdueHeldOffStartPeriod,
	// and one task in quietHeldOffStartPeriod once no job has been accepted for quietAfter.
	heldOffStartPeriod        = 100 * time.Millisecond
	overdueHeldOffStartPeriod = time.Second
	quietHeldOffStartPeriod   = 500 * time.Millisecond
	// heldOffRetryPause is the pause after an attempt to start a held-off task, and
	// noRoomRetryPause the one if no worker has room for it. maxHeldOffAttempts is the most
	// attempts within heldOffStartPeriod that find no worker.
	heldOffRetryPause  = time.Second
	noRoomRetryPause   = 5 * time.Second
	maxHeldOffAttempts = 20
	// maxRelocateAfter limits relocateAfter, which doubles with each stop or move of the
	// task. It holds at once for runs of overdue tasks.
	maxRelocateAfter = 10 * time.Second
	// untriedPairPenalty keeps held-off tasks from images with which they have not run,
	// while a known pair is available.
	untriedPairPenalty = 100
	// heldOffRunPenalty is the penalty for each run of another held-off task on a worker.
	// Once a service task there is over its target, all of them are stopped together.
	heldOffRunPenalty = 100
)

// markHeldOff notes whether interference alone keeps a task of the step, which was not
// placed, from all workers with room.
func (c *Cell) markHeldOff(now time.Time, t *task) {
	s := t.step
	if !t.spec().BestEffort || t.spec().Gang || !s.heldOffSince.IsZero() {
		return
	}
	for _, w := range c.sortedWorkers() {
		if !w.canRun(now, t) {
			continue
		}
		if _, possible := c.heldOffScore(now, t, w); possible {
			s.heldOffSince = now
			return
		}
	}
}

// waitsSinceEarlierTerm reports whether an earlier leader accepted the job of the task and
// this one has not started the task. When it became ready is not stored.
func (c *Cell) waitsSinceEarlierTerm(t *task) bool {
	return t.job().fromEarlierTerm && t.lastRun <= c.config.Epoch*runsPerTerm
}

// heldOffFor returns how long a waiting task has been held off in this term, or since its job
// was accepted if that has not started.
func (c *Cell) heldOffFor(now time.Time, t *task) time.Duration {
	switch {
	case t.step.heldOffSince.IsZero():
		return 0
	case c.waitsSinceEarlierTerm(t) && !t.job().started:
		return now.Sub(t.job().acceptedAt)
	case t.readySince.After(t.step.heldOffSince):
		return now.Sub(t.readySince)
	}
	return now.Sub(t.step.heldOffSince)
}

// isOverdue reports whether a task has reached overdueHeldOffLimit.
func (c *Cell) isOverdue(now time.Time, t *task) bool {
	heldOff := c.heldOffFor(now, t)
	if heldOff > 0 && c.waitsSinceEarlierTerm(t) {
		heldOff = min(heldOff+t.maxEarlierWait(), now.Sub(t.job().acceptedAt))
	}
	return heldOff >= overdueHeldOffLimit
}

// maxEarlierWait returns the most that counts of the wait of a task before this term. If it
// became ready with its job and is not known to have run, it has waited since then.
func (t *task) maxEarlierWait() time.Duration {
	if t.lastRun == 0 && len(t.spec().DependsOn) == 0 {
		return maxKnownEarlierWait
	}
	return maxEarlierWait
}

// heldOffLimit returns how long the task is held off before it starts anyway if its job has
// no run.
func (t *task) heldOffLimit() time.Duration {
	return doubled(heldOffLimit, t.retreats, maxHeldOffLimit)
}

func (c *Cell) exceedsHeldOffLimit(now time.Time, t *task) bool {
	heldOff := c.heldOffFor(now, t)
	if heldOff >= t.heldOffLimit() {
		return true
	}
	return c.isQuiet(now) && heldOff >= doubled(quietHeldOffLimit, t.retreats, maxQuietHeldOffLimit)
}

// heldOffClass says under which limits held-off tasks start.
type heldOffClass uint8

const (
	// heldOffJobs are tasks of jobs without runs.
	heldOffJobs heldOffClass = iota
	// heldOffOverdue are tasks that have reached overdueHeldOffLimit.
	heldOffOverdue
	heldOffClassCount
)

// mayStart reports whether a held-off task of the class starts anyway.
func (k heldOffClass) mayStart(c *Cell, now time.Time, t *task) bool {
	if k == heldOffOverdue {
		return c.isOverdue(now, t)
	}
	return c.exceedsHeldOffLimit(now, t) && !c.hasRuns(t.job())
}

// startPeriod returns the time between two starts of held-off tasks of the class.
func (k heldOffClass) startPeriod(c *Cell, now time.Time) time.Duration {
	workers := time.Duration(max(1, len(c.workers)))
	switch {
	case c.isQuiet(now):
		return min(heldOffStartPeriod, quietHeldOffStartPeriod/workers)
	case k == heldOffOverdue:
		return min(heldOffStartPeriod, overdueHeldOffStartPeriod/workers)
	}
	return heldOffStartPeriod
}

// mostRuns returns the number of runs of held-off tasks on a worker from which no task of the
// class starts there.
func (k heldOffClass) mostRuns(c *Cell, now time.Time) int {
	switch {
	case c.isQuiet(now):
		return quietHeldOffRuns
	case k == heldOffOverdue:
		return overdueHeldOffRuns
	}
	return maxHeldOffRuns
}

func (c *Cell) isQuiet(now time.Time) bool { return now.Sub(c.lastSubmitAt) >= quietAfter }

// mayStartHeldOff reports whether the task may start on the worker whatever it does to the
// service tasks there.
func (c *Cell) mayStartHeldOff(now time.Time, t *task, w *worker) bool {
	if !c.exceedsHeldOffLimit(now, t) {
		return false
	}
	_, possible := c.heldOffScore(now, t, w)
	return possible
}

// relocateAfter returns how long a run of the task must be throttled before it is moved.
func (t *task) relocateAfter() time.Duration {
	return doubled(relocateAfter, t.retreats, maxRelocateAfter)
}

// relocateAfter returns how long the run must be throttled before its task is moved. An overdue
// task that is moved would wait for overdueHeldOffLimit again if newer ones take the place.
func (r *run) relocateAfter() time.Duration {
	if r.heldOff && r.heldOffClass == heldOffOverdue {
		return maxRelocateAfter
	}
	return r.task.relocateAfter()
}

// doubled returns base, doubled the given number of times, but at most limit.
func doubled(base time.Duration, times int, limit time.Duration) time.Duration {
	for ; times > 0 && base < limit; times-- {
		base *= 2
	}
	return min(base, limit)
}

// startHeldOffTasks starts the tasks that have been held off for the longest time beyond
// their limits.
func (c *Cell) startHeldOffTasks(now time.Time) {
	for class := range heldOffClassCount {
		c.startHeldOffClass(now, class)
	}
}

func (c *Cell) startHeldOffClass(now time.Time, class heldOffClass) {
	startAt := &c.heldOffStartAt[class]
	// The starts that a late pass makes up for are limited.
	if earliest := now.Add(-heldOffStartPeriod); startAt.Before(earliest) {
		*startAt = earliest
	}
	period := class.startPeriod(c, now)
	for attempts := 0; now.Sub(*startAt) >= period; {
		t := c.nextHeldOffTask(now, class)
		switch {
		case t == nil:
			*startAt = now
		case c.startHeldOffTask(now, t, class):
			*startAt = startAt.Add(period)
		case attempts == maxHeldOffAttempts:
			*startAt = now.Add(heldOffStartPeriod)
		default:
			attempts++
		}
	}
}

// startHeldOffTask starts a held-off task and reports whether there is a worker for it.
func (c *Cell) startHeldOffTask(now time.Time, t *task, class heldOffClass) bool {
	w := c.leastAffectedWorker(now, t, class)
	if w == nil || c.blockedByReserve(now, t) {
		t.heldOffRetryAt = now.Add(c.heldOffRetryPause(now, t))
		return false
	}
	c.addEvent(DecisionEvent{Event: "held-off task started", Task: t.id(), Run: c.nextRunNumber(t), Worker: w.info.ID, Outcome: fmt.Sprintf("%d stops and moves", t.retreats), Age: c.heldOffFor(now, t)})
	c.orderStart(now, t, w, c.nextRunNumber(t))
	r := t.runs[len(t.runs)-1]
	r.heldOff, r.heldOffClass = true, class
	c.readyTasks = slices.DeleteFunc(c.readyTasks, func(other *task) bool { return other == t })
	return true
}

// heldOffRetryPause returns the pause after an attempt that found no worker. Tasks that wait for
// room must not keep others back.
func (c *Cell) heldOffRetryPause(now time.Time, t *task) time.Duration {
	if slices.ContainsFunc(c.sortedWorkers(), func(w *worker) bool { return w.canRun(now, t) }) {
		return heldOffRetryPause
	}
	return noRoomRetryPause
}

// nextHeldOffTask returns the task of the class that has been held off for the longest time.
func (c *Cell) nextHeldOffTask(now time.Time, class heldOffClass) *task {
	var next *task
	for _, t := range c.readyTasks {
		if len(t.runs) > 0 || t.done || now.Before(t.heldOffRetryAt) || t.job().state.IsFinal() || c.mayRunElsewhere(now, t) {
			continue
		}
		if (next == nil || c.heldOffFor(now, t) > c.heldOffFor(now, next)) && class.mayStart(c, now, t) {
			next = t
		}
	}
	return next
}

// leastAffectedWorker returns the worker on which a held-off task does least, or nil. The
// number of runs of such tasks on a worker is limited.
func (c *Cell) leastAffectedWorker(now time.Time, t *task, class heldOffClass) *worker {
	most := class.mostRuns(c, now)
	var best *worker
	var bestScore float64
	for _, w := range c.sortedWorkers() {
		if !w.canRun(now, t) || !t.adviceAllows(now, w) {
			continue
		}
		score, possible := c.heldOffScore(now, t, w)
		score -= heldOffRunPenalty * float64(w.heldOffRuns(heldOffOverdue))
		if possible && w.heldOffRuns(class) < most && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}

// heldOffScore rates a worker for a held-off task. It returns false if anything else than
// the CPU and the pressure left keeps the task from the worker now.
func (c *Cell) heldOffScore(now time.Time, t *task, w *worker) (score float64, possible bool) {
	rated, reason := c.score(now, t, w)
	switch reason {
	case suitable:
		return rated, true
	case noSpareCPU, pairPressure:
	default:
		return 0, false
	}
	l := c.loadOf(w)
	score = (float64(w.info.Capacity.CPU) - l.demand) / 1000
	for i, s := range l.services {
		coefficient := c.pressures.lookup(s.image, t.spec().Image)
		if !coefficient.trialAllowed(now) {
			return 0, false
		}
		if coefficient.variance >= trialVariance {
			score -= untriedPairPenalty
		}
		score += pressureWeight * min(0, c.remainingPressure(now, w, i)-coefficient.upperEstimate()*float64(t.spec().CPUMillis)/1000)
	}
	if w.trust(now) == suspect {
		score -= suspectPenalty
	}
	return score, true
}

// heldOffRuns returns the number of runs of held-off tasks, up to the class, on the worker
// that have not been at full speed.
func (w *worker) heldOffRuns(class heldOffClass) int {
	count := 0
	for _, r := range w.runs {
		if r.heldOff && r.heldOffClass <= class {
			count++
		}
	}
	return count
}

// retreat stops a run because of interference.
func (c *Cell) retreat(now time.Time, r *run) {
	if r.phase == running {
		r.task.retreats++
	}
	c.stopRun(now, r)
}
