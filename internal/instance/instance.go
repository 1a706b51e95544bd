// Package instance assembles one entry instance from the parts that live for a
// process, a version, a connection and a request. It is the only package, with
// those below it, that imports all four.
package instance

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/drain"
	"poplarvalve/internal/process/dump"
	"poplarvalve/internal/process/fence"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/logging"
	"poplarvalve/internal/process/logstream"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/version/config"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/ownership"
	"poplarvalve/internal/version/workers"
)

const (
	// defaultDeadline applies to requests when neither they nor their service
	// state one.
	defaultDeadline = 2 * time.Second
	// leaveTimeout bounds the wait for the own leave record at shutdown.
	leaveTimeout = 5 * time.Second
	// regionBudget is the traffic to each other region in bytes a second: a
	// quarter of 30 Mbit/s, since up to three fronts of a zone share the link
	// with the users' own traffic.
	regionBudget = 30_000_000 / 8 / 4
)

// Options say who an instance is and what it is connected to. All fields are
// required but Logger, Metrics and RegionBudget.
type Options struct {
	Name        ident.InstanceName
	Place       workers.Place
	PeerAddress string
	RegionCut   RegionCut
	Shards      int
	// Appends is the budget of all instances together, in appends a second.
	Appends   int
	Retention time.Duration
	// RegionBudget is in bytes a second to each other region; zero takes the
	// default.
	RegionBudget int
	Version      string

	Clock  clock.Clock
	Log    logstream.Log
	List   InstanceList
	Dialer peer.Dialer
	Dial   func(w workers.Listed) worker.API
	// Nonce draws the random number of an incarnation.
	Nonce func() uint64
	// Random returns a number in [0, 1); it is safe for use by many threads.
	Random  func() float64
	Logger  *logging.Logger
	Metrics *metrics.Metrics
}

// Instance is one process. Its parts are used by whichever incarnation is
// current.
type Instance struct {
	options   Options
	fence     *fence.Fence
	keep      *fence.Fence
	budget    *logstream.Budget
	gate      *drain.Gate
	dump      *dump.Registry
	members   *MemberAgent
	config    *ConfigAgent
	list      *listAgent
	limits    *limits
	workers   *publish.Cell[workers.View]
	ownership *publish.Cell[ownership.Table]
	// current is the incarnation that serves, or nil before the first one is a
	// member. It stays until the next one is, because its links carry promises.
	current atomic.Pointer[incarnation]
	records atomic.Uint64

	// draining ends when a drain has waited for all requests.
	draining context.Context
	drained  context.CancelFunc
	group    sync.WaitGroup
	stop     context.CancelFunc
}

// New returns an instance that does nothing until Start.
func New(options Options) *Instance {
	if options.RegionBudget == 0 {
		options.RegionBudget = regionBudget
	}
	if options.Metrics == nil {
		options.Metrics = metrics.New()
	}
	i := &Instance{
		options:   options,
		fence:     fence.New(options.Clock.Now()),
		keep:      fence.New(options.Clock.Now()),
		budget:    logstream.NewBudget(float64(options.Appends)),
		gate:      drain.New(),
		dump:      dump.New(),
		workers:   publish.New[workers.View](nil),
		ownership: publish.New[ownership.Table](nil),
	}
	i.draining, i.drained = context.WithCancel(context.Background())
	i.list = newListAgent(options.Clock, options.List, i.listed)
	i.config = NewConfigAgent(ConfigOptions{
		Clock:     options.Clock,
		Log:       options.Log,
		Budget:    i.budget,
		Retention: options.Retention,
		Jitter:    options.Random,
		Writer:    i.writer,
		NewID:     i.newRecordID,
		OnVersion: i.rulesInForce,
	})
	i.members = NewMemberAgent(MemberConfig{
		Name:          options.Name,
		PeerAddress:   options.PeerAddress,
		Zone:          options.Place.Zone,
		Region:        options.Place.Region,
		RegionCut:     options.RegionCut,
		Retention:     options.Retention,
		Clock:         options.Clock,
		Log:           options.Log,
		Budget:        i.budget,
		Fence:         i.fence,
		Keep:          i.keep,
		Promiser:      promiser{i},
		Nonce:         options.Nonce,
		Jitter:        options.Random,
		ConfigVersion: i.config.Version,
		OnIncarnation: i.revoke,
		OnMember:      i.revokeKeep,
		OnEpoch:       i.epoch,
	})
	i.limits = newLimits(options.Clock.Now(), i.config.Rules(), i.memberCount, options.Random)
	i.registerStates()
	return i
}

// memberCount returns the number of members of the newest epoch.
func (i *Instance) memberCount() int {
	state := i.members.Members().Load()
	if state == nil {
		return 0
	}
	return len(state.Members)
}

// Front returns what serves callers.
func (i *Instance) Front() interface {
	caller.Engine
	caller.Jobs
} {
	return front{i}
}

// PeerHandler accepts links of other instances.
func (i *Instance) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		current := i.current.Load()
		if current == nil {
			http.Error(w, "not a member yet", http.StatusServiceUnavailable)
			return
		}
		peer.Handler(current.node).ServeHTTP(w, r)
	})
}

// AcceptPeer serves a connection of another instance until it ends.
func (i *Instance) AcceptPeer(conn peer.Conn) {
	current := i.current.Load()
	if current == nil {
		conn.Close()
		return
	}
	current.node.Accept(conn)
}

// Start joins and serves until Stop or Shutdown.
func (i *Instance) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	i.stop = cancel
	i.group.Go(func() { i.config.Run(ctx) })
	i.group.Go(func() { i.list.run(ctx) })
	i.group.Go(func() { i.members.Run(ctx) })
	i.group.Go(func() { i.follow(ctx) })
	i.group.Go(func() { i.measure(ctx) })
}

// Stop ends everything at once, as a crash would.
func (i *Instance) Stop() {
	i.stop()
	i.group.Wait()
	if current := i.current.Load(); current != nil {
		current.end()
	}
	i.drained()
}

// Shutdown refuses new work, waits for the work in flight until ctx ends, hands
// its workers over, leaves and stops. It returns the number of requests that
// were still in flight.
func (i *Instance) Shutdown(ctx context.Context) int64 {
	i.options.Logger.Draining(i.gate.InFlight())
	// The error says that ctx ended; what is left is counted below.
	_ = i.gate.Drain(ctx)
	cut := i.gate.InFlight()
	i.drained()
	if current := i.current.Load(); current != nil {
		current.owner.handOver()
	}
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	// Without the record the others suspect this instance, which takes longer.
	_ = i.members.Leave(leaving)
	i.Stop()
	i.options.Logger.Stopped(cut)
	return cut
}

// revoke ends the starts of the incarnation that lapsed. The next one is built
// when it is a member.
func (i *Instance) revoke(ident.Incarnation) {
	if current := i.current.Load(); current != nil {
		current.fence.Revoke()
	}
}

// revokeKeep ends what the incarnation before self kept.
func (i *Instance) revokeKeep(self ident.Incarnation) {
	if current := i.current.Load(); current != nil && current.self != self {
		current.keep.Revoke()
	}
}

// epoch publishes who owns what before the epoch is acknowledged.
func (i *Instance) epoch(next *membership.State) {
	table := ownership.New(next)
	i.ownership.Publish(table)
	if current := i.current.Load(); current != nil {
		current.owner.epoch(table)
	}
	i.budget.SetRate(float64(i.options.Appends) / float64(max(len(next.Members), 1)))
	i.options.Logger.Epoch(next.Epoch, len(next.Members))
}

// follow replaces the current incarnation when the next one is a member.
func (i *Instance) follow(ctx context.Context) {
	cell := i.members.Members()
	for {
		changed := cell.Changed()
		self := i.members.Self()
		_, member := cell.Load().Find(self)
		current := i.current.Load()
		if member && (current == nil || current.self != self) {
			i.replace(ctx, current, self)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// replace installs an incarnation. The fence is bound before the check that the
// incarnation is still the newest, so that a later one revokes it.
func (i *Instance) replace(ctx context.Context, old *incarnation, self ident.Incarnation) {
	next := newIncarnation(i, self, i.fence.Bind(), i.keep.Bind())
	i.current.Store(next)
	next.owner.epoch(i.ownership.Load())
	if i.members.Self() != self {
		next.fence.Revoke()
	}
	next.run(ctx)
	if old != nil {
		old.end()
	}
}

// listed takes the platform's word on which removed members have ended: those
// that vanished from the list, and those that it lacks for longer than it lags.
// A list without this instance says nothing about entry instances.
func (i *Instance) listed(before, next *Listing) {
	if !next.Entries[i.options.Name] {
		return
	}
	for _, departure := range i.members.Members().Load().Departed {
		name := departure.Member.ID.Instance
		if before.Entries[name] && !next.Entries[name] {
			i.members.ConfirmEnded(departure.Member.ID)
		}
	}
	i.members.ConfirmAbsent(next.Entries, listLag)
}

// writer returns the incarnation and its rank among the members.
func (i *Instance) writer() (ident.Incarnation, int, bool) {
	self := i.members.Self()
	for rank, member := range i.members.Members().Load().Members {
		if member.ID == self {
			return self, rank, true
		}
	}
	return self, 0, false
}

func (i *Instance) newRecordID() ident.RecordID {
	return ident.RecordID(fmt.Sprintf("%s/c%d", i.members.Self(), i.records.Add(1)))
}

func (i *Instance) rulesInForce(content config.Content) {
	i.options.Logger.RulesInForce(content.Version, content.Author)
	i.options.Metrics.RulesVersion(content.Version)
}

func (i *Instance) peerStatus() peer.Status {
	return peer.Status{
		Folded:        i.members.Members().Load().Offset,
		ConfigVersion: i.config.Version(),
	}
}
