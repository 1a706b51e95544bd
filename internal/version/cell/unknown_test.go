package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

const completedJob = jobspec.ID("00000000000000cc")

// newCellAfterCompletion returns a cell of a later term with one job that is completed and
// one, jobA, whose task is to be started. The only worker in use lists a run of the former.
func newCellAfterCompletion() (*Cell, RunReport) {
	c := New(Config{Epoch: 5, RecoveryWait: 8 * time.Second, MaxEarlierLease: testLease, EndedJobRetention: time.Minute, RemoteFactor: 1})
	completed := testRecord(3)
	completed.ID = completedJob
	completed.Job.Steps[0].CPUMillis = 3000
	infos := []WorkerInfo{testInfo(testWorker)}
	c.Restore(testStart, []JobRecord{completed, testRecord(3)},
		[]ProgressRecord{{ID: completedJob, State: Completed, Started: true, NextOccurrence: 1, EndedMillis: testStart.UnixMilli()}}, infos)
	c.UpdateWorkers(testStart, infos)
	return c, RunReport{Task: TaskID{Job: completedJob}, Run: 2}
}

// Guards against a run of a completed job, which its worker doesn't end, that keeps all
// tasks from the rest of the worker's room.
func TestRunOfCompletedJobTakesOnlyItsOwnRoom(t *testing.T) {
	c, left := newCellAfterCompletion()
	c.ApplyReport(testStart, newReport(testWorker, testStart, left))
	effects := takeStored(c, testStart)
	assert.DeepEqual(t, effects.Stops, []StopOrder{{testWorker, left.Task, left.Run}})
	assert.Equal(t, len(effects.Starts), 1, "8 cores hold 3 and 5")
	assert.Equal(t, c.workers[testWorker].free(), Size{MemoryMB: 8000 - 2*100})
	now := testStart.Add(time.Second)
	end := newReport(testWorker, now)
	end.Ended = []RunEnd{{Number: 1, Task: left.Task, Run: left.Run, Reason: EndStopped}}
	c.ApplyReport(now, end)
	assert.Equal(t, c.workers[testWorker].free().CPU, 3000)
}

// Guards against a worker that is out of use for good because an order to stop a run of an
// unknown job is lost or refused.
func TestStopOfUnknownRunIsRepeated(t *testing.T) {
	c, left := newCellAfterCompletion()
	left.Task.Job = "00000000000000dd"
	now := testStart
	for range 3 {
		c.ApplyReport(now, newReport(testWorker, now, left))
		effects := takeStored(c, now)
		assert.DeepEqual(t, effects.Stops, []StopOrder{{testWorker, left.Task, left.Run}})
		assert.Equal(t, len(effects.Starts), 0)
		now = now.Add(time.Second)
	}
	c.ApplyReport(now, newReport(testWorker, now))
	assert.Equal(t, len(takeStarts(c, now)), 1)
}
