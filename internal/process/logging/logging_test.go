package logging

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/ident"
)

// Guards against a line below the level, a line that doesn't name its instance,
// and a crash without a logger.
func TestLines(t *testing.T) {
	var output bytes.Buffer
	logger := New(&output, "warn", "entry-1")
	logger.RulesInForce(7, "ann")
	logger.Lease(true)
	assert.Equal(t, output.Len(), 0)
	logger.Lease(false)
	assert.Equal(t, strings.Count(output.String(), "\n"), 1)
	assert.Assert(t, strings.Contains(output.String(), `"instance":"entry-1"`), output.String())
	var none *Logger
	none.Started(ident.Incarnation{}, "")
	none.Stopped(1)
	none.Failed(nil)
}
