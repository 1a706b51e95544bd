// Package config folds the stream of configuration changes into the rules in
// force.
//
// The fold is a pure function of the records, so every reader reaches the same
// verdict on each change. The rules in force only move to a later version.
package config

import (
	"slices"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/version/rules"
)

const (
	// MaxHistory is the number of verdicts that a state keeps. A change that
	// is repeated after its verdict was dropped can't be accepted again, since
	// its base is then no longer in force.
	MaxHistory = 64
	// MaxAuthorBytes bounds the author of a change.
	MaxAuthorBytes = 64
	// MaxIDBytes bounds the identifier of a change.
	MaxIDBytes = 64
	// maxVerdictProblems bounds the problems kept for one refused change.
	maxVerdictProblems = 8
	// maxPending bounds the changes held by a reader that waits for a snapshot.
	maxPending = 256
)

// Content is one accepted version. Its number is the offset of its record;
// zero means no version.
type Content struct {
	Version ident.Offset
	Text    string
	Author  string
	Rules   *rules.Set
}

// Verdict says what became of a change.
type Verdict uint8

const (
	// Accepted: the change made a new version.
	Accepted Verdict = iota + 1
	// Lost: the base of the change was not in force.
	Lost
	// Refused: the rules don't pass the checks.
	Refused
)

// String returns the verdict in lower case.
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case Lost:
		return "lost"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}

// Entry is the verdict on one change.
type Entry struct {
	ID      ident.RecordID `cbor:"1,keyasint"`
	Offset  ident.Offset   `cbor:"2,keyasint"`
	Base    ident.Offset   `cbor:"3,keyasint"`
	Author  string         `cbor:"4,keyasint"`
	Verdict Verdict        `cbor:"5,keyasint"`
	// Winner is the version that was in force when the change lost.
	Winner ident.Offset `cbor:"6,keyasint,omitempty"`
	// Problems are the first reasons for a refusal.
	Problems []string `cbor:"7,keyasint,omitempty"`
}

// Snapshot is the plain state of the fold after the record at an offset.
type Snapshot struct {
	Version ident.Offset `cbor:"1,keyasint"`
	Text    string       `cbor:"2,keyasint"`
	Author  string       `cbor:"3,keyasint"`
	History []Entry      `cbor:"4,keyasint"`
}

// State is the fold up to one offset. It is immutable.
type State struct {
	// Content is in force. It comes from the log, or from a peer that was ahead.
	Content
	// Folded is the offset of the last record applied.
	Folded ident.Offset
	// Accepted is the version in force as far as the log has been read.
	Accepted Content
	// History holds the latest verdicts, oldest first.
	History []Entry
	// Known reports that the fold covers every change of the stream, from its
	// start or from a snapshot. Without it no change can be judged.
	Known bool

	// first is the offset from which pending holds every change.
	first   ident.Offset
	pending []change
}

type change struct {
	offset   ident.Offset
	envelope record.Envelope
}

// Start returns the state of a reader that begins at the oldest offset the log
// still holds. Offsets start at 1, so a reader of offset 1 needs no snapshot.
func Start(oldest ident.Offset) *State {
	return &State{Known: oldest <= 1, first: oldest}
}

// Resume returns the state of a reader that continues where the oldest record
// of the log is at oldest. A reader that missed records keeps the rules in
// force and judges no change until it has read a snapshot.
func Resume(state *State, oldest ident.Offset) *State {
	if state == nil {
		return Start(oldest)
	}
	if oldest <= state.Folded+1 {
		return state
	}
	next := Start(oldest)
	next.Content = state.Content
	return next
}

// Find returns the verdict on a change, if it is known and not yet dropped.
func (s *State) Find(id ident.RecordID) (Entry, bool) {
	for _, entry := range s.History {
		if entry.ID == id {
			return entry, true
		}
	}
	return Entry{}, false
}

// Snapshot returns the state of the fold for writing to the log. It reports
// false while the fold is not known.
func (s *State) Snapshot() (Snapshot, bool) {
	if !s.Known {
		return Snapshot{}, false
	}
	return Snapshot{
		Version: s.Accepted.Version,
		Text:    s.Accepted.Text,
		Author:  s.Accepted.Author,
		History: s.History,
	}, true
}

// Adopt returns the state with content from a peer in force, if it is later
// than the content in force and passes the checks. Verdicts still come from
// the log alone.
func Adopt(state *State, version ident.Offset, text, author string) *State {
	if version <= state.Version {
		return state
	}
	set, problems := rules.Parse("peer", text)
	if len(problems) > 0 {
		return state
	}
	next := *state
	next.Content = Content{Version: version, Text: text, Author: author, Rules: set}
	return &next
}

// Fold applies records to states.
type Fold struct {
	// Decode returns the state of a snapshot record.
	Decode func(state []byte) (Snapshot, error)
}

// Apply returns the state after the record at offset. It does not modify its
// argument. Records at or below state.Folded change nothing, and a record of a
// kind that doesn't belong to the stream only moves Folded.
func (f Fold) Apply(state *State, offset ident.Offset, envelope record.Envelope) *State {
	if state == nil {
		state = Start(offset)
	}
	if offset <= state.Folded {
		return state
	}
	next := *state
	next.Folded = offset
	switch body := envelope.Record.(type) {
	case record.Change:
		next.change(change{offset, envelope}, body)
	case record.Snapshot:
		f.snapshot(&next, offset, body)
	}
	return &next
}

func (s *State) change(proposed change, body record.Change) {
	if !s.Known {
		s.hold(proposed)
		return
	}
	if _, repeated := s.Find(proposed.envelope.ID); repeated {
		return
	}
	entry := Entry{ID: proposed.envelope.ID, Offset: proposed.offset, Base: body.Base, Author: body.Author}
	s.judge(&entry, body)
	s.History = append(slices.Clone(s.History), entry)
	if excess := len(s.History) - MaxHistory; excess > 0 {
		s.History = s.History[excess:]
	}
}

// judge sets the verdict and puts an accepted change in force.
func (s *State) judge(entry *Entry, body record.Change) {
	if problem := checkNames(entry); problem != "" {
		entry.Verdict = Refused
		entry.Problems = []string{problem}
		return
	}
	if body.Base != s.Accepted.Version {
		entry.Verdict = Lost
		entry.Winner = s.Accepted.Version
		return
	}
	set, problems := rules.Parse("rules", body.Rules)
	if len(problems) > 0 {
		entry.Verdict = Refused
		entry.Problems = firstProblems(problems)
		return
	}
	entry.Verdict = Accepted
	s.accept(Content{Version: entry.Offset, Text: body.Rules, Author: body.Author, Rules: set})
}

// checkNames bounds what the history keeps. Names that are too long are cut
// after they were refused.
func checkNames(entry *Entry) string {
	switch {
	case entry.ID == "" || len(entry.ID) > MaxIDBytes:
		entry.ID = entry.ID[:min(len(entry.ID), MaxIDBytes)]
		return "the identifier of the change is missing or too long"
	case entry.Author == "" || len(entry.Author) > MaxAuthorBytes:
		entry.Author = entry.Author[:min(len(entry.Author), MaxAuthorBytes)]
		return "the author is missing or too long"
	default:
		return ""
	}
}

func firstProblems(problems []rules.Problem) []string {
	kept := problems[:min(len(problems), maxVerdictProblems)]
	texts := make([]string, 0, len(kept))
	for _, problem := range kept {
		texts = append(texts, problem.String())
	}
	return texts
}

// accept makes content the accepted version, and puts it in force unless a
// peer has already given a later one.
func (s *State) accept(content Content) {
	s.Accepted = content
	if content.Version >= s.Version {
		s.Content = content
	}
}

func (s *State) hold(proposed change) {
	s.pending = append(slices.Clone(s.pending), proposed)
	if len(s.pending) <= maxPending {
		return
	}
	s.first = s.pending[0].offset + 1
	s.pending = s.pending[1:]
}

// snapshot starts the fold of a reader that does not know it yet. The snapshot
// must reach the records that the reader has read: a change between the two
// would otherwise be missed. A reader that knows the fold needs no snapshot,
// so one that does not match can't mislead it.
func (f Fold) snapshot(s *State, offset ident.Offset, body record.Snapshot) {
	if s.Known || body.At >= offset || body.At+1 < s.first {
		return
	}
	snapshot, err := f.Decode(body.State)
	if err != nil || snapshot.Version > body.At {
		return
	}
	if !s.restore(snapshot) {
		return
	}
	held := s.pending
	s.pending = nil
	for _, proposed := range held {
		if proposed.offset > body.At {
			s.change(proposed, proposed.envelope.Record.(record.Change))
		}
	}
}

func (s *State) restore(snapshot Snapshot) bool {
	content := Content{Version: snapshot.Version, Text: snapshot.Text, Author: snapshot.Author}
	if snapshot.Version > 0 {
		set, problems := rules.Parse("snapshot", snapshot.Text)
		if len(problems) > 0 {
			return false
		}
		content.Rules = set
	}
	s.Known = true
	s.History = slices.Clone(snapshot.History)
	s.accept(content)
	return true
}
