package cell

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// The estimate must follow a load that swings. Its error must stay below a
// third of the change of the load within the age of a report.
func TestLoadEstimateFollowsSwingingLoad(t *testing.T) {
	const period, ahead = 10.0, 0.8
	swing := func(at float64) float64 { return 0.42 + 0.21*math.Sin(2*math.Pi*at/period) }
	var estimate loadEstimate
	largestError := 0.0
	for at := 0.0; at < 40; at += 0.1 {
		now := testStart.Add(time.Duration(at * float64(time.Second)))
		variance := estimate.varianceAt(now)
		estimate.correct(now, swing(at)-estimate.expectedAt(now), variance/(variance+pressureDeviation*pressureDeviation))
		if at < 5 {
			continue
		}
		largestError = max(largestError, math.Abs(estimate.expectedAt(now.Add(ahead*1e9))-swing(at+ahead)))
	}
	change := 2 * math.Pi / period * 0.21 * ahead
	assert.Assert(t, largestError < change/3, "largest error is %.3f, the load changes by %.3f", largestError, change)
}

// newCellWithTwoServices returns a cell in which two tasks of one service step
// run on two workers, the second of them next to a best-effort run. It also
// returns functions that build the run reports of both workers with a given tail.
func newCellWithTwoServices(t *testing.T) (*Cell, func(tail int) RunReport, func(tail int) []RunReport) {
	t.Helper()
	record := JobRecord{ID: jobA, AcceptedMillis: testStart.UnixMilli(), Terms: QueueTerms{Queue: "q", Pool: "pool", Attempts: 3},
		Job: jobspec.Job{Steps: []jobspec.Step{
			{Count: 2, CPUMillis: 3000, MemoryMB: 100, LongRunning: true, Image: "serve", LatencyTargetMillis: 18},
			{Count: 1, CPUMillis: 3000, MemoryMB: 100, EstimateMillis: 60000, BestEffort: true, Image: "fill", Checkpointing: true},
		}}}
	c := newRestoredCell(record)
	alone := func(n int) RunReport { return RunReport{Task: TaskID{Job: jobA}, Run: 1, Percent: 100, Measurement: n} }
	shared := func(tail int) []RunReport {
		return []RunReport{
			{Task: TaskID{Job: jobA, Index: 1}, Run: 1, Percent: 100, Measurement: tail},
			{Task: TaskID{Job: jobA, Step: 1}, Run: 1, Percent: 10, Measurement: 3000},
		}
	}
	c.ApplyReport(testStart, newReport(testWorker, testStart, alone(4)))
	c.ApplyReport(testStart, newReport(otherWorker, testStart, shared(4)...))
	c.TakeEffects(testStart)
	return c, alone, shared
}

// A swing of the users' load raises the tails on both workers. The reports of
// the worker without a best-effort run explain it, so the best-effort image
// must not be blamed.
func TestLoadSwingIsNotAttributedToBestEffortImage(t *testing.T) {
	c, alone, shared := newCellWithTwoServices(t)
	at := testStart.Add(2 * warmupPeriod)
	for range 60 {
		since := at.Sub(testStart).Seconds()
		tail := int(math.Round(4 / (1 - 0.42 - 0.21*math.Sin(2*math.Pi*since/10))))
		c.ApplyReport(at, newReport(testWorker, at, alone(tail)))
		c.ApplyReport(at, newReport(otherWorker, at, shared(tail)...))
		at = at.Add(400 * time.Millisecond)
	}
	learned := c.pressures.lookup("serve", "fill")
	assert.Assert(t, learned.mean < initialCoefficient, "learned coefficient is %.3f per core", learned.mean)
	assert.Assert(t, learned.variance < trialVariance)
}

// A best-effort image with a high pressure must be detected within its first
// reports when another worker shows the pressure of the users' load alone.
func TestBestEffortImageWithHighPressureIsDetected(t *testing.T) {
	c, alone, shared := newCellWithTwoServices(t)
	at := testStart.Add(2 * warmupPeriod)
	for range 3 {
		c.ApplyReport(at, newReport(testWorker, at, alone(7)))
		c.ApplyReport(at, newReport(otherWorker, at, shared(16)...)) // 0.1 per core next to a load of 0.42.
		at = at.Add(400 * time.Millisecond)
	}
	learned := c.pressures.lookup("serve", "fill")
	assert.Assert(t, learned.mean > 0.05, "learned coefficient is %.3f per core", learned.mean)
}

// Without this limit, all tasks of a step with an unknown image could be placed
// next to the same service image before a report shows the pressure of the
// first.
func TestTasksOfUnknownPairArePlacedOneAtATime(t *testing.T) {
	c, _, _ := newCellWithTwoServices(t)
	now := testStart.Add(2 * warmupPeriod)
	entry := c.pressures.ensureEntry("serve", "other")
	assert.Assert(t, c.pressures.lookup("serve", "other").trialAllowed(now))
	entry.lastTrial = now
	assert.Assert(t, !c.pressures.lookup("serve", "other").trialAllowed(now.Add(trialPeriod/2)))
	assert.Assert(t, c.pressures.lookup("serve", "other").trialAllowed(now.Add(trialPeriod)))
	entry.lastTrial, entry.variance = now, trialVariance/2
	assert.Assert(t, c.pressures.lookup("serve", "other").trialAllowed(now))
}

// Throttling every best-effort run alike would slow down a run with little
// pressure because of another one.
func TestRunWithHighestPressureIsThrottledFirst(t *testing.T) {
	c, _, _ := newCellWithTwoServices(t)
	w := c.workers[otherWorker]
	high := &run{task: w.bestEffortTask(), worker: w, phase: running, throttle: 100}
	low := &run{task: &task{step: &step{spec: &jobspec.Step{CPUMillis: 3000, BestEffort: true, Image: "mild"}}}, worker: w, phase: running, throttle: 100}
	c.pressures.ensureEntry("serve", "fill").mean = 0.08
	c.pressures.ensureEntry("serve", "mild").mean = 0.03
	throttles := map[*run]int{high: 100, low: 100}
	c.throttleFor("serve", 0.2, []*run{low, high}, throttles)
	assert.Assert(t, throttles[high] < 60, "%d", throttles[high])
	assert.Equal(t, throttles[low], 100)
}

// A small run with a high pressure per core is harmless. It must not keep a large run
// with less pressure per core, but more in total, from being throttled.
func TestHarmlessRunDoesNotShieldLargeOne(t *testing.T) {
	c, _, _ := newCellWithTwoServices(t)
	w := c.workers[otherWorker]
	newRun := func(image string, cpuMillis int) *run {
		return &run{task: &task{step: &step{spec: &jobspec.Step{CPUMillis: cpuMillis, BestEffort: true, Image: image}}}, worker: w, phase: running, throttle: 100}
	}
	c.pressures.ensureEntry("serve", "sharp").mean = 0.05
	c.pressures.ensureEntry("serve", "mild").mean = 0.03
	small, large := newRun("sharp", 500), newRun("mild", 8000)
	throttles := map[*run]int{small: 100, large: 100}
	c.throttleFor("serve", 0.1, []*run{large, small}, throttles)
	assert.Equal(t, throttles[small], 100)
	assert.Assert(t, throttles[large] < 50, "%d", throttles[large])
}

// bestEffortTask returns the task of a best-effort run on the worker, or nil.
func (w *worker) bestEffortTask() *task {
	for _, r := range w.runs {
		if r.task.spec().BestEffort {
			return r.task
		}
	}
	return nil
}
