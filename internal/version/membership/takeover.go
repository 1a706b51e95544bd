package membership

import (
	"time"

	"poplarvalve/internal/process/ident"
)

const (
	// Lease is how long a member may act after it sent a heartbeat that was
	// confirmed.
	Lease = 4 * time.Second
	// ClockMargin is added when waiting for another member's lease to expire. It
	// covers the difference in clock rate between two machines over one lease.
	ClockMargin = 500 * time.Millisecond
)

// Ack is a member's report of the membership records that it has applied.
type Ack struct {
	Member ident.Incarnation
	// AppliedOffset is the membership offset up to which the member has applied
	// records.
	AppliedOffset ident.Offset
	// ReadAt is the time at which this instance read the member's first ack with an
	// offset at or after the epoch.
	ReadAt time.Time
}

// Removal is the removal of a member that did not leave by its own record.
type Removal struct {
	Member ident.Incarnation
	// ReadAt is the time at which this instance read the removal.
	ReadAt time.Time
	// CannotRenew reports that the removed member can no longer renew its lease by
	// lease grants of its peers: either its departure was witnessed (see
	// Departure.Witnessed), or the platform confirmed that its process has ended.
	CannotRenew bool
	// CannotRenewSince is the time at which this instance learned that CannotRenew is
	// true.
	CannotRenewSince time.Time
}

// TakeoverInputs is what an instance needs to know before it may act on an epoch. It
// covers only members of the instance's region.
type TakeoverInputs struct {
	Epoch ident.Epoch
	// Peers holds the newest acks of the other members.
	Peers []Ack
	// Removals holds the removals since the last epoch for which the instance was
	// ready.
	Removals []Removal
	// GrantedUntil is the latest expiry of the lease grants that the instance
	// gave to incarnations which are not members in this epoch. Until then it
	// must not act on an epoch without them.
	GrantedUntil time.Time
}

// Readiness is the result of CheckReadiness.
type Readiness struct {
	// Ready reports that the previous owners of the workers and shards that the
	// instance gained can no longer act.
	Ready bool
	// Until is the time from which on the instance is ready. It is zero if the
	// instance is ready, or if Unacknowledged or Unsettled is not empty.
	Until time.Time
	// Unacknowledged holds the members that have not acknowledged the epoch.
	Unacknowledged []ident.Incarnation
	// Unsettled holds the removed members that may still renew their leases by
	// lease grants of their peers.
	Unsettled []ident.Incarnation
}

// CheckReadiness determines whether an instance may act on the workers and shards
// that it gained in the epoch of inputs, according to points 1 and 2 of section 5a
// of the design. All other members must have acknowledged the epoch. No removed
// member may be able to renew its lease any more (see Removal.CannotRenew). The
// lease grants that the instance gave must have expired, and so must the lease of
// each removed member: Lease plus ClockMargin after the last ack was read, after
// Removal.ReadAt and after Removal.CannotRenewSince. CheckReadiness does not read
// the clock; its result depends on its arguments only.
func CheckReadiness(inputs TakeoverInputs, now time.Time) Readiness {
	var result Readiness
	lastAck := time.Time{}
	for _, peer := range inputs.Peers {
		if peer.AppliedOffset < ident.Offset(inputs.Epoch) {
			result.Unacknowledged = append(result.Unacknowledged, peer.Member)
		}
		lastAck = later(lastAck, peer.ReadAt)
	}
	until := inputs.GrantedUntil
	for _, removal := range inputs.Removals {
		if !removal.CannotRenew {
			result.Unsettled = append(result.Unsettled, removal.Member)
		}
		latestRenewal := later(later(lastAck, removal.ReadAt), removal.CannotRenewSince)
		until = later(until, latestRenewal.Add(Lease+ClockMargin))
	}
	if len(result.Unacknowledged) > 0 || len(result.Unsettled) > 0 {
		return result
	}
	if now.Before(until) {
		result.Until = until
		return result
	}
	result.Ready = true
	return result
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
