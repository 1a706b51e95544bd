// Package boottime measures elapsed time including the time during which the
// machine was suspended.
//
// Go's monotonic clock stops while the machine is suspended, so the holder of a
// lease would underestimate the age of the lease after a suspension. The wall
// clock continues during a suspension, but it may be stepped.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Moment is the point in time of a call of Now.
type Moment struct {
	at time.Time
	// suspended is the total time for which the machine had been suspended
	// since it booted.
	suspended time.Duration
}

// Check returns an error if the system can't tell how long the machine was
// suspended. In that case the times that Since returns do not include
// suspensions.
func Check() error {
	_, err := suspensionTime()
	return err
}

// Now returns the current point in time.
func Now() Moment {
	total, err := suspensionTime()
	if err != nil {
		// Check reports this error. A machine does not gain or lose a clock
		// while the process runs.
		total = 0
	}
	return Moment{time.Now(), total}
}

// Since returns the time that has passed since m, including suspensions.
func (m Moment) Since() time.Duration {
	now := Now()
	return now.at.Sub(m.at) + now.suspended - m.suspended
}

// Add returns the point in time after m by d, with no suspension between the two.
func (m Moment) Add(d time.Duration) Moment { return Moment{m.at.Add(d), m.suspended} }

// After reports whether m is after another point in time of the same machine.
func (m Moment) After(other Moment) bool {
	return m.at.Add(m.suspended).After(other.at.Add(other.suspended))
}

// Time returns the reading of the local clock at m.
func (m Moment) Time() time.Time { return m.at }

// Suspended returns how long the machine has been suspended since m.
func (m Moment) Suspended() time.Duration { return Now().suspended - m.suspended }

// suspensionTime returns the total time for which the machine has been
// suspended since it booted. This is the difference between the boot clock,
// which continues during a suspension, and the monotonic clock, which does not.
func suspensionTime() (time.Duration, error) {
	var monotonic, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, fmt.Errorf("reading the monotonic clock: %w", err)
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, fmt.Errorf("reading the boot clock: %w", err)
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}
