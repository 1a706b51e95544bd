package cell

import "time"

const (
	// assumedServiceUse is the fraction of its declared CPU that a service task
	// is assumed to use.
	assumedServiceUse = 0.42
	// placementHorizon is how far ahead the expected load must leave enough
	// allowed pressure for a new task.
	placementHorizon = 1500 * time.Millisecond
	// pressureWeight is the score, in spare cores, that a pressure of 1 costs.
	pressureWeight = 200
)

// workerLoad holds totals over the runs on a worker.
type workerLoad struct {
	// demand is the CPU that the runs are assumed to use, in thousandths of a
	// core.
	demand float64
	// services holds the service steps on the worker. bestEffortPressure holds,
	// for each of them, the total pressure of all best-effort runs at full
	// speed.
	services           []serviceSample
	bestEffortPressure []float64
}

// loadOf returns the totals for a worker. They are cached until the worker's
// runs change or the worker reports.
func (c *Cell) loadOf(w *worker) *workerLoad {
	if w.load != nil {
		return w.load
	}
	l := &workerLoad{}
	for _, r := range w.runs {
		l.demand += r.demand()
		if r.task.isService() {
			l.services, _ = findOrAddSample(l.services, r.task.step)
		}
	}
	for _, s := range l.services {
		l.bestEffortPressure = append(l.bestEffortPressure, c.bestEffortPressure(s.image, w))
	}
	w.load = l
	return l
}

// bestEffortScore returns the number of cores that stay spare next to the task,
// minus the weighted pressure of the task on the service step that it affects
// most. It returns a reason if the task could not run at full speed on the worker,
// if a tail there is over its target, or if a task of the same, little-known pair
// of images was placed within trialPeriod.
func (c *Cell) bestEffortScore(now time.Time, t *task, w *worker) (cores float64, reason unsuitability) {
	l := c.loadOf(w)
	need := float64(t.spec().CPUMillis)
	spare := float64(w.info.Capacity.CPU) - l.demand - need
	switch {
	case !w.bestEffort.overSince.IsZero():
		return 0, tailOverTarget
	case spare < 0:
		return 0, noSpareCPU
	}
	highestAdded := 0.0
	for i, s := range l.services {
		coefficient := c.pressures.lookup(s.image, t.spec().Image)
		if !coefficient.trialAllowed(now) {
			return 0, recentTrial
		}
		added := coefficient.upperEstimate() * need / 1000
		if added > harmlessPressure && added > c.remainingPressure(now, w, i) {
			return 0, pairPressure
		}
		highestAdded = max(highestAdded, added)
	}
	return spare/1000 - pressureWeight*highestAdded, suitable
}

// remainingPressure returns the pressure that the service step with that index in the
// worker's load can still be put under.
func (c *Cell) remainingPressure(now time.Time, w *worker, service int) float64 {
	l := c.loadOf(w)
	s := l.services[service]
	allowed := c.pressures.allowed(s.image, s.target) * w.bestEffort.budgetShare()
	return allowed - s.step.userLoad.highestExpected(now, placementHorizon) - l.bestEffortPressure[service]
}

// recordTrial records that a best-effort task is placed next to the service
// images on the worker, because trialAllowed limits the placements of pairs of
// which little is known.
func (c *Cell) recordTrial(now time.Time, t *task, w *worker) {
	if !t.spec().BestEffort {
		return
	}
	for _, s := range c.loadOf(w).services {
		entry := c.pressures.ensureEntry(s.image, t.spec().Image)
		entry.lastTrial = now
		entry.usage.mark(now)
	}
}

// bestEffortPressure returns the total pressure of all best-effort runs on a
// worker on a service image, with all runs at full speed except those of held-off tasks.
func (c *Cell) bestEffortPressure(image string, w *worker) float64 {
	total := 0.0
	for _, r := range w.runs {
		if r.task.spec().BestEffort {
			total += c.runPressure(image, r) * r.countedShare()
		}
	}
	return total
}

// countedShare is the share of the full speed of a run for which pressure is kept. What a
// held-off task runs beside must not keep others off.
func (r *run) countedShare() float64 {
	switch {
	case !r.heldOff || r.throttle == unknownThrottle:
		return 1
	case r.phase == starting || r.phase == planned:
		return minThrottlePercent / 100.0
	}
	return float64(r.throttle) / 100
}

// runPressure returns the pressure of one run at full speed on a service image.
func (c *Cell) runPressure(image string, r *run) float64 {
	return c.pressurePerCore(image, r) * float64(r.task.spec().CPUMillis) / 1000
}

// demand returns the CPU that a run is assumed to use, in thousandths of a
// core.
func (r *run) demand() float64 {
	declared := float64(r.task.spec().CPUMillis) * r.countedShare()
	if r.task.isService() {
		return assumedServiceUse * declared
	}
	return declared
}

func (r *run) isRunningBestEffort() bool {
	return r.phase == running && r.task.spec().BestEffort
}
