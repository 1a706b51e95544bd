package main

import (
	"fmt"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/request/placement"
	"poplarvalve/internal/version/config"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/ownership"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
)

var taskDemand = resource.Vector{CPU: 250, Memory: 512, Slots: 1, Connections: 1}

var workerCounts = []int{50, 200, workerCount}

// serviceCounts are numbers of services for each team, which give a small, a
// middle and a large rules file.
var serviceCounts = []int{1, 4, 16}

// decisionCosts holds the costs of decisions and of applying records at the size
// that is expected in two years.
type decisionCosts struct {
	// heartbeatTime is the time to apply one heartbeat, by the number of
	// members.
	heartbeatTime map[int]time.Duration
	// ownersTime is the time to derive all owners and homes, by the number of
	// members.
	ownersTime map[int]time.Duration
	// mostWorkers and mostShards are the numbers of workers and shards of the
	// most loaded member, by the number of members.
	mostWorkers    map[int]int
	mostShards     map[int]int
	viewBuildTime  time.Duration
	changedTime    time.Duration
	rankTime       time.Duration
	rulesApplyTime map[int]time.Duration
	// The sizes of live values, in bytes.
	viewHeap      int64
	summariesHeap int64
	rulesHeap     map[int]int64
	memberHeap    map[int]int64
	shardHeap     int64
}

func measureDecisions() decisionCosts {
	d := decisionCosts{
		heartbeatTime: map[int]time.Duration{}, ownersTime: map[int]time.Duration{},
		mostWorkers: map[int]int{}, mostShards: map[int]int{},
		rulesApplyTime: map[int]time.Duration{}, rulesHeap: map[int]int64{}, memberHeap: map[int]int64{},
	}
	d.measureMembers()
	d.measureOwners()
	d.measureViews()
	d.measureRules()
	d.measureShards()
	return d
}

func (d *decisionCosts) measureMembers() {
	t := newTable("Membership: applying one heartbeat, 512 departures kept", "members", "time", "allocated", "heap of a state")
	for _, n := range instanceCounts {
		state := membershipState(n)
		envelope := record.Envelope{ID: "heartbeat", Writer: incarnation(n - 1), Record: record.Heartbeat{AppliedOffset: state.Offset}}
		apply := benchmark(func() { membership.Apply(state, state.Offset+1, envelope) })
		d.heartbeatTime[n] = apply.duration
		d.memberHeap[n] = heapBytesOf(func() any { return membershipState(n) })
		t.row(formatCount(n), apply.duration.String(), formatBytes(float64(apply.allocated)), formatBytes(float64(d.memberHeap[n])))
	}
	t.end()
}

func (d *decisionCosts) measureOwners() {
	t := newTable("Ownership: table, owners of all workers, homes of all shards", "members", "workers", "time", "most workers at one", "most shards at one")
	for _, n := range instanceCounts {
		state := membershipState(n)
		for _, size := range workerCounts {
			list := listedWorkers(size)
			all := benchmark(func() { ownershipLoad(state, list) })
			mostWorkers, mostShards := ownershipLoad(state, list)
			t.row(formatCount(n), formatCount(size), all.duration.String(), formatCount(mostWorkers), formatCount(mostShards))
			d.ownersTime[n], d.mostWorkers[n], d.mostShards[n] = all.duration, mostWorkers, mostShards
		}
	}
	t.end()
}

// ownershipLoad derives all owners and homes and returns the largest numbers of
// workers and shards that one member has.
func ownershipLoad(state *membership.State, list []workers.ListedWorker) (mostWorkers, mostShards int) {
	derived := ownership.New(state)
	held := map[ident.Incarnation]int{}
	for _, worker := range list {
		owner, _ := derived.Owner(worker.ID, worker.Zone, worker.Region)
		held[owner.ID]++
		mostWorkers = max(mostWorkers, held[owner.ID])
	}
	homes := map[ident.Incarnation]int{}
	for shard := range ident.Shard(shardCount) {
		home, _ := derived.Home(shard)
		homes[home.ID]++
		mostShards = max(mostShards, homes[home.ID])
	}
	return mostWorkers, mostShards
}

func viewSources(size int) workers.Sources {
	from := workers.Sources{Now: time.Unix(1000, 0), Listed: listedWorkers(size), Summaries: map[ident.WorkerID]workers.ReceivedSummary{}}
	for _, worker := range ownedWorkers(size) {
		from.Summaries[worker.Worker] = workers.ReceivedSummary{Summary: workers.Summarize(worker), ReceivedAt: from.Now}
	}
	return from
}

func (d *decisionCosts) measureViews() {
	t := newTable("Worker view, summaries, placement", "workers", "build", "heap of a view", "heap of received summaries", "SelectChanged (none changed)", "Rank", "Rank allocates")
	set, _ := rules.Parse("rules", rulesText(1))
	for _, size := range workerCounts {
		from := viewSources(size)
		view := workers.Build(nil, from)
		build := benchmark(func() { view = workers.Build(view, from) })
		reported := ownedWorkers(size)
		_, sent := workers.SelectChanged(nil, reported, from.Now)
		changed := benchmark(func() { workers.SelectChanged(sent, reported, from.Now) })
		place := workers.Origin{Zone: zones[0].name, Region: zones[0].region}
		rank := benchmark(func() { placement.Rank(view, set, placement.Demand{Resources: taskDemand, From: place}) })
		d.viewHeap = heapBytesOf(func() any { return workers.Build(nil, viewSources(size)) })
		d.summariesHeap = heapBytesOf(func() any { return viewSources(size) })
		t.row(formatCount(size), build.duration.String(), formatBytes(float64(d.viewHeap)), formatBytes(float64(d.summariesHeap)),
			changed.duration.String(), rank.duration.String(), formatBytes(float64(rank.allocated)))
		d.viewBuildTime, d.changedTime, d.rankTime = build.duration, changed.duration, rank.duration
	}
	t.end()
}

func (d *decisionCosts) measureRules() {
	t := newTable("Rules of 270 teams", "services", "file", "parse", "applying a change to the config", "allocated", "heap of a set")
	for _, services := range serviceCounts {
		text := rulesText(services)
		if _, problems := rules.Parse("rules", text); len(problems) > 0 {
			fmt.Println("the rules were refused:", problems[0])
		}
		parse := benchmark(func() { rules.Parse("rules", text) })
		state := config.NewState(1)
		envelope := record.Envelope{ID: "change", Record: record.RulesChange{Rules: text, Author: "platform-desk"}}
		apply := benchmark(func() { config.Applier{}.Apply(state, 1, envelope) })
		d.rulesApplyTime[services] = apply.duration
		d.rulesHeap[services] = heapBytesOf(func() any { return config.Applier{}.Apply(state, 1, envelope) })
		t.row(formatCount(teamCount*services), formatBytes(float64(len(text))), parse.duration.String(), apply.duration.String(),
			formatBytes(float64(apply.allocated)), formatBytes(float64(d.rulesHeap[services])))
	}
	t.end()
}

func (d *decisionCosts) measureShards() {
	t := newTable("Jobs of one shard in memory (estimate: a map of work.Job and work.JobStatus)", "jobs", "heap")
	for _, jobs := range []int{200, 1000, runningTasks / shardCount} {
		d.shardHeap = heapBytesOf(func() any { return storedJobs(jobs, 0) })
		t.row(formatCount(jobs), formatBytes(float64(d.shardHeap)))
	}
	t.end()
}
