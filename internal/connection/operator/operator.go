// Package operator is the HTTP interface for operators: status, state dump,
// metrics, explanations of jobs, and the rules with their history. Every
// request must carry the operator token. The package makes no decisions of its
// own: the verdict on a change of the rules comes from the state that is
// replayed from the configuration stream.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/version/config"
	"poplarvalve/internal/version/rules"
)

// maxBodyBytes bounds the body of a proposal. It is twice the size limit of the
// rules, because line ends and quotes are escaped in JSON, plus 4096 bytes for
// the other fields.
const maxBodyBytes = 2*rules.MaxFileBytes + 4096

// Proposer appends proposed changes of the rules to the log.
type Proposer interface {
	// Propose returns when the verdict on the proposal has been read back from
	// the log. An error of outcome Unknown means that the change may still be
	// accepted; the same proposal can be repeated to get its verdict.
	Propose(ctx context.Context, proposal Proposal) (config.VerdictEntry, error)
}

// Reader returns the state of the configuration, or nil before the first
// version.
type Reader interface {
	Configuration() *config.State
}

// Reporter returns the status of the instance.
type Reporter interface {
	Status() Status
}

// Explainer explains the state of a job. It fails with NotFound for an unknown
// job.
type Explainer interface {
	Explain(ctx context.Context, job ident.JobID) (Explanation, error)
}

// Dumper returns the state dump as JSON, without secrets.
type Dumper interface {
	JSON() ([]byte, error)
}

// TokenChecker compares a text with the operator token in constant time.
type TokenChecker interface {
	Matches(text string) bool
}

// Dependencies are the dependencies of a Handler. Every field must be set.
type Dependencies struct {
	Proposer  Proposer
	Reader    Reader
	Reporter  Reporter
	Explainer Explainer
	Dumper    Dumper
	Metrics   http.Handler
	Token     TokenChecker
}

// Handler serves the HTTP requests of operators.
type Handler struct {
	dependencies Dependencies
	mux          *http.ServeMux
}

// NewHandler returns a handler with the given dependencies.
func NewHandler(dependencies Dependencies) *Handler {
	h := &Handler{dependencies: dependencies, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET "+PathStatus, h.handleStatus)
	h.mux.HandleFunc("GET "+PathDump, h.handleDump)
	h.mux.HandleFunc("GET "+PathExplain+"{job}", h.handleExplain)
	h.mux.Handle("GET "+PathMetrics, dependencies.Metrics)
	h.mux.HandleFunc("POST "+PathRules, h.handlePropose)
	h.mux.HandleFunc("GET "+PathRules, h.handleRules)
	h.mux.HandleFunc("GET "+PathHistory, h.handleHistory)
	h.mux.HandleFunc("/", notFound)
	return h
}

// ServeHTTP implements http.Handler. It refuses a request without the operator
// token as Unauthorized.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !bearer || !h.dependencies.Token.Matches(token) {
		writeFailure(w, fault.New(fault.Unauthorized, "the operator token is missing or wrong"))
		return
	}
	h.mux.ServeHTTP(w, r)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeFailure(w, fault.New(fault.NotFound, "no such path or method: %s %s", r.Method, r.URL.Path))
}

func (h *Handler) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.dependencies.Reporter.Status())
}

func (h *Handler) handleDump(w http.ResponseWriter, _ *http.Request) {
	document, err := h.dependencies.Dumper.JSON()
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, json.RawMessage(document))
}

func (h *Handler) handleExplain(w http.ResponseWriter, r *http.Request) {
	explanation, err := h.dependencies.Explainer.Explain(r.Context(), ident.JobID(r.PathValue("job")))
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, explanation)
}

func (h *Handler) handleRules(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, newRules(h.dependencies.Reader.Configuration()))
}

func (h *Handler) handleHistory(w http.ResponseWriter, _ *http.Request) {
	verdicts := []Verdict{}
	if state := h.dependencies.Reader.Configuration(); state != nil {
		for _, entry := range state.History {
			verdicts = append(verdicts, newVerdict(entry))
		}
	}
	writeJSON(w, http.StatusOK, verdicts)
}

func (h *Handler) handlePropose(w http.ResponseWriter, r *http.Request) {
	proposal, err := decodeProposal(w, r)
	if err != nil {
		writeFailure(w, err)
		return
	}
	if _, problems := rules.Parse("rules", proposal.Rules); len(problems) > 0 {
		// Every instance would refuse these rules, so they are not appended to
		// the log.
		writeVerdict(w, refusedVerdict(proposal, problems))
		return
	}
	entry, err := h.dependencies.Proposer.Propose(r.Context(), proposal)
	if err != nil {
		writeFailure(w, err)
		return
	}
	verdict := newVerdict(entry)
	if entry.Verdict == config.Conflicted {
		current := newRules(h.dependencies.Reader.Configuration())
		verdict.Current = &current
	}
	writeVerdict(w, verdict)
}

func decodeProposal(w http.ResponseWriter, r *http.Request) (Proposal, error) {
	var proposal Proposal
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&proposal)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return proposal, fault.New(fault.TooLarge, "the request body exceeds %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return proposal, fault.Wrap(fault.BadRequest, err, "decoding the proposal")
	}
	if proposal.ID == "" || len(proposal.ID) > config.MaxIDBytes {
		return proposal, fault.New(fault.BadRequest, "id must have 1 to %d bytes", config.MaxIDBytes)
	}
	if proposal.Author == "" || len(proposal.Author) > config.MaxAuthorBytes {
		return proposal, fault.New(fault.BadRequest, "author must have 1 to %d bytes", config.MaxAuthorBytes)
	}
	return proposal, nil
}

func refusedVerdict(proposal Proposal, problems []rules.Problem) Verdict {
	verdict := Verdict{ID: proposal.ID, Base: proposal.Base, Author: proposal.Author, Verdict: config.Refused.String()}
	for _, problem := range problems {
		verdict.Problems = append(verdict.Problems, problem.String())
	}
	return verdict
}

func writeVerdict(w http.ResponseWriter, verdict Verdict) {
	switch verdict.Verdict {
	case config.Accepted.String():
		writeJSON(w, http.StatusOK, verdict)
	case config.Conflicted.String():
		writeJSON(w, http.StatusConflict, verdict)
	default:
		writeJSON(w, http.StatusUnprocessableEntity, verdict)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the operator has disconnected, so the error
	// can't be reported.
	_ = json.NewEncoder(w).Encode(body)
}

func writeFailure(w http.ResponseWriter, err error) {
	failure := fault.From(err)
	outcome := failure.Outcome.String()
	w.Header().Set(HeaderOutcome, outcome)
	writeJSON(w, httpStatus(failure.Kind), Failure{Failure: failure, Outcome: outcome})
}

func httpStatus(kind fault.Kind) int {
	switch kind {
	case fault.BadRequest:
		return http.StatusBadRequest
	case fault.Unauthorized:
		return http.StatusUnauthorized
	case fault.NotFound:
		return http.StatusNotFound
	case fault.TooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case fault.Internal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}
