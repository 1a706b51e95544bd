package logging

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/ident"
)

// A logger must not write lines below its level, and each line must name the
// instance. Code without a logger calls the methods of a nil Logger, which must
// not panic.
func TestLoggerFiltersByLevelAndNamesInstance(t *testing.T) {
	var output bytes.Buffer
	logger := New(&output, "warn", "entry-1")
	logger.RulesInForce(7, "ann")
	logger.LeaseChanged(true)
	assert.Equal(t, output.Len(), 0)
	logger.LeaseChanged(false)
	assert.Equal(t, strings.Count(output.String(), "\n"), 1)
	assert.Assert(t, strings.Contains(output.String(), `"instance":"entry-1"`), output.String())
	var nilLogger *Logger
	nilLogger.Started(ident.Incarnation{}, "")
	nilLogger.Stopped(1)
	nilLogger.Failed(nil)
}
