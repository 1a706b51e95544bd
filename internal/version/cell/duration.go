package cell

import "time"

// durationModel holds, for each image, the learned ratio of the actual to the
// estimated duration of its tasks.
type durationModel struct {
	ratios map[string]float64
}

func newDurationModel() durationModel { return durationModel{ratios: map[string]float64{}} }

// durationRatioWeight is the weight of the newest run in the moving average.
const durationRatioWeight = 0.15

// initialDurationRatio is the ratio assumed for an image before its first run
// has ended. Estimates are wrong by a factor of up to two.
const initialDurationRatio = 1.3

func (m *durationModel) recordEnd(r *run, reason EndReason, duration time.Duration) {
	estimate := r.task.spec().EstimateMillis
	if reason != EndSucceeded || estimate <= 0 || r.task.checkpoint != "" {
		return
	}
	key := imageKey(r.task)
	ratio, found := m.ratios[key]
	if !found {
		ratio = initialDurationRatio
	}
	m.ratios[key] = ratio + durationRatioWeight*(float64(duration.Milliseconds())/float64(estimate)-ratio)
}

// expectedDuration returns the expected duration of a run of the task.
func (m *durationModel) expectedDuration(t *task) time.Duration {
	ratio, found := m.ratios[imageKey(t)]
	if !found {
		ratio = initialDurationRatio
	}
	return time.Duration(ratio * float64(t.spec().EstimateMillis) * float64(time.Millisecond))
}

// imageKey returns the task's image, or a key made of its queue for tasks
// without an image.
func imageKey(t *task) string {
	if image := t.spec().Image; image != "" {
		return image
	}
	return "queue " + t.job().terms.Queue
}
