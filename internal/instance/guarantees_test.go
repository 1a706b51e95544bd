package instance_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/operator"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/config"
	"poplarvalve/test/workerstub"
)

// A graceful shutdown must not cut off requests in flight, nor answer NotRun to
// a request that did run.
func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *testSystem) {
		for _, stub := range s.workers {
			stub.ChangeSettings(func(settings *workerstub.Settings) { settings.UrgentTaskDuration = 1500 * time.Millisecond })
		}
		node := s.nodes[1]
		var group sync.WaitGroup
		for i := range 10 {
			group.Go(func() {
				body := fmt.Sprintf("check-%d", i)
				got := s.sendThrough(1, work.Request{ID: ident.RequestID(body), Service: "permit-check", Body: []byte(body)})
				assert.Check(t, got.Outcome == fault.Ran, "%s: %v", body, got.Failure)
				assert.Check(t, string(got.Body) == body)
			})
		}
		time.Sleep(500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		shutdownStart := time.Now()
		assert.Equal(t, node.Shutdown(ctx), int64(0))
		assert.Assert(t, time.Since(shutdownStart) < 10*time.Second)
		group.Wait()
		s.nodes[1] = nil
		for _, i := range []int{0, 2} {
			got := s.sendThrough(i, work.Request{ID: ident.RequestID(fmt.Sprint("after-", i)), Service: "permit-check"})
			assert.Equal(t, got.Outcome, fault.Ran, "%v", got.Failure)
		}
	})
}

// When the instance that owned the workers of a zone is killed, requests that
// arrive in this zone must be served by another zone with free capacity instead
// of being refused.
func TestRequestsUseAnotherZoneWhenTheOwnerOfTheZoneIsKilled(t *testing.T) {
	runSystem(t, 4, func(t *testing.T, s *testSystem) {
		victim, entryPoint := 0, 2
		if s.nodes[2].Status().Backends > s.nodes[0].Status().Backends {
			victim, entryPoint = 2, 0
		}
		t.Logf("the killed instance owned %d of the 3 workers of its zone", s.nodes[victim].Status().Backends)
		s.killInstance(victim)
		for i := range 100 {
			time.Sleep(100 * time.Millisecond)
			body := fmt.Sprintf("check-%d", i)
			got := s.sendThrough(entryPoint, work.Request{ID: ident.RequestID(body), Service: "permit-check", Body: []byte(body)})
			assert.Check(t, got.Outcome == fault.Ran, "%s: %v", body, got.Failure)
		}
	})
}

// A backend server that is leaving must get no new work within 5 s, whether the
// instance list or the backend server itself says first that it is leaving. The
// same holds for a server that the rules drain.
func TestLeavingAndDrainedWorkersGetNoNewWorkAfterFiveSeconds(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *testSystem) {
		s.mu.Lock()
		for i := range s.listed {
			if s.listed[i].ID == "worker-0" {
				s.listed[i].State = "leaving"
			}
		}
		s.mu.Unlock()
		s.workers["worker-1"].ChangeSettings(func(settings *workerstub.Settings) { settings.Leaving = true })
		version := s.nodes[0].Configuration().Version
		s.applyRules(0, version, systemRules+"drain backend worker-2 # ranger desk: disk swap\n")
		time.Sleep(5 * time.Second)
		before := map[ident.WorkerID]int{}
		for id, stub := range s.workers {
			before[id] = len(stub.History())
		}
		for i := range 90 {
			body := fmt.Sprintf("check-%d", i)
			got := s.sendThrough(i%3, work.Request{ID: ident.RequestID(body), Service: "permit-check", Body: []byte(body)})
			assert.Equal(t, got.Outcome, fault.Ran, "%v", got.Failure)
		}
		for _, id := range []ident.WorkerID{"worker-0", "worker-1", "worker-2"} {
			assert.Equal(t, len(s.workers[id].History()), before[id], "%s got new work although it is leaving or drained", id)
		}
	})
}

// When operators propose changes to the same rules version at the same time,
// exactly one may be told that its change was accepted, and that change must
// come into force.
func TestExactlyOneOfConcurrentRuleChangesIsAccepted(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *testSystem) {
		for range 10 {
			base := s.nodes[0].Configuration().Version
			entries := make([]config.VerdictEntry, 3)
			var group sync.WaitGroup
			for i := range entries {
				proposal := operator.Proposal{ID: ident.RecordID(s.newUUID()), Base: base, Author: "ann",
					Rules: systemRules + fmt.Sprintf("drain backend other-%d # ranger desk: swap\n", i)}
				group.Go(func() {
					entry, err := s.nodes[i].Propose(t.Context(), proposal)
					assert.Check(t, err)
					entries[i] = entry
				})
			}
			group.Wait()
			winners := 0
			for _, entry := range entries {
				if entry.Verdict == config.Accepted {
					winners++
					assert.Equal(t, s.nodes[0].Configuration().Version, entry.Offset)
					continue
				}
				assert.Equal(t, entry.Verdict, config.Conflicted)
			}
			assert.Equal(t, winners, 1)
		}
	})
}

// A job that its worker evicts must not be lost, run twice at the same time or
// restart from the beginning, even if the replies to the following commands are
// lost.
func TestEvictedJobResumesOnceFromCheckpoint(t *testing.T) {
	runSystem(t, 3, func(t *testing.T, s *testSystem) {
		status, err := s.nodes[0].FrontEnd().Submit(t.Context(), work.Job{
			ID: ident.JobID(s.newUUID()), Caller: "ranger", Service: "quota-rebuild", Body: []byte("rebuild")})
		assert.NilError(t, err)
		time.Sleep(10 * time.Second)
		status, err = s.nodes[0].FrontEnd().JobStatus(t.Context(), status.ID)
		assert.NilError(t, err)
		stub := s.workers[status.Worker]
		_, err = stub.Checkpoint(t.Context(), ident.AttemptTask(status.ID, status.Attempt))
		assert.NilError(t, err)
		for _, other := range s.workers {
			other.AddLoss(workerstub.ReplyLoss{Command: "Start", Count: 1})
			other.AddLoss(workerstub.ReplyLoss{Command: "Task", Count: 1})
		}
		_, err = stub.Stop(t.Context(), ident.AttemptTask(status.ID, status.Attempt))
		assert.NilError(t, err)
		time.Sleep(2 * time.Minute)
		status, err = s.nodes[0].FrontEnd().JobStatus(t.Context(), status.ID)
		assert.NilError(t, err)
		assert.Equal(t, status.State, work.JobSucceeded, "%s %s", status.Reason, status.Detail)
		starts := s.startsOf("rebuild")
		assert.Equal(t, len(starts), 2)
		assert.Equal(t, s.overlappingStarts("rebuild"), 0)
		resumed := max(starts[0].ResumedProgress, starts[1].ResumedProgress)
		assert.Assert(t, resumed > 5*time.Second, "the second attempt resumed from %s, not from the checkpoint after more than 5 s", resumed)
	})
}
