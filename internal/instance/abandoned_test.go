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

// Guards against jobs that stay running for ever because their workers vanished
// from the list together with the owners of the workers, and against a second
// attempt while a run lease at such a worker lasts.
func TestJobsOfVanishedWorkersRunAgain(t *testing.T) {
	runSystem(t, 4, func(t *testing.T, s *system) {
		var ids []ident.JobID
		for i := range 30 {
			status, err := s.nodes[i%2].Front().Submit(t.Context(), work.Job{
				ID: ident.JobID(s.newID()), Caller: "ranger", Service: "quota-rebuild", Body: fmt.Appendf(nil, "rebuild-%d", i)})
			assert.NilError(t, err)
			ids = append(ids, status.ID)
		}
		time.Sleep(10 * time.Second)
		for _, id := range []ident.WorkerID{"worker-0", "worker-1", "worker-2"} {
			s.workers[id].Change(func(settings *workerstub.Settings) { settings.Unreachable = true })
			s.list(string(id), false)
		}
		s.kill(3)
		s.kill(2)
		time.Sleep(5 * time.Minute)
		for i, id := range ids {
			status, err := s.nodes[0].Front().Job(t.Context(), id)
			assert.NilError(t, err)
			assert.Equal(t, status.State, work.JobSucceeded, "%s: %v %s", id, status.Reason, status.Detail)
			assert.Equal(t, s.overlaps(fmt.Sprintf("rebuild-%d", i)), 0)
		}
	})
}
