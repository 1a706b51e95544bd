// Package eviction chooses which tasks to throttle, checkpoint or stop when
// urgent or live work does not fit on a worker.
//
// A plan either frees enough for the demand or is empty, so no task is affected
// without benefit. Urgent tasks and tasks with policy EvictNever are never
// chosen. The owner of a worker calls Choose when the reservation for urgent or
// live work fails, and applies the plan through start.Runner and Handle.Resize.
package eviction

import (
	"cmp"
	"slices"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/rules"
)

const (
	// maxEvictionsPerJob is how often one job may be evicted in total. Without
	// a limit, a job could never end under a steady load of urgent work.
	maxEvictionsPerJob = 3
	// minEvictionInterval is the minimum time between two evictions of one
	// task.
	minEvictionInterval = 5 * time.Minute
	// minRunTime protects a task that has just started, since an eviction would
	// also waste its start.
	minRunTime = 10 * time.Second
	// throttledCPUPercent is the share of its processors that a throttled task
	// keeps. It matches the share that start.Runner throttles to.
	throttledCPUPercent = 20
	// costFactorPerEviction is what each earlier eviction adds to the factor on
	// the cost of a task. The factor is 1 for a task that was never evicted.
	costFactorPerEviction = 2
	// checkpointCost is the work that a task loses when it is checkpointed
	// before it is stopped: the time to save and load its state. The cost
	// function multiplies it by the processors of the task.
	checkpointCost = 2 * time.Second
)

// Task is one task that runs on the worker.
type Task struct {
	ID      ident.TaskID
	Class   work.Class
	Policy  rules.EvictPolicy
	Held    resource.Vector
	Started time.Time
	// LastCheckpoint is when the newest checkpoint was made, or zero if there
	// is none.
	LastCheckpoint time.Time
	// CanCheckpoint states whether the task can save a checkpoint on request.
	CanCheckpoint bool
	Throttled     bool
	// Evictions is the number of earlier attempts of the job that were evicted.
	Evictions   int
	LastEvicted time.Time
}

// Step is what is done to a victim.
type Step uint8

const (
	// Throttle reduces the task to a share of its processors.
	Throttle Step = iota
	// Checkpoint saves the state of the task, then stops it.
	Checkpoint
	// Stop ends the task. What it did since its last checkpoint is lost.
	Stop
)

// Victim is a task that is throttled, checkpointed or stopped to free
// resources.
type Victim struct {
	Task ident.TaskID
	Step Step
	// Freed is what the step adds to the free capacity of the worker.
	Freed resource.Vector
}

// Input is the input of Choose.
type Input struct {
	Now    time.Time
	Demand resource.Vector
	Free   resource.Vector
	Tasks  []Task
	// EvictionsLeft is how many tasks may still be evicted in the current
	// minute. Throttled tasks do not count.
	EvictionsLeft int
}

// Choose returns the victims, or nil if the demand fits already or no allowed
// set of victims frees enough. It prefers throttling to checkpointing and
// checkpointing to stopping. Among victims with equal steps it prefers those
// that lose least for what they free.
func Choose(input Input) []Victim {
	if input.Demand.Fits(input.Free) {
		return nil
	}
	steps := []Step{Throttle, Checkpoint, Stop}
	for i := range steps {
		victims := selectVictims(input, candidates(input, steps[:i+1]))
		if victims != nil {
			return victims
		}
	}
	return nil
}

// candidate is a possible victim with the keys that order it.
type candidate struct {
	Victim
	// tier is the eviction tier of the task; a lower tier is taken first.
	tier int
	cost float64
}

// candidates returns at most one candidate per task, with the step that the
// task allows among steps, in the order in which they are to be taken.
func candidates(input Input, steps []Step) []candidate {
	var found []candidate
	for i := range input.Tasks {
		task := &input.Tasks[i]
		step, allowed := allowedStep(input, task, steps)
		if !allowed {
			continue
		}
		freed := freedBy(task, step)
		found = append(found, candidate{
			Victim: Victim{Task: task.ID, Step: step, Freed: freed},
			tier:   evictionTier(task),
			cost:   cost(input, task, step) / usefulShare(input, freed),
		})
	}
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.cost, b.cost))
	})
	return found
}

// allowedStep returns the step that is taken for a task, and false if the task
// allows none of steps. If steps holds only Throttle, that is the step.
// Otherwise it is Checkpoint for a task that can be checkpointed and Stop for
// any other.
func allowedStep(input Input, task *Task, steps []Step) (Step, bool) {
	if task.Class == work.Urgent || task.Policy == rules.EvictNever {
		return Throttle, false
	}
	if len(steps) == 1 {
		return Throttle, task.Class == work.Batch && !task.Throttled
	}
	if !mayBeEvicted(input, task) {
		return Throttle, false
	}
	if task.CanCheckpoint {
		return Checkpoint, true
	}
	return Stop, slices.Contains(steps, Stop)
}

func mayBeEvicted(input Input, task *Task) bool {
	if task.Evictions >= maxEvictionsPerJob || input.Now.Sub(task.Started) < minRunTime {
		return false
	}
	return task.LastEvicted.IsZero() || input.Now.Sub(task.LastEvicted) >= minEvictionInterval
}

// evictionTier returns the tier of a task. Live tasks and feeds are one tier
// above batch tasks, and policy EvictLast adds another tier.
func evictionTier(task *Task) int {
	tier := 0
	if task.Class != work.Batch {
		tier++
	}
	if task.Policy == rules.EvictLast {
		tier++
	}
	return tier
}

func freedBy(task *Task, step Step) resource.Vector {
	if step == Throttle {
		return resource.Vector{CPU: task.Held.CPU * (100 - throttledCPUPercent) / 100}
	}
	return task.Held
}

// cost returns the lost work in seconds of processor time plus one, multiplied
// by a factor that grows with the evictions of the task.
func cost(input Input, task *Task, step Step) float64 {
	lost := checkpointCost
	switch step {
	case Throttle:
		lost = 0
	case Stop:
		lost = input.Now.Sub(later(task.Started, task.LastCheckpoint))
	}
	cores := float64(max(task.Held.CPU, 1)) / 1000
	return (1 + lost.Seconds()*cores) * float64(1+costFactorPerEviction*task.Evictions)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// usefulShare returns the share of the missing resources that a victim frees.
// It is never zero, since the cost is divided by it.
func usefulShare(input Input, freed resource.Vector) float64 {
	const minShare = 1e-6
	missing := input.Demand.Sub(input.Free)
	useful := resource.Vector{
		CPU:          min(freed.CPU, max(missing.CPU, 0)),
		Memory:       min(freed.Memory, max(missing.Memory, 0)),
		Accelerators: min(freed.Accelerators, max(missing.Accelerators, 0)),
		Slots:        min(freed.Slots, max(missing.Slots, 0)),
		Connections:  min(freed.Connections, max(missing.Connections, 0)),
	}
	return max(useful.DominantShare(missing), minShare)
}

// selectVictims takes candidates in order until the demand fits, then drops
// those that are not needed. It returns nil if the demand does not fit with all
// of them, or if more tasks than input.EvictionsLeft would be evicted.
func selectVictims(input Input, candidates []candidate) []Victim {
	free := input.Free
	taken := 0
	for taken < len(candidates) && !input.Demand.Fits(free) {
		free = free.Add(candidates[taken].Freed)
		taken++
	}
	if !input.Demand.Fits(free) {
		return nil
	}
	victims := dropUnneeded(input, candidates[:taken], free)
	if countEvictions(victims) > input.EvictionsLeft {
		return nil
	}
	return victims
}

// dropUnneeded drops candidates without which the demand still fits, beginning
// with the last, which costs the most. It returns the others as victims.
func dropUnneeded(input Input, candidates []candidate, free resource.Vector) []Victim {
	var victims []Victim
	for i := len(candidates) - 1; i >= 0; i-- {
		remaining := free.Sub(candidates[i].Freed)
		if input.Demand.Fits(remaining) {
			free = remaining
			continue
		}
		victims = append(victims, candidates[i].Victim)
	}
	slices.Reverse(victims)
	return victims
}

func countEvictions(victims []Victim) int {
	count := 0
	for _, victim := range victims {
		if victim.Step != Throttle {
			count++
		}
	}
	return count
}
