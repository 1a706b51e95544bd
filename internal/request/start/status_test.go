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

// newFirstOwner returns the first owner that the worker has ever had.
func newFirstOwner(ctx context.Context, client worker.WorkerClient) *owner {
	o := newOwner(ctx, "first", client)
	o.table.Close("w")
	o.session = worker.NewFirstSession(client, clock.System{}, "w", ident.Incarnation{Instance: "only", Nonce: 1})
	o.table.Open(ctx, o.session)
	time.Sleep(time.Second)
	return o
}

// checkStatus checks the status of a task and, for TaskStatusUnknown, the
// reason. It returns the report.
func checkStatus(t *testing.T, ctx context.Context, o *owner, task ident.TaskID, want start.TaskStatus, reason fault.Kind) worker.TaskReport {
	t.Helper()
	got, report, err := o.Status(ctx, "w", task)
	assert.Equal(t, got, want, "%v", err)
	assert.Equal(t, fault.KindOf(err), reason)
	if err != nil {
		assert.Equal(t, fault.From(err).Outcome, fault.Unknown)
	}
	return report
}

// The home of a job must learn all that the worker knows about an attempt of
// an earlier owner, and the attempt must not be started a second time.
func TestStatusAfterChangeOfOwner(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		old := newReadyOwner(ctx, "old", stub)
		for _, id := range []string{"running/1", "stopped/1"} {
			_, err := old.Start(ctx, batchTask(id))
			assert.NilError(t, err)
		}
		time.Sleep(10 * time.Second)
		_, err := old.Evict(ctx, "w", "stopped/1")
		assert.NilError(t, err)
		old.table.Close("w")
		next := newOwner(ctx, "next", stub)
		time.Sleep(time.Second)
		checkStatus(t, ctx, next, "lost/1", start.TaskStatusUnknown, fault.OwnerNotReady)
		next.session.ConfirmEarlierOwnersOver()
		time.Sleep(4 * time.Second)
		checkStatus(t, ctx, next, "running/1", start.TaskStatusRunning, "")
		report := checkStatus(t, ctx, next, "stopped/1", start.TaskStatusEnded, "")
		assert.Assert(t, len(report.Checkpoint) > 0)
		checkStatus(t, ctx, next, "lost/1", start.TaskStatusUnknown, fault.TaskUnknownToWorker)
		for _, id := range []string{"running/1", "stopped/1", "lost/1"} {
			_, err := next.Start(ctx, batchTask(id))
			assert.Equal(t, fault.KindOf(err), fault.ResolvedNotRun)
			assert.Equal(t, fault.From(err).Outcome, fault.Unknown)
			outcome, _, _ := next.Resolve(ctx, ident.TaskID(id))
			assert.Equal(t, outcome, fault.Unknown)
		}
		assert.Equal(t, stub.StartCount("running/1")+stub.StartCount("stopped/1")+stub.StartCount("lost/1"), 2)
		next.Fence.Close()
		checkStatus(t, ctx, next, "lost/1", start.TaskStatusUnknown, fault.Fenced)
		next.table.Close("w")
		checkStatus(t, ctx, next, "lost/1", start.TaskStatusUnknown, fault.NotOwner)
	})
}

// A start that an earlier owner sent may still arrive. Status must not return
// TaskUnknownToWorker or TaskStatusNeverStarted before that has become
// impossible.
func TestTaskUnknownToWorkerExcludesLateStart(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 2700 * time.Millisecond, 4 * time.Second, 5 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
				old := newReadyOwner(ctx, "old", stub)
				stub.AddLoss(workerstub.ReplyLoss{Command: "Start", Count: 1, Delay: delay})
				startCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
				defer cancel()
				_, _ = old.Start(startCtx, batchTask("late/1"))
				old.Fence.Close()
				next := newOwner(ctx, "next", stub)
				next.session.ConfirmEarlierOwnersOver()
				for range 60 {
					_, _, err := next.Status(ctx, "w", "late/1")
					if fault.KindOf(err) == fault.TaskUnknownToWorker {
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
				before := stub.StartCount("late/1")
				time.Sleep(10 * time.Second)
				assert.Equal(t, stub.StartCount("late/1"), before)
			})
		})
	}
}

// Status must return TaskStatusNeverStarted only with a complete proof, and
// must return it whenever the proof is complete.
func TestNeverStartedRequiresProof(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := newFirstOwner(ctx, stub)
		stub.AddLoss(workerstub.ReplyLoss{Command: "RenewLease", Count: 1})
		checkStatus(t, ctx, o, "never/1", start.TaskStatusNeverStarted, "")
		_, err := o.Start(ctx, batchTask("never/1"))
		assert.Equal(t, fault.KindOf(err), fault.ResolvedNotRun)
		stub.AddLoss(workerstub.ReplyLoss{Command: "Task", Count: 1})
		checkStatus(t, ctx, o, "never/1", start.TaskStatusUnknown, fault.WorkerLost)
		stub.ChangeSettings(func(s *workerstub.Settings) { s.Unreachable = true })
		checkStatus(t, ctx, o, "never/1", start.TaskStatusUnknown, fault.WorkerUnreachable)
		stub.ChangeSettings(func(s *workerstub.Settings) { s.Unreachable = false })
		time.Sleep(10 * time.Second)
		checkStatus(t, ctx, o, "never/1", start.TaskStatusNeverStarted, "")
		// The time of the proof above must be before the next query, not equal
		// to it.
		time.Sleep(time.Millisecond)
		stub.AddLoss(workerstub.ReplyLoss{Command: "RenewLease", Count: 20, DropCommand: true})
		startCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
		defer cancel()
		checkStatus(t, startCtx, o, "never/1", start.TaskStatusUnknown, fault.TaskUnknownToWorker)
		stub.Restart()
		time.Sleep(time.Minute)
		checkStatus(t, ctx, o, "never/1", start.TaskStatusUnknown, fault.TaskUnknownToWorker)
	})
}

// If the worker restarts right after a start whose reply was lost, it does not
// know the task, as if the task had never run. Status must not take that for a
// proof that the task never started.
func TestWorkerRestartDoesNotProveNeverStarted(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := newFirstOwner(ctx, stub)
		_, err := stub.Start(ctx, worker.StartCommand{Task: "other/1", StartLease: startLeaseID(t, o), RunLease: time.Minute})
		assert.NilError(t, err)
		stub.Restart()
		checkStatus(t, ctx, o, "other/1", start.TaskStatusUnknown, fault.TaskUnknownToWorker)
	})
}

func startLeaseID(t *testing.T, o *owner) ident.LeaseID {
	t.Helper()
	granted, err := o.session.StartLease(time.Now())
	assert.NilError(t, err)
	return granted.ID
}

// Status must wait for a start of this owner that is still in progress, and
// the report of a task that is over must not be lost.
func TestStatusWaitsForOwnStarts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := newFirstOwner(ctx, stub)
		for _, dropCommand := range []bool{true, false} {
			id, want := "after/1", start.TaskStatusRunning
			if dropCommand {
				id, want = "before/1", start.TaskStatusNeverStarted
			}
			stub.AddLoss(workerstub.ReplyLoss{Command: "Start", Count: 1, DropCommand: dropCommand})
			stub.AddLoss(workerstub.ReplyLoss{Command: "Task", Count: 2, DropCommand: true})
			go func() { _, _ = o.Start(ctx, batchTask(id)) }()
			time.Sleep(time.Millisecond)
			checkStatus(t, ctx, o, ident.TaskID(id), want, "")
		}
		_, err := o.Call(ctx, urgentTask("called"))
		assert.NilError(t, err)
		stub.Restart()
		report := checkStatus(t, ctx, o, "called", start.TaskStatusEnded, "")
		assert.Equal(t, string(report.Result), "body")
		checkStatus(t, ctx, o, "after/1", start.TaskStatusUnknown, fault.TaskUnknownToWorker)
		time.Sleep(10 * time.Second)
		assert.Equal(t, o.account.Used(), resource.Vector{})
		assert.Equal(t, stub.History()[0].State, work.TaskRunning)
	})
}
