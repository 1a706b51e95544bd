package soak

import (
	"io"
	"net"
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
	// proxyModeCount is the number of modes.
	proxyModeCount
)

// forwardDelay is the delay before each piece in the mode delayed.
const forwardDelay = 150 * time.Millisecond

// proxy forwards TCP connections to a target on loopback. Its mode can be changed
// at any time.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns []net.Conn
}

// newProxy starts a proxy that stops at the end of the test.
func newProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{listener: listener, target: target}
	go p.acceptConnections()
	t.Cleanup(func() {
		_ = listener.Close() // Ends acceptConnections. The test needs the port no longer.
		p.resetConnections()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setMode(newMode proxyMode) { p.mode.Store(int32(newMode)) }

// resetConnections closes all open connections with a TCP reset.
func (p *proxy) resetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0) // Without it the connection is closed gracefully, which is a milder fault.
		}
		_ = conn.Close()
	}
	p.conns = nil
}

// acceptConnections connects each client to the target and forwards in both
// directions until the listener is closed.
func (p *proxy) acceptConnections() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, client, server)
		p.mu.Unlock()
		go p.forward(server, client, false)
		go p.forward(client, server, true)
	}
}

// forward forwards the bytes of one direction according to the mode. Bytes that a
// mode holds back are dropped for good, and so is the rest of that direction.
func (p *proxy) forward(to, from net.Conn, isResponse bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch proxyMode(p.mode.Load()) {
		case blocked:
			p.discard(from)
			return
		case requestsOnly:
			if isResponse {
				p.discard(from)
				return
			}
		case delayed:
			time.Sleep(forwardDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// discard keeps a connection open and drops what arrives on it.
func (p *proxy) discard(from net.Conn) {
	_, _ = io.Copy(io.Discard, from) // Returns when the connection is closed.
}
