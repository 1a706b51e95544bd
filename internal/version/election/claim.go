package election

import "time"

const (
	// TermLease is how long a term lasts without a renewal. Leaders renew every
	// 0.5 s, so two renewals in a row may fail.
	TermLease = 1500 * time.Millisecond
	// StalledAfter is the age of the newest renewal, as the holder itself
	// reports it, above which instances that reach the log try to take over.
	StalledAfter = 1100 * time.Millisecond
)

const (
	// pollPause is the pause between two reads of a term or of the number of
	// cells.
	pollPause = 150 * time.Millisecond
	// maxPollPause bounds the pause when the log limits the rate of calls. At
	// this pause 300 instances poll six cells 900 times a second in total.
	maxPollPause = 2 * time.Second
)

// PollPause returns the pause before the next read of a term or of the number of
// cells. rateLimited is the number of consecutive reads that the log refused
// because all instances together poll too often; each one doubles the pause, up to
// 2 s. random is in [0, 1) and spreads the reads of instances that started
// together.
func PollPause(rateLimited int, random float64) time.Duration {
	pause := pollPause
	for range min(rateLimited, 8) {
		pause = min(2*pause, maxPollPause)
	}
	if rateLimited == 0 {
		return pause
	}
	return pause/2 + time.Duration(random*float64(pause))
}

// Renewal is a leader's report about its newest term renewal.
type Renewal struct {
	Epoch int64
	// EndOffset is the log offset that follows the renewal's record.
	EndOffset int64
	// SentAt is the time at which the renewal was sent.
	SentAt time.Time
}

// Stalled reports whether the renewal is older than StalledAfter (1.1 s).
func (r Renewal) Stalled(now time.Time) bool { return now.Sub(r.SentAt) > StalledAfter }

// LeaderState is what another instance knows about the state of a leader.
type LeaderState uint8

const (
	// LeaderAlive means that the leader is not known to have failed.
	LeaderAlive LeaderState = iota
	// LeaderEnded means that the leader's process has ended or has given up the
	// term.
	LeaderEnded
	// LeaderStalled means that the leader has not renewed its term for longer than
	// StalledAfter.
	LeaderStalled
)

// Recheck checks the state of the leader of the given epoch against the term read
// from the log. It returns LeaderAlive if a later term has begun, since the state
// does not apply to the next leader. It also returns LeaderAlive for a stalled
// leader that has renewed its term since its last report, or whose last report is
// missing or no longer stalled. reported is the last report by the leader of the
// current term; it is valid only if found is true.
func (s LeaderState) Recheck(now time.Time, epoch int64, current Term, reported Renewal, found bool) LeaderState {
	if current.Epoch != epoch {
		return LeaderAlive
	}
	stalled := found && reported.EndOffset == current.EndOffset && reported.Stalled(now)
	if s == LeaderStalled && !stalled {
		return LeaderAlive
	}
	return s
}

// TermObservation describes the newest record of a term that an instance has seen.
type TermObservation struct {
	// EndOffset is the log offset that follows the record.
	EndOffset int64
	// FirstSeen is the time at which the instance first saw the record or, if the
	// leader has reported it, the time at which the record was sent.
	FirstSeen time.Time
}

// ClaimReason is the reason for which an instance should claim a cell, as it is
// logged.
type ClaimReason string

const (
	// NoClaim means that the cell has a leader and must not be claimed.
	NoClaim            ClaimReason = ""
	NeverLed           ClaimReason = "the cell has never had a leader"
	Released           ClaimReason = "released"
	HolderEnded        ClaimReason = "the holder of the term has ended"
	HolderStalled      ClaimReason = "the holder of the term can't renew it"
	EarlierIncarnation ClaimReason = "the term is held by an earlier process of this instance"
	NotRenewed         ClaimReason = "the term was not renewed within its lease"
)

// ReasonToClaim returns the reason to claim the cell, or NoClaim if it has a leader.
// holderState is what is known about the term's holder. ReasonToClaim remembers when
// it first saw the term's record, and restarts that time whenever a new record
// appears.
func (o *TermObservation) ReasonToClaim(now time.Time, current Term, holderState LeaderState, self Holder) ClaimReason {
	if current.EndOffset != o.EndOffset || o.FirstSeen.IsZero() {
		*o = TermObservation{current.EndOffset, now}
	}
	switch {
	case current.Epoch == 0:
		return NeverLed
	case current.Released:
		return Released
	case holderState == LeaderEnded:
		return HolderEnded
	case holderState == LeaderStalled:
		return HolderStalled
	case current.Holder.Address == self.Address:
		return EarlierIncarnation
	case now.Sub(o.FirstSeen) > TermLease:
		return NotRenewed
	}
	return NoClaim
}
