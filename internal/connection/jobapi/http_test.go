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
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/version/cell"
)

// fixed answers all requests alike and keeps the last.
type fixed struct {
	answer Answer
	got    Request
}

func (f *fixed) Serve(_ context.Context, request Request) Answer {
	f.got = request
	return f.answer
}

const testPath = "/v1/queues/q1/jobs/00000000000000aa"

func exchange(t *testing.T, server *fixed, method, path, body string) *http.Response {
	t.Helper()
	recorder := httptest.NewRecorder()
	NewHandler(server).ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder.Result()
}

// Guards against an outcome that says more than is known.
func TestVerdictsAndOutcomes(t *testing.T) {
	cases := []struct {
		verdict Verdict
		status  int
		outcome string
	}{
		{OK, http.StatusOK, "ran"},
		{NoQueue, http.StatusNotFound, "not-run"},
		{Absent, http.StatusGone, "not-run"},
		{Bad, http.StatusBadRequest, "not-run"},
		{NotRun, http.StatusServiceUnavailable, "not-run"},
		{Unknown, http.StatusGatewayTimeout, "unknown"},
	}
	for _, c := range cases {
		server := &fixed{answer: Answer{Verdict: c.verdict, RetryAfter: time.Second, State: cell.Running, Job: "00000000000000aa"}}
		response := exchange(t, server, http.MethodGet, testPath, "")
		assert.Equal(t, response.StatusCode, c.status)
		assert.Equal(t, response.Header.Get(caller.HeaderOutcome), c.outcome)
	}
}

// Guards against a job that changes on its way into the product.
func TestSubmission(t *testing.T) {
	server := &fixed{answer: Answer{Verdict: OK, Job: "00000000000000aa"}}
	exchange(t, server, http.MethodPut, testPath,
		`{"spec":"s","steps":[{"tasks":3,"cpu_millis":500,"fills_idle":true,"image":"a"},{"tasks":1,"after":[0]}]}`)
	assert.Equal(t, server.got.Operation, cellcodec.OpSubmit)
	assert.Equal(t, server.got.Queue, "q1")
	job, err := server.got.Job()
	assert.NilError(t, err)
	assert.NilError(t, job.Check())
	assert.Equal(t, job.Steps[0].Count, 3)
	assert.Equal(t, job.Steps[0].Fills, true)
	assert.DeepEqual(t, job.Steps[1].After, []int{0})
}

// Guards against bodies that end the process or pass for a job.
func TestBadBodies(t *testing.T) {
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
