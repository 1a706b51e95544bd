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

// The seed is fixed so that every run gives the same verdict; -rapid.seed
// overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "500")
	flag.Parse()
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

// urgentKind is the kind of urgent tasks.
const urgentKind = 0

func vector(t *rapid.T, least, most int64, label string) resource.Vector {
	return resource.Vector{
		CPU:    rapid.Int64Range(least, most).Draw(t, label+" cpu"),
		Memory: rapid.Int64Range(least, most).Draw(t, label+" memory"),
		Slots:  1,
	}
}

func drawCase(t *rapid.T) naive.Case {
	const kinds = 3
	var c naive.Case
	for range rapid.IntRange(1, 3).Draw(t, "workers") {
		worker := vector(t, 4, 12, "worker")
		worker.Slots = rapid.Int64Range(1, 4).Draw(t, "slots")
		c.Workers = append(c.Workers, worker)
	}
	for range rapid.IntRange(1, 6).Draw(t, "tasks") {
		kind := rapid.IntRange(0, kinds-1).Draw(t, "kind")
		c.Tasks = append(c.Tasks, naive.Task{Kind: kind, Urgent: kind == urgentKind, Demand: vector(t, 1, 6, "task")})
	}
	for range kinds {
		row := make([]int64, kinds)
		for i := range row {
			row[i] = rapid.Int64Range(0, 1500).Draw(t, "extra")
		}
		c.Extra = append(c.Extra, row)
	}
	return c
}

// real assigns the tasks in the order of arrival by the code under test. A
// refusal is checked against every worker.
func real(t *rapid.T, c naive.Case) naive.Assignment {
	accounts := make([]*ledger.Account, len(c.Workers))
	for i, capacity := range c.Workers {
		accounts[i] = ledger.NewAccount(capacity)
	}
	assigned := make(naive.Assignment, 0, len(c.Tasks))
	for i, task := range c.Tasks {
		view := viewOf(c, accounts, assigned)
		plan := placement.Rank(view, &rules.Set{}, placement.Demand{Resources: task.Demand, Spread: uint64(i), Gather: !task.Urgent})
		place := reserve(plan, accounts, task.Demand)
		for worker := range accounts {
			if place == naive.Nowhere && accounts[worker].Fits(task.Demand) {
				t.Fatalf("task %d was refused although worker %d has room", i, worker)
			}
		}
		assigned = append(assigned, place)
	}
	return assigned
}

func reserve(plan placement.Plan, accounts []*ledger.Account, demand resource.Vector) int {
	for _, candidate := range plan.Candidates[:plan.Count] {
		worker := int(candidate.Worker[0] - 'a')
		if accounts[worker].Reserve(demand) {
			return worker
		}
	}
	return naive.Nowhere
}

func viewOf(c naive.Case, accounts []*ledger.Account, assigned naive.Assignment) *workers.View {
	var list []workers.Worker
	for i, account := range accounts {
		worker := workers.Worker{
			ID:       ident.WorkerID('a' + rune(i)),
			Capacity: account.Capacity(),
			Free:     account.Free(),
			Ready:    true,
		}
		for task, place := range assigned {
			if place == i {
				worker.Disturbance += c.Extra[urgentKind][c.Tasks[task].Kind]
			}
		}
		list = append(list, worker)
	}
	return workers.New(list)
}

// Guards against a worker that gets more than it holds, against a task without
// exactly one place, and against a refusal while there is room, in the real and
// in the naive scheduler.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawCase(t)
		best, ours := naive.Best(c), real(t, c)
		for _, assigned := range []naive.Assignment{best, ours, naive.FirstFit(c)} {
			assert.Equal(t, len(assigned), len(c.Tasks))
			assert.Assert(t, naive.Holds(c, assigned), "%v", assigned)
		}
		assert.Assert(t, naive.Cost(c, best) <= naive.Cost(c, ours))
	})
}

// uniformCase draws a case without the preference of rapid for small values,
// which would make most cases trivial.
func uniformCase(t *rapid.T) naive.Case {
	source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	c := naive.Case{Extra: make([][]int64, 3)}
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
	for i := range c.Extra {
		c.Extra[i] = []int64{source.Int64N(1500), source.Int64N(1500), source.Int64N(1500)}
	}
	return c
}

// Guards against a real scheduler whose placements cost more than those of
// first fit. Prints how far both are from the optimum.
func TestCostRatio(t *testing.T) {
	var ours, firstFit distance
	rapid.Check(t, func(t *rapid.T) {
		c := uniformCase(t)
		best := naive.Best(c)
		ours.add(c, real(t, c), best)
		firstFit.add(c, naive.FirstFit(c), best)
	})
	t.Log("real:     ", ours)
	t.Log("first fit:", firstFit)
	assert.Assert(t, ours.median() <= firstFit.median())
}

// distance compares assignments with the best of the same case.
type distance struct {
	cases   int
	refused int
	ratios  []float64
}

func (d *distance) add(c naive.Case, got, best naive.Assignment) {
	d.cases++
	more := refusals(got) - refusals(best)
	d.refused += more
	if more == 0 {
		d.ratios = append(d.ratios, ratio(naive.Cost(c, got), naive.Cost(c, best)))
	}
}

func refusals(assigned naive.Assignment) int {
	count := 0
	for _, place := range assigned {
		if place == naive.Nowhere {
			count++
		}
	}
	return count
}

// ratio adds a hundredth of a run time to both, so that an optimum of nothing
// has a ratio.
func ratio(cost, least int64) float64 {
	return float64(cost+10) / float64(least+10)
}

func (d *distance) median() float64 {
	slices.Sort(d.ratios)
	return d.ratios[len(d.ratios)/2]
}

// String returns the refusals beyond the optimum and the ratio of the cost in
// the cases without any.
func (d distance) String() string {
	return fmt.Sprintf("%d cases, %d tasks refused that the optimum places; cost ratio in other cases: %s",
		d.cases, d.refused, quantiles(d.ratios))
}

func quantiles(values []float64) string {
	slices.Sort(values)
	at := func(share float64) float64 {
		return values[min(int(share*float64(len(values))), len(values)-1)]
	}
	return fmt.Sprintf("%d cases, p50 %.2f, p90 %.2f, p99 %.2f, max %.2f", len(values), at(.5), at(.9), at(.99), at(1))
}

// Guards against evictions that make no room, that touch what a rule keeps, or
// that are missed although they would make room.
func TestEvictionAgainstNaive(t *testing.T) {
	var ratios []float64
	now := time.Unix(100000, 0)
	rapid.Check(t, func(t *rapid.T) {
		s := eviction.Situation{Now: now, Demand: vector(t, 1, 12, "demand"), Left: 100}
		var held []resource.Vector
		var cost []float64
		lost := map[ident.TaskID]float64{}
		freed := map[ident.TaskID]resource.Vector{}
		for i := range rapid.IntRange(0, 8).Draw(t, "tasks") {
			ran := time.Duration(rapid.IntRange(60, 3600).Draw(t, "ran")) * time.Second
			task := eviction.Task{ID: ident.TaskID('a' + rune(i)), Held: vector(t, 1, 6, "held"), Started: now.Add(-ran)}
			if rapid.Bool().Draw(t, "kept") {
				task.Policy = rules.EvictNever
			} else {
				held, cost = append(held, task.Held), append(cost, ran.Seconds()*float64(task.Held.CPU))
				lost[task.ID], freed[task.ID] = cost[len(cost)-1], task.Held
			}
			s.Tasks = append(s.Tasks, task)
		}
		least, possible := naive.Victims(s.Demand, s.Free, held, cost)
		victims := eviction.Choose(s)
		assert.Equal(t, len(victims) > 0, possible)
		after, sum := s.Free, 0.0
		for _, victim := range victims {
			_, allowed := freed[victim.Task]
			assert.Assert(t, allowed, "%s is kept by a rule", victim.Task)
			after, sum = after.Add(freed[victim.Task]), sum+lost[victim.Task]
		}
		assert.Assert(t, !possible || s.Demand.Fits(after))
		if possible {
			ratios = append(ratios, sum/least)
		}
	})
	t.Log("work lost against the optimum:", quantiles(ratios))
}
