package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/term"
)

// Guards against an election that follows an outage of the log although the
// leader has renewed its term at once.
func TestStalledLeaderThatRenewedKeepsItsTerm(t *testing.T) {
	shown := renewal{epoch: 3, end: 80, at: time.Now().Add(-5 * time.Second)}
	assert.Equal(t, leaderStalled.confirmed(3, term.Term{Epoch: 3, End: 80}, shown, true), leaderStalled)
	assert.Equal(t, leaderStalled.confirmed(3, term.Term{Epoch: 3, End: 81}, shown, true), linkHeld)
	assert.Equal(t, leaderEnded.confirmed(3, term.Term{Epoch: 3, End: 81}, shown, true), leaderEnded)
	// An instance that was suspended claimed over a sound leader: its pulses were
	// read only after the leader was taken for stalled.
	fresh := renewal{epoch: 3, end: 80, at: time.Now()}
	assert.Equal(t, leaderStalled.confirmed(3, term.Term{Epoch: 3, End: 80}, fresh, true), linkHeld)
}

// Guards against a claim over the next leader because the one before it has
// ended: on a rolling restart each change of the leader came twice.
func TestEndOfALeaderSaysNothingOfTheNext(t *testing.T) {
	next := term.Term{Epoch: 22, End: 22}
	assert.Equal(t, leaderEnded.confirmed(1, next, renewal{}, false), linkHeld)
	assert.Equal(t, leaderEnded.confirmed(22, next, renewal{}, false), leaderEnded)
}

// Guards against a claim on a term that is renewed, and against a term without
// renewals that is never claimed.
func TestVacancy(t *testing.T) {
	self := term.Holder{Name: "a", Address: "10.0.0.1:1", Nonce: 1}
	other := term.Holder{Name: "b", Address: "10.0.0.2:1", Nonce: 2}
	held := term.Term{Epoch: 3, End: 80, Holder: other}
	var seen observation
	assert.Equal(t, seen.vacant(held, linkHeld, self), occupied)
	seen.first = time.Now().Add(-2 * termLease)
	assert.Equal(t, seen.vacant(held, linkHeld, self), notRenewed)
	held.End = 81
	assert.Equal(t, seen.vacant(held, linkHeld, self), occupied, "renewed")
	assert.Equal(t, seen.vacant(held, leaderEnded, self), endedHolder)
	assert.Equal(t, seen.vacant(held, leaderStalled, self), stalledHolder)
	assert.Equal(t, seen.vacant(term.Term{}, linkHeld, self), neverLed)
	assert.Equal(t, seen.vacant(term.Term{Epoch: 3, End: 81, Holder: other, Released: true}, linkHeld, self), releasedTerm)
	earlier := term.Term{Epoch: 3, End: 81, Holder: term.Holder{Address: self.Address, Nonce: 9}}
	assert.Equal(t, seen.vacant(earlier, linkHeld, self), earlierProcess)
}

// Guards against a number of cells that is settled while workers register.
func TestCensusWaitsForCalm(t *testing.T) {
	now := time.Now()
	count := census{began: now}
	assert.Assert(t, !count.settled(now, 10))
	assert.Assert(t, !count.settled(now.Add(censusCalm/2), 20))
	assert.Assert(t, !count.settled(now.Add(censusCalm), 20))
	assert.Assert(t, count.settled(now.Add(2*censusCalm), 20))
	empty := census{began: now}
	assert.Assert(t, !empty.settled(now.Add(2*censusCalm), 0))
	assert.Assert(t, empty.settled(now.Add(censusLimit), 0))
}

// Guards against a deployment that never settles its cells because the
// instance that counts has ended, and against all others counting at once.
func TestCounterIsReplacedOnce(t *testing.T) {
	now := time.Now()
	var count census
	assert.Assert(t, count.overdue(now, ""), "nobody counts")
	assert.Assert(t, !count.overdue(now, "1"))
	late := now.Add(counterLimit + time.Second)
	assert.Assert(t, count.overdue(late, "1"))
	assert.Assert(t, !count.overdue(late, "2"), "another has begun to count")
}
