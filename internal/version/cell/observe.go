package cell

import "time"

// serving is what a worker's report says about one serving step.
type serving struct {
	step   *step
	image  string
	target float64
	// pressure is the mean over the tasks of the step, noise its variance.
	pressure, noise float64
	// tail is the mean tail, as a multiple of the target. Single tails are too
	// high at times.
	tail  float64
	count float64
}

// observe returns the serving steps on a worker with their pressures.
func (c *Cell) observe(now time.Time, w *worker) []serving {
	var seen []serving
	for r := range w.runs {
		if !r.atWork(now) {
			continue
		}
		spec, tail := r.task.spec(), float64(r.gauge)
		c.pressures.seeTail(spec.Image, tail)
		var s *serving
		seen, s = servingOf(seen, r.task.step)
		s.pressure += c.pressures.of(spec.Image, tail, spec.TargetMillis)
		s.noise += c.pressures.noise(spec.Image, tail, spec.TargetMillis)
		s.tail += tail / spec.TargetMillis
		s.count++
	}
	for i := range seen {
		seen[i].pressure /= seen[i].count
		seen[i].noise /= seen[i].count
		seen[i].tail /= seen[i].count
	}
	return seen
}

// servingOf finds or adds the entry of a step.
func servingOf(list []serving, st *step) ([]serving, *serving) {
	for i := range list {
		if list[i].step == st {
			return list, &list[i]
		}
	}
	list = append(list, serving{step: st, image: st.spec.Image, target: st.spec.TargetMillis})
	return list, &list[len(list)-1]
}

// startup is how long after its start the tail of a serving task says nothing.
const startup = 1500 * time.Millisecond

// atWork says whether the run serves and has reported a tail worth using.
func (r *run) atWork(now time.Time) bool {
	return r.task.serves() && r.phase == running && r.gauge > 0 && now.Sub(r.answered) > startup
}

// use is the number of cores that an image that fills uses on a worker.
type use struct {
	image string
	cores float64
}

// uses sums up what fills on a worker by image.
func (w *worker) uses() []use {
	var sums []use
next:
	for r := range w.runs {
		if !r.fills() || r.gauge <= 0 {
			continue
		}
		image, cores := r.task.spec().Image, float64(r.gauge)/1000
		for i := range sums {
			if sums[i].image == image {
				sums[i].cores += cores
				continue next
			}
		}
		sums = append(sums, use{image, cores})
	}
	return sums
}
