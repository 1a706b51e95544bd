// Package membership holds the members of the system as one version, and folds
// the records of the membership stream into the next.
//
// Every reader that has folded the same offset holds the same members and the
// same epoch.
package membership

import "poplarvalve/internal/process/ident"

// Member is one incarnation that may own workers and job shards.
type Member struct {
	ID          ident.Incarnation `cbor:"1,keyasint"`
	PeerAddress string            `cbor:"2,keyasint"`
	Zone        ident.ZoneName    `cbor:"3,keyasint"`
	Region      ident.RegionName  `cbor:"4,keyasint"`
	// Joined is the offset of the join record.
	Joined ident.Offset `cbor:"5,keyasint"`
	// LastHeartbeat is the offset of the newest heartbeat, or of the join.
	LastHeartbeat ident.Offset `cbor:"6,keyasint"`
	// Folded is the membership offset that the member last said it had folded.
	Folded ident.Offset `cbor:"7,keyasint"`
}

// Departure is an incarnation that was a member and never is again.
type Departure struct {
	Member Member `cbor:"1,keyasint"`
	// At is the offset of the record that ended the membership.
	At ident.Offset `cbor:"2,keyasint"`
	// Left says that the incarnation ended its membership itself, after it had
	// stopped starting work.
	Left bool `cbor:"3,keyasint"`
	// Witnessed says that an incarnation whose promise the departed one needs has
	// folded the departure, or that the departed one has left by its own record.
	// From then on the departed one can't renew its lease by promises.
	Witnessed bool `cbor:"4,keyasint"`
}

// State is an immutable version of the members.
type State struct {
	// Epoch is the offset of the newest record that changed the members.
	Epoch ident.Epoch
	// Offset is the offset of the newest folded record.
	Offset ident.Offset
	// Members is ordered by instance name, then nonce.
	Members []Member
	// Departed holds the newest departures, the oldest first.
	Departed []Departure
}

// Find returns the member with an incarnation.
func (s *State) Find(id ident.Incarnation) (Member, bool) {
	for _, member := range s.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// Departure returns how an incarnation ended its membership.
func (s *State) Departure(id ident.Incarnation) (Departure, bool) {
	for _, departure := range s.Departed {
		if departure.Member.ID == id {
			return departure, true
		}
	}
	return Departure{}, false
}
