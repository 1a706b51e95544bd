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

type receivedHeartbeat struct {
	echoed     time.Time
	knownTerms int
}

// echoRecorder records the heartbeats that it receives.
type echoRecorder struct{ received chan receivedHeartbeat }

func newEchoRecorder() *echoRecorder { return &echoRecorder{make(chan receivedHeartbeat, 64)} }

func (*echoRecorder) Serve(context.Context, cellcodec.Call) cellcodec.Reply {
	return cellcodec.Reply{}
}
func (*echoRecorder) NextHeartbeat(RemoteManifest, uint64) (cellcodec.LinkHeartbeat, uint64) {
	return cellcodec.LinkHeartbeat{KnownTerms: []cellcodec.KnownTerm{{Epoch: 5}}}, 1
}
func (r *echoRecorder) HandleHeartbeat(heartbeat cellcodec.LinkHeartbeat, echoed time.Time) {
	select {
	case r.received <- receivedHeartbeat{echoed, len(heartbeat.KnownTerms)}:
	default:
	}
}
func (*echoRecorder) WantsConfirmation() bool       { return true }
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
			heartbeat := <-recorder.received
			if heartbeat.echoed.IsZero() { // The other end had received nothing yet.
				assert.Equal(t, heartbeat.knownTerms, 0, "terms are confirmed without an echo")
				continue
			}
			assert.Equal(t, heartbeat.knownTerms, 1)
			assert.Assert(t, !heartbeat.echoed.Before(dialed) && !heartbeat.echoed.After(time.Now()))
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
