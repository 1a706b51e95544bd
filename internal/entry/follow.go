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
	// isolationPause is how long an isolated instance, which no other instance
	// reaches, makes no claims so that others can lead.
	isolationPause = 2 * time.Second
	// renewalPeriod is the time between two term renewals. It is a third of
	// election.TermLease, so that two renewals in a row may fail.
	// renewalRetryPause is the pause after a failed one.
	renewalPeriod     = 500 * time.Millisecond
	renewalRetryPause = 100 * time.Millisecond
	// startAuthorityPeriod is how long after its last renewal a leader that can't
	// reach the log continues to start tasks.
	startAuthorityPeriod = 4 * time.Second
	// logCallTimeout bounds one call to the log.
	logCallTimeout = 800 * time.Millisecond
	// electionRetryPause is the pause before a claim or a release is retried.
	electionRetryPause = 150 * time.Millisecond
	// claimJitter is the upper bound of the random delay that spreads the claims
	// of instances with equal claim delays.
	claimJitter = 40 * time.Millisecond
	// recentClaimWindow is how long a started claim counts as a cell that the
	// instance leads.
	recentClaimWindow = 150 * time.Millisecond
)

func cellName(number int) string { return "cell-" + strconv.Itoa(number) }

// followCell keeps a link to the leader of a cell until ctx ends. When the cell has
// no leader, it claims the cell and leads it if the claim wins.
func (e *Entry) followCell(ctx context.Context, number int) {
	var observation election.TermObservation
	var backoff pollBackoff
	e.spawn(func() { e.readFirstTerm(ctx, number) })
	for ctx.Err() == nil {
		if e.leaders.isolated() {
			// Let an instance lead that the others can reach.
			sleep(ctx, isolationPause)
			e.leaders.resetIsolation()
		}
		leader := e.leaders.table.Load().byCell[number]
		leaderState := e.watchLeader(ctx, leader, number)
		if ctx.Err() != nil {
			return
		}
		acted, err := e.claimIfVacant(ctx, number, leader.Epoch, leaderState, &observation)
		if err != nil {
			e.options.Journal.Retrying("term of "+cellName(number), err)
		}
		if !acted || err != nil {
			backoff.wait(ctx, err)
		}
	}
}

// readFirstTerm reads the cell's term until that has succeeded once. Before that the instance
// confirms no term, and it reads none while it is linked to a leader of which it has heard.
func (e *Entry) readFirstTerm(ctx context.Context, number int) {
	var backoff pollBackoff
	backoff.wait(ctx, nil) // The instance reads the term at once unless it knows a leader.
	for ctx.Err() == nil && !e.leaders.hasRead(number) {
		if _, _, err := e.readTerm(ctx, number); err != nil {
			backoff.wait(ctx, err)
		}
	}
}

// pollBackoff counts the consecutive reads that the log refused in order to limit
// the rate of calls.
type pollBackoff struct{ rateLimited int }

// wait counts the result of the last read and waits until the next one is due.
func (b *pollBackoff) wait(ctx context.Context, err error) {
	if err != nil && store.ReasonOf(err) == store.RateLimited {
		b.rateLimited++
	} else {
		b.rateLimited = 0
	}
	sleep(ctx, election.PollPause(b.rateLimited, rand.Float64()))
}

// watchLeader waits until a leader fails or its link is lost and returns the
// state of the leader. It returns LeaderAlive at once if no leader is known (the zero
// Leader) or this instance is the leader, and LeaderEnded if the leader has given up
// its term.
func (e *Entry) watchLeader(ctx context.Context, leader cellcodec.Leader, number int) election.LeaderState {
	switch {
	case leader.Epoch == 0 || leader.Nonce == e.options.Self.Nonce && leader.Address != "":
		return election.LeaderAlive
	case leader.Address == "":
		return election.LeaderEnded // The leader has given up its term.
	}
	return e.watchLeaderLink(ctx, leader, number)
}

// claimIfVacant reads the cell's term from the log, and claims and leads the cell
// if the term is vacant. leaderState is that of the leader of the given epoch. acted
// is true if a new leader was found or a claim was tried; otherwise the caller has to
// wait before it polls again.
func (e *Entry) claimIfVacant(ctx context.Context, number int, epoch int64, leaderState election.LeaderState, observation *election.TermObservation) (acted bool, err error) {
	current, roundTrip, err := e.readTerm(ctx, number)
	if err != nil {
		return false, err
	}
	if current.Epoch > 0 && !current.Released && current.Epoch > e.leaders.knownEpoch(number) {
		e.leaders.recordTerm(current)
		*observation = election.TermObservation{}
		return true, nil
	}
	reported, found := e.leaders.reportedRenewal(number, current.Epoch)
	if found && reported.EndOffset == current.EndOffset {
		*observation = election.TermObservation{EndOffset: current.EndOffset, FirstSeen: reported.SentAt}
	}
	now := time.Now()
	leaderState = leaderState.Recheck(now, epoch, current, reported, found)
	reason := observation.ReasonToClaim(now, current, leaderState, e.options.Self)
	if reason == election.NoClaim {
		return false, nil
	}
	e.options.Journal.Claiming(number, current.Epoch, string(reason), now.Sub(observation.FirstSeen))
	return true, e.claimAndLead(ctx, current, roundTrip)
}

// readTerm reads the newest term of a cell from the log. It also returns the
// round-trip time of the call.
func (e *Entry) readTerm(ctx context.Context, number int) (election.Term, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	start := time.Now()
	current, err := term.Read(ctx, e.options.Log, number)
	if err == nil {
		e.leaders.recordRead(number, current.Epoch)
	}
	return current, time.Since(start), err
}

// watchLeaderLink keeps a link to a leader until the link is lost, a later term is
// known, or the leader has ended or can't renew its term. It returns the state of the
// leader at that time.
func (e *Entry) watchLeaderLink(ctx context.Context, leader cellcodec.Leader, number int) election.LeaderState {
	link, err := e.leaders.dialLink(ctx, leader.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return election.LeaderEnded
	case err != nil:
		return election.LeaderAlive
	}
	ticker := time.NewTicker(celllink.HeartbeatInterval)
	defer ticker.Stop()
	for {
		changed := e.leaders.Changed()
		known := e.leaders.table.Load().byCell[number]
		if known.Epoch != leader.Epoch {
			return election.LeaderAlive
		}
		if known.Address == "" {
			return election.LeaderEnded
		}
		if linkNonce := link.Nonce(); linkNonce != 0 && linkNonce != leader.Nonce {
			return election.LeaderEnded
		}
		if reported, found := e.leaders.reportedRenewal(number, leader.Epoch); found && reported.Stalled(time.Now()) {
			return election.LeaderStalled
		}
		select {
		case <-link.Done():
			return election.LeaderAlive
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return election.LeaderAlive
		}
	}
}

// claimAndLead claims a cell after a delay. If the claim wins, it leads the cell
// until the term is lost. previous is the vacant term. The error is that of the
// claim; a draining instance makes no claim.
func (e *Entry) claimAndLead(ctx context.Context, previous election.Term, roundTrip time.Duration) error {
	select {
	case <-e.draining:
		sleep(ctx, electionRetryPause)
		return nil
	case <-time.After(e.claimDelay(previous, roundTrip)):
	case <-ctx.Done():
		return nil
	}
	claimSent := boottime.Now()
	callCtx, cancel := context.WithTimeout(ctx, logCallTimeout)
	heldTerm, err := term.Claim(callCtx, e.options.Log, previous, e.options.Self)
	cancel()
	if err != nil && store.ReasonOf(err) != store.RateLimited {
		heldTerm, err = e.resolveClaim(ctx, previous)
	}
	if err != nil {
		return fmt.Errorf("claiming the cell: %w", err)
	}
	if heldTerm.Epoch > 0 { // Otherwise another instance has won.
		e.lead(ctx, heldTerm, claimSent)
	}
	return nil
}

// claimDelay returns the delay of this instance's claim. It lets instances claim
// first that are near the log, large, and lead few cells.
func (e *Entry) claimDelay(previous election.Term, roundTrip time.Duration) time.Duration {
	table := e.leaders.table.Load()
	preferred := int(e.options.Self.Nonce%uint64(max(1, table.cellCount))) == previous.Cell
	ledCells := len(table.ledHere)
	if !preferred {
		ledCells += int(e.recentClaims.Load())
	}
	e.recentClaims.Add(1)
	time.AfterFunc(recentClaimWindow, func() { e.recentClaims.Add(-1) })
	candidate := election.Candidate{
		RoundTrip:       roundTrip,
		LedCells:        ledCells,
		Preferred:       preferred,
		CPUShare:        e.options.CPUShare,
		LargestCPUShare: previous.LargestCPUShare,
	}
	return candidate.ClaimDelay() + rand.N(claimJitter)
}

// resolveClaim finds out whether a claim that failed or got no reply has won. It
// returns the zero term if the claim has not won.
func (e *Entry) resolveClaim(ctx context.Context, previous election.Term) (election.Term, error) {
	current, _, err := e.readTerm(ctx, previous.Cell)
	if err != nil {
		return election.Term{}, err
	}
	if current.Holder != e.options.Self || current.Epoch <= previous.Epoch || current.Released {
		return election.Term{}, nil
	}
	return current, nil
}
