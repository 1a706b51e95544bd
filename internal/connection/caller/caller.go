// Package caller is the HTTP front for callers. It turns requests into the
// values of package work and back, and decides nothing.
package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// The headers of a request and its answer.
const (
	HeaderCaller   = "Poplarvalve-Caller"
	HeaderDeadline = "Poplarvalve-Deadline-Ms"
	HeaderKey      = "Idempotency-Key"
	HeaderToken    = "Poplarvalve-Token"
	HeaderOutcome  = "Poplarvalve-Outcome"
	HeaderRequest  = "Poplarvalve-Request"
)

const (
	// maxBodyBytes bounds the body of one request.
	maxBodyBytes = 1 << 20
	// maxNameBytes bounds the caller's name, its key and its token.
	maxNameBytes = 256
	// bodyTimeout bounds the time to receive one body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds the time to send one answer or one event. A caller
	// that takes longer is disconnected.
	writeTimeout = 10 * time.Second
)

// Engine serves requests whatever their encoding.
type Engine interface {
	// Serve returns exactly one answer for the request.
	Serve(ctx context.Context, request work.Request) work.Answer
	// Issue returns up to count request tokens.
	Issue(count int) []string
	// Recorded returns the recorded answer of a key or token, or NotFound.
	Recorded(ctx context.Context, caller ident.CallerName, key string) (work.Answer, error)
	// Feed opens a standing feed after a position, one JSON event a line.
	Feed(ctx context.Context, feed string, from uint64) (io.ReadCloser, error)
}

// Handler serves callers.
type Handler struct {
	engine  Engine
	jobs    Jobs
	mux     *http.ServeMux
	streams streams
}

// NewHandler returns a handler in front of engine and jobs. If jobs is nil, the
// calls on jobs are refused and all others work.
func NewHandler(engine Engine, jobs Jobs) *Handler {
	h := &Handler{engine: engine, jobs: jobs, mux: http.NewServeMux()}
	h.routes()
	return h
}

// routes is the one list of calls for callers.
func (h *Handler) routes() {
	h.mux.HandleFunc("POST /v1/services/{service}/call", h.call)
	h.mux.HandleFunc("POST /v1/tokens", h.tokens)
	h.mux.HandleFunc("GET /v1/requests/{key}", h.recorded)
	h.mux.HandleFunc("POST /v1/jobs", h.submit)
	h.mux.HandleFunc("GET /v1/jobs/{id}", h.job)
	h.mux.HandleFunc("DELETE /v1/jobs/{id}", h.cancel)
	h.mux.HandleFunc("GET /v1/feeds/{feed}", h.feed)
	h.mux.HandleFunc("/", unknownPath)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The deadline of an earlier answer on the connection must not hit this one.
	limitWrite(w)
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) call(w http.ResponseWriter, r *http.Request) {
	request, err := decodeCall(w, r)
	if err != nil {
		writeAnswer(w, work.Refuse(request.ID, undecoded(request, err)))
		return
	}
	writeAnswer(w, h.engine.Serve(r.Context(), request))
}

// undecoded returns the refusal of a malformed call. Its key or token was not
// looked up, so an earlier request with it may have run.
func undecoded(request work.Request, err error) error {
	if request.Key == "" && request.Token == "" {
		return err
	}
	return fault.From(err).WithOutcome(fault.Unknown)
}

func decodeCall(w http.ResponseWriter, r *http.Request) (work.Request, error) {
	request := work.Request{
		ID:      ident.RequestID(uuid.NewString()),
		Service: ident.ServiceName(r.PathValue("service")),
		Key:     r.Header.Get(HeaderKey),
		Token:   r.Header.Get(HeaderToken),
	}
	if len(request.Key) > maxNameBytes || len(request.Token) > maxNameBytes {
		return request, fault.New(fault.TooLarge, "key or token exceeds %d bytes", maxNameBytes)
	}
	caller, err := callerOf(r)
	if err != nil {
		return request, err
	}
	request.Caller = caller
	remaining, err := parseDeadline(r.Header.Get(HeaderDeadline))
	if err != nil {
		return request, err
	}
	request.Remaining = remaining
	request.Body, err = readBody(w, r)
	return request, err
}

// callerOf returns the name that the caller states.
func callerOf(r *http.Request) (ident.CallerName, error) {
	name := r.Header.Get(HeaderCaller)
	if name == "" {
		return "", fault.New(fault.BadRequest, "header %s is missing", HeaderCaller)
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

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	// A writer without deadlines, as in some tests, keeps none.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = http.NewResponseController(w).SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fault.New(fault.TooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "reading the body")
	}
	return body, nil
}
