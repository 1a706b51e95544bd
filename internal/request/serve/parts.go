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
	// Forward runs a request at another instance. number is unique for each
	// forward of this incarnation and rises. An error of outcome NotRun
	// guarantees that the request has not reached the instance.
	Forward(ctx context.Context, to membership.Member, number uint64, request work.Request) (work.Answer, error)
	// Resolve asks what became of a forward. An answer of outcome NotRun
	// guarantees that the forward will never start. An error says nothing.
	Resolve(ctx context.Context, to membership.Member, number uint64, request ident.RequestID) (work.Answer, error)
}

// Admission decides whether a request may begin.
type Admission interface {
	// Admit returns a function to call when the request has ended, or a failure
	// of outcome NotRun.
	Admit(request work.Request, service rules.Service, now time.Time) (release func(), err error)
}

// Retry decides whether a request is tried on another worker.
type Retry interface {
	// Allow is asked before attempt tried+1 and returns how long to wait first.
	Allow(request work.Request, tried int, failure *fault.Failure, now time.Time) (wait time.Duration, allowed bool)
}

// Hedging decides whether an idempotent request that has no answer yet is also
// sent to another worker.
type Hedging interface {
	// After returns how long to wait for an answer first, and false if another
	// attempt makes no sense.
	After(request work.Request, service rules.Service, now time.Time) (wait time.Duration, sensible bool)
	// Hedge is asked when that time is over.
	Hedge() bool
}

// Times learns how long requests take.
type Times interface {
	// Observe adds the time from admission to answer of a request that ran.
	Observe(service ident.ServiceName, took time.Duration, now time.Time)
}

// Elsewhere finds workers beyond the view, in other zones.
type Elsewhere interface {
	// Candidates returns workers that may have room for the demand, the best
	// first. It is asked only if the view has none.
	Candidates(ctx context.Context, demand resource.Vector) []placement.Candidate
}

// Outcomes holds the recorded outcomes of requests that carried a key or token.
type Outcomes interface {
	// Recorded returns the recorded answer, if there is one.
	Recorded(ctx context.Context, caller ident.CallerName, key string) (work.Answer, bool)
	// Record keeps an answer. It must not block.
	Record(request work.Request, answer work.Answer)
}

// IntentState says what is known of a key.
type IntentState struct {
	// Granted means that the caller of Begin runs the request and calls Finish.
	Granted bool
	// Answer is the recorded answer of a key that was used before.
	Answer work.Answer
}

// Intents holds the keys of requests at their home, over the log.
type Intents interface {
	// Begin grants each key at most once, after its intent was read back as
	// valid. While the request of a key runs, Begin waits for its end. A key
	// that was used with another digest is KeyReused. An error of outcome NotRun
	// guarantees that no request has run under the key; while the log is down
	// that holds for keys that have no intent.
	Begin(ctx context.Context, caller ident.CallerName, key string, digest token.Digest) (IntentState, error)
	// Finish records the answer of a granted key. A key whose answer has
	// outcome NotRun may be granted again.
	Finish(caller ident.CallerName, key string, answer work.Answer)
}

// Feeds opens standing feeds at workers.
type Feeds interface {
	// Open returns the events after position from, one JSON value a line.
	Open(ctx context.Context, worker ident.WorkerID, feed string, from uint64) (io.ReadCloser, error)
}
