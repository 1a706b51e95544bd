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

// Concurrent Take calls must not get more tokens than the rate and burst allow.
// After the wait that Take returns, there must be a token.
func TestBucketLimitsConcurrentTakes(t *testing.T) {
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

// Extra requests must not exceed 10% of the regular ones, apart from the
// initial budget of 5. More retries would add to the load when many requests
// fail.
func TestRetryBudgetAllowsTenPercentExtras(t *testing.T) {
	budget := limit.NewRetryBudget()
	extras := 0
	for range 10000 {
		budget.AddRequest()
		if budget.TakeRetry() {
			extras++
		}
	}
	assert.Assert(t, extras >= 1000 && extras <= 1005, "%d", extras)
}

// The bound must shrink when the backend server becomes slow, but by steps, and
// it must not fall below its minimum. When the server is fast again, the bound
// must return to its maximum.
func TestConcurrencyFollowsServerSpeed(t *testing.T) {
	concurrency := limit.NewConcurrency(start, 1, 64)
	for i := range 20 {
		assert.Assert(t, concurrency.Acquire())
		concurrency.Release(start.Add(time.Duration(i)*10*time.Millisecond), time.Second, 100*time.Millisecond)
	}
	assert.Equal(t, concurrency.Bound(), int64(51))
	for i := range 100 {
		assert.Assert(t, concurrency.Acquire())
		concurrency.Release(start.Add(time.Duration(i)*time.Second), time.Second, 100*time.Millisecond)
	}
	assert.Equal(t, concurrency.Bound(), int64(1))
	assert.Assert(t, concurrency.Acquire())
	assert.Assert(t, !concurrency.Acquire())
	concurrency.Release(start, time.Second, time.Second)
	for range 200 {
		held := 0
		for concurrency.Acquire() {
			held++
		}
		for range held {
			concurrency.Release(start, time.Second, time.Second)
		}
	}
	assert.Equal(t, concurrency.Bound(), int64(64))
}

// An estimate without new samples must decay. Otherwise an estimate that is too
// high makes the instance refuse all requests, and since none of them runs, it
// is never corrected.
func TestEstimateDecaysWithoutSamples(t *testing.T) {
	times := limit.NewServiceTimes(start)
	assert.Equal(t, times.Estimate("check", start), limit.Estimate{})
	for range 100 {
		times.Observe("check", time.Second, start)
	}
	known := times.Estimate("check", start)
	assert.Equal(t, known.Mean, time.Second)
	assert.Assert(t, known.High < 1100*time.Millisecond, "%v", known.High)
	assert.Equal(t, times.Estimate("check", start.Add(30*time.Second)).Mean, time.Second/8)
}
