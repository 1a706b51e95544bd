// Package virtualtime runs tests under the virtual clock of testing/synctest.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f in a testing/synctest bubble with GOMAXPROCS set to 1.
//
// All timers of a bubble share one context of the race detector. Go 1.26.8
// crashes in the race detector if two processors run such timers at the same
// time: the root of the bubble on one, and on the other a goroutine that
// receives from the channel of a timer that is due. One processor is enough to
// find races, because the detector compares how accesses are ordered and not
// whether they happen at the same moment.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	previous := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(previous)
	synctest.Test(t, f)
}
