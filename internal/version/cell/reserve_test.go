package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// The demand of two waiting tasks with huge sizes, which a caller may name, had a negative
// sum. The capacity that is kept free for short tasks was then given to long-running ones.
func TestHugeTasksDoNotCancelReserve(t *testing.T) {
	record := testRecord(3)
	record.Job.Steps[0].Count = 2
	record.Job.Steps[0].CPUMillis = 1 << 62
	c := newRestoredCell(record)
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	now := testStart.Add(time.Minute)
	c.TakeEffects(now)
	assert.Equal(t, c.totals.capacity, 16000)
	assert.Assert(t, c.reserve.peak >= 16000/reserveMaxDivisor, "the reserve is %v", c.reserve.peak)
}

// Guards against a long-running task that waits without end for a place, since tasks ranked
// behind it take each place that is freed during the pause of its step.
func TestPlaceFreedDuringPauseGoesToOverdueTask(t *testing.T) {
	const lasting, short, laterShort = jobspec.ID("00000000000000bb"), jobspec.ID("00000000000000cc"), jobspec.ID("00000000000000dd")
	c := New(Config{Epoch: 5, MaxEarlierLease: testLease, EndedJobRetention: time.Minute, RemoteFactor: 1})
	c.Restore(testStart, nil, nil, []WorkerInfo{testInfo(testWorker)})
	c.UpdateWorkers(testStart, []WorkerInfo{testInfo(testWorker)})
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	terms := QueueTerms{Queue: "q", Pool: "pool", Attempts: 3, Stretch: 2}
	submit := func(now time.Time, id jobspec.ID, longRunning bool) []StartOrder {
		spec := testSpec()
		spec.Steps[0].LongRunning = longRunning
		c.Submit(now, 1, id, &spec, terms)
		return takeStarts(c, now)
	}
	starts := submit(testStart, short, false)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, len(submit(testStart, lasting, true)), 0)
	now := testStart.Add(longRunningMaxWait)
	assert.Equal(t, len(takeStarts(c, now)), 0)
	now = now.Add(retryPause / 3)
	assert.Equal(t, len(submit(now, laterShort, false)), 0)
	now = now.Add(retryPause / 3)
	report := newReport(testWorker, now)
	report.Ended = []RunEnd{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, Reason: EndSucceeded}}
	c.ApplyReport(now, report)
	starts = submit(now, "00000000000000ee", false)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Task.Job, lasting)
}
