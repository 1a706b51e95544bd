package celllink

import (
	"context"
	"io"
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
	mux.Handle(peer.Path, Handler(remote, nil))
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

// lateHeartbeat is a Server to whose link a heartbeat arrives just after it has looked up the
// known terms.
type lateHeartbeat struct {
	*echoRecorder
	link *Link
}

func (s *lateHeartbeat) NextHeartbeat(RemoteManifest, uint64) (cellcodec.LinkHeartbeat, uint64) {
	s.link.remoteSent.Store(77)
	return cellcodec.LinkHeartbeat{KnownTerms: []cellcodec.KnownTerm{{Epoch: 5}}}, 1
}

// sentMessages is a connection that records what is sent, and then fails.
type sentMessages struct {
	peer.Conn
	sent []byte
}

func (s *sentMessages) Send(_ context.Context, data []byte) error {
	s.sent = data
	return io.EOF
}
func (*sentMessages) Close() {}

// Guards against a confirmation of a heartbeat by terms that were looked up before it arrived: a
// later term may have become known in between.
func TestHeartbeatEchoesNothingThatArrivedAfterItsTerms(t *testing.T) {
	conn := &sentMessages{}
	server := &lateHeartbeat{echoRecorder: newEchoRecorder()}
	server.link = &Link{conn: conn, server: server, opened: time.Now(), done: make(chan struct{})}
	server.link.sendHeartbeats()
	message, err := cellcodec.DecodeMessage(conn.sent)
	assert.NilError(t, err)
	assert.Equal(t, message.Heartbeat.EchoMillis, int64(0))
	assert.Equal(t, len(message.Heartbeat.KnownTerms), 0)
}

// holdingServer asks for a manifest once, or sends one at the second heartbeat that may
// contain it.
type holdingServer struct {
	*echoRecorder
	asks     bool
	calls    int
	manifest chan struct{}
}

func (s *holdingServer) NextHeartbeat(remote RemoteManifest, _ uint64) (cellcodec.LinkHeartbeat, uint64) {
	if s.asks {
		s.calls++
		if s.calls > 1 {
			return cellcodec.LinkHeartbeat{}, 1
		}
		return cellcodec.LinkHeartbeat{ManifestWanted: &cellcodec.ManifestWanted{}}, 1
	}
	heartbeat := cellcodec.LinkHeartbeat{ManifestVersion: 7}
	if remote.Wanted != nil {
		s.calls++
	}
	if remote.Wanted != nil && s.calls == 2 {
		heartbeat.ManifestPart = &cellcodec.ManifestPart{Data: []byte("content")}
	}
	return heartbeat, 1
}

func (s *holdingServer) HandleHeartbeat(heartbeat cellcodec.LinkHeartbeat, _ time.Time) {
	if heartbeat.ManifestPart != nil {
		close(s.manifest)
	}
}

// A manifest that was held back to keep to the rate must be sent with a later heartbeat. If
// the request is forgotten, the other instance asks again only after a second.
func TestManifestHeldBackIsSentLater(t *testing.T) {
	remote := &holdingServer{echoRecorder: newEchoRecorder()}
	local := &holdingServer{echoRecorder: newEchoRecorder(), asks: true, manifest: make(chan struct{})}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, Handler(remote, nil))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	link, err := Dial(t.Context(), peer.WebSocket{}, server.Listener.Addr().String(), local)
	assert.NilError(t, err)
	t.Cleanup(link.Close)
	select {
	case <-local.manifest:
	case <-link.Done():
		t.Fatal("the link has ended")
	case <-time.After(10 * time.Second):
		t.Fatal("the request was forgotten")
	}
}
