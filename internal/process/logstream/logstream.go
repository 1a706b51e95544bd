// Package logstream appends records to the streams of the platform's log and
// reads them continuously.
//
// If the reply to an append is lost, the append may still have taken effect. A
// record therefore counts as written only after it has been read back.
package logstream

import (
	"context"
	"time"

	"poplarvalve/internal/process/ident"
)

// Batch holds consecutive entries of a stream, as returned by one read.
type Batch struct {
	// Oldest is the lowest offset of which the log still holds the entry.
	Oldest ident.Offset
	// Next is the offset that the next append will get.
	Next ident.Offset
	// First is the offset of Entries[0].
	First   ident.Offset
	Entries [][]byte
}

// Log is a client of the platform's log service. The offsets of a stream start
// at 1.
type Log interface {
	// Append adds entries to the end of the stream in order, and returns the
	// offset of the first. After an error the entries may or may not have been
	// added.
	Append(ctx context.Context, stream ident.StreamName, entries [][]byte) (ident.Offset, error)
	// Read returns at most limit entries from the offset from on. If there are
	// none yet, it waits up to wait for one. If from is below the oldest offset
	// that the log still holds, the entries start at the oldest offset.
	Read(ctx context.Context, stream ident.StreamName, from ident.Offset, limit int, wait time.Duration) (Batch, error)
}
