package instance_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/test/workerstub"
)

// Guards against jobs that stay running for ever because their workers were lost
// together with the owners of the workers, and against a second attempt while a
// run lease at such a worker lasts.
func TestJobsOfLostWorkersRunAgain(t *testing.T) {
	for _, delisted := range []bool{true, false} {
		t.Run(fmt.Sprintf("delisted=%v", delisted), func(t *testing.T) {
			runSystem(t, 4, func(t *testing.T, s *system) { loseWorkers(t, s, delisted) })
		})
	}
}

func loseWorkers(t *testing.T, s *system, delisted bool) {
	var ids []ident.JobID
	for i := range 30 {
		status, err := s.nodes[2+i%2].Front().Submit(t.Context(), work.Job{
			ID: ident.JobID(s.newID()), Caller: "ranger", Service: "quota-rebuild", Body: fmt.Appendf(nil, "rebuild-%d", i)})
		assert.NilError(t, err)
		ids = append(ids, status.ID)
	}
	time.Sleep(10 * time.Second)
	for _, id := range []ident.WorkerID{"worker-0", "worker-1", "worker-2", "worker-3"} {
		s.workers[id].Change(func(settings *workerstub.Settings) { settings.Unreachable = true })
		if delisted {
			s.list(string(id), false)
		}
	}
	s.kill(0)
	s.kill(1)
	time.Sleep(5 * time.Minute)
	for i, id := range ids {
		status, err := s.nodes[2].Front().Job(t.Context(), id)
		assert.NilError(t, err)
		assert.Equal(t, status.State, work.JobSucceeded, "%s: %v %s", id, status.Reason, status.Detail)
		assert.Equal(t, s.overlaps(fmt.Sprintf("rebuild-%d", i)), 0)
	}
}
