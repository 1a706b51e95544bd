// Package membership derives the members of the system from the records of the
// membership stream, and determines when an instance may act on a change of the
// members.
//
// All readers that have applied the records up to the same offset have the same
// members and the same epoch.
package membership

import "poplarvalve/internal/process/ident"

// Member is an incarnation of an instance that may own workers and job shards.
type Member struct {
	ID          ident.Incarnation `cbor:"1,keyasint"`
	PeerAddress string            `cbor:"2,keyasint"`
	Zone        ident.ZoneName    `cbor:"3,keyasint"`
	Region      ident.RegionName  `cbor:"4,keyasint"`
	// Joined is the offset of the member's join record.
	Joined ident.Offset `cbor:"5,keyasint"`
	// LastHeartbeat is the offset of the member's newest heartbeat record, or of the
	// join record if there is no heartbeat yet.
	LastHeartbeat ident.Offset `cbor:"6,keyasint"`
	// Folded is the membership offset up to which the member has applied records,
	// according to its heartbeats.
	Folded ident.Offset `cbor:"7,keyasint"`
}

// Departure is the end of an incarnation's membership. The incarnation never
// becomes a member again.
type Departure struct {
	Member Member `cbor:"1,keyasint"`
	// At is the offset of the record that ended the membership.
	At ident.Offset `cbor:"2,keyasint"`
	// Left reports that the incarnation ended its membership by a record of its own,
	// after it had stopped starting work.
	Left bool `cbor:"3,keyasint"`
	// Witnessed reports that the departed incarnation can no longer renew its lease
	// by lease grants: a member whose grant it needs has applied the departure, the
	// departed incarnation has left by its own record, or a later incarnation of the
	// same instance has joined with the same peer address.
	Witnessed bool `cbor:"4,keyasint"`
}

// State is an immutable version of the members.
type State struct {
	// Epoch is the offset of the last record that changed the members.
	Epoch ident.Epoch
	// Offset is the offset of the last applied record.
	Offset ident.Offset
	// Members is ordered by instance name, then nonce.
	Members []Member
	// Departed holds the latest departures, at most maxDeparted, oldest first.
	Departed []Departure
}

// Find returns the member with the given incarnation. It reports false if that
// incarnation is not a member.
func (s *State) Find(id ident.Incarnation) (Member, bool) {
	for _, member := range s.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Departure returns the departure of the given incarnation. It reports false if the
// incarnation has not departed, or if its departure was dropped from Departed.
func (s *State) Departure(id ident.Incarnation) (Departure, bool) {
	for _, departure := range s.Departed {
		if departure.Member.ID == id {
			return departure, true
		}
	}
	return Departure{}, false
}
