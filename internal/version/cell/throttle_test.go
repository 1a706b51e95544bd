package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// newCellWithSharedWorker returns a cell in which one worker runs a service
// task with a target of 18 ms next to a best-effort run, and a function that
// builds the worker's run reports with a given tail.
func newCellWithSharedWorker(t *testing.T) (*Cell, func(tail int) []RunReport) {
	t.Helper()
	record := JobRecord{ID: jobA, AcceptedMillis: testStart.UnixMilli(), Terms: QueueTerms{Queue: "q", Pool: "pool", Attempts: 3},
		Job: jobspec.Job{Steps: []jobspec.Step{
			{Count: 1, CPUMillis: 3000, MemoryMB: 100, LongRunning: true, Image: "serve", LatencyTargetMillis: 18},
			{Count: 1, CPUMillis: 2000, MemoryMB: 100, EstimateMillis: 60000, BestEffort: true, Image: "fill", Checkpointing: true},
		}}}
	c := newRestoredCell(record)
	runReports := func(tail int) []RunReport {
		return []RunReport{
			{Task: TaskID{Job: jobA}, Run: 1, Percent: 100, Measurement: tail},
			{Task: TaskID{Job: jobA, Step: 1}, Run: 1, Percent: 10, Measurement: 2000},
		}
	}
	c.ApplyReport(testStart, newReport(testWorker, testStart, runReports(6)...))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	c.TakeEffects(testStart)
	return c, runReports
}

// While the pressure of a best-effort image is unknown, the model alone may not
// throttle it enough. A tail that stays over its target must still lead to the
// minimum throttle, and then to a preemption.
func TestTailOverTargetThrottlesThenPreemptsBestEffortRun(t *testing.T) {
	c, runReports := newCellWithSharedWorker(t)
	now := testStart.Add(2 * warmupPeriod)
	c.ApplyReport(now, newReport(testWorker, now, runReports(6)...))
	c.TakeEffects(now)
	var throttles []ThrottleOrder
	stops := 0
	for elapsed := time.Duration(0); elapsed <= preemptAfter; elapsed += 400 * time.Millisecond {
		at := now.Add(time.Second + elapsed)
		c.ApplyReport(at, newReport(testWorker, at, runReports(200)...))
		effects := c.TakeEffects(at)
		throttles = append(throttles, effects.Throttles...)
		stops += len(effects.Stops)
		if elapsed < preemptAfter {
			assert.Equal(t, stops, 0, "stopped after only %v", elapsed)
		}
	}
	assert.Assert(t, len(throttles) > 0)
	assert.Equal(t, throttles[len(throttles)-1].Percent, minThrottlePercent)
	assert.Equal(t, stops, 1)
}

// A best-effort run must not be throttled while the tail is well below its
// target.
func TestBestEffortRunIsNotThrottledBelowTarget(t *testing.T) {
	c, runReports := newCellWithSharedWorker(t)
	now := testStart.Add(2 * warmupPeriod)
	for i := range 10 {
		at := now.Add(time.Duration(i) * 800 * time.Millisecond)
		c.ApplyReport(at, newReport(testWorker, at, runReports(7)...))
		for _, order := range c.TakeEffects(at).Throttles {
			assert.Equal(t, order.Percent, 100)
		}
	}
}

// A worker reports after each end and each stop, sooner than its figures change. If
// each repeated figure cut the budget again and counted as further evidence, a worker
// with many short runs would lose its whole budget by one high tail.
func TestRepeatedFigureCountsOnce(t *testing.T) {
	c, runReports := newCellWithSharedWorker(t)
	now := testStart.Add(2 * warmupPeriod)
	c.ApplyReport(now, newReport(testWorker, now, runReports(6)...))
	now = now.Add(time.Second)
	c.ApplyReport(now, newReport(testWorker, now, runReports(40)...))
	budget, learned := c.workers[testWorker].bestEffort.budgetShare(), c.pressures.lookup("serve", "fill")
	assert.Equal(t, budget, budgetCut)
	for range 4 {
		now = now.Add(40 * time.Millisecond)
		c.ApplyReport(now, newReport(testWorker, now, runReports(40)...))
	}
	assert.Equal(t, c.workers[testWorker].bestEffort.budgetShare(), budget)
	assert.Equal(t, c.pressures.lookup("serve", "fill"), learned)
}

// After a preemption, the capacity that it has freed is the most that any worker has.
// If best-effort tasks were placed there while the tail is still over its target, they
// would be preempted with the next report, again and again.
func TestNoBestEffortTaskIsPlacedWhileTailIsOverTarget(t *testing.T) {
	c, runReports := newCellWithSharedWorker(t)
	c.MarkUnresponsive(testStart, otherWorker, time.Time{})
	now := testStart.Add(2 * warmupPeriod)
	c.ApplyReport(now, newReport(testWorker, now, runReports(40)...))
	job := &jobspec.Job{Steps: []jobspec.Step{{Count: 1, CPUMillis: 1000, EstimateMillis: 1000, BestEffort: true, Image: "mild"}}}
	c.Submit(now, 1, "00000000000000bb", job, QueueTerms{Queue: "q", Pool: "pool", Attempts: 3})
	c.MarkStored(now, c.TakeEffects(now).Write.Number)
	assert.Equal(t, len(c.TakeEffects(now).Starts), 0)
	now = now.Add(time.Second)
	c.ApplyReport(now, newReport(testWorker, now, runReports(6)...))
	assert.Equal(t, len(c.TakeEffects(now).Starts), 1)
}
