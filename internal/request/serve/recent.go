package serve

import (
	"sync"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

const (
	// maxForwards bounds the forwards that are remembered of one incarnation.
	maxForwards = 4096
	// maxForwardBytes bounds the answer bodies remembered of one incarnation.
	maxForwardBytes = 16 << 20
	// maxFronts bounds the incarnations whose forwards are remembered.
	maxFronts = 256
	// frontLife is how long an incarnation that sends nothing is remembered. It
	// is far longer than any deadline.
	frontLife = time.Hour
)

// recent remembers the forwards of other incarnations. Numbers rise with each
// forward of an incarnation, so a number above the highest forgotten one and
// not in the table has certainly never been seen. Its zero value is ready.
type recent struct {
	// mu is held only to look up or change an entry.
	mu     sync.Mutex
	fronts map[ident.Incarnation]*front
}

// front holds the forwards of one incarnation.
type front struct {
	entries map[uint64]*forwarded
	// order holds the numbers in the order of their arrival.
	order []uint64
	// forgotten is the highest number that was removed.
	forgotten uint64
	bytes     int
	used      time.Time
}

// forwarded is one forward.
type forwarded struct {
	number uint64
	// done is closed when answer is set.
	done   chan struct{}
	answer work.Answer
}

// begin enters a forward that arrived. first is true for the only arrival that
// may start the request. A nil entry means that the number is forgotten.
func (r *recent) begin(now time.Time, from ident.Incarnation, number uint64) (entry *forwarded, first bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, err := r.front(now, from)
	if err != nil {
		return nil, false, err
	}
	if entry, found := known.entries[number]; found {
		return entry, false, nil
	}
	if number <= known.forgotten {
		return nil, false, nil
	}
	return known.add(number), true, nil
}

// resolve returns the entry of a forward. A forward that was never seen is
// refused for good. A nil entry means that nothing is known.
func (r *recent) resolve(now time.Time, from ident.Incarnation, number uint64, id ident.RequestID) *forwarded {
	entry, first, err := r.begin(now, from, number)
	if err != nil {
		return nil
	}
	if first {
		refusal := fault.New(fault.Resolved, "request %s had not arrived", id)
		r.finish(from, entry, work.Refuse(id, refusal))
	}
	return entry
}

// finish sets the answer of an entry.
func (r *recent) finish(from ident.Incarnation, entry *forwarded, answer work.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry.answer = answer
	close(entry.done)
	known, found := r.fronts[from]
	if !found || known.entries[entry.number] != entry {
		return // It was forgotten while it ran.
	}
	known.bytes += len(answer.Body)
	known.trim()
}

func (r *recent) front(now time.Time, from ident.Incarnation) (*front, error) {
	if known, found := r.fronts[from]; found {
		known.used = now
		return known, nil
	}
	if len(r.fronts) >= maxFronts {
		r.sweep(now)
	}
	if len(r.fronts) >= maxFronts {
		return nil, fault.New(fault.Overloaded, "forwards of %d incarnations are remembered", maxFronts)
	}
	if r.fronts == nil {
		r.fronts = map[ident.Incarnation]*front{}
	}
	added := &front{entries: map[uint64]*forwarded{}, used: now}
	r.fronts[from] = added
	return added, nil
}

func (r *recent) sweep(now time.Time) {
	for id, known := range r.fronts {
		if now.Sub(known.used) > frontLife {
			delete(r.fronts, id)
		}
	}
}

func (f *front) add(number uint64) *forwarded {
	entry := &forwarded{number: number, done: make(chan struct{})}
	f.entries[number] = entry
	f.order = append(f.order, number)
	f.trim()
	return entry
}

// trim forgets the oldest forwards beyond the bounds.
func (f *front) trim() {
	for len(f.order) > maxForwards || f.bytes > maxForwardBytes && len(f.order) > 0 {
		oldest := f.order[0]
		f.order = f.order[1:]
		f.bytes -= f.entries[oldest].size()
		f.forgotten = max(f.forgotten, oldest)
		delete(f.entries, oldest)
	}
}

// size returns the bytes of the answer, or zero while there is none.
func (f *forwarded) size() int {
	select {
	case <-f.done:
		return len(f.answer.Body)
	default:
		return 0
	}
}
