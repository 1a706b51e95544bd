package main

import (
	"errors"
	"fmt"
)

// The exit codes. Scripts rely on them, so their meaning does not change.
const (
	// exitOK: the command did what it says.
	exitOK = 0
	// exitFailure: the command failed for a reason that has no code of its own.
	exitFailure = 1
	// exitUsage: the command line is wrong, and nothing was sent.
	exitUsage = 2
	// exitNotRun: the request was refused and did not take effect.
	exitNotRun = 3
	// exitLost: another change of the rules won the race.
	exitLost = 4
	// exitUnknown: the request may have taken effect; repeat it with the same
	// identifier to learn its outcome.
	exitUnknown = 5
)

// exitError ends the command with a code.
type exitError struct {
	code    int
	message string
}

func (e *exitError) Error() string { return e.message }

func fail(code int, format string, args ...any) error {
	return &exitError{code, fmt.Sprintf(format, args...)}
}

func codeOf(err error) int {
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
