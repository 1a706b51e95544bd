package job

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/jobs"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
)

// scoreSpread is the range of a score offset that differs by job and worker, in
// thousandths of a worker. It spreads jobs over workers of about equal load, so
// that several homes rarely choose the same worker.
const scoreSpread = 100

// teamQueue holds the waiting jobs of one team in descending order: the next
// job to place is the last.
type teamQueue struct {
	team    rules.Team
	usage   resource.Vector
	waiting []*jobs.Job
	// oldestAccepted is the time at which the job that has waited longest was
	// accepted, in milliseconds since the Unix epoch.
	oldestAccepted int64
	// belowReserve and weightedShare order the teams. updatePriority derives
	// them from usage.
	belowReserve  bool
	weightedShare float64
	// quotaReached ends the placements of a team that has reached its quota, so
	// that small jobs do not overtake a large one forever.
	quotaReached bool
}

// planner holds the state of one call of MakePlan.
type planner struct {
	Input
	plan          Plan
	queues        map[ident.TeamName]*teamQueue
	totalCapacity resource.Vector
	// free holds what is left of each worker of the view, in the order of the
	// view.
	free []resource.Vector
	// failedSearches holds, by demand, the searches of this round in which no
	// worker had enough free capacity.
	failedSearches map[resource.Vector]failedSearch
}

// MakePlan returns the plan for the open jobs of a table at input.Now.
func MakePlan(input Input) Plan {
	p := &planner{Input: input, queues: map[ident.TeamName]*teamQueue{}, failedSearches: map[resource.Vector]failedSearch{}}
	p.plan.WaitReasons = map[ident.JobID]*fault.Failure{}
	for i := range input.View.List {
		p.free = append(p.free, input.View.List[i].Free)
		p.totalCapacity = p.totalCapacity.Add(input.View.List[i].Capacity)
	}
	input.Table.VisitOpen(p.addJob)
	input.Table.VisitOpen(p.subtractUnreported)
	for _, q := range p.queues {
		p.updatePriority(q)
		slices.SortFunc(q.waiting, func(a, b *jobs.Job) int { return p.compareJobs(b, a) })
	}
	for len(p.plan.Placements) < input.MaxPlacements {
		q := p.nextQueue()
		if q == nil {
			break
		}
		candidate := q.waiting[len(q.waiting)-1]
		q.waiting = q.waiting[:len(q.waiting)-1]
		if refusal := p.placeJob(q, candidate); refusal != nil {
			p.plan.WaitReasons[candidate.Spec.ID] = refusal
		}
	}
	p.explainUnplaced()
	return p.plan
}

// addJob adds one open job to the queue or the usage of its team. A job with a
// step in progress counts as running, since its attempt may already be placed.
func (p *planner) addJob(job *jobs.Job) {
	name, _ := jobs.Team(job.Spec.ID)
	q, known := p.queues[name]
	if !known {
		q = &teamQueue{team: p.Rules.Teams[name], oldestAccepted: job.Accepted}
		p.queues[name] = q
	}
	_, inProgress := p.InProgress[job.Spec.ID]
	if inProgress || job.State == work.JobRunning {
		q.usage = q.usage.Add(job.Spec.Demand)
	}
	switch {
	case inProgress:
	case job.State == work.JobRunning:
		p.pollIfDue(job)
	default:
		q.waiting = append(q.waiting, job)
		q.oldestAccepted = min(q.oldestAccepted, job.Accepted)
	}
}

// subtractUnreported subtracts the demand of an attempt from the free capacity
// of its worker, if the attempt is still being placed or the worker's report is
// older than the attempt. Otherwise several rounds would assign the same free
// capacity.
func (p *planner) subtractUnreported(job *jobs.Job) {
	placedOn, inProgress := p.InProgress[job.Spec.ID]
	if !inProgress {
		placedOn = job.Location.Worker
	}
	i, known := slices.BinarySearchFunc(p.View.List, placedOn, func(w workers.Worker, id ident.WorkerID) int {
		return strings.Compare(string(w.ID), string(id))
	})
	if !known || !inProgress && job.State != work.JobRunning {
		return
	}
	measuredAt := p.View.List[i].Reported.Add(-reportLag)
	if inProgress || time.UnixMilli(job.Changed).After(measuredAt) {
		p.free[i] = p.free[i].Sub(job.Spec.Demand)
	}
}

func (p *planner) pollIfDue(job *jobs.Job) {
	if !p.Now.Before(p.NextPoll[job.Spec.ID]) {
		p.plan.Polls = append(p.plan.Polls, job)
	}
}

// compareJobs orders the jobs of a team: live tasks first, then the job
// accepted earliest.
func (p *planner) compareJobs(a, b *jobs.Job) int {
	liveA, liveB := p.classOf(a) == work.Live, p.classOf(b) == work.Live
	if liveA != liveB {
		if liveA {
			return -1
		}
		return 1
	}
	if a.Accepted != b.Accepted {
		return int(a.Accepted - b.Accepted)
	}
	if a.Spec.ID < b.Spec.ID {
		return -1
	}
	return 1
}

func (p *planner) classOf(job *jobs.Job) work.Class {
	return p.Rules.Services[job.Spec.Service].Class
}

// nextQueue returns the queue of the team whose turn it is, or nil if no team
// has a job that may be placed.
func (p *planner) nextQueue() *teamQueue {
	var best *teamQueue
	for _, q := range p.queues {
		if q.quotaReached || len(q.waiting) == 0 {
			continue
		}
		if best == nil || precedes(q, best) {
			best = q
		}
	}
	return best
}

// precedes orders teams: those below their reserve first, then those with the
// lower weighted share. The weighted share is the team's share of all workers
// divided by its weight, and counts less the longer its jobs wait.
func precedes(a, b *teamQueue) bool {
	if a.belowReserve != b.belowReserve {
		return a.belowReserve
	}
	if a.weightedShare != b.weightedShare {
		return a.weightedShare < b.weightedShare
	}
	return a.team.Name < b.team.Name
}

// updatePriority recomputes the fields that order a team after its usage has
// changed.
func (p *planner) updatePriority(q *teamQueue) {
	q.belowReserve = !q.team.Reserve.IsZero() && q.usage.DominantShare(q.team.Reserve) < 1
	share := q.usage.DominantShare(p.totalCapacity) / float64(max(q.team.Weight, 1))
	waited := p.Now.Sub(time.UnixMilli(q.oldestAccepted))
	q.weightedShare = share / (1 + max(waited.Seconds(), 0)/shareHalvingWait.Seconds())
}

// placeJob plans the next attempt of a job, or returns the reason why the job
// has to wait.
func (p *planner) placeJob(q *teamQueue, job *jobs.Job) *fault.Failure {
	service, known := p.Rules.Services[job.Spec.Service]
	if !known || service.Team != q.team.Name {
		return fault.New(fault.UnknownService, "%s", job.Spec.Service)
	}
	if wait := p.remainingRetryWait(job); wait > 0 {
		return fault.New(job.Reason, "the next attempt starts after a wait").WithRetryAfter(wait)
	}
	if !withinQuota(job.Spec.Demand, q.team.Quota) {
		return fault.New(fault.ExceedsAnyWorker, "the demand of the job exceeds the quota of team %s", q.team.Name)
	}
	if !withinQuota(q.usage.Add(job.Spec.Demand), q.team.Quota) {
		q.quotaReached = true
		return fault.New(fault.QuotaExceeded, "team %s", q.team.Name)
	}
	chosen, refusal := p.chooseWorker(job, service)
	if refusal != nil {
		return refusal
	}
	worker := &p.View.List[chosen]
	p.free[chosen] = p.free[chosen].Sub(job.Spec.Demand)
	q.usage = q.usage.Add(job.Spec.Demand)
	p.updatePriority(q)
	p.plan.Placements = append(p.plan.Placements, newPlacement(job, worker, service.Class))
	return nil
}

func newPlacement(job *jobs.Job, worker *workers.Worker, class work.Class) Placement {
	return Placement{
		Job:      job,
		Attempt:  job.Attempt + 1,
		Location: jobs.WorkerLocation{Worker: worker.ID, Address: worker.Address, Zone: worker.Zone, Region: worker.Region},
		Class:    class,
	}
}

// PlaceOnRequestedWorker returns the placement of a job on a requested worker.
// It returns false if the worker is unknown or not fit for the job, or if the
// attempts of this home alone leave too little of its capacity, since the owner
// may not have seen all of them yet.
func PlaceOnRequestedWorker(input Input, request ZoneRequest, requested ident.WorkerID) (Placement, bool) {
	view, set := input.View, input.Rules
	worker, known := view.Find(requested)
	if !known || worker.Leaving || set.DrainedWorkers[requested] || failedOn(request.Job, requested) {
		return Placement{}, false
	}
	if !request.Job.Spec.Demand.Add(demandOn(input, requested)).Fits(worker.Capacity) {
		return Placement{}, false
	}
	return newPlacement(request.Job, worker, request.Class), true
}

// demandOn returns the total demand of the table's attempts that run or are
// being placed on a worker.
func demandOn(input Input, worker ident.WorkerID) resource.Vector {
	var sum resource.Vector
	input.Table.VisitOpen(func(job *jobs.Job) {
		placedOn, inProgress := input.InProgress[job.Spec.ID]
		if !inProgress && job.State == work.JobRunning {
			placedOn = job.Location.Worker
		}
		if placedOn == worker {
			sum = sum.Add(job.Spec.Demand)
		}
	})
	return sum
}

// remainingRetryWait returns how long the job must still wait after its last
// attempt. Zero or less means that it need not wait.
func (p *planner) remainingRetryWait(job *jobs.Job) time.Duration {
	if job.FailuresInARow == 0 {
		return 0
	}
	longest := maxRetryWait
	if job.Reason != fault.TaskFailed && job.Reason != fault.WorkerLost {
		longest = maxRefusedRetryWait
	}
	wait := min(firstRetryWait<<min(job.FailuresInARow-1, 10), longest)
	since := p.Now.Sub(time.UnixMilli(job.Changed))
	// A home whose clock is ahead of this one must not delay the job beyond the
	// regular wait.
	return min(wait-since, wait)
}

// withinQuota reports whether an amount stays within a quota. A zero entry of
// the quota means no limit.
func withinQuota(amount, quota resource.Vector) bool {
	withinLimit := func(part, limit int64) bool { return limit == 0 || part <= limit }
	return withinLimit(amount.CPU, quota.CPU) &&
		withinLimit(amount.Memory, quota.Memory) &&
		withinLimit(amount.Accelerators, quota.Accelerators) &&
		withinLimit(amount.Slots, quota.Slots) &&
		withinLimit(amount.Connections, quota.Connections)
}

// failedSearch is the result of a search that found no worker with enough free
// capacity.
type failedSearch struct {
	refusal          *fault.Failure
	otherZoneWorkers []*workers.Worker
}

// searchResult is the result of one pass over the workers for a job.
type searchResult struct {
	best      int
	bestScore int64
	// largeEnough counts the workers that could hold the job when empty. usable
	// counts those of them that are neither leaving nor drained and, if the
	// search avoids them, on which the job did not fail.
	largeEnough, usable int
	// otherZoneWorkers holds workers of other zones, of which only the size is
	// known.
	otherZoneWorkers []*workers.Worker
}

// chooseWorker returns the index of the best worker with enough free capacity
// for the job. Workers on which the job failed are used again only if there is
// no other one.
func (p *planner) chooseWorker(job *jobs.Job, service rules.Service) (int, *fault.Failure) {
	neverFailed := job.LastFailedWorker == "" && len(job.FailedOn) == 0
	failed, searched := p.failedSearches[job.Spec.Demand]
	if !neverFailed || !searched {
		found := p.searchWorkers(job, true)
		if found.usable == 0 && !neverFailed {
			found = p.searchWorkers(job, false)
		}
		if found.best >= 0 {
			return found.best, nil
		}
		failed = failedSearch{p.noCapacityFailure(job, found.largeEnough), found.otherZoneWorkers}
		if neverFailed {
			p.failedSearches[job.Spec.Demand] = failed
		}
	}
	if len(failed.otherZoneWorkers) > 0 && len(p.plan.ZoneRequests) < p.MaxPlacements {
		p.addZoneRequest(job, service, failed.otherZoneWorkers)
	}
	return 0, failed.refusal
}

func (p *planner) searchWorkers(job *jobs.Job, avoidFailed bool) searchResult {
	found := searchResult{best: -1}
	for i := range p.View.List {
		worker := &p.View.List[i]
		if !job.Spec.Demand.Fits(worker.Capacity) {
			continue
		}
		found.largeEnough++
		if worker.Leaving || p.Rules.DrainedWorkers[worker.ID] || avoidFailed && failedOn(job, worker.ID) {
			continue
		}
		found.usable++
		p.considerWorker(&found, job, i)
	}
	return found
}

// considerWorker adds a worker that is large enough to the search result.
func (p *planner) considerWorker(found *searchResult, job *jobs.Job, i int) {
	worker := &p.View.List[i]
	if worker.Reported.IsZero() && !worker.Ready {
		found.otherZoneWorkers = append(found.otherZoneWorkers, worker)
		return
	}
	if !worker.Ready || worker.Health == workers.Failing || !job.Spec.Demand.Fits(p.free[i]) {
		return
	}
	if score := p.scoreWorker(job, worker, p.free[i]); found.best < 0 || score < found.bestScore {
		found.best, found.bestScore = i, score
	}
}

func failedOn(job *jobs.Job, worker ident.WorkerID) bool {
	return job.LastFailedWorker == worker || slices.Contains(job.FailedOn, worker)
}

// scoreWorker returns the score of a worker for a job; lower is better.
func (p *planner) scoreWorker(job *jobs.Job, worker *workers.Worker, free resource.Vector) int64 {
	used := worker.Capacity.Sub(free)
	points := int64(used.DominantShare(worker.Capacity)*1000) + worker.Disturbance
	return points + int64(xxhash.Sum64String(string(job.Spec.ID)+string(worker.ID))%scoreSpread)
}

// addZoneRequest adds a request to the zone of one of the workers. The worker
// changes with each attempt of the job and every five seconds.
func (p *planner) addZoneRequest(job *jobs.Job, service rules.Service, otherZoneWorkers []*workers.Worker) {
	selector := xxhash.Sum64String(string(job.Spec.ID)) + uint64(job.Attempt) + uint64(p.Now.Unix()/5)
	worker := otherZoneWorkers[selector%uint64(len(otherZoneWorkers))]
	p.plan.ZoneRequests = append(p.plan.ZoneRequests, ZoneRequest{Job: job, Zone: worker.Zone, Region: worker.Region, Class: service.Class})
}

func (p *planner) noCapacityFailure(job *jobs.Job, largeEnough int) *fault.Failure {
	switch {
	case len(p.View.List) == 0:
		return fault.New(fault.NoWorker, "no worker is known")
	case largeEnough == 0:
		return fault.New(fault.ExceedsAnyWorker, "no worker is large enough for %s", job.Spec.Demand)
	default:
		return fault.New(fault.NoCapacity, "no worker has free capacity for %s", job.Spec.Demand)
	}
}

// explainUnplaced sets the reason for the jobs that were not considered for
// placement in this round.
func (p *planner) explainUnplaced() {
	for _, q := range p.queues {
		reason := fault.New(fault.NoCapacity, "other jobs are placed first in this round")
		if q.quotaReached {
			reason = fault.New(fault.QuotaExceeded, "team %s", q.team.Name)
		}
		for _, job := range q.waiting {
			p.plan.WaitReasons[job.Spec.ID] = reason
		}
	}
}
