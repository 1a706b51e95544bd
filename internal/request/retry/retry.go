// Package retry decides whether a request is tried on another worker and when
// an idempotent request is sent to a second one.
//
// Retries and hedges together are at most 10% of the admitted requests. serve
// calls Policy.Allow after an attempt that failed, and Policy.Hedge when a
// hedge is due.
package retry

import (
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/limit"
	"poplarvalve/internal/process/work"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// firstBackoff and maxBackoff bound the wait before an attempt, before
	// jitter. An urgent request should start within 2.4 s in all.
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 200 * time.Millisecond
)

// Plan says whether to try again and how long to wait first.
type Plan struct {
	Again bool
	Wait  time.Duration
}

// Decide returns the plan for attempt tried+1 after a failure. random is from
// [0, 1). A failure that another worker can't help with ends the request.
func Decide(tried int, failure *fault.Failure, remaining time.Duration, random float64) Plan {
	if tried >= maxAttempts || failure == nil || !helps(failure) {
		return Plan{}
	}
	wait := backoff(tried, failure, random)
	if remaining > 0 && wait >= remaining {
		return Plan{}
	}
	return Plan{Again: true, Wait: wait}
}

// helps reports whether another worker may succeed.
func helps(failure *fault.Failure) bool {
	switch failure.Kind {
	case fault.NotOwner, fault.OwnerNotReady, fault.NoCapacity, fault.Overloaded,
		fault.Fenced, fault.Draining, fault.Resolved, fault.LeaseLapsed,
		fault.PeerUnreachable, fault.PeerLost, fault.AnswerCut, fault.Malformed,
		fault.WorkerLeaving, fault.WorkerRefused, fault.WorkerUnreachable, fault.WorkerLost:
		return true
	default:
		return false
	}
}

// backoff waits only when the system is busy. A worker or peer that is gone
// says nothing about the next.
func backoff(tried int, failure *fault.Failure, random float64) time.Duration {
	switch failure.Kind {
	case fault.NoCapacity, fault.Overloaded:
	default:
		return 0
	}
	longest := min(firstBackoff<<min(max(tried-1, 0), maxAttempts), maxBackoff)
	return time.Duration(float64(longest) * (1 + random) / 2)
}

// HedgeAfter returns how long an idempotent request waits for its first attempt
// before a second one is sent, and false if a second one makes no sense.
func HedgeAfter(idempotent bool, expected limit.Estimate, remaining time.Duration) (time.Duration, bool) {
	if !idempotent || expected.High == 0 {
		return 0, false
	}
	if remaining > 0 && expected.High+expected.Mean > remaining {
		return 0, false
	}
	return expected.High, true
}

// Policy implements serve.Retry over the budget of the process.
type Policy struct {
	budget *limit.Budget
	random func() float64
}

// NewPolicy returns a policy. random returns numbers from [0, 1) and is safe
// for use by many threads.
func NewPolicy(budget *limit.Budget, random func() float64) *Policy {
	return &Policy{budget: budget, random: random}
}

// Allow is asked before attempt tried+1 and returns how long to wait first.
func (p *Policy) Allow(request work.Request, tried int, failure *fault.Failure, _ time.Time) (wait time.Duration, allowed bool) {
	plan := Decide(tried, failure, request.Remaining, p.random())
	if !plan.Again || !p.budget.Spend() {
		return 0, false
	}
	return plan.Wait, true
}

// Hedge takes one hedge from the budget, when the time of HedgeAfter is over
// and no answer has come.
func (p *Policy) Hedge() bool {
	return p.budget.Spend()
}
