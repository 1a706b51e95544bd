package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/work"
)

// failureBody is the JSON body of an answer that reports a failure.
type failureBody struct {
	Failure *fault.Failure `json:"failure"`
	Outcome string         `json:"outcome"`
}

// writeAnswer sends an answer in one piece. Its Content-Length lets the caller
// detect a truncated body.
func writeAnswer(w http.ResponseWriter, answer work.Answer) {
	setWriteDeadline(w)
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
	// A failed write means that the caller has disconnected, so the error can't
	// be reported.
	_, _ = w.Write(answer.Body)
}

// setWriteDeadline requires the next write to end within writeTimeout.
func setWriteDeadline(w http.ResponseWriter) {
	// The error is ignored: a writer without support for deadlines, as in some
	// tests, has none.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// writeJSON sends a value in one piece.
func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status, body = http.StatusInternalServerError, nil
	}
	setWriteDeadline(w)
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected, so the error can't
	// be reported.
	_, _ = w.Write(body)
}

// unknownPath refuses a path or method that is not offered.
func unknownPath(w http.ResponseWriter, r *http.Request) {
	writeAnswer(w, work.Refuse("", fault.New(fault.NotFound, "no such call: %s %s", r.Method, r.URL.Path)))
}

func writeFailure(w http.ResponseWriter, answer work.Answer) {
	header := w.Header()
	if wait := answer.Failure.RetryAfter; wait > 0 {
		seconds := int((wait + time.Second - 1) / time.Second)
		header.Set("Retry-After", strconv.Itoa(seconds))
	}
	body := failureBody{Failure: answer.Failure, Outcome: answer.Outcome.String()}
	writeJSON(w, httpStatus(answer.Failure.Kind), body)
}

// httpStatus returns the HTTP status for a kind of failure.
func httpStatus(kind fault.Kind) int {
	switch kind {
	case fault.BadRequest, fault.KeyRequired, fault.ExceedsAnyWorker:
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
	case fault.TaskFailed, fault.WorkerLost, fault.PeerLost, fault.AnswerIncomplete:
		return http.StatusBadGateway
	case fault.Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
