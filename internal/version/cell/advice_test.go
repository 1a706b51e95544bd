package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// newCellAwaitingAdvice returns a cell with one job in a queue whose policy
// needs advice, and the first call to the advice service.
func newCellAwaitingAdvice(t *testing.T) (*Cell, AdviceOrder) {
	t.Helper()
	record := testRecord(3)
	record.Terms.Advice = &AdviceTerms{DecisionMillis: 100, PerWorkerMillis: 5}
	c := newRestoredCell(record)
	c.Report(testStart, newReport(testWorker, testStart))
	c.Report(testStart, newReport(otherWorker, testStart))
	effects := c.Take(testStart)
	assert.Equal(t, len(effects.Starts), 0, "task started without a ticket")
	assert.Equal(t, len(effects.Advice), 1)
	assert.Equal(t, len(effects.Advice[0].Workers), 2)
	return c, effects.Advice[0]
}

func adviceAnswer(order AdviceOrder, sent time.Time, tickets map[WorkerID]string) AdviceResult {
	return AdviceResult{Step: order.Step, Asked: order.Workers, Sent: sent, Tickets: tickets, ValidUntil: sent.Add(3 * time.Second)}
}

// The policy of a queue may forbid some workers, and workers reject starts
// without the ticket. The task must start on the allowed worker and carry its
// ticket.
func TestTaskStartsOnlyOnAdvisedWorker(t *testing.T) {
	c, order := newCellAwaitingAdvice(t)
	c.Advised(testStart, adviceAnswer(order, testStart, map[WorkerID]string{otherWorker: "t-1"}))
	starts := c.Take(testStart.Add(retryPause)).Starts
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Worker, otherWorker)
	assert.Equal(t, starts[0].Ticket, "t-1")
}

// The service's answer about a worker doesn't change for a step, so a second
// call about the same incarnation would be wasted.
func TestAdviceIsRequestedOncePerIncarnation(t *testing.T) {
	c, order := newCellAwaitingAdvice(t)
	c.Advised(testStart, adviceAnswer(order, testStart, nil))
	now := testStart.Add(time.Minute)
	effects := c.Take(now)
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(effects.Advice), 0)
	restarted := newReport(testWorker, now)
	restarted.Born = 2
	c.Report(now, restarted)
	c.Report(now, restarted) // A repeated report of the new incarnation changes nothing.
	effects = c.Take(now.Add(retryPause))
	assert.Equal(t, len(effects.Advice), 1, "the service may judge a new incarnation differently")
	assert.DeepEqual(t, effects.Advice[0].Workers, []WorkerID{testWorker})
}

// A worker rejects a start whose ticket has expired or was issued for an
// earlier incarnation. Once a ticket has expired, the cell must request a new
// one instead of using it.
func TestExpiredTicketIsNotUsed(t *testing.T) {
	c, order := newCellAwaitingAdvice(t)
	c.SetStarting(false)
	c.Advised(testStart, adviceAnswer(order, testStart, map[WorkerID]string{otherWorker: "t-1"}))
	c.SetStarting(true)
	now := testStart.Add(3 * time.Second)
	effects := c.Take(now)
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(effects.Advice), 1)
	assert.DeepEqual(t, effects.Advice[0].Workers, []WorkerID{otherWorker})
}

// A failed call, or a ticket that the worker rejects, must not leave the step
// waiting forever: the service has to be asked again.
func TestAdviceIsRequestedAgainAfterFailureOrRefusal(t *testing.T) {
	c, order := newCellAwaitingAdvice(t)
	c.Advised(testStart, AdviceResult{Step: order.Step, Asked: order.Workers, Sent: testStart, Failed: true})
	assert.Equal(t, len(c.Take(testStart.Add(adviceRetryPause/2)).Advice), 0)
	now := testStart.Add(adviceRetryPause)
	retried := c.Take(now).Advice
	assert.Equal(t, len(retried), 1)
	c.Advised(now, adviceAnswer(retried[0], now, map[WorkerID]string{testWorker: "t-1"}))
	starts := c.Take(now).Starts
	assert.Equal(t, len(starts), 1)
	c.StartResult(now, StartResult{Worker: testWorker, Task: starts[0].Task, Run: starts[0].Run,
		Outcome: StartRefused, Refusal: RefusedTicket})
	effects := c.Take(now.Add(retryPause))
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(effects.Advice), 1)
}

// The service refuses calls when many are queued, so the number of unanswered
// calls is limited, whatever the number of waiting jobs.
func TestAdviceCallsInFlightAreLimited(t *testing.T) {
	c, _ := newCellAwaitingAdvice(t)
	for n := range 5 {
		record := testRecord(3)
		record.ID = testJob[:15] + jobspec.ID("bcdef"[n:n+1])
		record.Terms.Advice = &AdviceTerms{}
		c.Submit(testStart, uint64(n), record.ID, &record.Job, record.Terms)
	}
	c.Take(testStart)
	c.Stored(1)
	assert.Equal(t, len(c.Take(testStart.Add(retryPause)).Advice), maxCallsInFlight-1)
}
