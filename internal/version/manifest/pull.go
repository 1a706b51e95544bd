package manifest

import "time"

const (
	// pullDelay is how long an instance lacks a newer manifest before it asks an instance
	// other than its source for it. The source delivers a manifest within this time.
	pullDelay = 800 * time.Millisecond
	// pullRetryDelay is the time after a request in which no other is made.
	pullRetryDelay = time.Second
)

// Pull decides when an instance asks another one for a newer manifest. If every
// instance that has a manifest sent it to all others, each would get one copy per
// link: with hundreds of instances, the copies fill the leaders' connections for
// seconds.
type Pull struct {
	// newest is the highest version that other instances have reported, and behindSince
	// when one above the version in force was first reported.
	newest      int64
	behindSince time.Time
	requestedAt time.Time
	requested   int64
}

// Observe records the manifest version that another instance reports. own is the version
// in force here. It reports whether the instance has begun to lack a newer manifest, or a
// still newer one.
func (p *Pull) Observe(now time.Time, own, reported int64) bool {
	if p.newest <= own {
		p.behindSince = now
	}
	if reported <= own || reported <= p.newest {
		return false
	}
	p.newest = reported
	return true
}

// PartArrived records that a part of a manifest has arrived, so that the next part may be
// asked for.
func (p *Pull) PartArrived() { p.requested = 0 }

// Behind reports whether another instance has reported a version above own.
func (p *Pull) Behind(own int64) bool { return p.newest > own }

// Request reports whether to ask an instance for its manifest now: the instance reports a
// higher version than own and is the source of this instance, or a higher one has been
// known for 800 ms; and no instance was asked within the last second, unless for an
// earlier version that has arrived. Request counts as made if it returns true.
func (p *Pull) Request(now time.Time, own, reported int64, fromSource bool) bool {
	if reported <= own || p.newest <= own || !fromSource && now.Sub(p.behindSince) < pullDelay {
		return false
	}
	if p.requested > own && now.Sub(p.requestedAt) < pullRetryDelay {
		return false
	}
	p.requestedAt, p.requested = now, reported
	return true
}
