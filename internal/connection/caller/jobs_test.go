package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

const (
	jobUUID   = "0198c2a4-6f00-7c4e-9d3b-2f6f0c1e7a55"
	fullJobID = "a.team." + jobUUID
)

// fakeJobs records the last submitted job. Submit for service "slow" waits
// until the call's context ends.
type fakeJobs struct {
	last work.Job
}

func (f *fakeJobs) Submit(ctx context.Context, submitted work.Job) (work.JobStatus, error) {
	if submitted.Service == "slow" {
		<-ctx.Done()
		return work.JobStatus{}, ctx.Err()
	}
	f.last = submitted
	return work.JobStatus{ID: "a.team." + submitted.ID, Caller: submitted.Caller, Service: submitted.Service}, nil
}

func (f *fakeJobs) JobStatus(_ context.Context, id ident.JobID) (work.JobStatus, error) {
	if id != fullJobID {
		return work.JobStatus{}, fault.New(fault.NotFound, "job %s", id)
	}
	return work.JobStatus{ID: id, State: work.JobRunning, Attempt: 2, Worker: "w", Evictions: 1}, nil
}

func (f *fakeJobs) Cancel(_ context.Context, id ident.JobID) (work.JobStatus, error) {
	return work.JobStatus{ID: id, State: work.JobCanceled, Result: []byte("r")}, nil
}

// A job must not lose a field when it is submitted, nor its status when it is
// sent.
func TestJobCallsKeepAllFields(t *testing.T) {
	jobs := &fakeJobs{}
	base := startServerWithJobs(t, fakeEngine{}, jobs)
	body := `{"id":"` + jobUUID + `","service":"s","body":"Ym9keQ==","demand":{"cpu_millis":5}}`
	for _, testCase := range []struct{ method, path, body, want string }{
		{"POST", "", body, `{"id":"` + fullJobID + `","caller":"partner","service":"s","state":"waiting"}`},
		{"GET", "/" + fullJobID, "", `{"id":"` + fullJobID + `","caller":"","service":"","state":"running","attempt":2,"backend":"w","evictions":1}`},
		{"DELETE", "/" + fullJobID, "", `{"id":"` + fullJobID + `","caller":"","service":"","state":"canceled","result":"cg=="}`},
	} {
		response := sendRequest(t, testCase.method, base+"/v1/jobs"+testCase.path, testCase.body)
		var got json.RawMessage
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&got))
		assert.Equal(t, response.StatusCode, http.StatusOK, string(got))
		assert.Equal(t, string(got), testCase.want)
		assert.Equal(t, response.ContentLength, int64(len(testCase.want)))
		assert.Equal(t, response.Header.Get(caller.HeaderOutcome), "ran")
	}
	want := work.Job{ID: jobUUID, Caller: "partner", Service: "s", Body: []byte("body"), Demand: resource.Vector{CPU: 5}}
	assert.DeepEqual(t, jobs.last, want)
}

// Each refusal must state its kind, status and outcome. The outcome must not be
// not-run if the identifier was not looked up, because an earlier call with it
// may have taken effect. Only one spelling of an identifier may be accepted, or
// one UUID could name two jobs.
func TestJobRefusalsHaveKindStatusAndOutcome(t *testing.T) {
	withJobs, withoutJobs := startServerWithJobs(t, fakeEngine{}, &fakeJobs{}), startServer(t, fakeEngine{})
	jobJSON := func(id, rest string) string { return fmt.Sprintf(`{"id":%q%s}`, id, rest) }
	validJob := jobJSON(jobUUID, `,"service":"s"`)
	noCaller := []string{caller.HeaderCaller, ""}
	for _, testCase := range []struct {
		base, method, path, body string
		headers                  []string
		status                   int
		kind                     fault.Kind
		outcome                  string
	}{
		{withJobs, "POST", "", jobJSON(strings.ToUpper(jobUUID), `,"service":"s"`), nil, 400, fault.BadRequest, "not-run"},
		{withJobs, "POST", "", jobJSON("6ba7b810-9dad-41d1-80b4-00c04fd430c8", `,"service":"s"`), nil, 400, fault.BadRequest, "not-run"},
		{withJobs, "POST", "", jobJSON(jobUUID, ""), nil, 400, fault.BadRequest, "unknown"},
		{withJobs, "POST", "", jobJSON(jobUUID, `,"service":"s","demands":{}`), nil, 400, fault.BadRequest, "unknown"},
		{withJobs, "POST", "", jobJSON(jobUUID, `,"service":"s","demand":{"slots":-1}`), nil, 400, fault.BadRequest, "unknown"},
		{withJobs, "POST", "", validJob + validJob, nil, 400, fault.BadRequest, "unknown"},
		{withJobs, "POST", "", validJob[:20], nil, 400, fault.BadRequest, "unknown"},
		{withJobs, "POST", "", validJob + strings.Repeat(" ", 1<<20), nil, 413, fault.TooLarge, "unknown"},
		{withJobs, "POST", "", validJob, noCaller, 400, fault.BadRequest, "unknown"},
		{withJobs, "POST", "", validJob, []string{caller.HeaderDeadline, "x"}, 400, fault.BadRequest, "unknown"},
		{withJobs, "POST", "", jobJSON(jobUUID, `,"service":"slow"`), []string{caller.HeaderDeadline, "1"}, 504, fault.DeadlineExceeded, "unknown"},
		{withJobs, "GET", "/other." + jobUUID, "", nil, 404, fault.NotFound, "not-run"},
		{withJobs, "GET", "/" + jobUUID, "", nil, 400, fault.BadRequest, "not-run"},
		{withJobs, "DELETE", "/a.b", "", nil, 400, fault.BadRequest, "not-run"},
		{withJobs, "DELETE", "/" + fullJobID, "", noCaller, 400, fault.BadRequest, "unknown"},
		{withoutJobs, "POST", "", validJob, nil, 503, fault.LogUnavailable, "unknown"},
		{withoutJobs, "GET", "/" + fullJobID, "", nil, 503, fault.LogUnavailable, "unknown"},
		{withoutJobs, "DELETE", "/" + fullJobID, "", nil, 503, fault.LogUnavailable, "unknown"},
	} {
		response := sendRequest(t, testCase.method, testCase.base+"/v1/jobs"+testCase.path, testCase.body, testCase.headers...)
		name := testCase.method + testCase.path + " " + testCase.body[:min(len(testCase.body), 90)]
		var body struct{ Failure struct{ Kind fault.Kind } }
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&body), name)
		assert.Equal(t, response.StatusCode, testCase.status, name)
		assert.Equal(t, body.Failure.Kind, testCase.kind, name)
		assert.Equal(t, response.Header.Get(caller.HeaderOutcome), testCase.outcome, name)
	}
}
