// Package jobapi is poplarvalve's own interface to multi-step jobs. It defines the
// values of a request and its answer, and their encoding over HTTP.
package jobapi

import (
	"context"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/cell"
)

// Request is one request about a job, independent of its encoding.
type Request struct {
	Operation cellcodec.Operation
	// Queue and ID name the queue and the job. If Queue is empty, the manifest's
	// routes determine both from Host and Path.
	Queue string
	ID    jobspec.ID
	Host  string
	Path  string
	// Job decodes the body of a submission. Its errors are of kind BadRequest.
	Job func() (*jobspec.Job, error)
	// Source identifies the client address of a submission, or is empty if it is not known.
	Source []byte
	// Deadline is when the caller stops waiting; zero if the caller set none.
	Deadline time.Time
}

// Verdict is the outcome of a request as the caller learns it.
type Verdict uint8

const (
	// Unknown means that the outcome is in doubt: the request may have had its
	// effect, for example a job may have been accepted.
	Unknown Verdict = iota
	// OK means that the request was carried out.
	OK
	// NoQueue means that no queue matches the request's name, or its host and
	// path.
	NoQueue
	// NotFound means that the job does not exist.
	NotFound
	// NotRun means that the request had no effect and may be repeated after
	// RetryAfter.
	NotRun
	// BadRequest means that the request is invalid.
	BadRequest
)

// Answer is the answer to a request, independent of its encoding.
type Answer struct {
	Verdict Verdict
	// State is the state of the job.
	State cell.State
	// Pending is the number of pending jobs of the queue, set if Job is empty.
	Pending int
	// RetryAfter is how long the caller should wait before it repeats the
	// request. It is set with NotRun.
	RetryAfter time.Duration
	// FailureKind is the kind of failure. It is logged, and returned in the body of
	// an HTTP answer.
	FailureKind fault.Kind
	// Detail describes the failure for human readers, or is empty.
	Detail string
	Job    jobspec.ID
	Queue  string
	Cell   int
	// ManifestVersion is the version of the manifest by which the request was
	// routed.
	ManifestVersion int64
}

// Server carries out requests.
type Server interface {
	Serve(ctx context.Context, request Request) Answer
}
