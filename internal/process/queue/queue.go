// Package queue implements the bounded queue of starts that wait for capacity
// on the workers of one owner.
//
// The owner calls Join when no reservation succeeds, and Grant when capacity
// has been freed. A waiter gets at most one grant, and no grant is lost: the
// waiter either receives it or has left the queue before.
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

// WaiterKind holds the properties that decide whether a waiter can be granted.
// Waiters of the same kind are ordered by Item.Due. Only the first of them is
// considered for a grant: if it does not fit, the others do not fit either.
type WaiterKind struct {
	Class  work.Class
	Team   ident.TeamName
	Demand resource.Vector
}

// Item describes a start that waits for capacity.
type Item struct {
	WaiterKind
	// Since is the time at which the wait began.
	Since time.Time
	// Due orders the waiters of one kind, earliest first. It is the deadline of
	// urgent work, and equal to Since for other work.
	Due time.Time
}

// Waiter stands for one start that waits in the queue.
type Waiter struct {
	queue *Queue
	item  Item
	// granted is a channel with a buffer for one grant, so that Grant never
	// blocks.
	granted chan ident.WorkerID
	// number is the position of the waiter in the order in which all waiters
	// joined the queue, starting at 1.
	number uint64
	// index is the position in the heap of the waiter's kind, or notQueued.
	index int
	// heldWorker is the worker that is held for this waiter, or empty.
	heldWorker ident.WorkerID
}

// notQueued is the index of a waiter that was granted or has left.
const notQueued = -1

// Offer describes a worker with freed capacity.
type Offer struct {
	Worker ident.WorkerID
	// Capacity is the total capacity of the worker.
	Capacity resource.Vector
	// Fits reports whether Reserve may succeed. It is called before
	// Order.Allowed, which may take longer. Nil means that Reserve may always
	// succeed.
	Fits func(demand resource.Vector) bool
	// Reserve reserves a demand if it fits, and reports whether it did. It must
	// not block.
	Reserve func(demand resource.Vector) bool
}

// Order decides which waiter gets an offer. Its functions must not block.
type Order struct {
	// Less reports whether a must be considered before b.
	Less func(a, b Item) bool
	// Allowed reports whether the rules allow the item to get the offer now.
	// Nil means that they always do.
	Allowed func(item Item) bool
	// HoldsWorker reports whether one worker is held for an item that does not fit
	// until it fits. Otherwise smaller work could overtake the item forever.
	// Nil means that no worker is held.
	HoldsWorker func(item Item) bool
}

// Queue is a bounded queue of waiters. It is safe for concurrent use.
type Queue struct {
	// limit is the maximum number of waiters.
	limit int

	// mu protects the fields below. It is never held during I/O or a wait.
	mu        sync.Mutex
	heaps     map[WaiterKind]*waiterHeap
	holders   map[ident.WorkerID]*Waiter
	count     int
	joinCount uint64
	// heads is the result of orderedHeads, kept so that its memory is reused.
	heads []*Waiter
}

// New returns an empty queue that accepts at most limit waiters at a time.
func New(limit int) *Queue {
	return &Queue{
		limit:   limit,
		heaps:   map[WaiterKind]*waiterHeap{},
		holders: map[ident.WorkerID]*Waiter{},
	}
}

// Len returns the number of waiters.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.count
}

// Join adds a waiter for the item. It fails with Overloaded if the queue is
// full.
func (q *Queue) Join(item Item) (*Waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.count >= q.limit {
		return nil, fault.New(fault.Overloaded, "the queue is full: %d starts already wait for capacity", q.limit)
	}
	q.joinCount++
	waiter := &Waiter{queue: q, item: item, number: q.joinCount, granted: make(chan ident.WorkerID, 1)}
	kindHeap := q.heaps[item.WaiterKind]
	if kindHeap == nil {
		kindHeap = &waiterHeap{}
		q.heaps[item.WaiterKind] = kindHeap
	}
	heap.Push(kindHeap, waiter)
	q.count++
	return waiter, nil
}

// Grant gives the offer to the first waiter in order whose demand fits and
// which is allowed to have it, and reports whether there was one. The
// reservation then belongs to the waiter. The caller must repeat Grant until it
// reports false, since the worker may have capacity for more waiters.
func (q *Queue) Grant(offer Offer, order Order) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, waiter := range q.orderedHeads(order) {
		if q.heldForOther(offer, waiter) {
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
		q.holdWorker(offer, order, waiter)
	}
	return false
}

func allowed(order Order, waiter *Waiter) bool {
	return order.Allowed == nil || order.Allowed(waiter.item)
}

// orderedHeads returns the first waiter of each kind, ordered by order.Less.
// Waiters of which neither is before the other are in the order in which they
// joined.
func (q *Queue) orderedHeads(order Order) []*Waiter {
	q.heads = q.heads[:0]
	for _, kindHeap := range q.heaps {
		q.heads = append(q.heads, (*kindHeap)[0])
	}
	slices.SortFunc(q.heads, func(a, b *Waiter) int {
		switch {
		case order.Less(a.item, b.item):
			return -1
		case order.Less(b.item, a.item):
			return 1
		default:
			return cmp.Compare(a.number, b.number)
		}
	})
	return q.heads
}

// heldForOther reports whether the worker is held for another waiter, so that
// this one may not use it. Urgent work may use a held worker, because it ends
// within seconds.
func (q *Queue) heldForOther(offer Offer, waiter *Waiter) bool {
	holder := q.holders[offer.Worker]
	return holder != nil && holder != waiter && waiter.item.Class != work.Urgent
}

// holdWorker holds the worker for a waiter that does not fit now but would fit
// if the worker were empty. At most one worker is held for a waiter.
func (q *Queue) holdWorker(offer Offer, order Order, waiter *Waiter) {
	if order.HoldsWorker == nil || !order.HoldsWorker(waiter.item) {
		return
	}
	isHeld := q.holders[offer.Worker] != nil
	if isHeld || waiter.heldWorker != "" || !waiter.item.Demand.Fits(offer.Capacity) {
		return
	}
	waiter.heldWorker = offer.Worker
	q.holders[offer.Worker] = waiter
}

// ReleaseHold ends the hold on a worker that is no longer owned or accepts no
// more work.
func (q *Queue) ReleaseHold(worker ident.WorkerID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if holder := q.holders[worker]; holder != nil {
		holder.heldWorker = ""
		delete(q.holders, worker)
	}
}

func (q *Queue) remove(waiter *Waiter) {
	kindHeap := q.heaps[waiter.item.WaiterKind]
	heap.Remove(kindHeap, waiter.index)
	if kindHeap.Len() == 0 {
		delete(q.heaps, waiter.item.WaiterKind)
	}
	if waiter.heldWorker != "" {
		delete(q.holders, waiter.heldWorker)
	}
	waiter.index = notQueued
	q.count--
}

// Wait waits for a grant and returns the worker on which the demand is
// reserved. If ctx ends first, the waiter leaves the queue, nothing is reserved
// for it, and the error is DeadlineExceeded with outcome NotRun. If the waiter
// was granted just before ctx ended, Wait returns the worker without an error,
// and the caller must release the reservation.
func (w *Waiter) Wait(ctx context.Context) (ident.WorkerID, error) {
	select {
	case worker := <-w.granted:
		return worker, nil
	case <-ctx.Done():
	}
	if w.Leave() {
		return "", fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "the wait for capacity ended before a worker was available").WithOutcome(fault.NotRun)
	}
	return <-w.granted, nil
}

// Granted returns the channel on which the granted worker is sent. It is meant
// for callers that also wait for other events. They must call Leave when they
// stop waiting.
func (w *Waiter) Granted() <-chan ident.WorkerID {
	return w.granted
}

// Leave removes the waiter from the queue. It returns false if the waiter is no
// longer in the queue, because it was granted or has left before.
func (w *Waiter) Leave() bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	if w.index == notQueued {
		return false
	}
	w.queue.remove(w)
	return true
}

// waiterHeap is a heap of the waiters of one kind, ordered by Due and then by
// the order in which they joined.
type waiterHeap []*Waiter

// Len implements heap.Interface.
func (h waiterHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h waiterHeap) Less(i, j int) bool {
	if !h[i].item.Due.Equal(h[j].item.Due) {
		return h[i].item.Due.Before(h[j].item.Due)
	}
	return h[i].number < h[j].number
}

// Swap implements heap.Interface.
func (h waiterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *waiterHeap) Push(waiter any) {
	added := waiter.(*Waiter)
	added.index = len(*h)
	*h = append(*h, added)
}

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	last := len(*h) - 1
	waiter := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return waiter
}
