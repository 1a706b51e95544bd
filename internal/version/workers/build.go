package workers

import (
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
)

// Listed is one worker of the platform's instance list, which lags.
type Listed struct {
	ID       ident.WorkerID
	Address  string
	Zone     ident.ZoneName
	Region   ident.RegionName
	Rack     string
	Capacity resource.Vector
	Leaving  bool
}

// Heard is the newest summary of a worker of another owner.
type Heard struct {
	Summary Summary
	// Arrived is by the clock of the reader.
	Arrived time.Time
}

// Sources are what a view is built from. They are not modified.
type Sources struct {
	Now     time.Time
	Listed  []Listed
	Owned   []Owned
	Heard   map[ident.WorkerID]Heard
	Drained map[ident.WorkerID]bool
}

// Build returns the next view. It holds exactly the listed workers. What this
// instance owns goes before what it heard; a summary that is too old counts as
// no news, and its worker as not ready. A worker that was leaving once stays so
// for as long as it is listed at the same address, whether the list or a
// refusal said so first.
func Build(previous *View, from Sources) *View {
	owned := make(map[ident.WorkerID]Owned, len(from.Owned))
	for _, worker := range from.Owned {
		owned[worker.Worker] = worker
	}
	list := make([]Worker, 0, len(from.Listed))
	for _, listed := range from.Listed {
		worker := fromList(listed)
		if known, found := owned[listed.ID]; found {
			worker.apply(known, from.Now)
		} else if heard, found := from.Heard[listed.ID]; found && from.Now.Sub(heard.Arrived) < summaryLife {
			worker.apply(heard.Summary.Expand(), heard.Arrived)
		}
		worker.Leaving = worker.Leaving || wasLeaving(previous, worker)
		worker.Drained = from.Drained[worker.ID]
		worker.Ready = worker.Ready && !worker.Drained
		list = append(list, worker)
	}
	return New(list)
}

func fromList(listed Listed) Worker {
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

func (w *Worker) apply(known Owned, reported time.Time) {
	w.Free = known.Free
	w.CPUUsed = known.CPUUsed
	w.Disturbance = known.Disturbance
	w.Health = known.Health
	w.Ready = known.Ready
	w.Leaving = w.Leaving || known.Leaving
	w.Reported = reported
}

func wasLeaving(previous *View, worker Worker) bool {
	if previous == nil {
		return false
	}
	known, found := previous.Find(worker.ID)
	return found && known.Leaving && known.Address == worker.Address
}
