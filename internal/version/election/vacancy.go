package election

import "time"

const (
	// TermLease is how long a term lasts without a renewal. With one each 0.5 s,
	// two may fail.
	TermLease = 1500 * time.Millisecond
	// StalledAfter is the age of the newest renewal, as the holder itself shows
	// it, at which others that reach the log try to take over.
	StalledAfter = 1100 * time.Millisecond
)

const (
	// lookPause is the pause between two looks at a term or at the number of
	// cells.
	lookPause = 150 * time.Millisecond
	// maxLookPause bounds it where the log limits the rate of calls: with it 300
	// instances look at six cells 900 times a second.
	maxLookPause = 2 * time.Second
)

// LookPause returns the pause before the next look after a number of looks in a
// row that the log refused because all instances together look too often. random
// is in [0, 1) and spreads the looks of instances that began together.
func LookPause(limited int, random float64) time.Duration {
	pause := lookPause
	for range min(limited, 8) {
		pause = min(2*pause, maxLookPause)
	}
	if limited == 0 {
		return pause
	}
	return pause/2 + time.Duration(random*float64(pause))
}

// Renewal is what a leader showed of its newest renewal.
type Renewal struct {
	Epoch int64
	// End is the offset after the record, At when it was sent.
	End int64
	At  time.Time
}

// Stalled says whether the leader could not renew its term for some time.
func (r Renewal) Stalled(now time.Time) bool { return now.Sub(r.At) > StalledAfter }

// Standing says what is known against a leader.
type Standing uint8

const (
	// Sound means that nothing is known against it.
	Sound Standing = iota
	// Ended means that its process has ended or gave the term up.
	Ended
	// Stalled means that it could not renew its term for some time.
	Stalled
)

// Confirmed takes back what is known against the leader of an epoch if a later
// one has begun, and that a leader is stalled if it has renewed its term since it
// last showed its state, or has shown a fresh one meanwhile. shown is what the
// leader of the current term showed last, if found.
func (s Standing) Confirmed(now time.Time, epoch int64, current Term, shown Renewal, found bool) Standing {
	if current.Epoch != epoch {
		return Sound
	}
	stalled := found && shown.End == current.End && shown.Stalled(now)
	if s == Stalled && !stalled {
		return Sound
	}
	return s
}

// Observation is when a record of a term was first seen, or was written.
type Observation struct {
	End   int64
	First time.Time
}

// Vacancy says why a claim is due.
type Vacancy string

const (
	Occupied       Vacancy = ""
	NeverLed       Vacancy = "never led"
	Released       Vacancy = "released"
	HolderEnded    Vacancy = "its holder has ended"
	HolderStalled  Vacancy = "its holder can't renew"
	EarlierProcess Vacancy = "held by an earlier process of this instance"
	NotRenewed     Vacancy = "not renewed"
)

// Vacant says whether a claim is due, given what is known against the holder. It
// notes when the term's record was first seen.
func (o *Observation) Vacant(now time.Time, current Term, holder Standing, self Holder) Vacancy {
	if current.End != o.End || o.First.IsZero() {
		*o = Observation{current.End, now}
	}
	switch {
	case current.Epoch == 0:
		return NeverLed
	case current.Released:
		return Released
	case holder == Ended:
		return HolderEnded
	case holder == Stalled:
		return HolderStalled
	case current.Holder.Address == self.Address:
		return EarlierProcess
	case now.Sub(o.First) > TermLease:
		return NotRenewed
	}
	return Occupied
}
