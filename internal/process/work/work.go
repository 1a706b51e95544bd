// Package work defines the requests, answers, jobs and task states that all
// parts of the system share. They do not depend on the format of messages.
package work

import (
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
)

// Class is the class of a piece of work, which determines how it is scheduled.
type Class uint8

const (
	// Batch is work without a deadline, which may be evicted and finishes
	// eventually.
	Batch Class = iota
	// Urgent is a single request with a deadline.
	Urgent
	// Live is a long-running, latency-critical task.
	Live
	// Feed is a stream of events that stays open to a caller.
	Feed
)

// String returns the name of the class as it is written in the rules file.
func (c Class) String() string {
	switch c {
	case Urgent:
		return "urgent"
	case Live:
		return "live"
	case Feed:
		return "feed"
	default:
		return "batch"
	}
}

// ParseClass returns the class with a name from the rules file, and whether
// there is one.
func ParseClass(word string) (Class, bool) {
	for _, class := range []Class{Batch, Urgent, Live, Feed} {
		if class.String() == word {
			return class, true
		}
	}
	return Batch, false
}

// Request is one urgent request of a caller.
type Request struct {
	ID      ident.RequestID   `cbor:"1,keyasint"`
	Caller  ident.CallerName  `cbor:"2,keyasint"`
	Service ident.ServiceName `cbor:"3,keyasint"`
	// Key is the idempotency key that the caller chose, or empty.
	Key string `cbor:"4,keyasint,omitempty"`
	// Token is a request token issued by an instance, or empty.
	Token string `cbor:"5,keyasint,omitempty"`
	// Remaining is the time that remained until the deadline when the message
	// was sent. It is relative because the clocks of instances are not
	// compared.
	Remaining time.Duration `cbor:"6,keyasint"`
	Body      []byte        `cbor:"7,keyasint,omitempty"`
	// Worker is the worker that the instance which received the request has
	// chosen, or empty.
	Worker ident.WorkerID `cbor:"8,keyasint,omitempty"`
	// Hops is the number of times that the request has been forwarded.
	Hops uint8 `cbor:"9,keyasint,omitempty"`
}

// Answer is the complete answer to one request.
type Answer struct {
	Request ident.RequestID `cbor:"1,keyasint"`
	Outcome fault.Outcome   `cbor:"2,keyasint"`
	// Body is the answer of the backend server if the outcome is Ran.
	Body []byte `cbor:"3,keyasint,omitempty"`
	// Failure is the failure, or nil if the request succeeded.
	Failure *fault.Failure `cbor:"4,keyasint,omitempty"`
	// Token is a new request token for the next request of the caller.
	Token string `cbor:"5,keyasint,omitempty"`
}

// Refuse returns an answer that reports err to the caller. Its outcome is that
// of the fault.Failure inside err.
func Refuse(request ident.RequestID, err error) Answer {
	failure := fault.From(err)
	return Answer{Request: request, Outcome: failure.Outcome, Failure: failure}
}

// Job is a batch job or a live task as its caller submitted it.
type Job struct {
	ID               ident.JobID       `cbor:"1,keyasint" json:"id"`
	Caller           ident.CallerName  `cbor:"2,keyasint" json:"caller"`
	Service          ident.ServiceName `cbor:"3,keyasint" json:"service"`
	Body             []byte            `cbor:"4,keyasint,omitempty" json:"body,omitempty"`
	Demand           resource.Vector   `cbor:"5,keyasint,omitempty" json:"demand"`
	DeclaredDuration time.Duration     `cbor:"6,keyasint,omitempty" json:"declared_duration_ns,omitempty"`
}

// TaskState is the state of a task as its worker reports it.
type TaskState uint8

const (
	// TaskUnknown: the worker has never received the task, or no longer knows
	// it.
	TaskUnknown TaskState = iota
	// TaskRunning: the task is running.
	TaskRunning
	// TaskSucceeded: the task ended successfully.
	TaskSucceeded
	// TaskFailed: the task itself reported a failure.
	TaskFailed
	// TaskStopped: the task was stopped on request or because its run lease
	// expired.
	TaskStopped
)

// String returns the state in lower case.
func (s TaskState) String() string {
	switch s {
	case TaskRunning:
		return "running"
	case TaskSucceeded:
		return "succeeded"
	case TaskFailed:
		return "failed"
	case TaskStopped:
		return "stopped"
	default:
		return "unknown"
	}
}

// IsFinal reports whether the task ran and has ended, so that it can't
// continue.
func (s TaskState) IsFinal() bool {
	return s == TaskSucceeded || s == TaskFailed || s == TaskStopped
}
