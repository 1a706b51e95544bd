package workerspeed

import "time"

const (
	// moveOverhead is the time that a stop and a start elsewhere take.
	moveOverhead = 300 * time.Millisecond
	// minGain and minGainShare, of the time that is left here, are what a move must gain at
	// least. Estimates of durations are off by up to a factor of two.
	minGain      = 300 * time.Millisecond
	minGainShare = 0.35
	// checkpointLoss is the share of a task that is done again after its last checkpoint.
	checkpointLoss = 0.1
	// maxWait limits how long a task waits because only slow workers have room. It is part of
	// the 3 s that a task whose turn has come may wait.
	maxWait = time.Second
	// waitShare is the share of the time lost on a slow worker that a task waits for another.
	waitShare = 0.4
	// minSlack is the least slack by which delays are rated.
	minSlack = 250 * time.Millisecond
)

// Move is a run whose move to another worker is considered.
type Move struct {
	// Work is the duration of the whole task on a usual worker; Left is the part of it that is
	// not done.
	Work, Left time.Duration
	// Checkpoints is set if the task goes on near the point at which it is stopped.
	Checkpoints bool
}

// Rest returns how much work is left after a stop.
func (m Move) Rest() time.Duration {
	if !m.Checkpoints {
		return m.Work
	}
	return min(m.Work, m.Left+time.Duration(checkpointLoss*float64(m.Work)))
}

// Gain returns by how much sooner the task ends if it is moved, and whether that is clear.
func (m Move) Gain(now time.Time, from, to *Estimate) (gain time.Duration, clear bool) {
	here := from.Expected(now, m.Left)
	gain = here - moveOverhead - to.Expected(now, m.Rest())
	return gain, gain > minGain+time.Duration(minGainShare*float64(here))
}

// Delay rates the time that a task loses on a slow worker by the slack of its job, from 0 (none)
// to 1 (all of it, or more).
func Delay(lost, slack time.Duration) float64 {
	return min(1, max(0, lost.Seconds()/max(slack, minSlack).Seconds()))
}

// Waits reports whether a task that has waited for some time goes on waiting for another worker
// than one on which it would lose more time than its job has.
func Waits(waited, lost, slack time.Duration) bool {
	return slack > 0 && lost > slack && waited < min(maxWait, time.Duration(waitShare*float64(lost)))
}

// MaxMoves returns how many moves off slow workers may be under way at a time.
func MaxMoves(workers int) int { return min(max(2, workers/4), 64) }
