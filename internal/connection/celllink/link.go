// Package celllink carries calls from the front of one instance to the leader
// of a cell on another, over one WebSocket with CBOR inside.
//
// A reply reaches only the call whose sequence it carries. A call that ends
// without a reply has result Unproven once its message may have left.
package celllink

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/process/fault"
)

const (
	// PulsePeriod is the time between two signs of life.
	PulsePeriod = 300 * time.Millisecond
	// silenceLimit ends a link that carried nothing for three pulses.
	silenceLimit = 3*PulsePeriod + 50*time.Millisecond
	// dialTimeout bounds the connection to another region, twice over.
	dialTimeout = 400 * time.Millisecond
	// sendTimeout bounds handing one message to the connection.
	sendTimeout = time.Second
	// maxServed bounds the calls of one link that are served at once.
	maxServed = 512
)

// Server answers the calls of other instances and takes their pulses.
type Server interface {
	Serve(ctx context.Context, call cellcodec.Call) cellcodec.Reply
	// Pulse returns what to tell an instance that last showed a manifest of
	// that version; -1 means that it has not spoken yet. shown is what the
	// last pulse of the link returned, or 0; what hasn't changed since is left
	// out.
	Pulse(manifest int64, shown uint64) (pulse cellcodec.Pulse, showing uint64)
	// Pulsed takes what the other instance knows.
	Pulsed(pulse cellcodec.Pulse)
	// Wake returns a channel that is closed when a pulse is due before its
	// period is over.
	Wake() <-chan struct{}
	// Opened and Closed enclose the life of a link that another instance
	// opened.
	Opened()
	Closed()
}

// Link is one connection. Its methods may be called by any thread.
type Link struct {
	conn   peer.Conn
	server Server

	sequence atomic.Uint64
	heard    atomic.Int64
	// theirs is the manifest version that the other instance showed last, or
	// -1; nonce is that of its process, or 0.
	theirs atomic.Int64
	nonce  atomic.Uint64

	mu      sync.Mutex
	waiting map[uint64]chan cellcodec.Reply
	closed  bool

	sending sync.Mutex
	served  chan struct{}
	done    chan struct{}
	once    sync.Once
}

// Dial opens a link to an instance.
func Dial(ctx context.Context, address string, server Server) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := peer.WebSocket{}.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return open(conn, server), nil
}

// Handler accepts links.
func Handler(server Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := peer.Accept(w, r)
		if err != nil {
			return // Accept has written the refusal.
		}
		link := open(conn, server)
		server.Opened()
		<-link.Done()
		server.Closed()
	})
}

func open(conn peer.Conn, server Server) *Link {
	l := &Link{
		conn:    conn,
		server:  server,
		waiting: map[uint64]chan cellcodec.Reply{},
		served:  make(chan struct{}, maxServed),
		done:    make(chan struct{}),
	}
	l.heard.Store(time.Now().UnixNano())
	l.theirs.Store(-1)
	go l.receive()
	go l.beat()
	return l
}

// Done is closed when the link is over.
func (l *Link) Done() <-chan struct{} { return l.done }

// Nonce returns that of the process at the other end, or 0 before its first
// pulse.
func (l *Link) Nonce() uint64 { return l.nonce.Load() }

// Close ends the link. Calls without a reply are Unproven.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.done)
		l.conn.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.closed = true
		for sequence, reply := range l.waiting {
			close(reply)
			delete(l.waiting, sequence)
		}
	})
}

// Do sends a call and returns its reply. sent is false if the call can't have
// reached the other instance.
func (l *Link) Do(ctx context.Context, call cellcodec.Call) (reply cellcodec.Reply, sent bool) {
	sequence := l.sequence.Add(1)
	answer := make(chan cellcodec.Reply, 1)
	if !l.expect(sequence, answer) {
		return cellcodec.Reply{}, false
	}
	defer l.forget(sequence)
	if err := l.send(cellcodec.Message{Sequence: sequence, Call: &call}); err != nil {
		l.Close()
		return cellcodec.Reply{}, true
	}
	select {
	case reply := <-answer: // The zero Reply is Unproven.
		return reply, true
	case <-ctx.Done():
		return cellcodec.Reply{}, true
	}
}

func (l *Link) expect(sequence uint64, answer chan cellcodec.Reply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.waiting[sequence] = answer
	return true
}

func (l *Link) forget(sequence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waiting, sequence)
}

func (l *Link) send(message cellcodec.Message) error {
	data, err := cellcodec.EncodeMessage(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	l.sending.Lock()
	defer l.sending.Unlock()
	if err := l.conn.Send(ctx, data); err != nil {
		return fault.Wrap(fault.PeerLost, err, "sending on a link")
	}
	return nil
}

// beat sends pulses, and ends a link that has gone silent.
func (l *Link) beat() {
	ticker := time.NewTicker(PulsePeriod)
	defer ticker.Stop()
	shown := uint64(0)
	for {
		wake := l.server.Wake()
		var pulse cellcodec.Pulse
		pulse, shown = l.server.Pulse(l.theirs.Load(), shown)
		if err := l.send(cellcodec.Message{Pulse: &pulse}); err != nil {
			l.Close()
			return
		}
		select {
		case <-ticker.C:
		case <-wake:
		case <-l.done:
			return
		}
		if time.Since(time.Unix(0, l.heard.Load())) > silenceLimit {
			l.Close()
			return
		}
	}
}

func (l *Link) receive() {
	defer l.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		data, err := l.conn.Receive(ctx)
		if err != nil {
			return
		}
		message, err := cellcodec.DecodeMessage(data)
		if err != nil {
			return // A peer that sends nonsense is dialed anew.
		}
		l.heard.Store(time.Now().UnixNano())
		l.handle(ctx, message)
	}
}

func (l *Link) handle(ctx context.Context, message cellcodec.Message) {
	switch {
	case message.Pulse != nil:
		l.theirs.Store(message.Pulse.Manifest)
		l.nonce.Store(message.Pulse.Nonce)
		l.server.Pulsed(*message.Pulse)
	case message.Reply != nil:
		l.deliver(message.Sequence, *message.Reply)
	case message.Call != nil:
		l.serve(ctx, message.Sequence, *message.Call)
	}
}

func (l *Link) deliver(sequence uint64, reply cellcodec.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer, waits := l.waiting[sequence]; waits {
		answer <- reply
		delete(l.waiting, sequence)
	}
}

func (l *Link) serve(ctx context.Context, sequence uint64, call cellcodec.Call) {
	select {
	case l.served <- struct{}{}:
	default:
		l.reply(sequence, cellcodec.Reply{Result: cellcodec.Refused})
		return
	}
	go func() {
		defer func() { <-l.served }()
		l.reply(sequence, l.server.Serve(ctx, call))
	}()
}

func (l *Link) reply(sequence uint64, reply cellcodec.Reply) {
	if err := l.send(cellcodec.Message{Sequence: sequence, Reply: &reply}); err != nil {
		l.Close()
	}
}
