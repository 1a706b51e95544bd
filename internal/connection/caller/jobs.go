package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

const (
	// jobTimeout bounds a call on jobs that states no deadline.
	jobTimeout = 10 * time.Second
	// jobIDVersion is the version of the UUID in a job identifier. Version 7
	// begins with the time at which the caller chose it.
	jobIDVersion = 7
)

// Jobs keeps batch jobs and live tasks whatever their encoding. An error of
// outcome NotRun guarantees that the call had no effect.
type Jobs interface {
	// Submit accepts a job, or returns the status of the job that was accepted
	// under the same identifier before. The identifier of job is a bare UUID;
	// that of the status is the full one.
	Submit(ctx context.Context, job work.Job) (work.JobStatus, error)
	// Job returns the status of a job, or NotFound.
	Job(ctx context.Context, id ident.JobID) (work.JobStatus, error)
	// Cancel ends a job that is not over and returns its status.
	Cancel(ctx context.Context, id ident.JobID) (work.JobStatus, error)
}

// jobBody is the JSON body of a submission.
type jobBody struct {
	ID      ident.JobID       `json:"id"`
	Service ident.ServiceName `json:"service"`
	Body    []byte            `json:"body"`
	Demand  resource.Vector   `json:"demand"`
}

// jobReply is the JSON body of the status of a job.
type jobReply struct {
	ID        ident.JobID       `json:"id"`
	Caller    ident.CallerName  `json:"caller"`
	Service   ident.ServiceName `json:"service"`
	State     string            `json:"state"`
	Attempt   ident.Attempt     `json:"attempt,omitempty"`
	Backend   ident.WorkerID    `json:"backend,omitempty"`
	Evictions int               `json:"evictions,omitempty"`
	Reason    fault.Kind        `json:"reason,omitempty"`
	Detail    string            `json:"detail,omitempty"`
	Result    []byte            `json:"result,omitempty"`
}

// submit accepts a job.
func (h *Handler) submit(w http.ResponseWriter, r *http.Request) {
	job, err := decodeJob(w, r)
	if err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	h.answerJob(w, r, func(ctx context.Context) (work.JobStatus, error) { return h.jobs.Submit(ctx, job) })
}

// job sends the status of a job.
func (h *Handler) job(w http.ResponseWriter, r *http.Request) {
	h.onJob(w, r, Jobs.Job)
}

// cancel cancels a job.
func (h *Handler) cancel(w http.ResponseWriter, r *http.Request) {
	h.onJob(w, r, Jobs.Cancel)
}

// onJob carries out a call that names an accepted job.
func (h *Handler) onJob(w http.ResponseWriter, r *http.Request, effect func(Jobs, context.Context, ident.JobID) (work.JobStatus, error)) {
	id := ident.JobID(r.PathValue("id"))
	if err := checkFullID(id); err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	if _, err := callerOf(r); err != nil {
		writeAnswer(w, work.Refuse("", notLookedUp(err)))
		return
	}
	h.answerJob(w, r, func(ctx context.Context) (work.JobStatus, error) { return effect(h.jobs, ctx, id) })
}

// answerJob sends the status that a call on jobs returns by its deadline.
func (h *Handler) answerJob(w http.ResponseWriter, r *http.Request, effect func(context.Context) (work.JobStatus, error)) {
	remaining, err := parseDeadline(r.Header.Get(HeaderDeadline))
	if err != nil {
		writeAnswer(w, work.Refuse("", notLookedUp(err)))
		return
	}
	if h.jobs == nil {
		writeAnswer(w, work.Refuse("", notLookedUp(fault.New(fault.LogUnavailable, "jobs are not kept here"))))
		return
	}
	if remaining == 0 {
		remaining = jobTimeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), remaining)
	defer cancel()
	status, err := effect(ctx)
	if err != nil {
		writeAnswer(w, work.Refuse("", lateOr(err)))
		return
	}
	w.Header().Set(HeaderOutcome, fault.Ran.String())
	writeJSON(w, http.StatusOK, replyOf(status))
}

// lateOr gives an error of an ended context its kind. Any other is unchanged.
func lateOr(err error) error {
	var typed *fault.Failure
	if !errors.As(err, &typed) && errors.Is(err, context.DeadlineExceeded) {
		return fault.Wrap(fault.DeadlineExceeded, err, "waiting for the job's home")
	}
	return err
}

// notLookedUp returns a refusal made before the identifier of a job was looked
// up. An earlier call with it may have taken effect.
func notLookedUp(err error) error {
	return fault.From(err).WithOutcome(fault.Unknown)
}

// decodeJob reads a submission. A refusal has outcome NotRun only if the
// identifier was read and can't be that of a job.
func decodeJob(w http.ResponseWriter, r *http.Request) (work.Job, error) {
	content, err := readBody(w, r)
	if err != nil {
		return work.Job{}, notLookedUp(err)
	}
	body, err := parseJob(content)
	if err != nil {
		return work.Job{}, notLookedUp(err)
	}
	if err := checkBareID(body.ID); err != nil {
		return work.Job{}, err
	}
	caller, err := callerOf(r)
	if err == nil {
		err = checkJob(body)
	}
	if err != nil {
		return work.Job{}, notLookedUp(err)
	}
	return work.Job{ID: body.ID, Caller: caller, Service: body.Service, Body: body.Body, Demand: body.Demand}, nil
}

// parseJob refuses unknown fields, so that a misspelt demand is not ignored.
func parseJob(content []byte) (jobBody, error) {
	var body jobBody
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return body, fault.New(fault.BadRequest, "the body is not a job: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return body, fault.New(fault.BadRequest, "the body holds more than one JSON value")
	}
	return body, nil
}

func checkJob(body jobBody) error {
	if body.Service == "" || len(body.Service) > maxNameBytes {
		return fault.New(fault.BadRequest, "service: the name must have 1 to %d bytes", maxNameBytes)
	}
	if !(resource.Vector{}).Fits(body.Demand) {
		return fault.New(fault.BadRequest, "demand: a value is negative")
	}
	return nil
}

// checkBareID accepts one spelling of each UUID, so that two spellings can't
// name two jobs.
func checkBareID(id ident.JobID) error {
	parsed, err := uuid.Parse(string(id))
	if err != nil || parsed.String() != string(id) || parsed.Version() != jobIDVersion {
		return fault.New(fault.BadRequest, "id: %.64q is not a lower-case UUID of version %d", string(id), jobIDVersion)
	}
	return nil
}

// checkFullID accepts an identifier of the form "team.uuid". A team's name may
// hold dots.
func checkFullID(id ident.JobID) error {
	at := strings.LastIndexByte(string(id), '.')
	if at < 1 || at > maxNameBytes {
		return fault.New(fault.BadRequest, "job: %.64q is not of the form team.uuid", string(id))
	}
	return checkBareID(id[at+1:])
}

func replyOf(status work.JobStatus) jobReply {
	return jobReply{
		ID:        status.ID,
		Caller:    status.Caller,
		Service:   status.Service,
		State:     status.State.String(),
		Attempt:   status.Attempt,
		Backend:   status.Worker,
		Evictions: status.Evictions,
		Reason:    status.Reason,
		Detail:    status.Detail,
		Result:    status.Result,
	}
}
