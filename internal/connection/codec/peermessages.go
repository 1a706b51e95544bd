package codec

import (
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/workers"
)

// PeerKind is the type of a peer message. Numbers are never reused.
type PeerKind uint8

// The kinds of peer messages.
const (
	KindHello             PeerKind = 1
	KindForward           PeerKind = 2
	KindAnswerHead        PeerKind = 3
	KindAnswerFrame       PeerKind = 4
	KindWindow            PeerKind = 5
	KindResolve           PeerKind = 6
	KindResolved          PeerKind = 7
	KindCancel            PeerKind = 8
	KindSummary           PeerKind = 9
	KindZoneTotal         PeerKind = 10
	KindConfigOffer       PeerKind = 11
	KindLeaseGrantRequest PeerKind = 12
	KindLeaseGrantReply   PeerKind = 13
	KindWorkerRequest     PeerKind = 14
	KindWorkerReply       PeerKind = 15
	KindJob               PeerKind = 16
	KindJobDone           PeerKind = 17
	KindRefused           PeerKind = 18
)

// Hello introduces the sender and acknowledges the log offset up to which it
// has applied the records.
type Hello struct {
	From          ident.Incarnation `cbor:"1,keyasint"`
	Zone          ident.ZoneName    `cbor:"2,keyasint"`
	Region        ident.RegionName  `cbor:"3,keyasint"`
	AppliedOffset ident.Offset      `cbor:"4,keyasint"`
	ConfigVersion ident.Offset      `cbor:"5,keyasint"`
}

// Forward runs a request at the receiver. Number rises by one with each forward
// of the sending incarnation, so that the receiver can tell a number that it
// has never seen from one that it has forgotten.
type Forward struct {
	Number  uint64       `cbor:"1,keyasint"`
	Request work.Request `cbor:"2,keyasint"`
}

// AnswerHead precedes the frames of an answer. Resolved messages have the same
// layout.
type AnswerHead struct {
	Request ident.RequestID `cbor:"1,keyasint"`
	Outcome fault.Outcome   `cbor:"2,keyasint"`
	// Total is the length of the body in bytes.
	Total   int64          `cbor:"3,keyasint"`
	Failure *fault.Failure `cbor:"4,keyasint,omitempty"`
	Token   string         `cbor:"5,keyasint,omitempty"`
}

// AnswerFrame is one part of an answer's body. Parts are numbered from zero.
type AnswerFrame struct {
	Request ident.RequestID `cbor:"1,keyasint"`
	Index   uint32          `cbor:"2,keyasint"`
	Data    []byte          `cbor:"3,keyasint"`
	Last    bool            `cbor:"4,keyasint,omitempty"`
}

// Window tells the sender of an answer how many bytes of the body have been
// received so far.
type Window struct {
	ReceivedBytes int64 `cbor:"1,keyasint"`
}

// Resolve asks for the outcome of a forward.
type Resolve struct {
	Number  uint64          `cbor:"1,keyasint"`
	Request ident.RequestID `cbor:"2,keyasint"`
}

// Cancel cancels the request whose sequence number the envelope carries.
type Cancel struct {
	Request ident.RequestID `cbor:"1,keyasint"`
}

// Summary reports those workers owned by the sender that have changed.
type Summary struct {
	Workers []workers.Summary `cbor:"1,keyasint"`
}

// ZoneTotal reports the totals of a whole zone to other zones.
type ZoneTotal struct {
	Zone  ident.ZoneName  `cbor:"1,keyasint"`
	Free  resource.Vector `cbor:"2,keyasint"`
	Queue int64           `cbor:"3,keyasint"`
}

// ConfigOffer passes on a version of the configuration.
type ConfigOffer struct {
	Version ident.Offset `cbor:"1,keyasint"`
	Author  string       `cbor:"2,keyasint"`
	Rules   string       `cbor:"3,keyasint,omitempty"`
}

// LeaseGrantRequest asks the receiver for a lease grant: its word not to act on
// an epoch without the sender.
type LeaseGrantRequest struct {
	Epoch ident.Epoch `cbor:"1,keyasint"`
	// Sent is the sender's monotonic time. The reply echoes it unchanged.
	Sent time.Duration `cbor:"2,keyasint"`
}

// LeaseGrantReply is the reply to a LeaseGrantRequest.
type LeaseGrantReply struct {
	Epoch         ident.Epoch   `cbor:"1,keyasint"`
	Sent          time.Duration `cbor:"2,keyasint"`
	Granted       bool          `cbor:"3,keyasint"`
	ConfigVersion ident.Offset  `cbor:"4,keyasint"`
}

// WorkerRequest asks a peer of another zone for a worker with enough free
// capacity for the demand.
type WorkerRequest struct {
	Demand resource.Vector `cbor:"1,keyasint"`
}

// WorkerReply is the reply to a WorkerRequest. An empty Worker means that there
// is none.
type WorkerReply struct {
	Worker ident.WorkerID `cbor:"1,keyasint,omitempty"`
}

// Job calls a named operation on jobs at the receiver.
type Job struct {
	Operation string `cbor:"1,keyasint"`
	Body      []byte `cbor:"2,keyasint,omitempty"`
}

// JobDone is the reply to a Job.
type JobDone struct {
	Body []byte `cbor:"1,keyasint,omitempty"`
}

// Refused is the reply to a request on which the receiver did not act.
type Refused struct {
	Failure fault.Failure `cbor:"1,keyasint"`
}

// newPeerMessage returns a pointer to a zero message of a kind, or nil if the
// kind is unknown.
func newPeerMessage(kind PeerKind) any {
	switch kind {
	case KindHello:
		return &Hello{}
	case KindForward:
		return &Forward{}
	case KindAnswerHead, KindResolved:
		return &AnswerHead{}
	case KindAnswerFrame:
		return &AnswerFrame{}
	case KindWindow:
		return &Window{}
	case KindResolve:
		return &Resolve{}
	case KindCancel:
		return &Cancel{}
	case KindSummary:
		return &Summary{}
	case KindZoneTotal:
		return &ZoneTotal{}
	case KindConfigOffer:
		return &ConfigOffer{}
	case KindLeaseGrantRequest:
		return &LeaseGrantRequest{}
	case KindLeaseGrantReply:
		return &LeaseGrantReply{}
	case KindWorkerRequest:
		return &WorkerRequest{}
	case KindWorkerReply:
		return &WorkerReply{}
	case KindJob:
		return &Job{}
	case KindJobDone:
		return &JobDone{}
	case KindRefused:
		return &Refused{}
	default:
		return nil
	}
}
