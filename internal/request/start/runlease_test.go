package start_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/request/start"
	"poplarvalve/test/workerstub"
)

// unresponsiveWorker carries out start commands but never replies to them.
type unresponsiveWorker struct{ *workerstub.Worker }

func (w unresponsiveWorker) Start(ctx context.Context, command worker.StartCommand) (worker.TaskReport, error) {
	go func() { _, _ = w.Worker.Start(ctx, command) }()
	<-ctx.Done()
	return worker.TaskReport{}, fault.Wrap(fault.WorkerLost, ctx.Err(), "no reply")
}

// callLasting returns a call that runs for the given duration at the worker.
func callLasting(id string, duration time.Duration) start.Task {
	task := urgentTask(id)
	task.Body = fmt.Appendf(nil, `{"sleep_ms":%d,"answer_bytes":8}`, duration.Milliseconds())
	return task
}

// The caller's deadline is far later than the end of the run lease. Call must
// not wait, and must not hold capacity, beyond that end, and the partial
// answer of a stopped call must not be taken for a complete one.
func TestCallReturnsWithinRunLease(t *testing.T) {
	for _, kind := range []string{"replies", "reply lost", "silent"} {
		t.Run(kind, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
				var client worker.WorkerClient = stub
				if kind == "silent" {
					client = unresponsiveWorker{stub}
				}
				o := newReadyOwner(ctx, "a", client)
				if kind == "reply lost" {
					stub.AddLoss(workerstub.ReplyLoss{Command: "Start", Count: 1})
				}
				longCtx, cancel := context.WithTimeout(ctx, time.Hour)
				defer cancel()
				startedAt := time.Now()
				_, err := o.Call(longCtx, callLasting("long", time.Minute))
				assert.Equal(t, fault.KindOf(err), fault.DeadlineExceeded)
				assert.Equal(t, fault.From(err).Outcome, fault.Unknown)
				assert.Assert(t, time.Since(startedAt) <= worker.RunLeasePeriod+worker.ClockMargin)
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, o.account.Used(), resource.Vector{})
				outcome, _, _ := o.Resolve(ctx, "long")
				assert.Equal(t, outcome, fault.Unknown)
				_, err = o.Call(longCtx, callLasting("short", 15*time.Second))
				assert.Equal(t, err == nil, kind != "silent", "%v", err)
			})
		})
	}
}

// While the owner waits for the reply to a start, it does not renew the run
// lease of the task. It must therefore stop waiting in time and query the
// worker.
func TestBeginQueriesTaskWhenReplyIsMissing(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := newReadyOwner(ctx, "a", unresponsiveWorker{stub})
		handle, err := o.Start(ctx, batchTask("job/1"))
		assert.NilError(t, err)
		<-handle.Done()
		assert.Assert(t, handle.Report().State.IsFinal())
		assert.Equal(t, stub.History()[1].At.Sub(stub.History()[0].At), time.Minute)
	})
}
