package cell

import (
	"cmp"
	"slices"
	"time"
)

// Best-effort tasks use the CPU that other tasks leave idle, and raise the tail
// latency of the service tasks on the same worker. They are placed where the
// learned pressure allows it, and throttled or moved if a report shows that the
// placement was wrong.

const (
	// minThrottlePercent is the lowest percentage of full speed that is
	// ordered. At 0, a run would keep its memory and never end.
	minThrottlePercent = 3
	// minThrottleChange is the smallest change of a throttle, in percent of
	// full speed, for which an order is sent. A change to 100, or from an
	// unknown throttle, is always sent.
	minThrottleChange = 8
	// harmlessPressure is the pressure up to which a best-effort task is placed
	// whatever pressure is left, and is throttled only when a tail is over its
	// target.
	harmlessPressure = 0.06
	// throttleHorizon is how far ahead the expected load must leave enough
	// pressure for a run: until the next report allows the run to be throttled
	// further.
	throttleHorizon = 800 * time.Millisecond
	// budgetCut multiplies the budget of a worker at each evaluated report that
	// shows a tail over its target. budgetGrowth multiplies it at each other
	// evaluated report, until it is 1 again.
	budgetCut    = 0.5
	budgetGrowth = 1.3
	// figurePeriod is the time after which a worker's figures are new. Each figure
	// covers the last half second, and reports that follow each other sooner repeat
	// it: they must neither count as further evidence nor cut the budget again.
	figurePeriod = 400 * time.Millisecond
	// relievedShare is the share of its target below which the tail of a task that
	// was over it counts as relieved. Figures are rough: a tail that stays over its
	// target may be reported a few percent lower.
	relievedShare = 0.92
	// throttleAllAfter is how long reports must show the tail of a task over its
	// target before all best-effort runs on the worker are throttled to
	// minThrottlePercent, and preemptAfter before they are stopped. A report
	// lags by about a second, a stop takes up to 0.4 s, and four seconds over the
	// target count as a failure.
	throttleAllAfter = 500 * time.Millisecond
	preemptAfter     = 1600 * time.Millisecond
	// preemptMaxPercent is the progress up to which a run is stopped after
	// preemptAfter. A run closer to its end may finish until preemptAllAfter.
	preemptMaxPercent = 97
	preemptAllAfter   = 1800 * time.Millisecond
	// reportGrace is how much longer the measures wait for a report that shows
	// whether the last ones have helped.
	reportGrace = 400 * time.Millisecond
	// relocateBelowPercent is the throttle below which a task is moved to a
	// worker on which it can run at full speed.
	relocateBelowPercent = 50
	// relocateAfter is how long a run must be throttled below
	// relocateBelowPercent before its task is moved for the first time.
	relocateAfter = 600 * time.Millisecond
)

// bestEffortState holds the limits on the best-effort runs of one worker.
type bestEffortState struct {
	// budget is the fraction of the allowed pressure that may be used. The zero
	// value stands for 1.
	budget float64
	// overSince is the earliest overSince of the service runs on the worker, or
	// zero if none is over its target.
	overSince time.Time
	// evaluatedAt is the time of the last report whose figures were used to learn
	// and to adapt the budget.
	evaluatedAt time.Time
}

func (s *bestEffortState) budgetShare() float64 {
	if s.budget == 0 {
		return 1
	}
	return s.budget
}

// throttleBestEffort updates the learned pressures from the worker's last
// report and orders new throttles for the best-effort runs on the worker.
func (c *Cell) throttleBestEffort(now time.Time, w *worker) {
	w.load = nil
	samples := c.observeServices(now, w)
	usage := w.bestEffortUsage()
	over := slices.ContainsFunc(samples, func(s serviceSample) bool { return s.tail >= overTargetShare })
	w.recordTails(now)
	if now.Sub(w.bestEffort.evaluatedAt) >= figurePeriod {
		w.bestEffort.evaluatedAt = now
		for _, s := range samples {
			c.pressures.learn(now, s, usage)
		}
		w.bestEffort.adaptBudget(over)
	}
	throttles := c.throttles(now, samples, w)
	overFor := w.bestEffort.overTargetFor(now)
	for _, r := range w.runs {
		if r.isRunningBestEffort() {
			c.setThrottle(now, r, c.limitThrottle(now, throttles[r], r, overFor))
		}
	}
}

// relieveServices repeats and escalates the measures against tails over their
// target on workers whose next report is late, and against best-effort runs that
// have been started since the last one.
func (c *Cell) relieveServices(now time.Time) {
	for _, w := range c.sortedWorkers() {
		overFor := w.bestEffort.overTargetFor(now) - reportGrace
		if overFor < throttleAllAfter || w.unresponsive {
			continue
		}
		for _, r := range w.runs {
			if r.isRunningBestEffort() {
				c.setThrottle(now, r, c.limitThrottle(now, minThrottlePercent, r, overFor))
			}
		}
	}
}

// limitThrottle returns the throttle of a run, given the one that the learned
// pressures allow. Once a tail has been over its target for throttleAllAfter,
// every best-effort run gets minThrottlePercent, whatever was learned about it;
// after preemptAfter, the run is preempted.
func (c *Cell) limitThrottle(now time.Time, throttle int, r *run, overFor time.Duration) int {
	if overFor >= preemptAllAfter || overFor >= preemptAfter && r.percent <= preemptMaxPercent {
		c.addEvent(DecisionEvent{Event: "run displaced", Task: r.task.id(), Run: r.number, Worker: r.worker.info.ID, Age: overFor})
		c.retreat(now, r)
		return minThrottlePercent
	}
	if overFor >= throttleAllAfter {
		return minThrottlePercent
	}
	return throttle
}

// adaptBudget reduces the budget while a tail is over its target, and lets it
// grow back otherwise.
func (s *bestEffortState) adaptBudget(over bool) {
	if over {
		s.budget = s.budgetShare() * budgetCut
		return
	}
	s.budget = min(1, s.budgetShare()*budgetGrowth)
}

// overTargetFor returns how long reports have shown a tail over its target.
func (s *bestEffortState) overTargetFor(now time.Time) time.Duration {
	if s.overSince.IsZero() {
		return 0
	}
	return now.Sub(s.overSince)
}

// throttles returns, for each best-effort run on the worker, the percentage of
// full speed at which all service steps there keep their targets. Runs with the
// highest pressure per core are throttled first, since that costs the least
// work, after those of held-off tasks.
func (c *Cell) throttles(now time.Time, samples []serviceSample, w *worker) map[*run]int {
	throttles := map[*run]int{}
	var runs []*run
	for _, r := range w.runs {
		if r.isRunningBestEffort() {
			throttles[r] = 100
			runs = append(runs, r)
		}
	}
	for _, s := range samples {
		allowance := c.pressures.allowed(s.image, s.target)*w.bestEffort.budgetShare() - s.step.userLoad.highestExpected(now, throttleHorizon)
		c.throttleFor(s.image, allowance, runs, throttles)
	}
	return throttles
}

// throttleFor lowers the throttles of runs until their pressure on a service
// image is at most allowance. It does not lower those of runs whose pressure at
// full speed is at most harmlessPressure.
func (c *Cell) throttleFor(image string, allowance float64, runs []*run, throttles map[*run]int) {
	total := 0.0
	for _, r := range runs {
		total += c.runPressure(image, r) * float64(throttles[r]) / 100
	}
	if total <= allowance {
		return
	}
	byPressure := slices.Clone(runs)
	slices.SortStableFunc(byPressure, func(a, b *run) int {
		if a.heldOff != b.heldOff {
			return map[bool]int{true: -1, false: 1}[a.heldOff]
		}
		return cmp.Or(cmp.Compare(c.pressurePerCore(image, b), c.pressurePerCore(image, a)), a.orderedAt.Compare(b.orderedAt), cmp.Compare(a.number, b.number))
	})
	for _, r := range byPressure {
		fullPressure := c.runPressure(image, r)
		if fullPressure <= harmlessPressure {
			continue // A larger run with less pressure per core may follow.
		}
		otherPressure := total - fullPressure*float64(throttles[r])/100
		throttle := max(minThrottlePercent, min(throttles[r], int(100*(allowance-otherPressure)/fullPressure)))
		total = otherPressure + fullPressure*float64(throttle)/100
		throttles[r] = throttle
		if total <= allowance {
			return
		}
	}
}

// pressurePerCore returns the pressure that one core of a run puts on a service
// image.
func (c *Cell) pressurePerCore(image string, r *run) float64 {
	return c.pressures.lookup(image, r.task.spec().Image).upperEstimate()
}

func (c *Cell) setThrottle(now time.Time, r *run, percent int) {
	if percent >= relocateBelowPercent {
		r.throttledSince = time.Time{}
	} else if r.throttledSince.IsZero() {
		r.throttledSince = now
	}
	if r.throttle == percent || r.throttle != unknownThrottle && abs(r.throttle-percent) < minThrottleChange && percent < 100 {
		return
	}
	r.throttle = percent
	r.heldOff = r.heldOff && percent < 100
	r.worker.load = nil
	c.effects.Throttles = append(c.effects.Throttles, ThrottleOrder{r.worker.info.ID, r.task.id(), r.number, percent})
}

// relocate stops a run that has been throttled for some time if its task
// could run at full speed on another worker.
func (c *Cell) relocate(now time.Time, r *run) {
	if r.throttledSince.IsZero() || now.Sub(r.throttledSince) < r.relocateAfter() || !r.isRunningBestEffort() || r.task.spec().Gang {
		return
	}
	t := r.task
	if !t.spec().Checkpointing && r.percent > relocateMaxPercent {
		return
	}
	if c.findWorkerExcept(now, t, r.worker) == nil {
		return
	}
	c.effects.MovedForInterference++
	c.addEvent(DecisionEvent{Event: "run moved", Task: t.id(), Run: r.number, Worker: r.worker.info.ID, Outcome: "interference", Age: now.Sub(r.throttledSince)})
	c.retreat(now, r)
}

// relocateMaxPercent is the progress up to which a run without checkpoints is
// moved. Its task has to start from the beginning on the other worker.
const relocateMaxPercent = 40

func abs(n int) int { return max(n, -n) }
