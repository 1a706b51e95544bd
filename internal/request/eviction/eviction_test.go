package eviction_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/eviction"
	"poplarvalve/internal/version/rules"
)

var now = time.Unix(100000, 0)

func batchTask(id ident.TaskID, cpu int64, ran time.Duration) eviction.Task {
	return eviction.Task{
		ID:      id,
		Held:    resource.Vector{CPU: cpu, Memory: 1000, Slots: 1},
		Started: now.Add(-ran),
	}
}

func choose(demand, free resource.Vector, tasks ...eviction.Task) []eviction.Victim {
	return eviction.Choose(eviction.Input{Now: now, Demand: demand, Free: free, Tasks: tasks, EvictionsLeft: 2})
}

// A task must not be stopped if throttling a task is enough, nor if another
// task can be checkpointed instead.
func TestPrefersThrottleThenCheckpointThenStop(t *testing.T) {
	old, checkpointing := batchTask("old", 4000, time.Hour), batchTask("saving", 4000, time.Hour)
	checkpointing.CanCheckpoint = true
	cpu := choose(resource.Vector{CPU: 3000}, resource.Vector{}, old, checkpointing)
	assert.Equal(t, len(cpu), 1)
	assert.Equal(t, cpu[0].Step, eviction.Throttle)
	slot := resource.Vector{CPU: 1000, Slots: 1}
	assert.DeepEqual(t, choose(slot, resource.Vector{}, old, checkpointing),
		[]eviction.Victim{{Task: "saving", Step: eviction.Checkpoint, Freed: checkpointing.Held}})
	assert.DeepEqual(t, choose(slot, resource.Vector{}, old),
		[]eviction.Victim{{Task: "old", Step: eviction.Stop, Freed: old.Held}})
}

// Choose must not pick a task that would lose more work, was evicted before or
// has policy EvictLast while another task is enough. Urgent tasks and tasks
// with policy EvictNever are never victims.
func TestChoosesLeastCostlyAllowedVictim(t *testing.T) {
	slot := resource.Vector{Slots: 1}
	young, old := batchTask("young", 4000, time.Minute), batchTask("old", 4000, time.Hour)
	assert.Equal(t, choose(slot, resource.Vector{}, old, young)[0].Task, ident.TaskID("young"))
	young.Evictions = 2
	young.Started = now.Add(-30 * time.Minute)
	assert.Equal(t, choose(slot, resource.Vector{}, young, old)[0].Task, ident.TaskID("old"))
	old.Policy, young.Class = rules.EvictLast, work.Live
	fresh := batchTask("fresh", 4000, 10*time.Hour)
	assert.Equal(t, choose(slot, resource.Vector{}, young, old, fresh)[0].Task, ident.TaskID("fresh"))
	assert.Equal(t, choose(slot, resource.Vector{}, old)[0].Task, ident.TaskID("old"))
	old.Policy = rules.EvictNever
	urgent := batchTask("urgent", 4000, time.Hour)
	urgent.Class = work.Urgent
	assert.Equal(t, len(choose(slot, resource.Vector{}, old, urgent)), 0)
}

// A task that was evicted too often, was evicted too recently or has just
// started must not be evicted. A set of victims must not exceed the number of
// evictions left in the minute, must free enough for the demand, and must have
// no member that is not needed.
func TestRespectsEvictionLimitsAndFreesOnlyWhatIsNeeded(t *testing.T) {
	slot := resource.Vector{Slots: 1}
	evictedOften := batchTask("tired", 4000, time.Hour)
	evictedOften.Evictions = 3
	recent := batchTask("recent", 4000, time.Hour)
	recent.Evictions, recent.LastEvicted = 1, now.Add(-time.Minute)
	assert.Equal(t, len(choose(slot, resource.Vector{}, evictedOften, recent, batchTask("new", 1, time.Second))), 0)
	tasks := []eviction.Task{batchTask("a", 1000, time.Hour), batchTask("b", 1000, time.Hour), batchTask("c", 4000, time.Hour)}
	assert.Equal(t, len(choose(resource.Vector{Slots: 3}, resource.Vector{}, tasks...)), 0, "the victims exceed the evictions left in the minute")
	assert.Equal(t, len(choose(resource.Vector{Slots: 9}, resource.Vector{}, tasks...)), 0, "the demand exceeds what all tasks free")
	assert.Equal(t, len(choose(resource.Vector{CPU: 4000, Slots: 1}, resource.Vector{}, tasks...)), 1, "one victim is enough")
	assert.Equal(t, len(choose(slot, slot, tasks...)), 0, "the demand fits without victims")
}
