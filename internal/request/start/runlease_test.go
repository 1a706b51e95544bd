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

// silent is a worker that carries out starts and never replies to them.
type silent struct{ *workerstub.Worker }

func (s silent) Start(ctx context.Context, command worker.StartCommand) (worker.TaskReport, error) {
	go func() { _, _ = s.Worker.Start(ctx, command) }()
	<-ctx.Done()
	return worker.TaskReport{}, fault.Wrap(fault.WorkerLost, ctx.Err(), "no reply")
}

// sleeping returns a call that takes a time at the worker.
func sleeping(id string, takes time.Duration) start.Task {
	task := urgent(id)
	task.Body = fmt.Appendf(nil, `{"sleep_ms":%d,"answer_bytes":8}`, takes.Milliseconds())
	return task
}

// Guards against a call that is waited for, or holds capacity, after its run
// lease, and against the answer of a stopped call that is taken for whole.
func TestCallEndsWithinItsRunLease(t *testing.T) {
	for _, kind := range []string{"replies", "reply lost", "silent"} {
		t.Run(kind, func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
				var api worker.API = stub
				if kind == "silent" {
					api = silent{stub}
				}
				o := ready(ctx, "a", api)
				if kind == "reply lost" {
					stub.Lose(workerstub.Loss{Command: "Start", Count: 1})
				}
				patient, cancel := context.WithTimeout(ctx, time.Hour)
				defer cancel()
				began := time.Now()
				_, err := o.Call(patient, sleeping("long", time.Minute))
				assert.Equal(t, fault.KindOf(err), fault.DeadlineExceeded)
				assert.Equal(t, fault.From(err).Outcome, fault.Unknown)
				assert.Assert(t, time.Since(began) <= worker.RunLeasePeriod+worker.ClockMargin)
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, o.account.Used(), resource.Vector{})
				outcome, _, _ := o.Resolve(ctx, "long")
				assert.Equal(t, outcome, fault.Unknown)
				_, err = o.Call(patient, sleeping("short", 15*time.Second))
				assert.Equal(t, err == nil, kind != "silent", "%v", err)
			})
		})
	}
}

// Guards against a task that runs without renewal of its run lease while the
// owner waits for the reply to its start.
func TestBeginAsksWhenNoReplyComes(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := ready(ctx, "a", silent{stub})
		handle, err := o.Begin(ctx, batch("job/1"))
		assert.NilError(t, err)
		<-handle.Done()
		assert.Assert(t, handle.Report().State.Over())
		assert.Equal(t, stub.History()[1].At.Sub(stub.History()[0].At), time.Minute)
	})
}
