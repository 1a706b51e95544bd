package instance

import (
	"context"
	"io"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/serve"
)

// front serves callers by the current incarnation and counts their requests, so
// that a drain waits for them. It implements caller.Engine and caller.Jobs.
type front struct {
	process *Instance
}

// begin returns the current incarnation, which is counted as used until done.
func (f front) begin() (current *incarnation, done func(), err error) {
	done, ok := f.process.gate.Begin()
	if !ok {
		return nil, nil, fault.New(fault.Draining, "instance %s", f.process.options.Name)
	}
	current = f.process.current.Load()
	if current == nil {
		done()
		return nil, nil, fault.New(fault.Fenced, "instance %s is not a member yet", f.process.options.Name)
	}
	return current, done, nil
}

// Serve implements caller.Engine.
func (f front) Serve(ctx context.Context, request work.Request) work.Answer {
	current, done, err := f.begin()
	if err != nil {
		return work.Refuse(request.ID, serve.Unproven(request, err))
	}
	defer done()
	return f.process.measured(request, func() work.Answer { return current.engine.Serve(ctx, request) })
}

// Issue implements caller.Engine.
func (f front) Issue(count int) []string {
	current, done, err := f.begin()
	if err != nil {
		return nil
	}
	defer done()
	return current.engine.Issue(count)
}

// Recorded implements caller.Engine.
func (f front) Recorded(ctx context.Context, caller ident.CallerName, key string) (work.Answer, error) {
	current, done, err := f.begin()
	if err != nil {
		return work.Answer{}, fault.From(err).WithOutcome(fault.Unknown)
	}
	defer done()
	return current.engine.Recorded(ctx, caller, key)
}

// Feed implements caller.Engine. A feed has no end that a drain could wait for,
// so a drain ends it; the caller resumes it elsewhere from its position.
func (f front) Feed(ctx context.Context, feed string, from uint64) (io.ReadCloser, error) {
	current, done, err := f.begin()
	if err != nil {
		return nil, err
	}
	defer done()
	stream, err := current.engine.Feed(ctx, feed, from)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(f.process.draining, func() { _ = stream.Close() })
	return feedStream{ReadCloser: stream, stop: stop}, nil
}

// feedStream is a feed that a drain closes.
type feedStream struct {
	io.ReadCloser
	stop func() bool
}

// Close implements io.Closer.
func (s feedStream) Close() error {
	s.stop()
	return s.ReadCloser.Close()
}
