package work

import (
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

// JobState says how far a job is.
type JobState uint8

const (
	// JobWaiting: accepted, and no attempt runs.
	JobWaiting JobState = iota
	// JobRunning: an attempt was seen running, or may run.
	JobRunning
	// JobSucceeded: an attempt ended well.
	JobSucceeded
	// JobFailed: the job ended without success and is not tried again.
	JobFailed
	// JobCanceled: the caller canceled the job.
	JobCanceled
)

// String returns the state in lower case.
func (s JobState) String() string {
	switch s {
	case JobRunning:
		return "running"
	case JobSucceeded:
		return "succeeded"
	case JobFailed:
		return "failed"
	case JobCanceled:
		return "canceled"
	default:
		return "waiting"
	}
}

// Over reports whether the job has ended for good.
func (s JobState) Over() bool {
	return s == JobSucceeded || s == JobFailed || s == JobCanceled
}

// JobStatus is what is known of one job.
type JobStatus struct {
	ID      ident.JobID       `cbor:"1,keyasint"`
	Caller  ident.CallerName  `cbor:"2,keyasint"`
	Service ident.ServiceName `cbor:"3,keyasint"`
	State   JobState          `cbor:"4,keyasint"`
	// Attempt is the number of the newest attempt, or zero.
	Attempt ident.Attempt `cbor:"5,keyasint,omitempty"`
	// Worker is where the newest attempt was placed.
	Worker ident.WorkerID `cbor:"6,keyasint,omitempty"`
	// Evictions counts the attempts that ended without a result.
	Evictions int `cbor:"7,keyasint,omitempty"`
	// Reason says why the job waits or failed.
	Reason fault.Kind `cbor:"8,keyasint,omitempty"`
	Detail string     `cbor:"9,keyasint,omitempty"`
	// Result is the answer of a job that is over.
	Result []byte `cbor:"10,keyasint,omitempty"`
}
