package cell

import (
	"sync/atomic"
	"time"

	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/workerspeed"
)

// job is one accepted job.
type job struct {
	id         jobspec.ID
	spec       *jobspec.Job
	terms      QueueTerms
	acceptedAt time.Time
	// source is JobRecord.Source, and cost what the job is charged in the budget of the cell.
	source []byte
	cost   int64
	// blockTasks is Config.BlockTasks.
	blockTasks int
	// visibleState is the State that callers see. Lookup reads it from other
	// threads.
	visibleState atomic.Uint32
	// state is the newest state. It becomes visible once it is stored.
	state   State
	started bool
	// fromEarlierTerm is set for jobs that were accepted in an earlier term.
	// Workers that have not answered in this term may have runs of them.
	fromEarlierTerm bool
	// nextOccurrence is the lowest occurrence that is not complete.
	nextOccurrence int
	occurrences    map[int]*occurrence
	// tasksPerOccurrence is the number of tasks of all steps of the job, and openingCost how an
	// open occurrence counts.
	tasksPerOccurrence, openingCost int
	// open counts the open tasks of all jobs of the cell.
	open *openTasks
	// opened is an occurrence below which all are open or complete.
	opened int
	// awaitsDueTime is set while the job is one of periodicJobs, and awaitsOpening while it is
	// one of unopenedJobs.
	awaitsDueTime, awaitsOpening bool
	// urgency is what rankReady has found at urgencyAt.
	urgency   urgency
	urgencyAt time.Time
	endedAt   time.Time
	changed   bool
	health    *jobHealth
	// work is what is counted of the job, or nil unless hopeless jobs are refused.
	work *jobWork
	// inParts is set once the progress of the job is stored in parts. storedParts holds
	// the parts that are stored or about to be.
	inParts     bool
	storedParts map[PartID]bool
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	job    *job
	number int
	steps  []*step
	// unfinishedSteps is the number of steps with tasks that are not done.
	unfinishedSteps int
	// share is the share in which the tasks are counted.
	share openShare
	// runs is the number of runs of the tasks on workers.
	runs int
}

// step is one step of one occurrence.
type step struct {
	spec            *jobspec.Step
	occurrence      *occurrence
	index           int
	tasks           []*task
	unfinishedTasks int
	opened          bool
	// retryAt is the end of the pause after a task of the step could not be
	// placed.
	retryAt time.Time
	// advice is nil until the advice service is needed for the step.
	advice *adviceState
	// runsPerWorker counts the runs on each worker; it is nil for steps without
	// a MaxPerWorker.
	runsPerWorker map[WorkerID]int
	// heldOffSince is when interference alone first kept a task of the step from all
	// workers with room for it, or zero.
	heldOffSince time.Time
	// userLoad estimates the pressure that the users of a service step cause.
	userLoad loadEstimate
	// changedBlocks holds the blocks of tasks whose progress has changed since it was
	// last written, if the job is stored in parts.
	changedBlocks map[int]bool
}

// task is one task of a step.
type task struct {
	step       *step
	index      int
	done       bool
	failedRuns []int64
	// lastRun is the highest number of a run of the task so far.
	lastRun    int64
	checkpoint string
	runs       []*run
	readySince time.Time
	queued     bool
	// counted is how the task is counted in the work of its job.
	counted countedState
	// retreats is the number of runs of the task that were stopped or moved because of
	// interference.
	retreats int
	// speedMoves is the number of runs of the task that were moved off slow workers.
	speedMoves int
	// heldOffRetryAt is the end of the pause after an attempt to start the task although
	// interference holds it off.
	heldOffRetryAt time.Time
	// located is set once it is known that nothing an earlier leader ordered of the
	// task runs on a worker that has not answered in this term.
	located bool
	// notDoneEarlier is set once it is known that no earlier leader that could still
	// start tasks has learned of a successful end of the task.
	notDoneEarlier bool
	// confined is set while it is stored that the task runs on one worker or nowhere.
	// confinedEarlier is what the term before has stored of that: what earlier terms have
	// started of the task runs on that worker or nowhere, as long as this term lasts.
	confined, confinedEarlier *confinement
	// waitsSince is since when a task waits that waited in the term before, or zero.
	waitsSince time.Time
	// failedWorkers lists the workers on which the task failed or stalled, or at which a
	// start of it did not arrive.
	failedWorkers []WorkerID
	// crashes is the number of workers that crashed under the task since a run of it
	// last outlasted the probation period. For confirmedCrashes of them it is certain
	// that the task had started.
	crashes, confirmedCrashes int
	// lostWithRack is set while the task has been lost with a rack since a run of it last
	// outlasted the probation period.
	lostWithRack bool
	// mayHaveStarted is set if an earlier term may have started the task and no run has
	// outlasted the probation period since.
	mayHaveStarted bool
	// displaced is set while the task has no run because its last one was stopped.
	displaced bool
	absence   absence
	// near is the last wait for a place near the data or the group, or nil. percentDone is the
	// highest progress that an ended run has reported.
	near        *nearWait
	percentDone int
	// nearPass is the number of the last pass that has counted the task among those that ask
	// for a rack.
	nearPass uint64
	// suspects are the runs that are stored, so that a crash under them counts at the next
	// leader as well: runs on probation whose worker is silent or whose task is not
	// proven harmless, and runs given up whose worker has not answered since.
	suspects []*run
}

// runPhase is the state of a run, as far as the cell knows it.
type runPhase uint8

const (
	// starting: a start order has been issued and its outcome is not known yet.
	starting runPhase = iota
	// inDoubt: the start order got no answer, so the run may or may not exist.
	inDoubt
	// running: the worker has accepted or listed the run.
	running
	// stopping: a stop order has been issued.
	stopping
	// planned: the start order is issued once the run is stored.
	planned
	// over: the worker doesn't run it any more, but has not listed its end yet.
	over
	// reserved: the run has a place while an earlier run of the task is stopped for a move.
	reserved
)

// run is one start of a task on one worker.
type run struct {
	task      *task
	worker    *worker
	number    int64
	phase     runPhase
	size      Size
	orderedAt time.Time
	// readySince is since when the task had been ready when the run was ordered, or zero
	// for a second run.
	readySince time.Time
	// runningSince is when the cell learned that the worker has the run. Every
	// complete report on a lease renewal sent later lists the run or its end.
	runningSince time.Time
	// listedIn is when the renewal was sent whose report was the last to list the run, or zero.
	listedIn time.Time
	// startToken is the fencing token of a start order in doubt.
	startToken  int64
	checkpoint  string
	percent     int
	measurement int
	// progressAt is when percent last changed.
	progressAt time.Time
	// pace measures how fast the run advances.
	pace workerspeed.Progress
	// throttle is the percentage of full speed that was last ordered.
	// throttledSince is when it fell below relocateBelowPercent, or zero.
	throttle       int
	throttledSince time.Time
	// heldOff is set while the run of a held-off task has not been at full speed.
	heldOff bool
	// heldOffClass is the class under which the held-off task was started.
	heldOffClass heldOffClass
	// overSince is when reports began to show the tail of a service run over its
	// target, or zero if it is not.
	overSince time.Time
	// stopOrderedAt is when the last stop order was issued.
	stopOrderedAt time.Time
	// releasedFrom is the confinement of the task that the run has ended, or nil.
	releasedFrom *confinement
	// implicated is set while the run of an implicated task is on probation.
	implicated bool
	// closedEarly is set if the worker closed the connection on which the start was
	// ordered before it could have answered.
	closedEarly bool
}

func (t *task) id() TaskID {
	o := t.step.occurrence
	return TaskID{Job: o.job.id, Occurrence: o.number, Step: t.step.index, Index: t.index}
}

func (t *task) job() *job { return t.step.occurrence.job }

func (t *task) spec() *jobspec.Step { return t.step.spec }

// size returns what the task reserves on a worker. Best-effort tasks reserve no
// CPU.
func (t *task) size() Size {
	spec := t.step.spec
	size := Size{CPU: spec.CPUMillis, MemoryMB: spec.MemoryMB, GPU: spec.GPU}
	if spec.BestEffort {
		size.CPU = 0
	}
	return size
}

// isService reports whether the task answers users under a latency target.
func (t *task) isService() bool { return t.step.spec.LatencyTargetMillis > 0 }

func newJob(record JobRecord, acceptedAt time.Time) *job {
	spec := record.Job
	return &job{
		id:          record.ID,
		spec:        &spec,
		terms:       record.Terms,
		acceptedAt:  acceptedAt,
		source:      record.Source,
		cost:        record.Cost(),
		blockTasks:  BlockTasks,
		health:      &jobHealth{},
		state:       Queued,
		occurrences: map[int]*occurrence{},
		open:        &openTasks{},

		tasksPerOccurrence: spec.Tasks(),
		openingCost:        spec.Tasks() + len(spec.Steps),
	}
}

// addJob adds a job that is not known yet.
func (c *Cell) addJob(record JobRecord, acceptedAt time.Time) *job {
	j := newJob(record, acceptedAt)
	j.blockTasks = c.config.BlockTasks
	j.open = &c.open
	c.jobs[j.id] = j
	c.config.Budget.Charge(j.source, j.cost)
	return j
}

func newStep(o *occurrence, index int) *step {
	spec := &o.job.spec.Steps[index]
	s := &step{spec: spec, occurrence: o, index: index, unfinishedTasks: spec.Count}
	if spec.MaxPerWorker > 0 {
		s.runsPerWorker = map[WorkerID]int{}
	}
	tasks := make([]task, spec.Count)
	for i := range tasks {
		tasks[i] = task{step: s, index: i}
		s.tasks = append(s.tasks, &tasks[i])
	}
	return s
}

// findTask returns the task with that ID, or nil if the job has no such task, its
// occurrence is complete, or the job has ended and its tasks are forgotten.
func (j *job) findTask(id TaskID) *task {
	if id.Occurrence < j.nextOccurrence || id.Occurrence >= j.spec.OccurrenceCount() {
		return nil
	}
	if id.Step < 0 || id.Step >= len(j.spec.Steps) {
		return nil
	}
	if j.state.IsFinal() && j.occurrences[id.Occurrence] == nil {
		return nil
	}
	o := j.ensureOccurrence(id.Occurrence)
	tasks := o.steps[id.Step].tasks
	if id.Index < 0 || id.Index >= len(tasks) {
		return nil
	}
	return tasks[id.Index]
}

// findCompletedTask returns a done task that stands for the one with that ID, whose
// occurrence is complete or whose job has ended and which is not kept any more, or nil if
// the job has no such task.
func (j *job) findCompletedTask(id TaskID) *task {
	if id.Occurrence < 0 || id.Occurrence >= j.spec.OccurrenceCount() || id.Step < 0 || id.Step >= len(j.spec.Steps) {
		return nil
	}
	if id.Occurrence >= j.nextOccurrence && !j.state.IsFinal() {
		return nil
	}
	s := newStep(&occurrence{job: j, number: id.Occurrence}, id.Step)
	if id.Index < 0 || id.Index >= len(s.tasks) {
		return nil
	}
	t := s.tasks[id.Index]
	t.done = true
	return t
}

// dependenciesDone reports whether all steps that this one depends on are done.
func (s *step) dependenciesDone() bool {
	for _, earlier := range s.spec.DependsOn {
		if s.occurrence.steps[earlier].unfinishedTasks > 0 {
			return false
		}
	}
	return true
}

// markDone marks the task as done. The task must not be done already.
func (t *task) markDone() {
	t.done = true
	t.checkpoint = ""
	t.step.unfinishedTasks--
	if t.step.unfinishedTasks == 0 {
		t.step.occurrence.unfinishedSteps--
	}
	t.countWork()
}
