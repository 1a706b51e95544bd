package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// A worker on which every run fails has the most free capacity. If it got as many runs
// as fit once its exclusion ends, each period would cost as many attempts.
func TestExcludedWorkerIsProbedByOneRun(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	w := c.workers[testWorker]
	for range excludeAfterFailures {
		w.health.recordFault(testStart)
	}
	assert.Equal(t, w.trust(testStart), excluded)
	now := testStart.Add(excludePeriod)
	assert.Equal(t, w.trust(now), suspect)
	spec := jobspec.Step{Count: 1}
	probe := &run{task: &task{step: &step{spec: &spec}}, phase: running, orderedAt: now}
	w.addRun(probe)
	assert.Equal(t, w.trust(now), excluded, "a probe is under way")
	w.removeRun(probe)
	w.health.recordEnd(EndSucceeded, jobA, now)
	assert.Equal(t, w.trust(now), trusted)
}

// Long-running tasks that always fail kept sound workers excluded for ever, so that other
// tasks waited while most workers were free.
func TestFailuresOfHopelessJobsDoNotExcludeWorkers(t *testing.T) {
	record := testRecord(1)
	first, second, sound := newJob(record, testStart), newJob(record, testStart), newJob(record, testStart)
	first.id, second.id, sound.id = jobA[:15]+"b", jobA[:15]+"c", jobA[:15]+"d"
	proven, other := newWorker(testInfo(testWorker)), newWorker(testInfo(otherWorker))
	end := func(j *job, w *worker, at time.Time, reason EndReason) {
		r := &run{task: j.ensureOccurrence(0).steps[0].tasks[0], worker: w, phase: running, orderedAt: at}
		r.recordRunEnd(reason, at.Add(100*time.Millisecond))
	}
	end(first, proven, testStart, EndFailed)
	end(second, proven, testStart, EndFailed)
	end(sound, proven, testStart.Add(time.Second), EndSucceeded)
	now := testStart.Add(2 * time.Second)
	for range excludeAfterFailures {
		end(first, other, now, EndFailed)
		end(second, other, now, EndFailed)
	}
	assert.Equal(t, other.trust(now.Add(time.Second)), trusted, "both jobs fail on sound workers")
	end(first, proven, now, EndSucceeded)
	for range excludeAfterFailures {
		end(first, other, now, EndFailed)
		end(sound, other, now, EndFailed)
	}
	assert.Equal(t, other.trust(now.Add(time.Second)), excluded, "a job that has succeeded since shows that the worker is not sound")
}

// A probe of a task that takes long kept all other tasks from a worker that had recovered.
func TestLongProbeDoesNotBlockWorker(t *testing.T) {
	c := newRestoredCell(testRecord(3))
	w := c.workers[testWorker]
	for range excludeAfterFailures {
		w.health.recordFault(testStart)
	}
	ordered := testStart.Add(excludePeriod)
	spec := jobspec.Step{Count: 1, EstimateMillis: 15000}
	probe := &run{task: &task{step: &step{spec: &spec}}, phase: inDoubt, orderedAt: ordered}
	w.addRun(probe)
	now := ordered.Add(excludePeriod)
	assert.Equal(t, w.trust(now), excluded, "a run in doubt shows nothing")
	probe.phase = running
	assert.Equal(t, w.trust(now.Add(-1)), excluded)
	assert.Equal(t, w.trust(now), suspect)
	w.health.recordFault(now)
	assert.Equal(t, w.trust(now), excluded)
}
