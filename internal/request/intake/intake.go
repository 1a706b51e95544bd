// Package intake serves one request about a job: it finds the queue and the
// cell, asks the leader of the cell, and asks again when the leader changes.
//
// It guarantees that a submission or a cancel is answered NotRun only if no
// leader can have taken it in, and that OK is given only for what is stored.
package intake

import (
	"context"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/jobapi"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/manifest"
)

// Leaders finds the leaders of cells.
type Leaders interface {
	// Cells returns the number of cells, or 0 if it isn't known yet.
	Cells() int
	// CellOf returns the cell of a job.
	CellOf(id jobspec.ID, cells int) int
	// Do asks the leader of a cell. sent is false if the call can't have
	// reached one.
	Do(ctx context.Context, call cellcodec.Call) (reply cellcodec.Reply, sent bool)
	// Advised says whether the deployment has an advice service.
	Advised() bool
	// Changed returns a channel that is closed when a leader changes.
	Changed() <-chan struct{}
}

const (
	// leaderWait is how long a request waits for a leader. A refusal is cheaper
	// for the caller than a longer wait, since it may repeat elsewhere.
	leaderWait = 140 * time.Millisecond
	// retryAfter is about the time that a change of the leader takes.
	retryAfter = time.Second
	// outcomeWait is how long a request whose outcome is open waits for it. By
	// then the link to a leader that is gone has ended; the caller repeats the
	// request, which is the same job.
	outcomeWait = 1200 * time.Millisecond
	// answerMargin is left for the way of the answer.
	answerMargin = 100 * time.Millisecond
	// defaultAnswerTime is assumed for callers that don't say how long they
	// wait.
	defaultAnswerTime = 3 * time.Second
)

// Serve answers one request under one version of the manifest.
func Serve(ctx context.Context, now time.Time, m *manifest.Manifest, leaders Leaders, request jobapi.Request) jobapi.Answer {
	if m == nil {
		return jobapi.Answer{Verdict: jobapi.NotRun, RetryAfter: retryAfter, Cause: fault.NoConfiguration}
	}
	queue, rest := find(m, request)
	if queue == nil {
		return jobapi.Answer{Verdict: jobapi.NoQueue, Cause: fault.NotFound, Manifest: m.Version}
	}
	if request.Deadline.IsZero() {
		request.Deadline = now.Add(defaultAnswerTime)
	}
	ctx, cancel := context.WithDeadline(ctx, earlier(request.Deadline.Add(-answerMargin), now.Add(outcomeWait)))
	defer cancel()
	answer := serve(ctx, queue, rest, leaders, request)
	answer.Manifest = m.Version
	answer.Queue = queue.Name
	return answer
}

// find returns the queue that the request names, and the identity of its job.
func find(m *manifest.Manifest, request jobapi.Request) (queue *manifest.Queue, rest string) {
	if request.Queue != "" {
		return m.Queue(request.Queue), string(request.ID)
	}
	return m.Match(request.Host, request.Path)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func serve(ctx context.Context, queue *manifest.Queue, rest string, leaders Leaders, request jobapi.Request) jobapi.Answer {
	cells := leaders.Cells()
	if cells == 0 {
		return refusal(fault.LogUnavailable)
	}
	if request.Operation == cellcodec.OpPending || request.Operation == cellcodec.OpStatus && rest == "" {
		return pending(ctx, leaders, cells, queue.Name)
	}
	id := jobspec.ID(rest)
	if !id.Valid() {
		return jobapi.Answer{Verdict: jobapi.Bad, Cause: fault.BadRequest}
	}
	call := cellcodec.Call{Operation: request.Operation, Cell: leaders.CellOf(id, cells), ID: id, Queue: queue.Name}
	if request.Operation == cellcodec.OpSubmit {
		if answer, bad := describe(&call, queue, leaders, request); bad {
			return answer
		}
	}
	answer := ask(ctx, leaders, call)
	answer.Job = id
	answer.Cell = call.Cell
	return answer
}

// describe adds the job to a submission.
func describe(call *cellcodec.Call, queue *manifest.Queue, leaders Leaders, request jobapi.Request) (refused jobapi.Answer, bad bool) {
	job, err := request.Job()
	if err == nil {
		err = job.Check()
	}
	if err != nil {
		return jobapi.Answer{Verdict: jobapi.Bad, Cause: fault.KindOf(err)}, true
	}
	if queue.Advice != nil && !leaders.Advised() {
		return refusal(fault.NoWorker), true
	}
	call.Job = job
	call.Terms = &cell.Terms{
		Queue:           queue.Name,
		Pool:            queue.Pool,
		Priority:        queue.Priority,
		Attempts:        queue.Attempts,
		Stretch:         queue.Stretch,
		ObjectiveMillis: queue.Objective.Milliseconds(),
	}
	if a := queue.Advice; a != nil {
		call.Terms.Advice = &cell.AdviceTerms{
			DecisionMillis:  a.Decision.Milliseconds(),
			PerWorkerMillis: a.PerWorker.Milliseconds(),
		}
	}
	return jobapi.Answer{}, false
}

func refusal(kind fault.Kind) jobapi.Answer {
	return jobapi.Answer{Verdict: jobapi.NotRun, RetryAfter: retryAfter, Cause: kind}
}

// ask asks the leader, and the next one if the leader is lost, until the
// deadline. All operations may be repeated: a job is known by its identity.
func ask(ctx context.Context, leaders Leaders, call cellcodec.Call) jobapi.Answer {
	maybe := false
	patience := time.NewTimer(leaderWait)
	defer patience.Stop()
	expired := false
	for ctx.Err() == nil {
		changed := leaders.Changed()
		reply, sent := leaders.Do(ctx, call)
		if answer, final := conclude(reply); final && !(maybe && answer.Verdict == jobapi.NotRun) {
			return answer
		}
		maybe = maybe || sent && reply.Result == cellcodec.Unproven && call.Operation.Changes()
		if expired && !maybe {
			break
		}
		select {
		case <-changed:
		case <-patience.C:
			expired = true
		case <-time.After(askPause):
		case <-ctx.Done():
		}
	}
	if maybe {
		return jobapi.Answer{Verdict: jobapi.Unknown, Cause: fault.PeerLost}
	}
	return refusal(fault.PeerUnreachable)
}

// askPause is the pause between two attempts to reach a leader.
const askPause = 50 * time.Millisecond

func conclude(reply cellcodec.Reply) (answer jobapi.Answer, final bool) {
	switch reply.Result {
	case cellcodec.OK:
		return jobapi.Answer{Verdict: jobapi.OK, State: reply.State, Pending: reply.Pending}, true
	case cellcodec.Absent:
		return jobapi.Answer{Verdict: jobapi.Absent}, true
	case cellcodec.Refused:
		return refusal(fault.LogUnavailable), true
	}
	return jobapi.Answer{}, false
}

// pending adds up the jobs of all cells that wait.
func pending(ctx context.Context, leaders Leaders, cells int, queue string) jobapi.Answer {
	total := 0
	for number := range cells {
		answer := ask(ctx, leaders, cellcodec.Call{Operation: cellcodec.OpPending, Cell: number, Queue: queue})
		if answer.Verdict != jobapi.OK {
			return answer
		}
		total += answer.Pending
	}
	return jobapi.Answer{Verdict: jobapi.OK, Pending: total}
}
