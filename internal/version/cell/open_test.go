package cell

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// smallestMemory is the memory limit of the smallest instances of the deployments, and
// memoryForCells the part of it that the state of a cell may take beside the process itself,
// the records that are read at the beginning of a term, and what the collector needs.
const (
	smallestMemory = 184 << 20
	memoryForCells = smallestMemory / 2
)

func wideJob(tasks int) jobspec.Job {
	var spec jobspec.Job
	for ; tasks > 0; tasks -= jobspec.MaxTasks {
		spec.Steps = append(spec.Steps, jobspec.Step{Count: min(tasks, jobspec.MaxTasks), CPUMillis: 100, EstimateMillis: 1000})
	}
	return spec
}

// periodicJob returns a job whose occurrences have all been due for long.
func periodicJob(occurrences, tasks int) jobspec.Job {
	spec := wideJob(tasks)
	spec.IntervalMillis, spec.Occurrences = 1, occurrences
	return spec
}

func jobNumber(i int) jobspec.ID { return jobspec.ID(fmt.Sprintf("%016x", i+1)) }

func accept(c *Cell, now time.Time, id jobspec.ID, spec jobspec.Job, priority int) {
	c.Submit(now, 1, id, &spec, QueueTerms{Queue: "q", Pool: "pool", Attempts: 3, Stretch: 2, Priority: priority})
}

// newStartedCell returns a cell of a first term with workers that have answered.
func newStartedCell(workers int, capacity Size) *Cell {
	c := New(Config{Epoch: 1, MaxEarlierLease: testLease, EndedJobRetention: time.Minute, RemoteFactor: 1})
	c.Restore(testStart, nil, nil, nil)
	var infos []WorkerInfo
	for i := range workers {
		info := testInfo(WorkerID(fmt.Sprintf("w%03d", i)))
		info.Capacity = capacity
		infos = append(infos, info)
	}
	c.UpdateWorkers(testStart, infos)
	c.EarlierTermsEnded(testStart)
	for _, info := range infos {
		c.ApplyReport(testStart, newReport(info.ID, testStart))
	}
	takeStored(c, testStart)
	return c
}

func heapInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// Guards against jobs that take each leader over its memory, one after the other: a job of
// 100,000 occurrences that are all due, many such jobs, and jobs of the largest number of tasks.
func TestOpenTasksOfLargestJobsFitSmallestInstance(t *testing.T) {
	for name, jobs := range map[string][]jobspec.Job{
		"all occurrences due":        {periodicJob(jobspec.MaxOccurrences, 16)},
		"all occurrences due, wide":  {periodicJob(jobspec.MaxOccurrences, jobspec.MaxJobTasks)},
		"many due":                   slicesOf(20, periodicJob(5000, 32)),
		"many jobs, one task each":   slicesOf(200, periodicJob(jobspec.MaxOccurrences, 1)),
		"wide jobs":                  slicesOf(30, wideJob(jobspec.MaxJobTasks)),
		"jobs that are almost wide":  slicesOf(200, wideJob(wideTasks)),
		"wide jobs and periodic":     append(slicesOf(10, wideJob(jobspec.MaxJobTasks)), slicesOf(300, periodicJob(1000, 1000))...),
		"periodic and short of wide": slicesOf(100, periodicJob(100, wideTasks)),
	} {
		t.Run(name, func(t *testing.T) {
			before := heapInUse()
			c := newStartedCell(2, Size{CPU: 8000, MemoryMB: 8000})
			var records []JobRecord
			for i, spec := range jobs {
				accept(c, testStart, jobNumber(i), spec, 0)
				records = append(records, JobRecord{ID: jobNumber(i), Job: spec, Terms: QueueTerms{Pool: "pool"}})
			}
			takeStored(c, testStart)
			checkOpenMemory(t, c, before)
			c = nil
			before = heapInUse()
			next := New(Config{Epoch: 2, RecoveryWait: testLease, MaxEarlierLease: testLease, RemoteFactor: 1})
			next.Restore(testStart, records, nil, nil)
			checkOpenMemory(t, next, before)
			runtime.KeepAlive(records)
		})
	}
}

func slicesOf(count int, spec jobspec.Job) []jobspec.Job {
	var jobs []jobspec.Job
	for range count {
		jobs = append(jobs, spec)
	}
	return jobs
}

func checkOpenMemory(t *testing.T, c *Cell, before uint64) {
	t.Helper()
	used := int64(heapInUse()) - int64(before)
	t.Logf("%d tasks open, %d MB", c.open.total(), used>>20)
	assert.Assert(t, used < memoryForCells, "%d MB", used>>20)
	assert.Assert(t, c.open.total() <= maxCurrentTasks+maxWideTasks+maxLaterTasks)
	for _, j := range c.jobs {
		if j.nextOccurrence == 0 && len(j.occurrences) > 0 {
			return
		}
	}
	t.Error("no job has an open occurrence")
}

// Guards against work that is shut out by jobs with more tasks than can be open: small jobs
// beside wide ones, jobs of a higher priority, and jobs beside one whose occurrences are all due.
func TestJobIsOpenedBesideJobsThatFillTheirShare(t *testing.T) {
	for name, jobs := range map[string][]jobspec.Job{
		"wide jobs":     slicesOf(3, wideJob(jobspec.MaxJobTasks)),
		"periodic jobs": slicesOf(3, periodicJob(jobspec.MaxOccurrences, 16)),
	} {
		t.Run(name, func(t *testing.T) {
			c := newStartedCell(4, Size{CPU: 64000, MemoryMB: 64000})
			for i, spec := range jobs {
				accept(c, testStart, jobNumber(i), spec, 1)
			}
			takeStored(c, testStart)
			now := testStart.Add(time.Minute)
			accept(c, now, jobA, wideJob(2), 0)
			starts := takeStored(c, now).Starts
			now = now.Add(rankPeriod)
			started := map[jobspec.ID]bool{}
			for _, start := range append(starts, c.TakeEffects(now).Starts...) {
				started[start.Task.Job] = true
			}
			assert.Equal(t, len(c.jobs[jobA].occurrences), 1)
			for i := range jobs {
				id := jobNumber(i)
				assert.Equal(t, len(c.jobs[id].occurrences) > 0, i == 0 || name == "periodic jobs", "job %s", id)
			}
		})
	}
}

// playOpen runs all tasks that are started, each until the next report, and returns the
// occurrences of the job in the order in which their first tasks were started.
func playOpen(t *testing.T, c *Cell, now *time.Time, id jobspec.ID, ends map[WorkerID]int64, until func() bool) (order []int) {
	t.Helper()
	started := map[TaskID]bool{}
	seen := map[int]bool{}
	for range 2000 {
		if until() {
			return order
		}
		byWorker := map[WorkerID][]RunEnd{}
		for _, start := range takeStored(c, *now).Starts {
			assert.Assert(t, !started[start.Task], "%v was started twice", start.Task)
			started[start.Task] = true
			if start.Task.Job == id && !seen[start.Task.Occurrence] {
				seen[start.Task.Occurrence] = true
				order = append(order, start.Task.Occurrence)
			}
			c.ApplyStartResult(*now, StartResult{Worker: start.Worker, Task: start.Task, Run: start.Run, Outcome: StartAccepted, LeaseUntil: now.Add(testLease)})
			ends[start.Worker]++
			byWorker[start.Worker] = append(byWorker[start.Worker], RunEnd{Number: ends[start.Worker], Task: start.Task, Run: start.Run, Reason: EndSucceeded})
		}
		*now = now.Add(retryPause)
		for _, w := range c.sortedWorkers() {
			report := newReport(w.info.ID, *now)
			report.Ended = byWorker[w.info.ID]
			c.ApplyReport(*now, report)
		}
		c.Tick(*now)
	}
	j := c.jobs[id]
	t.Fatalf("the job does not go on: %d of %d occurrences complete, %d open, %d tasks ready", j.nextOccurrence, j.spec.Occurrences, len(j.occurrences), len(c.readyTasks))
	return nil
}

// Guards against occurrences that are left out, or started again, when more are due than can be
// open: by one leader to the end, and by the next one from where the first has stopped.
func TestDueOccurrencesRunInOrderAcrossTerms(t *testing.T) {
	const occurrences, tasks = 12, 4000
	c := newStartedCell(8, Size{CPU: 200_000, MemoryMB: 64000})
	now, ends := testStart, map[WorkerID]int64{}
	spec := periodicJob(occurrences, tasks)
	accept(c, now, jobA, spec, 0)
	j := c.jobs[jobA]
	first := playOpen(t, c, &now, jobA, ends, func() bool { return j.nextOccurrence >= 5 })
	write := takeStored(c, now).Write
	assert.Assert(t, write != nil)
	progress := append(write.Progress, progressOf(j)...)

	next := New(Config{Epoch: 2, MaxEarlierLease: testLease, EndedJobRetention: time.Minute, RemoteFactor: 1})
	var infos []WorkerInfo
	for _, w := range c.sortedWorkers() {
		infos = append(infos, w.info)
	}
	next.Restore(now, []JobRecord{{ID: jobA, Job: spec, Terms: j.terms, AcceptedMillis: testStart.UnixMilli()}}, progress, infos)
	next.UpdateWorkers(now, infos)
	assert.Equal(t, next.jobs[jobA].nextOccurrence, j.nextOccurrence)
	second := playOpen(t, next, &now, jobA, ends, func() bool { return next.jobs[jobA].state == Completed })
	assert.Assert(t, isSorted(first) && isSorted(second), "%v, then %v", first, second)
	assert.Equal(t, second[len(second)-1], occurrences-1)
	assert.Equal(t, next.open.total(), 0)
}

func isSorted(numbers []int) bool {
	for i := range numbers[1:] {
		if numbers[i] >= numbers[i+1] {
			return false
		}
	}
	return len(numbers) > 0
}

// progressOf returns all records of the job's progress.
func progressOf(j *job) []ProgressRecord {
	records := []ProgressRecord{j.progressHead()}
	for number, o := range j.occurrences {
		for _, s := range o.steps {
			for block := range s.blockCount() {
				records = append(records, j.partRecord(s, PartID{Occurrence: number, Step: s.index, Block: block}))
			}
		}
	}
	return records
}

// Guards against canceled jobs whose tasks keep others from being opened as long as callers may
// ask for the job's state.
func TestCanceledJobsMakeRoomAtOnce(t *testing.T) {
	c := newStartedCell(1, Size{}) // Nothing can run, so that nothing has to be stopped first.
	for i := range 5 {
		accept(c, testStart, jobNumber(i), wideJob(jobspec.MaxJobTasks), 0)
		takeStored(c, testStart)
		c.Cancel(testStart, 1, jobNumber(i))
		takeStored(c, testStart)
	}
	accept(c, testStart, jobA, wideJob(jobspec.MaxJobTasks), 0)
	takeStored(c, testStart)
	assert.Equal(t, len(c.jobs[jobA].occurrences), 1)
	state, known := c.Lookup(jobNumber(0))
	assert.Assert(t, known && state == Canceled)
}

// Guards against an occurrence that starts early because a worker names one of its tasks.
func TestReportOfOccurrenceThatIsNotDueOpensNothing(t *testing.T) {
	c := newStartedCell(2, Size{CPU: 8000, MemoryMB: 8000})
	spec := periodicJob(10, 4)
	spec.FirstRunMillis, spec.IntervalMillis = testStart.UnixMilli(), time.Hour.Milliseconds()
	accept(c, testStart, jobA, spec, 0)
	takeStored(c, testStart)
	now := testStart.Add(time.Second)
	early := TaskID{Job: jobA, Occurrence: 3}
	report := newReport("w000", now)
	report.Ended = []RunEnd{{Number: 1, Task: early, Run: 1, Reason: EndStopped}}
	c.ApplyReport(now, report)
	for _, start := range takeStored(c, now).Starts {
		assert.Equal(t, start.Task.Occurrence, 0)
	}
	c.Tick(testStart.Add(3 * time.Hour))
	c.TakeEffects(testStart.Add(3 * time.Hour))
	assert.Assert(t, c.jobs[jobA].occurrences[3].steps[0].opened)
}
