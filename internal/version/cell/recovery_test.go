package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

const testAuthority = 3 * time.Second

// newRecoveringCell returns a cell of a later term whose otherWorker never answers. An
// earlier leader may start tasks for testAuthority.
func newRecoveringCell(record JobRecord, workers ...WorkerInfo) *Cell {
	c := New(Config{Epoch: 5, RecoveryWait: 8 * time.Second, EarlierAuthority: testAuthority, MaxEarlierLease: testLease,
		EndedJobRetention: time.Minute, RemoteFactor: 1})
	workers = append(workers, testInfo(testWorker), testInfo(otherWorker))
	c.Restore(testStart, []JobRecord{record}, nil, workers)
	c.UpdateWorkers(testStart, workers)
	c.MarkUnresponsive(testStart, otherWorker, time.Time{})
	return c
}

// sightAndEnd lets testWorker list a run of the first task at one time and its end half a
// second later. It returns the starts that follow.
func sightAndEnd(c *Cell, at time.Duration, run int64, reason EndReason) []StartOrder {
	now := testStart.Add(at)
	c.ApplyReport(now, newReport(testWorker, now, RunReport{Task: firstTaskID(), Run: run}))
	c.TakeEffects(now)
	now = now.Add(500 * time.Millisecond)
	report := newReport(testWorker, now)
	report.Ended = []RunEnd{{Number: 1, Task: firstTaskID(), Run: run, Reason: reason}}
	c.ApplyReport(now, report)
	return c.TakeEffects(now).Starts
}

// Guards against a task that waits for silent workers although its only run has ended.
func TestTaskWhoseLastWorkerHasAnsweredStartsAtOnce(t *testing.T) {
	c := newRecoveringCell(testRecord(3))
	starts := sightAndEnd(c, testAuthority, 2, EndStopped)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Task, firstTaskID())
}

// Guards against two runs of a task: until its authority ends, an earlier leader may learn
// of the end and start the task on a worker that only it reaches.
func TestTaskSeenWhileEarlierLeaderActsWaitsForSilentWorkers(t *testing.T) {
	c := newRecoveringCell(testRecord(3))
	assert.Equal(t, len(sightAndEnd(c, testAuthority-time.Millisecond, 2, EndStopped)), 0)
	now := testStart.Add(8 * time.Second)
	assert.Equal(t, len(c.TakeEffects(now).Starts), 1)
}

// Guards against a step that waits for silent workers although no earlier leader has
// started any task of it, and against two runs of its tasks where that isn't certain.
func TestStepThatNoEarlierLeaderOpenedStartsAtOnce(t *testing.T) {
	for _, test := range []struct {
		name        string
		sightedAt   time.Duration
		run         int64
		speculative bool
		starts      int
	}{
		{"first run seen after the authority of earlier leaders", testAuthority, 1, false, 1},
		{"an earlier leader may have learned of the end", testAuthority - time.Millisecond, 1, false, 0},
		{"an earlier run may have been reported as done", testAuthority, 2, false, 0},
		{"another run may have been reported as done", testAuthority, 1, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			record := testRecord(3)
			record.Job.Steps[0].Speculative = test.speculative
			record.Job.Steps = append(record.Job.Steps, jobspec.Step{Count: 1, CPUMillis: 5000, MemoryMB: 100, DependsOn: []int{0}})
			c := newRecoveringCell(record)
			assert.Equal(t, len(sightAndEnd(c, test.sightedAt, test.run, EndSucceeded)), test.starts)
		})
	}
}

// Guards against a gang of which one member starts while another may still run.
func TestGangWaitsForSilentWorkersOfAllMembers(t *testing.T) {
	record := testRecord(3)
	record.Job.Steps[0].Gang = true
	record.Job.Steps[0].Count = 2
	record.Job.Steps[0].CPUMillis = 2000
	c := newRecoveringCell(record)
	assert.Equal(t, len(sightAndEnd(c, testAuthority, 2, EndStopped)), 0)
}
