// Package queue holds the starts that wait for capacity at the owner of their
// workers.
//
// A waiter gets at most one grant, and a grant is never lost: whoever waits
// either receives it or has left before. The number of waiters is bounded. The
// owner calls Join when no reservation succeeds and Grant when capacity was
// freed.
package queue

import (
	"cmp"
	"container/heap"
	"context"
	"slices"
	"sync"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

// Kind is what waiters must have in common to wait in one line. The first of a
// line decides for all of it whether they fit.
type Kind struct {
	Class  work.Class
	Team   ident.TeamName
	Demand resource.Vector
}

// Item is one start that waits.
type Item struct {
	Kind
	// Since is when the wait began.
	Since time.Time
	// Due orders a line: the deadline of urgent work, and Since of other work.
	Due time.Time
}

// Waiter is the place of one start in the queue.
type Waiter struct {
	queue *Queue
	item  Item
	// granted has room for one grant, so that Grant never blocks.
	granted chan ident.WorkerID
	// number counts the waiters in the order in which they joined.
	number uint64
	// at is the position in the line, or notWaiting.
	at int
	// claim is the worker that is held for this waiter, or empty.
	claim ident.WorkerID
}

const notWaiting = -1

// Offer is freed capacity of one worker.
type Offer struct {
	Worker   ident.WorkerID
	Capacity resource.Vector
	// Fits reports whether Reserve may succeed. It is asked first, since Allowed
	// may take longer; nil means that it always may.
	Fits func(demand resource.Vector) bool
	// Reserve takes a demand if it fits. It must not block.
	Reserve func(demand resource.Vector) bool
}

// Order decides between waiters. Its functions must not block.
type Order struct {
	// Before reports whether a is granted before b.
	Before func(a, b Item) bool
	// Allowed reports whether the rules let an item have the offer now; nil
	// means always.
	Allowed func(item Item) bool
	// Holds reports whether an item that doesn't fit holds one worker until it
	// does, so that smaller work can't pass it for ever.
	Holds func(item Item) bool
}

// Queue is a bounded set of waiters.
type Queue struct {
	limit int

	// mu protects what follows and is never held across I/O or a wait.
	mu     sync.Mutex
	lines  map[Kind]*line
	claims map[ident.WorkerID]*Waiter
	count  int
	joined uint64
	heads  []*Waiter
}

// New returns an empty queue for at most limit waiters.
func New(limit int) *Queue {
	return &Queue{
		limit:  limit,
		lines:  map[Kind]*line{},
		claims: map[ident.WorkerID]*Waiter{},
	}
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.count
}

// Join adds a waiter, or fails with Overloaded.
func (q *Queue) Join(item Item) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.count >= q.limit {
		return nil, fault.New(fault.Overloaded, "%d starts wait", q.limit)
	}
	q.joined++
	waiter := &Waiter{queue: q, item: item, number: q.joined, granted: make(chan ident.WorkerID, 1)}
	of := q.lines[item.Kind]
	if of == nil {
		of = &line{}
		q.lines[item.Kind] = of
	}
	heap.Push(of, waiter)
	q.count++
	return waiter, nil
}

// Grant gives an offer to the first waiter that fits and is allowed, and
// reports whether there was one. The waiter then holds the reservation. The
// caller repeats Grant until it reports false.
func (q *Queue) Grant(offer Offer, order Order) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, waiter := range q.inOrder(order) {
		if q.heldFromOther(offer, waiter) {
			continue
		}
		fits := offer.Fits == nil || offer.Fits(waiter.item.Demand)
		if fits && !allowed(order, waiter) {
			continue
		}
		if fits && offer.Reserve(waiter.item.Demand) {
			q.remove(waiter)
			waiter.granted <- offer.Worker
			return true
		}
		q.hold(offer, order, waiter)
	}
	return false
}

func allowed(order Order, waiter *Waiter) bool {
	return order.Allowed == nil || order.Allowed(waiter.item)
}

// inOrder returns the first waiter of each line. Waiters that Before doesn't
// separate are in the order in which they joined.
func (q *Queue) inOrder(order Order) []*Waiter {
	q.heads = q.heads[:0]
	for _, of := range q.lines {
		q.heads = append(q.heads, (*of)[0])
	}
	slices.SortFunc(q.heads, func(a, b *Waiter) int {
		switch {
		case order.Before(a.item, b.item):
			return -1
		case order.Before(b.item, a.item):
			return 1
		default:
			return cmp.Compare(a.number, b.number)
		}
	})
	return q.heads
}

// heldFromOther reports whether the worker is held for another waiter. Urgent
// work passes, since it ends within seconds.
func (q *Queue) heldFromOther(offer Offer, waiter *Waiter) bool {
	holder := q.claims[offer.Worker]
	return holder != nil && holder != waiter && waiter.item.Class != work.Urgent
}

// hold keeps a worker for a waiter that would fit when the worker is empty. A
// waiter holds one worker at most.
func (q *Queue) hold(offer Offer, order Order, waiter *Waiter) {
	if order.Holds == nil || !order.Holds(waiter.item) {
		return
	}
	taken := q.claims[offer.Worker] != nil
	if taken || waiter.claim != "" || !waiter.item.Demand.Fits(offer.Capacity) {
		return
	}
	waiter.claim = offer.Worker
	q.claims[offer.Worker] = waiter
}

// Forget drops a claim on a worker that is no longer owned or takes no work.
func (q *Queue) Forget(worker ident.WorkerID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if holder := q.claims[worker]; holder != nil {
		holder.claim = ""
		delete(q.claims, worker)
	}
}

func (q *Queue) remove(waiter *Waiter) {
	of := q.lines[waiter.item.Kind]
	heap.Remove(of, waiter.at)
	if of.Len() == 0 {
		delete(q.lines, waiter.item.Kind)
	}
	if waiter.claim != "" {
		delete(q.claims, waiter.claim)
	}
	waiter.at = notWaiting
	q.count--
}

// Wait returns the worker on which the demand is reserved. If ctx ends first,
// the waiter leaves at once and nothing is reserved for it; a grant that was
// made before that is returned all the same, and the caller releases it.
func (w *Waiter) Wait(ctx context.Context) (ident.WorkerID, error) {
	select {
	case worker := <-w.granted:
		return worker, nil
	case <-ctx.Done():
	}
	if w.Leave() {
		return "", fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "while waiting for capacity").WithOutcome(fault.NotRun)
	}
	return <-w.granted, nil
}

// Granted returns the channel on which the worker arrives, for callers that wait
// for other things as well. They call Leave when they stop waiting.
func (w *Waiter) Granted() <-chan ident.WorkerID {
	return w.granted
}

// Leave takes the waiter out of the queue. It reports false if the waiter was
// granted before.
func (w *Waiter) Leave() bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	if w.at == notWaiting {
		return false
	}
	w.queue.remove(w)
	return true
}

// line is a heap of waiters of one kind by Due.
type line []*Waiter

// Len implements heap.Interface.
func (l line) Len() int { return len(l) }

// Less implements heap.Interface.
func (l line) Less(i, j int) bool {
	if !l[i].item.Due.Equal(l[j].item.Due) {
		return l[i].item.Due.Before(l[j].item.Due)
	}
	return l[i].number < l[j].number
}

// Swap implements heap.Interface.
func (l line) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].at = i
	l[j].at = j
}

// Push implements heap.Interface.
func (l *line) Push(waiter any) {
	added := waiter.(*Waiter)
	added.at = len(*l)
	*l = append(*l, added)
}

// Pop implements heap.Interface.
func (l *line) Pop() any {
	last := len(*l) - 1
	waiter := (*l)[last]
	(*l)[last] = nil
	*l = (*l)[:last]
	return waiter
}
