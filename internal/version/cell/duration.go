package cell

import (
	"time"

	"poplarvalve/internal/process/jobspec"
)

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
	return m.expectedOf(t.spec(), t.job().terms.Queue)
}

// expectedOf returns the expected duration of a run of a task of the step.
func (m *durationModel) expectedOf(spec *jobspec.Step, queue string) time.Duration {
	return time.Duration(m.ratio(spec, queue) * float64(spec.EstimateMillis) * float64(time.Millisecond))
}

func (m *durationModel) ratio(spec *jobspec.Step, queue string) float64 {
	if learned := m.ratios[imageKeyOf(spec, queue)]; learned != nil {
		return learned.value
	}
	return initialDurationRatio
}

// scale multiplies a time that is a sum of estimates of the job's steps by the highest ratio of
// their images.
func (m *durationModel) scale(j *job, estimated time.Duration) time.Duration {
	highest := 0.0
	for i := range j.spec.Steps {
		if spec := &j.spec.Steps[i]; !spec.LongRunning {
			highest = max(highest, m.ratio(spec, j.terms.Queue))
		}
	}
	return time.Duration(highest * float64(estimated))
}

// imageKey returns the task's image, or a key made of its queue for tasks
// without an image.
func imageKey(t *task) string { return imageKeyOf(t.spec(), t.job().terms.Queue) }

func imageKeyOf(spec *jobspec.Step, queue string) string {
	if spec.Image != "" {
		return spec.Image
	}
	return "queue " + queue
}
