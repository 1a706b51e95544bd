// Package naive is a reference scheduler that is short enough to be checked by
// reading. Tests compare the decisions of the real scheduler with its results.
//
// It runs in one thread, knows the complete state and tries every assignment,
// so it can only be used on small cases.
package naive

import (
	"poplarvalve/internal/process/resource"
)

// Task is one task to be placed.
type Task struct {
	// Kind is the index of the task in Case.SlowdownMillis.
	Kind   int
	Urgent bool
	Demand resource.Vector
}

// Case is one placement problem.
type Case struct {
	// Workers holds the capacity of each worker.
	Workers []resource.Vector
	// Tasks holds the tasks in the order of arrival.
	Tasks []Task
	// SlowdownMillis[a][b] is the slowdown that each task of kind b causes to a
	// task of kind a on the same worker, in thousandths of the run time.
	SlowdownMillis [][]int64
}

// Refused stands for the worker of a task that is refused.
const Refused = -1

// Assignment holds, for each task of a Case, the index of its worker or Refused.
type Assignment []int

// The cost of a refusal, in thousandths of the run time of a task. It exceeds
// every slowdown in a small case, so Optimum refuses a task only if it must.
const (
	urgentRefusalCost int64 = 1_000_000
	batchRefusalCost  int64 = 100_000
)

// FitsCapacity reports whether the tasks on each worker fit into its capacity.
func FitsCapacity(c Case, a Assignment) bool {
	for worker, capacity := range c.Workers {
		used := resource.Vector{}
		for task, assignedWorker := range a {
			if assignedWorker == worker {
				used = used.Add(c.Tasks[task].Demand)
			}
		}
		if !used.Fits(capacity) {
			return false
		}
	}
	return true
}

// Cost returns the cost of the refusals plus the slowdown of every task by the
// others on its worker, in thousandths of the run time. The slowdown of an
// urgent task counts ten times.
func Cost(c Case, a Assignment) int64 {
	cost := int64(0)
	for task, assignedWorker := range a {
		if assignedWorker == Refused {
			cost += refusalCost(c.Tasks[task])
			continue
		}
		for other, otherWorker := range a {
			if other != task && otherWorker == assignedWorker {
				cost += slowdownCost(c, c.Tasks[task], c.Tasks[other])
			}
		}
	}
	return cost
}

func refusalCost(task Task) int64 {
	if task.Urgent {
		return urgentRefusalCost
	}
	return batchRefusalCost
}

func slowdownCost(c Case, task, other Task) int64 {
	extra := c.SlowdownMillis[task.Kind][other.Kind]
	if task.Urgent {
		return 10 * extra
	}
	return extra
}

// Optimum tries all assignments that fit and returns one of least cost.
func Optimum(c Case) Assignment {
	candidate := make(Assignment, len(c.Tasks))
	var best Assignment
	var assignFrom func(task int)
	assignFrom = func(task int) {
		if task == len(c.Tasks) {
			if FitsCapacity(c, candidate) && (best == nil || Cost(c, candidate) < Cost(c, best)) {
				best = append(Assignment(nil), candidate...)
			}
			return
		}
		for assignedWorker := Refused; assignedWorker < len(c.Workers); assignedWorker++ {
			candidate[task] = assignedWorker
			assignFrom(task + 1)
		}
	}
	assignFrom(0)
	return best
}

// FirstFit assigns each task, in the order of arrival, to the first worker with
// enough free capacity.
func FirstFit(c Case) Assignment {
	freeCapacity := append([]resource.Vector(nil), c.Workers...)
	assigned := make(Assignment, len(c.Tasks))
	for i, task := range c.Tasks {
		assigned[i] = Refused
		for worker := range freeCapacity {
			if task.Demand.Fits(freeCapacity[worker]) {
				freeCapacity[worker] = freeCapacity[worker].Sub(task.Demand)
				assigned[i] = worker
				break
			}
		}
	}
	return assigned
}

// LeastEvictionCost tries all subsets of the running tasks, whose resources are
// in held and whose costs of eviction are in cost. It returns the least total
// cost of a subset whose eviction makes demand fit into the free capacity, and
// false if there is none.
func LeastEvictionCost(demand, free resource.Vector, held []resource.Vector, cost []float64) (float64, bool) {
	leastCost, found := 0.0, false
	for subset := range 1 << len(held) {
		freeAfter, subsetCost := free, 0.0
		for i := range held {
			if subset&(1<<i) != 0 {
				freeAfter = freeAfter.Add(held[i])
				subsetCost += cost[i]
			}
		}
		if demand.Fits(freeAfter) && (!found || subsetCost < leastCost) {
			leastCost, found = subsetCost, true
		}
	}
	return leastCost, found
}
