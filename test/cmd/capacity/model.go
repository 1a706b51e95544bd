package main

import (
	"fmt"
	"time"
)

// role holds the costs of one role of an instance.
type role struct {
	name string
	// sent and received are in bytes per second.
	sent     float64
	received float64
	// cpu is in processor seconds per second.
	cpu float64
	// memory is in bytes of live heap and stacks.
	memory float64
}

// Estimates for what no measurement gives.
const (
	// summaryRefreshSeconds is the longest time between two summaries of a
	// worker.
	summaryRefreshSeconds = 10.0
	// websocketHeaderBytes is the size of the header of a short masked message.
	websocketHeaderBytes = 6.0
	// rankingsPerStart counts the placement rankings of one start, with one
	// retry.
	rankingsPerStart = 2.0
	// messagesPerForward counts the Forward message and the head and the frame
	// of its answer.
	messagesPerForward = 3.0
	// heapGrowthFactor is the size of the heap before a collection relative to
	// the live heap, by the default of the Go runtime.
	heapGrowthFactor = 2.0
	// middleServices selects the rules file of the middle size, by services for
	// each team.
	middleServices = 4
)

// roles returns the costs, at the peak load, of the most loaded of n instances.
func (u *unitCosts) roles(n int) []role {
	return []role{u.entryRole(n), u.ownerRole(n), u.homeRole(n), u.configRole(n), u.publisherRole(n), u.memberRole(n)}
}

// messageCPU returns the processor time, in seconds, to send or to receive one
// short message. Each second, a pair of instances sends two and receives two.
func (u *unitCosts) messageCPU() float64 { return u.links.cpu / 4 }

// entryRole ranks workers and forwards requests to the owners of the workers.
func (u *unitCosts) entryRole(n int) role {
	starts := startsPerSecond / float64(n)
	e := &u.encodings
	return role{
		name:     "front",
		sent:     starts * (float64(e.forward) + websocketHeaderBytes),
		received: starts * (float64(e.answer) + 2*websocketHeaderBytes),
		cpu:      starts * (rankingsPerStart*u.decisions.rankTime.Seconds() + messagesPerForward*u.messageCPU()),
		memory:   float64(2*u.decisions.viewHeap + u.decisions.summariesHeap),
	}
}

// ownerRole keeps sessions with workers and starts tasks.
func (u *unitCosts) ownerRole(n int) role {
	owned := float64(u.decisions.mostWorkers[n])
	starts := startsPerSecond * owned / workerCount
	e := &u.encodings
	return role{
		name:     "owner",
		sent:     owned*u.owner.toServer + starts*(u.owner.start.toServer+float64(e.answer)+2*websocketHeaderBytes),
		received: owned*u.owner.toClient + starts*(u.owner.start.toClient+float64(e.forward)+websocketHeaderBytes),
		cpu:      owned*u.owner.cpu + starts*(u.owner.start.cpu+messagesPerForward*u.messageCPU()),
		memory:   owned * u.owner.heap,
	}
}

// homeRole appends the records of the instance's shards and reads them back.
func (u *unitCosts) homeRole(n int) role {
	shards := float64(u.decisions.mostShards[n])
	batching := u.batching[batchingCase{n, appendDelays[0]}]
	records := shards * shardRate
	calls := records * batching.callsPerSecond / batching.entriesPerSecond
	bytes := records * float64(u.encodings.jobRecords) / recordsPerTask
	return role{
		name:     "home",
		sent:     bytes + calls*u.log.appendCall.toServer + shards*u.log.shardFollower.toServer,
		received: calls*u.log.appendCall.toClient + shards*u.log.shardFollower.toClient,
		cpu:      shards*u.log.shardFollower.cpu + calls*u.log.appendCall.cpu,
		memory:   shards * float64(u.decisions.shardHeap),
	}
}

// configRole follows the configuration stream. The stream of the members is
// counted in memberRole.
func (u *unitCosts) configRole(int) role {
	changes := float64(changesPerDay) / secondsPerDay
	return role{
		name:     "follower",
		sent:     u.log.idleFollower.toServer,
		received: u.log.idleFollower.toClient + changes*float64(u.encodings.rulesChange[middleServices]),
		cpu:      u.log.idleFollower.cpu + changes*u.decisions.rulesApplyTime[middleServices].Seconds(),
		memory:   2 * float64(u.decisions.rulesHeap[middleServices]),
	}
}

// publisherRole keeps the links to the peers and sends them summaries of the
// instance's workers. It builds a view of the workers once a second.
func (u *unitCosts) publisherRole(n int) role {
	peers := float64(n - 1)
	zonePeers := float64((n+zoneCount-1)/zoneCount - 1)
	zoneUpdatesPerSecond := (2*startsPerSecond + workerCount/summaryRefreshSeconds) / zoneCount
	e := &u.encodings
	summaryBytes := e.summary
	bytesPerPeer := zoneUpdatesPerSecond/(zonePeers+1)*summaryBytes + websocketHeaderBytes
	totals := float64(zoneCount-1) * (float64(e.zoneTotal) + websocketHeaderBytes)
	return role{
		name:     "publisher",
		sent:     peers*u.links.sent + zonePeers*bytesPerPeer + totals,
		received: peers*u.links.sent + zonePeers*bytesPerPeer + totals,
		cpu:      peers*u.links.cpu + u.decisions.viewBuildTime.Seconds() + u.decisions.changedTime.Seconds(),
		memory:   peers * u.links.heap,
	}
}

// memberRole sends heartbeats and reads those of all members.
func (u *unitCosts) memberRole(n int) role {
	used := u.log.memberAgent[n]
	return role{
		name:     "member",
		sent:     used.toServer,
		received: used.toClient,
		cpu:      used.cpu + u.decisions.ownersTime[n].Seconds()*memberChangesPerSecond,
		memory:   2 * float64(u.decisions.memberHeap[n]),
	}
}

// memberChangesPerSecond assumes that all failed and replaced instances of a day
// are members, and counts a removal and a join for each.
const memberChangesPerSecond = 2 * (17.0 + 74.0) / secondsPerDay

func sumRoles(roles []role) role {
	all := role{name: "sum"}
	for _, r := range roles {
		all.sent += r.sent
		all.received += r.received
		all.cpu += r.cpu
		all.memory += r.memory
	}
	return all
}

func printModel(u unitCosts) {
	for _, n := range instanceCounts {
		u.printRoles(n)
	}
	u.printSystem()
	u.printConfigPropagation()
	u.printTakeover()
	u.printLosses()
}

func (u *unitCosts) printRoles(n int) {
	t := newTable(fmt.Sprintf("Computed: the most loaded of %d instances at the peak (%d workers, %d shards; rules of %d services)",
		n, u.decisions.mostWorkers[n], u.decisions.mostShards[n], teamCount*middleServices),
		"role", "sent/s", "received/s", "sum/s", "share of 3 KB/s", "cpu", "live memory")
	roles := u.roles(n)
	for _, r := range append(roles, sumRoles(roles)) {
		t.row(r.name, formatBytes(r.sent), formatBytes(r.received), formatBytes(r.sent+r.received),
			fmt.Sprintf("%.1f x", (r.sent+r.received)/trafficBudget), formatShare(r.cpu), formatBytes(r.memory))
	}
	t.row("budget", "", "", formatBytes(trafficBudget), "1.0 x", formatShare(cpuBudget), formatBytes(memoryBudget))
	all := sumRoles(roles)
	t.row("heap before a collection", "", "", "", "", "", formatBytes(heapGrowthFactor*all.memory))
	t.end()
}

// printSystem prints the load of all instances together on the log and on the
// link between regions.
func (u *unitCosts) printSystem() {
	t := newTable("Computed: all instances together at the peak; the store is in the largest region, 4 of 7 zones are in others",
		"instances", "appends/s", "of 200", "reads of members/s", "reads of shards/s", "members to other regions/s", "Hello", "shards with a remote home", "share of 30 Mbit/s")
	for _, n := range instanceCounts {
		batching := u.batching[batchingCase{n, appendDelays[0]}]
		remote := float64(n) * remoteZones / zoneCount
		members := remote * u.log.memberAgent[n].totalBytes()
		hello := (float64(n) - remote) * remote * 2 * u.links.sent
		home := u.homeRole(n)
		shards := (home.sent + home.received) / float64(u.decisions.mostShards[n]) * shardCount * remoteZones / zoneCount
		t.row(formatCount(n), fmt.Sprintf("%.0f", batching.callsPerSecond), fmt.Sprintf("%.2f x", batching.callsPerSecond/appendsPerSecond), formatCount(n*n), fmt.Sprintf("%.0f", shardCount*u.log.shardReads),
			formatBytes(members), formatBytes(hello), formatBytes(shards), formatShare((members+hello+shards)/linkBytesPerSecond))
	}
	t.end()
}

// printConfigPropagation prints the time to send one changed rules file to the
// instances of the other regions over one link that carries nothing else.
func (u *unitCosts) printConfigPropagation() {
	t := newTable("Computed: one configuration change over the link between regions (half of it free), and its parse",
		"instances", "services", "record", "bytes over the link", "time on the link", "parse", "config bytes/s per node at 460 changes/day")
	for _, n := range instanceCounts {
		for _, services := range serviceCounts {
			bytes := float64(u.encodings.rulesChange[services])
			carried := bytes * float64(n) * remoteZones / zoneCount
			seconds := carried / (linkBytesPerSecond / 2)
			t.row(formatCount(n), formatCount(teamCount*services), formatBytes(bytes), formatBytes(carried),
				time.Duration(seconds*float64(time.Second)).Round(time.Millisecond).String(),
				u.decisions.rulesApplyTime[services].Round(time.Microsecond).String(), formatBytes(bytes*changesPerDay/secondsPerDay))
		}
	}
	t.end()
}

// printTakeover prints what the failure of an instance or a zone costs the
// remaining instances.
func (u *unitCosts) printTakeover() {
	t := newTable("Computed: takeover after a failure (inventory of every gained worker)",
		"instances", "workers of one instance", "bytes of inventories", "workers of a zone", "bytes of inventories", "members left", "snapshot of a shard (estimate)")
	for _, n := range instanceCounts {
		one := float64(u.decisions.mostWorkers[n])
		zone := float64(workerCount) / zoneCount
		t.row(formatCount(n), fmt.Sprintf("%.0f", one), formatBytes(one*u.owner.inventoryBytes), fmt.Sprintf("%.0f", zone), formatBytes(zone*u.owner.inventoryBytes),
			fmt.Sprintf("%.0f", float64(n)*(zoneCount-1)/zoneCount), formatBytes(float64(u.encodings.shardSnapshot)))
	}
	t.end()
}

// Failure rates and delays from section 1 of the design. The delays are in
// seconds.
const (
	failedPerDay   = 17.0
	replacedPerDay = 74.0
	// workersPerRack is the number of workers of a rack at the larger of today's
	// two sites.
	workersPerRack = 11.0
	// failureGapSeconds is the time until a failed member is suspected plus the
	// time of the takeover, by section 8.
	failureGapSeconds = 4.5 + 8
	// handOverGapSeconds is the start lease plus the margin, which a new owner
	// waits after the old one left with a Leave record.
	handOverGapSeconds = 3.5
	// runLeaseGapSeconds is the run lease plus the margin.
	runLeaseGapSeconds = 20.5
	// recordsPerRestart counts the AttemptEnded, AttemptPlaced and AttemptStarted
	// records.
	recordsPerRestart = 3
	// appenderQueueEntries bounds the queue of an appender.
	appenderQueueEntries = 10_000
)

// printLosses prints how long it takes to restart lost tasks, what failed and
// replaced instances cost in a day, and the traffic of lease grants during a log
// outage.
func (u *unitCosts) printLosses() {
	t := newTable("Computed: tasks lost at once, started again at the peak rate", "loss", "workers", "tasks", "records", "starts take", "until the last start")
	printRow := func(label string, lost float64) {
		tasks := lost * runningTasks / workerCount
		starts := tasks / startsPerSecond
		t.row(label, fmt.Sprintf("%.0f", lost), fmt.Sprintf("%.0f", tasks), fmt.Sprintf("%.0f", tasks*recordsPerRestart),
			fmt.Sprintf("%.0f s", starts), fmt.Sprintf("%.0f s", starts+runLeaseGapSeconds))
	}
	printRow("one worker", 1)
	printRow("a rack", workersPerRack)
	printRow("an availability zone", workerCount/zoneCount)
	printRow("regions without the store, region_cut = refuse", workerCount*remoteZones/zoneCount)
	t.end()
	t = newTable("Computed: a day with 17 failed and 74 replaced instances, all of them entry instances", "instances", "member changes", "worker-seconds without owner: failures", "replacements", "both, of the day", "lease grants in a log outage, sent/s")
	for _, n := range instanceCounts {
		held := workerCount / float64(n)
		failures := failedPerDay * failureGapSeconds * held
		replacements := replacedPerDay * handOverGapSeconds * held
		leaseGrants := float64(n-1) * (float64(u.encodings.leaseGrant) + 2*websocketHeaderBytes)
		t.row(formatCount(n), fmt.Sprintf("%.0f", 2*(failedPerDay+replacedPerDay)), fmt.Sprintf("%.0f", failures), fmt.Sprintf("%.0f", replacements), formatShare((failures+replacements)/(workerCount*secondsPerDay)), formatBytes(leaseGrants))
	}
	t.end()
	fmt.Printf("\nthe queue of a shard's appender is full after %.0f s without the log at %.1f records/s\n", appenderQueueEntries/shardRate, shardRate)
}
