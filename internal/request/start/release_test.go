package start_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/request/start"
	"poplarvalve/test/workerstub"
)

// taskEndings are the ways in which a started task may end.
var taskEndings = map[string]func(ctx context.Context, o *owner, stub *workerstub.Worker){
	"by itself":    func(context.Context, *owner, *workerstub.Worker) {},
	"restart":      func(_ context.Context, _ *owner, stub *workerstub.Worker) { stub.Restart() },
	"change owner": func(_ context.Context, o *owner, _ *workerstub.Worker) { o.table.Close("w") },
	"unreachable": func(_ context.Context, _ *owner, stub *workerstub.Worker) {
		stub.ChangeSettings(func(s *workerstub.Settings) { s.Unreachable = true })
	},
	"stop twice and evict": func(ctx context.Context, o *owner, _ *workerstub.Worker) {
		var group sync.WaitGroup
		group.Go(func() { _, _ = o.Stop(ctx, "w", "job/1") })
		group.Go(func() { _, _ = o.Stop(ctx, "w", "job/1") })
		group.Go(func() { _, _ = o.Evict(ctx, "w", "job/1") })
		group.Wait()
		_, _ = o.Stop(ctx, "w", "job/1")
	},
	"stop at its end": func(ctx context.Context, o *owner, _ *workerstub.Worker) {
		time.Sleep(time.Minute)
		_, _ = o.Stop(ctx, "w", "job/1")
		_, _, _ = o.Status(ctx, "w", "job/1")
	},
	"evict at its end": func(ctx context.Context, o *owner, _ *workerstub.Worker) {
		time.Sleep(time.Minute)
		_, _ = o.Evict(ctx, "w", "job/1")
	},
}

// A reservation that is returned twice would let more work onto the worker
// than it can hold; one that is never returned would block the capacity for
// good. The test holds a reservation of its own, so that a second return shows
// as too small a sum.
func TestReservationIsReleasedOnceForEveryTaskEnd(t *testing.T) {
	for name, endTask := range taskEndings {
		for _, command := range []string{"", "Start", "Stop", "Checkpoint", "Task"} {
			for _, dropCommand := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s lost, command dropped %t", name, command, dropCommand), func(t *testing.T) {
					inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
						o := newReadyOwner(ctx, "a", stub)
						assert.Assert(t, o.account.Reserve(demand))
						stub.AddLoss(workerstub.ReplyLoss{Command: command, Count: 1, DropCommand: dropCommand})
						_, err := o.Start(ctx, batchTask("job/1"))
						if err == nil {
							assert.Equal(t, o.account.Used(), demand.Add(demand))
						}
						endTask(ctx, o, stub)
						time.Sleep(2 * time.Minute)
						assert.Equal(t, o.account.Used(), demand)
					})
				})
			}
		}
	}
}

// If a new owner starts a task again that its takeover found running, the
// worker runs it twice and the reservation of the first run is lost.
func TestTakeoverDoesNotRestartRunningTask(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		old := newReadyOwner(ctx, "old", stub)
		_, err := old.Start(ctx, batchTask("job/1"))
		assert.NilError(t, err)
		old.table.Close("w")
		next := newReadyOwner(ctx, "next", stub)
		_, err = next.Start(ctx, batchTask("job/1"))
		assert.Equal(t, fault.KindOf(err), fault.ResolvedNotRun)
		assert.Equal(t, fault.From(err).Outcome, fault.Unknown)
		assert.Equal(t, stub.StartCount("job/1"), 1)
		status, _, err := next.Status(ctx, "w", "job/1")
		assert.NilError(t, err)
		assert.Equal(t, status, start.TaskStatusRunning)
		time.Sleep(2 * time.Minute)
		assert.Equal(t, next.account.Used(), resource.Vector{})
	})
}
