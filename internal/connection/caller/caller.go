// Package caller is the HTTP interface for callers. It decodes requests into
// the values of package work, passes them to an Engine or to Jobs, and encodes
// the answers. It makes no scheduling decisions.
package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"poplarvalve/internal/connection/clientlimit"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// The HTTP headers of a request and its answer.
const (
	HeaderCaller   = "Poplarvalve-Caller"
	HeaderDeadline = "Poplarvalve-Deadline-Ms"
	HeaderKey      = "Idempotency-Key"
	HeaderToken    = "Poplarvalve-Token"
	HeaderOutcome  = "Poplarvalve-Outcome"
	HeaderRequest  = "Poplarvalve-Request"
)

const (
	// maxNameBytes bounds the caller's name, the idempotency key, the request
	// token and the names in a job.
	maxNameBytes = 256
	// callBodyCopies is how often the body of a call may be held until it is answered: a call that
	// is forwarded has an encoded form.
	callBodyCopies = 2
	// writeTimeout bounds the time to send one answer or one event of a feed. A
	// caller that takes longer to receive it is disconnected.
	writeTimeout = 10 * time.Second
)

// Engine serves requests independently of their encoding.
type Engine interface {
	// Serve returns exactly one answer for the request.
	Serve(ctx context.Context, request work.Request) work.Answer
	// IssueTokens returns up to count new request tokens, or none if it can't
	// issue any.
	IssueTokens(count int) []string
	// RecordedAnswer returns the recorded answer of a key or token. It fails with
	// NotFound if there is none.
	RecordedAnswer(ctx context.Context, caller ident.CallerName, key string) (work.Answer, error)
	// Feed opens a standing feed after position from, with one JSON event per
	// line.
	Feed(ctx context.Context, feed string, from uint64) (io.ReadCloser, error)
}

// Handler serves the HTTP requests of callers.
type Handler struct {
	engine    Engine
	jobs      Jobs
	bodies    *clientlimit.Bodies
	mux       *http.ServeMux
	openFeeds openFeeds
}

// NewHandler returns a handler that passes calls to engine and jobs. If jobs is
// nil, calls on jobs are refused with LogUnavailable and all others work. bodies reads the bodies of
// requests.
func NewHandler(engine Engine, jobs Jobs, bodies *clientlimit.Bodies) *Handler {
	h := &Handler{engine: engine, jobs: jobs, bodies: bodies, mux: http.NewServeMux()}
	h.registerRoutes()
	return h
}

// registerRoutes registers every path that is offered to callers.
func (h *Handler) registerRoutes() {
	h.mux.HandleFunc("POST /v1/services/{service}/call", h.handleCall)
	h.mux.HandleFunc("POST /v1/tokens", h.handleTokens)
	h.mux.HandleFunc("GET /v1/requests/{key}", h.handleRecorded)
	h.mux.HandleFunc("POST /v1/jobs", h.handleSubmit)
	h.mux.HandleFunc("GET /v1/jobs/{id}", h.handleJob)
	h.mux.HandleFunc("DELETE /v1/jobs/{id}", h.handleCancel)
	h.mux.HandleFunc("GET /v1/feeds/{feed}", h.handleFeed)
	h.mux.HandleFunc("/", unknownPath)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The write deadline set for an earlier answer on the same connection must
	// not apply to this one.
	setWriteDeadline(w)
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) handleCall(w http.ResponseWriter, r *http.Request) {
	request, body, err := h.decodeCall(w, r)
	defer body.Release()
	if err != nil {
		writeAnswer(w, work.Refuse(request.ID, malformedCallError(request, err)))
		return
	}
	writeAnswer(w, h.engine.Serve(r.Context(), request))
}

// malformedCallError returns the error of a malformed call. If the call has a
// key or token, its outcome is unknown: the key or token was not looked up, so
// an earlier request with it may have run.
func malformedCallError(request work.Request, err error) error {
	if request.Key == "" && request.Token == "" {
		return err
	}
	return fault.From(err).WithOutcome(fault.Unknown)
}

// decodeCall reads a call. The body must be released once the call is answered.
func (h *Handler) decodeCall(w http.ResponseWriter, r *http.Request) (work.Request, *clientlimit.Body, error) {
	request := work.Request{
		ID:      ident.RequestID(uuid.NewString()),
		Service: ident.ServiceName(r.PathValue("service")),
		Key:     r.Header.Get(HeaderKey),
		Token:   r.Header.Get(HeaderToken),
	}
	if len(request.Key) > maxNameBytes || len(request.Token) > maxNameBytes {
		return request, nil, fault.New(fault.TooLarge, "the idempotency key or the request token exceeds %d bytes", maxNameBytes)
	}
	caller, err := callerName(r)
	if err != nil {
		return request, nil, err
	}
	request.Caller = caller
	remaining, err := parseDeadline(r.Header.Get(HeaderDeadline))
	if err != nil {
		return request, nil, err
	}
	request.Remaining = remaining
	body, err := h.readBody(w, r)
	if err != nil {
		return request, nil, err
	}
	body.Retain(callBodyCopies)
	request.Body = body.Raw
	return request, body, nil
}

// callerName returns the name that the caller states in its header.
func callerName(r *http.Request) (ident.CallerName, error) {
	name := r.Header.Get(HeaderCaller)
	if name == "" {
		return "", fault.New(fault.BadRequest, "header %s is missing; it must name the caller", HeaderCaller)
	}
	if len(name) > maxNameBytes {
		return "", fault.New(fault.TooLarge, "header %s exceeds %d bytes", HeaderCaller, maxNameBytes)
	}
	return ident.CallerName(name), nil
}

func parseDeadline(value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(value, 10, 32)
	if err != nil || millis <= 0 {
		return 0, fault.New(fault.BadRequest, "header %s: %q is not a positive number of milliseconds", HeaderDeadline, value)
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// readBody reads the body of a request. The caller must release it.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) (*clientlimit.Body, error) {
	body, reason := h.bodies.Read(r)
	if reason == clientlimit.None {
		return body, nil
	}
	// Bytes of the body may follow.
	w.Header().Set("Connection", "close")
	return nil, h.refusalError(reason)
}

// refusalError returns the error for a body that exceeds a limit of the process.
func (h *Handler) refusalError(reason clientlimit.Reason) error {
	switch reason {
	case clientlimit.TooLarge:
		return fault.New(fault.TooLarge, "the request body exceeds %d bytes", h.bodies.MaxBody())
	case clientlimit.TooSlow:
		return fault.New(fault.BadRequest, "the request body arrives too slowly")
	case clientlimit.BadBody:
		return fault.New(fault.BadRequest, "the request body ended early or its framing is invalid")
	}
	return fault.New(fault.Overloaded, "there is no memory for the request body").WithRetryAfter(clientlimit.RetryAfter)
}
