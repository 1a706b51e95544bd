package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
