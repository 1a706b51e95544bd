package config

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
)

// The seed of rapid is fixed so that all runs draw the same cases. The flag
// -rapid.seed overrides it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

var applier = Applier{Decode: func(state []byte) (Snapshot, error) {
	var snapshot Snapshot
	err := json.Unmarshal(state, &snapshot)
	return snapshot, err
}}

func rulesText(weight int) string {
	return fmt.Sprintf("team a weight %d # desk: reason\n", weight)
}

func newChange(id string, base ident.Offset, rules string) record.Envelope {
	return record.Envelope{ID: ident.RecordID(id), Record: record.RulesChange{Base: base, Rules: rules, Author: "ann"}}
}

func newSnapshotRecord(t assert.TestingT, state *State) record.Envelope {
	snapshot, complete := state.Snapshot()
	assert.Assert(t, complete)
	encoded, err := json.Marshal(snapshot)
	assert.NilError(t, err)
	return record.Envelope{ID: "snapshot", Record: record.Snapshot{At: state.AppliedOffset, State: encoded}}
}

func applyAll(state *State, envelopes ...record.Envelope) *State {
	for _, envelope := range envelopes {
		state = applier.Apply(state, state.AppliedOffset+1, envelope)
	}
	return state
}

// Two edits are based on the same version. If the second were accepted, it would
// silently overwrite the first.
func TestSecondEditOnSameBaseConflicts(t *testing.T) {
	state := applyAll(NewState(1), newChange("x", 0, rulesText(1)), newChange("y", 0, rulesText(2)))
	second, _ := state.Find("y")
	assert.Equal(t, second.Verdict, Conflicted)
	assert.Equal(t, second.InForce, ident.Offset(1))
	assert.Equal(t, state.Text, rulesText(1))
}

// A client that loses the reply to its change sends the change again. The repeat
// must not get a verdict of its own as if it were a second change.
func TestRepeatedChangeHasNoEffect(t *testing.T) {
	state := applyAll(NewState(1), newChange("x", 0, rulesText(1)), newChange("x", 0, rulesText(1)))
	entry, _ := state.Find("x")
	assert.Equal(t, entry.Verdict, Accepted)
	assert.Equal(t, len(state.History), 1)
	assert.Equal(t, state.Version, ident.Offset(1))
}

// Rules that fail the checks must never come into force.
func TestBadRulesAreRefused(t *testing.T) {
	state := applyAll(NewState(1), newChange("x", 0, rulesText(1)), newChange("y", 1, "team b\n"))
	entry, _ := state.Find("y")
	assert.Equal(t, entry.Verdict, Refused)
	assert.Assert(t, len(entry.Problems) > 0)
	assert.Equal(t, state.Version, ident.Offset(1))
}

// A snapshot can be written to the log after a change that it does not contain.
// Such a snapshot must not take readers back to the version before the change.
func TestSnapshotOlderThanLastChangeIsHarmless(t *testing.T) {
	before := applyAll(NewState(1), newChange("x", 0, rulesText(1)))
	stale := newSnapshotRecord(t, before)
	after := applyAll(before, newChange("y", 1, rulesText(2)), stale)
	assert.Equal(t, after.Version, ident.Offset(2))

	withGap := applier.Apply(NewState(3), 3, stale)
	assert.Assert(t, !withGap.Complete, "a change lies between the snapshot and the first record read")

	withoutGap := applier.Apply(applier.Apply(NewState(2), 2, newChange("y", 1, rulesText(2))), 3, stale)
	assert.Assert(t, withoutGap.Complete)
	assert.DeepEqual(t, withoutGap.AcceptedContent, after.AcceptedContent)
	assert.DeepEqual(t, withoutGap.History, after.History)
}

// A reader that waits for a snapshot drops the oldest buffered changes beyond
// maxPendingChanges. If it then used a snapshot from before the dropped changes,
// it would miss them.
func TestSnapshotBeforeDroppedChangesIsIgnored(t *testing.T) {
	complete := NewState(1)
	stale := newSnapshotRecord(t, complete)
	waiting := NewState(2)
	waiting.pendingFrom = 1
	for i := range maxPendingChanges + 1 {
		change := newChange(fmt.Sprint("change-", i), complete.AcceptedContent.Version, rulesText(i+1))
		waiting = applier.Apply(waiting, ident.Offset(i+1), change)
		complete = applyAll(complete, change)
	}
	assert.Equal(t, len(waiting.pending), maxPendingChanges)
	ignored := applier.Apply(waiting, waiting.AppliedOffset+1, stale)
	assert.Assert(t, !ignored.Complete)
	restored := applier.Apply(ignored, ignored.AppliedOffset+1, newSnapshotRecord(t, complete))
	assert.DeepEqual(t, restored.AcceptedContent, complete.AcceptedContent)
	assert.DeepEqual(t, restored.History, complete.History)
}

// If a reader was away for so long that the log has dropped records which it has
// not read, it must not go back to an older version, nor give verdicts while it
// does not know the version in force.
func TestReaderBeyondRetentionWaitsForSnapshot(t *testing.T) {
	old := applyAll(NewState(1), newChange("x", 0, rulesText(1)))
	complete := applyAll(old, newChange("y", 1, rulesText(2)))
	resumed := Resume(old, 3)
	assert.Equal(t, resumed.Text, rulesText(1))
	resumed = applier.Apply(resumed, 3, newSnapshotRecord(t, complete))
	assert.Equal(t, resumed.Text, rulesText(2))
	assert.Assert(t, Resume(complete, 3) == complete)
}

// A version from a peer must not replace a later one, and must not affect the
// verdicts, which come from the log only.
func TestAdoptOnlyMovesForward(t *testing.T) {
	state := applyAll(NewState(1), newChange("x", 0, rulesText(1)))
	assert.Assert(t, Adopt(state, 1, rulesText(9), "eve") == state)
	assert.Assert(t, Adopt(state, 7, "team\n", "eve") == state)
	ahead := Adopt(state, 3, rulesText(3), "ann")
	assert.Equal(t, ahead.Version, ident.Offset(3))
	ahead = applyAll(ahead, newChange("y", 1, rulesText(2)))
	assert.Equal(t, ahead.Version, ident.Offset(3))
	assert.Equal(t, ahead.AcceptedContent.Version, ident.Offset(2))
	ahead = applyAll(ahead, newChange("z", 2, rulesText(3)))
	assert.Equal(t, ahead.Version, ahead.AcceptedContent.Version)
}

// Readers that start at different offsets of the same stream must reach the same
// verdicts and have the same rules in force.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 120).Draw(t, "length")
		states := []*State{NewState(1)}
		var stream []record.Envelope
		for i := range length {
			envelope := drawRecord(t, i, states)
			stream = append(stream, envelope)
			states = append(states, applyAll(states[i], envelope))
		}
		first := rapid.IntRange(1, length).Draw(t, "first")
		reader := NewState(ident.Offset(first))
		for i := first; i <= length; i++ {
			reader = applier.Apply(reader, ident.Offset(i), stream[i-1])
			if !reader.Complete {
				continue
			}
			assert.DeepEqual(t, reader.Content, states[i].Content)
			assert.DeepEqual(t, reader.History, states[i].History)
		}
	})
}

// drawRecord draws a change or a snapshot. The record is made from one of the last
// four states, since its writer may not have read the newest records.
func drawRecord(t *rapid.T, i int, states []*State) record.Envelope {
	base := states[max(0, i-rapid.IntRange(0, 3).Draw(t, "lag"))]
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		return newSnapshotRecord(t, base)
	}
	id := fmt.Sprintf("change-%d", rapid.IntRange(0, 200).Draw(t, "id"))
	weight := rapid.IntRange(0, 9).Draw(t, "weight") // Rules with weight 0 are refused.
	return newChange(id, base.AcceptedContent.Version, rulesText(weight))
}
