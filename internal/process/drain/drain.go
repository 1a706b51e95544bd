// Package drain lets a process finish the work in flight before it stops.
package drain

import (
	"context"
	"sync"
	"sync/atomic"
)

// drainingBit is set in Gate.state once no more work may begin. The bits below
// it count the work in flight, so that one atomic operation reads or changes
// both.
const drainingBit int64 = 1 << 62

// Gate counts the work in flight. After Drain was called, no work can begin,
// and Drain waits for the work that began before. Create a Gate with New. It is
// safe for concurrent use.
type Gate struct {
	state atomic.Int64
	once  sync.Once
	idle  chan struct{}
}

// New returns a gate that lets work begin.
func New() *Gate {
	return &Gate{idle: make(chan struct{})}
}

// Begin counts one piece of work and returns true, unless Drain was called
// before. If ok is true, the caller must call done when the work has ended.
// Further calls of done have no effect.
func (g *Gate) Begin() (done func(), ok bool) {
	if g.state.Add(1)&drainingBit != 0 {
		g.finish()
		return func() {}, false
	}
	var doneCalled atomic.Bool
	return func() {
		if !doneCalled.Swap(true) {
			g.finish()
		}
	}, true
}

func (g *Gate) finish() {
	if g.state.Add(-1) == drainingBit {
		g.signalIdle()
	}
}

func (g *Gate) signalIdle() {
	g.once.Do(func() { close(g.idle) })
}

// InFlight returns the number of pieces of work in flight.
func (g *Gate) InFlight() int64 {
	return g.state.Load() &^ drainingBit
}

// Draining reports whether Drain was called.
func (g *Gate) Draining() bool {
	return g.state.Load()&drainingBit != 0
}

// Drain prevents further work from beginning and waits until no work is in
// flight. If ctx ends first, it returns the error of ctx.
func (g *Gate) Drain(ctx context.Context) error {
	if g.state.Or(drainingBit)&^drainingBit == 0 {
		g.signalIdle()
	}
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
