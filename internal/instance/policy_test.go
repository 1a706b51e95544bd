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

// Guards against an idempotent request that waits for the 3 s start lease, beyond
// its deadline of 2 s, because the reply to its start was lost.
func TestLostStartReplyIsAnsweredByAnotherWorker(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *system) {
		for _, id := range []ident.WorkerID{"worker-0", "worker-1"} {
			s.workers[id].Lose(workerstub.Loss{Command: "Start", Count: 2, BeforeEffect: true})
		}
		slow := 0
		for i := range 30 {
			time.Sleep(100 * time.Millisecond)
			body := fmt.Sprintf("check-%d", i)
			began := time.Now()
			got := s.call(i%3, work.Request{ID: ident.RequestID(body), Service: "permit-check", Body: []byte(body)})
			assert.Equal(t, got.Outcome, fault.Ran, "request %d: %v", i, got.Failure)
			assert.Equal(t, string(got.Body), body)
			assert.Assert(t, time.Since(began) < 2*time.Second)
			if time.Since(began) > 40*time.Millisecond {
				slow++
			}
		}
		assert.Assert(t, slow > 0, "no request met a lost start")
	})
}

// Guards against a worker that fails everything and keeps getting work, and
// against one that stays out of service after it has recovered.
func TestWorkerThatFailsEverythingIsTakenOutAndComesBack(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *system) {
		bad := s.workers["worker-0"]
		bad.Change(func(settings *workerstub.Settings) { settings.FailAll = true })
		s.check(t, "before", 60)
		time.Sleep(time.Second)
		before := len(bad.History())
		assert.Assert(t, before > 0, "the failing worker got no request")
		failed := s.check(t, "out", 40)
		assert.Equal(t, failed, 0)
		assert.Equal(t, len(bad.History()), before)
		bad.Change(func(settings *workerstub.Settings) { settings.FailAll = false })
		for i := range 44 {
			_, err := s.nodes[i%3].Front().Submit(t.Context(), work.Job{
				ID: ident.JobID(s.newID()), Caller: "ranger", Service: "quota-rebuild", Body: fmt.Appendf(nil, "rebuild-%d", i)})
			assert.NilError(t, err)
		}
		time.Sleep(2 * time.Minute)
		before = len(bad.History())
		s.check(t, "back", 60)
		assert.Assert(t, len(bad.History()) > before, "the worker did not come back")
	})
}

// check sends urgent requests over 4 s and returns how many a worker failed.
func (s *system) check(t *testing.T, name string, count int) int {
	t.Helper()
	failed := 0
	for i := range count {
		time.Sleep(4 * time.Second / time.Duration(count))
		body := fmt.Sprintf("%s-%d", name, i)
		got := s.call(i%3, work.Request{ID: ident.RequestID(body), Service: "permit-check", Body: []byte(body)})
		assert.Equal(t, got.Outcome, fault.Ran, "request %s: %v", body, got.Failure)
		if got.Failure != nil {
			failed++
		}
	}
	return failed
}

// Guards against usage reports that never reach the views: a worker whose tasks
// may slow down urgent work must show it, so that urgent work avoids it.
func TestTasksOfAWorkerShowAsDisturbance(t *testing.T) {
	runSystem(t, 2, func(t *testing.T, s *system) {
		assert.Equal(t, s.disturbed(), 0)
		_, err := s.nodes[0].Front().Submit(t.Context(), work.Job{
			ID: ident.JobID(s.newID()), Caller: "ranger", Service: "quota-rebuild", Body: []byte("rebuild")})
		assert.NilError(t, err)
		time.Sleep(15 * time.Second)
		assert.Equal(t, s.disturbed(), 1)
		time.Sleep(time.Minute)
		assert.Equal(t, s.disturbed(), 0)
	})
}

// disturbed returns the number of workers that their owners show as disturbed.
func (s *system) disturbed() int {
	s.t.Helper()
	count := 0
	for _, node := range s.nodes {
		body, err := node.JSON()
		assert.NilError(s.t, err)
		var dump struct{ Owned []workers.Owned }
		assert.NilError(s.t, json.Unmarshal(body, &dump))
		for _, owned := range dump.Owned {
			if owned.Disturbance > 0 {
				count++
			}
		}
	}
	return count
}
