package entry

import (
	"context"
	"errors"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/term"
	"poplarvalve/internal/process/boottime"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/election"
)

// errTermOver ends a leadership whose term another instance has replaced.
var errTermOver = errors.New("a later term has begun")

// sinceRenewal returns how long ago the newest claim or renewal was sent,
// suspensions of the machine included.
func (l *leadership) sinceRenewal() time.Duration { return l.renewed.Load().Since() }

// suspensionTolerance covers the difference between two readings of the clocks.
const suspensionTolerance = 100 * time.Millisecond

// Authorized implements workerlink.Sink. A leader that was suspended may have
// been replaced, and workers that the next leader didn't reach would still obey
// it: it sends nothing before a renewal has shown that its term goes on.
func (l *leadership) Authorized() bool {
	return l.renewed.Load().Suspended() < suspensionTolerance
}

func (l *leadership) askToRenew() {
	select {
	case l.renewSoon <- struct{}{}:
	default:
	}
}

// giveUp releases the term, so that another instance leads at once. Requests
// that wait are repeated at the next leader.
func (l *leadership) giveUp(why error) {
	l.entry.leaders.setLed(l.term.Cell, nil)
	l.entry.leaders.learn(cellcodec.Leader{Cell: l.term.Cell, Epoch: l.term.Epoch})
	l.lose(why)
}

// renew keeps the term, and ends the leadership when another one has begun.
func (l *leadership) renew(ctx context.Context) {
	ticker := time.NewTicker(renewPeriod)
	defer ticker.Stop()
	held := l.term
	for {
		select {
		case <-ticker.C:
		case <-l.renewSoon:
		case <-l.entry.draining:
			l.handOver(ctx, held)
			return
		case <-ctx.Done():
			l.release(held)
			return
		}
		sent := boottime.Now()
		held.Largest = max(l.entry.options.CPUShare, l.entry.leaders.largest())
		next, err := l.renewOnce(ctx, held)
		if err == nil {
			held = next
			l.recordEnd.Store(held.End)
			l.renewed.Store(&sent)
			// Others tell a leader that has ended from one that renews by
			// whether they know its newest record.
			l.entry.leaders.tell()
			continue
		}
		if errors.Is(err, errTermOver) {
			l.lose(err)
			return
		}
		if ctx.Err() == nil {
			l.entry.options.Journal.Retry("renewal of "+cellName(held.Cell), err)
			time.AfterFunc(renewRetry, l.askToRenew)
		}
	}
}

// handOver gives the term up once the log has taken that down. While it doesn't,
// nobody else could claim the cell, and what runs would lapse.
func (l *leadership) handOver(ctx context.Context, held election.Term) {
	for ctx.Err() == nil {
		next, err := l.releaseOnce(ctx, held)
		switch {
		case err == nil:
			l.giveUp(errDraining)
			return
		case errors.Is(err, errTermOver):
			l.lose(err)
			return
		}
		held = next
		if ctx.Err() == nil {
			l.entry.options.Journal.Retry("release of "+cellName(held.Cell), err)
		}
		sleep(ctx, electionPause)
	}
}

// releaseOnce tries to release the term. With an error it returns the term as it
// stands.
func (l *leadership) releaseOnce(ctx context.Context, held election.Term) (election.Term, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := term.Release(call, l.entry.options.Log, held)
	if err == nil || store.ReasonOf(err) != store.Moved {
		return held, err
	}
	current, failed := l.current(ctx, held)
	if failed == nil && current.Released {
		return current, nil // An earlier release without a reply.
	}
	return current, errors.Join(err, failed)
}

// current returns the held term as the log has it, or errTermOver.
func (l *leadership) current(ctx context.Context, held election.Term) (election.Term, error) {
	current, _, err := l.entry.readTerm(ctx, held.Cell)
	if err != nil {
		return held, err
	}
	if current.Epoch != held.Epoch {
		return held, errTermOver
	}
	return current, nil
}

// release tells the log that a term was given up that another instance should
// lead.
func (l *leadership) release(held election.Term) {
	if why := l.reason(); !errors.Is(why, errIsolated) && !errors.Is(why, errOutsized) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if _, err := l.releaseOnce(ctx, held); err != nil {
		l.entry.options.Journal.Retry("release of "+cellName(held.Cell), err)
	}
}

func (l *leadership) renewOnce(ctx context.Context, held election.Term) (election.Term, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next, err := term.Renew(call, l.entry.options.Log, held)
	if err == nil || store.ReasonOf(err) != store.Moved {
		return next, err
	}
	return l.current(ctx, held)
}
