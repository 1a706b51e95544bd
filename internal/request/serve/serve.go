// Package serve takes one urgent request from its arrival to its answer.
//
// Each request gets exactly one answer. The answer says NotRun only if no start
// left the process for a worker that may have accepted it.
package serve

import (
	"context"
	"time"

	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/placement"
	"poplarvalve/internal/request/start"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/ownership"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
)

// Peers sends messages to other instances.
type Peers interface {
	// Forward runs a request at another instance. An error of outcome NotRun
	// guarantees that the request has not reached the instance.
	Forward(ctx context.Context, to membership.Member, request work.Request) (work.Answer, error)
}

// Engine serves urgent requests. Its fields are set once, before use.
type Engine struct {
	Self  ident.Incarnation
	Place workers.Place
	Clock clock.Clock
	Start *start.Runner
	Peers Peers

	Rules     *publish.Cell[rules.Set]
	Workers   *publish.Cell[workers.View]
	Ownership *publish.Cell[ownership.Table]

	// DefaultDeadline applies when neither request nor service states one.
	DefaultDeadline time.Duration
}

// snapshot is the set of versions that one request uses to its end.
type snapshot struct {
	rules     *rules.Set
	workers   *workers.View
	ownership *ownership.Table
}

func (e *Engine) load() (snapshot, error) {
	s := snapshot{
		rules:     e.Rules.Load(),
		workers:   e.Workers.Load(),
		ownership: e.Ownership.Load(),
	}
	if s.rules == nil {
		return s, fault.New(fault.NoConfiguration, "no rules are known yet")
	}
	if s.workers == nil || s.ownership == nil {
		return s, fault.New(fault.NoWorker, "no workers are known yet")
	}
	return s, nil
}

// Serve answers a caller's request.
func (e *Engine) Serve(ctx context.Context, request work.Request) work.Answer {
	s, err := e.load()
	if err != nil {
		return work.Refuse(request.ID, err)
	}
	service, found := s.rules.Services[request.Service]
	if !found {
		return work.Refuse(request.ID, fault.New(fault.UnknownService, "%q", request.Service))
	}
	ctx, cancel := context.WithTimeout(ctx, e.deadline(request, service))
	defer cancel()
	return e.place(ctx, s, request, service)
}

func (e *Engine) deadline(request work.Request, service rules.Service) time.Duration {
	if request.Remaining > 0 {
		return request.Remaining
	}
	if service.Deadline > 0 {
		return service.Deadline
	}
	return e.DefaultDeadline
}

// place tries the ranked workers until one has run the request or may have.
func (e *Engine) place(ctx context.Context, s snapshot, request work.Request, service rules.Service) work.Answer {
	plan := placement.Rank(s.workers, s.rules, placement.Demand{
		Resources: service.Demand,
		From:      e.Place,
	})
	if plan.Count == 0 {
		return work.Refuse(request.ID, noCandidate(plan))
	}
	var last work.Answer
	for _, candidate := range plan.Candidates[:plan.Count] {
		last = e.attempt(ctx, s, request, service, candidate)
		if last.Outcome != fault.NotRun {
			return last
		}
		if ctx.Err() != nil {
			return last
		}
	}
	return last
}

// noCandidate explains an empty plan.
func noCandidate(plan placement.Plan) error {
	switch {
	case plan.Known == 0:
		return fault.New(fault.NoWorker, "no worker is known")
	case plan.LargeEnough == 0:
		return fault.New(fault.NeverFits, "none of %d workers is large enough", plan.Known)
	default:
		return fault.New(fault.NoCapacity, "none of %d workers has room", plan.Known)
	}
}

// attempt runs the request at the owner of one candidate.
func (e *Engine) attempt(ctx context.Context, s snapshot, request work.Request, service rules.Service, candidate placement.Candidate) work.Answer {
	owner, found := s.ownership.Owner(candidate.Worker, candidate.Zone, candidate.Region)
	if !found {
		return work.Refuse(request.ID, fault.New(fault.NotOwner, "worker %s has no owner", candidate.Worker))
	}
	if owner.ID == e.Self {
		return e.runHere(ctx, request, service, candidate.Worker)
	}
	request.Worker = candidate.Worker
	request.Hops++
	answer, err := e.Peers.Forward(ctx, owner, request)
	if err != nil {
		return work.Refuse(request.ID, err)
	}
	return answer
}

// Forwarded answers a request that another instance sent to this owner.
func (e *Engine) Forwarded(ctx context.Context, request work.Request) work.Answer {
	s, err := e.load()
	if err != nil {
		return work.Refuse(request.ID, err)
	}
	service, found := s.rules.Services[request.Service]
	if !found {
		return work.Refuse(request.ID, fault.New(fault.UnknownService, "%q", request.Service))
	}
	ctx, cancel := context.WithTimeout(ctx, request.Remaining)
	defer cancel()
	return e.runHere(ctx, request, service, request.Worker)
}

// runHere starts the request on a worker that this instance owns.
func (e *Engine) runHere(ctx context.Context, request work.Request, service rules.Service, worker ident.WorkerID) work.Answer {
	report, err := e.Start.Call(ctx, start.Task{
		ID:      ident.TaskID(request.ID),
		Worker:  worker,
		Service: service.Name,
		Class:   service.Class,
		Body:    request.Body,
		Demand:  service.Demand,
	})
	if err != nil {
		return work.Refuse(request.ID, err)
	}
	if report.State == work.TaskErrored {
		failure := fault.New(fault.TaskFailed, "service %s", service.Name)
		return work.Answer{Request: request.ID, Outcome: fault.Ran, Body: report.Result, Failure: failure}
	}
	return work.Answer{Request: request.ID, Outcome: fault.Ran, Body: report.Result}
}
