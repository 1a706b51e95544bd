package peer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// session is one connection from its Hello to its end.
type session struct {
	node   *Node
	conn   Conn
	remote codec.Hello
	out    *outbox
	budget *budget

	sequence atomic.Uint64
	done     chan struct{}

	// mu protects the maps and ended; it is never held during I/O.
	mu      sync.Mutex
	ended   bool
	pending map[uint64]*call
	running map[uint64]context.CancelFunc
}

// call is a request that waits for its reply.
type call struct {
	item     *item
	assembly Assembly
	// acknowledged is the number of bytes that the last Window named. Only the
	// reader uses it.
	acknowledged int64
	result       chan result
}

// result ends a call.
type result struct {
	answer  work.Answer
	message any
	err     error
}

func newSession(node *Node, conn Conn, remote codec.Hello) *session {
	return &session{
		node:    node,
		conn:    conn,
		remote:  remote,
		out:     newOutbox(),
		budget:  node.budgetOf(remote.Region),
		done:    make(chan struct{}),
		pending: map[uint64]*call{},
		running: map[uint64]context.CancelFunc{},
	}
}

// run moves messages until the connection or ctx ends.
func (s *session) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { defer cancel(); s.write(ctx) })
	group.Go(func() { defer cancel(); s.read(ctx) })
	group.Go(func() { s.greet(ctx) })
	<-ctx.Done()
	s.conn.Close()
	group.Wait()
	s.finish()
}

// finish ends every waiting call.
func (s *session) finish() {
	s.mu.Lock()
	s.ended = true
	waiting := s.pending
	s.pending = nil
	s.mu.Unlock()
	close(s.done)
	for _, waiter := range waiting {
		waiter.result <- result{err: s.lost(waiter)}
	}
}

// lost returns what the end of the link says about a call.
func (s *session) lost(waiter *call) error {
	if waiter.item.withdraw() {
		return fault.New(fault.PeerUnreachable, "%s", s.remote.From)
	}
	return fault.New(fault.PeerLost, "%s", s.remote.From)
}

// greet sends a Hello in each period.
func (s *session) greet(ctx context.Context) {
	ticker := s.node.config.Clock.NewTicker(helloPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// A full queue shows that the link is busy; the next Hello is due soon.
		_ = s.tell(codec.KindHello, s.node.hello(), false)
	}
}

func (s *session) write(ctx context.Context) {
	for {
		data, err := s.nextMessage(ctx)
		if err != nil {
			return
		}
		if s.budget.take(ctx, len(data)) != nil {
			return
		}
		if s.conn.Send(ctx, data) != nil {
			return
		}
	}
}

// nextMessage waits for a message that may be sent.
func (s *session) nextMessage(ctx context.Context) ([]byte, error) {
	timer := s.node.config.Clock.NewTimer(helloPeriod)
	defer timer.Stop()
	for {
		data, err := s.out.next()
		if err != nil || data != nil {
			return data, err
		}
		wait := helloPeriod
		if bytes := s.out.bulkBytes(); bytes > 0 {
			wait = s.budget.bulkDelay(s.node.config.Clock.Now(), bytes)
		}
		if wait == 0 {
			if data := s.out.nextBulk(); data != nil {
				return data, nil
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-s.out.wake:
		case <-timer.C:
		}
	}
}

func (s *session) read(ctx context.Context) {
	for {
		frame, err := receive(ctx, s.conn)
		if err != nil {
			return
		}
		s.dispatch(frame)
	}
}

// receive returns the next frame; silence and malformed data are errors.
func receive(ctx context.Context, conn Conn) (codec.PeerFrame, error) {
	ctx, cancel := context.WithTimeout(ctx, silenceLimit)
	defer cancel()
	data, err := conn.Receive(ctx)
	if err != nil {
		return codec.PeerFrame{}, err
	}
	return codec.DecodePeer(data)
}

// dispatch hands a frame to the call that waits for it or to a handler.
func (s *session) dispatch(frame codec.PeerFrame) {
	if !frame.To.IsZero() && frame.To != s.node.config.Self {
		s.refuse(frame.Sequence, fault.New(fault.PeerUnreachable, "message for %s", frame.To))
		return
	}
	switch message := frame.Message.(type) {
	case *codec.AnswerHead:
		s.takeHead(frame.Sequence, message)
	case *codec.AnswerFrame:
		s.takeFrame(frame.Sequence, message)
	case *codec.Promised, *codec.Offered, *codec.JobDone:
		s.complete(frame.Sequence, result{message: message})
	case *codec.Refused:
		s.complete(frame.Sequence, result{err: &message.Failure})
	case *codec.Window:
		s.out.taken(frame.Sequence, message.Taken)
	default:
		s.handle(frame)
	}
}

func (s *session) find(sequence uint64) (*call, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiter, found := s.pending[sequence]
	return waiter, found
}

// complete ends a call once. Replies to a call that has ended are counted.
func (s *session) complete(sequence uint64, ending result) {
	s.mu.Lock()
	waiter, found := s.pending[sequence]
	delete(s.pending, sequence)
	s.mu.Unlock()
	if !found {
		s.node.late.Add(1)
		return
	}
	waiter.result <- ending
}

func (s *session) takeHead(sequence uint64, head *codec.AnswerHead) {
	waiter, found := s.find(sequence)
	if !found {
		s.node.late.Add(1)
		return
	}
	answer := work.Answer{Request: head.Request, Outcome: head.Outcome, Failure: head.Failure, Token: head.Token}
	if err := waiter.assembly.Head(answer, head.Total); err != nil {
		s.complete(sequence, result{err: err})
	}
}

func (s *session) takeFrame(sequence uint64, part *codec.AnswerFrame) {
	waiter, found := s.find(sequence)
	if !found {
		s.node.late.Add(1)
		return
	}
	whole, err := waiter.assembly.Frame(part.Index, part.Data, part.Last)
	if err != nil {
		s.complete(sequence, result{err: err})
		return
	}
	if whole {
		s.complete(sequence, result{answer: waiter.assembly.Answer()})
		return
	}
	s.acknowledge(sequence, waiter)
}

// acknowledge opens the window again when half of it has been taken.
func (s *session) acknowledge(sequence uint64, waiter *call) {
	taken := waiter.assembly.Taken()
	if taken-waiter.acknowledged < WindowBytes/2 {
		return
	}
	waiter.acknowledged = taken
	s.reply(sequence, codec.KindWindow, &codec.Window{Taken: taken})
}

// call sends a request and waits for its reply.
func (s *session) call(ctx context.Context, kind codec.PeerKind, message any) (result, error) {
	sequence := s.sequence.Add(1)
	waiter, err := s.register(sequence, kind, message)
	if err != nil {
		return result{}, err
	}
	select {
	case ending := <-waiter.result:
		return ending, ending.err
	case <-ctx.Done():
		return result{}, s.abandon(ctx, sequence, waiter)
	}
}

// register queues the request and enters it as waiting, in one step, so that
// no reply can come before the entry.
func (s *session) register(sequence uint64, kind codec.PeerKind, message any) (*call, error) {
	data, err := codec.EncodePeer(codec.PeerFrame{Kind: kind, Sequence: sequence, To: s.remote.From, Message: message})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil, fault.New(fault.PeerUnreachable, "%s", s.remote.From)
	}
	queued, err := s.out.put(data, false)
	if err != nil {
		return nil, err
	}
	waiter := &call{item: queued, assembly: s.node.config.NewAssembly(), result: make(chan result, 1)}
	s.pending[sequence] = waiter
	return waiter, nil
}

// abandon gives a call up and passes the cancellation on.
func (s *session) abandon(ctx context.Context, sequence uint64, waiter *call) error {
	s.mu.Lock()
	delete(s.pending, sequence)
	s.mu.Unlock()
	kind := fault.Canceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = fault.DeadlineExceeded
	}
	failure := fault.New(kind, "waiting for %s", s.remote.From)
	if waiter.item.withdraw() {
		return failure.WithOutcome(fault.NotRun)
	}
	s.reply(sequence, codec.KindCancel, &codec.Cancel{})
	return failure
}

// tell queues a message that has no reply.
func (s *session) tell(kind codec.PeerKind, message any, bulk bool) error {
	data, err := codec.EncodePeer(codec.PeerFrame{Kind: kind, To: s.remote.From, Message: message})
	if err != nil {
		return err
	}
	_, err = s.out.put(data, bulk)
	return err
}

// reply queues a message that belongs to a sequence. If the queue is full, the
// other side's deadline ends the call.
func (s *session) reply(sequence uint64, kind codec.PeerKind, message any) {
	data, err := codec.EncodePeer(codec.PeerFrame{Kind: kind, Sequence: sequence, Message: message})
	if err != nil {
		return
	}
	_, _ = s.out.put(data, false)
}

func (s *session) refuse(sequence uint64, failure *fault.Failure) {
	s.reply(sequence, codec.KindRefused, &codec.Refused{Failure: *failure})
}

func (s *session) from() ident.Incarnation {
	return s.remote.From
}
