package entry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// wideJob has more tasks than the workers of the zones that stay have room for at once.
const wideJob = `{"spec":"x","steps":[{"count":6,"cpu":9000,"mem_mb":100,"estimate_ms":100}]}`

// startsOn returns the number of starts of tasks of a wide job on a worker.
func (d *deployment) startsOn(worker int, id string) (starts int) {
	for index := range 6 {
		starts += d.workers[worker].StartedCount(fmt.Sprintf("%s.0.0.%d", id, index))
	}
	return starts
}

// A zone is evacuated, and the leader that knows it is lost. The next leader has led before it
// has read anything itself, and all other workers are full: without the zones that heartbeats
// carry, or the wait for a read, it would use the room of the evacuated one.
func TestNextLeaderStartsNothingInEvacuatedZone(t *testing.T) {
	d := deploy(t, 0, 300*time.Millisecond)
	d.evacuationApply = 5 * time.Second
	for i, w := range d.workers {
		w.Zone = fmt.Sprint("z", i)
		d.log.AppendRecord("keyed.servers", w.ID, w.RegistryEntry())
	}
	d.log.AppendRecord("keyed.op", "evacuate/z0", []byte("{}"))
	for range 3 {
		d.start()
	}
	d.submitBody(jobID(1), wideJob)
	d.awaitState(jobID(1), "completed")
	assert.Equal(t, d.startsOn(0, jobID(1)), 0)
	for n := 2; n <= 3; n++ {
		leader := d.leader()
		leader.stop()
		d.entries = removeInstance(d.entries, leader)
		d.submitBody(jobID(n), wideJob)
		d.awaitState(jobID(n), "completed")
		assert.Equal(t, d.startsOn(0, jobID(n)), 0, "leader %d", n)
	}
	d.log.AppendRecord("keyed.op", "evacuate/z0", nil)
	for n := 4; d.startsOn(0, jobID(n-1)) == 0; n++ {
		assert.Assert(t, n < 40, "the zone is not used again")
		d.submitBody(jobID(n), wideJob)
		d.awaitState(jobID(n), "completed")
	}
}
