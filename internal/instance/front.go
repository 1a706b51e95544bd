package instance

import (
	"context"
	"io"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/serve"
)

// frontEnd passes the requests of callers to the current incarnation and counts
// them, so that a drain waits for them to end. It implements caller.Engine and
// caller.Jobs.
type frontEnd struct {
	instance *Instance
}

// beginRequest returns the current incarnation and counts a request in flight
// until done is called. It fails with Draining during a drain, and with Fenced
// before the first incarnation is a member.
func (f frontEnd) beginRequest() (current *incarnation, done func(), err error) {
	done, ok := f.instance.drainGate.Begin()
	if !ok {
		return nil, nil, fault.New(fault.Draining, "instance %s is shutting down and accepts no new requests", f.instance.options.Name)
	}
	current = f.instance.currentIncarnation.Load()
	if current == nil {
		done()
		return nil, nil, fault.New(fault.Fenced, "instance %s has not joined the membership yet", f.instance.options.Name)
	}
	return current, done, nil
}

// Serve runs one request and records its metrics. It implements caller.Engine.
func (f frontEnd) Serve(ctx context.Context, request work.Request) work.Answer {
	current, done, err := f.beginRequest()
	if err != nil {
		return work.Refuse(request.ID, serve.WithoutNotRunProof(request, err))
	}
	defer done()
	return f.instance.serveMeasured(request, func() work.Answer { return current.engine.Serve(ctx, request) })
}

// IssueTokens returns up to count new request tokens, and none while the
// instance drains or is not a member. It implements caller.Engine.
func (f frontEnd) IssueTokens(count int) []string {
	current, done, err := f.beginRequest()
	if err != nil {
		return nil
	}
	defer done()
	return current.engine.IssueTokens(count)
}

// RecordedAnswer returns the recorded answer for a key or token of a caller, or
// NotFound. It implements caller.Engine.
func (f frontEnd) RecordedAnswer(ctx context.Context, caller ident.CallerName, key string) (work.Answer, error) {
	current, done, err := f.beginRequest()
	if err != nil {
		return work.Answer{}, fault.From(err).WithOutcome(fault.Unknown)
	}
	defer done()
	return current.engine.RecordedAnswer(ctx, caller, key)
}

// Feed opens a feed at a position. A feed has no natural end that a drain could
// wait for, so a drain closes it, and the caller resumes it from its position
// through another instance. Feed implements caller.Engine.
func (f frontEnd) Feed(ctx context.Context, feed string, from uint64) (io.ReadCloser, error) {
	current, done, err := f.beginRequest()
	if err != nil {
		return nil, err
	}
	defer done()
	stream, err := current.engine.Feed(ctx, feed, from)
	if err != nil {
		return nil, err
	}
	stopDrainHook := context.AfterFunc(f.instance.drainContext, func() { _ = stream.Close() })
	return drainableFeed{ReadCloser: stream, stopDrainHook: stopDrainHook}, nil
}

// drainableFeed is a feed that is closed when a drain ends.
type drainableFeed struct {
	io.ReadCloser
	stopDrainHook func() bool
}

// Close closes the feed and removes the function that would close it after a
// drain. It implements io.Closer.
func (s drainableFeed) Close() error {
	s.stopDrainHook()
	return s.ReadCloser.Close()
}
