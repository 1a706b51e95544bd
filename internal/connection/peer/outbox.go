package peer

import (
	"slices"
	"sync"
	"sync/atomic"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/work"
)

// The states of an outgoing message.
const (
	messageQueued uint32 = iota
	messageSent
	messageWithdrawn
)

// outgoingMessage is one encoded message that is queued for the link.
type outgoingMessage struct {
	data  []byte
	state atomic.Uint32
}

// withdraw prevents the message from being sent. It returns false if the
// message was already taken for sending or withdrawn.
func (m *outgoingMessage) withdraw() bool {
	return m.state.CompareAndSwap(messageQueued, messageWithdrawn)
}

// outgoingAnswer is an answer that is being sent in frames.
type outgoingAnswer struct {
	kind     codec.PeerKind
	sequence uint64
	answer   work.Answer
	headSent bool
	// index is the number of the next frame.
	index uint32
	// offset is the number of body bytes sent so far.
	offset int64
	// acknowledged is the number of body bytes that the receiver has confirmed.
	acknowledged int64
}

// outbox queues and orders the messages of one link: first small urgent
// messages, then the heads of new answers, then one frame of each answer in
// turn, and last bulk messages.
type outbox struct {
	mu          sync.Mutex
	urgent      []*outgoingMessage
	bulk        []*outgoingMessage
	queuedBytes int
	// answers holds first the answers whose head was not sent yet, then the
	// others.
	answers     []*outgoingAnswer
	answerBytes int
	// wake holds at most one pending wake-up for the goroutine that sends.
	wake chan struct{}
}

func newOutbox() *outbox {
	return &outbox{wake: make(chan struct{}, 1)}
}

func (o *outbox) wakeSender() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// enqueue queues a message. It fails with Overloaded if the queue would hold
// more than maxQueuedMessageBytes.
func (o *outbox) enqueue(data []byte, bulk bool) (*outgoingMessage, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.queuedBytes+len(data) > maxQueuedMessageBytes {
		return nil, fault.New(fault.Overloaded, "the send queue of the peer link is full")
	}
	o.queuedBytes += len(data)
	message := &outgoingMessage{data: data}
	if bulk {
		o.bulk = append(o.bulk, message)
	} else {
		o.urgent = append(o.urgent, message)
	}
	o.wakeSender()
	return message, nil
}

// enqueueAnswer queues an answer. It returns false if the queue would hold more
// than maxQueuedAnswerBytes.
func (o *outbox) enqueueAnswer(answer *outgoingAnswer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.answerBytes+len(answer.answer.Body) > maxQueuedAnswerBytes {
		return false
	}
	o.answerBytes += len(answer.answer.Body)
	firstStarted := slices.IndexFunc(o.answers, func(queuedAnswer *outgoingAnswer) bool { return queuedAnswer.headSent })
	if firstStarted < 0 {
		firstStarted = len(o.answers)
	}
	o.answers = slices.Insert(o.answers, firstStarted, answer)
	o.wakeSender()
	return true
}

// dropAnswer removes an answer whose requester has cancelled.
func (o *outbox) dropAnswer(sequence uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, answer := range o.answers {
		if answer.sequence == sequence {
			o.removeAnswer(i)
			return
		}
	}
}

// acknowledge records how many body bytes of an answer have been received, which
// allows more of it to be sent. Counts beyond the bytes sent so far are
// ignored.
func (o *outbox) acknowledge(sequence uint64, bytes int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, answer := range o.answers {
		if answer.sequence == sequence && bytes <= answer.offset {
			answer.acknowledged = max(answer.acknowledged, bytes)
		}
	}
	o.wakeSender()
}

// next returns the next urgent message, answer head or answer frame, or nil if
// there is none or every window is full.
func (o *outbox) next() ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if data := o.pop(&o.urgent); data != nil {
		return data, nil
	}
	return o.nextFrame()
}

// nextBulk returns the next bulk message, or nil if there is none.
func (o *outbox) nextBulk() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pop(&o.bulk)
}

// nextBulkBytes returns the length of the next bulk message, or zero if there
// is none.
func (o *outbox) nextBulkBytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.bulk) == 0 {
		return 0
	}
	return len(o.bulk[0].data)
}

// pop marks the first message that was not withdrawn as sent and returns it.
func (o *outbox) pop(queue *[]*outgoingMessage) []byte {
	for len(*queue) > 0 {
		first := (*queue)[0]
		(*queue)[0] = nil
		*queue = (*queue)[1:]
		o.queuedBytes -= len(first.data)
		if first.state.CompareAndSwap(messageQueued, messageSent) {
			return first.data
		}
	}
	return nil
}

// nextFrame returns one message of the first answer whose window is not full
// and moves that answer to the end of the queue.
func (o *outbox) nextFrame() ([]byte, error) {
	for i, answer := range o.answers {
		if answer.headSent && answer.offset-answer.acknowledged >= WindowBytes {
			continue
		}
		frame, last := answer.nextPart()
		o.removeAnswer(i)
		if !last {
			o.answers = append(o.answers, answer)
			o.answerBytes += len(answer.answer.Body)
		}
		return codec.EncodePeer(frame)
	}
	return nil, nil
}

func (o *outbox) removeAnswer(i int) {
	o.answerBytes -= len(o.answers[i].answer.Body)
	o.answers = append(o.answers[:i], o.answers[i+1:]...)
}

// nextPart returns the head or the next frame of the answer, and whether it is
// the last message of the answer.
func (a *outgoingAnswer) nextPart() (codec.PeerFrame, bool) {
	if !a.headSent {
		a.headSent = true
		return a.frame(a.kind, a.head()), false
	}
	body := a.answer.Body
	end := min(a.offset+FrameBytes, int64(len(body)))
	part := &codec.AnswerFrame{
		Request: a.answer.Request,
		Index:   a.index,
		Data:    body[a.offset:end],
		Last:    end == int64(len(body)),
	}
	a.index++
	a.offset = end
	return a.frame(codec.KindAnswerFrame, part), part.Last
}

func (a *outgoingAnswer) head() *codec.AnswerHead {
	return &codec.AnswerHead{
		Request: a.answer.Request,
		Outcome: a.answer.Outcome,
		Total:   int64(len(a.answer.Body)),
		Failure: a.answer.Failure,
		Token:   a.answer.Token,
	}
}

func (a *outgoingAnswer) frame(kind codec.PeerKind, message any) codec.PeerFrame {
	return codec.PeerFrame{Kind: kind, Sequence: a.sequence, Message: message}
}
