package jobapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/clientlimit"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/version/cell"
)

// stubServer returns the same answer to all requests and records the last one.
type stubServer struct {
	answer      Answer
	lastRequest Request
}

func (s *stubServer) Serve(_ context.Context, request Request) Answer {
	s.lastRequest = request
	return s.answer
}

const testPath = "/v1/queues/q1/jobs/00000000000000aa"

// serve passes a request to the handler and returns its response.
func serve(t *testing.T, server *stubServer, method, path, body string) *http.Response {
	t.Helper()
	recorder := httptest.NewRecorder()
	NewHandler(server, clientlimit.NewUnlimitedBodies()).ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder.Result()
}

// The outcome header tells callers whether they may repeat a request. It must say
// not-run only if the request certainly had no effect, and ran only if it
// certainly had one.
func TestOutcomeHeaderMatchesVerdict(t *testing.T) {
	cases := []struct {
		verdict Verdict
		status  int
		outcome string
	}{
		{OK, http.StatusOK, "ran"},
		{NoQueue, http.StatusNotFound, "not-run"},
		{NotFound, http.StatusGone, "not-run"},
		{BadRequest, http.StatusBadRequest, "not-run"},
		{NotRun, http.StatusServiceUnavailable, "not-run"},
		{Unknown, http.StatusGatewayTimeout, "unknown"},
	}
	for _, c := range cases {
		server := &stubServer{answer: Answer{Verdict: c.verdict, RetryAfter: time.Second, State: cell.Running, Job: "00000000000000aa"}}
		response := serve(t, server, http.MethodGet, testPath, "")
		assert.Equal(t, response.StatusCode, c.status)
		assert.Equal(t, response.Header.Get(caller.HeaderOutcome), c.outcome)
	}
}

// The server must get the job exactly as the caller submitted it. A field that is
// decoded into another one, or dropped, changes the job without an error.
func TestSubmittedJobIsDecodedUnchanged(t *testing.T) {
	server := &stubServer{answer: Answer{Verdict: OK, Job: "00000000000000aa"}}
	serve(t, server, http.MethodPut, testPath,
		`{"spec":"s","steps":[{"tasks":3,"cpu_millis":500,"fills_idle":true,"image":"a"},{"tasks":1,"after":[0]}]}`)
	assert.Equal(t, server.lastRequest.Operation, cellcodec.OpSubmit)
	assert.Equal(t, server.lastRequest.Queue, "q1")
	job, err := server.lastRequest.Job()
	assert.NilError(t, err)
	assert.NilError(t, job.Check())
	assert.Equal(t, job.Steps[0].Count, 3)
	assert.Equal(t, job.Steps[0].BestEffort, true)
	assert.DeepEqual(t, job.Steps[1].DependsOn, []int{0})
}

// Bodies come from outside the process. A malformed one must neither crash it nor
// be accepted as a job: either decoding or the check of the job has to fail.
func TestInvalidBodiesAreRejected(t *testing.T) {
	for _, body := range []string{``, `[]`, `{"steps":[{"tasks":"x"}]}`, "\xff"} {
		_, err := Decode([]byte(body))
		assert.Equal(t, fault.KindOf(err), fault.BadRequest, "%q", body)
	}
	for _, body := range []string{`{}`, `{"steps":[{"tasks":0}]}`, `{"steps":[{"tasks":1,"after":[0]}]}`, `{"steps":[{"tasks":1,"cpu_millis":-1}]}`} {
		job, err := Decode([]byte(body))
		assert.NilError(t, err)
		assert.Equal(t, fault.KindOf(job.Check()), fault.BadRequest, "%q", body)
	}
}
