package entry

import (
	"context"
	"errors"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/term"
	"poplarvalve/internal/process/store"
)

// errTermOver ends a leadership whose term another instance has replaced.
var errTermOver = errors.New("a later term has begun")

func (l *leadership) sinceRenewal() time.Duration {
	return time.Since(l.began) - time.Duration(l.renewed.Load())
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
		case <-ctx.Done():
			l.release(held)
			return
		}
		sent := time.Since(l.began)
		held.Largest = max(l.entry.options.CPUShare, l.entry.leaders.largest())
		next, err := l.renewOnce(ctx, held)
		if err == nil {
			held = next
			l.recordEnd.Store(held.End)
			l.renewed.Store(int64(sent))
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
		}
	}
}

// release tells the log that the term was given up.
func (l *leadership) release(held term.Term) {
	if why := l.reason(); !errors.Is(why, errDraining) && !errors.Is(why, errIsolated) && !errors.Is(why, errOutsized) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := term.Release(ctx, l.entry.options.Log, held); err != nil {
		l.entry.options.Journal.Retry("release of "+cellName(held.Cell), err)
	}
}

func (l *leadership) renewOnce(ctx context.Context, held term.Term) (term.Term, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next, err := term.Renew(call, l.entry.options.Log, held)
	if err == nil || store.ReasonOf(err) != store.Moved {
		return next, err
	}
	current, _, err := l.entry.readTerm(ctx, held.Cell)
	if err != nil {
		return held, err
	}
	if current.Epoch != held.Epoch {
		return held, errTermOver
	}
	held.End = current.End
	return held, nil
}
