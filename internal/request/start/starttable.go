package start

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

const (
	// recordRetention is how long an identifier is remembered after its task
	// ended. It is longer than a forwarded request can be on its way.
	recordRetention = 2 * time.Minute
	// pruneInterval is the minimum time between two searches for expired
	// records.
	pruneInterval = 10 * time.Second
	// maxRecords bounds the number of identifiers in the table.
	maxRecords = 1 << 17
	// maxResultBytes bounds the total size of the results that are kept for a
	// later Resolve. It is an eighth of the memory of a node.
	maxResultBytes = 32 << 20
)

// startTable holds the task identifiers that were recently started or refused.
// Its zero value is empty. A lookup takes no lock.
type startTable struct {
	// records maps ident.TaskID to *startRecord.
	records sync.Map
	count   atomic.Int64
	// resultBytes is the total size of the results in the table.
	resultBytes atomic.Int64
	// lastPrune is when the latest prune began, or nil before the first one.
	lastPrune atomic.Pointer[time.Time]
}

// startRecord holds the progress and result of the start of one identifier.
type startRecord struct {
	// resolved is closed when report and err are final.
	resolved chan struct{}
	report   worker.TaskReport
	err      error
	endedAt  time.Time
	// handleSet is closed when handle is set.
	handleSet chan struct{}
	handle    *Handle
}

func newStartRecord() *startRecord {
	return &startRecord{resolved: make(chan struct{}), handleSet: make(chan struct{})}
}

func (s *startRecord) setHandle(handle *Handle) {
	s.handle = handle
	close(s.handleSet)
}

// waitReport waits for the result of the first start of the identifier.
func (s *startRecord) waitReport(ctx context.Context) (worker.TaskReport, error) {
	select {
	case <-s.resolved:
		return s.report, s.err
	case <-ctx.Done():
		return worker.TaskReport{}, fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "while waiting for the first start of the same task")
	}
}

// waitHandle waits for the handle of the first start of the identifier.
func (s *startRecord) waitHandle(ctx context.Context) (*Handle, error) {
	select {
	case <-s.handleSet:
		return s.handle, nil
	case <-s.resolved:
		if s.handle != nil {
			return s.handle, nil
		}
		return nil, s.err
	case <-ctx.Done():
		return nil, fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "while waiting for the first start of the same task")
	}
}

// claim returns the record of an identifier and whether this call created it.
// If the table is full, claim fails, because forgetting an identifier would
// let a repeated request start it again.
func (t *startTable) claim(id ident.TaskID, now time.Time) (*startRecord, bool, error) {
	t.pruneIfDue(now)
	if known, found := t.records.Load(id); found {
		return known.(*startRecord), false, nil
	}
	if t.count.Add(1) > maxRecords {
		t.count.Add(-1)
		return nil, false, fault.New(fault.Overloaded, "the table of recent task identifiers is full")
	}
	created := newStartRecord()
	known, found := t.records.LoadOrStore(id, created)
	if found {
		t.count.Add(-1)
	}
	return known.(*startRecord), !found, nil
}

// pruneIfDue starts a goroutine that removes the identifiers whose tasks ended
// more than recordRetention ago. It does so at most once per pruneInterval.
func (t *startTable) pruneIfDue(now time.Time) {
	last := t.lastPrune.Load()
	if last != nil && now.Sub(*last) < pruneInterval {
		return
	}
	if t.lastPrune.CompareAndSwap(last, &now) {
		go t.prune(now)
	}
}

func (t *startTable) prune(now time.Time) {
	t.records.Range(func(id, value any) bool {
		record := value.(*startRecord)
		select {
		case <-record.resolved:
			if now.Sub(record.endedAt) > recordRetention {
				t.remove(id.(ident.TaskID), record)
			}
		default:
		}
		return true
	})
}

func (t *startTable) remove(id ident.TaskID, record *startRecord) {
	if t.records.CompareAndDelete(id, record) {
		t.count.Add(-1)
		t.resultBytes.Add(-int64(len(record.report.Result)))
	}
}

// discardNotRun removes an identifier that provably did not run, so that it
// can be started again. Callers waiting for it get err.
func (t *startTable) discardNotRun(id ident.TaskID, record *startRecord, err error) {
	t.remove(id, record)
	record.err = err
	close(record.resolved)
}

// recordReport stores the last report of a task and the failure that belongs
// to it, if any.
func (t *startTable) recordReport(id ident.TaskID, record *startRecord, report worker.TaskReport, err error, now time.Time) {
	record.report = report
	record.err = err
	t.markResolved(id, record, now)
}

// recordFailure stores the failure of a task about which nothing more will be
// learned.
func (t *startTable) recordFailure(id ident.TaskID, record *startRecord, err error, now time.Time) {
	record.err = err
	t.markResolved(id, record, now)
}

func (t *startTable) markResolved(id ident.TaskID, record *startRecord, now time.Time) {
	record.report.Checkpoint = nil
	size := int64(len(record.report.Result))
	if t.resultBytes.Add(size) > maxResultBytes {
		t.resultBytes.Add(-size)
		record.report.Result = nil
		record.err = fault.New(fault.AnswerIncomplete, "the answer of task %s was not kept: the kept answers have reached their size limit", id).WithOutcome(fault.Ran)
	}
	record.endedAt = now
	close(record.resolved)
}

// Resolve finds out what became of an identifier whose forwarded request or
// reply was lost. Outcome NotRun guarantees that this owner never starts the
// identifier. To guarantee that, Resolve permanently refuses an identifier
// that is not in the table.
func (r *Runner) Resolve(ctx context.Context, id ident.TaskID) (fault.Outcome, worker.TaskReport, error) {
	now := r.Clock.Now()
	record, created, err := r.starts.claim(id, now)
	if err != nil {
		return fault.Unknown, worker.TaskReport{}, err
	}
	if created {
		r.starts.recordFailure(id, record, fault.New(fault.ResolvedNotRun, "task %s was queried before its start arrived and will not be started", id), now)
	}
	report, err := record.waitReport(ctx)
	if err == nil {
		return fault.Ran, report, nil
	}
	if provesNotRun(err) && fault.KindOf(err) != fault.ResolvedNotRun {
		return r.Resolve(ctx, id)
	}
	return fault.From(err).Outcome, report, err
}
