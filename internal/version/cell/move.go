package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// A task whose run would not end before its worker leaves is moved: room is reserved on
// another worker, then the run is stopped, and the task starts there as soon as the end of
// the run is known. Nothing of a move is stored. The next leader learns from the reports of
// the workers whether the run still goes on, and then moves it, or has ended, and then starts
// the task like any other: it starts nothing while any worker may have a run of the task.

const (
	// movesPerWorker is the number of moves, for each worker that may get starts, that are
	// under way at a time.
	movesPerWorker = 2
	// maxRated is the number of times that one pass rates a worker for a task. minRated and
	// maxRatedPerTask are the least and the most of them for one task.
	maxRated        = 4000
	minRated        = 8
	maxRatedPerTask = 64
	// maxExamined is the number of workers that one pass looks at.
	maxExamined = 60_000
	// maxUnplaced is the number of runs without a place for which each freed worker is tried.
	maxUnplaced = 64
	// moveLead is the time left at which tasks are moved although little room is left on the
	// workers that stay. Until then they use room that no other task can use.
	moveLead = 4 * time.Second
)

// move is the move of one run, or of all runs of a gang.
type move struct {
	legs []moveLeg
	// forSpeed is set if the run is moved off a slow worker.
	forSpeed bool
}

// moveLeg is the move of one run. to has the phase reserved.
type moveLeg struct{ from, to *run }

// movePass is one pass over the runs that have to be moved.
type movePass struct {
	// free is the number of moves that may begin. rated and examined are what is left of
	// maxRated and maxExamined.
	free, rated, examined int
	// ratedPerTask is how many workers are rated for a task.
	ratedPerTask int
	// staying holds the workers that may get starts and don't leave. next is the index in it
	// at which the next search begins.
	staying []*worker
	next    int
	// full holds the steps for whose tasks no worker was found.
	full map[*step]bool
	// gangs holds the gangs that were looked at.
	gangs map[*step]bool
}

// planMoves begins the moves of runs on workers that are going to leave, the earliest
// departure first and long-running tasks before others.
func (c *Cell) planMoves(now time.Time) {
	c.unplaced = nil
	if !c.mayStart() {
		return
	}
	departing := c.departingWorkers()
	if len(departing) == 0 {
		return
	}
	pass := c.newMovePass(now, departing)
	for _, longRunning := range []bool{true, false} {
		for _, w := range departing {
			if !c.moveRunsOff(now, w, longRunning, pass) {
				return
			}
		}
	}
}

func (c *Cell) newMovePass(now time.Time, departing []*worker) *movePass {
	var staying []*worker
	for _, w := range c.sortedWorkers() {
		if w.usable(now) && !w.departure.expected {
			staying = append(staying, w)
		}
	}
	runs := 0
	for _, w := range departing {
		runs += len(w.runs)
	}
	c.firstRated++
	c.measureCapacity(now)
	return &movePass{
		free:         movesPerWorker*len(staying) - len(c.moves),
		rated:        maxRated,
		examined:     maxExamined,
		ratedPerTask: min(max(maxRated/max(runs, 1), minRated), maxRatedPerTask),
		staying:      staying,
		next:         c.firstRated,
		full:         map[*step]bool{},
		gangs:        map[*step]bool{},
	}
}

// moveRunsOff begins the moves of the long-running, or of the other, runs of a worker. It
// returns false once the pass must begin no more moves.
func (c *Cell) moveRunsOff(now time.Time, w *worker, longRunning bool, pass *movePass) bool {
	if w.unresponsive {
		return true
	}
	for _, r := range w.runs {
		if pass.free <= 0 || pass.rated <= 0 || pass.examined <= 0 {
			return false
		}
		if r.task.spec().LongRunning == longRunning && c.mustMove(now, r) {
			c.beginMove(now, r, pass)
		}
	}
	return true
}

// mustMove reports whether a run has to be moved and can be stopped now. Tasks under which
// workers have crashed stay: a stop would hide whether they do so again.
func (c *Cell) mustMove(now time.Time, r *run) bool {
	t := r.task
	if r.phase != running || len(t.runs) != 1 || t.done || t.job().state.IsFinal() || t.lostWithRack || t.implicated() {
		return false
	}
	return !c.endsBeforeDeparture(now, r) && !c.mayRunElsewhere(now, t) && !c.exceedsUnavailable(r)
}

// exceedsUnavailable reports whether a stop of the run would make more tasks of its step
// unavailable than it allows. On a closed worker, the worker has ended it, not the stop.
func (c *Cell) exceedsUnavailable(r *run) bool {
	spec := r.task.spec()
	if r.worker.departure.closed || !spec.LongRunning || spec.MaxUnavailable == 0 {
		return false
	}
	away := 0
	for _, other := range r.task.step.tasks {
		if other != r.task && !other.isAtWork() {
			away++
		}
	}
	return away >= spec.MaxUnavailable
}

// isAtWork reports whether a run of the task serves.
func (t *task) isAtWork() bool {
	return slices.ContainsFunc(t.runs, func(r *run) bool {
		return r.phase == running && !r.worker.unresponsive && r.percent >= 100
	})
}

// beginMove reserves a place for the task of a run, or for its whole gang, and orders the
// stop. It does nothing if there is no place.
func (c *Cell) beginMove(now time.Time, r *run, pass *movePass) {
	s := r.task.step
	if s.spec.Gang {
		if !pass.gangs[s] {
			pass.gangs[s] = true
			c.beginGangMove(now, s, pass)
		}
		return
	}
	if pass.full[s] || !c.mayMoveNow(now, r) {
		c.noteUnplaced(r)
		return
	}
	w := c.placeMove(now, r.task, pass)
	if w == nil {
		pass.full[s] = true
		c.requestAdvice(now, r.task)
		c.noteUnplaced(r)
		return
	}
	pass.free--
	c.startMove(now, []*run{r}, []*worker{w})
}

// mayMoveNow reports whether there is ample room, or the departure is near and a move of a
// long-running task leaves the reserve for short tasks.
func (c *Cell) mayMoveNow(now time.Time, r *run) bool {
	if r.worker.departure.timeLeft(now) > moveLead {
		return c.hasAmpleRoom(r.size)
	}
	return !r.task.spec().LongRunning || c.leavesReserve(now, r.task)
}

// hasAmpleRoom reports whether the room that is neither used nor waited for holds a task
// beside the reserve. Best-effort tasks use room that they don't reserve.
func (c *Cell) hasAmpleRoom(size Size) bool {
	return c.reserve.allows(c.totals.free-c.held.cpu-c.totals.shortDemand-c.totals.bestEffortDemand, size.CPU)
}

func (c *Cell) noteUnplaced(r *run) {
	if r.task.spec().LongRunning && len(c.unplaced) < maxUnplaced {
		c.unplaced = append(c.unplaced, r)
	}
}

// beginGangMove moves a gang if there is room for all of it beside the present one.
func (c *Cell) beginGangMove(now time.Time, s *step, pass *movePass) {
	var runs []*run
	for _, t := range s.tasks {
		if len(t.runs) != 1 || t.runs[0].phase != running || t.runs[0].worker.unresponsive || t.done || t.implicated() {
			return
		}
		runs = append(runs, t.runs[0])
	}
	pass.rated -= len(s.tasks) * min(len(c.workers), maxRatedPerTask)
	placed := c.placeGang(now, s)
	if placed == nil || slices.ContainsFunc(placed, func(w *worker) bool { return w.departure.expected }) {
		return
	}
	pass.free -= len(runs)
	c.startMove(now, runs, placed)
}

// placeMove returns the best one of a number of workers that stay for a task, or nil.
func (c *Cell) placeMove(now time.Time, t *task, pass *movePass) *worker {
	var best *worker
	var bestScore float64
	for i, rated := 0, 0; i < len(pass.staying) && rated < pass.ratedPerTask; i++ {
		w := pass.staying[(pass.next+i)%len(pass.staying)]
		pass.examined--
		if !w.canRun(now, t) || !t.adviceAllows(now, w) {
			continue
		}
		rated++
		pass.rated--
		score, reason := c.score(now, t, w)
		if reason == suitable && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	pass.next++
	return best
}

// startMove reserves the places and orders the stops of some runs.
func (c *Cell) startMove(now time.Time, runs []*run, placed []*worker) {
	m := &move{}
	number := int64(0)
	for _, r := range runs {
		number = max(number, c.nextRunNumber(r.task))
	}
	for i, r := range runs {
		t, w := r.task, r.worker
		to := c.addRun(now, t, placed[i], number)
		to.phase = reserved
		m.legs = append(m.legs, moveLeg{r, to})
		c.addEvent(DecisionEvent{Event: "run moved", Task: t.id(), Run: r.number, Worker: w.info.ID,
			Outcome: fmt.Sprintf("departure, %s, to %s", w.departure.describe(now), placed[i].info.ID), Age: now.Sub(w.departure.knownSince)})
		c.effects.MovedForDeparture++
		c.stopRun(now, r)
	}
	c.moves = append(c.moves, m)
}

// advanceMoves starts the tasks whose earlier runs have ended at the places that are reserved
// for them, and gives up the moves that are not possible any more.
func (c *Cell) advanceMoves(now time.Time) {
	if len(c.moves) == 0 {
		return
	}
	c.moves = slices.DeleteFunc(c.moves, func(m *move) bool { return c.advanceMove(now, m) })
}

// advanceMove reports whether the move has ended.
func (c *Cell) advanceMove(now time.Time, m *move) bool {
	if slices.ContainsFunc(m.legs, func(leg moveLeg) bool { return leg.isLost(now) }) {
		c.giveUpMove(now, m)
		return true
	}
	for _, leg := range m.legs {
		// A run that turned up elsewhere has to end first as well.
		if t := leg.to.task; len(t.runs) > 1 || c.mayRunElsewhere(now, t) {
			return false
		}
	}
	if !c.mayStart() {
		return false
	}
	if slices.ContainsFunc(m.legs, func(leg moveLeg) bool { return !leg.to.mayStart(now) }) {
		c.giveUpMove(now, m)
		return true
	}
	c.startMoved(now, m)
	return true
}

// isLost reports whether the reserved place is not needed any more or can't be used.
func (leg moveLeg) isLost(now time.Time) bool {
	t, w := leg.to.task, leg.to.worker
	return t.done || t.job().state.IsFinal() || !slices.Contains(t.runs, leg.to) ||
		!w.registered || w.unresponsive || w.departure.expected || w.trust(now) == excluded
}

// mayStart reports whether a reserved run may be started.
func (r *run) mayStart(now time.Time) bool {
	return r.worker.usable(now) && r.worker.info.Capacity.canHold(r.worker.reserved) && r.task.adviceAllows(now, r.worker)
}

// giveUpMove releases the reserved places. The tasks are ready as soon as their runs end.
func (c *Cell) giveUpMove(now time.Time, m *move) {
	for _, leg := range m.legs {
		if !slices.Contains(leg.to.worker.runs, leg.to) {
			continue
		}
		c.addEvent(DecisionEvent{Event: "move given up", Task: leg.to.task.id(), Run: leg.to.number, Worker: leg.to.worker.info.ID})
		c.removeRun(leg.to)
		c.requeue(now, leg.to.task)
	}
}

// startMoved orders the starts of a move. The members of a gang start from one checkpoint and
// with one number, which is above those of runs that turned up meanwhile.
func (c *Cell) startMoved(now time.Time, m *move) {
	checkpoint, number := "", int64(0)
	for _, leg := range m.legs {
		t := leg.to.task
		checkpoint = max(checkpoint, t.checkpoint)
		number = max(number, leg.to.number)
		if t.lastRun > leg.to.number {
			number = max(number, c.nextRunNumber(t))
		}
	}
	for _, leg := range m.legs {
		leg.to.task.checkpoint = checkpoint
		leg.to.task.lastRun, leg.to.number = number, number
		leg.to.phase = starting
		c.issueStart(now, leg.to, leg.from.number)
	}
}

// moveToFreedWorkers begins the moves of long-running tasks for which the last pass found no
// place, to workers on which a run has ended since. Short tasks would otherwise take each such
// place before the next pass.
func (c *Cell) moveToFreedWorkers(now time.Time) {
	if len(c.unplaced) == 0 || len(c.freedWorkers) == 0 || !c.mayStart() {
		return
	}
	stays := func(w *worker) bool { return !w.departure.expected }
	c.unplaced = slices.DeleteFunc(c.unplaced, func(r *run) bool {
		if !slices.Contains(r.worker.runs, r) || r.worker.unresponsive || !c.mustMove(now, r) {
			return true
		}
		if !c.mayMoveNow(now, r) {
			return false
		}
		w := c.bestWorker(now, r.task, c.freedWorkers, stays)
		if w != nil {
			c.startMove(now, []*run{r}, []*worker{w})
		}
		return w != nil
	})
}

// departingWorkers returns the workers that are going to leave, the earliest departure first.
func (c *Cell) departingWorkers() []*worker {
	var departing []*worker
	for _, w := range c.sortedWorkers() {
		if w.departure.expected && len(w.runs) > 0 {
			departing = append(departing, w)
		}
	}
	slices.SortStableFunc(departing, func(a, b *worker) int {
		return cmp.Or(a.departure.deadline().Compare(b.departure.deadline()), cmp.Compare(a.info.ID, b.info.ID))
	})
	return departing
}

// lateRunAllowance is how much later than the departure a run without checkpoints may be
// expected to end and still stays: a worker mostly leaves somewhat later than it said, and
// the run would lose its work.
const lateRunAllowance = time.Second

// endsBeforeDeparture reports whether a run is expected to end on its own before its worker
// leaves.
func (c *Cell) endsBeforeDeparture(now time.Time, r *run) bool {
	if r.task.spec().LongRunning {
		return false
	}
	left := r.worker.departure.timeLeft(now)
	if !r.task.spec().Checkpointing {
		left += lateRunAllowance
	}
	return c.remainingTime(r) <= left
}

// remainingTime returns how long a run is expected to go on.
func (c *Cell) remainingTime(r *run) time.Duration {
	remaining := float64(c.expectedRunTime(r)) * float64(100-min(r.percent, 100)) / 100
	if r.throttle > 0 {
		remaining *= 100 / float64(r.throttle)
	}
	return time.Duration(remaining)
}
