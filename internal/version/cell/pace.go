package cell

import (
	"time"
)

// Tasks that fill use what the others leave, and disturb the tasks that serve
// on the same worker. How much differs by image and changes within seconds, so
// it is controlled by what each report shows: when a tail is over its target,
// the work that fills is slowed at once, and it is let go again step by step.

const (
	// servingShare is the part of its declared processors that a serving task
	// is assumed to use.
	servingShare = 0.5
	// minFillRoom is the least room, in cores, at which another task that
	// fills is started on a worker.
	minFillRoom = 0.5
	// slowDown and speedUp change the pace of the work that fills.
	slowDown = 0.5
	speedUp  = 1.5
	// calm is the part of its target below which a tail lets the pace rise.
	calm = 0.8
	// minPace is the lowest share of full speed, in percent. Work at 0 would
	// hold its memory and never end.
	minPace = 5
	// paceStep is the least change of a pace that is worth an order.
	paceStep = 5
	// settleTime is the time after a change before its effect shows in a
	// report: a report covers half a second.
	settleTime = 600 * time.Millisecond
)

// fillState is what is known about the room for work that fills on a worker.
type fillState struct {
	// pace is the share of full speed, in percent; 0 stands for 100.
	pace    float64
	changed time.Time
}

func (f *fillState) current() float64 {
	if f.pace == 0 {
		return 100
	}
	return f.pace
}

// fillRoom returns the cores that would be left beside the task, and whether
// they are enough for it to work.
func (c *Cell) fillRoom(now time.Time, t *task, w *worker) (cores float64, enough bool) {
	used := 0.0
	for r := range w.runs {
		used += r.demand()
	}
	left := float64(w.info.Capacity.CPU) - used
	if pace := w.fill.current(); pace < 100 {
		return left/1000 - 50, false
	}
	need := float64(t.spec().CPU)
	return (left - need) / 1000, left >= need
}

// demand returns the thousandths of a core that a run is assumed to use.
func (r *run) demand() float64 {
	declared := float64(r.task.spec().CPU)
	if r.task.serves() {
		return servingShare * declared
	}
	return declared
}

// pace adapts the speed of the work that fills on a worker to its report.
func (c *Cell) pace(now time.Time, w *worker) {
	worst := w.worstTail()
	if now.Sub(w.fill.changed) < settleTime {
		return
	}
	pace := w.fill.current()
	switch {
	case worst > 1:
		pace = max(minPace, pace*slowDown)
	case worst < calm && pace < 100:
		pace = min(100, pace*speedUp)
	}
	if pace == w.fill.current() && !w.paceDiffers(int(pace)) {
		return
	}
	w.fill.pace = pace
	w.fill.changed = now
	c.applyPace(now, w, int(pace))
}

func (w *worker) paceDiffers(percent int) bool {
	for r := range w.runs {
		if r.fills() && abs(r.pace-percent) >= paceStep {
			return true
		}
	}
	return false
}

func (r *run) fills() bool {
	return r.phase == running && r.task.spec().Fills
}

func (c *Cell) applyPace(now time.Time, w *worker, percent int) {
	for r := range w.runs {
		if !r.fills() || abs(r.pace-percent) < paceStep && percent != 100 || r.pace == percent {
			continue
		}
		r.pace = percent
		r.pacedAt = now
		c.effects.Paces = append(c.effects.Paces, PaceOrder{w.info.ID, r.task.id(), r.number, percent})
	}
}

// worstTail returns the highest tail on the worker as a part of its target.
func (w *worker) worstTail() float64 {
	worst := 0.0
	for r := range w.runs {
		if target := r.task.spec().TargetMillis; target > 0 {
			worst = max(worst, float64(r.gauge)/target)
		}
	}
	return worst
}

func abs(n int) int { return max(n, -n) }
