package workers

import (
	"cmp"
	"math"
	"slices"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
)

// Entry is what the ranking reads of one worker. It fits into one cache line, and
// the entries lie next to each other, so that a ranking of 1,100 workers reads
// 62 KB instead of the 250 KB of the full list.
type Entry struct {
	// Free is the free amount of each resource.
	Free resource.Vector
	// Load is the larger of the reserved and the measured share of the worker,
	// in thousandths.
	Load int32
	// Disturbance is that of the worker, in thousandths.
	Disturbance int32
	// Zone and Region are numbers that ZoneNumber and RegionNumber return.
	Zone   int16
	Region int16
	// State says whether the worker gets new work.
	State State
	// Calm numbers the workers of a zone that get new work, from 0 for the one
	// that disturbs urgent work least. Others have NotCalm.
	Calm int16
	// Alternate is set for every other worker of a zone. It lets all instances
	// prefer the same half without agreeing on one.
	Alternate bool
}

// NotCalm is the number of a worker that gets no new work.
const NotCalm int16 = math.MaxInt16

// State says whether a worker gets new work and, if not, the first reason.
type State uint8

const (
	// Open workers get new work.
	Open State = iota
	// OpenToProbe workers get one start at a time.
	OpenToProbe
	// ClosedLeaving workers leave.
	ClosedLeaving
	// ClosedDrained workers are drained by a rule.
	ClosedDrained
	// ClosedFailing workers fail what they get.
	ClosedFailing
	// ClosedNotReady workers have no owner that has completed its takeover.
	ClosedNotReady
)

// NoPlace is the number of a zone or region that no worker is in.
const NoPlace int16 = -1

// thousand is a whole in thousandths.
const thousand = 1000

type index struct {
	entries []Entry
	// known holds the number of workers by zone.
	known   []int
	zones   []ident.ZoneName
	regions []ident.RegionName
}

// Entries returns one entry for each worker, in the order of List. It must not
// be modified.
func (v *View) Entries() []Entry {
	return v.index.entries
}

// ZoneNumber returns the number of a zone in the entries, or NoPlace.
func (v *View) ZoneNumber(name ident.ZoneName) int16 {
	return int16(slices.Index(v.index.zones, name))
}

// RegionNumber returns the number of a region in the entries, or NoPlace.
func (v *View) RegionNumber(name ident.RegionName) int16 {
	return int16(slices.Index(v.index.regions, name))
}

func newIndex(list []Worker) index {
	made := index{entries: make([]Entry, 0, len(list))}
	for i := range list {
		made.add(&list[i])
	}
	made.rankCalm()
	return made
}

// rankCalm numbers the workers of each zone by disturbance. Among equals those
// go first that urgent work prefers.
func (x *index) rankCalm() {
	order := make([]int, 0, len(x.entries))
	for i := range x.entries {
		x.entries[i].Calm = NotCalm
		if x.entries[i].State == Open {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		first, second := &x.entries[a], &x.entries[b]
		if first.Disturbance != second.Disturbance {
			return cmp.Compare(first.Disturbance, second.Disturbance)
		}
		return compareBool(first.Alternate, second.Alternate)
	})
	next := make([]int16, len(x.zones))
	for _, i := range order {
		entry := &x.entries[i]
		entry.Calm = next[entry.Zone]
		next[entry.Zone]++
	}
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func (x *index) add(worker *Worker) {
	entry := Entry{
		Free:        worker.Free,
		Load:        load(worker),
		Disturbance: int32(worker.Disturbance),
		Zone:        number(&x.zones, worker.Zone),
		Region:      number(&x.regions, worker.Region),
		State:       stateOf(worker),
	}
	if int(entry.Zone) == len(x.known) {
		x.known = append(x.known, 0)
	}
	entry.Alternate = x.known[entry.Zone]%2 == 1
	x.known[entry.Zone]++
	x.entries = append(x.entries, entry)
}

// number returns the position of a name and adds a name that is new.
func number[T comparable](names *[]T, name T) int16 {
	at := slices.Index(*names, name)
	if at < 0 {
		at = len(*names)
		*names = append(*names, name)
	}
	return int16(at)
}

func load(worker *Worker) int32 {
	reserved := worker.Capacity.Sub(worker.Free).DominantShare(worker.Capacity)
	measured := resource.Vector{CPU: worker.CPUUsed}.DominantShare(worker.Capacity)
	return int32(max(reserved, measured) * thousand)
}

func stateOf(worker *Worker) State {
	switch {
	case worker.Leaving:
		return ClosedLeaving
	case worker.Drained:
		return ClosedDrained
	case worker.Health == Failing:
		return ClosedFailing
	case !worker.Ready:
		return ClosedNotReady
	case worker.Health == Probing:
		return OpenToProbe
	default:
		return Open
	}
}
