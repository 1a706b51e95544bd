package instance

import (
	"time"

	"poplarvalve/internal/process/limit"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/request/admission"
	"poplarvalve/internal/request/retry"
	"poplarvalve/internal/version/rules"
)

// maxInFlight bounds the urgent requests of one process. Bodies and answers of
// that many at 16 KiB take 64 MB of the 256 MB that an instance may use.
const maxInFlight = 2048

// limits bounds the urgent requests of one process over all its incarnations.
type limits struct {
	times *limit.Times
	gate  *admission.Gate
	retry *retry.Policy
	hedge *retry.Hedger
}

// newLimits returns limits whose retries and hedges share one budget, which the
// admitted requests fill.
func newLimits(start time.Time, set *publish.Cell[rules.Set], members func() int, random func() float64) *limits {
	budget := limit.NewBudget()
	times := limit.NewTimes(start)
	policy := retry.NewPolicy(budget, random)
	return &limits{
		times: times,
		gate:  admission.NewGate(start, set, times, budget, members, maxInFlight),
		retry: policy,
		hedge: retry.NewHedger(policy, times),
	}
}
