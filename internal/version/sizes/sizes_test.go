package sizes_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/version/sizes"
)

var declared = resource.Vector{CPU: 4000, Memory: 8000, Slots: 1}

func learn(used func(i int) resource.Vector) resource.Vector {
	var table *sizes.Table
	for i := range 100 {
		table = table.Fold([]sizes.Report{{Service: "rebuild", Used: used(i)}})
	}
	return table.Size("rebuild", declared)
}

// Guards against sizes that follow a wrong declaration, that leave a steady
// service much room, or an unsteady one none.
func TestLearnsSizes(t *testing.T) {
	steady := learn(func(int) resource.Vector { return resource.Vector{CPU: 16000, Memory: 32000} })
	assert.Assert(t, steady.CPU >= 16000 && steady.CPU <= 17000, "%v", steady)
	assert.Assert(t, steady.Memory >= 32000 && steady.Memory <= 34000, "%v", steady)
	assert.Equal(t, steady.Slots, int64(1))
	unsteady := learn(func(i int) resource.Vector { return resource.Vector{CPU: int64(1000 + i%2*1000), Memory: 4000} })
	assert.Assert(t, unsteady.CPU >= 2000 && unsteady.CPU <= 4000, "%v", unsteady)
}

// Guards against a size learnt from too little, and against memory that is
// taken from a task before it needs it.
func TestCaution(t *testing.T) {
	var table *sizes.Table
	assert.Equal(t, table.Size("rebuild", declared), declared)
	table = table.Fold([]sizes.Report{{Service: "rebuild", Used: resource.Vector{CPU: 1}}})
	assert.Equal(t, table.Size("rebuild", declared), declared)
	idle := learn(func(int) resource.Vector { return resource.Vector{} })
	assert.Equal(t, idle.Memory, int64(2000))
	peak := learn(func(i int) resource.Vector {
		if i == 20 {
			return resource.Vector{CPU: 1000, Memory: 9000}
		}
		return resource.Vector{CPU: 1000, Memory: 3000}
	})
	assert.Assert(t, peak.Memory > 5000, "%v", peak)
}
