package workers

import (
	"cmp"
	"math"
	"slices"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
)

// RankingEntry holds the data of one worker that the ranking of workers reads. An
// entry fits into one cache line and the entries are contiguous, so that ranking
// 1,100 workers reads 62 KB instead of the 250 KB of the full list.
type RankingEntry struct {
	// Free is the free amount of each resource.
	Free resource.Vector
	// Load is the reserved or the measured share of the worker's capacity, whichever
	// is larger, in thousandths.
	Load int32
	// Disturbance is the same as Worker.Disturbance, in thousandths.
	Disturbance int32
	// Zone and Region are the numbers that ZoneNumber and RegionNumber return for the
	// worker's zone and region.
	Zone   int16
	Region int16
	// Availability says whether the worker gets new work and, if not, why.
	Availability Availability
	// DisturbanceRank is the worker's rank by disturbance among the workers of
	// its zone whose Availability is Open, from 0 for the one that disturbs
	// urgent work least. Other workers have NoDisturbanceRank.
	DisturbanceRank int16
	// EverySecond is set for every second worker of a zone. It lets all instances
	// prefer the same half of the workers without communicating.
	EverySecond bool
}

// NoDisturbanceRank is the DisturbanceRank of a worker whose Availability is
// not Open.
const NoDisturbanceRank int16 = math.MaxInt16

// Availability says whether a worker gets new work and, if not, why. If there are
// several reasons, it is the first of them in the order below.
type Availability uint8

const (
	// Open means that the worker gets new work.
	Open Availability = iota
	// OpenToProbe means that the worker gets one start at a time, to find out whether
	// it works again.
	OpenToProbe
	// ClosedLeaving means that the worker is leaving.
	ClosedLeaving
	// ClosedDrained means that a rule takes the worker out of service.
	ClosedDrained
	// ClosedFailing means that the worker fails the work that it gets.
	ClosedFailing
	// ClosedNotReady means that no owner has completed its takeover of the worker.
	ClosedNotReady
)

// NoNumber is the number of a zone or region that has no workers in the view.
const NoNumber int16 = -1

// perMille converts fractions to thousandths.
const perMille = 1000

// rankingIndex holds the entries of a view. The position of a name in zones or
// regions is its number in the entries.
type rankingIndex struct {
	entries []RankingEntry
	// workersInZone holds the number of workers in each zone, by zone number.
	workersInZone []int
	zones         []ident.ZoneName
	regions       []ident.RegionName
}

// Entries returns one entry for each worker, in the order of List. The slice must
// not be modified.
func (v *View) Entries() []RankingEntry {
	return v.index.entries
}

// ZoneNumber returns the number that stands for a zone in the entries, or
// NoNumber if no worker is in the zone.
func (v *View) ZoneNumber(name ident.ZoneName) int16 {
	return int16(slices.Index(v.index.zones, name))
}

// RegionNumber returns the number that stands for a region in the entries, or
// NoNumber if no worker is in the region.
func (v *View) RegionNumber(name ident.RegionName) int16 {
	return int16(slices.Index(v.index.regions, name))
}

func newIndex(list []Worker) rankingIndex {
	built := rankingIndex{entries: make([]RankingEntry, 0, len(list))}
	for i := range list {
		built.add(&list[i])
	}
	built.rankByDisturbance()
	return built
}

// rankByDisturbance sets the DisturbanceRank of all entries. Among workers of
// equal disturbance, those that urgent work prefers come first: the ones without
// EverySecond.
func (x *rankingIndex) rankByDisturbance() {
	order := make([]int, 0, len(x.entries))
	for i := range x.entries {
		x.entries[i].DisturbanceRank = NoDisturbanceRank
		if x.entries[i].Availability == Open {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		first, second := &x.entries[a], &x.entries[b]
		if first.Disturbance != second.Disturbance {
			return cmp.Compare(first.Disturbance, second.Disturbance)
		}
		return compareBool(first.EverySecond, second.EverySecond)
	})
	next := make([]int16, len(x.zones))
	for _, i := range order {
		entry := &x.entries[i]
		entry.DisturbanceRank = next[entry.Zone]
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

// add appends the entry of a worker.
func (x *rankingIndex) add(worker *Worker) {
	entry := RankingEntry{
		Free:         worker.Free,
		Load:         loadMillis(worker),
		Disturbance:  int32(worker.Disturbance),
		Zone:         numberOf(&x.zones, worker.Zone),
		Region:       numberOf(&x.regions, worker.Region),
		Availability: availabilityOf(worker),
	}
	if int(entry.Zone) == len(x.workersInZone) {
		x.workersInZone = append(x.workersInZone, 0)
	}
	entry.EverySecond = x.workersInZone[entry.Zone]%2 == 1
	x.workersInZone[entry.Zone]++
	x.entries = append(x.entries, entry)
}

// numberOf returns the position of a name in names. It appends the name if it is
// new.
func numberOf[T comparable](names *[]T, name T) int16 {
	at := slices.Index(*names, name)
	if at < 0 {
		at = len(*names)
		*names = append(*names, name)
	}
	return int16(at)
}

// loadMillis returns the Load of a worker's entry.
func loadMillis(worker *Worker) int32 {
	reserved := worker.Capacity.Sub(worker.Free).DominantShare(worker.Capacity)
	measured := resource.Vector{CPU: worker.CPUUsed}.DominantShare(worker.Capacity)
	return int32(max(reserved, measured) * perMille)
}

// availabilityOf returns the Availability of a worker's entry.
func availabilityOf(worker *Worker) Availability {
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
