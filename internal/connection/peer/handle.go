package peer

import (
	"context"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/work"
)

// handle serves a message that is not a reply.
func (s *session) handle(frame codec.PeerFrame) {
	handlers := s.node.config.Handlers
	switch message := frame.Message.(type) {
	case *codec.Hello:
		s.takeHello(message)
	case *codec.Summary:
		handlers.Summary(s.from(), *message)
	case *codec.ZoneTotal:
		handlers.ZoneTotal(s.from(), *message)
	case *codec.ConfigOffer:
		handlers.ConfigOffer(s.from(), *message)
	case *codec.Promise:
		promised := handlers.Promise(s.from(), *message)
		s.reply(frame.Sequence, codec.KindPromised, &promised)
	case *codec.Cancel:
		s.cancel(frame.Sequence)
	default:
		s.serve(frame)
	}
}

// takeHello reports a Hello of the incarnation to which the link belongs.
func (s *session) takeHello(hello *codec.Hello) {
	if hello.From == s.from() {
		s.node.config.Handlers.Hello(*hello)
	}
}

// serve runs a request in a goroutine of its own. The request outlives the
// session, because its caller may ask for the outcome on the next one.
func (s *session) serve(frame codec.PeerFrame) {
	if frame.To != s.node.config.Self {
		s.refuse(frame.Sequence, fault.New(fault.PeerUnreachable, "message without receiver"))
		return
	}
	ctx, cancel := context.WithCancel(s.node.context())
	if !s.enter(frame.Sequence, cancel) {
		cancel()
		return
	}
	started := s.node.group.start(func() {
		defer s.leave(frame.Sequence)
		s.answer(ctx, frame)
	})
	if !started {
		s.leave(frame.Sequence)
	}
}

// enter registers a running request. A repeated frame of a request that still
// runs is dropped.
func (s *session) enter(sequence uint64, cancel context.CancelFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, repeated := s.running[sequence]; repeated {
		s.node.late.Add(1)
		return false
	}
	if len(s.running) >= maxRunning {
		s.refuse(sequence, fault.New(fault.Overloaded, "%d requests run on the link", maxRunning))
		return false
	}
	s.running[sequence] = cancel
	return true
}

func (s *session) leave(sequence uint64) {
	s.mu.Lock()
	cancel := s.running[sequence]
	delete(s.running, sequence)
	s.mu.Unlock()
	cancel()
}

// cancel ends a running request, or an answer that is still being sent.
func (s *session) cancel(sequence uint64) {
	s.mu.Lock()
	cancel, found := s.running[sequence]
	s.mu.Unlock()
	if found {
		cancel()
	}
	s.out.drop(sequence)
}

func (s *session) answer(ctx context.Context, frame codec.PeerFrame) {
	config := &s.node.config
	switch message := frame.Message.(type) {
	case *codec.Forward:
		answer := config.Requests.Forwarded(ctx, s.from(), message.Number, message.Request)
		s.sendAnswer(frame.Sequence, codec.KindAnswerHead, answer)
	case *codec.Resolve:
		answer := config.Requests.Resolve(ctx, s.from(), message.Number, message.Request)
		s.sendAnswer(frame.Sequence, codec.KindResolved, answer)
	case *codec.Offer:
		offered := config.Handlers.Offer(ctx, s.from(), *message)
		s.reply(frame.Sequence, codec.KindOffered, &offered)
	case *codec.Job:
		done, err := config.Handlers.Job(ctx, s.from(), *message)
		if err != nil {
			s.refuse(frame.Sequence, fault.From(err))
			return
		}
		s.reply(frame.Sequence, codec.KindJobDone, &done)
	}
}

// sendAnswer queues an answer. If too many wait, the caller learns of a cut
// answer and may resolve it later.
func (s *session) sendAnswer(sequence uint64, kind codec.PeerKind, answer work.Answer) {
	queued := s.out.putAnswer(&outAnswer{kind: kind, sequence: sequence, answer: answer})
	if !queued {
		s.refuse(sequence, fault.New(fault.AnswerCut, "too many answers wait for the link"))
	}
}
