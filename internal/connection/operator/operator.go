// Package operator serves operators over HTTP. Every request must carry the
// operator token. The package decides nothing: verdicts come from the fold of
// the configuration stream.
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

// maxBodyBytes bounds a proposal. The rules may double in JSON, in which line
// ends and quotes are escaped.
const maxBodyBytes = 2*rules.MaxFileBytes + 4096

// Proposer appends changes of the rules.
type Proposer interface {
	// Propose returns when the verdict on the proposal was read back from the
	// log. An error of outcome Unknown means that the change may still be
	// accepted; the same proposal can be repeated to learn its verdict.
	Propose(ctx context.Context, proposal Proposal) (config.Entry, error)
}

// Reader gives the state of the configuration; nil before the first version.
type Reader interface {
	Configuration() *config.State
}

// Reporter describes the instance.
type Reporter interface {
	Status() Status
}

// Explainer says why a job is where it is. The error of an unknown job is of
// kind NotFound.
type Explainer interface {
	Explain(ctx context.Context, job ident.JobID) (Explanation, error)
}

// Dumper returns the state dump as JSON, without secrets.
type Dumper interface {
	JSON() ([]byte, error)
}

// Token checks the operator token in constant time.
type Token interface {
	Matches(text string) bool
}

// Parts is what a handler needs. Every field must be set.
type Parts struct {
	Proposer  Proposer
	Reader    Reader
	Reporter  Reporter
	Explainer Explainer
	Dumper    Dumper
	Metrics   http.Handler
	Token     Token
}

// Handler serves operators.
type Handler struct {
	parts Parts
	mux   *http.ServeMux
}

// NewHandler returns a handler over parts.
func NewHandler(parts Parts) *Handler {
	h := &Handler{parts: parts, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET "+PathStatus, h.status)
	h.mux.HandleFunc("GET "+PathDump, h.dump)
	h.mux.HandleFunc("GET "+PathExplain+"{job}", h.explain)
	h.mux.Handle("GET "+PathMetrics, parts.Metrics)
	h.mux.HandleFunc("POST "+PathRules, h.propose)
	h.mux.HandleFunc("GET "+PathRules, h.rules)
	h.mux.HandleFunc("GET "+PathHistory, h.history)
	h.mux.HandleFunc("/", notFound)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !bearer || !h.parts.Token.Matches(token) {
		writeFailure(w, fault.New(fault.Unauthorized, "the operator token is missing or wrong"))
		return
	}
	h.mux.ServeHTTP(w, r)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeFailure(w, fault.New(fault.NotFound, "no %s %s", r.Method, r.URL.Path))
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, h.parts.Reporter.Status())
}

func (h *Handler) dump(w http.ResponseWriter, _ *http.Request) {
	document, err := h.parts.Dumper.JSON()
	if err != nil {
		writeFailure(w, err)
		return
	}
	write(w, http.StatusOK, json.RawMessage(document))
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	explanation, err := h.parts.Explainer.Explain(r.Context(), ident.JobID(r.PathValue("job")))
	if err != nil {
		writeFailure(w, err)
		return
	}
	write(w, http.StatusOK, explanation)
}

func (h *Handler) rules(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, rulesOf(h.parts.Reader.Configuration()))
}

func (h *Handler) history(w http.ResponseWriter, _ *http.Request) {
	verdicts := []Verdict{}
	if state := h.parts.Reader.Configuration(); state != nil {
		for _, entry := range state.History {
			verdicts = append(verdicts, verdictOf(entry))
		}
	}
	write(w, http.StatusOK, verdicts)
}

func (h *Handler) propose(w http.ResponseWriter, r *http.Request) {
	proposal, err := decodeProposal(w, r)
	if err != nil {
		writeFailure(w, err)
		return
	}
	if _, problems := rules.Parse("rules", proposal.Rules); len(problems) > 0 {
		// Every reader would refuse it, so it is not appended.
		writeVerdict(w, refusal(proposal, problems))
		return
	}
	entry, err := h.parts.Proposer.Propose(r.Context(), proposal)
	if err != nil {
		writeFailure(w, err)
		return
	}
	verdict := verdictOf(entry)
	if entry.Verdict == config.Lost {
		current := rulesOf(h.parts.Reader.Configuration())
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
		return proposal, fault.New(fault.TooLarge, "the body exceeds %d bytes", tooLarge.Limit)
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

func refusal(proposal Proposal, problems []rules.Problem) Verdict {
	verdict := Verdict{ID: proposal.ID, Base: proposal.Base, Author: proposal.Author, Verdict: config.Refused.String()}
	for _, problem := range problems {
		verdict.Problems = append(verdict.Problems, problem.String())
	}
	return verdict
}

func writeVerdict(w http.ResponseWriter, verdict Verdict) {
	switch verdict.Verdict {
	case config.Accepted.String():
		write(w, http.StatusOK, verdict)
	case config.Lost.String():
		write(w, http.StatusConflict, verdict)
	default:
		write(w, http.StatusUnprocessableEntity, verdict)
	}
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the operator is gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(body)
}

func writeFailure(w http.ResponseWriter, err error) {
	failure := fault.From(err)
	outcome := failure.Outcome.String()
	w.Header().Set(HeaderOutcome, outcome)
	write(w, statusOf(failure.Kind), Failure{Failure: failure, Outcome: outcome})
}

func statusOf(kind fault.Kind) int {
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
