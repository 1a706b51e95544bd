// Package serve handles one urgent request from its arrival to its answer: it
// finds the instance that may run the request, places it on workers, and
// retries, hedges or forwards it.
//
// Each request gets exactly one answer. The answer has outcome NotRun only if
// no start command was sent to a worker that may have accepted it.
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

// Engine serves urgent requests. Its exported fields are set once, before use.
type Engine struct {
	Self   ident.Incarnation
	Origin workers.Origin
	Clock  clock.Clock
	Runner *start.Runner
	Peers  Peers

	Rules     *publish.Value[rules.Set]
	Workers   *publish.Value[workers.View]
	Ownership *publish.Value[ownership.Table]

	// Members is needed for tokens that other incarnations issued.
	Members *publish.Value[membership.State]
	// Tokens and Results issue and check the tokens of this incarnation and
	// hold the answers to them. If they are nil, requests with tokens are
	// refused.
	Tokens  *token.Issuer
	Results *token.Table
	// Admission, Retry, Outcomes, KeyGrants and Feeds may be nil. Without
	// Admission every request is admitted. Without Retry only an attempt with
	// outcome NotRun is followed by another attempt. Without Outcomes no
	// outcome is recorded. Without KeyGrants requests with keys are refused.
	// Without Feeds no feed is known.
	Admission Admission
	Retry     Retry
	Outcomes  Outcomes
	KeyGrants KeyGrants
	Feeds     Feeds
	// Hedging may be nil: then an idempotent request has only one attempt at a
	// time.
	Hedging Hedging
	// DurationObserver may be nil: then the durations of requests are not
	// measured.
	DurationObserver DurationObserver
	// OtherZones may be nil: then only the workers in Workers are used.
	OtherZones OtherZones
	// Shards is the number of shards into which keys are divided. Zero means
	// DefaultShards.
	Shards int

	// DefaultDeadline is the time limit of a request if neither the request
	// nor its service states one.
	DefaultDeadline time.Duration

	// lastForward is the number of the last forward that this incarnation
	// sent.
	lastForward atomic.Uint64
	forwards    forwardTable
}

// snapshot is the set of versions that one request uses until it ends.
type snapshot struct {
	rules     *rules.Set
	workers   *workers.View
	ownership *ownership.Table
	members   *membership.State
}

func (e *Engine) loadSnapshot() (snapshot, error) {
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

// Serve answers a caller's request. If the request carried a token, the answer
// carries a new one.
func (e *Engine) Serve(ctx context.Context, request work.Request) work.Answer {
	answer := e.serve(ctx, request)
	answer.Request = request.ID
	if request.Token == "" {
		return answer
	}
	for _, fresh := range e.IssueTokens(1) {
		answer.Token = fresh
	}
	return answer
}

func (e *Engine) serve(ctx context.Context, request work.Request) work.Answer {
	s, err := e.loadSnapshot()
	if err != nil {
		return work.Refuse(request.ID, WithoutNotRunProof(request, err))
	}
	service, found := s.rules.Services[request.Service]
	if !found {
		return work.Refuse(request.ID, WithoutNotRunProof(request, fault.New(fault.UnknownService, "%q", request.Service)))
	}
	request.Remaining = e.timeLimit(request, service)
	ctx, cancel := context.WithTimeout(ctx, request.Remaining)
	defer cancel()
	return e.route(ctx, s, request, service)
}

// route selects who may run the request: any instance for an idempotent
// service, otherwise the issuer of its token or the home of its key.
func (e *Engine) route(ctx context.Context, s snapshot, request work.Request, service rules.Service) work.Answer {
	switch {
	case service.Idempotent:
		return e.admitAndRun(ctx, s, request, service)
	case request.Token != "":
		if e.Tokens == nil {
			return work.Refuse(request.ID, WithoutNotRunProof(request, fault.New(fault.NoConfiguration, "no tokens are issued here")))
		}
		return e.serveToken(ctx, s, request, service)
	case request.Key != "":
		return e.serveKey(ctx, s, request, service)
	default:
		return work.Refuse(request.ID, fault.New(fault.KeyRequired, "service %s is not idempotent: its requests need an idempotency key or a token", service.Name))
	}
}

// admitAndRun runs the request if Admission admits it.
func (e *Engine) admitAndRun(ctx context.Context, s snapshot, request work.Request, service rules.Service) work.Answer {
	if e.Admission == nil {
		return e.runOnRankedWorkers(ctx, s, request, service)
	}
	startedAt := e.Clock.Now()
	request.Remaining = timeLeft(ctx, request, startedAt)
	release, err := e.Admission.Admit(request, service, startedAt)
	if err != nil {
		return work.Refuse(request.ID, err)
	}
	defer release()
	answer := e.runOnRankedWorkers(ctx, s, request, service)
	if e.DurationObserver != nil && answer.Outcome == fault.Ran {
		now := e.Clock.Now()
		e.DurationObserver.Observe(service.Name, now.Sub(startedAt), now)
	}
	return answer
}

// timeLeft returns the time until the deadline of ctx. This is less than
// request.Remaining if waiting for an intent or an earlier attempt has used
// some of it.
func timeLeft(ctx context.Context, request work.Request, now time.Time) time.Duration {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return request.Remaining
	}
	return deadline.Sub(now)
}

func (e *Engine) timeLimit(request work.Request, service rules.Service) time.Duration {
	if request.Remaining > 0 {
		return request.Remaining
	}
	if service.Deadline > 0 {
		return service.Deadline
	}
	return e.DefaultDeadline
}

// runOnRankedWorkers tries the ranked workers until one has run the request.
// If no worker of the view can take the request, it tries workers in other
// zones.
func (e *Engine) runOnRankedWorkers(ctx context.Context, s snapshot, request work.Request, service rules.Service) work.Answer {
	plan := placement.Rank(s.workers, s.rules, placement.Demand{
		Resources:  service.Demand,
		From:       e.Origin,
		SpreadSeed: spreadHash(request.ID),
	})
	candidates := plan.Candidates[:plan.Count]
	if plan.Count == 0 && plan.LargeEnough > 0 && e.OtherZones != nil {
		candidates = e.OtherZones.Candidates(ctx, service.Demand)
	}
	if len(candidates) == 0 {
		return work.Refuse(request.ID, noCandidateError(plan))
	}
	answer := e.tryCandidates(ctx, s, request, service, candidates)
	if plan.Count == 0 || e.OtherZones == nil || !noWorkerAvailable(answer) {
		return answer
	}
	otherZones := e.OtherZones.Candidates(ctx, service.Demand)
	if len(otherZones) == 0 {
		return answer
	}
	request.ID += otherZonesSuffix
	return e.tryCandidates(ctx, s, request, service, otherZones)
}

// otherZonesSuffix distinguishes the identifiers of attempts in other zones
// from those of the earlier attempts in this zone.
const otherZonesSuffix = "/elsewhere"

// tryCandidates tries the candidates until one has run the request.
func (e *Engine) tryCandidates(ctx context.Context, s snapshot, request work.Request, service rules.Service, candidates []placement.Candidate) work.Answer {
	if service.Idempotent {
		return e.tryHedged(ctx, s, request, service, candidates)
	}
	return e.trySequentially(ctx, s, request, service, candidates)
}

// noWorkerAvailable reports whether an answer says that no worker of the zone
// could take the request, for example because the instance that owned them has
// failed.
func noWorkerAvailable(answer work.Answer) bool {
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

// spreadHash returns a hash of a request identifier, so that instances with the
// same view do not send all requests to the same worker.
func spreadHash(id ident.RequestID) uint64 {
	return xxhash.Sum64String(string(id))
}

// trySequentially tries the candidates one after the other. It is used for
// requests that are not idempotent and ends with the first attempt that may
// have run.
func (e *Engine) trySequentially(ctx context.Context, s snapshot, request work.Request, service rules.Service, candidates []placement.Candidate) work.Answer {
	var last work.Answer
	for tried, candidate := range candidates {
		if tried > 0 && !e.waitForRetry(ctx, request, tried, last) {
			break
		}
		last = e.runAttempt(ctx, s, withAttemptID(request, tried), service, candidate)
		if last.Outcome != fault.NotRun {
			return last
		}
	}
	return last
}

// withAttemptID gives each attempt an identifier of its own, so that an
// attempt whose outcome is unknown never shares its task with the next one.
func withAttemptID(request work.Request, tried int) work.Request {
	if tried > 0 {
		request.ID = ident.RequestID(fmt.Sprintf("%s/%d", request.ID, tried+1))
	}
	return request
}

// waitForRetry reports whether another worker is tried after a failed attempt.
// It first waits for the delay that Retry requires.
func (e *Engine) waitForRetry(ctx context.Context, request work.Request, tried int, last work.Answer) bool {
	wait, allowed := e.retryDelay(ctx, request, tried, last)
	if !allowed {
		return false
	}
	if wait > 0 {
		e.sleep(ctx, wait)
	}
	return ctx.Err() == nil
}

// retryDelay returns how long to wait before another worker is tried after a
// failed attempt. It returns false if none is to be tried.
func (e *Engine) retryDelay(ctx context.Context, request work.Request, tried int, last work.Answer) (wait time.Duration, allowed bool) {
	if ctx.Err() != nil {
		return 0, false
	}
	if e.Retry == nil {
		return 0, last.Outcome == fault.NotRun
	}
	now := e.Clock.Now()
	request.Remaining = timeLeft(ctx, request, now)
	return e.Retry.Allow(request, tried, last.Failure, now)
}

// noCandidateError returns the reason for a plan without candidates.
func noCandidateError(plan placement.Plan) error {
	switch {
	case plan.Considered == 0:
		return fault.New(fault.NoWorker, "no worker is known")
	case plan.LargeEnough == 0:
		return fault.New(fault.ExceedsAnyWorker, "none of %d workers is large enough for the demand of the service", plan.Considered)
	default:
		return fault.New(fault.NoCapacity, "none of %d workers has enough free capacity", plan.Considered)
	}
}

// runAttempt runs the request at the owner of the candidate.
func (e *Engine) runAttempt(ctx context.Context, s snapshot, request work.Request, service rules.Service, candidate placement.Candidate) work.Answer {
	owner, found := s.ownership.Owner(candidate.Worker, candidate.Zone, candidate.Region)
	if !found {
		return work.Refuse(request.ID, fault.New(fault.NotOwner, "no instance owns worker %s", candidate.Worker))
	}
	if owner.ID == e.Self {
		return e.runOnOwnedWorker(ctx, request, service, candidate.Worker)
	}
	request.Worker = candidate.Worker
	maxQueries := 0
	if service.Idempotent {
		maxQueries = maxIdempotentQueries
	}
	return e.forward(ctx, owner, request, maxQueries)
}

// runOnOwnedWorker runs the request on a worker that this instance owns.
func (e *Engine) runOnOwnedWorker(ctx context.Context, request work.Request, service rules.Service, workerID ident.WorkerID) work.Answer {
	if ctx.Err() != nil {
		return work.Refuse(request.ID, contextFailure(ctx).WithOutcome(fault.NotRun))
	}
	report, err := e.Runner.Call(ctx, start.Task{
		ID:      ident.TaskID(request.ID),
		Worker:  workerID,
		Service: service.Name,
		Class:   service.Class,
		Body:    request.Body,
		Demand:  service.Demand,
	})
	if err != nil {
		return work.Refuse(request.ID, err)
	}
	if report.State == work.TaskFailed {
		failure := fault.New(fault.TaskFailed, "a task of service %s reported an error", service.Name)
		return work.Answer{Request: request.ID, Outcome: fault.Ran, Body: report.Result, Failure: failure}
	}
	return work.Answer{Request: request.ID, Outcome: fault.Ran, Body: report.Result}
}
