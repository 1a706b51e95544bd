// Package clock provides the time and timers to the code of the process. Code
// that gets a Clock can run on virtual time in tests.
package clock

import "time"

// Clock returns the current time and creates timers. The times contain a
// monotonic reading, so that a change of the wall clock does not shorten or
// extend a lease.
type Clock interface {
	Now() time.Time
	NewTimer(d time.Duration) *time.Timer
	NewTicker(d time.Duration) *time.Ticker
}

// System is the clock of the machine. In a testing/synctest bubble it is the
// virtual clock of the bubble.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// NewTimer returns a timer that fires once, after the duration d.
func (System) NewTimer(d time.Duration) *time.Timer { return time.NewTimer(d) }

// NewTicker returns a ticker that fires at intervals of d.
func (System) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }
