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
	reported := Renewal{Epoch: 3, EndOffset: 80, SentAt: now.Add(-5 * time.Second)}
	assert.Equal(t, LeaderStalled.Recheck(now, 3, Term{Epoch: 3, EndOffset: 80}, reported, true), LeaderStalled)
	assert.Equal(t, LeaderStalled.Recheck(now, 3, Term{Epoch: 3, EndOffset: 81}, reported, true), LeaderAlive)
	assert.Equal(t, LeaderEnded.Recheck(now, 3, Term{Epoch: 3, EndOffset: 81}, reported, true), LeaderEnded)
	// A suspended instance read the leader's heartbeats only after it had judged the
	// leader stalled, and claimed the cell of a working leader.
	freshReport := Renewal{Epoch: 3, EndOffset: 80, SentAt: now}
	assert.Equal(t, LeaderStalled.Recheck(now, 3, Term{Epoch: 3, EndOffset: 80}, freshReport, true), LeaderAlive)
}

// The end of one leader must not lead to a claim against its successor. When it
// did, each change of the leader during a rolling restart happened twice.
func TestEndOfLeaderIsNotHeldAgainstNextLeader(t *testing.T) {
	now := time.Now()
	nextTerm := Term{Epoch: 22, EndOffset: 22}
	assert.Equal(t, LeaderEnded.Recheck(now, 1, nextTerm, Renewal{}, false), LeaderAlive)
	assert.Equal(t, LeaderEnded.Recheck(now, 22, nextTerm, Renewal{}, false), LeaderEnded)
}

// A term that is renewed must not be claimed, while one that is released, not
// renewed, or whose holder has failed must be.
func TestReasonToClaimOnlyForVacantTerm(t *testing.T) {
	now := time.Now()
	self := Holder{Name: "a", Address: "10.0.0.1:1", Nonce: 1}
	other := Holder{Name: "b", Address: "10.0.0.2:1", Nonce: 2}
	heldTerm := Term{Epoch: 3, EndOffset: 80, Holder: other}
	var observation TermObservation
	assert.Equal(t, observation.ReasonToClaim(now, heldTerm, LeaderAlive, self), NoClaim)
	observation.FirstSeen = now.Add(-2 * TermLease)
	assert.Equal(t, observation.ReasonToClaim(now, heldTerm, LeaderAlive, self), NotRenewed)
	heldTerm.EndOffset = 81
	assert.Equal(t, observation.ReasonToClaim(now, heldTerm, LeaderAlive, self), NoClaim, "renewed")
	assert.Equal(t, observation.ReasonToClaim(now, heldTerm, LeaderEnded, self), HolderEnded)
	assert.Equal(t, observation.ReasonToClaim(now, heldTerm, LeaderStalled, self), HolderStalled)
	assert.Equal(t, observation.ReasonToClaim(now, Term{}, LeaderAlive, self), NeverLed)
	assert.Equal(t, observation.ReasonToClaim(now, Term{Epoch: 3, EndOffset: 81, Holder: other, Released: true}, LeaderAlive, self), Released)
	earlierIncarnation := Term{Epoch: 3, EndOffset: 81, Holder: Holder{Address: self.Address, Nonce: 9}}
	assert.Equal(t, observation.ReasonToClaim(now, earlierIncarnation, LeaderAlive, self), EarlierIncarnation)
}

// After a restart of all instances, hundreds of them poll the log at once and can
// keep it busy. With 300 instances it took 11.5 s until requests were served.
func TestPollPauseGrowsWhenLogLimitsRate(t *testing.T) {
	assert.Equal(t, PollPause(0, 0.9), pollPause)
	previousPause := pollPause
	for rateLimited := 1; rateLimited < 6; rateLimited++ {
		pause := PollPause(rateLimited, 0.5)
		assert.Assert(t, pause >= previousPause, "after %d refused reads the pause of %v is shorter than the one before", rateLimited, pause)
		previousPause = pause
	}
	assert.Equal(t, PollPause(100, 0.5), maxPollPause)
	assert.Equal(t, PollPause(100, 0), maxPollPause/2)
}
