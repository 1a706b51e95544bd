// Package logstream appends to and follows the streams of the platform's log.
//
// An append whose reply was lost may have taken effect, so a record counts as
// written only when it has been read back.
package logstream

import (
	"context"
	"time"

	"poplarvalve/internal/process/ident"
)

// Batch is a run of consecutive entries of a stream.
type Batch struct {
	// Oldest is the lowest offset that the log still holds.
	Oldest ident.Offset
	// Next is the offset that the next append will get.
	Next ident.Offset
	// First is the offset of Entries[0].
	First   ident.Offset
	Entries [][]byte
}

// Log is the platform's log service. Offsets of a stream start at 1.
type Log interface {
	// Append adds entries in order and returns the offset of the first. After
	// an error the entries may or may not have been added.
	Append(ctx context.Context, stream ident.StreamName, entries [][]byte) (ident.Offset, error)
	// Read returns entries from an offset on. It waits up to wait for an entry
	// when there is none. A start below Oldest returns entries from Oldest on.
	Read(ctx context.Context, stream ident.StreamName, from ident.Offset, limit int, wait time.Duration) (Batch, error)
}
