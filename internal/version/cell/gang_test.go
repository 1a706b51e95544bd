package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gangRecord returns a stored job with one gang of two tasks. Each worker has
// capacity for only one of them.
func gangRecord() JobRecord {
	record := testRecord(3)
	record.Job.Steps[0].Count = 2
	record.Job.Steps[0].Gang = true
	return record
}

// newCellWithStartedGang returns a cell that has ordered the start of both
// members on different workers, and the two orders.
func newCellWithStartedGang(t *testing.T) (*Cell, []StartOrder) {
	t.Helper()
	c := newRestoredCell(gangRecord())
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	starts := takeStarts(c, testStart)
	assert.Equal(t, len(starts), 2)
	assert.Equal(t, starts[0].Run, starts[1].Run)
	assert.Assert(t, starts[0].Worker != starts[1].Worker)
	return c, starts
}

func newStartResult(start StartOrder, outcome StartOutcome, reason Refusal) StartResult {
	return StartResult{Worker: start.Worker, Task: start.Task, Run: start.Run, Outcome: outcome, Refusal: reason}
}

// When the start of one member is refused, the other one would wait until the
// gang timeout of its worker. It must be stopped, and both started again
// together.
func TestGangIsRestartedIfOneMemberIsRefused(t *testing.T) {
	c, starts := newCellWithStartedGang(t)
	c.ApplyStartResult(testStart, newStartResult(starts[0], StartAccepted, ""))
	c.ApplyStartResult(testStart, newStartResult(starts[1], StartRefused, RefusedNoCapacity))
	effects := c.TakeEffects(testStart)
	assert.DeepEqual(t, effects.Stops, []StopOrder{{starts[0].Worker, starts[0].Task, starts[0].Run}})
	assert.Equal(t, len(c.TakeEffects(testStart.Add(retryPause)).Stops), 0, "the stop order must not be repeated yet")
	now := testStart.Add(refusalPause)
	ended := newReport(starts[0].Worker, now)
	ended.Ended = []RunEnd{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, Reason: EndStopped}}
	c.ApplyReport(now, ended)
	restarts := takeStarts(c, now.Add(retryPause))
	assert.Equal(t, len(restarts), 2)
	assert.Equal(t, restarts[0].Run, restarts[1].Run)
	assert.Assert(t, restarts[0].Run > starts[0].Run)
}

// A new leader that finds only one member of a gang running must stop it, once
// the other member can't be running; otherwise it would wait for a member that
// never starts.
func TestPartialGangIsStoppedAfterTakeover(t *testing.T) {
	c := newRestoredCell(gangRecord())
	listed := RunReport{Task: firstTaskID(), Run: 7}
	c.ApplyReport(testStart, newReport(testWorker, testStart, listed))
	assert.Equal(t, len(c.TakeEffects(testStart).Stops), 0, "the other worker may still run the other member")
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	assert.DeepEqual(t, c.TakeEffects(testStart.Add(retryPause)).Stops, []StopOrder{{testWorker, firstTaskID(), 7}})
}

// A gang is done when one member reports that it is done. The other members
// must not be started again.
func TestEndOfOneMemberCompletesGang(t *testing.T) {
	c, starts := newCellWithStartedGang(t)
	for _, start := range starts {
		c.ApplyStartResult(testStart, newStartResult(start, StartAccepted, ""))
	}
	now := testStart.Add(time.Second)
	ended := newReport(starts[0].Worker, now)
	ended.Ended = []RunEnd{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, Reason: EndSucceeded}}
	c.ApplyReport(now, ended)
	effects := c.TakeEffects(now)
	assert.Equal(t, len(effects.Starts), 0)
	c.MarkStored(testStart, effects.Write.Number)
	state, _ := c.Lookup(jobA)
	assert.Equal(t, state, Completed)
}
