// Package ownership determines, from one version of the members, which instance
// owns each worker and which instance is the home of each shard.
//
// The result depends on the members only, so all instances with the same epoch
// agree. Owners and homes are chosen by rendezvous hashing: when a member
// joins or departs, only the workers and shards that it gains or loses change their
// owner or home.
package ownership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/version/membership"
)

// Table is the ownership in one epoch. It is immutable.
type Table struct {
	Epoch   ident.Epoch
	members []membership.Member
	// memberHashes holds the hash of each member, in the order of members.
	memberHashes []uint64
}

// New returns the ownership that follows from the members in state.
func New(state *membership.State) *Table {
	table := &Table{Epoch: state.Epoch, members: state.Members}
	table.memberHashes = make([]uint64, len(state.Members))
	for i, member := range state.Members {
		table.memberHashes[i] = memberHash(member.ID)
	}
	return table
}

// MemberCount returns the number of members.
func (t *Table) MemberCount() int { return len(t.members) }

// Owner returns the member that owns a worker. It is a member of the worker's
// availability zone, or of its region if the zone has no members. Owner reports
// false if the region has no members either.
func (t *Table) Owner(worker ident.WorkerID, zone ident.ZoneName, region ident.RegionName) (membership.Member, bool) {
	key := xxhash.Sum64String(string(worker))
	inZone := func(m *membership.Member) bool { return m.Zone == zone && m.Region == region }
	if owner, found := t.selectMember(key, inZone); found {
		return owner, true
	}
	inRegion := func(m *membership.Member) bool { return m.Region == region }
	return t.selectMember(key, inRegion)
}

// Home returns the member that is the home of a shard. It reports false if there
// are no members.
func (t *Table) Home(shard ident.Shard) (membership.Member, bool) {
	key := xxhash.Sum64String(string(ident.ShardStream(shard)))
	return t.selectMember(key, func(*membership.Member) bool { return true })
}

// ZoneContact returns the member of a zone that answers for the whole zone when the
// instance in from asks. The choice depends on from, so that the requests of the
// instances are spread over the members of the zone. ZoneContact reports false if
// the zone has no members.
func (t *Table) ZoneContact(zone ident.ZoneName, from ident.Incarnation) (membership.Member, bool) {
	return t.selectMember(memberHash(from), func(m *membership.Member) bool { return m.Zone == zone })
}

// selectMember returns the eligible member with the highest rendezvous hash for
// key. It reports false if no member is eligible.
func (t *Table) selectMember(key uint64, eligible func(*membership.Member) bool) (membership.Member, bool) {
	best := -1
	var bestScore uint64
	for i := range t.members {
		if !eligible(&t.members[i]) {
			continue
		}
		score := rendezvousHash(t.memberHashes[i], key)
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return membership.Member{}, false
	}
	return t.members[best], true
}

func memberHash(id ident.Incarnation) uint64 {
	return xxhash.Sum64String(id.String())
}

// rendezvousHash combines the hash of a member with the hash of a key.
func rendezvousHash(member, key uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], member)
	binary.LittleEndian.PutUint64(buffer[8:], key)
	return xxhash.Sum64(buffer[:])
}

// ShardOf returns the shard that a name belongs to, a number from 0 to count-1.
func ShardOf(name string, count int) ident.Shard {
	return ident.Shard(xxhash.Sum64String(name) % uint64(count))
}
