package limit_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/limit"
)

var start = time.Unix(1000, 0)

// Guards against more requests than the rate allows when threads race, and
// against a wait after which there is still no token.
func TestBucket(t *testing.T) {
	bucket := limit.NewBucket(start)
	var taken atomic.Int64
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 100 {
				if _, ok := bucket.Take(start, 10, 40); ok {
					taken.Add(1)
				}
			}
		})
	}
	group.Wait()
	assert.Equal(t, taken.Load(), int64(40))
	wait, _ := bucket.Take(start, 10, 40)
	assert.Equal(t, wait, 100*time.Millisecond)
	_, ok := bucket.Take(start.Add(wait), 10, 40)
	assert.Assert(t, ok)
	_, ok = bucket.Take(start.Add(time.Hour), 0, 40)
	assert.Assert(t, !ok)
}

// Guards against retries beyond 10% of the requests.
func TestBudget(t *testing.T) {
	budget := limit.NewBudget()
	extras := 0
	for range 10000 {
		budget.Earn()
		if budget.Spend() {
			extras++
		}
	}
	assert.Assert(t, extras >= 1000 && extras <= 1005, "%d", extras)
}

// Guards against a bound that ignores a slow backend server, that drops at once
// to nothing, or that never recovers.
func TestConcurrency(t *testing.T) {
	bound := limit.NewConcurrency(start, 1, 64)
	for i := range 20 {
		assert.Assert(t, bound.Acquire())
		bound.Release(start.Add(time.Duration(i)*10*time.Millisecond), time.Second, 100*time.Millisecond)
	}
	assert.Equal(t, bound.Bound(), int64(51))
	for i := range 100 {
		assert.Assert(t, bound.Acquire())
		bound.Release(start.Add(time.Duration(i)*time.Second), time.Second, 100*time.Millisecond)
	}
	assert.Equal(t, bound.Bound(), int64(1))
	assert.Assert(t, bound.Acquire())
	assert.Assert(t, !bound.Acquire())
	bound.Release(start, time.Second, time.Second)
	for range 200 {
		held := 0
		for bound.Acquire() {
			held++
		}
		for range held {
			bound.Release(start, time.Second, time.Second)
		}
	}
	assert.Equal(t, bound.Bound(), int64(64))
}

// Guards against an estimate that refuses all requests and, since none runs, is
// never corrected.
func TestTimesAge(t *testing.T) {
	times := limit.NewTimes(start)
	assert.Equal(t, times.Estimate("check", start), limit.Estimate{})
	for range 100 {
		times.Observe("check", time.Second, start)
	}
	known := times.Estimate("check", start)
	assert.Equal(t, known.Mean, time.Second)
	assert.Assert(t, known.High < 1100*time.Millisecond, "%v", known.High)
	assert.Equal(t, times.Estimate("check", start.Add(30*time.Second)).Mean, time.Second/8)
}
