package placement

import "poplarvalve/internal/version/workers"

// leanPoints is the common preference for half of the workers, in
// thousandths of a worker: one of eight slots. Beyond that load the other half
// is used as well.
const leanPoints = 125

// scorer holds what the scores of one ranking share.
type scorer struct {
	demand Demand
	zone   int16
	region int16
}

func newScorer(view *workers.View, demand Demand) scorer {
	return scorer{
		demand: demand,
		zone:   view.ZoneNumber(demand.From.Zone),
		region: view.RegionNumber(demand.From.Region),
	}
}

// score returns the rank of a worker among the eligible; lower is better.
func (s *scorer) score(at int, entry *workers.Entry) int64 {
	points := int64(entry.Load) + int64(entry.Disturbance) + lean(entry)
	if s.demand.Gather {
		points = -points
	}
	points += int64(mix(s.demand.Spread, uint64(at)) % spreadRange)
	if entry.State == workers.OpenToProbe && !s.demand.Probe {
		points += scoreProbe
	}
	return points + s.distance(entry)
}

func (s *scorer) distance(entry *workers.Entry) int64 {
	switch {
	case entry.Region != s.region:
		return scoreOtherRegion
	case entry.Zone != s.zone:
		return scoreOtherZone
	default:
		return 0
	}
}

// lean returns a preference that all works share and that is reversed for work
// that gathers. Urgent work then runs on the workers that batch work takes
// last, and a wave of batch work finds few urgent requests where it lands.
func lean(entry *workers.Entry) int64 {
	if entry.Alternate {
		return leanPoints
	}
	return 0
}

// mix returns a number that differs between works and workers. It is the
// finalizer of splitmix64, which changes half of the bits for each changed bit.
func mix(work, worker uint64) uint64 {
	x := work + worker*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
