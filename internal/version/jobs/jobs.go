// Package jobs folds the stream of one shard into its jobs and idempotency
// keys.
//
// The fold is a pure function of the records, so every reader of an offset
// holds the same table. A record by anyone but the home of its offset is void.
// A repeated or late record changes nothing. An identifier that was forgotten
// is never accepted again.
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
	// Window is how long ended jobs and keys are kept at least, and the age from
	// which a home refuses a new identifier.
	Window = 24 * time.Hour
	// MaxAhead is how far the time in an identifier may be ahead of the home's
	// clock.
	MaxAhead = 10 * time.Minute
	// slack covers the difference between the clocks of two homes, beyond
	// MaxAhead for the clock of the caller.
	slack = 20 * time.Minute
)

// Place is the worker of an attempt, with what is needed to find its owner.
type Place struct {
	Worker  ident.WorkerID   `cbor:"1,keyasint"`
	Address string           `cbor:"2,keyasint,omitempty"`
	Zone    ident.ZoneName   `cbor:"3,keyasint,omitempty"`
	Region  ident.RegionName `cbor:"4,keyasint,omitempty"`
}

// Job is one job as the log knows it. It is immutable.
type Job struct {
	Spec  work.Job      `cbor:"1,keyasint"`
	State work.JobState `cbor:"2,keyasint"`
	// Attempt is the newest attempt, or zero.
	Attempt ident.Attempt `cbor:"3,keyasint,omitempty"`
	// At is where the newest attempt was placed.
	At Place `cbor:"4,keyasint"`
	// Placer wrote the newest Placing. Only it may begin the attempt.
	Placer ident.Incarnation `cbor:"5,keyasint"`
	// Seen is whether the newest attempt was seen running.
	Seen       bool   `cbor:"6,keyasint,omitempty"`
	Checkpoint []byte `cbor:"7,keyasint,omitempty"`
	// Evictions counts the attempts that ran and ended without a result.
	Evictions int `cbor:"8,keyasint,omitempty"`
	// Refusals counts the attempts in a row that were not started or failed.
	Refusals int `cbor:"9,keyasint,omitempty"`
	// Failures counts the failed attempts that count against the job.
	Failures int `cbor:"10,keyasint,omitempty"`
	// FailedOn holds the different workers of Failures.
	FailedOn []ident.WorkerID `cbor:"11,keyasint,omitempty"`
	// LastFailed is the worker on which the newest attempt failed, or empty.
	LastFailed ident.WorkerID `cbor:"12,keyasint,omitempty"`
	Outcome    fault.Outcome  `cbor:"13,keyasint,omitempty"`
	Reason     fault.Kind     `cbor:"14,keyasint,omitempty"`
	Result     []byte         `cbor:"15,keyasint,omitempty"`
	// Accepted and Changed are times in milliseconds since 1970, by the clocks
	// of the homes.
	Accepted int64 `cbor:"16,keyasint"`
	Changed  int64 `cbor:"17,keyasint"`
}

// Status returns what a caller may know of the job.
func (j *Job) Status() work.JobStatus {
	return work.JobStatus{
		ID:        j.Spec.ID,
		Caller:    j.Spec.Caller,
		Service:   j.Spec.Service,
		State:     j.State,
		Attempt:   j.Attempt,
		Worker:    j.At.Worker,
		Evictions: j.Evictions,
		Reason:    j.Reason,
		Result:    j.Result,
	}
}

// Key is one idempotency key or request token. It is immutable.
type Key struct {
	Caller ident.CallerName `cbor:"1,keyasint"`
	Key    string           `cbor:"2,keyasint"`
	Digest []byte           `cbor:"3,keyasint,omitempty"`
	// Intent is the offset of the newest intent; zero for a token.
	Intent ident.Offset `cbor:"4,keyasint,omitempty"`
	// Writer wrote the newest intent. Only it may grant the key.
	Writer ident.Incarnation `cbor:"5,keyasint"`
	// Settled is whether the fields below say how the request ended.
	Settled bool          `cbor:"6,keyasint,omitempty"`
	Outcome fault.Outcome `cbor:"7,keyasint,omitempty"`
	Body    []byte        `cbor:"8,keyasint,omitempty"`
	Failure fault.Kind    `cbor:"9,keyasint,omitempty"`
	Added   int64         `cbor:"10,keyasint"`
}

// Reusable reports whether the key may be granted once more, because its
// request did not run.
func (k *Key) Reusable() bool {
	return k.Settled && k.Outcome == fault.NotRun
}

// Table is the fold of one stream up to an offset. It is immutable.
type Table struct {
	Offset ident.Offset
	// Home wrote the record at HomeAt; records by any other writer are void.
	Home   ident.Incarnation
	HomeAt ident.Offset
	// Epoch is that of the record at HomeAt.
	Epoch ident.Epoch
	// Clock is the newest time of a valid record.
	Clock int64
	// Floor is the newest time of an identifier that was forgotten. No new
	// identifier of that time or before it is accepted.
	Floor int64
	// Lost says that the records before Offset are not known.
	Lost bool

	open   *iradix.Tree[*Job]
	ended  *iradix.Tree[*Job]
	keys   *iradix.Tree[*Key]
	expiry *iradix.Tree[expiring]
}

// Empty returns the table before the first record.
func Empty() *Table {
	return &Table{
		open:   iradix.New[*Job](),
		ended:  iradix.New[*Job](),
		keys:   iradix.New[*Key](),
		expiry: iradix.New[expiring](),
	}
}

// Find returns a job that is not forgotten.
func (t *Table) Find(id ident.JobID) (*Job, bool) {
	if job, found := t.open.Get([]byte(id)); found {
		return job, true
	}
	return t.ended.Get([]byte(id))
}

// Key returns a key that is not forgotten.
func (t *Table) Key(caller ident.CallerName, key string) (*Key, bool) {
	return t.keys.Get(keyName(caller, key))
}

// Open calls visit with each job that is not over, ordered by identifier. The
// time in the identifiers makes this the order of age within a team.
func (t *Table) Open(visit func(*Job)) {
	t.open.Root().Walk(func(_ []byte, job *Job) bool {
		visit(job)
		return false
	})
}

// Counts are the numbers of entries of a table.
type Counts struct {
	Open, Ended, Keys int
}

// Counts returns the numbers of entries.
func (t *Table) Counts() Counts {
	return Counts{Open: t.open.Len(), Ended: t.ended.Len(), Keys: t.keys.Len()}
}

func keyName(caller ident.CallerName, key string) []byte {
	return []byte(string(caller) + "\x00" + key)
}

// Team returns the team of a job identifier "team.uuid".
func Team(id ident.JobID) (ident.TeamName, bool) {
	dot := strings.LastIndexByte(string(id), '.')
	if dot <= 0 {
		return "", false
	}
	return ident.TeamName(id[:dot]), true
}

// TimeOfJob returns the time in a job identifier, in milliseconds since 1970.
func TimeOfJob(id ident.JobID) (int64, bool) {
	return TimeOfKey(string(id[strings.LastIndexByte(string(id), '.')+1:]))
}

// TimeOfKey returns the time in a UUID of version 7, in milliseconds since
// 1970. Only the usual form of 36 lower-case characters counts, so that one
// identifier can't be written in two ways.
func TimeOfKey(key string) (int64, bool) {
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

// CheckTime refuses a new identifier of a time that a home must not accept. An
// old one is KeyExpired with outcome Unknown, since it may be forgotten.
func (t *Table) CheckTime(stated int64, now time.Time) error {
	if stated > now.Add(MaxAhead).UnixMilli() {
		return fault.New(fault.BadRequest, "the time in the identifier is in the future")
	}
	if stated <= t.Floor || stated < now.Add(-Window).UnixMilli() {
		return fault.New(fault.KeyExpired, "identifiers are kept for %s", Window).WithOutcome(fault.Unknown)
	}
	return nil
}
