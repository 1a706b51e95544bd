// Package peer holds the links between instances. A Node connects to every
// other member, exchanges Hello messages that show the link to be alive, and
// carries requests, their replies and one-way messages.
//
// A reply reaches only the request whose sequence number it carries, on the
// connection that carried the request. A request that ends without a reply has
// outcome NotRun only if its message had not been handed to the connection. The
// package makes no scheduling decisions: it passes the requests and messages of
// other packages to the interfaces in Config.
package peer

import (
	"context"
	"time"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/workers"
)

// Conn carries whole messages in both directions. Send and Receive may run
// concurrently with each other, but neither may be called by two goroutines at
// the same time.
type Conn interface {
	// Send hands one message to the connection. After an error the message may
	// or may not have been sent.
	Send(ctx context.Context, data []byte) error
	// Receive waits for the next message and returns it. It returns an error
	// when the connection or ctx has ended.
	Receive(ctx context.Context) ([]byte, error)
	// Close ends the connection immediately, without a close handshake. It may
	// be called several times.
	Close()
}

// Dialer opens connections to peer addresses.
type Dialer interface {
	Dial(ctx context.Context, address string) (Conn, error)
}

// Requests serves the requests that other instances forward to this one.
type Requests interface {
	// RunForwarded runs a forwarded request and returns its answer. The instance
	// from numbers its forwards in rising order. The context ends when from
	// cancels the request.
	RunForwarded(ctx context.Context, from ident.Incarnation, number uint64, request work.Request) work.Answer
	// Resolve returns what is known about the outcome of the forward with this
	// number.
	Resolve(ctx context.Context, from ident.Incarnation, number uint64, request ident.RequestID) work.Answer
}

// Handlers takes the messages of other packages. The methods without a context
// run on the goroutine that reads the link, so they must return quickly: no
// other message of the link is read until then.
type Handlers interface {
	// Hello takes what a peer reports about itself.
	Hello(hello codec.Hello)
	// Summary takes the state of workers that a peer of the same zone owns.
	Summary(from ident.Incarnation, summary codec.Summary)
	// ZoneTotal takes the total free capacity of another zone.
	ZoneTotal(from ident.Incarnation, total codec.ZoneTotal)
	// ConfigOffer takes a rules version.
	ConfigOffer(from ident.Incarnation, offer codec.ConfigOffer)
	// GrantLease answers a request for a lease grant.
	GrantLease(from ident.Incarnation, request codec.LeaseGrantRequest) codec.LeaseGrantReply
	// FindWorker names a worker of the own zone with enough free capacity, if
	// there is one.
	FindWorker(ctx context.Context, from ident.Incarnation, request codec.WorkerRequest) codec.WorkerReply
	// HandleJobOperation runs an operation on jobs.
	HandleJobOperation(ctx context.Context, from ident.Incarnation, job codec.Job) (codec.JobDone, error)
}

// Assembly puts the frames of one answer together. Package request/answer
// implements it.
type Assembly interface {
	// SetHead takes the head of the answer. total is the length of its body in
	// bytes.
	SetHead(head work.Answer, total int64) error
	// AddFrame takes one frame of the body, numbered from zero. It returns true
	// with the last frame of a complete answer.
	AddFrame(index uint32, data []byte, last bool) (complete bool, err error)
	// ReceivedBytes returns the number of body bytes accepted so far.
	ReceivedBytes() int64
	// Answer returns the complete answer.
	Answer() work.Answer
}

// Status is what an instance reports about itself in its Hello messages.
type Status struct {
	AppliedOffset ident.Offset
	ConfigVersion ident.Offset
}

// Config holds the dependencies and settings of a Node. All fields are required
// except RegionBytesPerSecond and Seed.
type Config struct {
	Self        ident.Incarnation
	Origin      workers.Origin
	Clock       clock.Clock
	Dialer      Dialer
	Status      func() Status
	NewAssembly func() Assembly
	Requests    Requests
	Handlers    Handlers
	// RegionBytesPerSecond limits the traffic to each other region, in bytes per
	// second. Zero means no limit.
	RegionBytesPerSecond int
	// Seed makes the jitter of reconnects reproducible.
	Seed uint64
}

const (
	// FrameBytes is the maximum number of body bytes in one frame of an answer.
	FrameBytes = 16 << 10
	// WindowBytes is the maximum number of body bytes of one answer that may be
	// sent before the receiver acknowledges them.
	WindowBytes = 128 << 10
	// helloPeriod is the time between two Hello messages.
	helloPeriod = 1 * time.Second
	// receiveTimeout ends a link on which no message has arrived for four Hello
	// periods.
	receiveTimeout = 4 * helloPeriod
	// dialTimeout bounds the time for connecting and for the exchange of Hello
	// messages.
	dialTimeout = 2 * time.Second
	// maxQueuedMessageBytes bounds the messages queued for one link, not
	// counting the bodies of answers.
	maxQueuedMessageBytes = 8 << 20
	// maxRunningRequests bounds the requests of one link that are served at the
	// same time.
	maxRunningRequests = 1024
	// maxQueuedAnswerBytes bounds the answer bodies queued for one link.
	maxQueuedAnswerBytes = 64 << 20
	// minReconnectDelay and maxReconnectDelay bound the upper limit of the
	// random delay between two attempts to connect.
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
)
