package election

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxVoters bounds the number of voters of a cell. Each term record names them, and
	// one is written twice a second.
	MaxVoters = 9
	// minVoters is the number of voters below which silent ones stay. A list that
	// shrinks to the leader alone would make the next leader wait for the bound.
	minVoters = 3
	// ConfirmationMaxAge is how long a leader relies on the confirmation of a voter. It
	// is five heartbeats.
	ConfirmationMaxAge = 1500 * time.Millisecond
	// MaxConfirmedAuthority is the longest time after its last renewal for which a
	// leader extends leases, however many voters confirm it. It bounds the wait of a
	// next leader that does not reach enough voters.
	MaxConfirmedAuthority = 30 * time.Second
	// voterAbsence is how long a voter must be silent before another instance takes
	// its place.
	voterAbsence = 5 * time.Second
)

// Voter is an instance that confirms the leader of a cell. A process that restarts at the
// same address remains the same voter: it confirms no term before it has read the newest
// one from the log.
type Voter struct {
	Address string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint,omitempty"`
}

// HeardInstance is an instance that a leader has heard, and when it last did.
type HeardInstance struct {
	Voter
	At time.Time
}

// Quorum holds the voters of a term. A leader that can't renew its term extends leases
// only while a majority of the voters confirms that it knows no later term. Voters that
// have confirmed the next term no longer confirm an earlier one, so that no such majority
// is left once half of the voters have.
type Quorum struct {
	// Stored is the list in the newest term record that the leader knows. Proposed is a
	// different list in a renewal that got no reply, or nil: either may be in the record
	// that the next leader reads.
	Stored, Proposed []Voter
}

// MajoritySince returns the newest time since which a majority of the voters of each list
// has confirmed the term, or the zero time. confirmed holds, by address, the sending time
// of the newest heartbeat of the leader that a voter has confirmed.
func (q Quorum) MajoritySince(confirmed map[string]time.Time) time.Time {
	since := nthNewest(q.Stored, confirmed, len(q.Stored)/2+1)
	if q.Proposed == nil {
		return since
	}
	if other := nthNewest(q.Proposed, confirmed, len(q.Proposed)/2+1); other.Before(since) {
		return other
	}
	return since
}

// BlocksEarlier reports whether so many voters have confirmed the term that the rest is no
// majority.
func (q Quorum) BlocksEarlier(confirmed map[string]time.Time) bool {
	needed := len(q.Stored) - len(q.Stored)/2
	return needed == 0 || !nthNewest(q.Stored, confirmed, needed).IsZero()
}

// nthNewest returns the nth newest confirmation of the voters, or the zero time if fewer
// have confirmed.
func nthNewest(voters []Voter, confirmed map[string]time.Time, n int) time.Time {
	if len(voters) < n {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(voters))
	for _, voter := range voters {
		times = append(times, confirmed[voter.Address])
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[n-1]
}

// LeaseAuthority is what allows a leader to extend leases, as it is logged.
type LeaseAuthority string

const (
	// NoAuthority means that another instance may lead without this one knowing.
	NoAuthority LeaseAuthority = "none"
	// AuthorityRenewal means that the leader has renewed its term recently.
	AuthorityRenewal LeaseAuthority = "renewal"
	// AuthorityQuorum means that a majority of the voters knows no later term.
	AuthorityQuorum LeaseAuthority = "quorum"
)

// AuthorityToExtend returns what allows a leader to extend leases. sinceRenewal is the age
// of the newest renewal of its term, renewalAuthority how long a renewal alone suffices,
// and sinceMajority the age of the newest confirmation by a majority.
func AuthorityToExtend(sinceRenewal, renewalAuthority, sinceMajority time.Duration) LeaseAuthority {
	switch {
	case sinceRenewal < renewalAuthority:
		return AuthorityRenewal
	case sinceRenewal < MaxConfirmedAuthority && sinceMajority < ConfirmationMaxAge:
		return AuthorityQuorum
	}
	return NoAuthority
}

// ChooseVoters returns the voters that follow current: those that were heard within 5 s,
// completed by other such instances up to MaxVoters, from the zones with the fewest voters
// first. Silent voters stay where fewer than minVoters would remain. An address counts
// once; heard must not name one twice.
func ChooseVoters(now time.Time, current []Voter, heard []HeardInstance) []Voter {
	present := map[string]bool{}
	var candidates []Voter
	for _, instance := range heard {
		if instance.Address != "" && now.Sub(instance.At) < voterAbsence {
			present[instance.Address] = true
			candidates = append(candidates, instance.Voter)
		}
	}
	var next, silent []Voter
	for _, voter := range current {
		switch {
		case containsAddress(next, voter.Address) || containsAddress(silent, voter.Address):
		case present[voter.Address]:
			next = append(next, voter)
		default:
			silent = append(silent, voter)
		}
	}
	next = addFromZones(next, candidates)
	if missing := minVoters - len(next); missing > 0 {
		next = append(next, silent[:min(missing, len(silent))]...)
	}
	return next
}

// addFromZones adds candidates to the voters up to MaxVoters, those from the zones with the
// fewest voters first, and by address within a zone.
func addFromZones(voters, candidates []Voter) []Voter {
	perZone := map[string]int{}
	for _, voter := range voters {
		perZone[voter.Zone]++
	}
	candidates = slices.DeleteFunc(candidates, func(v Voter) bool { return containsAddress(voters, v.Address) })
	for len(voters) < MaxVoters && len(candidates) > 0 {
		chosen := slices.MinFunc(candidates, func(a, b Voter) int {
			return cmp.Or(cmp.Compare(perZone[a.Zone], perZone[b.Zone]), cmp.Compare(a.Address, b.Address))
		})
		voters = append(voters, chosen)
		perZone[chosen.Zone]++
		candidates = slices.DeleteFunc(candidates, func(v Voter) bool { return v.Address == chosen.Address })
	}
	return voters
}

func containsAddress(voters []Voter, address string) bool {
	return slices.ContainsFunc(voters, func(v Voter) bool { return v.Address == address })
}
