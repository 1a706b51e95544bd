package cell

import (
	"slices"
	"time"
)

// startGang places all tasks of a step or none.
func (c *Cell) startGang(now time.Time, s *step) bool {
	number := int64(0)
	checkpoint := ""
	if c.stopPartOfGang(now, s) {
		return false
	}
	for _, t := range s.tasks {
		if !t.queued {
			return false
		}
		number = max(number, c.nextRun(t))
		checkpoint = max(checkpoint, t.checkpoint)
	}
	placed := c.placeGang(now, s)
	if placed == nil {
		c.seekAdvice(now, s.tasks[0])
		return false
	}
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		c.order(now, t, placed[i], number)
	}
	return true
}

// stopPartOfGang stops the members of a gang that run while another member
// needs a start: alone they wait until they are given up, and count as a failure
// of the scheduler. It returns whether any member has a run.
func (c *Cell) stopPartOfGang(now time.Time, s *step) bool {
	found := false
	for _, t := range s.tasks {
		for _, r := range t.runs {
			found = true
			if r.phase == running {
				c.note(Note{Event: "gang stopped", Task: t.id(), Run: r.number, Worker: r.worker.info.ID, Age: now.Sub(r.ordered)})
				c.stop(now, r)
			}
		}
	}
	return found
}

// placeGang returns a worker for each task of the step, or nil.
func (c *Cell) placeGang(now time.Time, s *step) []*worker {
	if !s.spec.SameRack {
		return c.placeAll(now, s, "")
	}
	racks := []string{s.spec.DataRack}
	for _, w := range c.list() {
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

// placeAll places the tasks one after the other, on one rack if it isn't empty.
// It leaves the accounts as they were.
func (c *Cell) placeAll(now time.Time, s *step, rack string) []*worker {
	var placed []*worker
	var trial []*run
	for _, t := range s.tasks {
		w := c.best(now, t, func(w *worker) bool { return rack == "" || w.info.Rack == rack })
		if w == nil {
			placed = nil
			break
		}
		r := &run{task: t, size: t.size()}
		w.attach(r)
		trial = append(trial, r)
		placed = append(placed, w)
	}
	for _, r := range trial {
		r.worker.detach(r)
	}
	return placed
}
