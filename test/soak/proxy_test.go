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

// mode is what a proxy does to the bytes that pass.
type mode int32

const (
	pass mode = iota
	// silent keeps connections open and lets nothing through.
	silent
	// oneWay lets requests through and no answers.
	oneWay
	// slow delays each piece.
	slow
	modes
)

// slowDelay is the delay of each piece in mode slow.
const slowDelay = 150 * time.Millisecond

// proxy passes connections on to a target on loopback.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns []net.Conn
}

func newProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{listener: listener, target: target}
	go p.accept()
	t.Cleanup(func() {
		_ = listener.Close() // Ends accept; the port goes with the test.
		p.reset()
	})
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) { p.mode.Store(int32(m)) }

// reset ends all open connections with a reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			_ = tcp.SetLinger(0) // Without it the close is graceful, which is milder.
		}
		_ = conn.Close()
	}
	p.conns = nil
}

func (p *proxy) accept() {
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
		go p.copy(server, client, false)
		go p.copy(client, server, true)
	}
}

// copy passes the bytes of one direction. What is held back is lost.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch mode(p.mode.Load()) {
		case silent:
			p.swallow(from)
			return
		case oneWay:
			if answers {
				p.swallow(from)
				return
			}
		case slow:
			time.Sleep(slowDelay)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// swallow keeps a connection open that carries nothing any more.
func (p *proxy) swallow(from net.Conn) {
	_, _ = io.Copy(io.Discard, from) // Ends with the connection.
}
