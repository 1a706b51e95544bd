// Package home schedules the jobs and records the idempotency keys of the
// shards assigned to this instance. The instance to which a shard is assigned
// is called the home of the shard.
//
// A home acts on a record only after it has read the record back from the log
// as valid. Two instances that both consider themselves the home of a shard
// therefore never both act. An accepted job stays in the log until it ends. An
// attempt is placed only after the previous attempt is known to be over, and
// only the incarnation that placed the attempt starts it, at most once. A key
// is granted at most once, by the incarnation that wrote its intent.
package home

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/logstream"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/version/jobs"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/ownership"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
)

// Peers sends messages to other instances. *peer.Node implements it.
type Peers interface {
	// CallJobOperation calls a job operation at another instance. An error with
	// outcome NotRun guarantees that the receiver did not act on the message.
	CallJobOperation(ctx context.Context, to ident.Incarnation, job codec.Job) (codec.JobDone, error)
	// RequestWorker asks another instance for a worker with enough free
	// capacity. The answer does not oblige the receiver to keep the capacity
	// free.
	RequestWorker(ctx context.Context, to ident.Incarnation, request codec.WorkerRequest) (codec.WorkerReply, error)
}

// Config holds the dependencies and settings of a Home. All fields except
// Retention, RunLeaseExpired and Jitter are required.
type Config struct {
	Self            ident.Incarnation
	Clock           clock.Clock
	Log             logstream.Log
	AppendRateLimit *logstream.AppendRateLimit
	// LeaseValid reports whether the lease of this instance is valid at the
	// given time.
	LeaseValid func(now time.Time) bool
	// Shards is the number of shards in the whole system.
	Shards int
	// Retention is how long the log keeps a record. Zero means forever.
	Retention  time.Duration
	Rules      *publish.Value[rules.Set]
	Workers    *publish.Value[workers.View]
	Ownership  *publish.Value[ownership.Table]
	TaskRunner TaskRunner
	Peers      Peers
	// RunLeaseExpired reports whether this instance owns the worker at the
	// given place and can tell that no owner has renewed the run lease of the
	// task there for longer than a run lease lasts. If RunLeaseExpired is nil,
	// the state of an attempt on a lost worker stays unknown.
	RunLeaseExpired func(at jobs.WorkerLocation, task ident.TaskID) bool
	// MemoryBytes is the memory of the process in bytes, of which jobs and keys may take a part, or
	// 0 if nothing limits them.
	MemoryBytes int64
	// Jitter returns a random number in [0, 1) that spreads backoff delays.
	Jitter func() float64
}

// Home serves the shards that are assigned to one incarnation. It is safe for
// concurrent use.
type Home struct {
	config Config
	// shards is replaced by Run and read without a lock.
	shards atomic.Pointer[shardTable]
	// recordCounter is the sequence number of the last record that this
	// incarnation has created.
	recordCounter atomic.Uint64
	grants        grantTable
	// appending is the memory that the jobs and keys take whose records are being appended.
	appending atomic.Int64
	outbox    *outbox
	// reportedTasks holds the ident.TaskID of each attempt whose end this
	// instance will report to the home of its job.
	reportedTasks sync.Map

	// baseCtx is canceled when Run ends. All goroutines and calls that the home
	// starts are bounded by it.
	baseCtx    context.Context
	cancelBase context.CancelFunc
	goroutines sync.WaitGroup
	// spawnMu keeps spawn from adding to goroutines while Run waits for them.
	spawnMu sync.Mutex
}

// shardTable is an immutable set of the shards that this incarnation follows.
type shardTable map[ident.Shard]*shard

// New returns a Home that follows no shards until Run is called.
func New(config Config) *Home {
	h := &Home{config: config, outbox: newOutbox()}
	h.baseCtx, h.cancelBase = context.WithCancel(context.Background())
	h.shards.Store(&shardTable{})
	return h
}

// Run follows the shards that are assigned to this incarnation until ctx ends.
func (h *Home) Run(ctx context.Context) {
	defer h.shutDown()
	h.spawn(h.sendOutcomes)
	for ctx.Err() == nil {
		changed := h.config.Ownership.Changed()
		h.updateShards(h.config.Ownership.Load())
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// shutDown stops all goroutines that the home has started and waits for them.
func (h *Home) shutDown() {
	h.spawnMu.Lock()
	h.cancelBase()
	h.spawnMu.Unlock()
	h.goroutines.Wait()
}

// spawn runs a function in a goroutine unless the home was shut down.
func (h *Home) spawn(run func()) {
	h.spawnMu.Lock()
	defer h.spawnMu.Unlock()
	if h.baseCtx.Err() == nil {
		h.goroutines.Go(run)
	}
}

// updateShards starts the shards that table newly assigns to this incarnation
// and stops those that it no longer assigns.
func (h *Home) updateShards(table *ownership.Table) {
	current := *h.shards.Load()
	next := shardTable{}
	for id := range ident.Shard(h.config.Shards) {
		if !h.isHomeOf(table, id) {
			continue
		}
		s, found := current[id]
		if !found {
			s = h.startShard(id)
		}
		next[id] = s
	}
	h.shards.Store(&next)
	for id, removed := range current {
		if next[id] == nil {
			removed.cancel()
		}
	}
}

func (h *Home) isHomeOf(table *ownership.Table, id ident.Shard) bool {
	if table == nil {
		return false
	}
	member, found := table.Home(id)
	return found && member.ID == h.config.Self
}

func (h *Home) startShard(id ident.Shard) *shard {
	s := newShard(h, id)
	h.spawn(s.run)
	return s
}

func (h *Home) now() time.Time { return h.config.Clock.Now() }

// recordID returns a record identifier that this incarnation has not used
// before.
func (h *Home) recordID(id ident.Shard) ident.RecordID {
	return ident.RecordID(fmt.Sprintf("%s/w%d/%d", h.config.Self, id, h.recordCounter.Add(1)))
}

// sleep waits for d. It reports false if ctx ended earlier.
func (h *Home) sleep(ctx context.Context, d time.Duration) bool {
	timer := h.config.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// homeOf returns the shard of a name and the member that is the home of this
// shard.
func (h *Home) homeOf(name string) (membership.Member, ident.Shard, error) {
	id := ownership.ShardOf(name, h.config.Shards)
	table := h.config.Ownership.Load()
	if table == nil {
		return membership.Member{}, id, unknownOutcome(fault.NoConfiguration, "no members are known yet")
	}
	member, found := table.Home(id)
	if !found {
		return membership.Member{}, id, unknownOutcome(fault.NotOwner, "shard %d has no home", id)
	}
	return member, id, nil
}

// localShard returns a shard whose home is this incarnation, or NotOwner.
func (h *Home) localShard(id ident.Shard) (*shard, error) {
	s, found := (*h.shards.Load())[id]
	if !found {
		return nil, unknownOutcome(fault.NotOwner, "this instance is not the home of shard %d", id)
	}
	return s, nil
}

// unknownOutcome returns a refusal with outcome Unknown for an identifier that
// was not looked up. The identifier may have been used before, so NotRun could
// be wrong.
func unknownOutcome(kind fault.Kind, format string, args ...any) *fault.Failure {
	return fault.New(kind, format, args...).WithOutcome(fault.Unknown)
}

// callPeer calls an operation at a peer and decodes the body of its reply.
func callPeer[T any](ctx context.Context, h *Home, to ident.Incarnation, operation string, body any) (T, error) {
	var zero T
	message, err := codec.EncodeJob(operation, body)
	if err != nil {
		return zero, err
	}
	reply, err := h.config.Peers.CallJobOperation(ctx, to, message)
	if err != nil {
		return zero, err
	}
	return codec.DecodeJobBody[T](reply.Body)
}
