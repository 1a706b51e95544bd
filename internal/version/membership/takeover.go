package membership

import (
	"time"

	"poplarvalve/internal/process/ident"
)

const (
	// Lease is how long a member may act after it sent a confirmed heartbeat.
	Lease = 4 * time.Second
	// ClockMargin covers the difference in clock rate between two machines over
	// one lease.
	ClockMargin = 500 * time.Millisecond
)

// Ack is the offset that a member said it had folded.
type Ack struct {
	Member ident.Incarnation
	Folded ident.Offset
	// Read is when the first ack at or after the epoch was read.
	Read time.Time
}

// Removal is a member that was removed without its own doing.
type Removal struct {
	Member ident.Incarnation
	// Read is when the removal was read.
	Read time.Time
	// Settled says that the removed member can't renew its lease by promises: the
	// departure was witnessed, or the platform confirmed that the process ended.
	Settled bool
	// SettledRead is when that became known.
	SettledRead time.Time
}

// History is what an instance has to know to act on an epoch. It holds members
// of the instance's region only.
type History struct {
	Epoch ident.Epoch
	// Peers are the other members, with their newest acks.
	Peers []Ack
	// Removals are the removals since the last epoch the instance was ready for.
	Removals []Removal
	// Promised is the latest time until which the instance promised not to act
	// on an epoch without an incarnation that this epoch lacks.
	Promised time.Time
}

// Readiness says whether previous owners of gained workers can no longer act.
type Readiness struct {
	Ready bool
	// Until is the time to wait for; zero if something else is missing.
	Until time.Time
	// Unacknowledged are the members whose ack of the epoch is missing.
	Unacknowledged []ident.Incarnation
	// Unsettled are the removed members that may still renew by promises.
	Unsettled []ident.Incarnation
}

// Ready decides by points 1 and 2 of section 5a of the design whether an
// instance may act on what it gained in the epoch of history. It reads no
// clock; its result depends on its arguments only.
func Ready(history History, now time.Time) Readiness {
	var result Readiness
	last := time.Time{}
	for _, peer := range history.Peers {
		if peer.Folded < ident.Offset(history.Epoch) {
			result.Unacknowledged = append(result.Unacknowledged, peer.Member)
		}
		last = later(last, peer.Read)
	}
	until := history.Promised
	for _, removal := range history.Removals {
		if !removal.Settled {
			result.Unsettled = append(result.Unsettled, removal.Member)
		}
		from := later(later(last, removal.Read), removal.SettledRead)
		until = later(until, from.Add(Lease+ClockMargin))
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

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
