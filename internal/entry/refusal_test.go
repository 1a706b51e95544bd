package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/process/boottime"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
	"poplarvalve/test/virtualtime"
)

// overloadedLeadership returns the leadership of a cell that refuses hopeless jobs and has more
// work than its one worker can do. Its events are applied until the test ends.
func overloadedLeadership(t *testing.T) *leadership {
	l := testLeadership(t)
	l.cell = cell.New(cell.Config{EndedJobRetention: time.Minute, RefuseHopeless: true})
	info := cell.WorkerInfo{ID: "w", Pool: "pool", Capacity: cell.Size{CPU: 8000, MemoryMB: 8000}}
	take := func() {
		for effects := l.cell.TakeEffects(time.Now()); effects.Write != nil; effects = l.cell.TakeEffects(time.Now()) {
			l.cell.MarkStored(time.Now(), effects.Write.Number)
		}
	}
	l.cell.UpdateWorkers(time.Now(), []cell.WorkerInfo{info})
	l.cell.ApplyReport(time.Now(), cell.Report{Worker: "w", Incarnation: 1, Sent: time.Now(), Token: 1, Complete: true})
	take()
	for i := range 30 {
		l.cell.Submit(time.Now(), 0, jobspec.ID(fmt.Sprintf("%016x", i)), testCall("00000000000000ff").Job, *testCall("00000000000000ff").Terms)
		take()
		time.Sleep(60 * time.Millisecond)
	}
	now := boottime.Now()
	l.lastRenewal.Store(&now)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() {
		for {
			select {
			case e := <-l.events:
				e(time.Now(), l.cell)
			case <-ctx.Done():
				return
			}
		}
	}()
	return l
}

func testCall(id jobspec.ID) cellcodec.Call {
	return cellcodec.Call{Operation: cellcodec.OpSubmit, ID: id, Terms: &cell.QueueTerms{Queue: "q", Pool: "pool", Stretch: 2},
		Job: &jobspec.Job{Steps: []jobspec.Step{{Count: 4, CPUMillis: 8000, MemoryMB: 1, EstimateMillis: 1000}}}}
}

// Guards against a refusal that doesn't tell the wait, that is given although an earlier attempt
// may be stored, or by a leader beside which a later one may have the job.
func TestHopelessJobIsRefusedWithWait(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := overloadedLeadership(t)
		reply := l.serve(t.Context(), testCall("00000000000000aa"))
		assert.Equal(t, reply.Result, cellcodec.Refused)
		assert.Assert(t, reply.RetryAfterMillis >= 1000, "%d ms", reply.RetryAfterMillis)

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		inDoubt := testCall("00000000000000ab")
		inDoubt.InDoubt = true
		assert.Equal(t, l.serve(ctx, inDoubt).Result, cellcodec.InDoubt, "the write is not stored in this test")

		time.Sleep(election.TermLease + time.Millisecond)
		assert.Equal(t, l.serve(t.Context(), testCall("00000000000000ac")).Result, cellcodec.NotLeader)
		cancel()
	})
}
