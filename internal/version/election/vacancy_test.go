package election

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an election that follows an outage of the log although the
// leader has renewed its term at once.
func TestStalledLeaderThatRenewedKeepsItsTerm(t *testing.T) {
	now := time.Now()
	shown := Renewal{Epoch: 3, End: 80, At: now.Add(-5 * time.Second)}
	assert.Equal(t, Stalled.Confirmed(now, 3, Term{Epoch: 3, End: 80}, shown, true), Stalled)
	assert.Equal(t, Stalled.Confirmed(now, 3, Term{Epoch: 3, End: 81}, shown, true), Sound)
	assert.Equal(t, Ended.Confirmed(now, 3, Term{Epoch: 3, End: 81}, shown, true), Ended)
	// An instance that was suspended claimed over a sound leader: its pulses were
	// read only after the leader was taken for stalled.
	fresh := Renewal{Epoch: 3, End: 80, At: now}
	assert.Equal(t, Stalled.Confirmed(now, 3, Term{Epoch: 3, End: 80}, fresh, true), Sound)
}

// Guards against a claim over the next leader because the one before it has
// ended: on a rolling restart each change of the leader came twice.
func TestEndOfALeaderSaysNothingOfTheNext(t *testing.T) {
	now := time.Now()
	next := Term{Epoch: 22, End: 22}
	assert.Equal(t, Ended.Confirmed(now, 1, next, Renewal{}, false), Sound)
	assert.Equal(t, Ended.Confirmed(now, 22, next, Renewal{}, false), Ended)
}

// Guards against a claim on a term that is renewed, and against a term without
// renewals that is never claimed.
func TestVacancy(t *testing.T) {
	now := time.Now()
	self := Holder{Name: "a", Address: "10.0.0.1:1", Nonce: 1}
	other := Holder{Name: "b", Address: "10.0.0.2:1", Nonce: 2}
	held := Term{Epoch: 3, End: 80, Holder: other}
	var seen Observation
	assert.Equal(t, seen.Vacant(now, held, Sound, self), Occupied)
	seen.First = now.Add(-2 * TermLease)
	assert.Equal(t, seen.Vacant(now, held, Sound, self), NotRenewed)
	held.End = 81
	assert.Equal(t, seen.Vacant(now, held, Sound, self), Occupied, "renewed")
	assert.Equal(t, seen.Vacant(now, held, Ended, self), HolderEnded)
	assert.Equal(t, seen.Vacant(now, held, Stalled, self), HolderStalled)
	assert.Equal(t, seen.Vacant(now, Term{}, Sound, self), NeverLed)
	assert.Equal(t, seen.Vacant(now, Term{Epoch: 3, End: 81, Holder: other, Released: true}, Sound, self), Released)
	earlier := Term{Epoch: 3, End: 81, Holder: Holder{Address: self.Address, Nonce: 9}}
	assert.Equal(t, seen.Vacant(now, earlier, Sound, self), EarlierProcess)
}

// Guards against hundreds of instances that keep the log busy with their looks
// after all of them were killed: serving took 11.5 s at 300 instances.
func TestLooksGetRarerWhereTheLogLimitsThem(t *testing.T) {
	assert.Equal(t, LookPause(0, 0.9), lookPause)
	last := lookPause
	for limited := 1; limited < 6; limited++ {
		pause := LookPause(limited, 0.5)
		assert.Assert(t, pause >= last, "%d: %v", limited, pause)
		last = pause
	}
	assert.Equal(t, LookPause(100, 0.5), maxLookPause)
	assert.Equal(t, LookPause(100, 0), maxLookPause/2)
}
