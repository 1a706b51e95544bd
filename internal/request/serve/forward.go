package serve

import (
	"context"
	"errors"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/membership"
)

const (
	// maxHops bounds the forwards of one request: one from the instance that
	// received it to the issuer of its token or the home of its key, and one
	// from there to the owner of the worker.
	maxHops = 2
	// minQueryInterval and maxQueryInterval bound the time between two queries
	// about a lost forward.
	minQueryInterval = 20 * time.Millisecond
	maxQueryInterval = 500 * time.Millisecond
	// maxIdempotentQueries is how often the receiver of a lost forward of an
	// idempotent request is queried before another worker may be tried.
	maxIdempotentQueries = 3
)

// forward runs a request at another instance. If the forward is lost, it
// queries the receiver before anything else is tried. maxQueries bounds these
// queries; zero means that they are repeated until the deadline.
func (e *Engine) forward(ctx context.Context, to membership.Member, request work.Request, maxQueries int) work.Answer {
	if request.Hops >= maxHops {
		return work.Refuse(request.ID, WithoutNotRunProof(request, fault.New(fault.NotOwner, "request %s was already forwarded %d times, so it is not forwarded again", request.ID, request.Hops)))
	}
	request.Hops++
	number := e.lastForward.Add(1)
	answer, err := e.Peers.Forward(ctx, to, number, request)
	if err == nil {
		return ensureFailure(answer)
	}
	failure := fault.From(err)
	if failure.Outcome == fault.NotRun {
		return work.Refuse(request.ID, WithoutNotRunProof(request, failure))
	}
	return e.resolveForward(ctx, to, number, request, failure, maxQueries)
}

// resolveForward queries the receiver of a lost forward for its outcome. If
// there is no reply, the outcome of the answer is Unknown.
func (e *Engine) resolveForward(ctx context.Context, to membership.Member, number uint64, request work.Request, lost *fault.Failure, maxQueries int) work.Answer {
	interval := minQueryInterval
	for query := 1; ctx.Err() == nil; query++ {
		answer, err := e.Peers.Resolve(ctx, to, number, request.ID)
		if err == nil && answer.Failure != nil && answer.Failure.Kind == fault.ResolvedNotRun {
			return work.Refuse(request.ID, WithoutNotRunProof(request, answer.Failure))
		}
		if err == nil {
			return ensureFailure(answer)
		}
		if query == maxQueries {
			break
		}
		e.sleep(ctx, interval)
		interval = min(2*interval, maxQueryInterval)
	}
	return work.Refuse(request.ID, lost.WithOutcome(fault.Unknown))
}

// ensureFailure returns the answer unchanged if its request ran or it has a
// failure. Otherwise it returns a Malformed failure.
func ensureFailure(answer work.Answer) work.Answer {
	if answer.Outcome == fault.Ran || answer.Failure != nil {
		return answer
	}
	return work.Refuse(answer.Request, fault.New(fault.Malformed, "answer without a failure although its outcome is not that the request ran"))
}

// sleep waits until the duration is over or ctx ends. It blocks only the
// goroutine, not a thread.
func (e *Engine) sleep(ctx context.Context, duration time.Duration) {
	timer := e.Clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// contextFailure returns DeadlineExceeded or Canceled, depending on why ctx
// ended.
func contextFailure(ctx context.Context) *fault.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.DeadlineExceeded, "the deadline passed before the next attempt was sent")
	}
	return fault.New(fault.Canceled, "the request was canceled before the next attempt was sent")
}
