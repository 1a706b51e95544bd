package serve

import (
	"context"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// RunForwarded answers a request that another instance forwarded. A repeated
// forward gets the answer to the first one, and a forward that Resolve has
// refused is never started.
func (e *Engine) RunForwarded(ctx context.Context, from ident.Incarnation, number uint64, request work.Request) work.Answer {
	record, first, err := e.forwards.register(e.Clock.Now(), from, number)
	if err != nil {
		return work.Refuse(request.ID, WithoutNotRunProof(request, err))
	}
	if record == nil {
		return forgottenAnswer(request.ID)
	}
	if !first {
		return record.waitAnswer(ctx, request.ID)
	}
	answer := e.runNewForward(ctx, request)
	e.forwards.recordAnswer(from, record, answer)
	return answer
}

// Resolve returns the outcome of a forward: its answer, an answer with outcome
// NotRun if the forward has not arrived and will never be started, or one with
// outcome Unknown.
func (e *Engine) Resolve(ctx context.Context, from ident.Incarnation, number uint64, request ident.RequestID) work.Answer {
	record := e.forwards.resolve(e.Clock.Now(), from, number, request)
	if record == nil {
		return forgottenAnswer(request)
	}
	return record.waitAnswer(ctx, request)
}

// waitAnswer waits for the answer of a forward.
func (f *forwardRecord) waitAnswer(ctx context.Context, id ident.RequestID) work.Answer {
	select {
	case <-f.done:
		return f.answer
	case <-ctx.Done():
		return work.Refuse(id, fault.New(fault.DeadlineExceeded, "request %s is still running", id))
	}
}

func forgottenAnswer(id ident.RequestID) work.Answer {
	return work.Refuse(id, fault.New(fault.PeerLost, "the outcome of request %s is no longer kept", id))
}

// runNewForward runs a forwarded request that has arrived for the first time:
// on the worker that the sender chose, or as the issuer of its token or the
// home of its key.
func (e *Engine) runNewForward(ctx context.Context, request work.Request) work.Answer {
	if request.Remaining <= 0 {
		return work.Refuse(request.ID, WithoutNotRunProof(request, fault.New(fault.DeadlineTooShort, "the forwarded request arrived with no time left before its deadline")))
	}
	s, err := e.loadSnapshot()
	if err != nil {
		return work.Refuse(request.ID, WithoutNotRunProof(request, err))
	}
	service, found := s.rules.Services[request.Service]
	if !found {
		return work.Refuse(request.ID, WithoutNotRunProof(request, fault.New(fault.UnknownService, "%q", request.Service)))
	}
	ctx, cancel := context.WithTimeout(ctx, request.Remaining)
	defer cancel()
	if request.Worker != "" {
		return e.runOnOwnedWorker(ctx, request, service, request.Worker)
	}
	return e.route(ctx, s, request, service)
}
