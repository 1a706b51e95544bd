package main

import (
	"errors"
	"fmt"
)

// Exit codes. Scripts rely on them, so their values and meanings must not change.
const (
	// exitOK means that the command succeeded.
	exitOK = 0
	// exitFailure means that the command failed for a reason that has no other exit
	// code.
	exitFailure = 1
	// exitUsage means that the command line is wrong or an input can't be read, and
	// that no request was sent.
	exitUsage = 2
	// exitNotRun means that the request was refused and did not take effect, or
	// that a rules file has problems or a manifest file has errors.
	exitNotRun = 3
	// exitConflict means that the rules were not changed, because another change came
	// into force first.
	exitConflict = 4
	// exitUnknown means that the request may have taken effect. Repeating it with
	// the same identifier tells its outcome.
	exitUnknown = 5
)

// exitError is an error that sets the exit code of the command.
type exitError struct {
	code    int
	message string
}

func (e *exitError) Error() string { return e.message }

// newExitError returns an error that sets the exit code of the command.
func newExitError(code int, format string, args ...any) error {
	return &exitError{code, fmt.Sprintf(format, args...)}
}

// exitCodeOf returns the exit code for the result of a command: exitOK for nil, and
// exitFailure for an error that states no code.
func exitCodeOf(err error) int {
	var exit *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return exit.code
	default:
		return exitFailure
	}
}
