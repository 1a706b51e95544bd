package cell

import "time"

// Tick does what depends on time alone: occurrences that become due, leases
// that are over, stops without an effect, ended jobs that are forgotten.
func (c *Cell) Tick(now time.Time) {
	c.openDue(now)
	c.saveLearned(now)
	for _, w := range c.workers {
		c.expire(now, w)
	}
	c.repeatStops(now)
	c.forget(now)
	c.backup(now)
}

// expire gives up the runs on a worker whose leases are all over.
func (c *Cell) expire(now time.Time, w *worker) {
	if !w.silent || now.Before(w.leaseUntil) || c.recovering[w.info.ID] && now.Before(c.recoverUntil) {
		return
	}
	for r := range w.runs {
		c.lost(now, r, "lease over")
	}
	if !w.listed {
		delete(c.workers, w.info.ID)
		c.ordered = nil
		c.workersChanged = true
		delete(c.recovering, w.info.ID)
		c.write.Gone = append(c.write.Gone, w.info.ID)
		c.note(Note{Event: "worker gone", Worker: w.info.ID})
	}
}

// stopRepeat is the pause before a stop order is repeated.
const stopRepeat = time.Second

func (c *Cell) repeatStops(now time.Time) {
	for _, w := range c.workers {
		if w.silent {
			continue
		}
		for r := range w.runs {
			if r.phase == stopping && now.Sub(r.stopped) > stopRepeat {
				c.stop(now, r)
			}
		}
	}
}

func (c *Cell) forget(now time.Time) {
	for id, j := range c.jobs {
		if !j.state.Over() || now.Sub(j.ended) < c.config.KeepEnded || c.hasRuns(j) {
			continue
		}
		delete(c.jobs, id)
		c.write.Dropped = append(c.write.Dropped, id)
		tree, _, _ := c.index.Load().Delete([]byte(id))
		c.index.Store(tree)
	}
}

func (c *Cell) hasRuns(j *job) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if len(t.runs) > 0 {
					return true
				}
			}
		}
	}
	return false
}
