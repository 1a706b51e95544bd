package serve

import (
	"context"
	"io"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/token"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/placement"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/rules"
)

// Peers sends messages to other instances.
type Peers interface {
	// Forward runs a request at another instance. number is unique among the
	// forwards of this incarnation and increases. An error with outcome NotRun
	// guarantees that the request has not reached the other instance.
	Forward(ctx context.Context, to membership.Member, number uint64, request work.Request) (work.Answer, error)
	// Resolve queries the outcome of a forward. An answer with outcome NotRun
	// guarantees that the forward will never start. An error says nothing
	// about the forward.
	Resolve(ctx context.Context, to membership.Member, number uint64, request ident.RequestID) (work.Answer, error)
}

// Admission decides whether a request may run.
type Admission interface {
	// Admit returns a function to call when the request has ended, or a
	// failure with outcome NotRun.
	Admit(request work.Request, service rules.Service, now time.Time) (release func(), err error)
}

// Retry decides whether a request is tried on another worker.
type Retry interface {
	// Allow is called before attempt tried+1. It returns how long to wait
	// first, and whether the attempt is allowed.
	Allow(request work.Request, tried int, failure *fault.Failure, now time.Time) (wait time.Duration, allowed bool)
}

// Hedging decides whether an idempotent request that has no answer yet is also
// sent to another worker.
type Hedging interface {
	// HedgeAfter returns how long to wait for an answer before another attempt,
	// and false if another attempt is not worthwhile.
	HedgeAfter(request work.Request, service rules.Service, now time.Time) (wait time.Duration, worthwhile bool)
	// AllowHedge reports whether the further attempt may start. It is called
	// when the time that HedgeAfter returned is over.
	AllowHedge() bool
}

// DurationObserver receives the durations of requests.
type DurationObserver interface {
	// Observe records the time from admission to answer of a request that ran.
	Observe(service ident.ServiceName, took time.Duration, now time.Time)
}

// OtherZones finds workers that are not in the view, in other zones.
type OtherZones interface {
	// Candidates returns workers that may have enough free capacity for the
	// demand, the best first. It is called only if the workers of the view
	// can't take the request.
	Candidates(ctx context.Context, demand resource.Vector) []placement.Candidate
}

// Outcomes stores the outcomes of requests that carried a key or token.
type Outcomes interface {
	// RecordedAnswer returns the recorded answer, if there is one.
	RecordedAnswer(ctx context.Context, caller ident.CallerName, key string) (work.Answer, bool)
	// RecordAnswer stores an answer. It must not block.
	RecordAnswer(request work.Request, answer work.Answer)
}

// GrantResult is the result of KeyGrants.GrantKey for a key.
type GrantResult struct {
	// Granted means that the caller of GrantKey must run the request and call
	// FinishKey.
	Granted bool
	// Answer is the recorded answer of a key that was used before. It is valid
	// only if Granted is false.
	Answer work.Answer
}

// KeyGrants manages the keys of requests at their home. It records them in the
// log.
type KeyGrants interface {
	// GrantKey grants each key at most once, after its intent was read back
	// from the log as valid. While a request with the key runs, GrantKey waits
	// for its end. A key that was used with another digest fails with
	// KeyReused. An error with outcome NotRun guarantees that no request has
	// run under the key; while the log is unavailable, this holds only for keys
	// that have no intent.
	GrantKey(ctx context.Context, caller ident.CallerName, key string, digest token.Digest) (GrantResult, error)
	// FinishKey records the answer of a granted key. A key whose answer has
	// outcome NotRun may be granted again.
	FinishKey(caller ident.CallerName, key string, answer work.Answer)
}

// Feeds opens continuous feeds at workers.
type Feeds interface {
	// Open returns the events after position from, one JSON value per line.
	Open(ctx context.Context, worker ident.WorkerID, feed string, from uint64) (io.ReadCloser, error)
}
