package cell

import (
	"slices"
	"time"
)

// place returns the best worker for a task, or nil if none has room.
func (c *Cell) place(now time.Time, t *task) *worker {
	return c.placeAvoiding(now, t, nil)
}

// placeAvoiding is place without one worker.
func (c *Cell) placeAvoiding(now time.Time, t *task, avoid *worker) *worker {
	if t.spec().LongRunning && !t.overdue(now) && !c.reserve.allows(c.room.free, t.size().CPU) && c.places(now, t) < placesToHold {
		return nil
	}
	return c.best(now, t, func(w *worker) bool { return w != avoid })
}

// lastingPatience is how long a task that lasts, or a job of such tasks of which
// none has started, waits behind short tasks. With capacity for it, it must run
// again within 9 s.
const lastingPatience = 4 * time.Second

// overdue says whether a task that lasts comes before short tasks, whose room is
// then no longer kept from it.
func (t *task) overdue(now time.Time) bool {
	if !t.spec().LongRunning || now.Sub(t.readySince) < lastingPatience {
		return false
	}
	return t.lastRun > 0 || !t.job().began
}

// best returns the worker with the highest score among those that are suitable
// and have room, or nil.
func (c *Cell) best(now time.Time, t *task, suitable func(*worker) bool) *worker {
	var best *worker
	var bestScore float64
	for _, w := range c.list() {
		if !suitable(w) || !w.takes(now, t) || !t.permitted(now, w) {
			continue
		}
		score, possible := c.score(now, t, w)
		if possible && (best == nil || score > bestScore) {
			best, bestScore = w, score
		}
	}
	return best
}

// placesToHold is the number of places at which a task that lasts is started
// even if that leaves too little room for short tasks.
const placesToHold = 2

// places counts how many tasks like t would find a place.
func (c *Cell) places(now time.Time, t *task) int {
	size := t.size()
	count := 0
	for _, w := range c.list() {
		if !w.usable(now) || !w.allowed(t) {
			continue
		}
		free := w.free()
		for free.fits(size) && count < placesToHold {
			count++
			free = free.minus(size)
		}
	}
	return count
}

// Weights of a score, in cores of spare room that they outweigh.
const (
	// failedHere keeps a task off a worker where it failed.
	failedHere = 1000
	// suspectHere keeps tasks off a worker that failed or stalled others.
	suspectHere = 300
	// offDataRack is multiplied by how much longer a task takes there.
	offDataRack = 20
)

// otherWorkerWait is how long a task that failed waits for another worker. A
// worker that fails everything soon has the most room.
const otherWorkerWait = 1500 * time.Millisecond

// score rates a worker for a task; higher is better. It is false if the task
// should rather wait.
func (c *Cell) score(now time.Time, t *task, w *worker) (score float64, possible bool) {
	if slices.Contains(t.failedOn, w.info.ID) {
		if now.Sub(t.readySince) < otherWorkerWait {
			return 0, false
		}
		score -= failedHere
	}
	switch w.health.verdict(now) {
	case excluded:
		return 0, false
	case suspect:
		score -= suspectHere
	}
	spec := t.spec()
	if spec.DataRack != "" && w.info.Rack != spec.DataRack {
		score -= offDataRack * (c.config.RemoteFactor - 1)
	}
	if spec.Fills {
		room, enough := c.fillRoom(now, t, w)
		return score + room, enough
	}
	// The fullest worker that has room, so that large tasks find a place too.
	score -= float64(w.free().CPU-spec.CPU) / 1000
	if spec.LongRunning {
		score += w.company(t)
	}
	return score, true
}

// Scores of serving tasks, in cores of spare room. Workers whose serving tasks
// are all of one image leave a place for every image that fills.
const (
	sameImage  = 60
	otherImage = -60
)

// company rates a worker by the images that serve there.
func (w *worker) company(t *task) float64 {
	others := map[string]bool{}
	score := 0.0
	for r := range w.runs {
		image := r.task.spec().Image
		switch {
		case !r.task.serves():
		case image == t.spec().Image:
			score = sameImage
		case !others[image]:
			others[image] = true
		}
	}
	if score == 0 {
		return otherImage * float64(len(others))
	}
	return score
}
