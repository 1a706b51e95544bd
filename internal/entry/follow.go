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
	// termLease is how long a term lasts without a renewal.
	termLease = 1500 * time.Millisecond
	// stalledAfter is the age of the newest renewal at which others try to
	// take over, if they reach the log.
	stalledAfter = 1100 * time.Millisecond
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
	var seen observation
	for ctx.Err() == nil {
		if e.leaders.isolated() {
			// Another instance that the others reach has to lead.
			sleep(ctx, isolationPause)
			e.leaders.rejoin()
		}
		leader, known := e.leaders.table.Load().byCell[number]
		need := linkHeld
		if known && leader.Address == "" {
			need = leaderEnded // It gave its term up.
		}
		if known && need == linkHeld && leader.Nonce != e.options.Self.Nonce {
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
			seen = observation{}
			continue
		}
		shown, found := e.leaders.renewed(number, current.Epoch)
		if found && shown.end == current.End {
			seen = observation{current.End, shown.at}
		}
		need = need.confirmed(leader.Epoch, current, shown, found)
		if why := seen.vacant(current, need, e.options.Self); why != occupied {
			e.options.Journal.Claiming(number, current.Epoch, string(why), time.Since(seen.first))
			e.contend(ctx, current, trip)
			continue
		}
		sleep(ctx, electionPause)
	}
}

func (e *Entry) readTerm(ctx context.Context, number int) (term.Term, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := time.Now()
	current, err := term.Read(ctx, e.options.Log, number)
	return current, time.Since(began), err
}

// observation is when a record of a term was first seen, or was written.
type observation struct {
	end   int64
	first time.Time
}

// vacancy says why a claim is due.
type vacancy string

const (
	occupied       vacancy = ""
	neverLed       vacancy = "never led"
	releasedTerm   vacancy = "released"
	endedHolder    vacancy = "its holder has ended"
	stalledHolder  vacancy = "its holder can't renew"
	earlierProcess vacancy = "held by an earlier process of this instance"
	notRenewed     vacancy = "not renewed"
)

// vacant says whether a claim is due, given what is known against the holder.
func (o *observation) vacant(current term.Term, holder standing, self term.Holder) vacancy {
	if current.End != o.end || o.first.IsZero() {
		o.end = current.End
		o.first = time.Now()
	}
	switch {
	case current.Epoch == 0:
		return neverLed
	case current.Released:
		return releasedTerm
	case holder == leaderEnded:
		return endedHolder
	case holder == leaderStalled:
		return stalledHolder
	case current.Holder.Address == self.Address:
		return earlierProcess
	case time.Since(o.first) > termLease:
		return notRenewed
	}
	return occupied
}

// standing says why another instance may have to lead.
type standing uint8

const (
	// linkHeld means that nothing is known against the leader.
	linkHeld standing = iota
	// leaderEnded means that its process has ended or gave the term up.
	leaderEnded
	// leaderStalled means that it could not renew its term for some time.
	leaderStalled
)

// confirmed takes back what is known against the leader of an epoch if a later
// one has begun, and that a leader is stalled if it has renewed its term since it
// last showed its state, or has shown a fresh one meanwhile.
func (s standing) confirmed(epoch int64, current term.Term, shown renewal, found bool) standing {
	if current.Epoch != epoch {
		return linkHeld
	}
	stalled := found && shown.end == current.End && time.Since(shown.at) > stalledAfter
	if s == leaderStalled && !stalled {
		return linkHeld
	}
	return s
}

// keepLink keeps a link to a leader until it is lost, a later term is known or
// the leader can't renew its term.
func (e *Entry) keepLink(ctx context.Context, address string, nonce uint64, epoch int64, number int) standing {
	link, err := e.leaders.dial(ctx, address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return leaderEnded
	case err != nil:
		return linkHeld
	}
	ticker := time.NewTicker(celllink.PulsePeriod)
	defer ticker.Stop()
	for {
		changed := e.leaders.Changed()
		leader := e.leaders.table.Load().byCell[number]
		if leader.Epoch != epoch {
			return linkHeld
		}
		if leader.Address == "" {
			return leaderEnded
		}
		if other := link.Nonce(); other != 0 && other != nonce {
			return leaderEnded
		}
		if shown, found := e.leaders.renewed(number, epoch); found && time.Since(shown.at) > stalledAfter {
			return leaderStalled
		}
		select {
		case <-link.Done():
			return linkHeld
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return linkHeld
		}
	}
}

// contend claims a cell and leads it until the term is lost.
func (e *Entry) contend(ctx context.Context, seen term.Term, trip time.Duration) {
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
func (e *Entry) claimDelay(seen term.Term, trip time.Duration) time.Duration {
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
func (e *Entry) claimed(ctx context.Context, seen term.Term) (term.Term, error) {
	current, _, err := e.readTerm(ctx, seen.Cell)
	if err != nil {
		return term.Term{}, err
	}
	if current.Holder != e.options.Self || current.Epoch <= seen.Epoch || current.Released {
		return term.Term{}, nil
	}
	return current, nil
}
