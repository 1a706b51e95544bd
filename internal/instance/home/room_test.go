package home

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/token"
	"poplarvalve/internal/process/work"
	"poplarvalve/test/platformstub"
	"poplarvalve/test/virtualtime"
)

// Guards against a home that accepts jobs and keys until its memory is used up, that refuses without
// a wait, that refuses the repeat of an accepted job, or that claims of a job which an earlier attempt
// may still store that it does not run. The limit must shrink with the number of instances, since any
// of them may become the home of all shards.
func TestHomeWithoutRoomRefusesNewJobsAndKeysOnly(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		platform := platformstub.New(nil)
		self := incarnation("a", 1)
		pool := newFakePool(1)
		config := newTestConfig(t, self, platform.Client("a"), pool, &directPeers{})
		config.MemoryBytes = 8 << 20
		config.LeaseValid = func(time.Time) bool { return true }
		home := New(config)
		defer startHome(t, home)()
		time.Sleep(2 * time.Second)
		submit := func(suffix byte) (work.Job, error) {
			job := newJob(time.Now(), suffix)
			job.Service, job.Body = "watch", make([]byte, 100<<10)
			_, err := home.Submit(t.Context(), job)
			return job, err
		}
		first, err := submit(1)
		assert.NilError(t, err)
		accepted := 1
		for err == nil && accepted < 200 {
			_, err = submit(byte(accepted + 1))
			accepted++
		}
		failure := fault.From(err)
		assert.Equal(t, failure.Kind, fault.Overloaded)
		assert.Equal(t, failure.Outcome, fault.Unknown)
		assert.Assert(t, failure.RetryAfter >= roomWait && failure.RetryAfter <= roomWait+roomWaitSpread, "%v", failure.RetryAfter)
		assert.Assert(t, accepted > 8 && accepted < 13, "%d jobs are accepted", accepted)
		_, err = home.Submit(t.Context(), first)
		assert.NilError(t, err, "a repeat")
		_, err = home.GrantKey(t.Context(), "c", newUUIDv7(time.Now(), 250), token.Digest{1})
		assert.NilError(t, err, "there is room for something small")
		assert.Assert(t, home.heldBytes() <= home.roomLimit())
		assert.Equal(t, home.appending.Load(), int64(0))

		alone := home.roomLimit()
		config.Ownership.Publish(ownershipTable(2, self, incarnation("b", 2), incarnation("c", 3), incarnation("d", 4), incarnation("e", 5)))
		assert.Equal(t, home.roomLimit(), int64(commonShare/5*float64(config.MemoryBytes)))
		assert.Assert(t, home.roomLimit() < alone)
	})
}
