// Package peer holds the links between instances.
//
// A reply reaches only the request whose sequence it carries, on the
// connection that carried the request. A request that ends without a reply has
// outcome NotRun only if its message had not been handed to the connection.
// The package decides nothing: requests and messages of other packages go to
// the interfaces in Config.
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

// Conn carries whole messages in both directions. Send and Receive may run at
// the same time; neither is called by two goroutines at once.
type Conn interface {
	// Send hands over one message. After an error the message may have left.
	Send(ctx context.Context, data []byte) error
	// Receive returns the next message.
	Receive(ctx context.Context) ([]byte, error)
	// Close ends the connection at once. It may be called several times.
	Close()
}

// Dialer opens connections to peer addresses.
type Dialer interface {
	Dial(ctx context.Context, address string) (Conn, error)
}

// Requests serves the requests of other instances.
type Requests interface {
	// Forwarded returns the answer to a forward. number rises with each forward
	// of from. The context ends when from cancels the request.
	Forwarded(ctx context.Context, from ident.Incarnation, number uint64, request work.Request) work.Answer
	// Resolve says what became of a forward.
	Resolve(ctx context.Context, from ident.Incarnation, number uint64, request ident.RequestID) work.Answer
}

// Handlers take the messages of other packages. Methods without a context must
// return quickly, because they hold up the link.
type Handlers interface {
	Hello(hello codec.Hello)
	Summary(from ident.Incarnation, summary codec.Summary)
	ZoneTotal(from ident.Incarnation, total codec.ZoneTotal)
	ConfigOffer(from ident.Incarnation, offer codec.ConfigOffer)
	Promise(from ident.Incarnation, promise codec.Promise) codec.Promised
	Offer(ctx context.Context, from ident.Incarnation, offer codec.Offer) codec.Offered
	Job(ctx context.Context, from ident.Incarnation, job codec.Job) (codec.JobDone, error)
}

// Assembly puts one answer together. Package request/answer implements it.
type Assembly interface {
	Head(head work.Answer, total int64) error
	Frame(index uint32, data []byte, last bool) (whole bool, err error)
	// Taken returns the bytes of the body so far.
	Taken() int64
	Answer() work.Answer
}

// Status is what an instance reports in its Hello.
type Status struct {
	Folded        ident.Offset
	ConfigVersion ident.Offset
}

// Config holds the parts of a Node. All fields are required but RegionBudget.
type Config struct {
	Self        ident.Incarnation
	Place       workers.Place
	Clock       clock.Clock
	Dialer      Dialer
	Status      func() Status
	NewAssembly func() Assembly
	Requests    Requests
	Handlers    Handlers
	// RegionBudget is the budget to each other region, in bytes a second. Zero
	// means no limit.
	RegionBudget int
	// Seed makes the jitter of reconnects reproducible.
	Seed uint64
}

const (
	// FrameBytes is the most that one frame of an answer carries.
	FrameBytes = 16 << 10
	// WindowBytes is the most of one answer that is sent without the receiver
	// having taken it.
	WindowBytes = 128 << 10
	// helloPeriod is the time between two Hello messages.
	helloPeriod = 1 * time.Second
	// silenceLimit ends a link that has carried nothing for four Hello periods.
	silenceLimit = 4 * helloPeriod
	// dialTimeout bounds connecting and the exchange of Hello.
	dialTimeout = 2 * time.Second
	// maxQueuedBytes bounds the messages that wait for one link, without the
	// bodies of answers.
	maxQueuedBytes = 8 << 20
	// maxRunning bounds the requests of one link that are served at once.
	maxRunning = 1024
	// maxAnswerBytes bounds the answer bodies that wait for one link.
	maxAnswerBytes = 64 << 20
	// minBackoff and maxBackoff bound the time between two attempts to connect.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)
