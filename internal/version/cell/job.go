package cell

import (
	"slices"
	"sync/atomic"
	"time"

	"poplarvalve/internal/process/jobspec"
)

// job is one accepted job.
type job struct {
	id       jobspec.ID
	spec     *jobspec.Job
	terms    Terms
	accepted time.Time
	// visible is what callers see. It is a State; threads other than the
	// owner's read it.
	visible atomic.Uint32
	// state runs ahead of visible until it is stored.
	state State
	began bool
	// recovered jobs were accepted in an earlier term, so runs of them may be
	// on workers that this term has not heard.
	recovered bool
	// next is the lowest occurrence that isn't complete.
	next        int
	occurrences map[int]*occurrence
	ended       time.Time
	dirty       bool
}

// occurrence is one round of the steps of a job.
type occurrence struct {
	job    *job
	number int
	steps  []*step
	// left is the number of steps with tasks that aren't done.
	left int
}

// step is one step of one occurrence.
type step struct {
	spec       *jobspec.Step
	occurrence *occurrence
	index      int
	tasks      []*task
	left       int
	open       bool
	// retryAt ends the pause after a task of the step found no place.
	retryAt time.Time
	// advice is nil before the advice service was asked.
	advice *advice
	// perWorker counts the runs on each worker, for steps with a spread.
	perWorker map[WorkerID]int
	// load is that of the users of a serving step.
	load ownLoad
}

// task is one unit of work.
type task struct {
	step       *step
	index      int
	done       bool
	failedRuns []int64
	lastRun    int64
	checkpoint string
	runs       []*run
	readySince time.Time
	queued     bool
	// failedOn lists the workers on which the task failed or stood still.
	failedOn []WorkerID
}

// phase is what is known of a run.
type phase uint8

const (
	// starting runs have an order on its way.
	starting phase = iota
	// uncertain runs had an order without an answer.
	uncertain
	// running runs were accepted by the worker.
	running
	// stopping runs had a stop order sent.
	stopping
)

// run is one start of a task on one worker.
type run struct {
	task    *task
	worker  *worker
	number  int64
	phase   phase
	size    Size
	ordered time.Time
	// answered is when the start was accepted; reports that were sent later
	// list the run or its end.
	answered time.Time
	// token is the fencing token of a start without an answer.
	token   int64
	saved   string
	percent int
	gauge   int
	// moved is when percent last changed.
	moved time.Time
	// pace is the share of full speed that was last ordered, slowed since when
	// it is low.
	pace   int
	slowed time.Time
	// stopped is when the last stop order was sent.
	stopped time.Time
}

func (t *task) id() TaskID {
	o := t.step.occurrence
	return TaskID{Job: o.job.id, Occurrence: o.number, Step: t.step.index, Index: t.index}
}

func (t *task) job() *job { return t.step.occurrence.job }

func (t *task) spec() *jobspec.Step { return t.step.spec }

// size is what the task reserves on a worker.
func (t *task) size() Size {
	spec := t.step.spec
	size := Size{CPU: spec.CPU, MemoryMB: spec.MemoryMB, GPU: spec.GPU}
	if spec.Fills {
		size.CPU = 0
	}
	return size
}

// serves says whether the task answers users of its own.
func (t *task) serves() bool { return t.step.spec.TargetMillis > 0 }

func newJob(record JobRecord, accepted time.Time) *job {
	spec := record.Job
	return &job{
		id:          record.ID,
		spec:        &spec,
		terms:       record.Terms,
		accepted:    accepted,
		state:       Queued,
		occurrences: map[int]*occurrence{},
	}
}

// open returns an occurrence with its tasks, made on first use.
func (j *job) open(number int) *occurrence {
	if known := j.occurrences[number]; known != nil {
		return known
	}
	o := &occurrence{job: j, number: number, left: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		o.steps = append(o.steps, newStep(o, i))
	}
	j.occurrences[number] = o
	return o
}

func newStep(o *occurrence, index int) *step {
	spec := &o.job.spec.Steps[index]
	s := &step{spec: spec, occurrence: o, index: index, left: spec.Count}
	if spec.Spread > 0 {
		s.perWorker = map[WorkerID]int{}
	}
	tasks := make([]task, spec.Count)
	for i := range tasks {
		tasks[i] = task{step: s, index: i}
		s.tasks = append(s.tasks, &tasks[i])
	}
	return s
}

// find returns the task of that name, or nil if the job has no such task or
// its occurrence is complete.
func (j *job) find(id TaskID) *task {
	if id.Occurrence < j.next || id.Occurrence >= j.spec.Runs() {
		return nil
	}
	if id.Step < 0 || id.Step >= len(j.spec.Steps) {
		return nil
	}
	o := j.open(id.Occurrence)
	tasks := o.steps[id.Step].tasks
	if id.Index < 0 || id.Index >= len(tasks) {
		return nil
	}
	return tasks[id.Index]
}

// ready says whether all earlier steps are done.
func (s *step) ready() bool {
	for _, earlier := range s.spec.After {
		if s.occurrence.steps[earlier].left > 0 {
			return false
		}
	}
	return true
}

// progress returns the record that describes the job now.
func (j *job) progress() ProgressRecord {
	record := ProgressRecord{ID: j.id, State: j.state, Began: j.began, NextOccurrence: j.next}
	if !j.ended.IsZero() {
		record.EndedMillis = j.ended.UnixMilli()
	}
	if j.state.Over() {
		return record
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			record.Tasks = appendTouched(record.Tasks, s)
		}
	}
	return record
}

func appendTouched(to []TaskRecord, s *step) []TaskRecord {
	for _, t := range s.tasks {
		if !t.done && len(t.failedRuns) == 0 && t.checkpoint == "" {
			continue
		}
		to = append(to, TaskRecord{
			Occurrence: s.occurrence.number, Step: s.index, Index: t.index,
			Done: t.done, FailedRuns: slices.Clone(t.failedRuns), LastRun: t.lastRun, Checkpoint: t.checkpoint,
		})
	}
	return to
}

// restore applies a stored record to a job that was just made.
func (j *job) restore(record ProgressRecord) {
	j.state = record.State
	j.began = record.Began
	j.next = record.NextOccurrence
	if record.EndedMillis != 0 {
		j.ended = time.UnixMilli(record.EndedMillis)
	}
	for _, stored := range record.Tasks {
		t := j.find(TaskID{j.id, stored.Occurrence, stored.Step, stored.Index})
		if t == nil {
			continue
		}
		t.failedRuns = stored.FailedRuns
		t.lastRun = stored.LastRun
		t.checkpoint = stored.Checkpoint
		if stored.Done {
			t.markDone()
		}
	}
}

// markDone counts the task as done; it must not be already.
func (t *task) markDone() {
	t.done = true
	t.checkpoint = ""
	t.step.left--
	if t.step.left == 0 {
		t.step.occurrence.left--
	}
}
