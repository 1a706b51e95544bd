package entry

import (
	"context"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
)

// serve answers a call to the leader. Questions about a state are answered
// from the published index; everything else goes through the cell's goroutine.
func (l *leadership) serve(ctx context.Context, call cellcodec.Call) cellcodec.Reply {
	switch call.Operation {
	case cellcodec.OpStatus:
		return l.status(call)
	case cellcodec.OpSubmit:
		if call.Job == nil || call.Terms == nil {
			return cellcodec.Reply{Result: cellcodec.Refused}
		}
		if _, known := l.cell.Lookup(call.ID); known {
			return cellcodec.Reply{Result: cellcodec.OK}
		}
		return l.change(ctx, func(now time.Time, c *cell.Cell, request uint64) (done, found bool) {
			return c.Submit(now, request, call.ID, call.Job, *call.Terms) == cell.SubmitStored, true
		})
	case cellcodec.OpCancel:
		return l.change(ctx, func(now time.Time, c *cell.Cell, request uint64) (done, found bool) {
			return false, c.Cancel(now, request, call.ID)
		})
	case cellcodec.OpPending:
		return l.pending(ctx, call.Queue)
	}
	return cellcodec.Reply{Result: cellcodec.Refused}
}

// status answers from what is stored. While a later term may have begun, it
// doesn't say that there is no such job.
func (l *leadership) status(call cellcodec.Call) cellcodec.Reply {
	state, found := l.cell.Lookup(call.ID)
	if found {
		return cellcodec.Reply{Result: cellcodec.OK, State: state}
	}
	if l.sinceRenewal() > election.TermLease {
		return cellcodec.Reply{Result: cellcodec.NotLeader}
	}
	return cellcodec.Reply{Result: cellcodec.Absent}
}

// change runs do in the cell's goroutine and waits until its effect is stored.
func (l *leadership) change(ctx context.Context, do func(now time.Time, c *cell.Cell, request uint64) (done, found bool)) cellcodec.Reply {
	if l.writer.stalled() {
		return cellcodec.Reply{Result: cellcodec.Refused}
	}
	request := l.requests.Add(1)
	stored := make(chan struct{})
	absent := make(chan struct{})
	l.waiting.Store(request, stored)
	defer l.waiting.Delete(request)
	l.post(func(now time.Time, c *cell.Cell) {
		done, found := do(now, c, request)
		switch {
		case !found:
			close(absent)
		case done:
			l.answer(request)
		}
	})
	select {
	case <-stored:
		return cellcodec.Reply{Result: cellcodec.OK}
	case <-absent:
		if l.sinceRenewal() > election.TermLease {
			return cellcodec.Reply{Result: cellcodec.NotLeader}
		}
		return cellcodec.Reply{Result: cellcodec.Absent}
	case <-l.over:
	case <-ctx.Done():
	}
	return cellcodec.Reply{Result: cellcodec.Unproven}
}

func (l *leadership) answer(request uint64) {
	if stored, waits := l.waiting.LoadAndDelete(request); waits {
		close(stored.(chan struct{}))
	}
}

func (l *leadership) pending(ctx context.Context, queue string) cellcodec.Reply {
	count := make(chan int, 1)
	l.post(func(_ time.Time, c *cell.Cell) { count <- c.Pending(queue) })
	select {
	case pending := <-count:
		return cellcodec.Reply{Result: cellcodec.OK, Pending: pending}
	case <-l.over:
	case <-ctx.Done():
	}
	return cellcodec.Reply{Result: cellcodec.Unproven}
}

// dump returns the state of the cell for operators.
func (l *leadership) dump() any {
	result := make(chan any, 1)
	l.post(func(now time.Time, c *cell.Cell) { result <- c.Dump(now) })
	select {
	case state := <-result:
		return state
	case <-l.over:
		return nil
	}
}
