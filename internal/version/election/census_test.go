package election

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The number of cells is fixed at the first start. If it were derived while
// workers still register, it would be too small for the deployment.
func TestCensusWaitsUntilWorkerCountIsStable(t *testing.T) {
	now := time.Now()
	census := WorkerCensus{Started: now}
	assert.Assert(t, !census.CountStable(now, 10))
	assert.Assert(t, !census.CountStable(now.Add(censusStablePeriod/2), 20))
	assert.Assert(t, !census.CountStable(now.Add(censusStablePeriod), 20))
	assert.Assert(t, census.CountStable(now.Add(2*censusStablePeriod), 20))
	noWorkers := WorkerCensus{Started: now}
	assert.Assert(t, !noWorkers.CountStable(now.Add(2*censusStablePeriod), 0))
	assert.Assert(t, noWorkers.CountStable(now.Add(censusTimeout), 0))
}

// If the instance that counts the workers ends, another one must take over, or
// the deployment never gets a number of cells. Once one has taken over, the
// remaining instances must wait for it and not count as well.
func TestOverdueCounterIsReplacedByOneInstance(t *testing.T) {
	now := time.Now()
	var census WorkerCensus
	assert.Assert(t, census.CounterOverdue(now, ""), "no instance counts the workers, so this one should")
	assert.Assert(t, !census.CounterOverdue(now, "1"))
	afterTimeout := now.Add(counterTimeout + time.Second)
	assert.Assert(t, census.CounterOverdue(afterTimeout, "1"))
	assert.Assert(t, !census.CounterOverdue(afterTimeout, "2"), "another instance has just begun to count")
}
