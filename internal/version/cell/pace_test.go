package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// sharing returns a cell whose worker runs a serving task with a target of 18
// ms beside a task that fills, and their rows with a given tail.
func sharing(t *testing.T) (*Cell, func(tail int) []Row) {
	t.Helper()
	record := JobRecord{ID: testJob, AcceptedMillis: testStart.UnixMilli(), Terms: Terms{Queue: "q", Pool: "pool", Attempts: 3},
		Job: jobspec.Job{Steps: []jobspec.Step{
			{Count: 1, CPU: 3000, MemoryMB: 100, LongRunning: true, Image: "serve", TargetMillis: 18},
			{Count: 1, CPU: 2000, MemoryMB: 100, EstimateMillis: 60000, Fills: true, Image: "fill", Checkpointing: true},
		}}}
	c := successor(record)
	rows := func(tail int) []Row {
		return []Row{
			{Task: TaskID{Job: testJob}, Run: 1, Percent: 100, Gauge: tail},
			{Task: TaskID{Job: testJob, Step: 1}, Run: 1, Percent: 10, Gauge: 2000},
		}
	}
	c.Report(testStart, report(testWorker, testStart, rows(6)...))
	c.Report(testStart, report(otherOne, testStart))
	c.Take(testStart)
	return c, rows
}

// Guards against a serving task that stays over its target because the image
// that disturbs it is still unknown.
func TestFillingWorkGivesWayToATailOverItsTarget(t *testing.T) {
	c, rows := sharing(t)
	now := testStart.Add(2 * startup)
	c.Report(now, report(testWorker, now, rows(6)...))
	c.Take(now)
	var paces []PaceOrder
	stops := 0
	for elapsed := time.Duration(0); elapsed <= stopAfter; elapsed += 400 * time.Millisecond {
		at := now.Add(time.Second + elapsed)
		c.Report(at, report(testWorker, at, rows(200)...))
		effects := c.Take(at)
		paces = append(paces, effects.Paces...)
		stops += len(effects.Stops)
		if elapsed < stopAfter {
			assert.Equal(t, stops, 0, "after %v", elapsed)
		}
	}
	assert.Assert(t, len(paces) > 0)
	assert.Equal(t, paces[len(paces)-1].Percent, minPace)
	assert.Equal(t, stops, 1)
}

// Guards against filling work that is slowed although nobody is disturbed.
func TestFillingWorkIsLeftAloneBelowTheTarget(t *testing.T) {
	c, rows := sharing(t)
	now := testStart.Add(2 * startup)
	for i := range 10 {
		at := now.Add(time.Duration(i) * 800 * time.Millisecond)
		c.Report(at, report(testWorker, at, rows(7)...))
		for _, order := range c.Take(at).Paces {
			assert.Equal(t, order.Percent, 100)
		}
	}
}
