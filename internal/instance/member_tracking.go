package instance

import (
	"slices"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/version/membership"
)

// memberTracker records what this instance has learned about the other members
// and when, which the log records alone do not tell. The mutex of the
// MemberAgent protects it.
type memberTracker struct {
	// lastHeartbeats holds, for each member, when its newest heartbeat was
	// read.
	lastHeartbeats map[ident.Incarnation]time.Time
	// lastSuspected holds, for each member, when this instance last suspected
	// it.
	lastSuspected map[ident.Incarnation]time.Time
	// newestAcks holds, for each member, the newest offset that it has
	// acknowledged as applied.
	newestAcks map[ident.Incarnation]membership.Ack
	// grantedUntil holds, for each member, the time until which a lease grant
	// given to it binds this instance.
	grantedUntil map[ident.Incarnation]time.Time
	// removals holds the removed members of the own region that a takeover may
	// have to wait for.
	removals []membership.Removal
	epoch    ident.Epoch
	// newestDeparture is the offset of the newest departure that was considered
	// for removals.
	newestDeparture ident.Offset
}

func newMemberTracker() memberTracker {
	return memberTracker{
		lastHeartbeats: map[ident.Incarnation]time.Time{},
		lastSuspected:  map[ident.Incarnation]time.Time{},
		newestAcks:     map[ident.Incarnation]membership.Ack{},
		grantedUntil:   map[ident.Incarnation]time.Time{},
	}
}

// noteHeartbeat records that a heartbeat of a member was read at now.
func (t *memberTracker) noteHeartbeat(member ident.Incarnation, now time.Time) {
	if _, known := t.lastHeartbeats[member]; known {
		t.lastHeartbeats[member] = now
	}
}

// suspectIfDue reports whether a member has sent no heartbeat for longer than a
// lease and the clock margin, counted from since at the earliest. If so, it
// records that the member is suspected now; the member is not suspected again
// for the same time.
func (t *memberTracker) suspectIfDue(member ident.Incarnation, since, now time.Time) bool {
	const suspectAfter = membership.Lease + membership.ClockMargin
	if now.Sub(t.lastHeartbeats[member]) <= suspectAfter || now.Sub(since) <= suspectAfter {
		return false
	}
	if now.Sub(t.lastSuspected[member]) <= suspectAfter {
		return false
	}
	t.lastSuspected[member] = now
	return true
}

// acknowledge records an offset that a member has applied. The time recorded
// with it is when the first offset at or after the epoch was acknowledged.
// Acknowledgements of non-members are ignored, which bounds the map.
func (t *memberTracker) acknowledge(member ident.Incarnation, applied ident.Offset, now time.Time) {
	ack := t.newestAcks[member]
	_, known := t.lastHeartbeats[member]
	if !known || applied <= ack.AppliedOffset {
		return
	}
	if ack.AppliedOffset < ident.Offset(t.epoch) {
		ack.ReadAt = now
	}
	ack.Member = member
	ack.AppliedOffset = applied
	t.newestAcks[member] = ack
}

// update records the changes in the next version of the members, which was read
// at now.
func (t *memberTracker) update(next *membership.State, region ident.RegionName, ownIncarnations map[ident.Incarnation]bool, now time.Time) {
	t.epoch = next.Epoch
	for _, member := range next.Members {
		if _, known := t.lastHeartbeats[member.ID]; !known {
			t.lastHeartbeats[member.ID] = now
		}
		t.acknowledge(member.ID, member.Folded, now)
	}
	for _, departure := range next.Departed {
		id := departure.Member.ID
		if departure.At > t.newestDeparture {
			t.newestDeparture = departure.At
			t.forget(id, departure.Left)
			if !departure.Left && !ownIncarnations[id] && departure.Member.Region == region {
				t.removals = append(t.removals, membership.Removal{Member: id, ReadAt: now})
			}
		}
		if departure.Witnessed {
			t.markCannotRenew(id, now)
		}
	}
}

// forget drops what is known about a departed member. A lease grant given to a
// member that left by its own record binds no longer.
func (t *memberTracker) forget(member ident.Incarnation, left bool) {
	delete(t.lastHeartbeats, member)
	delete(t.lastSuspected, member)
	delete(t.newestAcks, member)
	if left {
		delete(t.grantedUntil, member)
	}
}

// markCannotRenew records that a removed member can no longer renew its lease by
// lease grants.
func (t *memberTracker) markCannotRenew(member ident.Incarnation, now time.Time) {
	for i := range t.removals {
		removal := &t.removals[i]
		if removal.Member == member && !removal.CannotRenew {
			removal.CannotRenew = true
			removal.CannotRenewSince = now
		}
	}
}

// readiness decides whether the instance may act on the newest epoch. Removals
// are dropped once an epoch is ready, since later epochs need not wait for them
// again.
func (t *memberTracker) readiness(state *membership.State, region ident.RegionName, self ident.Incarnation, now time.Time) membership.Readiness {
	inputs := membership.TakeoverInputs{Epoch: state.Epoch, Removals: slices.Clone(t.removals)}
	for _, member := range state.Members {
		if member.Region != region || member.ID == self {
			continue
		}
		ack := t.newestAcks[member.ID]
		ack.Member = member.ID
		inputs.Peers = append(inputs.Peers, ack)
	}
	for member, until := range t.grantedUntil {
		if !until.After(now) {
			delete(t.grantedUntil, member)
			continue
		}
		if _, isMember := state.Find(member); !isMember && until.After(inputs.GrantedUntil) {
			inputs.GrantedUntil = until
		}
	}
	result := membership.CheckReadiness(inputs, now)
	if result.Ready {
		t.removals = nil
	}
	return result
}
