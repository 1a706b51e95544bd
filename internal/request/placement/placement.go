// Package placement ranks the workers for one request or job attempt.
//
// The ranking is a pure function of a view, a demand and a place: equal inputs
// give equal plans. It only orders hints; whether the work fits is decided by
// the ledger of the worker's owner. serve calls Rank for each urgent request
// and job calls it for each attempt.
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
	// Spread separates works that see the same view, so that they don't all
	// choose the worker that was idle when the view was built. A hash of the
	// identifier of the work serves.
	Spread uint64
	// Probe lets a worker that was out of service rank like any other. Batch
	// work sets it, since it bears a failed attempt; other work gets such a
	// worker only after all healthy ones of the same place.
	Probe bool
	// Gather makes the work join workers that are loaded and disturbed already
	// instead of avoiding them, so that batch work leaves others quiet and keeps
	// room for large tasks together. Batch work sets it.
	Gather bool
	// KeepQuiet is how many workers of each zone, the least disturbed ones, the
	// work leaves quiet for urgent work, and Disturbs the disturbance that it adds to a worker, in
	// thousandths. Batch work sets them, and urgent work of a team that holds
	// more than its reserved minimum while another team holds less.
	KeepQuiet int
	Disturbs  int64
}

// Candidate is one eligible worker with its score; lower is better.
type Candidate struct {
	Worker ident.WorkerID
	Zone   ident.ZoneName
	Region ident.RegionName
	Score  int64

	at int
}

// Reason says why a worker is left out of a plan.
type Reason uint8

const (
	// Eligible workers are not left out.
	Eligible Reason = iota
	// TooSmall workers would not hold the work when empty.
	TooSmall
	// Leaving workers get nothing new.
	Leaving
	// Drained workers are taken out of service by a rule.
	Drained
	// Failing workers are unhealthy.
	Failing
	// NotReady workers have no owner that has completed its takeover.
	NotReady
	// Full workers have no room now.
	Full
	// Kept workers are left to urgent work.
	Kept
	// Reasons is the number of reasons.
	Reasons
)

// String returns the reason as operators see it.
func (r Reason) String() string {
	names := [Reasons]string{"eligible", "too small", "leaving", "drained", "failing", "not ready", "full", "kept"}
	if r >= Reasons {
		return "unknown"
	}
	return names[r]
}

// Plan holds the best candidates in order.
type Plan struct {
	Candidates [MaxCandidates]Candidate
	Count      int
	// Known is the number of workers that were looked at.
	Known int
	// LargeEnough is the number of workers that would fit the work when empty.
	LargeEnough int
	// Counts holds the number of workers by reason. It is exact when the plan
	// has fewer than MaxCandidates; otherwise workers that only the rules drain
	// are counted as Eligible unless they would have been named.
	Counts [Reasons]int

	// spare is the best candidate outside the zone of the work.
	spare    Candidate
	hasSpare bool
}

// The steps of the score. A worker in a nearer place always ranks before one
// in a farther place, and in one place a healthy worker before one to probe.
const (
	scoreProbe       int64 = 1 << 24
	scoreOtherZone   int64 = 1 << 32
	scoreOtherRegion int64 = 1 << 40
)

// spreadRange is the range of the part of the score that differs between works,
// in thousandths of a worker. An eighth is one slot of the workers in use, the
// load that a view misses when one more task has started since.
const spreadRange = 125

// Rank returns the best candidates for the demand. It takes no lock and
// allocates nothing.
func Rank(view *workers.View, set *rules.Set, demand Demand) Plan {
	var plan Plan
	scorer := newScorer(view, demand)
	entries := view.Entries()
	plan.Known = len(entries)
	for i := range entries {
		entry := &entries[i]
		reason := leftOut(view, i, entry, demand)
		if reason == Eligible {
			reason = plan.consider(view, set, i, scorer.score(i, entry))
		}
		plan.Counts[reason]++
	}
	plan.LargeEnough = plan.Known - plan.Counts[TooSmall]
	plan.leaveZone()
	plan.name(view)
	return plan
}

// Explain says why one worker is left out, for operators.
func Explain(view *workers.View, set *rules.Set, demand Demand, worker ident.WorkerID) Reason {
	for i := range view.List {
		if view.List[i].ID != worker {
			continue
		}
		reason := leftOut(view, i, &view.Entries()[i], demand)
		if reason == Eligible && set.Drained[worker] {
			return Drained
		}
		return reason
	}
	return NotReady
}

// leftOut returns the first reason against a worker but for the rules. The
// capacity lies outside the entry and is read only if the work doesn't fit.
func leftOut(view *workers.View, at int, entry *workers.Entry, demand Demand) Reason {
	fits := demand.Resources.Fits(entry.Free)
	if !fits && !demand.Resources.Fits(view.List[at].Capacity) {
		return TooSmall
	}
	switch entry.State {
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
	if int(entry.Calm) < demand.KeepQuiet && disturbs(view, at, entry, demand) {
		return Kept
	}
	return Eligible
}

// quietDisturbance is the disturbance in thousandths up to which a worker is
// quiet. At a tenth, the run time of urgent work stays within the goal of 1.2
// times that on an idle worker.
const quietDisturbance = 100

// disturbs reports whether a worker would not be quiet with the work, or would
// have less than half of its slots left. A worker that is too loud already gets
// nothing more, so that it becomes quiet when its tasks end.
func disturbs(view *workers.View, at int, entry *workers.Entry, demand Demand) bool {
	free := entry.Free.Slots - demand.Resources.Slots
	if 2*free < view.List[at].Capacity.Slots {
		return true
	}
	return int64(entry.Disturbance)+demand.Disturbs >= quietDisturbance
}

// consider adds a worker to the plan if it is among the best. The rules may be
// newer than the view; they are asked only about workers that would be named,
// since a lookup for each worker would double the time of a ranking.
func (p *Plan) consider(view *workers.View, set *rules.Set, at int, score int64) Reason {
	spare := score >= scoreOtherZone && (!p.hasSpare || score < p.spare.Score)
	if p.Count == MaxCandidates && score >= p.Candidates[MaxCandidates-1].Score && !spare {
		return Eligible
	}
	if len(set.Drained) > 0 && set.Drained[view.List[at].ID] {
		return Drained
	}
	candidate := Candidate{at: at, Score: score}
	if spare {
		p.spare, p.hasSpare = candidate, true
	}
	p.insert(candidate)
	return Eligible
}

// leaveZone makes the last candidate one of another zone, so that the attempts
// of one request outlast the loss of a zone.
func (p *Plan) leaveZone() {
	last := &p.Candidates[MaxCandidates-1]
	if p.hasSpare && p.Count == MaxCandidates && last.Score < scoreOtherZone {
		*last = p.spare
	}
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

// name fills in the names of the candidates.
func (p *Plan) name(view *workers.View) {
	for i := range p.Candidates[:p.Count] {
		candidate := &p.Candidates[i]
		worker := &view.List[candidate.at]
		candidate.Worker = worker.ID
		candidate.Zone = worker.Zone
		candidate.Region = worker.Region
	}
}
