package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/statebudget"
)

// newBudgetedCell returns a cell whose jobs have a budget.
func newBudgetedCell(budget *statebudget.Budget) *Cell {
	c := New(Config{Epoch: 1, MaxEarlierLease: testLease, EndedJobRetention: time.Minute, RemoteFactor: 1, Budget: budget})
	c.Restore(testStart, nil, nil, nil)
	return c
}

// Guards against a repeat of an accepted job that is refused for lack of room, and against a
// refused job that a late attempt of the same submission starts although its caller was told that
// it never runs.
func TestRefusalForRoomHitsNoKnownJobAndLastsForItsWait(t *testing.T) {
	c := newBudgetedCell(statebudget.New(statebudget.LimitsFor(64)))
	known, refused := jobNumber(1), jobNumber(2)
	spec := wideJob(1)
	assert.Equal(t, c.Submit(testStart, 1, known, &spec, QueueTerms{Queue: "q", Pool: "pool"}), SubmitPending)
	assert.Equal(t, c.RefuseForRoom(testStart, 2, known, "q", statebudget.Full), SubmitPending, "a job that is being stored")
	effects := c.TakeEffects(testStart)
	c.MarkStored(testStart, effects.Write.Number)
	assert.DeepEqual(t, c.TakeEffects(testStart).AnswerableRequests, []uint64{1, 2})
	assert.Equal(t, c.RefuseForRoom(testStart, 3, known, "q", statebudget.Full), SubmitStored)

	assert.Equal(t, c.RefuseForRoom(testStart, 4, refused, "q", statebudget.Full), SubmitRefused)
	wait := c.RefusalWait(testStart, refused)
	assert.Assert(t, wait >= statebudget.MinWait && wait <= statebudget.MaxWait, "%v", wait)
	late := testStart.Add(wait - time.Millisecond)
	assert.Equal(t, c.Submit(late, 5, refused, &spec, QueueTerms{Queue: "q", Pool: "pool"}), SubmitRefused)
	assert.Equal(t, c.Submit(testStart.Add(wait), 6, refused, &spec, QueueTerms{Queue: "q", Pool: "pool"}), SubmitPending)
	logged := 0
	for _, event := range c.TakeEffects(late).Events {
		if event.Event == "job refused" {
			logged++
		}
	}
	assert.Equal(t, logged, 1)
}

// Guards against a count that is lost at a change of the leader, that does not know whose the jobs
// are then, or that keeps what was removed.
func TestRoomIsCountedOverTermsAndUntilRemoval(t *testing.T) {
	budget := statebudget.New(statebudget.LimitsFor(64))
	c := newBudgetedCell(budget)
	var records []JobRecord
	for i := range 50 {
		spec := wideJob(2)
		c.SubmitJob(testStart, 1, Submission{ID: jobNumber(i), Job: &spec, Terms: QueueTerms{Pool: "pool"}, Source: []byte{10, 0, 0, byte(i)}})
	}
	effects := c.TakeEffects(testStart)
	records = append(records, effects.Write.Jobs...)
	c.MarkStored(testStart, effects.Write.Number)
	held := budget.Held()
	assert.Assert(t, held >= 50*jobStateBytes)

	restored := statebudget.New(statebudget.LimitsFor(64))
	next := New(Config{Epoch: 2, EndedJobRetention: time.Minute, RemoteFactor: 1, Budget: restored})
	next.Restore(testStart, records, nil, nil)
	assert.Equal(t, restored.Held(), held)
	for i := range 50 {
		next.Cancel(testStart, 1, jobNumber(i))
	}
	effects = next.TakeEffects(testStart)
	next.MarkStored(testStart, effects.Write.Number)
	next.Tick(testStart.Add(59 * time.Second))
	assert.Equal(t, restored.Held(), held, "an ended job is kept for status queries")
	wait := restored.Wait(testStart.Add(50*time.Second), statebudget.Full, 0)
	assert.Equal(t, wait, 10*time.Second, "the caller should return when the first job is removed")
	next.Tick(testStart.Add(61 * time.Second))
	assert.Equal(t, restored.Held(), int64(0))
	for i := range 50 {
		reservation, refusal := restored.Reserve([]byte{10, 0, 0, byte(i)}, restored.Limits().Bytes/5)
		assert.Equal(t, refusal, statebudget.None, "the source still holds something")
		reservation.Release()
	}
}

// Guards against open tasks beyond what a small instance can restore: their number was the same
// on a machine of any size. A job that was accepted on larger machines must be opened all the
// same.
func TestOpenTasksFollowMemoryOfSmallestInstance(t *testing.T) {
	const bytesPerTask = 512
	for _, memoryMB := range []int{64, 100, 160, 536} {
		limits := statebudget.LimitsFor(memoryMB)
		c := newBudgetedCell(statebudget.New(limits))
		for i := range 100 {
			accept(c, testStart, jobNumber(i), wideJob(wideTasks), 0)
			accept(c, testStart, jobNumber(1000+i), periodicJob(1000, 16), 0)
		}
		accept(c, testStart, jobNumber(5000), wideJob(c.MaxJobTasks()), 0)
		takeStored(c, testStart)
		open := c.open.total()
		assert.Assert(t, open > wideTasks && open*bytesPerTask < memoryMB<<20/2, "%d tasks open on %d MB", open, memoryMB)
	}
	budget := statebudget.New(statebudget.Unlimited)
	c := newBudgetedCell(budget)
	accept(c, testStart, jobNumber(1), wideJob(jobspec.MaxJobTasks), 0)
	budget.SetLimits(statebudget.LimitsFor(64))
	tooLarge := wideJob(c.MaxJobTasks() + 1)
	assert.Equal(t, c.Submit(testStart, 1, jobNumber(2), &tooLarge, QueueTerms{Pool: "pool"}), SubmitTooLarge)
	takeStored(c, testStart)
	assert.Assert(t, c.open.total() >= jobspec.MaxJobTasks, "a job accepted before is never opened")
}

// Guards against the cost of a job that is below what it takes in memory, so that the budget does
// not bound it.
func TestJobCostCoversItsMemory(t *testing.T) {
	steps := make([]jobspec.Step, jobspec.MaxSteps)
	for i := range steps {
		steps[i] = jobspec.Step{Count: 1, CPUMillis: 100}
		for range i {
			steps[i].DependsOn = append(steps[i].DependsOn, 0)
		}
	}
	for name, spec := range map[string]jobspec.Job{
		"small": {Spec: "x", Steps: []jobspec.Step{{Count: 1, CPUMillis: 100}}}, "steps and dependencies": {Steps: steps},
	} {
		t.Run(name, func(t *testing.T) {
			const jobs = 2000
			budget := statebudget.New(statebudget.Unlimited)
			before := heapInUse()
			c := newBudgetedCell(budget)
			for i := range jobs {
				own := spec
				own.Steps = make([]jobspec.Step, len(spec.Steps))
				for k, step := range spec.Steps {
					own.Steps[k] = step
					own.Steps[k].DependsOn = append([]int(nil), step.DependsOn...)
				}
				c.Submit(testStart, 1, jobspec.ID(fmt.Sprintf("%016x", i)), &own, QueueTerms{Queue: "q", Pool: "pool"})
			}
			// Jobs without workers: what is open is counted apart.
			c.open.budget = statebudget.New(statebudget.Limits{})
			effects := c.TakeEffects(testStart)
			c.MarkStored(testStart, effects.Write.Number)
			effects = Effects{}
			used := int64(heapInUse()) - int64(before) - int64(c.open.total())*400
			t.Logf("%d bytes for each job, %d charged", used/jobs, budget.Held()/jobs)
			assert.Assert(t, used <= budget.Held())
			c.Tick(testStart)
		})
	}
}

// Guards against tasks that ask for nothing and all run at once, each with a start order that waits
// for its answer, and against limits after which nothing starts any more, or an ordinary job waits
// behind such tasks although it is ranked first.
func TestTasksThatAskForNothingStartWithinLimits(t *testing.T) {
	budget := statebudget.New(statebudget.LimitsFor(64))
	limits := budget.Limits()
	c := newBudgetedCell(budget)
	now := testStart
	var infos []WorkerInfo
	for i := range 20 {
		infos = append(infos, testInfo(WorkerID(fmt.Sprintf("w%02d", i))))
	}
	c.UpdateWorkers(now, infos)
	c.EarlierTermsEnded(now)
	for _, info := range infos {
		c.ApplyReport(now, newReport(info.ID, now))
	}
	takeStored(c, now)
	for i := range 4 {
		accept(c, now, jobNumber(i), jobspec.Job{Steps: []jobspec.Step{{Count: 4000, EstimateMillis: 1000}}}, 1)
	}
	started, mostStarting := 0, 0
	for range 200 {
		now = now.Add(measurePeriod)
		starts := takeStored(c, now).Starts
		waiting := 0
		for _, w := range c.workers {
			assert.Assert(t, len(w.runs) <= limits.WorkerRuns)
			for _, r := range w.runs {
				if r.phase == starting {
					waiting++
				}
			}
		}
		mostStarting = max(mostStarting, waiting)
		started += len(starts)
		for _, order := range starts {
			c.ApplyStartResult(now, StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: StartAccepted, LeaseUntil: now.Add(time.Hour)})
		}
	}
	assert.Equal(t, mostStarting, limits.Starts)
	assert.Equal(t, started, min(limits.Runs, 20*limits.WorkerRuns))
	c.Cancel(now, 1, jobNumber(0))
	accept(c, now, jobNumber(9), wideJob(1), 0)
	takeStored(c, now)
	for _, w := range c.sortedWorkers() {
		report := newReport(w.info.ID, now)
		for i, r := range w.runs {
			if r.task.job().id == jobNumber(0) {
				report.Ended = append(report.Ended, RunEnd{Number: int64(i + 1), Task: r.task.id(), Run: r.number, Reason: EndStopped})
			} else {
				report.Running = append(report.Running, RunReport{Task: r.task.id(), Run: r.number})
			}
		}
		c.ApplyReport(now, report)
	}
	now = now.Add(measurePeriod)
	assert.Assert(t, slices.ContainsFunc(takeStored(c, now).Starts, func(order StartOrder) bool { return order.Task.Job == jobNumber(9) }))
}
