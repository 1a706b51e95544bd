// Package jobapi is the product's own interface to jobs of steps: the values of
// a request and its answer, and their encoding over HTTP.
package jobapi

import (
	"context"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/cell"
)

// Request is one request about a job, whatever its encoding.
type Request struct {
	Operation cellcodec.Operation
	// Queue and ID name the subject, or Host and Path do, as the manifest
	// routes them.
	Queue string
	ID    jobspec.ID
	Host  string
	Path  string
	// Job decodes the body of a submission. Its error is of kind BadRequest.
	Job func() (*jobspec.Job, error)
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Verdict says how a request ended.
type Verdict uint8

const (
	// Unknown means that the job may have been accepted.
	Unknown Verdict = iota
	OK
	// NoQueue means that no queue has such a host and path.
	NoQueue
	// Absent means that there is no such job.
	Absent
	// NotRun means that the request had no effect and may be repeated after
	// RetryAfter.
	NotRun
	// Bad means that the request can't be meant.
	Bad
)

// Answer is what the caller is told.
type Answer struct {
	Verdict Verdict
	State   cell.State
	Pending int
	// RetryAfter is set with NotRun.
	RetryAfter time.Duration
	// Cause is the kind of failure, for the log.
	Cause fault.Kind
	Job   jobspec.ID
	Queue string
	Cell  int
	// Manifest is the version that decided.
	Manifest int64
}

// Server answers requests.
type Server interface {
	Serve(ctx context.Context, request Request) Answer
}
