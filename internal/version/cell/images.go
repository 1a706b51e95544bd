package cell

import "time"

// images holds what was learned about the tasks of each image: how long they
// take compared with their estimates.
type images struct {
	ratio map[string]float64
}

func newImages() images { return images{ratio: map[string]float64{}} }

// ratioWeight is the weight of one end in the moving average.
const ratioWeight = 0.15

// initialRatio is assumed until the first end of an image; estimates are off by
// up to a factor of two.
const initialRatio = 1.3

func (i *images) learnEnd(r *run, how How, ran time.Duration) {
	estimate := r.task.spec().EstimateMillis
	if how != EndDone || estimate <= 0 || r.task.checkpoint != "" {
		return
	}
	key := imageKey(r.task)
	known, found := i.ratio[key]
	if !found {
		known = initialRatio
	}
	i.ratio[key] = known + ratioWeight*(float64(ran.Milliseconds())/float64(estimate)-known)
}

// expected returns how long a run of the task takes.
func (i *images) expected(t *task) time.Duration {
	ratio, found := i.ratio[imageKey(t)]
	if !found {
		ratio = initialRatio
	}
	return time.Duration(ratio * float64(t.spec().EstimateMillis) * float64(time.Millisecond))
}

// imageKey is the image, or the queue for tasks without one.
func imageKey(t *task) string {
	if image := t.spec().Image; image != "" {
		return image
	}
	return "queue " + t.job().terms.Queue
}
