package peer

import (
	"context"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/work"
)

// handle processes a message that is not a reply.
func (s *session) handle(frame codec.PeerFrame) {
	handlers := s.node.config.Handlers
	switch message := frame.Message.(type) {
	case *codec.Hello:
		s.handleHello(message)
	case *codec.Summary:
		handlers.Summary(s.remoteIncarnation(), *message)
	case *codec.ZoneTotal:
		handlers.ZoneTotal(s.remoteIncarnation(), *message)
	case *codec.ConfigOffer:
		handlers.ConfigOffer(s.remoteIncarnation(), *message)
	case *codec.LeaseGrantRequest:
		grantReply := handlers.GrantLease(s.remoteIncarnation(), *message)
		s.reply(frame.Sequence, codec.KindLeaseGrantReply, &grantReply)
	case *codec.Cancel:
		s.cancel(frame.Sequence)
	default:
		s.serve(frame)
	}
}

// handleHello reports a Hello message of the incarnation to which the link
// belongs.
func (s *session) handleHello(hello *codec.Hello) {
	if hello.From == s.remoteIncarnation() {
		s.node.config.Handlers.Hello(*hello)
	}
}

// serve runs a request in a goroutine of its own. The request may outlive the
// session, because the requester may resolve its outcome over the next session.
func (s *session) serve(frame codec.PeerFrame) {
	if frame.To != s.node.config.Self {
		s.refuse(frame.Sequence, fault.New(fault.PeerUnreachable, "the request does not name the incarnation that it is for"))
		return
	}
	ctx, cancel := context.WithCancel(s.node.context())
	if !s.enterRunning(frame.Sequence, cancel) {
		cancel()
		return
	}
	started := s.node.goroutines.start(func() {
		defer s.leaveRunning(frame.Sequence)
		s.answer(ctx, frame)
	})
	if !started {
		s.leaveRunning(frame.Sequence)
	}
}

// enterRunning records a running request. It returns false for a request that
// is repeated while it still runs, and for one beyond maxRunningRequests, which
// it also refuses.
func (s *session) enterRunning(sequence uint64, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, repeated := s.running[sequence]; repeated {
		s.node.lateMessages.Add(1)
		return false
	}
	if len(s.running) >= maxRunningRequests {
		s.refuse(sequence, fault.New(fault.Overloaded, "request limit of the peer link reached: %d requests are running", maxRunningRequests))
		return false
	}
	s.running[sequence] = cancel
	return true
}

func (s *session) leaveRunning(sequence uint64) {
	s.mu.Lock()
	cancel := s.running[sequence]
	delete(s.running, sequence)
	s.mu.Unlock()
	cancel()
}

// cancel ends a running request, and drops an answer that is still being sent.
func (s *session) cancel(sequence uint64) {
	s.mu.Lock()
	cancel, found := s.running[sequence]
	s.mu.Unlock()
	if found {
		cancel()
	}
	s.outbox.dropAnswer(sequence)
}

func (s *session) answer(ctx context.Context, frame codec.PeerFrame) {
	config := &s.node.config
	switch message := frame.Message.(type) {
	case *codec.Forward:
		answer := config.Requests.RunForwarded(ctx, s.remoteIncarnation(), message.Number, message.Request)
		s.sendAnswer(frame.Sequence, codec.KindAnswerHead, answer)
	case *codec.Resolve:
		answer := config.Requests.Resolve(ctx, s.remoteIncarnation(), message.Number, message.Request)
		s.sendAnswer(frame.Sequence, codec.KindResolved, answer)
	case *codec.WorkerRequest:
		workerReply := config.Handlers.FindWorker(ctx, s.remoteIncarnation(), *message)
		s.reply(frame.Sequence, codec.KindWorkerReply, &workerReply)
	case *codec.Job:
		done, err := config.Handlers.HandleJobOperation(ctx, s.remoteIncarnation(), *message)
		if err != nil {
			s.refuse(frame.Sequence, fault.From(err))
			return
		}
		s.reply(frame.Sequence, codec.KindJobDone, &done)
	}
}

// sendAnswer queues an answer. If too many answer bytes are queued, the
// requester gets the error AnswerIncomplete and may resolve the outcome later.
func (s *session) sendAnswer(sequence uint64, kind codec.PeerKind, answer work.Answer) {
	queued := s.outbox.enqueueAnswer(&outgoingAnswer{kind: kind, sequence: sequence, answer: answer})
	if !queued {
		s.refuse(sequence, fault.New(fault.AnswerIncomplete, "answer dropped: too many answer bytes are queued for the peer link"))
	}
}
