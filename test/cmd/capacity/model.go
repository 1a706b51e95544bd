package main

import (
	"fmt"
	"time"
)

// role is what one role of an instance costs.
type role struct {
	name string
	// sent and received are in bytes per second.
	sent     float64
	received float64
	// cpu is in seconds per second.
	cpu float64
	// memory is in bytes of live heap and stacks.
	memory float64
}

// The sources of estimates that no measurement gives.
const (
	// refreshPeriod is the longest time between two summaries of a worker.
	refreshPeriod = 10.0
	// websocketHeader is the header of a short masked message.
	websocketHeader = 6.0
	// candidatesTried is the rankings of one start, with one retry.
	candidatesTried = 2.0
	// messagesPerForward are the forward and the head and frame of its answer.
	messagesPerForward = 3.0
	// heapGrowth is the size of the heap before a collection relative to the
	// live heap, by the default of the runtime.
	heapGrowth = 2.0
	// middleRules selects the rules file of the middle size.
	middleRules = 4
)

// roles returns the costs of the most loaded of a number of instances at the
// peak.
func (s *slopes) roles(n int) []role {
	return []role{s.front(n), s.ownerRole(n), s.home(n), s.follower(n), s.publisher(n), s.memberRole(n)}
}

// message returns the processor time to send or to receive one short message.
// A pair of instances sends and receives two each second.
func (s *slopes) message() float64 { return s.links.cpu / 4 }

// front ranks workers and forwards requests to their owners.
func (s *slopes) front(n int) role {
	starts := startRate / float64(n)
	e := &s.encodings
	return role{
		name:     "front",
		sent:     starts * (float64(e.forward) + websocketHeader),
		received: starts * (float64(e.answer) + 2*websocketHeader),
		cpu:      starts * (candidatesTried*s.versions.rank.Seconds() + messagesPerForward*s.message()),
		memory:   float64(2*s.versions.viewHeap + s.versions.heardHeap),
	}
}

// ownerRole holds sessions with workers and starts tasks.
func (s *slopes) ownerRole(n int) role {
	owned := float64(s.versions.mostWorkers[n])
	starts := startRate * owned / workerCount
	e := &s.encodings
	return role{
		name:     "owner",
		sent:     owned*s.owner.toServer + starts*(s.owner.start.toServer+float64(e.answer)+2*websocketHeader),
		received: owned*s.owner.toClient + starts*(s.owner.start.toClient+float64(e.forward)+websocketHeader),
		cpu:      owned*s.owner.cpu + starts*(s.owner.start.cpu+messagesPerForward*s.message()),
		memory:   owned * s.owner.heap,
	}
}

// home appends the records of its shards and reads them back.
func (s *slopes) home(n int) role {
	shards := float64(s.versions.mostShards[n])
	g := s.grouping[grouped{n, logDelays[0]}]
	records := shards * shardRate
	calls := records * g.calls / g.entries
	bytes := records * float64(s.encodings.life) / recordsPerTask
	return role{
		name:     "home",
		sent:     bytes + calls*s.log.call.toServer + shards*s.log.shard.toServer,
		received: calls*s.log.call.toClient + shards*s.log.shard.toClient,
		cpu:      shards*s.log.shard.cpu + calls*s.log.call.cpu,
		memory:   shards * float64(s.versions.shardHeap),
	}
}

// follower reads the configuration; the members' stream counts for the member.
func (s *slopes) follower(int) role {
	changes := float64(changesPerDay) / secondsPerDay
	return role{
		name:     "follower",
		sent:     s.log.idle.toServer,
		received: s.log.idle.toClient + changes*float64(s.encodings.change[middleRules]),
		cpu:      s.log.idle.cpu + changes*s.versions.parse[middleRules].Seconds(),
		memory:   2 * float64(s.versions.rulesHeap[middleRules]),
	}
}

// publisher keeps the links to its peers and tells them of its workers. It
// builds its view once a second.
func (s *slopes) publisher(n int) role {
	peers := float64(n - 1)
	zonePeers := float64((n+zoneCount-1)/zoneCount - 1)
	inZone := (2*startRate + workerCount/refreshPeriod) / zoneCount
	e := &s.encodings
	single := e.summary
	toPeer := inZone/(zonePeers+1)*single + websocketHeader
	totals := float64(zoneCount-1) * (float64(e.zoneTotal) + websocketHeader)
	return role{
		name:     "publisher",
		sent:     peers*s.links.sent + zonePeers*toPeer + totals,
		received: peers*s.links.sent + zonePeers*toPeer + totals,
		cpu:      peers*s.links.cpu + s.versions.build.Seconds() + s.versions.changed.Seconds(),
		memory:   peers * s.links.heap,
	}
}

// memberRole sends heartbeats and reads those of all members.
func (s *slopes) memberRole(n int) role {
	used := s.log.member[n]
	return role{
		name:     "member",
		sent:     used.toServer,
		received: used.toClient,
		cpu:      used.cpu + s.versions.owners[n].Seconds()*replacedPerSecond,
		memory:   2 * float64(s.versions.memberHeap[n]),
	}
}

// replacedPerSecond is the rate of member changes if all failed and replaced
// instances of a day are members, each with a removal and a join.
const replacedPerSecond = 2 * (17.0 + 74.0) / secondsPerDay

func sum(roles []role) role {
	all := role{name: "sum"}
	for _, r := range roles {
		all.sent += r.sent
		all.received += r.received
		all.cpu += r.cpu
		all.memory += r.memory
	}
	return all
}

func printModel(s slopes) {
	for _, n := range instanceCounts {
		s.printRoles(n)
	}
	s.printSystem()
	s.printSpread()
	s.printTakeover()
	s.printLosses()
}

func (s *slopes) printRoles(n int) {
	t := newTable(fmt.Sprintf("Computed: the most loaded of %d instances at the peak (%d workers, %d shards; rules of %d services)",
		n, s.versions.mostWorkers[n], s.versions.mostShards[n], teamCount*middleRules),
		"role", "sent/s", "received/s", "sum/s", "share of 3 KB/s", "cpu", "live memory")
	roles := s.roles(n)
	for _, r := range append(roles, sum(roles)) {
		t.row(r.name, amount(r.sent), amount(r.received), amount(r.sent+r.received),
			fmt.Sprintf("%.1f x", (r.sent+r.received)/budgetTraffic), share(r.cpu), amount(r.memory))
	}
	t.row("budget", "", "", amount(budgetTraffic), "1.0 x", share(budgetCPU), amount(budgetMemory))
	all := sum(roles)
	t.row("heap before a collection", "", "", "", "", "", amount(heapGrowth*all.memory))
	t.end()
}

// printSystem prints what all instances together put on the log and on the
// link between regions.
func (s *slopes) printSystem() {
	t := newTable("Computed: all instances together at the peak; the store is in the largest region, 4 of 7 zones are in others",
		"instances", "appends/s", "of 200", "reads of members/s", "reads of shards/s", "members to other regions/s", "Hello", "shards with a remote home", "share of 30 Mbit/s")
	for _, n := range instanceCounts {
		g := s.grouping[grouped{n, logDelays[0]}]
		remote := float64(n) * remoteZones / zoneCount
		members := remote * s.log.member[n].bytes()
		hello := (float64(n) - remote) * remote * 2 * s.links.sent
		home := s.home(n)
		shards := (home.sent + home.received) / float64(s.versions.mostShards[n]) * shardCount * remoteZones / zoneCount
		t.row(count(n), fmt.Sprintf("%.0f", g.calls), fmt.Sprintf("%.2f x", g.calls/appendBudget), count(n*n), fmt.Sprintf("%.0f", shardCount*s.log.shardReads),
			amount(members), amount(hello), amount(shards), share((members+hello+shards)/linkBytes))
	}
	t.end()
}

// printSpread prints the time to carry one changed file to the instances of
// the other regions over one link, with nothing else on it.
func (s *slopes) printSpread() {
	t := newTable("Computed: one configuration change over the link between regions (half of it free), and its parse",
		"instances", "services", "record", "bytes over the link", "time on the link", "parse", "config bytes/s per node at 460 changes/day")
	for _, n := range instanceCounts {
		for _, services := range serviceCounts {
			bytes := float64(s.encodings.change[services])
			carried := bytes * float64(n) * remoteZones / zoneCount
			seconds := carried / (linkBytes / 2)
			t.row(count(n), count(teamCount*services), amount(bytes), amount(carried),
				time.Duration(seconds*float64(time.Second)).Round(time.Millisecond).String(),
				s.versions.parse[services].Round(time.Microsecond).String(), amount(bytes*changesPerDay/secondsPerDay))
		}
	}
	t.end()
}

// printTakeover prints what the failure of instances costs those that remain.
func (s *slopes) printTakeover() {
	t := newTable("Computed: takeover after a failure (inventory of every gained worker)",
		"instances", "workers of one instance", "bytes of inventories", "workers of a zone", "bytes of inventories", "members left", "snapshot of a shard (estimate)")
	for _, n := range instanceCounts {
		one := float64(s.versions.mostWorkers[n])
		zone := float64(workerCount) / zoneCount
		t.row(count(n), fmt.Sprintf("%.0f", one), amount(one*s.owner.inventory), fmt.Sprintf("%.0f", zone), amount(zone*s.owner.inventory),
			fmt.Sprintf("%.0f", float64(n)*(zoneCount-1)/zoneCount), amount(float64(s.encodings.shardSnapshot)))
	}
	t.end()
}

// The failures of section 1 of the design.
const (
	failedPerDay   = 17.0
	replacedPerDay = 74.0
	// workersPerRack is the larger of today's two sites.
	workersPerRack = 11.0
	// failureGap is the suspicion and the takeover of section 8, in seconds.
	failureGap = 4.5 + 8
	// handOverGap is the start lease and the margin that a new owner waits after
	// the old one left by its own record, in seconds.
	handOverGap = 3.5
	// runLeaseGap is the run lease and the margin, in seconds.
	runLeaseGap = 20.5
	// recordsPerRestart are Evicted, Placing and Started.
	recordsPerRestart = 3
	// queueLimit is the bound of the queue of an appender, in entries.
	queueLimit = 10_000
)

// printLosses prints what it takes to run lost tasks again, and what a log
// outage adds to the links.
func (s *slopes) printLosses() {
	t := newTable("Computed: tasks lost at once, started again at the peak rate", "loss", "workers", "tasks", "records", "starts take", "until the last start")
	print := func(label string, lost float64) {
		tasks := lost * runningTasks / workerCount
		starts := tasks / startRate
		t.row(label, fmt.Sprintf("%.0f", lost), fmt.Sprintf("%.0f", tasks), fmt.Sprintf("%.0f", tasks*recordsPerRestart),
			fmt.Sprintf("%.0f s", starts), fmt.Sprintf("%.0f s", starts+runLeaseGap))
	}
	print("one worker", 1)
	print("a rack", workersPerRack)
	print("an availability zone", workerCount/zoneCount)
	print("regions without the store, region_cut = refuse", workerCount*remoteZones/zoneCount)
	t.end()
	t = newTable("Computed: a day with 17 failed and 74 replaced instances, all of them entry instances", "instances", "member changes", "worker-seconds without owner: failures", "replacements", "both, of the day", "promises in a log outage, sent/s")
	for _, n := range instanceCounts {
		held := workerCount / float64(n)
		failures := failedPerDay * failureGap * held
		replacements := replacedPerDay * handOverGap * held
		promises := float64(n-1) * (float64(s.encodings.promise) + 2*websocketHeader)
		t.row(count(n), fmt.Sprintf("%.0f", 2*(failedPerDay+replacedPerDay)), fmt.Sprintf("%.0f", failures), fmt.Sprintf("%.0f", replacements), share((failures+replacements)/(workerCount*secondsPerDay)), amount(promises))
	}
	t.end()
	fmt.Printf("\nthe queue of a shard's appender is full after %.0f s without the log at %.1f records/s\n", queueLimit/shardRate, shardRate)
}
