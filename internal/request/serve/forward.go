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
	// maxHops bounds the forwards of one request: front to issuer or home, and
	// from there to the owner.
	maxHops = 2
	// minResolvePause and maxResolvePause bound the time between two attempts
	// to settle a lost forward.
	minResolvePause = 20 * time.Millisecond
	maxResolvePause = 500 * time.Millisecond
	// idempotentResolves is how often the forward of an idempotent request is
	// asked for before another worker may be tried.
	idempotentResolves = 3
)

// forward runs a request at another instance. A lost forward is settled before
// anything else is tried; tries bounds the attempts, and zero means until the
// deadline.
func (e *Engine) forward(ctx context.Context, to membership.Member, request work.Request, tries int) work.Answer {
	if request.Hops >= maxHops {
		return work.Refuse(request.ID, Unproven(request, fault.New(fault.NotOwner, "request %s after %d hops", request.ID, request.Hops)))
	}
	request.Hops++
	number := e.numbers.Add(1)
	answer, err := e.Peers.Forward(ctx, to, number, request)
	if err == nil {
		return complete(answer)
	}
	failure := fault.From(err)
	if failure.Outcome == fault.NotRun {
		return work.Refuse(request.ID, Unproven(request, failure))
	}
	return e.settle(ctx, to, number, request, failure, tries)
}

// settle asks the receiver of a lost forward what became of it. Without a reply
// the answer is Unknown.
func (e *Engine) settle(ctx context.Context, to membership.Member, number uint64, request work.Request, lost *fault.Failure, tries int) work.Answer {
	wait := minResolvePause
	for try := 1; ctx.Err() == nil; try++ {
		answer, err := e.Peers.Resolve(ctx, to, number, request.ID)
		if err == nil && answer.Failure != nil && answer.Failure.Kind == fault.Resolved {
			return work.Refuse(request.ID, Unproven(request, answer.Failure))
		}
		if err == nil {
			return complete(answer)
		}
		if try == tries {
			break
		}
		e.pause(ctx, wait)
		wait = min(2*wait, maxResolvePause)
	}
	return work.Refuse(request.ID, lost.WithOutcome(fault.Unknown))
}

// complete gives an answer without success the failure that it must have.
func complete(answer work.Answer) work.Answer {
	if answer.Outcome == fault.Ran || answer.Failure != nil {
		return answer
	}
	return work.Refuse(answer.Request, fault.New(fault.Malformed, "answer without a failure"))
}

// pause waits without holding a thread.
func (e *Engine) pause(ctx context.Context, wait time.Duration) {
	timer := e.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// ended returns the failure of a context that is over.
func ended(ctx context.Context) *fault.Failure {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.DeadlineExceeded, "before the next attempt")
	}
	return fault.New(fault.Canceled, "before the next attempt")
}
