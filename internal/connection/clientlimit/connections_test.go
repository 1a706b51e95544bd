package clientlimit

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// fakeConn is a connection that records what ends it.
type fakeConn struct {
	net.Conn
	remote     string
	isIdle     bool
	ended      bool
	closed     bool
	readEnded  bool
	writeEnded bool
}

func (f *fakeConn) RemoteAddr() net.Addr {
	return &net.TCPAddr{IP: net.ParseIP(f.remote), Port: 1}
}
func (f *fakeConn) Close() error { f.closed = true; return nil }
func (f *fakeConn) EndIfIdle() bool {
	f.ended = f.isIdle
	return f.isIdle
}
func (f *fakeConn) SetReadDeadline(at time.Time) error {
	f.readEnded = !at.IsZero() && at.Before(time.Now())
	return nil
}
func (f *fakeConn) SetWriteDeadline(at time.Time) error {
	f.writeEnded = at.Before(time.Now())
	return nil
}

// admit admits a connection and brings it into a phase.
func admit(l *Connections, remote string, p phase) (*Conn, *fakeConn) {
	fake := &fakeConn{remote: remote, isIdle: true}
	c := l.admit(fake, false)
	if c != nil {
		c.enter(phaseIdle, p)
	}
	time.Sleep(time.Second)
	return c, fake
}

// A new connection must displace an idle one first, then one that waits for a header, then the
// slowest body, then an answer that is not read, and never a request that is being served.
func TestIdleAndSlowConnectionsMakeRoomFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits, observer := testLimits(t), &recorder{}
		limits.Connections, limits.AddressShare = 6, 1
		l := NewConnections(ConfigFrom(limits), observer)
		serving, _ := admit(l, "10.0.0.1", phaseServing)
		writing, unread := admit(l, "10.0.0.1", phaseServing)
		writing.writeSince.Store(time.Now().UnixNano())
		fast, fastBody := admit(l, "10.0.0.1", phaseBody)
		fast.received.Store(100000)
		_, slowBody := admit(l, "10.0.0.1", phaseBody)
		_, header := admit(l, "10.0.0.1", phaseHeader)
		_, idle := admit(l, "10.0.0.1", phaseIdle)
		for _, ended := range []func() bool{func() bool { return idle.ended }, func() bool { return header.closed },
			func() bool { return slowBody.readEnded }, func() bool { return fastBody.readEnded }, func() bool { return unread.writeEnded }} {
			assert.Assert(t, !ended())
			c, _ := admit(l, "10.0.0.2", phaseServing)
			assert.Assert(t, c != nil)
			assert.Assert(t, ended())
		}
		c, _ := admit(l, "10.0.0.2", phaseServing)
		assert.Assert(t, c == nil)
		assert.Equal(t, phase(serving.phase.Load()), phaseServing)
		assert.Equal(t, observer.reasons[5], "too_many_connections")
		assert.Equal(t, l.State().Clients, 6)
		assert.NilError(t, serving.Close())
		assert.NilError(t, serving.Close())
		assert.Equal(t, l.State().Clients, 5)
	})
}

// Clients must not take the room of links, nor links be ended to make room.
func TestLinksHaveRoomOfTheirOwn(t *testing.T) {
	l := NewConnections(ConfigFrom(testLimits(t)), &recorder{})
	for range 2 {
		link := l.admit(&fakeConn{remote: "10.0.0.1"}, true)
		link.stateChanged(http.StateHijacked)
	}
	assert.Assert(t, l.admit(&fakeConn{remote: "10.0.0.1"}, true) == nil)
	assert.Assert(t, l.admit(&fakeConn{remote: "10.0.0.1"}, false) != nil)
}

// One address must not take all connections. It makes room among its own.
func TestAddressTakesOnlyItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := testLimits(t)
		limits.Connections, limits.AddressShare = 4, 0.5
		l := NewConnections(ConfigFrom(limits), &recorder{})
		_, other := admit(l, "10.0.0.9", phaseIdle)
		_, first := admit(l, "10.0.0.1", phaseIdle)
		for range 2 {
			admit(l, "10.0.0.1", phaseIdle)
		}
		assert.Assert(t, first.ended && !other.ended)
		assert.Equal(t, l.State().Clients, 3)
		assert.Equal(t, l.State().Addresses, 2)
	})
}

// A request on a connection that was told to end has perhaps lost its answer's way. It must be
// refused before it has any effect, as must one too many.
func TestRequestsBeyondLimitsReachNoHandler(t *testing.T) {
	limits := testLimits(t)
	l := NewConnections(ConfigFrom(limits), &recorder{})
	served := 0
	handler := l.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }))
	serve := func(c *Conn) int {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, r.WithContext(context.WithValue(r.Context(), connKey{}, c)))
		return answer.Code
	}
	c := l.admit(&fakeConn{remote: "10.0.0.1", isIdle: true}, false)
	c.stateChanged(http.StateActive)
	assert.Equal(t, serve(c), http.StatusOK)
	c.stateChanged(http.StateIdle)
	assert.Assert(t, c.end(phaseIdle))
	c.stateChanged(http.StateActive)
	assert.Equal(t, serve(c), http.StatusServiceUnavailable)
	busy := l.admit(&fakeConn{remote: "10.0.0.1"}, false)
	busy.stateChanged(http.StateActive)
	l.requests.Store(int64(limits.Requests))
	assert.Equal(t, serve(busy), http.StatusServiceUnavailable)
	assert.Equal(t, served, 1)
	assert.Equal(t, l.State().Requests, int64(limits.Requests))
}

// 4,000 short header lines take many times their size. Lines of a body must not count, however the
// bytes are split.
func TestHeaderLinesAreCounted(t *testing.T) {
	request := "POST / HTTP/1.1\r\nHost: h\r\nA: b\r\n\r\n" + strings.Repeat("\n", 1000)
	for size := 1; size <= len(request); size++ {
		h := newHeaderLines()
		for part := range slices.Chunk([]byte(request), size) {
			h.add(part)
		}
		assert.Equal(t, h.lines, 4, "parts of %d bytes", size)
	}
	h := newHeaderLines()
	h.add([]byte("GET / HTTP/1.1\n" + strings.Repeat("a:\n", 4000)))
	assert.Assert(t, h.lines > maxHeaderLines)
}
