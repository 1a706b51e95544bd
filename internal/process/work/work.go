// Package work defines requests, answers and tasks as the whole system sees
// them, independent of any encoding.
package work

import (
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
)

// Class orders work by how it must be treated.
type Class uint8

const (
	// Batch work finishes eventually and may be evicted.
	Batch Class = iota
	// Urgent work is one request with a deadline.
	Urgent
	// Live work is a long-running latency-critical task.
	Live
	// Feed is a standing stream of events to a caller.
	Feed
)

// String returns the class as the rules file writes it.
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

// ParseClass returns the class of a word of the rules file.
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
	// Key is the caller's idempotency key, or empty.
	Key string `cbor:"4,keyasint,omitempty"`
	// Token is a request token issued by an instance, or empty.
	Token string `cbor:"5,keyasint,omitempty"`
	// Remaining is the time to the deadline when the message was sent. Clocks
	// of different instances are not compared.
	Remaining time.Duration `cbor:"6,keyasint"`
	Body      []byte        `cbor:"7,keyasint,omitempty"`
	// Worker is set when a front has chosen the worker.
	Worker ident.WorkerID `cbor:"8,keyasint,omitempty"`
	// Hops counts the forwards so far.
	Hops uint8 `cbor:"9,keyasint,omitempty"`
}

// Answer is the whole answer to one request.
type Answer struct {
	Request ident.RequestID `cbor:"1,keyasint"`
	Outcome fault.Outcome   `cbor:"2,keyasint"`
	// Body is the backend server's answer when the outcome is Ran.
	Body []byte `cbor:"3,keyasint,omitempty"`
	// Failure is set for each answer that is not a success.
	Failure *fault.Failure `cbor:"4,keyasint,omitempty"`
	// Token is a fresh request token for the caller's next request.
	Token string `cbor:"5,keyasint,omitempty"`
}

// Refuse returns the answer that carries err to the caller.
func Refuse(request ident.RequestID, err error) Answer {
	failure := fault.From(err)
	return Answer{Request: request, Outcome: failure.Outcome, Failure: failure}
}

// Job is a batch job or a live task as the caller submitted it.
type Job struct {
	ID       ident.JobID       `cbor:"1,keyasint" json:"id"`
	Caller   ident.CallerName  `cbor:"2,keyasint" json:"caller"`
	Service  ident.ServiceName `cbor:"3,keyasint" json:"service"`
	Body     []byte            `cbor:"4,keyasint,omitempty" json:"body,omitempty"`
	Demand   resource.Vector   `cbor:"5,keyasint,omitempty" json:"demand"`
	Duration time.Duration     `cbor:"6,keyasint,omitempty" json:"declared_duration_ns,omitempty"`
}

// TaskState is what a worker says about one task.
type TaskState uint8

const (
	// TaskUnknown: the worker has never seen the task, or has forgotten it.
	TaskUnknown TaskState = iota
	// TaskRunning: the task runs.
	TaskRunning
	// TaskSucceeded: the task ended well.
	TaskSucceeded
	// TaskErrored: the task ended with a failure of its own.
	TaskErrored
	// TaskStopped: the task was stopped on request or because its run lease lapsed.
	TaskStopped
)

// String returns the state in lower case.
func (s TaskState) String() string {
	switch s {
	case TaskRunning:
		return "running"
	case TaskSucceeded:
		return "succeeded"
	case TaskErrored:
		return "failed"
	case TaskStopped:
		return "stopped"
	default:
		return "unknown"
	}
}

// Over reports whether the task has run and can't run any further.
func (s TaskState) Over() bool {
	return s == TaskSucceeded || s == TaskErrored || s == TaskStopped
}
