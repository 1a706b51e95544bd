// Package record defines the records that the system writes to the platform's
// log. They are plain values, which internal/connection/codec encodes.
package record

import (
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// Kind is the number of a record type. It selects the type of the body of an
// encoded envelope. The numbers are part of the format of the log, so their
// meaning must never change.
type Kind uint8

// The kinds of records, each named after its type.
const (
	KindJoin           Kind = 1
	KindHeartbeat      Kind = 2
	KindLeave          Kind = 3
	KindSuspect        Kind = 4
	KindRulesChange    Kind = 5
	KindHomeClaim      Kind = 6
	KindJobAccepted    Kind = 7
	KindAttemptPlaced  Kind = 8
	KindAttemptStarted Kind = 9
	KindAttemptEnded   Kind = 10
	KindJobDone        Kind = 11
	KindJobCanceled    Kind = 12
	KindIntent         Kind = 13
	KindOutcome        Kind = 14
	KindSnapshot       Kind = 15
)

// FormatVersion is the newest version of the record format that this program
// can read. It writes this version.
const FormatVersion = 1

// Record is a record of one of the types in this package.
type Record interface {
	// RecordKind returns the kind that stands for the record's type.
	RecordKind() Kind
}

// Envelope is a record with the data that is stored with it in the log. Readers
// recognize a repeated append of the same envelope by its ID.
type Envelope struct {
	ID ident.RecordID
	// Writer is the incarnation that appended the record. It is the zero value
	// if a tool did.
	Writer ident.Incarnation
	// At is the time of the writer's wall clock in milliseconds since the Unix
	// epoch, or zero if unknown. It is used only for the age of jobs and keys.
	At     int64
	Record Record
}

// Join makes its writer a member of the system.
type Join struct {
	// PeerAddress is the address to which other instances connect, as IP:port.
	PeerAddress string           `cbor:"1,keyasint"`
	Zone        ident.ZoneName   `cbor:"2,keyasint"`
	Region      ident.RegionName `cbor:"3,keyasint"`
}

// Heartbeat renews the member lease of its writer. AppliedOffset is the offset
// up to which the writer has applied the membership records. The writer thereby
// acknowledges all epochs up to this offset.
type Heartbeat struct {
	AppliedOffset ident.Offset `cbor:"1,keyasint"`
}

// Leave removes its writer from the members. The writer guarantees that it
// starts no more work.
type Leave struct{}

// Suspect removes a member, unless the stream holds a heartbeat of it between
// the offset Last and the offset of this record.
type Suspect struct {
	Member ident.Incarnation `cbor:"1,keyasint"`
	Last   ident.Offset      `cbor:"2,keyasint"`
}

// RulesChange proposes new rules. It takes effect if Base is the version in
// force at the offset of this record and the rules are valid.
type RulesChange struct {
	Base   ident.Offset `cbor:"1,keyasint"`
	Rules  string       `cbor:"2,keyasint"`
	Author string       `cbor:"3,keyasint"`
}

// HomeClaim makes its writer the home of the shard, which is the instance that
// manages the shard's jobs and keys. Readers reject later records of the stream
// by any other writer.
type HomeClaim struct {
	// After is the offset of the HomeClaim record that this one replaces, or zero
	// for the first. If a repeated append of this record arrives after the record
	// of the next home, it is rejected because of After.
	After ident.Offset `cbor:"1,keyasint,omitempty"`
	// Epoch is the epoch of the members among which the writer is the home. The
	// record of an instance with an older view of the members is rejected.
	// Otherwise this instance and the home would alternately replace each other
	// until its view is up to date.
	Epoch ident.Epoch `cbor:"2,keyasint,omitempty"`
}

// JobAccepted records that a job was accepted. From then on the job is never
// lost.
type JobAccepted struct {
	Job work.Job `cbor:"1,keyasint"`
}

// AttemptPlaced announces that an attempt may be started on a worker. Address,
// Zone and Region are those of the worker. With them a later home can determine
// the owner of the worker even after the worker is no longer listed.
type AttemptPlaced struct {
	Job     ident.JobID      `cbor:"1,keyasint"`
	Attempt ident.Attempt    `cbor:"2,keyasint"`
	Worker  ident.WorkerID   `cbor:"3,keyasint"`
	Address string           `cbor:"4,keyasint,omitempty"`
	Zone    ident.ZoneName   `cbor:"5,keyasint,omitempty"`
	Region  ident.RegionName `cbor:"6,keyasint,omitempty"`
}

// AttemptStarted records that an attempt was seen running.
type AttemptStarted struct {
	Job     ident.JobID   `cbor:"1,keyasint"`
	Attempt ident.Attempt `cbor:"2,keyasint"`
}

// AttemptEnded ends an attempt that is known to have ended without a result.
// The next attempt resumes from Checkpoint.
type AttemptEnded struct {
	Job        ident.JobID   `cbor:"1,keyasint"`
	Attempt    ident.Attempt `cbor:"2,keyasint"`
	Checkpoint []byte        `cbor:"3,keyasint,omitempty"`
	Reason     fault.Kind    `cbor:"4,keyasint,omitempty"`
	// Ran says whether the attempt was started at all.
	Ran bool `cbor:"5,keyasint,omitempty"`
	// CountsAgainstJob says whether the failure counts against the job. This is
	// so if the worker was healthy.
	CountsAgainstJob bool `cbor:"6,keyasint,omitempty"`
}

// JobDone ends a job with the result of its newest attempt, which is known to
// have ended.
type JobDone struct {
	Job     ident.JobID   `cbor:"1,keyasint"`
	Attempt ident.Attempt `cbor:"2,keyasint"`
	Outcome fault.Outcome `cbor:"3,keyasint"`
	Result  []byte        `cbor:"4,keyasint,omitempty"`
	Reason  fault.Kind    `cbor:"5,keyasint,omitempty"`
}

// JobCanceled ends a job because the caller canceled it. Attempt is the newest
// attempt of the job, which is known to have ended, or zero if the job had
// none. The record is rejected unless Attempt is the newest attempt at its
// offset.
type JobCanceled struct {
	Job     ident.JobID   `cbor:"1,keyasint"`
	Attempt ident.Attempt `cbor:"2,keyasint,omitempty"`
}

// Intent announces that a request with the idempotency key Key may be started.
type Intent struct {
	Caller ident.CallerName `cbor:"1,keyasint"`
	Key    string           `cbor:"2,keyasint"`
	// Digest holds the bytes of the token.Digest of the request. A request with
	// the same key and another digest is refused.
	Digest []byte `cbor:"3,keyasint"`
	// After is the offset of the previous intent with the same key, whose request
	// did not run, or zero if there is none. Because of it, a repeated append that
	// arrives late is rejected.
	After ident.Offset `cbor:"4,keyasint,omitempty"`
}

// Outcome records the outcome of a request with an idempotency key or request
// token.
type Outcome struct {
	Caller ident.CallerName `cbor:"1,keyasint"`
	// Key is the idempotency key or the request token.
	Key     string        `cbor:"2,keyasint"`
	Outcome fault.Outcome `cbor:"3,keyasint"`
	Body    []byte        `cbor:"4,keyasint,omitempty"`
	Failure fault.Kind    `cbor:"5,keyasint,omitempty"`
	// Intent is the offset of the Intent record that this outcome resolves. It
	// is zero for a request token.
	Intent ident.Offset `cbor:"6,keyasint,omitempty"`
}

// Snapshot holds the encoded state that results from applying the records of
// its stream up to and including the offset At.
type Snapshot struct {
	At    ident.Offset `cbor:"1,keyasint"`
	State []byte       `cbor:"2,keyasint"`
}

func (Join) RecordKind() Kind           { return KindJoin }
func (Heartbeat) RecordKind() Kind      { return KindHeartbeat }
func (Leave) RecordKind() Kind          { return KindLeave }
func (Suspect) RecordKind() Kind        { return KindSuspect }
func (RulesChange) RecordKind() Kind    { return KindRulesChange }
func (HomeClaim) RecordKind() Kind      { return KindHomeClaim }
func (JobAccepted) RecordKind() Kind    { return KindJobAccepted }
func (AttemptPlaced) RecordKind() Kind  { return KindAttemptPlaced }
func (AttemptStarted) RecordKind() Kind { return KindAttemptStarted }
func (AttemptEnded) RecordKind() Kind   { return KindAttemptEnded }
func (JobDone) RecordKind() Kind        { return KindJobDone }
func (JobCanceled) RecordKind() Kind    { return KindJobCanceled }
func (Intent) RecordKind() Kind         { return KindIntent }
func (Outcome) RecordKind() Kind        { return KindOutcome }
func (Snapshot) RecordKind() Kind       { return KindSnapshot }
