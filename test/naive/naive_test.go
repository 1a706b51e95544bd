package naive_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/ledger"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/request/eviction"
	"poplarvalve/internal/request/placement"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
	"poplarvalve/test/naive"
)

// TestMain fixes the seed, so that every run gives the same result. The flag
// -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	flag.Parse()
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// urgentKind is the kind of all urgent tasks, and of no others.
const urgentKind = 0

// drawVector draws CPU and memory from least to most, and sets one slot.
func drawVector(t *rapid.T, least, most int64, label string) resource.Vector {
	return resource.Vector{
		CPU:    rapid.Int64Range(least, most).Draw(t, label+" cpu"),
		Memory: rapid.Int64Range(least, most).Draw(t, label+" memory"),
		Slots:  1,
	}
}

// drawCase draws a case with at most 3 workers and 6 tasks of 3 kinds.
func drawCase(t *rapid.T) naive.Case {
	const kinds = 3
	var c naive.Case
	for range rapid.IntRange(1, 3).Draw(t, "workers") {
		worker := drawVector(t, 4, 12, "worker")
		worker.Slots = rapid.Int64Range(1, 4).Draw(t, "slots")
		c.Workers = append(c.Workers, worker)
	}
	for range rapid.IntRange(1, 6).Draw(t, "tasks") {
		kind := rapid.IntRange(0, kinds-1).Draw(t, "kind")
		c.Tasks = append(c.Tasks, naive.Task{Kind: kind, Urgent: kind == urgentKind, Demand: drawVector(t, 1, 6, "task")})
	}
	for range kinds {
		row := make([]int64, kinds)
		for i := range row {
			row[i] = rapid.Int64Range(0, 1500).Draw(t, "extra")
		}
		c.SlowdownMillis = append(c.SlowdownMillis, row)
	}
	return c
}

// assignReal assigns the tasks in the order of arrival with the real
// scheduler's placement. If it refuses a task, it checks that no worker has
// enough free capacity.
func assignReal(t *rapid.T, c naive.Case) naive.Assignment {
	accounts := make([]*ledger.Account, len(c.Workers))
	for i, capacity := range c.Workers {
		accounts[i] = ledger.NewAccount(capacity)
	}
	assigned := make(naive.Assignment, 0, len(c.Tasks))
	for i, task := range c.Tasks {
		view := viewOf(c, accounts, assigned)
		plan := placement.Rank(view, &rules.Set{}, placement.Demand{Resources: task.Demand, SpreadSeed: uint64(i), PreferLoaded: !task.Urgent})
		assignedWorker := reserve(plan, accounts, task.Demand)
		for worker := range accounts {
			if assignedWorker == naive.Refused && accounts[worker].Fits(task.Demand) {
				t.Fatalf("task %d was refused although worker %d has enough free capacity", i, worker)
			}
		}
		assigned = append(assigned, assignedWorker)
	}
	return assigned
}

// reserve reserves demand on the first candidate of the plan that still has
// enough free capacity, and returns the index of that worker or Refused.
func reserve(plan placement.Plan, accounts []*ledger.Account, demand resource.Vector) int {
	for _, candidate := range plan.Candidates[:plan.Count] {
		worker := int(candidate.Worker[0] - 'a')
		if accounts[worker].Reserve(demand) {
			return worker
		}
	}
	return naive.Refused
}

// viewOf returns the view of the workers that the real scheduler would have. The
// disturbance of a worker is the slowdown that its tasks cause to urgent ones.
func viewOf(c naive.Case, accounts []*ledger.Account, assigned naive.Assignment) *workers.View {
	var workerList []workers.Worker
	for i, account := range accounts {
		worker := workers.Worker{
			ID:       ident.WorkerID('a' + rune(i)),
			Capacity: account.Capacity(),
			Free:     account.Free(),
			Ready:    true,
		}
		for task, assignedWorker := range assigned {
			if assignedWorker == i {
				worker.Disturbance += c.SlowdownMillis[urgentKind][c.Tasks[task].Kind]
			}
		}
		workerList = append(workerList, worker)
	}
	return workers.New(workerList)
}

// No scheduler may exceed the capacity of a worker, and each must give every
// task one worker or refuse it. The real scheduler must not refuse a task while
// a worker has enough free capacity. The result of the exhaustive search must
// not cost more than the real one, since the reference would be wrong then.
func TestAssignmentsStayWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawCase(t)
		optimum, realResult := naive.Optimum(c), assignReal(t, c)
		for _, assigned := range []naive.Assignment{optimum, realResult, naive.FirstFit(c)} {
			assert.Equal(t, len(assigned), len(c.Tasks))
			assert.Assert(t, naive.FitsCapacity(c, assigned), "%v", assigned)
		}
		assert.Assert(t, naive.Cost(c, optimum) <= naive.Cost(c, realResult))
	})
}

// uniformCase draws a case with uniformly distributed values. Rapid by itself
// prefers small values, which would make most cases trivial.
func uniformCase(t *rapid.T) naive.Case {
	source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	c := naive.Case{SlowdownMillis: make([][]int64, 3)}
	for range 3 {
		c.Workers = append(c.Workers, resource.Vector{CPU: 8, Memory: 8, Slots: 4})
	}
	for range 6 {
		kind := source.IntN(3)
		demand := resource.Vector{CPU: 1 + source.Int64N(5), Memory: 1 + source.Int64N(5), Slots: 1}
		if kind == urgentKind {
			demand = resource.Vector{CPU: 1, Memory: 1, Slots: 1}
		}
		c.Tasks = append(c.Tasks, naive.Task{Kind: kind, Urgent: kind == urgentKind, Demand: demand})
	}
	for i := range c.SlowdownMillis {
		c.SlowdownMillis[i] = []int64{source.Int64N(1500), source.Int64N(1500), source.Int64N(1500)}
	}
	return c
}

// The placements of the real scheduler must not cost more than those of first
// fit: their median cost ratio to the optimum must not be higher. The test logs
// how far both are from the optimum.
func TestMedianCostRatioNotAboveFirstFit(t *testing.T) {
	var realResult, firstFit optimumComparison
	rapid.Check(t, func(t *rapid.T) {
		c := uniformCase(t)
		optimum := naive.Optimum(c)
		realResult.add(c, assignReal(t, c), optimum)
		firstFit.add(c, naive.FirstFit(c), optimum)
	})
	t.Log("real:     ", realResult)
	t.Log("first fit:", firstFit)
	assert.Assert(t, realResult.median() <= firstFit.median())
}

// optimumComparison sums up how assignments compare with the best ones of the
// same cases.
type optimumComparison struct {
	cases int
	// extraRefusals is the number of refusals beyond those of the best
	// assignments.
	extraRefusals int
	// costRatios holds the cost ratio of each case with as many refusals as the
	// best assignment has.
	costRatios []float64
}

func (o *optimumComparison) add(c naive.Case, assigned, optimum naive.Assignment) {
	o.cases++
	extraRefusals := refusals(assigned) - refusals(optimum)
	o.extraRefusals += extraRefusals
	if extraRefusals == 0 {
		o.costRatios = append(o.costRatios, costRatio(naive.Cost(c, assigned), naive.Cost(c, optimum)))
	}
}

func refusals(assigned naive.Assignment) int {
	count := 0
	for _, assignedWorker := range assigned {
		if assignedWorker == naive.Refused {
			count++
		}
	}
	return count
}

// costRatio returns cost divided by least. It adds a hundredth of a run time to
// both, so that the ratio is defined if least is 0.
func costRatio(cost, least int64) float64 {
	return float64(cost+10) / float64(least+10)
}

// median returns the median cost ratio.
func (o *optimumComparison) median() float64 {
	slices.Sort(o.costRatios)
	return o.costRatios[len(o.costRatios)/2]
}

// String returns the number of refusals beyond the optimum, and the quantiles
// of the cost ratio in the cases with as many refusals as in the optimum.
func (o optimumComparison) String() string {
	return fmt.Sprintf("%d cases, %d more tasks refused than by the optimum; cost ratio where the number of refusals is equal: %s",
		o.cases, o.extraRefusals, quantiles(o.costRatios))
}

// quantiles sorts the values and returns their count and quantiles as text.
func quantiles(values []float64) string {
	slices.Sort(values)
	quantile := func(share float64) float64 {
		return values[min(int(share*float64(len(values))), len(values)-1)]
	}
	return fmt.Sprintf("%d cases, p50 %.2f, p90 %.2f, p99 %.2f, max %.2f", len(values), quantile(.5), quantile(.9), quantile(.99), quantile(1))
}

// Evictions must free enough capacity for the demand and must not include a
// task that a rule protects from eviction. If some set of evictions frees
// enough, one must be found; an exhaustive search decides whether there is such
// a set.
func TestEvictionFreesDemandWhenPossible(t *testing.T) {
	var ratios []float64
	now := time.Unix(100000, 0)
	rapid.Check(t, func(t *rapid.T) {
		input := eviction.Input{Now: now, Demand: drawVector(t, 1, 12, "demand"), EvictionsLeft: 100}
		var held []resource.Vector
		var cost []float64
		workLost := map[ident.TaskID]float64{}
		freed := map[ident.TaskID]resource.Vector{}
		for i := range rapid.IntRange(0, 8).Draw(t, "tasks") {
			ran := time.Duration(rapid.IntRange(60, 3600).Draw(t, "ran")) * time.Second
			task := eviction.Task{ID: ident.TaskID('a' + rune(i)), Held: drawVector(t, 1, 6, "held"), Started: now.Add(-ran)}
			if rapid.Bool().Draw(t, "kept") {
				task.Policy = rules.EvictNever
			} else {
				held, cost = append(held, task.Held), append(cost, ran.Seconds()*float64(task.Held.CPU))
				workLost[task.ID], freed[task.ID] = cost[len(cost)-1], task.Held
			}
			input.Tasks = append(input.Tasks, task)
		}
		leastCost, possible := naive.LeastEvictionCost(input.Demand, input.Free, held, cost)
		victims := eviction.Choose(input)
		assert.Equal(t, len(victims) > 0, possible)
		freeAfter, totalWorkLost := input.Free, 0.0
		for _, victim := range victims {
			_, allowed := freed[victim.Task]
			assert.Assert(t, allowed, "task %s is evicted although a rule protects it", victim.Task)
			freeAfter, totalWorkLost = freeAfter.Add(freed[victim.Task]), totalWorkLost+workLost[victim.Task]
		}
		assert.Assert(t, !possible || input.Demand.Fits(freeAfter))
		if possible {
			ratios = append(ratios, totalWorkLost/leastCost)
		}
	})
	t.Log("ratio of the work lost to the least possible:", quantiles(ratios))
}
