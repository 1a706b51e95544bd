package instance

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/start"
	"poplarvalve/internal/version/health"
	"poplarvalve/internal/version/workers"
)

// subjectsPerService is the number of health subjects among which the requests
// of one urgent service are divided. A worker is taken out of service after
// failures of three different subjects. With a single subject per service, a
// worker that serves few services would never reach that number.
const subjectsPerService = 16

// healthAgent records the results of starts on the workers of one incarnation.
// Each version of its state is immutable, so readers take no lock.
type healthAgent struct {
	clock clock.Clock
	state *publish.Value[health.State]
}

func newHealthAgent(clock clock.Clock) *healthAgent {
	return &healthAgent{clock: clock, state: publish.New[health.State](nil)}
}

// workerHealth returns the current health of a worker.
func (a *healthAgent) workerHealth(id ident.WorkerID) workers.Health {
	return a.state.Load().Worker(id, a.clock.Now())
}

// Admit reports whether a task may be started on a worker: always if the worker
// is healthy, only as a probe if a probe is due, and otherwise not
// (OwnerNotReady). The probe is recorded before it is sent, so that no second
// one is admitted until the first has ended or timed out. Admit implements
// start.Health.
func (a *healthAgent) Admit(id ident.WorkerID) error {
	now := a.clock.Now()
	if a.state.Load().Worker(id, now) == workers.Healthy {
		return nil
	}
	probeStarted := false
	a.state.Update(func(current *health.State) *health.State {
		if current.Worker(id, now) != workers.Probing {
			return current
		}
		probeStarted = true
		return current.RecordProbe(id, now)
	})
	if !probeStarted && a.state.Load().Worker(id, now) == workers.Failing {
		return fault.New(fault.OwnerNotReady, "worker %s is out of service after repeated failures", id)
	}
	return nil
}

// RecordResult records the result of a task. A success that would not change
// the state is recognised without a lock. RecordResult implements start.Health.
func (a *healthAgent) RecordResult(task start.Task, success bool) {
	result := health.Result{
		Worker:  task.Worker,
		Subject: subjectOf(task),
		Success: success,
		At:      a.clock.Now(),
	}
	if a.state.Load().IsRedundant(result) {
		return
	}
	a.state.Update(func(current *health.State) *health.State {
		return current.Apply(result).Prune(result.At)
	})
}

// subjectOf returns the health subject of a task: its job, or for an urgent
// task one of the subjects of its service.
func subjectOf(task start.Task) health.Subject {
	if task.Class == work.Urgent {
		index := xxhash.Sum64String(string(task.ID)) % subjectsPerService
		return health.Subject(string(task.Service) + "#" + strconv.FormatUint(index, 10))
	}
	job, _, _ := strings.Cut(string(task.ID), "/")
	return health.Subject(job)
}
