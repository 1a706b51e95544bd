package cell

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/overload"
	"poplarvalve/internal/version/statebudget"
)

// refusals holds the submissions that were refused recently. Another attempt to submit a refused
// job may still be on its way. If it were accepted, a job would run of which the caller was told
// that it never runs.
type refusals struct {
	until map[jobspec.ID]time.Time
	// order lists the IDs in the order in which they were refused.
	order []jobspec.ID
	// limit bounds the remembered refusals.
	limit int
	// loggedAt is when a refusal was last logged, and unlogged the number of those since.
	loggedAt time.Time
	unlogged int
}

const (
	// maxRefusals bounds the remembered refusals. It is what is refused within
	// overload.MaxWait at ten times the target of job arrivals. On small machines they take at
	// most a part of the budget, refusalShare, with refusalBytes each.
	maxRefusals  = 1 << 16
	refusalShare = 1.0 / 16
	refusalBytes = 128
	// returnPeriod is for how long after its wait a refused job is remembered.
	returnPeriod = overload.MaxWait
	// refusalLogPeriod is the shortest time between two log lines about refusals.
	refusalLogPeriod = 200 * time.Millisecond
)

// add remembers a refusal until the end of the wait that the caller was told.
func (r *refusals) add(now time.Time, id jobspec.ID, wait time.Duration) {
	if r.until == nil {
		r.until = map[jobspec.ID]time.Time{}
	}
	for len(r.order) > 0 && (len(r.order) >= r.limit || now.Sub(r.until[r.order[0]]) > returnPeriod) {
		delete(r.until, r.order[0])
		r.order = r.order[1:]
	}
	r.until[id] = now.Add(wait)
	r.order = append(r.order, id)
}

// contains reports whether a job was refused recently.
func (r *refusals) contains(id jobspec.ID) bool {
	_, found := r.until[id]
	return found
}

// RefusalWait returns the wait for the caller of a submission that was refused. It is at least
// overload.MinWait.
func (c *Cell) RefusalWait(now time.Time, id jobspec.ID) time.Duration {
	return max(overload.MinWait, c.refused.until[id].Sub(now))
}

// newRefusals returns refusals of which as many are remembered as a budget allows.
func newRefusals(limits statebudget.Limits) refusals {
	return refusals{limit: int(min(maxRefusals, float64(limits.Bytes)*refusalShare/refusalBytes))}
}

// RefuseForRoom answers the submission of a job for which the budget has no room. A repeat of a
// job that is known is not refused.
func (c *Cell) RefuseForRoom(now time.Time, request uint64, id jobspec.ID, queue string, refusal statebudget.Refusal) SubmitResult {
	if result, known := c.submitKnown(request, id); known {
		return result
	}
	if now.Before(c.refused.until[id]) {
		return SubmitRefused
	}
	wait := c.config.Budget.Wait(now, refusal, xxhash.Sum64String(string(id)))
	c.refused.add(now, id, wait)
	if outcome, due := c.refused.logLine(now); due {
		state := c.config.Budget.State()
		c.addEvent(DecisionEvent{Event: "job refused", Task: TaskID{Job: id}, Outcome: fmt.Sprintf(
			"queue %s: no room (%s), %d KB held and %d KB in flight of %d KB, wait %d ms; %s",
			queue, refusal, state.HeldBytes>>10, state.InFlightBytes>>10, state.LimitBytes>>10, wait.Milliseconds(), outcome)})
	}
	return SubmitRefused
}

// refuses decides whether to refuse a new job, from the sums of the work that is accepted.
func (c *Cell) refuses(now time.Time, record JobRecord) bool {
	if c.work == nil || !isJudged(&record.Job) {
		return false
	}
	j := newJob(record, now)
	j.work = c.newJobWork(j)
	kind, work := j.work.mainKind(j)
	k := &j.work.pool[kind]
	load, share := k.load(now, j), k.share(j.terms.Queue)
	objective := c.objective(j)
	decision := overload.Decide(load, share, overload.Job{
		Work: float64(work), Chain: c.expectedChain(j), Objective: objective, LateFactor: lateFactor,
		Returned: c.refused.contains(j.id),
	})
	k.floors.Observe(float64(work))
	if !decision.Refused() || k.floors.Allow(now, float64(work), load.Capacity) {
		c.expected = decision.Expected
		return false
	}
	need := time.Duration(min(float64(work)/load.Capacity, float64(overload.MaxWait.Milliseconds()))) * time.Millisecond
	wait := k.pacer.Wait(now, decision.Excess, need, xxhash.Sum64String(string(j.id)))
	c.refused.add(now, j.id, wait)
	if c.effects.Refused == nil {
		c.effects.Refused = map[string]int{}
	}
	c.effects.Refused[j.terms.Queue]++
	c.reportRefusal(now, j, decision.Expected, wait, objective, load)
	return true
}

// isJudged reports whether jobs of the kind may be refused. Nothing is forecast for long-running
// jobs and for jobs with due times.
func isJudged(spec *jobspec.Job) bool {
	if spec.Occurrences > 0 {
		return false
	}
	for i := range spec.Steps {
		if spec.Steps[i].LongRunning {
			return false
		}
	}
	return true
}

// mainKind returns the kind of most of the work of the job, and the work of that kind.
func (w *jobWork) mainKind(j *job) (kind workKind, work int64) {
	total := w.total(j)
	if total[spareWork] > total[reservedWork] {
		return spareWork, total[spareWork]
	}
	return reservedWork, total[reservedWork]
}

// load returns what competes with a job for the kind of capacity. Its cost grows with the number
// of ranks, not with what waits.
func (k *kindWork) load(now time.Time, j *job) overload.Load {
	load := overload.Load{Capacity: k.capacity, Free: k.free, Running: float64(k.running)}
	for _, sums := range k.ranks {
		rank := sums.rank
		if rank.priority <= j.work.rank.priority {
			load.Rate += sums.accepted.PerMilli(now)
		}
		if rank.isServedBefore(j.work.rank) {
			load.Queued += float64(sums.groups[inTimeWork].queued)
			load.Late += float64(sums.groups[lateWork].queued)
		}
	}
	return load
}

// share returns the part of a queue in the work that waits. All queues have the same weight.
func (k *kindWork) share(queue string) overload.Share {
	share := overload.Share{Queued: float64(k.queued[queue]), Weight: 1, TotalWeight: float64(len(k.queued))}
	if share.Queued == 0 {
		share.TotalWeight++
	}
	return share
}

// countAccepted counts a job that was just accepted.
func (c *Cell) countAccepted(now time.Time, j *job) {
	if c.work == nil {
		return
	}
	c.countJob(j)
	j.work.expected, c.expected = c.expected, 0
	for kind, work := range j.work.total(j) {
		if work > 0 {
			j.work.pool[kind].rank(j.work.rank).accepted.Add(now, float64(work))
		}
	}
}

// countEnded counts a job that has just ended, and compares its time to completion with the
// forecast.
func (c *Cell) countEnded(now time.Time, j *job) {
	if c.work == nil {
		return
	}
	c.countJob(j)
	if j.state == Completed && j.work.expected > 0 {
		c.effects.CompletionRatios = append(c.effects.CompletionRatios, float64(now.Sub(j.acceptedAt))/float64(j.work.expected))
	}
}

func (c *Cell) reportRefusal(now time.Time, j *job, expected, wait, objective time.Duration, load overload.Load) {
	outcome, due := c.refused.logLine(now)
	if !due {
		return
	}
	const coreSecond = 1e6
	c.addEvent(DecisionEvent{Event: "job refused", Task: TaskID{Job: j.id}, Outcome: fmt.Sprintf(
		"queue %s: expected after %d ms, objective %d ms, %.0f core seconds queued before it and %.0f late, capacity %.0f cores, wait %d ms; %s",
		j.terms.Queue, expected.Milliseconds(), objective.Milliseconds(), load.Queued/coreSecond, load.Late/coreSecond, load.Capacity/1000,
		wait.Milliseconds(), outcome)})
}

// logLine counts a refusal and reports whether a line about it is due, with the number of refusals
// since the last one.
func (r *refusals) logLine(now time.Time) (outcome string, due bool) {
	r.unlogged++
	if now.Sub(r.loggedAt) < refusalLogPeriod {
		return "", false
	}
	outcome = fmt.Sprintf("%d refused since the last line", r.unlogged)
	r.loggedAt, r.unlogged = now, 0
	return outcome, true
}

// expectedChain returns the time that the job takes if nothing waits, by what its images took
// before.
func (c *Cell) expectedChain(j *job) time.Duration {
	return c.durations.scale(j, c.longestChain(j, func(int) bool { return true }))
}

// remainingByForecast returns the time that an unstarted job is expected to take. Without
// Config.RefuseHopeless it is the time by the caller's estimates. If that is too short, jobs
// start that can't be complete in time any more, and others become late behind them.
func (c *Cell) remainingByForecast(j *job) time.Duration {
	remaining := c.remaining(j)
	if c.work == nil || j.started {
		return remaining
	}
	return c.durations.scale(j, remaining)
}

// noteUrgency counts the work of a job by its urgency, and ranks a job of a queue that has more
// work waiting than its share of the capacity completes in time behind the jobs of the others.
func (c *Cell) noteUrgency(j *job) {
	if c.work == nil || j.work == nil {
		return
	}
	j.work.setGroup(workGroupOf(j.urgency.class))
	if j.urgency.class != unstartedInTime {
		return
	}
	kind, _ := j.work.mainKind(j)
	k := &j.work.pool[kind]
	j.urgency.beyondShare = k.share(j.terms.Queue).Exceeded(k.capacity, c.objective(j))
}
