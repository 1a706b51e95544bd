package soak

import (
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// proxyMode is what a proxy does to the bytes that it forwards.
type proxyMode int32

const (
	// passThrough forwards everything at once.
	passThrough proxyMode = iota
	// blocked keeps connections open and forwards nothing.
	blocked
	// requestsOnly forwards requests but no responses.
	requestsOnly
	// delayed forwards everything, but waits forwardDelay before each piece
	// that it has read.
	delayed
	// proxyModeCount is the number of modes that injectFault chooses from.
	proxyModeCount
	// responsesOnly forwards responses but no requests.
	responsesOnly
)

// forwardDelay is the delay before each piece in the mode delayed.
const forwardDelay = 150 * time.Millisecond

// path is the way from a client to a target on loopback. Its mode can be changed at
// any time.
type path struct {
	target string
	mode   atomic.Int32
}

// proxy forwards TCP connections along one path or several.
type proxy struct {
	listener net.Listener
	// choosePath returns the path of a new connection, and the reader of what the
	// client sends on it.
	choosePath func(client net.Conn) (*path, io.Reader, error)
	// path is the path of all connections of a proxy with one path.
	path *path

	mu    sync.Mutex
	conns []proxiedConn
}

// proxiedConn is a connection to a client or a target, and its path.
type proxiedConn struct {
	net.Conn
	path *path
}

// newProxy starts a proxy with one path that stops at the end of the test.
func newProxy(t *testing.T, target string) *proxy {
	only := &path{target: target}
	p := newRoutingProxy(t, func(client net.Conn) (*path, io.Reader, error) { return only, client, nil })
	p.path = only
	return p
}

// newRoutingProxy starts a proxy with several paths that stops at the end of the test.
func newRoutingProxy(t *testing.T, choosePath func(client net.Conn) (*path, io.Reader, error)) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{listener: listener, choosePath: choosePath}
	go p.acceptConnections()
	t.Cleanup(func() {
		_ = listener.Close() // Ends acceptConnections. The test needs the port no longer.
		p.resetConnections()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(newMode proxyMode) { p.path.mode.Store(int32(newMode)) }

// setPathMode changes the mode of a path. Connections that may have lost something are
// reset when their path passes everything again.
func (p *proxy) setPathMode(changed *path, newMode proxyMode) {
	if old := proxyMode(changed.mode.Swap(int32(newMode))); old != passThrough && newMode == passThrough {
		p.resetIf(func(c proxiedConn) bool { return c.path == changed })
	}
}

// resetConnections closes all open connections with a TCP reset.
func (p *proxy) resetConnections() {
	p.resetIf(func(proxiedConn) bool { return true })
}

// resetIf closes the open connections that meet a condition with a TCP reset.
func (p *proxy) resetIf(condition func(proxiedConn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, func(conn proxiedConn) bool {
		if !condition(conn) {
			return false
		}
		if tcp, isTCP := conn.Conn.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0) // Without it the connection is closed gracefully, which is a milder fault.
		}
		_ = conn.Close()
		return true
	})
}

// acceptConnections connects each client to its target until the listener is closed.
func (p *proxy) acceptConnections() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

// connect connects a client to its target and forwards in both directions.
func (p *proxy) connect(client net.Conn) {
	chosen, requests, err := p.choosePath(client)
	if err != nil {
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp", chosen.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, proxiedConn{client, chosen}, proxiedConn{server, chosen})
	p.mu.Unlock()
	go chosen.forward(server, requests, false)
	go chosen.forward(client, server, true)
}

// forward forwards the bytes of one direction according to the mode. Bytes that a
// mode holds back are dropped for good, and so is the rest of that direction.
func (p *path) forward(to net.Conn, from io.Reader, isResponse bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch mode := proxyMode(p.mode.Load()); {
		case mode == blocked, mode == requestsOnly && isResponse, mode == responsesOnly && !isResponse:
			_, _ = io.Copy(io.Discard, from) // Returns when the connection is closed.
			return
		case mode == delayed:
			time.Sleep(forwardDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
