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

// Guards against threads that together hold more than the capacity, and
// against amounts that are lost or left over by refusals and changes of size.
func TestManyThreadsNeverExceedCapacity(t *testing.T) {
	capacity := resource.Vector{CPU: 1000, Memory: 1000, Slots: 8}
	account := ledger.NewAccount(capacity)
	var held [2]atomic.Int64
	var exceeded atomic.Bool
	hold := func(change, slots int64) {
		if held[0].Add(change) > capacity.CPU || held[1].Add(slots) > capacity.Slots {
			exceeded.Store(true)
		}
	}
	var group sync.WaitGroup
	for seed := range uint64(16) {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, 1))
			for range 5000 {
				size := resource.Vector{CPU: 1 + random.Int64N(400), Memory: 1 + random.Int64N(400), Slots: 1}
				if !account.Reserve(size) {
					continue
				}
				hold(size.CPU, 1)
				other := resource.Vector{CPU: 1 + random.Int64N(400), Memory: 1 + random.Int64N(400), Slots: 1}
				// A smaller size is given back by this thread's count first.
				shrink := min(other.CPU-size.CPU, 0)
				hold(shrink, 0)
				if account.Resize(size, other) {
					hold(other.CPU-size.CPU-shrink, 0)
					size = other
				} else {
					held[0].Add(-shrink)
				}
				hold(-size.CPU, -1)
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
