package retry

import (
	"time"

	"poplarvalve/internal/process/limit"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/rules"
)

const (
	// leastHedge is the shortest wait before a hedge. Times that hardly vary
	// would otherwise have every small delay spend the budget.
	leastHedge = 50 * time.Millisecond
	// unknownHedge is the wait for a service without measured times. It leaves
	// time for a second attempt within the 2.4 s of an urgent start.
	unknownHedge = 300 * time.Millisecond
)

// Hedger implements serve.Hedging over the budget of a policy and the measured
// times of services.
type Hedger struct {
	policy *Policy
	times  *limit.Times
}

// NewHedger returns a hedger that shares the budget of policy.
func NewHedger(policy *Policy, times *limit.Times) *Hedger {
	return &Hedger{policy: policy, times: times}
}

// After returns how long a request waits for an answer before another attempt,
// and false if another attempt makes no sense.
func (h *Hedger) After(request work.Request, service rules.Service, now time.Time) (wait time.Duration, sensible bool) {
	expected := h.times.Estimate(service.Name, now)
	if expected.High == 0 {
		expected.High = unknownHedge
	}
	wait, sensible = HedgeAfter(service.Idempotent, expected, request.Remaining)
	return max(wait, leastHedge), sensible
}

// Hedge takes one hedge from the budget, when the time of After is over.
func (h *Hedger) Hedge() bool {
	return h.policy.Hedge()
}
