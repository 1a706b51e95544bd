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
	chaosSeed  = flag.Uint64("home.seed", 1, "first seed of the tests with faults")
	chaosSeeds = flag.Int("home.seeds", 8, "number of seeds of the tests with faults")
)

const chaosRules = `team t weight 1 quota 8cpu # desk: test
team u weight 2 reserve 2cpu quota 4cpu # desk: test
service rebuild team t class batch cpu 2 memory 1GB # desk: test
service count team u class batch cpu 1 memory 1GB # desk: test
`

// gate holds back what a paused process sends.
type gate struct {
	mu     sync.Mutex
	resume chan struct{}
}

func (g *gate) pause(d time.Duration) {
	resume := make(chan struct{})
	g.mu.Lock()
	g.resume = resume
	g.mu.Unlock()
	time.AfterFunc(d, func() { close(resume) })
}

func (g *gate) pass() {
	g.mu.Lock()
	resume := g.resume
	g.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

// node is one incarnation with its links to the outside, which stop at the gate.
type node struct {
	*Home
	gate  gate
	log   logstream.Log
	chaos *chaos
	table *publish.Cell[ownership.Table]
	dead  atomic.Bool
	stale atomic.Bool
	end   func()
}

func (n *node) Append(ctx context.Context, s ident.StreamName, entries [][]byte) (ident.Offset, error) {
	n.gate.pass()
	first, err := n.log.Append(ctx, s, entries)
	n.gate.pass()
	return first, err
}

func (n *node) Read(ctx context.Context, s ident.StreamName, from ident.Offset, limit int, wait time.Duration) (logstream.Batch, error) {
	n.gate.pass()
	batch, err := n.log.Read(ctx, s, from, limit, wait)
	n.gate.pass()
	return batch, err
}

// startsGate delays the commands of a paused process after its own checks.
type startsGate struct {
	gate *gate
	*machine
}

func (g startsGate) Begin(ctx context.Context, task start.Task) (*start.Handle, error) {
	g.gate.pass()
	return g.machine.Begin(context.WithoutCancel(ctx), task)
}

func (g startsGate) Stop(ctx context.Context, at ident.WorkerID, task ident.TaskID) (worker.TaskReport, error) {
	g.gate.pass()
	return g.machine.Stop(ctx, at, task)
}

func (g startsGate) Status(ctx context.Context, at ident.WorkerID, task ident.TaskID) (start.Standing, worker.TaskReport, error) {
	g.gate.pass()
	return g.machine.Status(ctx, at, task)
}

// Watch pretends to follow each task, so that the home learns ends by asking.
func (startsGate) Watch(ident.WorkerID, ident.TaskID, func(worker.TaskReport)) bool { return true }

// peersGate loses and delays messages between nodes.
type peersGate struct{ *node }

func (g peersGate) Job(ctx context.Context, to ident.Incarnation, job codec.Job) (codec.JobDone, error) {
	g.gate.pass()
	if g.chaos.chance(g.chaos.loss()) {
		return codec.JobDone{}, fault.New(fault.PeerUnreachable, "%s", to)
	}
	receiver := g.chaos.find(to)
	if receiver == nil {
		return codec.JobDone{}, fault.New(fault.PeerUnreachable, "%s", to)
	}
	time.Sleep(g.chaos.upTo(50 * time.Millisecond))
	receiver.gate.pass()
	done, err := receiver.HandleJob(ctx, g.config.Self, job)
	if g.chaos.chance(g.chaos.loss()) {
		return codec.JobDone{}, fault.New(fault.PeerLost, "%s", to)
	}
	return done, err
}

func (g peersGate) Offer(context.Context, ident.Incarnation, codec.Offer) (codec.Offered, error) {
	return codec.Offered{}, nil
}

// chaos is a system of three instances whose processes, log and workers fail.
type chaos struct {
	t       *testing.T
	stub    *platformstub.Platform
	machine *machine

	mu      sync.Mutex
	random  *rand.Rand
	lossy   bool
	nodes   []*node
	nonce   uint64
	epoch   ident.Epoch
	granted map[string]string
}

func (c *chaos) chance(part float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < part
}

func (c *chaos) upTo(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.random.Int64N(int64(d)))
}

func (c *chaos) loss() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lossy {
		return 0.15
	}
	return 0
}

func (c *chaos) find(id ident.Incarnation) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if n.config.Self == id {
			return n
		}
	}
	return nil
}

func (c *chaos) any() *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[c.random.IntN(len(c.nodes))]
}

// start adds a new incarnation of an instance and tells the nodes that aren't
// stale.
func (c *chaos) start(name string) {
	set, problems := rules.Parse("test", chaosRules)
	assert.Equal(c.t, len(problems), 0, "%v", problems)
	c.mu.Lock()
	c.nonce++
	self := incarnation(name, c.nonce)
	c.mu.Unlock()
	n := &node{log: c.stub.Client(name), chaos: c, table: publish.New[ownership.Table](nil)}
	n.Home = New(Config{
		Self: self, Clock: clock.System{}, Log: n, Budget: logstream.NewBudget(100),
		Open:   func(time.Time) bool { return !n.dead.Load() },
		Shards: 3, Retention: 2 * time.Minute,
		Rules: publish.New(set), Workers: publish.New(testView(6)), Ownership: n.table,
		Starts: startsGate{&n.gate, c.machine}, Peers: peersGate{n},
		Jitter: func() float64 { return 0.5 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.Run(ctx) }()
	n.end = func() { cancel(); <-done }
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.epoch++
	c.mu.Unlock()
	c.publish()
}

// publish gives the current members to the nodes that aren't stale.
func (c *chaos) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []ident.Incarnation
	for _, n := range c.nodes {
		members = append(members, n.config.Self)
	}
	table := tableOf(c.epoch, members...)
	for _, n := range c.nodes {
		if !n.stale.Load() {
			n.table.Publish(table)
		}
	}
}

// replace ends a node, at once or after it went on as a member in its own view,
// and starts its successor.
func (c *chaos) replace(n *node, after time.Duration) {
	c.mu.Lock()
	at := slices.Index(c.nodes, n)
	if at < 0 {
		c.mu.Unlock()
		return
	}
	c.nodes = slices.Delete(slices.Clone(c.nodes), at, at+1)
	c.mu.Unlock()
	n.stale.Store(true)
	time.AfterFunc(after, func() { n.dead.Store(true); n.end() })
	c.start(string(n.config.Self.Instance))
}

// lag leaves a node with an old view of the members for a time.
func (c *chaos) lag(n *node, d time.Duration) {
	n.stale.Store(true)
	time.AfterFunc(d, func() { n.stale.Store(false); c.publish() })
}

// fault does one random thing to the system.
func (c *chaos) fault(open []ident.JobID) {
	n := c.any()
	span := time.Second + c.upTo(20*time.Second)
	c.mu.Lock()
	kind := c.random.IntN(9)
	victim := open[c.random.IntN(len(open))]
	c.mu.Unlock()
	switch kind {
	case 0:
		c.replace(n, 0)
	case 1:
		c.replace(n, span)
	case 2:
		c.lag(n, span)
	case 3:
		n.gate.pause(span)
	case 4:
		n.gate.pause(span)
		c.replace(n, span+time.Second)
	case 5:
		c.stub.Set(func(control *platformstub.Control) { control.Outage = true })
		time.AfterFunc(span/2, func() { c.stub.Set(func(control *platformstub.Control) { control.Outage = false }) })
	case 6:
		c.stub.Set(func(control *platformstub.Control) { control.LoseReplies += 3 })
	case 7:
		c.machine.evict(victim)
	case 8:
		c.machine.restart(victim)
	}
}

// submit submits a job until it is accepted or ctx ends.
func (c *chaos) submit(ctx context.Context, job work.Job) {
	for ctx.Err() == nil {
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		_, err := c.any().Submit(limited, job)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(500*time.Millisecond + c.upTo(time.Second))
	}
}

func (c *chaos) cancel(ctx context.Context, id ident.JobID) {
	limited, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	if status, err := c.any().Cancel(limited, id); err == nil && status.State == work.JobCanceled {
		c.machine.noteCanceled(id)
	}
}

// useKey sends requests with one key until one of them has run.
func (c *chaos) useKey(ctx context.Context, key string) {
	for ctx.Err() == nil {
		n := c.any()
		limited, cancel := context.WithTimeout(ctx, 5*time.Second)
		state, err := n.Begin(limited, "c", key, token.Digest{})
		cancel()
		switch {
		case err != nil:
			c.checkRefusal(n, key, err)
		case state.Granted:
			c.run(n, key)
		case state.Answer.Outcome == fault.Ran:
			c.checkAnswer(key, state.Answer)
			return
		}
		time.Sleep(200*time.Millisecond + c.upTo(2*time.Second))
	}
}

// run plays the request of a granted key.
func (c *chaos) run(n *node, key string) {
	c.mu.Lock()
	if c.granted[key] != "" {
		c.machine.breach("key %s was granted again after %s", key, c.granted[key])
	}
	c.granted[key] = "running"
	c.mu.Unlock()
	time.Sleep(c.upTo(3 * time.Second))
	answer := work.Answer{Outcome: fault.Ran, Body: []byte(n.config.Self.String())}
	if c.chance(0.3) {
		answer = work.Answer{Outcome: fault.NotRun}
	}
	c.mu.Lock()
	c.granted[key] = string(answer.Body)
	c.mu.Unlock()
	n.Finish("c", key, answer)
}

func (c *chaos) checkAnswer(key string, answer work.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !bytes.Equal(answer.Body, []byte(c.granted[key])) {
		c.machine.breach("key %s is answered with %s instead of %s", key, answer.Body, c.granted[key])
	}
}

// checkRefusal notes a refusal that is not true. A node with an old view of the
// members may not know of a request that another home ran.
func (c *chaos) checkRefusal(n *node, key string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	untrue := fault.From(err).Outcome == fault.NotRun && c.granted[key] != ""
	if untrue && !n.stale.Load() && !n.dead.Load() {
		c.machine.breach("key %s is refused as not run after a grant: %v", key, err)
	}
}

func (m *machine) breach(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.breaches = append(m.breaches, fmt.Sprintf(format, args...))
}

// Guards against a job that is lost or runs twice at once, against work that
// doesn't resume from its checkpoint, a quota that is exceeded, a key that is
// granted twice and a cancellation that doesn't hold, while homes die, pause,
// overlap and see old members, and the log and messages fail.
func TestGuaranteesWhileHomesFail(t *testing.T) {
	for i := range *chaosSeeds {
		seed := *chaosSeed + uint64(i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) { runChaos(t, seed) })
		})
	}
}

const (
	chaosJobs   = 24
	chaosKeys   = 6
	chaosFaults = 60
)

func runChaos(t *testing.T, seed uint64) {
	c := &chaos{
		t: t, stub: platformstub.New(nil), machine: newMachine(seed), lossy: true,
		random: rand.New(rand.NewPCG(seed, 2)), granted: map[string]string{},
	}
	c.machine.lose, c.machine.fail = 0.1, 0.05
	c.machine.quota = map[string]int64{"t": 8000, "u": 4000}
	c.stub.Set(func(control *platformstub.Control) { control.Retain = 600 })
	for _, name := range []string{"a", "b", "c"} {
		c.start(name)
	}
	defer c.stop()
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	jobs := c.startClients(ctx, &clients)
	for range chaosFaults {
		c.fault(jobs)
		time.Sleep(time.Second + c.upTo(8*time.Second))
		if c.chance(0.05) {
			clients.Go(func() { c.cancel(ctx, jobs[c.upTo(time.Duration(len(jobs)))]) })
		}
	}
	c.heal()
	defer func() {
		if t.Failed() {
			c.report(jobs)
		}
	}()
	eventually(t, "the jobs are not over after the faults", func() bool { return c.allOver(jobs) })
	cancel()
	clients.Wait()
	c.check(jobs)
}

func (c *chaos) stop() {
	for _, n := range c.nodes {
		n.end()
	}
}

// startClients starts what submits the jobs and uses the keys.
func (c *chaos) startClients(ctx context.Context, clients *sync.WaitGroup) []ident.JobID {
	var ids []ident.JobID
	for i := range byte(chaosJobs) {
		job := jobAt(time.Now(), i)
		if i%3 == 0 {
			job.ID, job.Service = ident.JobID(strings.Replace(string(job.ID), "t.", "u.", 1)), "count"
		}
		ids = append(ids, job.ID)
		clients.Go(func() {
			time.Sleep(c.upTo(2 * time.Minute))
			c.submit(ctx, job)
		})
	}
	for i := range byte(chaosKeys) {
		key := uuidAt(time.Now(), 100+i)
		clients.Go(func() { c.useKey(ctx, key) })
	}
	return ids
}

// heal ends the faults.
func (c *chaos) heal() {
	time.Sleep(30 * time.Second)
	c.mu.Lock()
	c.lossy = false
	c.mu.Unlock()
	c.machine.mu.Lock()
	c.machine.lose, c.machine.fail = 0, 0
	c.machine.mu.Unlock()
	c.stub.Set(func(control *platformstub.Control) { control.Outage = false; control.LoseReplies = 0 })
	c.publish()
}

func (c *chaos) allOver(jobs []ident.JobID) bool {
	for _, id := range jobs {
		status, err := c.any().Job(context.Background(), id)
		if err != nil || !status.State.Over() {
			return false
		}
	}
	return true
}

// check compares what the homes say with what ran.
func (c *chaos) check(jobs []ident.JobID) {
	for _, id := range jobs {
		status, err := c.any().Job(context.Background(), id)
		assert.NilError(c.t, err)
		finished := c.machine.finishedCount(id)
		assert.Equal(c.t, status.State == work.JobSucceeded, finished == 1, "job %s is %s and finished %d times", id, status.State, finished)
		assert.Assert(c.t, !c.machine.runs(id), "job %s is over and runs", id)
	}
	assert.Equal(c.t, len(c.machine.breaches), 0, "%s", strings.Join(c.machine.breaches, "\n"))
}

// report logs what the homes say.
func (c *chaos) report(jobs []ident.JobID) {
	for _, n := range c.nodes {
		state, _ := json.Marshal(n.State())
		c.t.Logf("%s stale=%v: %s", n.config.Self, n.stale.Load(), state)
	}
	for _, id := range jobs {
		status, err := c.any().Job(context.Background(), id)
		if err != nil || !status.State.Over() {
			c.t.Logf("%s: %+v %v, at the worker: %+v", id, status, err, c.machine.runningTask(id))
		}
	}
}
