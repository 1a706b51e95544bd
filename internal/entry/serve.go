package entry

import (
	"context"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
	"poplarvalve/internal/version/statebudget"
)

// serve answers a call to the leader of the cell. Status queries are answered from
// the published index of jobs; all other calls are executed by the cell's goroutine.
func (l *leadership) serve(ctx context.Context, call cellcodec.Call) cellcodec.Reply {
	switch call.Operation {
	case cellcodec.OpStatus:
		return l.status(call)
	case cellcodec.OpSubmit:
		if call.Job == nil || call.Terms == nil || !call.ID.Valid() || call.Job.Check() != nil {
			return cellcodec.Reply{Result: cellcodec.Refused}
		}
		if _, known := l.cell.Lookup(call.ID); known {
			return cellcodec.Reply{Result: cellcodec.OK}
		}
		return l.submit(ctx, call)
	case cellcodec.OpCancel:
		return l.applyAndWait(ctx, func(now time.Time, c *cell.Cell, request uint64) (alreadyStored, found bool) {
			return false, c.Cancel(now, request, call.ID)
		})
	case cellcodec.OpPending:
		return l.pending(ctx, call.Queue)
	}
	return cellcodec.Reply{Result: cellcodec.Refused}
}

// submit reserves room for a valid job and passes it to the cell. A refusal is answered with
// NotLeader while a later term may have begun: an earlier attempt may be stored there. The cell
// decides on a refusal for lack of room as well, because only it knows whether the job is a repeat
// of one that is being stored.
func (l *leadership) submit(ctx context.Context, call cellcodec.Call) cellcodec.Reply {
	reservation, noRoom := l.cell.Budget().Reserve(call.Source, call.Cost())
	defer reservation.Release()
	submission := cell.Submission{ID: call.ID, Job: call.Job, Terms: *call.Terms, Source: call.Source, InDoubt: call.InDoubt}
	if noRoom != statebudget.None {
		l.entry.options.Metrics.RoomRefused(noRoom.String())
		submission.Job = nil
	}
	refusal := make(chan cellcodec.Reply, 1)
	reply := l.applyAndWait(ctx, func(now time.Time, c *cell.Cell, request uint64) (alreadyStored, found bool) {
		var result cell.SubmitResult
		if noRoom != statebudget.None {
			result = c.RefuseForRoom(now, request, submission.ID, submission.Terms.Queue, noRoom)
		} else {
			result = c.SubmitJob(now, request, submission)
		}
		switch result {
		case cell.SubmitRefused:
			refusal <- cellcodec.Reply{Result: cellcodec.Refused, RetryAfterMillis: c.RefusalWait(now, submission.ID).Milliseconds()}
		case cell.SubmitTooLarge:
			refusal <- cellcodec.Reply{Result: cellcodec.TooLarge, Limit: c.MaxJobTasks()}
		}
		return result == cell.SubmitStored, result == cell.SubmitStored || result == cell.SubmitPending
	})
	if reply.Result == cellcodec.NotFound {
		return <-refusal
	}
	return reply
}

// status returns the stored state of a job. If the job is not found while a later
// term may have begun, it returns NotLeader instead of NotFound.
func (l *leadership) status(call cellcodec.Call) cellcodec.Reply {
	state, found := l.cell.Lookup(call.ID)
	if found {
		return cellcodec.Reply{Result: cellcodec.OK, State: state}
	}
	if l.sinceRenewal() > election.TermLease {
		return cellcodec.Reply{Result: cellcodec.NotLeader}
	}
	return cellcodec.Reply{Result: cellcodec.NotFound}
}

// applyAndWait calls apply in the cell's goroutine and waits until its effect is
// stored. It refuses the call while appends to the log are stalled. If apply does not
// find the job, the result is NotFound, or NotLeader while a later term may have begun.
// It is InDoubt if the term or ctx ends first.
func (l *leadership) applyAndWait(ctx context.Context, apply func(now time.Time, c *cell.Cell, request uint64) (alreadyStored, found bool)) cellcodec.Reply {
	if l.writer.stalled() {
		return cellcodec.Reply{Result: cellcodec.Refused}
	}
	request := l.lastRequest.Add(1)
	stored := make(chan struct{})
	notFound := make(chan struct{})
	l.waitingRequests.Store(request, stored)
	defer l.waitingRequests.Delete(request)
	l.post(func(now time.Time, c *cell.Cell) {
		alreadyStored, found := apply(now, c, request)
		switch {
		case !found:
			close(notFound)
		case alreadyStored:
			l.completeRequest(request)
		}
	})
	select {
	case <-stored:
		return cellcodec.Reply{Result: cellcodec.OK}
	case <-notFound:
		if l.sinceRenewal() > election.TermLease {
			return cellcodec.Reply{Result: cellcodec.NotLeader}
		}
		return cellcodec.Reply{Result: cellcodec.NotFound}
	case <-l.ended:
	case <-ctx.Done():
	}
	return cellcodec.Reply{Result: cellcodec.InDoubt}
}

// completeRequest tells a waiting request that its effect is stored.
func (l *leadership) completeRequest(request uint64) {
	if stored, waiting := l.waitingRequests.LoadAndDelete(request); waiting {
		close(stored.(chan struct{}))
	}
}

// pending returns the number of accepted jobs of a queue of which no task has
// started.
func (l *leadership) pending(ctx context.Context, queue string) cellcodec.Reply {
	count := make(chan int, 1)
	l.post(func(_ time.Time, c *cell.Cell) { count <- c.PendingJobs(queue) })
	select {
	case pending := <-count:
		return cellcodec.Reply{Result: cellcodec.OK, Pending: pending}
	case <-l.ended:
	case <-ctx.Done():
	}
	return cellcodec.Reply{Result: cellcodec.InDoubt}
}

// dump returns the state of the cell for operators, or nil if the term has ended.
func (l *leadership) dump() any {
	result := make(chan any, 1)
	l.post(func(now time.Time, c *cell.Cell) {
		state := c.Dump(now)
		state["job_room"] = c.Budget().State()
		state["lease_authority"] = l.leaseAuthority()
		state["voters"] = l.confirmation.quorum.Load().Stored
		result <- state
	})
	select {
	case state := <-result:
		return state
	case <-l.ended:
		return nil
	}
}
