// Package fence tracks whether the instance still holds its own member lease.
//
// If Open reports true at the moment when a message is sent, no other instance
// acts as the owner of what this instance owns. This guarantee requires a
// monotonic clock whose rate differs from the rates of the other instances'
// clocks by less than the clock margin allows.
package fence

import (
	"sync/atomic"
	"time"
)

// Fence holds the end of the lease. It is safe for concurrent use, and Open
// takes no lock.
type Fence struct {
	start time.Time
	// until is the end of the lease in nanoseconds after start.
	until atomic.Int64
	// parent is the fence to which this one is bound, or nil.
	parent *Fence
	// revoked says whether this bound fence was closed permanently.
	revoked atomic.Bool
}

// New returns a closed fence. All times passed to its methods must come from
// the same clock as start.
func New(start time.Time) *Fence {
	return &Fence{start: start}
}

// Bind returns a fence that is open while f is open and it was not revoked. It
// is meant for one incarnation in a process whose next incarnation renews the
// same lease.
func (f *Fence) Bind() *Fence {
	return &Fence{start: f.start, parent: f}
}

// Revoke closes a bound fence permanently. It must be called before the parent
// is renewed for the next incarnation, because that renewal would otherwise
// open this fence again.
func (f *Fence) Revoke() {
	f.revoked.Store(true)
}

// Renew extends the lease to sent + lease, where sent is the time at which the
// confirmed heartbeat was sent. It never shortens the lease.
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

// Close ends the lease immediately. A later Renew opens the fence again.
func (f *Fence) Close() {
	f.until.Store(0)
}

// Open reports whether the lease covers now.
func (f *Fence) Open(now time.Time) bool {
	if f.parent != nil {
		// The parent must be checked first: if it was already renewed for the
		// next incarnation, then this fence was revoked before, and the second
		// check sees that.
		return f.parent.Open(now) && !f.revoked.Load()
	}
	return int64(now.Sub(f.start)) < f.until.Load()
}

// Remaining returns the time from now to the end of the lease, or zero if the
// lease is over.
func (f *Fence) Remaining(now time.Time) time.Duration {
	if f.parent != nil {
		if f.revoked.Load() {
			return 0
		}
		return f.parent.Remaining(now)
	}
	remaining := time.Duration(f.until.Load()) - now.Sub(f.start)
	return max(remaining, 0)
}
