// Package admission decides whether a request may begin.
//
// A refusal is always of outcome NotRun and names a time after which to try
// again. serve calls Gate.Admit once for each request at the instance that
// places it.
package admission

import (
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/limit"
)

// Facts are what the decision needs to know.
type Facts struct {
	// Remaining is the time to the deadline; zero means that there is none.
	Remaining time.Duration
	// Expected is the measured time from admission to answer of the service.
	Expected limit.Estimate
	// InFlight is the number of requests at this instance, and FromCaller how
	// many of them are of the same caller.
	InFlight   int64
	FromCaller int64
	// Most is the bound of InFlight.
	Most int64
}

// Verdict is the decision.
type Verdict struct {
	Admitted bool
	// Kind and RetryAfter are set for a refusal.
	Kind       fault.Kind
	RetryAfter time.Duration
}

// leastRetry is the shortest wait that a refusal states. A shorter one would
// turn refusals into more load.
const leastRetry = 50 * time.Millisecond

// Decide admits a request that can meet its deadline while there is room. A
// caller has room while it has fewer requests in flight than are free, so one
// caller never takes more than half and two never more than two thirds.
func Decide(facts Facts) Verdict {
	free := facts.Most - facts.InFlight
	if free <= 0 || facts.FromCaller >= free {
		return refuse(fault.Overloaded, facts.Expected.Mean)
	}
	if facts.Remaining > 0 && facts.Expected.Mean > facts.Remaining {
		return refuse(fault.DeadlineTooShort, facts.Expected.Mean-facts.Remaining)
	}
	return Verdict{Admitted: true}
}

func refuse(kind fault.Kind, wait time.Duration) Verdict {
	return Verdict{Kind: kind, RetryAfter: max(wait, leastRetry)}
}
