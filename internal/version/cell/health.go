package cell

import (
	"time"

	"poplarvalve/internal/process/jobspec"
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
	// excludeAfterFailures is the number of consecutive failures, of different
	// jobs, after which a worker is excluded. A healthy worker fails about one
	// run in 40.
	excludeAfterFailures = 3
	// excludePeriod is how long a worker stays excluded. After that it gets one
	// run at a time until one of them shows whether it has recovered.
	excludePeriod = 2500 * time.Millisecond
	// suspectPeriod is how long a worker stays suspect after a failure or a
	// stalled run.
	suspectPeriod = 4 * time.Second
)

// health tracks the failures of runs on a worker.
type health struct {
	// failures is the number of failures since the last success. Consecutive
	// failures of the same job count once.
	failures    int
	lastJob     jobspec.ID
	lastFailure time.Time
	// lastSuccessOrdered is when the newest run was ordered that has succeeded.
	lastSuccessOrdered time.Time
}

func (h *health) recordEnd(reason EndReason, job jobspec.ID, now time.Time) {
	switch reason {
	case EndSucceeded:
		h.failures = 0
	case EndFailed:
		if h.lastJob != job || h.failures == 0 {
			h.failures++
		}
		h.lastJob = job
		h.lastFailure = now
	}
}

// recordRunEnd records the end of a run in the health of its worker. The failure of a
// job that fails on sound workers shows nothing about the worker.
func (r *run) recordRunEnd(reason EndReason, now time.Time) {
	j, h := r.task.job(), &r.worker.health
	switch reason {
	case EndSucceeded:
		j.failedOn = nil
		if r.orderedAt.After(h.lastSuccessOrdered) {
			h.lastSuccessOrdered = r.orderedAt
		}
	case EndFailed:
		if j.failsOnSoundWorkers() {
			return
		}
		if j.failedOn == nil {
			j.failedOn = map[*worker]time.Time{}
		}
		j.failedOn[r.worker] = now
	}
	h.recordEnd(reason, j.id, now)
}

// failsOnSoundWorkers reports whether the job has failed on a worker on which a run that
// was ordered later has succeeded, and none of its own runs has succeeded since.
func (j *job) failsOnSoundWorkers() bool {
	for w, at := range j.failedOn {
		if w.health.lastSuccessOrdered.After(at) {
			return true
		}
	}
	return false
}

// recordFault counts a stalled run, or a start that the worker refused because
// it is unhealthy.
func (h *health) recordFault(now time.Time) {
	h.failures++
	h.lastJob = ""
	h.lastFailure = now
}

// trust returns the degree to which a worker with the given runs is trusted.
func (w *worker) trust(now time.Time) trustLevel {
	level := w.health.trust(now)
	if w.health.failures >= excludeAfterFailures && w.isProbed(now) {
		return excluded // A run that probes the worker is under way.
	}
	return level
}

// isProbed reports whether a run that may show whether the worker has recovered is under
// way and none has gone on for excludePeriod: tasks that take long would otherwise keep
// the worker from all others. Long-running tasks show nothing by their end.
func (w *worker) isProbed(now time.Time) bool {
	probed := false
	for _, r := range w.runs {
		if !r.orderedAt.After(w.health.lastFailure) || r.task.spec().LongRunning {
			continue
		}
		if r.phase == running && now.Sub(r.orderedAt) >= excludePeriod {
			return false
		}
		probed = true
	}
	return probed
}

func (h *health) trust(now time.Time) trustLevel {
	if h.failures == 0 {
		return trusted
	}
	age := now.Sub(h.lastFailure)
	if h.failures >= excludeAfterFailures && age < excludePeriod {
		return excluded
	}
	if age < suspectPeriod || h.failures >= excludeAfterFailures {
		return suspect
	}
	return trusted
}
