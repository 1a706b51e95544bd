package cell

import (
	"maps"
	"slices"
	"time"

	"poplarvalve/internal/process/jobspec"
)

// A leader stores which tasks can run on a silent worker and nowhere else, and starts none of
// them elsewhere before that is stored no more. The next leader then starts such a task once
// nothing runs on that worker any more, whatever other workers it waits for.

// ConfinementRecord lists the tasks that run on a worker or nowhere. It holds while the
// newest LeaseBoundsRecord says so.
type ConfinementRecord struct {
	Worker WorkerID       `cbor:"1,keyasint"`
	Tasks  []ConfinedTask `cbor:"2,keyasint"`
}

// ConfinedTask names a task in a ConfinementRecord. A task that waits for a run had waited for
// WaitedMillis when the record was written.
type ConfinedTask struct {
	_            struct{} `cbor:",toarray"`
	Job          jobspec.ID
	Occurrence   int
	Step         int
	Index        int
	WaitedMillis int64
}

// MaxConfinedTasks limits the tasks in a ConfinementRecord, which takes some 30 bytes for each.
const MaxConfinedTasks = 2000

// confinement holds the tasks that run on one worker or nowhere, in the order in which they
// were confined. since is when the worker was last heard.
type confinement struct {
	worker WorkerID
	tasks  []*task
	since  time.Time
}

// confineRuns confines the tasks that run on a worker whose leases are bound. At a hand-over,
// which binds all workers, only the long-running ones are stored.
func (c *Cell) confineRuns(now time.Time, w *worker) {
	var confined []*task
	for _, r := range w.runs {
		if r.task.confined == nil && (w.unresponsive || r.task.spec().LongRunning) && c.isOnlyRun(now, r) {
			confined = append(confined, r.task)
		}
	}
	known := c.confinements[w.info.ID]
	if known == nil {
		known = &confinement{worker: w.info.ID}
	}
	confined = confined[:min(len(confined), MaxConfinedTasks-len(known.tasks))]
	if len(confined) == 0 {
		return
	}
	for _, t := range confined {
		t.confined = known
	}
	known.tasks = append(known.tasks, confined...)
	known.since = now.Add(-c.silence(now, w))
	c.confinements[w.info.ID] = known
	c.storeConfinement(known)
}

// isOnlyRun reports whether the task of a run can run nowhere else. The members of a gang
// start together, so that knowing of one of them is of no use.
func (c *Cell) isOnlyRun(now time.Time, r *run) bool {
	t := r.task
	return r.phase != reserved && t.onlyOrdered(r) && !t.spec().Speculative && !t.spec().Gang && !t.done && !t.job().state.IsFinal() && !c.mayRunElsewhere(now, t)
}

// onlyOrdered reports whether no other run of the task than r was ordered.
func (t *task) onlyOrdered(r *run) bool {
	return !slices.ContainsFunc(t.runs, func(other *run) bool { return other != r && other.phase != reserved })
}

func (c *Cell) restoreConfinement(now time.Time, record ConfinementRecord, since time.Time) {
	restored := &confinement{worker: record.Worker, since: since}
	for _, named := range record.Tasks {
		j := c.jobs[named.Job]
		if j == nil || j.state.IsFinal() {
			continue
		}
		t := j.findTask(TaskID{Job: named.Job, Occurrence: named.Occurrence, Step: named.Step, Index: named.Index})
		if t == nil || t.done || t.confined != nil {
			continue
		}
		t.confined, t.confinedEarlier = restored, restored
		t.waitsSince = now.Add(-time.Duration(max(0, named.WaitedMillis)) * time.Millisecond)
		restored.tasks = append(restored.tasks, t)
	}
	if len(restored.tasks) > 0 {
		c.confinements[record.Worker] = restored
		c.bounds.changed = true
	}
}

// confinedBound adds to a bound what is known of the tasks that are confined to its worker.
func (c *Cell) confinedBound(now time.Time, b LeaseBound) LeaseBound {
	if known := c.confinements[b.Worker]; known != nil {
		b.Confined = true
		b.AwayMillis = max(0, now.Sub(known.since).Milliseconds())
	}
	return b
}

// boundsOfGoneWorkers returns the bounds of the workers that are not in the cell any more and
// whose tasks have not been started elsewhere yet.
func (c *Cell) boundsOfGoneWorkers(now time.Time) []LeaseBound {
	var bounds []LeaseBound
	for _, id := range slices.Sorted(maps.Keys(c.confinements)) {
		if c.workers[id] == nil {
			bounds = append(bounds, c.confinedBound(now, LeaseBound{Worker: id}))
		}
	}
	return bounds
}

// release ends the confinement of a task that is about to be started elsewhere. The start must
// wait for the write that follows.
func (c *Cell) release(t *task) {
	released := t.confined
	t.confined = nil
	released.tasks = slices.DeleteFunc(released.tasks, func(other *task) bool { return other == t })
	c.storeConfinement(released)
}

// confineAgain undoes release for a task that was not started.
func (c *Cell) confineAgain(t *task, earlier *confinement) {
	if t.done || t.confined != nil || len(t.runs) > 0 {
		return
	}
	known := c.confinements[earlier.worker]
	if known == nil {
		known = &confinement{worker: earlier.worker, since: earlier.since}
		c.confinements[earlier.worker] = known
	}
	t.confined = known
	known.tasks = append(known.tasks, t)
	c.storeConfinement(known)
}

// confineWaiting confines the long-running tasks that wait for a run to no worker at all.
func (c *Cell) confineWaiting(now time.Time) {
	known := c.confinements[nowhere]
	if known == nil {
		known = &confinement{worker: nowhere, since: now}
	}
	for _, t := range c.readyTasks {
		if t.confined == nil && t.spec().LongRunning && !t.spec().Gang && !t.done && len(t.runs) == 0 &&
			!t.job().state.IsFinal() && !c.mayRunElsewhere(now, t) && len(known.tasks) < MaxConfinedTasks {
			t.confined = known
			known.tasks = append(known.tasks, t)
		}
	}
	if len(known.tasks) > 0 {
		c.confinements[nowhere] = known
		c.storeConfinement(known)
	}
}

// nowhere takes the place of a worker in the confinement of tasks that run on none.
const nowhere = WorkerID("")

// liftConfinement ends the confinement of all tasks to a worker that has answered, once that
// is stored.
func (c *Cell) liftConfinement(id WorkerID) {
	lifted := c.confinements[id]
	if lifted == nil {
		return
	}
	tasks := lifted.tasks
	lifted.tasks = nil
	c.storeConfinement(lifted)
	c.afterWrite(func(time.Time) {
		for _, t := range tasks {
			if t.confined == lifted {
				t.confined = nil
			}
		}
	}, RecordOwner{LeaseBounds: true})
}

// dropEndedConfinements forgets the tasks that will not be started again.
func (c *Cell) dropEndedConfinements() {
	for _, known := range c.confinements {
		before := len(known.tasks)
		known.tasks = slices.DeleteFunc(known.tasks, func(t *task) bool { return t.done || t.job().state.IsFinal() })
		if len(known.tasks) < before {
			c.storeConfinement(known)
		}
	}
}

// storeConfinement writes which tasks are confined to a worker with the next write.
func (c *Cell) storeConfinement(known *confinement) {
	c.bounds.changed = true
	if len(known.tasks) == 0 && c.confinements[known.worker] == known {
		delete(c.confinements, known.worker)
	}
	if c.changedConfinements == nil {
		c.changedConfinements = map[WorkerID]bool{}
	}
	c.changedConfinements[known.worker] = true
}

func confinedTask(now time.Time, t *task) ConfinedTask {
	id := t.id()
	named := ConfinedTask{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step, Index: id.Index}
	if t.queued {
		named.WaitedMillis = max(0, now.Sub(t.awaySince()).Milliseconds())
	}
	return named
}

// collectConfinements adds the changed confinements to the next write.
func (c *Cell) collectConfinements(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.changedConfinements)) {
		record := ConfinementRecord{Worker: id}
		if known := c.confinements[id]; known != nil {
			for _, t := range known.tasks {
				record.Tasks = append(record.Tasks, confinedTask(now, t))
			}
		}
		c.write.Confinements = append(c.write.Confinements, record)
	}
	c.changedConfinements = nil
}
