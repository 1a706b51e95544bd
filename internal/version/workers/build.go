package workers

import (
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
)

// ListedWorker is a worker in the platform's instance list, which lags behind.
type ListedWorker struct {
	ID       ident.WorkerID
	Address  string
	Zone     ident.ZoneName
	Region   ident.RegionName
	Rack     string
	Capacity resource.Vector
	Leaving  bool
}

// ReceivedSummary is the newest summary of a worker that another instance owns.
type ReceivedSummary struct {
	Summary Summary
	// ReceivedAt is the time at which the summary arrived, by the clock of the
	// receiving instance.
	ReceivedAt time.Time
}

// Sources is the input from which Build makes a view. Build does not modify it.
type Sources struct {
	Now time.Time
	// Listed is the platform's instance list.
	Listed []ListedWorker
	// Owned holds the workers that this instance owns.
	Owned []OwnedWorker
	// Summaries holds the newest summaries from other owners.
	Summaries map[ident.WorkerID]ReceivedSummary
	// Drained holds the workers that a rule takes out of service.
	Drained map[ident.WorkerID]bool
}

// Build returns the next view, which contains exactly the listed workers. For a
// worker that this instance owns, its own state takes precedence over a summary
// from another instance. A summary of the age summaryMaxAge or more is ignored;
// without a summary a worker is not ready. A worker that was leaving in the
// previous view, because of the list or of a refusal, stays leaving while it is
// listed at the same address.
func Build(previous *View, from Sources) *View {
	owned := make(map[ident.WorkerID]OwnedWorker, len(from.Owned))
	for _, worker := range from.Owned {
		owned[worker.Worker] = worker
	}
	list := make([]Worker, 0, len(from.Listed))
	for _, listed := range from.Listed {
		worker := newWorker(listed)
		if state, found := owned[listed.ID]; found {
			worker.setReported(state, from.Now)
		} else if received, found := from.Summaries[listed.ID]; found && from.Now.Sub(received.ReceivedAt) < summaryMaxAge {
			worker.setReported(received.Summary.Expand(), received.ReceivedAt)
		}
		worker.Leaving = worker.Leaving || wasLeaving(previous, worker)
		worker.Drained = from.Drained[worker.ID]
		worker.Ready = worker.Ready && !worker.Drained
		list = append(list, worker)
	}
	return New(list)
}

// newWorker returns a worker with the properties that the platform's list has.
func newWorker(listed ListedWorker) Worker {
	return Worker{
		ID:       listed.ID,
		Address:  listed.Address,
		Zone:     listed.Zone,
		Region:   listed.Region,
		Rack:     listed.Rack,
		Capacity: listed.Capacity,
		Leaving:  listed.Leaving,
	}
}

// setReported sets the state that the owner reported.
func (w *Worker) setReported(state OwnedWorker, reportedAt time.Time) {
	w.Free = state.Free
	w.CPUUsed = state.CPUUsed
	w.Disturbance = state.Disturbance
	w.Health = state.Health
	w.Ready = state.Ready
	w.Leaving = w.Leaving || state.Leaving
	w.Reported = reportedAt
}

// wasLeaving reports whether the worker, at the same address, was leaving in the
// previous view.
func wasLeaving(previous *View, worker Worker) bool {
	if previous == nil {
		return false
	}
	previousWorker, found := previous.Find(worker.ID)
	return found && previousWorker.Leaving && previousWorker.Address == worker.Address
}
