package ledger_test

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/ledger"
	"poplarvalve/internal/process/resource"
)

// Concurrent Reserve and Resize calls must never reserve more than the capacity
// together. When all reservations are released, nothing may remain used, as it
// would if a refused call or a change of size did not take back all that it
// added, or took back too much.
func TestConcurrentReservationsNeverExceedCapacity(t *testing.T) {
	capacity := resource.Vector{CPU: 1000, Memory: 1000, Slots: 8}
	account := ledger.NewAccount(capacity)
	var held [2]atomic.Int64
	var exceeded atomic.Bool
	addHeld := func(change, slots int64) {
		if held[0].Add(change) > capacity.CPU || held[1].Add(slots) > capacity.Slots {
			exceeded.Store(true)
		}
	}
	var group sync.WaitGroup
	for seed := range uint64(16) {
		group.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 1))
			for range 5000 {
				size := resource.Vector{CPU: 1 + rng.Int64N(400), Memory: 1 + rng.Int64N(400), Slots: 1}
				if !account.Reserve(size) {
					continue
				}
				addHeld(size.CPU, 1)
				newSize := resource.Vector{CPU: 1 + rng.Int64N(400), Memory: 1 + rng.Int64N(400), Slots: 1}
				// If the reservation shrinks, lower the test's count before the
				// call. Otherwise another goroutine could reserve the released
				// part while it is still counted here.
				shrink := min(newSize.CPU-size.CPU, 0)
				addHeld(shrink, 0)
				if account.Resize(size, newSize) {
					addHeld(newSize.CPU-size.CPU-shrink, 0)
					size = newSize
				} else {
					held[0].Add(-shrink)
				}
				addHeld(-size.CPU, -1)
				account.Release(size)
			}
		})
	}
	group.Wait()
	assert.Assert(t, !exceeded.Load())
	assert.Equal(t, account.Used(), resource.Vector{})
	assert.Assert(t, account.Fits(capacity))
	assert.Assert(t, !account.Fits(capacity.Add(resource.Vector{Slots: 1})))
}
