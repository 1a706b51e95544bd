// Package jobs derives the jobs and idempotency keys of one shard from the records
// of the shard's stream.
//
// The table depends on the records only, so all readers that have applied the same
// offset have the same table. A record counts only if its writer is the home of the
// shard at that offset. A repeated or late record has no effect. An identifier that
// was dropped from the table is never accepted again.
package jobs

import (
	"strings"
	"time"

	"github.com/google/uuid"
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

const (
	// Retention is the minimum time for which ended jobs and keys are kept. A home
	// refuses a new identifier whose time is older than that.
	Retention = 24 * time.Hour
	// MaxClockAhead is the maximum by which the time in an identifier may be
	// ahead of the home's clock.
	MaxClockAhead = 10 * time.Minute
	// clockSkewAllowance is added to Retention before an entry is dropped. It
	// covers the difference between the clocks of two homes; MaxClockAhead covers
	// the clock of the caller.
	clockSkewAllowance = 20 * time.Minute
)

// WorkerLocation is the worker on which an attempt was placed, with the zone and
// region that determine the worker's owner.
type WorkerLocation struct {
	Worker  ident.WorkerID   `cbor:"1,keyasint"`
	Address string           `cbor:"2,keyasint,omitempty"`
	Zone    ident.ZoneName   `cbor:"3,keyasint,omitempty"`
	Region  ident.RegionName `cbor:"4,keyasint,omitempty"`
}

// Job is the state of one job according to the log. It is immutable.
type Job struct {
	Spec  work.Job      `cbor:"1,keyasint"`
	State work.JobState `cbor:"2,keyasint"`
	// Attempt is the number of the newest attempt, or zero if there is none yet.
	Attempt ident.Attempt `cbor:"3,keyasint,omitempty"`
	// Location is the worker on which the newest attempt was placed.
	Location WorkerLocation `cbor:"4,keyasint"`
	// PlacedBy is the incarnation that wrote the newest AttemptPlaced record. Only
	// this incarnation may start the attempt.
	PlacedBy ident.Incarnation `cbor:"5,keyasint"`
	// Started reports whether the newest attempt is known to have started, by an
	// AttemptStarted record.
	Started    bool   `cbor:"6,keyasint,omitempty"`
	Checkpoint []byte `cbor:"7,keyasint,omitempty"`
	// Evictions is the number of attempts that ran and ended without a result.
	Evictions int `cbor:"8,keyasint,omitempty"`
	// FailuresInARow is the number of consecutive attempts that were not started
	// or that failed.
	FailuresInARow int `cbor:"9,keyasint,omitempty"`
	// Failures is the number of failed attempts that count against the job.
	Failures int `cbor:"10,keyasint,omitempty"`
	// FailedOn holds the workers of the attempts in Failures, each once.
	FailedOn []ident.WorkerID `cbor:"11,keyasint,omitempty"`
	// LastFailedWorker is the worker of the last attempt that ended without a result,
	// if that attempt was not started or failed; else it is empty.
	LastFailedWorker ident.WorkerID `cbor:"12,keyasint,omitempty"`
	Outcome          fault.Outcome  `cbor:"13,keyasint,omitempty"`
	Reason           fault.Kind     `cbor:"14,keyasint,omitempty"`
	Result           []byte         `cbor:"15,keyasint,omitempty"`
	// Accepted and Changed are the times of acceptance and of the last change, in
	// milliseconds since 1970 by the clock of the home that wrote the record.
	Accepted int64 `cbor:"16,keyasint"`
	Changed  int64 `cbor:"17,keyasint"`
}

// Status returns the part of the job's state that callers may see.
func (j *Job) Status() work.JobStatus {
	return work.JobStatus{
		ID:        j.Spec.ID,
		Caller:    j.Spec.Caller,
		Service:   j.Spec.Service,
		State:     j.State,
		Attempt:   j.Attempt,
		Worker:    j.Location.Worker,
		Evictions: j.Evictions,
		Reason:    j.Reason,
		Result:    j.Result,
	}
}

// Key is the state of one idempotency key or request token. It is immutable.
type Key struct {
	Caller ident.CallerName `cbor:"1,keyasint"`
	Key    string           `cbor:"2,keyasint"`
	Digest []byte           `cbor:"3,keyasint,omitempty"`
	// Intent is the offset of the newest Intent record, or zero for a request token,
	// which has none.
	Intent ident.Offset `cbor:"4,keyasint,omitempty"`
	// IntentWriter is the incarnation that wrote the newest Intent record. Only this
	// incarnation may grant the key.
	IntentWriter ident.Incarnation `cbor:"5,keyasint"`
	// Resolved reports whether it is known how the request ended, so that Outcome,
	// Body and Failure are valid.
	Resolved bool          `cbor:"6,keyasint,omitempty"`
	Outcome  fault.Outcome `cbor:"7,keyasint,omitempty"`
	Body     []byte        `cbor:"8,keyasint,omitempty"`
	Failure  fault.Kind    `cbor:"9,keyasint,omitempty"`
	// Added is the time of the first record of the key, in milliseconds since 1970 by
	// the clock of the home.
	Added int64 `cbor:"10,keyasint"`
}

// Reusable reports whether the key may be granted again, because its request was
// resolved as not run.
func (k *Key) Reusable() bool {
	return k.Resolved && k.Outcome == fault.NotRun
}

// Table is the result of applying the stream of one shard up to an offset. It is
// immutable.
type Table struct {
	// Offset is the offset of the last applied record.
	Offset ident.Offset
	// Home is the incarnation that is the home of the shard. It wrote the HomeClaim
	// record at offset HomeAt. Records by any other writer are rejected.
	Home   ident.Incarnation
	HomeAt ident.Offset
	// Epoch is the epoch in the record at HomeAt.
	Epoch ident.Epoch
	// LatestRecordTime is the latest time of a record that changed the table, in
	// milliseconds since 1970.
	LatestRecordTime int64
	// DroppedUpTo is the latest time in an identifier that was dropped, in
	// milliseconds since 1970. No new identifier with that time or an earlier one
	// is accepted.
	DroppedUpTo int64
	// Incomplete reports that the table lacks the records at the beginning of the
	// stream.
	Incomplete bool
	// Bytes is the memory that the jobs and keys take, about.
	Bytes int64

	// openJobs and endedJobs hold the jobs by identifier, keys holds the keys by
	// caller and key, and expiries holds the future removals from endedJobs and keys,
	// by time.
	openJobs  *iradix.Tree[*Job]
	endedJobs *iradix.Tree[*Job]
	keys      *iradix.Tree[*Key]
	expiries  *iradix.Tree[expiryEntry]
}

const (
	// jobBytes and keyBytes are what a job and a key take in memory beside their byte fields.
	jobBytes = 1024
	keyBytes = 512
)

// Cost returns the memory that the job takes, about.
func (j *Job) Cost() int64 {
	return int64(jobBytes + len(j.Spec.Body) + len(j.Checkpoint) + len(j.Result))
}

// Cost returns the memory that the key takes, about.
func (k *Key) Cost() int64 {
	return int64(keyBytes + len(k.Caller) + len(k.Key) + len(k.Body))
}

// NewTable returns the table of a stream without records.
func NewTable() *Table {
	return &Table{
		openJobs:  iradix.New[*Job](),
		endedJobs: iradix.New[*Job](),
		keys:      iradix.New[*Key](),
		expiries:  iradix.New[expiryEntry](),
	}
}

// Find returns a job. It reports false if the job was never accepted or has been
// dropped.
func (t *Table) Find(id ident.JobID) (*Job, bool) {
	if job, found := t.openJobs.Get([]byte(id)); found {
		return job, true
	}
	return t.endedJobs.Get([]byte(id))
}

// Key returns a key of a caller. It reports false if the key was never recorded or
// has been dropped.
func (t *Table) Key(caller ident.CallerName, key string) (*Key, bool) {
	return t.keys.Get(qualifiedKey(caller, key))
}

// VisitOpen calls visit for each job that has not ended, ordered by identifier.
// Since identifiers contain a time, the jobs of a team come in order of age.
func (t *Table) VisitOpen(visit func(*Job)) {
	t.openJobs.Root().Walk(func(_ []byte, job *Job) bool {
		visit(job)
		return false
	})
}

// Counts holds the numbers of jobs that have not ended, of ended jobs and of keys.
type Counts struct {
	Open, Ended, Keys int
}

// Counts returns the numbers of jobs and keys in the table.
func (t *Table) Counts() Counts {
	return Counts{Open: t.openJobs.Len(), Ended: t.endedJobs.Len(), Keys: t.keys.Len()}
}

// qualifiedKey returns the name of a key in the tree of keys, which is unique among
// all callers.
func qualifiedKey(caller ident.CallerName, key string) []byte {
	return []byte(string(caller) + "\x00" + key)
}

// Team returns the team in a job identifier, which has the form "team.uuid". It
// reports false if the identifier has no team.
func Team(id ident.JobID) (ident.TeamName, bool) {
	dot := strings.LastIndexByte(string(id), '.')
	if dot <= 0 {
		return "", false
	}
	return ident.TeamName(id[:dot]), true
}

// JobTime returns the time in a job identifier, in milliseconds since 1970. It
// reports false if the identifier does not end in a valid UUID (see KeyTime).
func JobTime(id ident.JobID) (int64, bool) {
	return KeyTime(string(id[strings.LastIndexByte(string(id), '.')+1:]))
}

// KeyTime returns the time in a UUID of version 7, in milliseconds since 1970. It
// reports false for any other string. Only the usual form of 36 lower-case
// characters is valid, so that an identifier can't be written in two ways.
func KeyTime(key string) (int64, bool) {
	parsed, err := uuid.Parse(key)
	if err != nil || parsed.Version() != 7 || parsed.String() != key {
		return 0, false
	}
	var millis int64
	for _, octet := range parsed[:6] {
		millis = millis<<8 | int64(octet)
	}
	return millis, true
}

// CheckTime returns a failure if a home must not accept a new identifier with the
// given time, in milliseconds since 1970. The failure is a BadRequest for a time
// more than MaxClockAhead in the future. It is KeyExpired with outcome Unknown
// for a time more than Retention ago or not after DroppedUpTo, since the
// identifier may have been used and dropped.
func (t *Table) CheckTime(idTime int64, now time.Time) error {
	if idTime > now.Add(MaxClockAhead).UnixMilli() {
		return fault.New(fault.BadRequest, "the time in the identifier is too far in the future")
	}
	if idTime <= t.DroppedUpTo || idTime < now.Add(-Retention).UnixMilli() {
		return fault.New(fault.KeyExpired, "the identifier is expired; identifiers are kept for %s", Retention).WithOutcome(fault.Unknown)
	}
	return nil
}
