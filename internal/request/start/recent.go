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
	// recentWindow is how long an identifier is remembered after its end. It
	// exceeds the life of any forward on its way.
	recentWindow = 2 * time.Minute
	// sweepPeriod is the time between searches for identifiers to forget.
	sweepPeriod = 10 * time.Second
	// maxRecent bounds the identifiers that are held.
	maxRecent = 1 << 17
	// maxResultBytes bounds the results that are held together for a later
	// Resolve, an eighth of the memory of a node.
	maxResultBytes = 32 << 20
)

// recent is the table of task identifiers that were started or refused lately.
// Its zero value is empty. Finding an identifier takes no lock.
type recent struct {
	// entries maps ident.TaskID to *entry.
	entries sync.Map
	count   atomic.Int64
	// bytes is the size of the results that are held.
	bytes atomic.Int64
	// swept is when the newest sweep began, or nil.
	swept atomic.Pointer[time.Time]
}

// entry is what became of one identifier.
type entry struct {
	// settled is closed when report and err are final.
	settled chan struct{}
	report  worker.TaskReport
	err     error
	ended   time.Time
	// started is closed when handle is set.
	started chan struct{}
	handle  *Handle
}

func newEntry() *entry {
	return &entry{settled: make(chan struct{}), started: make(chan struct{})}
}

func (e *entry) begin(handle *Handle) {
	e.handle = handle
	close(e.started)
}

// wait returns the result of the first start of the identifier.
func (e *entry) wait(ctx context.Context) (worker.TaskReport, error) {
	select {
	case <-e.settled:
		return e.report, e.err
	case <-ctx.Done():
		return worker.TaskReport{}, fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "waiting for the first start")
	}
}

// waitBegun returns the handle of the first start of the identifier.
func (e *entry) waitBegun(ctx context.Context) (*Handle, error) {
	select {
	case <-e.started:
		return e.handle, nil
	case <-e.settled:
		if e.handle != nil {
			return e.handle, nil
		}
		return nil, e.err
	case <-ctx.Done():
		return nil, fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "waiting for the first start")
	}
}

// claim returns the entry of an identifier and whether the caller made it. A
// full table refuses rather than forget an identifier that may be repeated.
func (t *recent) claim(id ident.TaskID, now time.Time) (*entry, bool, error) {
	t.sweep(now)
	if known, found := t.entries.Load(id); found {
		return known.(*entry), false, nil
	}
	if t.count.Add(1) > maxRecent {
		t.count.Add(-1)
		return nil, false, fault.New(fault.Overloaded, "too many recent tasks")
	}
	made := newEntry()
	known, found := t.entries.LoadOrStore(id, made)
	if found {
		t.count.Add(-1)
	}
	return known.(*entry), !found, nil
}

// sweep forgets identifiers that ended more than the window ago, in a thread
// of its own and at most once a period.
func (t *recent) sweep(now time.Time) {
	last := t.swept.Load()
	if last != nil && now.Sub(*last) < sweepPeriod {
		return
	}
	if t.swept.CompareAndSwap(last, &now) {
		go t.prune(now)
	}
}

func (t *recent) prune(now time.Time) {
	t.entries.Range(func(id, value any) bool {
		known := value.(*entry)
		select {
		case <-known.settled:
			if now.Sub(known.ended) > recentWindow {
				t.remove(id.(ident.TaskID), known)
			}
		default:
		}
		return true
	})
}

func (t *recent) remove(id ident.TaskID, known *entry) {
	if t.entries.CompareAndDelete(id, known) {
		t.count.Add(-1)
		t.bytes.Add(-int64(len(known.report.Result)))
	}
}

// forget lets an identifier that provably did not run be started again, and
// gives err to those that wait for it.
func (t *recent) forget(id ident.TaskID, made *entry, err error) {
	t.remove(id, made)
	made.err = err
	close(made.settled)
}

// finish records the last report of a task, and the failure that goes with it.
func (t *recent) finish(id ident.TaskID, made *entry, report worker.TaskReport, err error, now time.Time) {
	made.report = report
	made.err = err
	t.end(id, made, now)
}

// lose records that nothing more will be learnt about a task.
func (t *recent) lose(id ident.TaskID, made *entry, err error, now time.Time) {
	made.err = err
	t.end(id, made, now)
}

func (t *recent) end(id ident.TaskID, made *entry, now time.Time) {
	made.report.Checkpoint = nil
	size := int64(len(made.report.Result))
	if t.bytes.Add(size) > maxResultBytes {
		t.bytes.Add(-size)
		made.report.Result = nil
		made.err = fault.New(fault.AnswerCut, "the answer of %s is not held", id).WithOutcome(fault.Ran)
	}
	made.ended = now
	close(made.settled)
}

// Resolve settles an identifier whose forward or reply was lost. Outcome
// NotRun guarantees that this owner never starts the identifier; an unknown
// identifier is refused for good for that.
func (r *Runner) Resolve(ctx context.Context, id ident.TaskID) (fault.Outcome, worker.TaskReport, error) {
	now := r.Clock.Now()
	known, fresh, err := r.recent.claim(id, now)
	if err != nil {
		return fault.Unknown, worker.TaskReport{}, err
	}
	if fresh {
		r.recent.lose(id, known, fault.New(fault.Resolved, "task %s", id), now)
	}
	report, err := known.wait(ctx)
	if err == nil {
		return fault.Ran, report, nil
	}
	if provesNotRun(err) && fault.KindOf(err) != fault.Resolved {
		return r.Resolve(ctx, id)
	}
	return fault.From(err).Outcome, report, err
}
