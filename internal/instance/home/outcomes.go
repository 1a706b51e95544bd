package home

import (
	"context"
	"sync"
	"time"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/jobs"
)

const (
	// maxOutboxBytes and maxOutboxCount bound the outcomes that wait for the log.
	maxOutboxBytes = 16 << 20
	maxOutboxCount = 20_000
	// maxSending bounds the outcomes that are sent at once. Those of one shard
	// share an append.
	maxSending = 512
	// outcomeRetry is the pause before an outcome is sent again.
	outcomeRetry = 1 * time.Second
	// maxOutcomeBytes bounds the body of a recorded outcome. The outcome of a
	// larger answer is recorded without it.
	maxOutcomeBytes = 64 << 10
	// outcomeOverhead is the size of an outcome beyond its body.
	outcomeOverhead = 256
)

// outbox holds the outcomes that were not read back yet. A full one drops new
// outcomes and counts them.
type outbox struct {
	wake chan struct{}

	mu      sync.Mutex
	queue   []codec.RequestOutcome
	sending int
	count   int
	bytes   int
	dropped uint64
}

func newOutbox() *outbox {
	return &outbox{wake: make(chan struct{}, 1)}
}

// add queues an outcome. It never waits.
func (o *outbox) add(outcome codec.RequestOutcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	size := len(outcome.Body) + outcomeOverhead
	if o.count >= maxOutboxCount || o.bytes+size > maxOutboxBytes {
		o.dropped++
		return
	}
	o.count++
	o.bytes += size
	o.queue = append(o.queue, outcome)
	o.signal()
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// take returns outcomes to send now.
func (o *outbox) take() []codec.RequestOutcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := min(len(o.queue), maxSending-o.sending)
	taken := o.queue[:count:count]
	o.queue = o.queue[count:]
	o.sending += count
	return taken
}

// sent ends the sending of an outcome, which is queued again unless it is done.
func (o *outbox) sent(outcome codec.RequestOutcome, done bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sending--
	if done {
		o.count--
		o.bytes -= len(outcome.Body) + outcomeOverhead
	} else {
		o.queue = append(o.queue, outcome)
	}
	o.signal()
}

// sendOutcomes sends the outcomes to the homes of their keys until the home is
// stopped.
func (h *Home) sendOutcomes() {
	for {
		select {
		case <-h.base.Done():
			return
		case <-h.outbox.wake:
		}
		for _, outcome := range h.outbox.take() {
			h.spawn(func() { h.sendOutcome(outcome) })
		}
	}
}

func (h *Home) sendOutcome(outcome codec.RequestOutcome) {
	done := h.settle(h.base, outcome) == nil
	if !done {
		h.sleep(h.base, outcomeRetry)
	}
	h.outbox.sent(outcome, done)
}

// settle hands an outcome to the home of its key. It returns nil when the
// outcome was read back, or is void for good.
func (h *Home) settle(ctx context.Context, outcome codec.RequestOutcome) error {
	home, id, err := h.homeOf(keyHash(outcome.Ref.Caller, outcome.Ref.Key))
	if err != nil {
		return err
	}
	if home.ID == h.config.Self {
		return h.settleHere(ctx, id, outcome)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.tell(ctx, home.ID, codec.OpOutcome, outcome)
}

// tell sends an operation whose reply has no body.
func (h *Home) tell(ctx context.Context, to ident.Incarnation, operation string, body any) error {
	message, err := codec.EncodeJob(operation, body)
	if err != nil {
		return err
	}
	_, err = h.config.Peers.Job(ctx, to, message)
	return err
}

func (h *Home) settleHere(ctx context.Context, id ident.Shard, outcome codec.RequestOutcome) error {
	s, err := h.local(id)
	if err != nil {
		return err
	}
	if err := s.ready(); err != nil {
		return err
	}
	if err := s.appendable(); err != nil {
		return err
	}
	result, err := s.append(ctx, record.Outcome{
		Caller:  outcome.Ref.Caller,
		Key:     outcome.Ref.Key,
		Outcome: outcome.Outcome,
		Body:    outcome.Body,
		Failure: outcome.Failure,
		Intent:  outcome.Intent,
	})
	if err != nil {
		return err
	}
	if result.verdict == jobs.Void && s.current().Home != h.config.Self {
		return unproven(fault.RecordVoid, "shard %d has another home", id)
	}
	return nil
}

// outcomeOf returns the outcome of a request in the form of a message.
func outcomeOf(caller ident.CallerName, key string, intent ident.Offset, answer work.Answer) codec.RequestOutcome {
	outcome := codec.RequestOutcome{
		Ref:     codec.KeyRef{Caller: caller, Key: key},
		Outcome: answer.Outcome,
		Body:    answer.Body,
		Intent:  intent,
		Found:   true,
	}
	if answer.Failure != nil {
		outcome.Failure = answer.Failure.Kind
	}
	if len(outcome.Body) > maxOutcomeBytes {
		outcome.Body = nil
		outcome.Failure = fault.AnswerCut
	}
	return outcome
}

func recordedOf(key *jobs.Key) codec.RequestOutcome {
	return codec.RequestOutcome{
		Ref:     codec.KeyRef{Caller: key.Caller, Key: key.Key},
		Outcome: key.Outcome,
		Body:    key.Body,
		Failure: key.Failure,
		Intent:  key.Intent,
		Found:   true,
	}
}

func answerOf(key *jobs.Key) work.Answer {
	return answerFrom(recordedOf(key))
}

func answerFrom(outcome codec.RequestOutcome) work.Answer {
	answer := work.Answer{Outcome: outcome.Outcome, Body: outcome.Body}
	if outcome.Failure != "" {
		answer.Failure = fault.New(outcome.Failure, "recorded outcome").WithOutcome(outcome.Outcome)
	}
	return answer
}
