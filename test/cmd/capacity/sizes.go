package main

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/google/uuid"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/workers"
)

// The size of the system that is expected in two years, from section 1 of the
// design. Rates are per second unless the name says otherwise.
const (
	workerCount        = 1100
	zoneCount          = 7
	remoteZones        = 4
	teamCount          = 270
	startsPerSecond    = 84.0
	jobsPerDay         = 18_000
	runningTasks       = 2_500 + 29_000
	changesPerDay      = 460
	shardCount         = 16
	appendsPerSecond   = 200.0
	linkBytesPerSecond = 30e6 / 8
	recordsPerTask     = 5
	secondsPerDay      = 86_400
	// tasksPerWorker is the mean number of running tasks on a worker, rounded
	// up.
	tasksPerWorker = (runningTasks + workerCount - 1) / workerCount
)

// The budgets of one node, from section 1 of the design: cores, bytes, and bytes
// per second.
const (
	cpuBudget     = 0.043
	memoryBudget  = 256e6
	trafficBudget = 3000.0
)

// seed makes identifiers and arrival times the same in every run.
const seed = 20261204

var instanceCounts = []int{8, 21, 40}

var zones = [zoneCount]struct {
	name   ident.ZoneName
	region ident.RegionName
}{
	{"cascades-a", "cascades"}, {"cascades-b", "cascades"}, {"cascades-c", "cascades"},
	{"olympic-a", "olympic"}, {"olympic-b", "olympic"},
	{"attiki-a", "attiki"}, {"attiki-b", "attiki"},
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// randomID returns an identifier of the length of a UUID.
func randomID(random *rand.Rand) string {
	var raw uuid.UUID
	for i := range raw {
		raw[i] = byte(random.Uint32())
	}
	return raw.String()
}

func incarnation(number int) ident.Incarnation {
	random := rand.New(rand.NewPCG(seed, uint64(number)))
	zone := zones[number%zoneCount].name
	return ident.Incarnation{
		Instance: ident.InstanceName(fmt.Sprintf("entry-%s-%d", zone, number/zoneCount)),
		Nonce:    random.Uint64(),
	}
}

func member(number int) membership.Member {
	return membership.Member{
		ID:            incarnation(number),
		PeerAddress:   fmt.Sprintf("10.1.%d.%d:7400", number%zoneCount, number),
		Zone:          zones[number%zoneCount].name,
		Region:        zones[number%zoneCount].region,
		Joined:        100_000_000,
		LastHeartbeat: 100_000_000,
		Folded:        100_000_000,
	}
}

// membershipState returns a state of count members with 512 departures. This is
// the largest number that a state keeps; it is reached after six days with 91
// replaced instances each.
func membershipState(count int) *membership.State {
	state := &membership.State{}
	offset := ident.Offset(0)
	apply := func(writer ident.Incarnation, body record.Record) {
		offset++
		envelope := record.Envelope{ID: ident.RecordID(fmt.Sprint(offset)), Writer: writer, Record: body}
		state = membership.Apply(state, offset, envelope)
	}
	join := func(number int) {
		m := member(number)
		apply(m.ID, record.Join{PeerAddress: m.PeerAddress, Zone: m.Zone, Region: m.Region})
	}
	for past := range 512 {
		join(1000 + past)
		apply(incarnation(1000+past), record.Leave{})
	}
	for number := range count {
		join(number)
	}
	return state
}

var workerCapacity = resource.Vector{CPU: 32_000, Memory: 125_000, Slots: 32, Connections: 64}

func workerID(number int) ident.WorkerID {
	return ident.WorkerID(fmt.Sprintf("%s-%04d", zones[number%zoneCount].name, number))
}

func listedWorkers(count int) []workers.ListedWorker {
	list := make([]workers.ListedWorker, count)
	for i := range list {
		zone := zones[i%zoneCount]
		list[i] = workers.ListedWorker{
			ID: workerID(i), Address: fmt.Sprintf("10.2.%d.%d:8080", i/250, i%250),
			Zone: zone.name, Region: zone.region, Rack: fmt.Sprintf("%s-r%d", zone.name, i/56), Capacity: workerCapacity,
		}
	}
	return list
}

func ownedWorkers(count int) []workers.OwnedWorker {
	random := newRandom()
	list := make([]workers.OwnedWorker, count)
	for i := range list {
		free := workerCapacity
		free.CPU -= random.Int64N(30_000)
		free.Memory -= random.Int64N(100_000)
		free.Slots -= random.Int64N(30)
		list[i] = workers.OwnedWorker{Worker: workerID(i), Free: free, CPUUsed: workerCapacity.CPU - free.CPU, Ready: true}
	}
	return list
}

// rulesText returns a rules file with the given number of services for each
// team.
func rulesText(servicesPerTeam int) string {
	var text strings.Builder
	for team := range teamCount {
		fmt.Fprintf(&text, "team team-%03d weight %d reserve 16cpu 32GB quota 400cpu 800GB   # desk-%03d: share agreed for the season\n", team, 1+team%8, team)
		for service := range servicesPerTeam {
			fmt.Fprintf(&text, "service svc-%03d-%02d team team-%03d class %s cpu 2 memory 4GB   # desk-%03d: size measured in spring\n",
				team, service, team, []string{"urgent", "batch", "live"}[service%3], team)
		}
	}
	return text.String()
}
