package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/connection/workerlink"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
)

const (
	// announcePeriod is the pause between two attempts to reach the voters that have
	// not confirmed the term.
	announcePeriod = 300 * time.Millisecond
	// authorityReportPeriod limits the log to one line per period while the authority
	// does not change.
	authorityReportPeriod = time.Second
)

// termConfirmation is what the voters of a term confirm about it.
type termConfirmation struct {
	// quorum is replaced by the goroutine that renews the term.
	quorum atomic.Pointer[election.Quorum]
	// majoritySince is the newest time after which a majority of the voters knew no
	// later term. The cell's goroutine updates it.
	majoritySince atomic.Pointer[time.Time]
	// earlierBlocked is set once no earlier leader can get a majority any more, or has
	// held its term for too long without a renewal. From then on the voters may change.
	earlierBlocked atomic.Bool
	// recoveredAt is when the cell was restored, after the claim was accepted.
	recoveredAt time.Time
}

func (t *termConfirmation) start(voters []election.Voter) {
	t.quorum.Store(&election.Quorum{Stored: voters})
	t.majoritySince.Store(&time.Time{})
}

// leaseAuthority returns what allows this leader to extend leases now.
func (l *leadership) leaseAuthority() election.LeaseAuthority {
	if l.entry.leaders.newestKnownEpoch(l.term.Cell) > l.term.Epoch {
		return election.NoAuthority
	}
	sinceRenewal := l.sinceRenewal()
	if l.releasing.Load() {
		sinceRenewal = max(sinceRenewal, startAuthorityPeriod)
	}
	return election.AuthorityToExtend(sinceRenewal, startAuthorityPeriod, time.Since(*l.confirmation.majoritySince.Load()))
}

// needsConfirmation reports whether the voters have not confirmed the term yet or its newest
// renewal is late.
func (l *leadership) needsConfirmation() bool {
	return !l.confirmation.earlierBlocked.Load() || l.sinceRenewal() > 2*renewalPeriod || l.releasing.Load()
}

// updateConfirmation applies what the voters have confirmed.
func (l *leadership) updateConfirmation(now time.Time) {
	confirmed := l.entry.leaders.voters.confirmations(l.term.Cell, l.term.Epoch)
	if l.entry.leaders.newestKnownEpoch(l.term.Cell) == l.term.Epoch {
		confirmed[l.entry.options.Self.Address] = now
	}
	quorum := l.confirmation.quorum.Load()
	since := quorum.MajoritySince(confirmed)
	l.confirmation.majoritySince.Store(&since)
	if l.confirmation.earlierBlocked.Load() {
		if !slices.Equal(l.chooseVoters(now, quorum.Stored), quorum.Stored) {
			l.requestRenewal()
		}
		return
	}
	waited := now.Sub(l.confirmation.recoveredAt)
	byVoters := quorum.BlocksEarlier(confirmed)
	if !byVoters && waited < election.MaxConfirmedAuthority {
		return
	}
	l.confirmation.earlierBlocked.Store(true)
	// An earlier leader may have got its last confirmation just before.
	l.cell.EarlierTermsEnded(now.Add(election.ConfirmationMaxAge))
	l.entry.options.Journal.TermConfirmed(l.term.Cell, l.term.Epoch, len(quorum.Stored), byVoters, waited)
}

// nextVoters returns the voters for the next renewal of the term. A list that is in doubt is
// repeated until it is known whether it is stored.
func (l *leadership) nextVoters(stored []election.Voter) []election.Voter {
	if proposed := l.confirmation.quorum.Load().Proposed; proposed != nil {
		return proposed
	}
	if !l.confirmation.earlierBlocked.Load() {
		return stored
	}
	next := l.chooseVoters(time.Now(), stored)
	if slices.Equal(next, stored) {
		return stored
	}
	l.confirmation.quorum.Store(&election.Quorum{Stored: stored, Proposed: next})
	return next
}

// chooseVoters returns the voters that follow the stored ones.
func (l *leadership) chooseVoters(now time.Time, stored []election.Voter) []election.Voter {
	self := election.Voter{Address: l.entry.options.Self.Address, Zone: l.entry.options.Zone}
	heard := append(l.entry.leaders.voters.heardInstances(now), election.HeardInstance{Voter: self, At: now})
	return election.ChooseVoters(now, stored, heard)
}

// announceTerm links this instance to the voters that have not confirmed the term lately.
// They may not reach the log, and the instances that they are linked to may not know the
// term either.
func (l *leadership) announceTerm(ctx context.Context) {
	for ctx.Err() == nil {
		confirmed := l.entry.leaders.voters.confirmations(l.term.Cell, l.term.Epoch)
		var dials sync.WaitGroup
		for _, voter := range l.confirmation.quorum.Load().Stored {
			if voter.Address == l.entry.options.Self.Address || time.Since(confirmed[voter.Address]) < election.ConfirmationMaxAge {
				continue
			}
			dials.Go(func() {
				// A failed dial is repeated in the next round.
				_, _ = l.entry.leaders.dialLink(ctx, voter.Address)
			})
		}
		dials.Wait()
		sleep(ctx, announcePeriod)
	}
}

// loggedAuthority is the lease authority that was logged last.
type loggedAuthority struct {
	authority election.LeaseAuthority
	at        time.Time
}

// reportLeaseAuthority logs by what this leader extends leases.
func (l *leadership) reportLeaseAuthority(now time.Time) {
	authority := l.leaseAuthority()
	unchanged := authority == l.authorityLogged.authority
	if unchanged && (authority == election.AuthorityRenewal || now.Sub(l.authorityLogged.at) < authorityReportPeriod) {
		return
	}
	l.authorityLogged = loggedAuthority{authority, now}
	l.entry.options.Journal.LeaseAuthority(l.term.Cell, l.term.Epoch, string(authority), l.sinceRenewal(), l.extendedLeases.Swap(0))
}

// earlierTermConfig returns how long the cell has to reckon with earlier leaders.
func earlierTermConfig(maxLease time.Duration) cell.Config {
	workerLease := min(maxLease, workerlink.LeaseDuration)
	maxEarlierLease := workerLease + recoveryMargin
	return cell.Config{
		// An earlier leader may have renewed its term, or read that it still holds it,
		// just before the claim.
		EarlierAuthority:        startAuthorityPeriod + recoveryMargin,
		RecoveryWait:            startAuthorityPeriod - election.TermLease + maxEarlierLease,
		UnconfirmedRecoveryWait: election.MaxConfirmedAuthority + maxEarlierLease,
		MaxEarlierLease:         maxEarlierLease,
		LeaseExcess:             workerlink.LeaseExcess(maxLease),
		OrderDelay:              workerlink.MaxOrderDelay,
	}
}
