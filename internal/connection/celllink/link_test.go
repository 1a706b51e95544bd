package celllink

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/peer"
)

// echoRecorder records the echoed times of the heartbeats that it receives.
type echoRecorder struct{ echoed chan time.Time }

func newEchoRecorder() *echoRecorder { return &echoRecorder{make(chan time.Time, 64)} }

func (*echoRecorder) Serve(context.Context, cellcodec.Call) cellcodec.Reply {
	return cellcodec.Reply{}
}
func (*echoRecorder) NextHeartbeat(RemoteManifest, uint64) (cellcodec.LinkHeartbeat, uint64) {
	return cellcodec.LinkHeartbeat{}, 1
}
func (r *echoRecorder) HandleHeartbeat(_ cellcodec.LinkHeartbeat, echoed time.Time) {
	select {
	case r.echoed <- echoed:
	default:
	}
}
func (*echoRecorder) HeartbeatDue() <-chan struct{} { return nil }
func (*echoRecorder) LinkOpened()                   {}
func (*echoRecorder) LinkClosed()                   {}
func (*echoRecorder) UnexpectedError(string, error) {}

// Guards against a confirmation that counts from its arrival, or from a time of the other
// end's clock: a leader would rely on it for too long.
func TestHeartbeatEchoesTimeOfThisEnd(t *testing.T) {
	remote, local := newEchoRecorder(), newEchoRecorder()
	mux := http.NewServeMux()
	mux.Handle(peer.Path, Handler(remote))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	dialed := time.Now()
	link, err := Dial(t.Context(), peer.WebSocket{}, server.Listener.Addr().String(), local)
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	for _, recorder := range []*echoRecorder{remote, local} {
		for {
			echoed := <-recorder.echoed
			if echoed.IsZero() {
				continue // The other end had received nothing yet.
			}
			assert.Assert(t, !echoed.Before(dialed) && !echoed.After(time.Now()))
			break
		}
	}
}

// Guards against a broken peer that confirms heartbeats which were never sent.
func TestEchoOfUnsentHeartbeatIsNone(t *testing.T) {
	link := &Link{opened: time.Now().Add(-time.Second)}
	for _, echo := range []int64{-1, 0, 3_600_000, 1 << 62} {
		assert.Assert(t, link.echoedTime(echo).IsZero(), "echo %d", echo)
	}
	assert.Equal(t, link.echoedTime(501), link.opened.Add(500*time.Millisecond))
}
