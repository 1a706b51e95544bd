// Package placement ranks the workers for one request or job attempt.
//
// The ranking is a pure function of a view, a demand and a place. It only
// orders hints: whether the work fits is decided by the ledger of the worker's
// owner.
package placement

import (
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
)

// MaxCandidates is how many workers a plan names at most.
const MaxCandidates = 4

// Demand is what the ranking needs to know of the work.
type Demand struct {
	Resources resource.Vector
	From      workers.Place
}

// Candidate is one eligible worker with its score; lower is better.
type Candidate struct {
	Worker ident.WorkerID
	Zone   ident.ZoneName
	Region ident.RegionName
	Score  int64
}

// Plan holds the best candidates in order.
type Plan struct {
	Candidates [MaxCandidates]Candidate
	Count      int
	// Known is the number of workers that were looked at.
	Known int
	// LargeEnough is the number of workers that would fit the work when empty.
	LargeEnough int
}

// The steps of the score. A worker in a nearer place always ranks before one
// in a farther place.
const (
	scoreOtherZone   int64 = 1 << 32
	scoreOtherRegion int64 = 1 << 40
)

// Rank returns the best candidates for the demand. It allocates nothing.
func Rank(view *workers.View, set *rules.Set, demand Demand) Plan {
	var plan Plan
	for i := range view.List {
		worker := &view.List[i]
		plan.Known++
		if !demand.Resources.Fits(worker.Capacity) {
			continue
		}
		plan.LargeEnough++
		if !eligible(worker, set, demand) {
			continue
		}
		plan.insert(Candidate{
			Worker: worker.ID,
			Zone:   worker.Zone,
			Region: worker.Region,
			Score:  score(worker, demand),
		})
	}
	return plan
}

// eligible leaves out workers that must get nothing new.
func eligible(worker *workers.Worker, set *rules.Set, demand Demand) bool {
	if worker.Leaving || !worker.Ready {
		return false
	}
	if worker.Health == workers.Failing {
		return false
	}
	if set.Drained[worker.ID] {
		return false
	}
	return demand.Resources.Fits(worker.Free)
}

func score(worker *workers.Worker, demand Demand) int64 {
	used := worker.Capacity.Sub(worker.Free)
	points := int64(used.DominantShare(worker.Capacity) * 1000)
	points += worker.Disturbance
	if worker.Region != demand.From.Region {
		return points + scoreOtherRegion
	}
	if worker.Zone != demand.From.Zone {
		return points + scoreOtherZone
	}
	return points
}

// insert keeps the candidates in order of score.
func (p *Plan) insert(candidate Candidate) {
	at := p.Count
	for at > 0 && candidate.Score < p.Candidates[at-1].Score {
		at--
	}
	if at == MaxCandidates {
		return
	}
	last := min(p.Count, MaxCandidates-1)
	copy(p.Candidates[at+1:last+1], p.Candidates[at:last])
	p.Candidates[at] = candidate
	p.Count = min(p.Count+1, MaxCandidates)
}
