package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"syscall"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/celllink"
	"poplarvalve/internal/connection/term"
	"poplarvalve/internal/process/boottime"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/election"
)

const (
	// isolationPause is how long an instance that no other reaches leaves the
	// lead to others.
	isolationPause = 2 * time.Second
	// renewPeriod allows two renewals to fail, renewRetry is the pause after one
	// that did.
	renewPeriod = 500 * time.Millisecond
	renewRetry  = 100 * time.Millisecond
	// startAuthority is how long after its last renewal a leader that can't
	// reach the log goes on to start tasks.
	startAuthority = 4 * time.Second
	// callTimeout bounds one call to the log.
	callTimeout = 800 * time.Millisecond
	// electionPause is the pause before a claim or a release is tried again.
	electionPause = 150 * time.Millisecond
	// claimSpread spreads the claims of several instances that are alike.
	claimSpread = 40 * time.Millisecond
	// contentionTime is how long a claim that was begun counts as a cell that is
	// led.
	contentionTime = 150 * time.Millisecond
)

func cellName(number int) string { return "cell-" + strconv.Itoa(number) }

// followCell keeps a link to the leader of a cell, and leads it when there is
// none.
func (e *Entry) followCell(ctx context.Context, number int) {
	var seen election.Observation
	var looks looks
	for ctx.Err() == nil {
		if e.leaders.isolated() {
			// Another instance that the others reach has to lead.
			sleep(ctx, isolationPause)
			e.leaders.rejoin()
		}
		leader := e.leaders.table.Load().byCell[number]
		holder := e.watch(ctx, leader, number)
		if ctx.Err() != nil {
			return
		}
		acted, err := e.stand(ctx, number, leader.Epoch, holder, &seen)
		if err != nil {
			e.options.Journal.Retry("term of "+cellName(number), err)
		}
		if !acted || err != nil {
			looks.pause(ctx, err)
		}
	}
}

// looks counts the looks in a row that the log refused to limit their rate.
type looks struct{ limited int }

// pause waits until the next look is due.
func (l *looks) pause(ctx context.Context, err error) {
	if err != nil && store.ReasonOf(err) == store.RateLimited {
		l.limited++
	} else {
		l.limited = 0
	}
	sleep(ctx, election.LookPause(l.limited, rand.Float64()))
}

// watch returns what is known against a leader, once there is something or its
// link is lost. The zero Leader is not known.
func (e *Entry) watch(ctx context.Context, leader cellcodec.Leader, number int) election.Standing {
	switch {
	case leader.Epoch == 0 || leader.Nonce == e.options.Self.Nonce && leader.Address != "":
		return election.Sound
	case leader.Address == "":
		return election.Ended // It gave its term up.
	}
	return e.keepLink(ctx, leader, number)
}

// stand claims the cell if the term in the log is vacant, and leads it. holder is
// what is known against the leader of epoch. It returns whether something was
// learned or tried.
func (e *Entry) stand(ctx context.Context, number int, epoch int64, holder election.Standing, seen *election.Observation) (acted bool, err error) {
	current, trip, err := e.readTerm(ctx, number)
	if err != nil {
		return false, err
	}
	if current.Epoch > 0 && !current.Released && current.Epoch > e.leaders.epoch(number) {
		e.leaders.learnTerm(current)
		*seen = election.Observation{}
		return true, nil
	}
	shown, found := e.leaders.renewed(number, current.Epoch)
	if found && shown.End == current.End {
		*seen = election.Observation{End: current.End, First: shown.At}
	}
	now := time.Now()
	holder = holder.Confirmed(now, epoch, current, shown, found)
	why := seen.Vacant(now, current, holder, e.options.Self)
	if why == election.Occupied {
		return false, nil
	}
	e.options.Journal.Claiming(number, current.Epoch, string(why), now.Sub(seen.First))
	return true, e.contend(ctx, current, trip)
}

func (e *Entry) readTerm(ctx context.Context, number int) (election.Term, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	current, err := term.Read(ctx, e.options.Log, number)
	return current, time.Since(began), err
}

// keepLink keeps a link to a leader until it is lost, a later term is known or
// the leader can't renew its term.
func (e *Entry) keepLink(ctx context.Context, leader cellcodec.Leader, number int) election.Standing {
	link, err := e.leaders.dial(ctx, leader.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return election.Ended
	case err != nil:
		return election.Sound
	}
	ticker := time.NewTicker(celllink.PulsePeriod)
	defer ticker.Stop()
	for {
		changed := e.leaders.Changed()
		known := e.leaders.table.Load().byCell[number]
		if known.Epoch != leader.Epoch {
			return election.Sound
		}
		if known.Address == "" {
			return election.Ended
		}
		if other := link.Nonce(); other != 0 && other != leader.Nonce {
			return election.Ended
		}
		if shown, found := e.leaders.renewed(number, leader.Epoch); found && shown.Stalled(time.Now()) {
			return election.Stalled
		}
		select {
		case <-link.Done():
			return election.Sound
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return election.Sound
		}
	}
}

// contend claims a cell and leads it until the term is lost. The error is that
// of the claim.
func (e *Entry) contend(ctx context.Context, seen election.Term, trip time.Duration) error {
	select {
	case <-e.draining:
		sleep(ctx, electionPause)
		return nil
	case <-time.After(e.claimDelay(seen, trip)):
	case <-ctx.Done():
		return nil
	}
	claimed := boottime.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	held, err := term.Claim(call, e.options.Log, seen, e.options.Self)
	cancel()
	if err != nil && store.ReasonOf(err) != store.RateLimited {
		held, err = e.claimed(ctx, seen)
	}
	if err != nil {
		return fmt.Errorf("claiming the cell: %w", err)
	}
	if held.Epoch > 0 { // Else another instance won.
		e.lead(ctx, held, claimed)
	}
	return nil
}

// claimDelay lets instances claim first that are near the log, large and lead
// few cells.
func (e *Entry) claimDelay(seen election.Term, trip time.Duration) time.Duration {
	table := e.leaders.table.Load()
	chosen := int(e.options.Self.Nonce%uint64(max(1, table.cells))) == seen.Cell
	led := len(table.led)
	if !chosen {
		led += int(e.contending.Load())
	}
	e.contending.Add(1)
	time.AfterFunc(contentionTime, func() { e.contending.Add(-1) })
	candidate := election.Candidate{
		Trip:    trip,
		Led:     led,
		Chosen:  chosen,
		Share:   e.options.CPUShare,
		Largest: seen.Largest,
	}
	return candidate.ClaimDelay() + rand.N(claimSpread)
}

// claimed finds out whether a claim that failed or got no reply has won. The
// zero term means that it hasn't.
func (e *Entry) claimed(ctx context.Context, seen election.Term) (election.Term, error) {
	current, _, err := e.readTerm(ctx, seen.Cell)
	if err != nil {
		return election.Term{}, err
	}
	if current.Holder != e.options.Self || current.Epoch <= seen.Epoch || current.Released {
		return election.Term{}, nil
	}
	return current, nil
}
