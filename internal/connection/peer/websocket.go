package peer

import (
	"context"
	"io"
	"net/http"

	"github.com/coder/websocket"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/membudget"
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

// Handler returns an HTTP handler that accepts peer links for a node. memory is the budget for the
// messages that arrive on them, or nil.
func Handler(node *Node, memory *membudget.Budget) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := Accept(w, r, memory)
		if err != nil {
			return // Accept has already written the error response.
		}
		node.Accept(conn)
	})
}

// webSocketConn implements Conn over one WebSocket.
type webSocketConn struct {
	conn *websocket.Conn
	// memory is the budget for messages that arrive, or nil.
	memory  *membudget.Budget
	account membudget.Account
}

func newWebSocketConn(conn *websocket.Conn) *webSocketConn {
	conn.SetReadLimit(codec.MaxPeerFrameBytes)
	return &webSocketConn{conn: conn}
}

func (s *webSocketConn) Send(ctx context.Context, data []byte) error {
	return s.conn.Write(ctx, websocket.MessageBinary, data)
}

func (s *webSocketConn) Receive(ctx context.Context) ([]byte, error) {
	kind, reader, err := s.conn.Reader(ctx)
	if err != nil {
		return nil, err
	}
	if kind != websocket.MessageBinary {
		return nil, fault.New(fault.Malformed, "received a text message on a peer link, which carries binary messages only")
	}
	if s.memory == nil {
		return io.ReadAll(reader)
	}
	grant := s.memory.Open(&s.account)
	defer grant.Close()
	return receiveMessage(ctx, &grant, reader, s.Close)
}

// firstReceiveBytes is the first size of the buffer for a message. Heartbeats fit.
const firstReceiveBytes = 2 << 10

// receiveMessage reads a message into a buffer for which it acquires memory before it grows. abort ends
// the read.
func receiveMessage(ctx context.Context, grant *membudget.Grant, reader io.Reader, abort func()) ([]byte, error) {
	if err := grant.Acquire(ctx, firstReceiveBytes); err != nil {
		return nil, err
	}
	data := make([]byte, 0, firstReceiveBytes)
	for isFirst := true; ; isFirst = false {
		n, err := reader.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		grant.Received(n)
		switch {
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		case isFirst:
			grant.Register(func() { go abort() }) // It waits for the end of the read.
		}
		if len(data) == cap(data) {
			// Both buffers are held until the content is copied.
			size := 2 * cap(data)
			if err := grant.Acquire(ctx, int64(size)); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, size), data...)
			grant.Shrink(int64(size))
		}
	}
}

func (s *webSocketConn) Close() {
	// The link is abandoned whether or not the close succeeds.
	_ = s.conn.CloseNow()
}

// Accept upgrades an HTTP request to a peer link. If it returns an error, it
// has already written the error response. The messages that arrive take their memory from a budget,
// which is nil if nothing limits it.
func Accept(w http.ResponseWriter, r *http.Request, memory *membudget.Budget) (Conn, error) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{subprotocol}})
	if err != nil {
		return nil, fault.Wrap(fault.Malformed, err, "upgrading a request to a peer link")
	}
	accepted := newWebSocketConn(conn)
	accepted.memory = memory
	return accepted, nil
}
