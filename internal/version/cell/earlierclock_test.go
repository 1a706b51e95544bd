package cell

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a second run of a task whose worker has restarted and is cut off soon after:
// orders that name the end of their lease on the clock of its former incarnation hold the first
// run for longer than they say.
func TestRunOnRestartedWorkerIsKeptUntilLongestLeaseIsOver(t *testing.T) {
	for name, test := range map[string]struct {
		restart Report
		next    *Report
		// over is when the runs may be given up.
		over time.Duration
	}{
		"carried out":                     {Report{EarlierClockUntil: testStart.Add(7 * time.Second)}, nil, 7 * time.Second},
		"may still be carried out":        {Report{EarlierClockUntil: testStart.Add(7 * time.Second), StrayUntil: testStart.Add(19 * time.Second)}, nil, 19 * time.Second},
		"excluded by the report after it": {Report{EarlierClockUntil: testStart.Add(7 * time.Second), StrayUntil: testStart.Add(19 * time.Second)}, &Report{EarlierClockUntil: testStart.Add(8 * time.Second)}, 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			c, start := startedOn(t, testSpec())
			c.ApplyStartResult(testStart, StartResult{Worker: start.Worker, Task: start.Task, Run: start.Run, Outcome: StartAccepted, LeaseUntil: testStart.Add(testLease)})
			now := testStart.Add(time.Second)
			for _, w := range c.sortedWorkers() {
				if w.info.ID != start.Worker {
					c.MarkUnresponsive(now, w.info.ID, time.Time{}) // The task has to start on the same worker again.
				}
			}
			restart := test.restart
			restart.Worker, restart.Incarnation, restart.Sent, restart.Token, restart.Complete = start.Worker, 2, now, 1, true
			c.ApplyReport(now, restart)
			starts := takeStarts(c, now)
			assert.Equal(t, len(starts), 1, "the restart has ended the run")
			second := starts[0]
			c.ApplyStartResult(now, StartResult{Worker: second.Worker, Task: second.Task, Run: second.Run, Outcome: StartAccepted, LeaseUntil: now.Add(testLease)})
			if test.next != nil {
				now = now.Add(10 * time.Millisecond)
				next := *test.next
				next.Worker, next.Incarnation, next.Sent, next.Token, next.Complete = start.Worker, 2, now, 2, true
				next.Running = []RunReport{{Task: second.Task, Run: second.Run}}
				c.ApplyReport(now, next)
			}
			now = now.Add(200 * time.Millisecond)
			c.MarkUnresponsive(now, start.Worker, time.Time{})
			for ; now.Before(testStart.Add(test.over)); now = now.Add(50 * time.Millisecond) {
				c.TermRenewed(now)
				c.Tick(now)
				assert.Equal(t, len(c.workers[start.Worker].runs), 1, "given up %v after the start", now.Sub(testStart))
			}
			c.TermRenewed(now.Add(time.Millisecond))
			c.Tick(now.Add(time.Millisecond))
			assert.Equal(t, len(c.workers[start.Worker].runs), 0)
		})
	}
}

// Guards against a second run of a task whose start got no answer: a worker that has restarted
// carries it out late, since the end of its lease lies far ahead on the new clock, while it is cut
// off and the leader takes the start as over.
func TestStartInDoubtIsKeptWhileRestartedWorkerMayCarryItOut(t *testing.T) {
	for name, test := range map[string]struct {
		listed int64
		over   time.Duration
	}{
		"restart listed": {2, testLease + 14*time.Second},
		"no restart":     {1, testLease},
	} {
		t.Run(name, func(t *testing.T) {
			c, start := startedOn(t, testSpec())
			c.config.LeaseExcess, c.config.OrderDelay = 2*time.Second, 12*time.Second
			c.ApplyStartResult(testStart, StartResult{Worker: start.Worker, Task: start.Task, Run: start.Run,
				Outcome: StartUnknown, Token: 1, LeaseUntil: testStart.Add(testLease)})
			now := testStart.Add(time.Second)
			c.MarkUnresponsive(now, start.Worker, time.Time{})
			c.TakeEffects(now)
			infos := []WorkerInfo{testInfo(testWorker), testInfo(otherWorker)}
			for i := range infos {
				infos[i].Incarnation = 1
				if infos[i].ID == start.Worker {
					infos[i].Incarnation = test.listed
				}
			}
			c.UpdateWorkers(now, infos)
			assert.Equal(t, slices.Contains(c.TakeEffects(now).Resolve, start.Worker), test.listed == 2)
			for ; now.Before(testStart.Add(test.over)); now = now.Add(50 * time.Millisecond) {
				c.TermRenewed(now)
				c.Tick(now)
				assert.Equal(t, len(takeStarts(c, now)), 0, "started elsewhere %v after the first start", now.Sub(testStart))
				assert.Assert(t, !c.workers[start.Worker].info.Idle)
			}
			now = now.Add(retryPause)
			c.TermRenewed(now)
			c.Tick(now)
			assert.Equal(t, len(takeStarts(c, now)), 1)
		})
	}
}

// Guards against a wait for a start in doubt that a report of the new incarnation has excluded.
func TestReportOfListedIncarnationSettlesStartInDoubt(t *testing.T) {
	c, start := startedOn(t, testSpec())
	c.config.LeaseExcess, c.config.OrderDelay = 2*time.Second, 12*time.Second
	c.ApplyStartResult(testStart, StartResult{Worker: start.Worker, Task: start.Task, Run: start.Run, Outcome: StartUnknown, Token: 1})
	listed := testInfo(start.Worker)
	listed.Incarnation = 2
	c.UpdateWorkers(testStart, []WorkerInfo{listed})
	now := testStart.Add(time.Second)
	c.ApplyReport(now, Report{Worker: start.Worker, Incarnation: 2, Sent: now, Token: 2, Complete: true})
	assert.Assert(t, !c.workers[start.Worker].restartListed)
	assert.Equal(t, len(c.workers[start.Worker].runs), 0)
	starts := takeStarts(c, now.Add(time.Second))
	assert.Equal(t, len(starts), 1)
}

// Guards against a second run of a task whose start the new incarnation of a worker has accepted
// after it made the report that shows the restart: the answer to the start overtakes the report.
func TestStartAcceptedSinceReportOfRestartIsKept(t *testing.T) {
	for name, listed := range map[string]bool{"at the new incarnation": true, "at the earlier one": false} {
		t.Run(name, func(t *testing.T) {
			c, start := startedOn(t, testSpec())
			sent := testStart.Add(10 * time.Millisecond)
			now := testStart.Add(20 * time.Millisecond)
			c.ApplyStartResult(now, StartResult{Worker: start.Worker, Task: start.Task, Run: start.Run, Outcome: StartAccepted, LeaseUntil: now.Add(testLease)})
			c.ApplyReport(now, Report{Worker: start.Worker, Incarnation: 2, Sent: sent, Token: 1, Complete: true})
			assert.Equal(t, len(takeStarts(c, now)), 0, "the run may be on the new incarnation")
			now = now.Add(10 * time.Millisecond)
			report := Report{Worker: start.Worker, Incarnation: 2, Sent: now, Token: 2, Complete: true}
			if listed {
				report.Running = []RunReport{{Task: start.Task, Run: start.Run}}
			}
			c.ApplyReport(now, report)
			assert.Equal(t, len(takeStarts(c, now)) == 0, listed)
		})
	}
}
