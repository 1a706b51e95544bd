package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/membership"
)

// Node holds the links of one instance. It sends requests over links that it
// dialled itself, and their replies come back on the same link.
type Node struct {
	config Config
	// base ends with Close and bounds everything that the node has started.
	base       context.Context
	stop       context.CancelFunc
	goroutines *goroutineGroup
	// links is replaced by SetMembers and read without a lock.
	links atomic.Pointer[linkTable]
	// membersMu serialises the calls of SetMembers.
	membersMu sync.Mutex
	// budgets maps a region name to its *regionBudget.
	budgets      sync.Map
	lateMessages atomic.Uint64
}

// linkTable is an immutable version of the set of links.
type linkTable map[ident.Incarnation]*link

// link maintains a connection to one member.
type link struct {
	to      membership.Member
	cancel  context.CancelFunc
	current atomic.Pointer[session]
}

// NewNode returns a node without links. Close ends it.
func NewNode(config Config) *Node {
	node := &Node{config: config, goroutines: newGoroutineGroup()}
	node.base, node.stop = context.WithCancel(context.Background())
	node.links.Store(&linkTable{})
	return node
}

func (n *Node) context() context.Context {
	return n.base
}

// Close ends all links and waits for every goroutine that the node has started.
func (n *Node) Close() {
	n.stop()
	n.goroutines.close()
}

// LateMessages returns the number of messages that arrived for requests that
// had already ended, and of repeated requests that were dropped.
func (n *Node) LateMessages() uint64 {
	return n.lateMessages.Load()
}

// SentBytesByRegion returns the bytes sent to each region.
func (n *Node) SentBytesByRegion() map[ident.RegionName]uint64 {
	sent := map[ident.RegionName]uint64{}
	n.budgets.Range(func(region, value any) bool {
		sent[region.(ident.RegionName)] = value.(*regionBudget).sent.Load()
		return true
	})
	return sent
}

func (n *Node) budgetForRegion(region ident.RegionName) *regionBudget {
	if value, found := n.budgets.Load(region); found {
		return value.(*regionBudget)
	}
	limit := n.config.RegionBytesPerSecond
	if region == n.config.Origin.Region {
		limit = 0
	}
	value, _ := n.budgets.LoadOrStore(region, newRegionBudget(limit))
	return value.(*regionBudget)
}

// SetMembers opens links to members that are new and ends the links to members
// that are no longer listed.
func (n *Node) SetMembers(members []membership.Member) {
	n.membersMu.Lock()
	defer n.membersMu.Unlock()
	current := *n.links.Load()
	next := linkTable{}
	for _, member := range members {
		if member.ID == n.config.Self {
			continue
		}
		memberLink, found := current[member.ID]
		if !found {
			memberLink = n.openLink(member)
		}
		next[member.ID] = memberLink
	}
	n.links.Store(&next)
	for id, old := range current {
		if next[id] == nil {
			old.cancel()
		}
	}
}

func (n *Node) openLink(member membership.Member) *link {
	ctx, cancel := context.WithCancel(n.base)
	memberLink := &link{to: member, cancel: cancel}
	n.goroutines.start(func() { n.maintain(ctx, memberLink) })
	return memberLink
}

// maintain connects again whenever the link is lost. Before each further attempt
// it waits a random time. The upper limit of that time doubles with each failure
// from minReconnectDelay to maxReconnectDelay.
func (n *Node) maintain(ctx context.Context, memberLink *link) {
	random := rand.New(rand.NewPCG(n.config.Seed, memberLink.to.ID.Nonce))
	backoff := minReconnectDelay
	for ctx.Err() == nil {
		if n.runSession(ctx, memberLink) {
			backoff = minReconnectDelay
		}
		n.sleep(ctx, time.Duration(random.Int64N(int64(backoff)))+1)
		backoff = min(2*backoff, maxReconnectDelay)
	}
}

func (n *Node) sleep(ctx context.Context, wait time.Duration) {
	timer := n.config.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// runSession connects and runs one session until it ends. It returns whether
// the peer answered.
func (n *Node) runSession(ctx context.Context, memberLink *link) bool {
	conn, hello, err := n.dial(ctx, memberLink.to)
	if err != nil {
		return false
	}
	established := newSession(n, conn, hello)
	n.config.Handlers.Hello(hello)
	memberLink.current.Store(established)
	defer memberLink.current.Store(nil)
	established.run(ctx)
	return true
}

// dial connects to a member and exchanges Hello messages. It fails if another
// incarnation than the member's answers.
func (n *Node) dial(ctx context.Context, to membership.Member) (Conn, codec.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := n.config.Dialer.Dial(ctx, to.PeerAddress)
	if err != nil {
		return nil, codec.Hello{}, fault.Wrap(fault.PeerUnreachable, err, "%s", to.ID)
	}
	hello, err := n.exchangeHello(ctx, conn, to.ID)
	if err != nil {
		conn.Close()
		return nil, codec.Hello{}, err
	}
	return conn, hello, nil
}

func (n *Node) exchangeHello(ctx context.Context, conn Conn, to ident.Incarnation) (codec.Hello, error) {
	if err := n.sendHello(ctx, conn, to); err != nil {
		return codec.Hello{}, err
	}
	hello, err := n.awaitHello(ctx, conn)
	if err != nil {
		return codec.Hello{}, err
	}
	if hello.From != to {
		return codec.Hello{}, fault.New(fault.PeerUnreachable, "incarnation %s answered at the address of %s", hello.From, to)
	}
	return hello, nil
}

func (n *Node) sendHello(ctx context.Context, conn Conn, to ident.Incarnation) error {
	data, err := codec.EncodePeer(codec.PeerFrame{Kind: codec.KindHello, To: to, Message: n.hello()})
	if err != nil {
		return err
	}
	return conn.Send(ctx, data)
}

// awaitHello returns the first message, which must be a Hello addressed to this
// incarnation.
func (n *Node) awaitHello(ctx context.Context, conn Conn) (codec.Hello, error) {
	frame, err := receive(ctx, conn)
	if err != nil {
		return codec.Hello{}, err
	}
	hello, isHello := frame.Message.(*codec.Hello)
	if !isHello || frame.To != n.config.Self {
		return codec.Hello{}, fault.New(fault.PeerUnreachable, "expected a Hello for this incarnation, received a message addressed to %s", frame.To)
	}
	return *hello, nil
}

func (n *Node) hello() *codec.Hello {
	status := n.config.Status()
	return &codec.Hello{
		From:          n.config.Self,
		Zone:          n.config.Origin.Zone,
		Region:        n.config.Origin.Region,
		AppliedOffset: status.AppliedOffset,
		ConfigVersion: status.ConfigVersion,
	}
}

// Accept serves a connection that another instance opened, until the connection
// ends or the node is closed.
func (n *Node) Accept(conn Conn) {
	defer conn.Close()
	ctx, cancel := context.WithTimeout(n.base, dialTimeout)
	defer cancel()
	hello, err := n.awaitHello(ctx, conn)
	if err != nil {
		return
	}
	if n.sendHello(ctx, conn, hello.From) != nil {
		return
	}
	n.config.Handlers.Hello(hello)
	newSession(n, conn, hello).run(n.base)
}

// connectedSession returns the current session with a member. It fails with
// PeerUnreachable if the member is unknown or not connected.
func (n *Node) connectedSession(to ident.Incarnation) (*session, error) {
	memberLink, found := (*n.links.Load())[to]
	if !found {
		return nil, fault.New(fault.PeerUnreachable, "no link to %s: it is not a current member", to)
	}
	current := memberLink.current.Load()
	if current == nil {
		return nil, fault.New(fault.PeerUnreachable, "%s", to)
	}
	return current, nil
}

func (n *Node) call(ctx context.Context, to ident.Incarnation, kind codec.PeerKind, message any) (callResult, error) {
	current, err := n.connectedSession(to)
	if err != nil {
		return callResult{}, err
	}
	return current.call(ctx, kind, message)
}

// Forward runs a request at another instance. An error of outcome NotRun
// guarantees that the forward was not sent; after any other error only Resolve
// can find out its outcome.
func (n *Node) Forward(ctx context.Context, to membership.Member, number uint64, request work.Request) (work.Answer, error) {
	if deadline, stated := ctx.Deadline(); stated {
		request.Remaining = deadline.Sub(n.config.Clock.Now())
	}
	reply, err := n.call(ctx, to.ID, codec.KindForward, &codec.Forward{Number: number, Request: request})
	return reply.answer, err
}

// Resolve asks the receiver of a forward for its outcome. An error says nothing
// about that outcome.
func (n *Node) Resolve(ctx context.Context, to membership.Member, number uint64, request ident.RequestID) (work.Answer, error) {
	reply, err := n.call(ctx, to.ID, codec.KindResolve, &codec.Resolve{Number: number, Request: request})
	return reply.answer, err
}

// callFor sends a request whose reply must be one message of type T.
func callFor[T any](ctx context.Context, n *Node, to ident.Incarnation, kind codec.PeerKind, message any) (T, error) {
	var zero T
	reply, err := n.call(ctx, to, kind, message)
	if err != nil {
		return zero, err
	}
	typed, matches := reply.message.(*T)
	if !matches {
		return zero, fault.New(fault.Malformed, "reply of an unexpected type from %s", to)
	}
	return *typed, nil
}

// RequestLeaseGrant asks a peer for a lease grant. With it, the peer agrees not
// to act on an epoch that lacks this incarnation for the time of one lease.
func (n *Node) RequestLeaseGrant(ctx context.Context, to ident.Incarnation, request codec.LeaseGrantRequest) (codec.LeaseGrantReply, error) {
	return callFor[codec.LeaseGrantReply](ctx, n, to, codec.KindLeaseGrantRequest, &request)
}

// RequestWorker asks a peer of another zone for a worker with enough free
// capacity for the demand in request.
func (n *Node) RequestWorker(ctx context.Context, to ident.Incarnation, request codec.WorkerRequest) (codec.WorkerReply, error) {
	return callFor[codec.WorkerReply](ctx, n, to, codec.KindWorkerRequest, &request)
}

// CallJobOperation calls an operation on jobs at a peer.
func (n *Node) CallJobOperation(ctx context.Context, to ident.Incarnation, job codec.Job) (codec.JobDone, error) {
	return callFor[codec.JobDone](ctx, n, to, codec.KindJob, &job)
}

// SendSummary sends a summary without waiting for a reply. It is queued after
// urgent messages and may be lost.
func (n *Node) SendSummary(to ident.Incarnation, summary codec.Summary) error {
	return n.sendBulk(to, codec.KindSummary, &summary)
}

// SendZoneTotal sends the total of a zone without waiting for a reply. It is
// queued after urgent messages and may be lost.
func (n *Node) SendZoneTotal(to ident.Incarnation, total codec.ZoneTotal) error {
	return n.sendBulk(to, codec.KindZoneTotal, &total)
}

// SendConfig sends a rules version without waiting for a reply. It is queued
// after urgent messages and may be lost.
func (n *Node) SendConfig(to ident.Incarnation, offer codec.ConfigOffer) error {
	return n.sendBulk(to, codec.KindConfigOffer, &offer)
}

func (n *Node) sendBulk(to ident.Incarnation, kind codec.PeerKind, message any) error {
	current, err := n.connectedSession(to)
	if err != nil {
		return err
	}
	return current.sendOneWay(kind, message, true)
}
