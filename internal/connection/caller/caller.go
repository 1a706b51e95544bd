// Package caller is the HTTP front for callers. It turns requests into the
// values of package work and back, and decides nothing.
package caller

import (
	"context"
	"encoding/json"
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

// maxBodyBytes bounds the body of one request.
const maxBodyBytes = 1 << 20

// Engine serves requests whatever their encoding.
type Engine interface {
	// Serve returns exactly one answer for the request.
	Serve(ctx context.Context, request work.Request) work.Answer
}

// Handler serves callers.
type Handler struct {
	engine Engine
	mux    *http.ServeMux
}

// NewHandler returns a handler in front of engine.
func NewHandler(engine Engine) *Handler {
	h := &Handler{engine: engine, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /v1/services/{service}/call", h.call)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) call(w http.ResponseWriter, r *http.Request) {
	request, err := decodeCall(w, r)
	if err != nil {
		writeAnswer(w, work.Refuse(request.ID, err))
		return
	}
	writeAnswer(w, h.engine.Serve(r.Context(), request))
}

func decodeCall(w http.ResponseWriter, r *http.Request) (work.Request, error) {
	request := work.Request{
		ID:      ident.RequestID(uuid.NewString()),
		Caller:  ident.CallerName(r.Header.Get(HeaderCaller)),
		Service: ident.ServiceName(r.PathValue("service")),
		Key:     r.Header.Get(HeaderKey),
		Token:   r.Header.Get(HeaderToken),
	}
	if request.Caller == "" {
		return request, fault.New(fault.BadRequest, "header %s is missing", HeaderCaller)
	}
	remaining, err := parseDeadline(r.Header.Get(HeaderDeadline))
	if err != nil {
		return request, err
	}
	request.Remaining = remaining
	request.Body, err = readBody(w, r)
	return request, err
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

// failureBody is the JSON body of an answer that is not a success.
type failureBody struct {
	Failure *fault.Failure `json:"failure"`
	Outcome string         `json:"outcome"`
}

func writeAnswer(w http.ResponseWriter, answer work.Answer) {
	header := w.Header()
	header.Set(HeaderRequest, string(answer.Request))
	header.Set(HeaderOutcome, answer.Outcome.String())
	if answer.Token != "" {
		header.Set(HeaderToken, answer.Token)
	}
	if answer.Failure != nil {
		writeFailure(w, answer)
		return
	}
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(http.StatusOK)
	// A failed write means that the caller is gone; there is nobody to tell.
	_, _ = w.Write(answer.Body)
}

func writeFailure(w http.ResponseWriter, answer work.Answer) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	if wait := answer.Failure.RetryAfter; wait > 0 {
		seconds := int((wait + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(statusOf(answer.Failure.Kind))
	body := failureBody{Failure: answer.Failure, Outcome: answer.Outcome.String()}
	_ = json.NewEncoder(w).Encode(body)
}

// statusOf returns the HTTP status for a kind of failure.
func statusOf(kind fault.Kind) int {
	switch kind {
	case fault.BadRequest, fault.KeyRequired, fault.NeverFits:
		return http.StatusBadRequest
	case fault.Unauthorized:
		return http.StatusUnauthorized
	case fault.UnknownService, fault.NotFound:
		return http.StatusNotFound
	case fault.KeyReused:
		return http.StatusUnprocessableEntity
	case fault.KeyExpired:
		return http.StatusGone
	case fault.TooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.RateLimited, fault.QuotaExceeded:
		return http.StatusTooManyRequests
	case fault.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case fault.TaskFailed, fault.WorkerLost, fault.PeerLost, fault.AnswerCut:
		return http.StatusBadGateway
	case fault.Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
