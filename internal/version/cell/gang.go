package cell

import (
	"slices"
	"time"
)

// startGang orders the start of all tasks of a step, if all of them can be placed.
// They get the same run number and start from the same checkpoint. It returns false
// if it ordered no start.
func (c *Cell) startGang(now time.Time, s *step) bool {
	number := int64(0)
	checkpoint := ""
	if c.stopPartialGang(now, s) {
		return false
	}
	for _, t := range s.tasks {
		if !t.queued {
			return false
		}
		number = max(number, c.nextRunNumber(t))
		checkpoint = max(checkpoint, t.checkpoint)
	}
	placed := c.placeGang(now, s)
	if c.gangWaitsNear(now, s, placed) {
		return false
	}
	if placed == nil {
		c.requestAdvice(now, s.tasks[0])
		return false
	}
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		c.orderStart(now, t, placed[i], number)
	}
	return true
}

// stopPartialGang stops the running members of a gang while another member
// still needs a start. On their own they would wait until the gang timeout of
// their workers, which counts as a failure of the scheduler. It returns whether
// any member has a run.
func (c *Cell) stopPartialGang(now time.Time, s *step) bool {
	hasRun := false
	for _, t := range s.tasks {
		for _, r := range t.runs {
			hasRun = true
			if r.phase == running {
				c.addEvent(DecisionEvent{Event: "gang stopped", Task: t.id(), Run: r.number, Worker: r.worker.info.ID, Age: now.Sub(r.orderedAt)})
				c.stopRun(now, r)
			}
		}
	}
	return hasRun
}

// placeGang returns a worker for each task of the step, or nil if they don't
// all fit. For a step that prefers one rack, it tries the data rack, then the
// other racks, and then the workers of all racks together.
func (c *Cell) placeGang(now time.Time, s *step) []*worker {
	if !s.spec.SameRack {
		return c.placeAll(now, s, "")
	}
	racks := []string{s.spec.DataRack}
	for _, w := range c.sortedWorkers() {
		if !slices.Contains(racks, w.info.Rack) {
			racks = append(racks, w.info.Rack)
		}
	}
	slices.Sort(racks[1:])
	for _, rack := range racks {
		if rack == "" {
			continue
		}
		if placed := c.placeAll(now, s, rack); placed != nil {
			return placed
		}
	}
	return c.placeAll(now, s, "")
}

// placeAll chooses a worker for each task in turn, only within the given rack
// unless that is empty. It returns nil if a task fits nowhere. The reservations
// that it makes meanwhile are released before it returns.
func (c *Cell) placeAll(now time.Time, s *step, rack string) []*worker {
	var placed []*worker
	var trialRuns []*run
	for _, t := range s.tasks {
		w := c.bestWorker(now, t, c.sortedWorkers(), func(w *worker) bool { return rack == "" || w.info.Rack == rack })
		if w == nil {
			placed = nil
			break
		}
		r := &run{task: t, size: t.size(), implicated: t.implicated()}
		w.addRun(r)
		trialRuns = append(trialRuns, r)
		placed = append(placed, w)
	}
	for _, r := range trialRuns {
		r.worker.removeRun(r)
	}
	return placed
}
