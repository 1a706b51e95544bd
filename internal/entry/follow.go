package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"syscall"
	"time"

	"poplarvalve/internal/connection/celllink"
	"poplarvalve/internal/connection/term"
	"poplarvalve/internal/process/boottime"
	"poplarvalve/internal/version/election"
)

const (
	// isolationPause is how long an instance that no other reaches leaves the
	// lead to others.
	isolationPause = 2 * time.Second
	// renewPeriod allows two renewals to fail.
	renewPeriod = 500 * time.Millisecond
	// startAuthority is how long after its last renewal a leader that can't
	// reach the log goes on to start tasks.
	startAuthority = 4 * time.Second
	// callTimeout bounds one call to the log.
	callTimeout = 800 * time.Millisecond
	// electionPause is the pause between two looks at a term.
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
	for ctx.Err() == nil {
		if e.leaders.isolated() {
			// Another instance that the others reach has to lead.
			sleep(ctx, isolationPause)
			e.leaders.rejoin()
		}
		leader, known := e.leaders.table.Load().byCell[number]
		need := election.Sound
		if known && leader.Address == "" {
			need = election.Ended // It gave its term up.
		}
		if known && need == election.Sound && leader.Nonce != e.options.Self.Nonce {
			need = e.keepLink(ctx, leader.Address, leader.Nonce, leader.Epoch, number)
		}
		if ctx.Err() != nil {
			return
		}
		current, trip, err := e.readTerm(ctx, number)
		if err != nil {
			e.options.Journal.Retry("term of "+cellName(number), err)
			sleep(ctx, electionPause)
			continue
		}
		if current.Epoch > 0 && !current.Released && current.Epoch > e.leaders.epoch(number) {
			e.leaders.learnTerm(current)
			seen = election.Observation{}
			continue
		}
		shown, found := e.leaders.renewed(number, current.Epoch)
		if found && shown.End == current.End {
			seen = election.Observation{End: current.End, First: shown.At}
		}
		need = need.Confirmed(time.Now(), leader.Epoch, current, shown, found)
		if why := seen.Vacant(time.Now(), current, need, e.options.Self); why != election.Occupied {
			e.options.Journal.Claiming(number, current.Epoch, string(why), time.Since(seen.First))
			e.contend(ctx, current, trip)
			continue
		}
		sleep(ctx, electionPause)
	}
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
func (e *Entry) keepLink(ctx context.Context, address string, nonce uint64, epoch int64, number int) election.Standing {
	link, err := e.leaders.dial(ctx, address)
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
		leader := e.leaders.table.Load().byCell[number]
		if leader.Epoch != epoch {
			return election.Sound
		}
		if leader.Address == "" {
			return election.Ended
		}
		if other := link.Nonce(); other != 0 && other != nonce {
			return election.Ended
		}
		if shown, found := e.leaders.renewed(number, epoch); found && shown.Stalled(time.Now()) {
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

// contend claims a cell and leads it until the term is lost.
func (e *Entry) contend(ctx context.Context, seen election.Term, trip time.Duration) {
	select {
	case <-e.draining:
		sleep(ctx, electionPause)
		return
	case <-time.After(e.claimDelay(seen, trip)):
	case <-ctx.Done():
		return
	}
	claimed := boottime.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	held, err := term.Claim(call, e.options.Log, seen, e.options.Self)
	cancel()
	if err != nil {
		held, err = e.claimed(ctx, seen)
	}
	if err != nil {
		e.options.Journal.Retry("claim of "+cellName(seen.Cell), err)
		return
	}
	if held.Epoch == 0 {
		return // Another instance won.
	}
	e.lead(ctx, held, claimed)
}

// claimDelay lets instances claim first that are near the log, large and lead
// few cells.
func (e *Entry) claimDelay(seen election.Term, trip time.Duration) time.Duration {
	others := e.contending.Add(1) - 1
	time.AfterFunc(contentionTime, func() { e.contending.Add(-1) })
	candidate := election.Candidate{
		Trip:    trip,
		Led:     int(others) + len(e.leaders.table.Load().led),
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
