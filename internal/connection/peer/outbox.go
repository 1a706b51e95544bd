package peer

import (
	"slices"
	"sync"
	"sync/atomic"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/work"
)

// The states of an item.
const (
	itemQueued uint32 = iota
	itemSent
	itemWithdrawn
)

// item is one encoded message that waits for the link.
type item struct {
	data  []byte
	state atomic.Uint32
}

// withdraw reports whether the message was taken back before it was sent.
func (i *item) withdraw() bool {
	return i.state.CompareAndSwap(itemQueued, itemWithdrawn)
}

// outAnswer is an answer that is being cut into frames.
type outAnswer struct {
	kind     codec.PeerKind
	sequence uint64
	answer   work.Answer
	headSent bool
	index    uint32
	offset   int64
	taken    int64
}

// outbox orders the messages of one link. Small messages go first, then the
// heads of new answers, then one frame of each answer in turn, then bulk
// messages.
type outbox struct {
	mu          sync.Mutex
	urgent      []*item
	bulk        []*item
	queuedBytes int
	// answers holds those whose head was not sent before all others.
	answers     []*outAnswer
	answerBytes int
	// wake holds one signal for the writer.
	wake chan struct{}
}

func newOutbox() *outbox {
	return &outbox{wake: make(chan struct{}, 1)}
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// put queues a message. A full queue refuses it as Overloaded.
func (o *outbox) put(data []byte, bulk bool) (*item, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.queuedBytes+len(data) > maxQueuedBytes {
		return nil, fault.New(fault.Overloaded, "the queue of the peer link is full")
	}
	o.queuedBytes += len(data)
	queued := &item{data: data}
	if bulk {
		o.bulk = append(o.bulk, queued)
	} else {
		o.urgent = append(o.urgent, queued)
	}
	o.signal()
	return queued, nil
}

// putAnswer queues an answer. It reports false if too many bytes wait.
func (o *outbox) putAnswer(answer *outAnswer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.answerBytes+len(answer.answer.Body) > maxAnswerBytes {
		return false
	}
	o.answerBytes += len(answer.answer.Body)
	begun := slices.IndexFunc(o.answers, func(other *outAnswer) bool { return other.headSent })
	if begun < 0 {
		begun = len(o.answers)
	}
	o.answers = slices.Insert(o.answers, begun, answer)
	o.signal()
	return true
}

// drop forgets an answer that nobody waits for.
func (o *outbox) drop(sequence uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, answer := range o.answers {
		if answer.sequence == sequence {
			o.removeAnswer(i)
			return
		}
	}
}

// taken moves the window of an answer.
func (o *outbox) taken(sequence uint64, bytes int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, answer := range o.answers {
		if answer.sequence == sequence && bytes <= answer.offset {
			answer.taken = max(answer.taken, bytes)
		}
	}
	o.signal()
}

// next returns the next message, or nil if nothing can be sent now.
func (o *outbox) next() ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if data := o.pop(&o.urgent); data != nil {
		return data, nil
	}
	return o.nextFrame()
}

// nextBulk returns the next bulk message, or nil.
func (o *outbox) nextBulk() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pop(&o.bulk)
}

// bulkBytes returns the length of the next bulk message, or zero.
func (o *outbox) bulkBytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.bulk) == 0 {
		return 0
	}
	return len(o.bulk[0].data)
}

// pop marks the first message that was not withdrawn as sent and returns it.
func (o *outbox) pop(queue *[]*item) []byte {
	for len(*queue) > 0 {
		first := (*queue)[0]
		(*queue)[0] = nil
		*queue = (*queue)[1:]
		o.queuedBytes -= len(first.data)
		if first.state.CompareAndSwap(itemQueued, itemSent) {
			return first.data
		}
	}
	return nil
}

// nextFrame returns one message of the first answer whose window is open and
// moves that answer to the end of the line.
func (o *outbox) nextFrame() ([]byte, error) {
	for i, answer := range o.answers {
		if answer.headSent && answer.offset-answer.taken >= WindowBytes {
			continue
		}
		frame, last := answer.cut()
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

// cut returns the next message of the answer and whether it is the last.
func (a *outAnswer) cut() (codec.PeerFrame, bool) {
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

func (a *outAnswer) head() *codec.AnswerHead {
	return &codec.AnswerHead{
		Request: a.answer.Request,
		Outcome: a.answer.Outcome,
		Total:   int64(len(a.answer.Body)),
		Failure: a.answer.Failure,
		Token:   a.answer.Token,
	}
}

func (a *outAnswer) frame(kind codec.PeerKind, message any) codec.PeerFrame {
	return codec.PeerFrame{Kind: kind, Sequence: a.sequence, Message: message}
}
