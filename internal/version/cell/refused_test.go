package cell

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// muteWorkers answers the lease renewals of some workers, but carries out no start there.
type muteWorkers struct {
	cell    *Cell
	workers []WorkerID
	// outcome is that of each start, and token the one that the next renewals carry.
	outcome StartOutcome
	token   int64
}

// step lets the workers answer, and returns the starts ordered on any other worker.
func (m *muteWorkers) step(t *testing.T, now time.Time) (others []StartOrder) {
	t.Helper()
	for _, id := range m.workers {
		report := newReport(id, now)
		report.Token = m.token
		m.cell.ApplyReport(now, report)
	}
	m.cell.Tick(now)
	for _, order := range storeEffects(t, m.cell, now) {
		if !slices.Contains(m.workers, order.Worker) {
			others = append(others, order)
			continue
		}
		result := newStartResult(order, m.outcome, RefusedNoCapacity)
		result.Token = m.token
		m.cell.ApplyStartResult(now, result)
	}
	m.token++
	return others
}

// waitForStart returns how long it takes until a start is ordered on another worker.
func (m *muteWorkers) waitForStart(t *testing.T, since time.Time) time.Duration {
	t.Helper()
	for now := since; now.Before(since.Add(10 * time.Second)); now = now.Add(100 * time.Millisecond) {
		if len(m.step(t, now)) > 0 {
			return now.Sub(since)
		}
	}
	t.Fatal("the task is offered only to workers that don't start it")
	return 0
}

// Guards against a task that waits anew for another worker than the one on which it failed,
// each time it is refused there.
func TestRefusedTaskReturnsToWorkerOnWhichItFailed(t *testing.T) {
	c, orders := newCellWithOneWorker(t, 2)
	c.UpdateWorkers(testStart, []WorkerInfo{testInfo(testWorker), testInfo(otherWorker)})
	failed := testStart.Add(time.Second)
	endRuns(c, failed, orders, EndFailed, EndSucceeded)
	m := &muteWorkers{cell: c, workers: []WorkerID{otherWorker}, outcome: StartRefused, token: 1}
	waited := m.waitForStart(t, failed)
	assert.Assert(t, waited <= otherWorkerWait+refusalPause, "started after %v", waited)
}

// Guards against a long-running task that never comes before short tasks, because each
// start without effect counts as a run.
func TestLongRunningTaskThatIsNotStartedBecomesOverdue(t *testing.T) {
	for name, outcome := range map[string]StartOutcome{"refused": StartRefused, "unanswered": StartUnknown} {
		t.Run(name, func(t *testing.T) {
			c, orders := newCellWithOneWorker(t, 2)
			endRuns(c, testStart, orders, EndSucceeded, EndSucceeded)
			const lasting = jobspec.ID("00000000000000bb")
			spec := jobspec.Job{Steps: []jobspec.Step{{Count: 1, CPUMillis: 1000, MemoryMB: 100, LongRunning: true}}}
			c.Submit(testStart, 2, lasting, &spec, QueueTerms{Queue: "q", Pool: "pool"})
			m := &muteWorkers{cell: c, workers: []WorkerID{testWorker}, outcome: outcome, token: 2}
			now := testStart
			for ; now.Before(testStart.Add(longRunningMaxWait + time.Second)); now = now.Add(100 * time.Millisecond) {
				m.step(t, now)
			}
			assert.Assert(t, c.jobs[lasting].findTask(TaskID{Job: lasting}).overdue(now))
		})
	}
}

// Guards against a task whose start never arrives and that is offered to the same workers
// again and again while others have room.
func TestTaskWhoseStartsDoNotArriveIsOfferedElsewhere(t *testing.T) {
	c, orders := newCellWithOneWorker(t, 2)
	endRuns(c, testStart, orders, EndSucceeded, EndSucceeded)
	mute := []WorkerID{testWorker, otherWorker}
	infos := []WorkerInfo{testInfo(testWorker), testInfo(otherWorker), testInfo("w3")}
	c.UpdateWorkers(testStart, infos)
	c.ApplyReport(testStart, newReport("w3", testStart))
	const next = jobspec.ID("00000000000000bb")
	spec := testSpec()
	c.Submit(testStart, 2, next, &spec, QueueTerms{Queue: "q", Pool: "pool", Attempts: 3, Stretch: 2})
	m := &muteWorkers{cell: c, workers: mute, outcome: StartUnknown, token: 2}
	waited := m.waitForStart(t, testStart)
	assert.Assert(t, waited <= time.Second, "started after %v", waited)
}
