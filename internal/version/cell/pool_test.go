package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// Guards against a worker that stays out of use after its pool has changed and changed
// back, and against tasks on a worker of another pool.
func TestWorkerGetsTasksOfThePoolItIsIn(t *testing.T) {
	c, _ := newCellWithOneWorker(t, 2)
	other := testInfo(testWorker)
	other.Pool = "other"
	startsAfter := func(number uint64, id jobspec.ID) int {
		now := testStart.Add(time.Duration(number) * time.Second)
		spec := testSpec()
		spec.Steps[0].CPUMillis = 1000
		c.Submit(now, number, id, &spec, QueueTerms{Queue: "q", Pool: "pool", Attempts: 3, Stretch: 2})
		return len(storeEffects(t, c, now))
	}
	c.UpdateWorkers(testStart, []WorkerInfo{other})
	assert.Equal(t, startsAfter(2, "00000000000000bb"), 0)
	c.UpdateWorkers(testStart, []WorkerInfo{testInfo(testWorker)})
	assert.Equal(t, startsAfter(3, "00000000000000cc"), 2, "the job that waited starts as well")
}
