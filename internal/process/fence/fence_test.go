package fence

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against work of an old incarnation that goes on under the lease of
// the next one of the same process.
func TestRevokedFenceStaysClosed(t *testing.T) {
	now := time.Unix(1000, 0)
	process := New(now)
	old := process.Bind()
	assert.Assert(t, !old.Open(now))
	process.Renew(now, time.Second)
	assert.Assert(t, old.Open(now))
	old.Revoke()
	process.Renew(now, time.Minute)
	assert.Assert(t, !old.Open(now))
	assert.Equal(t, old.Remaining(now), time.Duration(0))
	assert.Assert(t, process.Bind().Open(now))
}
