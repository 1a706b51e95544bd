package codec

import (
	"fmt"

	"poplarvalve/internal/process/fault"
)

// TornError says that an entry isn't a complete record of this format.
type TornError struct{ Reason string }

// UnknownKindError says that an entry is well formed, but of a kind that this
// program doesn't know.
type UnknownKindError struct{ Kind uint64 }

// NewerVersionError says that a later program wrote the entry.
type NewerVersionError struct{ Version uint64 }

func (e *TornError) Error() string         { return "torn record: " + e.Reason }
func (e *UnknownKindError) Error() string  { return fmt.Sprintf("unknown record kind %d", e.Kind) }
func (e *NewerVersionError) Error() string { return fmt.Sprintf("newer record version %d", e.Version) }

// SkipReason names the reason in counters.
func (e *TornError) SkipReason() string { return "torn" }

// SkipReason names the reason in counters.
func (e *UnknownKindError) SkipReason() string { return "unknown_kind" }

// SkipReason names the reason in counters.
func (e *NewerVersionError) SkipReason() string { return "newer_version" }

func malformed(cause error) error {
	return fault.Wrap(fault.Malformed, cause, "log entry")
}
