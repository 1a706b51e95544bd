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
	"poplarvalve/internal/connection/clientlimit"
	"poplarvalve/test/virtualtime"
)

// endlessEngine serves a feed without end and reports when it is closed.
type endlessEngine struct {
	fakeEngine
	closed chan time.Time
}

func (e endlessEngine) Feed(ctx context.Context, feed string, from uint64) (io.ReadCloser, error) {
	source, err := fakeEngine{lastPosition: 1 << 40}.Feed(ctx, feed, from)
	return closeNotifier{source, e.closed}, err
}

type closeNotifier struct {
	io.ReadCloser
	closed chan time.Time
}

func (n closeNotifier) Close() error {
	select {
	case n.closed <- time.Now():
	default:
	}
	return n.ReadCloser.Close()
}

// singleConnListener is a listener that accepts one connection.
type singleConnListener struct {
	conns chan net.Conn
}

func (l singleConnListener) Accept() (net.Conn, error) {
	conn, open := <-l.conns
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}
func (l singleConnListener) Close() error   { return nil }
func (l singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// A client that stops reading must not keep its feed open for ever. The feed
// must be closed within the write timeout of 10 s.
func TestSlowClientIsDisconnected(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		engine := endlessEngine{closed: make(chan time.Time, 1)}
		server := &http.Server{Handler: caller.NewHandler(engine, nil, clientlimit.NewUnlimitedBodies())}
		listener := singleConnListener{conns: make(chan net.Conn, 1)}
		client, remote := net.Pipe()
		listener.conns <- remote
		go func() { _ = server.Serve(listener) }()
		_, err := io.WriteString(client, "GET /v1/feeds/f HTTP/1.1\r\nHost: h\r\nPoplarvalve-Caller: c\r\n\r\n")
		assert.NilError(t, err)
		_, err = bufio.NewReader(client).ReadString('\n')
		assert.NilError(t, err)
		stoppedAt := time.Now()
		select {
		case closedAt := <-engine.closed:
			assert.Assert(t, closedAt.Sub(stoppedAt) <= 10*time.Second)
		case <-time.After(time.Minute):
			t.Error("the feed is still open one minute after the client stopped reading")
		}
		client.Close()
		close(listener.conns)
		_ = server.Close()
	})
}
