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

type step struct {
	writer ident.Incarnation
	body   record.Record
}

func fold(steps ...step) *State {
	var state *State
	for i, s := range steps {
		id := ident.RecordID(fmt.Sprint(i))
		state = Apply(state, ident.Offset(i+1), record.Envelope{ID: id, Writer: s.writer, Record: s.body})
	}
	return state
}

// Guards against removing a member that has sent a heartbeat in time, and
// against a departed incarnation that returns by a repeated join.
func TestFoldRules(t *testing.T) {
	join := record.Join{Region: "r"}
	late := fold(step{a1, join}, step{a1, record.Heartbeat{}}, step{b1, record.Suspect{Member: a1, Last: 1}})
	assert.Equal(t, len(late.Members), 1)
	assert.Equal(t, late.Epoch, ident.Epoch(1))
	gone := fold(step{a1, join}, step{b1, record.Suspect{Member: a1, Last: 1}}, step{a1, record.Leave{}}, step{a1, join}, step{a1, record.Heartbeat{}})
	assert.Equal(t, len(gone.Members), 0)
	assert.Equal(t, len(gone.Departed), 1)
	assert.Equal(t, gone.Departed[0].Left, false)
	assert.Equal(t, gone.Epoch, ident.Epoch(2))
	restarted := fold(step{a1, join}, step{a2, join}, step{a1, join})
	assert.Equal(t, len(restarted.Members), 1)
	assert.Equal(t, restarted.Members[0].ID, a2)
	assert.Equal(t, restarted.Departed[0].Left, false)
}

// Guards against acting while a removed member may still hold a lease, by log
// or by promises.
func TestReadyWaitsForAcksWitnessAndLease(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	history := History{Epoch: 10, Peers: []Ack{{Member: b1, Folded: 9}}, Removals: []Removal{{Member: a1, Read: at(100)}}}
	assert.DeepEqual(t, Ready(history, at(1000)).Unacknowledged, []ident.Incarnation{b1})
	history.Peers[0] = Ack{Member: b1, Folded: 10, Read: at(102)}
	assert.DeepEqual(t, Ready(history, at(1000)).Unsettled, []ident.Incarnation{a1})
	history.Removals[0].Settled = true
	history.Removals[0].SettledRead = at(101)
	end := at(102).Add(Lease + ClockMargin)
	assert.Equal(t, Ready(history, end.Add(-1)).Until, end)
	assert.Assert(t, Ready(history, end).Ready)
	history.Promised = at(200)
	assert.Assert(t, !Ready(history, end).Ready)
}

// Guards against a fold that depends on more than the records: a restore from
// any position must lead to the same state, earlier versions must stay as they
// were, and a record repeated at once must not change the members again.
func TestFoldIsReplayable(t *testing.T) {
	ids := []ident.Incarnation{a1, a2, b1}
	rapid.Check(t, func(t *rapid.T) {
		var plain, restored, doubled *State
		count := rapid.IntRange(1, 60).Draw(t, "count")
		for i := range count {
			offset := ident.Offset(2*i + 1)
			envelope := record.Envelope{ID: ident.RecordID(fmt.Sprint(i)), Writer: rapid.SampledFrom(ids).Draw(t, "writer")}
			target := rapid.SampledFrom(ids).Draw(t, "target")
			last := ident.Offset(rapid.IntRange(0, int(offset)).Draw(t, "last"))
			envelope.Record = rapid.SampledFrom([]record.Record{
				record.Join{}, record.Heartbeat{Folded: last}, record.Heartbeat{Folded: last}, record.Leave{},
				record.Suspect{Member: target, Last: last},
			}).Draw(t, "record")
			before := fmt.Sprint(plain)
			next := Apply(plain, offset, envelope)
			assert.Equal(t, fmt.Sprint(plain), before)
			plain = next
			restored = Restore(Apply(restored, offset, envelope).Snapshot())
			assert.DeepEqual(t, restored, plain)
			doubled = Apply(doubled, offset, envelope)
			epoch := doubled.Epoch
			doubled = Apply(doubled, offset+1, envelope)
			assert.Equal(t, doubled.Epoch, epoch)
		}
	})
}
