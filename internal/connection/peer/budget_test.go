package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/test/virtualtime"
)

// Bulk messages must leave half of the burst to a region, or urgent answers
// would have to wait for the budget.
func TestBulkLeavesBudgetToUrgentMessages(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const rate = 100_000
		shared := newRegionBudget(rate)
		for range 20 {
			if shared.bulkDelay(time.Now(), 10_000) == 0 {
				assert.NilError(t, shared.acquire(t.Context(), 10_000))
			}
		}
		started := time.Now()
		assert.NilError(t, shared.acquire(t.Context(), rate/2))
		assert.Equal(t, time.Since(started), time.Duration(0))

		wait := shared.bulkDelay(time.Now(), 10_000)
		time.Sleep(wait)
		assert.Equal(t, shared.bulkDelay(time.Now(), 10_000), time.Duration(0))
		assert.Equal(t, shared.sent.Load(), uint64(rate))
	})
}
