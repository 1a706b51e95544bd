// Package fault defines the failures of the system and what each says about
// the work it concerns.
//
// A failure with outcome NotRun guarantees that the work did not run and never
// will under the same identifier. It is given only when a start can't have
// left the process or was provably refused.
package fault

import (
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"
)

// Outcome says what is known about whether work ran.
type Outcome uint8

const (
	// Unknown means that the work may have run.
	Unknown Outcome = iota
	// NotRun means that the work did not run and never will.
	NotRun
	// Ran means that the work ran once.
	Ran
)

// String returns the outcome as callers see it.
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
	// Detail names the thing concerned, for people.
	Detail string `cbor:"3,keyasint,omitempty" json:"detail,omitempty"`
	// RetryAfter is how long the caller should wait; zero means not stated.
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

// Startup returns an error for a process that can't start or go on. It carries
// a stack trace, so it is not meant for the path of a request.
func Startup(kind Kind, err error, format string, args ...any) error {
	failure := Wrap(kind, err, format, args...)
	return oops.Code(string(kind)).Wrap(failure)
}

// WithOutcome returns a copy with another outcome.
func (f *Failure) WithOutcome(outcome Outcome) *Failure {
	changed := *f
	changed.Outcome = outcome
	return &changed
}

// WithRetryAfter returns a copy that asks the caller to wait.
func (f *Failure) WithRetryAfter(wait time.Duration) *Failure {
	changed := *f
	changed.RetryAfter = wait
	return &changed
}

// Error implements error.
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

// From returns the failure inside err. An error that holds none becomes
// Internal with outcome Unknown, since nothing is known about the work.
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

// KindOf returns the kind of the failure inside err, or "" for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return From(err).Kind
}
