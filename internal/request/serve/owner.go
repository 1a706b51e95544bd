package serve

import (
	"context"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// Forwarded answers a request that another instance sent. A repeated forward
// gets the answer of the first, and a forward that Resolve has refused is never
// started.
func (e *Engine) Forwarded(ctx context.Context, from ident.Incarnation, number uint64, request work.Request) work.Answer {
	entry, first, err := e.recent.begin(e.Clock.Now(), from, number)
	if err != nil {
		return work.Refuse(request.ID, Unproven(request, err))
	}
	if entry == nil {
		return forgotten(request.ID)
	}
	if !first {
		return entry.wait(ctx, request.ID)
	}
	answer := e.receive(ctx, request)
	e.recent.finish(from, entry, answer)
	return answer
}

// Resolve says what became of a forward: its answer, NotRun for good, or
// Unknown.
func (e *Engine) Resolve(ctx context.Context, from ident.Incarnation, number uint64, request ident.RequestID) work.Answer {
	entry := e.recent.resolve(e.Clock.Now(), from, number, request)
	if entry == nil {
		return forgotten(request)
	}
	return entry.wait(ctx, request)
}

// wait returns the answer of a forward once there is one.
func (f *forwarded) wait(ctx context.Context, id ident.RequestID) work.Answer {
	select {
	case <-f.done:
		return f.answer
	case <-ctx.Done():
		return work.Refuse(id, fault.New(fault.DeadlineExceeded, "request %s still runs", id))
	}
}

func forgotten(id ident.RequestID) work.Answer {
	return work.Refuse(id, fault.New(fault.PeerLost, "the outcome of request %s is forgotten", id))
}

// receive runs a forwarded request: on the worker that the front chose, or as
// issuer of its token or home of its key.
func (e *Engine) receive(ctx context.Context, request work.Request) work.Answer {
	if request.Remaining <= 0 {
		return work.Refuse(request.ID, Unproven(request, fault.New(fault.DeadlineTooShort, "no time left")))
	}
	s, err := e.load()
	if err != nil {
		return work.Refuse(request.ID, Unproven(request, err))
	}
	service, found := s.rules.Services[request.Service]
	if !found {
		return work.Refuse(request.ID, Unproven(request, fault.New(fault.UnknownService, "%q", request.Service)))
	}
	ctx, cancel := context.WithTimeout(ctx, request.Remaining)
	defer cancel()
	if request.Worker != "" {
		return e.runHere(ctx, request, service, request.Worker)
	}
	return e.route(ctx, s, request, service)
}
