// Package home keeps the jobs and idempotency keys of the shards of which this
// instance is the home.
//
// A home acts on a record only after it was read back as valid, so two
// instances that both believe to be the home never both act. An accepted job
// stays in the log until it is over. An attempt is placed only after the one
// before it is known to be over, and begun at most once, by the incarnation
// that placed it. A key is granted at most once, by the incarnation that wrote
// its intent.
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
	// Job calls an operation on jobs. An error of outcome NotRun guarantees
	// that the receiver did not act on the message.
	Job(ctx context.Context, to ident.Incarnation, job codec.Job) (codec.JobDone, error)
	// Offer asks for a worker with room. No answer binds the receiver.
	Offer(ctx context.Context, to ident.Incarnation, offer codec.Offer) (codec.Offered, error)
}

// Config holds the parts of a Home. All fields but Retention, Abandoned
// and Jitter are required.
type Config struct {
	Self   ident.Incarnation
	Clock  clock.Clock
	Log    logstream.Log
	Budget *logstream.Budget
	// Open reports whether the instance's own lease lasts.
	Open func(now time.Time) bool
	// Shards is the number of shards of the whole system.
	Shards int
	// Retention is how long the log keeps a record; zero means for ever.
	Retention time.Duration
	Rules     *publish.Cell[rules.Set]
	Workers   *publish.Cell[workers.View]
	Ownership *publish.Cell[ownership.Table]
	Starts    Starts
	Peers     Peers
	// Abandoned reports whether this instance owns a worker and can tell that no
	// owner has renewed the run lease of a task there for longer than one lasts.
	// Without it an attempt on a worker that is lost stays unknown.
	Abandoned func(at jobs.Place, task ident.TaskID) bool
	// Jitter returns a number in [0, 1) for backoff.
	Jitter func() float64
}

// Home serves the shards of one incarnation. It is safe for use by many
// goroutines.
type Home struct {
	config Config
	// shards is replaced by Run and read without a lock.
	shards atomic.Pointer[shardTable]
	// records numbers the records of this incarnation.
	records atomic.Uint64
	grants  grantBook
	outbox  *outbox
	// reported holds the ident.TaskID of each attempt whose end this instance
	// reports to the home of its job.
	reported sync.Map

	// base ends with Run and bounds everything that the home has started.
	base  context.Context
	stop  context.CancelFunc
	group sync.WaitGroup
	// spawning keeps spawn from adding to group while Run waits for it.
	spawning sync.Mutex
}

// shardTable is an immutable version of the shards that are followed.
type shardTable map[ident.Shard]*shard

// New returns a home that follows nothing until Run.
func New(config Config) *Home {
	h := &Home{config: config, outbox: newOutbox()}
	h.base, h.stop = context.WithCancel(context.Background())
	h.shards.Store(&shardTable{})
	return h
}

// Run follows the shards of this incarnation until ctx ends.
func (h *Home) Run(ctx context.Context) {
	defer h.end()
	h.spawn(h.sendOutcomes)
	for ctx.Err() == nil {
		changed := h.config.Ownership.Changed()
		h.assign(h.config.Ownership.Load())
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// end stops everything that the home has started and waits for it.
func (h *Home) end() {
	h.spawning.Lock()
	h.stop()
	h.spawning.Unlock()
	h.group.Wait()
}

// spawn runs a function in a goroutine, unless the home was stopped.
func (h *Home) spawn(run func()) {
	h.spawning.Lock()
	defer h.spawning.Unlock()
	if h.base.Err() == nil {
		h.group.Go(run)
	}
}

// assign starts and stops the followers of shards.
func (h *Home) assign(table *ownership.Table) {
	current := *h.shards.Load()
	next := shardTable{}
	for id := range ident.Shard(h.config.Shards) {
		if !h.ownsShard(table, id) {
			continue
		}
		kept, found := current[id]
		if !found {
			kept = h.open(id)
		}
		next[id] = kept
	}
	h.shards.Store(&next)
	for id, old := range current {
		if next[id] == nil {
			old.stop()
		}
	}
}

func (h *Home) ownsShard(table *ownership.Table, id ident.Shard) bool {
	if table == nil {
		return false
	}
	member, found := table.Home(id)
	return found && member.ID == h.config.Self
}

func (h *Home) open(id ident.Shard) *shard {
	s := newShard(h, id)
	h.spawn(s.run)
	return s
}

// now returns the current time.
func (h *Home) now() time.Time { return h.config.Clock.Now() }

// recordID returns an identifier that this incarnation uses once.
func (h *Home) recordID(id ident.Shard) ident.RecordID {
	return ident.RecordID(fmt.Sprintf("%s/w%d/%d", h.config.Self, id, h.records.Add(1)))
}

// sleep reports false when ctx ended before d passed.
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

// homeOf returns the member that is home of the shard of a name.
func (h *Home) homeOf(name string) (membership.Member, ident.Shard, error) {
	id := ownership.ShardOf(name, h.config.Shards)
	table := h.config.Ownership.Load()
	if table == nil {
		return membership.Member{}, id, unproven(fault.NoConfiguration, "no members are known yet")
	}
	member, found := table.Home(id)
	if !found {
		return membership.Member{}, id, unproven(fault.NotOwner, "shard %d has no home", id)
	}
	return member, id, nil
}

// local returns a shard that this incarnation is home of.
func (h *Home) local(id ident.Shard) (*shard, error) {
	s, found := (*h.shards.Load())[id]
	if !found {
		return nil, unproven(fault.NotOwner, "shard %d", id)
	}
	return s, nil
}

// unproven returns a refusal about an identifier that was not looked up. It may
// have been used before, so NotRun would not be proven.
func unproven(kind fault.Kind, format string, args ...any) *fault.Failure {
	return fault.New(kind, format, args...).WithOutcome(fault.Unknown)
}

// call sends an operation to a peer and returns the body of its reply.
func call[T any](ctx context.Context, h *Home, to ident.Incarnation, operation string, body any) (T, error) {
	var zero T
	message, err := codec.EncodeJob(operation, body)
	if err != nil {
		return zero, err
	}
	done, err := h.config.Peers.Job(ctx, to, message)
	if err != nil {
		return zero, err
	}
	return codec.DecodeJobBody[T](done.Body)
}
