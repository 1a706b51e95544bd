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

func batch(id ident.TaskID, cpu int64, ran time.Duration) eviction.Task {
	return eviction.Task{
		ID:      id,
		Held:    resource.Vector{CPU: cpu, Memory: 1000, Slots: 1},
		Started: now.Add(-ran),
	}
}

func choose(demand, free resource.Vector, tasks ...eviction.Task) []eviction.Victim {
	return eviction.Choose(eviction.Situation{Now: now, Demand: demand, Free: free, Tasks: tasks, Left: 2})
}

// Guards against a task that is stopped where throttling or saving one would do.
func TestStepsInOrder(t *testing.T) {
	old, saving := batch("old", 4000, time.Hour), batch("saving", 4000, time.Hour)
	saving.Checkpoints = true
	cpu := choose(resource.Vector{CPU: 3000}, resource.Vector{}, old, saving)
	assert.Equal(t, len(cpu), 1)
	assert.Equal(t, cpu[0].Step, eviction.Throttle)
	slot := resource.Vector{CPU: 1000, Slots: 1}
	assert.DeepEqual(t, choose(slot, resource.Vector{}, old, saving),
		[]eviction.Victim{{Task: "saving", Step: eviction.Checkpoint, Frees: saving.Held}})
	assert.DeepEqual(t, choose(slot, resource.Vector{}, old),
		[]eviction.Victim{{Task: "old", Step: eviction.Stop, Frees: old.Held}})
}

// Guards against victims that lose much, that were evicted before, or that a
// rule keeps, while others would do.
func TestVictims(t *testing.T) {
	slot := resource.Vector{Slots: 1}
	young, old := batch("young", 4000, time.Minute), batch("old", 4000, time.Hour)
	assert.Equal(t, choose(slot, resource.Vector{}, old, young)[0].Task, ident.TaskID("young"))
	young.Evictions = 2
	young.Started = now.Add(-30 * time.Minute)
	assert.Equal(t, choose(slot, resource.Vector{}, young, old)[0].Task, ident.TaskID("old"))
	old.Policy, young.Class = rules.EvictLast, work.Live
	fresh := batch("fresh", 4000, 10*time.Hour)
	assert.Equal(t, choose(slot, resource.Vector{}, young, old, fresh)[0].Task, ident.TaskID("fresh"))
	assert.Equal(t, choose(slot, resource.Vector{}, old)[0].Task, ident.TaskID("old"))
	old.Policy = rules.EvictNever
	urgent := batch("urgent", 4000, time.Hour)
	urgent.Class = work.Urgent
	assert.Equal(t, len(choose(slot, resource.Vector{}, old, urgent)), 0)
}

// Guards against evictions beyond the budgets, and against evictions that make
// no room or more room than needed.
func TestBudgetsAndNeed(t *testing.T) {
	slot := resource.Vector{Slots: 1}
	tired := batch("tired", 4000, time.Hour)
	tired.Evictions = 3
	recent := batch("recent", 4000, time.Hour)
	recent.Evictions, recent.LastEvicted = 1, now.Add(-time.Minute)
	assert.Equal(t, len(choose(slot, resource.Vector{}, tired, recent, batch("new", 1, time.Second))), 0)
	three := []eviction.Task{batch("a", 1000, time.Hour), batch("b", 1000, time.Hour), batch("c", 4000, time.Hour)}
	assert.Equal(t, len(choose(resource.Vector{Slots: 3}, resource.Vector{}, three...)), 0, "beyond the budget a minute")
	assert.Equal(t, len(choose(resource.Vector{Slots: 9}, resource.Vector{}, three...)), 0, "in vain")
	assert.Equal(t, len(choose(resource.Vector{CPU: 4000, Slots: 1}, resource.Vector{}, three...)), 1, "more than needed")
	assert.Equal(t, len(choose(slot, slot, three...)), 0, "fits without")
}
