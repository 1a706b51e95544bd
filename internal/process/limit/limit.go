// Package limit holds the counters behind limits on requests: token buckets,
// budgets, concurrency limits and measured times.
//
// All state is in atomics; no method takes a lock, blocks or reads a clock.
package limit

import (
	"sync/atomic"
	"time"
)

// Bucket is a token bucket that starts full. Over any time it lets through at
// most burst requests more than rate allows.
type Bucket struct {
	start time.Time
	// full is the time after start at which the bucket would be full again.
	full atomic.Int64
}

// NewBucket returns a full bucket. Times before start count as start.
func NewBucket(start time.Time) *Bucket {
	return &Bucket{start: start}
}

// Take takes one token, or returns how long it takes until there is one. Rate
// is in tokens a second, burst in tokens; both may change between calls. A
// burst below one counts as one, and a rate of zero lets nothing through.
func (b *Bucket) Take(now time.Time, rate, burst float64) (wait time.Duration, taken bool) {
	if rate <= 0 {
		return noRateWait, false
	}
	one := int64(float64(time.Second) / rate)
	depth := int64(max(burst, 1) * float64(one))
	elapsed := int64(now.Sub(b.start))
	for {
		full := b.full.Load()
		next := max(full, elapsed) + one
		if next-elapsed > depth {
			return time.Duration(next - elapsed - depth), false
		}
		if b.full.CompareAndSwap(full, next) {
			return 0, true
		}
	}
}

// noRateWait is the wait stated to a caller whose rate is zero. Only a change
// of the rules helps it.
const noRateWait = time.Minute

// Budget lets through one extra for a fixed number of regular requests.
type Budget struct {
	// units counts unitsPerExtra for each extra that is left.
	units atomic.Int64
}

const (
	// unitsPerExtra makes extras 10% of regular requests.
	unitsPerExtra = 10
	// maxUnits bounds what a quiet period saves up to 20 extras, so that a
	// fault after it is not answered by a wave of retries.
	maxUnits = 20 * unitsPerExtra
	// firstUnits lets the first requests of a process be retried.
	firstUnits = 5 * unitsPerExtra
)

// NewBudget returns a budget with a few extras.
func NewBudget() *Budget {
	budget := &Budget{}
	budget.units.Store(firstUnits)
	return budget
}

// Earn counts one regular request.
func (b *Budget) Earn() {
	for {
		units := b.units.Load()
		if units >= maxUnits || b.units.CompareAndSwap(units, units+1) {
			return
		}
	}
}

// Spend takes one extra if there is one, and reports whether it did.
func (b *Budget) Spend() bool {
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
