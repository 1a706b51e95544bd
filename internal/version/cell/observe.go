package cell

import "time"

// serviceSample is what one report of a worker shows about one service step. In
// a workerLoad, only step, image and target are set.
type serviceSample struct {
	step   *step
	image  string
	target float64
	// pressure is the mean over the tasks of the step; noise is its variance.
	pressure, noise float64
	// tail is the mean tail latency as a multiple of the target. The mean is
	// used because single tails are sometimes too high.
	tail  float64
	count float64
}

// observeServices returns a sample for each service step with usable tails on a
// worker, and records the lowest tail of each image.
func (c *Cell) observeServices(now time.Time, w *worker) []serviceSample {
	var samples []serviceSample
	for _, r := range w.runs {
		if !r.hasUsableTail(now) {
			continue
		}
		spec, tail := r.task.spec(), float64(r.measurement)
		c.pressures.recordTail(now, spec.Image, tail)
		var s *serviceSample
		samples, s = findOrAddSample(samples, r.task.step)
		s.pressure += c.pressures.pressureAt(spec.Image, tail, spec.LatencyTargetMillis)
		s.noise += c.pressures.tailVariance(spec.Image, tail, spec.LatencyTargetMillis)
		s.tail += tail / spec.LatencyTargetMillis
		s.count++
	}
	for i := range samples {
		samples[i].pressure /= samples[i].count
		samples[i].noise /= samples[i].count
		samples[i].tail /= samples[i].count
	}
	return samples
}

// overTargetShare is the share of its target from which on a tail counts as over
// it. Tails are rounded, so a tail equal to the target may be over it.
const overTargetShare = 1

// recordTails records which service runs a report shows over their target. Each
// task is judged by itself: the mean over the tasks of its step can stay below the
// target while one of them, with more users than the others, is over it.
func (w *worker) recordTails(now time.Time) {
	w.bestEffort.overSince = time.Time{}
	for _, r := range w.runs {
		if !r.task.isService() {
			continue
		}
		r.recordTail(now)
		if earliest := w.bestEffort.overSince; !r.overSince.IsZero() && (earliest.IsZero() || r.overSince.Before(earliest)) {
			w.bestEffort.overSince = r.overSince
		}
	}
}

// recordTail records whether the run's last tail is over its target. A tail between
// relievedShare and overTargetShare leaves that as it was.
func (r *run) recordTail(now time.Time) {
	share := float64(r.measurement) / r.task.spec().LatencyTargetMillis
	switch {
	case r.phase != running || share < relievedShare:
		r.overSince = time.Time{}
	case share >= overTargetShare && r.overSince.IsZero():
		r.overSince = now
	}
}

// findOrAddSample returns the list with an entry for the step, and that entry.
func findOrAddSample(samples []serviceSample, s *step) ([]serviceSample, *serviceSample) {
	for i := range samples {
		if samples[i].step == s {
			return samples, &samples[i]
		}
	}
	samples = append(samples, serviceSample{step: s, image: s.spec.Image, target: s.spec.LatencyTargetMillis})
	return samples, &samples[len(samples)-1]
}

// warmupPeriod is how long after its start the tail of a service task is
// ignored, because it does not reflect the load yet.
const warmupPeriod = 1500 * time.Millisecond

// hasUsableTail reports whether the run is a service run that has reported a
// tail after its warm-up.
func (r *run) hasUsableTail(now time.Time) bool {
	return r.task.isService() && r.phase == running && r.measurement > 0 && now.Sub(r.runningSince) > warmupPeriod
}

// imageUsage is the number of cores that the runs of a best-effort image use on
// a worker.
type imageUsage struct {
	image string
	cores float64
}

// bestEffortUsage returns the cores in use by best-effort runs on the worker,
// by image.
func (w *worker) bestEffortUsage() []imageUsage {
	var usage []imageUsage
next:
	for _, r := range w.runs {
		if !r.isRunningBestEffort() || r.measurement <= 0 {
			continue
		}
		image, cores := r.task.spec().Image, float64(r.measurement)/1000
		for i := range usage {
			if usage[i].image == image {
				usage[i].cores += cores
				continue next
			}
		}
		usage = append(usage, imageUsage{image, cores})
	}
	return usage
}
