// Package intake serves one request about a job. It finds the queue and the
// cell of the job, sends the request to the leader of the cell, and sends it
// again when the leader changes.
//
// A submission or a cancel is answered with NotRun only if no leader can have
// accepted it, and with OK only if it is stored.
package intake

import (
	"context"
	"fmt"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/jobapi"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/manifest"
)

// Leaders sends calls to the leaders of cells.
type Leaders interface {
	// Cells returns the number of cells, or 0 if it is not known yet.
	Cells() int
	// CellOf returns the number of the cell that holds a job.
	CellOf(id jobspec.ID, cells int) int
	// Call sends a call to the leader of a cell and returns its reply. sent is
	// false if the call cannot have reached a leader.
	Call(ctx context.Context, call cellcodec.Call) (reply cellcodec.Reply, sent bool)
	// HasAdviceService reports whether the deployment has an advice service.
	HasAdviceService() bool
	// Changed returns a channel that is closed when the leader of a cell
	// changes.
	Changed() <-chan struct{}
}

const (
	// leaderWait is how long a request waits for a leader. A refusal costs the
	// caller less than a longer wait, since the caller may repeat the request
	// elsewhere.
	leaderWait = 140 * time.Millisecond
	// outcomeWait is how long a request waits for its outcome while that is in
	// doubt. By then the link to a failed leader has ended. The caller then
	// repeats the request, which names the same job.
	outcomeWait = 1200 * time.Millisecond
	// answerMargin is the part of the caller's deadline that is reserved for
	// sending the answer.
	answerMargin = 100 * time.Millisecond
	// defaultAnswerTime is the assumed deadline of callers that state none.
	defaultAnswerTime = 3 * time.Second
)

// Serve answers one request under one version of the manifest. m may be nil if
// there is no manifest yet.
func Serve(ctx context.Context, now time.Time, m *manifest.Manifest, leaders Leaders, request jobapi.Request) jobapi.Answer {
	if m == nil {
		return jobapi.Answer{Verdict: jobapi.NotRun, RetryAfter: minRetryAfter, FailureKind: fault.NoConfiguration}
	}
	queue, jobID := findQueue(m, request)
	if queue == nil {
		return jobapi.Answer{Verdict: jobapi.NoQueue, FailureKind: fault.NotFound, ManifestVersion: m.Version}
	}
	if request.Deadline.IsZero() {
		request.Deadline = now.Add(defaultAnswerTime)
	}
	ctx, cancel := context.WithDeadline(ctx, earlier(request.Deadline.Add(-answerMargin), now.Add(outcomeWait)))
	defer cancel()
	answer := serve(ctx, queue, jobID, leaders, request)
	answer.ManifestVersion = m.Version
	answer.Queue = queue.Name
	return answer
}

// findQueue returns the queue that the request names, or nil, and the
// identifier of the job, which is empty if the request names no job.
func findQueue(m *manifest.Manifest, request jobapi.Request) (queue *manifest.Queue, jobID string) {
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

func serve(ctx context.Context, queue *manifest.Queue, jobID string, leaders Leaders, request jobapi.Request) jobapi.Answer {
	cells := leaders.Cells()
	if cells == 0 {
		return refusal(fault.LogUnavailable)
	}
	if request.Operation == cellcodec.OpPending || request.Operation == cellcodec.OpStatus && jobID == "" {
		return countPending(ctx, leaders, cells, queue.Name)
	}
	id := jobspec.ID(jobID)
	if !id.Valid() {
		return jobapi.Answer{Verdict: jobapi.BadRequest, FailureKind: fault.BadRequest}
	}
	call := cellcodec.Call{Operation: request.Operation, Cell: leaders.CellOf(id, cells), ID: id, Queue: queue.Name}
	if request.Operation == cellcodec.OpSubmit {
		if answer, rejected := addJob(&call, queue, leaders, request); rejected {
			return answer
		}
	}
	answer := callLeader(ctx, leaders, call)
	if answer.Verdict == jobapi.NotRun && answer.FailureKind != fault.Overloaded {
		answer.RetryAfter = retryAfter(answer.FailureKind, id)
	}
	answer.Job = id
	answer.Cell = call.Cell
	return answer
}

// addJob adds the job and the terms of its queue to a submission. If rejected
// is true, the submission must be answered with answer instead.
func addJob(call *cellcodec.Call, queue *manifest.Queue, leaders Leaders, request jobapi.Request) (answer jobapi.Answer, rejected bool) {
	job, err := request.Job()
	if err == nil {
		err = job.Check()
	}
	if err == nil {
		err = cell.QueueTerms{Queue: queue.Name, Pool: queue.Pool}.Check()
	}
	if err != nil {
		failure := fault.From(err)
		return jobapi.Answer{Verdict: jobapi.BadRequest, FailureKind: failure.Kind, Detail: failure.Detail}, true
	}
	if queue.Advice != nil && !leaders.HasAdviceService() {
		return refusal(fault.NoWorker), true
	}
	call.Job = job
	call.Source = request.Source
	call.Terms = &cell.QueueTerms{
		Queue:           queue.Name,
		Pool:            queue.Pool,
		Priority:        queue.Priority,
		Attempts:        queue.Attempts,
		Stretch:         queue.Stretch,
		ObjectiveMillis: queue.Objective.Milliseconds(),
	}
	if advice := queue.Advice; advice != nil {
		call.Terms.Advice = &cell.AdviceLatency{
			DecisionMillis:  advice.Decision.Milliseconds(),
			PerWorkerMillis: advice.PerWorker.Milliseconds(),
		}
	}
	return jobapi.Answer{}, false
}

func refusal(kind fault.Kind) jobapi.Answer {
	return jobapi.Answer{Verdict: jobapi.NotRun, RetryAfter: minRetryAfter, FailureKind: kind}
}

// callLeader sends a call to the leader of its cell, and to the next leader if
// that one is lost. It stops after leaderWait, or at the deadline of ctx if the
// outcome of a change is in doubt by then. Every operation may be repeated,
// since a job is known by its identifier.
func callLeader(ctx context.Context, leaders Leaders, call cellcodec.Call) jobapi.Answer {
	inDoubt := false
	leaderTimer := time.NewTimer(leaderWait)
	defer leaderTimer.Stop()
	leaderWaitOver := false
	for ctx.Err() == nil {
		changed := leaders.Changed()
		call.InDoubt = inDoubt
		reply, sent := leaders.Call(ctx, call)
		if answer, final := answerFromReply(reply); final && !(inDoubt && answer.Verdict != jobapi.OK && answer.Verdict != jobapi.NotFound) {
			return answer
		}
		inDoubt = inDoubt || sent && reply.Result == cellcodec.InDoubt && call.Operation.ChangesState()
		if leaderWaitOver && !inDoubt {
			break
		}
		select {
		case <-changed:
		case <-leaderTimer.C:
			leaderWaitOver = true
		case <-time.After(leaderRetryPause):
		case <-ctx.Done():
		}
	}
	if inDoubt {
		return jobapi.Answer{Verdict: jobapi.Unknown, FailureKind: fault.PeerLost}
	}
	return refusal(fault.PeerUnreachable)
}

// leaderRetryPause is the pause between two attempts to reach a leader.
const leaderRetryPause = 50 * time.Millisecond

func answerFromReply(reply cellcodec.Reply) (answer jobapi.Answer, final bool) {
	switch reply.Result {
	case cellcodec.OK:
		return jobapi.Answer{Verdict: jobapi.OK, State: reply.State, Pending: reply.Pending}, true
	case cellcodec.NotFound:
		return jobapi.Answer{Verdict: jobapi.NotFound}, true
	case cellcodec.TooLarge:
		return jobapi.Answer{Verdict: jobapi.BadRequest, FailureKind: fault.TooLarge,
			Detail: fmt.Sprintf("the job has too many tasks for the memory of this deployment; the limit is %d tasks in all steps", reply.Limit)}, true
	case cellcodec.Refused:
		if reply.RetryAfterMillis > 0 {
			return overloaded(reply.RetryAfterMillis), true
		}
		return refusal(fault.LogUnavailable), true
	}
	return jobapi.Answer{}, false
}

// countPending returns the number of pending jobs of a queue, summed over all
// cells.
func countPending(ctx context.Context, leaders Leaders, cells int, queue string) jobapi.Answer {
	total := 0
	for cellNumber := range cells {
		answer := callLeader(ctx, leaders, cellcodec.Call{Operation: cellcodec.OpPending, Cell: cellNumber, Queue: queue})
		if answer.Verdict != jobapi.OK {
			return answer
		}
		total += answer.Pending
	}
	return jobapi.Answer{Verdict: jobapi.OK, Pending: total}
}
