package drain

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/test/virtualtime"
)

// A shutdown must not cut off work in flight, and no work may begin after it.
// Calling done twice for one piece of work must not count as the end of
// another.
func TestDrainWaitsForWorkInFlight(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		gate := New()
		first, _ := gate.Begin()
		second, _ := gate.Begin()
		first()
		first()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, gate.Drain(ctx), context.DeadlineExceeded)
		_, ok := gate.Begin()
		assert.Assert(t, !ok)
		assert.Equal(t, gate.InFlight(), int64(1))
		go second()
		assert.NilError(t, gate.Drain(t.Context()))
	})
}

// No work may begin after Drain has returned. This would happen if Begin
// checked for Drain and counted the work in two steps, and Drain came between
// them.
func TestNoWorkBeginsAfterDrain(t *testing.T) {
	gate := New()
	var running atomic.Int64
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				if done, ok := gate.Begin(); ok {
					running.Add(1)
					running.Add(-1)
					done()
				}
			}
		})
	}
	assert.NilError(t, gate.Drain(t.Context()))
	assert.Equal(t, running.Load(), int64(0))
	group.Wait()
	assert.Equal(t, gate.InFlight(), int64(0))
}
