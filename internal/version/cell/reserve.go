package cell

import (
	"math"
	"time"

	"poplarvalve/internal/process/jobspec"
)

// shortTaskReserve keeps some capacity free of long-running tasks, for use by
// short tasks. A short task earns several times as much per core as a
// long-running one, and a long-running task never returns its capacity.
type shortTaskReserve struct {
	// peak is the highest recent demand of short tasks, in thousandths of a
	// core. It decays with reserveHalfLife.
	peak      float64
	updatedAt time.Time
}

const (
	// reserveHalfLife is the time in which the peak decays to half of its
	// value.
	reserveHalfLife = 30 * time.Second
	// reserveMargin allows for free capacity in pieces that are too small to
	// use.
	reserveMargin = 1.25
	// reserveInitialShare is the fraction of the capacity that is assumed as
	// the peak before any demand was measured.
	reserveInitialShare = 0.06
)

// observe updates the peak with the CPU that short tasks use and wait for, in
// thousandths of a core.
func (r *shortTaskReserve) observe(now time.Time, demand, capacity int) {
	if r.updatedAt.IsZero() {
		r.peak = reserveInitialShare * float64(capacity)
	} else {
		r.peak *= math.Exp2(-float64(now.Sub(r.updatedAt)) / float64(reserveHalfLife))
	}
	r.updatedAt = now
	r.peak = max(r.peak, float64(demand))
}

// allows reports whether a long-running task may take cpu of the free capacity,
// both in thousandths of a core.
func (r *shortTaskReserve) allows(free, cpu int) bool {
	return float64(free-cpu) >= reserveMargin*r.peak
}

// heldRoom is the room held for long-running tasks of earlier terms that may still run on
// workers that have not answered. A long-running task that is ranked behind them would not
// return it in time. Short tasks may use it meanwhile.
type heldRoom struct {
	// cpu is in thousandths of a core.
	cpu, memoryMB, places int
}

// add holds room for a task that may not be started yet.
func (h *heldRoom) add(t *task, totals capacityTotals) {
	if t.spec().LongRunning {
		// A caller may name any size; the sums must not overflow.
		h.cpu += min(t.size().CPU, totals.capacity)
		h.memoryMB += min(t.size().MemoryMB, totals.memoryMB)
		h.places++
	}
}

// leavesHeldRoom reports whether what is not held has room for a long-running task beside
// the reserve for short tasks.
func (c *Cell) leavesHeldRoom(size Size) bool {
	if !c.reserve.allows(c.totals.free-c.held.cpu, size.CPU) {
		return false
	}
	return c.held.places == 0 || c.totals.freeMemoryMB-c.held.memoryMB >= size.MemoryMB
}

// capacityTotals holds totals over the usable workers, in thousandths of a
// core.
type capacityTotals struct {
	capacity int
	// free is the capacity minus what long-running tasks reserve.
	free int
	// memoryMB and freeMemoryMB are the same for memory.
	memoryMB, freeMemoryMB int
	// shortDemand is the CPU that short tasks reserve or wait for.
	shortDemand int
	// bestEffortDemand is the CPU that best-effort tasks declare, also those that wait.
	bestEffortDemand int
	// runs and starting are the numbers of runs on all workers, and of those whose start orders
	// wait for their answers. They count each run that is added until the next calculation.
	runs, starting int
}

// countRuns adds the runs of a worker.
func (t *capacityTotals) countRuns(w *worker) {
	t.runs += len(w.runs)
	for _, r := range w.runs {
		if r.phase == starting {
			t.starting++
		}
	}
}

// hasRunRoom reports whether another ready task may be started. Tasks that ask for nothing would
// otherwise all run at once.
func (c *Cell) hasRunRoom() bool {
	limits := c.config.Budget.Limits()
	return c.totals.runs < limits.Runs && c.totals.starting < limits.Starts
}

// addBestEffort adds a task to bestEffortDemand if it is a best-effort task.
func (t *capacityTotals) addBestEffort(spec *jobspec.Step) {
	if spec.BestEffort {
		// A caller may name any size; the sum must not overflow.
		t.bestEffortDemand += min(spec.CPUMillis, t.capacity)
	}
}

// measurePeriod is the time between two calculations of the totals.
const measurePeriod = 50 * time.Millisecond

// measureCapacity updates the totals and the reserve if measurePeriod has
// passed.
func (c *Cell) measureCapacity(now time.Time) {
	if now.Sub(c.reserve.updatedAt) < measurePeriod {
		return
	}
	c.measureWork(now, now.Sub(c.reserve.updatedAt))
	c.totals = capacityTotals{}
	for _, w := range c.sortedWorkers() {
		c.totals.countRuns(w)
		if !w.usable(now) {
			continue
		}
		c.totals.capacity += w.info.Capacity.CPU
		c.totals.free += w.info.Capacity.CPU
		c.totals.memoryMB += w.info.Capacity.MemoryMB
		c.totals.freeMemoryMB += w.info.Capacity.MemoryMB
		for _, r := range w.runs {
			if r.task.spec().LongRunning {
				c.totals.free -= r.size.CPU
				c.totals.freeMemoryMB -= r.size.MemoryMB
			} else {
				c.totals.shortDemand += r.size.CPU
			}
			c.totals.addBestEffort(r.task.spec())
		}
	}
	for _, t := range c.readyTasks {
		if spec := t.spec(); !spec.LongRunning {
			// A caller may name any size; the sum must not overflow.
			c.totals.shortDemand += min(t.size().CPU, c.totals.capacity)
		}
		c.totals.addBestEffort(t.spec())
	}
	c.reserve.observe(now, min(c.totals.shortDemand, c.totals.capacity/reserveMaxDivisor), c.totals.capacity)
}

// reserveMaxDivisor limits the reserve: demand of short tasks above the total
// capacity divided by reserveMaxDivisor does not raise the peak, so that most of
// the capacity remains available to long-running tasks.
const reserveMaxDivisor = 5
