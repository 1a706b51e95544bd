package cell

import (
	"math"
	"slices"
	"time"

	"poplarvalve/internal/version/workerspeed"
)

// worker holds the state of one worker and the resources reserved on it.
type worker struct {
	info WorkerInfo
	// registered is set while the registry lists the worker. listedIncarnation is the newest
	// incarnation that it has listed, or 0. restartListed is set while that one has not answered
	// and is not the one that did.
	registered        bool
	listedIncarnation int64
	restartListed     bool
	// renewed is set once the worker has answered a lease renewal in this term.
	renewed bool
	// unresponsive is set if the last lease renewal got no answer.
	unresponsive bool
	// hasUnknownRuns is set if the worker's last report listed a run that
	// belongs to no task of a known job.
	hasUnknownRuns bool
	// partial is the earliest report that may leave out ends which are not listed since, or nil.
	partial *partialReport
	// reserved is the total size of the runs, in whatever phase they are.
	reserved Size
	// runs is replaced, not modified, when a run is removed, so that a loop over it may
	// remove runs.
	runs []*run
	// maxRuns is the number of runs up to which tasks are started on the worker.
	maxRuns int
	// leaseUntil is the time by which the leases of all runs on the worker have
	// expired.
	leaseUntil time.Time
	// strayUntil is the same for orders that were meant for an earlier incarnation and may still
	// be carried out by this one, or zero if the newest report excludes them.
	strayUntil   time.Time
	lastResponse time.Time
	// lastReportSent is when the renewal was sent whose answer was applied last.
	lastReportSent time.Time
	// startsBlockedUntil is the end of the pause after a refused start.
	startsBlockedUntil time.Time
	// lastEndNumber is the number of the newest end that was applied.
	lastEndNumber int64
	health        health
	// speed is what is known of the worker's speed.
	speed workerspeed.Estimate
	// bestEffort is the state of the limits on best-effort tasks on this
	// worker.
	bestEffort bestEffortState
	// replacedAt is when another worker answered at the worker's address, or zero if this
	// one has answered a renewal sent later.
	replacedAt time.Time
	// implicatedRuns is the number of runs whose implicated flag is set.
	implicatedRuns int
	// earlierSuspects are runs of implicated tasks that an earlier leader ordered, and
	// runs given up since the worker last answered. Its next answer shows what became of
	// them.
	earlierSuspects []*run
	// moved is set while the worker's address has changed since the worker last answered.
	// Its runs may still be at the earlier address.
	moved bool
	// evacuated is set while the availability zone of the worker is evacuated.
	evacuated bool
	// departure says whether and when the worker is going to leave.
	departure departure
	// lastStartAt is when the last start on the worker was ordered.
	lastStartAt time.Time
	// inUseWrite is the number of the write that stores that the worker is in use, or 0
	// if it is stored.
	inUseWrite uint64
	// binding tells whether the leases on the worker may be extended. liftWrite is the number
	// of the write that ends the bound of a lifting worker.
	binding   binding
	liftWrite uint64
	// bindingOrder is the number of calls of TakeEffects before the binding was ordered.
	bindingOrder uint64
	// silentWhenBound is set if the leases were bound in this term because the worker was
	// silent.
	silentWhenBound bool
	// earlierEnd is when the leases that earlier terms have granted have ended by a stored
	// bound, or zero.
	earlierEnd time.Time
	// load caches the totals over the runs; it is nil if they have to be
	// computed again.
	load *workerLoad
}

func newWorker(info WorkerInfo) *worker {
	w := &worker{info: info, maxRuns: math.MaxInt}
	w.departure.expected, w.departure.closed = info.Draining, info.Draining
	return w
}

// addWorker adds a worker that is not known yet.
func (c *Cell) addWorker(info WorkerInfo) *worker {
	w := newWorker(info)
	w.maxRuns = c.config.Budget.Limits().WorkerRuns
	c.workers[info.ID] = w
	c.workersChanged = true
	return w
}

// usable reports whether new runs may be started on the worker.
func (w *worker) usable(now time.Time) bool {
	return w.registered && w.renewed && !w.unresponsive && w.storedInUse() && w.binding == unbound && !w.departure.closed && !w.evacuated && !w.hasUnknownRuns && !now.Before(w.startsBlockedUntil)
}

// extendLease records until when the leases on the worker may last.
func (w *worker) extendLease(until time.Time) { w.leaseUntil = later(w.leaseUntil, until) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// storedInUse reports whether the next leader would wait for the worker.
func (w *worker) storedInUse() bool { return !w.info.Idle && w.inUseWrite == 0 }

// replaced reports whether another worker has taken the worker's place.
func (w *worker) replaced() bool { return !w.replacedAt.IsZero() }

func (w *worker) free() Size { return w.info.Capacity.minus(w.reserved) }

// policyAllows reports whether the worker's pool, its labels and the MaxPerWorker
// of the step let the task run on the worker. It does not check for free capacity.
func (w *worker) policyAllows(t *task) bool {
	spec := t.spec()
	if w.info.Pool != t.job().terms.Pool {
		return false
	}
	if spec.Label != "" && !slices.Contains(w.info.Labels, spec.Label) {
		return false
	}
	return spec.MaxPerWorker == 0 || t.step.runsPerWorker[w.info.ID] < spec.MaxPerWorker
}

// canRun reports whether the task may be started on the worker now and fits
// into its free capacity.
func (w *worker) canRun(now time.Time, t *task) bool {
	return w.usable(now) && len(w.runs) < w.maxRuns && w.free().canHold(t.size()) && w.policyAllows(t)
}

// addRun adds a run to the worker and reserves its size.
func (w *worker) addRun(r *run) {
	r.worker = w
	w.load = nil
	w.runs = append(w.runs, r)
	w.reserved = w.reserved.plus(r.size)
	if r.implicated {
		w.implicatedRuns++
	}
	if r.task.step.runsPerWorker != nil {
		r.task.step.runsPerWorker[w.info.ID]++
	}
}

// removeRun removes a run from the worker and from its task, and releases the
// reserved size. It does nothing and returns false if the worker does not have the run.
func (w *worker) removeRun(r *run) bool {
	index := slices.Index(w.runs, r)
	if index < 0 {
		return false
	}
	w.runs = slices.Concat(w.runs[:index], w.runs[index+1:])
	w.load = nil
	w.reserved = w.reserved.minus(r.size)
	if r.implicated {
		w.implicatedRuns--
	}
	if r.task.step.runsPerWorker != nil {
		r.task.step.runsPerWorker[w.info.ID]--
	}
	r.task.runs = slices.DeleteFunc(r.task.runs, func(other *run) bool { return other == r })
	return true
}

// hasStartInFlight reports whether the outcome of a start order is not known yet.
func (w *worker) hasStartInFlight() bool {
	for _, r := range w.runs {
		if r.phase == starting {
			return true
		}
	}
	return false
}

// findRun returns the run with that task and number, or nil.
func (w *worker) findRun(id TaskID, number int64) *run {
	for _, r := range w.runs {
		if r.number == number && r.task.id() == id {
			return r
		}
	}
	return nil
}
