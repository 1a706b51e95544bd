package cell

import (
	"fmt"
	"slices"
	"time"

	"poplarvalve/internal/version/nearplace"
)

// A task may wait for room in the rack of its data, and a gang of a SameRack step for room in
// one rack, as long as package nearplace expects that to pay off. Nothing of a wait is stored
// and no room is reserved for it. The next leader places the tasks of an earlier term without a
// wait.

const (
	// nearWakeMargin is subtracted from the bound on waits, since the cell may act on the end
	// of a wait only at its next tick.
	nearWakeMargin = 100 * time.Millisecond
	// maxNearAsks is the number of ready tasks, in their ranking, among which the room of one
	// rack is shared out.
	maxNearAsks = 512
	// nearReviewPeriod is the time between two decisions about one wait. The room of the rack
	// itself is looked at each retryPause and when a run ends there.
	nearReviewPeriod = 100 * time.Millisecond
	// endingTime is how long a run that is stopped, or that has ended, is expected to keep its
	// room until its worker lists the end.
	endingTime = 100 * time.Millisecond
)

// NearWait is a wait that has ended.
type NearWait struct {
	Outcome  nearplace.Outcome
	Duration time.Duration
}

// nearPlacement is what the cell knows about waits for racks.
type nearPlacement struct {
	corrections nearplace.Corrections
	// pass holds what the current pass over the ready tasks has computed, or nil. passes
	// counts them.
	pass   *nearPass
	passes uint64
}

// nearPass caches the inputs of one pass, so that they are computed once at most for each rack
// that a ready task asks for.
type nearPass struct {
	racks     map[string][]*worker
	asking    map[nearKey]*nearAsking
	forecasts map[nearKey]*nearplace.Forecast
	// slots holds the tasks to which room of a rack was given.
	slots map[*task]nearplace.Slot
	// found is the worker that the last task of foundStep could have started on and did not,
	// because it waits. It is nil after any start.
	found     *worker
	foundStep *step
}

// nearAsking holds the ready tasks that ask for a rack, in their ranking. shared is set once the
// room of the rack is shared out among them.
type nearAsking struct {
	tasks  []*task
	shared bool
}

// nearKey is a rack, with what limits a task to a part of its workers.
type nearKey struct{ rack, pool, label string }

// nearWait is the last wait of a task, or of a gang at its first task.
type nearWait struct {
	// readySince identifies the start that the wait was for: the bound holds for all waits of
	// one start.
	readySince   time.Time
	since, until time.Time
	retryAt      time.Time
	// reviewAt is when it is decided again whether the wait pays off.
	reviewAt      time.Time
	expected      time.Duration
	rack          string
	over, isGroup bool
}

// nearLimit returns how long after it became ready a task may wait, or 0 if none waits.
func (c *Cell) nearLimit() time.Duration {
	return max(0, min(c.config.NearWait, nearplace.MaxWait)-nearWakeMargin)
}

// nearHolder returns the task that holds the wait: the first one of a gang.
func (t *task) nearHolder() *task {
	if t.spec().Gang {
		return t.step.tasks[0]
	}
	return t
}

// waitsNear reports whether the task, or its gang, waits for a rack. Without the setting it
// costs a pass over many ready tasks nothing.
func (c *Cell) waitsNear(t *task) bool { return c.config.NearWait > 0 && t.waitsNear() }

// waitsNear reports whether the task, or its gang, waits for a rack.
func (t *task) waitsNear() bool {
	n := t.nearHolder().near
	return n != nil && !n.over && n.readySince.Equal(t.nearHolder().readySince)
}

// hasWaitedNear reports whether a wait for the present start has ended.
func (t *task) hasWaitedNear() bool {
	return t.near != nil && t.near.over && t.near.readySince.Equal(t.readySince)
}

// mayBeginNearWait reports whether the bound allows a wait for the present start. A task of an
// earlier term has waited for the new leader, which doesn't know for how long.
func (c *Cell) mayBeginNearWait(now time.Time, t *task) bool {
	return !t.hasWaitedNear() && !t.job().fromEarlierTerm && now.Sub(t.readySince) < c.nearLimit()
}

// prefersRack reports whether the task runs faster in the rack of its data and its placement
// weighs that. A long-running task never waits: it has no end that a rack could bring nearer.
func (c *Cell) prefersRack(t *task) bool {
	spec := t.spec()
	return c.nearLimit() > 0 && c.config.RemoteFactor > 1 && spec.DataRack != "" && !spec.Gang && !spec.LongRunning
}

// pausesNear reports whether a waiting task need not be tried in this pass: its pause isn't
// over, and no room was freed in its rack since the last pass.
func (c *Cell) pausesNear(now time.Time, t *task) bool {
	if !c.waitsNear(t) {
		return false
	}
	n := t.nearHolder().near
	freed := func(w *worker) bool { return n.isGroup || w.info.Rack == n.rack }
	return now.Before(n.retryAt) && now.Before(n.until) && !slices.ContainsFunc(c.freedWorkers, freed)
}

// findFarWorker is findWorker, but doesn't search again for a task like the one before that left
// its place.
func (c *Cell) findFarWorker(now time.Time, t *task) *worker {
	if pass := c.near.pass; pass != nil && pass.found != nil && pass.foundStep == t.step && len(t.failedWorkers) == 0 {
		return pass.found
	}
	return c.findWorker(now, t)
}

// chooseNear returns the worker for a task that doesn't wait and for which findWorker has found
// one: a worker in the rack of its data, the one found, or nil if the task begins to wait.
func (c *Cell) chooseNear(now time.Time, t *task, found *worker) *worker {
	if found == nil || !c.prefersRack(t) {
		return found
	}
	pass, key := c.nearPassOf(), t.nearKey()
	near := found
	if found.info.Rack != key.rack {
		near = c.nearWorker(now, t)
	}
	switch {
	case near != nil && len(pass.askingFor(key).tasks) > 1 && !t.hasWaitedNear() && !c.nearSlot(now, t).Granted:
		return c.yieldNear(now, t, found, near)
	case near != nil:
		return near
	case !c.mayBeginNearWait(now, t):
		return found
	case !slices.ContainsFunc(pass.racks[key.rack], func(w *worker) bool { return w.policyAllows(t) && t.adviceAllows(now, w) }):
		return found
	case c.beginNearWait(now, t, key.rack, c.nearAsk(now, t), c.nearSlot(now, t)):
		pass.found, pass.foundStep = found, t.step
		return nil
	}
	return found
}

// nearWorker returns the best worker for a task in the rack of its data, or nil.
func (c *Cell) nearWorker(now time.Time, t *task) *worker {
	return c.bestWorker(now, t, c.nearPassOf().racks[t.spec().DataRack], func(w *worker) bool { return c.offersNearRoom(now, w) })
}

// continueNearWait returns a worker in the rack that a task waits for, or nil. It ends the wait
// if that doesn't pay off any more. Room elsewhere is not looked for as long as it does.
func (c *Cell) continueNearWait(now time.Time, t *task) *worker {
	if !c.waitsNear(t) {
		return nil
	}
	if c.giveUpIfDue(now, t); !t.waitsNear() {
		return nil
	}
	if near := c.nearWorker(now, t); near != nil {
		return near
	}
	if c.forecast(now, t.nearKey()).Empty() {
		c.leaveNear(now, t, nearplace.RackLost)
	} else if !now.Before(t.near.reviewAt) && !c.nearSlot(now, t).Granted {
		c.leaveNear(now, t, nearplace.PlacedFar)
	} else {
		c.pauseNear(now, t)
	}
	return nil
}

// yieldNear returns a worker in another rack, so that a task that saves more gets the room near
// its data, or the near worker if there is no other.
func (c *Cell) yieldNear(now time.Time, t *task, found, near *worker) *worker {
	if found != near {
		return found
	}
	far := c.bestWorker(now, t, c.sortedWorkers(), func(w *worker) bool { return w.info.Rack != near.info.Rack })
	if far != nil {
		return far
	}
	return near
}

// gangWaitsNear reports whether a gang of a SameRack step waits for one rack. placed is where it
// could start now, or nil.
func (c *Cell) gangWaitsNear(now time.Time, s *step, placed []*worker) bool {
	t := s.tasks[0]
	if c.nearLimit() == 0 || c.config.RemoteFactor <= 1 || !s.spec.SameRack || s.spec.LongRunning {
		return false
	}
	c.giveUpIfDue(now, t)
	if placed == nil || !slices.ContainsFunc(placed, func(w *worker) bool { return w.info.Rack != placed[0].info.Rack }) {
		return placed == nil && t.waitsNear()
	}
	if !t.waitsNear() && !c.mayBeginNearWait(now, t) {
		return false
	}
	lost := t.waitsNear() && c.forecast(now, nearKey{t.near.rack, t.job().terms.Pool, s.spec.Label}).Empty()
	if t.waitsNear() && !lost && now.Before(t.near.reviewAt) {
		c.pauseNear(now, t)
		return true
	}
	ask := c.nearAsk(now, t)
	rack, slot := c.groupSlot(now, s, ask)
	switch {
	case !t.waitsNear():
		return c.beginNearWait(now, t, rack, ask, slot)
	case slot.Granted:
		c.pauseNear(now, t)
		return true
	case lost:
		c.leaveNear(now, t, nearplace.RackLost)
	default:
		c.leaveNear(now, t, nearplace.PlacedFar)
	}
	return false
}

// groupSlot returns the rack that is expected to have room for all tasks of a step first.
func (c *Cell) groupSlot(now time.Time, s *step, ask nearplace.Ask) (string, nearplace.Slot) {
	bestRack, best := "", nearplace.Slot{}
	for rack := range c.nearPassOf().racks {
		if rack == "" {
			continue
		}
		f := c.forecast(now, nearKey{rack, s.occurrence.job.terms.Pool, s.spec.Label})
		wait, ok := f.Group(ask.Size, len(s.tasks), s.spec.MaxPerWorker)
		wait = c.near.corrections.For(now, rack).Apply(wait)
		if ok && ask.Pays(wait) && (!best.Granted || wait < best.Wait || wait == best.Wait && rack < bestRack) {
			bestRack, best = rack, nearplace.Slot{Granted: true, Wait: wait}
		}
	}
	return bestRack, best
}

// beginNearWait lets a task that could start elsewhere wait for a rack if it has a share there.
// Room that is free already and not suitable may stay so for any time.
func (c *Cell) beginNearWait(now time.Time, t *task, rack string, ask nearplace.Ask, slot nearplace.Slot) bool {
	if !slot.Granted || slot.Wait == 0 {
		return false
	}
	t.near = &nearWait{readySince: t.readySince, since: now, until: now.Add(ask.Patience(slot.Wait)), expected: slot.Wait, rack: rack, isGroup: t.spec().Gang}
	c.pauseNear(now, t)
	return true
}

// pauseNear begins a pause of a wait. Passes come every few milliseconds.
func (c *Cell) pauseNear(now time.Time, t *task) {
	t.near.retryAt = now.Add(retryPause)
	if !now.Before(t.near.reviewAt) {
		t.near.reviewAt = now.Add(nearReviewPeriod)
	}
}

// giveUpIfDue ends a wait that has reached its limit.
func (c *Cell) giveUpIfDue(now time.Time, t *task) {
	if t.waitsNear() && !now.Before(t.near.until) {
		c.leaveNear(now, t, nearplace.GaveUp)
	}
}

// leaveNear ends the wait of a task, if it waits. It doesn't wait again before its start.
func (c *Cell) leaveNear(now time.Time, t *task, outcome nearplace.Outcome) {
	if !t.waitsNear() {
		return
	}
	n, waited := t.near, now.Sub(t.near.since)
	n.over = true
	c.near.corrections.Record(now, n.rack, n.expected, waited, outcome)
	c.effects.NearWaits = append(c.effects.NearWaits, NearWait{outcome, waited})
	c.addEvent(DecisionEvent{Event: "near wait", Task: t.id(), Run: t.lastRun + 1, Age: waited,
		Outcome: fmt.Sprintf("%s, rack %s, expected %d ms", outcome, n.rack, n.expected.Milliseconds())})
}

// endNearWaitAt ends the wait of a task that gets a run on a worker.
func (c *Cell) endNearWaitAt(now time.Time, t *task, w *worker) {
	if c.near.pass != nil {
		c.near.pass.found = nil
	}
	if t.near == nil {
		return
	}
	outcome := nearplace.PlacedFar
	if t.near.isGroup || w.info.Rack == t.near.rack {
		outcome = nearplace.PlacedNear
	}
	c.leaveNear(now, t, outcome)
}

func (t *task) nearKey() nearKey {
	return nearKey{t.spec().DataRack, t.job().terms.Pool, t.spec().Label}
}

// nearPassOf returns the inputs of the current pass. The ready tasks and the workers are
// grouped by rack once.
func (c *Cell) nearPassOf() *nearPass {
	if c.near.pass != nil {
		return c.near.pass
	}
	pass := &nearPass{racks: map[string][]*worker{}, asking: map[nearKey]*nearAsking{}, forecasts: map[nearKey]*nearplace.Forecast{},
		slots: map[*task]nearplace.Slot{}}
	c.near.pass = pass
	for _, w := range c.sortedWorkers() {
		pass.racks[w.info.Rack] = append(pass.racks[w.info.Rack], w)
	}
	c.near.passes++
	var last *step
	var asking *nearAsking // Of the step of the last task, or nil if it asks for no rack.
	for _, t := range c.readyTasks {
		if t.step != last {
			last, asking = t.step, nil
			if c.prefersRack(t) {
				asking = pass.askingFor(t.nearKey())
			}
		}
		// The pass moves tasks that stay ready to the front, so that they may appear twice.
		if asking == nil || len(asking.tasks) == maxNearAsks || t.nearPass == c.near.passes || !t.queued || t.done || len(t.runs) > 0 {
			continue
		}
		t.nearPass = c.near.passes
		asking.tasks = append(asking.tasks, t)
	}
	return pass
}

func (p *nearPass) askingFor(key nearKey) *nearAsking {
	asking := p.asking[key]
	if asking == nil {
		asking = &nearAsking{}
		p.asking[key] = asking
	}
	return asking
}

// nearSlot returns the share of a task in the room of the rack of its data.
func (c *Cell) nearSlot(now time.Time, t *task) nearplace.Slot {
	pass, key := c.nearPassOf(), t.nearKey()
	if queue := pass.askingFor(key); !queue.shared {
		queue.shared = true
		var tasks []*task
		for _, asking := range queue.tasks {
			if !c.mayRunElsewhere(now, asking) {
				tasks = append(tasks, asking)
			}
		}
		for i, slot := range c.forecast(now, key).Share(c.nearAsks(now, tasks), c.near.corrections.For(now, key.rack)) {
			if slot.Granted {
				pass.slots[tasks[i]] = slot
			}
		}
	}
	return pass.slots[t]
}

// nearAsks returns the asks of tasks. What holds for a job and a step is computed once for
// tasks of one step in a row.
func (c *Cell) nearAsks(now time.Time, tasks []*task) []nearplace.Ask {
	asks := make([]nearplace.Ask, len(tasks))
	for i, t := range tasks {
		if i > 0 && t.step == tasks[i-1].step {
			asks[i] = asks[i-1]
			asks[i].Work, asks[i].Left, asks[i].Waiting = c.nearWork(t), c.nearLimit()-now.Sub(t.readySince), t.waitsNear()
			continue
		}
		asks[i] = c.nearAsk(now, t)
	}
	return asks
}

func (c *Cell) nearAsk(now time.Time, t *task) nearplace.Ask {
	j, spec := t.job(), t.spec()
	ask := nearplace.Ask{
		Priority: j.terms.Priority,
		Size:     nearSize(t.size()),
		Work:     c.nearWork(t),
		Factor:   c.config.RemoteFactor,
		Left:     c.nearLimit() - now.Sub(t.readySince),
		Waiting:  t.waitsNear(),
		Load:     c.totals.load(),
		Slack:    j.acceptedAt.Add(c.objective(j)).Sub(now) - c.remaining(j),
	}
	if spec.BestEffort {
		ask.Size[nearplace.SpareCPU] = spec.CPUMillis
	}
	for i := range j.spec.Steps {
		ask.Dependents = ask.Dependents || slices.Contains(j.spec.Steps[i].DependsOn, t.step.index)
	}
	return ask
}

// load returns the share of the capacity that is used or waited for, from 0 to 1.
func (t *capacityTotals) load() float64 {
	if t.capacity == 0 {
		return 1
	}
	used := float64(t.capacity-t.free) + float64(t.shortDemand) + float64(t.bestEffortDemand)
	return min(used/float64(t.capacity), 1)
}

func nearSize(size Size) nearplace.Size { return nearplace.Size{size.CPU, size.MemoryMB, size.GPU} }

// assumedSavedPercent is the progress that a checkpoint of an earlier term is assumed to save.
const assumedSavedPercent = 50

// nearWork returns what is left to run of a task near its data. A checkpoint saves at most the
// progress of the run that it is from.
func (c *Cell) nearWork(t *task) time.Duration {
	work := c.durations.expectedDuration(t)
	if t.checkpoint == "" {
		return work
	}
	saved := t.percentDone
	if saved == 0 {
		saved = assumedSavedPercent
	}
	return work * time.Duration(100-min(saved, 100)) / 100
}

// offersNearRoom reports whether a task may wait for room on a worker: it may get starts, and isn't
// known to leave, to fail or to be slow.
func (c *Cell) offersNearRoom(now time.Time, w *worker) bool {
	return w.usable(now) && !w.departure.expected && w.trust(now) == trusted && !w.speed.IsSlow() && c.coldScore(now, w) == 0
}

// forecast returns the expected room of a rack.
func (c *Cell) forecast(now time.Time, key nearKey) *nearplace.Forecast {
	pass := c.nearPassOf()
	f := pass.forecasts[key]
	if f != nil {
		return f
	}
	f = &nearplace.Forecast{}
	pass.forecasts[key] = f
	for _, w := range pass.racks[key.rack] {
		if w.info.Pool != key.pool || key.label != "" && !slices.Contains(w.info.Labels, key.label) || !c.offersNearRoom(now, w) {
			continue
		}
		free := nearSize(w.free())
		free[nearplace.SpareCPU] = w.info.Capacity.CPU - int(c.loadOf(w).demand)
		freeings := make([]nearplace.Freeing, 0, len(w.runs))
		for _, r := range w.runs {
			if after := c.expectedEnd(now, r); !r.task.spec().LongRunning && after < 2*nearplace.MaxWait {
				size := nearSize(r.size)
				size[nearplace.SpareCPU] = int(r.demand())
				freeings = append(freeings, nearplace.Freeing{After: after, Size: size})
			}
		}
		f.AddServer(free, freeings)
	}
	return f
}

// expectedEnd returns after what time a run is expected to have ended. One that takes longer
// than expected, or than its progress so far suggests, is expected to go on for as long again.
func (c *Cell) expectedEnd(now time.Time, r *run) time.Duration {
	switch r.phase {
	case stopping, over:
		return endingTime
	case running:
	default:
		return c.expectedRunTime(r)
	}
	seen := later(r.progressAt, r.runningSince)
	left := c.remainingTime(r)
	if r.percent > 0 && r.task.checkpoint == "" {
		left = max(left, seen.Sub(r.runningSince)*time.Duration(100-min(r.percent, 100))/time.Duration(r.percent))
	}
	if left -= now.Sub(seen); left < 0 {
		return -left
	}
	return left
}

// expectedRunTime returns the expected duration of a run. If tasks may wait for racks, the
// durations that are learned are those near the data.
func (c *Cell) expectedRunTime(r *run) time.Duration {
	expected := c.durations.expectedDuration(r.task)
	if factor := c.remoteFactor(r); factor > 1 {
		return time.Duration(factor * float64(expected))
	}
	return expected
}

// nearDuration returns how long a run would have taken near its data.
func (c *Cell) nearDuration(r *run, took time.Duration) time.Duration {
	if factor := c.remoteFactor(r); factor > 1 {
		return time.Duration(float64(took) / factor)
	}
	return took
}

// remoteFactor returns by which factor a run takes longer than near its data: 1 if no task waits
// for a rack, so that the estimates stay those of the settings without waits.
func (c *Cell) remoteFactor(r *run) float64 {
	spec := r.task.spec()
	if c.nearLimit() == 0 || c.config.RemoteFactor <= 1 {
		return 1
	}
	if spec.SameRack {
		for _, member := range r.task.step.tasks {
			if len(member.runs) > 0 && member.runs[0].worker.info.Rack != r.worker.info.Rack {
				return c.config.RemoteFactor
			}
		}
		return 1
	}
	if spec.DataRack == "" || r.worker.info.Rack == spec.DataRack {
		return 1
	}
	return c.config.RemoteFactor
}
