package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// newCellWithSharedWorker returns a cell in which one worker runs a service
// task with a target of 18 ms next to a best-effort run, and a function that
// builds the worker's rows with a given tail.
func newCellWithSharedWorker(t *testing.T) (*Cell, func(tail int) []Row) {
	t.Helper()
	record := JobRecord{ID: testJob, AcceptedMillis: testStart.UnixMilli(), Terms: Terms{Queue: "q", Pool: "pool", Attempts: 3},
		Job: jobspec.Job{Steps: []jobspec.Step{
			{Count: 1, CPU: 3000, MemoryMB: 100, LongRunning: true, Image: "serve", TargetMillis: 18},
			{Count: 1, CPU: 2000, MemoryMB: 100, EstimateMillis: 60000, Fills: true, Image: "fill", Checkpointing: true},
		}}}
	c := newRestoredCell(record)
	rows := func(tail int) []Row {
		return []Row{
			{Task: TaskID{Job: testJob}, Run: 1, Percent: 100, Gauge: tail},
			{Task: TaskID{Job: testJob, Step: 1}, Run: 1, Percent: 10, Gauge: 2000},
		}
	}
	c.Report(testStart, newReport(testWorker, testStart, rows(6)...))
	c.Report(testStart, newReport(otherWorker, testStart))
	c.Take(testStart)
	return c, rows
}

// While the pressure of a best-effort image is unknown, the model alone may not
// throttle it enough. A tail that stays over its target must still lead to the
// minimum throttle, and then to a preemption.
func TestTailOverTargetThrottlesThenPreemptsBestEffortRun(t *testing.T) {
	c, rows := newCellWithSharedWorker(t)
	now := testStart.Add(2 * warmupPeriod)
	c.Report(now, newReport(testWorker, now, rows(6)...))
	c.Take(now)
	var throttles []PaceOrder
	stops := 0
	for elapsed := time.Duration(0); elapsed <= preemptAfter; elapsed += 400 * time.Millisecond {
		at := now.Add(time.Second + elapsed)
		c.Report(at, newReport(testWorker, at, rows(200)...))
		effects := c.Take(at)
		throttles = append(throttles, effects.Paces...)
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
	c, rows := newCellWithSharedWorker(t)
	now := testStart.Add(2 * warmupPeriod)
	for i := range 10 {
		at := now.Add(time.Duration(i) * 800 * time.Millisecond)
		c.Report(at, newReport(testWorker, at, rows(7)...))
		for _, order := range c.Take(at).Paces {
			assert.Equal(t, order.Percent, 100)
		}
	}
}
