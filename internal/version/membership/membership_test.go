package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
)

var (
	a1 = ident.Incarnation{Instance: "a", Nonce: 1}
	a2 = ident.Incarnation{Instance: "a", Nonce: 2}
	b1 = ident.Incarnation{Instance: "b", Nonce: 1}
)

type writtenRecord struct {
	writer ident.Incarnation
	body   record.Record
}

func replay(records ...writtenRecord) *State {
	var state *State
	for i, written := range records {
		id := ident.RecordID(fmt.Sprint(i))
		state = Apply(state, ident.Offset(i+1), record.Envelope{ID: id, Writer: written.writer, Record: written.body})
	}
	return state
}

// A member whose heartbeat is newer than the suspicion must not be removed, and a
// departed incarnation must not become a member again when its join record is
// written a second time.
func TestSuspectAndRepeatedJoin(t *testing.T) {
	join := record.Join{Region: "r"}
	kept := replay(writtenRecord{a1, join}, writtenRecord{a1, record.Heartbeat{}}, writtenRecord{b1, record.Suspect{Member: a1, Last: 1}})
	assert.Equal(t, len(kept.Members), 1)
	assert.Equal(t, kept.Epoch, ident.Epoch(1))
	removed := replay(writtenRecord{a1, join}, writtenRecord{b1, record.Suspect{Member: a1, Last: 1}}, writtenRecord{a1, record.Leave{}}, writtenRecord{a1, join}, writtenRecord{a1, record.Heartbeat{}})
	assert.Equal(t, len(removed.Members), 0)
	assert.Equal(t, len(removed.Departed), 1)
	assert.Equal(t, removed.Departed[0].Left, false)
	assert.Equal(t, removed.Epoch, ident.Epoch(2))
	restarted := replay(writtenRecord{a1, join}, writtenRecord{a2, join}, writtenRecord{a1, join})
	assert.Equal(t, len(restarted.Members), 1)
	assert.Equal(t, restarted.Members[0].ID, a2)
	assert.Equal(t, restarted.Departed[0].Left, false)
}

// An instance must not act on workers it gained while a removed member may still
// hold a lease, whether that lease was renewed by the log or by lease grants of
// peers.
func TestReadinessWaitsForAcksAndLeases(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	inputs := TakeoverInputs{Epoch: 10, Peers: []Ack{{Member: b1, AppliedOffset: 9}}, Removals: []Removal{{Member: a1, ReadAt: at(100)}}}
	assert.DeepEqual(t, CheckReadiness(inputs, at(1000)).Unacknowledged, []ident.Incarnation{b1})
	inputs.Peers[0] = Ack{Member: b1, AppliedOffset: 10, ReadAt: at(102)}
	assert.DeepEqual(t, CheckReadiness(inputs, at(1000)).Unsettled, []ident.Incarnation{a1})
	inputs.Removals[0].CannotRenew = true
	inputs.Removals[0].CannotRenewSince = at(101)
	end := at(102).Add(Lease + ClockMargin)
	assert.Equal(t, CheckReadiness(inputs, end.Add(-1)).Until, end)
	assert.Assert(t, CheckReadiness(inputs, end).Ready)
	inputs.GrantedUntil = at(200)
	assert.Assert(t, !CheckReadiness(inputs, end).Ready)
}

// The state must depend on the applied records only. Restoring a snapshot at any
// position must lead to the same state, applying a record must not modify the
// earlier version, and a record that is written twice in a row must not change the
// members a second time.
func TestReplayGivesSameState(t *testing.T) {
	ids := []ident.Incarnation{a1, a2, b1}
	rapid.Check(t, func(t *rapid.T) {
		var plain, restored, repeated *State
		count := rapid.IntRange(1, 60).Draw(t, "count")
		for i := range count {
			offset := ident.Offset(2*i + 1)
			envelope := record.Envelope{ID: ident.RecordID(fmt.Sprint(i)), Writer: rapid.SampledFrom(ids).Draw(t, "writer")}
			target := rapid.SampledFrom(ids).Draw(t, "target")
			last := ident.Offset(rapid.IntRange(0, int(offset)).Draw(t, "last"))
			envelope.Record = rapid.SampledFrom([]record.Record{
				record.Join{}, record.Heartbeat{AppliedOffset: last}, record.Heartbeat{AppliedOffset: last}, record.Leave{},
				record.Suspect{Member: target, Last: last},
			}).Draw(t, "record")
			before := fmt.Sprint(plain)
			next := Apply(plain, offset, envelope)
			assert.Equal(t, fmt.Sprint(plain), before)
			plain = next
			restored = Restore(Apply(restored, offset, envelope).Snapshot())
			assert.DeepEqual(t, restored, plain)
			repeated = Apply(repeated, offset, envelope)
			epoch := repeated.Epoch
			repeated = Apply(repeated, offset+1, envelope)
			assert.Equal(t, repeated.Epoch, epoch)
		}
	})
}
