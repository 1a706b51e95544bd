package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/dump"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/version/config"
)

const rulesText = "team a weight 1 # desk: reason\n"

// fakeInstance provides all dependencies of a handler. A proposal is applied
// directly to its state, without a log.
type fakeInstance struct {
	state   *config.State
	logDown bool
}

func (f *fakeInstance) Propose(_ context.Context, proposal Proposal) (config.VerdictEntry, error) {
	if f.logDown {
		return config.VerdictEntry{}, fault.New(fault.LogUnavailable, "append")
	}
	change := record.RulesChange{Base: proposal.Base, Rules: proposal.Rules, Author: proposal.Author}
	f.state = config.Applier{}.Apply(f.state, f.state.AppliedOffset+1, record.Envelope{ID: proposal.ID, Record: change})
	entry, _ := f.state.Find(proposal.ID)
	return entry, nil
}

func (f *fakeInstance) Configuration() *config.State { return f.state }
func (f *fakeInstance) Status() Status               { return Status{Instance: "entry-1"} }
func (f *fakeInstance) Matches(text string) bool     { return text == "secret" }
func (f *fakeInstance) Explain(_ context.Context, job ident.JobID) (Explanation, error) {
	return Explanation{}, fault.New(fault.NotFound, "job %s", job)
}

func newFakeInstance() (*fakeInstance, *Handler) {
	f := &fakeInstance{state: config.NewState(1)}
	return f, NewHandler(Dependencies{f, f, f, f, dump.New(), http.NotFoundHandler(), f})
}

func sendRequest(h http.Handler, token, method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, request)
	return recorder
}

func sendProposal(h http.Handler, id string, base ident.Offset, text string) (*httptest.ResponseRecorder, Verdict) {
	body, _ := json.Marshal(Proposal{ID: ident.RecordID(id), Base: base, Rules: text, Author: "ann"})
	recorder := sendRequest(h, "secret", "POST", PathRules, string(body))
	var verdict Verdict
	_ = json.Unmarshal(recorder.Body.Bytes(), &verdict)
	return recorder, verdict
}

// No path may be served to a client without the operator token.
func TestEveryPathRequiresOperatorToken(t *testing.T) {
	_, handler := newFakeInstance()
	for _, path := range []string{PathStatus, PathDump, PathExplain + "j", PathMetrics, PathRules, PathHistory, "/x"} {
		assert.Equal(t, sendRequest(handler, "guess", "GET", path, "").Code, http.StatusUnauthorized, path)
	}
	assert.Equal(t, sendRequest(handler, "", "POST", PathRules, "{}").Code, http.StatusUnauthorized)
	assert.Equal(t, sendRequest(handler, "secret", "GET", PathStatus, "").Code, http.StatusOK)
	assert.Equal(t, sendRequest(handler, "secret", "GET", PathDump, "").Code, http.StatusOK)
	assert.Equal(t, sendRequest(handler, "secret", "GET", PathExplain+"j", "").Code, http.StatusNotFound)
}

// Each proposal must be answered with its verdict, and one that conflicts also
// with the rules in force, from which its author can continue. Invalid rules
// must not be appended to the log.
func TestProposalsGetVerdictAndRulesInForce(t *testing.T) {
	f, handler := newFakeInstance()
	recorder, verdict := sendProposal(handler, "x", 0, rulesText)
	assert.Equal(t, recorder.Code, http.StatusOK)
	assert.Equal(t, verdict.Offset, ident.Offset(1))
	recorder, verdict = sendProposal(handler, "y", 0, rulesText)
	assert.Equal(t, recorder.Code, http.StatusConflict)
	assert.DeepEqual(t, verdict.Current, &Rules{1, "ann", rulesText})
	offsetBefore := f.state.AppliedOffset
	recorder, verdict = sendProposal(handler, "z", 1, "team\n")
	assert.Equal(t, recorder.Code, http.StatusUnprocessableEntity)
	assert.Assert(t, len(verdict.Problems) > 0)
	assert.Equal(t, f.state.AppliedOffset, offsetBefore, "refused rules were appended to the log")
	assert.Assert(t, strings.Contains(sendRequest(handler, "secret", "GET", PathHistory, "").Body.String(), `"verdict":"lost"`))
}

// Each failure must state its kind and outcome. A body must not be read beyond
// the size limit, but refused.
func TestFailuresHaveKindAndOutcome(t *testing.T) {
	f, handler := newFakeInstance()
	f.logDown = true
	recorder, _ := sendProposal(handler, "x", 0, rulesText)
	assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
	assert.Equal(t, recorder.Header().Get(HeaderOutcome), "unknown")
	var failure Failure
	assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &failure))
	assert.Equal(t, failure.Failure.Kind, fault.LogUnavailable)
	recorder, _ = sendProposal(handler, "x", 0, strings.Repeat("#", maxBodyBytes))
	assert.Equal(t, recorder.Code, http.StatusRequestEntityTooLarge)
	for _, body := range []string{"{", `{"id":"a","colour":1}`, `{"author":"a"}`, `{"id":"a"}`} {
		assert.Equal(t, sendRequest(handler, "secret", "POST", PathRules, body).Code, http.StatusBadRequest, body)
	}
}
