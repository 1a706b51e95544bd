package election

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a number of cells that is settled while workers register.
func TestCensusWaitsForCalm(t *testing.T) {
	now := time.Now()
	count := Census{Began: now}
	assert.Assert(t, !count.Settled(now, 10))
	assert.Assert(t, !count.Settled(now.Add(censusCalm/2), 20))
	assert.Assert(t, !count.Settled(now.Add(censusCalm), 20))
	assert.Assert(t, count.Settled(now.Add(2*censusCalm), 20))
	empty := Census{Began: now}
	assert.Assert(t, !empty.Settled(now.Add(2*censusCalm), 0))
	assert.Assert(t, empty.Settled(now.Add(censusLimit), 0))
}

// Guards against a deployment that never settles its cells because the
// instance that counts has ended, and against all others counting at once.
func TestCounterIsReplacedOnce(t *testing.T) {
	now := time.Now()
	var count Census
	assert.Assert(t, count.Overdue(now, ""), "nobody counts")
	assert.Assert(t, !count.Overdue(now, "1"))
	late := now.Add(counterLimit + time.Second)
	assert.Assert(t, count.Overdue(late, "1"))
	assert.Assert(t, !count.Overdue(late, "2"), "another has begun to count")
}
