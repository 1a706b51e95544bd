package instance

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fence"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/logstream"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/ownership"
	"poplarvalve/test/platformstub"
	"poplarvalve/test/virtualtime"
)

var memberSeed = flag.Uint64("member.seed", 1, "seed of the membership tests")

const (
	sampleStep    = 50 * time.Millisecond
	sampleWorkers = 24
	sampleRegion  = "r"
)

// gate holds back everything a paused process does.
type gate struct {
	mu     sync.Mutex
	resume chan struct{}
	paused atomic.Bool
}

func (g *gate) pause(d time.Duration) {
	g.mu.Lock()
	g.resume = make(chan struct{})
	g.paused.Store(true)
	resume := g.resume
	g.mu.Unlock()
	time.AfterFunc(d, func() { g.paused.Store(false); close(resume) })
}

func (g *gate) pass(ctx context.Context) {
	g.mu.Lock()
	resume := g.resume
	g.mu.Unlock()
	if resume == nil {
		return
	}
	select {
	case <-resume:
	case <-ctx.Done():
	}
}

// gatedLog and gatedClock stop at the gate, as the log calls and the ticker of
// a paused process do.
type gatedLog struct {
	logstream.Log
	gate *gate
}

func (l gatedLog) Append(ctx context.Context, s ident.StreamName, entries [][]byte) (ident.Offset, error) {
	l.gate.pass(ctx)
	first, err := l.Log.Append(ctx, s, entries)
	l.gate.pass(ctx)
	return first, err
}

func (l gatedLog) Read(ctx context.Context, s ident.StreamName, from ident.Offset, limit int, wait time.Duration) (logstream.Batch, error) {
	l.gate.pass(ctx)
	batch, err := l.Log.Read(ctx, s, from, limit, wait)
	l.gate.pass(context.Background())
	return batch, err
}

type gatedClock struct {
	clock.System
	ctx  context.Context
	gate *gate
}

func (c gatedClock) NewTicker(d time.Duration) *time.Ticker {
	ticks := make(chan time.Time)
	go func() {
		for c.ctx.Err() == nil {
			select {
			case <-time.After(d):
			case <-c.ctx.Done():
			}
			c.gate.pass(c.ctx)
			select {
			case ticks <- time.Now():
			case <-c.ctx.Done():
			}
		}
	}()
	return &time.Ticker{C: ticks}
}

// node is one instance with what it holds now.
type node struct {
	*MemberAgent
	gate   gate
	fence  *fence.Fence
	cancel context.CancelFunc
	done   chan struct{}
	holder ident.Incarnation
	held   map[ident.WorkerID]bool
}

func (n *node) stop() { n.cancel(); <-n.done }

func (n *node) open() bool { return !n.gate.paused.Load() && n.fence.Open(time.Now()) }

// cluster runs nodes of one zone and checks at each step that no worker has two
// acting owners.
type cluster struct {
	t      *testing.T
	stub   *platformstub.Platform
	random *rand.Rand
	mu     sync.Mutex
	nodes  []*node
	// step is called at each sample.
	step func()
	// configure changes the settings of a node before it starts.
	configure func(config *MemberConfig)
	// linkCut ends the connections between regions.
	linkCut atomic.Bool
}

var errUnreachable = errors.New("peer unreachable")

// peers carries promise requests of one node.
type peers struct {
	cluster *cluster
	from    *node
}

func (p peers) Promise(ctx context.Context, to membership.Member, epoch ident.Epoch) (Promise, error) {
	self := p.from.Self()
	p.cluster.mu.Lock()
	nodes := p.cluster.nodes
	p.cluster.mu.Unlock()
	for _, n := range nodes {
		if n.config.PeerAddress != to.PeerAddress {
			continue
		}
		if n.config.Region != p.from.config.Region && p.cluster.linkCut.Load() {
			return Promise{}, errUnreachable
		}
		n.gate.pass(ctx)
		if ctx.Err() != nil {
			return Promise{}, ctx.Err()
		}
		promise, err := n.AnswerPromise(self, to.ID, epoch)
		p.from.gate.pass(ctx)
		return promise, err
	}
	return Promise{}, errUnreachable
}

func (c *cluster) start(name string) *node { return c.startAs(name, name) }

// startAs starts an instance that the log knows as client.
func (c *cluster) startAs(name, client string) *node {
	ctx, cancel := context.WithCancel(c.t.Context())
	n := &node{fence: fence.New(time.Now()), cancel: cancel, done: make(chan struct{}), held: map[ident.WorkerID]bool{}}
	nonces := rand.New(rand.NewPCG(c.random.Uint64(), 0))
	random := rand.New(rand.NewPCG(c.random.Uint64(), 1))
	var mu sync.Mutex
	config := MemberConfig{
		Name: ident.InstanceName(name), PeerAddress: name, Zone: "z", Region: sampleRegion, Retention: time.Hour,
		Clock: gatedClock{ctx: ctx, gate: &n.gate}, Log: gatedLog{c.stub.Client(client), &n.gate},
		Budget: logstream.NewBudget(25), Fence: n.fence, Keep: fence.New(time.Now()), Promiser: peers{c, n}, Nonce: nonces.Uint64,
		Jitter: func() float64 { mu.Lock(); defer mu.Unlock(); return random.Float64() },
	}
	if c.configure != nil {
		c.configure(&config)
	}
	n.MemberAgent = NewMemberAgent(config)
	c.mu.Lock()
	c.nodes = append([]*node{n}, c.nodes...) // The newest first, so it answers at its address.
	c.mu.Unlock()
	go func() { defer close(n.done); n.Run(ctx) }()
	return n
}

// crash ends a process without a record.
func (c *cluster) crash(n *node) {
	n.stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	var rest []*node
	for _, other := range c.nodes {
		if other != n {
			rest = append(rest, other)
		}
	}
	c.nodes = rest
}

// run lets time pass and checks the property at each sample.
func (c *cluster) run(d time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(sampleStep)
		synctest.Wait()
		c.acting()
		if c.step != nil {
			c.step()
		}
	}
}

// acting returns how many workers have an acting owner and fails if one has two.
func (c *cluster) acting() int {
	c.t.Helper()
	owners := map[ident.WorkerID]ident.Incarnation{}
	for _, n := range c.nodes {
		_, member := n.Members().Load().Find(n.Self())
		assert.Assert(c.t, member || !n.open(), "%s is open and has read its removal", n.Self())
		for _, w := range n.acting() {
			other, taken := owners[w]
			assert.Assert(c.t, !taken, "%s and %s act as owner of %s", other, n.holder, w)
			owners[w] = n.holder
		}
	}
	return len(owners)
}

// acting returns the workers that the node may start work on now.
func (n *node) acting() []ident.WorkerID {
	if n.gate.paused.Load() {
		return nil
	}
	if self := n.Self(); self != n.holder {
		n.holder = self
		n.held = map[ident.WorkerID]bool{}
	}
	if !n.open() {
		return nil
	}
	table := ownership.New(n.Members().Load())
	ready := n.Ready().Ready
	var acting []ident.WorkerID
	for i := range sampleWorkers {
		w := ident.WorkerID(fmt.Sprintf("w%d", i))
		owner, found := table.Owner(w, "z", sampleRegion)
		n.held[w] = found && owner.ID == n.holder && (n.held[w] || ready)
		if n.held[w] {
			acting = append(acting, w)
		}
	}
	return acting
}

// allOpen asserts that every node may act.
func (c *cluster) allOpen() {
	c.t.Helper()
	for _, n := range c.nodes {
		assert.Assert(c.t, n.open(), "%s is closed", n.Self())
	}
}

// settle asserts that every worker gets an owner again.
func (c *cluster) settle() {
	c.t.Helper()
	c.run(25 * time.Second)
	c.allOpen()
	assert.Equal(c.t, c.acting(), sampleWorkers)
}

// members runs a test with three members that own all workers.
func members(t *testing.T, test func(c *cluster)) {
	t.Helper()
	configuredMembers(t, nil, test)
}

func configuredMembers(t *testing.T, configure func(config *MemberConfig), test func(c *cluster)) {
	t.Helper()
	t.Logf("seed %d", *memberSeed)
	virtualtime.Test(t, func(t *testing.T) {
		c := &cluster{t: t, stub: platformstub.New(nil), random: rand.New(rand.NewPCG(*memberSeed, 0)), configure: configure}
		defer func() {
			for _, n := range c.nodes {
				n.stop()
			}
		}()
		for _, name := range []string{"c", "b", "a"} {
			c.start(name)
		}
		c.settle()
		test(c)
	})
}

// Guards against a paused owner that goes on after its lease, and against a
// successor that acts while it may.
func TestPausePastLease(t *testing.T) {
	members(t, func(c *cluster) {
		before := c.nodes[0].Self()
		for _, d := range []time.Duration{3 * time.Second, 6 * time.Second, 20 * time.Second} {
			c.nodes[0].gate.pause(d)
			c.run(d)
			c.settle()
		}
		assert.Assert(c.t, c.nodes[0].Self() != before)
	})
}

// Guards against a heartbeat that counts twice or not at all after a lost reply.
func TestLostReplyToHeartbeat(t *testing.T) {
	members(t, func(c *cluster) {
		c.step = c.allOpen
		for range 20 {
			c.stub.Set(func(control *platformstub.Control) { control.LoseReplies = 2 })
			c.run(1500 * time.Millisecond)
		}
		c.settle()
	})
}

// Guards against an instance that goes on while the others replace it.
func TestLogCutForOneInstance(t *testing.T) {
	members(t, func(c *cluster) {
		c.stub.Cut("a", true)
		c.run(15 * time.Second)
		assert.Assert(c.t, !c.nodes[0].open())
		assert.Assert(c.t, c.nodes[1].open() && c.nodes[2].open())
		c.run(10 * time.Second)
		assert.Equal(c.t, c.acting(), sampleWorkers)
		c.stub.Cut("a", false)
		c.settle()
	})
}

// Guards against an outage of the log that stops the instances, and against
// suspicions for the silence of the log itself.
func TestOutageForAll(t *testing.T) {
	members(t, func(c *cluster) {
		epoch := c.nodes[0].Members().Load().Epoch
		c.step = c.allOpen
		c.stub.Set(func(control *platformstub.Control) { control.Outage = true })
		c.run(10 * time.Minute)
		assert.Equal(c.t, c.acting(), sampleWorkers)
		c.stub.Cut("c", true)
		c.stub.Set(func(control *platformstub.Control) { control.Outage = false })
		c.run(3 * time.Second) // One instance reaches the log again after the others.
		c.stub.Cut("c", false)
		c.settle()
		assert.Equal(c.t, c.nodes[0].Members().Load().Epoch, epoch)
	})
}

// Guards against a new instance that acts before it is a member, or that stops
// the others.
func TestJoinInOutage(t *testing.T) {
	members(t, func(c *cluster) {
		c.stub.Set(func(control *platformstub.Control) { control.Outage = true })
		c.run(time.Second)
		joiner := c.start("d")
		c.run(time.Minute)
		assert.Assert(c.t, !joiner.open())
		assert.Equal(c.t, c.acting(), sampleWorkers)
		c.stub.Set(func(control *platformstub.Control) { control.Outage = false })
		c.settle()
	})
}

// Guards against two removals, or none, when two members suspect a third.
func TestTwoSuspectsAtOnce(t *testing.T) {
	members(t, func(c *cluster) {
		c.crash(c.nodes[2])
		c.settle()
		state := c.nodes[0].Members().Load()
		assert.Equal(c.t, len(state.Members), 2)
		assert.Equal(c.t, len(state.Departed), 1)
	})
}

// Guards against a leave that ends in a rejoin or a second departure when the
// others suspect the leaving member at the same time.
func TestLeaveRacesSuspect(t *testing.T) {
	members(t, func(c *cluster) {
		leaving := c.nodes[2]
		self := leaving.Self()
		c.stub.Cut("c", true)
		c.run(time.Duration(4000+c.random.IntN(1500)) * time.Millisecond)
		c.stub.Cut("c", false)
		ctx, cancel := context.WithTimeout(c.t.Context(), 30*time.Second)
		defer cancel()
		assert.NilError(c.t, leaving.Leave(ctx))
		c.crash(leaving)
		c.settle()
		state := c.nodes[0].Members().Load()
		assert.Equal(c.t, len(state.Members), 2)
		_, departed := state.Departure(self)
		assert.Assert(c.t, departed)
	})
}

// Guards against a new incarnation at an old address that inherits the lease,
// the ownership or the promises of its predecessor, and against a successor
// that acts while the predecessor, cut off from the log, still has its lease.
func TestAddressReusedByNewIncarnation(t *testing.T) {
	members(t, func(c *cluster) {
		old := c.nodes[1]
		c.stub.Cut("b", true)
		c.startAs("b", "b-new")
		c.run(2 * time.Second)
		_, found := c.nodes[1].Members().Load().Find(old.Self())
		assert.Assert(c.t, !found)
		c.run(10 * time.Second)
		assert.Assert(c.t, !old.open())
		c.crash(old)
		c.settle()
	})
}

// Guards against a lease counted from the reading of a heartbeat, which would
// outlast what the others wait for.
func TestLeaseCountsFromSending(t *testing.T) {
	members(t, func(c *cluster) {
		const delay = 500 * time.Millisecond
		c.stub.Set(func(control *platformstub.Control) { control.Delay = delay })
		c.run(5 * time.Second)
		c.step = func() {
			for _, n := range c.nodes {
				left := n.fence.Remaining(time.Now())
				assert.Assert(c.t, left <= membership.Lease-delay, "%s has %s left", n.Self(), left)
			}
		}
		c.run(30 * time.Second)
	})
}

// Guards against an incarnation whose lease ended in an outage and that opens
// again by promises, without a join that the others can read.
func TestPauseInOutage(t *testing.T) {
	members(t, func(c *cluster) {
		c.stub.Set(func(control *platformstub.Control) { control.Outage = true })
		c.run(10 * time.Second)
		c.nodes[0].gate.pause(6 * time.Second)
		c.run(20 * time.Second)
		assert.Assert(c.t, !c.nodes[0].open())
		c.stub.Set(func(control *platformstub.Control) { control.Outage = false })
		c.settle()
	})
}

// Guards against a new member that takes over while all members it never met
// are cut off and still renew by promises among themselves.
func TestJoinWhileAllOthersAreCut(t *testing.T) {
	members(t, func(c *cluster) {
		old := append([]*node{}, c.nodes...)
		for _, n := range old {
			c.stub.Cut(string(n.config.Name), true)
		}
		joiner := c.start("d")
		c.run(time.Minute)
		assert.Equal(c.t, c.acting(), sampleWorkers)
		assert.Equal(c.t, len(joiner.acting()), 0)
		for _, n := range old {
			joiner.ConfirmEnded(n.Self())
			c.crash(n)
		}
		c.settle()
	})
}

// Guards against a member that joins past the retention of the log and then
// lacks the members whose join records are gone.
func TestJoinPastRetention(t *testing.T) {
	short := func(config *MemberConfig) { config.Retention = 12 * time.Second }
	configuredMembers(t, short, func(c *cluster) {
		// Three members append more than 36 records in the retention.
		c.stub.Set(func(control *platformstub.Control) { control.Retain = 36 })
		c.run(2 * time.Minute)
		joiner := c.start("d")
		c.run(2 * time.Second)
		assert.Equal(c.t, len(joiner.Members().Load().Members), 4)
		c.settle()
	})
}

// Guards against a region that is cut off from the log and the other region and
// serves with region_cut = refuse, or stops with region_cut = serve.
func TestRegionCut(t *testing.T) {
	for _, setting := range []RegionCut{RegionCutRefuse, RegionCutServe} {
		configure := func(config *MemberConfig) {
			config.RegionCut = setting
			if config.Name == "c" {
				config.Region = "other"
				config.Zone = "far"
			}
		}
		configuredMembers(t, configure, func(c *cluster) {
			for _, name := range []string{"a", "b"} {
				c.stub.Cut(name, true)
			}
			c.linkCut.Store(true)
			c.run(time.Minute)
			for _, n := range c.nodes {
				serves := setting == RegionCutServe || n.config.Region == "other"
				assert.Equal(c.t, n.open(), serves, "%s with %s", n.Self(), setting)
			}
			c.linkCut.Store(false)
			c.stub.Set(func(control *platformstub.Control) { control.Cut = nil })
			c.settle()
		})
	}
}

// Guards against a combination of faults that lets two instances act.
func TestRandomFaults(t *testing.T) {
	for i := range uint64(10) {
		members(t, func(c *cluster) {
			c.random = rand.New(rand.NewPCG(*memberSeed, i+1))
			for range 25 {
				c.randomFault()
				c.run(time.Duration(c.random.IntN(6000)) * time.Millisecond)
			}
			c.stub.Set(func(control *platformstub.Control) { *control = platformstub.Control{} })
			c.run(30 * time.Second)
		})
	}
}

func (c *cluster) randomFault() {
	victim := c.nodes[c.random.IntN(len(c.nodes))]
	name := string(victim.config.Name)
	switch c.random.IntN(7) {
	case 0:
		victim.gate.pause(time.Duration(c.random.IntN(9000)) * time.Millisecond)
	case 1:
		c.stub.Cut(name, c.random.IntN(2) == 0)
	case 2:
		down := c.random.IntN(2) == 0
		c.stub.Set(func(control *platformstub.Control) { control.Outage = down })
	case 3:
		c.stub.Set(func(control *platformstub.Control) { control.LoseReplies += 2 })
	case 4:
		c.crash(victim)
		c.start(name)
	case 5:
		delay := time.Duration(c.random.IntN(1500)) * time.Millisecond
		c.stub.Set(func(control *platformstub.Control) { control.Delay = delay })
	case 6:
		if len(c.nodes) < 5 {
			c.start(fmt.Sprintf("n%d", c.random.IntN(1000)))
		}
	}
}
