package sizes_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/version/sizes"
)

var declared = resource.Vector{CPU: 4000, Memory: 8000, Slots: 1}

var largest = resource.Vector{CPU: 32000, Memory: 125000}

func sizeAfterReports(used func(i int) resource.Vector) resource.Vector {
	var table *sizes.Table
	for i := range 100 {
		table = table.Add([]sizes.Report{{Service: "rebuild", Used: used(i)}})
	}
	return table.Size("rebuild", declared, largest)
}

// The estimated size must correct a wrong declaration, stay close to the usage of a
// service with steady usage, and leave headroom for one whose usage varies. A
// declaration that is about right is kept, and no size exceeds the largest worker.
func TestSizeFollowsUsage(t *testing.T) {
	steady := sizeAfterReports(func(int) resource.Vector { return resource.Vector{CPU: 16000, Memory: 32000} })
	assert.Assert(t, steady.CPU >= 16000 && steady.CPU <= 17000, "%v", steady)
	assert.Assert(t, steady.Memory >= 32000 && steady.Memory <= 35000, "%v", steady)
	assert.Equal(t, steady.Slots, int64(1))
	aboutRight := sizeAfterReports(func(i int) resource.Vector { return resource.Vector{CPU: int64(3800 + i%2*400), Memory: 7500} })
	assert.Equal(t, aboutRight, declared)
	huge := sizeAfterReports(func(int) resource.Vector { return resource.Vector{CPU: 64000, Memory: 256000} })
	assert.Assert(t, huge.Fits(resource.Vector{CPU: 32000, Memory: 125000, Slots: 1}), "%v does not fit on the largest worker", huge)
	unsteady := sizeAfterReports(func(i int) resource.Vector { return resource.Vector{CPU: int64(1000 + i%2*1000), Memory: 4000} })
	assert.Assert(t, unsteady.CPU >= 2000 && unsteady.CPU <= 4000, "%v", unsteady)
}

// A size must not be estimated from too few reports. An idle service must keep a
// share of its declared memory, and a memory peak must count long after it was
// reported, since a task that lacks memory ends.
func TestSizeKeepsDeclaredAndPeakMemory(t *testing.T) {
	var table *sizes.Table
	assert.Equal(t, table.Size("rebuild", declared, largest), declared)
	table = table.Add([]sizes.Report{{Service: "rebuild", Used: resource.Vector{CPU: 1}}})
	assert.Equal(t, table.Size("rebuild", declared, largest), declared)
	idle := sizeAfterReports(func(int) resource.Vector { return resource.Vector{} })
	assert.Assert(t, idle.Memory >= 2000 && idle.Memory < 2100, "%v", idle)
	peak := sizeAfterReports(func(i int) resource.Vector {
		if i == 20 {
			return resource.Vector{CPU: 1000, Memory: 9000}
		}
		return resource.Vector{CPU: 1000, Memory: 3000}
	})
	assert.Assert(t, peak.Memory > 5000, "%v", peak)
}
