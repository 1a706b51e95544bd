package instance

import (
	"time"

	"poplarvalve/internal/process/limit"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/request/admission"
	"poplarvalve/internal/request/retry"
	"poplarvalve/internal/version/rules"
)

// maxUrgentInFlight bounds the urgent requests in flight in one process. The
// bodies and answers of that many requests, at 16 KiB each, take 64 MB of the
// 256 MB that an instance may use.
const maxUrgentInFlight = 2048

// urgentLimits limits the urgent requests of one process. All incarnations of
// the process share it.
type urgentLimits struct {
	serviceTimes *limit.ServiceTimes
	admission    *admission.Gate
	retry        *retry.Policy
	hedging      *retry.Hedger
}

// newUrgentLimits returns limits whose retries and hedged requests share one
// budget. Each admitted request adds to that budget.
func newUrgentLimits(start time.Time, ruleSet *publish.Value[rules.Set], memberCount func() int, random func() float64) *urgentLimits {
	budget := limit.NewRetryBudget()
	times := limit.NewServiceTimes(start)
	policy := retry.NewPolicy(budget, random)
	return &urgentLimits{
		serviceTimes: times,
		admission:    admission.NewGate(start, ruleSet, times, budget, memberCount, maxUrgentInFlight),
		retry:        policy,
		hedging:      retry.NewHedger(policy, times),
	}
}
