package peer

import (
	"context"
	"net/http"

	"github.com/coder/websocket"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
)

// Path is the HTTP path at which instances accept peer links.
const Path = "/peer"

// subprotocol is the WebSocket subprotocol that names the message format of
// peer links.
const subprotocol = "poplarvalve.peer.v1"

// WebSocket dials peers over HTTP. Its zero value is ready for use.
type WebSocket struct{}

// Dial implements Dialer for an address of the form IP:port. It fails with
// PeerUnreachable.
func (WebSocket) Dial(ctx context.Context, address string) (Conn, error) {
	conn, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		Subprotocols: []string{subprotocol},
	})
	if err != nil {
		return nil, fault.Wrap(fault.PeerUnreachable, err, "%s", address)
	}
	return newWebSocketConn(conn), nil
}

// Handler returns an HTTP handler that accepts peer links for a node.
func Handler(node *Node) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := Accept(w, r)
		if err != nil {
			return // Accept has already written the error response.
		}
		node.Accept(conn)
	})
}

// webSocketConn implements Conn over one WebSocket.
type webSocketConn struct {
	conn *websocket.Conn
}

func newWebSocketConn(conn *websocket.Conn) *webSocketConn {
	conn.SetReadLimit(codec.MaxPeerFrameBytes)
	return &webSocketConn{conn: conn}
}

func (s *webSocketConn) Send(ctx context.Context, data []byte) error {
	return s.conn.Write(ctx, websocket.MessageBinary, data)
}

func (s *webSocketConn) Receive(ctx context.Context) ([]byte, error) {
	kind, data, err := s.conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	if kind != websocket.MessageBinary {
		return nil, fault.New(fault.Malformed, "received a text message on a peer link, which carries binary messages only")
	}
	return data, nil
}

func (s *webSocketConn) Close() {
	// The link is abandoned whether or not the close succeeds.
	_ = s.conn.CloseNow()
}

// Accept upgrades an HTTP request to a peer link. If it returns an error, it
// has already written the error response.
func Accept(w http.ResponseWriter, r *http.Request) (Conn, error) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{subprotocol}})
	if err != nil {
		return nil, fault.Wrap(fault.Malformed, err, "upgrading a request to a peer link")
	}
	return newWebSocketConn(conn), nil
}
