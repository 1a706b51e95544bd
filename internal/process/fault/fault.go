// Package fault defines the kinds of failures of the system, and what each of
// them says about whether the work ran.
//
// A failure with outcome NotRun guarantees that the work did not run and will
// never run under the same identifier. It is used only if no order to start the
// work can have left the process, or if the start was provably refused.
package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"
)

// Outcome is what is known about whether a piece of work ran.
type Outcome uint8

const (
	// Unknown means that the work may have run.
	Unknown Outcome = iota
	// NotRun means that the work did not run and will never run.
	NotRun
	// Ran means that the work ran once.
	Ran
)

// String returns the name of the outcome as it is sent to callers.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Failure is an error of a known kind with an outcome.
type Failure struct {
	Kind    Kind    `cbor:"1,keyasint" json:"kind"`
	Outcome Outcome `cbor:"2,keyasint" json:"-"`
	// Detail describes the failure for human readers, for example by the name
	// of the object concerned.
	Detail string `cbor:"3,keyasint,omitempty" json:"detail,omitempty"`
	// RetryAfter is how long the caller should wait before it tries again. Zero
	// means that no time is given.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty" json:"-"`

	cause error
}

// New returns a failure of a kind with the outcome that the kind implies.
func New(kind Kind, format string, args ...any) *Failure {
	return &Failure{
		Kind:    kind,
		Outcome: kind.outcome(),
		Detail:  fmt.Sprintf(format, args...),
	}
}

// Wrap returns a failure of a kind that was caused by err.
func Wrap(kind Kind, err error, format string, args ...any) *Failure {
	failure := New(kind, format, args...)
	failure.cause = err
	return failure
}

// Startup returns an error for a process that can't start or continue. It
// records a stack trace, which is too expensive for the path of a request.
func Startup(kind Kind, err error, format string, args ...any) error {
	failure := Wrap(kind, err, format, args...)
	return oops.Code(string(kind)).Wrap(failure)
}

// WithOutcome returns a copy of f with another outcome.
func (f *Failure) WithOutcome(outcome Outcome) *Failure {
	copied := *f
	copied.Outcome = outcome
	return &copied
}

// WithRetryAfter returns a copy of f that asks the caller to wait for the given
// time before it tries again.
func (f *Failure) WithRetryAfter(wait time.Duration) *Failure {
	copied := *f
	copied.RetryAfter = wait
	return &copied
}

// Error implements error. The text consists of the kind, the detail and the
// cause.
func (f *Failure) Error() string {
	message := string(f.Kind)
	if f.Detail != "" {
		message += ": " + f.Detail
	}
	if f.cause != nil {
		message += ": " + f.cause.Error()
	}
	return message
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.cause
}

// Is reports whether target is a failure of the same kind.
func (f *Failure) Is(target error) bool {
	var other *Failure
	if !errors.As(target, &other) {
		return false
	}
	return f.Kind == other.Kind
}

// From returns the Failure inside err, or nil if err is nil. It wraps any other
// error as Internal with outcome Unknown, because nothing is known about the
// work.
func From(err error) *Failure {
	if err == nil {
		return nil
	}
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return Wrap(Internal, err, "unexpected error")
}

// KindOf returns the kind of the Failure inside err, or "" if err is nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return From(err).Kind
}
