package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/version/health"
	"poplarvalve/internal/version/workers"
)

// Guards against blaming healthy workers for broken jobs, or healthy jobs for
// a broken worker, when both occur at once. The seeds are fixed.
func TestBrokenWorkerAndBrokenJobsAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			var state *health.State
			now := time.Unix(0, 0)
			for range 600 {
				now = now.Add(time.Second)
				worker := ident.WorkerID(fmt.Sprintf("w%d", random.IntN(8)))
				subject := health.Subject(fmt.Sprintf("job%d", random.IntN(12)))
				if state.Worker(worker, now) == workers.Failing || state.Parked(subject) != nil {
					continue
				}
				state = state.Probed(worker, now)
				broken := worker == "w0" || subject == "job0" || subject == "job1"
				state = state.Fold(health.Result{Worker: worker, Subject: subject, Success: !broken, At: now})
			}
			for i := range 8 {
				id := ident.WorkerID(fmt.Sprintf("w%d", i))
				assert.Equal(t, state.Worker(id, now) == workers.Healthy, i != 0, "worker %s", id)
			}
			for i := range 12 {
				id := health.Subject(fmt.Sprintf("job%d", i))
				parked := state.Parked(id)
				assert.Equal(t, parked != nil, i < 2, "%s", id)
				assert.Assert(t, parked == nil || parked.Kind == fault.TaskFailed)
			}
		})
	}
}

// Guards against more than one probe at a time, a probe interval that grows
// without bound and a worker that never comes back.
func TestProbes(t *testing.T) {
	now := time.Unix(0, 0)
	var state *health.State
	for i := range 3 {
		assert.Equal(t, state.Worker("w", now), workers.Healthy)
		state = state.Fold(health.Result{Worker: "w", Subject: health.Subject(fmt.Sprint(i)), At: now})
	}
	before := state
	for range 12 {
		assert.Equal(t, state.Worker("w", now), workers.Failing)
		waited := time.Duration(0)
		for state.Worker("w", now) != workers.Probing {
			now = now.Add(time.Second)
			waited += time.Second
		}
		assert.Assert(t, waited <= 5*time.Minute)
		state = state.Probed("w", now)
		assert.Equal(t, state.Worker("w", now), workers.Failing)
		state = state.Fold(health.Result{Worker: "w", Subject: "probe", At: now})
	}
	state = state.Fold(health.Result{Worker: "w", Subject: "good", Success: true, At: now})
	assert.Equal(t, state.Worker("w", now), workers.Healthy)
	assert.Equal(t, before.Worker("w", time.Unix(1, 0)), workers.Failing)
}

// Guards against a few broken jobs that are alone in the system and take out
// every worker on which they fail in a row.
func TestBrokenJobsTakeOutFewWorkers(t *testing.T) {
	var state *health.State
	now := time.Unix(0, 0)
	out := 0
	for w := range 12 {
		id := ident.WorkerID(fmt.Sprintf("w%d", w))
		for j := range 4 {
			now = now.Add(time.Second)
			state = state.Fold(health.Result{Worker: id, Subject: health.Subject(fmt.Sprintf("job%d", j)), At: now})
		}
		if state.Worker(id, now) != workers.Healthy {
			out++
		}
	}
	assert.Assert(t, out <= 2, "%d workers out", out)
	for j := range 4 {
		assert.Assert(t, state.Parked(health.Subject(fmt.Sprintf("job%d", j))) != nil)
	}
}
