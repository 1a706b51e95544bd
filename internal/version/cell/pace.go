package cell

import (
	"cmp"
	"slices"
	"time"
)

// Tasks that fill use what the others leave, and disturb the tasks that serve
// on the same worker. They are placed where the learned pressure allows it, and
// slowed or moved where a report shows that it doesn't.

const (
	// minPace is the lowest share of full speed, in percent. Work at 0 would
	// hold its memory and never end.
	minPace = 3
	// paceStep is the least change of a pace that is worth an order.
	paceStep = 8
	// harmless is the pressure of a task that is placed whatever room is left
	// and never slowed but for a tail over its target.
	harmless = 0.06
	// paceAhead is how far ahead a run must find room: until the next report can
	// slow it.
	paceAhead = 800 * time.Millisecond
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
)

// fillState is what is known about the room for work that fills on a worker.
type fillState struct {
	// budget is the part of the allowed pressure that may be used; 0 stands
	// for 1.
	budget float64
	// over is since when reports have shown a tail over its target.
	over time.Time
}

func (f *fillState) share() float64 {
	if f.budget == 0 {
		return 1
	}
	return f.budget
}

// pace learns from a report and adapts the speed of what fills on the worker.
func (c *Cell) pace(now time.Time, w *worker) {
	w.load = nil
	steps := c.observe(now, w)
	fillers := w.uses()
	over := false
	for _, s := range steps {
		c.pressures.learn(now, s, fillers)
		// Tails are rounded, so one at the target may be over it.
		over = over || s.tail >= 1
	}
	w.fill.adapt(now, over)
	paces := c.paces(now, steps, w)
	for r := range w.runs {
		if r.fills() {
			c.setPace(now, r, c.limit(now, paces[r], r, w))
		}
	}
}

// limit returns the pace of a run. What is learned decides until a tail stays
// over its target: then all that fills is held, whatever is believed of it.
func (c *Cell) limit(now time.Time, pace int, r *run, w *worker) int {
	over := w.fill.overFor(now)
	if over >= stopAfter && r.percent <= stopBelow {
		c.note(Note{Event: "run displaced", Task: r.task.id(), Run: r.number, Worker: w.info.ID, Age: over})
		c.stop(now, r)
		return minPace
	}
	if over >= holdAfter {
		return minPace
	}
	return pace
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

// paces returns the share of full speed, in percent, of each run that fills, at
// which all serving steps on the worker keep their targets. Those that press
// most are slowed first: that costs the least work.
func (c *Cell) paces(now time.Time, steps []serving, w *worker) map[*run]int {
	paces := map[*run]int{}
	for r := range w.runs {
		if r.fills() {
			paces[r] = 100
		}
	}
	for _, s := range steps {
		room := c.pressures.allowed(s.image, s.target)*w.fill.share() - s.step.load.highest(now, paceAhead)
		c.slowFor(s.image, room, paces)
	}
	return paces
}

// slowFor lowers paces until their pressure on an image is within the room,
// without those of harmless tasks.
func (c *Cell) slowFor(image string, room float64, paces map[*run]int) {
	total := 0.0
	pressing := make([]*run, 0, len(paces))
	for r, pace := range paces {
		total += c.pressureOf(image, r) * float64(pace) / 100
		pressing = append(pressing, r)
	}
	if total <= room {
		return
	}
	slices.SortFunc(pressing, func(a, b *run) int {
		return cmp.Compare(c.perCore(image, b), c.perCore(image, a))
	})
	for _, r := range pressing {
		full := c.pressureOf(image, r)
		if full <= harmless {
			return
		}
		others := total - full*float64(paces[r])/100
		pace := max(minPace, min(paces[r], int(100*(room-others)/full)))
		total = others + full*float64(pace)/100
		paces[r] = pace
		if total <= room {
			return
		}
	}
}

// perCore returns the pressure of a core of a run on an image.
func (c *Cell) perCore(image string, r *run) float64 {
	return c.pressures.pair(image, r.task.spec().Image).cautious()
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
