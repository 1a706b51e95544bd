package cell

import (
	"math"
	"time"
)

// reserve keeps room for short tasks free of tasks that last. Short tasks earn
// several times as much for a core as tasks that last, and a task that lasts
// holds its room for good.
type reserve struct {
	// peak is the highest demand of short tasks in the recent past, in
	// thousandths of a core.
	peak float64
	seen time.Time
}

const (
	// reserveHalfLife is the time in which an old peak counts half.
	reserveHalfLife = 30 * time.Second
	// reserveMargin is for the room that is left in pieces too small to use.
	reserveMargin = 1.25
	// reserveInitial is the part of the capacity that is reserved before short
	// tasks were seen.
	reserveInitial = 0.06
)

// observe takes in the processors that short tasks use and wait for.
func (r *reserve) observe(now time.Time, demand, capacity int) {
	if r.seen.IsZero() {
		r.peak = reserveInitial * float64(capacity)
	} else {
		r.peak *= math.Exp2(-float64(now.Sub(r.seen)) / float64(reserveHalfLife))
	}
	r.seen = now
	r.peak = max(r.peak, float64(demand))
}

// allows says whether a task that lasts may take that much of what is free.
func (r *reserve) allows(free, cpu int) bool {
	return float64(free-cpu) >= reserveMargin*r.peak
}

// room sums up the processors of the usable workers.
type room struct {
	capacity int
	// free is what tasks that last don't take.
	free int
	// short is what short tasks use and wait for.
	short int
}

// measurePeriod is the time between two sums over all workers.
const measurePeriod = 50 * time.Millisecond

// measureRoom is called in each round of decisions.
func (c *Cell) measureRoom(now time.Time) {
	if now.Sub(c.reserve.seen) < measurePeriod {
		return
	}
	c.room = room{}
	for _, w := range c.list() {
		if !w.usable(now) {
			continue
		}
		c.room.capacity += w.info.Capacity.CPU
		c.room.free += w.info.Capacity.CPU
		for r := range w.runs {
			if r.task.spec().LongRunning {
				c.room.free -= r.size.CPU
			} else {
				c.room.short += r.size.CPU
			}
		}
	}
	for _, t := range c.ready {
		if spec := t.spec(); !spec.LongRunning {
			c.room.short += t.size().CPU
		}
	}
	c.reserve.observe(now, min(c.room.short, c.room.capacity/reserveMost), c.room.capacity)
}

// reserveMost is the reciprocal of the largest part of the capacity that is
// kept from tasks that last.
const reserveMost = 5
