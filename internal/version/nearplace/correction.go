package nearplace

import (
	"maps"
	"math"
	"strings"
	"time"
)

const (
	// correctionFloor is added to each expected wait before it is corrected. A forecast of
	// nearly 0 that is wrong again and again could not be corrected by a factor alone.
	correctionFloor = 30 * time.Millisecond
	// correctionWeight is the weight of the newest wait that ended near the data.
	correctionWeight = 0.3
	// failureFactor raises the correction after a wait in vain.
	failureFactor = 1.5
	// minCorrection and maxCorrection bound the correction: forecasts may be wrong by a factor of
	// 5. With a bound of 20, single failures at 70% load and a factor of 2 kept tasks from waits
	// that paid off, and the mean completion time rose by four fifths.
	minCorrection, maxCorrection = 0.5, 6
	// failuresInRow is the number of waits in vain, each begun after the one before had failed and
	// without any other outcome between them, from which on a rack is avoided: the bound is then maxAvoidance, which raises also forecasts of
	// nearly 0 until a wait doesn't pay off.
	failuresInRow, maxAvoidance = 4, 20
	// correctionHalfLife is the time in which a correction loses half of its distance from 1,
	// so that a rack that was avoided is tried again.
	correctionHalfLife = 10 * time.Second
	// correctionLifetime is the time after which a correction is forgotten.
	correctionLifetime = 10 * correctionHalfLife
)

// Correction is the ratio of observed to expected waits for one rack.
type Correction float64

// Apply returns the corrected expectation of a wait.
func (c Correction) Apply(expected time.Duration) time.Duration {
	if expected <= 0 {
		return 0
	}
	return time.Duration(float64(c) * float64(expected+correctionFloor))
}

// Corrections learns the correction of each rack from the outcomes of waits.
type Corrections struct {
	racks map[string]learnedCorrection
}

type learnedCorrection struct {
	ratio Correction
	at    time.Time
	// failures is the number of waits in vain in a row. The last of them ended at failedAt.
	failures int
	failedAt time.Time
}

// For returns the correction of a rack. Without recent outcomes it is 1.
func (c *Corrections) For(now time.Time, rack string) Correction {
	learned, found := c.racks[rack]
	if !found {
		return 1
	}
	decay := math.Exp2(-float64(now.Sub(learned.at)) / float64(correctionHalfLife))
	return 1 + (learned.ratio-1)*Correction(decay)
}

// Outcome is how a wait ended.
type Outcome uint8

const (
	// PlacedNear: the task started in the rack, or the group in one rack.
	PlacedNear Outcome = iota
	// PlacedFar: the task started elsewhere, because the wait didn't pay off any more.
	PlacedFar
	// RackLost: no backend server of the rack can take the task any more.
	RackLost
	// GaveUp: the wait reached its limit.
	GaveUp

	OutcomeCount
)

func (o Outcome) String() string {
	return [OutcomeCount]string{"placed near", "placed far", "rack lost", "gave up"}[o]
}

// Label returns the outcome as a label of metrics.
func (o Outcome) Label() string { return strings.ReplaceAll(o.String(), " ", "_") }

// Record corrects the forecasts of a rack by a wait. expected is the corrected wait that was
// expected when it began.
func (c *Corrections) Record(now time.Time, rack string, expected, waited time.Duration, outcome Outcome) {
	current := c.For(now, rack)
	observed := current * Correction(float64(waited+correctionFloor)/float64(expected+correctionFloor))
	next := learnedCorrection{at: now}
	limit := Correction(maxCorrection)
	switch outcome {
	case PlacedNear:
		current += correctionWeight * (observed - current)
	case PlacedFar:
		current = max(current, min(observed, current*failureFactor))
	default:
		current = max(observed, current) * failureFactor
		next.failures, next.failedAt = c.racks[rack].failures, now
		if !now.Add(-waited).Before(c.racks[rack].failedAt) {
			next.failures++
		}
		if next.failures >= failuresInRow {
			limit = maxAvoidance
		}
	}
	next.ratio = min(max(current, minCorrection), limit)
	if c.racks == nil {
		c.racks = map[string]learnedCorrection{}
	}
	maps.DeleteFunc(c.racks, func(_ string, learned learnedCorrection) bool { return now.Sub(learned.at) > correctionLifetime })
	c.racks[rack] = next
}
