package cell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// newCellAwaitingAdvice returns a cell with one job in a queue whose policy
// needs advice, and the first call to the advice service.
func newCellAwaitingAdvice(t *testing.T) (*Cell, AdviceRequest) {
	t.Helper()
	record := testRecord(3)
	record.Terms.Advice = &AdviceLatency{DecisionMillis: 100, PerWorkerMillis: 5}
	c := newRestoredCell(record)
	c.ApplyReport(testStart, newReport(testWorker, testStart))
	c.ApplyReport(testStart, newReport(otherWorker, testStart))
	effects := takeStored(c, testStart)
	assert.Equal(t, len(effects.Starts), 0, "task started without a ticket")
	assert.Equal(t, len(effects.Advice), 1)
	assert.Equal(t, len(effects.Advice[0].Workers), 2)
	return c, effects.Advice[0]
}

// newAdviceResult returns the service's answer to a request, with tickets that are
// valid for 3 s.
func newAdviceResult(request AdviceRequest, sent time.Time, tickets map[WorkerID]string) AdviceResult {
	return AdviceResult{Step: request.Step, Workers: request.Workers, Sent: sent, Tickets: tickets, ValidUntil: sent.Add(3 * time.Second)}
}

// The policy of a queue may forbid some workers, and workers reject starts
// without the ticket. The task must start on the allowed worker and carry its
// ticket.
func TestTaskStartsOnlyOnAllowedWorker(t *testing.T) {
	c, request := newCellAwaitingAdvice(t)
	c.ApplyAdvice(testStart, newAdviceResult(request, testStart, map[WorkerID]string{otherWorker: "t-1"}))
	starts := takeStarts(c, testStart.Add(retryPause))
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Worker, otherWorker)
	assert.Equal(t, starts[0].Ticket, "t-1")
}

// The service's answer about a worker doesn't change for a step, so a second
// call about the same incarnation would be wasted.
func TestAdviceIsRequestedOncePerIncarnation(t *testing.T) {
	c, request := newCellAwaitingAdvice(t)
	c.ApplyAdvice(testStart, newAdviceResult(request, testStart, nil))
	now := testStart.Add(time.Minute)
	effects := takeStored(c, now)
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(effects.Advice), 0)
	restarted := newReport(testWorker, now)
	restarted.Incarnation = 2
	c.ApplyReport(now, restarted)
	c.ApplyReport(now, restarted) // A repeated report of the new incarnation changes nothing.
	effects = c.TakeEffects(now.Add(retryPause))
	assert.Equal(t, len(effects.Advice), 1, "the service may judge a new incarnation differently")
	assert.DeepEqual(t, effects.Advice[0].Workers, []WorkerID{testWorker})
}

// A worker rejects a start whose ticket has expired or was issued for an
// earlier incarnation. Once a ticket has expired, the cell must request a new
// one instead of using it.
func TestExpiredTicketIsNotUsed(t *testing.T) {
	c, request := newCellAwaitingAdvice(t)
	c.SetStartsEnabled(false)
	c.ApplyAdvice(testStart, newAdviceResult(request, testStart, map[WorkerID]string{otherWorker: "t-1"}))
	c.SetStartsEnabled(true)
	now := testStart.Add(3 * time.Second)
	effects := takeStored(c, now)
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(effects.Advice), 1)
	assert.DeepEqual(t, effects.Advice[0].Workers, []WorkerID{otherWorker})
}

// A failed call, or a ticket that the worker rejects, must not leave the step
// waiting forever: the service has to be asked again.
func TestAdviceIsRequestedAgainAfterFailureOrRefusal(t *testing.T) {
	c, request := newCellAwaitingAdvice(t)
	c.ApplyAdvice(testStart, AdviceResult{Step: request.Step, Workers: request.Workers, Sent: testStart, Failed: true})
	assert.Equal(t, len(c.TakeEffects(testStart.Add(adviceRetryPause/2)).Advice), 0)
	now := testStart.Add(adviceRetryPause)
	retried := c.TakeEffects(now).Advice
	assert.Equal(t, len(retried), 1)
	c.ApplyAdvice(now, newAdviceResult(retried[0], now, map[WorkerID]string{testWorker: "t-1"}))
	starts := takeStarts(c, now)
	assert.Equal(t, len(starts), 1)
	c.ApplyStartResult(now, StartResult{Worker: testWorker, Task: starts[0].Task, Run: starts[0].Run,
		Outcome: StartRefused, Refusal: RefusedTicket})
	effects := takeStored(c, now.Add(retryPause))
	assert.Equal(t, len(effects.Starts), 0)
	assert.Equal(t, len(effects.Advice), 1)
}

// The service refuses calls when many are queued, so the number of unanswered
// calls is limited, whatever the number of waiting jobs.
func TestAdviceCallsInFlightAreLimited(t *testing.T) {
	c, _ := newCellAwaitingAdvice(t)
	for n := range 5 {
		record := testRecord(3)
		record.ID = jobA[:15] + jobspec.ID("bcdef"[n:n+1])
		record.Terms.Advice = &AdviceLatency{}
		c.Submit(testStart, uint64(n), record.ID, &record.Job, record.Terms)
	}
	c.MarkStored(testStart, c.TakeEffects(testStart).Write.Number)
	assert.Equal(t, len(c.TakeEffects(testStart.Add(retryPause)).Advice), maxCallsInFlight-1)
}

// A worker restarts while the advice service judges its earlier incarnation, which the
// service no longer allows. If that answer counted for the new incarnation, the service
// would never be asked about it.
func TestAnswerAboutEndedIncarnationIsNotKept(t *testing.T) {
	c, request := newCellAwaitingAdvice(t)
	now := testStart.Add(time.Second)
	for _, id := range request.Workers {
		restarted := newReport(id, now)
		restarted.Incarnation = 2
		c.ApplyReport(now, restarted)
	}
	c.ApplyAdvice(now, newAdviceResult(request, testStart, nil))
	assert.Equal(t, len(c.TakeEffects(now.Add(retryPause)).Advice), 1)
}

// Two best-effort steps hold tickets for all workers but can't be placed, since a tail is
// over its target there. If they kept asking for new tickets, they would take all calls,
// and steps that could be placed would wait for ever.
func TestStepsWithTicketsLeaveAdviceCallsToOthers(t *testing.T) {
	c, request := newCellAwaitingAdvice(t)
	c.ApplyAdvice(testStart, newAdviceResult(request, testStart, nil)) // The first job may run nowhere.
	for _, w := range c.workers {
		w.bestEffort.overSince = testStart
	}
	submit := func(suffix jobspec.ID, bestEffort bool) {
		record := testRecord(3)
		record.Job.Steps[0].BestEffort = bestEffort
		record.Terms.Advice = &AdviceLatency{}
		if !bestEffort {
			record.Terms.Priority = 1
		}
		c.Submit(testStart, 1, jobA[:15]+suffix, &record.Job, record.Terms)
	}
	submit("b", true)
	submit("c", true)
	submit("d", false)
	now := testStart
	effects := c.TakeEffects(now)
	c.MarkStored(testStart, effects.Write.Number)
	for range 20 {
		now = now.Add(retryPause)
		for _, call := range c.TakeEffects(now).Advice {
			if call.Step.Job == jobA[:15]+"d" {
				return
			}
			tickets := map[WorkerID]string{testWorker: "t", otherWorker: "t"}
			c.ApplyAdvice(now, newAdviceResult(call, now, tickets))
		}
	}
	t.Fatal("the service was never asked about the step that could be placed")
}
