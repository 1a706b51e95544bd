package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The time since a moment must include suspensions of the machine. Otherwise an
// instance that was suspended would rely on a lease that has expired.
func TestSinceIncludesSuspensions(t *testing.T) {
	assert.NilError(t, Check())
	current := Now()
	earlier := Moment{current.at.Add(-time.Second), current.suspended - 5*time.Second}
	assert.Assert(t, earlier.Since() >= 6*time.Second, "%v", earlier.Since())
	// The two clocks are not read at the same instant, so the result may be up
	// to a millisecond too small.
	assert.Assert(t, earlier.Suspended() > 5*time.Second-time.Millisecond, "%v", earlier.Suspended())
	assert.Assert(t, current.Suspended() < time.Second, "%v", current.Suspended())
}
