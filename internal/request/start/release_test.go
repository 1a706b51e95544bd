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

// endings are the ways in which a task that was begun may end.
var endings = map[string]func(ctx context.Context, o *owner, stub *workerstub.Worker){
	"by itself":    func(context.Context, *owner, *workerstub.Worker) {},
	"restart":      func(_ context.Context, _ *owner, stub *workerstub.Worker) { stub.Restart() },
	"change owner": func(_ context.Context, o *owner, _ *workerstub.Worker) { o.table.Close("w") },
	"unreachable": func(_ context.Context, _ *owner, stub *workerstub.Worker) {
		stub.Change(func(s *workerstub.Settings) { s.Unreachable = true })
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

// Guards against a reservation that is returned twice, which lets more work in
// than the worker holds, or never. A reservation of the test's own would show
// a second return as a smaller sum.
func TestEveryEndReleasesOnce(t *testing.T) {
	for name, end := range endings {
		for _, command := range []string{"", "Start", "Stop", "Checkpoint", "Task"} {
			for _, before := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s lost, before effect %t", name, command, before), func(t *testing.T) {
					bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
						o := ready(ctx, "a", stub)
						assert.Assert(t, o.account.Reserve(demand))
						stub.Lose(workerstub.Loss{Command: command, Count: 1, BeforeEffect: before})
						_, err := o.Begin(ctx, batch("job/1"))
						if err == nil {
							assert.Equal(t, o.account.Used(), demand.Add(demand))
						}
						end(ctx, o, stub)
						time.Sleep(2 * time.Minute)
						assert.Equal(t, o.account.Used(), demand)
					})
				})
			}
		}
	}
}

// Guards against a second start of a task that a takeover found running. The
// worker would run it twice, and the reservation of the first would be lost.
func TestTaskOfEarlierOwnerIsNotStartedAgain(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		old := ready(ctx, "old", stub)
		_, err := old.Begin(ctx, batch("job/1"))
		assert.NilError(t, err)
		old.table.Close("w")
		next := ready(ctx, "next", stub)
		_, err = next.Begin(ctx, batch("job/1"))
		assert.Equal(t, fault.KindOf(err), fault.Resolved)
		assert.Equal(t, fault.From(err).Outcome, fault.Unknown)
		assert.Equal(t, stub.Starts("job/1"), 1)
		standing, _, err := next.Status(ctx, "w", "job/1")
		assert.NilError(t, err)
		assert.Equal(t, standing, start.StandingRunning)
		time.Sleep(2 * time.Minute)
		assert.Equal(t, next.account.Used(), resource.Vector{})
	})
}
