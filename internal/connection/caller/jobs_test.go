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
	bareID = "0198c2a4-6f00-7c4e-9d3b-2f6f0c1e7a55"
	fullID = "a.team." + bareID
)

// jobsFake keeps the last job. A service "slow" waits for the end of the call.
type jobsFake struct {
	last work.Job
}

func (f *jobsFake) Submit(ctx context.Context, job work.Job) (work.JobStatus, error) {
	if job.Service == "slow" {
		<-ctx.Done()
		return work.JobStatus{}, ctx.Err()
	}
	f.last = job
	return work.JobStatus{ID: "a.team." + job.ID, Caller: job.Caller, Service: job.Service}, nil
}

func (f *jobsFake) Job(_ context.Context, id ident.JobID) (work.JobStatus, error) {
	if id != fullID {
		return work.JobStatus{}, fault.New(fault.NotFound, "job %s", id)
	}
	return work.JobStatus{ID: id, State: work.JobRunning, Attempt: 2, Worker: "w", Evictions: 1}, nil
}

func (f *jobsFake) Cancel(_ context.Context, id ident.JobID) (work.JobStatus, error) {
	return work.JobStatus{ID: id, State: work.JobCanceled, Result: []byte("r")}, nil
}

// Guards against a job that loses a field on its way in or a status that loses
// one on its way out.
func TestJobCalls(t *testing.T) {
	jobs := &jobsFake{}
	base := serveWith(t, engineFake{}, jobs)
	body := `{"id":"` + bareID + `","service":"s","body":"Ym9keQ==","demand":{"cpu_millis":5}}`
	for _, check := range []struct{ method, path, body, want string }{
		{"POST", "", body, `{"id":"` + fullID + `","caller":"partner","service":"s","state":"waiting"}`},
		{"GET", "/" + fullID, "", `{"id":"` + fullID + `","caller":"","service":"","state":"running","attempt":2,"backend":"w","evictions":1}`},
		{"DELETE", "/" + fullID, "", `{"id":"` + fullID + `","caller":"","service":"","state":"canceled","result":"cg=="}`},
	} {
		response := do(t, check.method, base+"/v1/jobs"+check.path, check.body)
		var got json.RawMessage
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&got))
		assert.Equal(t, response.StatusCode, http.StatusOK, string(got))
		assert.Equal(t, string(got), check.want)
		assert.Equal(t, response.ContentLength, int64(len(check.want)))
		assert.Equal(t, response.Header.Get(caller.HeaderOutcome), "ran")
	}
	want := work.Job{ID: bareID, Caller: "partner", Service: "s", Body: []byte("body"), Demand: resource.Vector{CPU: 5}}
	assert.DeepEqual(t, jobs.last, want)
}

// Guards against a false not-run for an identifier that was not looked up,
// against two spellings of one identifier, and against refusals without type.
func TestJobRefusals(t *testing.T) {
	with, without := serveWith(t, engineFake{}, &jobsFake{}), serveOn(t, engineFake{})
	job := func(id, rest string) string { return fmt.Sprintf(`{"id":%q%s}`, id, rest) }
	good := job(bareID, `,"service":"s"`)
	noCaller := []string{caller.HeaderCaller, ""}
	for _, check := range []struct {
		base, method, path, body string
		headers                  []string
		status                   int
		kind                     fault.Kind
		outcome                  string
	}{
		{with, "POST", "", job(strings.ToUpper(bareID), `,"service":"s"`), nil, 400, fault.BadRequest, "not-run"},
		{with, "POST", "", job("6ba7b810-9dad-41d1-80b4-00c04fd430c8", `,"service":"s"`), nil, 400, fault.BadRequest, "not-run"},
		{with, "POST", "", job(bareID, ""), nil, 400, fault.BadRequest, "unknown"},
		{with, "POST", "", job(bareID, `,"service":"s","demands":{}`), nil, 400, fault.BadRequest, "unknown"},
		{with, "POST", "", job(bareID, `,"service":"s","demand":{"slots":-1}`), nil, 400, fault.BadRequest, "unknown"},
		{with, "POST", "", good + good, nil, 400, fault.BadRequest, "unknown"},
		{with, "POST", "", good[:20], nil, 400, fault.BadRequest, "unknown"},
		{with, "POST", "", good + strings.Repeat(" ", 1<<20), nil, 413, fault.TooLarge, "unknown"},
		{with, "POST", "", good, noCaller, 400, fault.BadRequest, "unknown"},
		{with, "POST", "", good, []string{caller.HeaderDeadline, "x"}, 400, fault.BadRequest, "unknown"},
		{with, "POST", "", job(bareID, `,"service":"slow"`), []string{caller.HeaderDeadline, "1"}, 504, fault.DeadlineExceeded, "unknown"},
		{with, "GET", "/other." + bareID, "", nil, 404, fault.NotFound, "not-run"},
		{with, "GET", "/" + bareID, "", nil, 400, fault.BadRequest, "not-run"},
		{with, "DELETE", "/a.b", "", nil, 400, fault.BadRequest, "not-run"},
		{with, "DELETE", "/" + fullID, "", noCaller, 400, fault.BadRequest, "unknown"},
		{without, "POST", "", good, nil, 503, fault.LogUnavailable, "unknown"},
		{without, "GET", "/" + fullID, "", nil, 503, fault.LogUnavailable, "unknown"},
		{without, "DELETE", "/" + fullID, "", nil, 503, fault.LogUnavailable, "unknown"},
	} {
		response := do(t, check.method, check.base+"/v1/jobs"+check.path, check.body, check.headers...)
		name := check.method + check.path + " " + check.body[:min(len(check.body), 90)]
		var body struct{ Failure struct{ Kind fault.Kind } }
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&body), name)
		assert.Equal(t, response.StatusCode, check.status, name)
		assert.Equal(t, body.Failure.Kind, check.kind, name)
		assert.Equal(t, response.Header.Get(caller.HeaderOutcome), check.outcome, name)
	}
}
