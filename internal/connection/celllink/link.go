// Package celllink carries calls from an instance that receives requests to the
// instance that leads a cell. A link is one WebSocket connection with messages
// encoded in CBOR.
//
// A reply is delivered only to the call with the same sequence number. A call
// that ends without a reply has the result InDoubt if its message may have
// been sent.
package celllink

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/membudget"
)

const (
	// HeartbeatInterval is the interval between two heartbeats on a link.
	HeartbeatInterval = 300 * time.Millisecond
	// receiveTimeout is how long a link may receive nothing, three heartbeat
	// intervals and 50 ms, before it is closed.
	receiveTimeout = 3*HeartbeatInterval + 50*time.Millisecond
	// dialTimeout limits the time to open a connection. It is twice what a
	// connection to another region takes.
	dialTimeout = 400 * time.Millisecond
	// sendTimeout limits the time to hand one message to the connection.
	sendTimeout = time.Second
	// heldBackPause is the pause before the server is asked again for a part of the manifest
	// that it has held back.
	heldBackPause = 50 * time.Millisecond
	// maxConcurrentCalls is the number of calls of one link that are served at
	// the same time; further calls are refused.
	maxConcurrentCalls = 512
)

// Server answers the calls of other instances and handles their heartbeats.
type Server interface {
	Serve(ctx context.Context, call cellcodec.Call) cellcodec.Reply
	// NextHeartbeat returns the next heartbeat for the other instance. lastVersion
	// is the version that the call for the previous heartbeat of this link
	// returned, or 0; leaders that haven't changed since that version are left out.
	NextHeartbeat(remote RemoteManifest, lastVersion uint64) (heartbeat cellcodec.LinkHeartbeat, version uint64)
	// HandleHeartbeat handles a heartbeat received from the other instance. What it says
	// was true after echoed, which is when this end sent the newest heartbeat that the
	// other instance had received before; it is zero if there is none.
	HandleHeartbeat(heartbeat cellcodec.LinkHeartbeat, echoed time.Time)
	// WantsConfirmation reports whether the other instance should confirm the heartbeats
	// that it receives.
	WantsConfirmation() bool
	// HeartbeatDue returns a channel that is closed when a heartbeat must be sent
	// before HeartbeatInterval has passed.
	HeartbeatDue() <-chan struct{}
	// LinkOpened and LinkClosed are called when a link that another instance
	// opened begins and ends.
	LinkOpened()
	LinkClosed()
	// UnexpectedError records a panic that ended a call or a link.
	UnexpectedError(where string, err error)
}

// RemoteManifest is what the other instance of a link has told about its manifest.
type RemoteManifest struct {
	// Version is the version that it last reported, or -1 if it has sent no
	// heartbeat yet.
	Version int64
	// Wanted is the part of the manifest that it has asked for and has not been sent since,
	// or nil.
	Wanted *cellcodec.ManifestWanted
	// Nonce identifies its process, or is 0 if it has sent no heartbeat yet.
	Nonce uint64
}

// Link is one connection to another instance. Its methods may be called
// concurrently.
type Link struct {
	conn   peer.Conn
	server Server

	// lastSequence is the sequence number of the newest call sent.
	lastSequence atomic.Uint64
	// lastReceived is when the newest message arrived, in Unix nanoseconds.
	lastReceived atomic.Int64
	// opened is the origin of the times in the heartbeats that this end sends.
	opened time.Time
	// remoteSent is the SentMillis of the newest heartbeat received that wants to be
	// confirmed, or 0 if it is confirmed.
	remoteSent atomic.Int64
	// remoteManifest is the manifest version that the other instance reported
	// last, or -1 before its first heartbeat. manifestWanted is the part of the manifest
	// that it has asked for, or nil. remoteNonce identifies its process; it is 0 before
	// the first heartbeat.
	remoteManifest atomic.Int64
	manifestWanted atomic.Pointer[cellcodec.ManifestWanted]
	remoteNonce    atomic.Uint64
	// manifestDue holds one element when the other instance has asked for a part of the
	// manifest or has sent one.
	manifestDue chan struct{}
	// transit measures how long heartbeats take.
	transit transit

	// mu protects pendingCalls, the calls without a reply by sequence number,
	// and closed.
	mu           sync.Mutex
	pendingCalls map[uint64]chan cellcodec.Reply
	closed       bool

	// sendMu lets one message be sent at a time.
	sendMu sync.Mutex
	// window bounds the submissions without a reply, which are counted for account.
	window  *membudget.Budget
	account membudget.Account
	// callSlots holds one element for each call that is being served.
	callSlots chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

// Dial opens a link to the instance at an address. It gives up after
// dialTimeout.
func Dial(ctx context.Context, dialer peer.Dialer, address string, server Server) (*Link, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return open(conn, server), nil
}

// Handler returns the HTTP handler that accepts links of other instances. It
// serves a request until its link is closed. memory is the budget for the messages that
// arrive on the links, or nil.
func Handler(server Server, memory *membudget.Budget) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := peer.Accept(w, r, memory)
		if err != nil {
			return // Accept has written the error response.
		}
		Serve(conn, server)
	})
}

// Serve serves a connection that another instance has opened until the link is closed.
func Serve(conn peer.Conn, server Server) {
	link := open(conn, server)
	server.LinkOpened()
	<-link.Done()
	server.LinkClosed()
}

// open starts the goroutines of a link over a connection.
func open(conn peer.Conn, server Server) *Link {
	l := &Link{
		conn:         conn,
		server:       server,
		opened:       time.Now(),
		pendingCalls: map[uint64]chan cellcodec.Reply{},
		callSlots:    make(chan struct{}, maxConcurrentCalls),
		window:       newWindow(),
		manifestDue:  make(chan struct{}, 1),
		done:         make(chan struct{}),
	}
	l.lastReceived.Store(time.Now().UnixNano())
	l.remoteManifest.Store(-1)
	go l.receive()
	go l.sendHeartbeats()
	return l
}

// Done returns a channel that is closed when the link is closed.
func (l *Link) Done() <-chan struct{} { return l.done }

// Closed reports whether the link is closed.
func (l *Link) Closed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

// Nonce returns the nonce of the process at the other end, or 0 before its
// first heartbeat.
func (l *Link) Nonce() uint64 { return l.remoteNonce.Load() }

// Close closes the link. Calls that still wait for a reply get the result
// InDoubt.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		l.conn.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.closed = true
		for sequence, reply := range l.pendingCalls {
			close(reply)
			delete(l.pendingCalls, sequence)
		}
	})
}

// Call sends a call and returns its reply. The reply is InDoubt if the link or
// the context ends first, and Refused without being sent if the link can't carry the call in time.
// sent is false if the call can't have reached the other instance.
func (l *Link) Call(ctx context.Context, call cellcodec.Call) (reply cellcodec.Reply, sent bool) {
	sequence := l.lastSequence.Add(1)
	data, err := cellcodec.EncodeMessage(cellcodec.Message{Sequence: sequence, Call: &call})
	if err != nil {
		l.server.UnexpectedError("call to another instance", err)
		return cellcodec.Reply{}, false
	}
	grant := l.window.Open(&l.account)
	if call.Operation == cellcodec.OpSubmit {
		if refusal := l.enterWindow(ctx, &grant, len(data)); refusal != nil {
			grant.Close()
			return *refusal, false
		}
	}
	answer := make(chan cellcodec.Reply, 1)
	if !l.registerCall(sequence, answer) {
		grant.Close()
		return cellcodec.Reply{}, false
	}
	defer l.unregisterCall(sequence)
	if err := l.sendData(data); err != nil {
		grant.Close()
		l.Close()
		return cellcodec.Reply{}, true
	}
	select {
	case reply := <-answer: // Close closes the channel: the zero Reply is InDoubt.
		grant.Close()
		return reply, true
	case <-ctx.Done():
		// The message may still be on its way.
		time.AfterFunc(receiveTimeout, grant.Close)
		return cellcodec.Reply{}, true
	}
}

// registerCall lets deliver pass the reply with a sequence number to answer. It
// returns false if the link is closed.
func (l *Link) registerCall(sequence uint64, answer chan cellcodec.Reply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.pendingCalls[sequence] = answer
	return true
}

func (l *Link) unregisterCall(sequence uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingCalls, sequence)
}

// send encodes a message and sends it within sendTimeout.
func (l *Link) send(message cellcodec.Message) error {
	data, err := cellcodec.EncodeMessage(message)
	if err != nil {
		return err
	}
	return l.sendData(data)
}

// sendData sends an encoded message within sendTimeout from its turn on.
func (l *Link) sendData(data []byte) error {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	if err := l.conn.Send(ctx, data); err != nil {
		return fault.Wrap(fault.PeerLost, err, "sending a message on a link to another instance")
	}
	return nil
}

// sendHeartbeats sends heartbeats until the link is closed, and closes the link
// when nothing has been received for receiveTimeout.
func (l *Link) sendHeartbeats() {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	version := uint64(0)
	for {
		due := l.server.HeartbeatDue()
		var heartbeat cellcodec.LinkHeartbeat
		remote := RemoteManifest{Version: l.remoteManifest.Load(), Wanted: l.manifestWanted.Swap(nil), Nonce: l.remoteNonce.Load()}
		// The echo is read first: the rest of the heartbeat must be newer than it.
		echo := l.remoteSent.Swap(0)
		heartbeat, version = l.server.NextHeartbeat(remote, version)
		var heldBack <-chan time.Time
		if remote.Wanted != nil && heartbeat.ManifestPart == nil && remote.Version < heartbeat.ManifestVersion {
			l.manifestWanted.CompareAndSwap(nil, remote.Wanted)
			heldBack = time.After(heldBackPause)
		}
		l.addConfirmation(&heartbeat, echo)
		if heartbeat.ManifestCheck != nil {
			heartbeat.ManifestCheck.SentMillis = time.Since(l.opened).Milliseconds()
		}
		if err := l.send(cellcodec.Message{Heartbeat: &heartbeat}); err != nil {
			l.Close()
			return
		}
		select {
		case <-ticker.C:
		case <-due:
		case <-l.manifestDue:
		case <-heldBack:
		case <-l.done:
			return
		}
		if time.Since(time.Unix(0, l.lastReceived.Load())) > receiveTimeout {
			l.Close()
			return
		}
	}
}

// receive handles incoming messages until the connection fails. An unexpected error
// costs this link only.
func (l *Link) receive() {
	defer l.Close()
	if err := fault.Catch(l.receiveMessages); err != nil {
		l.server.UnexpectedError("link to another instance", err)
	}
}

func (l *Link) receiveMessages() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		data, err := l.conn.Receive(ctx)
		if err != nil {
			return
		}
		message, err := cellcodec.DecodeMessage(data)
		if err != nil {
			return // Closes the link; a new one is dialed after a malformed message.
		}
		l.lastReceived.Store(time.Now().UnixNano())
		l.handle(ctx, message)
	}
}

func (l *Link) handle(ctx context.Context, message cellcodec.Message) {
	switch {
	case message.Heartbeat != nil:
		l.remoteManifest.Store(message.Heartbeat.ManifestVersion)
		if message.Heartbeat.ManifestWanted != nil {
			l.manifestWanted.Store(message.Heartbeat.ManifestWanted)
		}
		if check := message.Heartbeat.ManifestCheck; check != nil {
			check.AgeMillis += l.transit.delayMillis(time.Since(l.opened).Milliseconds(), check.SentMillis)
		}
		l.remoteNonce.Store(message.Heartbeat.Nonce)
		if message.Heartbeat.SentMillis > 0 {
			l.remoteSent.Store(message.Heartbeat.SentMillis)
		}
		l.server.HandleHeartbeat(*message.Heartbeat, l.echoedTime(message.Heartbeat.EchoMillis))
		if message.Heartbeat.ManifestWanted != nil || message.Heartbeat.ManifestPart != nil {
			select {
			case l.manifestDue <- struct{}{}:
			default: // The next heartbeat is due already.
			}
		}
	case message.Reply != nil:
		l.deliver(message.Sequence, *message.Reply)
	case message.Call != nil:
		l.serve(ctx, message.Sequence, *message.Call)
	}
}

// addConfirmation answers the newest heartbeat of the other end that wants to be confirmed,
// whose SentMillis is echo, and lets this heartbeat be confirmed if the server wants that.
func (l *Link) addConfirmation(heartbeat *cellcodec.LinkHeartbeat, echo int64) {
	heartbeat.EchoMillis = echo
	if echo == 0 {
		heartbeat.KnownTerms = nil
	}
	if l.server.WantsConfirmation() {
		heartbeat.SentMillis = time.Since(l.opened).Milliseconds() + 1
	}
}

// echoedTime returns the time that an echo stands for, or the zero time if this end has
// sent no such heartbeat yet.
func (l *Link) echoedTime(echo int64) time.Time {
	elapsed := time.Since(l.opened)
	if echo <= 0 || echo-1 > elapsed.Milliseconds() {
		return time.Time{}
	}
	return l.opened.Add(time.Duration(echo-1) * time.Millisecond)
}

// deliver passes a reply to the call that waits for it, if there still is one.
func (l *Link) deliver(sequence uint64, reply cellcodec.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer, found := l.pendingCalls[sequence]; found {
		answer <- reply
		delete(l.pendingCalls, sequence)
	}
}

// serve answers a call in its own goroutine, or refuses it if maxConcurrentCalls
// are being served.
func (l *Link) serve(ctx context.Context, sequence uint64, call cellcodec.Call) {
	select {
	case l.callSlots <- struct{}{}:
	default:
		l.reply(sequence, cellcodec.Reply{Result: cellcodec.Refused})
		return
	}
	go func() {
		defer func() { <-l.callSlots }()
		// The caller must not take an unexpected error for a refusal: the call may
		// have had its effect.
		reply := cellcodec.Reply{Result: cellcodec.InDoubt}
		if err := fault.Catch(func() { reply = l.server.Serve(ctx, call) }); err != nil {
			l.server.UnexpectedError("call of another instance", err)
		}
		l.reply(sequence, reply)
	}()
}

func (l *Link) reply(sequence uint64, reply cellcodec.Reply) {
	if err := l.send(cellcodec.Message{Sequence: sequence, Reply: &reply}); err != nil {
		l.Close()
	}
}
