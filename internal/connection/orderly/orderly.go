// Package orderly ends the connections of an HTTP server such that no request that
// the process has read remains without an answer. http.Server.Shutdown drops requests
// that it reads while it begins.
package orderly

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Listener is the listener of an HTTP server. The server's handler must be wrapped by
// Handler, and its ConnState must be the method of that name.
type Listener struct {
	*net.TCPListener
	draining atomic.Bool
	// closed is closed by Close.
	closed    chan struct{}
	closeOnce sync.Once

	mu    sync.Mutex
	conns map[*conn]struct{}
	// connClosed is closed and replaced when a connection is closed.
	connClosed chan struct{}
}

// conn is one connection of a Listener.
type conn struct {
	*net.TCPConn
	listener *Listener

	mu sync.Mutex
	// idle is set while no byte of a next request has been read.
	idle bool
	// ending is set when no next request is to be read.
	ending bool
}

// Listen listens on a TCP address.
func Listen(address string) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: listener.(*net.TCPListener), closed: make(chan struct{}),
		conns: map[*conn]struct{}{}, connClosed: make(chan struct{})}, nil
}

// Accept implements net.Listener. After Drain it returns only when the server closes
// the listener, because the server takes an earlier error for a failure.
func (l *Listener) Accept() (net.Conn, error) {
	tcp, err := l.AcceptTCP()
	if err != nil {
		if l.draining.Load() {
			<-l.closed
		}
		return nil, err
	}
	c := &conn{TCPConn: tcp, listener: l, idle: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.ending = l.draining.Load()
	l.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	if l.draining.Load() {
		return nil // Drain has closed it.
	}
	return l.TCPListener.Close()
}

// Handler returns a handler that tells callers, while the listener drains, that their
// connection is closed after the answer.
func (l *Listener) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// ConnState records whether a connection is idle. It is to be set in http.Server.
func (l *Listener) ConnState(served net.Conn, state http.ConnState) {
	c, ours := served.(*conn)
	if !ours {
		return
	}
	switch state {
	case http.StateIdle:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.idle = true
	case http.StateActive:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.beginRequest()
	}
}

// Drain accepts no more connections, reads no more requests, and waits until those
// that were read are answered. It returns the error of ctx if that ends first.
func (l *Listener) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.draining.Store(true)
	for c := range l.conns {
		c.end()
	}
	l.mu.Unlock()
	if err := l.TCPListener.Close(); err != nil {
		return err
	}
	for {
		l.mu.Lock()
		open, connClosed := len(l.conns), l.connClosed
		l.mu.Unlock()
		if open == 0 {
			return nil
		}
		select {
		case <-connClosed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// EndIfIdle makes the connection read no next request if none has begun, and reports whether
// it does.
func (c *conn) EndIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return false
	}
	c.ending = true
	// Ends a Read that waits. An error means that the connection is closed.
	_ = c.SetReadDeadline(time.Unix(1, 0))
	return true
}

// end makes the connection read no next request.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if c.idle {
		// Ends a Read that waits. An error means that the connection is closed.
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// beginRequest records that a request has begun to be read. The caller must hold c.mu.
func (c *conn) beginRequest() {
	if c.ending && c.idle {
		// The request arrived just before end, whose deadline does not apply to it.
		_ = c.SetReadDeadline(time.Time{})
	}
	c.idle = false
}

// Read implements net.Conn. It returns io.EOF instead of the next request if none is
// to be read.
func (c *conn) Read(p []byte) (int, error) {
	if c.mayNotRead() {
		return 0, io.EOF
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.beginRequest()
	}
	return n, err
}

func (c *conn) mayNotRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && c.idle
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.TCPConn.Close()
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, open := l.conns[c]; open {
		delete(l.conns, c)
		close(l.connClosed)
		l.connClosed = make(chan struct{})
	}
	return err
}
