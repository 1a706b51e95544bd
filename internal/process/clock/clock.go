// Package clock is the only source of time of the process code.
package clock

import "time"

// Clock tells time and makes timers. Times carry a monotonic reading, so a
// change of the wall clock doesn't move a lease.
type Clock interface {
	Now() time.Time
	NewTimer(d time.Duration) *time.Timer
	NewTicker(d time.Duration) *time.Ticker
}

// System is the clock of the machine. Inside a testing/synctest bubble it is
// virtual.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// NewTimer returns a timer that fires once after d.
func (System) NewTimer(d time.Duration) *time.Timer { return time.NewTimer(d) }

// NewTicker returns a ticker with period d.
func (System) NewTicker(d time.Duration) *time.Ticker { return time.NewTicker(d) }
