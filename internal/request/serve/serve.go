// Package serve takes one urgent request from its arrival to its answer.
//
// Each request gets exactly one answer. The answer says NotRun only if no start
// left the process for a worker that may have accepted it.
package serve

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/token"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/placement"
	"poplarvalve/internal/request/start"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/ownership"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
)

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

	// Members is needed for tokens of other issuers.
	Members *publish.Cell[membership.State]
	// Tokens and Results serve the tokens of this incarnation. Without them
	// requests with tokens are refused.
	Tokens  *token.Issuer
	Results *token.Table
	// Admission, Retry, Outcomes, Intents and Feeds may be nil: everything is
	// admitted, only attempts that did not run are followed by another, nothing
	// is recorded, keys are refused, no feed is known.
	Admission Admission
	Retry     Retry
	Outcomes  Outcomes
	Intents   Intents
	Feeds     Feeds
	// Hedging may be nil: then an idempotent request has one attempt at a time.
	Hedging Hedging
	// Times may be nil: then the times of requests are not measured.
	Times Times
	// Elsewhere may be nil: then only workers of the view are used.
	Elsewhere Elsewhere
	// Shards is the number of shards of keys; zero means DefaultShards.
	Shards int

	// DefaultDeadline applies when neither request nor service states one.
	DefaultDeadline time.Duration

	// numbers counts the forwards of this incarnation.
	numbers atomic.Uint64
	recent  recent
}

// snapshot is the set of versions that one request uses to its end.
type snapshot struct {
	rules     *rules.Set
	workers   *workers.View
	ownership *ownership.Table
	members   *membership.State
}

func (e *Engine) load() (snapshot, error) {
	s := snapshot{
		rules:     e.Rules.Load(),
		workers:   e.Workers.Load(),
		ownership: e.Ownership.Load(),
	}
	if e.Members != nil {
		s.members = e.Members.Load()
	}
	if s.rules == nil {
		return s, fault.New(fault.NoConfiguration, "no rules are known yet")
	}
	if s.workers == nil || s.ownership == nil {
		return s, fault.New(fault.NoWorker, "no workers are known yet")
	}
	return s, nil
}

// Serve answers a caller's request. A request that carried a token gets a fresh
// one with its answer.
func (e *Engine) Serve(ctx context.Context, request work.Request) work.Answer {
	answer := e.serve(ctx, request)
	answer.Request = request.ID
	if request.Token == "" {
		return answer
	}
	for _, fresh := range e.Issue(1) {
		answer.Token = fresh
	}
	return answer
}

func (e *Engine) serve(ctx context.Context, request work.Request) work.Answer {
	s, err := e.load()
	if err != nil {
		return work.Refuse(request.ID, Unproven(request, err))
	}
	service, found := s.rules.Services[request.Service]
	if !found {
		return work.Refuse(request.ID, Unproven(request, fault.New(fault.UnknownService, "%q", request.Service)))
	}
	request.Remaining = e.deadline(request, service)
	ctx, cancel := context.WithTimeout(ctx, request.Remaining)
	defer cancel()
	return e.route(ctx, s, request, service)
}

// route chooses who may run the request: anyone, the issuer of its token, or
// the home of its key.
func (e *Engine) route(ctx context.Context, s snapshot, request work.Request, service rules.Service) work.Answer {
	switch {
	case service.Idempotent:
		return e.admitted(ctx, s, request, service)
	case request.Token != "":
		if e.Tokens == nil {
			return work.Refuse(request.ID, Unproven(request, fault.New(fault.NoConfiguration, "no tokens are issued here")))
		}
		return e.byToken(ctx, s, request, service)
	case request.Key != "":
		return e.byKey(ctx, s, request, service)
	default:
		return work.Refuse(request.ID, fault.New(fault.KeyRequired, "service %s is not idempotent", service.Name))
	}
}

// admitted places the request if admission lets it begin.
func (e *Engine) admitted(ctx context.Context, s snapshot, request work.Request, service rules.Service) work.Answer {
	if e.Admission == nil {
		return e.place(ctx, s, request, service)
	}
	began := e.Clock.Now()
	request.Remaining = left(ctx, request, began)
	release, err := e.Admission.Admit(request, service, began)
	if err != nil {
		return work.Refuse(request.ID, err)
	}
	defer release()
	answer := e.place(ctx, s, request, service)
	if e.Times != nil && answer.Outcome == fault.Ran {
		now := e.Clock.Now()
		e.Times.Observe(service.Name, now.Sub(began), now)
	}
	return answer
}

// left returns the time to the deadline of ctx, which is shorter than that of
// the request when waiting for an intent or an earlier attempt has used some.
func left(ctx context.Context, request work.Request, now time.Time) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return request.Remaining
	}
	return deadline.Sub(now)
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

// place tries the ranked workers until one has run the request.
func (e *Engine) place(ctx context.Context, s snapshot, request work.Request, service rules.Service) work.Answer {
	plan := placement.Rank(s.workers, s.rules, placement.Demand{
		Resources: service.Demand,
		From:      e.Place,
		Spread:    spreadOf(request.ID),
	})
	candidates := plan.Candidates[:plan.Count]
	if plan.Count == 0 && plan.LargeEnough > 0 && e.Elsewhere != nil {
		candidates = e.Elsewhere.Candidates(ctx, service.Demand)
	}
	if len(candidates) == 0 {
		return work.Refuse(request.ID, noCandidate(plan))
	}
	answer := e.tryAll(ctx, s, request, service, candidates)
	if plan.Count == 0 || e.Elsewhere == nil || !unserved(answer) {
		return answer
	}
	further := e.Elsewhere.Candidates(ctx, service.Demand)
	if len(further) == 0 {
		return answer
	}
	request.ID += elsewhereSuffix
	return e.tryAll(ctx, s, request, service, further)
}

// elsewhereSuffix keeps the attempts in other zones apart from those before.
const elsewhereSuffix = "/elsewhere"

// tryAll tries the candidates until one has run the request.
func (e *Engine) tryAll(ctx context.Context, s snapshot, request work.Request, service rules.Service, candidates []placement.Candidate) work.Answer {
	if service.Idempotent {
		return e.race(ctx, s, request, service, candidates)
	}
	return e.inTurn(ctx, s, request, service, candidates)
}

// unserved reports whether an answer says that no worker of the zone could take
// the request, for example because the instance that owned them has died.
func unserved(answer work.Answer) bool {
	if answer.Outcome != fault.NotRun || answer.Failure == nil {
		return false
	}
	switch answer.Failure.Kind {
	case fault.PeerUnreachable, fault.NotOwner, fault.OwnerNotReady, fault.NoCapacity, fault.WorkerUnreachable:
		return true
	default:
		return false
	}
}

// spreadOf hashes an identifier, so that instances with the same view don't send
// all requests to the same worker.
func spreadOf(id ident.RequestID) uint64 {
	return xxhash.Sum64String(string(id))
}

// inTurn tries the candidates one after the other, for a request that is not
// idempotent: it ends with the first attempt that may have run.
func (e *Engine) inTurn(ctx context.Context, s snapshot, request work.Request, service rules.Service, candidates []placement.Candidate) work.Answer {
	var last work.Answer
	for tried, candidate := range candidates {
		if tried > 0 && !e.again(ctx, request, tried, last) {
			break
		}
		last = e.attempt(ctx, s, attemptOf(request, tried), service, candidate)
		if last.Outcome != fault.NotRun {
			return last
		}
	}
	return last
}

// attemptOf gives each attempt an identifier of its own, so that an attempt
// whose outcome is unknown never shares its task with the next.
func attemptOf(request work.Request, tried int) work.Request {
	if tried > 0 {
		request.ID = ident.RequestID(fmt.Sprintf("%s/%d", request.ID, tried+1))
	}
	return request
}

// again reports whether another worker is tried after a failed attempt, and
// waits as long as the retry decision asks.
func (e *Engine) again(ctx context.Context, request work.Request, tried int, last work.Answer) bool {
	wait, allowed := e.retryAfter(ctx, request, tried, last)
	if !allowed {
		return false
	}
	if wait > 0 {
		e.pause(ctx, wait)
	}
	return ctx.Err() == nil
}

// retryAfter returns how long to wait before another worker is tried after a
// failed attempt, and false if none is.
func (e *Engine) retryAfter(ctx context.Context, request work.Request, tried int, last work.Answer) (wait time.Duration, allowed bool) {
	if ctx.Err() != nil {
		return 0, false
	}
	if e.Retry == nil {
		return 0, last.Outcome == fault.NotRun
	}
	now := e.Clock.Now()
	request.Remaining = left(ctx, request, now)
	return e.Retry.Allow(request, tried, last.Failure, now)
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
	tries := 0
	if service.Idempotent {
		tries = idempotentResolves
	}
	return e.forward(ctx, owner, request, tries)
}

// runHere starts the request on a worker that this instance owns.
func (e *Engine) runHere(ctx context.Context, request work.Request, service rules.Service, worker ident.WorkerID) work.Answer {
	if ctx.Err() != nil {
		return work.Refuse(request.ID, ended(ctx).WithOutcome(fault.NotRun))
	}
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
