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

// fake is an instance whose log is the fold itself.
type fake struct {
	state *config.State
	down  bool
}

func (f *fake) Propose(_ context.Context, p Proposal) (config.Entry, error) {
	if f.down {
		return config.Entry{}, fault.New(fault.LogUnavailable, "append")
	}
	change := record.Change{Base: p.Base, Rules: p.Rules, Author: p.Author}
	f.state = config.Fold{}.Apply(f.state, f.state.Folded+1, record.Envelope{ID: p.ID, Record: change})
	entry, _ := f.state.Find(p.ID)
	return entry, nil
}

func (f *fake) Configuration() *config.State { return f.state }
func (f *fake) Status() Status               { return Status{Instance: "entry-1"} }
func (f *fake) Matches(text string) bool     { return text == "secret" }
func (f *fake) Explain(_ context.Context, job ident.JobID) (Explanation, error) {
	return Explanation{}, fault.New(fault.NotFound, "job %s", job)
}

func newFake() (*fake, *Handler) {
	f := &fake{state: config.Start(1)}
	return f, NewHandler(Parts{f, f, f, f, dump.New(), http.NotFoundHandler(), f})
}

func send(h http.Handler, token, method, path, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+token)
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, request)
	return recorder
}

func propose(h http.Handler, id string, base ident.Offset, text string) (*httptest.ResponseRecorder, Verdict) {
	body, _ := json.Marshal(Proposal{ID: ident.RecordID(id), Base: base, Rules: text, Author: "ann"})
	recorder := send(h, "secret", "POST", PathRules, string(body))
	var verdict Verdict
	_ = json.Unmarshal(recorder.Body.Bytes(), &verdict)
	return recorder, verdict
}

// Guards against a path that is served without the token.
func TestEveryPathNeedsTheToken(t *testing.T) {
	_, handler := newFake()
	for _, path := range []string{PathStatus, PathDump, PathExplain + "j", PathMetrics, PathRules, PathHistory, "/x"} {
		assert.Equal(t, send(handler, "guess", "GET", path, "").Code, http.StatusUnauthorized, path)
	}
	assert.Equal(t, send(handler, "", "POST", PathRules, "{}").Code, http.StatusUnauthorized)
	assert.Equal(t, send(handler, "secret", "GET", PathStatus, "").Code, http.StatusOK)
	assert.Equal(t, send(handler, "secret", "GET", PathDump, "").Code, http.StatusOK)
	assert.Equal(t, send(handler, "secret", "GET", PathExplain+"j", "").Code, http.StatusNotFound)
}

// Guards against an operator who doesn't learn which change won.
func TestProposalsGetTheirVerdict(t *testing.T) {
	f, handler := newFake()
	recorder, verdict := propose(handler, "x", 0, rulesText)
	assert.Equal(t, recorder.Code, http.StatusOK)
	assert.Equal(t, verdict.Offset, ident.Offset(1))
	recorder, verdict = propose(handler, "y", 0, rulesText)
	assert.Equal(t, recorder.Code, http.StatusConflict)
	assert.DeepEqual(t, verdict.Current, &Rules{1, "ann", rulesText})
	folded := f.state.Folded
	recorder, verdict = propose(handler, "z", 1, "team\n")
	assert.Equal(t, recorder.Code, http.StatusUnprocessableEntity)
	assert.Assert(t, len(verdict.Problems) > 0)
	assert.Equal(t, f.state.Folded, folded, "refused rules reached the log")
	assert.Assert(t, strings.Contains(send(handler, "secret", "GET", PathHistory, "").Body.String(), `"verdict":"lost"`))
}

// Guards against a failure without its kind and outcome, and a body that is
// read without a limit.
func TestFailuresAreTyped(t *testing.T) {
	f, handler := newFake()
	f.down = true
	recorder, _ := propose(handler, "x", 0, rulesText)
	assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
	assert.Equal(t, recorder.Header().Get(HeaderOutcome), "unknown")
	var failure Failure
	assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &failure))
	assert.Equal(t, failure.Failure.Kind, fault.LogUnavailable)
	recorder, _ = propose(handler, "x", 0, strings.Repeat("#", maxBodyBytes))
	assert.Equal(t, recorder.Code, http.StatusRequestEntityTooLarge)
	for _, body := range []string{"{", `{"id":"a","colour":1}`, `{"author":"a"}`, `{"id":"a"}`} {
		assert.Equal(t, send(handler, "secret", "POST", PathRules, body).Code, http.StatusBadRequest, body)
	}
}
