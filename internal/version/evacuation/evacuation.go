// Package evacuation holds which availability zones operators have asked to evacuate: no task
// is started in such a zone until the request is withdrawn. Requests are records of the
// operators' partition of the log, and a View is their state up to one offset of it.
package evacuation

import (
	"maps"
	"slices"

	"poplarvalve/internal/process/fault"
)

const (
	// MaxZones bounds the zones of a View that another instance has sent.
	MaxZones = 1024
	// MaxZoneBytes is the maximum length of the name of a zone.
	MaxZoneBytes = 255
)

// Request is one record of the operators about a zone.
type Request struct {
	Zone string
	// Offset is the position of the record in the operators' partition.
	Offset int64
	// Withdrawn is set if the record ends the evacuation of the zone.
	Withdrawn bool
}

// View is the set of evacuated zones by all records before an offset. It is immutable. Of two
// views, the one with the higher offset is the newer one.
type View struct {
	offset int64
	// requests holds, by zone, the offset of the request that is in force.
	requests map[string]int64
}

// FromNewest returns the view by the newest record of each zone, read when the partition ended
// at end. Some of the records may be newer than end.
func FromNewest(newest []Request, end int64) *View {
	v := &View{offset: end, requests: map[string]int64{}}
	v.apply(newest)
	return v
}

// FromRequests returns the view that another instance has sent: the offsets of the requests in
// force by zone. The error is of kind Malformed.
func FromRequests(requests map[string]int64, offset int64) (*View, error) {
	if len(requests) > MaxZones || offset < 0 {
		return nil, fault.New(fault.Malformed, "a view of %d evacuated zones at offset %d", len(requests), offset)
	}
	for zone := range requests {
		if zone == "" || len(zone) > MaxZoneBytes {
			return nil, fault.New(fault.Malformed, "an evacuated zone with a name of %d bytes", len(zone))
		}
	}
	return &View{offset, requests}, nil
}

// Advance returns the view by the records from an offset up to next, which are in order.
// complete is false if records between the view and from are missing, or if next is before
// the view; the result is then the view itself.
func (v *View) Advance(from int64, records []Request, next int64) (advanced *View, complete bool) {
	if v == nil || from > v.offset || next < v.offset {
		return v, false
	}
	advanced = &View{offset: next, requests: v.requests}
	if len(records) > 0 {
		advanced.requests = maps.Clone(v.requests)
		advanced.apply(records)
	}
	return advanced, true
}

// apply applies records in order. A record older than the one in force changes nothing: the
// newest records may have been read after it was written.
func (v *View) apply(records []Request) {
	for _, record := range records {
		known, inForce := v.requests[record.Zone]
		switch {
		case inForce && record.Offset < known:
		case record.Withdrawn:
			delete(v.requests, record.Zone)
		default:
			v.requests[record.Zone] = record.Offset
		}
	}
}

// Offset returns the offset up to which the view holds.
func (v *View) Offset() int64 { return v.offset }

// Requests returns the offset of the request in force for each evacuated zone. The caller must
// not change it.
func (v *View) Requests() map[string]int64 { return v.requests }

// Evacuates reports whether a zone is evacuated.
func (v *View) Evacuates(zone string) bool {
	_, evacuated := v.requests[zone]
	return evacuated
}

// Zones returns the evacuated zones, sorted. There are none in a nil View.
func (v *View) Zones() []string {
	if v == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(v.requests))
}

// SameZones reports whether two views evacuate the same zones.
func (v *View) SameZones(other *View) bool {
	return maps.EqualFunc(v.requests, other.requests, func(int64, int64) bool { return true })
}

// Newer returns the view with the higher offset. Either may be nil.
func Newer(a, b *View) *View {
	if a == nil || b != nil && b.offset > a.offset {
		return b
	}
	return a
}
