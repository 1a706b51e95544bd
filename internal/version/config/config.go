// Package config derives the rules in force from the log stream of
// configuration changes.
//
// The state depends on the applied records only, so all readers of the stream
// give the same verdict on each change. The version of the rules in force never
// decreases.
package config

import (
	"slices"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/version/rules"
)

const (
	// MaxHistory is the maximum number of verdicts that a State keeps. A change
	// that is repeated after its verdict was dropped can't be accepted a second
	// time, because the version it is based on is no longer in force by then.
	MaxHistory = 64
	// MaxAuthorBytes is the maximum length of the author's name of a change. A
	// change with a longer one is refused.
	MaxAuthorBytes = 64
	// MaxIDBytes is the maximum length of the identifier of a change. A change
	// with a longer one is refused.
	MaxIDBytes = 64
	// maxVerdictProblems is the maximum number of problems that are stored for a
	// refused change.
	maxVerdictProblems = 8
	// maxPendingChanges is the maximum number of changes that a reader buffers
	// while it waits for a snapshot.
	maxPendingChanges = 256
)

// Content is one accepted version of the rules. Version is the log offset of the
// record that created it; zero means that there is no version yet.
type Content struct {
	Version ident.Offset
	Text    string
	Author  string
	Rules   *rules.Set
}

// Verdict is the result of checking a change.
type Verdict uint8

const (
	// Accepted means that the change became a new version.
	Accepted Verdict = iota + 1
	// Conflicted means that the change was based on a version that was not in force.
	Conflicted
	// Refused means that the rules did not pass the checks, or that the
	// identifier or the author of the change was missing or too long.
	Refused
)

// String returns the lower-case name of the verdict, or "unknown".
func (v Verdict) String() string {
	switch v {
	case Accepted:
		return "accepted"
	case Conflicted:
		return "lost"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}

// VerdictEntry is the stored verdict on one change.
type VerdictEntry struct {
	ID      ident.RecordID `cbor:"1,keyasint"`
	Offset  ident.Offset   `cbor:"2,keyasint"`
	Base    ident.Offset   `cbor:"3,keyasint"`
	Author  string         `cbor:"4,keyasint"`
	Verdict Verdict        `cbor:"5,keyasint"`
	// InForce is set if Verdict is Conflicted: the version that was in force
	// instead of Base.
	InForce ident.Offset `cbor:"6,keyasint,omitempty"`
	// Problems is set if Verdict is Refused: the first problems that were found,
	// at most maxVerdictProblems.
	Problems []string `cbor:"7,keyasint,omitempty"`
}

// Snapshot is the encodable form of a State. A snapshot record holds it together
// with the offset up to which the records were applied.
type Snapshot struct {
	Version ident.Offset   `cbor:"1,keyasint"`
	Text    string         `cbor:"2,keyasint"`
	Author  string         `cbor:"3,keyasint"`
	History []VerdictEntry `cbor:"4,keyasint"`
}

// State is the result of applying the stream up to one offset. It is immutable.
type State struct {
	// Content is the version in force. It comes from the log, or from a peer that
	// had read a later version.
	Content
	// AppliedOffset is the offset of the last applied record.
	AppliedOffset ident.Offset
	// AcceptedContent is the version in force according to the records read so far.
	AcceptedContent Content
	// History holds the latest verdicts, at most MaxHistory, oldest first.
	History []VerdictEntry
	// Complete reports whether the state covers every change of the stream, either
	// from the start of the stream or from a snapshot. Otherwise the verdict on a
	// change can't be determined.
	Complete bool

	// pendingFrom is the offset from which on pending holds every change.
	pendingFrom ident.Offset
	pending     []changeRecord
}

// changeRecord is a change together with its position in the log.
type changeRecord struct {
	offset   ident.Offset
	envelope record.Envelope
}

// NewState returns the initial state of a reader that begins at the oldest offset
// that the log still holds. Offsets start at 1, so a reader that begins at offset
// 1 needs no snapshot.
func NewState(oldest ident.Offset) *State {
	return &State{Complete: oldest <= 1, pendingFrom: oldest}
}

// Resume returns the state with which a reader continues; oldest is the offset
// of the oldest record that the log still holds. If the log has dropped records
// that the reader has not read, the reader keeps the rules in force, but gives no
// verdicts until it has read a snapshot.
func Resume(state *State, oldest ident.Offset) *State {
	if state == nil {
		return NewState(oldest)
	}
	if oldest <= state.AppliedOffset+1 {
		return state
	}
	next := NewState(oldest)
	next.Content = state.Content
	return next
}

// Find returns the verdict on a change. It reports false if there is none yet, or
// if it was dropped from the history.
func (s *State) Find(id ident.RecordID) (VerdictEntry, bool) {
	for _, entry := range s.History {
		if entry.ID == id {
			return entry, true
		}
	}
	return VerdictEntry{}, false
}

// Snapshot returns the state in the form that is written to the log. It reports
// false if s does not cover every change of the stream (see State.Complete).
func (s *State) Snapshot() (Snapshot, bool) {
	if !s.Complete {
		return Snapshot{}, false
	}
	return Snapshot{
		Version: s.AcceptedContent.Version,
		Text:    s.AcceptedContent.Text,
		Author:  s.AcceptedContent.Author,
		History: s.History,
	}, true
}

// Adopt returns the state with a version from a peer in force. It returns state
// itself if that version is not later than the one in force, or if its rules
// don't pass the checks. A version from a peer does not affect verdicts, which
// depend on the log only.
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

// Applier applies records to states.
type Applier struct {
	// Decode decodes the state that a snapshot record carries.
	Decode func(state []byte) (Snapshot, error)
}

// Apply returns the state after the record at offset; it does not modify state. A
// record at or below state.AppliedOffset has no effect. A record of a kind that
// does not belong to this stream only advances AppliedOffset.
func (a Applier) Apply(state *State, offset ident.Offset, envelope record.Envelope) *State {
	if state == nil {
		state = NewState(offset)
	}
	if offset <= state.AppliedOffset {
		return state
	}
	next := *state
	next.AppliedOffset = offset
	switch body := envelope.Record.(type) {
	case record.RulesChange:
		next.applyChange(changeRecord{offset, envelope}, body)
	case record.Snapshot:
		a.applySnapshot(&next, offset, body)
	}
	return &next
}

// applyChange appends the verdict on a change to the history, unless the history
// already holds one. While the state is not complete, it buffers the change
// instead.
func (s *State) applyChange(proposed changeRecord, body record.RulesChange) {
	if !s.Complete {
		s.addPending(proposed)
		return
	}
	if _, repeated := s.Find(proposed.envelope.ID); repeated {
		return
	}
	entry := VerdictEntry{ID: proposed.envelope.ID, Offset: proposed.offset, Base: body.Base, Author: body.Author}
	s.decide(&entry, body)
	s.History = append(slices.Clone(s.History), entry)
	if excess := len(s.History) - MaxHistory; excess > 0 {
		s.History = s.History[excess:]
	}
}

// decide sets the verdict in entry. If the change is accepted, it also puts its
// rules in force.
func (s *State) decide(entry *VerdictEntry, body record.RulesChange) {
	if problem := checkAndTruncateNames(entry); problem != "" {
		entry.Verdict = Refused
		entry.Problems = []string{problem}
		return
	}
	if body.Base != s.AcceptedContent.Version {
		entry.Verdict = Conflicted
		entry.InForce = s.AcceptedContent.Version
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

// checkAndTruncateNames returns a problem if the identifier or the author of a
// change is missing or too long, else "". It truncates what is too long, which
// bounds the size of the history.
func checkAndTruncateNames(entry *VerdictEntry) string {
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

// firstProblems returns the texts of at most maxVerdictProblems problems.
func firstProblems(problems []rules.Problem) []string {
	kept := problems[:min(len(problems), maxVerdictProblems)]
	texts := make([]string, 0, len(kept))
	for _, problem := range kept {
		texts = append(texts, problem.String())
	}
	return texts
}

// accept makes content the accepted version. It also puts it in force, unless a
// later version was already adopted from a peer.
func (s *State) accept(content Content) {
	s.AcceptedContent = content
	if content.Version >= s.Version {
		s.Content = content
	}
}

// addPending buffers a change until a snapshot is read. Beyond maxPendingChanges
// it drops the oldest buffered change.
func (s *State) addPending(proposed changeRecord) {
	s.pending = append(slices.Clone(s.pending), proposed)
	if len(s.pending) <= maxPendingChanges {
		return
	}
	s.pendingFrom = s.pending[0].offset + 1
	s.pending = s.pending[1:]
}

// applySnapshot makes a state complete with a snapshot and then applies the
// buffered changes that came after the snapshot. The snapshot must extend to the
// record before pendingFrom, since a change between the two would be missed. A
// complete state ignores snapshots, so one that contradicts it has no effect.
func (a Applier) applySnapshot(s *State, offset ident.Offset, body record.Snapshot) {
	if s.Complete || body.At >= offset || body.At+1 < s.pendingFrom {
		return
	}
	snapshot, err := a.Decode(body.State)
	if err != nil || snapshot.Version > body.At {
		return
	}
	if !s.restore(snapshot) {
		return
	}
	pending := s.pending
	s.pending = nil
	for _, proposed := range pending {
		if proposed.offset > body.At {
			s.applyChange(proposed, proposed.envelope.Record.(record.RulesChange))
		}
	}
}

// restore sets the state from a snapshot. It reports false and changes nothing if
// the rules of the snapshot don't pass the checks.
func (s *State) restore(snapshot Snapshot) bool {
	content := Content{Version: snapshot.Version, Text: snapshot.Text, Author: snapshot.Author}
	if snapshot.Version > 0 {
		set, problems := rules.Parse("snapshot", snapshot.Text)
		if len(problems) > 0 {
			return false
		}
		content.Rules = set
	}
	s.Complete = true
	s.History = slices.Clone(snapshot.History)
	s.accept(content)
	return true
}
