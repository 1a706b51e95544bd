package start

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

const (
	// recentShards spreads identifiers over locks that are held without I/O.
	recentShards = 64
	// recentWindow is how long an identifier is remembered after its end. It
	// exceeds the life of any forward on its way.
	recentWindow = 2 * time.Minute
	// maxRecent bounds the identifiers of one shard.
	maxRecent = 2048
	// maxResultBytes bounds the result that is kept for a later Resolve.
	maxResultBytes = 2 << 10
)

// recent is the table of task identifiers that were started or refused lately.
// Its zero value is empty.
type recent struct {
	shards [recentShards]recentShard
}

type recentShard struct {
	mu      sync.Mutex
	entries map[ident.TaskID]*entry
	// ended holds identifiers in the order of their end.
	ended []endedEntry
}

type endedEntry struct {
	id    ident.TaskID
	entry *entry
	at    time.Time
}

// entry is what became of one identifier.
type entry struct {
	// settled is closed when report and err are final.
	settled chan struct{}
	report  worker.TaskReport
	err     error
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

func (t *recent) shard(id ident.TaskID) *recentShard {
	return &t.shards[xxhash.Sum64String(string(id))%recentShards]
}

// claim returns the entry of an identifier and whether the caller made it. A
// full table refuses rather than forget an identifier that may be repeated.
func (t *recent) claim(id ident.TaskID, now time.Time) (*entry, bool, error) {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.prune(now)
	if known, found := shard.entries[id]; found {
		return known, false, nil
	}
	if len(shard.entries) >= maxRecent {
		return nil, false, fault.New(fault.Overloaded, "too many recent tasks")
	}
	if shard.entries == nil {
		shard.entries = map[ident.TaskID]*entry{}
	}
	made := newEntry()
	shard.entries[id] = made
	return made, true, nil
}

// prune forgets identifiers that ended more than the window ago.
func (s *recentShard) prune(now time.Time) {
	expired := 0
	for expired < len(s.ended) && now.Sub(s.ended[expired].at) > recentWindow {
		old := s.ended[expired]
		if s.entries[old.id] == old.entry {
			delete(s.entries, old.id)
		}
		expired++
	}
	s.ended = s.ended[expired:]
}

// forget lets an identifier that provably did not run be started again, and
// gives err to those that wait for it.
func (t *recent) forget(id ident.TaskID, made *entry, err error) {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.entries, id)
	made.err = err
	close(made.settled)
}

// finish records the report of a task that is over.
func (t *recent) finish(id ident.TaskID, made *entry, report worker.TaskReport, now time.Time) {
	made.report = report
	if report.State == work.TaskUnknown {
		made.err = fault.New(fault.WorkerLost, "task %s was lost", id)
	}
	t.end(id, made, now)
}

// lose records that nothing more will be learnt about a task.
func (t *recent) lose(id ident.TaskID, made *entry, err error, now time.Time) {
	made.err = err
	t.end(id, made, now)
}

func (t *recent) end(id ident.TaskID, made *entry, now time.Time) {
	if len(made.report.Result) > maxResultBytes {
		made.report.Result = nil
		made.err = fault.New(fault.AnswerCut, "the answer of %s is no longer held", id).WithOutcome(fault.Ran)
	}
	close(made.settled)
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.ended = append(shard.ended, endedEntry{id: id, entry: made, at: now})
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
