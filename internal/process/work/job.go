package work

import (
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
)

// JobState is the state of a job.
type JobState uint8

const (
	// JobWaiting: the job is accepted, and no attempt of it runs.
	JobWaiting JobState = iota
	// JobRunning: an attempt was seen running, or may be running.
	JobRunning
	// JobSucceeded: an attempt ended successfully.
	JobSucceeded
	// JobFailed: the job ended without success and is not attempted again.
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

// IsFinal reports whether the job has ended, so that its state can't change any
// more.
func (s JobState) IsFinal() bool {
	return s == JobSucceeded || s == JobFailed || s == JobCanceled
}

// JobStatus describes a job at one moment.
type JobStatus struct {
	ID      ident.JobID       `cbor:"1,keyasint"`
	Caller  ident.CallerName  `cbor:"2,keyasint"`
	Service ident.ServiceName `cbor:"3,keyasint"`
	State   JobState          `cbor:"4,keyasint"`
	// Attempt is the number of the newest attempt, or zero if there was none.
	Attempt ident.Attempt `cbor:"5,keyasint,omitempty"`
	// Worker is the worker on which the newest attempt was placed.
	Worker ident.WorkerID `cbor:"6,keyasint,omitempty"`
	// Evictions counts the attempts that ran and ended without a result.
	Evictions int `cbor:"7,keyasint,omitempty"`
	// Reason and Detail say why the job is waiting or has failed.
	Reason fault.Kind `cbor:"8,keyasint,omitempty"`
	Detail string     `cbor:"9,keyasint,omitempty"`
	// Result is the result of a job that has ended.
	Result []byte `cbor:"10,keyasint,omitempty"`
}
