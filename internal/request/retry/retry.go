// Package retry decides whether a failed request is tried on another worker,
// and when an idempotent request is hedged, that is, sent to a second worker
// while the first attempt runs.
//
// Retries and hedges together are limited to 10% of the admitted requests.
// serve calls Policy.Allow after a failed attempt, and Hedger.AllowHedge when a
// hedge is due.
package retry

import (
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/limit"
	"poplarvalve/internal/process/work"
)

const (
	// maxAttempts is the maximum number of attempts of one request.
	maxAttempts = 4
	// firstBackoff and maxBackoff bound the wait before an attempt, without
	// jitter. They are short, since all attempts of an urgent request together
	// should take at most 2.4 s to start it.
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
)

// Plan states whether to try again, and how long to wait first.
type Plan struct {
	Retry bool
	Wait  time.Duration
}

// Decide returns the plan for attempt number tried+1 after a failure. A
// remaining time of zero means that there is no deadline. random is a number
// from [0, 1) for the jitter. There is no further attempt after maxAttempts,
// after a failure that another worker cannot avoid, or if the wait would use up
// the remaining time.
func Decide(tried int, failure *fault.Failure, remaining time.Duration, random float64) Plan {
	if tried >= maxAttempts || failure == nil || !isRetryable(failure) {
		return Plan{}
	}
	wait := backoff(tried, failure, random)
	if remaining > 0 && wait >= remaining {
		return Plan{}
	}
	return Plan{Retry: true, Wait: wait}
}

// isRetryable reports whether an attempt on another worker may succeed.
func isRetryable(failure *fault.Failure) bool {
	switch failure.Kind {
	case fault.NotOwner, fault.OwnerNotReady, fault.NoCapacity, fault.Overloaded,
		fault.Fenced, fault.Draining, fault.ResolvedNotRun, fault.LeaseExpired,
		fault.PeerUnreachable, fault.PeerLost, fault.AnswerIncomplete, fault.Malformed,
		fault.WorkerLeaving, fault.WorkerRefused, fault.WorkerUnreachable, fault.WorkerLost:
		return true
	default:
		return false
	}
}

// backoff returns the wait before the next attempt. It is zero unless the
// system is short of capacity: the loss of a worker or peer says nothing about
// the state of the next one.
func backoff(tried int, failure *fault.Failure, random float64) time.Duration {
	switch failure.Kind {
	case fault.NoCapacity, fault.Overloaded:
	default:
		return 0
	}
	maxWait := min(firstBackoff<<min(max(tried-1, 0), maxAttempts), maxBackoff)
	return time.Duration(float64(maxWait) * (1 + random) / 2)
}

// HedgeAfter returns how long an idempotent request waits for its first attempt
// before a hedge is sent. It returns false if the request must not be hedged,
// if no time was measured, or if a hedge is expected to end after the deadline.
func HedgeAfter(idempotent bool, expected limit.Estimate, remaining time.Duration) (time.Duration, bool) {
	if !idempotent || expected.High == 0 {
		return 0, false
	}
	if remaining > 0 && expected.High+expected.Mean > remaining {
		return 0, false
	}
	return expected.High, true
}

// Policy implements serve.Retry. Its budget is shared by all requests of the
// process, and by the hedges of a Hedger.
type Policy struct {
	budget *limit.RetryBudget
	random func() float64
}

// NewPolicy returns a policy that takes retries and hedges from budget. random
// returns numbers from [0, 1) and must be safe for concurrent use.
func NewPolicy(budget *limit.RetryBudget, random func() float64) *Policy {
	return &Policy{budget: budget, random: random}
}

// Allow reports whether attempt number tried+1 may be made after a failure, and
// returns how long to wait first. An allowed attempt is taken from the budget.
func (p *Policy) Allow(request work.Request, tried int, failure *fault.Failure, _ time.Time) (wait time.Duration, allowed bool) {
	plan := Decide(tried, failure, request.Remaining, p.random())
	if !plan.Retry || !p.budget.TakeRetry() {
		return 0, false
	}
	return plan.Wait, true
}

// AllowHedge takes one hedge from the budget and reports whether there was one.
// It is called when the wait of HedgeAfter is over and no answer has arrived.
func (p *Policy) AllowHedge() bool {
	return p.budget.TakeRetry()
}
