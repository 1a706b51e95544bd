package serve

import (
	"context"
	"io"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/placement"
)

// Feed opens a continuous feed that begins after position from. It uses the
// first ranked worker that serves the feed. The stream ends only when the
// worker or ctx ends it.
func (e *Engine) Feed(ctx context.Context, feed string, from uint64) (io.ReadCloser, error) {
	s, err := e.loadSnapshot()
	if err != nil {
		return nil, err
	}
	service, found := s.rules.Services[ident.ServiceName(feed)]
	if !found || service.Class != work.Feed || e.Feeds == nil {
		return nil, fault.New(fault.NotFound, "feed %q", feed)
	}
	plan := placement.Rank(s.workers, s.rules, placement.Demand{Resources: service.Demand, From: e.Origin})
	lastErr := noCandidateError(plan)
	for _, candidate := range plan.Candidates[:plan.Count] {
		stream, err := e.Feeds.Open(ctx, candidate.Worker, feed, from)
		if err == nil {
			return stream, nil
		}
		lastErr = err
	}
	return nil, lastErr
}
