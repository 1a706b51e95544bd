package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// advised returns a cell with one job of a queue whose policy needs advice, and
// the first call to the service.
func advised(t *testing.T) (*Cell, AdviceOrder) {
	t.Helper()
	record := testRecord(3)
	record.Terms.Advice = &AdviceTerms{DecisionMillis: 100, PerWorkerMillis: 5}
	c := successor(record)
	c.Report(testStart, report(testWorker, testStart))
	c.Report(testStart, report(otherOne, testStart))
	effects := c.Take(testStart)
	assert.Equal(t, len(effects.Starts), 0, "started without a ticket")
	assert.Equal(t, len(effects.Advice), 1)
	assert.Equal(t, len(effects.Advice[0].Workers), 2)
	return c, effects.Advice[0]
}

func answerTo(order AdviceOrder, sent time.Time, tickets map[WorkerID]string) AdviceResult {
	return AdviceResult{Step: order.Step, Asked: order.Workers, Sent: sent, Tickets: tickets, ValidUntil: sent.Add(3 * time.Second)}
}

// Guards against a start on a worker that the policy of the queue doesn't allow,
// and against a start without the ticket.
func TestStartsOnlyWhereAdviceAllows(t *testing.T) {
	c, order := advised(t)
	c.Advised(testStart, answerTo(order, testStart, map[WorkerID]string{otherOne: "t-1"}))
	starts := c.Take(testStart.Add(retryPause)).Starts
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Worker, otherOne)
	assert.Equal(t, starts[0].Ticket, "t-1")
}

// Guards against a service that is asked again about workers that it has judged:
// its answer for a step doesn't change.
func TestJudgedWorkersAreNotAskedAgain(t *testing.T) {
	c, order := advised(t)
	c.Advised(testStart, answerTo(order, testStart, nil))
	now := testStart.Add(time.Minute)
	effects := c.Take(now)
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(effects.Advice), 0)
	restarted := report(testWorker, now)
	restarted.Born = 2
	c.Report(now, restarted)
	c.Report(now, restarted) // The first report of a new life only begins it.
	effects = c.Take(now.Add(retryPause))
	assert.Equal(t, len(effects.Advice), 1, "another life may be judged otherwise")
	assert.DeepEqual(t, effects.Advice[0].Workers, []WorkerID{testWorker})
}

// Guards against a ticket that is used after its time or in another life of the
// worker: the worker would reject the start.
func TestTicketsEnd(t *testing.T) {
	c, order := advised(t)
	c.SetStarting(false)
	c.Advised(testStart, answerTo(order, testStart, map[WorkerID]string{otherOne: "t-1"}))
	c.SetStarting(true)
	now := testStart.Add(3 * time.Second)
	effects := c.Take(now)
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(effects.Advice), 1)
	assert.DeepEqual(t, effects.Advice[0].Workers, []WorkerID{otherOne})
}

// Guards against a step that waits for ever after a call to the service failed
// or a worker rejected its ticket.
func TestAdviceIsSoughtAgain(t *testing.T) {
	c, order := advised(t)
	c.Advised(testStart, AdviceResult{Step: order.Step, Asked: order.Workers, Sent: testStart, Failed: true})
	assert.Equal(t, len(c.Take(testStart.Add(adviceRetry/2)).Advice), 0)
	now := testStart.Add(adviceRetry)
	again := c.Take(now).Advice
	assert.Equal(t, len(again), 1)
	c.Advised(now, answerTo(again[0], now, map[WorkerID]string{testWorker: "t-1"}))
	starts := c.Take(now).Starts
	assert.Equal(t, len(starts), 1)
	c.StartResult(now, StartResult{Worker: testWorker, Task: starts[0].Task, Run: starts[0].Run,
		Outcome: StartRefused, Refusal: RefusedTicket})
	effects := c.Take(now.Add(retryPause))
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(effects.Advice), 1)
}

// Guards against a queue at the service: it refuses calls when many wait.
func TestFewCallsWaitAtTheService(t *testing.T) {
	c, _ := advised(t)
	for n := range 5 {
		record := testRecord(3)
		record.ID = testJob[:15] + jobspec.ID("bcdef"[n:n+1])
		record.Terms.Advice = &AdviceTerms{}
		c.Submit(testStart, uint64(n), record.ID, &record.Job, record.Terms)
	}
	c.Take(testStart)
	c.Stored(1)
	assert.Equal(t, len(c.Take(testStart.Add(retryPause)).Advice), callsAtOnce-1)
}
