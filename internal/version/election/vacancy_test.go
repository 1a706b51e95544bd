package election

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// After an outage of the log, a leader that renews its term immediately must keep
// it. Its last report is still old at that time, and an election would follow if
// the newer record in the log were ignored.
func TestStalledLeaderKeepsTermAfterRenewal(t *testing.T) {
	now := time.Now()
	reported := Renewal{Epoch: 3, End: 80, At: now.Add(-5 * time.Second)}
	assert.Equal(t, Stalled.Confirmed(now, 3, Term{Epoch: 3, End: 80}, reported, true), Stalled)
	assert.Equal(t, Stalled.Confirmed(now, 3, Term{Epoch: 3, End: 81}, reported, true), Sound)
	assert.Equal(t, Ended.Confirmed(now, 3, Term{Epoch: 3, End: 81}, reported, true), Ended)
	// A suspended instance read the leader's pulses only after it had judged the
	// leader stalled, and claimed the cell of a working leader.
	freshReport := Renewal{Epoch: 3, End: 80, At: now}
	assert.Equal(t, Stalled.Confirmed(now, 3, Term{Epoch: 3, End: 80}, freshReport, true), Sound)
}

// The end of one leader must not lead to a claim against its successor. When it
// did, each change of the leader during a rolling restart happened twice.
func TestEndOfLeaderIsNotHeldAgainstNextLeader(t *testing.T) {
	now := time.Now()
	nextTerm := Term{Epoch: 22, End: 22}
	assert.Equal(t, Ended.Confirmed(now, 1, nextTerm, Renewal{}, false), Sound)
	assert.Equal(t, Ended.Confirmed(now, 22, nextTerm, Renewal{}, false), Ended)
}

// A term that is renewed must not be claimed, while one that is released, not
// renewed, or whose holder has failed must be.
func TestVacantReturnsReasonToClaim(t *testing.T) {
	now := time.Now()
	self := Holder{Name: "a", Address: "10.0.0.1:1", Nonce: 1}
	other := Holder{Name: "b", Address: "10.0.0.2:1", Nonce: 2}
	heldTerm := Term{Epoch: 3, End: 80, Holder: other}
	var observation Observation
	assert.Equal(t, observation.Vacant(now, heldTerm, Sound, self), Occupied)
	observation.First = now.Add(-2 * TermLease)
	assert.Equal(t, observation.Vacant(now, heldTerm, Sound, self), NotRenewed)
	heldTerm.End = 81
	assert.Equal(t, observation.Vacant(now, heldTerm, Sound, self), Occupied, "renewed")
	assert.Equal(t, observation.Vacant(now, heldTerm, Ended, self), HolderEnded)
	assert.Equal(t, observation.Vacant(now, heldTerm, Stalled, self), HolderStalled)
	assert.Equal(t, observation.Vacant(now, Term{}, Sound, self), NeverLed)
	assert.Equal(t, observation.Vacant(now, Term{Epoch: 3, End: 81, Holder: other, Released: true}, Sound, self), Released)
	earlierProcess := Term{Epoch: 3, End: 81, Holder: Holder{Address: self.Address, Nonce: 9}}
	assert.Equal(t, observation.Vacant(now, earlierProcess, Sound, self), EarlierProcess)
}

// After a restart of all instances, hundreds of them poll the log at once and can
// keep it busy. With 300 instances it took 11.5 s until requests were served.
func TestPollPauseGrowsWhenLogLimitsRate(t *testing.T) {
	assert.Equal(t, LookPause(0, 0.9), pollPause)
	previousPause := pollPause
	for rateLimited := 1; rateLimited < 6; rateLimited++ {
		pause := LookPause(rateLimited, 0.5)
		assert.Assert(t, pause >= previousPause, "after %d refused reads the pause of %v is shorter than the one before", rateLimited, pause)
		previousPause = pause
	}
	assert.Equal(t, LookPause(100, 0.5), maxPollPause)
	assert.Equal(t, LookPause(100, 0), maxPollPause/2)
}
