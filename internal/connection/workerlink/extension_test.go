package workerlink

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/version/cell"
	"poplarvalve/test/virtualtime"
)

// Guards against two runs of a task: the next leader relies on it that no order extends a lease
// beyond LeaseEnd once StopExtension has returned.
func TestNoOrderExtendsLeaseAfterStopExtension(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker, recorder := &fakeWorker{}, &recordingSink{}
		session := Open(ctx, Options{Worker: "w", Client: worker, Sink: recorder, Token: 7, MaxLease: testMaxLease})
		time.Sleep(5 * time.Second)
		session.StopExtension()
		end := session.LeaseEnd()
		before := len(worker.receivedRenewals())
		session.Start(ctx, cell.StartOrder{Worker: "w", Run: 1})
		time.Sleep(10 * time.Second)
		assert.Equal(t, recorder.startResults[0].Refusal, cell.RefusedNotSent)
		assert.Equal(t, session.LeaseEnd(), end)
		after := worker.receivedRenewals()[before:]
		assert.Assert(t, len(after) > 5 && len(after) < 30, "%d renewals in 10 s", len(after))
		for _, renewal := range after {
			assert.Equal(t, renewal.LeaseUntil, int64(0))
		}
		cancel()
		session.Wait()
	})
}

// Guards against a worker whose lease ends although its bound was lifted: the next renewal
// after AllowExtension is sent at once.
func TestLeaseIsExtendedAtOnceAfterAllowExtension(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		worker := &fakeWorker{}
		session := Open(ctx, Options{Worker: "w", Client: worker, Sink: &recordingSink{}, Token: 7, MaxLease: testMaxLease, Bound: true})
		time.Sleep(5 * time.Second)
		assert.Assert(t, session.LeaseEnd().IsZero())
		session.AllowExtension()
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, session.LeaseEnd().After(time.Now()))
		cancel()
		session.Wait()
	})
}

// Guards against two runs of a task: a start that was ordered before the worker's address
// changed must not grant a lease by the closed session, whose end nobody looks at any more.
func TestClosedSessionGrantsNoLease(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		recorder := &recordingSink{}
		session := Open(ctx, Options{Worker: "w", Client: &fakeWorker{}, Sink: recorder, Token: 7, MaxLease: testMaxLease})
		time.Sleep(5 * time.Second)
		session.Close()
		end := session.LeaseEnd()
		time.Sleep(time.Second)
		session.Start(ctx, cell.StartOrder{Worker: "w", Run: 1})
		assert.Equal(t, session.LeaseEnd(), end)
		assert.Equal(t, recorder.startResults[0].Refusal, cell.RefusedNotSent)
		cancel()
		session.Wait()
	})
}
