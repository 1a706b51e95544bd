package cell

import (
	"time"
)

// Tasks that fill use what the others leave, and disturb the tasks that serve
// on the same worker. They are placed where the learned pressure allows it, and
// slowed or moved where a report shows that it doesn't.

const (
	// servingShare is the part of its declared processors that a serving task
	// is assumed to use.
	servingShare = 0.42
	// minPace is the lowest share of full speed, in percent. Work at 0 would
	// hold its memory and never end.
	minPace = 3
	// paceStep is the least change of a pace that is worth an order.
	paceStep = 8
	// harmless is the pressure of a task that is never slowed for.
	harmless = 0.03
	// emergency multiplies the budget of a worker whose tail is over its
	// target, at each report, and recovery lets it grow back.
	emergency = 0.5
	recovery  = 1.3
	// holdAfter is how long a tail is over its target, by the reports, before
	// all that fills is held, and stopAfter before it is stopped. A report lags
	// by about a second, and four seconds are a failure.
	holdAfter = 500 * time.Millisecond
	stopAfter = 1600 * time.Millisecond
	// stopBelow is the progress, in percent, up to which a held run is stopped.
	stopBelow = 97
	// slowedTooMuch is the pace below which a task is moved to a worker where
	// it can run at full speed.
	slowedTooMuch = 50
	// moveAfter is how long a task is slowed before it is moved.
	moveAfter = 600 * time.Millisecond
	// pressureWeight converts pressure to cores of spare room in a score.
	pressureWeight = 200
)

// fillState is what is known about the room for work that fills on a worker.
type fillState struct {
	// base is the pressure of the own load of each serving image.
	base map[string]float64
	// budget is the part of the allowed pressure that may be used; 0 stands
	// for 1.
	budget float64
	// over is since when reports have shown a tail over its target.
	over time.Time
}

func (f *fillState) baseOf(image string) float64 {
	if known, found := f.base[image]; found {
		return known
	}
	return initialBase
}

func (f *fillState) share() float64 {
	if f.budget == 0 {
		return 1
	}
	return f.budget
}

// load sums up what runs on a worker.
type load struct {
	// demand is the thousandths of a core that the runs are assumed to use.
	demand float64
	// serving holds the serving images, with the pressure that is left beside
	// their own load and all that fills, at full speed.
	serving []serving
	left    []float64
}

// loadOf returns the sums for a worker, computed anew if its runs or its
// pressures changed.
func (c *Cell) loadOf(w *worker) *load {
	if w.load != nil {
		return w.load
	}
	l := &load{}
	for r := range w.runs {
		l.demand += r.demand()
		if r.task.serves() {
			l.serving = addServing(l.serving, r.task.spec().Image, r.task.spec().TargetMillis)
		}
	}
	for i := range l.serving {
		s := &l.serving[i]
		s.allowed = targetShare * c.pressures.of(s.image, s.target, s.target)
		l.left = append(l.left, s.allowed*w.fill.share()-w.fill.baseOf(s.image)-c.filling(s.image, w))
	}
	w.load = l
	return l
}

// fillRoom returns the spare cores beside the task, less what its pressure on
// the serving tasks costs, and whether it could work at full speed.
func (c *Cell) fillRoom(t *task, w *worker) (cores float64, enough bool) {
	l := c.loadOf(w)
	need := float64(t.spec().CPU)
	left := float64(w.info.Capacity.CPU) - l.demand - need
	if left < 0 {
		return 0, false
	}
	worst := 0.0
	for i, s := range l.serving {
		added := c.pressures.coefficient(s.image, t.spec().Image) * need / 1000
		if added > harmless && added > l.left[i] {
			return 0, false
		}
		worst = max(worst, added)
	}
	return left/1000 - pressureWeight*worst, true
}

// filling returns the pressure on a serving image of all that fills on a
// worker, at full speed.
func (c *Cell) filling(image string, w *worker) float64 {
	total := 0.0
	for r := range w.runs {
		if r.task.spec().Fills {
			total += c.pressureOf(image, r)
		}
	}
	return total
}

// pressureOf returns the pressure of one run at full speed.
func (c *Cell) pressureOf(image string, r *run) float64 {
	return c.pressures.coefficient(image, r.task.spec().Image) * float64(r.task.spec().CPU) / 1000
}

// demand returns the thousandths of a core that a run is assumed to use.
func (r *run) demand() float64 {
	declared := float64(r.task.spec().CPU)
	if r.task.serves() {
		return servingShare * declared
	}
	return declared
}

func (r *run) fills() bool {
	return r.phase == running && r.task.spec().Fills
}

// pace learns from a report and adapts the speed of what fills on the worker.
func (c *Cell) pace(now time.Time, w *worker) {
	w.load = nil
	images := c.observe(now, w)
	if w.fill.base == nil {
		w.fill.base = map[string]float64{}
	}
	over := false
	for _, s := range images {
		w.fill.base[s.image] = c.pressures.learn(s, w.fill.baseOf(s.image), w)
		over = over || s.worst > 1
	}
	w.fill.adapt(now, over)
	for r := range w.runs {
		if r.fills() {
			c.setPace(now, r, c.limit(now, images, r, w))
		}
	}
}

// limit returns the pace of a run. What is learned decides until a tail stays
// over its target: then all that fills is held, whatever is believed of it.
func (c *Cell) limit(now time.Time, images []serving, r *run, w *worker) int {
	over := w.fill.overFor(now)
	if over >= stopAfter && r.percent <= stopBelow {
		c.note(Note{Event: "run displaced", Task: r.task.id(), Run: r.number, Worker: w.info.ID, Age: over})
		c.stop(now, r)
		return minPace
	}
	if over >= holdAfter {
		return minPace
	}
	return c.paceFor(images, r, w)
}

// adapt shrinks the budget while a tail is over its target.
func (f *fillState) adapt(now time.Time, over bool) {
	if !over {
		f.over = time.Time{}
		f.budget = min(1, f.share()*recovery)
		return
	}
	if f.over.IsZero() {
		f.over = now
	}
	f.budget = f.share() * emergency
}

// overFor returns how long reports have shown a tail over its target.
func (f *fillState) overFor(now time.Time) time.Duration {
	if f.over.IsZero() {
		return 0
	}
	return now.Sub(f.over)
}

// paceFor returns the share of full speed, in percent, at which all serving
// images beside the run keep their targets.
func (c *Cell) paceFor(images []serving, r *run, w *worker) int {
	pace := 100.0
	for _, s := range images {
		if c.pressureOf(s.image, r) <= harmless {
			continue
		}
		total := 0.0
		for other := range w.runs {
			if p := c.pressureOf(s.image, other); other.fills() && p > harmless {
				total += p
			}
		}
		room := max(0, s.allowed-w.fill.baseOf(s.image)) * w.fill.share()
		pace = min(pace, 100*room/total)
	}
	return int(max(minPace, pace))
}

func (c *Cell) setPace(now time.Time, r *run, percent int) {
	if percent >= slowedTooMuch {
		r.slowed = time.Time{}
	} else if r.slowed.IsZero() {
		r.slowed = now
	}
	if r.pace == percent || r.pace != unknownPace && abs(r.pace-percent) < paceStep && percent < 100 {
		return
	}
	r.pace = percent
	c.effects.Paces = append(c.effects.Paces, PaceOrder{r.worker.info.ID, r.task.id(), r.number, percent})
}

// relocate moves a task that is slowed to a worker where it isn't.
func (c *Cell) relocate(now time.Time, r *run) {
	if r.slowed.IsZero() || now.Sub(r.slowed) < moveAfter || !r.fills() || r.task.spec().Gang {
		return
	}
	t := r.task
	if !t.spec().Checkpointing && r.percent > keepAbove {
		return
	}
	if c.placeAvoiding(now, t, r.worker) == nil {
		return
	}
	c.note(Note{Event: "run moved", Task: t.id(), Run: r.number, Worker: r.worker.info.ID, Age: now.Sub(r.slowed)})
	c.stop(now, r)
}

// keepAbove is the progress, in percent, from which a task that would start
// anew elsewhere is left where it is.
const keepAbove = 40

func abs(n int) int { return max(n, -n) }
