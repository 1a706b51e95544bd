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

// scatter spreads jobs over workers of about equal load, in thousandths of a
// worker, so that several homes rarely choose the same one.
const scatter = 100

// queue holds the waiting jobs of one team, the next one last.
type queue struct {
	team  rules.Team
	usage resource.Vector
	jobs  []*jobs.Job
	// oldest is when the job that has waited longest was accepted.
	oldest int64
	// reserved and share order the teams. They follow from usage.
	reserved bool
	share    float64
	// full ends the placements of a team that has reached its quota, so that
	// small jobs don't overtake a large one for ever.
	full bool
}

// round is a plan in the making.
type round struct {
	Input
	plan  Plan
	teams map[ident.TeamName]*queue
	total resource.Vector
	// free holds what is left of each worker of the view, in its order.
	free []resource.Vector
	// missed holds the demands for which no worker has room in this round.
	missed map[resource.Vector]miss
}

// Round returns what to do with the jobs of a table now.
func Round(input Input) Plan {
	r := &round{Input: input, teams: map[ident.TeamName]*queue{}, missed: map[resource.Vector]miss{}}
	r.plan.Waits = map[ident.JobID]*fault.Failure{}
	for i := range input.View.List {
		r.free = append(r.free, input.View.List[i].Free)
		r.total = r.total.Add(input.View.List[i].Capacity)
	}
	input.Table.Open(r.sort)
	input.Table.Open(r.reserve)
	for _, q := range r.teams {
		r.weigh(q)
		slices.SortFunc(q.jobs, func(a, b *jobs.Job) int { return r.compare(b, a) })
	}
	for len(r.plan.Place) < input.Limit {
		q := r.next()
		if q == nil {
			break
		}
		candidate := q.jobs[len(q.jobs)-1]
		q.jobs = q.jobs[:len(q.jobs)-1]
		if refusal := r.place(q, candidate); refusal != nil {
			r.plan.Waits[candidate.Spec.ID] = refusal
		}
	}
	r.explainRest()
	return r.plan
}

// sort files one open job. Jobs with a step under way count as running, since
// their attempt may already be placed.
func (r *round) sort(job *jobs.Job) {
	name, _ := jobs.Team(job.Spec.ID)
	q, known := r.teams[name]
	if !known {
		q = &queue{team: r.Rules.Teams[name], oldest: job.Accepted}
		r.teams[name] = q
	}
	_, busy := r.Busy[job.Spec.ID]
	if busy || job.State == work.JobRunning {
		q.usage = q.usage.Add(job.Spec.Demand)
	}
	switch {
	case busy:
	case job.State == work.JobRunning:
		r.ask(job)
	default:
		q.jobs = append(q.jobs, job)
		q.oldest = min(q.oldest, job.Accepted)
	}
}

// reserve takes the demand of an attempt from the free amounts of its worker, if
// the view is older than the attempt. Otherwise several rounds would fill the
// same room.
func (r *round) reserve(job *jobs.Job) {
	at, busy := r.Busy[job.Spec.ID]
	if !busy {
		at = job.At.Worker
	}
	i, known := slices.BinarySearchFunc(r.View.List, at, func(w workers.Worker, id ident.WorkerID) int {
		return strings.Compare(string(w.ID), string(id))
	})
	if !known || !busy && job.State != work.JobRunning {
		return
	}
	shown := r.View.List[i].Reported.Add(-reportLag)
	if busy || time.UnixMilli(job.Changed).After(shown) {
		r.free[i] = r.free[i].Sub(job.Spec.Demand)
	}
}

func (r *round) ask(job *jobs.Job) {
	if !r.Now.Before(r.Due[job.Spec.ID]) {
		r.plan.Ask = append(r.plan.Ask, job)
	}
}

// compare orders the jobs of a team: live tasks first, then by age.
func (r *round) compare(a, b *jobs.Job) int {
	liveA, liveB := r.class(a) == work.Live, r.class(b) == work.Live
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

func (r *round) class(job *jobs.Job) work.Class {
	return r.Rules.Services[job.Spec.Service].Class
}

// next returns the queue of the team whose turn it is, or nil.
func (r *round) next() *queue {
	var best *queue
	for _, q := range r.teams {
		if q.full || len(q.jobs) == 0 {
			continue
		}
		if best == nil || before(q, best) {
			best = q
		}
	}
	return best
}

// before orders teams: those below their reserve first, then by their share of
// all workers over their weight, which counts less the longer they wait.
func before(a, b *queue) bool {
	if a.reserved != b.reserved {
		return a.reserved
	}
	if a.share != b.share {
		return a.share < b.share
	}
	return a.team.Name < b.team.Name
}

// weigh sets what orders a team after its usage has changed.
func (r *round) weigh(q *queue) {
	q.reserved = !q.team.Reserve.IsZero() && q.usage.DominantShare(q.team.Reserve) < 1
	share := q.usage.DominantShare(r.total) / float64(max(q.team.Weight, 1))
	waited := r.Now.Sub(time.UnixMilli(q.oldest))
	q.share = share / (1 + max(waited.Seconds(), 0)/agePeriod.Seconds())
}

// place plans the next attempt of a job, or says why it waits.
func (r *round) place(q *queue, job *jobs.Job) *fault.Failure {
	service, known := r.Rules.Services[job.Spec.Service]
	if !known || service.Team != q.team.Name {
		return fault.New(fault.UnknownService, "%s", job.Spec.Service)
	}
	if wait := r.retryWait(job); wait > 0 {
		return fault.New(job.Reason, "the next attempt begins later").WithRetryAfter(wait)
	}
	if !within(job.Spec.Demand, q.team.Quota) {
		return fault.New(fault.NeverFits, "the job exceeds the quota of team %s", q.team.Name)
	}
	if !within(q.usage.Add(job.Spec.Demand), q.team.Quota) {
		q.full = true
		return fault.New(fault.QuotaExceeded, "team %s", q.team.Name)
	}
	chosen, refusal := r.choose(job, service)
	if refusal != nil {
		return refusal
	}
	worker := &r.View.List[chosen]
	r.free[chosen] = r.free[chosen].Sub(job.Spec.Demand)
	q.usage = q.usage.Add(job.Spec.Demand)
	r.weigh(q)
	r.plan.Place = append(r.plan.Place, placement(job, worker, service.Class))
	return nil
}

func placement(job *jobs.Job, worker *workers.Worker, class work.Class) Placement {
	return Placement{
		Job:     job,
		Attempt: job.Attempt + 1,
		At:      jobs.Place{Worker: worker.ID, Address: worker.Address, Zone: worker.Zone, Region: worker.Region},
		Class:   class,
	}
}

// PlaceOffered returns the placement of a job on a worker that was offered, or
// false if the worker is not known, not fit for the job, or filled by the
// attempts of this home alone, which the owner may not have seen yet.
func PlaceOffered(input Input, offer Offer, offered ident.WorkerID) (Placement, bool) {
	view, set := input.View, input.Rules
	worker, known := view.Find(offered)
	if !known || worker.Leaving || set.Drained[offered] || failedOn(offer.Job, offered) {
		return Placement{}, false
	}
	if !offer.Job.Spec.Demand.Add(held(input, offered)).Fits(worker.Capacity) {
		return Placement{}, false
	}
	return placement(offer.Job, worker, offer.Class), true
}

// held returns what the attempts of a table take on a worker.
func held(input Input, worker ident.WorkerID) resource.Vector {
	var sum resource.Vector
	input.Table.Open(func(job *jobs.Job) {
		at, busy := input.Busy[job.Spec.ID]
		if !busy && job.State == work.JobRunning {
			at = job.At.Worker
		}
		if at == worker {
			sum = sum.Add(job.Spec.Demand)
		}
	})
	return sum
}

// retryWait is how long the job must still wait after its last attempt.
func (r *round) retryWait(job *jobs.Job) time.Duration {
	if job.Refusals == 0 {
		return 0
	}
	longest := maxRetry
	if job.Reason != fault.TaskFailed && job.Reason != fault.WorkerLost {
		longest = maxRefusedRetry
	}
	wait := min(firstRetry<<min(job.Refusals-1, 10), longest)
	since := r.Now.Sub(time.UnixMilli(job.Changed))
	// A home with a clock ahead of this one must not delay the job for longer.
	return min(wait-since, wait)
}

// within reports whether an amount keeps a quota, of which zero means no limit.
func within(amount, quota resource.Vector) bool {
	limited := func(part, limit int64) bool { return limit == 0 || part <= limit }
	return limited(amount.CPU, quota.CPU) &&
		limited(amount.Memory, quota.Memory) &&
		limited(amount.Accelerators, quota.Accelerators) &&
		limited(amount.Slots, quota.Slots) &&
		limited(amount.Connections, quota.Connections)
}

// miss is the result of a search that found no room.
type miss struct {
	refusal   *fault.Failure
	elsewhere []*workers.Worker
}

// search is one look over the workers for a job.
type search struct {
	best      int
	bestScore int64
	// large counts the workers that hold the job when empty, fresh those of
	// them on which it did not fail.
	large, fresh int
	// elsewhere holds workers of other zones, of which only the size is known.
	elsewhere []*workers.Worker
}

// choose returns the index of the best worker with room for the job. Workers on
// which it failed are used again only if there is no other one.
func (r *round) choose(job *jobs.Job, service rules.Service) (int, *fault.Failure) {
	unmarked := job.LastFailed == "" && len(job.FailedOn) == 0
	known, repeated := r.missed[job.Spec.Demand]
	if !unmarked || !repeated {
		found := r.search(job, true)
		if found.fresh == 0 && !unmarked {
			found = r.search(job, false)
		}
		if found.best >= 0 {
			return found.best, nil
		}
		known = miss{r.noRoom(job, found.large), found.elsewhere}
		if unmarked {
			r.missed[job.Spec.Demand] = known
		}
	}
	if len(known.elsewhere) > 0 && len(r.plan.Offers) < r.Limit {
		r.offer(job, service, known.elsewhere)
	}
	return 0, known.refusal
}

func (r *round) search(job *jobs.Job, avoidFailed bool) search {
	found := search{best: -1}
	for i := range r.View.List {
		worker := &r.View.List[i]
		if !job.Spec.Demand.Fits(worker.Capacity) {
			continue
		}
		found.large++
		if worker.Leaving || r.Rules.Drained[worker.ID] || avoidFailed && failedOn(job, worker.ID) {
			continue
		}
		found.fresh++
		r.consider(&found, job, i)
	}
	return found
}

// consider takes a worker that is large enough into the search.
func (r *round) consider(found *search, job *jobs.Job, i int) {
	worker := &r.View.List[i]
	if worker.Reported.IsZero() && !worker.Ready {
		found.elsewhere = append(found.elsewhere, worker)
		return
	}
	if !worker.Ready || worker.Health == workers.Failing || !job.Spec.Demand.Fits(r.free[i]) {
		return
	}
	if score := r.score(job, worker, r.free[i]); found.best < 0 || score < found.bestScore {
		found.best, found.bestScore = i, score
	}
}

func failedOn(job *jobs.Job, worker ident.WorkerID) bool {
	return job.LastFailed == worker || slices.Contains(job.FailedOn, worker)
}

// score is lower for a better worker.
func (r *round) score(job *jobs.Job, worker *workers.Worker, free resource.Vector) int64 {
	used := worker.Capacity.Sub(free)
	points := int64(used.DominantShare(worker.Capacity)*1000) + worker.Disturbance
	return points + int64(xxhash.Sum64String(string(job.Spec.ID)+string(worker.ID))%scatter)
}

// offer asks in the zone of one of the workers, another one with each attempt
// and each few seconds.
func (r *round) offer(job *jobs.Job, service rules.Service, elsewhere []*workers.Worker) {
	turn := xxhash.Sum64String(string(job.Spec.ID)) + uint64(job.Attempt) + uint64(r.Now.Unix()/5)
	worker := elsewhere[turn%uint64(len(elsewhere))]
	r.plan.Offers = append(r.plan.Offers, Offer{Job: job, Zone: worker.Zone, Region: worker.Region, Class: service.Class})
}

func (r *round) noRoom(job *jobs.Job, large int) *fault.Failure {
	switch {
	case len(r.View.List) == 0:
		return fault.New(fault.NoWorker, "no worker is known")
	case large == 0:
		return fault.New(fault.NeverFits, "no worker holds %s", job.Spec.Demand)
	default:
		return fault.New(fault.NoCapacity, "no worker has room for %s", job.Spec.Demand)
	}
}

// explainRest says why the jobs wait whose turn did not come.
func (r *round) explainRest() {
	for _, q := range r.teams {
		reason := fault.New(fault.NoCapacity, "other jobs come first")
		if q.full {
			reason = fault.New(fault.QuotaExceeded, "team %s", q.team.Name)
		}
		for _, job := range q.jobs {
			r.plan.Waits[job.Spec.ID] = reason
		}
	}
}
