package cell

import (
	"slices"
	"time"
)

// trustLevel is the degree to which a worker is trusted with new runs.
type trustLevel uint8

const (
	trusted trustLevel = iota
	// suspect workers get only tasks that fit nowhere else.
	suspect
	// excluded workers get no tasks until excludePeriod has passed since their
	// last failure.
	excluded
)

const (
	// excludeAfterFailures is the weight of the consecutive failures, of different jobs,
	// after which a worker is excluded. The failure of a job that has succeeded before
	// weighs 2, since it shows more about the worker than that of another job, which
	// weighs 1. A healthy worker fails about one run in 40.
	excludeAfterFailures = 3
	provenJobWeight      = 2
	// excludePeriod is how long a worker stays excluded. After that it gets one
	// run at a time until one of them shows whether it has recovered.
	excludePeriod = 2500 * time.Millisecond
	// suspectPeriod is how long a worker stays suspect after a failure or a
	// stalled run.
	suspectPeriod = 4 * time.Second
)

// jobHealth tells the failures that a job causes from those that its workers cause. It
// outlives the job while the health of a worker refers to it.
type jobHealth struct {
	// successes is the number of its runs that have succeeded.
	successes int
	// failsOnSound counts its failures on sound workers since the last success.
	failsOnSound int
	// failedOn holds the first workers on which it has failed, apart from those that a failure
	// which shows more makes doubtful.
	failedOn []WorkerID
}

// failsAnywhereWorkers is the number of workers on which a job that has never succeeded must
// fail to count as one that fails anywhere: so many faulty ones in a row are rare.
const failsAnywhereWorkers = 5

// recordFailure records that a run of the job failed on a worker that is not doubtful.
func (j *jobHealth) recordFailure(w WorkerID) {
	if len(j.failedOn) < failsAnywhereWorkers && !slices.Contains(j.failedOn, w) {
		j.failedOn = append(j.failedOn, w)
	}
}

// hopeless reports whether the job fails on sound workers. One failure may be the
// worker's after all, if the job has succeeded before.
func (j *jobHealth) hopeless() bool {
	return j.failsOnSound >= 2 || j.failsOnSound == 1 && j.successes == 0
}

// failure is a failure of a job on a worker, or a fault of the worker if job is nil.
type failure struct {
	job *jobHealth
	// successes is the number of runs of the job that had succeeded before.
	successes int
	at        time.Time
	// outdated is set if a run on the worker has succeeded since.
	outdated bool
}

// maxFailures is the number of failures that the health of a worker keeps.
const maxFailures = 16

// health tracks the failures of runs on a worker.
type health struct {
	// failures holds the newest failures, of consecutive ones of a job only the last.
	failures []failure
}

// failsAnywhere reports whether the job has never succeeded and fails on many workers.
func (j *jobHealth) failsAnywhere() bool {
	return j.successes == 0 && len(j.failedOn) >= failsAnywhereWorkers
}

// weight returns how much the failure shows about the worker. A job that fails on sound
// workers shows nothing.
func (f failure) weight() int {
	switch {
	case f.outdated || f.countsForJob():
		return 0
	case f.successes > 0:
		return provenJobWeight
	}
	return 1
}

// countsForJob reports whether the job is known to have caused the failure.
func (f failure) countsForJob() bool {
	return f.job != nil && f.successes == f.job.successes && f.job.hopeless()
}

// recordRunEnd records the end of a run in the health of its worker and of its job.
func (r *run) recordRunEnd(reason EndReason, now time.Time) {
	job, h := r.task.job().health, &r.worker.health
	switch reason {
	case EndSucceeded:
		job.successes++
		job.failsOnSound = 0
		h.recordSuccess(r.orderedAt)
	case EndFailed:
		if r.phase == stopping && r.worker.departure.expected {
			return // The worker, or the stop, may have ended it.
		}
		if !h.corroborated() {
			job.recordFailure(r.worker.info.ID)
		}
		h.recordFailure(job, now)
	}
}

// recordSuccess records the success of a run. Unless the worker was excluded, the run
// shows that jobs that failed there before it was ordered fail on a sound worker.
func (h *health) recordSuccess(orderedAt time.Time) {
	wasSound := h.weight() < excludeAfterFailures
	kept := h.failures[:0]
	for _, f := range h.failures {
		if !orderedAt.After(f.at) {
			f.outdated = true
			kept = append(kept, f)
		} else if wasSound && f.job != nil && f.successes == f.job.successes {
			f.job.failsOnSound++
		}
	}
	clear(h.failures[len(kept):])
	h.failures = kept
}

// recordFailure records the failure of a run of a job.
func (h *health) recordFailure(job *jobHealth, now time.Time) {
	if last := len(h.failures) - 1; last >= 0 && h.failures[last].job == job {
		h.failures = h.failures[:last]
	}
	h.add(failure{job: job, successes: job.successes, at: now})
}

// recordFault counts a stalled run, or a start that the worker refused because
// it is unhealthy.
func (h *health) recordFault(now time.Time) { h.add(failure{at: now}) }

func (h *health) add(f failure) {
	if len(h.failures) == maxFailures {
		h.failures = slices.Delete(h.failures, 0, 1)
	}
	h.failures = append(h.failures, f)
}

// weight returns the weight of the failures since the last success that count for the
// worker. Those of jobs that fail anywhere count only beside a failure that shows more.
func (h *health) weight() int {
	weight := 0
	corroborated := h.corroborated()
	for _, f := range h.failures {
		if corroborated || f.job == nil || !f.job.failsAnywhere() {
			weight += f.weight()
		}
	}
	return weight
}

// corroborated reports whether a fault of the worker, or the failure of a job that has succeeded
// elsewhere, counts for the worker.
func (h *health) corroborated() bool {
	return slices.ContainsFunc(h.failures, func(f failure) bool {
		return f.weight() > 0 && (f.job == nil || f.job.successes > 0)
	})
}

// lastFailure returns the time of the newest failure that counts for the worker.
func (h *health) lastFailure() time.Time {
	for _, f := range slices.Backward(h.failures) {
		if f.weight() > 0 {
			return f.at
		}
	}
	return time.Time{}
}

// trust returns the degree to which a worker with the given runs is trusted.
func (w *worker) trust(now time.Time) trustLevel {
	weight := w.health.weight()
	if weight == 0 {
		return trusted
	}
	last := w.health.lastFailure()
	age := now.Sub(last)
	if weight < excludeAfterFailures {
		if age < suspectPeriod {
			return suspect
		}
		return trusted
	}
	if age < excludePeriod || w.isProbed(now, last) {
		return excluded
	}
	return suspect
}

// isProbed reports whether a run that may show whether the worker has recovered since its
// last failure is under way and none has gone on for excludePeriod: tasks that take long
// would otherwise keep the worker from all others. Long-running tasks show nothing by
// their end.
func (w *worker) isProbed(now, lastFailure time.Time) bool {
	probed := false
	for _, r := range w.runs {
		if !r.orderedAt.After(lastFailure) || r.task.spec().LongRunning {
			continue
		}
		if r.phase == running && now.Sub(r.orderedAt) >= excludePeriod {
			return false
		}
		probed = true
	}
	return probed
}
