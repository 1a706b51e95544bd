package instance_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
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
