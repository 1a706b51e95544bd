package cell

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/overload"
)

// With Config.RefuseHopeless, a cell keeps running sums of the work of its accepted jobs, so
// that the forecast for a submission takes the same time however much waits. A task's work is
// its CPU times its expected duration when its job was accepted or restored. Long-running
// tasks, and occurrences of periodic jobs that are not open, are not counted.

// workKind is a kind of capacity that tasks compete for.
type workKind uint8

const (
	// reservedWork is done by tasks that reserve their CPU, and spareWork by best-effort tasks.
	reservedWork workKind = iota
	spareWork
	workKindCount
)

func workKindOf(spec *jobspec.Step) workKind {
	if spec.BestEffort {
		return spareWork
	}
	return reservedWork
}

// workGroup is the urgency of the jobs that work belongs to, as far as the order of starts
// depends on it.
type workGroup uint8

const (
	inTimeWork workGroup = iota
	lateWork
	tooLateWork
	workGroupCount
)

func workGroupOf(class urgencyClass) workGroup {
	switch class {
	case late:
		return lateWork
	case tooLate:
		return tooLateWork
	}
	return inTimeWork
}

// workAmount is work in thousandths of a core times milliseconds.
type workAmount struct {
	// queued is the work of tasks without a run, and running that of tasks with one.
	queued, running int64
}

// workRank orders work: that of a lower priority value, and of jobs with shorter objectives in
// the same priority, is served first.
type workRank struct {
	priority int
	// objective is the number of bits of the objective in milliseconds.
	objective int
}

func (r workRank) isServedBefore(other workRank) bool {
	return r.priority < other.priority || r.priority == other.priority && r.objective <= other.objective
}

// kindWork sums up the work of one kind in a pool.
type kindWork struct {
	// ranks holds the work by rank, in order.
	ranks []*rankedWork
	// queued is the queued work by queue, but for jobs that are too late; queues without any
	// are left out.
	queued map[string]int64
	// running is the work of all tasks with a run.
	running int64
	// capacity and free are what measureWork has found, in thousandths of a core.
	capacity, free float64
	floors         overload.Floors
	pacer          overload.Pacer
}

// rankedWork sums up the work of one rank.
type rankedWork struct {
	rank   workRank
	groups [workGroupCount]workAmount
	// accepted is the rate at which jobs of the rank were accepted.
	accepted overload.Rate
}

type poolWork [workKindCount]kindWork

// workSums holds the sums by pool.
type workSums struct {
	pools map[string]*poolWork
}

func newWorkSums() *workSums { return &workSums{pools: map[string]*poolWork{}} }

func (s *workSums) pool(name string) *poolWork {
	p := s.pools[name]
	if p == nil {
		p = &poolWork{}
		for kind := range p {
			p[kind].queued = map[string]int64{}
		}
		s.pools[name] = p
	}
	return p
}

func (r workRank) compare(other workRank) int {
	return cmp.Or(cmp.Compare(r.priority, other.priority), cmp.Compare(r.objective, other.objective))
}

// rank returns the sums of a rank.
func (k *kindWork) rank(rank workRank) *rankedWork {
	index, found := slices.BinarySearchFunc(k.ranks, rank, func(r *rankedWork, rank workRank) int { return r.rank.compare(rank) })
	if !found {
		k.ranks = slices.Insert(k.ranks, index, &rankedWork{rank: rank})
	}
	return k.ranks[index]
}

// jobWork is what the sums contain of one job.
type jobWork struct {
	pool  *poolWork
	queue string
	rank  workRank
	// perTask is the work of a task of each step.
	perTask []int64
	amounts [workKindCount]workAmount
	group   workGroup
	// unopened is set while the tasks of the job are counted as queued although they are not
	// open.
	unopened bool
	// expected is the time to completion that was forecast when the job was accepted, or 0 if
	// there was no forecast.
	expected time.Duration
}

// maxJobWork bounds what is counted of a job: a caller may name any size, and the sums must not
// overflow. It is 50 days of a core.
const maxJobWork = 1 << 42

// newJobWork returns the work of a job of which nothing is counted yet.
func (c *Cell) newJobWork(j *job) *jobWork {
	w := &jobWork{pool: c.work.pool(j.terms.Pool), queue: j.terms.Queue,
		rank: workRank{j.terms.Priority, bits.Len64(uint64(max(0, c.objective(j).Milliseconds())))}}
	for i := range j.spec.Steps {
		w.perTask = append(w.perTask, c.taskWork(j, &j.spec.Steps[i]))
	}
	return w
}

func (c *Cell) taskWork(j *job, spec *jobspec.Step) int64 {
	if spec.LongRunning {
		return 0
	}
	// A caller may name any estimate; a duration of it might overflow.
	work := float64(spec.CPUMillis) * c.durations.ratio(spec, j.terms.Queue) * float64(spec.EstimateMillis)
	return int64(min(work, float64(maxJobWork/int64(max(1, j.tasksPerOccurrence)))))
}

// total returns the work of all tasks of an occurrence, by kind.
func (w *jobWork) total(j *job) (total [workKindCount]int64) {
	for i := range j.spec.Steps {
		total[workKindOf(&j.spec.Steps[i])] += int64(j.spec.Steps[i].Count) * w.perTask[i]
	}
	return total
}

// add changes what is counted of the job.
func (w *jobWork) add(kind workKind, change workAmount) {
	w.amounts[kind].queued += change.queued
	w.amounts[kind].running += change.running
	w.addToGroup(kind, change)
	w.pool[kind].running += change.running
}

func (w *jobWork) addToGroup(kind workKind, change workAmount) {
	k := &w.pool[kind]
	sums := &k.rank(w.rank).groups[w.group]
	sums.queued += change.queued
	sums.running += change.running
	if w.group != tooLateWork && change.queued != 0 {
		if k.queued[w.queue] += change.queued; k.queued[w.queue] == 0 {
			delete(k.queued, w.queue)
		}
	}
}

// setGroup moves the work of the job to another group.
func (w *jobWork) setGroup(group workGroup) {
	if w.group == group {
		return
	}
	for kind, amount := range w.amounts {
		w.addToGroup(workKind(kind), workAmount{-amount.queued, -amount.running})
	}
	w.group = group
	for kind, amount := range w.amounts {
		w.addToGroup(workKind(kind), amount)
	}
}

// countedState says how a task is counted.
type countedState uint8

const (
	notCounted countedState = iota
	countedQueued
	countedRunning
)

func (state countedState) amount(work int64) workAmount {
	switch state {
	case countedQueued:
		return workAmount{queued: work}
	case countedRunning:
		return workAmount{running: work}
	}
	return workAmount{}
}

// stateToCount returns how the task is to be counted now.
func (t *task) stateToCount() countedState {
	j, o := t.job(), t.step.occurrence
	switch {
	case t.done || j.state.IsFinal() || j.occurrences[o.number] != o:
		return notCounted
	case len(t.runs) > 0:
		return countedRunning
	}
	return countedQueued
}

// countWork corrects the sums after a change of the task.
func (t *task) countWork() {
	w := t.job().work
	if w == nil {
		return
	}
	state := t.stateToCount()
	if state == t.counted {
		return
	}
	kind, work := workKindOf(t.spec()), w.perTask[t.step.index]
	before, after := t.counted.amount(work), state.amount(work)
	t.counted = state
	w.add(kind, workAmount{after.queued - before.queued, after.running - before.running})
}

// countWork corrects the sums after an occurrence was opened or dropped.
func (o *occurrence) countWork() {
	if o == nil || o.job.work == nil {
		return
	}
	for _, s := range o.steps {
		for _, t := range s.tasks {
			t.countWork()
		}
	}
	o.job.countUnopened()
}

// isUnopened reports whether the job waits for room among the open tasks and is not periodic.
func (j *job) isUnopened() bool {
	return !j.state.IsFinal() && j.spec.Occurrences == 0 && j.nextOccurrence == 0 && j.occurrences[0] == nil
}

// countUnopened corrects the sums after a change that bears on whether the job is open.
func (j *job) countUnopened() {
	unopened := j.isUnopened()
	if j.work.unopened == unopened {
		return
	}
	j.work.unopened = unopened
	for kind, work := range j.work.total(j) {
		if !unopened {
			work = -work
		}
		j.work.add(workKind(kind), workAmount{queued: work})
	}
}

// countJob begins to count the work of a job, or corrects it after the job has ended.
func (c *Cell) countJob(j *job) {
	if c.work == nil {
		return
	}
	if j.work == nil {
		j.work = c.newJobWork(j)
	}
	for _, o := range j.occurrences {
		o.countWork()
	}
	j.countUnopened()
}

// recountWork counts the work of all jobs anew, by what is known of their images now.
func (c *Cell) recountWork() {
	if c.work == nil {
		return
	}
	c.work = newWorkSums()
	for _, j := range c.jobs {
		j.work = nil
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				for _, t := range s.tasks {
					t.counted = notCounted
				}
			}
		}
		c.countJob(j)
	}
}

// spareWindow is the time constant of the mean of the capacity for best-effort tasks. What other
// tasks leave idle changes within the run time of an interactive task.
const spareWindow = 5 * time.Second

// measureWork measures the capacity of each pool for the kinds of work. Workers that don't
// answer count as capacity, since they mostly return within the objective of a job, but not as
// free.
func (c *Cell) measureWork(now time.Time, sinceLast time.Duration) {
	if c.work == nil {
		return
	}
	type measured struct{ capacity, free float64 }
	pools := map[*poolWork]*[workKindCount]measured{}
	for _, w := range c.sortedWorkers() {
		if !w.registered || w.departure.closed || w.evacuated {
			continue
		}
		p := c.work.pool(w.info.Pool)
		m := pools[p]
		if m == nil {
			m = &[workKindCount]measured{}
			pools[p] = m
		}
		reserved, spare := float64(w.info.Capacity.CPU), float64(w.info.Capacity.CPU)
		idle := spare
		for _, r := range w.runs {
			demand := r.demand()
			idle -= demand
			if r.task.spec().LongRunning {
				reserved -= float64(r.size.CPU)
			}
			if !r.task.spec().BestEffort {
				spare -= demand
			}
		}
		m[reservedWork].capacity += max(0, reserved)
		m[spareWork].capacity += max(0, spare)
		if w.usable(now) {
			m[reservedWork].free += max(0, float64(w.free().CPU))
			m[spareWork].free += max(0, idle)
		}
	}
	for _, p := range c.work.pools {
		m := pools[p]
		if m == nil {
			m = &[workKindCount]measured{}
		}
		p[reservedWork].capacity, p[reservedWork].free = m[reservedWork].capacity, m[reservedWork].free
		p[spareWork].free = m[spareWork].free
		p[spareWork].smoothCapacity(m[spareWork].capacity, sinceLast)
	}
}

// smoothCapacity follows a rise of the capacity at once and a fall by a moving mean: if it is
// uncertain, jobs are accepted.
func (k *kindWork) smoothCapacity(measured float64, sinceLast time.Duration) {
	share := min(1, float64(sinceLast)/float64(spareWindow))
	k.capacity = max(measured, k.capacity+share*(measured-k.capacity))
}
