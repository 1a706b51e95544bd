package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"poplarvalve/internal/version/workerspeed"
)

// The speed of each worker is learned from the progress of its runs (package workerspeed).
// Placement weighs how much longer a task takes on a slow worker against the time that its job
// has left. Runs on a worker that has become slow are moved if that clearly gains time; they
// get a place first, as when a worker leaves (move.go). Nothing of this is stored: the next
// leader learns the speeds anew.

const (
	// fleetPeriod is how often the speeds of workers are compared with each other, and
	// speedMovePeriod how often moves off slow workers begin.
	fleetPeriod     = 500 * time.Millisecond
	speedMovePeriod = 250 * time.Millisecond
	// observePeriod is the least time between two reports of a worker from which progress is
	// learned. Ends always count.
	observePeriod = 200 * time.Millisecond
	// delayPenalty, in spare cores, keeps a task off a worker on which it would lose all the
	// time that its job has left, and factorPenalty any task off slow workers. Together they
	// weigh less than suspectPenalty, since a suspect worker may fail the task.
	delayPenalty  = 150
	factorPenalty = 100
	// patientSlack is the least time that a best-effort job is taken to have left.
	patientSlack = 2 * time.Second
	// unboundedSlack is the time left of a job that has lost its value.
	unboundedSlack = time.Hour
	// maxSpeedMoves is the number of times that a task is moved off slow workers.
	maxSpeedMoves = 2
	// maxSpeedSearches is the number of searches for a place in one pass, and
	// ratedPerSpeedMove the number of workers that each of them rates.
	maxSpeedSearches  = 64
	ratedPerSpeedMove = 24
	// maxSlowRuns is the number of runs on slow workers that one pass looks at.
	maxSlowRuns = 256
)

// workerSpeeds is what the cell knows of the speeds of all its workers.
type workerSpeeds struct {
	fleet              workerspeed.Fleet
	updatedAt, movedAt time.Time
	// paces is a buffer for the runs of one worker.
	paces []*workerspeed.Progress
	// nextSlow is the index of the worker at which the next pass begins.
	nextSlow int
	// slow is the number of workers known as slow.
	slow int
	// slackOf is the job of which slack was last computed, at slackAt. fasterFor is the same for
	// whether a step can run on a worker of usual speed.
	slackOf   *job
	slackAt   time.Time
	slack     time.Duration
	fasterFor *step
	fasterAt  time.Time
	faster    bool
}

// SlowWorkers returns the number of workers that are known as slow.
func (c *Cell) SlowWorkers() int { return c.speeds.slow }

// observeSpeed learns from the runs in a report of the worker.
func (c *Cell) observeSpeed(now time.Time, w *worker) {
	if !c.config.LearnSpeed || now.Sub(w.speed.ObservedAt()) < observePeriod {
		return
	}
	paces := c.speeds.paces[:0]
	var last *step
	var usual time.Duration
	for _, r := range w.runs {
		if r.phase != running {
			continue
		}
		if !c.showsSpeed(r) {
			r.pace.Discard()
			continue
		}
		if r.task.step != last {
			last, usual = r.task.step, c.usualTime(r.task, w)
		}
		if !r.pace.HasBegun() && r.runningSince.Before(now) && r.task.checkpoint == "" && r.throttle != unknownThrottle {
			r.pace.Begin(r.runningSince)
		}
		r.pace.Observe(now, r.percent, usual)
		paces = append(paces, &r.pace)
	}
	c.speeds.paces = paces
	w.speed.ObserveRuns(now, paces)
	c.assessSpeed(now, w)
}

// showsSpeed reports whether the progress of a run is evidence about the speed of its worker.
// Service tasks make none, and best-effort tasks may be held back by throttling or by what else
// uses the worker. A gang advances with its slowest member.
func (c *Cell) showsSpeed(r *run) bool {
	spec := r.task.spec()
	switch {
	case spec.LongRunning || spec.Gang || spec.EstimateMillis <= 0:
		return false
	case !spec.BestEffort:
		return true
	}
	w := r.worker
	return r.throttle == 100 && w.bestEffort.overSince.IsZero() && c.loadOf(w).demand <= float64(w.info.Capacity.CPU)
}

// usualTime returns how long the task takes on a worker of usual speed in the rack of w.
func (c *Cell) usualTime(t *task, w *worker) time.Duration {
	expected := c.durations.expectedDuration(t)
	if rack := t.spec().DataRack; rack != "" && w.info.Rack != rack {
		return time.Duration(float64(expected) * max(1, c.config.RemoteFactor))
	}
	return expected
}

// usualDuration learns from the end of a run, and returns how long the run would have taken on
// a worker of usual speed: the durations of images must not grow because workers are slow.
func (c *Cell) usualDuration(now time.Time, r *run, reason EndReason, duration time.Duration) time.Duration {
	if !c.config.LearnSpeed {
		return duration
	}
	if reason == EndSucceeded && c.showsSpeed(r) {
		r.pace.Observe(now, 100, c.usualTime(r.task, r.worker))
	}
	if reason == EndSucceeded || reason == EndStopped {
		r.worker.speed.ObserveEnd(now, &r.pace)
		c.assessSpeed(now, r.worker)
	}
	return time.Duration(float64(duration) / r.worker.speed.Factor())
}

// assessSpeed brings the estimate of a worker up to date and logs changes.
func (c *Cell) assessSpeed(now time.Time, w *worker) {
	switch w.speed.Assess(now, c.speeds.fleet, w.info.ColdUntil) {
	case workerspeed.BecameSlow:
		c.speeds.slow++
		c.addEvent(DecisionEvent{Event: "worker slow", Worker: w.info.ID, Outcome: fmt.Sprintf("%.1f times as long, %d runs", w.speed.Factor(), len(w.runs))})
	case workerspeed.Recovered:
		c.speeds.slow--
		c.addEvent(DecisionEvent{Event: "worker speed recovered", Worker: w.info.ID, Age: now.Sub(w.speed.SlowSince())})
	}
}

// followSpeeds compares the workers with each other, and moves runs off slow ones.
func (c *Cell) followSpeeds(now time.Time) {
	if !c.config.LearnSpeed {
		return
	}
	if now.Sub(c.speeds.updatedAt) >= fleetPeriod {
		c.speeds.updatedAt = now
		c.compareSpeeds(now)
	}
	if now.Sub(c.speeds.movedAt) >= speedMovePeriod {
		c.speeds.movedAt = now
		c.moveOffSlowWorkers(now)
	}
}

// compareSpeeds compares the workers with each other.
func (c *Cell) compareSpeeds(now time.Time) {
	estimates := make([]*workerspeed.Estimate, 0, len(c.workers))
	for _, w := range c.sortedWorkers() {
		if w.registered && !w.unresponsive {
			estimates = append(estimates, &w.speed)
		}
	}
	c.speeds.fleet = workerspeed.NewFleet(estimates)
	slow := 0
	for _, w := range c.sortedWorkers() {
		if now.Sub(w.speed.AssessedAt()) >= fleetPeriod {
			c.assessSpeed(now, w)
		}
		if w.speed.IsSlow() {
			slow++
		}
	}
	c.speeds.slow = slow // Workers that were slow may have restarted or be gone.
}

// slackOf returns how much later than expected a job may be completed within its objective, or
// else with a part of its value.
func (c *Cell) slackOf(now time.Time, j *job) time.Duration {
	s := &c.speeds
	if s.slackOf == j && s.slackAt.Equal(now) {
		return s.slack
	}
	objective, end := c.objective(j), now.Add(c.remaining(j))
	slack := j.acceptedAt.Add(objective).Sub(end)
	if slack <= 0 {
		slack = j.acceptedAt.Add(lateFactor * objective).Sub(end)
	}
	if slack <= 0 {
		slack = unboundedSlack
	}
	s.slackOf, s.slackAt, s.slack = j, now, slack
	return slack
}

// speedScore rates a worker for a task by the completion that is expected there. It returns a
// reason if the task should wait for a faster worker.
func (c *Cell) speedScore(now time.Time, t *task, w *worker) (float64, unsuitability) {
	factor := w.speed.Factor()
	if !c.config.LearnSpeed || factor == 1 {
		return 0, suitable
	}
	spec := t.spec()
	work := c.usualTime(t, w)
	if spec.LongRunning || work <= 0 {
		return -(delayPenalty + factorPenalty) * (1 - 1/max(factor, 1)), suitable
	}
	lost := w.speed.Expected(now, work) - work
	slack := c.slackOf(now, t.job())
	if spec.BestEffort {
		slack = max(slack, patientSlack)
	} else if !spec.Gang && workerspeed.Waits(now.Sub(t.readySince), lost, slack) && c.hasFasterWorker(now, t) {
		return 0, slowWorker
	}
	return -delayPenalty*workerspeed.Delay(lost, slack) - factorPenalty*max(-0.3, lost.Seconds()/(work+max(lost, 0)).Seconds()), suitable
}

// hasFasterWorker reports whether a worker of usual speed may run the task once it has room.
func (c *Cell) hasFasterWorker(now time.Time, t *task) bool {
	s := &c.speeds
	if s.fasterFor == t.step && s.fasterAt.Equal(now) {
		return s.faster
	}
	s.fasterFor, s.fasterAt = t.step, now
	s.faster = slices.ContainsFunc(c.sortedWorkers(), func(w *worker) bool {
		return w.speed.Factor() <= 1 && w.usable(now) && w.trust(now) == trusted && w.info.Capacity.canHold(t.size()) && w.policyAllows(t) && t.adviceAllows(now, w)
	})
	return s.faster
}

// slowRun is a run on a slow worker that may be moved.
type slowRun struct {
	run  *run
	work workerspeed.Move
	// late is set if the job can be completed in time, but not with the run where it is.
	late bool
	here time.Duration
}

// moveOffSlowWorkers begins the moves of runs on slow workers, those first that make their jobs
// late and then those that take longest. Runs of speculative steps get copies.
func (c *Cell) moveOffSlowWorkers(now time.Time) {
	if c.speeds.slow == 0 || !c.mayStart() {
		return
	}
	free := workerspeed.MaxMoves(len(c.workers))
	for _, m := range c.moves {
		if m.forSpeed {
			free--
		}
	}
	if free <= 0 {
		return
	}
	c.measureCapacity(now)
	pass := c.newSpeedPass(now)
	searches := 0
	for _, s := range c.slowRuns(now) {
		if free <= 0 || searches >= maxSpeedSearches {
			return
		}
		t := s.run.task
		if pass.full[t.step] || !s.late && !c.hasAmpleRoom(t.size()) {
			continue
		}
		searches++
		if t.spec().Speculative {
			c.startSpeculativeOrStop(now, s.run)
			continue
		}
		if c.moveOffSlowWorker(now, s, pass) {
			free--
		} else {
			pass.full[t.step] = true
		}
	}
}

// newSpeedPass returns a pass over the workers that can take runs of slow ones.
func (c *Cell) newSpeedPass(now time.Time) *movePass {
	c.firstRated++
	pass := &movePass{rated: maxRated, examined: maxExamined, ratedPerTask: ratedPerSpeedMove, next: c.firstRated, full: map[*step]bool{}}
	for _, w := range c.sortedWorkers() {
		if w.usable(now) && !w.departure.expected && !w.speed.IsSlow() {
			pass.staying = append(pass.staying, w)
		}
	}
	return pass
}

// slowRuns returns the runs on slow workers that may be moved, the most urgent first.
func (c *Cell) slowRuns(now time.Time) []slowRun {
	var found []slowRun
	workers := c.sortedWorkers()
	if len(workers) == 0 {
		return nil
	}
	c.speeds.nextSlow %= len(workers)
	examined := 0
	for i := range workers {
		w := workers[(c.speeds.nextSlow+i)%len(workers)]
		if examined >= maxSlowRuns {
			c.speeds.nextSlow += i
			break
		}
		if !w.speed.IsSlow() || w.unresponsive || w.departure.expected {
			continue
		}
		examined += len(w.runs)
		for _, r := range w.runs {
			if !c.mayMoveOffSlow(now, r) {
				continue
			}
			work := c.usualTime(r.task, w)
			s := slowRun{run: r, work: workerspeed.Move{Work: work, Left: work * time.Duration(100-min(r.percent, 100)) / 100, Checkpoints: r.task.spec().Checkpointing}}
			s.here = w.speed.Expected(now, s.work.Left)
			if _, clear := s.work.Gain(now, &w.speed, &workerspeed.Estimate{}); !clear {
				continue
			}
			slack := c.slackOf(now, r.task.job())
			s.late = slack != unboundedSlack && s.here-s.work.Left > slack
			found = append(found, s)
		}
	}
	slices.SortStableFunc(found, func(a, b slowRun) int {
		if a.late != b.late {
			return map[bool]int{true: -1, false: 1}[a.late]
		}
		return cmp.Compare(b.here, a.here)
	})
	return found
}

// mayMoveOffSlow reports whether a run may be stopped because its worker is slow. The members
// of a gang stay, and so do tasks under which workers have crashed: a stop would hide whether
// they do so again.
func (c *Cell) mayMoveOffSlow(now time.Time, r *run) bool {
	t, spec := r.task, r.task.spec()
	if spec.Gang || !c.showsSpeed(r) || r.percent >= 100 || t.speedMoves >= maxSpeedMoves {
		return false
	}
	if r.phase != running || len(t.runs) != 1 || t.done || t.job().state.IsFinal() || t.lostWithRack || t.implicated() {
		return false
	}
	return !c.mayRunElsewhere(now, t)
}

// moveOffSlowWorker begins the move of a run. It returns false if no worker has a place on which
// the task would clearly end sooner.
func (c *Cell) moveOffSlowWorker(now time.Time, s slowRun, pass *movePass) bool {
	r, t, from := s.run, s.run.task, s.run.worker
	to := c.placeMove(now, t, pass)
	if to == nil {
		c.requestAdvice(now, t)
		return false
	}
	there := s.work
	there.Work = c.usualTime(t, to)
	gain, clear := there.Gain(now, &from.speed, &to.speed)
	if !clear {
		return false
	}
	t.speedMoves++
	place := c.addRun(now, t, to, c.nextRunNumber(t))
	place.phase = reserved
	c.moves = append(c.moves, &move{legs: []moveLeg{{r, place}}, forSpeed: true})
	c.addEvent(DecisionEvent{Event: "run moved", Task: t.id(), Run: r.number, Worker: from.info.ID, Age: now.Sub(from.speed.SlowSince()),
		Outcome: fmt.Sprintf("slow worker, %.1f times as long, %d ms left, gain %d ms, to %s", from.speed.Factor(), s.here.Milliseconds(), gain.Milliseconds(), to.info.ID)})
	c.effects.MovedForSpeed++
	c.stopRun(now, r)
	return true
}

// dumpSpeeds returns what is known of the speeds of all workers, for the operators' dump.
func (c *Cell) dumpSpeeds() any {
	if !c.config.LearnSpeed {
		return nil
	}
	moving := 0
	for _, m := range c.moves {
		if m.forSpeed {
			moving++
		}
	}
	return map[string]any{"slow_workers": c.speeds.slow, "moves_under_way": moving}
}
