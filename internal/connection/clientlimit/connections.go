package clientlimit

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/process/membudget"
)

const (
	// maxHeaderLines bounds the memory of a header with many short lines, which take
	// several times the memory of their text. Clients and load balancers send a few dozen.
	maxHeaderLines = 128
	// lingerTime is how long the rest of a body is read and dropped after an answer. A
	// connection that is closed before may lose the answer.
	lingerTime = 500 * time.Millisecond
)

// Connections limits the connections and the requests of all servers of a process.
type Connections struct {
	config   Config
	observer Observer
	requests atomic.Int64

	mu sync.Mutex
	// clients and links are the open connections that have not been told to end.
	clients, links map[*Conn]struct{}
	addresses      map[netip.Addr]*address
}

// address is what one client address takes.
type address struct {
	// conns is guarded by Connections.mu.
	conns    int
	requests atomic.Int64
	account  membudget.Account
}

// NewConnections returns limits without connections.
func NewConnections(config Config, observer Observer) *Connections {
	return &Connections{config: config, observer: observer, clients: map[*Conn]struct{}{}, links: map[*Conn]struct{}{},
		addresses: map[netip.Addr]*address{}}
}

// phase says what a connection waits for.
type phase int32

const (
	// phaseIdle: no byte of a next request has arrived.
	phaseIdle phase = iota
	phaseHeader
	phaseBody
	// phaseServing: the request is being decided or answered.
	phaseServing
	// phaseHijacked: the connection is a link, which has limits of its own.
	phaseHijacked
	// phaseEnding: the connection was told to end, to make room for another one.
	phaseEnding
)

// EndingConn is a connection that can end between two requests.
type EndingConn interface {
	net.Conn
	// EndIfIdle makes the connection read no next request if none has begun, and reports
	// whether it does.
	EndIfIdle() bool
}

// Conn is one connection of a Listener.
type Conn struct {
	EndingConn
	limits  *Connections
	remote  netip.Addr
	address *address
	pool    map[*Conn]struct{}
	phase   atomic.Int32
	// since is when the phase began, in Unix nanoseconds, and received the number of bytes
	// that have arrived since the request began, with their framing.
	since    atomic.Int64
	received atomic.Int64
	// writeSince is when a write began that has not ended, in Unix nanoseconds, or 0.
	writeSince atomic.Int64
	closed     sync.Once
	// bodyRead is set when the whole body of the request has been read. Only the handler of the
	// request uses it.
	bodyRead bool
	// header counts the lines of the header that arrives. Only one goroutine reads.
	header headerLines
}

// errTooManyHeaders ends a connection whose header has too many lines.
var errTooManyHeaders = errors.New("the header of the request has too many lines")

// headerLines counts the lines of a header in the bytes that arrive.
type headerLines struct {
	lines int
	// inLine is set after a byte of a line other than its end. It is set at the start as well,
	// because an empty line at the start does not end a header.
	inLine bool
	ended  bool
}

func newHeaderLines() headerLines { return headerLines{inLine: true} }

// add counts the lines in bytes that have arrived, until the empty line that ends the header.
func (h *headerLines) add(part []byte) {
	for !h.ended {
		end := bytes.IndexByte(part, '\n')
		line := part
		if end >= 0 {
			line = part[:end]
		}
		if len(line) > 1 || len(line) == 1 && line[0] != '\r' {
			h.inLine = true
		}
		if end < 0 {
			return
		}
		h.ended = !h.inLine
		h.inLine = false
		h.lines++
		part = part[end+1:]
	}
}

// Listener limits the connections that another listener accepts.
type Listener struct {
	net.Listener
	limits   *Connections
	isLinks  bool
	previous func(net.Conn, http.ConnState)
}

// Listen limits the connections of a listener, whose connections must be EndingConns. onState is
// called with each of them when its state changes, or is nil. isLinks says that the listener
// accepts links of other instances, for which descriptors are reserved.
func (l *Connections) Listen(listener net.Listener, isLinks bool, onState func(net.Conn, http.ConnState)) *Listener {
	return &Listener{listener, l, isLinks, onState}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limits.admit(accepted.(EndingConn), l.isLinks); c != nil {
			return c, nil
		}
		// The client learns it from the closed connection.
		_ = accepted.Close()
	}
}

// Configure sets the limits of a server that serves the listener. The handler of a server whose
// listener accepts no links must be wrapped by Connections.Handler.
func (l *Listener) Configure(server *http.Server) {
	server.MaxHeaderBytes = l.limits.config.HeaderBytes
	server.IdleTimeout = l.limits.config.IdleTimeout
	if l.isLinks {
		// A link that is accepted has no deadline of the server any more.
		server.ReadTimeout = l.limits.config.BodyTimeout
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(served net.Conn, state http.ConnState) {
		c, ours := served.(*Conn)
		if !ours {
			return
		}
		if l.previous != nil {
			l.previous(c.EndingConn, state)
		}
		c.stateChanged(state)
	}
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// admit returns the connection with its limits, or nil if there is no room for it.
func (l *Connections) admit(accepted EndingConn, isLink bool) *Conn {
	remote := remoteAddr(accepted)
	c := &Conn{EndingConn: accepted, limits: l, remote: remote, pool: l.clients, header: newHeaderLines()}
	limit := l.config.Connections
	if isLink {
		c.pool, limit = l.links, l.config.LinkConnections
	}
	c.since.Store(time.Now().UnixNano())
	l.mu.Lock()
	defer l.mu.Unlock()
	c.address = l.addresses[remote]
	if c.address == nil {
		c.address = &address{}
	}
	ofAddress := !isLink && c.address.conns >= l.share(limit)
	if (ofAddress || len(c.pool) >= limit) && !l.makeRoom(c, ofAddress) {
		l.observer.ClientRefused(TooManyConnections.String(), remote.String())
		return nil
	}
	l.addresses[remote] = c.address
	c.address.conns++
	c.pool[c] = struct{}{}
	return c
}

func remoteAddr(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// share returns the part of a limit that one address may take.
func (l *Connections) share(limit int) int {
	return max(1, int(float64(limit)*l.config.AddressShare))
}

// makeRoom ends one connection of the pool, or reports that none may be ended: the one that has
// been idle for the longest time, or else waits for its header for the longest time, or else the
// one whose body arrives slowest, or else the one whose client has not read its answer for the
// longest time. The caller must hold l.mu.
func (l *Connections) makeRoom(c *Conn, ofAddress bool) bool {
	now := time.Now().UnixNano()
	for {
		var victim *Conn
		var victimPhase phase
		lowest := 0.0
		for other := range c.pool {
			if ofAddress && other.address != c.address {
				continue
			}
			p := phase(other.phase.Load())
			rank, mayEnd := other.rank(p, now, l.config.EvictAfter)
			if !mayEnd {
				continue
			}
			if victim == nil || p < victimPhase || p == victimPhase && rank < lowest {
				victim, victimPhase, lowest = other, p, rank
			}
		}
		if victim == nil {
			return false
		}
		if victim.end(victimPhase) {
			l.forget(victim)
			l.observer.ClientRefused(IdleClosed.String(), victim.remote.String())
			return true
		}
	}
}

// rank orders the connections in the phase p by who makes room first, the lowest first.
func (c *Conn) rank(p phase, now int64, evictAfter time.Duration) (rank float64, mayEnd bool) {
	age := float64(now - c.since.Load())
	switch p {
	case phaseIdle, phaseHeader:
		return -age, true
	case phaseBody:
		return float64(c.received.Load()) / age, age >= float64(evictAfter)
	case phaseServing:
		since := c.writeSince.Load()
		return float64(since), since != 0 && now-since >= int64(evictAfter)
	}
	return 0, false
}

// end ends a connection that is in a phase. It reports false if the phase is over.
func (c *Conn) end(during phase) bool {
	if !c.phase.CompareAndSwap(int32(during), int32(phaseEnding)) {
		return false
	}
	switch during {
	case phaseIdle:
		if !c.EndIfIdle() {
			// A request has begun to arrive; it is refused.
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	case phaseHeader:
		// An error means that the connection is closed already.
		_ = c.EndingConn.Close()
	case phaseBody:
		_ = c.SetReadDeadline(time.Unix(1, 0))
	case phaseServing:
		_ = c.SetWriteDeadline(time.Unix(1, 0))
	}
	return true
}

// forget frees the room of a connection. The caller must hold l.mu.
func (l *Connections) forget(c *Conn) {
	if _, open := c.pool[c]; !open {
		return
	}
	delete(c.pool, c)
	c.address.conns--
	if c.address.conns == 0 {
		delete(l.addresses, c.remote)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.EndingConn.Close()
	c.closed.Do(func() {
		c.limits.mu.Lock()
		defer c.limits.mu.Unlock()
		c.limits.forget(c)
	})
	return err
}

// Read implements net.Conn. It fails if a header has too many lines.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.EndingConn.Read(p)
	if n == 0 {
		return n, err
	}
	c.received.Add(int64(n))
	switch phase(c.phase.Load()) {
	case phaseIdle:
		c.enter(phaseIdle, phaseHeader)
		c.header = newHeaderLines()
		c.header.add(p[:n])
	case phaseHeader:
		c.header.add(p[:n])
	default:
		return n, err
	}
	if c.header.lines > maxHeaderLines {
		c.limits.observer.ClientRefused(TooManyHeaders.String(), c.remote.String())
		return 0, errTooManyHeaders
	}
	return n, err
}

// Write implements net.Conn. A client must take what is written within ResponseTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	if phase(c.phase.Load()) == phaseHijacked {
		return c.EndingConn.Write(p)
	}
	now := time.Now()
	if err := c.SetWriteDeadline(now.Add(c.limits.config.ResponseTimeout)); err != nil {
		return 0, err
	}
	c.writeSince.Store(now.UnixNano())
	defer c.writeSince.Store(0)
	return c.EndingConn.Write(p)
}

// enter changes the phase and reports false if it is another one than from. The start of
// phaseServing is not recorded, because no decision depends on it.
func (c *Conn) enter(from, to phase) bool {
	if !c.phase.CompareAndSwap(int32(from), int32(to)) {
		return false
	}
	if to != phaseServing {
		c.since.Store(time.Now().UnixNano())
	}
	return true
}

// stateChanged follows the state of a connection of the server.
func (c *Conn) stateChanged(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.enter(phaseIdle, phaseHeader)
	case http.StateIdle:
		c.received.Store(0)
		c.enter(phaseServing, phaseIdle)
	case http.StateHijacked:
		c.phase.Store(int32(phaseHijacked))
	}
}

// Handler limits the requests that next serves at once.
func (l *Connections) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		reason := l.begin(c, r)
		defer l.finish(c)
		if reason != None {
			l.observer.ClientRefused(reason.String(), c.remote.String())
			reason.WriteHeader(w)
		} else {
			next.ServeHTTP(w, r)
		}
		if r.Body != http.NoBody && !c.bodyRead {
			// The server reads the rest of the body after the answer. An error means that
			// the connection is closed.
			_ = c.SetReadDeadline(time.Now().Add(lingerTime))
		}
	})
}

// begin counts a request and returns why it must be refused.
func (l *Connections) begin(c *Conn, r *http.Request) Reason {
	c.bodyRead = false
	total, ofAddress := l.requests.Add(1), c.address.requests.Add(1)
	switch {
	case !c.enter(phaseHeader, phaseServing):
		return Evicted
	case len(r.Header) > maxHeaderLines:
		return TooManyHeaders
	case total > int64(l.config.Requests) || ofAddress > int64(l.share(l.config.Requests)):
		return TooManyRequests
	}
	return None
}

func (l *Connections) finish(c *Conn) {
	l.requests.Add(-1)
	c.address.requests.Add(-1)
}

// Concurrent refuses the requests to next while max of them are served. An answer that a client does
// not read is held in memory meanwhile.
func (l *Connections) Concurrent(max int, next http.Handler) http.Handler {
	slots := make(chan struct{}, max)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			next.ServeHTTP(w, r)
		default:
			l.observer.ClientRefused(TooManyRequests.String(), r.RemoteAddr)
			TooManyRequests.WriteHeader(w)
		}
	})
}

// State is the state of the connections for operators.
type State struct {
	Clients   int   `json:"clients"`
	Links     int   `json:"links"`
	Addresses int   `json:"addresses"`
	Requests  int64 `json:"requests"`
}

// State returns the state of the connections.
func (l *Connections) State() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{len(l.clients), len(l.links), len(l.addresses), l.requests.Load()}
}
