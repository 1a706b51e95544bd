package home

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/logstream"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/token"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/start"
	"poplarvalve/internal/version/ownership"
	"poplarvalve/internal/version/rules"
	"poplarvalve/test/platformstub"
	"poplarvalve/test/virtualtime"
)

var (
	firstSeed = flag.Uint64("home.seed", 1, "first seed of the tests with faults")
	seedCount = flag.Int("home.seeds", 8, "number of seeds of the tests with faults")
)

const chaosRules = `team t weight 1 quota 8cpu # desk: test
team u weight 2 reserve 2cpu quota 4cpu # desk: test
service rebuild team t class batch cpu 2 memory 1GB # desk: test
service count team u class batch cpu 1 memory 1GB # desk: test
`

// pauseGate simulates a paused process by blocking its calls.
type pauseGate struct {
	mu     sync.Mutex
	resume chan struct{}
}

func (g *pauseGate) pause(d time.Duration) {
	resume := make(chan struct{})
	g.mu.Lock()
	g.resume = resume
	g.mu.Unlock()
	time.AfterFunc(d, func() { close(resume) })
}

func (g *pauseGate) waitUntilOpen() {
	g.mu.Lock()
	resume := g.resume
	g.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

// node is one incarnation. Its calls to the log, the workers and other nodes
// block while the gate is closed.
type node struct {
	*Home
	gate         pauseGate
	log          logstream.Log
	cluster      *chaosCluster
	ownership    *publish.Value[ownership.Table]
	leaseExpired atomic.Bool
	staleView    atomic.Bool
	stop         func()
}

func (n *node) Append(ctx context.Context, s ident.StreamName, entries [][]byte) (ident.Offset, error) {
	n.gate.waitUntilOpen()
	first, err := n.log.Append(ctx, s, entries)
	n.gate.waitUntilOpen()
	return first, err
}

func (n *node) Read(ctx context.Context, s ident.StreamName, from ident.Offset, limit int, wait time.Duration) (logstream.Batch, error) {
	n.gate.waitUntilOpen()
	batch, err := n.log.Read(ctx, s, from, limit, wait)
	n.gate.waitUntilOpen()
	return batch, err
}

// gatedRunner blocks commands to workers while the process is paused. A paused
// command takes effect later, after the process has made its own checks.
type gatedRunner struct {
	gate *pauseGate
	*fakePool
}

func (r gatedRunner) Start(ctx context.Context, task start.Task) (*start.Handle, error) {
	r.gate.waitUntilOpen()
	return r.fakePool.Start(context.WithoutCancel(ctx), task)
}

func (r gatedRunner) Stop(ctx context.Context, at ident.WorkerID, task ident.TaskID) (worker.TaskReport, error) {
	r.gate.waitUntilOpen()
	return r.fakePool.Stop(ctx, at, task)
}

func (r gatedRunner) Status(ctx context.Context, at ident.WorkerID, task ident.TaskID) (start.TaskStatus, worker.TaskReport, error) {
	r.gate.waitUntilOpen()
	return r.fakePool.Status(ctx, at, task)
}

// OnTaskEnd reports every task as tracked but never calls back, so that the
// home has to learn of the end of a task by polling.
func (gatedRunner) OnTaskEnd(ident.WorkerID, ident.TaskID, func(worker.TaskReport)) bool { return true }

// unreliablePeers loses and delays messages between nodes.
type unreliablePeers struct{ *node }

func (p unreliablePeers) CallJobOperation(ctx context.Context, to ident.Incarnation, job codec.Job) (codec.JobDone, error) {
	p.gate.waitUntilOpen()
	if p.cluster.chance(p.cluster.messageLossRate()) {
		return codec.JobDone{}, fault.New(fault.PeerUnreachable, "%s", to)
	}
	receiver := p.cluster.findNode(to)
	if receiver == nil {
		return codec.JobDone{}, fault.New(fault.PeerUnreachable, "%s", to)
	}
	time.Sleep(p.cluster.randomDuration(50 * time.Millisecond))
	receiver.gate.waitUntilOpen()
	done, err := receiver.HandleJob(ctx, p.config.Self, job)
	if p.cluster.chance(p.cluster.messageLossRate()) {
		return codec.JobDone{}, fault.New(fault.PeerLost, "%s", to)
	}
	return done, err
}

func (p unreliablePeers) RequestWorker(context.Context, ident.Incarnation, codec.WorkerRequest) (codec.WorkerReply, error) {
	return codec.WorkerReply{}, nil
}

// chaosCluster is a system of three instances with failures of processes, log,
// messages and workers.
type chaosCluster struct {
	t        *testing.T
	platform *platformstub.Platform
	workers  *fakePool

	mu            sync.Mutex
	random        *rand.Rand
	losesMessages bool
	nodes         []*node
	nonce         uint64
	epoch         ident.Epoch
	grantState    map[string]string
}

func (c *chaosCluster) chance(probability float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < probability
}

func (c *chaosCluster) randomDuration(limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Int64N(int64(limit)))
}

func (c *chaosCluster) messageLossRate() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.losesMessages {
		return 0.15
	}
	return 0
}

func (c *chaosCluster) findNode(id ident.Incarnation) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n.config.Self == id {
			return n
		}
	}
	return nil
}

func (c *chaosCluster) randomNode() *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[c.random.IntN(len(c.nodes))]
}

// startNode adds a new incarnation of an instance and publishes the new
// membership to all nodes except those with a stale view.
func (c *chaosCluster) startNode(name string) {
	set, problems := rules.Parse("test", chaosRules)
	assert.Equal(c.t, len(problems), 0, "%v", problems)
	c.mu.Lock()
	c.nonce++
	self := incarnation(name, c.nonce)
	c.mu.Unlock()
	n := &node{log: c.platform.Client(name), cluster: c, ownership: publish.New[ownership.Table](nil)}
	n.Home = New(Config{
		Self: self, Clock: clock.System{}, Log: n, AppendRateLimit: logstream.NewAppendRateLimit(100),
		LeaseValid: func(time.Time) bool { return !n.leaseExpired.Load() },
		Shards:     3, Retention: 2 * time.Minute,
		Rules: publish.New(set), Workers: publish.New(newTestView(6)), Ownership: n.ownership,
		TaskRunner: gatedRunner{&n.gate, c.workers}, Peers: unreliablePeers{n},
		Jitter: func() float64 { return 0.5 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.Run(ctx) }()
	n.stop = func() { cancel(); <-done }
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.epoch++
	c.mu.Unlock()
	c.publishMembers()
}

// publishMembers publishes the current membership to all nodes except those
// with a stale view.
func (c *chaosCluster) publishMembers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []ident.Incarnation
	for _, n := range c.nodes {
		members = append(members, n.config.Self)
	}
	table := ownershipTable(c.epoch, members...)
	for _, n := range c.nodes {
		if !n.staleView.Load() {
			n.ownership.Publish(table)
		}
	}
}

// replaceNode starts the successor of a node and stops the node after a delay,
// during which the node still considers itself a member.
func (c *chaosCluster) replaceNode(n *node, delay time.Duration) {
	c.mu.Lock()
	at := slices.Index(c.nodes, n)
	if at < 0 {
		c.mu.Unlock()
		return
	}
	c.nodes = slices.Delete(slices.Clone(c.nodes), at, at+1)
	c.mu.Unlock()
	n.staleView.Store(true)
	time.AfterFunc(delay, func() { n.leaseExpired.Store(true); n.stop() })
	c.startNode(string(n.config.Self.Instance))
}

// makeViewStale keeps new memberships from a node for some time.
func (c *chaosCluster) makeViewStale(n *node, duration time.Duration) {
	n.staleView.Store(true)
	time.AfterFunc(duration, func() { n.staleView.Store(false); c.publishMembers() })
}

// injectFault injects one random fault.
func (c *chaosCluster) injectFault(jobIDs []ident.JobID) {
	n := c.randomNode()
	duration := time.Second + c.randomDuration(20*time.Second)
	c.mu.Lock()
	kind := c.random.IntN(9)
	victim := jobIDs[c.random.IntN(len(jobIDs))]
	c.mu.Unlock()
	switch kind {
	case 0:
		c.replaceNode(n, 0)
	case 1:
		c.replaceNode(n, duration)
	case 2:
		c.makeViewStale(n, duration)
	case 3:
		n.gate.pause(duration)
	case 4:
		n.gate.pause(duration)
		c.replaceNode(n, duration+time.Second)
	case 5:
		c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = true })
		time.AfterFunc(duration/2, func() { c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = false }) })
	case 6:
		c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.LoseReplies += 3 })
	case 7:
		c.workers.evict(victim)
	case 8:
		c.workers.restart(victim)
	}
}

// submitUntilAccepted submits a job until it is accepted or ctx ends.
func (c *chaosCluster) submitUntilAccepted(ctx context.Context, job work.Job) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		_, err := c.randomNode().Submit(callCtx, job)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(500*time.Millisecond + c.randomDuration(time.Second))
	}
}

func (c *chaosCluster) cancelJob(ctx context.Context, id ident.JobID) {
	callCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	if status, err := c.randomNode().Cancel(callCtx, id); err == nil && status.State == work.JobCanceled {
		c.workers.noteCanceled(id)
	}
}

// useKey sends requests with the same key until one of them has run.
func (c *chaosCluster) useKey(ctx context.Context, key string) {
	for ctx.Err() == nil {
		n := c.randomNode()
		callCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		result, err := n.GrantKey(callCtx, "c", key, token.Digest{})
		cancel()
		switch {
		case err != nil:
			c.checkRefusal(n, key, err)
		case result.Granted:
			c.runRequest(n, key)
		case result.Answer.Outcome == fault.Ran:
			c.checkAnswer(key, result.Answer)
			return
		}
		time.Sleep(200*time.Millisecond + c.randomDuration(2*time.Second))
	}
}

// runRequest simulates the request of a granted key.
func (c *chaosCluster) runRequest(n *node, key string) {
	c.mu.Lock()
	if c.grantState[key] != "" {
		c.workers.addViolation("key %s was granted again after %s", key, c.grantState[key])
	}
	c.grantState[key] = "running"
	c.mu.Unlock()
	time.Sleep(c.randomDuration(3 * time.Second))
	answer := work.Answer{Outcome: fault.Ran, Body: []byte(n.config.Self.String())}
	if c.chance(0.3) {
		answer = work.Answer{Outcome: fault.NotRun}
	}
	c.mu.Lock()
	c.grantState[key] = string(answer.Body)
	c.mu.Unlock()
	n.FinishKey("c", key, answer)
}

func (c *chaosCluster) checkAnswer(key string, answer work.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !bytes.Equal(answer.Body, []byte(c.grantState[key])) {
		c.workers.addViolation("key %s was answered with %s instead of %s", key, answer.Body, c.grantState[key])
	}
}

// checkRefusal records a violation if a request was refused as not run although
// its key was granted. A node with a stale view is exempt, since it may not
// know of a request that another home ran.
func (c *chaosCluster) checkRefusal(n *node, key string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wrong := fault.From(err).Outcome == fault.NotRun && c.grantState[key] != ""
	if wrong && !n.staleView.Load() && !n.leaseExpired.Load() {
		c.workers.addViolation("key %s was refused as not run after it was granted: %v", key, err)
	}
}

func (p *fakePool) addViolation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// Runs jobs and keys while homes stop, pause, overlap and have stale views, and
// while the log and messages fail. Each run checks that no job is lost or runs
// twice at the same time, that work resumes from its checkpoint, that no quota
// is exceeded, that no key is granted twice, and that canceled jobs stay
// canceled.
func TestGuaranteesHoldWhileHomesFail(t *testing.T) {
	for i := range *seedCount {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) { runChaosTest(t, seed) })
		})
	}
}

const (
	chaosJobs   = 24
	chaosKeys   = 6
	chaosFaults = 60
)

func runChaosTest(t *testing.T, seed uint64) {
	c := &chaosCluster{
		t: t, platform: platformstub.New(nil), workers: newFakePool(seed), losesMessages: true,
		random: rand.New(rand.NewPCG(seed, 2)), grantState: map[string]string{},
	}
	c.workers.lossRate, c.workers.failureRate = 0.1, 0.05
	c.workers.quota = map[string]int64{"t": 8000, "u": 4000}
	c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.RetainEntries = 600 })
	for _, name := range []string{"a", "b", "c"} {
		c.startNode(name)
	}
	defer c.stopNodes()
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	jobIDs := c.startClients(ctx, &clients)
	for range chaosFaults {
		c.injectFault(jobIDs)
		time.Sleep(time.Second + c.randomDuration(8*time.Second))
		if c.chance(0.05) {
			clients.Go(func() { c.cancelJob(ctx, jobIDs[c.randomDuration(time.Duration(len(jobIDs)))]) })
		}
	}
	c.endFaults()
	defer func() {
		if t.Failed() {
			c.logState(jobIDs)
		}
	}()
	waitUntil(t, "some jobs did not end after the faults", func() bool { return c.allJobsFinal(jobIDs) })
	cancel()
	clients.Wait()
	c.checkJobs(jobIDs)
}

func (c *chaosCluster) stopNodes() {
	for _, n := range c.nodes {
		n.stop()
	}
}

// startClients starts the goroutines that submit the jobs and use the keys. It
// returns the identifiers of the jobs.
func (c *chaosCluster) startClients(ctx context.Context, clients *sync.WaitGroup) []ident.JobID {
	var ids []ident.JobID
	for i := range byte(chaosJobs) {
		job := newJob(time.Now(), i)
		if i%3 == 0 {
			job.ID, job.Service = ident.JobID(strings.Replace(string(job.ID), "t.", "u.", 1)), "count"
		}
		ids = append(ids, job.ID)
		clients.Go(func() {
			time.Sleep(c.randomDuration(2 * time.Minute))
			c.submitUntilAccepted(ctx, job)
		})
	}
	for i := range byte(chaosKeys) {
		key := newUUIDv7(time.Now(), 100+i)
		clients.Go(func() { c.useKey(ctx, key) })
	}
	return ids
}

// endFaults waits for the last injected fault to end, switches off message loss
// and failures, and publishes the current membership to the nodes.
func (c *chaosCluster) endFaults() {
	time.Sleep(30 * time.Second)
	c.mu.Lock()
	c.losesMessages = false
	c.mu.Unlock()
	c.workers.mu.Lock()
	c.workers.lossRate, c.workers.failureRate = 0, 0
	c.workers.mu.Unlock()
	c.platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = false; faults.LoseReplies = 0 })
	c.publishMembers()
}

func (c *chaosCluster) allJobsFinal(jobIDs []ident.JobID) bool {
	for _, id := range jobIDs {
		status, err := c.randomNode().JobStatus(context.Background(), id)
		if err != nil || !status.State.IsFinal() {
			return false
		}
	}
	return true
}

// checkJobs compares the status of each job with what ran on the workers.
func (c *chaosCluster) checkJobs(jobIDs []ident.JobID) {
	for _, id := range jobIDs {
		status, err := c.randomNode().JobStatus(context.Background(), id)
		assert.NilError(c.t, err)
		finished := c.workers.timesFinished(id)
		assert.Equal(c.t, status.State == work.JobSucceeded, finished == 1, "job %s is in state %s and finished %d times", id, status.State, finished)
		assert.Assert(c.t, !c.workers.isRunning(id), "job %s has ended but still runs", id)
	}
	assert.Equal(c.t, len(c.workers.violations), 0, "%s", strings.Join(c.workers.violations, "\n"))
}

// logState logs the state of the nodes and of all jobs that have not ended.
func (c *chaosCluster) logState(jobIDs []ident.JobID) {
	for _, n := range c.nodes {
		state, _ := json.Marshal(n.State())
		c.t.Logf("node %s, stale view %v: %s", n.config.Self, n.staleView.Load(), state)
	}
	for _, id := range jobIDs {
		status, err := c.randomNode().JobStatus(context.Background(), id)
		if err != nil || !status.State.IsFinal() {
			c.t.Logf("%s: %+v %v, at the worker: %+v", id, status, err, c.workers.runningTask(id))
		}
	}
}
