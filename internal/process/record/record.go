// Package record defines the records that the system keeps in the platform's
// log. Records are plain values; internal/connection/codec encodes them.
package record

import (
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// Kind selects the body of an envelope. The numbers are part of the format
// of the log and never change their meaning.
type Kind uint8

const (
	KindJoin      Kind = 1
	KindHeartbeat Kind = 2
	KindLeave     Kind = 3
	KindSuspect   Kind = 4
	KindChange    Kind = 5
	KindHome      Kind = 6
	KindAccepted  Kind = 7
	KindPlacing   Kind = 8
	KindStarted   Kind = 9
	KindEvicted   Kind = 10
	KindDone      Kind = 11
	KindCanceled  Kind = 12
	KindIntent    Kind = 13
	KindOutcome   Kind = 14
	KindSnapshot  Kind = 15
)

// FormatVersion is the newest record format this program reads and writes.
const FormatVersion = 1

// Record is one typed record. Each implementation is listed in this package.
type Record interface {
	RecordKind() Kind
}

// Envelope is a record as it stands in the log. A repeated append of the same
// envelope is recognised by its identifier.
type Envelope struct {
	ID ident.RecordID
	// Writer is the incarnation that appended the record; zero for a tool.
	Writer ident.Incarnation
	// At is the writer's wall clock in milliseconds since 1970, or zero. Only
	// the age of jobs and keys is derived from it.
	At     int64
	Record Record
}

// Join makes its writer a member.
type Join struct {
	// PeerAddress is where other instances connect, as IP:port.
	PeerAddress string           `cbor:"1,keyasint"`
	Zone        ident.ZoneName   `cbor:"2,keyasint"`
	Region      ident.RegionName `cbor:"3,keyasint"`
}

// Heartbeat renews the member lease of its writer. Folded is the membership
// offset up to which the writer has read, which acknowledges all epochs up to it.
type Heartbeat struct {
	Folded ident.Offset `cbor:"1,keyasint"`
}

// Leave removes its writer, which guarantees that it starts nothing any more.
type Leave struct{}

// Suspect removes a member if no heartbeat of it lies between Last and the
// offset of this record.
type Suspect struct {
	Member ident.Incarnation `cbor:"1,keyasint"`
	Last   ident.Offset      `cbor:"2,keyasint"`
}

// Change proposes new rules. It is accepted if Base is the version in force at
// its offset and the rules pass the checks.
type Change struct {
	Base   ident.Offset `cbor:"1,keyasint"`
	Rules  string       `cbor:"2,keyasint"`
	Author string       `cbor:"3,keyasint"`
}

// Home makes its writer the home of the shard. Later records of the stream by
// any other writer are void.
type Home struct {
	// After is the offset of the Home record that this one replaces, or zero.
	// It voids a repeated append that arrives after the next home's record.
	After ident.Offset `cbor:"1,keyasint,omitempty"`
	// Epoch is the membership in which the writer is the home. It voids the
	// record of an instance with an older view of the members, which would
	// otherwise take turns with the home until its view is up to date.
	Epoch ident.Epoch `cbor:"2,keyasint,omitempty"`
}

// Accepted makes a job known. From then on it is never lost.
type Accepted struct {
	Job work.Job `cbor:"1,keyasint"`
}

// Placing announces that an attempt may be started on a worker. The place of
// the worker lets a later home find its owner after the worker left the view.
type Placing struct {
	Job     ident.JobID      `cbor:"1,keyasint"`
	Attempt ident.Attempt    `cbor:"2,keyasint"`
	Worker  ident.WorkerID   `cbor:"3,keyasint"`
	Address string           `cbor:"4,keyasint,omitempty"`
	Zone    ident.ZoneName   `cbor:"5,keyasint,omitempty"`
	Region  ident.RegionName `cbor:"6,keyasint,omitempty"`
}

// Started says that an attempt was seen running.
type Started struct {
	Job     ident.JobID   `cbor:"1,keyasint"`
	Attempt ident.Attempt `cbor:"2,keyasint"`
}

// Evicted ends an attempt that is known to be over without a result. The next
// attempt resumes from Checkpoint.
type Evicted struct {
	Job        ident.JobID   `cbor:"1,keyasint"`
	Attempt    ident.Attempt `cbor:"2,keyasint"`
	Checkpoint []byte        `cbor:"3,keyasint,omitempty"`
	Reason     fault.Kind    `cbor:"4,keyasint,omitempty"`
	// Ran is whether the attempt was started at all.
	Ran bool `cbor:"5,keyasint,omitempty"`
	// Counts is whether the failure counts against the job, because the worker
	// was healthy.
	Counts bool `cbor:"6,keyasint,omitempty"`
}

// Done ends a job with the result of its newest attempt, which is known to be
// over.
type Done struct {
	Job     ident.JobID   `cbor:"1,keyasint"`
	Attempt ident.Attempt `cbor:"2,keyasint"`
	Outcome fault.Outcome `cbor:"3,keyasint"`
	Result  []byte        `cbor:"4,keyasint,omitempty"`
	Reason  fault.Kind    `cbor:"5,keyasint,omitempty"`
}

// Canceled ends a job at the caller's wish. It is void unless Attempt is the
// job's newest attempt, which is known to be over; zero is a job without one.
type Canceled struct {
	Job     ident.JobID   `cbor:"1,keyasint"`
	Attempt ident.Attempt `cbor:"2,keyasint,omitempty"`
}

// Intent announces that a request with an idempotency key may be started.
type Intent struct {
	Caller ident.CallerName `cbor:"1,keyasint"`
	Key    string           `cbor:"2,keyasint"`
	// Digest holds the bytes of the request's token.Digest; a key with another
	// digest is refused.
	Digest []byte `cbor:"3,keyasint"`
	// After is the offset of the key's earlier intent whose request did not run,
	// or zero. It voids a repeated append that arrives late.
	After ident.Offset `cbor:"4,keyasint,omitempty"`
}

// Outcome records how a request with a key or token ended.
type Outcome struct {
	Caller ident.CallerName `cbor:"1,keyasint"`
	// Key is the idempotency key or the request token.
	Key     string        `cbor:"2,keyasint"`
	Outcome fault.Outcome `cbor:"3,keyasint"`
	Body    []byte        `cbor:"4,keyasint,omitempty"`
	Failure fault.Kind    `cbor:"5,keyasint,omitempty"`
	// Intent is the offset of the intent that it settles; zero for a token.
	Intent ident.Offset `cbor:"6,keyasint,omitempty"`
}

// Snapshot carries the state of a stream's fold after the record at offset At.
type Snapshot struct {
	At    ident.Offset `cbor:"1,keyasint"`
	State []byte       `cbor:"2,keyasint"`
}

func (Join) RecordKind() Kind      { return KindJoin }
func (Heartbeat) RecordKind() Kind { return KindHeartbeat }
func (Leave) RecordKind() Kind     { return KindLeave }
func (Suspect) RecordKind() Kind   { return KindSuspect }
func (Change) RecordKind() Kind    { return KindChange }
func (Home) RecordKind() Kind      { return KindHome }
func (Accepted) RecordKind() Kind  { return KindAccepted }
func (Placing) RecordKind() Kind   { return KindPlacing }
func (Started) RecordKind() Kind   { return KindStarted }
func (Evicted) RecordKind() Kind   { return KindEvicted }
func (Done) RecordKind() Kind      { return KindDone }
func (Canceled) RecordKind() Kind  { return KindCanceled }
func (Intent) RecordKind() Kind    { return KindIntent }
func (Outcome) RecordKind() Kind   { return KindOutcome }
func (Snapshot) RecordKind() Kind  { return KindSnapshot }
