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
		{"all instances of the same size", Candidate{Chosen: true, Trip: roundTrip, Share: 0.16, Largest: 0.16}, 15 * time.Millisecond},
		{"the largest", Candidate{Chosen: true, Trip: roundTrip, Share: 0.8, Largest: 0.8}, 15 * time.Millisecond},
		{"larger than the largest known instance", Candidate{Chosen: true, Trip: roundTrip, Share: 0.8, Largest: 0.2}, 15 * time.Millisecond},
		{"a quarter of the largest instance", Candidate{Chosen: true, Trip: roundTrip, Share: 0.2, Largest: 0.8}, 315 * time.Millisecond},
		{"largest instance unknown", Candidate{Chosen: true, Trip: roundTrip, Share: 0.5}, 215 * time.Millisecond},
		{"leads two cells", Candidate{Chosen: true, Trip: roundTrip, Share: 1, Led: 2}, 815 * time.Millisecond},
		{"not the preferred cell", Candidate{Trip: roundTrip, Share: 1}, 115 * time.Millisecond},
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
		input Leader
		want  bool
	}{
		{"490 workers on a small instance", Leader{Workers: 490, Share: 0.192, Largest: 0.8, SinceHandOver: longAgo}, true},
		{"490 workers on a large instance", Leader{Workers: 490, Share: 0.8, Largest: 0.8, SinceHandOver: longAgo}, false},
		{"no larger instance", Leader{Workers: 490, Share: 0.192, Largest: 0.192, SinceHandOver: longAgo}, false},
		{"48 workers on a small instance", Leader{Workers: 48, Share: 0.16, Largest: 0.8, SinceHandOver: longAgo}, false},
		{"last hand-over 1 s ago", Leader{Workers: 490, Share: 0.192, Largest: 0.8, SinceHandOver: time.Second}, false},
	}
	for _, c := range testCases {
		assert.Equal(t, c.input.Outsized(), c.want, c.name)
	}
}
