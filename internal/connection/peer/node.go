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

// Node holds the links of one instance. Requests go out on links that this
// instance has dialled; their replies come back on the same link.
type Node struct {
	config Config
	// base ends with Run and bounds everything the node has started.
	base  context.Context
	stop  context.CancelFunc
	group *group
	// links is replaced by Keep and read without a lock.
	links atomic.Pointer[linkTable]
	// keep serialises Keep.
	keep sync.Mutex
	// budgets maps a region to its *budget.
	budgets sync.Map
	late    atomic.Uint64
}

// linkTable is an immutable version of the links that are kept.
type linkTable map[ident.Incarnation]*link

// link keeps a connection to one member.
type link struct {
	to      membership.Member
	cancel  context.CancelFunc
	current atomic.Pointer[session]
}

// NewNode returns a node without links. Close ends it.
func NewNode(config Config) *Node {
	node := &Node{config: config, group: newGroup()}
	node.base, node.stop = context.WithCancel(context.Background())
	node.links.Store(&linkTable{})
	return node
}

func (n *Node) context() context.Context {
	return n.base
}

// Close ends all links and waits for what the node has started.
func (n *Node) Close() {
	n.stop()
	n.group.close()
}

// Late returns how many messages came for requests that had ended.
func (n *Node) Late() uint64 {
	return n.late.Load()
}

// Sent returns the bytes sent to each region.
func (n *Node) Sent() map[ident.RegionName]uint64 {
	sent := map[ident.RegionName]uint64{}
	n.budgets.Range(func(region, value any) bool {
		sent[region.(ident.RegionName)] = value.(*budget).sent.Load()
		return true
	})
	return sent
}

func (n *Node) budgetOf(region ident.RegionName) *budget {
	if known, found := n.budgets.Load(region); found {
		return known.(*budget)
	}
	limit := n.config.RegionBudget
	if region == n.config.Place.Region {
		limit = 0
	}
	known, _ := n.budgets.LoadOrStore(region, newBudget(limit))
	return known.(*budget)
}

// Keep dials the members that are new and ends the links to those that left.
func (n *Node) Keep(members []membership.Member) {
	n.keep.Lock()
	defer n.keep.Unlock()
	current := *n.links.Load()
	next := linkTable{}
	for _, member := range members {
		if member.ID == n.config.Self {
			continue
		}
		kept, found := current[member.ID]
		if !found {
			kept = n.open(member)
		}
		next[member.ID] = kept
	}
	n.links.Store(&next)
	for id, old := range current {
		if next[id] == nil {
			old.cancel()
		}
	}
}

func (n *Node) open(member membership.Member) *link {
	ctx, cancel := context.WithCancel(n.base)
	kept := &link{to: member, cancel: cancel}
	n.group.start(func() { n.maintain(ctx, kept) })
	return kept
}

// maintain connects again whenever the link is lost, after a random time up to
// a bound that doubles with each failure.
func (n *Node) maintain(ctx context.Context, kept *link) {
	random := rand.New(rand.NewPCG(n.config.Seed, kept.to.ID.Nonce))
	backoff := minBackoff
	for ctx.Err() == nil {
		if n.connect(ctx, kept) {
			backoff = minBackoff
		}
		n.pause(ctx, time.Duration(random.Int64N(int64(backoff)))+1)
		backoff = min(2*backoff, maxBackoff)
	}
}

func (n *Node) pause(ctx context.Context, wait time.Duration) {
	timer := n.config.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// connect runs one session and reports whether the peer answered.
func (n *Node) connect(ctx context.Context, kept *link) bool {
	conn, hello, err := n.dial(ctx, kept.to)
	if err != nil {
		return false
	}
	opened := newSession(n, conn, hello)
	n.config.Handlers.Hello(hello)
	kept.current.Store(opened)
	defer kept.current.Store(nil)
	opened.run(ctx)
	return true
}

// dial connects and exchanges Hello with exactly the incarnation of the member.
func (n *Node) dial(ctx context.Context, to membership.Member) (Conn, codec.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := n.config.Dialer.Dial(ctx, to.PeerAddress)
	if err != nil {
		return nil, codec.Hello{}, fault.Wrap(fault.PeerUnreachable, err, "%s", to.ID)
	}
	hello, err := n.introduce(ctx, conn, to.ID)
	if err != nil {
		conn.Close()
		return nil, codec.Hello{}, err
	}
	return conn, hello, nil
}

func (n *Node) introduce(ctx context.Context, conn Conn, to ident.Incarnation) (codec.Hello, error) {
	if err := n.sendHello(ctx, conn, to); err != nil {
		return codec.Hello{}, err
	}
	hello, err := n.awaitHello(ctx, conn)
	if err != nil {
		return codec.Hello{}, err
	}
	if hello.From != to {
		return codec.Hello{}, fault.New(fault.PeerUnreachable, "%s answers for %s", hello.From, to)
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

// awaitHello returns the first message, which must be a Hello for this
// incarnation.
func (n *Node) awaitHello(ctx context.Context, conn Conn) (codec.Hello, error) {
	frame, err := receive(ctx, conn)
	if err != nil {
		return codec.Hello{}, err
	}
	hello, isHello := frame.Message.(*codec.Hello)
	if !isHello || frame.To != n.config.Self {
		return codec.Hello{}, fault.New(fault.PeerUnreachable, "message for %s instead of a hello", frame.To)
	}
	return *hello, nil
}

func (n *Node) hello() *codec.Hello {
	status := n.config.Status()
	return &codec.Hello{
		From:          n.config.Self,
		Zone:          n.config.Place.Zone,
		Region:        n.config.Place.Region,
		Folded:        status.Folded,
		ConfigVersion: status.ConfigVersion,
	}
}

// Accept serves a connection that another instance opened, until it ends.
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

// session returns the connected session to a member.
func (n *Node) session(to ident.Incarnation) (*session, error) {
	kept, found := (*n.links.Load())[to]
	if !found {
		return nil, fault.New(fault.PeerUnreachable, "%s is no member", to)
	}
	current := kept.current.Load()
	if current == nil {
		return nil, fault.New(fault.PeerUnreachable, "%s", to)
	}
	return current, nil
}

func (n *Node) call(ctx context.Context, to ident.Incarnation, kind codec.PeerKind, message any) (result, error) {
	current, err := n.session(to)
	if err != nil {
		return result{}, err
	}
	return current.call(ctx, kind, message)
}

// Forward runs a request at another instance. An error of outcome NotRun
// guarantees that the forward has not left; after any other error only Resolve
// can tell what became of it.
func (n *Node) Forward(ctx context.Context, to membership.Member, number uint64, request work.Request) (work.Answer, error) {
	if deadline, stated := ctx.Deadline(); stated {
		request.Remaining = deadline.Sub(n.config.Clock.Now())
	}
	reply, err := n.call(ctx, to.ID, codec.KindForward, &codec.Forward{Number: number, Request: request})
	return reply.answer, err
}

// Resolve asks the receiver of a forward what became of it. An error says
// nothing about the forward.
func (n *Node) Resolve(ctx context.Context, to membership.Member, number uint64, request ident.RequestID) (work.Answer, error) {
	reply, err := n.call(ctx, to.ID, codec.KindResolve, &codec.Resolve{Number: number, Request: request})
	return reply.answer, err
}

// ask sends a request whose reply is one message of type T.
func ask[T any](ctx context.Context, n *Node, to ident.Incarnation, kind codec.PeerKind, message any) (T, error) {
	var zero T
	reply, err := n.call(ctx, to, kind, message)
	if err != nil {
		return zero, err
	}
	typed, matches := reply.message.(*T)
	if !matches {
		return zero, fault.New(fault.Malformed, "reply of another type from %s", to)
	}
	return *typed, nil
}

// Promise asks a peer for its promise.
func (n *Node) Promise(ctx context.Context, to ident.Incarnation, promise codec.Promise) (codec.Promised, error) {
	return ask[codec.Promised](ctx, n, to, codec.KindPromise, &promise)
}

// Offer asks a peer for a worker.
func (n *Node) Offer(ctx context.Context, to ident.Incarnation, offer codec.Offer) (codec.Offered, error) {
	return ask[codec.Offered](ctx, n, to, codec.KindOffer, &offer)
}

// Job calls an operation on jobs at a peer.
func (n *Node) Job(ctx context.Context, to ident.Incarnation, job codec.Job) (codec.JobDone, error) {
	return ask[codec.JobDone](ctx, n, to, codec.KindJob, &job)
}

// Summary sends a summary; it goes after urgent messages and may be lost.
func (n *Node) Summary(to ident.Incarnation, summary codec.Summary) error {
	return n.tell(to, codec.KindSummary, &summary)
}

// ZoneTotal sends a total; it goes after urgent messages and may be lost.
func (n *Node) ZoneTotal(to ident.Incarnation, total codec.ZoneTotal) error {
	return n.tell(to, codec.KindZoneTotal, &total)
}

// ConfigOffer sends a configuration; it goes after urgent messages and may be
// lost.
func (n *Node) ConfigOffer(to ident.Incarnation, offer codec.ConfigOffer) error {
	return n.tell(to, codec.KindConfigOffer, &offer)
}

func (n *Node) tell(to ident.Incarnation, kind codec.PeerKind, message any) error {
	current, err := n.session(to)
	if err != nil {
		return err
	}
	return current.tell(kind, message, true)
}
