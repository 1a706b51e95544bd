package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// gangRecord is a stored job of one gang of two tasks that fill a worker each.
func gangRecord() JobRecord {
	record := testRecord(3)
	record.Job.Steps[0].Count = 2
	record.Job.Steps[0].Gang = true
	return record
}

// startedGang returns a cell that has ordered both members, on two workers.
func startedGang(t *testing.T) (*Cell, []StartOrder) {
	t.Helper()
	c := successor(gangRecord())
	c.Report(testStart, report(testWorker, testStart))
	c.Report(testStart, report(otherOne, testStart))
	starts := c.Take(testStart).Starts
	assert.Equal(t, len(starts), 2)
	assert.Equal(t, starts[0].Run, starts[1].Run)
	assert.Assert(t, starts[0].Worker != starts[1].Worker)
	return c, starts
}

func result(start StartOrder, outcome StartOutcome, why Refusal) StartResult {
	return StartResult{Worker: start.Worker, Task: start.Task, Run: start.Run, Outcome: outcome, Refusal: why}
}

// Guards against members of a gang that wait until they are given up because the
// start of another member was refused.
func TestGangStartsAnewIfAMemberIsRefused(t *testing.T) {
	c, starts := startedGang(t)
	c.StartResult(testStart, result(starts[0], StartAccepted, ""))
	c.StartResult(testStart, result(starts[1], StartRefused, RefusedRoom))
	effects := c.Take(testStart)
	assert.DeepEqual(t, effects.Stops, []StopOrder{{starts[0].Worker, starts[0].Task, starts[0].Run}})
	assert.Equal(t, len(c.Take(testStart.Add(retryPause)).Stops), 0, "stopped once")
	now := testStart.Add(refusalPause)
	ended := report(starts[0].Worker, now)
	ended.Ended = []End{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, How: EndStopped}}
	c.Report(now, ended)
	again := c.Take(now.Add(retryPause)).Starts
	assert.Equal(t, len(again), 2)
	assert.Equal(t, again[0].Run, again[1].Run)
	assert.Assert(t, again[0].Run > starts[0].Run)
}

// Guards against a new leader that finds one member of a gang and leaves it
// waiting for the other.
func TestGangThatLostAMemberIsStoppedAfterATakeover(t *testing.T) {
	c := successor(gangRecord())
	row := Row{Task: taskZero(), Run: 7}
	c.Report(testStart, report(testWorker, testStart, row))
	assert.Equal(t, len(c.Take(testStart).Stops), 0, "the other worker may run the other member")
	c.Report(testStart, report(otherOne, testStart))
	assert.DeepEqual(t, c.Take(testStart.Add(retryPause)).Stops, []StopOrder{{testWorker, taskZero(), 7}})
}

// Guards against a member of a gang that runs again after the end of the gang.
func TestEndOfOneMemberEndsTheGang(t *testing.T) {
	c, starts := startedGang(t)
	for _, start := range starts {
		c.StartResult(testStart, result(start, StartAccepted, ""))
	}
	now := testStart.Add(time.Second)
	ended := report(starts[0].Worker, now)
	ended.Ended = []End{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, How: EndDone}}
	c.Report(now, ended)
	effects := c.Take(now)
	assert.Equal(t, len(effects.Starts), 0)
	c.Stored(effects.Write.Number)
	state, _ := c.Lookup(testJob)
	assert.Equal(t, state, Completed)
}
