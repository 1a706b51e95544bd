package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/limit"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/queue"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/admission"
	"poplarvalve/internal/request/eviction"
	"poplarvalve/internal/request/fairness"
	"poplarvalve/internal/request/placement"
	"poplarvalve/internal/request/retry"
	"poplarvalve/internal/version/health"
	"poplarvalve/internal/version/interference"
	"poplarvalve/internal/version/rules"
	learnt "poplarvalve/internal/version/sizes"
	"poplarvalve/internal/version/workers"
)

// mechanisms are what can be switched off, one at a time.
var mechanisms = []string{"spread", "interference", "gather", "quiet", "queue", "fairness",
	"admission", "concurrency", "retry", "hedge", "evict", "sizes", "health"}

// backups are mechanisms that act when another fails. They are also switched
// off together with that one.
var backups = []string{"quiet+evict", "interference+hedge", "interference+concurrency"}

const (
	// keepQuiet is the number of quiet workers that batch work leaves per zone.
	keepQuiet = 2
	// queueLimit bounds the waiters of a zone.
	queueLimit = 500
	// evictionsPerMinute is the budget of the system.
	evictionsPerMinute = 20
	// evictAfter is how long urgent work waits for room before other work is
	// evicted for it. Most room is freed sooner by work that ends.
	evictAfter = 300 * time.Millisecond
	// reportLag is the age of a usage report when it arrives.
	reportLag = 3 * time.Second
	// listLag is the age of the platform's list.
	listLag = 5 * time.Second
)

// decider drives the decision code.
type decider struct {
	w   *world
	off string

	set    *rules.Set
	times  *limit.Times
	budget *limit.Budget
	gate   *admission.Gate
	retry  *retry.Policy
	bounds map[*node]*limit.Concurrency
	queues [zones]*queue.Queue

	// view lags by up to a second; the owners use exact ones.
	view    *workers.View
	extra   *interference.Table
	sizes   *learnt.Table
	health  *health.State
	used    map[ident.TeamName]resource.Vector
	total   resource.Vector
	gone    map[*node]bool
	waits   []*waiting
	kinds   map[queue.Kind]int
	failed  map[health.Subject]bool
	known   []disturbed
	evicted []time.Duration
}

// waiting is a place in a queue and what follows a grant.
type waiting struct {
	waiter *queue.Waiter
	resume func(n *node)
}

func newDecider(w *world, off string) *decider {
	set := &rules.Set{
		Teams: map[ident.TeamName]rules.Team{
			"permits":   {Weight: 8, Reserve: resource.Vector{CPU: 64000, Memory: 128 * 1024}},
			"rebuilds":  {Weight: 2},
			"neighbour": {Weight: 2},
		},
	}
	random := rand.New(rand.NewPCG(5, 5))
	d := &decider{
		w: w, off: off, set: set,
		times:  limit.NewTimes(epoch),
		budget: limit.NewBudget(),
		bounds: map[*node]*limit.Concurrency{},
		used:   map[ident.TeamName]resource.Vector{},
		gone:   map[*node]bool{},
		kinds:  map[queue.Kind]int{},
		failed: map[health.Subject]bool{},
		known:  make([]disturbed, len(w.nodes)),
	}
	d.retry = retry.NewPolicy(d.budget, random.Float64)
	for _, n := range w.nodes {
		capacity := n.account.Capacity()
		d.total = d.total.Add(capacity)
		d.bounds[n] = limit.NewConcurrency(epoch, 1, capacity.Connections)
	}
	members := func() int { return 1 }
	d.gate = admission.NewGate(epoch, publish.New(set), d.times, d.budget, members, d.total.Slots)
	for zone := range d.queues {
		d.queues[zone] = queue.New(queueLimit)
	}
	d.tick()
	return d
}

// on reports whether a mechanism works. off names up to two, joined by "+".
func (d *decider) on(mechanism string) bool {
	first, second, _ := strings.Cut(d.off, "+")
	return mechanism != first && mechanism != second
}

// tick publishes the next view and folds the reports of the last second.
func (d *decider) tick() {
	d.view = d.exact()
	d.observe()
	d.unthrottle()
	for _, n := range d.w.nodes {
		d.freed(n)
	}
	d.w.after(time.Second, d.tick)
}

// exact returns a view without lag.
func (d *decider) exact() *workers.View {
	return d.viewOf(func(*node) bool { return true })
}

// zoneOf returns a view of one zone without lag.
func (d *decider) zoneOf(of *node) *workers.View {
	return d.viewOf(func(n *node) bool { return n.zone == of.zone })
}

func (d *decider) viewOf(holds func(*node) bool) *workers.View {
	list := make([]workers.Worker, 0, len(d.w.nodes))
	for _, n := range d.w.nodes {
		if holds(n) {
			list = append(list, d.worker(n))
		}
	}
	return workers.New(list)
}

// disturbance returns that of a node, computed again after a change.
func (d *decider) disturbance(n *node) int64 {
	known := &d.known[n.index]
	if known.table != d.extra || known.changes != n.changes {
		*known = disturbed{table: d.extra, changes: n.changes}
		known.value = d.extra.Disturbance([]ident.ServiceName{"check"}, d.running(n, nil))
	}
	return known.value
}

// disturbed is the disturbance of a node and what it was computed from.
type disturbed struct {
	table   *interference.Table
	changes int
	value   int64
}

func (d *decider) worker(n *node) workers.Worker {
	worker := workers.Worker{
		ID: n.id, Zone: zoneName(n.zone), Region: regionName(n.zone),
		Capacity: n.account.Capacity(), Free: n.account.Free(),
		Ready: !d.gone[n], Leaving: d.gone[n],
	}
	if d.on("interference") {
		worker.Disturbance = d.disturbance(n)
	}
	if d.on("health") {
		worker.Health = d.health.Worker(n.id, d.w.time())
	}
	return worker
}

func zoneName(zone int) ident.ZoneName { return ident.ZoneName(rune('a' + zone)) }

// regionName puts the last zone into a region of its own.
func regionName(zone int) ident.RegionName {
	if zone == zones-1 {
		return "far"
	}
	return "near"
}

// running counts the batch tasks of a node by kind.
func (d *decider) running(n *node, self *run) []interference.Running {
	var counts [kindCount]int
	for _, r := range n.tasks {
		if r.job != nil && r != self {
			counts[r.kind]++
		}
	}
	var beside []interference.Running
	for kind, count := range counts {
		if count > 0 {
			beside = append(beside, interference.Running{Kind: d.w.kinds[kind].name, Count: count})
		}
	}
	return beside
}

// observe makes the usage reports that arrive after the lag, each with noise.
func (d *decider) observe() {
	for _, n := range d.w.nodes {
		if n.dead || d.w.random.IntN(5) != 0 {
			continue
		}
		measured := d.w.time()
		slowdown := d.w.slowdown(n, check, nil) * (0.95 + 0.1*d.w.random.Float64())
		var used []learnt.Report
		for _, r := range n.tasks {
			if r.job != nil && !r.throttled {
				used = append(used, d.usage(r))
			}
		}
		d.w.after(reportLag, func() {
			d.sizes = d.sizes.Fold(used)
			d.extra = d.extra.Fold([]interference.Report{{
				Kind: "check", Beside: d.running(n, nil), Slowdown: int64(slowdown * 1000),
				Measured: measured, Placed: epoch.Add(n.changed),
			}})
			d.grow(n)
		})
	}
}

func (d *decider) usage(r *run) learnt.Report {
	k := &d.w.kinds[r.kind]
	scale := k.scale * (0.9 + 0.2*d.w.random.Float64())
	return learnt.Report{Service: k.name, Used: resource.Vector{
		CPU:    int64(scale * float64(k.demand.CPU)),
		Memory: int64(scale * float64(k.demand.Memory)),
	}}
}

func (d *decider) size(kind int) resource.Vector {
	k := &d.w.kinds[kind]
	if !d.on("sizes") || k.class != work.Batch {
		return k.demand
	}
	return d.sizes.Size(k.name, k.demand, d.w.nodes[0].account.Capacity())
}

// grow gives running tasks their learnt sizes, where they fit.
func (d *decider) grow(n *node) {
	for _, r := range n.tasks {
		if r.job == nil || r.throttled || r.saving {
			continue
		}
		to := d.size(r.kind)
		if n.account.Resize(r.held, to) {
			d.count(r.kind, to.Sub(r.held))
			r.held = to
		}
	}
}

func (d *decider) unthrottle() {
	for _, n := range d.w.nodes {
		for _, r := range n.tasks {
			full := d.size(r.kind)
			if r.throttled && n.account.Resize(r.held, full) {
				d.count(r.kind, full.Sub(r.held))
				r.held, r.throttled = full, false
				d.w.reflow(n)
			}
		}
	}
}

// count keeps what the team of a kind holds.
func (d *decider) count(kind int, change resource.Vector) {
	team := d.w.kinds[kind].team
	d.used[team] = d.used[team].Add(change)
}

// judge folds a result into the health of nodes. Successes count only where a
// failure is known, which leaves out nearly all of them.
func (d *decider) judge(n *node, subject health.Subject, success bool) {
	healthy := d.health.Worker(n.id, d.w.time()) == workers.Healthy
	if success && healthy && !d.failed[subject] {
		return
	}
	d.failed[subject] = !success
	d.health = d.health.Fold(health.Result{Worker: n.id, Subject: subject, Success: success, At: d.w.time()})
}

// subjects is the number of subjects into which the requests of one service are
// split, so that a single service can show that a worker fails everything.
const subjects = 32

func subjectOf(k *kind, number int) health.Subject {
	return health.Subject(fmt.Sprintf("%s/%d", k.name, number%subjects))
}

func (d *decider) find(id ident.WorkerID) *node {
	at, _ := slices.BinarySearchFunc(d.w.nodes, id, func(n *node, id ident.WorkerID) int {
		if n.id < id {
			return -1
		} else if n.id > id {
			return 1
		}
		return 0
	})
	return d.w.nodes[at]
}

// order is that of the start queue for one offer.
func (d *decider) order(n *node) queue.Order {
	var view *workers.View
	now := d.w.time()
	turn := uint64(d.w.tasks)
	return queue.Order{
		Before: func(a, b queue.Item) bool {
			if !d.on("fairness") {
				return a.Since.Before(b.Since)
			}
			return fairness.Less(d.standing(a), d.standing(b), fairness.Moment{Now: now, Turn: turn})
		},
		Allowed: func(item queue.Item) bool {
			demand := d.demand(d.kinds[item.Kind], 0, 0)
			if demand.KeepQuiet == 0 {
				return true
			}
			if view == nil {
				view = d.zoneOf(n)
			}
			return placement.Explain(view, d.set, demand, n.id) == placement.Eligible
		},
		Holds: func(item queue.Item) bool { return fairness.Aged(item.Since, now) },
	}
}

func (d *decider) standing(item queue.Item) fairness.Waiting {
	team := d.set.Teams[item.Team]
	return fairness.Waiting{
		Class:    item.Class,
		Standing: fairness.Stand(team, d.used[item.Team], d.total),
		Since:    item.Since,
	}
}

// freed grants what became free, to the own zone first.
func (d *decider) freed(n *node) {
	if n.dead || n.leaving || d.gone[n] || len(d.waits) == 0 {
		return
	}
	offer := queue.Offer{Worker: n.id, Capacity: n.account.Capacity(), Fits: n.account.Fits, Reserve: n.account.Reserve}
	for i := range zones {
		q := d.queues[(n.zone+i)%zones]
		for q.Len() > 0 && q.Grant(offer, d.order(n)) {
			d.resume(n)
		}
	}
}

// resume continues the waiter that was granted.
func (d *decider) resume(n *node) {
	for i, waits := range d.waits {
		select {
		case <-waits.waiter.Granted():
			d.waits = slices.Delete(d.waits, i, i+1)
			waits.resume(n)
			return
		default:
		}
	}
}

// join lets work wait, and returns how to leave.
func (d *decider) join(zone, kind int, demand resource.Vector, due time.Time, resume func(*node)) (func() bool, bool) {
	k := &d.w.kinds[kind]
	item := queue.Item{Kind: queue.Kind{Class: k.class, Team: k.team, Demand: demand}, Since: d.w.time(), Due: due}
	waiter, err := d.queues[zone].Join(item)
	if err != nil {
		return nil, false
	}
	d.kinds[item.Kind] = kind
	waits := &waiting{waiter: waiter, resume: resume}
	d.waits = append(d.waits, waits)
	return func() bool {
		if !waiter.Leave() {
			return false
		}
		d.waits = slices.DeleteFunc(d.waits, func(other *waiting) bool { return other == waits })
		return true
	}, true
}

// demand is what the ranking needs to know of a kind.
func (d *decider) demand(kind, zone int, spread uint64) placement.Demand {
	k := &d.w.kinds[kind]
	demand := placement.Demand{
		Resources: d.size(kind),
		From:      workers.Place{Zone: zoneName(zone), Region: regionName(zone)},
	}
	if d.on("spread") {
		demand.Spread = spread * 0x9e3779b97f4a7c15
	}
	if k.class == work.Batch {
		demand.Probe = true
		demand.Gather = d.on("gather")
	}
	if d.on("quiet") && (k.class == work.Batch || d.beyondReserve(k.team)) {
		demand.KeepQuiet = keepQuiet
		demand.Disturbs = d.extra.Extra("check", k.name)
	}
	return demand
}

// beyondReserve reports whether a team holds its reserved minimum while another
// doesn't.
func (d *decider) beyondReserve(name ident.TeamName) bool {
	if fairness.Stand(d.set.Teams[name], d.used[name], d.total).BelowReserve {
		return false
	}
	for other, team := range d.set.Teams {
		if fairness.Stand(team, d.used[other], d.total).BelowReserve {
			return true
		}
	}
	return false
}

// victims frees room for urgent work on one of the nodes.
func (d *decider) victims(from []*node, demand resource.Vector) {
	d.evicted = slices.DeleteFunc(d.evicted, func(at time.Duration) bool { return d.w.now-at > time.Minute })
	for _, n := range from {
		chosen := eviction.Choose(eviction.Situation{
			Now: d.w.time(), Demand: demand, Free: n.account.Free(),
			Tasks: d.evictable(n), Left: evictionsPerMinute - len(d.evicted),
		})
		for _, victim := range chosen {
			d.apply(n, victim)
		}
		if len(chosen) > 0 {
			return
		}
	}
}

func (d *decider) evictable(n *node) []eviction.Task {
	var tasks []eviction.Task
	for _, r := range n.tasks {
		if r.saving {
			continue
		}
		k := &d.w.kinds[r.kind]
		task := eviction.Task{
			ID: r.id, Class: k.class, Policy: k.evict, Held: r.held, Started: epoch.Add(r.started),
			Checkpoints: k.checkpoint, Throttled: r.throttled,
		}
		if r.job != nil {
			task.Evictions = r.job.evictions
			if r.job.evictions > 0 {
				task.LastEvicted = epoch.Add(r.job.evicted)
			}
		}
		tasks = append(tasks, task)
	}
	return tasks
}

func (d *decider) apply(n *node, victim eviction.Victim) {
	at := slices.IndexFunc(n.tasks, func(r *run) bool { return r.id == victim.Task })
	r := n.tasks[at]
	if victim.Step == eviction.Throttle {
		to := r.held.Sub(victim.Frees)
		n.account.Resize(r.held, to)
		d.count(r.kind, to.Sub(r.held))
		r.held, r.throttled = to, true
		d.w.reflow(n)
		return
	}
	d.evicted = append(d.evicted, d.w.now)
	d.w.evict(r, victim.Step == eviction.Checkpoint)
}

// batch places a job or lets it wait.
func (d *decider) batch(j *job) {
	if j.canceled || j.current != nil || j.done {
		return
	}
	plan := placement.Rank(d.exact(), d.set, d.demand(j.kind, j.number%zones, uint64(j.number)))
	demand := d.size(j.kind)
	for _, candidate := range plan.Candidates[:plan.Count] {
		n := d.find(candidate.Worker)
		if n.account.Reserve(demand) {
			d.startJob(j, n, demand)
			return
		}
	}
	leave, joined := func() bool { return true }, false
	if d.on("queue") {
		leave, joined = d.join(j.number%zones, j.kind, demand, d.w.time(), func(n *node) { d.startJob(j, n, demand) })
	}
	if joined {
		j.leave = func() { leave() }
		return
	}
	d.w.after(time.Second, func() { d.batch(j) })
}

func (d *decider) startJob(j *job, n *node, held resource.Vector) {
	j.leave = nil
	if n.dead || n.leaving {
		n.account.Release(held)
		d.gone[n] = d.gone[n] || n.leaving
		d.w.after(time.Second, func() { d.batch(j) })
		return
	}
	if d.health.Worker(n.id, d.w.time()) == workers.Probing {
		d.health = d.health.Probed(n.id, d.w.time())
	}
	subject := health.Subject(j.name())
	if n.broken {
		d.w.after(failTime, func() {
			n.account.Release(held)
			d.judge(n, subject, false)
			d.freed(n)
			d.w.after(time.Second, func() { d.batch(j) })
		})
		return
	}
	d.count(j.kind, held)
	r := d.w.begin(n, j.kind, held, j.left, j, func() {
		d.judge(n, subject, true)
		d.w.complete(j)
	})
	r.removed = func() { d.count(j.kind, resource.Vector{}.Sub(r.held)) }
}

func (d *decider) urgent(r *request) {
	k := &d.w.kinds[r.kind]
	if d.on("admission") {
		asked := work.Request{Caller: ident.CallerName(k.team), Remaining: deadline}
		release, err := d.gate.Admit(asked, rules.Service{Name: k.name}, d.w.time())
		if err != nil {
			d.w.refuse(r)
			return
		}
		r.release = release
	} else {
		d.budget.Earn()
	}
	r.plan = placement.Rank(d.view, d.set, d.demand(r.kind, r.zone, uint64(r.number)))
	if r.plan.Count == 0 {
		d.wait(r)
		return
	}
	d.attempt(r)
}

func (d *decider) attempt(r *request) {
	if r.over || r.tried >= r.plan.Count {
		return
	}
	n := d.find(r.plan.Candidates[r.tried].Worker)
	r.tried++
	d.w.after(delay(r.zone, n.zone), func() { d.arrive(r, n) })
}

func (d *decider) arrive(r *request, n *node) {
	bound := d.bounds[n]
	switch {
	case n.dead:
		d.w.after(replyLost, func() { d.again(r, fault.New(fault.WorkerUnreachable, "")) })
	case n.leaving:
		d.gone[n] = true
		d.again(r, fault.New(fault.WorkerLeaving, ""))
	case d.kept(r, n):
		d.again(r, fault.New(fault.NoCapacity, ""))
	case d.on("concurrency") && !bound.Acquire():
		d.again(r, fault.New(fault.NoCapacity, ""))
	case !n.account.Reserve(d.w.kinds[r.kind].demand):
		if d.on("concurrency") {
			bound.Cancel()
		}
		d.again(r, fault.New(fault.NoCapacity, ""))
	default:
		d.start(r, n, true)
	}
}

// kept reports whether the owner leaves the node to other urgent work.
func (d *decider) kept(r *request, n *node) bool {
	demand := d.demand(r.kind, r.zone, 0)
	if demand.KeepQuiet == 0 {
		return false
	}
	return placement.Explain(d.zoneOf(n), d.set, demand, n.id) == placement.Kept
}

// again tries another worker or, when none has room, waits for one.
func (d *decider) again(r *request, failure *fault.Failure) {
	if r.over {
		return
	}
	full := failure.Kind == fault.NoCapacity
	if full && d.on("queue") {
		d.wait(r)
		return
	}
	if d.on("retry") && r.tried < r.plan.Count {
		wait, allowed := d.retry.Allow(work.Request{Remaining: deadline}, r.tried, failure, d.w.time())
		if allowed {
			d.w.after(wait, func() { d.attempt(r) })
			return
		}
	}
	if full {
		d.wait(r)
		return
	}
	d.w.fail(r)
}

func (d *decider) wait(r *request) {
	if r.over || r.leave != nil {
		return
	}
	demand := d.w.kinds[r.kind].demand
	if !d.on("queue") {
		d.w.refuse(r)
		return
	}
	due := r.arrived + deadline
	leave, joined := d.join(r.zone, r.kind, demand, epoch.Add(due), func(n *node) {
		r.leave = nil
		if r.over {
			n.account.Release(demand)
			return
		}
		d.start(r, n, false)
	})
	if !joined {
		d.w.refuse(r)
		return
	}
	r.leave = leave
	d.w.after(evictAfter, func() {
		if r.leave != nil && !r.over && d.on("evict") {
			d.victims(d.near(r), demand)
		}
	})
	d.w.after(due-d.w.now, func() {
		if r.leave != nil && r.leave() {
			d.w.refuse(r)
		}
	})
	for _, n := range d.near(r) {
		d.freed(n)
	}
}

// near returns the live nodes of the plan, or of the zone without a plan.
func (d *decider) near(r *request) []*node {
	var found []*node
	for _, candidate := range r.plan.Candidates[:r.plan.Count] {
		found = append(found, d.find(candidate.Worker))
	}
	for _, n := range d.w.nodes {
		if len(found) < placement.MaxCandidates && n.zone == r.zone && !d.gone[n] {
			found = append(found, n)
		}
	}
	return slices.DeleteFunc(found, func(n *node) bool { return n.dead || n.leaving })
}

func (d *decider) start(r *request, n *node, bounded bool) {
	k := &d.w.kinds[r.kind]
	began := d.w.now
	bounded = bounded && d.on("concurrency")
	left := r.left
	if n.broken {
		left = failTime
	}
	d.count(r.kind, k.demand)
	task := d.w.begin(n, r.kind, k.demand, left, nil, func() {
		took := d.w.now - began
		usual := d.times.Estimate(k.name, d.w.time()).Mean
		if bounded {
			d.bounds[n].Release(d.w.time(), took, usual)
		}
		lost := n.dead
		if !n.broken && !lost {
			d.times.Observe(k.name, took, d.w.time())
		}
		if lost {
			d.again(r, fault.New(fault.WorkerLost, ""))
			return
		}
		d.judge(n, subjectOf(k, r.number), !n.broken)
		d.w.after(delay(r.zone, n.zone), func() { d.w.answer(r, !n.broken) })
	})
	task.removed = func() { d.count(r.kind, resource.Vector{}.Sub(k.demand)) }
	r.runs = append(r.runs, task)
	d.hedge(r, k)
}

// hedge sends a second attempt when the first takes longer than most.
func (d *decider) hedge(r *request, k *kind) {
	remaining := r.arrived + deadline - d.w.now
	after, sensible := retry.HedgeAfter(true, d.times.Estimate(k.name, d.w.time()), remaining)
	if !d.on("hedge") || !sensible || r.hedged || r.tried >= r.plan.Count {
		return
	}
	r.hedged = true
	d.w.after(after, func() {
		if !r.over && d.retry.Hedge() {
			d.attempt(r)
		}
	})
}
