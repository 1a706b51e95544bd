package codec

import (
	"fmt"

	"poplarvalve/internal/process/fault"
)

// InvalidRecordError reports an entry that is not a complete and valid record
// of this format, for example because it is truncated. Its text and its metric
// call such a record torn.
type InvalidRecordError struct{ Reason string }

// UnknownKindError reports a well-formed entry of a record kind that this
// program does not know.
type UnknownKindError struct{ Kind uint64 }

// NewerVersionError reports an entry in a newer format than this program reads.
type NewerVersionError struct{ Version uint64 }

func (e *InvalidRecordError) Error() string { return "torn record: " + e.Reason }
func (e *UnknownKindError) Error() string   { return fmt.Sprintf("unknown record kind %d", e.Kind) }
func (e *NewerVersionError) Error() string  { return fmt.Sprintf("newer record version %d", e.Version) }

// SkipReason returns the name of the reason for skipping the entry, as used in
// metrics.
func (e *InvalidRecordError) SkipReason() string { return "torn" }

// SkipReason returns the name of the reason for skipping the entry, as used in
// metrics.
func (e *UnknownKindError) SkipReason() string { return "unknown_kind" }

// SkipReason returns the name of the reason for skipping the entry, as used in
// metrics.
func (e *NewerVersionError) SkipReason() string { return "newer_version" }

func malformed(cause error) error {
	return fault.Wrap(fault.Malformed, cause, "decoding a log entry")
}
