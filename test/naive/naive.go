// Package naive is a scheduler that is short enough to be checked by reading.
//
// It has one thread and complete knowledge, and it tries every assignment. It
// is used on small cases only, to judge the decisions of the real scheduler.
package naive

import (
	"poplarvalve/internal/process/resource"
)

// Task is one piece of work that arrives.
type Task struct {
	Kind   int
	Urgent bool
	Demand resource.Vector
}

// Case is a small problem.
type Case struct {
	Workers []resource.Vector
	Tasks   []Task
	// Extra is the slowdown of the first kind by each task of the second, in
	// thousandths of the run time.
	Extra [][]int64
}

// Nowhere is the place of a task that is refused.
const Nowhere = -1

// Assignment holds the index of the worker of each task, or Nowhere.
type Assignment []int

// The cost of a refusal, in thousandths of the run time of a task. It exceeds
// every slowdown of a small case, so work is refused only if it must be.
const (
	refusedUrgent int64 = 1_000_000
	refusedBatch  int64 = 100_000
)

// Holds reports whether no worker has more than it holds.
func Holds(c Case, a Assignment) bool {
	for worker, capacity := range c.Workers {
		used := resource.Vector{}
		for task, place := range a {
			if place == worker {
				used = used.Add(c.Tasks[task].Demand)
			}
		}
		if !used.Fits(capacity) {
			return false
		}
	}
	return true
}

// Cost adds up the refusals and what tasks on the same worker do to urgent
// ones, ten times as much as to others.
func Cost(c Case, a Assignment) int64 {
	cost := int64(0)
	for task, place := range a {
		if place == Nowhere {
			cost += refusal(c.Tasks[task])
			continue
		}
		for other, otherPlace := range a {
			if other != task && otherPlace == place {
				cost += slowdown(c, c.Tasks[task], c.Tasks[other])
			}
		}
	}
	return cost
}

func refusal(task Task) int64 {
	if task.Urgent {
		return refusedUrgent
	}
	return refusedBatch
}

func slowdown(c Case, task, other Task) int64 {
	extra := c.Extra[task.Kind][other.Kind]
	if task.Urgent {
		return 10 * extra
	}
	return extra
}

// Best returns an assignment of least cost, by trying all of them.
func Best(c Case) Assignment {
	current := make(Assignment, len(c.Tasks))
	var best Assignment
	var try func(task int)
	try = func(task int) {
		if task == len(c.Tasks) {
			if Holds(c, current) && (best == nil || Cost(c, current) < Cost(c, best)) {
				best = append(Assignment(nil), current...)
			}
			return
		}
		for place := Nowhere; place < len(c.Workers); place++ {
			current[task] = place
			try(task + 1)
		}
	}
	try(0)
	return best
}

// FirstFit assigns each task to the first worker that holds it, in the order of
// arrival.
func FirstFit(c Case) Assignment {
	free := append([]resource.Vector(nil), c.Workers...)
	assigned := make(Assignment, len(c.Tasks))
	for i, task := range c.Tasks {
		assigned[i] = Nowhere
		for worker := range free {
			if task.Demand.Fits(free[worker]) {
				free[worker] = free[worker].Sub(task.Demand)
				assigned[i] = worker
				break
			}
		}
	}
	return assigned
}

// Victims returns the least cost of a set of tasks without which demand fits,
// by trying all sets, and false if there is none.
func Victims(demand, free resource.Vector, held []resource.Vector, cost []float64) (float64, bool) {
	least, found := 0.0, false
	for set := range 1 << len(held) {
		after, sum := free, 0.0
		for i := range held {
			if set&(1<<i) != 0 {
				after = after.Add(held[i])
				sum += cost[i]
			}
		}
		if demand.Fits(after) && (!found || sum < least) {
			least, found = sum, true
		}
	}
	return least, found
}
