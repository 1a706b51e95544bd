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

// incarnation is what one incarnation of the process owns. It is built when the
// incarnation has become a member, and nothing of it is used by the next one.
type incarnation struct {
	self    ident.Incarnation
	process *Instance
	fence   *fence.Fence
	keep    *fence.Fence
	node    *peer.Node
	owner   *ownerAgent
	runner  *start.Runner
	engine  *serve.Engine
	home    *home.Home
	view    *viewAgent

	cancel context.CancelFunc
	group  sync.WaitGroup
}

func newIncarnation(process *Instance, self ident.Incarnation, bound, keep *fence.Fence) *incarnation {
	c := &incarnation{self: self, process: process, fence: bound, keep: keep}
	options := &process.options
	accounts := ledger.New()
	judged := newHealthAgent(options.Clock)
	c.owner = newOwnerAgent(ownerOptions{
		Self:      self,
		Clock:     options.Clock,
		Fence:     bound,
		Keep:      keep,
		Ledger:    accounts,
		Ownership: process.ownership,
		Listing:   process.list.cell,
		Ready:     process.members.Ready,
		Dial:      options.Dial,
		Random:    options.Random,
		Health:    judged,
		Usage:     newUsageAgent(options.Clock, process.config.Rules()),
		Log:       options.Logger,
	})
	c.runner = &start.Runner{
		Clock:    options.Clock,
		Fence:    bound,
		Ledger:   accounts,
		Sessions: c.owner,
		RunLease: worker.RunLeasePeriod,
		Random:   options.Random,
		Health:   judged,
	}
	c.node = c.newNode()
	c.view = newViewAgent(viewOptions{
		Self:    self,
		Place:   options.Place,
		Clock:   options.Clock,
		Listing: process.list.cell,
		Rules:   process.config.Rules(),
		Members: process.members.Members(),
		View:    process.workers,
		Owned:   c.ownedNow,
		Peers:   c.node,
	})
	c.home = c.newHome()
	c.engine = c.newEngine()
	return c
}

// ownedNow returns the owned workers as of the newest usage reports. Only the
// goroutine that builds the views calls it.
func (c *incarnation) ownedNow() []workers.Owned {
	c.owner.learn()
	return c.owner.owned()
}

func (c *incarnation) newNode() *peer.Node {
	options := &c.process.options
	return peer.NewNode(peer.Config{
		Self:         c.self,
		Place:        options.Place,
		Clock:        options.Clock,
		Dialer:       options.Dialer,
		Status:       c.process.peerStatus,
		NewAssembly:  func() peer.Assembly { return &answer.Assembly{} },
		Requests:     handlers{c},
		Handlers:     handlers{c},
		RegionBudget: options.RegionBudget,
		Seed:         c.self.Nonce,
	})
}

func (c *incarnation) newEngine() *serve.Engine {
	process, options := c.process, &c.process.options
	now := options.Clock.Now()
	return &serve.Engine{
		Self:      c.self,
		Place:     options.Place,
		Clock:     options.Clock,
		Start:     c.runner,
		Peers:     c.node,
		Rules:     process.config.Rules(),
		Workers:   process.workers,
		Ownership: process.ownership,
		Members:   process.members.Members(),
		Tokens:    token.NewIssuer(c.self, now),
		Results:   token.NewTable(now),
		Admission: process.limits.gate,
		Retry:     process.limits.retry,
		Hedging:   process.limits.hedge,
		Times:     process.limits.times,
		Outcomes:  c.home,
		Intents:   c.home,
		Feeds:     feeds{process},
		Elsewhere: &elsewhere{
			place:   options.Place,
			members: process.members.Members(),
			view:    process.workers,
			peers:   c.node,
		},
		Shards:          options.Shards,
		DefaultDeadline: defaultDeadline,
	}
}

// run serves until ctx ends.
func (c *incarnation) run(ctx context.Context) {
	ctx, c.cancel = context.WithCancel(ctx)
	c.node.Keep(c.process.members.Members().Load().Members)
	c.group.Go(func() { c.owner.run(ctx) })
	c.group.Go(func() { c.view.run(ctx) })
	c.group.Go(func() { c.home.Run(ctx) })
	c.group.Go(func() { c.keepLinks(ctx) })
}

// keepLinks follows the members.
func (c *incarnation) keepLinks(ctx context.Context) {
	cell := c.process.members.Members()
	for {
		changed := cell.Changed()
		c.node.Keep(cell.Load().Members)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// end stops everything of the incarnation.
func (c *incarnation) end() {
	c.fence.Revoke()
	c.keep.Revoke()
	c.cancel()
	c.node.Close()
	c.group.Wait()
}

// feeds opens standing feeds directly at workers, whichever instance owns them:
// a feed starts no task, so it needs no start lease. The ledger of the owner
// doesn't count its connection.
type feeds struct {
	process *Instance
}

// Open implements serve.Feeds.
func (f feeds) Open(ctx context.Context, id ident.WorkerID, feed string, from uint64) (io.ReadCloser, error) {
	for _, listed := range f.process.list.cell.Load().Workers {
		if listed.ID == id {
			return f.process.options.Dial(listed).Feed(ctx, feed, from)
		}
	}
	return nil, fault.New(fault.NoWorker, "worker %s is not listed", id)
}
