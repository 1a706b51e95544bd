package clientlimit

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"poplarvalve/internal/process/membudget"
	"poplarvalve/internal/process/settings"
)

const (
	// firstBytes is the size of the first buffer of a body that is longer or has no announced
	// length.
	firstBytes = 4 << 10
	// SmallBody is the size up to which a body is read into one buffer and has a reserved part
	// of the budget.
	SmallBody = 16 << 10
	// slabBytes is the size of the buffers of larger bodies.
	slabBytes = 16 << 10
	// joinCost is the memory for the whole of a large body and its decoded form, for each of its
	// bytes: a list of dependencies takes 8 bytes for each 2 bytes of JSON, and a part of it
	// twice while it grows.
	joinCost = settings.LargeBodyCost - 1
	// wireFactor is how many times the largest body may arrive with its framing. A chunk of one
	// byte takes six.
	wireFactor = 8
)

// Bodies reads the bodies of requests within a budget of memory.
type Bodies struct {
	config   Config
	budget   *membudget.Budget
	observer Observer
	// shared is the account of requests whose connection is not known.
	shared membudget.Account
}

// NewBodies returns a reader of bodies.
func NewBodies(config Config, budget *membudget.Budget, observer Observer) *Bodies {
	return &Bodies{config: config, budget: budget, observer: observer}
}

// NewUnlimitedBodies returns a reader of bodies of usual size for servers with trusted clients
// only.
func NewUnlimitedBodies() *Bodies {
	const size = 1 << 30
	return NewBodies(Config{MaxBody: 1 << 20, MinBodyRate: 1, BodyTimeout: time.Hour, BodyGrace: time.Hour},
		membudget.New(membudget.Config{Total: size, SmallReserve: size / 2, SmallBody: SmallBody, AccountMax: size}), unobserved{})
}

// MaxBody returns the largest size of a body in bytes.
func (l *Bodies) MaxBody() int64 { return l.config.MaxBody }

// unobserved is told about refusals and ignores them.
type unobserved struct{}

func (unobserved) ClientRefused(string, string) {}

// Body is the body of a request. It must be released.
type Body struct {
	// Raw is the content.
	Raw   []byte
	grant membudget.Grant

	limits *Bodies
	ctx    context.Context
	source io.Reader
	// conn is the connection on which the body arrives. It is nil in a server without limits of
	// connections, where nothing limits the time of a body.
	conn *Conn
	// length is the announced length, or -1.
	length int64
	// read is the number of bytes that have arrived, and slabs holds those after the first
	// buffer.
	read  int64
	slabs []*[slabBytes]byte
}

// Decoded drops the content, after which the request holds only size bytes.
func (b *Body) Decoded(size int) {
	b.Raw = nil
	b.grant.Shrink(int64(size))
}

// Retain says that the content is held a number of times until Release.
func (b *Body) Retain(copies int) { b.grant.Shrink(int64(copies * len(b.Raw))) }

// Release returns the memory to the budget. It may be called more than once, and on nil.
func (b *Body) Release() {
	if b != nil {
		b.grant.Close()
	}
}

// slabs holds buffers of slabBytes.
var slabs = sync.Pool{New: func() any { return new([slabBytes]byte) }}

// Read reads the body of a request. If it returns a reason, the body is not complete, the request
// must be refused with the reason, and nothing is held.
func (l *Bodies) Read(r *http.Request) (*Body, Reason) {
	c := connOf(r)
	account := &l.shared
	if c != nil {
		account = &c.address.account
	}
	b := &Body{grant: l.budget.Open(account), limits: l, ctx: r.Context(), source: r.Body, conn: c, length: r.ContentLength}
	reason := b.receive()
	if reason == None {
		return b, None
	}
	address := r.RemoteAddr
	if c != nil {
		address = c.remote.String()
	}
	l.observer.ClientRefused(reason.String(), address)
	return nil, reason
}

// receive reads the body and releases everything unless it succeeds.
func (b *Body) receive() (reason Reason) {
	if b.length > b.limits.config.MaxBody {
		return TooLarge
	}
	if b.conn != nil && !b.conn.enter(phaseServing, phaseBody) {
		return Evicted
	}
	complete := false
	defer func() {
		// This is reached on a panic of the source as well.
		b.returnSlabs()
		b.grant.Unregister()
		if b.conn != nil && !b.conn.enter(phaseBody, phaseServing) && complete {
			complete, reason = false, Evicted
		}
		if !complete {
			b.Release()
		} else if b.conn != nil {
			b.conn.bodyRead = true
			b.setDeadline(time.Time{})
		}
	}()
	reason = b.readAll()
	complete = reason == None
	return reason
}

// setDeadline sets the time at which reading fails. An error means that the connection is closed,
// which the next read tells.
func (b *Body) setDeadline(at time.Time) {
	if b.conn != nil {
		_ = b.conn.SetReadDeadline(at)
	}
}

// deadline returns when the bytes after those that were read must have begun to arrive.
func (b *Body) deadline() time.Time {
	config := &b.limits.config
	return b.grant.Start().Add(min(config.BodyTimeout, config.BodyGrace+time.Duration(b.read)*time.Second/time.Duration(config.MinBodyRate)))
}

// acquire adds memory to the grant before a buffer is allocated.
func (b *Body) acquire(n int64) Reason {
	if b.grant.TryAcquire(n) {
		return None
	}
	switch err := b.grant.Acquire(b.ctx, n); {
	case err == nil:
		return None
	case errors.Is(err, membudget.ErrEvicted):
		return Evicted
	default:
		return MemoryShort
	}
}

func (b *Body) readAll() Reason {
	size := int64(firstBytes)
	if b.length >= 0 {
		size = min(size, b.length)
	}
	if reason := b.acquire(size); reason != None {
		return reason
	}
	head := make([]byte, size)
	b.setDeadline(b.deadline())
	n, end, reason := b.fill(head, true)
	for reason == None && !end {
		// The buffer is full.
		if len(head) >= SmallBody {
			return b.readSlabs(head)
		}
		size := int64(2 * len(head))
		if b.length >= 0 {
			size = min(size, b.length)
		}
		if reason := b.acquire(size - int64(len(head))); reason != None {
			return reason
		}
		larger := make([]byte, size)
		copy(larger, head)
		head = larger
		var added int
		added, end, reason = b.fill(head[n:], false)
		n += added
	}
	b.Raw = head[:n]
	return reason
}

// readSlabs reads the part of a body after head and joins the parts.
func (b *Body) readSlabs(head []byte) Reason {
	for end := false; !end; {
		if reason := b.acquire(slabBytes); reason != None {
			return reason
		}
		slab := slabs.Get().(*[slabBytes]byte)
		b.slabs = append(b.slabs, slab)
		var reason Reason
		if _, end, reason = b.fill(slab[:], false); reason != None {
			return reason
		}
	}
	// The body has arrived; no other client can make it slower.
	b.grant.Unregister()
	if reason := b.acquire(joinCost * b.read); reason != None {
		return reason
	}
	raw := append(make([]byte, 0, b.read), head...)
	for _, slab := range b.slabs {
		raw = append(raw, slab[:min(slabBytes, b.read-int64(len(raw)))]...)
	}
	b.Raw = raw
	b.returnSlabs()
	b.grant.Shrink(joinCost * b.read)
	return None
}

func (b *Body) returnSlabs() {
	for _, slab := range b.slabs {
		slabs.Put(slab)
	}
	b.slabs = nil
}

// fill reads until the buffer is full or the body ends. After the first call to the source, the
// reader may be evicted.
func (b *Body) fill(buffer []byte, isFirst bool) (n int, end bool, reason Reason) {
	for n < len(buffer) {
		added, err := b.source.Read(buffer[n:])
		n += added
		b.read += int64(added)
		b.grant.Received(added)
		switch {
		case b.read > b.limits.config.MaxBody || b.conn != nil && b.conn.received.Load() > wireFactor*b.limits.config.MaxBody:
			return n, false, TooLarge
		case err == io.EOF, b.read == b.length:
			return n, true, None
		case err != nil:
			return n, false, b.reasonOf(err)
		case b.grant.Evicted():
			return n, false, Evicted
		}
		if isFirst {
			b.grant.Register(func() { b.setDeadline(time.Unix(1, 0)) })
			isFirst = false
		}
		b.setDeadlineUnlessEvicted()
	}
	return n, b.read == b.length, None
}

// setDeadlineUnlessEvicted moves the deadline. If the reader is evicted meanwhile, the deadline of
// the eviction stays in force.
func (b *Body) setDeadlineUnlessEvicted() {
	b.setDeadline(b.deadline())
	if b.isEvicted() {
		b.setDeadline(time.Unix(1, 0))
	}
}

func (b *Body) isEvicted() bool {
	return b.grant.Evicted() || b.conn != nil && phase(b.conn.phase.Load()) == phaseEnding
}

// reasonOf returns why reading has failed.
func (b *Body) reasonOf(err error) Reason {
	switch {
	case b.isEvicted():
		return Evicted
	case errors.Is(err, os.ErrDeadlineExceeded):
		return TooSlow
	}
	return BadBody
}
