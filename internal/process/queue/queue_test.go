package queue_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/ledger"
	"poplarvalve/internal/process/queue"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

var start = time.Unix(1000, 0)

func item(class work.Class, cpu int64, since int) queue.Item {
	at := start.Add(time.Duration(since) * time.Second)
	return queue.Item{WaiterKind: queue.WaiterKind{Class: class, Demand: resource.Vector{CPU: cpu}}, Since: at, Due: at}
}

var oldestFirst = queue.Order{Less: func(a, b queue.Item) bool { return a.Since.Before(b.Since) }}

func offerOf(name ident.WorkerID, account *ledger.Account) queue.Offer {
	return queue.Offer{Worker: name, Capacity: account.Capacity(), Reserve: account.Reserve}
}

func join(t *testing.T, q *queue.Queue, waiting queue.Item) *queue.Waiter {
	t.Helper()
	waiter, err := q.Join(waiting)
	assert.NilError(t, err)
	return waiter
}

// A waiter that does not fit must not block a smaller one that does. The queue
// must refuse waiters beyond its limit, and a waiter that left or whose context
// was canceled must not be granted.
func TestGrantSkipsWaitersThatDoNotFit(t *testing.T) {
	q := queue.New(3)
	large, first, second := join(t, q, item(work.Batch, 8, 0)), join(t, q, item(work.Batch, 2, 2)), join(t, q, item(work.Batch, 2, 1))
	_, err := q.Join(item(work.Urgent, 1, 4))
	assert.Equal(t, fault.KindOf(err), fault.Overloaded)
	assert.Assert(t, second.Leave() && !second.Leave())
	account := ledger.NewAccount(resource.Vector{CPU: 4})
	assert.Assert(t, q.Grant(offerOf("w", account), oldestFirst))
	assert.Assert(t, !q.Grant(offerOf("w", account), oldestFirst))
	worker, err := first.Wait(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, worker, ident.WorkerID("w"))
	canceledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = large.Wait(canceledCtx)
	assert.Equal(t, fault.From(err).Outcome, fault.NotRun)
	assert.Equal(t, q.Len(), 0)
	assert.Equal(t, account.Used().CPU, int64(2))
}

// Without a held worker, small work would use up all freed capacity and
// overtake a large waiter forever. The large waiter must hold only one worker,
// though, and urgent work may still use that one.
func TestWorkerIsHeldForLargeWaiter(t *testing.T) {
	q := queue.New(10)
	order := oldestFirst
	order.HoldsWorker = func(waiting queue.Item) bool { return waiting.Demand.CPU == 4 }
	large := join(t, q, item(work.Batch, 4, 0))
	join(t, q, item(work.Batch, 1, 1))
	join(t, q, item(work.Batch, 1, 2))
	held, other := ledger.NewAccount(resource.Vector{CPU: 4}), ledger.NewAccount(resource.Vector{CPU: 4})
	held.AddRunning(resource.Vector{CPU: 3})
	other.AddRunning(resource.Vector{CPU: 3})
	assert.Assert(t, !q.Grant(offerOf("held", held), order), "small work was granted the worker that is held for large work")
	assert.Assert(t, q.Grant(offerOf("other", other), order), "a second worker is held for the same waiter")
	join(t, q, item(work.Urgent, 1, 3))
	assert.Assert(t, q.Grant(offerOf("held", held), order), "urgent work was not granted the held worker")
	held.Release(resource.Vector{CPU: 4})
	assert.Assert(t, q.Grant(offerOf("held", held), order))
	worker, err := large.Wait(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, worker, ident.WorkerID("held"))
}

// When cancellations race with grants, each reservation must reach its waiter,
// and none may be made for a waiter that has left. Otherwise capacity stays
// reserved although nobody uses it.
func TestNoReservationIsLostWhenCancelRacesWithGrant(t *testing.T) {
	q := queue.New(1000)
	account := ledger.NewAccount(resource.Vector{CPU: 1000})
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for i := range 500 {
		waiter := join(t, q, item(work.Urgent, 1, i))
		group.Go(func() {
			if _, err := waiter.Wait(ctx); err == nil {
				account.Release(resource.Vector{CPU: 1})
			}
		})
	}
	group.Go(cancel)
	for q.Grant(offerOf("w", account), oldestFirst) {
	}
	group.Wait()
	assert.Equal(t, q.Len(), 0)
	assert.Equal(t, account.Used().CPU, int64(0))
}
