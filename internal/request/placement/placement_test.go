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
	origin   = workers.Origin{Zone: "zone-0", Region: "region-0"}
)

func newWorkers(count int) []workers.Worker {
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

// Each worker that must not get the work has to be left out for the right
// reason. Otherwise work could be sent to a worker that is leaving, drained or
// failing, or a refusal could not state its cause.
func TestRankCountsWorkersByReason(t *testing.T) {
	list := newWorkers(7)
	list[0].Leaving = true
	list[1].Drained = true
	list[2].Health = workers.Failing
	list[3].Ready = false
	list[4].Free = resource.Vector{}
	list[5].Capacity, list[5].Free = resource.Vector{}, resource.Vector{}
	view := workers.New(list)
	set := &rules.Set{DrainedWorkers: map[ident.WorkerID]bool{"w0006": true}}
	demand := placement.Demand{Resources: small, From: origin}
	plan := placement.Rank(view, set, demand)
	assert.Equal(t, plan.Count, 0)
	assert.Equal(t, plan.LargeEnough, 6)
	assert.DeepEqual(t, plan.Counts, [placement.ReasonCount]int{
		placement.TooSmall: 1, placement.Leaving: 1, placement.Drained: 2,
		placement.Failing: 1, placement.NotReady: 1, placement.Full: 1,
	})
	assert.Equal(t, placement.Explain(view, set, demand, "w0002"), placement.Failing)
	assert.Equal(t, placement.Explain(view, set, demand, "w0006"), placement.Drained)
}

// Within one place, a loaded, disturbed or probed worker must not rank before a
// better one, whatever the SpreadSeed, and a far worker must not rank before a
// near one. Work with AllowProbing and PreferLoaded prefers the disturbed
// worker.
func TestRankPrefersNearAndHealthyWorkers(t *testing.T) {
	list := newWorkers(7)[:3]
	list[0].Health = workers.Probing
	list[0].Disturbance = 900
	list[1].Zone = origin.Zone
	list[1].Free.CPU = 16000
	list[2].Region = "region-1"
	view := workers.New(list)
	demand := placement.Demand{Resources: small, From: origin}
	for demand.SpreadSeed = range 20 {
		plan := placement.Rank(view, &rules.Set{}, demand)
		assert.Equal(t, plan.Candidates[0].Worker, ident.WorkerID("w0001"))
		assert.Equal(t, plan.Candidates[1].Worker, ident.WorkerID("w0000"))
		assert.Equal(t, plan.Candidates[2].Worker, ident.WorkerID("w0002"))
	}
	demand.AllowProbing, demand.PreferLoaded = true, true
	assert.Equal(t, placement.Rank(view, &rules.Set{}, demand).Candidates[0].Worker, ident.WorkerID("w0000"))
}

// Batch work must leave the least disturbed workers lightly loaded, or urgent
// work finds only disturbed workers. Work that adds too much disturbance or
// takes too many slots is refused by those workers; light work may use them.
// Work with PreferLoaded goes to the most disturbed worker.
func TestBatchWorkLeavesWorkersForUrgentWork(t *testing.T) {
	view := workers.New(newWorkers(7)[:2])
	demand := placement.Demand{Resources: small, From: origin, PreferLoaded: true, ReservedWorkers: 1, AddedDisturbance: 200}
	assert.Equal(t, placement.Rank(view, &rules.Set{}, demand).Counts[placement.ReservedForUrgent], 2)
	demand.AddedDisturbance = 20
	assert.Equal(t, placement.Rank(view, &rules.Set{}, demand).Count, 2)
	demand.Resources.Slots = 5
	assert.Equal(t, placement.Rank(view, &rules.Set{}, demand).Count, 0)
	disturbed := newWorkers(14)
	disturbed[0].Disturbance = 300
	disturbed[7].Disturbance = 200
	demand.Resources.Slots = 1
	assert.Equal(t, placement.Rank(workers.New(disturbed), &rules.Set{}, demand).Candidates[0].Worker, ident.WorkerID("w0000"))
}

// If all candidates were in one zone, a request would lose all of its attempts
// with that zone. The last candidate must therefore be in another zone of the
// same region.
func TestRankIncludesAnotherZone(t *testing.T) {
	plan := placement.Rank(workers.New(newWorkers(70)), &rules.Set{}, placement.Demand{Resources: small, From: origin})
	assert.Equal(t, plan.Count, placement.MaxCandidates)
	for i, candidate := range plan.Candidates {
		assert.Equal(t, candidate.Zone == origin.Zone, i < placement.MaxCandidates-1)
		assert.Equal(t, candidate.Region, origin.Region)
	}
}

// Instances that share one view must not all choose the same idle worker. The
// common preference for half of the workers must end as soon as those workers
// are loaded.
func TestRankSpreadsWorkOverWorkers(t *testing.T) {
	list := newWorkers(70)
	chosen := countFirstChoices(list)
	assert.Assert(t, len(chosen) >= 5, "%v", chosen)
	for i := range list {
		count := chosen[list[i].ID]
		assert.Assert(t, count < 250, "worker %s is the first candidate of %d of 1000 works", list[i].ID, count)
		if count > 10 {
			list[i].Free.Slots -= 2
		}
	}
	for worker := range countFirstChoices(list) {
		assert.Assert(t, chosen[worker] <= 10, "worker %s is still preferred although it is loaded", worker)
	}
}

// countFirstChoices returns, for 1,000 works, how often each worker is the
// first candidate.
func countFirstChoices(list []workers.Worker) map[ident.WorkerID]int {
	view := workers.New(list)
	chosen := map[ident.WorkerID]int{}
	for seed := range uint64(1000) {
		plan := placement.Rank(view, &rules.Set{}, placement.Demand{Resources: small, From: origin, SpreadSeed: seed})
		chosen[plan.Candidates[0].Worker]++
	}
	return chosen
}

// Rank runs for each request, so it must not allocate memory, which would grow
// with the number of workers.
func TestRankAllocatesNoMemory(t *testing.T) {
	view := workers.New(newWorkers(1100))
	set := &rules.Set{DrainedWorkers: map[ident.WorkerID]bool{"w0003": true}}
	allocated := testing.AllocsPerRun(20, func() {
		placement.Rank(view, set, placement.Demand{Resources: small, From: origin})
	})
	assert.Equal(t, allocated, 0.0)
}

func BenchmarkRank(b *testing.B) {
	for _, count := range []int{50, 200, 1100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			view := workers.New(newWorkers(count))
			set := &rules.Set{DrainedWorkers: map[ident.WorkerID]bool{"w0003": true, "w0011": true}}
			demand := placement.Demand{Resources: small, From: origin}
			b.ReportAllocs()
			for b.Loop() {
				demand.SpreadSeed++
				placement.Rank(view, set, demand)
			}
		})
	}
}
