package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

const (
	jobA        = jobspec.ID("00000000000000aa")
	testWorker  = WorkerID("w1")
	otherWorker = WorkerID("w2")
)

var testStart = time.UnixMilli(1_000_000)

func testInfo(id WorkerID) WorkerInfo {
	return WorkerInfo{ID: id, Address: "address of " + string(id), Pool: "pool", Capacity: Size{CPU: 8000, MemoryMB: 8000}}
}

func testSpec() jobspec.Job {
	return jobspec.Job{Steps: []jobspec.Step{{Count: 1, CPUMillis: 5000, MemoryMB: 100, EstimateMillis: 1000}}}
}

func testRecord(attempts int) JobRecord {
	return JobRecord{ID: jobA, Job: testSpec(), AcceptedMillis: testStart.UnixMilli(),
		Terms: QueueTerms{Queue: "q", Pool: "pool", Attempts: attempts, Stretch: 2}}
}

// newRestoredCell returns a cell of a later term with one stored job and two
// workers that have not answered yet.
func newRestoredCell(record JobRecord, progress ...ProgressRecord) *Cell {
	c := New(Config{Epoch: 5, RecoveryWait: 8 * time.Second, MaxEarlierLease: testLease, EndedJobRetention: time.Minute, RemoteFactor: 1})
	infos := []WorkerInfo{testInfo(testWorker), testInfo(otherWorker)}
	c.Restore(testStart, []JobRecord{record}, progress, infos)
	c.UpdateWorkers(testStart, infos)
	return c
}

func newReport(worker WorkerID, at time.Time, listed ...RunReport) Report {
	return Report{Worker: worker, Incarnation: 1, Sent: at, Token: 1, Running: listed, Complete: true}
}

// takeStored returns the effects of all events, and with them the starts that are ordered
// once their runs are stored.
func takeStored(c *Cell, now time.Time) Effects {
	effects := c.TakeEffects(now)
	if effects.Write != nil {
		c.MarkStored(now, effects.Write.Number)
	}
	effects.Starts = append(effects.Starts, c.TakeEffects(now).Starts...)
	return effects
}

func takeStarts(c *Cell, now time.Time) []StartOrder { return takeStored(c, now).Starts }

func firstTaskID() TaskID { return TaskID{Job: jobA} }

// Regression test for a double run: a worker answers a new leader once and then
// becomes unresponsive, before any renewal of the new term prolonged its
// leases. The lease of the earlier term may still be valid, so the task must
// not be started elsewhere until that has expired.
func TestRunIsKeptUntilLeaseOfEarlierTermExpires(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	c.ApplyReport(testStart, newReport(testWorker, testStart, RunReport{Task: firstTaskID(), Run: 1}))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	now := testStart.Add(time.Second)
	c.MarkUnresponsive(now, testWorker, time.Time{})
	c.Tick(now)
	assert.Equal(t, len(takeStarts(c, now)), 0)
	now = testStart.Add(testLease)
	c.TermRenewed(now)
	c.Tick(now)
	assert.Equal(t, len(takeStarts(c, now)), 1, "the lease has expired")
}

// The next leader renews leases before it has read the registry. With the address at
// which a worker was first registered, it would call whatever listens there now.
func TestChangedRegistryEntryIsStored(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	moved := testInfo(testWorker)
	moved.Address, moved.Draining = "10.0.0.9:1", true
	c.UpdateWorkers(testStart, []WorkerInfo{moved, testInfo(otherWorker)})
	write := c.TakeEffects(testStart).Write
	assert.Assert(t, write != nil)
	assert.DeepEqual(t, write.Workers, []WorkerInfo{moved})
	c.UpdateWorkers(testStart, []WorkerInfo{moved, testInfo(otherWorker)})
	assert.Assert(t, c.TakeEffects(testStart).Write == nil, "an unchanged entry is not written again")
}

// A worker that has not answered may still run tasks of an earlier term.
// Starting them elsewhere would run them twice.
func TestRecoveryWaitsForAllWorkers(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	assert.Equal(t, len(takeStarts(c, testStart)), 0)
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	starts := takeStarts(c, testStart.Add(retryPause))
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Run > 5*runsPerTerm, "the run number must be above those of earlier terms")
}

// A worker that was not told that an end is stored lists it to the next leader
// as well. If that counted as a second failure, the job would fail too early.
func TestRepeatedEndCountsOnce(t *testing.T) {
	progress := ProgressRecord{ID: jobA, State: Running, Started: true,
		Tasks: []TaskRecord{{FailedRuns: []int64{1}, LastRun: 1}}}
	c := newRestoredCell(testRecord(2), progress)
	repeated := newReport(testWorker, testStart)
	repeated.Ended = []RunEnd{{Number: 1, Task: firstTaskID(), Run: 1, Reason: EndFailed}}
	c.ApplyReport(testStart, repeated)
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	assert.Equal(t, len(takeStarts(c, testStart)), 1, "only one of two allowed failures has occurred")
	state, _ := c.Lookup(jobA)
	assert.Equal(t, state, Running)
}

// A worker that still runs something that belongs to no open task has less free
// capacity than the cell knows. Starting more there could overload it.
func TestUnknownRunBlocksStartsOnItsWorker(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	unknown := TaskID{Job: "00000000000000bb"}
	c.ApplyReport(testStart, newReport(testWorker, testStart, RunReport{Task: unknown, Run: 7}))
	c.ApplyReport(testStart, newReport(otherWorker, testStart, RunReport{Task: unknown, Run: 8}))
	effects := takeStored(c, testStart)
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(effects.Stops), 2)
	now := testStart.Add(time.Second)
	c.ApplyReport(now, newReport(testWorker, now))
	assert.Equal(t, len(takeStarts(c, now)), 1)
}

// A report composed before a start can arrive after the start was accepted. It
// does not list the run. If that were taken as the end of the run, the task
// would run twice.
func TestReportSentBeforeStartDoesNotEndRun(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	order := takeStarts(c, testStart)[0]
	accepted := testStart.Add(10 * time.Millisecond)
	c.ApplyStartResult(accepted, StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: StartAccepted})
	early := newReport(order.Worker, testStart.Add(5*time.Millisecond))
	c.ApplyReport(testStart.Add(20*time.Millisecond), early)
	assert.Equal(t, len(takeStarts(c, accepted.Add(time.Second))), 0)
	later := newReport(order.Worker, accepted.Add(time.Second))
	c.ApplyReport(accepted.Add(time.Second), later)
	assert.Equal(t, len(takeStarts(c, accepted.Add(2*time.Second))), 1)
}

// The answer to an earlier lease renewal can arrive after that to a later one. A run
// that it lists may have ended since; taken for a run unknown so far, it would occupy
// capacity and keep its task from being started again.
func TestReportOlderThanAppliedOneIsIgnored(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	running := RunReport{Task: firstTaskID(), Run: 1}
	c.ApplyReport(testStart, newReport(testWorker, testStart, running))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	now := testStart.Add(2 * time.Second)
	stopped := newReport(testWorker, testStart.Add(time.Second))
	stopped.Ended = []RunEnd{{Number: 1, Task: firstTaskID(), Run: 1, Reason: EndStopped}}
	c.ApplyReport(now, stopped)
	c.ApplyReport(now, newReport(testWorker, testStart.Add(500*time.Millisecond), running))
	assert.Equal(t, len(takeStarts(c, now)), 1)
}

// A worker can answer a renewal late, get a start order, and then become unresponsive
// before its older lease ends. The order may still arrive, and it brings a lease of its
// own, so its task must not be started elsewhere when the older lease ends.
func TestStartInFlightOutlivesOlderLease(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	order := takeStarts(c, testStart)[0]
	now := testStart.Add(testLease)
	c.MarkUnresponsive(now, order.Worker, time.Time{})
	c.Tick(now)
	assert.Equal(t, len(takeStarts(c, now)), 0, "the outcome of the start order is not known")
	c.ApplyStartResult(now, StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: StartUnknown, LeaseUntil: now.Add(testLease)})
	c.Tick(now.Add(testLease - 1))
	assert.Equal(t, len(takeStarts(c, now.Add(testLease-1))), 0, "the run may still have its lease")
	c.TermRenewed(now.Add(testLease))
	c.Tick(now.Add(testLease))
	assert.Equal(t, len(takeStarts(c, now.Add(testLease))), 1)
}

// A start order prolongs the lease of everything on its worker, also if a report lists
// the run before the answer to the order arrives. If that lease was not counted, the
// runs would be given up and started elsewhere while they still run.
func TestLeaseOfStartCountsAfterRunIsListed(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	order := takeStarts(c, testStart)[0]
	now := testStart.Add(time.Second)
	c.ApplyReport(now, newReport(order.Worker, now, RunReport{Task: order.Task, Run: order.Run}))
	leaseUntil := testStart.Add(3 * testLease)
	c.ApplyStartResult(now, StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: StartAccepted, LeaseUntil: leaseUntil})
	c.MarkUnresponsive(now, order.Worker, time.Time{})
	c.Tick(leaseUntil.Add(-1))
	assert.Equal(t, len(takeStarts(c, leaseUntil.Add(-1))), 0)
	c.TermRenewed(leaseUntil)
	c.Tick(leaseUntil)
	assert.Equal(t, len(takeStarts(c, leaseUntil)), 1)
}

// Guards against two runs of a task: a leader that does not reach the log gives up a silent
// worker by its clock, while the next leader has adopted the run and extends its lease.
func TestLeaseIsNotOverBeforeTermIsRenewed(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	c.ApplyReport(testStart, newReport(testWorker, testStart, RunReport{Task: firstTaskID(), Run: 1}))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	c.MarkUnresponsive(testStart, testWorker, time.Time{})
	end := testStart.Add(testLease)
	c.TermRenewed(end.Add(-1))
	now := end.Add(time.Second)
	c.Tick(now)
	assert.Equal(t, len(takeStarts(c, now)), 0, "the term may have ended before the lease")
	assert.Assert(t, c.AwaitsRenewal())
	c.TermRenewed(end)
	c.Tick(now)
	assert.Equal(t, len(takeStarts(c, now)), 1)
}

// A start order without an answer may still arrive later. Only a report under a
// higher token proves that it can't; starting the task before that could run it
// twice.
func TestUnansweredStartIsResolvedByHigherToken(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	order := takeStarts(c, testStart)[0]
	now := testStart.Add(time.Second)
	c.ApplyStartResult(now, StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: StartUnknown, Token: 1})
	assert.DeepEqual(t, c.TakeEffects(now).Resolve, []WorkerID{order.Worker})
	c.ApplyReport(now, newReport(order.Worker, now))
	assert.Equal(t, len(takeStarts(c, now)), 0)
	resolved := newReport(order.Worker, now)
	resolved.Token = 2
	c.ApplyReport(now, resolved)
	assert.Equal(t, len(takeStarts(c, now.Add(time.Second))), 1)
}

// The worker restarts while a start order is in flight. The order may arrive at
// the new incarnation, so the task must not be started a second time.
func TestStartInFlightToRestartedWorkerIsNotRepeated(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	order := takeStarts(c, testStart)[0]
	restarted := newReport(order.Worker, testStart.Add(time.Second))
	restarted.Incarnation = 2
	c.ApplyReport(testStart.Add(time.Second), restarted)
	assert.Equal(t, len(takeStarts(c, testStart.Add(time.Second))), 0)
}

// A job that is shown as accepted, or started, before it is stored would be
// lost if the leader ended at that moment.
func TestJobIsHiddenUntilStored(t *testing.T) {
	c := New(Config{Epoch: 1, RemoteFactor: 1})
	c.UpdateWorkers(testStart, []WorkerInfo{testInfo(testWorker)})
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	record := testRecord(1)
	assert.Equal(t, c.Submit(testStart, 7, jobA, &record.Job, record.Terms), SubmitPending)
	effects := c.TakeEffects(testStart)
	_, found := c.Lookup(jobA)
	assert.Assert(t, !found)
	assert.Equal(t, len(effects.Starts)+len(effects.AnswerableRequests), 0)
	c.MarkStored(testStart, effects.Write.Number)
	effects = c.TakeEffects(testStart)
	assert.DeepEqual(t, effects.AnswerableRequests, []uint64{7})
	assert.Equal(t, len(effects.Starts), 1)
	assert.Equal(t, c.Submit(testStart, 8, jobA, &record.Job, record.Terms), SubmitStored)
}

// If a worker discarded an end before it is stored, the next leader would never
// learn of it.
func TestEndIsAcknowledgedAfterItIsStored(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	ended := newReport(testWorker, testStart)
	ended.Ended = []RunEnd{{Number: 4, Task: firstTaskID(), Run: 1, Reason: EndSucceeded}}
	c.ApplyReport(testStart, ended)
	effects := c.TakeEffects(testStart)
	assert.Equal(t, len(effects.Acknowledgements), 0)
	state, _ := c.Lookup(jobA)
	assert.Equal(t, state, Running, "the completion must not be shown before it is stored")
	c.MarkStored(testStart, effects.Write.Number)
	assert.DeepEqual(t, c.TakeEffects(testStart).Acknowledgements, []Acknowledgement{{testWorker, 1, 4}})
	state, _ = c.Lookup(jobA)
	assert.Equal(t, state, Completed)
}

// A job counts as pending until a worker has accepted a start. An order alone,
// or a refused one, must not change that.
func TestJobIsPendingUntilWorkerAcceptsStart(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	order := takeStarts(c, testStart)[0]
	assert.Equal(t, c.PendingJobs("q"), 1, "the start is only ordered")
	now := testStart.Add(time.Second)
	c.ApplyStartResult(now, StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: StartRefused})
	assert.Equal(t, c.PendingJobs("q"), 1, "refused")
	order = takeStarts(c, now)[0]
	c.ApplyStartResult(now, StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: StartAccepted})
	assert.Equal(t, c.PendingJobs("q"), 0)
	state, _ := c.Lookup(jobA)
	assert.Equal(t, state, Running)
}

// Regression test: a cancel that arrived while the job was being stored was
// answered with "no such job", and the job ran afterwards.
func TestCancelWhileJobIsBeingStored(t *testing.T) {
	c := New(Config{Epoch: 1, EndedJobRetention: time.Minute})
	spec := testSpec()
	c.Submit(testStart, 1, jobA, &spec, testRecord(3).Terms)
	write := c.TakeEffects(testStart).Write
	assert.Assert(t, c.Cancel(testStart, 2, jobA))
	canceled := c.TakeEffects(testStart).Write
	c.MarkStored(testStart, write.Number)
	state, _ := c.Lookup(jobA)
	assert.Equal(t, state, Queued, "the cancellation is not stored yet")
	assert.Equal(t, len(c.readyTasks), 0, "a canceled job must have no ready tasks")
	c.MarkStored(testStart, canceled.Number)
	state, _ = c.Lookup(jobA)
	assert.Equal(t, state, Canceled)
	assert.DeepEqual(t, c.TakeEffects(testStart).AnswerableRequests, []uint64{1, 2})
}

// Regression test: on a full deployment, a long-running task that had failed
// waited forever, because each place that became free went to a short task.
func TestFailedLongRunningTaskComesBeforeShortTasks(t *testing.T) {
	record := testRecord(3)
	record.Job.Steps[0].LongRunning = true
	c := newRestoredCell(record)
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	first := takeStarts(c, testStart)[0]
	c.ApplyStartResult(testStart, newStartResult(first, StartAccepted, ""))
	// A short task takes all of the other worker, and more of them wait.
	for n := range 4 {
		short := testRecord(3)
		short.ID = jobA[:15] + jobspec.ID("bcde"[n:n+1])
		short.Job.Steps[0].CPUMillis = 8000
		c.Submit(testStart, uint64(n), short.ID, &short.Job, short.Terms)
	}
	c.TakeEffects(testStart)
	c.MarkStored(testStart, c.lastWrite)
	now := testStart.Add(time.Second)
	shortStarts := takeStarts(c, now)
	assert.Equal(t, len(shortStarts), 1)
	failed := newReport(first.Worker, now)
	failed.Ended = []RunEnd{{Number: 1, Task: first.Task, Run: first.Run, Reason: EndFailed}}
	c.ApplyReport(now, failed)
	assert.Equal(t, len(takeStarts(c, now.Add(retryPause))), 1, "a short task takes the free capacity")
	now = now.Add(longRunningMaxWait)
	ended := newReport(otherWorker, now)
	if first.Worker == otherWorker {
		ended = newReport(testWorker, now)
	}
	ended.Ended = []RunEnd{{Number: 1, Task: shortStarts[0].Task, Run: shortStarts[0].Run, Reason: EndSucceeded}}
	c.ApplyReport(now, ended)
	starts := takeStarts(c, now.Add(rankPeriod))
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Task, first.Task)
}

// Regression test for a task that never ran again: the machine's time of day was stepped
// back before its worker restarted, so the new incarnation had a lower number, and all
// its reports were taken for late answers of an earlier one.
func TestRestartWithLowerIncarnationIsNoticed(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	running := newReport(testWorker, testStart, RunReport{Task: firstTaskID(), Run: 1})
	running.Incarnation = 100
	c.ApplyReport(testStart, running)
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	now := testStart.Add(time.Second)
	restarted := newReport(testWorker, now)
	restarted.Incarnation = 50
	c.ApplyReport(now, restarted)
	c.MarkStored(now, c.TakeEffects(now).Write.Number) // The worker may have crashed under the task.
	assert.Equal(t, len(takeStarts(c, now)), 1, "the run ended with its incarnation")
}

// An answer of an incarnation that has ended can arrive after one of the next
// incarnation, whose number may be lower. If it were taken for a restart, what the
// worker runs now would be started a second time.
func TestLateAnswerOfEndedIncarnationIsIgnored(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	arrived := testStart.Add(2 * time.Second)
	current := newReport(testWorker, testStart, RunReport{Task: firstTaskID(), Run: 1})
	current.Incarnation = 50
	c.ApplyReport(arrived, current)
	c.ApplyReport(arrived, newReport(otherWorker, testStart))
	for _, incarnation := range []int64{40, 100} {
		late := newReport(testWorker, testStart.Add(time.Second))
		late.Incarnation = incarnation
		c.ApplyReport(arrived.Add(time.Second), late)
		assert.Equal(t, len(takeStarts(c, arrived.Add(time.Second))), 0, "answer of incarnation %d", incarnation)
	}
}

// The stop order for a canceled job is lost, and the start order before it got no answer.
// If the worker lists the run later, it must be stopped; a long-running task would go on
// and keep its capacity for ever.
func TestRunListedAfterCancelIsStopped(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	order := takeStarts(c, testStart)[0]
	c.ApplyStartResult(testStart, StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: StartUnknown, Token: 1})
	assert.Assert(t, c.Cancel(testStart, 1, jobA))
	c.MarkStored(testStart, c.TakeEffects(testStart).Write.Number)
	c.TakeEffects(testStart)
	now := testStart.Add(time.Second)
	resolved := newReport(order.Worker, now, RunReport{Task: order.Task, Run: order.Run})
	resolved.Token = 2
	c.ApplyReport(now, resolved)
	assert.DeepEqual(t, c.TakeEffects(now).Stops, []StopOrder{{order.Worker, order.Task, order.Run}})
}

// Guards against a stored record that grows with each failure of a long-running task, which
// has no limit of attempts: one too large for the log would end every term.
func TestRecordOfFailingLongRunningTaskDoesNotGrow(t *testing.T) {
	record := testRecord(3)
	record.Job.Steps[0].LongRunning = true
	c := newRestoredCell(record)
	for n := range 100 {
		now := testStart.Add(time.Duration(n) * time.Second)
		report := newReport(testWorker, now)
		report.Ended = []RunEnd{{Number: int64(n + 1), Task: firstTaskID(), Run: int64(n + 1), Reason: EndFailed}}
		c.ApplyReport(now, report)
	}
	task := c.jobs[jobA].progressRecord().Tasks[0]
	assert.Equal(t, len(task.FailedRuns), 1)
	assert.Equal(t, task.LastRun, int64(100))
	assert.Equal(t, len(c.jobs[jobA].findTask(firstTaskID()).failedWorkers), 1)
}
