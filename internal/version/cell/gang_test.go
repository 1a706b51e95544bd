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
	c.Report(testStart, newReport(testWorker, testStart))
	c.Report(testStart, newReport(otherWorker, testStart))
	starts := c.Take(testStart).Starts
	assert.Equal(t, len(starts), 2)
	assert.Equal(t, starts[0].Run, starts[1].Run)
	assert.Assert(t, starts[0].Worker != starts[1].Worker)
	return c, starts
}

func newStartResult(start StartOrder, outcome StartOutcome, reason Refusal) StartResult {
	return StartResult{Worker: start.Worker, Task: start.Task, Run: start.Run, Outcome: outcome, Refusal: reason}
}

// When the start of one member is refused, the other one would wait until it is
// given up. It must be stopped, and both started again together.
func TestGangIsRestartedIfOneMemberIsRefused(t *testing.T) {
	c, starts := newCellWithStartedGang(t)
	c.StartResult(testStart, newStartResult(starts[0], StartAccepted, ""))
	c.StartResult(testStart, newStartResult(starts[1], StartRefused, RefusedRoom))
	effects := c.Take(testStart)
	assert.DeepEqual(t, effects.Stops, []StopOrder{{starts[0].Worker, starts[0].Task, starts[0].Run}})
	assert.Equal(t, len(c.Take(testStart.Add(retryPause)).Stops), 0, "the stop order must not be repeated yet")
	now := testStart.Add(refusalPause)
	ended := newReport(starts[0].Worker, now)
	ended.Ended = []End{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, How: EndStopped}}
	c.Report(now, ended)
	restarts := c.Take(now.Add(retryPause)).Starts
	assert.Equal(t, len(restarts), 2)
	assert.Equal(t, restarts[0].Run, restarts[1].Run)
	assert.Assert(t, restarts[0].Run > starts[0].Run)
}

// A new leader that finds only one member of a gang running must stop it, once
// the other member can't be running; otherwise it would wait for a member that
// never starts.
func TestPartialGangIsStoppedAfterTakeover(t *testing.T) {
	c := newRestoredCell(gangRecord())
	row := Row{Task: firstTaskID(), Run: 7}
	c.Report(testStart, newReport(testWorker, testStart, row))
	assert.Equal(t, len(c.Take(testStart).Stops), 0, "the other worker may still run the other member")
	c.Report(testStart, newReport(otherWorker, testStart))
	assert.DeepEqual(t, c.Take(testStart.Add(retryPause)).Stops, []StopOrder{{testWorker, firstTaskID(), 7}})
}

// A gang is done when one member reports that it is done. The other members
// must not be started again.
func TestEndOfOneMemberCompletesGang(t *testing.T) {
	c, starts := newCellWithStartedGang(t)
	for _, start := range starts {
		c.StartResult(testStart, newStartResult(start, StartAccepted, ""))
	}
	now := testStart.Add(time.Second)
	ended := newReport(starts[0].Worker, now)
	ended.Ended = []End{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, How: EndDone}}
	c.Report(now, ended)
	effects := c.Take(now)
	assert.Equal(t, len(effects.Starts), 0)
	c.Stored(effects.Write.Number)
	state, _ := c.Lookup(testJob)
	assert.Equal(t, state, Completed)
}
