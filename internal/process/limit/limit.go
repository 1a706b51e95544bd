// Package limit provides the counters on which limits of requests are based:
// token buckets, retry budgets, concurrency limits and estimates of service
// times.
//
// All state is held in atomic variables. No method blocks or reads a clock, and
// none takes a lock except that ServiceTimes takes one when it sees a service
// for the first time.
package limit

import (
	"sync/atomic"
	"time"
)

// Bucket is a token bucket that starts full. In any period it lets at most
// burst requests more through than the rate allows for the length of the
// period. It is safe for concurrent use.
type Bucket struct {
	start time.Time
	// fullAt is the time at which the bucket would be full again if nothing
	// more were taken, in nanoseconds after start.
	fullAt atomic.Int64
}

// NewBucket returns a bucket that is full from start on. All times passed to
// Take must come from the same clock as start.
func NewBucket(start time.Time) *Bucket {
	return &Bucket{start: start}
}

// Take takes one token, or returns the time to wait until there is one. rate is
// the number of tokens that are added per second, and burst the number of
// tokens that the bucket holds; both may change between calls. A burst below
// one counts as one. With a rate of zero there are never any tokens.
func (b *Bucket) Take(now time.Time, rate, burst float64) (wait time.Duration, taken bool) {
	if rate <= 0 {
		return zeroRateWait, false
	}
	perToken := int64(float64(time.Second) / rate)
	depth := int64(max(burst, 1) * float64(perToken))
	elapsed := int64(now.Sub(b.start))
	for {
		fullAt := b.fullAt.Load()
		nextFullAt := max(fullAt, elapsed) + perToken
		if nextFullAt-elapsed > depth {
			return time.Duration(nextFullAt - elapsed - depth), false
		}
		if b.fullAt.CompareAndSwap(fullAt, nextFullAt) {
			return 0, true
		}
	}
}

// zeroRateWait is the wait returned if the rate is zero. There will be no token
// until the rules change.
const zeroRateWait = time.Minute

// RetryBudget limits extra requests, such as retries, to a fraction of the
// regular requests. It is safe for concurrent use.
type RetryBudget struct {
	// units is the remaining budget. Each regular request adds one unit, and an
	// extra request costs unitsPerExtra.
	units atomic.Int64
}

const (
	// unitsPerExtra limits extra requests to 10% of the regular requests.
	unitsPerExtra = 10
	// maxUnits limits the unused budget to 20 extra requests. Without the limit, a
	// failure after a long period without failures would cause a burst of retries.
	maxUnits = 20 * unitsPerExtra
	// initialUnits is the initial budget of 5 extra requests, so that the first
	// requests of a process can be retried.
	initialUnits = 5 * unitsPerExtra
)

// NewRetryBudget returns a budget that allows 5 extra requests.
func NewRetryBudget() *RetryBudget {
	budget := &RetryBudget{}
	budget.units.Store(initialUnits)
	return budget
}

// AddRequest counts one regular request, which adds a tenth of an extra request
// to the budget.
func (b *RetryBudget) AddRequest() {
	for {
		units := b.units.Load()
		if units >= maxUnits || b.units.CompareAndSwap(units, units+1) {
			return
		}
	}
}

// TakeRetry takes one extra request, such as a retry, from the budget if it
// suffices, and reports whether it did.
func (b *RetryBudget) TakeRetry() bool {
	for {
		units := b.units.Load()
		if units < unitsPerExtra {
			return false
		}
		if b.units.CompareAndSwap(units, units-unitsPerExtra) {
			return true
		}
	}
}
