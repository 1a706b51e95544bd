package cell

import (
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
