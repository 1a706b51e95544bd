package jobs

import (
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

// entryOverheadBytes is the size that is assumed for an entry besides its byte
// fields when a snapshot is divided into parts.
const entryOverheadBytes = 512

// Part is one part of a snapshot. A snapshot is divided into parts because a
// whole table doesn't fit into one record. Offset, Home, HomeAt,
// LatestRecordTime, DroppedUpTo and Epoch are those of the table and equal in all
// parts.
type Part struct {
	Offset           ident.Offset      `cbor:"1,keyasint"`
	Home             ident.Incarnation `cbor:"2,keyasint"`
	HomeAt           ident.Offset      `cbor:"3,keyasint"`
	LatestRecordTime int64             `cbor:"4,keyasint"`
	DroppedUpTo      int64             `cbor:"5,keyasint"`
	// Index is the position of the part in the snapshot, from zero. Count is the
	// number of parts of the snapshot.
	Index int   `cbor:"6,keyasint"`
	Count int   `cbor:"7,keyasint"`
	Jobs  []Job `cbor:"8,keyasint,omitempty"`
	Keys  []Key `cbor:"9,keyasint,omitempty"`
	// Epoch is the epoch of the HomeClaim record at HomeAt.
	Epoch ident.Epoch `cbor:"10,keyasint,omitempty"`
}

// Snapshot returns the table as parts of about size bytes each; there is at least
// one part. It reports false if the table lacks records from the beginning of the
// stream.
func (t *Table) Snapshot(size int) ([]Part, bool) {
	if t.Incomplete {
		return nil, false
	}
	builder := &partBuilder{size: size, parts: []Part{{}}}
	addJob := func(_ []byte, job *Job) bool {
		part := builder.partFor(len(job.Spec.Body) + len(job.Checkpoint) + len(job.Result))
		part.Jobs = append(part.Jobs, *job)
		return false
	}
	t.openJobs.Root().Walk(addJob)
	t.endedJobs.Root().Walk(addJob)
	t.keys.Root().Walk(func(_ []byte, key *Key) bool {
		part := builder.partFor(len(key.Body))
		part.Keys = append(part.Keys, *key)
		return false
	})
	for i := range builder.parts {
		part := &builder.parts[i]
		part.Offset, part.Home, part.HomeAt = t.Offset, t.Home, t.HomeAt
		part.LatestRecordTime, part.DroppedUpTo, part.Epoch = t.LatestRecordTime, t.DroppedUpTo, t.Epoch
		part.Index, part.Count = i, len(builder.parts)
	}
	return builder.parts, true
}

// partBuilder distributes entries over parts of about size bytes. used is the size
// of the last part so far.
type partBuilder struct {
	size  int
	used  int
	parts []Part
}

// partFor returns the part to which an entry is to be added whose byte fields have
// the given total size. It begins a new part if the last one would exceed the size.
func (b *partBuilder) partFor(fieldBytes int) *Part {
	needed := fieldBytes + entryOverheadBytes
	if b.used > 0 && b.used+needed > b.size {
		b.parts = append(b.parts, Part{})
		b.used = 0
	}
	b.used += needed
	return &b.parts[len(b.parts)-1]
}

// Restore returns the table of a snapshot from all its parts in order. It returns a
// failure of kind Malformed if parts are missing, out of order, or of different
// snapshots.
func Restore(parts []Part) (*Table, error) {
	if len(parts) == 0 {
		return nil, fault.New(fault.Malformed, "the snapshot has no parts")
	}
	first := parts[0]
	table := NewTable()
	table.Offset, table.Home, table.HomeAt = first.Offset, first.Home, first.HomeAt
	table.LatestRecordTime, table.DroppedUpTo, table.Epoch = first.LatestRecordTime, first.DroppedUpTo, first.Epoch
	for i, part := range parts {
		if part.Index != i || part.Count != len(parts) || part.Offset != first.Offset || part.Home != first.Home {
			return nil, fault.New(fault.Malformed, "snapshot part %d is out of order, or does not belong to this snapshot of %d parts", part.Index, len(parts))
		}
		table.addPart(part)
	}
	return table, nil
}

// addPart adds the jobs and keys of a part to the table.
func (t *Table) addPart(part Part) {
	for _, job := range part.Jobs {
		if !job.State.IsFinal() {
			t.putOpenJob(&job)
			continue
		}
		t.putEndedJob(&job)
	}
	for _, key := range part.Keys {
		t.putKey(&key, true)
	}
}

// Collector collects the parts of a snapshot as they are read.
type Collector struct {
	parts []Part
}

// Add adds the next part. It returns the table once the snapshot is complete, and a
// failure of kind Malformed before that or if the part is out of order. A part with
// index zero begins a new snapshot.
func (c *Collector) Add(part Part) (*Table, error) {
	if part.Index == 0 {
		c.parts = nil
	}
	if part.Index != len(c.parts) {
		return nil, fault.New(fault.Malformed, "snapshot part %d is out of order: read after %d parts", part.Index, len(c.parts))
	}
	c.parts = append(c.parts, part)
	if len(c.parts) < part.Count {
		return nil, fault.New(fault.Malformed, "the snapshot is incomplete: %d of %d parts read", len(c.parts), part.Count)
	}
	return Restore(c.parts)
}
