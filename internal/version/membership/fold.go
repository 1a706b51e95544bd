package membership

import (
	"cmp"
	"slices"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
)

// maxDeparted bounds the departures kept. At 91 replaced instances a day it
// covers more than five days, far beyond the time in which an appender may
// repeat a Join of a departed incarnation.
const maxDeparted = 512

// Snapshot is the state as a Snapshot record carries it.
type Snapshot struct {
	Epoch    ident.Epoch  `cbor:"1,keyasint"`
	Members  []Member     `cbor:"2,keyasint"`
	Departed []Departure  `cbor:"3,keyasint"`
	Offset   ident.Offset `cbor:"4,keyasint"`
}

// Snapshot returns the state as a plain value for a Snapshot record.
func (s *State) Snapshot() Snapshot {
	return Snapshot{Epoch: s.Epoch, Members: s.Members, Departed: s.Departed, Offset: s.Offset}
}

// Restore returns the state of a snapshot.
func Restore(snapshot Snapshot) *State {
	return &State{
		Epoch:    snapshot.Epoch,
		Offset:   snapshot.Offset,
		Members:  snapshot.Members,
		Departed: snapshot.Departed,
	}
}

// Apply returns the state after the record at offset and leaves its argument as
// it was. A nil state is one without members. A repeated record changes the
// members at most once, and an offset that was folded before changes nothing.
func Apply(state *State, offset ident.Offset, envelope record.Envelope) *State {
	if state == nil {
		state = &State{}
	}
	if offset <= state.Offset {
		return state
	}
	next := *state
	next.Offset = offset
	switch body := envelope.Record.(type) {
	case record.Join:
		next.join(offset, envelope.Writer, body)
	case record.Heartbeat:
		next.heartbeat(offset, envelope.Writer, body)
	case record.Leave:
		next.leave(offset, envelope.Writer)
	case record.Suspect:
		next.suspect(offset, body)
	}
	return &next
}

// join adds the writer. An older incarnation of the same instance is removed
// like a suspected one. If it had the same peer address, its process has ended
// or is the writer's own, since two processes can't listen on one address; then
// the departure is settled. Without that, instances that all ended together
// would wait for the platform's word on each of their predecessors.
func (s *State) join(offset ident.Offset, writer ident.Incarnation, body record.Join) {
	_, member := s.Find(writer)
	_, departed := s.Departure(writer)
	if member || departed || writer.IsZero() {
		return
	}
	for _, other := range s.Members {
		if other.ID.Instance == writer.Instance {
			s.depart(offset, other.ID, false)
			s.Departed[len(s.Departed)-1].Witnessed = other.PeerAddress == body.PeerAddress
		}
	}
	joined := Member{
		ID:            writer,
		PeerAddress:   body.PeerAddress,
		Zone:          body.Zone,
		Region:        body.Region,
		Joined:        offset,
		LastHeartbeat: offset,
	}
	place, _ := slices.BinarySearchFunc(s.Members, joined, compareMembers)
	s.Members = slices.Insert(slices.Clone(s.Members), place, joined)
	s.Epoch = ident.Epoch(offset)
}

func compareMembers(a, b Member) int {
	if order := cmp.Compare(a.ID.Instance, b.ID.Instance); order != 0 {
		return order
	}
	return cmp.Compare(a.ID.Nonce, b.ID.Nonce)
}

func (s *State) heartbeat(offset ident.Offset, writer ident.Incarnation, body record.Heartbeat) {
	place := s.index(writer)
	if place < 0 {
		return
	}
	s.Members = slices.Clone(s.Members)
	member := &s.Members[place]
	member.LastHeartbeat = offset
	// A writer can't have folded its own heartbeat or anything after it.
	member.Folded = min(max(member.Folded, body.Folded), offset-1)
	s.witness(*member)
}

// witness marks the departures that member has folded and whose incarnation,
// if it still runs, knows member and so needs its promise. Only members of the
// same region count, since an asker may be set to ask for no other promises.
func (s *State) witness(member Member) {
	copied := false
	for i := range s.Departed {
		departure := &s.Departed[i]
		proves := member.Folded >= departure.At && member.Joined <= departure.Member.Folded
		proves = proves && member.Region == departure.Member.Region
		if departure.Witnessed || !proves {
			continue
		}
		if !copied {
			s.Departed = slices.Clone(s.Departed)
			copied = true
		}
		s.Departed[i].Witnessed = true
	}
}

// leave removes the writer, or settles its earlier removal.
func (s *State) leave(offset ident.Offset, writer ident.Incarnation) {
	s.depart(offset, writer, true)
	for i := range s.Departed {
		if s.Departed[i].Member.ID == writer && !s.Departed[i].Witnessed {
			s.Departed = slices.Clone(s.Departed)
			s.Departed[i].Witnessed = true
		}
	}
}

// suspect removes a member, unless a heartbeat of it came after body.Last.
func (s *State) suspect(offset ident.Offset, body record.Suspect) {
	member, found := s.Find(body.Member)
	if !found || member.LastHeartbeat > body.Last {
		return
	}
	s.depart(offset, body.Member, false)
}

func (s *State) depart(offset ident.Offset, id ident.Incarnation, left bool) {
	place := s.index(id)
	if place < 0 {
		return
	}
	departure := Departure{Member: s.Members[place], At: offset, Left: left}
	s.Members = slices.Delete(slices.Clone(s.Members), place, place+1)
	s.Departed = append(slices.Clone(s.Departed), departure)
	if excess := len(s.Departed) - maxDeparted; excess > 0 {
		s.Departed = s.Departed[excess:]
	}
	s.Epoch = ident.Epoch(offset)
}

func (s *State) index(id ident.Incarnation) int {
	return slices.IndexFunc(s.Members, func(m Member) bool { return m.ID == id })
}
