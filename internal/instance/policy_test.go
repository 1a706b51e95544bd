package instance_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/workers"
	"poplarvalve/test/workerstub"
)

// If the reply to a start is lost, an idempotent request must be started on
// another worker. If it waited for the 3 s start lease to end instead, it would
// miss its deadline of 2 s.
func TestIdempotentRequestIsAnsweredByAnotherWorkerWhenStartReplyIsLost(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *testSystem) {
		for _, id := range []ident.WorkerID{"worker-0", "worker-1"} {
			s.workers[id].AddLoss(workerstub.ReplyLoss{Command: "Start", Count: 2, DropCommand: true})
		}
		slow := 0
		for i := range 30 {
			time.Sleep(100 * time.Millisecond)
			body := fmt.Sprintf("check-%d", i)
			sentAt := time.Now()
			got := s.sendThrough(i%3, work.Request{ID: ident.RequestID(body), Service: "permit-check", Body: []byte(body)})
			assert.Equal(t, got.Outcome, fault.Ran, "request %d: %v", i, got.Failure)
			assert.Equal(t, string(got.Body), body)
			assert.Assert(t, time.Since(sentAt) < 2*time.Second)
			if time.Since(sentAt) > 40*time.Millisecond {
				slow++
			}
		}
		assert.Assert(t, slow > 0, "no request was slow, so none was affected by a lost start reply")
	})
}

// A worker that fails every task must get no more work, and must not stay out
// of service once it has recovered.
func TestFailingWorkerIsTakenOutOfServiceUntilItRecovers(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *testSystem) {
		failingWorker := s.workers["worker-0"]
		failingWorker.ChangeSettings(func(settings *workerstub.Settings) { settings.FailAll = true })
		s.sendUrgentRequests(t, "before", 60)
		time.Sleep(time.Second)
		historyLength := len(failingWorker.History())
		assert.Assert(t, historyLength > 0, "the failing worker got no request before it was taken out of service")
		failed := s.sendUrgentRequests(t, "out", 40)
		assert.Equal(t, failed, 0)
		assert.Equal(t, len(failingWorker.History()), historyLength)
		failingWorker.ChangeSettings(func(settings *workerstub.Settings) { settings.FailAll = false })
		for i := range 44 {
			_, err := s.nodes[i%3].FrontEnd().Submit(t.Context(), work.Job{
				ID: ident.JobID(s.newUUID()), Caller: "ranger", Service: "quota-rebuild", Body: fmt.Appendf(nil, "rebuild-%d", i)})
			assert.NilError(t, err)
		}
		time.Sleep(2 * time.Minute)
		historyLength = len(failingWorker.History())
		s.sendUrgentRequests(t, "back", 60)
		assert.Assert(t, len(failingWorker.History()) > historyLength, "the worker got no work after it had recovered")
	})
}

// sendUrgentRequests sends urgent requests over 4 s and returns how many of
// them failed at a worker.
func (s *testSystem) sendUrgentRequests(t *testing.T, name string, count int) int {
	t.Helper()
	failed := 0
	for i := range count {
		time.Sleep(4 * time.Second / time.Duration(count))
		body := fmt.Sprintf("%s-%d", name, i)
		got := s.sendThrough(i%3, work.Request{ID: ident.RequestID(body), Service: "permit-check", Body: []byte(body)})
		assert.Equal(t, got.Outcome, fault.Ran, "request %s: %v", body, got.Failure)
		if got.Failure != nil {
			failed++
		}
	}
	return failed
}

// Usage reports must reach the views of the workers. A worker whose tasks may
// slow down urgent work has to show a disturbance there, so that urgent work
// avoids it.
func TestRunningTasksShowAsDisturbanceOfTheirWorker(t *testing.T) {
	runSystem(t, 2, func(t *testing.T, s *testSystem) {
		assert.Equal(t, s.countDisturbedWorkers(), 0)
		_, err := s.nodes[0].FrontEnd().Submit(t.Context(), work.Job{
			ID: ident.JobID(s.newUUID()), Caller: "ranger", Service: "quota-rebuild", Body: []byte("rebuild")})
		assert.NilError(t, err)
		time.Sleep(15 * time.Second)
		assert.Equal(t, s.countDisturbedWorkers(), 1)
		time.Sleep(time.Minute)
		assert.Equal(t, s.countDisturbedWorkers(), 0)
	})
}

// countDisturbedWorkers returns the number of workers whose owners report a
// disturbance.
func (s *testSystem) countDisturbedWorkers() int {
	s.t.Helper()
	count := 0
	for _, node := range s.nodes {
		body, err := node.JSON()
		assert.NilError(s.t, err)
		var dump struct{ Owned []workers.OwnedWorker }
		assert.NilError(s.t, json.Unmarshal(body, &dump))
		for _, owned := range dump.Owned {
			if owned.Disturbance > 0 {
				count++
			}
		}
	}
	return count
}
