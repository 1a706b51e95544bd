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
	sampleInterval    = 50 * time.Millisecond
	sampleWorkerCount = 24
	sampleRegion      = "r"
)

// pauseGate blocks everything that a paused process does.
type pauseGate struct {
	mu     sync.Mutex
	resume chan struct{}
	paused atomic.Bool
}

func (g *pauseGate) pause(d time.Duration) {
	g.mu.Lock()
	g.resume = make(chan struct{})
	g.paused.Store(true)
	resume := g.resume
	g.mu.Unlock()
	time.AfterFunc(d, func() { g.paused.Store(false); close(resume) })
}

func (g *pauseGate) waitIfPaused(ctx context.Context) {
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

// pausableLog and pausableClock block at the gate, as the log calls and the
// ticker of a paused process would.
type pausableLog struct {
	logstream.Log
	pauses *pauseGate
}

func (l pausableLog) Append(ctx context.Context, s ident.StreamName, entries [][]byte) (ident.Offset, error) {
	l.pauses.waitIfPaused(ctx)
	first, err := l.Log.Append(ctx, s, entries)
	l.pauses.waitIfPaused(ctx)
	return first, err
}

func (l pausableLog) Read(ctx context.Context, s ident.StreamName, from ident.Offset, limit int, wait time.Duration) (logstream.Batch, error) {
	l.pauses.waitIfPaused(ctx)
	batch, err := l.Log.Read(ctx, s, from, limit, wait)
	l.pauses.waitIfPaused(context.Background())
	return batch, err
}

type pausableClock struct {
	clock.System
	ctx    context.Context
	pauses *pauseGate
}

func (c pausableClock) NewTicker(d time.Duration) *time.Ticker {
	ticks := make(chan time.Time)
	go func() {
		for c.ctx.Err() == nil {
			select {
			case <-time.After(d):
			case <-c.ctx.Done():
			}
			c.pauses.waitIfPaused(c.ctx)
			select {
			case ticks <- time.Now():
			case <-c.ctx.Done():
			}
		}
	}()
	return &time.Ticker{C: ticks}
}

// testNode is one instance, with the workers on which it may act as owner now.
type testNode struct {
	*MemberAgent
	pauses          pauseGate
	fence           *fence.Fence
	cancel          context.CancelFunc
	done            chan struct{}
	lastIncarnation ident.Incarnation
	ownedWorkers    map[ident.WorkerID]bool
}

func (n *testNode) stopAndWait() { n.cancel(); <-n.done }

func (n *testNode) mayAct() bool { return !n.pauses.paused.Load() && n.fence.Open(time.Now()) }

// testCluster runs nodes of one zone and checks at each sample that no worker
// has two acting owners.
type testCluster struct {
	t        *testing.T
	platform *platformstub.Platform
	random   *rand.Rand
	mu       sync.Mutex
	nodes    []*testNode
	// onSample is called at each sample.
	onSample func()
	// configure changes the settings of a node before it starts.
	configure func(options *MemberAgentOptions)
	// linkCut cuts the connections between regions.
	linkCut atomic.Bool
}

var errUnreachable = errors.New("peer unreachable")

// clusterPeers delivers the lease grant requests of one node.
type clusterPeers struct {
	cluster *testCluster
	from    *testNode
}

func (p clusterPeers) RequestLeaseGrant(ctx context.Context, to membership.Member, epoch ident.Epoch) (LeaseGrant, error) {
	self := p.from.Self()
	p.cluster.mu.Lock()
	nodes := p.cluster.nodes
	p.cluster.mu.Unlock()
	for _, n := range nodes {
		if n.options.PeerAddress != to.PeerAddress {
			continue
		}
		if n.options.Region != p.from.options.Region && p.cluster.linkCut.Load() {
			return LeaseGrant{}, errUnreachable
		}
		n.pauses.waitIfPaused(ctx)
		if ctx.Err() != nil {
			return LeaseGrant{}, ctx.Err()
		}
		grant, err := n.GrantLease(self, to.ID, epoch)
		p.from.pauses.waitIfPaused(ctx)
		return grant, err
	}
	return LeaseGrant{}, errUnreachable
}

func (c *testCluster) startNode(name string) *testNode { return c.startNodeAs(name, name) }

// startNodeAs starts an instance that the log knows by the name client.
func (c *testCluster) startNodeAs(name, client string) *testNode {
	ctx, cancel := context.WithCancel(c.t.Context())
	n := &testNode{fence: fence.New(time.Now()), cancel: cancel, done: make(chan struct{}), ownedWorkers: map[ident.WorkerID]bool{}}
	nonces := rand.New(rand.NewPCG(c.random.Uint64(), 0))
	random := rand.New(rand.NewPCG(c.random.Uint64(), 1))
	var mu sync.Mutex
	options := MemberAgentOptions{
		Name: ident.InstanceName(name), PeerAddress: name, Zone: "z", Region: sampleRegion, Retention: time.Hour,
		Clock: pausableClock{ctx: ctx, pauses: &n.pauses}, Log: pausableLog{c.platform.Client(client), &n.pauses},
		AppendRateLimit: logstream.NewAppendRateLimit(25), StartFence: n.fence, ContinuationFence: fence.New(time.Now()), LeaseGrants: clusterPeers{c, n}, Nonce: nonces.Uint64,
		Jitter: func() float64 { mu.Lock(); defer mu.Unlock(); return random.Float64() },
	}
	if c.configure != nil {
		c.configure(&options)
	}
	n.MemberAgent = NewMemberAgent(options)
	c.mu.Lock()
	c.nodes = append([]*testNode{n}, c.nodes...) // The newest node comes first, so it answers at its address.
	c.mu.Unlock()
	go func() { defer close(n.done); n.Run(ctx) }()
	return n
}

// crashNode ends a process without a leave record.
func (c *testCluster) crashNode(n *testNode) {
	n.stopAndWait()
	c.mu.Lock()
	defer c.mu.Unlock()
	var remaining []*testNode
	for _, other := range c.nodes {
		if other != n {
			remaining = append(remaining, other)
		}
	}
	c.nodes = remaining
}

// runAndCheck lets time pass and checks at each sample that no worker has two
// acting owners.
func (c *testCluster) runAndCheck(d time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(sampleInterval)
		synctest.Wait()
		c.checkSingleOwners()
		if c.onSample != nil {
			c.onSample()
		}
	}
}

// checkSingleOwners returns how many workers have an acting owner and fails the
// test if one has two.
func (c *testCluster) checkSingleOwners() int {
	c.t.Helper()
	owners := map[ident.WorkerID]ident.Incarnation{}
	for _, n := range c.nodes {
		_, isMember := n.Members().Load().Find(n.Self())
		assert.Assert(c.t, isMember || !n.mayAct(), "%s may act although it has read its removal", n.Self())
		for _, w := range n.actingWorkers() {
			other, hasOwner := owners[w]
			assert.Assert(c.t, !hasOwner, "%s and %s act as owner of %s", other, n.lastIncarnation, w)
			owners[w] = n.lastIncarnation
		}
	}
	return len(owners)
}

// actingWorkers returns the workers on which the node may start work now.
func (n *testNode) actingWorkers() []ident.WorkerID {
	if n.pauses.paused.Load() {
		return nil
	}
	if self := n.Self(); self != n.lastIncarnation {
		n.lastIncarnation = self
		n.ownedWorkers = map[ident.WorkerID]bool{}
	}
	if !n.mayAct() {
		return nil
	}
	table := ownership.New(n.Members().Load())
	ready := n.Readiness().Ready
	var acting []ident.WorkerID
	for i := range sampleWorkerCount {
		w := ident.WorkerID(fmt.Sprintf("w%d", i))
		owner, found := table.Owner(w, "z", sampleRegion)
		n.ownedWorkers[w] = found && owner.ID == n.lastIncarnation && (n.ownedWorkers[w] || ready)
		if n.ownedWorkers[w] {
			acting = append(acting, w)
		}
	}
	return acting
}

// assertAllMayAct asserts that every node may act.
func (c *testCluster) assertAllMayAct() {
	c.t.Helper()
	for _, n := range c.nodes {
		assert.Assert(c.t, n.mayAct(), "%s may not act although it should", n.Self())
	}
}

// assertRecovers asserts that within 25 s all nodes may act and every worker
// has an owner.
func (c *testCluster) assertRecovers() {
	c.t.Helper()
	c.runAndCheck(25 * time.Second)
	c.assertAllMayAct()
	assert.Equal(c.t, c.checkSingleOwners(), sampleWorkerCount)
}

// runThreeMembers runs a test with three members that own all workers.
func runThreeMembers(t *testing.T, test func(c *testCluster)) {
	t.Helper()
	runConfiguredMembers(t, nil, test)
}

func runConfiguredMembers(t *testing.T, configure func(options *MemberAgentOptions), test func(c *testCluster)) {
	t.Helper()
	t.Logf("seed %d", *memberSeed)
	virtualtime.Test(t, func(t *testing.T) {
		c := &testCluster{t: t, platform: platformstub.New(nil), random: rand.New(rand.NewPCG(*memberSeed, 0)), configure: configure}
		defer func() {
			for _, n := range c.nodes {
				n.stopAndWait()
			}
		}()
		for _, name := range []string{"c", "b", "a"} {
			c.startNode(name)
		}
		c.assertRecovers()
		test(c)
	})
}

// A process that is paused for longer than its lease must not act as owner when
// it resumes, and its successor must not act while the lease lasts.
func TestPausedOwnerStopsWhenItsLeaseEnds(t *testing.T) {
	runThreeMembers(t, func(c *testCluster) {
		before := c.nodes[0].Self()
		for _, d := range []time.Duration{3 * time.Second, 6 * time.Second, 20 * time.Second} {
			c.nodes[0].pauses.pause(d)
			c.runAndCheck(d)
			c.assertRecovers()
		}
		assert.Assert(c.t, c.nodes[0].Self() != before)
	})
}

// When the log loses the reply to an append, the heartbeat is appended again.
// It must neither count twice nor not at all, so all leases stay open.
func TestLeasesStayOpenWhenAppendRepliesAreLost(t *testing.T) {
	runThreeMembers(t, func(c *testCluster) {
		c.onSample = c.assertAllMayAct
		for range 20 {
			c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.LoseReplies = 2 })
			c.runAndCheck(1500 * time.Millisecond)
		}
		c.assertRecovers()
	})
}

// An instance that alone is cut off from the log must stop acting, because the
// other members remove it and take over its workers.
func TestMemberCutOffFromLogIsReplaced(t *testing.T) {
	runThreeMembers(t, func(c *testCluster) {
		c.platform.SetDisconnected("a", true)
		c.runAndCheck(15 * time.Second)
		assert.Assert(c.t, !c.nodes[0].mayAct())
		assert.Assert(c.t, c.nodes[1].mayAct() && c.nodes[2].mayAct())
		c.runAndCheck(10 * time.Second)
		assert.Equal(c.t, c.checkSingleOwners(), sampleWorkerCount)
		c.platform.SetDisconnected("a", false)
		c.assertRecovers()
	})
}

// An outage of the log must not stop the members, and must not make them
// suspect each other for heartbeats that nobody could read.
func TestMembersKeepActingDuringLogOutage(t *testing.T) {
	runThreeMembers(t, func(c *testCluster) {
		epoch := c.nodes[0].Members().Load().Epoch
		c.onSample = c.assertAllMayAct
		c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = true })
		c.runAndCheck(10 * time.Minute)
		assert.Equal(c.t, c.checkSingleOwners(), sampleWorkerCount)
		c.platform.SetDisconnected("c", true)
		c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = false })
		c.runAndCheck(3 * time.Second) // The instance c reaches the log again later than the others.
		c.platform.SetDisconnected("c", false)
		c.assertRecovers()
		assert.Equal(c.t, c.nodes[0].Members().Load().Epoch, epoch)
	})
}

// An instance that is started during an outage of the log must not act before
// it is a member, and must not stop the others.
func TestInstanceStartedInOutageWaitsForMembership(t *testing.T) {
	runThreeMembers(t, func(c *testCluster) {
		c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = true })
		c.runAndCheck(time.Second)
		joiner := c.startNode("d")
		c.runAndCheck(time.Minute)
		assert.Assert(c.t, !joiner.mayAct())
		assert.Equal(c.t, c.checkSingleOwners(), sampleWorkerCount)
		c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = false })
		c.assertRecovers()
	})
}

// When two members suspect a third at the same time, the third must be removed
// exactly once.
func TestConcurrentSuspicionsRemoveMemberOnce(t *testing.T) {
	runThreeMembers(t, func(c *testCluster) {
		c.crashNode(c.nodes[2])
		c.assertRecovers()
		state := c.nodes[0].Members().Load()
		assert.Equal(c.t, len(state.Members), 2)
		assert.Equal(c.t, len(state.Departed), 1)
	})
}

// A member that leaves while the others suspect it must be removed once, and
// must not rejoin.
func TestLeaveDuringSuspicionIsFinal(t *testing.T) {
	runThreeMembers(t, func(c *testCluster) {
		leaving := c.nodes[2]
		self := leaving.Self()
		c.platform.SetDisconnected("c", true)
		c.runAndCheck(time.Duration(4000+c.random.IntN(1500)) * time.Millisecond)
		c.platform.SetDisconnected("c", false)
		ctx, cancel := context.WithTimeout(c.t.Context(), 30*time.Second)
		defer cancel()
		assert.NilError(c.t, leaving.Leave(ctx))
		c.crashNode(leaving)
		c.assertRecovers()
		state := c.nodes[0].Members().Load()
		assert.Equal(c.t, len(state.Members), 2)
		_, departed := state.Departure(self)
		assert.Assert(c.t, departed)
	})
}

// A new incarnation at an old address must not inherit the lease, the ownership
// or the lease grants of its predecessor. It must also not act while the
// predecessor, which is cut off from the log, still has its lease.
func TestNewIncarnationInheritsNoLease(t *testing.T) {
	runThreeMembers(t, func(c *testCluster) {
		predecessor := c.nodes[1]
		c.platform.SetDisconnected("b", true)
		c.startNodeAs("b", "b-new")
		c.runAndCheck(2 * time.Second)
		_, found := c.nodes[1].Members().Load().Find(predecessor.Self())
		assert.Assert(c.t, !found)
		c.runAndCheck(10 * time.Second)
		assert.Assert(c.t, !predecessor.mayAct())
		c.crashNode(predecessor)
		c.assertRecovers()
	})
}

// The lease must be counted from the sending of a heartbeat. Counted from its
// reading, the lease would outlast the time that the other members wait.
func TestLeaseIsCountedFromSendingOfHeartbeat(t *testing.T) {
	runThreeMembers(t, func(c *testCluster) {
		const delay = 500 * time.Millisecond
		c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Delay = delay })
		c.runAndCheck(5 * time.Second)
		c.onSample = func() {
			for _, n := range c.nodes {
				remaining := n.fence.Remaining(time.Now())
				assert.Assert(c.t, remaining <= membership.Lease-delay, "%s has %s of its lease left, more than the lease minus the append delay", n.Self(), remaining)
			}
		}
		c.runAndCheck(30 * time.Second)
	})
}

// An incarnation whose lease expired during an outage of the log must not act
// again by lease grants, since the other members can't read a new join.
func TestExpiredIncarnationStaysClosedDuringOutage(t *testing.T) {
	runThreeMembers(t, func(c *testCluster) {
		c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = true })
		c.runAndCheck(10 * time.Second)
		c.nodes[0].pauses.pause(6 * time.Second)
		c.runAndCheck(20 * time.Second)
		assert.Assert(c.t, !c.nodes[0].mayAct())
		c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = false })
		c.assertRecovers()
	})
}

// A new member must not take over while all members from before its join are
// cut off from the log, since these may still renew their leases by lease grants
// among themselves.
func TestJoinerWaitsForCutOffMembersToEnd(t *testing.T) {
	runThreeMembers(t, func(c *testCluster) {
		cutOff := append([]*testNode{}, c.nodes...)
		for _, n := range cutOff {
			c.platform.SetDisconnected(string(n.options.Name), true)
		}
		joiner := c.startNode("d")
		c.runAndCheck(time.Minute)
		assert.Equal(c.t, c.checkSingleOwners(), sampleWorkerCount)
		assert.Equal(c.t, len(joiner.actingWorkers()), 0)
		for _, n := range cutOff {
			joiner.ConfirmEnded(n.Self())
			c.crashNode(n)
		}
		c.assertRecovers()
	})
}

// A member that joins when the log has dropped the join records of the others
// must learn of them from a snapshot.
func TestJoinerReadsMembersFromSnapshotAfterRetention(t *testing.T) {
	setRetention := func(options *MemberAgentOptions) { options.Retention = 12 * time.Second }
	runConfiguredMembers(t, setRetention, func(c *testCluster) {
		// Three members append more than 36 records within the retention.
		c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.RetainEntries = 36 })
		c.runAndCheck(2 * time.Minute)
		joiner := c.startNode("d")
		c.runAndCheck(2 * time.Second)
		assert.Equal(c.t, len(joiner.Members().Load().Members), 4)
		c.assertRecovers()
	})
}

// A region that is cut off from the log and from the other region must refuse
// work with region_cut = refuse, and must keep serving with region_cut = serve.
func TestCutOffRegionFollowsRegionCutSetting(t *testing.T) {
	for _, setting := range []RegionCutPolicy{RefuseWhenCut, ServeWhenCut} {
		configure := func(options *MemberAgentOptions) {
			options.RegionCutPolicy = setting
			if options.Name == "c" {
				options.Region = "other"
				options.Zone = "far"
			}
		}
		runConfiguredMembers(t, configure, func(c *testCluster) {
			for _, name := range []string{"a", "b"} {
				c.platform.SetDisconnected(name, true)
			}
			c.linkCut.Store(true)
			c.runAndCheck(time.Minute)
			for _, n := range c.nodes {
				wantOpen := setting == ServeWhenCut || n.options.Region == "other"
				assert.Equal(c.t, n.mayAct(), wantOpen, "%s with %s", n.Self(), setting)
			}
			c.linkCut.Store(false)
			c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.DisconnectedClients = nil })
			c.assertRecovers()
		})
	}
}

// No combination of pauses, disconnections from the log, log outages, lost
// replies, crashes, delays and joins may let two instances act as owner of the
// same worker.
func TestAtMostOneOwnerActsUnderRandomFaults(t *testing.T) {
	for i := range uint64(10) {
		runThreeMembers(t, func(c *testCluster) {
			c.random = rand.New(rand.NewPCG(*memberSeed, i+1))
			for range 25 {
				c.injectRandomFault()
				c.runAndCheck(time.Duration(c.random.IntN(6000)) * time.Millisecond)
			}
			c.platform.ChangeFaults(func(faults *platformstub.Faults) { *faults = platformstub.Faults{} })
			c.runAndCheck(30 * time.Second)
		})
	}
}

func (c *testCluster) injectRandomFault() {
	victim := c.nodes[c.random.IntN(len(c.nodes))]
	name := string(victim.options.Name)
	switch c.random.IntN(7) {
	case 0:
		victim.pauses.pause(time.Duration(c.random.IntN(9000)) * time.Millisecond)
	case 1:
		c.platform.SetDisconnected(name, c.random.IntN(2) == 0)
	case 2:
		outage := c.random.IntN(2) == 0
		c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = outage })
	case 3:
		c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.LoseReplies += 2 })
	case 4:
		c.crashNode(victim)
		c.startNode(name)
	case 5:
		delay := time.Duration(c.random.IntN(1500)) * time.Millisecond
		c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Delay = delay })
	case 6:
		if len(c.nodes) < 5 {
			c.startNode(fmt.Sprintf("n%d", c.random.IntN(1000)))
		}
	}
}
