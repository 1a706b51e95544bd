package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// newCellWithOneWorker returns a cell whose only worker has answered, with one accepted
// job of a step of count tasks, and the orders to start them.
func newCellWithOneWorker(t *testing.T, count int) (*Cell, []StartOrder) {
	c := New(Config{Epoch: 1, RecoveryWait: 8 * time.Second, MaxEarlierLease: testLease, EndedJobRetention: time.Minute, RemoteFactor: 1})
	c.UpdateWorkers(testStart, []WorkerInfo{testInfo(testWorker)})
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	spec := jobspec.Job{Steps: []jobspec.Step{{Count: count, CPUMillis: 1000, MemoryMB: 100, EstimateMillis: 1000}}}
	c.Submit(testStart, 1, jobA, &spec, QueueTerms{Queue: "q", Pool: "pool", Attempts: 3, Stretch: 2})
	orders := storeEffects(t, c, testStart)
	assert.Equal(t, len(orders), count)
	return c, orders
}

// storeEffects takes the effects of a cell, stores its writes and returns the starts
// ordered meanwhile.
func storeEffects(t *testing.T, c *Cell, now time.Time) (starts []StartOrder) {
	t.Helper()
	for range 10 {
		effects := c.TakeEffects(now)
		starts = append(starts, effects.Starts...)
		if effects.Write == nil {
			return starts
		}
		c.MarkStored(now, effects.Write.Number)
	}
	t.Fatal("each write causes another one")
	return nil
}

// endRuns lets a worker report how the runs of the given orders have ended.
func endRuns(c *Cell, now time.Time, orders []StartOrder, reasons ...EndReason) {
	report := newReport(orders[0].Worker, now)
	for i, order := range orders {
		c.ApplyStartResult(now, newStartResult(order, StartAccepted, ""))
		report.Ended = append(report.Ended, RunEnd{Number: int64(i + 1), Task: order.Task, Run: order.Run, Reason: reasons[i]})
	}
	c.ApplyReport(now, report)
}

// startOf returns how long it takes until a start of a task is ordered.
func startOf(t *testing.T, c *Cell, since time.Time, index int) time.Duration {
	t.Helper()
	for now := since; now.Before(since.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		c.Tick(now)
		for _, order := range storeEffects(t, c, now) {
			if order.Task.Index == index {
				return now.Sub(since)
			}
			c.ApplyStartResult(now, newStartResult(order, StartRefused, RefusedOldRun))
		}
	}
	t.Fatal("the task is not started")
	return 0
}

// Guards against tasks that wait in turn for another worker than the one on which they
// failed, so that another task of their step never gets there.
func TestTasksThatWaitForOtherWorkerHoldTheirStepBriefly(t *testing.T) {
	c, orders := newCellWithOneWorker(t, 3)
	ready := testStart.Add(time.Second)
	endRuns(c, ready, orders[:2], EndFailed, EndLeaseExpired)
	later := ready.Add(otherWorkerWait - 200*time.Millisecond)
	c.Tick(later)
	assert.Equal(t, len(storeEffects(t, c, later)), 0, "the step waits with its first task")
	report := newReport(testWorker, later)
	report.Ended = []RunEnd{{Number: 3, Task: orders[2].Task, Run: orders[2].Run, Reason: EndFailed}}
	c.ApplyReport(later, report)
	assert.Assert(t, startOf(t, c, later, 1) <= 300*time.Millisecond)
}

// Guards against an implicated task that keeps the other tasks of its step from starting
// for longer than it waits for a worker of its own.
func TestTaskThatWaitsForIsolationHoldsItsStepBriefly(t *testing.T) {
	c, orders := newCellWithOneWorker(t, 2)
	c.workers[testWorker].implicatedRuns++ // A run of another implicated task.
	c.jobs[jobA].findTask(orders[0].Task).crashes = 1
	ready := testStart.Add(time.Second)
	endRuns(c, ready, orders, EndLeaseExpired, EndLeaseExpired)
	assert.Assert(t, startOf(t, c, ready, 1) <= isolationWait+100*time.Millisecond)
}
