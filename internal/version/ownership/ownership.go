// Package ownership derives from one version of the members who owns each
// worker and which instance is home of each shard.
//
// The derivation depends on nothing but the members, so all instances that
// hold the same epoch agree. A change of members moves only the workers and
// shards of the members that came or went.
package ownership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/version/membership"
)

// Table is an immutable version of the ownership.
type Table struct {
	Epoch   ident.Epoch
	members []membership.Member
	seeds   []uint64
}

// New derives the table of an epoch.
func New(state *membership.State) *Table {
	table := &Table{Epoch: state.Epoch, members: state.Members}
	table.seeds = make([]uint64, len(state.Members))
	for i, member := range state.Members {
		table.seeds[i] = memberSeed(member.ID)
	}
	return table
}

// Owner returns the member that owns a worker: one of its availability zone, or
// of its region if the zone has no member. A region without members owns
// nothing, and the second result is false.
func (t *Table) Owner(worker ident.WorkerID, zone ident.ZoneName, region ident.RegionName) (membership.Member, bool) {
	key := xxhash.Sum64String(string(worker))
	inZone := func(m *membership.Member) bool { return m.Zone == zone && m.Region == region }
	if owner, found := t.highest(key, inZone); found {
		return owner, true
	}
	inRegion := func(m *membership.Member) bool { return m.Region == region }
	return t.highest(key, inRegion)
}

// Home returns the member that is home of a shard.
func (t *Table) Home(shard ident.Shard) (membership.Member, bool) {
	key := xxhash.Sum64String(string(ident.ShardStream(shard)))
	return t.highest(key, func(*membership.Member) bool { return true })
}

// Gateway returns the member of a zone that answers for the whole zone towards
// one other instance. Different instances get different gateways.
func (t *Table) Gateway(zone ident.ZoneName, from ident.Incarnation) (membership.Member, bool) {
	return t.highest(memberSeed(from), func(m *membership.Member) bool { return m.Zone == zone })
}

// highest returns the eligible member with the highest rendezvous hash of key.
func (t *Table) highest(key uint64, eligible func(*membership.Member) bool) (membership.Member, bool) {
	best := -1
	var bestScore uint64
	for i := range t.members {
		if !eligible(&t.members[i]) {
			continue
		}
		score := mix(t.seeds[i], key)
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return membership.Member{}, false
	}
	return t.members[best], true
}

func memberSeed(id ident.Incarnation) uint64 {
	return xxhash.Sum64String(id.String())
}

func mix(seed, key uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], seed)
	binary.LittleEndian.PutUint64(buffer[8:], key)
	return xxhash.Sum64(buffer[:])
}

// ShardOf returns the shard, out of count, that holds a name.
func ShardOf(name string, count int) ident.Shard {
	return ident.Shard(xxhash.Sum64String(name) % uint64(count))
}
