// Package fence holds the instance's own member lease.
//
// While Open reports true at the moment a message is sent, no other instance
// acts as owner of what this instance owns. The guarantee needs a monotonic
// clock whose rate differs from that of other instances by less than the
// clock margin allows.
package fence

import (
	"sync/atomic"
	"time"
)

// Fence is safe for use by many threads; Open takes no lock.
type Fence struct {
	start time.Time
	// until is the end of the lease in nanoseconds after start.
	until atomic.Int64
}

// New returns a closed fence. Times given later must come from the same clock
// as start.
func New(start time.Time) *Fence {
	return &Fence{start: start}
}

// Renew extends the lease to sent + lease. sent is the moment at which the
// heartbeat that was confirmed had been sent. The lease never gets shorter.
func (f *Fence) Renew(sent time.Time, lease time.Duration) {
	until := int64(sent.Add(lease).Sub(f.start))
	for {
		current := f.until.Load()
		if until <= current {
			return
		}
		if f.until.CompareAndSwap(current, until) {
			return
		}
	}
}

// Close ends the lease at once.
func (f *Fence) Close() {
	f.until.Store(0)
}

// Open reports whether the lease covers now.
func (f *Fence) Open(now time.Time) bool {
	return int64(now.Sub(f.start)) < f.until.Load()
}

// Remaining returns how long the lease lasts after now, or zero.
func (f *Fence) Remaining(now time.Time) time.Duration {
	left := time.Duration(f.until.Load()) - now.Sub(f.start)
	return max(left, 0)
}
