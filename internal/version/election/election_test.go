package election

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Where all instances have the same size, none may delay its claim for a larger
// one; otherwise a small instance must not claim before a large one.
func TestClaimDelayPrefersLargeNearbyInstancesWithFewCells(t *testing.T) {
	roundTrip := 5 * time.Millisecond
	testCases := []struct {
		name  string
		input Candidate
		want  time.Duration
	}{
		{"all instances of the same size", Candidate{Preferred: true, RoundTrip: roundTrip, CPUShare: 0.16, LargestCPUShare: 0.16}, 15 * time.Millisecond},
		{"the largest", Candidate{Preferred: true, RoundTrip: roundTrip, CPUShare: 0.8, LargestCPUShare: 0.8}, 15 * time.Millisecond},
		{"larger than the largest known instance", Candidate{Preferred: true, RoundTrip: roundTrip, CPUShare: 0.8, LargestCPUShare: 0.2}, 15 * time.Millisecond},
		{"a quarter of the largest instance", Candidate{Preferred: true, RoundTrip: roundTrip, CPUShare: 0.2, LargestCPUShare: 0.8}, 315 * time.Millisecond},
		{"largest instance unknown", Candidate{Preferred: true, RoundTrip: roundTrip, CPUShare: 0.5}, 215 * time.Millisecond},
		{"leads two cells", Candidate{Preferred: true, RoundTrip: roundTrip, CPUShare: 1, LedCells: 2}, 815 * time.Millisecond},
		{"not the preferred cell", Candidate{RoundTrip: roundTrip, CPUShare: 1}, 115 * time.Millisecond},
	}
	for _, c := range testCases {
		assert.Equal(t, c.input.ClaimDelay().Round(time.Millisecond), c.want, c.name)
	}
}

// After a restart of all instances a small one may win a cell with hundreds of
// workers. It kept the cell, and its decisions came seconds late. A hand-over must
// also not happen without need, or back and forth between two instances.
func TestLeaderHandsOverOnlyToMuchLargerInstanceWhenBusy(t *testing.T) {
	longAgo := time.Hour
	testCases := []struct {
		name  string
		input LeaderLoad
		want  bool
	}{
		{"490 workers on a small instance", LeaderLoad{Workers: 490, CPUShare: 0.192, LargestCPUShare: 0.8, SinceHandOver: longAgo}, true},
		{"490 workers on a large instance", LeaderLoad{Workers: 490, CPUShare: 0.8, LargestCPUShare: 0.8, SinceHandOver: longAgo}, false},
		{"no larger instance", LeaderLoad{Workers: 490, CPUShare: 0.192, LargestCPUShare: 0.192, SinceHandOver: longAgo}, false},
		{"48 workers on a small instance", LeaderLoad{Workers: 48, CPUShare: 0.16, LargestCPUShare: 0.8, SinceHandOver: longAgo}, false},
		{"last hand-over 1 s ago", LeaderLoad{Workers: 490, CPUShare: 0.192, LargestCPUShare: 0.8, SinceHandOver: time.Second}, false},
	}
	for _, c := range testCases {
		assert.Equal(t, c.input.ShouldHandOver(), c.want, c.name)
	}
}
