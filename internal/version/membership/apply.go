package membership

import (
	"cmp"
	"slices"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
)

// maxDeparted is the maximum number of departures that a State keeps. With 91
// replaced instances a day, they cover more than five days. That is far longer than
// the time in which an appender may repeat the Join of a departed incarnation,
// which would be accepted again if its departure were forgotten.
const maxDeparted = 512

// Snapshot is the encodable form of a State, which a snapshot record carries.
type Snapshot struct {
	Epoch    ident.Epoch  `cbor:"1,keyasint"`
	Members  []Member     `cbor:"2,keyasint"`
	Departed []Departure  `cbor:"3,keyasint"`
	Offset   ident.Offset `cbor:"4,keyasint"`
}

// Snapshot returns the state in the form that a snapshot record carries.
func (s *State) Snapshot() Snapshot {
	return Snapshot{Epoch: s.Epoch, Members: s.Members, Departed: s.Departed, Offset: s.Offset}
}

// Restore returns the state that a snapshot was made of.
func Restore(snapshot Snapshot) *State {
	return &State{
		Epoch:    snapshot.Epoch,
		Offset:   snapshot.Offset,
		Members:  snapshot.Members,
		Departed: snapshot.Departed,
	}
}

// Apply returns the state after the record at offset; it does not modify state. A
// nil state has no members. A record that was written twice changes the members at
// most once, and an offset that was already applied has no effect.
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
		next.applyJoin(offset, envelope.Writer, body)
	case record.Heartbeat:
		next.applyHeartbeat(offset, envelope.Writer, body)
	case record.Leave:
		next.applyLeave(offset, envelope.Writer)
	case record.Suspect:
		next.applySuspect(offset, body)
	}
	return &next
}

// applyJoin adds the writer to the members and removes older incarnations of the
// same instance, as if they were suspected. If an older incarnation had the same
// peer address as the writer, the two are the same process or the older process has
// ended, since two processes can't listen on one address. Its departure is then
// marked as witnessed. Without this rule, instances that were all restarted at once
// would have to wait until the platform confirms the end of each older process.
func (s *State) applyJoin(offset ident.Offset, writer ident.Incarnation, body record.Join) {
	_, member := s.Find(writer)
	_, departed := s.Departure(writer)
	if member || departed || writer.IsZero() {
		return
	}
	for _, other := range s.Members {
		if other.ID.Instance == writer.Instance {
			s.removeMember(offset, other.ID, false)
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
	position, _ := slices.BinarySearchFunc(s.Members, joined, compareMembers)
	s.Members = slices.Insert(slices.Clone(s.Members), position, joined)
	s.Epoch = ident.Epoch(offset)
}

// compareMembers orders members by instance name, then nonce.
func compareMembers(a, b Member) int {
	if order := cmp.Compare(a.ID.Instance, b.ID.Instance); order != 0 {
		return order
	}
	return cmp.Compare(a.ID.Nonce, b.ID.Nonce)
}

// applyHeartbeat updates the writer's last heartbeat and the offset that it has
// applied. A heartbeat of an incarnation that is not a member has no effect.
func (s *State) applyHeartbeat(offset ident.Offset, writer ident.Incarnation, body record.Heartbeat) {
	position := s.memberIndex(writer)
	if position < 0 {
		return
	}
	s.Members = slices.Clone(s.Members)
	member := &s.Members[position]
	member.LastHeartbeat = offset
	// The writer can't have applied its own heartbeat or any later record.
	member.Folded = min(max(member.Folded, body.AppliedOffset), offset-1)
	s.markWitnessed(*member)
}

// markWitnessed marks the departures that member witnesses: member has applied the
// departure, and the departed incarnation had applied member's join. If that
// incarnation still runs, it therefore knows member and needs a lease grant from
// it. Only members of the same region count, since an instance may be configured to
// ask for no lease grants from other regions.
func (s *State) markWitnessed(member Member) {
	copied := false
	for i := range s.Departed {
		departure := &s.Departed[i]
		witnessed := member.Folded >= departure.At && member.Joined <= departure.Member.Folded
		witnessed = witnessed && member.Region == departure.Member.Region
		if departure.Witnessed || !witnessed {
			continue
		}
		if !copied {
			s.Departed = slices.Clone(s.Departed)
			copied = true
		}
		s.Departed[i].Witnessed = true
	}
}

// applyLeave removes the writer from the members. If the writer was removed before,
// applyLeave marks its departure as witnessed.
func (s *State) applyLeave(offset ident.Offset, writer ident.Incarnation) {
	s.removeMember(offset, writer, true)
	for i := range s.Departed {
		if s.Departed[i].Member.ID == writer && !s.Departed[i].Witnessed {
			s.Departed = slices.Clone(s.Departed)
			s.Departed[i].Witnessed = true
		}
	}
}

// applySuspect removes the suspected member, unless a heartbeat of it is newer than
// body.Last.
func (s *State) applySuspect(offset ident.Offset, body record.Suspect) {
	member, found := s.Find(body.Member)
	if !found || member.LastHeartbeat > body.Last {
		return
	}
	s.removeMember(offset, body.Member, false)
}

// removeMember moves a member to the departures and starts a new epoch. left says
// that the member ended its membership itself.
func (s *State) removeMember(offset ident.Offset, id ident.Incarnation, left bool) {
	position := s.memberIndex(id)
	if position < 0 {
		return
	}
	departure := Departure{Member: s.Members[position], At: offset, Left: left}
	s.Members = slices.Delete(slices.Clone(s.Members), position, position+1)
	s.Departed = append(slices.Clone(s.Departed), departure)
	if excess := len(s.Departed) - maxDeparted; excess > 0 {
		s.Departed = s.Departed[excess:]
	}
	s.Epoch = ident.Epoch(offset)
}

// memberIndex returns the index of an incarnation in Members, or -1.
func (s *State) memberIndex(id ident.Incarnation) int {
	return slices.IndexFunc(s.Members, func(m Member) bool { return m.ID == id })
}
