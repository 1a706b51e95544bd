package entry

import (
	"context"
	"errors"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/term"
	"poplarvalve/internal/process/boottime"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
)

// errTermReplaced ends a leadership whose term was replaced by that of another
// instance.
var errTermReplaced = errors.New("a later term has begun")

// sinceRenewal returns the time since the newest accepted claim or renewal was
// sent, including the time during which the machine was suspended.
func (l *leadership) sinceRenewal() time.Duration { return l.lastRenewal.Load().Since() }

// suspensionTolerance is the suspension time up to which a machine counts as not
// suspended. It allows for the difference between two readings of the clocks.
const suspensionTolerance = 100 * time.Millisecond

// Authorized implements workerlink.Sink. It reports whether the machine was not
// suspended since the last renewal, and the term was renewed lately or is confirmed by a
// majority of the voters. Otherwise another instance may lead, and workers that it has not
// reached would still follow the orders of this one. It therefore sends no orders until a
// renewal has shown that its term continues.
func (l *leadership) Authorized() bool {
	return l.lastRenewal.Load().Suspended() < suspensionTolerance && l.leaseAuthority() != election.NoAuthority
}

// MayStart implements workerlink.Sink. The next leader relies on it that starts end sooner
// than lease renewals: a majority of the voters does not prolong them.
func (l *leadership) MayStart() bool {
	return l.Authorized() && l.sinceRenewal() < startAuthorityPeriod && !l.releasing.Load()
}

// recordFenceRefusal pauses starts until the term is renewed: a worker that refuses an
// order as fenced may follow a later leader. Only the first refusal of each worker counts,
// so that a worker that refuses all orders does not stop the others.
func (l *leadership) recordFenceRefusal(worker cell.WorkerID) {
	if l.fencedBy[worker] {
		return
	}
	l.fencedBy[worker] = true
	l.fenceRefusals.Add(1)
	l.cell.SetStartsEnabled(false)
	l.requestRenewal()
}

// mayBeReplaced reports whether a worker has refused an order as fenced since the last
// renewal of the term was sent.
func (l *leadership) mayBeReplaced() bool {
	return l.fenceRefusals.Load() != l.refusalsChecked.Load()
}

// requestRenewal requests a renewal at once. It does not block.
func (l *leadership) requestRenewal() {
	select {
	case l.renewalRequests <- struct{}{}:
	default:
	}
}

// requestHandOver lets the goroutine that renews the term hand it over. It does not block.
func (l *leadership) requestHandOver() {
	select {
	case l.handOverRequests <- struct{}{}:
	default:
	}
}

// stepDown ends the leadership so that another instance can lead at once. Waiting
// requests are repeated at the next leader. If the term is not released in the log
// yet, the goroutine that renews it does that next.
func (l *leadership) stepDown(reason error) {
	l.entry.leaders.setLeadership(l.term.Cell, nil)
	l.entry.leaders.recordLeader(cellcodec.Leader{Cell: l.term.Cell, Epoch: l.term.Epoch})
	l.endTerm(reason)
}

// renewalState is what is known about the renewals of a term. The goroutine that renews
// the term owns it.
type renewalState struct {
	// held is the term as the log has it, as far as known.
	held election.Term
	// firstUnanswered is when the oldest renewal was sent that got no answer since the
	// last one that did, or nil.
	firstUnanswered *boottime.Moment
}

// renewPeriodically renews the term until ctx ends or the instance drains. It ends
// the leadership if another term has begun.
func (l *leadership) renewPeriodically(ctx context.Context) {
	ticker := time.NewTicker(renewalPeriod)
	defer ticker.Stop()
	state := renewalState{held: l.term}
	for {
		select {
		case <-ticker.C:
		case <-l.renewalRequests:
		case <-l.entry.draining:
			l.handOver(ctx, &state, errDraining)
			return
		case <-l.handOverRequests:
			l.handOver(ctx, &state, errLargerInstance)
			return
		case <-ctx.Done():
			l.releaseIfSteppedDown(state.held)
			return
		}
		err := l.renew(ctx, &state)
		if errors.Is(err, errTermReplaced) {
			l.endTerm(err)
			return
		}
		if err != nil && ctx.Err() == nil {
			l.entry.options.Journal.Retrying("renewal of "+cellName(state.held.Cell), err)
			time.AfterFunc(renewalRetryPause, l.requestRenewal)
		}
	}
}

// renew tries once to renew the term and records a success.
func (l *leadership) renew(ctx context.Context, state *renewalState) error {
	sent := boottime.Now()
	refusals := l.fenceRefusals.Load()
	attempt := state.held
	attempt.LargestCPUShare = max(l.entry.options.CPUShare, l.entry.leaders.largestCPUShare())
	attempt.Voters = l.nextVoters(state.held.Voters)
	renewed, earlier, err := l.tryRenew(ctx, attempt)
	if err != nil {
		if state.firstUnanswered == nil && store.ReasonOf(err) == store.Unanswered {
			state.firstUnanswered = &sent
		}
		return err
	}
	if earlier {
		// The next leader counts from the record that the log holds, which may be the
		// oldest renewal without an answer.
		if state.firstUnanswered != nil {
			sent = *state.firstUnanswered
		}
		l.requestRenewal()
	}
	state.held = renewed
	state.firstUnanswered = nil
	l.confirmation.quorum.Store(&election.Quorum{Stored: renewed.Voters})
	// In this order: with the old time, the new record would look like a stalled term.
	l.lastRenewal.Store(&sent)
	l.renewalEndOffset.Store(renewed.EndOffset)
	l.refusalsChecked.Store(refusals)
	l.post(func(_ time.Time, c *cell.Cell) { c.TermRenewed(sent.Time()) })
	// Other instances compare the newest record in the log with the one that the leader
	// reported, to tell a leader that still renews from one that has ended.
	l.entry.leaders.notifyLinks()
	return nil
}

// handOver hands over the cell. While the log is unreachable, nobody else can lead, and the leases
// are extended as before: the hand-over, which ends that, begins after the next renewal.
func (l *leadership) handOver(ctx context.Context, state *renewalState, reason error) {
	for ctx.Err() == nil {
		err := l.renew(ctx, state)
		if errors.Is(err, errTermReplaced) {
			l.endTerm(err)
			return
		}
		if err == nil {
			l.prepareHandOver(ctx)
			l.releaseAndStepDown(ctx, state.held, reason)
			return
		}
		if ctx.Err() == nil {
			l.entry.options.Journal.Retrying("renewal of "+cellName(state.held.Cell), err)
		}
		sleep(ctx, electionRetryPause)
	}
	l.releaseIfSteppedDown(state.held)
}

// releaseAndStepDown gives up the term once the log has recorded the release. If it
// gave up the term earlier, no other instance could claim the cell while the log is
// unreachable, and the leases of running tasks would expire.
func (l *leadership) releaseAndStepDown(ctx context.Context, heldTerm election.Term, reason error) {
	l.releasing.Store(true)
	for ctx.Err() == nil {
		next, err := l.tryRelease(ctx, heldTerm)
		switch {
		case err == nil:
			l.stepDown(reason)
			return
		case errors.Is(err, errTermReplaced):
			l.endTerm(err)
			return
		}
		heldTerm = next
		if ctx.Err() == nil {
			l.entry.options.Journal.Retrying("release of "+cellName(heldTerm.Cell), err)
		}
		sleep(ctx, electionRetryPause)
	}
}

// handOverTimeout limits how long a release waits for the record for the next leader. It
// allows for the outcomes of starts and an append from another region.
const handOverTimeout = 500 * time.Millisecond

// prepareHandOver ends all starts and extensions of leases and stores how long leases may
// last, so that the next leader does not wait for longer.
func (l *leadership) prepareHandOver(ctx context.Context) {
	l.post(func(_ time.Time, c *cell.Cell) { c.PrepareHandOver() })
	timer := time.NewTimer(handOverTimeout)
	defer timer.Stop()
	stored := false
	select {
	case <-l.handOverReady:
		stored = true
	case <-timer.C:
	case <-ctx.Done():
	}
	l.entry.options.Metrics.HandedOver(stored)
}

// tryRelease tries once to release the term. If it fails, it returns the term as
// the log has it, as far as known, and the error.
func (l *leadership) tryRelease(ctx context.Context, heldTerm election.Term) (election.Term, error) {
	callCtx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	err := term.Release(callCtx, l.entry.options.Log, heldTerm)
	if err == nil || store.ReasonOf(err) != store.EndMismatch {
		return heldTerm, err
	}
	current, readErr := l.readHeldTerm(ctx, heldTerm)
	if readErr == nil && current.Released {
		return current, nil // An earlier release succeeded without a reply.
	}
	return current, errors.Join(err, readErr)
}

// readHeldTerm reads the held term from the log. It returns errTermReplaced if a
// later term has begun.
func (l *leadership) readHeldTerm(ctx context.Context, heldTerm election.Term) (election.Term, error) {
	current, _, err := l.entry.readTerm(ctx, heldTerm.Cell)
	if err != nil {
		return heldTerm, err
	}
	if current.Epoch != heldTerm.Epoch {
		return heldTerm, errTermReplaced
	}
	return current, nil
}

// releaseIfSteppedDown releases the term in the log if this instance stepped down so
// that another one can lead: because it is isolated or a larger instance should
// lead.
func (l *leadership) releaseIfSteppedDown(heldTerm election.Term) {
	if reason := l.reason(); !errors.Is(reason, errIsolated) && !errors.Is(reason, errLargerInstance) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), logCallTimeout)
	defer cancel()
	if _, err := l.tryRelease(ctx, heldTerm); err != nil {
		l.entry.options.Journal.Retrying("release of "+cellName(heldTerm.Cell), err)
	}
}

// tryRenew tries once to renew the term and returns the term with its new record. If
// the log already holds a newer record, an earlier renewal without a reply has
// succeeded or another claim has won. It then returns the term as the log has it, with
// earlier set, or errTermReplaced.
func (l *leadership) tryRenew(ctx context.Context, heldTerm election.Term) (renewed election.Term, earlier bool, err error) {
	callCtx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	renewed, err = term.Renew(callCtx, l.entry.options.Log, heldTerm)
	if err == nil || store.ReasonOf(err) != store.EndMismatch {
		return renewed, false, err
	}
	renewed, err = l.readHeldTerm(ctx, heldTerm)
	return renewed, true, err
}
