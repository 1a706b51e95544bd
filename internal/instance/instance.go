// Package instance assembles one entry instance from the components whose life
// span is a process, a version, a connection or a request. This package and
// those below it are the only ones that import all four kinds.
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
	"poplarvalve/internal/process/membudget"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/version/config"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/ownership"
	"poplarvalve/internal/version/workers"
)

const (
	// defaultDeadline applies to a request if neither the request nor its
	// service states a deadline.
	defaultDeadline = 2 * time.Second
	// leaveRecordTimeout bounds how long a shutdown waits until the instance's
	// own leave record has been read back.
	leaveRecordTimeout = 5 * time.Second
	// defaultRegionBytesPerSecond bounds the traffic to each other region. It
	// is a quarter of 30 Mbit/s, because up to three entry instances of a zone
	// share the link with the users' own traffic.
	defaultRegionBytesPerSecond = 30_000_000 / 8 / 4
)

// Options identifies an instance and holds its settings and dependencies. All
// fields are required except Logger, Metrics and RegionBytesPerSecond.
type Options struct {
	Name            ident.InstanceName
	Origin          workers.Origin
	PeerAddress     string
	RegionCutPolicy RegionCutPolicy
	Shards          int
	// AppendsPerSecond limits the log appends of all instances together.
	AppendsPerSecond int
	// MemoryBytes is the memory that the process may use, or 0 if nothing limits it.
	MemoryBytes int64
	Retention   time.Duration
	// RegionBytesPerSecond bounds the traffic to each other region, in bytes per
	// second. Zero selects the default.
	RegionBytesPerSecond int
	Version              string

	Clock        clock.Clock
	Log          logstream.Log
	InstanceList InstanceList
	Dialer       peer.Dialer
	DialWorker   func(w workers.ListedWorker) worker.WorkerClient
	// Nonce returns the random number that identifies an incarnation.
	Nonce func() uint64
	// Random returns a number in [0, 1); it is safe for concurrent use.
	Random  func() float64
	Logger  *logging.Logger
	Metrics *metrics.Metrics
}

// Instance is one entry instance process. Successive incarnations of the
// process share its components.
type Instance struct {
	options           Options
	startFence        *fence.Fence
	continuationFence *fence.Fence
	appendRateLimit   *logstream.AppendRateLimit
	drainGate         *drain.Gate
	dumpRegistry      *dump.Registry
	memberAgent       *MemberAgent
	configAgent       *ConfigAgent
	instanceList      *instanceListAgent
	limits            *urgentLimits
	workersView       *publish.Value[workers.View]
	ownership         *publish.Value[ownership.Table]
	// currentIncarnation is the incarnation that serves requests, or nil until
	// the first one is a member. It stays in place until the next incarnation
	// is a member, because its links carry lease grants until then.
	currentIncarnation atomic.Pointer[incarnation]
	recordsCreated     atomic.Uint64

	// drainContext ends when a drain has waited for the requests in flight, and
	// when the instance stops.
	drainContext       context.Context
	cancelDrainContext context.CancelFunc
	group              sync.WaitGroup
	cancel             context.CancelFunc
}

// New returns an instance that is idle until Start is called.
func New(options Options) *Instance {
	if options.RegionBytesPerSecond == 0 {
		options.RegionBytesPerSecond = defaultRegionBytesPerSecond
	}
	if options.Metrics == nil {
		options.Metrics = metrics.New()
	}
	i := &Instance{
		options:           options,
		startFence:        fence.New(options.Clock.Now()),
		continuationFence: fence.New(options.Clock.Now()),
		appendRateLimit:   logstream.NewAppendRateLimit(float64(options.AppendsPerSecond)),
		drainGate:         drain.New(),
		dumpRegistry:      dump.New(),
		workersView:       publish.New[workers.View](nil),
		ownership:         publish.New[ownership.Table](nil),
	}
	i.drainContext, i.cancelDrainContext = context.WithCancel(context.Background())
	i.instanceList = newInstanceListAgent(options.Clock, options.InstanceList, i.handleListing)
	i.configAgent = NewConfigAgent(ConfigAgentOptions{
		Clock:           options.Clock,
		Log:             options.Log,
		AppendRateLimit: i.appendRateLimit,
		Retention:       options.Retention,
		Jitter:          options.Random,
		Writer:          i.snapshotWriter,
		NewID:           i.newRecordID,
		OnVersion:       i.reportRulesInForce,
	})
	i.memberAgent = NewMemberAgent(MemberAgentOptions{
		Name:              options.Name,
		PeerAddress:       options.PeerAddress,
		Zone:              options.Origin.Zone,
		Region:            options.Origin.Region,
		RegionCutPolicy:   options.RegionCutPolicy,
		Retention:         options.Retention,
		Clock:             options.Clock,
		Log:               options.Log,
		AppendRateLimit:   i.appendRateLimit,
		StartFence:        i.startFence,
		ContinuationFence: i.continuationFence,
		LeaseGrants:       leaseGrantRequester{i},
		Nonce:             options.Nonce,
		Jitter:            options.Random,
		ConfigVersion:     i.configAgent.Version,
		OnIncarnation:     i.revokeStartFence,
		OnMember:          i.revokeContinuationFence,
		OnEpoch:           i.handleEpoch,
	})
	i.limits = newUrgentLimits(options.Clock.Now(), i.configAgent.Rules(), i.memberCount, options.Random)
	i.registerDumpStates()
	return i
}

// memberCount returns the number of members in the newest epoch.
func (i *Instance) memberCount() int {
	state := i.memberAgent.Members().Load()
	if state == nil {
		return 0
	}
	return len(state.Members)
}

// FrontEnd returns the handler of callers' requests and jobs.
func (i *Instance) FrontEnd() interface {
	caller.Engine
	caller.Jobs
} {
	return frontEnd{i}
}

// PeerHandler returns the HTTP handler that accepts links from other instances.
// It answers 503 Service Unavailable until this instance is a member. memory is the budget for the
// messages that arrive on the links, or nil.
func (i *Instance) PeerHandler(memory *membudget.Budget) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		current := i.currentIncarnation.Load()
		if current == nil {
			http.Error(w, "this instance is not a member yet; try again later", http.StatusServiceUnavailable)
			return
		}
		peer.Handler(current.peerNode, memory).ServeHTTP(w, r)
	})
}

// AcceptPeer serves a connection from another instance until it ends. It closes
// the connection if this instance is not a member yet.
func (i *Instance) AcceptPeer(conn peer.Conn) {
	current := i.currentIncarnation.Load()
	if current == nil {
		conn.Close()
		return
	}
	current.peerNode.Accept(conn)
}

// Start joins the membership and serves until Stop or Shutdown is called.
func (i *Instance) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.group.Go(func() { i.configAgent.Run(ctx) })
	i.group.Go(func() { i.instanceList.run(ctx) })
	i.group.Go(func() { i.memberAgent.Run(ctx) })
	i.group.Go(func() { i.followIncarnations(ctx) })
	i.group.Go(func() { i.reportState(ctx) })
}

// Stop ends everything at once, as a crash would, without a leave record.
func (i *Instance) Stop() {
	i.cancel()
	i.group.Wait()
	if current := i.currentIncarnation.Load(); current != nil {
		current.stop()
	}
	i.cancelDrainContext()
}

// Shutdown refuses new work, waits for the work in flight until ctx ends, stops
// starts on its workers, leaves the membership and stops. It returns the number
// of requests that were still in flight after the wait.
func (i *Instance) Shutdown(ctx context.Context) int64 {
	i.options.Logger.Draining(i.drainGate.InFlight())
	// The only error is the end of ctx; the requests that are left are counted
	// below.
	_ = i.drainGate.Drain(ctx)
	unfinished := i.drainGate.InFlight()
	i.cancelDrainContext()
	if current := i.currentIncarnation.Load(); current != nil {
		current.ownerAgent.stopAllStarts()
	}
	leaveContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveRecordTimeout)
	defer cancel()
	// If the leave record is not written, the other members have to suspect
	// this instance, which takes longer.
	_ = i.memberAgent.Leave(leaveContext)
	i.Stop()
	i.options.Logger.Stopped(unfinished)
	return unfinished
}

// revokeStartFence stops the current incarnation, whose member lease has expired
// or which was removed, from starting work. The next incarnation is built once
// it is a member.
func (i *Instance) revokeStartFence(ident.Incarnation) {
	if current := i.currentIncarnation.Load(); current != nil {
		current.startFence.Revoke()
	}
}

// revokeContinuationFence stops the incarnation before self from keeping its
// running tasks alive.
func (i *Instance) revokeContinuationFence(self ident.Incarnation) {
	if current := i.currentIncarnation.Load(); current != nil && current.self != self {
		current.continuationFence.Revoke()
	}
}

// handleEpoch publishes the new ownership table before the epoch is
// acknowledged, so that no start is sent to a worker that the epoch gives to
// another member. It also divides the append rate limit by the number of
// members.
func (i *Instance) handleEpoch(next *membership.State) {
	ownershipTable := ownership.New(next)
	i.ownership.Publish(ownershipTable)
	if current := i.currentIncarnation.Load(); current != nil {
		current.ownerAgent.handleEpoch(ownershipTable)
	}
	i.appendRateLimit.SetRate(float64(i.options.AppendsPerSecond) / float64(max(len(next.Members), 1)))
	i.options.Logger.MembershipChanged(next.Epoch, len(next.Members))
}

// followIncarnations replaces the current incarnation whenever the next one has
// become a member.
func (i *Instance) followIncarnations(ctx context.Context) {
	members := i.memberAgent.Members()
	for {
		changed := members.Changed()
		self := i.memberAgent.Self()
		_, isMember := members.Load().Find(self)
		current := i.currentIncarnation.Load()
		if isMember && (current == nil || current.self != self) {
			i.replaceIncarnation(ctx, current, self)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// replaceIncarnation makes self the current incarnation. The fences are bound
// and the incarnation is stored before the check that self is still the newest
// incarnation. If a later one has been created by then, the start fence is
// revoked here; if one is created afterwards, revokeStartFence revokes it.
func (i *Instance) replaceIncarnation(ctx context.Context, old *incarnation, self ident.Incarnation) {
	next := newIncarnation(i, self, i.startFence.Bind(), i.continuationFence.Bind())
	i.currentIncarnation.Store(next)
	next.ownerAgent.handleEpoch(i.ownership.Load())
	if i.memberAgent.Self() != self {
		next.startFence.Revoke()
	}
	next.run(ctx)
	if old != nil {
		old.stop()
	}
}

// handleListing uses the platform's instance list to confirm that removed
// members have ended: those that have vanished from the list, and those that
// have been missing for longer than the list can lag (maxListLag). A list
// without this instance gives no information about entry instances.
func (i *Instance) handleListing(previous, next *Listing) {
	if !next.Entries[i.options.Name] {
		return
	}
	for _, departure := range i.memberAgent.Members().Load().Departed {
		name := departure.Member.ID.Instance
		if previous.Entries[name] && !next.Entries[name] {
			i.memberAgent.ConfirmEnded(departure.Member.ID)
		}
	}
	i.memberAgent.ConfirmAbsent(next.Entries, maxListLag)
}

// snapshotWriter returns the newest incarnation and its rank among the members.
func (i *Instance) snapshotWriter() (ident.Incarnation, int, bool) {
	self := i.memberAgent.Self()
	for rank, member := range i.memberAgent.Members().Load().Members {
		if member.ID == self {
			return self, rank, true
		}
	}
	return self, 0, false
}

func (i *Instance) newRecordID() ident.RecordID {
	return ident.RecordID(fmt.Sprintf("%s/c%d", i.memberAgent.Self(), i.recordsCreated.Add(1)))
}

func (i *Instance) reportRulesInForce(content config.Content) {
	i.options.Logger.RulesInForce(content.Version, content.Author)
	i.options.Metrics.SetRulesVersion(content.Version)
}

func (i *Instance) peerStatus() peer.Status {
	return peer.Status{
		AppliedOffset: i.memberAgent.Members().Load().Offset,
		ConfigVersion: i.configAgent.Version(),
	}
}
