// Package ident defines the identifiers that the packages of the system share.
//
// Each kind of identifier has its own type, so that the compiler rejects, for
// example, a worker in place of an instance.
package ident

import (
	"fmt"
	"strconv"
)

type (
	// InstanceName is the name of an entry instance, as set in its settings.
	InstanceName string
	// WorkerID identifies a worker, that is, a machine on which tasks run.
	WorkerID string
	// ZoneName is the name of an availability zone.
	ZoneName string
	// RegionName is the name of a region.
	RegionName string
	// TeamName is the name of a team, to which weights and quotas are assigned.
	TeamName string
	// CallerName is the name that a caller gives in its requests.
	CallerName string
	// ServiceName is the name of a service that the rules define.
	ServiceName string
	// RequestID identifies an urgent request. It is unique in the whole system.
	RequestID string
	// JobID identifies a job. It is unique in the whole system.
	JobID string
	// TaskID identifies one task on a worker, which is a request or one attempt
	// of a job.
	TaskID string
	// LeaseID identifies a lease at a worker.
	LeaseID string
	// RecordID identifies a record, so that a repeated append of it is
	// recognized.
	RecordID string
	// StreamName is the name of a stream of the platform's log.
	StreamName string
)

// Attempt is the number of an attempt of a job, starting at 1.
type Attempt uint32

// Shard is the number of a shard. Each job and each idempotency key belongs to
// one shard.
type Shard uint16

// Offset is a position in a stream of the platform's log.
type Offset uint64

// Epoch identifies a set of members by the offset of the membership record that
// resulted in it.
type Epoch uint64

// Incarnation identifies one run of the process of an instance. A restarted
// process has another nonce, so messages addressed to its predecessor do not
// apply to it.
type Incarnation struct {
	Instance InstanceName `cbor:"1,keyasint" json:"instance"`
	Nonce    uint64       `cbor:"2,keyasint" json:"nonce"`
}

// IsZero reports whether i is the zero value, which identifies no process.
func (i Incarnation) IsZero() bool {
	return i == Incarnation{}
}

// String returns "instance#nonce" with the nonce in hexadecimal.
func (i Incarnation) String() string {
	return string(i.Instance) + "#" + strconv.FormatUint(i.Nonce, 16)
}

// AttemptTask returns the identifier of the task of one attempt of a job.
func AttemptTask(job JobID, attempt Attempt) TaskID {
	return TaskID(fmt.Sprintf("%s/%d", job, attempt))
}

// ShardStream returns the stream that holds the records of a shard.
func ShardStream(shard Shard) StreamName {
	return StreamName(fmt.Sprintf("work-%02d", shard))
}

// The streams that every instance follows.
const (
	ConfigStream  StreamName = "config"
	MembersStream StreamName = "members"
)
