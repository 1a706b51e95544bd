package placement

import "poplarvalve/internal/version/workers"

// alternatePoints is added to the score of half of the workers, in thousandths
// of a worker. It equals one of eight slots: once the other half is loaded
// beyond that, this half is used as well.
const alternatePoints = 125

// scorer holds the values that all scores of one ranking share.
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

// score returns the score of an eligible worker; lower is better.
func (s *scorer) score(index int, entry *workers.RankingEntry) int64 {
	points := int64(entry.Load) + int64(entry.Disturbance) + alternatePenalty(entry)
	if s.demand.PreferLoaded {
		points = -points
	}
	points += int64(mix(s.demand.SpreadSeed, uint64(index)) % spreadRange)
	if entry.Availability == workers.OpenToProbe && !s.demand.AllowProbing {
		points += scoreProbe
	}
	return points + s.distance(entry)
}

func (s *scorer) distance(entry *workers.RankingEntry) int64 {
	switch {
	case entry.Region != s.region:
		return scoreOtherRegion
	case entry.Zone != s.zone:
		return scoreOtherZone
	default:
		return 0
	}
}

// alternatePenalty returns alternatePoints for every second worker and zero for
// the others. It is the same for all work, but counts in reverse for work with
// Demand.PreferLoaded. Urgent work therefore runs on the workers that batch
// work takes last, and a burst of batch work meets few urgent requests on the
// workers that it is placed on.
func alternatePenalty(entry *workers.RankingEntry) int64 {
	if entry.EverySecond {
		return alternatePoints
	}
	return 0
}

// mix returns a hash of a work's SpreadSeed and a worker's index. It is the
// finalizer of splitmix64, which changes half of the output bits for each
// changed input bit.
func mix(seed, index uint64) uint64 {
	x := seed + index*0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
