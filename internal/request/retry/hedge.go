package retry

import (
	"time"

	"poplarvalve/internal/process/limit"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/rules"
)

const (
	// minHedgeWait is the shortest wait before a hedge. Without it, a service
	// whose times hardly vary would spend the budget on every small delay.
	minHedgeWait = 50 * time.Millisecond
	// defaultHedgeWait is the wait for a service without measured times. It
	// leaves time for a second attempt within the 2.4 s in which an urgent
	// request should start.
	defaultHedgeWait = 300 * time.Millisecond
)

// Hedger implements serve.Hedging with the budget of a policy and the measured
// times of the services.
type Hedger struct {
	policy *Policy
	times  *limit.ServiceTimes
}

// NewHedger returns a hedger that takes its hedges from the budget of policy.
func NewHedger(policy *Policy, times *limit.ServiceTimes) *Hedger {
	return &Hedger{policy: policy, times: times}
}

// HedgeAfter returns how long a request waits for an answer before a hedge is
// sent. It returns false if the request must not be hedged: the service is not
// idempotent, or the hedge is expected to end after the deadline.
func (h *Hedger) HedgeAfter(request work.Request, service rules.Service, now time.Time) (wait time.Duration, allowed bool) {
	expected := h.times.Estimate(service.Name, now)
	if expected.High == 0 {
		expected.High = defaultHedgeWait
	}
	wait, allowed = HedgeAfter(service.Idempotent, expected, request.Remaining)
	return max(wait, minHedgeWait), allowed
}

// AllowHedge takes one hedge from the budget and reports whether there was one.
// It is called when the wait of HedgeAfter is over.
func (h *Hedger) AllowHedge() bool {
	return h.policy.AllowHedge()
}
