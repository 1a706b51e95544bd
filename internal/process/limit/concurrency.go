package limit

import (
	"sync/atomic"
	"time"
)

// Concurrency limits the number of requests in flight at one backend server and
// adapts this bound to the server's speed: the bound grows while requests are
// fast and shrinks when they become slow. It is safe for concurrent use.
type Concurrency struct {
	start time.Time
	// minimum and maximum are the limits of bound, in thousandths of a request.
	minimum int64
	maximum int64
	// bound is the present bound in thousandths of a request.
	bound    atomic.Int64
	inFlight atomic.Int64
	// lastDecrease is the time of the newest decrease, in nanoseconds after
	// start.
	lastDecrease atomic.Int64
}

const (
	thousand = 1000
	// keepPermille is the part of the bound that a decrease leaves, in
	// thousandths.
	keepPermille = 900
	// minDecreaseInterval is the minimum time between two decreases. Requests
	// that were in flight at a decrease say nothing about the new bound.
	minDecreaseInterval = 100 * time.Millisecond
	// slowFactor is the multiple of the usual time above which a request counts
	// as slow.
	slowFactor = 2
)

// NewConcurrency returns a limit whose bound starts at maximum requests and
// stays between minimum and maximum requests.
func NewConcurrency(start time.Time, minimum, maximum int64) *Concurrency {
	limit := &Concurrency{start: start, minimum: minimum * thousand, maximum: maximum * thousand}
	limit.bound.Store(limit.maximum)
	limit.lastDecrease.Store(-int64(minDecreaseInterval))
	return limit
}

// Acquire counts one request in flight if the bound allows it, and reports
// whether it did. If so, the caller must call either Release or Cancel once.
func (c *Concurrency) Acquire() bool {
	if c.inFlight.Add(1)*thousand <= c.bound.Load() {
		return true
	}
	c.inFlight.Add(-1)
	return false
}

// Release ends one request and adapts the bound. took is the time that the
// request took, and usual the time that such requests usually take. If usual is
// zero, it is unknown and the bound stays unchanged.
func (c *Concurrency) Release(now time.Time, took, usual time.Duration) {
	inFlight := c.inFlight.Add(-1) + 1
	switch {
	case usual <= 0:
	case took > slowFactor*usual:
		c.decrease(now)
	default:
		c.increase(inFlight)
	}
}

// Cancel ends one request whose time says nothing about the backend server. The
// bound stays unchanged.
func (c *Concurrency) Cancel() {
	c.inFlight.Add(-1)
}

// Bound returns the present bound in requests, rounded down.
func (c *Concurrency) Bound() int64 {
	return c.bound.Load() / thousand
}

func (c *Concurrency) decrease(now time.Time) {
	elapsed := int64(now.Sub(c.start))
	last := c.lastDecrease.Load()
	if elapsed-last < int64(minDecreaseInterval) {
		return
	}
	if !c.lastDecrease.CompareAndSwap(last, elapsed) {
		return
	}
	bound := c.bound.Load()
	c.bound.CompareAndSwap(bound, max(bound*keepPermille/thousand, c.minimum))
}

// increase adds up to one request to the bound for every bound fast requests,
// so it adds 1/bound for each. inFlight is the number of requests that were in
// flight. If it is less than half of the bound, the bound stays unchanged,
// because a bound that is not used says nothing about the server.
func (c *Concurrency) increase(inFlight int64) {
	bound := c.bound.Load()
	if 2*inFlight*thousand < bound {
		return
	}
	c.bound.CompareAndSwap(bound, min(bound+thousand*thousand/bound, c.maximum))
}
