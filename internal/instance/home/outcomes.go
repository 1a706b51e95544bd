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
	// maxOutboxBytes and maxOutboxCount bound the outcomes that are waiting to
	// be recorded in the log.
	maxOutboxBytes = 16 << 20
	maxOutboxCount = 20_000
	// maxConcurrentSends bounds the outcomes that are being sent at the same
	// time. The outcomes of one shard share an append call.
	maxConcurrentSends = 512
	// outcomeRetry is the delay before an outcome is sent again.
	outcomeRetry = 1 * time.Second
	// maxOutcomeBodyBytes bounds the body of a recorded outcome. The outcome of
	// a larger answer is recorded without the body.
	maxOutcomeBodyBytes = 64 << 10
	// outcomeOverheadBytes is the assumed size of an outcome without its body.
	outcomeOverheadBytes = 256
)

// outbox holds the outcomes that have not been read back from the log. If it is
// full, it drops new outcomes and counts them.
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

// add queues an outcome without blocking.
func (o *outbox) add(outcome codec.RequestOutcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	size := len(outcome.Body) + outcomeOverheadBytes
	if o.count >= maxOutboxCount || o.bytes+size > maxOutboxBytes {
		o.dropped++
		return
	}
	o.count++
	o.bytes += size
	o.queue = append(o.queue, outcome)
	o.wakeSender()
}

func (o *outbox) wakeSender() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// takeBatch removes the outcomes that can be sent now from the queue.
func (o *outbox) takeBatch() []codec.RequestOutcome {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := min(len(o.queue), maxConcurrentSends-o.sending)
	taken := o.queue[:count:count]
	o.queue = o.queue[count:]
	o.sending += count
	return taken
}

// finishSending ends one try to send an outcome. An outcome that was not
// delivered is queued again.
func (o *outbox) finishSending(outcome codec.RequestOutcome, delivered bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sending--
	if delivered {
		o.count--
		o.bytes -= len(outcome.Body) + outcomeOverheadBytes
	} else {
		o.queue = append(o.queue, outcome)
	}
	o.wakeSender()
}

// sendOutcomes sends each queued outcome to the home of its key until this Home
// is shut down.
func (h *Home) sendOutcomes() {
	for {
		select {
		case <-h.baseCtx.Done():
			return
		case <-h.outbox.wake:
		}
		for _, outcome := range h.outbox.takeBatch() {
			h.spawn(func() { h.sendOutcome(outcome) })
		}
	}
}

func (h *Home) sendOutcome(outcome codec.RequestOutcome) {
	delivered := h.deliverOutcome(h.baseCtx, outcome) == nil
	if !delivered {
		h.sleep(h.baseCtx, outcomeRetry)
	}
	h.outbox.finishSending(outcome, delivered)
}

// deliverOutcome sends an outcome to the home of its key. It returns nil if the
// outcome was read back, or if its record was rejected and would be rejected
// again.
func (h *Home) deliverOutcome(ctx context.Context, outcome codec.RequestOutcome) error {
	home, id, err := h.homeOf(qualifiedKey(outcome.Ref.Caller, outcome.Ref.Key))
	if err != nil {
		return err
	}
	if home.ID == h.config.Self {
		return h.recordOutcome(ctx, id, outcome)
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	return h.notifyPeer(ctx, home.ID, codec.OpOutcome, outcome)
}

// notifyPeer calls an operation whose reply has no body.
func (h *Home) notifyPeer(ctx context.Context, to ident.Incarnation, operation string, body any) error {
	message, err := codec.EncodeJob(operation, body)
	if err != nil {
		return err
	}
	_, err = h.config.Peers.CallJobOperation(ctx, to, message)
	return err
}

func (h *Home) recordOutcome(ctx context.Context, id ident.Shard, outcome codec.RequestOutcome) error {
	s, err := h.localShard(id)
	if err != nil {
		return err
	}
	if err := s.checkReady(); err != nil {
		return err
	}
	if err := s.checkAppendable(); err != nil {
		return err
	}
	result, err := s.append(ctx, record.Outcome{
		Caller:  outcome.Ref.Caller,
		Key:     outcome.Ref.Key,
		Outcome: outcome.Outcome,
		Body:    outcome.Body,
		Failure: outcome.Failure,
		Intent:  outcome.IntentOffset,
	})
	if err != nil {
		return err
	}
	if result.effect == jobs.Rejected && s.currentTable().Home != h.config.Self {
		return unknownOutcome(fault.RecordRejected, "the record was rejected: shard %d has another home", id)
	}
	return nil
}

// outcomeOfAnswer converts the answer to a request into the outcome used in
// messages.
func outcomeOfAnswer(caller ident.CallerName, key string, intent ident.Offset, answer work.Answer) codec.RequestOutcome {
	outcome := codec.RequestOutcome{
		Ref:          codec.KeyRef{Caller: caller, Key: key},
		Outcome:      answer.Outcome,
		Body:         answer.Body,
		IntentOffset: intent,
		Recorded:     true,
	}
	if answer.Failure != nil {
		outcome.Failure = answer.Failure.Kind
	}
	if len(outcome.Body) > maxOutcomeBodyBytes {
		outcome.Body = nil
		outcome.Failure = fault.AnswerIncomplete
	}
	return outcome
}

func outcomeOfKey(key *jobs.Key) codec.RequestOutcome {
	return codec.RequestOutcome{
		Ref:          codec.KeyRef{Caller: key.Caller, Key: key.Key},
		Outcome:      key.Outcome,
		Body:         key.Body,
		Failure:      key.Failure,
		IntentOffset: key.Intent,
		Recorded:     true,
	}
}

func answerOfKey(key *jobs.Key) work.Answer {
	return answerOfOutcome(outcomeOfKey(key))
}

func answerOfOutcome(outcome codec.RequestOutcome) work.Answer {
	answer := work.Answer{Outcome: outcome.Outcome, Body: outcome.Body}
	if outcome.Failure != "" {
		answer.Failure = fault.New(outcome.Failure, "recorded outcome of an earlier request with the same key").WithOutcome(outcome.Outcome)
	}
	return answer
}
