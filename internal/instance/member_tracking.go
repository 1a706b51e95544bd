package instance

import (
	"slices"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/version/membership"
)

// tracking holds when this instance learned what about the others, which the
// records alone don't say. The agent's mutex protects it.
type tracking struct {
	// heartbeats holds when the newest heartbeat of a member was read.
	heartbeats map[ident.Incarnation]time.Time
	// suspected holds when this instance last suspected a member.
	suspected map[ident.Incarnation]time.Time
	// acks holds the newest folded offset of each member.
	acks map[ident.Incarnation]membership.Ack
	// promised holds until when a promise to a member binds.
	promised map[ident.Incarnation]time.Time
	removals []membership.Removal
	epoch    ident.Epoch
	// departed is the offset of the newest departure taken into removals.
	departed ident.Offset
}

func newTracking() tracking {
	return tracking{
		heartbeats: map[ident.Incarnation]time.Time{},
		suspected:  map[ident.Incarnation]time.Time{},
		acks:       map[ident.Incarnation]membership.Ack{},
		promised:   map[ident.Incarnation]time.Time{},
	}
}

func (t *tracking) heard(member ident.Incarnation, now time.Time) {
	if _, known := t.heartbeats[member]; known {
		t.heartbeats[member] = now
	}
}

// suspectDue reports whether a member has been silent for too long, counted
// from since at the earliest, and notes that it is suspected now.
func (t *tracking) suspectDue(member ident.Incarnation, since, now time.Time) bool {
	const patience = membership.Lease + membership.ClockMargin
	if now.Sub(t.heartbeats[member]) <= patience || now.Sub(since) <= patience {
		return false
	}
	if now.Sub(t.suspected[member]) <= patience {
		return false
	}
	t.suspected[member] = now
	return true
}

// acknowledge notes a folded offset of a member. The time is that of the first
// offset at or after the epoch. Only members count, which bounds the map.
func (t *tracking) acknowledge(member ident.Incarnation, folded ident.Offset, now time.Time) {
	ack := t.acks[member]
	_, known := t.heartbeats[member]
	if !known || folded <= ack.Folded {
		return
	}
	if ack.Folded < ident.Offset(t.epoch) {
		ack.Read = now
	}
	ack.Member = member
	ack.Folded = folded
	t.acks[member] = ack
}

// follow takes the next members, read at now.
func (t *tracking) follow(next *membership.State, region ident.RegionName, mine map[ident.Incarnation]bool, now time.Time) {
	t.epoch = next.Epoch
	for _, member := range next.Members {
		if _, known := t.heartbeats[member.ID]; !known {
			t.heartbeats[member.ID] = now
		}
		t.acknowledge(member.ID, member.Folded, now)
	}
	for _, departure := range next.Departed {
		id := departure.Member.ID
		if departure.At > t.departed {
			t.departed = departure.At
			t.forget(id, departure.Left)
			if !departure.Left && !mine[id] && departure.Member.Region == region {
				t.removals = append(t.removals, membership.Removal{Member: id, Read: now})
			}
		}
		if departure.Witnessed {
			t.settle(id, now)
		}
	}
}

// forget drops what is known about a departed member. A promise to one that
// left by its own record binds no longer.
func (t *tracking) forget(member ident.Incarnation, left bool) {
	delete(t.heartbeats, member)
	delete(t.suspected, member)
	delete(t.acks, member)
	if left {
		delete(t.promised, member)
	}
}

func (t *tracking) settle(member ident.Incarnation, now time.Time) {
	for i := range t.removals {
		removal := &t.removals[i]
		if removal.Member == member && !removal.Settled {
			removal.Settled = true
			removal.SettledRead = now
		}
	}
}

// ready decides on the newest epoch. Removals before an epoch that was ready
// need no second wait.
func (t *tracking) ready(state *membership.State, region ident.RegionName, self ident.Incarnation, now time.Time) membership.Readiness {
	history := membership.History{Epoch: state.Epoch, Removals: slices.Clone(t.removals)}
	for _, member := range state.Members {
		if member.Region != region || member.ID == self {
			continue
		}
		ack := t.acks[member.ID]
		ack.Member = member.ID
		history.Peers = append(history.Peers, ack)
	}
	for member, until := range t.promised {
		if !until.After(now) {
			delete(t.promised, member)
			continue
		}
		if _, present := state.Find(member); !present && until.After(history.Promised) {
			history.Promised = until
		}
	}
	result := membership.Ready(history, now)
	if result.Ready {
		t.removals = nil
	}
	return result
}
