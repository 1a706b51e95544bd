package entry

import (
	"context"

	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/cell"
)

// registry follows the records by which workers register.
type registry struct {
	entry     *Entry
	cell      int
	next      int64
	known     map[string]cell.WorkerInfo
	reachable bool
}

func newRegistry(e *Entry, number int) *registry {
	return &registry{entry: e, cell: number, next: -1, reachable: true}
}

// poll reads what is new. changed is false if nothing that matters changed.
func (r *registry) poll(ctx context.Context) (infos []cell.WorkerInfo, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	changed, err = r.read(ctx)
	if (err == nil) != r.reachable && ctx.Err() != context.Canceled {
		r.reachable = err == nil
		r.entry.options.Journal.Dependency("worker registry", r.reachable, err)
	}
	if err != nil || !changed {
		return nil, false, err
	}
	for _, info := range r.known {
		infos = append(infos, info)
	}
	return infos, true, nil
}

func (r *registry) read(ctx context.Context) (changed bool, err error) {
	log := r.entry.options.Log
	if r.next < 0 {
		records, end, err := log.Newest(ctx, r.entry.options.Registry)
		if err != nil {
			return false, err
		}
		r.known = map[string]cell.WorkerInfo{}
		r.apply(records)
		r.next = end
		return true, nil
	}
	batch, err := log.Read(ctx, r.entry.options.Registry, r.next, 0)
	if expired(err) {
		r.next = -1
		return r.read(ctx)
	}
	if err != nil {
		return false, err
	}
	r.next = batch.Next
	return r.apply(batch.Records), nil
}

// apply takes in the records of the cell's own workers; the others are not
// even decoded.
func (r *registry) apply(records []store.Record) (changed bool) {
	cells := r.entry.leaders.Cells()
	for _, record := range records {
		if cellOf(record.Key, cells) != r.cell {
			continue
		}
		if len(record.Value) == 0 {
			delete(r.known, record.Key)
			changed = true
			continue
		}
		info, err := r.entry.options.Decoder.Worker(record)
		if err != nil {
			r.entry.options.Journal.Skipped("registry", record.Key, err)
			continue
		}
		if known, found := r.known[record.Key]; !found || !known.Same(info) {
			changed = true
		}
		r.known[record.Key] = info
	}
	return changed
}
