package cell

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"poplarvalve/internal/process/jobspec"
)

// Cell is the state of one cell in one term.
type Cell struct {
	config  Config
	jobs    map[jobspec.ID]*job
	workers map[WorkerID]*worker
	// ordered holds the workers in a fixed order; list keeps it up.
	ordered []*worker
	// index is the published view of jobs, replaced whole.
	index atomic.Pointer[iradix.Tree[*job]]

	// recovering holds the workers that may have runs of earlier terms and
	// haven't answered in this one.
	recovering   map[WorkerID]bool
	recoverUntil time.Time
	// registered says that the registry was read in this term.
	registered bool

	ready []*task
	// unsorted says that ready has tasks that rank has not seen.
	unsorted bool
	rankedAt time.Time
	timed    []*job
	dirty    []*job

	effects Effects
	write   Write
	// writes is the number of the newest write handed out, actions what
	// happens once a write is stored.
	writes  uint64
	actions []action

	images    images
	pressures pressures
	// saved is when what was learned was last stored.
	saved   time.Time
	reserve reserve
	room    room

	// adviceCalls counts the calls to the advice service that are on their way.
	adviceCalls int

	workersChanged bool
	// paused says that no task may be started.
	paused bool
}

// action is run once the write with that number is stored.
type action struct {
	number uint64
	do     func()
}

// New returns an empty cell.
func New(config Config) *Cell {
	c := &Cell{
		config:     config,
		jobs:       map[jobspec.ID]*job{},
		workers:    map[WorkerID]*worker{},
		recovering: map[WorkerID]bool{},
		images:     newImages(),
		pressures:  newPressures(),
	}
	c.index.Store(iradix.New[*job]())
	return c
}

// Restore sets what earlier terms stored. It is called once, before any other
// event. Workers in the list may still have runs of those terms.
func (c *Cell) Restore(now time.Time, jobs []JobRecord, progress []ProgressRecord, workers []WorkerInfo) {
	tree := c.index.Load().Txn()
	for _, record := range jobs {
		j := newJob(record, c.acceptedAt(now, record.AcceptedMillis))
		j.recovered = true
		c.jobs[j.id] = j
		tree.Insert([]byte(j.id), j)
	}
	c.index.Store(tree.Commit())
	for _, record := range progress {
		if j := c.jobs[record.ID]; j != nil {
			j.restore(record)
		}
	}
	for _, j := range c.jobs {
		j.visible.Store(uint32(j.state))
		c.advance(now, j)
	}
	for _, info := range workers {
		c.workers[info.ID] = newWorker(info)
		c.workersChanged = true
		c.recovering[info.ID] = true
	}
	c.recoverUntil = now.Add(c.config.RecoveryWait)
	for _, j := range c.jobs {
		c.openSteps(now, j)
	}
}

// acceptedAt converts a stored time; a clock of an earlier leader that ran
// ahead must not make a job younger than none.
func (c *Cell) acceptedAt(now time.Time, millis int64) time.Time {
	age := max(0, now.Sub(time.UnixMilli(millis)))
	return now.Add(-age)
}

// Register replaces what the registry says of the cell's workers.
func (c *Cell) Register(now time.Time, infos []WorkerInfo) {
	listed := make(map[WorkerID]bool, len(infos))
	for _, info := range infos {
		listed[info.ID] = true
		c.registerOne(now, info)
	}
	c.registered = true
	for id, w := range c.workers {
		if !listed[id] && w.listed {
			w.listed = false
			c.note(Note{Event: "worker unlisted", Worker: id})
		}
	}
}

func (c *Cell) registerOne(now time.Time, info WorkerInfo) {
	w := c.workers[info.ID]
	if w == nil {
		w = newWorker(info)
		c.workers[info.ID] = w
		c.workersChanged = true
		if !c.registered {
			c.recovering[info.ID] = true
		}
		c.write.Workers = append(c.write.Workers, info)
	}
	if !w.listed || w.info.Draining != info.Draining {
		c.note(Note{Event: "worker listed", Worker: info.ID, Outcome: drainingWord(info.Draining)})
	}
	// Only a report shows what another life runs: an order to the earlier one
	// may still arrive there.
	info.Born = w.info.Born
	if info.Address != w.info.Address {
		c.workersChanged = true
	}
	w.listed = true
	w.info = info
}

func drainingWord(draining bool) string {
	if draining {
		return "draining"
	}
	return "ready"
}

// WorkersChanged says whether the workers or their addresses changed since the
// last call.
func (c *Cell) WorkersChanged() bool {
	changed := c.workersChanged
	c.workersChanged = false
	return changed
}

// SetStarting says whether tasks may be started. A leader that can't show that
// its term goes on must not start any.
func (c *Cell) SetStarting(starting bool) {
	if starting == c.paused {
		c.paused = !starting
		c.note(Note{Event: "starts", Outcome: map[bool]string{true: "resumed", false: "paused"}[starting]})
	}
}

// PaceFailed says that a pace order was not carried out, or may not have been.
func (c *Cell) PaceFailed(order PaceOrder) {
	if w := c.workers[order.Worker]; w != nil {
		if r := w.find(order.Task, order.Run); r != nil && r.pace == order.Percent {
			r.pace = unknownPace
		}
	}
}

// list returns the workers in a fixed order.
func (c *Cell) list() []*worker {
	if len(c.ordered) != len(c.workers) {
		c.ordered = slices.SortedFunc(maps.Values(c.workers), func(a, b *worker) int {
			return cmp.Compare(a.info.ID, b.info.ID)
		})
	}
	return c.ordered
}

// Workers returns the workers that need a session, with their addresses.
func (c *Cell) Workers() []WorkerInfo {
	infos := make([]WorkerInfo, 0, len(c.workers))
	for _, w := range c.workers {
		infos = append(infos, w.info)
	}
	return infos
}

// WorkerCount returns the number of workers of the cell.
func (c *Cell) WorkerCount() int { return len(c.workers) }

// SubmitResult says what Submit did.
type SubmitResult uint8

const (
	// SubmitStored means that the job is accepted and stored.
	SubmitStored SubmitResult = iota
	// SubmitPending means that the request is in Done once the job is stored.
	SubmitPending
)

// Submit takes a checked job. A job that is known is the same job, whatever
// its content says. request is reported in Effects.Done.
func (c *Cell) Submit(now time.Time, request uint64, id jobspec.ID, spec *jobspec.Job, terms Terms) SubmitResult {
	known := c.jobs[id]
	if known != nil && State(known.visible.Load()) != Hidden {
		return SubmitStored
	}
	if known == nil {
		c.accept(now, JobRecord{ID: id, Job: *spec, Terms: terms, AcceptedMillis: now.UnixMilli()})
	}
	c.answerAfterWrite(request)
	return SubmitPending
}

func (c *Cell) accept(now time.Time, record JobRecord) {
	j := newJob(record, now)
	c.jobs[j.id] = j
	c.write.Jobs = append(c.write.Jobs, record)
	c.afterWrite(func() {
		tree, _, _ := c.index.Load().Insert([]byte(j.id), j)
		c.index.Store(tree)
		j.visible.CompareAndSwap(uint32(Hidden), uint32(Queued))
		c.openSteps(now, j)
	})
}

// Cancel ends a job. It returns false if there is no such job, and true if
// request will be in Effects.Done.
func (c *Cell) Cancel(now time.Time, request uint64, id jobspec.ID) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	// A job that is not stored yet is canceled too: it will be, whatever its
	// caller was told.
	if !j.state.Over() {
		c.end(now, j, Canceled)
	}
	c.answerAfterWrite(request)
	return true
}

// Lookup returns the state of a job that is stored. Any thread may call it.
func (c *Cell) Lookup(id jobspec.ID) (State, bool) {
	j, found := c.index.Load().Get([]byte(id))
	if !found {
		return Hidden, false
	}
	return State(j.visible.Load()), true
}

// Pending counts the accepted jobs of a queue of which no task has started.
func (c *Cell) Pending(queue string) int {
	count := 0
	for _, j := range c.jobs {
		if j.terms.Queue == queue && State(j.visible.Load()) == Queued {
			count++
		}
	}
	return count
}

// end settles the final state of a job and stops what still runs.
func (c *Cell) end(now time.Time, j *job, state State) {
	j.state = state
	j.ended = now
	c.note(Note{Event: "job ended", Task: TaskID{Job: j.id}, Outcome: state.String(), Age: now.Sub(j.accepted)})
	c.markDirty(j)
	c.afterWrite(func() {
		j.visible.Store(uint32(state))
		c.stopRuns(now, j)
	})
}

func (c *Cell) stopRuns(now time.Time, j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					c.stop(now, r)
				}
			}
		}
	}
}

// stop orders the end of a run. Its room stays taken until the end is listed.
func (c *Cell) stop(now time.Time, r *run) {
	if r.phase == running || r.phase == stopping {
		r.phase = stopping
	}
	r.stopped = now
	c.effects.Stops = append(c.effects.Stops, StopOrder{r.worker.info.ID, r.task.id(), r.number})
}

func (c *Cell) markDirty(j *job) {
	if j.dirty {
		return
	}
	j.dirty = true
	c.dirty = append(c.dirty, j)
}

// afterWrite runs do once everything decided so far is stored.
func (c *Cell) afterWrite(do func()) {
	c.actions = append(c.actions, action{c.writes + 1, do})
}

func (c *Cell) answerAfterWrite(request uint64) {
	c.write.Urgent = true
	c.afterWrite(func() { c.effects.Done = append(c.effects.Done, request) })
}

// Stored says that all writes up to number are stored.
func (c *Cell) Stored(number uint64) {
	done := 0
	for done < len(c.actions) && c.actions[done].number <= number {
		c.actions[done].do()
		done++
	}
	c.actions = slices.Delete(c.actions, 0, done)
}

// Take schedules what can be started and returns the effects of all events
// since the last call.
func (c *Cell) Take(now time.Time) Effects {
	c.schedule(now)
	c.collectWrite()
	effects := c.effects
	c.effects = Effects{}
	return effects
}

func (c *Cell) collectWrite() {
	for _, j := range c.dirty {
		j.dirty = false
		c.write.Progress = append(c.write.Progress, j.progress())
	}
	c.dirty = nil
	if c.write.empty() && !c.waiting() {
		return
	}
	c.writes++
	write := c.write
	write.Number = c.writes
	c.effects.Write = &write
	c.write = Write{}
}

// waiting says whether an action waits for a write that isn't handed out.
func (c *Cell) waiting() bool {
	return len(c.actions) > 0 && c.actions[len(c.actions)-1].number > c.writes
}

func (w *Write) empty() bool {
	return w.Learned == nil && len(w.Jobs)+len(w.Progress)+len(w.Workers)+len(w.Gone)+len(w.Dropped) == 0
}

func (c *Cell) note(n Note) { c.effects.Notes = append(c.effects.Notes, n) }
