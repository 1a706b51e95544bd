package cell

import (
	"cmp"
	"slices"
	"time"

	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/statebudget"
)

// The tasks of an occurrence are kept in memory from when it is opened until all of them are
// done, whether they run or wait. A leader opens only as many at a time as the smallest
// instance can hold, since any instance may have to restore them. What is not opened is stored
// with its job and needs no other state: it is due, and waits.
//
// Three shares of the memory keep one kind of work from shutting out the others. Within a
// share, waiting jobs are served in order.

// openShare is a part of the tasks that may be open at a time.
type openShare uint8

const (
	// currentShare is for the first incomplete occurrence of each job, so that every job can
	// make progress. wideShare takes its place for occurrences of more than wideTasks tasks.
	currentShare openShare = iota
	wideShare
	// laterShare is for the other occurrences of periodic jobs.
	laterShare
	openShareCount
)

const (
	// maxCurrentTasks, maxWideTasks and maxLaterTasks are the numbers of tasks that may be
	// open in each share on instances of sufficient memory; statebudget.Limits.TaskShare reduces
	// them on smaller ones. A step counts like a task. Any job fits into maxWideTasks.
	maxCurrentTasks = 65536
	maxWideTasks    = jobspec.MaxJobTasks + jobspec.MaxSteps
	maxLaterTasks   = 16384
	// wideTasks is the largest number of tasks of an occurrence that is not wide.
	wideTasks = 4096
)

var maxOpenTasks = [openShareCount]int{currentShare: maxCurrentTasks, wideShare: maxWideTasks, laterShare: maxLaterTasks}

// openTasks counts the tasks that are open in each share. The jobs of a cell share it.
type openTasks struct {
	// budget has the limits.
	budget *statebudget.Budget
	counts [openShareCount]int
	// changed is set if there may be room for a waiting occurrence that had none before.
	changed bool
	// created holds the occurrences whose steps were not made ready yet.
	created []*occurrence
}

// limit returns how many tasks may be open in a share.
func (o *openTasks) limit(share openShare) int {
	return int(float64(maxOpenTasks[share]) * o.budget.Limits().TaskShare)
}

// free returns how many more tasks may be opened in a share.
func (o *openTasks) free(share openShare) int { return o.limit(share) - o.counts[share] }

// MaxJobTasks returns the largest number of tasks of a job that a leader can open. It may be
// called by any goroutine.
func (c *Cell) MaxJobTasks() int {
	return max(1, c.open.limit(wideShare)-jobspec.MaxSteps)
}

func (o *openTasks) add(share openShare, tasks int) {
	o.counts[share] += tasks
	o.changed = o.changed || tasks < 0
}

func (o *openTasks) total() (count int) {
	for _, open := range o.counts {
		count += open
	}
	return count
}

// shareOf returns the share that an occurrence of the job belongs to.
func (j *job) shareOf(number int) openShare {
	switch {
	case number > j.nextOccurrence:
		return laterShare
	case j.tasksPerOccurrence > wideTasks:
		return wideShare
	}
	return currentShare
}

// fits reports whether an occurrence that is not open yet may be opened. Of the share for later
// occurrences, a job may take as much as it leaves free.
func (j *job) fits(number int) bool {
	share := j.shareOf(number)
	needed := j.openingCost
	if share == laterShare {
		needed += j.laterTasks()
	} else if j.open.counts[share] == 0 {
		// A job that was accepted under higher limits is opened alone.
		return true
	}
	return needed <= j.open.free(share)
}

// laterTasks returns the number of open tasks of the job in laterShare.
func (j *job) laterTasks() int {
	later := len(j.occurrences)
	if j.occurrences[j.nextOccurrence] != nil {
		later--
	}
	return later * j.openingCost
}

// ensureOccurrence returns an occurrence and creates it with its tasks on first use.
func (j *job) ensureOccurrence(number int) *occurrence {
	if existing := j.occurrences[number]; existing != nil {
		return existing
	}
	o := &occurrence{job: j, number: number, unfinishedSteps: len(j.spec.Steps), share: j.shareOf(number)}
	for i := range j.spec.Steps {
		o.steps = append(o.steps, newStep(o, i))
	}
	j.occurrences[number] = o
	j.open.add(o.share, j.openingCost)
	j.open.created = append(j.open.created, o)
	o.countWork()
	return o
}

// dropOccurrence forgets the tasks of an occurrence.
func (j *job) dropOccurrence(o *occurrence) {
	if j.occurrences[o.number] != o {
		return
	}
	delete(j.occurrences, o.number)
	j.open.add(o.share, -j.openingCost)
	o.countWork()
}

// completeCurrent moves on from the first incomplete occurrence.
func (j *job) completeCurrent() {
	completed := j.occurrences[j.nextOccurrence]
	j.nextOccurrence++
	j.dropOccurrence(completed)
	if next := j.occurrences[j.nextOccurrence]; next != nil {
		j.open.add(next.share, -j.openingCost)
		next.share = j.shareOf(next.number)
		j.open.add(next.share, j.openingCost)
	}
}

// dropEndedOccurrences forgets the tasks of a job that has ended, but for those of occurrences
// that still have runs.
func (j *job) dropEndedOccurrences() {
	for _, o := range j.occurrences {
		o.dropIfEnded()
	}
}

func (o *occurrence) dropIfEnded() {
	if o.runs == 0 && o.job.state.IsFinal() {
		o.job.dropOccurrence(o)
	}
}

func (o *occurrence) countRemovedRun() {
	o.runs--
	o.dropIfEnded()
}

// nextToOpen returns the lowest occurrence that is not open, or false if there is none left.
func (j *job) nextToOpen() (number int, left bool) {
	j.opened = max(j.opened, j.nextOccurrence)
	for j.opened < j.spec.OccurrenceCount() && j.occurrences[j.opened] != nil {
		j.opened++
	}
	return j.opened, j.opened < j.spec.OccurrenceCount()
}

// awaitNextDue lets the job wait until its next occurrence that is not open is due, or until it
// can be opened.
func (c *Cell) awaitNextDue(now time.Time, j *job) {
	number, left := j.nextToOpen()
	switch {
	case !left || j.state.IsFinal() || j.awaitsOpening || j.awaitsDueTime:
	case now.Before(j.spec.DueTime(number)):
		j.awaitsDueTime = true
		c.periodicJobs = append(c.periodicJobs, j)
	default:
		j.awaitsOpening = true
		c.unopenedJobs = append(c.unopenedJobs, j)
		c.open.changed = true
	}
}

// openDueJobs lets the jobs whose next occurrence has become due wait for its opening.
func (c *Cell) openDueJobs(now time.Time) {
	waiting := c.periodicJobs
	c.periodicJobs = nil
	for _, j := range waiting {
		j.awaitsDueTime = false
		c.awaitNextDue(now, j)
	}
}

// openWaiting opens occurrences that are due as far as there is room, one of each waiting job
// in turn.
func (c *Cell) openWaiting(now time.Time) {
	for c.open.changed {
		c.open.changed = c.openRound(now)
	}
	c.openCreated(now)
}

// openCreated makes the tasks of new occurrences ready. One that a worker or a record of an
// earlier term names may not be due.
func (c *Cell) openCreated(now time.Time) {
	created := c.open.created
	c.open.created = nil
	for _, o := range created {
		switch {
		case o.job.state.IsFinal() || o.job.occurrences[o.number] != o:
		case now.Before(o.job.spec.DueTime(o.number)):
			c.open.created = append(c.open.created, o)
		default:
			c.openOccurrence(now, o)
		}
	}
}

// openRound opens at most one occurrence of each waiting job, and reports whether it has opened
// any. A job that finds no room keeps those behind it in its share waiting, so that jobs with
// few tasks don't overtake it for good.
func (c *Cell) openRound(now time.Time) (opened bool) {
	slices.SortStableFunc(c.unopenedJobs, compareUnopened)
	waiting := c.unopenedJobs
	c.unopenedJobs = nil
	var full [openShareCount]bool
	for _, j := range waiting {
		j.awaitsOpening = false
		if j.state.IsFinal() {
			continue
		}
		number, left := j.nextToOpen()
		if share := j.shareOf(number); left && !full[share] {
			if j.fits(number) {
				j.ensureOccurrence(number)
				opened = true
			} else {
				full[share] = j.holdsPlace(share)
			}
		}
		c.awaitNextDue(now, j)
	}
	return opened
}

// holdsPlace reports whether jobs behind this one wait until it finds room in a share. Those of
// laterShare don't wait for a job that has a part of it, or that never fits into it.
func (j *job) holdsPlace(share openShare) bool {
	return share != laterShare || j.laterTasks() == 0 && j.openingCost <= j.open.limit(laterShare)
}

// compareUnopened orders jobs by priority, then by the number of their open occurrences, then
// by their time of acceptance.
func compareUnopened(a, b *job) int {
	return cmp.Or(
		cmp.Compare(a.terms.Priority, b.terms.Priority),
		cmp.Compare(len(a.occurrences), len(b.occurrences)),
		a.acceptedAt.Compare(b.acceptedAt),
	)
}

// openOccurrence makes the tasks of all steps ready whose dependencies are done.
func (c *Cell) openOccurrence(now time.Time, o *occurrence) {
	for _, s := range o.steps {
		if s.opened || !s.dependenciesDone() {
			continue
		}
		s.opened = true
		untouched := s.unopenedEarlier()
		for _, t := range s.tasks {
			t.located = t.located || untouched
			t.notDoneEarlier = t.notDoneEarlier || untouched
			t.mayHaveStarted = t.job().fromEarlierTerm && !untouched
			c.requeue(now, t)
		}
	}
}
