// Package ident defines the identifiers that every other package shares.
//
// Each kind of identifier is a type of its own, so that a worker can't be
// passed where an instance is expected.
package ident

import (
	"fmt"
	"strconv"
)

type (
	// InstanceName names an entry instance, as given in its settings.
	InstanceName string
	// WorkerID names a worker, the machine on which tasks run.
	WorkerID string
	// ZoneName names an availability zone.
	ZoneName string
	// RegionName names a region.
	RegionName string
	// TeamName names a team that holds weights and quotas.
	TeamName string
	// CallerName names a caller, as it states it in its requests.
	CallerName string
	// ServiceName names a service of the rules.
	ServiceName string
	// RequestID names one urgent request. It is unique over the whole system.
	RequestID string
	// JobID names one job. It is unique over the whole system.
	JobID string
	// TaskID names one start on a worker: a request, or one attempt of a job.
	TaskID string
	// LeaseID names one lease at a worker.
	LeaseID string
	// RecordID makes a repeated append of one record recognisable.
	RecordID string
	// StreamName names a stream of the platform's log.
	StreamName string
)

// Attempt numbers the attempts of a job, starting at 1.
type Attempt uint32

// Shard numbers a part of the jobs and keys.
type Shard uint16

// Offset is a position in a stream of the platform's log.
type Offset uint64

// Epoch names a set of members by the offset of the membership record that
// made it.
type Epoch uint64

// Incarnation is one run of one process of an instance. A restarted process
// has another nonce, so nothing addressed to its predecessor applies to it.
type Incarnation struct {
	Instance InstanceName `cbor:"1,keyasint" json:"instance"`
	Nonce    uint64       `cbor:"2,keyasint" json:"nonce"`
}

// IsZero reports whether the incarnation is unset.
func (i Incarnation) IsZero() bool {
	return i == Incarnation{}
}

// String returns "instance#nonce", with the nonce in hexadecimal.
func (i Incarnation) String() string {
	return string(i.Instance) + "#" + strconv.FormatUint(i.Nonce, 16)
}

// AttemptTask returns the task identifier of one attempt of a job.
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
