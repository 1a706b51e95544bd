package orderly

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drainTimeout only keeps a failing test from hanging.
const drainTimeout = 20 * time.Second

// serve starts a server on a Listener. onState is called after the server's ConnState.
// The returned function stops the server as the process does at its end.
func serve(t *testing.T, handler http.Handler, onState func(net.Conn, http.ConnState)) (listener *Listener, stop func() error) {
	t.Helper()
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: listener.Handler(handler), ConnState: func(c net.Conn, state http.ConnState) {
		listener.ConnState(c, state)
		if onState != nil {
			onState(c, state)
		}
	}}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	return listener, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		defer cancel()
		if err := listener.Drain(ctx); err != nil {
			return err
		}
		if err := server.Shutdown(ctx); err != nil {
			return err
		}
		if err := <-served; err != http.ErrServerClosed {
			return err
		}
		return nil
	}
}

// client sends requests on one connection.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &client{conn, bufio.NewReader(conn)}
}

// exchange sends a request and returns the answer.
func (c *client) exchange() (*http.Response, error) {
	if _, err := c.conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		err = response.Body.Close()
	}
	return response, err
}

// A request that the server had read just before its shutdown began got no answer: the
// connection was closed.
func TestRequestReadAtShutdownIsAnswered(t *testing.T) {
	var requests atomic.Int32
	stopped := make(chan error, 1)
	var listener *Listener
	var stop func() error
	listener, stop = serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), func(_ net.Conn, state http.ConnState) {
		// The server has read the request and has not looked yet whether it stops.
		if state != http.StateActive || requests.Add(1) != 2 {
			return
		}
		go func() { stopped <- stop() }()
		for {
			probe, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				return // The shutdown has closed the listener.
			}
			_ = probe.Close()
		}
	})
	c := dial(t, listener.Addr().String())
	response, err := c.exchange()
	assert.NilError(t, err)
	assert.Assert(t, !response.Close)
	response, err = c.exchange()
	assert.NilError(t, err)
	assert.Assert(t, response.Close, "the caller is not told that the connection ends")
	assert.NilError(t, <-stopped)
}

// Connections without a request must not delay the shutdown.
func TestIdleConnectionsEndAtOnce(t *testing.T) {
	listener, stop := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), nil)
	used, unused := dial(t, listener.Addr().String()), dial(t, listener.Addr().String())
	_, err := used.exchange()
	assert.NilError(t, err)
	assert.NilError(t, stop())
	for _, c := range []*client{used, unused} {
		_, err := c.reader.ReadByte()
		assert.Assert(t, err != nil)
	}
}

// A request whose handler runs must be answered, with its context intact.
func TestRequestInHandlerIsAnswered(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	var contextError error
	listener, stop := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-release
		contextError = r.Context().Err()
	}), nil)
	answered, stopped := make(chan error, 1), make(chan error, 1)
	c := dial(t, listener.Addr().String())
	go func() {
		_, err := c.exchange()
		answered <- err
	}()
	<-entered
	go func() { stopped <- stop() }()
	for !listener.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	assert.NilError(t, <-answered)
	assert.NilError(t, <-stopped)
	assert.NilError(t, contextError)
}

// Callers that send without pause while the server stops must get an answer to each
// request that reached the handler.
func TestEveryHandledRequestIsAnswered(t *testing.T) {
	for range 30 {
		var handled, answered atomic.Int32
		listener, stop := serve(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }), nil)
		var clients sync.WaitGroup
		for range 8 {
			c := dial(t, listener.Addr().String())
			clients.Go(func() {
				for {
					response, err := c.exchange()
					if err != nil {
						return
					}
					answered.Add(1)
					if response.Close {
						return
					}
				}
			})
		}
		for handled.Load() < 100 {
			time.Sleep(time.Millisecond)
		}
		assert.NilError(t, stop())
		clients.Wait()
		assert.Equal(t, answered.Load(), handled.Load())
	}
}
