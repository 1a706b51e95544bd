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

var demand = resource.Vector{CPU: 250, Memory: 512, Slots: 1, Connections: 1}

var workerCounts = []int{50, 200, workerCount}

// serviceCounts are services for each team: a small, a middle and a large file.
var serviceCounts = []int{1, 4, 16}

// versions are the costs of decisions and folds at the two-year size.
type versions struct {
	// heartbeat is the fold of one heartbeat, by members.
	heartbeat map[int]time.Duration
	// owners is the derivation of all owners and homes, by members.
	owners map[int]time.Duration
	// mostWorkers and mostShards are the load of the most loaded member.
	mostWorkers map[int]int
	mostShards  map[int]int
	build       time.Duration
	changed     time.Duration
	rank        time.Duration
	parse       map[int]time.Duration
	// The sizes of live values in bytes.
	viewHeap   int64
	heardHeap  int64
	rulesHeap  map[int]int64
	memberHeap map[int]int64
	shardHeap  int64
}

func measureVersions() versions {
	v := versions{
		heartbeat: map[int]time.Duration{}, owners: map[int]time.Duration{},
		mostWorkers: map[int]int{}, mostShards: map[int]int{},
		parse: map[int]time.Duration{}, rulesHeap: map[int]int64{}, memberHeap: map[int]int64{},
	}
	v.measureMembers()
	v.measureOwners()
	v.measureViews()
	v.measureRules()
	v.measureShards()
	return v
}

func (v *versions) measureMembers() {
	t := newTable("Fold of membership, one heartbeat, 512 departures kept", "members", "time", "allocated", "heap of a state")
	for _, n := range instanceCounts {
		state := members(n)
		envelope := record.Envelope{ID: "heartbeat", Writer: incarnation(n - 1), Record: record.Heartbeat{Folded: state.Offset}}
		fold := bench(func() { membership.Apply(state, state.Offset+1, envelope) })
		v.heartbeat[n] = fold.time
		v.memberHeap[n] = heapOf(func() any { return members(n) })
		t.row(count(n), fold.time.String(), amount(float64(fold.allocated)), amount(float64(v.memberHeap[n])))
	}
	t.end()
}

func (v *versions) measureOwners() {
	t := newTable("Ownership: table, owners of all workers, homes of all shards", "members", "workers", "time", "most workers at one", "most shards at one")
	for _, n := range instanceCounts {
		state := members(n)
		for _, size := range workerCounts {
			list := listed(size)
			all := bench(func() { owners(state, list) })
			mostWorkers, mostShards := owners(state, list)
			t.row(count(n), count(size), all.time.String(), count(mostWorkers), count(mostShards))
			v.owners[n], v.mostWorkers[n], v.mostShards[n] = all.time, mostWorkers, mostShards
		}
	}
	t.end()
}

// owners derives every owner and home and returns the most that one member has.
func owners(state *membership.State, list []workers.Listed) (mostWorkers, mostShards int) {
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

func sources(size int) workers.Sources {
	from := workers.Sources{Now: time.Unix(1000, 0), Listed: listed(size), Heard: map[ident.WorkerID]workers.Heard{}}
	for _, worker := range owned(size) {
		from.Heard[worker.Worker] = workers.Heard{Summary: workers.Summarize(worker), Arrived: from.Now}
	}
	return from
}

func (v *versions) measureViews() {
	t := newTable("Worker view, summaries, placement", "workers", "build", "heap of a view", "heap of summaries heard", "Changed (none changed)", "Rank", "Rank allocates")
	set, _ := rules.Parse("rules", rulesText(1))
	for _, size := range workerCounts {
		from := sources(size)
		view := workers.Build(nil, from)
		build := bench(func() { view = workers.Build(view, from) })
		reported := owned(size)
		_, sent := workers.Changed(nil, reported, from.Now)
		changed := bench(func() { workers.Changed(sent, reported, from.Now) })
		place := workers.Place{Zone: zones[0].name, Region: zones[0].region}
		rank := bench(func() { placement.Rank(view, set, placement.Demand{Resources: demand, From: place}) })
		v.viewHeap = heapOf(func() any { return workers.Build(nil, sources(size)) })
		v.heardHeap = heapOf(func() any { return sources(size) })
		t.row(count(size), build.time.String(), amount(float64(v.viewHeap)), amount(float64(v.heardHeap)),
			changed.time.String(), rank.time.String(), amount(float64(rank.allocated)))
		v.build, v.changed, v.rank = build.time, changed.time, rank.time
	}
	t.end()
}

func (v *versions) measureRules() {
	t := newTable("Rules of 270 teams", "services", "file", "parse", "config fold of a change", "allocated", "heap of a set")
	for _, services := range serviceCounts {
		text := rulesText(services)
		if _, problems := rules.Parse("rules", text); len(problems) > 0 {
			fmt.Println("the rules were refused:", problems[0])
		}
		parse := bench(func() { rules.Parse("rules", text) })
		state := config.Start(1)
		envelope := record.Envelope{ID: "change", Record: record.Change{Rules: text, Author: "platform-desk"}}
		fold := bench(func() { config.Fold{}.Apply(state, 1, envelope) })
		v.parse[services] = fold.time
		v.rulesHeap[services] = heapOf(func() any { return config.Fold{}.Apply(state, 1, envelope) })
		t.row(count(teamCount*services), amount(float64(len(text))), parse.time.String(), fold.time.String(),
			amount(float64(fold.allocated)), amount(float64(v.rulesHeap[services])))
	}
	t.end()
}

func (v *versions) measureShards() {
	t := newTable("Jobs of one shard in memory (estimate: a map of work.Job and work.JobStatus)", "jobs", "heap")
	for _, jobs := range []int{200, 1000, runningTasks / shardCount} {
		v.shardHeap = heapOf(func() any { return storedJobs(jobs, 0) })
		t.row(count(jobs), amount(float64(v.shardHeap)))
	}
	t.end()
}
