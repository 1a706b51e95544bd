// Package workers provides an immutable view of all workers that an instance knows,
// built from the platform's instance list and from what the owners of the workers
// report.
//
// The amounts in a View lag behind and are only hints. Whether work fits on a worker
// is decided by the ledger of the worker's owner.
package workers

import (
	"slices"
	"strings"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
)

// Health is the health of a worker according to its owner.
type Health uint8

const (
	// Healthy workers get work.
	Healthy Health = iota
	// Probing workers get one start at a time, until one succeeds.
	Probing
	// Failing workers get no work until their next probe.
	Failing
)

// Worker is the known state of one worker.
type Worker struct {
	ID       ident.WorkerID
	Address  string
	Zone     ident.ZoneName
	Region   ident.RegionName
	Rack     string
	Capacity resource.Vector
	// Free is the capacity minus what the owner has reserved.
	Free resource.Vector
	// CPUUsed is the measured CPU usage in thousandths of a core. It lags behind.
	CPUUsed int64
	// Disturbance is the estimated slowdown that the running tasks cause to urgent
	// work, in thousandths of its run time: 0 means none, 1000 means that the run
	// time doubles.
	Disturbance int64
	// Leaving reports whether the worker is about to leave, according to the
	// platform's list or to its own refusal of work.
	Leaving bool
	// Drained reports whether a rule takes the worker out of service.
	Drained bool
	Health  Health
	// Ready reports whether the owner has completed its takeover of the worker and
	// the worker is not drained.
	Ready bool
	// Reported is the time at which the owner's summary arrived, by the clock of the
	// receiving instance.
	Reported time.Time
}

// Origin is the zone and region that work comes from.
type Origin struct {
	Zone   ident.ZoneName
	Region ident.RegionName
}

// View is an immutable version of the state of all known workers.
type View struct {
	// List is ordered by worker identifier.
	List []Worker

	index rankingIndex
}

// Find returns the worker with the given identifier, which must not be modified. It
// reports false if the view has no such worker.
func (v *View) Find(id ident.WorkerID) (*Worker, bool) {
	i, found := slices.BinarySearchFunc(v.List, id, func(w Worker, id ident.WorkerID) int {
		return strings.Compare(string(w.ID), string(id))
	})
	if !found {
		return nil, false
	}
	return &v.List[i], true
}

// New returns a view of the workers in list, which may be in any order.
func New(list []Worker) *View {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b Worker) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return &View{List: sorted, index: newIndex(sorted)}
}
