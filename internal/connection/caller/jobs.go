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

	"poplarvalve/internal/connection/clientlimit"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

const (
	// defaultJobTimeout bounds a call on jobs that states no deadline.
	defaultJobTimeout = 10 * time.Second
	// jobIDVersion is the UUID version of a job identifier. A UUID of version 7
	// begins with the time at which the caller chose it.
	jobIDVersion = 7
)

// Jobs accepts, reports and cancels batch jobs and live tasks, independently of
// their encoding. An error of outcome NotRun guarantees that the call had no
// effect.
type Jobs interface {
	// Submit accepts a job, or returns the status of the job that was accepted
	// earlier under the same identifier. The identifier in job is a bare UUID;
	// the one in the status is the full identifier, "team.uuid".
	Submit(ctx context.Context, job work.Job) (work.JobStatus, error)
	// JobStatus returns the status of a job. It fails with NotFound if there is
	// none.
	JobStatus(ctx context.Context, id ident.JobID) (work.JobStatus, error)
	// Cancel ends a job that has not ended yet and returns its status.
	Cancel(ctx context.Context, id ident.JobID) (work.JobStatus, error)
}

// jobSubmission is the JSON body of a submission.
type jobSubmission struct {
	ID      ident.JobID       `json:"id"`
	Service ident.ServiceName `json:"service"`
	Body    []byte            `json:"body"`
	Demand  resource.Vector   `json:"demand"`
}

// jobReply is the JSON body that reports the status of a job.
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

// handleSubmit accepts a job and sends its status.
func (h *Handler) handleSubmit(w http.ResponseWriter, r *http.Request) {
	job, body, err := h.decodeJob(w, r)
	defer body.Release()
	if err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	h.sendJobStatus(w, r, func(ctx context.Context) (work.JobStatus, error) { return h.jobs.Submit(ctx, job) })
}

// handleJob sends the status of a job.
func (h *Handler) handleJob(w http.ResponseWriter, r *http.Request) {
	h.handleJobCall(w, r, Jobs.JobStatus)
}

// handleCancel cancels a job and sends its status.
func (h *Handler) handleCancel(w http.ResponseWriter, r *http.Request) {
	h.handleJobCall(w, r, Jobs.Cancel)
}

// handleJobCall carries out an operation on the job named in the path.
func (h *Handler) handleJobCall(w http.ResponseWriter, r *http.Request, operation func(Jobs, context.Context, ident.JobID) (work.JobStatus, error)) {
	id := ident.JobID(r.PathValue("id"))
	if err := checkFullJobID(id); err != nil {
		writeAnswer(w, work.Refuse("", err))
		return
	}
	if _, err := callerName(r); err != nil {
		writeAnswer(w, work.Refuse("", withUnknownOutcome(err)))
		return
	}
	h.sendJobStatus(w, r, func(ctx context.Context) (work.JobStatus, error) { return operation(h.jobs, ctx, id) })
}

// sendJobStatus carries out an operation on jobs within the deadline of the
// request, and sends the status that it returns.
func (h *Handler) sendJobStatus(w http.ResponseWriter, r *http.Request, operation func(context.Context) (work.JobStatus, error)) {
	remaining, err := parseDeadline(r.Header.Get(HeaderDeadline))
	if err != nil {
		writeAnswer(w, work.Refuse("", withUnknownOutcome(err)))
		return
	}
	if h.jobs == nil {
		writeAnswer(w, work.Refuse("", withUnknownOutcome(fault.New(fault.LogUnavailable, "this instance does not handle jobs"))))
		return
	}
	if remaining == 0 {
		remaining = defaultJobTimeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), remaining)
	defer cancel()
	status, err := operation(ctx)
	if err != nil {
		writeAnswer(w, work.Refuse("", withTimeoutKind(err)))
		return
	}
	w.Header().Set(HeaderOutcome, fault.Ran.String())
	writeJSON(w, http.StatusOK, newJobReply(status))
}

// withTimeoutKind gives the kind DeadlineExceeded to an untyped error that
// comes from an expired context. Any other error is returned unchanged.
func withTimeoutKind(err error) error {
	var typed *fault.Failure
	if !errors.As(err, &typed) && errors.Is(err, context.DeadlineExceeded) {
		return fault.Wrap(fault.DeadlineExceeded, err, "waiting for the instance that keeps the job")
	}
	return err
}

// withUnknownOutcome returns an error that was found before the identifier of a
// job was looked up. An earlier call with the same identifier may have taken
// effect, so the outcome is unknown.
func withUnknownOutcome(err error) error {
	return fault.From(err).WithOutcome(fault.Unknown)
}

// decodeJob reads a submission. An error has outcome NotRun only if the
// identifier was read and can't be one of a job. The body must be released once the submission is
// answered, also after an error.
func (h *Handler) decodeJob(w http.ResponseWriter, r *http.Request) (work.Job, *clientlimit.Body, error) {
	body, err := h.readBody(w, r)
	if err != nil {
		return work.Job{}, nil, withUnknownOutcome(err)
	}
	submission, err := parseJob(body.Raw)
	if err != nil {
		return work.Job{}, body, withUnknownOutcome(err)
	}
	body.Decoded(callBodyCopies * len(submission.Body))
	if err := checkJobUUID(submission.ID); err != nil {
		return work.Job{}, body, err
	}
	caller, err := callerName(r)
	if err == nil {
		err = checkJob(submission)
	}
	if err != nil {
		return work.Job{}, body, withUnknownOutcome(err)
	}
	return work.Job{ID: submission.ID, Caller: caller, Service: submission.Service, Body: submission.Body, Demand: submission.Demand}, body, nil
}

// parseJob decodes a submission. It refuses unknown fields, so that a misspelt
// demand is not ignored.
func parseJob(content []byte) (jobSubmission, error) {
	var body jobSubmission
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return body, fault.New(fault.BadRequest, "the request body is not a valid job: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return body, fault.New(fault.BadRequest, "the request body holds more than one JSON value")
	}
	return body, nil
}

func checkJob(body jobSubmission) error {
	if body.Service == "" || len(body.Service) > maxNameBytes {
		return fault.New(fault.BadRequest, "service: the name must have 1 to %d bytes", maxNameBytes)
	}
	if !(resource.Vector{}).Fits(body.Demand) {
		return fault.New(fault.BadRequest, "demand: a value is negative; each must be 0 or more")
	}
	return nil
}

// checkJobUUID accepts only the canonical spelling of a UUID, so that two
// spellings can't name two jobs.
func checkJobUUID(id ident.JobID) error {
	parsed, err := uuid.Parse(string(id))
	if err != nil || parsed.String() != string(id) || parsed.Version() != jobIDVersion {
		return fault.New(fault.BadRequest, "id: %.64q is not a lower-case UUID of version %d", string(id), jobIDVersion)
	}
	return nil
}

// checkFullJobID accepts an identifier of the form "team.uuid". The name of a
// team may contain dots.
func checkFullJobID(id ident.JobID) error {
	separator := strings.LastIndexByte(string(id), '.')
	if separator < 1 || separator > maxNameBytes {
		return fault.New(fault.BadRequest, "job: %.64q is not of the form team.uuid", string(id))
	}
	return checkJobUUID(id[separator+1:])
}

func newJobReply(status work.JobStatus) jobReply {
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
