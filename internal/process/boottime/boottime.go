// Package boottime measures time that counts suspensions of the machine.
//
// The monotonic clock of Go stands still while a machine is suspended, so a
// holder of a lease that was suspended would take it for young. The clock of day
// counts suspensions, but steps.
package boottime

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Moment is a point in time at which Now was called.
type Moment struct {
	at time.Time
	// suspended is how long the machine had been suspended since it booted.
	suspended time.Duration
}

// Check returns an error if the machine can't tell how long it was suspended.
// Without it, Now counts no suspension.
func Check() error {
	_, err := suspended()
	return err
}

// Now returns the current moment.
func Now() Moment {
	total, err := suspended()
	if err != nil {
		total = 0 // Check has told; the clocks of a machine don't come and go.
	}
	return Moment{time.Now(), total}
}

// Since returns the time since the moment, suspensions included.
func (m Moment) Since() time.Duration {
	now := Now()
	return now.at.Sub(m.at) + now.suspended - m.suspended
}

// Suspended returns how long the machine was suspended since the moment.
func (m Moment) Suspended() time.Duration { return Now().suspended - m.suspended }

// suspended returns by how much the clock that counts suspensions is ahead of
// the one that doesn't.
func suspended() (time.Duration, error) {
	var steady, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady); err != nil {
		return 0, fmt.Errorf("reading the monotonic clock: %w", err)
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, fmt.Errorf("reading the boot clock: %w", err)
	}
	return time.Duration(boot.Nano() - steady.Nano()), nil
}
