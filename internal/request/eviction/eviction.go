// Package eviction chooses which tasks give way to urgent work that does not
// fit on a worker.
//
// A plan either makes room for the demand or is empty; no task is disturbed in
// vain. Tasks with policy EvictNever and urgent tasks are never chosen. The
// owner of a worker calls Choose when the reservation for urgent or live work
// fails, and applies the plan through start.Runner and Handle.Resize.
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
	// maxPerTask is how often one task is evicted in its life. A job that was
	// evicted more often could never end under a steady load of urgent work.
	maxPerTask = 3
	// minGap is the least time between two evictions of one task.
	minGap = 5 * time.Minute
	// minRun spares a task that has just started, since its start is lost too.
	minRun = 10 * time.Second
	// keptPercent is the share of its processors that a throttled task keeps,
	// as start.Runner throttles.
	keptPercent = 20
	// suffered raises the cost of a task for each eviction it has had.
	suffered = 2
	// checkpointCost is the work, as processor time, that a task loses which is
	// saved first: the time to save and to load its state.
	checkpointCost = 2 * time.Second
)

// Task is one task that runs on the worker.
type Task struct {
	ID      ident.TaskID
	Class   work.Class
	Policy  rules.EvictPolicy
	Held    resource.Vector
	Started time.Time
	// Saved is when the newest checkpoint was made, or zero.
	Saved time.Time
	// Checkpoints is whether the task can be saved on request.
	Checkpoints bool
	Throttled   bool
	// Evictions counts the earlier attempts of the job that were evicted.
	Evictions   int
	LastEvicted time.Time
}

// Step is how a victim gives way.
type Step uint8

const (
	// Throttle leaves the task a share of its processors.
	Throttle Step = iota
	// Checkpoint saves the task, then stops it.
	Checkpoint
	// Stop ends the task, and what it did since its last checkpoint is lost.
	Stop
)

// Victim is one task that gives way.
type Victim struct {
	Task ident.TaskID
	Step Step
	// Frees is what the worker has free after the step.
	Frees resource.Vector
}

// Situation is what the choice depends on.
type Situation struct {
	Now    time.Time
	Demand resource.Vector
	Free   resource.Vector
	Tasks  []Task
	// Left is how many tasks may still be evicted in this minute. Throttling
	// doesn't count.
	Left int
}

// Choose returns the victims, or none if no allowed set makes room. It prefers
// throttling to saving and saving to stopping, and among equal steps the tasks
// that lose least for what they free.
func Choose(s Situation) []Victim {
	if s.Demand.Fits(s.Free) {
		return nil
	}
	steps := []Step{Throttle, Checkpoint, Stop}
	for i := range steps {
		victims := enough(s, offers(s, steps[:i+1]))
		if victims != nil {
			return victims
		}
	}
	return nil
}

// offer is one possible victim with the order in which it is taken.
type offer struct {
	Victim
	// reluctance is the tier of the task; a lower one goes first.
	reluctance int
	cost       float64
}

// offers returns one offer a task: the step that the task allows among steps.
func offers(s Situation, steps []Step) []offer {
	var found []offer
	for i := range s.Tasks {
		task := &s.Tasks[i]
		step, allowed := stepOf(s, task, steps)
		if !allowed {
			continue
		}
		frees := freed(task, step)
		found = append(found, offer{
			Victim:     Victim{Task: task.ID, Step: step, Frees: frees},
			reluctance: reluctance(task),
			cost:       cost(s, task, step) / gain(s, frees),
		})
	}
	slices.SortStableFunc(found, func(a, b offer) int {
		return cmp.Or(cmp.Compare(a.reluctance, b.reluctance), cmp.Compare(a.cost, b.cost))
	})
	return found
}

// stepOf returns the strongest of steps that a task allows. If throttling alone
// is tried, that is a throttle.
func stepOf(s Situation, task *Task, steps []Step) (Step, bool) {
	if task.Class == work.Urgent || task.Policy == rules.EvictNever {
		return Throttle, false
	}
	if len(steps) == 1 {
		return Throttle, task.Class == work.Batch && !task.Throttled
	}
	if !withinBudget(s, task) {
		return Throttle, false
	}
	if task.Checkpoints {
		return Checkpoint, true
	}
	return Stop, slices.Contains(steps, Stop)
}

func withinBudget(s Situation, task *Task) bool {
	if task.Evictions >= maxPerTask || s.Now.Sub(task.Started) < minRun {
		return false
	}
	return task.LastEvicted.IsZero() || s.Now.Sub(task.LastEvicted) >= minGap
}

// reluctance puts live tasks, feeds and tasks to be evicted last behind all
// others, and those that are both behind these.
func reluctance(task *Task) int {
	tier := 0
	if task.Class != work.Batch {
		tier++
	}
	if task.Policy == rules.EvictLast {
		tier++
	}
	return tier
}

func freed(task *Task, step Step) resource.Vector {
	if step == Throttle {
		return resource.Vector{CPU: task.Held.CPU * (100 - keptPercent) / 100}
	}
	return task.Held
}

// cost is the work lost as seconds of processor time, raised by the evictions
// that the task has had.
func cost(s Situation, task *Task, step Step) float64 {
	lost := checkpointCost
	switch step {
	case Throttle:
		lost = 0
	case Stop:
		lost = s.Now.Sub(later(task.Started, task.Saved))
	}
	cores := float64(max(task.Held.CPU, 1)) / 1000
	return (1 + lost.Seconds()*cores) * float64(1+suffered*task.Evictions)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// gain is the part of what is missing that a victim frees.
func gain(s Situation, frees resource.Vector) float64 {
	const least = 1e-6
	missing := s.Demand.Sub(s.Free)
	useful := resource.Vector{
		CPU:          min(frees.CPU, max(missing.CPU, 0)),
		Memory:       min(frees.Memory, max(missing.Memory, 0)),
		Accelerators: min(frees.Accelerators, max(missing.Accelerators, 0)),
		Slots:        min(frees.Slots, max(missing.Slots, 0)),
		Connections:  min(frees.Connections, max(missing.Connections, 0)),
	}
	return max(useful.DominantShare(missing), least)
}

// enough takes offers in order until the demand fits, then returns those that
// it would not fit without.
func enough(s Situation, offers []offer) []Victim {
	free := s.Free
	taken := 0
	for taken < len(offers) && !s.Demand.Fits(free) {
		free = free.Add(offers[taken].Frees)
		taken++
	}
	if !s.Demand.Fits(free) {
		return nil
	}
	victims := needed(s, offers[:taken], free)
	if evicted(victims) > s.Left {
		return nil
	}
	return victims
}

// needed leaves out offers without which the demand still fits, the dearest
// first.
func needed(s Situation, offers []offer, free resource.Vector) []Victim {
	var victims []Victim
	for i := len(offers) - 1; i >= 0; i-- {
		without := free.Sub(offers[i].Frees)
		if s.Demand.Fits(without) {
			free = without
			continue
		}
		victims = append(victims, offers[i].Victim)
	}
	slices.Reverse(victims)
	return victims
}

func evicted(victims []Victim) int {
	count := 0
	for _, victim := range victims {
		if victim.Step != Throttle {
			count++
		}
	}
	return count
}
