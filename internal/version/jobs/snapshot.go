package jobs

import (
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

// entryBytes is the size of an entry beyond its bodies, for cutting parts.
const entryBytes = 512

// Part is one part of a snapshot. A whole table doesn't fit into one record.
type Part struct {
	Offset ident.Offset      `cbor:"1,keyasint"`
	Home   ident.Incarnation `cbor:"2,keyasint"`
	HomeAt ident.Offset      `cbor:"3,keyasint"`
	Clock  int64             `cbor:"4,keyasint"`
	Floor  int64             `cbor:"5,keyasint"`
	// Index counts the parts of one snapshot from zero.
	Index int   `cbor:"6,keyasint"`
	Count int   `cbor:"7,keyasint"`
	Jobs  []Job `cbor:"8,keyasint,omitempty"`
	Keys  []Key `cbor:"9,keyasint,omitempty"`
	// Epoch is that of the home.
	Epoch ident.Epoch `cbor:"10,keyasint,omitempty"`
}

// Snapshot returns the table in parts of about size bytes, at least one. It
// reports false for a table that lacks earlier records.
func (t *Table) Snapshot(size int) ([]Part, bool) {
	if t.Lost {
		return nil, false
	}
	cut := &cutter{size: size, parts: []Part{{}}}
	addJob := func(_ []byte, job *Job) bool {
		part := cut.room(len(job.Spec.Body) + len(job.Checkpoint) + len(job.Result))
		part.Jobs = append(part.Jobs, *job)
		return false
	}
	t.open.Root().Walk(addJob)
	t.ended.Root().Walk(addJob)
	t.keys.Root().Walk(func(_ []byte, key *Key) bool {
		part := cut.room(len(key.Body))
		part.Keys = append(part.Keys, *key)
		return false
	})
	for i := range cut.parts {
		part := &cut.parts[i]
		part.Offset, part.Home, part.HomeAt = t.Offset, t.Home, t.HomeAt
		part.Clock, part.Floor, part.Epoch = t.Clock, t.Floor, t.Epoch
		part.Index, part.Count = i, len(cut.parts)
	}
	return cut.parts, true
}

// cutter spreads entries over parts of limited size.
type cutter struct {
	size  int
	used  int
	parts []Part
}

// room returns the part that takes an entry with bodies of so many bytes.
func (c *cutter) room(bodies int) *Part {
	needed := bodies + entryBytes
	if c.used > 0 && c.used+needed > c.size {
		c.parts = append(c.parts, Part{})
		c.used = 0
	}
	c.used += needed
	return &c.parts[len(c.parts)-1]
}

// Restore returns the table of all parts of one snapshot in order, or a
// failure of kind Malformed.
func Restore(parts []Part) (*Table, error) {
	if len(parts) == 0 {
		return nil, fault.New(fault.Malformed, "snapshot without parts")
	}
	first := parts[0]
	table := Empty()
	table.Offset, table.Home, table.HomeAt = first.Offset, first.Home, first.HomeAt
	table.Clock, table.Floor, table.Epoch = first.Clock, first.Floor, first.Epoch
	for i, part := range parts {
		if part.Index != i || part.Count != len(parts) || part.Offset != first.Offset || part.Home != first.Home {
			return nil, fault.New(fault.Malformed, "part %d of a snapshot of %d parts", part.Index, len(parts))
		}
		table.load(part)
	}
	return table, nil
}

func (t *Table) load(part Part) {
	for _, job := range part.Jobs {
		if !job.State.Over() {
			t.put(&job)
			continue
		}
		t.ended, _, _ = t.ended.Insert([]byte(job.Spec.ID), &job)
		t.expire(job.expiry())
	}
	for _, key := range part.Keys {
		t.putKey(&key, true)
	}
}

// Collector puts the parts of a snapshot together as they are read.
type Collector struct {
	parts []Part
}

// Add takes the next part that was read and returns the table when the
// snapshot is whole. A part of another snapshot begins anew.
func (c *Collector) Add(part Part) (*Table, error) {
	if part.Index == 0 {
		c.parts = nil
	}
	if part.Index != len(c.parts) {
		return nil, fault.New(fault.Malformed, "part %d of a snapshot after %d parts", part.Index, len(c.parts))
	}
	c.parts = append(c.parts, part)
	if len(c.parts) < part.Count {
		return nil, fault.New(fault.Malformed, "%d of %d parts of a snapshot", len(c.parts), part.Count)
	}
	return Restore(c.parts)
}
