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

// session is one connection from its first Hello to its end.
type session struct {
	node         *Node
	conn         Conn
	remote       codec.Hello
	outbox       *outbox
	regionBudget *regionBudget

	// sequence is the number of the last request that was sent.
	sequence atomic.Uint64
	done     chan struct{}

	// mu protects ended, pending and running. It is never held during I/O.
	mu    sync.Mutex
	ended bool
	// pending holds the calls that wait for a reply, by sequence number.
	pending map[uint64]*pendingCall
	// running holds the requests of the peer that are being served.
	running map[uint64]context.CancelFunc
}

// pendingCall is a request that waits for its reply.
type pendingCall struct {
	request  *outgoingMessage
	assembly Assembly
	// acknowledged is the number of body bytes named by the last Window message
	// that was sent. Only the reading goroutine uses it.
	acknowledged int64
	result       chan callResult
}

// callResult is the reply to a call, or the error that ended it.
type callResult struct {
	answer  work.Answer
	message any
	err     error
}

func newSession(node *Node, conn Conn, remote codec.Hello) *session {
	return &session{
		node:         node,
		conn:         conn,
		remote:       remote,
		outbox:       newOutbox(),
		regionBudget: node.budgetForRegion(remote.Region),
		done:         make(chan struct{}),
		pending:      map[uint64]*pendingCall{},
		running:      map[uint64]context.CancelFunc{},
	}
}

// run sends and receives messages until the connection or ctx ends.
func (s *session) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { defer cancel(); s.write(ctx) })
	group.Go(func() { defer cancel(); s.read(ctx) })
	group.Go(func() { s.sendHellos(ctx) })
	<-ctx.Done()
	s.conn.Close()
	group.Wait()
	s.finish()
}

// finish ends every pending call.
func (s *session) finish() {
	s.mu.Lock()
	s.ended = true
	unfinished := s.pending
	s.pending = nil
	s.mu.Unlock()
	close(s.done)
	for _, pending := range unfinished {
		pending.result <- callResult{err: s.lossError(pending)}
	}
}

// lossError returns the error of a call that was pending when the link ended:
// PeerUnreachable if its request was still queued, and PeerLost if it may have
// been sent.
func (s *session) lossError(pending *pendingCall) error {
	if pending.request.withdraw() {
		return fault.New(fault.PeerUnreachable, "%s", s.remote.From)
	}
	return fault.New(fault.PeerLost, "%s", s.remote.From)
}

// sendHellos sends a Hello message every helloPeriod.
func (s *session) sendHellos(ctx context.Context) {
	ticker := s.node.config.Clock.NewTicker(helloPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		// If the queue is full, the link is busy anyway, and the next Hello
		// follows after one period.
		_ = s.sendOneWay(codec.KindHello, s.node.hello(), false)
	}
}

func (s *session) write(ctx context.Context) {
	for {
		data, err := s.nextMessage(ctx)
		if err != nil {
			return
		}
		if s.regionBudget.acquire(ctx, len(data)) != nil {
			return
		}
		if s.conn.Send(ctx, data) != nil {
			return
		}
	}
}

// nextMessage waits until a message may be sent and returns it.
func (s *session) nextMessage(ctx context.Context) ([]byte, error) {
	timer := s.node.config.Clock.NewTimer(helloPeriod)
	defer timer.Stop()
	for {
		data, err := s.outbox.next()
		if err != nil || data != nil {
			return data, err
		}
		wait := helloPeriod
		if bytes := s.outbox.nextBulkBytes(); bytes > 0 {
			wait = s.regionBudget.bulkDelay(s.node.config.Clock.Now(), bytes)
		}
		if wait == 0 {
			if data := s.outbox.nextBulk(); data != nil {
				return data, nil
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-s.outbox.wake:
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

// receive returns the next frame. It fails if no message arrives within
// receiveTimeout or if the message is malformed.
func receive(ctx context.Context, conn Conn) (codec.PeerFrame, error) {
	ctx, cancel := context.WithTimeout(ctx, receiveTimeout)
	defer cancel()
	data, err := conn.Receive(ctx)
	if err != nil {
		return codec.PeerFrame{}, err
	}
	return codec.DecodePeer(data)
}

// dispatch passes a frame to the call that waits for it or to a handler.
func (s *session) dispatch(frame codec.PeerFrame) {
	if !frame.To.IsZero() && frame.To != s.node.config.Self {
		s.refuse(frame.Sequence, fault.New(fault.PeerUnreachable, "received a message addressed to another incarnation, %s", frame.To))
		return
	}
	switch message := frame.Message.(type) {
	case *codec.AnswerHead:
		s.handleAnswerHead(frame.Sequence, message)
	case *codec.AnswerFrame:
		s.handleAnswerFrame(frame.Sequence, message)
	case *codec.LeaseGrantReply, *codec.WorkerReply, *codec.JobDone:
		s.complete(frame.Sequence, callResult{message: message})
	case *codec.Refused:
		s.complete(frame.Sequence, callResult{err: &message.Failure})
	case *codec.Window:
		s.outbox.acknowledge(frame.Sequence, message.ReceivedBytes)
	default:
		s.handle(frame)
	}
}

func (s *session) findPending(sequence uint64) (*pendingCall, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending, found := s.pending[sequence]
	return pending, found
}

// complete ends a pending call. A reply to a call that has already ended is
// only counted.
func (s *session) complete(sequence uint64, result callResult) {
	s.mu.Lock()
	pending, found := s.pending[sequence]
	delete(s.pending, sequence)
	s.mu.Unlock()
	if !found {
		s.node.lateMessages.Add(1)
		return
	}
	pending.result <- result
}

func (s *session) handleAnswerHead(sequence uint64, head *codec.AnswerHead) {
	pending, found := s.findPending(sequence)
	if !found {
		s.node.lateMessages.Add(1)
		return
	}
	answer := work.Answer{Request: head.Request, Outcome: head.Outcome, Failure: head.Failure, Token: head.Token}
	if err := pending.assembly.SetHead(answer, head.Total); err != nil {
		s.complete(sequence, callResult{err: err})
	}
}

func (s *session) handleAnswerFrame(sequence uint64, part *codec.AnswerFrame) {
	pending, found := s.findPending(sequence)
	if !found {
		s.node.lateMessages.Add(1)
		return
	}
	complete, err := pending.assembly.AddFrame(part.Index, part.Data, part.Last)
	if err != nil {
		s.complete(sequence, callResult{err: err})
		return
	}
	if complete {
		s.complete(sequence, callResult{answer: pending.assembly.Answer()})
		return
	}
	s.acknowledge(sequence, pending)
}

// acknowledge sends a Window message once half a window of body bytes has been
// received since the last one.
func (s *session) acknowledge(sequence uint64, pending *pendingCall) {
	received := pending.assembly.ReceivedBytes()
	if received-pending.acknowledged < WindowBytes/2 {
		return
	}
	pending.acknowledged = received
	s.reply(sequence, codec.KindWindow, &codec.Window{ReceivedBytes: received})
}

// call sends a request and waits for its reply.
func (s *session) call(ctx context.Context, kind codec.PeerKind, message any) (callResult, error) {
	sequence := s.sequence.Add(1)
	pending, err := s.register(sequence, kind, message)
	if err != nil {
		return callResult{}, err
	}
	select {
	case result := <-pending.result:
		return result, result.err
	case <-ctx.Done():
		return callResult{}, s.abandon(ctx, sequence, pending)
	}
}

// register queues the request and adds it to the pending calls under one lock,
// so that no reply can arrive before the entry exists.
func (s *session) register(sequence uint64, kind codec.PeerKind, message any) (*pendingCall, error) {
	data, err := codec.EncodePeer(codec.PeerFrame{Kind: kind, Sequence: sequence, To: s.remote.From, Message: message})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil, fault.New(fault.PeerUnreachable, "%s", s.remote.From)
	}
	queued, err := s.outbox.enqueue(data, false)
	if err != nil {
		return nil, err
	}
	pending := &pendingCall{request: queued, assembly: s.node.config.NewAssembly(), result: make(chan callResult, 1)}
	s.pending[sequence] = pending
	return pending, nil
}

// abandon ends a call whose context ended. If its request was already sent, it
// asks the peer to cancel it; otherwise the error has outcome NotRun.
func (s *session) abandon(ctx context.Context, sequence uint64, pending *pendingCall) error {
	s.mu.Lock()
	delete(s.pending, sequence)
	s.mu.Unlock()
	kind := fault.Canceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = fault.DeadlineExceeded
	}
	failure := fault.New(kind, "gave up waiting for a reply from %s", s.remote.From)
	if pending.request.withdraw() {
		return failure.WithOutcome(fault.NotRun)
	}
	s.reply(sequence, codec.KindCancel, &codec.Cancel{})
	return failure
}

// sendOneWay queues a message that has no reply.
func (s *session) sendOneWay(kind codec.PeerKind, message any, bulk bool) error {
	data, err := codec.EncodePeer(codec.PeerFrame{Kind: kind, To: s.remote.From, Message: message})
	if err != nil {
		return err
	}
	_, err = s.outbox.enqueue(data, bulk)
	return err
}

// reply queues a message that carries a request's sequence number. If the queue
// is full the message is dropped, and the requester's deadline ends the call.
func (s *session) reply(sequence uint64, kind codec.PeerKind, message any) {
	data, err := codec.EncodePeer(codec.PeerFrame{Kind: kind, Sequence: sequence, Message: message})
	if err != nil {
		return
	}
	_, _ = s.outbox.enqueue(data, false)
}

func (s *session) refuse(sequence uint64, failure *fault.Failure) {
	s.reply(sequence, codec.KindRefused, &codec.Refused{Failure: *failure})
}

func (s *session) remoteIncarnation() ident.Incarnation {
	return s.remote.From
}
