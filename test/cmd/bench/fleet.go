package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/ledger"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/rules"
)

// taskKind describes one kind of task: its demand, and the run time and resource
// usage that it really has.
type taskKind struct {
	name        ident.ServiceName
	team        ident.TeamName
	class       work.Class
	demand      resource.Vector
	evictPolicy rules.EvictPolicy
	checkpoint  bool
	// The run time on an idle worker is minRunTime plus an exponentially
	// distributed part with the mean meanExtraRunTime.
	minRunTime       time.Duration
	meanExtraRunTime time.Duration
	// usageFactor is the resource usage of a task as a multiple of its demand.
	usageFactor float64
}

// Indexes into the array of kinds.
const (
	checkKind = iota
	rebuildKind
	noisyKind
	renderKind
	bulkKind
	kindCount
)

func newKinds() [kindCount]taskKind {
	demand := func(cpu, memory int64) resource.Vector {
		return resource.Vector{CPU: cpu, Memory: memory, Slots: 1, Connections: 1}
	}
	return [kindCount]taskKind{
		checkKind:   {"check", "permits", work.Urgent, demand(250, 128), rules.EvictNormal, false, 10 * time.Millisecond, 10 * time.Millisecond, 1},
		rebuildKind: {"rebuild", "rebuilds", work.Batch, demand(4000, 8192), rules.EvictLast, true, 20 * time.Second, 10 * time.Second, 1},
		noisyKind:   {"noisy", "neighbour", work.Batch, demand(3000, 4096), rules.EvictNormal, true, 15 * time.Second, 5 * time.Second, 1},
		renderKind:  {"render", "neighbour", work.Batch, demand(6000, 6144), rules.EvictNormal, false, 25 * time.Second, 15 * time.Second, 1},
		bulkKind:    {"bulk", "neighbour", work.Urgent, demand(2000, 512), rules.EvictNormal, false, 100 * time.Millisecond, 100 * time.Millisecond, 1},
	}
}

// slowdownByKind holds the true interference: the slowdown of a task of the
// first kind by each colocated task of the second kind, as a fraction of the run
// time.
var slowdownByKind = [kindCount][kindCount]float64{
	checkKind:   {0, 0.03, 0.60, 0.15, 0.05},
	rebuildKind: {0, 0.02, 0.10, 0.05, 0.01},
	noisyKind:   {0, 0.05, 0.08, 0.05, 0.01},
	renderKind:  {0, 0.05, 0.15, 0.05, 0.01},
	bulkKind:    {0, 0.03, 0.30, 0.10, 0.05},
}

// hardwareProfile is the hardware of one organisation.
type hardwareProfile struct {
	name    string
	workers int
	worker  resource.Vector
}

var hardwareProfiles = []hardwareProfile{
	{"50 x 32 cores", 50, resource.Vector{CPU: 32000, Memory: 125000, Slots: 8, Connections: 64}},
	{"65 x 16 cores", 65, resource.Vector{CPU: 16000, Memory: 60000, Slots: 8, Connections: 64}},
}

const zoneCount = 3

// node is one simulated worker.
type node struct {
	id      ident.WorkerID
	index   int
	zone    int
	account *ledger.Account
	tasks   []*run
	// changed is when a batch task last started or ended on the node.
	changed time.Duration
	// changes counts the starts and ends of batch tasks on the node.
	changes int
	// slowFactor multiplies the run time of all tasks on the node; 1 is normal.
	slowFactor float64
	leaving    bool
	broken     bool
	dead       bool
}

// run is one run of a task on a node.
type run struct {
	id      ident.TaskID
	kind    int
	node    *node
	job     *job
	held    resource.Vector
	started time.Duration
	// remaining is the run time on an idle worker that was left to do at the
	// time updated.
	remaining     time.Duration
	updated       time.Duration
	speed         float64
	throttled     bool
	checkpointing bool
	ended         bool
	endVersion    int
	onEnd         func()
	onRemoved     func()
}

// job is one batch job over all its attempts.
type job struct {
	number      int
	kind        int
	runTime     time.Duration
	remaining   time.Duration
	arrived     time.Duration
	evictions   int
	lastEvicted time.Duration
	canceled    bool
	done        bool
	current     *run
	leaveQueue  func()
}

// event is a function to call at a virtual time. number orders the events of the
// same time.
type event struct {
	at     time.Duration
	number uint64
	action func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return popped
}

// fleet is the simulated set of workers in virtual time.
type fleet struct {
	now       time.Duration
	queue     events
	number    uint64
	random    *rand.Rand
	kinds     [kindCount]taskKind
	nodes     []*node
	result    *result
	taskCount int
	// onFreed tells the policy of free capacity on a node, onJobLost of a job to
	// place again, and onNodeUnlisted that the platform's list shows a node as
	// gone.
	onFreed        func(*node)
	onJobLost      func(*job)
	onNodeUnlisted func(*node)
}

func newFleet(hardware hardwareProfile, seed uint64, totals *result) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 7)), kinds: newKinds(), result: totals}
	for i := range hardware.workers {
		f.nodes = append(f.nodes, &node{
			id:         ident.WorkerID(fmt.Sprintf("w%03d", i)),
			index:      i,
			zone:       i % zoneCount,
			slowFactor: 1,
			account:    ledger.NewAccount(hardware.worker),
		})
	}
	return f
}

// virtualEpoch is the wall-clock time that corresponds to virtual time zero.
var virtualEpoch = time.Unix(1_700_000_000, 0)

func (f *fleet) clockTime() time.Time { return virtualEpoch.Add(f.now) }

func (f *fleet) schedule(delay time.Duration, action func()) {
	f.number++
	heap.Push(&f.queue, event{f.now + delay, f.number, action})
}

func (f *fleet) runUntil(end time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= end {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.action()
	}
	f.now = end
}

// slowdown returns the run time of a kind on a node relative to an idle node.
func (f *fleet) slowdown(n *node, kind int, except *run) float64 {
	factor := n.slowFactor
	cpu := 0.0
	for _, other := range n.tasks {
		share := 1.0
		if other.throttled {
			share = 0.2
		}
		cpu += share * f.kinds[other.kind].usageFactor * float64(f.kinds[other.kind].demand.CPU)
		if other != except {
			factor += share * slowdownByKind[kind][other.kind]
		}
	}
	return factor * max(1, cpu/float64(n.account.Capacity().CPU))
}

// startTask starts a task whose demand is already reserved on the node.
func (f *fleet) startTask(n *node, kind int, held resource.Vector, remaining time.Duration, j *job, onEnd func()) *run {
	f.taskCount++
	r := &run{
		id: ident.TaskID(fmt.Sprint(f.taskCount)), kind: kind, node: n, job: j, held: held,
		started: f.now, updated: f.now, remaining: remaining, speed: 1, onEnd: onEnd,
	}
	n.tasks = append(n.tasks, r)
	if j != nil {
		j.current = r
		n.changed = f.now
		n.changes++
		f.rescheduleEnds(n)
		f.enforceMemory(n)
		return r
	}
	took := time.Duration(float64(remaining) * f.slowdown(n, kind, r))
	f.schedule(took, func() { f.finishTask(r) })
	return r
}

// rescheduleEnds computes again when the batch tasks of a node end. Urgent tasks
// are short and keep the speed that they started with.
func (f *fleet) rescheduleEnds(n *node) {
	for _, r := range n.tasks {
		if r.job == nil {
			continue
		}
		f.updateProgress(r)
		r.speed = 1 / f.slowdown(n, r.kind, r)
		if r.throttled {
			r.speed *= 0.2
		}
		r.endVersion++
		at := r.endVersion
		f.schedule(time.Duration(float64(r.remaining)/r.speed), func() {
			if r.endVersion == at {
				f.finishTask(r)
			}
		})
	}
}

func (f *fleet) updateProgress(r *run) {
	r.remaining -= time.Duration(float64(f.now-r.updated) * r.speed)
	r.updated = f.now
}

// removeTask removes a run from its node and releases its reservation. It
// returns false if the run had already ended.
func (f *fleet) removeTask(r *run) bool {
	if r.ended {
		return false
	}
	f.updateProgress(r)
	r.ended = true
	r.endVersion++
	n := r.node
	for i, other := range n.tasks {
		if other == r {
			n.tasks = append(n.tasks[:i], n.tasks[i+1:]...)
			break
		}
	}
	n.account.Release(r.held)
	if r.onRemoved != nil {
		r.onRemoved()
	}
	if r.job != nil {
		r.job.current = nil
		n.changed = f.now
		n.changes++
		f.rescheduleEnds(n)
	}
	return true
}

func (f *fleet) finishTask(r *run) {
	if !f.removeTask(r) {
		return
	}
	if r.onEnd != nil {
		r.onEnd()
	}
	f.onFreed(r.node)
}

// stopJob ends the run of a batch job. Its progress is lost unless it was saved
// in a checkpoint.
func (f *fleet) stopJob(r *run, checkpointed bool) {
	j := r.job
	if !f.removeTask(r) {
		return
	}
	if checkpointed {
		j.remaining = max(r.remaining, time.Millisecond)
	}
	f.onFreed(r.node)
	if !j.canceled {
		f.onJobLost(j)
	}
}

// evictTask counts an eviction and ends the run of a batch job. A checkpoint
// delays the end by checkpointTime.
func (f *fleet) evictTask(r *run, checkpoint bool) {
	j := r.job
	r.checkpointing = true
	f.result.evictions++
	j.evictions++
	j.lastEvicted = f.now
	if !checkpoint {
		f.stopJob(r, false)
		return
	}
	f.schedule(checkpointTime, func() { f.stopJob(r, true) })
}

// checkpointTime is how long a checkpoint takes.
const checkpointTime = time.Second

// enforceMemory ends the newest batch tasks of a node while the tasks really use
// more memory than the node has.
func (f *fleet) enforceMemory(n *node) {
	for {
		used := 0.0
		var newest *run
		for _, r := range n.tasks {
			used += f.kinds[r.kind].usageFactor * float64(f.kinds[r.kind].demand.Memory)
			if r.job != nil {
				newest = r
			}
		}
		if used <= float64(n.account.Capacity().Memory) || newest == nil {
			return
		}
		f.result.outOfMemory++
		j := newest.job
		f.removeTask(newest)
		f.schedule(0, func() { f.onFreed(n); f.onJobLost(j) })
	}
}

// failNode ends a node together with everything that runs on it.
func (f *fleet) failNode(n *node) {
	n.dead = true
	for _, r := range append([]*run(nil), n.tasks...) {
		j := r.job
		f.removeTask(r)
		if j != nil {
			f.schedule(jobRestartDelay, func() { f.onJobLost(j) })
		} else if r.onEnd != nil {
			f.schedule(deadWorkerTimeout, r.onEnd)
		}
	}
}

const (
	// jobRestartDelay is the time from the death of a worker until its run
	// leases have expired and its jobs may run again.
	jobRestartDelay = 20 * time.Second
	// deadWorkerTimeout is how long an entry instance waits for a reply from a
	// dead worker.
	deadWorkerTimeout = 100 * time.Millisecond
)
