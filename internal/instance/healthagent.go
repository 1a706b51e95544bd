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

// subjectsPerService is the number of subjects over which the requests of an
// urgent service are spread. A worker is taken out after failures of three
// different subjects, which one subject for each service would not reach where
// few services are called.
const subjectsPerService = 16

// healthAgent folds the results of starts on the workers of one incarnation.
// Each version of the state is immutable; a reader takes no lock.
type healthAgent struct {
	clock clock.Clock
	state *publish.Cell[health.State]
}

func newHealthAgent(clock clock.Clock) *healthAgent {
	return &healthAgent{clock: clock, state: publish.New[health.State](nil)}
}

// worker returns the health of a worker now.
func (a *healthAgent) worker(id ident.WorkerID) workers.Health {
	return a.state.Load().Worker(id, a.clock.Now())
}

// Admit implements start.Health. The start of a probe is noted before it is
// sent, so that no second one is admitted until it has ended or timed out.
func (a *healthAgent) Admit(id ident.WorkerID) error {
	now := a.clock.Now()
	if a.state.Load().Worker(id, now) == workers.Healthy {
		return nil
	}
	probe := false
	a.state.Update(func(current *health.State) *health.State {
		if current.Worker(id, now) != workers.Probing {
			return current
		}
		probe = true
		return current.Probed(id, now)
	})
	if !probe && a.state.Load().Worker(id, now) == workers.Failing {
		return fault.New(fault.OwnerNotReady, "worker %s is out of service", id)
	}
	return nil
}

// Ended implements start.Health. A success that the state knows already is
// recognised without a lock.
func (a *healthAgent) Ended(task start.Task, success bool) {
	result := health.Result{
		Worker:  task.Worker,
		Subject: subjectOf(task),
		Success: success,
		At:      a.clock.Now(),
	}
	if a.state.Load().Knows(result) {
		return
	}
	a.state.Update(func(current *health.State) *health.State {
		return current.Fold(result).Prune(result.At)
	})
}

// subjectOf names the job of a task, or one of the subjects of its service.
func subjectOf(task start.Task) health.Subject {
	if task.Class == work.Urgent {
		number := xxhash.Sum64String(string(task.ID)) % subjectsPerService
		return health.Subject(string(task.Service) + "#" + strconv.FormatUint(number, 10))
	}
	job, _, _ := strings.Cut(string(task.ID), "/")
	return health.Subject(job)
}
