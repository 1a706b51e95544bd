package caller_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/caller"
	"poplarvalve/test/virtualtime"
)

// endless is a feed without end that notes when it is closed.
type endless struct {
	engineFake
	closed chan time.Time
}

func (e endless) Feed(ctx context.Context, feed string, from uint64) (io.ReadCloser, error) {
	source, err := engineFake{end: 1 << 40}.Feed(ctx, feed, from)
	return noted{source, e.closed}, err
}

type noted struct {
	io.ReadCloser
	closed chan time.Time
}

func (n noted) Close() error {
	select {
	case n.closed <- time.Now():
	default:
	}
	return n.ReadCloser.Close()
}

// single is a listener that accepts one connection.
type single struct {
	conns chan net.Conn
}

func (l single) Accept() (net.Conn, error) {
	conn, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (l single) Close() error   { return nil }
func (l single) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a client that stops reading and holds its feed open for ever.
func TestSlowClientIsDisconnected(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		engine := endless{closed: make(chan time.Time, 1)}
		server := &http.Server{Handler: caller.NewHandler(engine, nil)}
		listener := single{conns: make(chan net.Conn, 1)}
		client, remote := net.Pipe()
		listener.conns <- remote
		go func() { _ = server.Serve(listener) }()
		_, err := io.WriteString(client, "GET /v1/feeds/f HTTP/1.1\r\nHost: h\r\nPoplarvalve-Caller: c\r\n\r\n")
		assert.NilError(t, err)
		_, err = bufio.NewReader(client).ReadString('\n')
		assert.NilError(t, err)
		stopped := time.Now()
		select {
		case at := <-engine.closed:
			assert.Assert(t, at.Sub(stopped) <= 10*time.Second)
		case <-time.After(time.Minute):
			t.Error("the feed is still open")
		}
		client.Close()
		close(listener.conns)
		_ = server.Close()
	})
}
