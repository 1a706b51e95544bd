package limit

import (
	"sync/atomic"
	"time"
)

// Concurrency bounds the requests in flight at one backend server and adapts
// the bound: it grows while requests are fast and shrinks when they slow down.
type Concurrency struct {
	start time.Time
	least int64
	most  int64
	// bound is in thousandths of a request.
	bound    atomic.Int64
	inFlight atomic.Int64
	// cut is the time after start of the newest decrease.
	cut atomic.Int64
}

const (
	thousand = 1000
	// keepPermille is what a decrease leaves of the bound.
	keepPermille = 900
	// cutPeriod is the least time between two decreases. Requests that were in
	// flight at a decrease say nothing about the bound after it.
	cutPeriod = 100 * time.Millisecond
	// slowFactor is how much longer than usual a request takes that counts as
	// slow.
	slowFactor = 2
)

// NewConcurrency returns a bound that starts at most and stays between least
// and most requests.
func NewConcurrency(start time.Time, least, most int64) *Concurrency {
	made := &Concurrency{start: start, least: least * thousand, most: most * thousand}
	made.bound.Store(made.most)
	made.cut.Store(-int64(cutPeriod))
	return made
}

// Acquire counts one request in flight if the bound allows it. The caller then
// calls Release once.
func (c *Concurrency) Acquire() bool {
	if c.inFlight.Add(1)*thousand <= c.bound.Load() {
		return true
	}
	c.inFlight.Add(-1)
	return false
}

// Release ends one request that took so long where usual is expected. A usual
// time of zero is unknown and leaves the bound as it is.
func (c *Concurrency) Release(now time.Time, took, usual time.Duration) {
	running := c.inFlight.Add(-1) + 1
	switch {
	case usual <= 0:
	case took > slowFactor*usual:
		c.decrease(now)
	default:
		c.increase(running)
	}
}

// Cancel ends one request that says nothing about the backend server.
func (c *Concurrency) Cancel() {
	c.inFlight.Add(-1)
}

// Bound returns the present bound in requests.
func (c *Concurrency) Bound() int64 {
	return c.bound.Load() / thousand
}

func (c *Concurrency) decrease(now time.Time) {
	elapsed := int64(now.Sub(c.start))
	last := c.cut.Load()
	if elapsed-last < int64(cutPeriod) {
		return
	}
	if !c.cut.CompareAndSwap(last, elapsed) {
		return
	}
	bound := c.bound.Load()
	c.bound.CompareAndSwap(bound, max(bound*keepPermille/thousand, c.least))
}

// increase adds up to one request to the bound for each bound of fast requests. A
// bound of which less than half is used is not proven and stays.
func (c *Concurrency) increase(running int64) {
	bound := c.bound.Load()
	if 2*running*thousand < bound {
		return
	}
	c.bound.CompareAndSwap(bound, min(bound+thousand*thousand/bound, c.most))
}
