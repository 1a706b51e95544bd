package instance

import (
	"context"
	"io"
	"sync"

	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/instance/home"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/fence"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/ledger"
	"poplarvalve/internal/process/token"
	"poplarvalve/internal/request/answer"
	"poplarvalve/internal/request/serve"
	"poplarvalve/internal/request/start"
	"poplarvalve/internal/version/workers"
)

// incarnation holds everything that belongs to one incarnation of the process.
// It is built when the incarnation has become a member; the next incarnation
// uses none of it.
type incarnation struct {
	self              ident.Incarnation
	instance          *Instance
	startFence        *fence.Fence
	continuationFence *fence.Fence
	peerNode          *peer.Node
	ownerAgent        *ownerAgent
	runner            *start.Runner
	engine            *serve.Engine
	home              *home.Home
	viewAgent         *viewAgent

	cancel context.CancelFunc
	group  sync.WaitGroup
}

func newIncarnation(instance *Instance, self ident.Incarnation, startFence, continuationFence *fence.Fence) *incarnation {
	c := &incarnation{self: self, instance: instance, startFence: startFence, continuationFence: continuationFence}
	options := &instance.options
	capacityLedger := ledger.New()
	health := newHealthAgent(options.Clock)
	c.ownerAgent = newOwnerAgent(ownerOptions{
		Self:              self,
		Clock:             options.Clock,
		StartFence:        startFence,
		ContinuationFence: continuationFence,
		Ledger:            capacityLedger,
		Ownership:         instance.ownership,
		Listing:           instance.instanceList.listing,
		Ready:             instance.memberAgent.Readiness,
		DialWorker:        options.DialWorker,
		Random:            options.Random,
		Health:            health,
		Usage:             newUsageAgent(options.Clock, instance.configAgent.Rules()),
		Log:               options.Logger,
	})
	c.runner = &start.Runner{
		Clock:    options.Clock,
		Fence:    startFence,
		Ledger:   capacityLedger,
		Sessions: c.ownerAgent,
		RunLease: worker.RunLeasePeriod,
		Random:   options.Random,
		Health:   health,
	}
	c.peerNode = c.newPeerNode()
	c.viewAgent = newViewAgent(viewOptions{
		Self:    self,
		Origin:  options.Origin,
		Clock:   options.Clock,
		Listing: instance.instanceList.listing,
		Rules:   instance.configAgent.Rules(),
		Members: instance.memberAgent.Members(),
		View:    instance.workersView,
		Owned:   c.ownedWithLatestUsage,
		Peers:   c.peerNode,
	})
	c.home = c.newHome()
	c.engine = c.newEngine()
	return c
}

// ownedWithLatestUsage applies the newest usage reports and returns the owned
// workers. Only the goroutine that builds the views may call it.
func (c *incarnation) ownedWithLatestUsage() []workers.OwnedWorker {
	c.ownerAgent.applyUsageReports()
	return c.ownerAgent.ownedWorkers()
}

func (c *incarnation) newPeerNode() *peer.Node {
	options := &c.instance.options
	return peer.NewNode(peer.Config{
		Self:                 c.self,
		Origin:               options.Origin,
		Clock:                options.Clock,
		Dialer:               options.Dialer,
		Status:               c.instance.peerStatus,
		NewAssembly:          func() peer.Assembly { return &answer.Assembly{} },
		Requests:             peerHandlers{c},
		Handlers:             peerHandlers{c},
		RegionBytesPerSecond: options.RegionBytesPerSecond,
		Seed:                 c.self.Nonce,
	})
}

func (c *incarnation) newEngine() *serve.Engine {
	instance, options := c.instance, &c.instance.options
	now := options.Clock.Now()
	return &serve.Engine{
		Self:             c.self,
		Origin:           options.Origin,
		Clock:            options.Clock,
		Runner:           c.runner,
		Peers:            c.peerNode,
		Rules:            instance.configAgent.Rules(),
		Workers:          instance.workersView,
		Ownership:        instance.ownership,
		Members:          instance.memberAgent.Members(),
		Tokens:           token.NewIssuer(c.self, now),
		Results:          token.NewTable(now),
		Admission:        instance.limits.admission,
		Retry:            instance.limits.retry,
		Hedging:          instance.limits.hedging,
		DurationObserver: instance.limits.serviceTimes,
		Outcomes:         c.home,
		KeyGrants:        c.home,
		Feeds:            workerFeeds{instance},
		OtherZones: &otherZoneFinder{
			origin:  options.Origin,
			members: instance.memberAgent.Members(),
			view:    instance.workersView,
			peers:   c.peerNode,
		},
		Shards:          options.Shards,
		DefaultDeadline: defaultDeadline,
	}
}

// run starts the background goroutines of the incarnation, which run until ctx
// ends or stop is called.
func (c *incarnation) run(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	c.peerNode.SetMembers(c.instance.memberAgent.Members().Load().Members)
	c.group.Go(func() { c.ownerAgent.run(ctx) })
	c.group.Go(func() { c.viewAgent.run(ctx) })
	c.group.Go(func() { c.home.Run(ctx) })
	c.group.Go(func() { c.followMembers(ctx) })
}

// followMembers keeps links to the current members until ctx ends.
func (c *incarnation) followMembers(ctx context.Context) {
	members := c.instance.memberAgent.Members()
	for {
		changed := members.Changed()
		c.peerNode.SetMembers(members.Load().Members)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// stop revokes the fences of the incarnation, closes its links and waits for
// its goroutines.
func (c *incarnation) stop() {
	c.startFence.Revoke()
	c.continuationFence.Revoke()
	c.cancel()
	c.peerNode.Close()
	c.group.Wait()
}

// workerFeeds opens long-lived feeds directly at workers, whichever instance
// owns them. A feed starts no task, so it needs no start lease. The owner's
// ledger does not count the connection of the feed.
type workerFeeds struct {
	instance *Instance
}

// Open opens a feed of a worker at a position. The error is NoWorker if the
// instance list lacks the worker. Open implements serve.Feeds.
func (f workerFeeds) Open(ctx context.Context, id ident.WorkerID, feed string, from uint64) (io.ReadCloser, error) {
	for _, listed := range f.instance.instanceList.listing.Load().Workers {
		if listed.ID == id {
			return f.instance.options.DialWorker(listed).Feed(ctx, feed, from)
		}
	}
	return nil, fault.New(fault.NoWorker, "worker %s is not in the instance list", id)
}
