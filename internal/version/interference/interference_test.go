package interference_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/version/interference"
)

var start = time.Unix(100000, 0)

func report(slowdown int64, at time.Duration, colocated ...interference.RunningCount) interference.Report {
	return interference.Report{Kind: "check", Colocated: colocated, Slowdown: slowdown, MeasuredAt: start.Add(at)}
}

func assertNear(t *testing.T, got, want, tolerance int64) {
	t.Helper()
	assert.Assert(t, got >= want-tolerance && got <= want+tolerance, "got %d, want about %d", got, want)
}

// A noisy and a quiet neighbour run together in most reports, and the measurements
// contain random noise. The estimates must still tell the two apart.
func TestEstimatesOfKindsAreToldApart(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 2))
	var table *interference.Table
	assertNear(t, table.ExtraPerTask("check", "noisy"), 200, 0)
	for i := range 400 {
		noisy, quiet := source.IntN(4), source.IntN(4)
		slowdown := 1000 + int64(noisy)*600 + int64(quiet)*50 + source.Int64N(101) - 50
		table = table.Add([]interference.Report{report(slowdown, time.Duration(i)*time.Second,
			interference.RunningCount{Kind: "noisy", Count: noisy}, interference.RunningCount{Kind: "quiet", Count: quiet})})
	}
	assertNear(t, table.ExtraPerTask("check", "noisy"), 600, 100)
	assertNear(t, table.ExtraPerTask("check", "quiet"), 50, 60)
	running := []interference.RunningCount{{Kind: "noisy", Count: 2}, {Kind: "other", Count: 1}}
	assertNear(t, table.Disturbance([]ident.ServiceName{"check"}, running), 1400, 200)
	assertNear(t, table.Refresh(start.Add(10*time.Hour)).ExtraPerTask("check", "noisy"), 200, 50)
}

// A measurement from before the last placement must not count against tasks that
// were placed after it.
func TestReportOlderThanPlacementIsIgnored(t *testing.T) {
	outdated := report(5000, 0, interference.RunningCount{Kind: "new", Count: 1})
	outdated.LastPlacementChange = start.Add(time.Second)
	var table *interference.Table
	for range 20 {
		table = table.Add([]interference.Report{outdated})
	}
	assertNear(t, table.ExtraPerTask("check", "new"), 200, 0)
}

// If each small change of an estimate were published, noise in the reports would
// make work move back and forth between workers.
func TestSmallChangesAreNotPublished(t *testing.T) {
	var table *interference.Table
	reportRepeatedly := func(slowdown int64) {
		for range 50 {
			table = table.Add([]interference.Report{report(slowdown, 0, interference.RunningCount{Kind: "noisy", Count: 1})})
		}
	}
	reportRepeatedly(1600)
	before := table.ExtraPerTask("check", "noisy")
	reportRepeatedly(1640)
	assert.Equal(t, table.ExtraPerTask("check", "noisy"), before)
	reportRepeatedly(1900)
	assertNear(t, table.ExtraPerTask("check", "noisy"), 900, 135)
}
