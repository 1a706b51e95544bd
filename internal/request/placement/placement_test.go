package placement_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/request/placement"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
)

var (
	capacity = resource.Vector{CPU: 32000, Memory: 125000, Slots: 8, Connections: 64}
	small    = resource.Vector{CPU: 250, Memory: 128, Slots: 1}
	here     = workers.Place{Zone: "zone-0", Region: "region-0"}
)

func fleet(count int) []workers.Worker {
	list := make([]workers.Worker, count)
	for i := range list {
		list[i] = workers.Worker{
			ID:       ident.WorkerID(fmt.Sprintf("w%04d", i)),
			Zone:     ident.ZoneName(fmt.Sprintf("zone-%d", i%7)),
			Region:   ident.RegionName(fmt.Sprintf("region-%d", i%7/3)),
			Capacity: capacity,
			Free:     capacity,
			Ready:    true,
		}
	}
	return list
}

// Guards against work sent to a worker that must get none, and against a
// refusal that can't say why.
func TestRankLeavesOutAndSaysWhy(t *testing.T) {
	list := fleet(7)
	list[0].Leaving = true
	list[1].Drained = true
	list[2].Health = workers.Failing
	list[3].Ready = false
	list[4].Free = resource.Vector{}
	list[5].Capacity, list[5].Free = resource.Vector{}, resource.Vector{}
	view := workers.New(list)
	set := &rules.Set{Drained: map[ident.WorkerID]bool{"w0006": true}}
	demand := placement.Demand{Resources: small, From: here}
	plan := placement.Rank(view, set, demand)
	assert.Equal(t, plan.Count, 0)
	assert.Equal(t, plan.LargeEnough, 6)
	assert.DeepEqual(t, plan.Counts, [placement.Reasons]int{
		placement.TooSmall: 1, placement.Leaving: 1, placement.Drained: 2,
		placement.Failing: 1, placement.NotReady: 1, placement.Full: 1,
	})
	assert.Equal(t, placement.Explain(view, set, demand, "w0002"), placement.Failing)
	assert.Equal(t, placement.Explain(view, set, demand, "w0006"), placement.Drained)
}

// Guards against a loaded, noisy or suspect worker that beats a better one of
// the same place, and against a near one that loses to a far one.
func TestRankOrder(t *testing.T) {
	list := fleet(7)[:3]
	list[0].Health = workers.Probing
	list[0].Disturbance = 900
	list[1].Zone = here.Zone
	list[1].Free.CPU = 16000
	list[2].Region = "region-1"
	view := workers.New(list)
	demand := placement.Demand{Resources: small, From: here}
	for demand.Spread = range 20 {
		plan := placement.Rank(view, &rules.Set{}, demand)
		assert.Equal(t, plan.Candidates[0].Worker, ident.WorkerID("w0001"))
		assert.Equal(t, plan.Candidates[1].Worker, ident.WorkerID("w0000"))
		assert.Equal(t, plan.Candidates[2].Worker, ident.WorkerID("w0002"))
	}
	demand.Probe, demand.Gather = true, true
	assert.Equal(t, placement.Rank(view, &rules.Set{}, demand).Candidates[0].Worker, ident.WorkerID("w0000"))
}

// Guards against batch work that leaves urgent work no quiet worker.
func TestKeepsQuietWorkers(t *testing.T) {
	view := workers.New(fleet(7)[:2])
	demand := placement.Demand{Resources: small, From: here, Gather: true, KeepQuiet: 1, Disturbs: 200}
	assert.Equal(t, placement.Rank(view, &rules.Set{}, demand).Counts[placement.Kept], 2)
	demand.Disturbs = 20
	assert.Equal(t, placement.Rank(view, &rules.Set{}, demand).Count, 2)
	demand.Resources.Slots = 5
	assert.Equal(t, placement.Rank(view, &rules.Set{}, demand).Count, 0)
	loud := fleet(14)
	loud[0].Disturbance = 300
	loud[7].Disturbance = 200
	demand.Resources.Slots = 1
	assert.Equal(t, placement.Rank(workers.New(loud), &rules.Set{}, demand).Candidates[0].Worker, ident.WorkerID("w0000"))
}

// Guards against a request whose attempts are all lost with one zone.
func TestRankLeavesTheZone(t *testing.T) {
	plan := placement.Rank(workers.New(fleet(70)), &rules.Set{}, placement.Demand{Resources: small, From: here})
	assert.Equal(t, plan.Count, placement.MaxCandidates)
	for i, candidate := range plan.Candidates {
		assert.Equal(t, candidate.Zone == here.Zone, i < placement.MaxCandidates-1)
		assert.Equal(t, candidate.Region, here.Region)
	}
}

// Guards against fronts that all choose the same idle worker of one view, and
// against a common preference that outlasts the load of the preferred workers.
func TestRankSpreads(t *testing.T) {
	list := fleet(70)
	chosen := choices(list)
	assert.Assert(t, len(chosen) >= 5, "%v", chosen)
	for i := range list {
		count := chosen[list[i].ID]
		assert.Assert(t, count < 250, "%s got %d of 1000", list[i].ID, count)
		if count > 10 {
			list[i].Free.Slots -= 2
		}
	}
	for worker := range choices(list) {
		assert.Assert(t, chosen[worker] <= 10, "%s is preferred although it is loaded", worker)
	}
}

// choices counts the first candidates of 1,000 works by worker.
func choices(list []workers.Worker) map[ident.WorkerID]int {
	view := workers.New(list)
	chosen := map[ident.WorkerID]int{}
	for spread := range uint64(1000) {
		plan := placement.Rank(view, &rules.Set{}, placement.Demand{Resources: small, From: here, Spread: spread})
		chosen[plan.Candidates[0].Worker]++
	}
	return chosen
}

// Guards against memory on the path of a request that grows with the workers.
func TestRankAllocatesNothing(t *testing.T) {
	view := workers.New(fleet(1100))
	set := &rules.Set{Drained: map[ident.WorkerID]bool{"w0003": true}}
	allocated := testing.AllocsPerRun(20, func() {
		placement.Rank(view, set, placement.Demand{Resources: small, From: here})
	})
	assert.Equal(t, allocated, 0.0)
}

func BenchmarkRank(b *testing.B) {
	for _, count := range []int{50, 200, 1100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			view := workers.New(fleet(count))
			set := &rules.Set{Drained: map[ident.WorkerID]bool{"w0003": true, "w0011": true}}
			demand := placement.Demand{Resources: small, From: here}
			b.ReportAllocs()
			for b.Loop() {
				demand.Spread++
				placement.Rank(view, set, demand)
			}
		})
	}
}
