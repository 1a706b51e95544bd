// Package virtualtime runs tests in virtual time.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble of testing/synctest on one processor.
//
// The timers of a bubble share one context of the race detector. Where two
// processors run such timers at once (the root of the bubble, and a goroutine
// that receives from a timer's channel that is due), Go 1.26.8 crashes in the
// race detector. Races are found on one processor too, since the detector
// compares what is ordered and not what happened together.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	before := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(before)
	synctest.Test(t, f)
}
