package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// Guards against bytes that stay counted after their forward was forgotten
// while it ran, so that nothing is remembered any more.
func TestForgottenRunningForwardLeavesNoBytes(t *testing.T) {
	var table recent
	var from ident.Incarnation
	running, first, err := table.begin(time.Now(), from, 1)
	assert.NilError(t, err)
	assert.Assert(t, first)
	for number := range uint64(maxForwards) {
		table.resolve(time.Now(), from, 2+number, "other")
	}
	table.finish(from, running, work.Answer{Body: make([]byte, maxForwardBytes+1)})
	assert.Equal(t, table.fronts[from].bytes, 0)
	assert.Equal(t, len(table.fronts[from].entries), maxForwards)
}
