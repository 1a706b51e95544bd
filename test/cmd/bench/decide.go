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
	learnedsizes "poplarvalve/internal/version/sizes"
	"poplarvalve/internal/version/workers"
)

// mechanisms names the mechanisms that an ablation run can disable. Each is
// disabled alone. "spread", "gather" and "quiet" stand for the fields SpreadSeed,
// PreferLoaded and ReservedWorkers of placement.Demand.
var mechanisms = []string{"spread", "interference", "gather", "quiet", "queue", "fairness",
	"admission", "concurrency", "retry", "hedge", "evict", "sizes", "health"}

// ablationPairs lists pairs of mechanisms of which the second one acts when the
// first one fails. The mechanisms of a pair are also disabled together.
var ablationPairs = []string{"quiet+evict", "interference+hedge", "interference+concurrency"}

const (
	// idleWorkersPerZone is the number of idle workers that batch tasks leave
	// free in each zone.
	idleWorkersPerZone = 2
	// maxQueuedPerZone bounds the waiters in the start queue of a zone.
	maxQueuedPerZone = 500
	// evictionsPerMinute is the eviction budget of the whole system.
	evictionsPerMinute = 20
	// evictionDelay is how long an urgent request waits for free capacity before
	// other tasks are evicted for it. Most capacity is freed sooner by tasks
	// that end.
	evictionDelay = 300 * time.Millisecond
	// usageReportDelay is the age of a usage report when it arrives.
	usageReportDelay = 3 * time.Second
	// workerListDelay is the age of the platform's list, so the time until the
	// list shows that a worker is gone.
	workerListDelay = 5 * time.Second
)

// decisionDriver is the policy that runs Poplarvalve's decision code on the
// simulated fleet.
type decisionDriver struct {
	fleet    *fleet
	disabled string

	ruleSet           *rules.Set
	serviceTimes      *limit.ServiceTimes
	retryBudget       *limit.RetryBudget
	gate              *admission.Gate
	retryPolicy       *retry.Policy
	concurrencyLimits map[*node]*limit.Concurrency
	queues            [zoneCount]*queue.Queue

	// view is up to one second old. Owners decide with exact views instead.
	view              *workers.View
	interferenceTable *interference.Table
	learnedSizes      *learnedsizes.Table
	healthState       *health.State
	usedByTeam        map[ident.TeamName]resource.Vector
	totalCapacity     resource.Vector
	knownGone         map[*node]bool
	queuedStarts      []*queuedStart
	kindIndexes       map[queue.WaiterKind]int
	lastFailed        map[health.Subject]bool
	disturbances      []cachedDisturbance
	evictionTimes     []time.Duration
}

// queuedStart is a waiter in a start queue and the function to call when the
// waiter is granted capacity.
type queuedStart struct {
	waiter *queue.Waiter
	resume func(n *node)
}

func newDecisionDriver(simFleet *fleet, disabled string) *decisionDriver {
	ruleSet := &rules.Set{
		Teams: map[ident.TeamName]rules.Team{
			"permits":   {Weight: 8, Reserve: resource.Vector{CPU: 64000, Memory: 128 * 1024}},
			"rebuilds":  {Weight: 2},
			"neighbour": {Weight: 2},
		},
	}
	random := rand.New(rand.NewPCG(5, 5))
	d := &decisionDriver{
		fleet: simFleet, disabled: disabled, ruleSet: ruleSet,
		serviceTimes:      limit.NewServiceTimes(virtualEpoch),
		retryBudget:       limit.NewRetryBudget(),
		concurrencyLimits: map[*node]*limit.Concurrency{},
		usedByTeam:        map[ident.TeamName]resource.Vector{},
		knownGone:         map[*node]bool{},
		kindIndexes:       map[queue.WaiterKind]int{},
		lastFailed:        map[health.Subject]bool{},
		disturbances:      make([]cachedDisturbance, len(simFleet.nodes)),
	}
	d.retryPolicy = retry.NewPolicy(d.retryBudget, random.Float64)
	for _, n := range simFleet.nodes {
		capacity := n.account.Capacity()
		d.totalCapacity = d.totalCapacity.Add(capacity)
		d.concurrencyLimits[n] = limit.NewConcurrency(virtualEpoch, 1, capacity.Connections)
	}
	members := func() int { return 1 }
	d.gate = admission.NewGate(virtualEpoch, publish.New(ruleSet), d.serviceTimes, d.retryBudget, members, d.totalCapacity.Slots)
	for zone := range d.queues {
		d.queues[zone] = queue.New(maxQueuedPerZone)
	}
	d.updateEverySecond()
	return d
}

// enabled reports whether a mechanism is active. disabled names at most two
// mechanisms, joined by "+".
func (d *decisionDriver) enabled(mechanism string) bool {
	first, second, _ := strings.Cut(d.disabled, "+")
	return mechanism != first && mechanism != second
}

// updateEverySecond publishes the next view, schedules usage reports and offers
// free capacity to the queues. It runs again after one second.
func (d *decisionDriver) updateEverySecond() {
	d.view = d.currentView()
	d.scheduleUsageReports()
	d.unthrottle()
	for _, n := range d.fleet.nodes {
		d.onFreed(n)
	}
	d.fleet.schedule(time.Second, d.updateEverySecond)
}

// currentView returns a view of all nodes as they are now.
func (d *decisionDriver) currentView() *workers.View {
	return d.buildView(func(*node) bool { return true })
}

// currentZoneView returns a view of the nodes in one zone as they are now.
func (d *decisionDriver) currentZoneView(of *node) *workers.View {
	return d.buildView(func(n *node) bool { return n.zone == of.zone })
}

func (d *decisionDriver) buildView(include func(*node) bool) *workers.View {
	list := make([]workers.Worker, 0, len(d.fleet.nodes))
	for _, n := range d.fleet.nodes {
		if include(n) {
			list = append(list, d.workerState(n))
		}
	}
	return workers.New(list)
}

// disturbance returns the disturbance of a node. The value is cached and
// computed again when the node's batch tasks or the interference table change.
func (d *decisionDriver) disturbance(n *node) int64 {
	cached := &d.disturbances[n.index]
	if cached.table != d.interferenceTable || cached.changes != n.changes {
		*cached = cachedDisturbance{table: d.interferenceTable, changes: n.changes}
		cached.value = d.interferenceTable.Disturbance([]ident.ServiceName{"check"}, d.batchCounts(n, nil))
	}
	return cached.value
}

// cachedDisturbance is the disturbance of a node and the inputs that it was
// computed from.
type cachedDisturbance struct {
	table   *interference.Table
	changes int
	value   int64
}

func (d *decisionDriver) workerState(n *node) workers.Worker {
	worker := workers.Worker{
		ID: n.id, Zone: zoneName(n.zone), Region: regionName(n.zone),
		Capacity: n.account.Capacity(), Free: n.account.Free(),
		Ready: !d.knownGone[n], Leaving: d.knownGone[n],
	}
	if d.enabled("interference") {
		worker.Disturbance = d.disturbance(n)
	}
	if d.enabled("health") {
		worker.Health = d.healthState.Worker(n.id, d.fleet.clockTime())
	}
	return worker
}

func zoneName(zone int) ident.ZoneName { return ident.ZoneName(rune('a' + zone)) }

// regionName puts the last zone into a separate region.
func regionName(zone int) ident.RegionName {
	if zone == zoneCount-1 {
		return "far"
	}
	return "near"
}

// batchCounts counts the batch tasks of a node by kind.
func (d *decisionDriver) batchCounts(n *node, except *run) []interference.RunningCount {
	var counts [kindCount]int
	for _, r := range n.tasks {
		if r.job != nil && r != except {
			counts[r.kind]++
		}
	}
	var colocated []interference.RunningCount
	for kind, count := range counts {
		if count > 0 {
			colocated = append(colocated, interference.RunningCount{Kind: d.fleet.kinds[kind].name, Count: count})
		}
	}
	return colocated
}

// scheduleUsageReports takes usage measurements of about one node in five, adds
// noise, and applies them after usageReportDelay.
func (d *decisionDriver) scheduleUsageReports() {
	for _, n := range d.fleet.nodes {
		if n.dead || d.fleet.random.IntN(5) != 0 {
			continue
		}
		measuredAt := d.fleet.clockTime()
		slowdown := d.fleet.slowdown(n, checkKind, nil) * (0.95 + 0.1*d.fleet.random.Float64())
		var used []learnedsizes.Report
		for _, r := range n.tasks {
			if r.job != nil && !r.throttled {
				used = append(used, d.usageReport(r))
			}
		}
		d.fleet.schedule(usageReportDelay, func() {
			d.learnedSizes = d.learnedSizes.Add(used)
			d.interferenceTable = d.interferenceTable.Add([]interference.Report{{
				Kind: "check", Colocated: d.batchCounts(n, nil), Slowdown: int64(slowdown * 1000),
				MeasuredAt: measuredAt, LastPlacementChange: virtualEpoch.Add(n.changed),
			}})
			d.resizeRunning(n)
		})
	}
}

func (d *decisionDriver) usageReport(r *run) learnedsizes.Report {
	k := &d.fleet.kinds[r.kind]
	usageFactor := k.usageFactor * (0.9 + 0.2*d.fleet.random.Float64())
	return learnedsizes.Report{Service: k.name, Used: resource.Vector{
		CPU:    int64(usageFactor * float64(k.demand.CPU)),
		Memory: int64(usageFactor * float64(k.demand.Memory)),
	}}
}

func (d *decisionDriver) effectiveDemand(kind int) resource.Vector {
	k := &d.fleet.kinds[kind]
	if !d.enabled("sizes") || k.class != work.Batch {
		return k.demand
	}
	return d.learnedSizes.Size(k.name, k.demand, d.fleet.nodes[0].account.Capacity())
}

// resizeRunning changes the reservations of running batch tasks to their learned
// sizes if the node has the capacity.
func (d *decisionDriver) resizeRunning(n *node) {
	for _, r := range n.tasks {
		if r.job == nil || r.throttled || r.checkpointing {
			continue
		}
		to := d.effectiveDemand(r.kind)
		if n.account.Resize(r.held, to) {
			d.adjustTeamUsage(r.kind, to.Sub(r.held))
			r.held = to
		}
	}
}

func (d *decisionDriver) unthrottle() {
	for _, n := range d.fleet.nodes {
		for _, r := range n.tasks {
			full := d.effectiveDemand(r.kind)
			if r.throttled && n.account.Resize(r.held, full) {
				d.adjustTeamUsage(r.kind, full.Sub(r.held))
				r.held, r.throttled = full, false
				d.fleet.rescheduleEnds(n)
			}
		}
	}
}

// adjustTeamUsage adds a change to the resources held by the team of a kind.
func (d *decisionDriver) adjustTeamUsage(kind int, change resource.Vector) {
	team := d.fleet.kinds[kind].team
	d.usedByTeam[team] = d.usedByTeam[team].Add(change)
}

// recordResult applies a result to the health of a node. A success is recorded
// only if a failure of the node or the subject is known, which leaves out nearly
// all successes.
func (d *decisionDriver) recordResult(n *node, subject health.Subject, success bool) {
	healthy := d.healthState.Worker(n.id, d.fleet.clockTime()) == workers.Healthy
	if success && healthy && !d.lastFailed[subject] {
		return
	}
	d.lastFailed[subject] = !success
	d.healthState = d.healthState.Apply(health.Result{Worker: n.id, Subject: subject, Success: success, At: d.fleet.clockTime()})
}

// subjectsPerService is the number of health subjects into which the requests of
// one service are split, so that a single service can show that a worker fails
// everything.
const subjectsPerService = 32

func healthSubject(k *taskKind, number int) health.Subject {
	return health.Subject(fmt.Sprintf("%s/%d", k.name, number%subjectsPerService))
}

func (d *decisionDriver) nodeByID(id ident.WorkerID) *node {
	at, _ := slices.BinarySearchFunc(d.fleet.nodes, id, func(n *node, id ident.WorkerID) int {
		if n.id < id {
			return -1
		} else if n.id > id {
			return 1
		}
		return 0
	})
	return d.fleet.nodes[at]
}

// queueOrder returns the order in which the start queue serves one offer of
// capacity.
func (d *decisionDriver) queueOrder(n *node) queue.Order {
	var view *workers.View
	now := d.fleet.clockTime()
	grantNumber := uint64(d.fleet.taskCount)
	return queue.Order{
		Less: func(a, b queue.Item) bool {
			if !d.enabled("fairness") {
				return a.Since.Before(b.Since)
			}
			return fairness.Less(d.waitingWork(a), d.waitingWork(b), fairness.Grant{Time: now, Number: grantNumber})
		},
		Allowed: func(item queue.Item) bool {
			demand := d.placementDemand(d.kindIndexes[item.WaiterKind], 0, 0)
			if demand.ReservedWorkers == 0 {
				return true
			}
			if view == nil {
				view = d.currentZoneView(n)
			}
			return placement.Explain(view, d.ruleSet, demand, n.id) == placement.Eligible
		},
		HoldsWorker: func(item queue.Item) bool { return fairness.Aged(item.Since, now) },
	}
}

func (d *decisionDriver) waitingWork(item queue.Item) fairness.WaitingWork {
	team := d.ruleSet.Teams[item.Team]
	return fairness.WaitingWork{
		Class:    item.Class,
		Standing: fairness.StandingOf(team, d.usedByTeam[item.Team], d.totalCapacity),
		Since:    item.Since,
	}
}

// onFreed offers the free capacity of a node to the queues, starting with the
// node's own zone.
func (d *decisionDriver) onFreed(n *node) {
	if n.dead || n.leaving || d.knownGone[n] || len(d.queuedStarts) == 0 {
		return
	}
	offer := queue.Offer{Worker: n.id, Capacity: n.account.Capacity(), Fits: n.account.Fits, Reserve: n.account.Reserve}
	for i := range zoneCount {
		q := d.queues[(n.zone+i)%zoneCount]
		for q.Len() > 0 && q.Grant(offer, d.queueOrder(n)) {
			d.resumeGranted(n)
		}
	}
}

// resumeGranted calls the resume function of the waiter that was granted
// capacity.
func (d *decisionDriver) resumeGranted(n *node) {
	for i, queued := range d.queuedStarts {
		select {
		case <-queued.waiter.Granted():
			d.queuedStarts = slices.Delete(d.queuedStarts, i, i+1)
			queued.resume(n)
			return
		default:
		}
	}
}

// enqueue adds a waiter to the queue of a zone. It returns a function that
// removes the waiter and reports whether it was still queued; the second result
// is false if the queue is full.
func (d *decisionDriver) enqueue(zone, kind int, demand resource.Vector, due time.Time, resume func(*node)) (func() bool, bool) {
	k := &d.fleet.kinds[kind]
	item := queue.Item{WaiterKind: queue.WaiterKind{Class: k.class, Team: k.team, Demand: demand}, Since: d.fleet.clockTime(), Due: due}
	waiter, err := d.queues[zone].Join(item)
	if err != nil {
		return nil, false
	}
	d.kindIndexes[item.WaiterKind] = kind
	queued := &queuedStart{waiter: waiter, resume: resume}
	d.queuedStarts = append(d.queuedStarts, queued)
	return func() bool {
		if !waiter.Leave() {
			return false
		}
		d.queuedStarts = slices.DeleteFunc(d.queuedStarts, func(other *queuedStart) bool { return other == queued })
		return true
	}, true
}

// placementDemand returns the input of the placement ranking for a kind.
func (d *decisionDriver) placementDemand(kind, zone int, spreadSeed uint64) placement.Demand {
	k := &d.fleet.kinds[kind]
	demand := placement.Demand{
		Resources: d.effectiveDemand(kind),
		From:      workers.Origin{Zone: zoneName(zone), Region: regionName(zone)},
	}
	if d.enabled("spread") {
		demand.SpreadSeed = spreadSeed * 0x9e3779b97f4a7c15
	}
	if k.class == work.Batch {
		demand.AllowProbing = true
		demand.PreferLoaded = d.enabled("gather")
	}
	if d.enabled("quiet") && (k.class == work.Batch || d.beyondReserve(k.team)) {
		demand.ReservedWorkers = idleWorkersPerZone
		demand.AddedDisturbance = d.interferenceTable.ExtraPerTask("check", k.name)
	}
	return demand
}

// beyondReserve reports whether a team already holds its reserved minimum while
// another team does not.
func (d *decisionDriver) beyondReserve(name ident.TeamName) bool {
	if fairness.StandingOf(d.ruleSet.Teams[name], d.usedByTeam[name], d.totalCapacity).BelowReserve {
		return false
	}
	for other, team := range d.ruleSet.Teams {
		if fairness.StandingOf(team, d.usedByTeam[other], d.totalCapacity).BelowReserve {
			return true
		}
	}
	return false
}

// evictForUrgent throttles or evicts tasks on the first of the nodes where this
// makes the demand fit.
func (d *decisionDriver) evictForUrgent(from []*node, demand resource.Vector) {
	d.evictionTimes = slices.DeleteFunc(d.evictionTimes, func(at time.Duration) bool { return d.fleet.now-at > time.Minute })
	for _, n := range from {
		chosen := eviction.Choose(eviction.Input{
			Now: d.fleet.clockTime(), Demand: demand, Free: n.account.Free(),
			Tasks: d.evictableTasks(n), EvictionsLeft: evictionsPerMinute - len(d.evictionTimes),
		})
		for _, victim := range chosen {
			d.applyEviction(n, victim)
		}
		if len(chosen) > 0 {
			return
		}
	}
}

func (d *decisionDriver) evictableTasks(n *node) []eviction.Task {
	var tasks []eviction.Task
	for _, r := range n.tasks {
		if r.checkpointing {
			continue
		}
		k := &d.fleet.kinds[r.kind]
		task := eviction.Task{
			ID: r.id, Class: k.class, Policy: k.evictPolicy, Held: r.held, Started: virtualEpoch.Add(r.started),
			CanCheckpoint: k.checkpoint, Throttled: r.throttled,
		}
		if r.job != nil {
			task.Evictions = r.job.evictions
			if r.job.evictions > 0 {
				task.LastEvicted = virtualEpoch.Add(r.job.lastEvicted)
			}
		}
		tasks = append(tasks, task)
	}
	return tasks
}

func (d *decisionDriver) applyEviction(n *node, victim eviction.Victim) {
	at := slices.IndexFunc(n.tasks, func(r *run) bool { return r.id == victim.Task })
	r := n.tasks[at]
	if victim.Step == eviction.Throttle {
		to := r.held.Sub(victim.Freed)
		n.account.Resize(r.held, to)
		d.adjustTeamUsage(r.kind, to.Sub(r.held))
		r.held, r.throttled = to, true
		d.fleet.rescheduleEnds(n)
		return
	}
	d.evictionTimes = append(d.evictionTimes, d.fleet.now)
	d.fleet.evictTask(r, victim.Step == eviction.Checkpoint)
}

// placeBatch starts a job on a ranked worker, or queues it if none has capacity.
func (d *decisionDriver) placeBatch(j *job) {
	if j.canceled || j.current != nil || j.done {
		return
	}
	plan := placement.Rank(d.currentView(), d.ruleSet, d.placementDemand(j.kind, j.number%zoneCount, uint64(j.number)))
	demand := d.effectiveDemand(j.kind)
	for _, candidate := range plan.Candidates[:plan.Count] {
		n := d.nodeByID(candidate.Worker)
		if n.account.Reserve(demand) {
			d.startJob(j, n, demand)
			return
		}
	}
	leaveQueue, joined := func() bool { return true }, false
	if d.enabled("queue") {
		leaveQueue, joined = d.enqueue(j.number%zoneCount, j.kind, demand, d.fleet.clockTime(), func(n *node) { d.startJob(j, n, demand) })
	}
	if joined {
		j.leaveQueue = func() { leaveQueue() }
		return
	}
	d.fleet.schedule(time.Second, func() { d.placeBatch(j) })
}

func (d *decisionDriver) startJob(j *job, n *node, held resource.Vector) {
	j.leaveQueue = nil
	if n.dead || n.leaving {
		n.account.Release(held)
		d.knownGone[n] = d.knownGone[n] || n.leaving
		d.fleet.schedule(time.Second, func() { d.placeBatch(j) })
		return
	}
	if d.healthState.Worker(n.id, d.fleet.clockTime()) == workers.Probing {
		d.healthState = d.healthState.RecordProbe(n.id, d.fleet.clockTime())
	}
	subject := health.Subject(j.name())
	if n.broken {
		d.fleet.schedule(failureDelay, func() {
			n.account.Release(held)
			d.recordResult(n, subject, false)
			d.onFreed(n)
			d.fleet.schedule(time.Second, func() { d.placeBatch(j) })
		})
		return
	}
	d.adjustTeamUsage(j.kind, held)
	r := d.fleet.startTask(n, j.kind, held, j.remaining, j, func() {
		d.recordResult(n, subject, true)
		d.fleet.completeJob(j)
	})
	r.onRemoved = func() { d.adjustTeamUsage(j.kind, resource.Vector{}.Sub(r.held)) }
}

func (d *decisionDriver) placeUrgent(r *request) {
	k := &d.fleet.kinds[r.kind]
	if d.enabled("admission") {
		asked := work.Request{Caller: ident.CallerName(k.team), Remaining: deadline}
		release, err := d.gate.Admit(asked, rules.Service{Name: k.name}, d.fleet.clockTime())
		if err != nil {
			d.fleet.refuseRequest(r)
			return
		}
		r.release = release
	} else {
		d.retryBudget.AddRequest()
	}
	r.plan = placement.Rank(d.view, d.ruleSet, d.placementDemand(r.kind, r.zone, uint64(r.number)))
	if r.plan.Count == 0 {
		d.queueUrgent(r)
		return
	}
	d.tryNextCandidate(r)
}

func (d *decisionDriver) tryNextCandidate(r *request) {
	if r.ended || r.attempts >= r.plan.Count {
		return
	}
	n := d.nodeByID(r.plan.Candidates[r.attempts].Worker)
	r.attempts++
	d.fleet.schedule(networkDelay(r.zone, n.zone), func() { d.startOrRetry(r, n) })
}

func (d *decisionDriver) startOrRetry(r *request, n *node) {
	concurrencyLimit := d.concurrencyLimits[n]
	switch {
	case n.dead:
		d.fleet.schedule(deadWorkerTimeout, func() { d.retryOrQueue(r, fault.New(fault.WorkerUnreachable, "")) })
	case n.leaving:
		d.knownGone[n] = true
		d.retryOrQueue(r, fault.New(fault.WorkerLeaving, ""))
	case d.reservedForUrgent(r, n):
		d.retryOrQueue(r, fault.New(fault.NoCapacity, ""))
	case d.enabled("concurrency") && !concurrencyLimit.Acquire():
		d.retryOrQueue(r, fault.New(fault.NoCapacity, ""))
	case !n.account.Reserve(d.fleet.kinds[r.kind].demand):
		if d.enabled("concurrency") {
			concurrencyLimit.Cancel()
		}
		d.retryOrQueue(r, fault.New(fault.NoCapacity, ""))
	default:
		d.startUrgent(r, n, true)
	}
}

// reservedForUrgent reports whether the owner keeps the node free for other
// urgent requests.
func (d *decisionDriver) reservedForUrgent(r *request, n *node) bool {
	demand := d.placementDemand(r.kind, r.zone, 0)
	if demand.ReservedWorkers == 0 {
		return false
	}
	return placement.Explain(d.currentZoneView(n), d.ruleSet, demand, n.id) == placement.ReservedForUrgent
}

// retryOrQueue handles a failed attempt. It queues the request if the worker had
// no capacity, or tries another worker, or fails the request.
func (d *decisionDriver) retryOrQueue(r *request, failure *fault.Failure) {
	if r.ended {
		return
	}
	noCapacity := failure.Kind == fault.NoCapacity
	if noCapacity && d.enabled("queue") {
		d.queueUrgent(r)
		return
	}
	if d.enabled("retry") && r.attempts < r.plan.Count {
		wait, allowed := d.retryPolicy.Allow(work.Request{Remaining: deadline}, r.attempts, failure, d.fleet.clockTime())
		if allowed {
			d.fleet.schedule(wait, func() { d.tryNextCandidate(r) })
			return
		}
	}
	if noCapacity {
		d.queueUrgent(r)
		return
	}
	d.fleet.failRequest(r)
}

func (d *decisionDriver) queueUrgent(r *request) {
	if r.ended || r.leaveQueue != nil {
		return
	}
	demand := d.fleet.kinds[r.kind].demand
	if !d.enabled("queue") {
		d.fleet.refuseRequest(r)
		return
	}
	due := r.arrived + deadline
	leaveQueue, joined := d.enqueue(r.zone, r.kind, demand, virtualEpoch.Add(due), func(n *node) {
		r.leaveQueue = nil
		if r.ended {
			n.account.Release(demand)
			return
		}
		d.startUrgent(r, n, false)
	})
	if !joined {
		d.fleet.refuseRequest(r)
		return
	}
	r.leaveQueue = leaveQueue
	d.fleet.schedule(evictionDelay, func() {
		if r.leaveQueue != nil && !r.ended && d.enabled("evict") {
			d.evictForUrgent(d.candidateNodes(r), demand)
		}
	})
	d.fleet.schedule(due-d.fleet.now, func() {
		if r.leaveQueue != nil && r.leaveQueue() {
			d.fleet.refuseRequest(r)
		}
	})
	for _, n := range d.candidateNodes(r) {
		d.onFreed(n)
	}
}

// candidateNodes returns the live nodes of the request's placement plan, filled
// up with nodes of its zone.
func (d *decisionDriver) candidateNodes(r *request) []*node {
	var found []*node
	for _, candidate := range r.plan.Candidates[:r.plan.Count] {
		found = append(found, d.nodeByID(candidate.Worker))
	}
	for _, n := range d.fleet.nodes {
		if len(found) < placement.MaxCandidates && n.zone == r.zone && !d.knownGone[n] {
			found = append(found, n)
		}
	}
	return slices.DeleteFunc(found, func(n *node) bool { return n.dead || n.leaving })
}

func (d *decisionDriver) startUrgent(r *request, n *node, countsInLimit bool) {
	k := &d.fleet.kinds[r.kind]
	startTime := d.fleet.now
	countsInLimit = countsInLimit && d.enabled("concurrency")
	remaining := r.remaining
	if n.broken {
		remaining = failureDelay
	}
	d.adjustTeamUsage(r.kind, k.demand)
	task := d.fleet.startTask(n, r.kind, k.demand, remaining, nil, func() {
		took := d.fleet.now - startTime
		expected := d.serviceTimes.Estimate(k.name, d.fleet.clockTime()).Mean
		if countsInLimit {
			d.concurrencyLimits[n].Release(d.fleet.clockTime(), took, expected)
		}
		lost := n.dead
		if !n.broken && !lost {
			d.serviceTimes.Observe(k.name, took, d.fleet.clockTime())
		}
		if lost {
			d.retryOrQueue(r, fault.New(fault.WorkerLost, ""))
			return
		}
		d.recordResult(n, healthSubject(k, r.number), !n.broken)
		d.fleet.schedule(networkDelay(r.zone, n.zone), func() { d.fleet.answerRequest(r, !n.broken) })
	})
	task.onRemoved = func() { d.adjustTeamUsage(r.kind, resource.Vector{}.Sub(k.demand)) }
	r.runs = append(r.runs, task)
	d.scheduleHedge(r, k)
}

// scheduleHedge sends a second attempt if the first one takes longer than most
// requests of the service.
func (d *decisionDriver) scheduleHedge(r *request, k *taskKind) {
	remaining := r.arrived + deadline - d.fleet.now
	delay, sensible := retry.HedgeAfter(true, d.serviceTimes.Estimate(k.name, d.fleet.clockTime()), remaining)
	if !d.enabled("hedge") || !sensible || r.hedged || r.attempts >= r.plan.Count {
		return
	}
	r.hedged = true
	d.fleet.schedule(delay, func() {
		if !r.ended && d.retryPolicy.AllowHedge() {
			d.tryNextCandidate(r)
		}
	})
}
