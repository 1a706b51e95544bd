package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// newCellWithOneWorker returns a cell whose only worker has answered, with one accepted
// job of a step of two tasks, and the orders to start them.
func newCellWithOneWorker(t *testing.T) (*Cell, []StartOrder) {
	c := New(Config{Epoch: 1, RecoveryWait: 8 * time.Second, MaxEarlierLease: testLease, EndedJobRetention: time.Minute, RemoteFactor: 1})
	c.UpdateWorkers(testStart, []WorkerInfo{testInfo(testWorker)})
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	spec := jobspec.Job{Steps: []jobspec.Step{{Count: 2, CPUMillis: 1000, MemoryMB: 100, EstimateMillis: 1000}}}
	c.Submit(testStart, 1, jobA, &spec, QueueTerms{Queue: "q", Pool: "pool", Attempts: 3, Stretch: 2})
	orders := storeEffects(t, c, testStart)
	assert.Equal(t, len(orders), 2)
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

// Guards against a task that waits for another worker than the one on which it failed and
// keeps the other tasks of its step from starting there.
func TestTaskThatWaitsForOtherWorkerHoldsNoOther(t *testing.T) {
	c, orders := newCellWithOneWorker(t)
	now := testStart.Add(time.Second)
	endRuns(c, now, orders, EndFailed, EndLeaseExpired)
	now = now.Add(2 * retryPause)
	c.Tick(now)
	starts := storeEffects(t, c, now)
	assert.Equal(t, len(starts), 1, "the second task may use the worker")
	assert.Equal(t, starts[0].Task.Index, 1)
}

// Guards against an implicated task that waits for a worker of its own and keeps the other
// tasks of its step from starting.
func TestTaskThatWaitsForIsolationHoldsNoOther(t *testing.T) {
	c, orders := newCellWithOneWorker(t)
	c.workers[testWorker].implicatedRuns++ // A run of another implicated task.
	c.jobs[jobA].findTask(orders[0].Task).crashes = 1
	now := testStart.Add(time.Second)
	endRuns(c, now, orders, EndLeaseExpired, EndLeaseExpired)
	now = now.Add(2 * retryPause)
	c.Tick(now)
	starts := storeEffects(t, c, now)
	assert.Equal(t, len(starts), 1, "the second task may run beside the other one")
	assert.Equal(t, starts[0].Task.Index, 1)
}
