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

// The seed is fixed so that every run gives the same verdict; -rapid.seed
// replaces it.
func init() {
	_ = flag.Set("rapid.seed", "1")
}

var fold = Fold{Decode: func(state []byte) (Snapshot, error) {
	var snapshot Snapshot
	err := json.Unmarshal(state, &snapshot)
	return snapshot, err
}}

func text(weight int) string {
	return fmt.Sprintf("team a weight %d # desk: reason\n", weight)
}

func propose(id string, base ident.Offset, rules string) record.Envelope {
	return record.Envelope{ID: ident.RecordID(id), Record: record.Change{Base: base, Rules: rules, Author: "ann"}}
}

func snapshotOf(t assert.TestingT, state *State) record.Envelope {
	snapshot, known := state.Snapshot()
	assert.Assert(t, known)
	encoded, err := json.Marshal(snapshot)
	assert.NilError(t, err)
	return record.Envelope{ID: "snapshot", Record: record.Snapshot{At: state.Folded, State: encoded}}
}

func apply(state *State, envelopes ...record.Envelope) *State {
	for _, envelope := range envelopes {
		state = fold.Apply(state, state.Folded+1, envelope)
	}
	return state
}

// Guards against an edit that silently overwrites one made on the same base.
func TestSecondEditOnOneBaseLoses(t *testing.T) {
	state := apply(Start(1), propose("x", 0, text(1)), propose("y", 0, text(2)))
	lost, _ := state.Find("y")
	assert.Equal(t, lost.Verdict, Lost)
	assert.Equal(t, lost.Winner, ident.Offset(1))
	assert.Equal(t, state.Text, text(1))
}

// Guards against a repeat after a lost reply that is judged as a second change.
func TestRepeatChangesNothing(t *testing.T) {
	state := apply(Start(1), propose("x", 0, text(1)), propose("x", 0, text(1)))
	entry, _ := state.Find("x")
	assert.Equal(t, entry.Verdict, Accepted)
	assert.Equal(t, len(state.History), 1)
	assert.Equal(t, state.Version, ident.Offset(1))
}

// Guards against rules that fail the checks and come into force.
func TestBadRulesAreRefused(t *testing.T) {
	state := apply(Start(1), propose("x", 0, text(1)), propose("y", 1, "team b\n"))
	entry, _ := state.Find("y")
	assert.Equal(t, entry.Verdict, Refused)
	assert.Assert(t, len(entry.Problems) > 0)
	assert.Equal(t, state.Version, ident.Offset(1))
}

// Guards against a snapshot that was overtaken by a change and takes readers
// back to the version before it.
func TestSnapshotRacingAChange(t *testing.T) {
	before := apply(Start(1), propose("x", 0, text(1)))
	stale := snapshotOf(t, before)
	after := apply(before, propose("y", 1, text(2)), stale)
	assert.Equal(t, after.Version, ident.Offset(2))

	missed := fold.Apply(Start(3), 3, stale)
	assert.Assert(t, !missed.Known, "a change lies between the snapshot and the first record read")

	late := fold.Apply(fold.Apply(Start(2), 2, propose("y", 1, text(2))), 3, stale)
	assert.Assert(t, late.Known)
	assert.DeepEqual(t, late.Accepted, after.Accepted)
	assert.DeepEqual(t, late.History, after.History)
}

// Guards against a reader that forgets the changes it had to drop and then
// takes a snapshot from before them.
func TestSnapshotBeforeDroppedChanges(t *testing.T) {
	full := Start(1)
	stale := snapshotOf(t, full)
	late := Start(2)
	late.first = 1
	for i := range maxPending + 1 {
		change := propose(fmt.Sprint("change-", i), full.Accepted.Version, text(i+1))
		late = fold.Apply(late, ident.Offset(i+1), change)
		full = apply(full, change)
	}
	assert.Equal(t, len(late.pending), maxPending)
	ignored := fold.Apply(late, late.Folded+1, stale)
	assert.Assert(t, !ignored.Known)
	taken := fold.Apply(ignored, ignored.Folded+1, snapshotOf(t, full))
	assert.DeepEqual(t, taken.Accepted, full.Accepted)
	assert.DeepEqual(t, taken.History, full.History)
}

// Guards against a reader beyond the retention that goes back or judges changes
// without knowing the version in force.
func TestReaderBeyondRetention(t *testing.T) {
	old := apply(Start(1), propose("x", 0, text(1)))
	full := apply(old, propose("y", 1, text(2)))
	resumed := Resume(old, 3)
	assert.Equal(t, resumed.Text, text(1))
	resumed = fold.Apply(resumed, 3, snapshotOf(t, full))
	assert.Equal(t, resumed.Text, text(2))
	assert.Assert(t, Resume(full, 3) == full)
}

// Guards against a peer that takes an instance back to an old version, or whose
// offer changes a verdict of the log.
func TestAdoptOnlyMovesForward(t *testing.T) {
	state := apply(Start(1), propose("x", 0, text(1)))
	assert.Assert(t, Adopt(state, 1, text(9), "eve") == state)
	assert.Assert(t, Adopt(state, 7, "team\n", "eve") == state)
	ahead := Adopt(state, 3, text(3), "ann")
	assert.Equal(t, ahead.Version, ident.Offset(3))
	ahead = apply(ahead, propose("y", 1, text(2)))
	assert.Equal(t, ahead.Version, ident.Offset(3))
	assert.Equal(t, ahead.Accepted.Version, ident.Offset(2))
	ahead = apply(ahead, propose("z", 2, text(3)))
	assert.Equal(t, ahead.Version, ahead.Accepted.Version)
}

// Guards against readers that start at different points and reach different
// verdicts.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.IntRange(1, 120).Draw(t, "length")
		states := []*State{Start(1)}
		var stream []record.Envelope
		for i := range length {
			envelope := drawRecord(t, i, states)
			stream = append(stream, envelope)
			states = append(states, apply(states[i], envelope))
		}
		first := rapid.IntRange(1, length).Draw(t, "first")
		reader := Start(ident.Offset(first))
		for i := first; i <= length; i++ {
			reader = fold.Apply(reader, ident.Offset(i), stream[i-1])
			if !reader.Known {
				continue
			}
			assert.DeepEqual(t, reader.Content, states[i].Content)
			assert.DeepEqual(t, reader.History, states[i].History)
		}
	})
}

// drawRecord draws a change or a snapshot, either of which may be made from an
// older state than the last.
func drawRecord(t *rapid.T, i int, states []*State) record.Envelope {
	seen := states[max(0, i-rapid.IntRange(0, 3).Draw(t, "lag"))]
	if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
		return snapshotOf(t, seen)
	}
	id := fmt.Sprintf("change-%d", rapid.IntRange(0, 200).Draw(t, "id"))
	weight := rapid.IntRange(0, 9).Draw(t, "weight") // Weight 0 is refused.
	return propose(id, seen.Accepted.Version, text(weight))
}
