package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// A forward may be removed from the table while its request runs. If the size
// of its answer were then added and never subtracted, the table would exceed
// its limit for good and keep no forwards any more.
func TestAnswerOfRemovedForwardIsNotCounted(t *testing.T) {
	var table forwardTable
	var from ident.Incarnation
	running, first, err := table.register(time.Now(), from, 1)
	assert.NilError(t, err)
	assert.Assert(t, first)
	for number := range uint64(maxSenderForwards) {
		table.resolve(time.Now(), from, 2+number, "other")
	}
	table.recordAnswer(from, running, work.Answer{Body: make([]byte, maxSenderAnswerBytes+1)})
	assert.Equal(t, table.senders[from].answerBytes, 0)
	assert.Equal(t, len(table.senders[from].records), maxSenderForwards)
}
