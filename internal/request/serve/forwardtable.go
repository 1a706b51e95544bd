package serve

import (
	"sync"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

const (
	// maxSenderForwards bounds the number of forwards that are kept of one
	// incarnation.
	maxSenderForwards = 4096
	// maxSenderAnswerBytes bounds the total size of the answer bodies that are
	// kept for one incarnation.
	maxSenderAnswerBytes = 16 << 20
	// maxSenders bounds the number of incarnations whose forwards are kept.
	maxSenders = 256
	// senderRetention is how long the forwards of an incarnation are kept
	// after its last message. It is far longer than any deadline.
	senderRetention = time.Hour
)

// forwardTable holds the forwards that other incarnations sent to this one.
// The numbers of the forwards of an incarnation increase, so a forward whose
// number is above highestRemoved and not in the table has certainly never
// arrived. The zero value is ready for use.
type forwardTable struct {
	// mu is held only to look up or change a record.
	mu      sync.Mutex
	senders map[ident.Incarnation]*senderForwards
}

// senderForwards holds the forwards of one incarnation.
type senderForwards struct {
	records map[uint64]*forwardRecord
	// arrivals holds the numbers in the order of their arrival.
	arrivals []uint64
	// highestRemoved is the highest number that was removed from records.
	highestRemoved uint64
	answerBytes    int
	lastUsed       time.Time
}

// forwardRecord holds one forward and its answer.
type forwardRecord struct {
	number uint64
	// done is closed when answer is set.
	done   chan struct{}
	answer work.Answer
}

// register adds a forward that arrived. first is true only for the arrival
// that may start the request. A nil record means that the forward may have
// been removed from the table, so its outcome is unknown.
func (t *forwardTable) register(now time.Time, from ident.Incarnation, number uint64) (record *forwardRecord, first bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sender, err := t.senderOf(now, from)
	if err != nil {
		return nil, false, err
	}
	if record, found := sender.records[number]; found {
		return record, false, nil
	}
	if number <= sender.highestRemoved {
		return nil, false, nil
	}
	return sender.add(number), true, nil
}

// resolve returns the record of a forward. If the forward has not arrived,
// resolve permanently refuses it. A nil record means that nothing is known
// about the forward.
func (t *forwardTable) resolve(now time.Time, from ident.Incarnation, number uint64, id ident.RequestID) *forwardRecord {
	record, first, err := t.register(now, from, number)
	if err != nil {
		return nil
	}
	if first {
		refusal := fault.New(fault.ResolvedNotRun, "request %s was queried before it arrived and will not be started", id)
		t.recordAnswer(from, record, work.Refuse(id, refusal))
	}
	return record
}

// recordAnswer sets the answer of a record.
func (t *forwardTable) recordAnswer(from ident.Incarnation, record *forwardRecord, answer work.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record.answer = answer
	close(record.done)
	sender, found := t.senders[from]
	if !found || sender.records[record.number] != record {
		return // The record was removed while the request ran.
	}
	sender.answerBytes += len(answer.Body)
	sender.trim()
}

func (t *forwardTable) senderOf(now time.Time, from ident.Incarnation) (*senderForwards, error) {
	if sender, found := t.senders[from]; found {
		sender.lastUsed = now
		return sender, nil
	}
	if len(t.senders) >= maxSenders {
		t.removeIdleSenders(now)
	}
	if len(t.senders) >= maxSenders {
		return nil, fault.New(fault.Overloaded, "the table of forwards is at its limit of %d sending incarnations", maxSenders)
	}
	if t.senders == nil {
		t.senders = map[ident.Incarnation]*senderForwards{}
	}
	added := &senderForwards{records: map[uint64]*forwardRecord{}, lastUsed: now}
	t.senders[from] = added
	return added, nil
}

func (t *forwardTable) removeIdleSenders(now time.Time) {
	for id, sender := range t.senders {
		if now.Sub(sender.lastUsed) > senderRetention {
			delete(t.senders, id)
		}
	}
}

func (s *senderForwards) add(number uint64) *forwardRecord {
	record := &forwardRecord{number: number, done: make(chan struct{})}
	s.records[number] = record
	s.arrivals = append(s.arrivals, number)
	s.trim()
	return record
}

// trim removes the oldest forwards until the limits are met.
func (s *senderForwards) trim() {
	for len(s.arrivals) > maxSenderForwards || s.answerBytes > maxSenderAnswerBytes && len(s.arrivals) > 0 {
		oldest := s.arrivals[0]
		s.arrivals = s.arrivals[1:]
		s.answerBytes -= s.records[oldest].answerSize()
		s.highestRemoved = max(s.highestRemoved, oldest)
		delete(s.records, oldest)
	}
}

// answerSize returns the size of the answer body, or zero while there is no
// answer.
func (f *forwardRecord) answerSize() int {
	select {
	case <-f.done:
		return len(f.answer.Body)
	default:
		return 0
	}
}
