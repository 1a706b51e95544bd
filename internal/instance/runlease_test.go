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

// A job must not stay in the running state for ever because its worker was lost
// together with the owner of that worker. The job must run again, but no second
// attempt may start while a run lease at the lost worker lasts.
func TestJobsOfLostWorkersAreRunAgain(t *testing.T) {
	for _, delisted := range []bool{true, false} {
		t.Run(fmt.Sprintf("delisted=%v", delisted), func(t *testing.T) {
			runSystem(t, 4, func(t *testing.T, s *testSystem) { checkJobsRunAgain(t, s, delisted) })
		})
	}
}

func checkJobsRunAgain(t *testing.T, s *testSystem, delisted bool) {
	var ids []ident.JobID
	for i := range 30 {
		status, err := s.nodes[2+i%2].FrontEnd().Submit(t.Context(), work.Job{
			ID: ident.JobID(s.newUUID()), Caller: "ranger", Service: "quota-rebuild", Body: fmt.Appendf(nil, "rebuild-%d", i)})
		assert.NilError(t, err)
		ids = append(ids, status.ID)
	}
	time.Sleep(10 * time.Second)
	for _, id := range []ident.WorkerID{"worker-0", "worker-1", "worker-2", "worker-3"} {
		s.workers[id].ChangeSettings(func(settings *workerstub.Settings) { settings.Unreachable = true })
		if delisted {
			s.setListedAfterDelay(string(id), false)
		}
	}
	s.killInstance(0)
	s.killInstance(1)
	time.Sleep(5 * time.Minute)
	for i, id := range ids {
		status, err := s.nodes[2].FrontEnd().JobStatus(t.Context(), id)
		assert.NilError(t, err)
		assert.Equal(t, status.State, work.JobSucceeded, "%s: %v %s", id, status.Reason, status.Detail)
		assert.Equal(t, s.overlappingStarts(fmt.Sprintf("rebuild-%d", i)), 0)
	}
}
