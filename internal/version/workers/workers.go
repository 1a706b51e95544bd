// Package workers holds what an instance knows of the workers as one version.
//
// The amounts in a View are hints that lag. Only the ledger of the worker's
// owner decides whether work fits.
package workers

import (
	"slices"
	"strings"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
)

// Health is what an owner thinks of a worker.
type Health uint8

const (
	// Healthy workers get work.
	Healthy Health = iota
	// Probing workers get one start at a time.
	Probing
	// Failing workers get no work until their next probe.
	Failing
)

// Worker is what is known of one worker.
type Worker struct {
	ID       ident.WorkerID
	Address  string
	Zone     ident.ZoneName
	Region   ident.RegionName
	Rack     string
	Capacity resource.Vector
	// Free is the capacity less what the owner has reserved.
	Free resource.Vector
	// CPUUsed is the measured use in thousandths of a core. It lags.
	CPUUsed int64
	// Disturbance is the estimated slowdown of urgent work by the tasks that
	// run, in thousandths: 0 is none, 1000 doubles the run time.
	Disturbance int64
	Leaving     bool
	// Drained is whether a rule takes the worker out of service.
	Drained bool
	Health  Health
	// Ready is whether the owner has completed its takeover and the worker is
	// not drained.
	Ready bool
	// Reported is when the owner's summary arrived, by the clock of the reader.
	Reported time.Time
}

// Place says where work comes from.
type Place struct {
	Zone   ident.ZoneName
	Region ident.RegionName
}

// View is an immutable version of all known workers.
type View struct {
	// List is ordered by worker identifier.
	List []Worker

	index index
}

// Find returns a worker by its identifier.
func (v *View) Find(id ident.WorkerID) (*Worker, bool) {
	i, found := slices.BinarySearchFunc(v.List, id, func(w Worker, id ident.WorkerID) int {
		return strings.Compare(string(w.ID), string(id))
	})
	if !found {
		return nil, false
	}
	return &v.List[i], true
}

// New returns a view of a list in any order.
func New(list []Worker) *View {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b Worker) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return &View{List: sorted, index: newIndex(sorted)}
}
