package boottime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a lease that looks young because the machine was suspended.
func TestSuspensionsCount(t *testing.T) {
	assert.NilError(t, Check())
	now := Now()
	before := Moment{now.at.Add(-time.Second), now.suspended - 5*time.Second}
	assert.Assert(t, before.Since() >= 6*time.Second, "%v", before.Since())
	// The two clocks are not read at the same instant.
	assert.Assert(t, before.Suspended() > 5*time.Second-time.Millisecond, "%v", before.Suspended())
	assert.Assert(t, now.Suspended() < time.Second, "%v", now.Suspended())
}
