// Package drain lets a process finish what it has begun before it stops.
package drain

import (
	"context"
	"sync"
	"sync/atomic"
)

// closed is set in the counter once no more work may begin. The bits below it
// count the work in flight, so that one atomic operation sees both.
const closed int64 = 1 << 62

// Gate counts work in flight. Work that began is waited for, and none begins
// after Drain was called. Create it with New.
type Gate struct {
	state atomic.Int64
	once  sync.Once
	idle  chan struct{}
}

// New returns an open gate.
func New() *Gate {
	return &Gate{idle: make(chan struct{})}
}

// Begin counts one piece of work, unless Drain was called. If ok, the caller
// calls done when the work is over; further calls of done do nothing.
func (g *Gate) Begin() (done func(), ok bool) {
	if g.state.Add(1)&closed != 0 {
		g.finish()
		return func() {}, false
	}
	var finished atomic.Bool
	return func() {
		if !finished.Swap(true) {
			g.finish()
		}
	}, true
}

func (g *Gate) finish() {
	if g.state.Add(-1) == closed {
		g.signal()
	}
}

func (g *Gate) signal() {
	g.once.Do(func() { close(g.idle) })
}

// InFlight returns the number of pieces of work in flight.
func (g *Gate) InFlight() int64 {
	return g.state.Load() &^ closed
}

// Draining reports whether Drain was called.
func (g *Gate) Draining() bool {
	return g.state.Load()&closed != 0
}

// Drain lets no more work begin and returns when none is in flight, or with
// the error of ctx when that ends first.
func (g *Gate) Drain(ctx context.Context) error {
	if g.state.Or(closed)&^closed == 0 {
		g.signal()
	}
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
