package cell

import "time"

// durationModel holds, for each image, the learned ratio of the actual to the
// estimated duration of its tasks.
type durationModel struct {
	ratios map[string]*imageEstimate
}

func newDurationModel() durationModel { return durationModel{ratios: map[string]*imageEstimate{}} }

// durationRatioWeight is the weight of the newest run in the moving average.
const durationRatioWeight = 0.15

// initialDurationRatio is the ratio assumed for an image before its first run
// has ended. Estimates are wrong by a factor of up to two.
const initialDurationRatio = 1.3

func (m *durationModel) recordEnd(now time.Time, r *run, reason EndReason, duration time.Duration) {
	estimate := r.task.spec().EstimateMillis
	if reason != EndSucceeded || estimate <= 0 || r.task.checkpoint != "" {
		return
	}
	key := imageKey(r.task)
	if !keepsEstimates(key) {
		return
	}
	ratio := m.ratios[key]
	if ratio == nil {
		ratio = &imageEstimate{value: initialDurationRatio}
		m.ratios[key] = ratio
	}
	ratio.value += durationRatioWeight * (float64(duration.Milliseconds())/float64(estimate) - ratio.value)
	ratio.usage.mark(now)
}

// expectedDuration returns the expected duration of a run of the task.
func (m *durationModel) expectedDuration(t *task) time.Duration {
	ratio := initialDurationRatio
	if learned := m.ratios[imageKey(t)]; learned != nil {
		ratio = learned.value
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
