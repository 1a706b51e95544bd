package start_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/start"
	"poplarvalve/test/workerstub"
)

// firstOwner returns the first owner that the worker ever had.
func firstOwner(ctx context.Context, api worker.API) *owner {
	o := newOwner(ctx, "first", api)
	o.table.Close("w")
	o.session = worker.NewSession(api, clock.System{}, "w", ident.Incarnation{Instance: "only", Nonce: 1})
	o.table.Open(ctx, o.session)
	time.Sleep(time.Second)
	return o
}

// asks checks a standing and, for StandingUnknown, its reason.
func asks(t *testing.T, ctx context.Context, o *owner, task ident.TaskID, want start.Standing, reason fault.Kind) worker.TaskReport {
	t.Helper()
	got, report, err := o.Status(ctx, "w", task)
	assert.Equal(t, got, want, "%v", err)
	assert.Equal(t, fault.KindOf(err), reason)
	if err != nil {
		assert.Equal(t, fault.From(err).Outcome, fault.Unknown)
	}
	return report
}

// Guards against a home that learns less than the worker knows about an
// attempt of an earlier owner, and against a second start of it.
func TestStatusAfterChangeOfOwner(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		old := ready(ctx, "old", stub)
		for _, id := range []string{"running/1", "stopped/1"} {
			_, err := old.Begin(ctx, batch(id))
			assert.NilError(t, err)
		}
		time.Sleep(10 * time.Second)
		_, err := old.Evict(ctx, "w", "stopped/1")
		assert.NilError(t, err)
		old.table.Close("w")
		next := newOwner(ctx, "next", stub)
		time.Sleep(time.Second)
		asks(t, ctx, next, "lost/1", start.StandingUnknown, fault.OwnerNotReady)
		next.session.EarlierOwnersOver()
		time.Sleep(4 * time.Second)
		asks(t, ctx, next, "running/1", start.StandingRunning, "")
		report := asks(t, ctx, next, "stopped/1", start.StandingOver, "")
		assert.Assert(t, len(report.Checkpoint) > 0)
		asks(t, ctx, next, "lost/1", start.StandingUnknown, fault.TaskForgotten)
		for _, id := range []string{"running/1", "stopped/1", "lost/1"} {
			_, err := next.Begin(ctx, batch(id))
			assert.Equal(t, fault.KindOf(err), fault.Resolved)
			assert.Equal(t, fault.From(err).Outcome, fault.Unknown)
			outcome, _, _ := next.Resolve(ctx, ident.TaskID(id))
			assert.Equal(t, outcome, fault.Unknown)
		}
		assert.Equal(t, stub.Starts("running/1")+stub.Starts("stopped/1")+stub.Starts("lost/1"), 2)
		next.Fence.Close()
		asks(t, ctx, next, "lost/1", start.StandingUnknown, fault.Fenced)
		next.table.Close("w")
		asks(t, ctx, next, "lost/1", start.StandingUnknown, fault.NotOwner)
	})
}

// Guards against TaskForgotten or StandingNeverStarted for an attempt whose
// start by an earlier owner still arrives.
func TestStatusExcludesLateStart(t *testing.T) {
	for _, late := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2700 * time.Millisecond, 4 * time.Second, 5 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
				old := ready(ctx, "old", stub)
				stub.Lose(workerstub.Loss{Command: "Start", Count: 1, Delay: late})
				short, stop := context.WithTimeout(ctx, time.Millisecond)
				defer stop()
				_, _ = old.Begin(short, batch("late/1"))
				old.Fence.Close()
				next := newOwner(ctx, "next", stub)
				next.session.EarlierOwnersOver()
				for range 60 {
					_, _, err := next.Status(ctx, "w", "late/1")
					if fault.KindOf(err) == fault.TaskForgotten {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				before := stub.Starts("late/1")
				time.Sleep(10 * time.Second)
				assert.Equal(t, stub.Starts("late/1"), before)
			})
		})
	}
}

// Guards against StandingNeverStarted without proof, and against its absence
// where the proof is complete.
func TestNeverStartedNeedsProof(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := firstOwner(ctx, stub)
		stub.Lose(workerstub.Loss{Command: "RenewLease", Count: 1})
		asks(t, ctx, o, "never/1", start.StandingNeverStarted, "")
		_, err := o.Begin(ctx, batch("never/1"))
		assert.Equal(t, fault.KindOf(err), fault.Resolved)
		stub.Lose(workerstub.Loss{Command: "Task", Count: 1})
		asks(t, ctx, o, "never/1", start.StandingUnknown, fault.WorkerLost)
		stub.Change(func(s *workerstub.Settings) { s.Unreachable = true })
		asks(t, ctx, o, "never/1", start.StandingUnknown, fault.WorkerUnreachable)
		stub.Change(func(s *workerstub.Settings) { s.Unreachable = false })
		time.Sleep(10 * time.Second)
		asks(t, ctx, o, "never/1", start.StandingNeverStarted, "")
		// The proof above must lie before the next question, not at its instant.
		time.Sleep(time.Millisecond)
		stub.Lose(workerstub.Loss{Command: "RenewLease", Count: 20, BeforeEffect: true})
		short, stop := context.WithTimeout(ctx, 5*time.Second)
		defer stop()
		asks(t, short, o, "never/1", start.StandingUnknown, fault.TaskForgotten)
		stub.Restart()
		time.Sleep(time.Minute)
		asks(t, ctx, o, "never/1", start.StandingUnknown, fault.TaskForgotten)
	})
}

// Guards against a restart of the worker right after a start whose reply was
// lost, which makes the task look as if it never ran.
func TestStatusOfForgottenTask(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := firstOwner(ctx, stub)
		_, err := stub.Start(ctx, worker.StartCommand{Task: "other/1", StartLease: lease(t, o), RunLease: time.Minute})
		assert.NilError(t, err)
		stub.Restart()
		asks(t, ctx, o, "other/1", start.StandingUnknown, fault.TaskForgotten)
	})
}

func lease(t *testing.T, o *owner) ident.LeaseID {
	t.Helper()
	granted, err := o.session.StartLease(time.Now())
	assert.NilError(t, err)
	return granted.ID
}

// Guards against an answer about a start of this owner that is still on its
// way, and against a report that is lost after the end of the task.
func TestStatusOfOwnStarts(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := firstOwner(ctx, stub)
		for _, before := range []bool{true, false} {
			id, want := "after/1", start.StandingRunning
			if before {
				id, want = "before/1", start.StandingNeverStarted
			}
			stub.Lose(workerstub.Loss{Command: "Start", Count: 1, BeforeEffect: before})
			stub.Lose(workerstub.Loss{Command: "Task", Count: 2, BeforeEffect: true})
			go func() { _, _ = o.Begin(ctx, batch(id)) }()
			time.Sleep(time.Millisecond)
			asks(t, ctx, o, ident.TaskID(id), want, "")
		}
		_, err := o.Call(ctx, urgent("called"))
		assert.NilError(t, err)
		stub.Restart()
		report := asks(t, ctx, o, "called", start.StandingOver, "")
		assert.Equal(t, string(report.Result), "body")
		asks(t, ctx, o, "after/1", start.StandingUnknown, fault.TaskForgotten)
		time.Sleep(10 * time.Second)
		assert.Equal(t, o.account.Used(), resource.Vector{})
		assert.Equal(t, stub.History()[0].State, work.TaskRunning)
	})
}
