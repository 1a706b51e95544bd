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

// One of eight workers and two of twelve jobs are broken at the same time. Healthy
// workers must not be taken out because of the broken jobs, and healthy jobs must
// not be suspended because of the broken worker. The seeds are fixed.
func TestBrokenWorkerAndBrokenJobsAreToldApart(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			var state *health.State
			now := time.Unix(0, 0)
			for range 600 {
				now = now.Add(time.Second)
				worker := ident.WorkerID(fmt.Sprintf("w%d", random.IntN(8)))
				subject := health.Subject(fmt.Sprintf("job%d", random.IntN(12)))
				if state.Worker(worker, now) == workers.Failing || state.Suspended(subject) != nil {
					continue
				}
				state = state.RecordProbe(worker, now)
				broken := worker == "w0" || subject == "job0" || subject == "job1"
				state = state.Apply(health.Result{Worker: worker, Subject: subject, Success: !broken, At: now})
			}
			for i := range 8 {
				id := ident.WorkerID(fmt.Sprintf("w%d", i))
				assert.Equal(t, state.Worker(id, now) == workers.Healthy, i != 0, "worker %s", id)
			}
			for i := range 12 {
				id := health.Subject(fmt.Sprintf("job%d", i))
				suspended := state.Suspended(id)
				assert.Equal(t, suspended != nil, i < 2, "%s", id)
				assert.Assert(t, suspended == nil || suspended.Kind == fault.TaskFailed)
			}
		})
	}
}

// A worker that is out of service gets one probe at a time, at an interval that
// does not grow beyond five minutes, and a success puts it back in service.
func TestProbesAreSingleAndBounded(t *testing.T) {
	now := time.Unix(0, 0)
	var state *health.State
	for i := range 3 {
		assert.Equal(t, state.Worker("w", now), workers.Healthy)
		state = state.Apply(health.Result{Worker: "w", Subject: health.Subject(fmt.Sprint(i)), At: now})
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
		state = state.RecordProbe("w", now)
		assert.Equal(t, state.Worker("w", now), workers.Failing)
		state = state.Apply(health.Result{Worker: "w", Subject: "probe", At: now})
	}
	state = state.Apply(health.Result{Worker: "w", Subject: "good", Success: true, At: now})
	assert.Equal(t, state.Worker("w", now), workers.Healthy)
	assert.Equal(t, before.Worker("w", time.Unix(1, 0)), workers.Failing)
}

// If all jobs in the system are broken, several jobs in a row fail on every worker.
// The jobs must be suspended before they take out more than a few workers.
func TestBrokenJobsTakeOutFewWorkers(t *testing.T) {
	var state *health.State
	now := time.Unix(0, 0)
	out := 0
	for w := range 12 {
		id := ident.WorkerID(fmt.Sprintf("w%d", w))
		for j := range 4 {
			now = now.Add(time.Second)
			state = state.Apply(health.Result{Worker: id, Subject: health.Subject(fmt.Sprintf("job%d", j)), At: now})
		}
		if state.Worker(id, now) != workers.Healthy {
			out++
		}
	}
	assert.Assert(t, out <= 2, "%d workers are out of service, at most 2 may be", out)
	for j := range 4 {
		assert.Assert(t, state.Suspended(health.Subject(fmt.Sprintf("job%d", j))) != nil)
	}
}
