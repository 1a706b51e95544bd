package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// Guards against starts on a worker that has shrunk below what runs there, and against a
// worker whose room stays unused after it has grown again.
func TestShrunkWorkerGetsNoStartUntilItHasRoom(t *testing.T) {
	f := newCrashFleet(t, 1)
	f.runTime = time.Hour
	lasting := func(s *jobspec.Step) { s.EstimateMillis = f.runTime.Milliseconds() }
	f.submit(jobA, 4, lasting)
	f.run(time.Second)
	shown := &f.machines[0].info.Capacity
	for _, cpu := range []int{4000, 3000, 0} {
		shown.CPU = cpu
		f.submit(jobB, 2, lasting)
		f.run(time.Second)
		assert.Equal(t, len(f.machines[0].running), 4, "tasks on a worker with room for %d", cpu)
	}
	shown.CPU = 5500
	f.run(time.Second)
	assert.Equal(t, len(f.machines[0].running), 5)
	shown.CPU = 8000
	f.run(time.Second)
	assert.Equal(t, len(f.machines[0].running), 6)
}
