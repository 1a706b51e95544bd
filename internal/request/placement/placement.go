// Package placement ranks the workers for one request or job attempt.
//
// The ranking is a pure function of a view, a demand and the place of the work:
// equal inputs give equal plans. A plan is only an ordered list of suggestions;
// whether the work fits is decided by the ledger of the worker's owner. serve
// calls Rank for each urgent request and job calls it for each attempt.
package placement

import (
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
)

// MaxCandidates is the maximum number of workers that a plan names.
const MaxCandidates = 4

// Demand describes the work for which the workers are ranked.
type Demand struct {
	Resources resource.Vector
	From      workers.Origin
	// SpreadSeed makes different works choose different workers when they see
	// the same view. Otherwise all of them would choose the worker that was
	// idle when the view was built. A hash of the identifier of the work is a
	// suitable value.
	SpreadSeed uint64
	// AllowProbing ranks a worker that was out of service like any other. Batch
	// work sets it, since it tolerates a failed attempt. Other work gets such a
	// worker only after all healthy workers of the same place.
	AllowProbing bool
	// PreferLoaded makes the work prefer workers that are already loaded and
	// disturbed instead of avoiding them. The other workers then stay idle, and
	// free capacity for large tasks stays together. Batch work sets it.
	PreferLoaded bool
	// ReservedWorkers is the number of workers in each zone, those with the
	// least disturbance, that the work must leave lightly loaded for urgent
	// work. AddedDisturbance is the disturbance that the work adds to a worker,
	// in thousandths. Batch work sets both, and so does urgent work of a team
	// that holds more than its reserved minimum while another team holds less
	// than its own.
	ReservedWorkers  int
	AddedDisturbance int64
}

// Candidate is an eligible worker with its score; lower is better.
type Candidate struct {
	Worker ident.WorkerID
	Zone   ident.ZoneName
	Region ident.RegionName
	Score  int64

	index int
}

// Reason is why a worker is left out of a plan.
type Reason uint8

const (
	// Eligible means that the worker is not left out.
	Eligible Reason = iota
	// TooSmall means that the worker could not hold the work even when empty.
	TooSmall
	// Leaving means that the worker is about to leave and gets no new work.
	Leaving
	// Drained means that a rule takes the worker out of service.
	Drained
	// Failing means that the worker is unhealthy.
	Failing
	// NotReady means that no owner has completed the takeover of the worker.
	NotReady
	// Full means that the worker lacks free capacity for the work now.
	Full
	// ReservedForUrgent means that the worker is kept lightly loaded for urgent
	// work.
	ReservedForUrgent
	// ReasonCount is the number of reasons, and the length of Plan.Counts.
	ReasonCount
)

// String returns the text of the reason that operators see.
func (r Reason) String() string {
	names := [ReasonCount]string{"eligible", "too small", "leaving", "drained", "failing", "not ready", "full", "kept"}
	if r >= ReasonCount {
		return "unknown"
	}
	return names[r]
}

// Plan holds the best candidates, best first.
type Plan struct {
	Candidates [MaxCandidates]Candidate
	Count      int
	// Considered is the number of workers that were ranked or left out.
	Considered int
	// LargeEnough is the number of workers that could hold the work when empty.
	LargeEnough int
	// Counts holds the number of workers by reason. It is exact if the plan has
	// fewer than MaxCandidates candidates. Otherwise a worker that is drained
	// only by rules newer than the view counts as Eligible, unless it would
	// have been a candidate.
	Counts [ReasonCount]int

	// otherZone is the best candidate outside the zone of the work.
	otherZone    Candidate
	hasOtherZone bool
}

// Penalties that make up the score. Each exceeds the sum of all smaller parts,
// so a worker in a nearer place always ranks before one in a farther place, and
// within a place a healthy worker ranks before one that is being probed.
const (
	scoreProbe       int64 = 1 << 24
	scoreOtherZone   int64 = 1 << 32
	scoreOtherRegion int64 = 1 << 40
)

// spreadRange is the range of the score offset that differs between works, in
// thousandths of a worker. An eighth of a worker is one slot of the workers in
// use. That is the load that the view lacks when one more task has started
// since it was built.
const spreadRange = 125

// Rank returns the best candidates for the demand. It takes no lock and
// allocates no memory.
func Rank(view *workers.View, set *rules.Set, demand Demand) Plan {
	var plan Plan
	scorer := newScorer(view, demand)
	entries := view.Entries()
	plan.Considered = len(entries)
	for i := range entries {
		entry := &entries[i]
		reason := exclusionReason(view, i, entry, demand)
		if reason == Eligible {
			reason = plan.addIfBest(view, set, i, scorer.score(i, entry))
		}
		plan.Counts[reason]++
	}
	plan.LargeEnough = plan.Considered - plan.Counts[TooSmall]
	plan.includeOtherZone()
	plan.fillNames(view)
	return plan
}

// Explain returns the reason why one worker is left out, for operators. For a
// worker that is not in the view it returns NotReady.
func Explain(view *workers.View, set *rules.Set, demand Demand, worker ident.WorkerID) Reason {
	for i := range view.List {
		if view.List[i].ID != worker {
			continue
		}
		reason := exclusionReason(view, i, &view.Entries()[i], demand)
		if reason == Eligible && set.DrainedWorkers[worker] {
			return Drained
		}
		return reason
	}
	return NotReady
}

// exclusionReason returns the first reason against a worker, without regard to
// the rules. The capacity is stored outside the entry and is read only if the
// work does not fit into the free amounts.
func exclusionReason(view *workers.View, index int, entry *workers.RankingEntry, demand Demand) Reason {
	fits := demand.Resources.Fits(entry.Free)
	if !fits && !demand.Resources.Fits(view.List[index].Capacity) {
		return TooSmall
	}
	switch entry.Availability {
	case workers.Open, workers.OpenToProbe:
	case workers.ClosedLeaving:
		return Leaving
	case workers.ClosedDrained:
		return Drained
	case workers.ClosedFailing:
		return Failing
	default:
		return NotReady
	}
	if !fits {
		return Full
	}
	if int(entry.DisturbanceRank) < demand.ReservedWorkers && wouldDisturb(view, index, entry, demand) {
		return ReservedForUrgent
	}
	return Eligible
}

// maxReservedDisturbance is the disturbance, in thousandths, that a worker
// reserved for urgent work must stay below. At a tenth, the run time of urgent
// work stays within the goal of 1.2 times that on an idle worker.
const maxReservedDisturbance = 100

// wouldDisturb reports whether the work would raise the worker's disturbance to
// maxReservedDisturbance or above, or would leave less than half of its slots
// free. A worker above the limit already gets nothing more, so its disturbance
// falls when its tasks end.
func wouldDisturb(view *workers.View, index int, entry *workers.RankingEntry, demand Demand) bool {
	free := entry.Free.Slots - demand.Resources.Slots
	if 2*free < view.List[index].Capacity.Slots {
		return true
	}
	return int64(entry.Disturbance)+demand.AddedDisturbance >= maxReservedDisturbance
}

// addIfBest adds a worker to the plan if it is among the best, and returns the
// reason to count it under. The rules may be newer than the view. They are
// checked only for workers that would become candidates, since a lookup for
// each worker would double the time of a ranking.
func (p *Plan) addIfBest(view *workers.View, set *rules.Set, index int, score int64) Reason {
	betterOtherZone := score >= scoreOtherZone && (!p.hasOtherZone || score < p.otherZone.Score)
	if p.Count == MaxCandidates && score >= p.Candidates[MaxCandidates-1].Score && !betterOtherZone {
		return Eligible
	}
	if len(set.DrainedWorkers) > 0 && set.DrainedWorkers[view.List[index].ID] {
		return Drained
	}
	candidate := Candidate{index: index, Score: score}
	if betterOtherZone {
		p.otherZone, p.hasOtherZone = candidate, true
	}
	p.insert(candidate)
	return Eligible
}

// includeOtherZone replaces the last candidate by one of another zone if all
// candidates are in the zone of the work. The attempts of one request then
// survive the loss of a zone.
func (p *Plan) includeOtherZone() {
	last := &p.Candidates[MaxCandidates-1]
	if p.hasOtherZone && p.Count == MaxCandidates && last.Score < scoreOtherZone {
		*last = p.otherZone
	}
}

// insert adds a candidate, ordered by score, and drops the last one if there
// are more than MaxCandidates.
func (p *Plan) insert(candidate Candidate) {
	index := p.Count
	for index > 0 && candidate.Score < p.Candidates[index-1].Score {
		index--
	}
	if index == MaxCandidates {
		return
	}
	last := min(p.Count, MaxCandidates-1)
	copy(p.Candidates[index+1:last+1], p.Candidates[index:last])
	p.Candidates[index] = candidate
	p.Count = min(p.Count+1, MaxCandidates)
}

// fillNames sets the worker, zone and region of each candidate.
func (p *Plan) fillNames(view *workers.View) {
	for i := range p.Candidates[:p.Count] {
		candidate := &p.Candidates[i]
		worker := &view.List[candidate.index]
		candidate.Worker = worker.ID
		candidate.Zone = worker.Zone
		candidate.Region = worker.Region
	}
}
