// Package admission decides whether a request may be served.
//
// A refusal always has the outcome NotRun and states the time after which to
// try again. serve calls Gate.Admit once for each request, at the instance that
// places it.
package admission

import (
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/limit"
)

// Input is the input of a decision.
type Input struct {
	// Remaining is the time to the deadline; zero means that there is none.
	Remaining time.Duration
	// Expected is the estimate of the service's time from admission to answer,
	// taken from earlier requests.
	Expected limit.Estimate
	// InFlight is the number of requests in flight at this instance, and
	// FromCaller the number of those from the same caller. Neither counts this
	// request.
	InFlight   int64
	FromCaller int64
	// MaxInFlight is the maximum of InFlight.
	MaxInFlight int64
}

// Verdict is the decision on one request.
type Verdict struct {
	Admitted bool
	// Kind and RetryAfter are set only for a refusal.
	Kind       fault.Kind
	RetryAfter time.Duration
}

// minRetryAfter is the shortest wait that a refusal states. With a shorter one,
// callers would repeat refused requests so soon that refusals cause more load.
const minRetryAfter = 50 * time.Millisecond

// Decide admits a request that can meet its deadline while there is free
// capacity. A caller may add a request only while it has fewer requests in
// flight than there are free places. One caller therefore never takes more than
// half of the places, and two callers never more than two thirds.
func Decide(input Input) Verdict {
	free := input.MaxInFlight - input.InFlight
	if free <= 0 || input.FromCaller >= free {
		return refusal(fault.Overloaded, input.Expected.Mean)
	}
	if input.Remaining > 0 && input.Expected.Mean > input.Remaining {
		return refusal(fault.DeadlineTooShort, input.Expected.Mean-input.Remaining)
	}
	return Verdict{Admitted: true}
}

func refusal(kind fault.Kind, wait time.Duration) Verdict {
	return Verdict{Kind: kind, RetryAfter: max(wait, minRetryAfter)}
}
