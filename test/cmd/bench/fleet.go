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

// kind is one kind of task with what it really does.
type kind struct {
	name       ident.ServiceName
	team       ident.TeamName
	class      work.Class
	demand     resource.Vector
	evict      rules.EvictPolicy
	checkpoint bool
	// least and spread make the run time on an idle worker: least plus an
	// exponentially distributed part with mean spread.
	least  time.Duration
	spread time.Duration
	// scale is what a task really takes, as a multiple of its demand.
	scale float64
}

// Indexes of kinds.
const (
	check = iota
	rebuild
	noisy
	render
	bulk
	kindCount
)

func newKinds() [kindCount]kind {
	demand := func(cpu, memory int64) resource.Vector {
		return resource.Vector{CPU: cpu, Memory: memory, Slots: 1, Connections: 1}
	}
	return [kindCount]kind{
		check:   {"check", "permits", work.Urgent, demand(250, 128), rules.EvictNormal, false, 10 * time.Millisecond, 10 * time.Millisecond, 1},
		rebuild: {"rebuild", "rebuilds", work.Batch, demand(4000, 8192), rules.EvictLast, true, 20 * time.Second, 10 * time.Second, 1},
		noisy:   {"noisy", "neighbour", work.Batch, demand(3000, 4096), rules.EvictNormal, true, 15 * time.Second, 5 * time.Second, 1},
		render:  {"render", "neighbour", work.Batch, demand(6000, 6144), rules.EvictNormal, false, 25 * time.Second, 15 * time.Second, 1},
		bulk:    {"bulk", "neighbour", work.Urgent, demand(2000, 512), rules.EvictNormal, false, 100 * time.Millisecond, 100 * time.Millisecond, 1},
	}
}

// extra is the true slowdown of the first kind by each task of the second, as a
// part of the run time.
var extra = [kindCount][kindCount]float64{
	check:   {0, 0.03, 0.60, 0.15, 0.05},
	rebuild: {0, 0.02, 0.10, 0.05, 0.01},
	noisy:   {0, 0.05, 0.08, 0.05, 0.01},
	render:  {0, 0.05, 0.15, 0.05, 0.01},
	bulk:    {0, 0.03, 0.30, 0.10, 0.05},
}

// size is the hardware of one organisation.
type size struct {
	name    string
	workers int
	worker  resource.Vector
}

var sizes = []size{
	{"50 x 32 cores", 50, resource.Vector{CPU: 32000, Memory: 125000, Slots: 8, Connections: 64}},
	{"65 x 16 cores", 65, resource.Vector{CPU: 16000, Memory: 60000, Slots: 8, Connections: 64}},
}

const zones = 3

// node is one fake worker.
type node struct {
	id      ident.WorkerID
	index   int
	zone    int
	account *ledger.Account
	tasks   []*run
	// changed is the newest start or end of a batch task.
	changed time.Duration
	// changes counts the starts and ends of batch tasks.
	changes int
	// slow is how many times longer than elsewhere everything takes.
	slow    float64
	leaving bool
	broken  bool
	dead    bool
}

// run is one task on a node.
type run struct {
	id      ident.TaskID
	kind    int
	node    *node
	job     *job
	held    resource.Vector
	started time.Duration
	// left is the run time on an idle worker that is still to do, at updated.
	left      time.Duration
	updated   time.Duration
	speed     float64
	throttled bool
	saving    bool
	over      bool
	epoch     int
	end       func()
	removed   func()
}

// job is one batch job through its attempts.
type job struct {
	number    int
	kind      int
	work      time.Duration
	left      time.Duration
	arrived   time.Duration
	evictions int
	evicted   time.Duration
	canceled  bool
	done      bool
	current   *run
	leave     func()
}

// event is something that happens at a virtual time.
type event struct {
	at     time.Duration
	number uint64
	do     func()
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

// world is the fake fleet in virtual time.
type world struct {
	now    time.Duration
	queue  events
	number uint64
	random *rand.Rand
	kinds  [kindCount]kind
	nodes  []*node
	result *result
	tasks  int
	// freed and lost tell the policy of room and of jobs to place again; listed
	// tells it that the platform's list shows a node as gone.
	freed  func(*node)
	lost   func(*job)
	listed func(*node)
}

func newWorld(size size, seed uint64, into *result) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 7)), kinds: newKinds(), result: into}
	for i := range size.workers {
		w.nodes = append(w.nodes, &node{
			id:      ident.WorkerID(fmt.Sprintf("w%03d", i)),
			index:   i,
			zone:    i % zones,
			slow:    1,
			account: ledger.NewAccount(size.worker),
		})
	}
	return w
}

// epoch is the wall-clock time of virtual zero.
var epoch = time.Unix(1_700_000_000, 0)

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) after(wait time.Duration, do func()) {
	w.number++
	heap.Push(&w.queue, event{w.now + wait, w.number, do})
}

func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
	w.now = end
}

// slowdown returns the run time of a kind on a node relative to an idle one.
func (w *world) slowdown(n *node, kind int, self *run) float64 {
	factor := n.slow
	cpu := 0.0
	for _, other := range n.tasks {
		share := 1.0
		if other.throttled {
			share = 0.2
		}
		cpu += share * w.kinds[other.kind].scale * float64(w.kinds[other.kind].demand.CPU)
		if other != self {
			factor += share * extra[kind][other.kind]
		}
	}
	return factor * max(1, cpu/float64(n.account.Capacity().CPU))
}

// begin starts a task whose demand is reserved on a node.
func (w *world) begin(n *node, kind int, held resource.Vector, left time.Duration, j *job, end func()) *run {
	w.tasks++
	r := &run{
		id: ident.TaskID(fmt.Sprint(w.tasks)), kind: kind, node: n, job: j, held: held,
		started: w.now, updated: w.now, left: left, speed: 1, end: end,
	}
	n.tasks = append(n.tasks, r)
	if j != nil {
		j.current = r
		n.changed = w.now
		n.changes++
		w.reflow(n)
		w.checkMemory(n)
		return r
	}
	took := time.Duration(float64(left) * w.slowdown(n, kind, r))
	w.after(took, func() { w.finish(r) })
	return r
}

// reflow recomputes when the batch tasks of a node end. Urgent tasks are short
// and keep the speed that they started with.
func (w *world) reflow(n *node) {
	for _, r := range n.tasks {
		if r.job == nil {
			continue
		}
		w.progress(r)
		r.speed = 1 / w.slowdown(n, r.kind, r)
		if r.throttled {
			r.speed *= 0.2
		}
		r.epoch++
		at := r.epoch
		w.after(time.Duration(float64(r.left)/r.speed), func() {
			if r.epoch == at {
				w.finish(r)
			}
		})
	}
}

func (w *world) progress(r *run) {
	r.left -= time.Duration(float64(w.now-r.updated) * r.speed)
	r.updated = w.now
}

// remove takes a task off its node and returns its reservation. It reports
// false if the task was over before.
func (w *world) remove(r *run) bool {
	if r.over {
		return false
	}
	w.progress(r)
	r.over = true
	r.epoch++
	n := r.node
	for i, other := range n.tasks {
		if other == r {
			n.tasks = append(n.tasks[:i], n.tasks[i+1:]...)
			break
		}
	}
	n.account.Release(r.held)
	if r.removed != nil {
		r.removed()
	}
	if r.job != nil {
		r.job.current = nil
		n.changed = w.now
		n.changes++
		w.reflow(n)
	}
	return true
}

func (w *world) finish(r *run) {
	if !w.remove(r) {
		return
	}
	if r.end != nil {
		r.end()
	}
	w.freed(r.node)
}

// stop ends a batch task; what it did is lost unless it was saved.
func (w *world) stop(r *run, saved bool) {
	j := r.job
	if !w.remove(r) {
		return
	}
	if saved {
		j.left = max(r.left, time.Millisecond)
	}
	w.freed(r.node)
	if !j.canceled {
		w.lost(j)
	}
}

// evict counts and ends a batch task. Saving takes as long as saveTime.
func (w *world) evict(r *run, save bool) {
	j := r.job
	r.saving = true
	w.result.evictions++
	j.evictions++
	j.evicted = w.now
	if !save {
		w.stop(r, false)
		return
	}
	w.after(saveTime, func() { w.stop(r, true) })
}

// saveTime is how long a checkpoint takes.
const saveTime = time.Second

// checkMemory ends the newest batch tasks of a node whose tasks really take
// more memory than there is.
func (w *world) checkMemory(n *node) {
	for {
		used := 0.0
		var newest *run
		for _, r := range n.tasks {
			used += w.kinds[r.kind].scale * float64(w.kinds[r.kind].demand.Memory)
			if r.job != nil {
				newest = r
			}
		}
		if used <= float64(n.account.Capacity().Memory) || newest == nil {
			return
		}
		w.result.outOfMemory++
		j := newest.job
		w.remove(newest)
		w.after(0, func() { w.freed(n); w.lost(j) })
	}
}

// die loses a node with all that runs on it.
func (w *world) die(n *node) {
	n.dead = true
	for _, r := range append([]*run(nil), n.tasks...) {
		j := r.job
		w.remove(r)
		if j != nil {
			w.after(runLeaseOver, func() { w.lost(j) })
		} else if r.end != nil {
			w.after(replyLost, r.end)
		}
	}
}

const (
	// runLeaseOver is when a job of a dead worker may run again.
	runLeaseOver = 20 * time.Second
	// replyLost is how long a front waits for a dead worker.
	replyLost = 100 * time.Millisecond
)
