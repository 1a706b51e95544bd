package entry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// manyEnds is more than two pages of the ends that a worker lists.
const manyEnds = 1100

// deployWithUnstoredEnds returns a deployment with one instance and one worker that keeps
// manyEnds ends of tasks of a job, none of which could be stored: the log is down.
func deployWithUnstoredEnds(t *testing.T, id string) *deployment {
	d := deploy(t, 1, time.Hour)
	for _, w := range d.workers[1:] {
		d.log.AppendRecord("keyed.servers", w.ID, nil)
	}
	d.awaitOnlyListed(d.workers[0].ID)
	body := fmt.Sprintf(`{"spec":"x","steps":[{"count":%d,"cpu":10,"mem_mb":10,"estimate_ms":600000}]}`, manyEnds)
	d.submitBody(id, body)
	d.await(func() (int, bool) {
		started := d.workers[0].StartedTasks()
		return started, started == manyEnds
	})
	d.log.SetDown(true)
	d.workers[0].EndRuns()
	d.await(func() (int, bool) {
		cut := d.workers[0].CutReports()
		return cut, cut >= 3
	})
	return d
}

// await waits until a condition holds; the number says how far it is.
func (d *deployment) await(condition func() (int, bool)) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		progress, holds := condition()
		if holds {
			return poll.Success()
		}
		return poll.Continue("at %d", progress)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(20*time.Millisecond))
}

// checkEachStartedOnce checks that no task of a job was started twice on any worker.
func (d *deployment) checkEachStartedOnce(id string) {
	d.t.Helper()
	for index := range manyEnds {
		task, started := fmt.Sprintf("%s.0.0.%d", id, index), 0
		for _, w := range d.workers {
			started += w.StartedCount(task)
		}
		assert.Equal(d.t, started, 1, "number of starts of task %s", task)
	}
}

// While the log is down, a worker keeps more ends than it lists at a time. The tasks of the
// others were started again; all of the ends must be stored once the log is back.
func TestTasksWithMoreEndsThanListedStartOnce(t *testing.T) {
	d := deployWithUnstoredEnds(t, jobID(1))
	d.log.SetDown(false)
	d.awaitState(jobID(1), "completed")
	d.checkEachStartedOnce(jobID(1))
}

// The next leader reads the ends a page at a time as well, and started the tasks of the
// later pages again.
func TestNextLeaderReadsAllPagesOfEnds(t *testing.T) {
	d := deployWithUnstoredEnds(t, jobID(1))
	d.entries[0].stop()
	d.entries = nil
	d.log.SetDown(false)
	d.start()
	d.awaitState(jobID(1), "completed")
	d.checkEachStartedOnce(jobID(1))
}
