package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"poplarvalve/internal/process/jobspec"
)

// The progress of a job with few tasks is one record. That of any other job is stored in
// parts, one for each block of BlockTasks tasks of a step, beside a record without tasks.
// A part is written only when a task of its block has changed. What is stored of one task
// is bounded, and with it the size of a record.
const (
	// BlockTasks is the number of tasks in a part, and the number of tasks up to which
	// the progress of a job is one record.
	BlockTasks = 64
	// MaxCheckpointBytes is the length of the longest checkpoint that is kept.
	MaxCheckpointBytes = 512
	// MaxAttempts is the number of failed runs of a task after which its job fails,
	// whatever its queue allows.
	MaxAttempts = 128
	// maxStoredSuspects is the number of suspect runs that are stored of a task. An
	// implicated task is given up after fewer crashes.
	maxStoredSuspects = 6
)

// PartID identifies a part of the progress of a job.
type PartID struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Block      int
}

// RemovedPart names a part that is removed.
type RemovedPart struct {
	Job  jobspec.ID
	Part PartID
}

// block returns the number of the block that holds the task.
func (t *task) block() int { return t.index / t.job().blockTasks }

func (s *step) blockCount() int {
	size := s.occurrence.job.blockTasks
	return (len(s.tasks) + size - 1) / size
}

func (s *step) blockOf(number int) []*task {
	size := s.occurrence.job.blockTasks
	return s.tasks[number*size : min(len(s.tasks), (number+1)*size)]
}

// markTaskChanged records that the progress of a task must be stored. The members of a
// gang change together.
func (c *Cell) markTaskChanged(t *task) {
	c.markChanged(t.job())
	if t.spec().Gang {
		t.step.markAllBlocks()
	} else {
		t.step.markBlock(t.block())
	}
}

func (s *step) markBlock(number int) {
	if !s.occurrence.job.inParts {
		return
	}
	if s.changedBlocks == nil {
		s.changedBlocks = map[int]bool{}
	}
	s.changedBlocks[number] = true
}

func (s *step) markAllBlocks() {
	for number := range s.blockCount() {
		s.markBlock(number)
	}
}

// storeInParts lets the progress of the job be stored in parts from now on, all of them
// with the next write.
func (j *job) storeInParts() {
	j.inParts = true
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.markAllBlocks()
		}
	}
}

// openTasks returns the number of tasks of all occurrences that are open.
func (j *job) openTasks() int {
	return len(j.occurrences) * j.tasksPerOccurrence
}

// writeProgress adds the progress of a job to the write. The parts come before the record
// of the job, so that an earlier form of that record is replaced last. Parts that it makes
// superfluous are removed after it.
func (c *Cell) writeProgress(j *job) {
	if !j.inParts && !j.state.IsFinal() && j.openTasks() > j.blockTasks {
		j.storeInParts()
	}
	if j.inParts && !j.state.IsFinal() {
		c.writeChangedParts(j)
	}
	c.write.Progress = append(c.write.Progress, j.progressRecord())
	for _, part := range j.outlivedParts() {
		delete(j.storedParts, part)
		c.write.RemovedParts = append(c.write.RemovedParts, RemovedPart{j.id, part})
	}
}

// outlivedParts returns, in order, the stored parts that the job needs no more.
func (j *job) outlivedParts() []PartID {
	var outlived []PartID
	for part := range j.storedParts {
		if j.state.IsFinal() || part.Occurrence < j.nextOccurrence {
			outlived = append(outlived, part)
		}
	}
	slices.SortFunc(outlived, PartID.compare)
	return outlived
}

func (p PartID) compare(other PartID) int {
	return cmp.Or(cmp.Compare(p.Occurrence, other.Occurrence), cmp.Compare(p.Step, other.Step), cmp.Compare(p.Block, other.Block))
}

// writeChangedParts adds the parts whose tasks have changed to the write.
func (c *Cell) writeChangedParts(j *job) {
	for _, number := range slices.Sorted(maps.Keys(j.occurrences)) {
		for _, s := range j.occurrences[number].steps {
			for _, block := range slices.Sorted(maps.Keys(s.changedBlocks)) {
				id := PartID{Occurrence: number, Step: s.index, Block: block}
				part := j.partRecord(s, id)
				if part.isEmpty() && !j.storedParts[id] {
					continue
				}
				j.addStoredPart(id)
				c.write.Progress = append(c.write.Progress, part)
			}
			s.changedBlocks = nil
		}
	}
}

func (j *job) addStoredPart(id PartID) {
	if j.storedParts == nil {
		j.storedParts = map[PartID]bool{}
	}
	j.storedParts[id] = true
}

func (r *ProgressRecord) isEmpty() bool { return len(r.Tasks)+len(r.Crashes)+len(r.Suspects) == 0 }

// progressHead returns the record of the job's progress without its tasks.
func (j *job) progressHead() ProgressRecord {
	record := ProgressRecord{ID: j.id, State: j.state, Started: j.started, NextOccurrence: j.nextOccurrence}
	if !j.endedAt.IsZero() {
		record.EndedMillis = j.endedAt.UnixMilli()
	}
	return record
}

// progressRecord returns the record of the job's current progress, without the tasks that
// are stored in parts.
func (j *job) progressRecord() ProgressRecord {
	record := j.progressHead()
	if j.state.IsFinal() || j.inParts {
		return record
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			record.addTasks(s, s.tasks)
		}
	}
	return record
}

// partRecord returns one part of the job's current progress.
func (j *job) partRecord(s *step, id PartID) ProgressRecord {
	record := j.progressHead()
	record.Part = &id
	record.addTasks(s, s.blockOf(id.Block))
	return record
}

func (r *ProgressRecord) addTasks(s *step, tasks []*task) {
	for _, t := range tasks {
		r.addTask(s, t)
		r.addCrashes(s, t)
		r.addSuspects(s, t)
	}
}

func (r *ProgressRecord) addTask(s *step, t *task) {
	if !t.done && len(t.failedRuns) == 0 && t.checkpoint == "" {
		return
	}
	r.Tasks = append(r.Tasks, TaskRecord{
		Occurrence: s.occurrence.number, Step: s.index, Index: t.index,
		Done: t.done, FailedRuns: slices.Clone(t.failedRuns), LastRun: t.lastRun, Checkpoint: t.checkpoint,
	})
}

func (r *ProgressRecord) addCrashes(s *step, t *task) {
	if t.crashes > 0 && !t.done {
		r.Crashes = append(r.Crashes, CrashRecord{Occurrence: s.occurrence.number, Step: s.index, Index: t.index, Crashes: t.crashes, Confirmed: t.confirmedCrashes})
	}
}

func (r *ProgressRecord) addSuspects(s *step, t *task) {
	if t.done {
		return
	}
	for _, suspect := range t.suspects[max(0, len(t.suspects)-maxStoredSuspects):] {
		info := suspect.worker.info
		r.Suspects = append(r.Suspects, SuspectRecord{
			Occurrence: s.occurrence.number, Step: s.index, Index: t.index,
			Run: suspect.number, Worker: info.ID, Address: info.Address, Incarnation: info.Incarnation, Started: suspect.hasStarted(),
		})
	}
}

// restoreAllProgress applies the stored progress to newly created jobs. Records of jobs
// that are not stored, and parts that their job has outlived, are removed.
func (c *Cell) restoreAllProgress(records []ProgressRecord) {
	for _, record := range records {
		if j := c.jobs[record.ID]; j != nil && record.Part == nil {
			j.restoreProgress(record)
		}
	}
	for _, record := range records {
		switch j := c.jobs[record.ID]; {
		case j == nil && record.Part == nil:
			c.write.RemovedJobs = append(c.write.RemovedJobs, record.ID)
		case record.Part == nil:
		case j == nil || j.state.IsFinal() || record.Part.Occurrence < j.nextOccurrence:
			c.write.RemovedParts = append(c.write.RemovedParts, RemovedPart{record.ID, *record.Part})
		default:
			j.restorePart(record)
		}
	}
	for _, record := range records {
		j := c.jobs[record.ID]
		if j == nil || record.Part != nil || j.state.IsFinal() {
			continue
		}
		if j.inParts = j.inParts || j.openTasks() > j.blockTasks; j.inParts && !record.isEmpty() {
			j.storeInParts() // An earlier version has stored all tasks in one record.
		}
	}
}

// restoreProgress applies the record of a job's progress to a newly created job.
func (j *job) restoreProgress(record ProgressRecord) {
	j.state = record.State
	j.started = record.Started
	j.nextOccurrence = record.NextOccurrence
	if record.EndedMillis != 0 {
		j.endedAt = time.UnixMilli(record.EndedMillis)
	}
	j.restoreTasks(record)
}

// restorePart applies a part of a job's progress after the record of the job. An instance
// of an earlier version may have stored newer progress in that record.
func (j *job) restorePart(record ProgressRecord) {
	j.inParts = true
	j.addStoredPart(*record.Part)
	j.started = j.started || record.Started
	if j.state == Queued && record.State == Running {
		j.state = Running
	}
	j.restoreTasks(record)
}

func (j *job) restoreTasks(record ProgressRecord) {
	for _, stored := range record.Tasks {
		t := j.findTask(TaskID{j.id, stored.Occurrence, stored.Step, stored.Index})
		if t == nil || t.done {
			continue
		}
		for _, run := range stored.FailedRuns {
			if !slices.Contains(t.failedRuns, run) {
				t.failedRuns = append(t.failedRuns, run)
			}
		}
		t.lastRun = max(t.lastRun, stored.LastRun)
		t.checkpoint = stored.Checkpoint
		if stored.Done {
			t.markDone()
		}
	}
	for _, stored := range record.Crashes {
		if t := j.findTask(TaskID{j.id, stored.Occurrence, stored.Step, stored.Index}); t != nil && stored.Crashes >= t.crashes {
			t.crashes, t.confirmedCrashes = stored.Crashes, stored.Confirmed
		}
	}
}
