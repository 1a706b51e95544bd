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
	// parent is the fence that this one is bound to, or nil.
	parent *Fence
	// revoked is whether a bound fence was closed for good.
	revoked atomic.Bool
}

// New returns a closed fence. Times given later must come from the same clock
// as start.
func New(start time.Time) *Fence {
	return &Fence{start: start}
}

// Bind returns a fence that is open while f is, until it is revoked. It serves
// one incarnation of a process whose next incarnation renews the same lease.
func (f *Fence) Bind() *Fence {
	return &Fence{start: f.start, parent: f}
}

// Revoke closes a bound fence for good. To exclude that the fence opens again,
// revoke it before its parent is renewed for the next incarnation.
func (f *Fence) Revoke() {
	f.revoked.Store(true)
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
	if f.parent != nil {
		// The parent comes first: if it was renewed for the next incarnation,
		// this fence is revoked by now.
		return f.parent.Open(now) && !f.revoked.Load()
	}
	return int64(now.Sub(f.start)) < f.until.Load()
}

// Remaining returns how long the lease lasts after now, or zero.
func (f *Fence) Remaining(now time.Time) time.Duration {
	if f.parent != nil {
		if f.revoked.Load() {
			return 0
		}
		return f.parent.Remaining(now)
	}
	left := time.Duration(f.until.Load()) - now.Sub(f.start)
	return max(left, 0)
}
