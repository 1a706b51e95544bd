package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/workerlink"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/cell"
)

// Guards against a replaced leader that starts tasks of workers which it takes for lost,
// because they follow the next leader.
func TestLeaderFencedByWorkerStartsNothingUntilItsTermIsRenewed(t *testing.T) {
	l := testLeadership(t)
	l.renewalRequests = make(chan struct{}, 1)
	l.cancel = func() {}
	now := time.Now()
	info := cell.WorkerInfo{ID: "a", Pool: "p", Capacity: cell.Size{CPU: 1000}}
	l.cell.UpdateWorkers(now, []cell.WorkerInfo{info})
	l.cell.ApplyReport(now, cell.Report{Worker: "a", Incarnation: 1, Sent: now})
	spec := jobspec.Job{Steps: []jobspec.Step{{Count: 1, CPUMillis: 100}}}
	l.cell.Submit(now, 1, "00000000000000aa", &spec, cell.QueueTerms{Queue: "q", Pool: "p"})
	write := l.cell.TakeEffects(now).Write
	l.RenewalUnanswered("b", time.Time{}, &workerlink.RefusedError{Reason: cell.RefusedFenced})
	l.applyQueuedEvents()
	assert.Equal(t, len(l.renewalRequests), 1)
	l.cell.MarkStored(now, write.Number)
	l.tick()
	assert.Equal(t, len(l.cell.TakeEffects(now).Starts), 0)

	l.refusalsChecked.Store(l.fenceRefusals.Load()) // A renewal has succeeded.
	l.RenewalUnanswered("b", time.Time{}, &workerlink.RefusedError{Reason: cell.RefusedFenced})
	l.applyQueuedEvents()
	l.tick()
	assert.Equal(t, len(l.cell.TakeEffects(now.Add(time.Second)).Starts), 1, "a worker that refuses everything stops no others")
}
