package fence

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// After the process has renewed the lease for its next incarnation, the fence
// of the old incarnation must stay closed. Otherwise the old incarnation's work
// would continue under the new lease.
func TestRevokedFenceStaysClosed(t *testing.T) {
	now := time.Unix(1000, 0)
	processFence := New(now)
	oldFence := processFence.Bind()
	assert.Assert(t, !oldFence.Open(now))
	processFence.Renew(now, time.Second)
	assert.Assert(t, oldFence.Open(now))
	oldFence.Revoke()
	processFence.Renew(now, time.Minute)
	assert.Assert(t, !oldFence.Open(now))
	assert.Equal(t, oldFence.Remaining(now), time.Duration(0))
	assert.Assert(t, processFence.Bind().Open(now))
}
