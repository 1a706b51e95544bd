package retry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/limit"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/retry"
	"poplarvalve/internal/request/serve"
)

var _ serve.Retry = (*retry.Policy)(nil)

// Work that has run or was canceled must not be repeated, a request must not
// get more than maxAttempts attempts, and a retry must not wait longer than the
// time left to the deadline.
func TestDecideLimitsRetries(t *testing.T) {
	busy, lost := fault.New(fault.NoCapacity, ""), fault.New(fault.WorkerLost, "")
	assert.Equal(t, retry.Decide(1, fault.New(fault.TaskFailed, ""), 0, 0), retry.Plan{})
	assert.Equal(t, retry.Decide(1, fault.New(fault.Canceled, ""), 0, 0), retry.Plan{})
	assert.Equal(t, retry.Decide(1, lost, 0, 0.5), retry.Plan{Retry: true})
	assert.Equal(t, retry.Decide(4, lost, 0, 0), retry.Plan{})
	assert.Equal(t, retry.Decide(3, busy, 0, 0.5), retry.Plan{Retry: true, Wait: 30 * time.Millisecond})
	assert.Equal(t, retry.Decide(3, busy, 30*time.Millisecond, 0.5), retry.Plan{})
}

// During an outage every request fails. If each were retried, the retries would
// multiply the load, so the budget limits them to 10% of the requests, and
// hedges share it.
func TestBudgetLimitsRetriesAndHedges(t *testing.T) {
	budget := limit.NewRetryBudget()
	policy := retry.NewPolicy(budget, func() float64 { return 0 })
	retries := 0
	for range 1000 {
		budget.AddRequest()
		if _, allowed := policy.Allow(work.Request{}, 1, fault.New(fault.WorkerLost, ""), time.Time{}); allowed {
			retries++
		}
	}
	assert.Assert(t, retries <= 105, "%d", retries)
	assert.Assert(t, !policy.AllowHedge())
}

// A request that is not idempotent must not run twice, so it is never hedged.
// An idempotent one is hedged only if the hedge can end before the deadline.
func TestHedgesOnlyIdempotentRequestsInTime(t *testing.T) {
	expected := limit.Estimate{Mean: time.Second, High: 2 * time.Second}
	_, allowed := retry.HedgeAfter(false, expected, 0)
	assert.Assert(t, !allowed)
	_, allowed = retry.HedgeAfter(true, expected, 2500*time.Millisecond)
	assert.Assert(t, !allowed)
	wait, allowed := retry.HedgeAfter(true, expected, 10*time.Second)
	assert.Assert(t, allowed)
	assert.Equal(t, wait, 2*time.Second)
}
