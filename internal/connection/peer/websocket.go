package peer

import (
	"context"
	"net/http"

	"github.com/coder/websocket"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
)

// Path is where instances accept links.
const Path = "/peer"

// subprotocol names the messages on the link.
const subprotocol = "poplarvalve.peer.v1"

// WebSocket dials peers over HTTP. The zero value is ready.
type WebSocket struct{}

// Dial implements Dialer for an address of the form IP:port.
func (WebSocket) Dial(ctx context.Context, address string) (Conn, error) {
	conn, _, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		Subprotocols: []string{subprotocol},
	})
	if err != nil {
		return nil, fault.Wrap(fault.PeerUnreachable, err, "%s", address)
	}
	return newSocket(conn), nil
}

// Handler accepts links for a node.
func Handler(node *Node) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := Accept(w, r)
		if err != nil {
			return // Accept has written the refusal.
		}
		node.Accept(conn)
	})
}

// socket is a Conn over one WebSocket.
type socket struct {
	conn *websocket.Conn
}

func newSocket(conn *websocket.Conn) *socket {
	conn.SetReadLimit(codec.MaxPeerFrameBytes)
	return &socket{conn: conn}
}

func (s *socket) Send(ctx context.Context, data []byte) error {
	return s.conn.Write(ctx, websocket.MessageBinary, data)
}

func (s *socket) Receive(ctx context.Context) ([]byte, error) {
	kind, data, err := s.conn.Read(ctx)
	if err != nil {
		return nil, err
	}
	if kind != websocket.MessageBinary {
		return nil, fault.New(fault.Malformed, "text message on a peer link")
	}
	return data, nil
}

func (s *socket) Close() {
	// The link is given up whatever the close handshake returns.
	_ = s.conn.CloseNow()
}

// Accept upgrades a request to a link. On an error the refusal has been
// written.
func Accept(w http.ResponseWriter, r *http.Request) (Conn, error) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{subprotocol}})
	if err != nil {
		return nil, fault.Wrap(fault.Malformed, err, "accepting a peer link")
	}
	return newSocket(conn), nil
}
