package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A record that the log does not take must not count as stored: its caller would be told
// that the job is accepted, and its ends would be acknowledged and lost. What was written
// beside it must go on, and the record must be written again.
func TestKeptBackRecordHoldsOnlyItsOwner(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	c.TakeEffects(testStart)
	spec := testSpec()
	c.Submit(testStart, 1, jobB, &spec, testRecord(3).Terms)
	c.Cancel(testStart, 2, jobA)
	write := c.TakeEffects(testStart).Write
	now := testStart.Add(time.Second)
	c.MarkKeptBack(now, []RecordOwner{{Job: jobB}, {}})
	c.MarkStored(now, write.Number)
	assert.DeepEqual(t, c.TakeEffects(now).AnswerableRequests, []uint64{2})
	_, found := c.Lookup(jobB)
	assert.Assert(t, !found, "the job is not stored")
	state, _ := c.Lookup(jobA)
	assert.Equal(t, state, Canceled)

	// A write that does not hold the record ends no wait.
	c.Cancel(now, 3, jobA)
	c.MarkStored(now, c.TakeEffects(now).Write.Number)
	assert.DeepEqual(t, c.TakeEffects(now).AnswerableRequests, []uint64{3})

	now = now.Add(keptBackRetryPause)
	c.Tick(now)
	again := c.TakeEffects(now).Write
	assert.Equal(t, len(again.Jobs), 1)
	assert.Equal(t, again.Jobs[0].ID, jobB)
	c.MarkKeptBack(now, []RecordOwner{{Job: jobB}})
	c.MarkStored(now, again.Number)
	assert.Equal(t, len(c.TakeEffects(now).AnswerableRequests), 0, "it was kept back a second time")

	now = now.Add(keptBackRetryPause)
	c.Tick(now)
	c.MarkStored(now, c.TakeEffects(now).Write.Number)
	assert.DeepEqual(t, c.TakeEffects(now).AnswerableRequests, []uint64{1})
	state, _ = c.Lookup(jobB)
	assert.Equal(t, state, Queued)
}

// The end of a run whose job is not stored must stay at its worker, or the next leader
// starts the task again. Ends at other workers are acknowledged meanwhile.
func TestEndOfKeptBackJobIsNotAcknowledged(t *testing.T) {
	record := testRecord(3)
	record.Job.Steps[0].Count = 2
	c := newRestoredCell(record)
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	starts := takeStarts(c, testStart)
	assert.Equal(t, len(starts), 2)
	now := testStart.Add(time.Second)
	end := func(order StartOrder, number int64) {
		report := newReport(order.Worker, now)
		report.Ended = []RunEnd{{Number: number, Task: order.Task, Run: order.Run, Reason: EndSucceeded}}
		c.ApplyReport(now, report)
	}
	end(starts[0], 1)
	c.MarkKeptBack(now, []RecordOwner{{Job: jobA}})
	c.MarkStored(now, c.TakeEffects(now).Write.Number)
	assert.Equal(t, len(c.TakeEffects(now).Acknowledgements), 0)

	unrelated := newReport(otherWorker, now)
	if starts[0].Worker == otherWorker {
		unrelated = newReport(testWorker, now)
	}
	unrelated.Running = []RunReport{{Task: starts[1].Task, Run: starts[1].Run}}
	unrelated.Ended = []RunEnd{{Number: 1, Task: TaskID{Job: jobB}, Run: 1, Reason: EndSucceeded}}
	c.ApplyReport(now, unrelated)
	c.MarkStored(now, c.TakeEffects(now).Write.Number)
	acks := c.TakeEffects(now).Acknowledgements
	assert.Equal(t, len(acks), 1)
	assert.Equal(t, acks[0].Worker, unrelated.Worker)

	now = now.Add(keptBackRetryPause)
	c.Tick(now)
	retried := c.TakeEffects(now).Write
	assert.Equal(t, len(retried.Progress[0].Tasks), 1)
	c.MarkStored(now, retried.Number)
	acks = c.TakeEffects(now).Acknowledgements
	assert.Equal(t, len(acks), 1)
	assert.Equal(t, acks[0].Worker, starts[0].Worker)
}
