package entry

import (
	"context"
	"maps"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/cell"
)

// registryReader reads the records by which workers register, for one cell.
type registryReader struct {
	entry *Entry
	cell  int
	// nextOffset is the offset of the next read; -1 means that all records must
	// be read again.
	nextOffset int64
	// workers holds the newest entry of each worker that could be decoded.
	workers map[string]cell.WorkerInfo
	// changed is set while workers differs from what poll last returned.
	changed   bool
	reachable bool
}

func newRegistryReader(e *Entry, number int) *registryReader {
	return &registryReader{entry: e, cell: number, nextOffset: -1, workers: map[string]cell.WorkerInfo{}, reachable: true}
}

// poll reads the new registry records. If a worker of the cell has changed, it
// returns all workers of the cell and changed is true.
func (r *registryReader) poll(ctx context.Context) (infos []cell.WorkerInfo, changed bool, err error) {
	err = r.read(ctx)
	if (err == nil) != r.reachable && ctx.Err() != context.Canceled {
		r.reachable = err == nil
		r.entry.options.Journal.DependencyChanged("worker registry", r.reachable, err)
	}
	if err != nil || !r.changed {
		return nil, false, err
	}
	r.changed = false
	for _, info := range r.workers {
		infos = append(infos, info)
	}
	return withoutFutureStarts(time.Now(), infos), true, nil
}

// read reads the records from nextOffset on, up to the end of the registry. If they are no
// longer retained, it reads the newest record of each worker first. The pages of these are
// not a snapshot, and a read may be cut: before the end, workers may be in an earlier state
// than one that was seen already.
func (r *registryReader) read(ctx context.Context) error {
	newest := r.nextOffset < 0
	if newest {
		if err := r.readNewest(ctx); err != nil {
			return err
		}
	}
	for {
		batch, err := r.readBatch(ctx)
		if isExpired(err) {
			r.nextOffset = -1
			if newest {
				return nil // The next poll reads them again.
			}
			return r.read(ctx)
		}
		if err != nil {
			return err
		}
		r.apply(batch.Records)
		if len(batch.Records) == 0 || batch.NextOffset >= batch.EndOffset {
			return nil
		}
	}
}

// readBatch reads the records from nextOffset on that one read returns.
func (r *registryReader) readBatch(ctx context.Context) (store.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	batch, err := r.entry.options.Log.Read(ctx, r.entry.options.Registry, r.nextOffset, 0)
	if err == nil {
		r.nextOffset = batch.NextOffset
	}
	return batch, err
}

// readNewest reads the newest record of each worker.
func (r *registryReader) readNewest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	records, end, err := r.entry.options.Log.Newest(ctx, r.entry.options.Registry)
	if err != nil {
		return err
	}
	r.keepListed(records)
	r.apply(records)
	r.nextOffset = end
	r.changed = true
	return nil
}

// keepListed forgets the workers of which the registry has no record any more.
func (r *registryReader) keepListed(newest []store.Record) {
	listed := make(map[string]bool, len(newest))
	for _, record := range newest {
		listed[record.Key] = true
	}
	maps.DeleteFunc(r.workers, func(key string, _ cell.WorkerInfo) bool { return !listed[key] })
}

// apply applies the records of the cell's workers and notes whether any worker has
// changed. Records of workers in other cells are not decoded, to save time. A record
// that can't be decoded leaves the newest good entry of its worker in force.
func (r *registryReader) apply(records []store.Record) {
	cells := r.entry.leaders.Cells()
	for _, record := range records {
		if cellOf(record.Key, cells) != r.cell {
			continue
		}
		if record.Err == nil && len(record.Value) == 0 {
			delete(r.workers, record.Key)
			r.changed = true
			continue
		}
		info, err := decodeRecord(record, r.entry.options.Decoder.Worker)
		if err == nil {
			err = info.Check()
		}
		if err != nil {
			r.entry.skipRecord(metrics.SourceRegistry, record.Key, err)
			continue
		}
		info.Notice.ReadAt = time.Now()
		if known, found := r.workers[record.Key]; !found || !known.Equal(info) || !known.Notice.Agrees(info.Notice) {
			r.changed = true
		}
		r.workers[record.Key] = info
	}
}

// decodeRecord decodes a record of another process. A panic in decode costs only the
// record: the next leader would meet it again.
func decodeRecord[T any](record store.Record, decode func(store.Record) (T, error)) (decoded T, err error) {
	if record.Err != nil {
		return decoded, record.Err
	}
	if unexpected := fault.Catch(func() { decoded, err = decode(record) }); unexpected != nil {
		return decoded, unexpected
	}
	return decoded, err
}

// withoutFutureStarts makes a start after now unknown. The first report of the worker then
// says when it has started.
func withoutFutureStarts(now time.Time, infos []cell.WorkerInfo) []cell.WorkerInfo {
	for i := range infos {
		if infos[i].Incarnation > now.UnixMilli() {
			infos[i].Incarnation = 0
		}
	}
	return infos
}
