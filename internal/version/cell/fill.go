package cell

import "time"

const (
	// servingShare is the part of its declared processors that a serving task
	// is assumed to use.
	servingShare = 0.42
	// placeAhead is how far ahead a new task must find room.
	placeAhead = 1500 * time.Millisecond
	// pressureWeight converts pressure to cores of spare room in a score.
	pressureWeight = 200
)

// load sums up what runs on a worker.
type load struct {
	// demand is the thousandths of a core that the runs are assumed to use.
	demand float64
	// serving holds the serving steps, filling the pressure on each of all that
	// fills, at full speed.
	serving []serving
	filling []float64
}

// loadOf returns the sums for a worker, computed anew if its runs changed or it
// reported.
func (c *Cell) loadOf(w *worker) *load {
	if w.load != nil {
		return w.load
	}
	l := &load{}
	for r := range w.runs {
		l.demand += r.demand()
		if r.task.serves() {
			l.serving, _ = servingOf(l.serving, r.task.step)
		}
	}
	for _, s := range l.serving {
		l.filling = append(l.filling, c.filling(s.image, w))
	}
	w.load = l
	return l
}

// fillRoom returns the spare cores beside the task, less what its pressure on
// the serving tasks costs, and whether it could work at full speed.
func (c *Cell) fillRoom(now time.Time, t *task, w *worker) (cores float64, enough bool) {
	l := c.loadOf(w)
	need := float64(t.spec().CPU)
	spare := float64(w.info.Capacity.CPU) - l.demand - need
	if spare < 0 {
		return 0, false
	}
	worst := 0.0
	for i, s := range l.serving {
		known := c.pressures.pair(s.image, t.spec().Image)
		if !known.mayTry(now) {
			return 0, false
		}
		added := known.cautious() * need / 1000
		left := c.pressures.allowed(s.image, s.target)*w.fill.share() - s.step.load.highest(now, placeAhead) - l.filling[i]
		if added > harmless && added > left {
			return 0, false
		}
		worst = max(worst, added)
	}
	return spare/1000 - pressureWeight*worst, true
}

// tried notes that a task is placed beside serving images of which little may be
// known.
func (c *Cell) tried(now time.Time, t *task, w *worker) {
	if !t.spec().Fills {
		return
	}
	for _, s := range c.loadOf(w).serving {
		c.pressures.entry(s.image, t.spec().Image).tried = now
	}
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
	return c.perCore(image, r) * float64(r.task.spec().CPU) / 1000
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
