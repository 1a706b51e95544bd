package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

const (
	testJob    = jobspec.ID("00000000000000aa")
	testWorker = WorkerID("w1")
	otherOne   = WorkerID("w2")
)

var testStart = time.UnixMilli(1_000_000)

func testInfo(id WorkerID) WorkerInfo {
	return WorkerInfo{ID: id, Pool: "pool", Capacity: Size{CPU: 8000, MemoryMB: 8000}}
}

func testSpec() jobspec.Job {
	return jobspec.Job{Steps: []jobspec.Step{{Count: 1, CPU: 5000, MemoryMB: 100, EstimateMillis: 1000}}}
}

func testRecord(attempts int) JobRecord {
	return JobRecord{ID: testJob, Job: testSpec(), AcceptedMillis: testStart.UnixMilli(),
		Terms: Terms{Queue: "q", Pool: "pool", Attempts: attempts, Stretch: 2}}
}

// successor returns a cell of a later term with one stored job and two workers
// that have not answered yet.
func successor(record JobRecord, progress ...ProgressRecord) *Cell {
	c := New(Config{Epoch: 5, RecoveryWait: 8 * time.Second, Lease: testLease, KeepEnded: time.Minute, RemoteFactor: 1})
	infos := []WorkerInfo{testInfo(testWorker), testInfo(otherOne)}
	c.Restore(testStart, []JobRecord{record}, progress, infos)
	c.Register(testStart, infos)
	return c
}

func report(worker WorkerID, at time.Time, rows ...Row) Report {
	return Report{Worker: worker, Born: 1, Sent: at, Token: 1, Running: rows}
}

func taskZero() TaskID { return TaskID{Job: testJob} }

// Guards against a second run of a task whose worker answered a new leader
// once and then not, before any hold of the term prolonged its lease.
func TestLostHoldAfterTakeoverKeepsTheRun(t *testing.T) {
	c := successor(testRecord(3))
	c.Report(testStart, report(testWorker, testStart, Row{Task: taskZero(), Run: 1}))
	c.Report(testStart, report(otherOne, testStart))
	now := testStart.Add(time.Second)
	c.Silent(now, testWorker, time.Time{})
	c.Tick(now)
	assert.Equal(t, len(c.Take(now).Starts), 0)
	now = testStart.Add(testLease)
	c.Tick(now)
	assert.Equal(t, len(c.Take(now).Starts), 1, "the lease is over")
}

// Guards against starting tasks of an earlier term while a worker that may run
// them has not answered.
func TestRecoveryWaitsForEveryWorker(t *testing.T) {
	c := successor(testRecord(3))
	c.Report(testStart, report(testWorker, testStart))
	assert.Equal(t, len(c.Take(testStart).Starts), 0)
	c.Report(testStart, report(otherOne, testStart))
	starts := c.Take(testStart.Add(retryPause)).Starts
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Run > 5*runsPerTerm, "the run is above those of earlier terms")
}

// Guards against a job that fails because a worker lists the same end to two
// leaders.
func TestRepeatedEndCountsOnce(t *testing.T) {
	progress := ProgressRecord{ID: testJob, State: Running, Began: true,
		Tasks: []TaskRecord{{FailedRuns: []int64{1}, LastRun: 1}}}
	c := successor(testRecord(2), progress)
	again := report(testWorker, testStart)
	again.Ended = []End{{Number: 1, Task: taskZero(), Run: 1, How: EndFailed}}
	c.Report(testStart, again)
	c.Report(testStart, report(otherOne, testStart))
	assert.Equal(t, len(c.Take(testStart).Starts), 1, "one failure of two allowed")
	state, _ := c.Lookup(testJob)
	assert.Equal(t, state, Running)
}

// Guards against more work on a worker than it holds, where it still runs
// something that belongs to no open task.
func TestForeignRunBlocksItsWorker(t *testing.T) {
	c := successor(testRecord(3))
	stranger := TaskID{Job: "00000000000000bb"}
	c.Report(testStart, report(testWorker, testStart, Row{Task: stranger, Run: 7}))
	c.Report(testStart, report(otherOne, testStart, Row{Task: stranger, Run: 8}))
	effects := c.Take(testStart)
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(effects.Stops), 2)
	now := testStart.Add(time.Second)
	c.Report(now, report(testWorker, now))
	assert.Equal(t, len(c.Take(now).Starts), 1)
}

// Guards against a task that runs twice because a report that was composed
// before its start arrives after it.
func TestOldReportDoesNotEndARun(t *testing.T) {
	c := successor(testRecord(3))
	c.Report(testStart, report(testWorker, testStart))
	c.Report(testStart, report(otherOne, testStart))
	order := c.Take(testStart).Starts[0]
	accepted := testStart.Add(10 * time.Millisecond)
	c.StartResult(accepted, StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: StartAccepted})
	old := report(order.Worker, testStart.Add(5*time.Millisecond))
	c.Report(testStart.Add(20*time.Millisecond), old)
	assert.Equal(t, len(c.Take(accepted.Add(time.Second)).Starts), 0)
	fresh := report(order.Worker, accepted.Add(time.Second))
	c.Report(accepted.Add(time.Second), fresh)
	assert.Equal(t, len(c.Take(accepted.Add(2*time.Second)).Starts), 1)
}

// Guards against a second run while an order without an answer may still
// arrive: only a report under a higher token settles it.
func TestUnansweredStartWaitsForAHigherToken(t *testing.T) {
	c := successor(testRecord(3))
	c.Report(testStart, report(testWorker, testStart))
	c.Report(testStart, report(otherOne, testStart))
	order := c.Take(testStart).Starts[0]
	now := testStart.Add(time.Second)
	c.StartResult(now, StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: StartUnknown, Token: 1})
	assert.DeepEqual(t, c.Take(now).Settle, []WorkerID{order.Worker})
	c.Report(now, report(order.Worker, now))
	assert.Equal(t, len(c.Take(now).Starts), 0)
	settled := report(order.Worker, now)
	settled.Token = 2
	c.Report(now, settled)
	assert.Equal(t, len(c.Take(now.Add(time.Second)).Starts), 1)
}

// Guards against a run that is started again because its worker was reborn
// while the order was on its way there.
func TestOrderOnItsWayToARestartedWorker(t *testing.T) {
	c := successor(testRecord(3))
	c.Report(testStart, report(testWorker, testStart))
	c.Report(testStart, report(otherOne, testStart))
	order := c.Take(testStart).Starts[0]
	reborn := report(order.Worker, testStart.Add(time.Second))
	reborn.Born = 2
	c.Report(testStart.Add(time.Second), reborn)
	assert.Equal(t, len(c.Take(testStart.Add(time.Second)).Starts), 0)
}

// Guards against a job that is shown as accepted, and started, before it is
// stored.
func TestJobIsHiddenUntilStored(t *testing.T) {
	c := New(Config{Epoch: 1, RemoteFactor: 1})
	c.Register(testStart, []WorkerInfo{testInfo(testWorker)})
	c.Report(testStart, report(testWorker, testStart))
	record := testRecord(1)
	assert.Equal(t, c.Submit(testStart, 7, testJob, &record.Job, record.Terms), SubmitPending)
	effects := c.Take(testStart)
	_, found := c.Lookup(testJob)
	assert.Assert(t, !found)
	assert.Equal(t, len(effects.Starts)+len(effects.Done), 0)
	c.Stored(effects.Write.Number)
	effects = c.Take(testStart)
	assert.DeepEqual(t, effects.Done, []uint64{7})
	assert.Equal(t, len(effects.Starts), 1)
	assert.Equal(t, c.Submit(testStart, 8, testJob, &record.Job, record.Terms), SubmitStored)
}

// Guards against a worker that forgets an end before it is stored.
func TestEndIsAcknowledgedAfterItIsStored(t *testing.T) {
	c := successor(testRecord(3))
	done := report(testWorker, testStart)
	done.Ended = []End{{Number: 4, Task: taskZero(), Run: 1, How: EndDone}}
	c.Report(testStart, done)
	effects := c.Take(testStart)
	assert.Equal(t, len(effects.Acks), 0)
	state, _ := c.Lookup(testJob)
	assert.Equal(t, state, Running, "a task has run; completed is not shown yet")
	c.Stored(effects.Write.Number)
	assert.DeepEqual(t, c.Take(testStart).Acks, []Acknowledgement{{testWorker, 1, 4}})
	state, _ = c.Lookup(testJob)
	assert.Equal(t, state, Completed)
}

// Guards against a job that is no longer counted as waiting although no worker
// has started a task of it.
func TestJobWaitsUntilAWorkerStartsIt(t *testing.T) {
	c := successor(testRecord(3))
	c.Report(testStart, report(testWorker, testStart))
	c.Report(testStart, report(otherOne, testStart))
	order := c.Take(testStart).Starts[0]
	assert.Equal(t, c.Pending("q"), 1, "only ordered")
	now := testStart.Add(time.Second)
	c.StartResult(now, StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: StartRefused})
	assert.Equal(t, c.Pending("q"), 1, "refused")
	order = c.Take(now).Starts[0]
	c.StartResult(now, StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: StartAccepted})
	assert.Equal(t, c.Pending("q"), 0)
	state, _ := c.Lookup(testJob)
	assert.Equal(t, state, Running)
}

// Guards against a cancel that is answered with "no such job" while the job is
// being stored: the job ran afterwards.
func TestCancelOfAJobThatIsBeingStored(t *testing.T) {
	c := New(Config{Epoch: 1, KeepEnded: time.Minute})
	spec := testSpec()
	c.Submit(testStart, 1, testJob, &spec, testRecord(3).Terms)
	write := c.Take(testStart).Write
	assert.Assert(t, c.Cancel(testStart, 2, testJob))
	canceled := c.Take(testStart).Write
	c.Stored(write.Number)
	state, _ := c.Lookup(testJob)
	assert.Equal(t, state, Queued, "its cancel is not stored yet")
	assert.Equal(t, len(c.ready), 0, "no task may start")
	c.Stored(canceled.Number)
	state, _ = c.Lookup(testJob)
	assert.Equal(t, state, Canceled)
	assert.DeepEqual(t, c.Take(testStart).Done, []uint64{1, 2})
}

// Guards against a task that lasts and has failed, and then waits for ever behind
// short tasks: on a full deployment each place that came free went to them.
func TestFailedTaskThatLastsComesBeforeShortTasks(t *testing.T) {
	record := testRecord(3)
	record.Job.Steps[0].LongRunning = true
	c := successor(record)
	c.Report(testStart, report(testWorker, testStart))
	c.Report(testStart, report(otherOne, testStart))
	first := c.Take(testStart).Starts[0]
	c.StartResult(testStart, result(first, StartAccepted, ""))
	// The other worker is full of a short task, and more of them wait.
	for n := range 4 {
		short := testRecord(3)
		short.ID = testJob[:15] + jobspec.ID("bcde"[n:n+1])
		short.Job.Steps[0].CPU = 8000
		c.Submit(testStart, uint64(n), short.ID, &short.Job, short.Terms)
	}
	c.Take(testStart)
	c.Stored(c.writes)
	now := testStart.Add(time.Second)
	taken := c.Take(now).Starts
	assert.Equal(t, len(taken), 1)
	failed := report(first.Worker, now)
	failed.Ended = []End{{Number: 1, Task: first.Task, Run: first.Run, How: EndFailed}}
	c.Report(now, failed)
	assert.Equal(t, len(c.Take(now.Add(retryPause)).Starts), 1, "a short task takes the place")
	now = now.Add(lastingPatience)
	ended := report(otherOne, now)
	if first.Worker == otherOne {
		ended = report(testWorker, now)
	}
	ended.Ended = []End{{Number: 1, Task: taken[0].Task, Run: taken[0].Run, How: EndDone}}
	c.Report(now, ended)
	starts := c.Take(now.Add(rankPeriod)).Starts
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Task, first.Task)
}
