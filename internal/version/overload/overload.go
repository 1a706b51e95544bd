// Package overload forecasts when a submitted job would be complete, and decides whether to
// refuse it because it can't have any value. It has no clock and no state of its own: the
// caller passes in the running sums of the work that a leader has accepted.
//
// Work is CPU times duration, in thousandths of a core times milliseconds. Rates and capacities
// are in thousandths of a core, that is, work per millisecond.
package overload

import (
	"math"
	"time"
)

// Load describes what competes with a job for one kind of capacity.
type Load struct {
	// Capacity is what tasks of the kind may use in all, and Free the part of it that is not
	// in use.
	Capacity, Free float64
	// Queued is the work without a run of jobs that are served before the job and can still be
	// complete within their objectives. Running is the work of tasks that have a run.
	Queued, Running float64
	// Late is the work without a run of jobs that are served before the job once it is late.
	Late float64
	// Rate is the rate at which work that is served before late jobs was accepted recently.
	Rate float64
}

// Share describes the queue of a job among the queues that have work waiting.
type Share struct {
	// Queued is the work of the queue without a run, but for that of jobs without any value.
	Queued float64
	// Weight is the weight of the queue, and TotalWeight that of all queues with work waiting
	// and of this one.
	Weight, TotalWeight float64
}

// Job describes a submitted job.
type Job struct {
	// Work is the work of all its tasks.
	Work float64
	// Chain is the expected time of its longest chain of steps if nothing waits.
	Chain time.Duration
	// Objective is the time within which it has its full value. It has a part of its value
	// within LateFactor times the objective.
	Objective  time.Duration
	LateFactor float64
	// Returned is set if the job was refused before. Its caller has already waited, so that jobs
	// which are submitted for the first time go before it.
	Returned bool
}

// Reason is why a job is accepted or refused.
type Reason uint8

const (
	// Room: enough capacity is free.
	Room Reason = iota
	// InTime: the job is expected to be complete within its objective.
	InTime
	// WithinShare: its queue has less work waiting than its share can complete in time.
	WithinShare
	// InPart: the job is expected to be late, with a part of its value.
	InPart
	// Unknown: there is no forecast.
	Unknown
	// Hopeless: the job is expected to have no value.
	Hopeless
)

// String returns the name of the reason in log lines.
func (r Reason) String() string {
	return [...]string{"room", "in time", "within share", "in part", "unknown", "hopeless"}[r]
}

// Decision is the answer to a submission.
type Decision struct {
	Reason Reason
	// Expected is the expected time to completion, at most MaxExpected.
	Expected time.Duration
	// Excess is how much too late a refused job would be complete if nothing else were accepted.
	Excess time.Duration
}

// Refused reports whether the job is refused.
func (d Decision) Refused() bool { return d.Reason == Hopeless }

const (
	// freeShare is the part of the capacity that has to be free for a job to be accepted
	// without a forecast. While tasks wait, less than this is free for the time that an end
	// and the next start take, or in pieces that no task fits into.
	freeShare = 0.1
	// margin is the factor by which a forecast must exceed the limit for a refusal. Expected
	// durations are the mean of an image's runs; single jobs are faster.
	margin = 1.2
	// minLeftover is the part of the capacity that late jobs are assumed to get at least. It
	// keeps forecasts finite.
	minLeftover = 0.01
	// returnedShare is the part of the time that a job may wait within its objective that a job
	// which was refused before may wait.
	returnedShare = 0.3
	// minDelayShare is the part of its objective that any job may wait.
	minDelayShare = 0.1
	// MaxExpected is the longest expected time to completion.
	MaxExpected = 24 * time.Hour
)

// Decide forecasts the completion of a job and decides whether to refuse it.
func Decide(load Load, share Share, job Job) Decision {
	if load.Capacity <= 0 || job.Work <= 0 || job.Objective <= 0 {
		return Decision{Reason: Unknown, Expected: job.Chain}
	}
	inTime, limit := load.expectedInTime(job), load.limit(job)
	switch {
	case load.Free >= freeShare*load.Capacity:
		return Decision{Reason: Room, Expected: inTime}
	case inTime <= limit:
		return Decision{Reason: InTime, Expected: inTime}
	case share.expected(load, job) <= limit:
		return Decision{Reason: WithinShare, Expected: inTime}
	}
	expected := load.expectedLate(job)
	if float64(expected) <= margin*job.LateFactor*float64(max(job.Objective, limit)) {
		return Decision{Reason: InPart, Expected: expected}
	}
	return Decision{Reason: Hopeless, Expected: expected, Excess: max(0, inTime-limit)}
}

// limit returns the expected time to completion up to which the job is accepted as in time. A job
// that would be late on an idle fleet is not refused for that: it may wait as long as others.
func (l Load) limit(job Job) time.Duration {
	unloaded := l.completion(0, l.Capacity, job)
	limit := max(job.Objective, unloaded+time.Duration(minDelayShare*float64(job.Objective)))
	if job.Returned {
		return unloaded + time.Duration(returnedShare*float64(limit-unloaded))
	}
	return limit
}

// expectedInTime returns the expected completion of the job behind those that are in time. Of
// the work of running tasks, half is done on average.
func (l Load) expectedInTime(job Job) time.Duration {
	start := l.Queued / l.Capacity
	if busy := l.Running / 2 / l.Capacity; l.Queued > 0 {
		start += busy
	}
	return l.completion(start, l.Capacity, job)
}

// expectedLate returns the expected completion of the job if it becomes late. Work that is
// accepted meanwhile and in time is served before it.
func (l Load) expectedLate(job Job) time.Duration {
	leftover := max(l.Capacity-l.Rate, minLeftover*l.Capacity)
	return l.completion((l.Queued+l.Running/2+l.Late)/leftover, leftover, job)
}

// completion returns the time to completion of a job whose first task starts after start
// milliseconds and that is served at a rate.
func (l Load) completion(start, rate float64, job Job) time.Duration {
	return durationOf(start + max(float64(job.Chain.Milliseconds()), job.Work/rate))
}

// expected returns when the job would be complete if its queue had no more than its share of
// the capacity.
func (s Share) expected(load Load, job Job) time.Duration {
	if s.TotalWeight <= 0 {
		return MaxExpected
	}
	rate := load.Capacity * s.Weight / s.TotalWeight
	return load.completion(s.Queued/rate, rate, job)
}

// Exceeded reports whether a queue has more work waiting than its share of the capacity can
// complete within a time.
func (s Share) Exceeded(capacity float64, within time.Duration) bool {
	return s.Queued*s.TotalWeight > capacity*s.Weight*float64(within.Milliseconds())
}

func durationOf(millis float64) time.Duration {
	return time.Duration(min(millis, float64(MaxExpected.Milliseconds()))) * time.Millisecond
}

// Rate measures the rate of events over about rateWindow.
type Rate struct {
	sum float64
	at  time.Time
}

// rateWindow is the time constant of a Rate. It is about the objective of the shortest jobs, so
// that a rate falls as fast as their queue.
const rateWindow = 2 * time.Second

// Add counts an amount of work.
func (r *Rate) Add(now time.Time, work float64) { r.sum, r.at = r.decayed(now)+work, now }

// PerMilli returns the rate in work per millisecond.
func (r *Rate) PerMilli(now time.Time) float64 {
	return r.decayed(now) / float64(rateWindow.Milliseconds())
}

func (r *Rate) decayed(now time.Time) float64 {
	return r.sum * math.Exp(-float64(now.Sub(r.at))/float64(rateWindow))
}
