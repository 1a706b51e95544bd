// Package election decides how the leaders of cells change: when a claim is due,
// how long a candidate holds it back, when a leader is too small for its cell, and
// how many cells a deployment has.
//
// These are preferences. Safety rests on the log alone, which lets one of several
// claims win.
package election

import "time"

const (
	// tripWeight is how many round trips to the log are added to a delay, so
	// that an instance near the log claims first: a leader makes a call to the
	// log for most of its decisions.
	tripWeight = 3
	// ledPenalty delays the claims of an instance for each cell that it leads
	// or is about to claim: with two cells of 500 workers a small instance is
	// late with its decisions and its renewals.
	ledPenalty = 400 * time.Millisecond
	// otherCell delays the claim of a cell that is not the instance's own choice,
	// so that the instances divide the cells between them.
	otherCell = 100 * time.Millisecond
	// deference is how long the smallest instance waits for a larger one. After
	// a loss of power instances come back within 0.3 s of each other.
	deference = 400 * time.Millisecond
	// coresPerWorker is what a leader uses for one worker with its tasks, in
	// cores: 0.23 of a core was measured with 490 workers (docs/measurements.md).
	coresPerWorker = 0.0005
	// busyShare is the part of its processor above which a leader is late with
	// its decisions.
	busyShare = 0.6
	// worthMoving is how many times as large another instance must be to make up
	// for the interruption.
	worthMoving = 1.5
	// handOverPause is the time between two hand-overs by one instance: if the
	// larger one can't claim, the smaller one has to go on.
	handOverPause = 15 * time.Second
)

// Candidate is what an instance knows when a cell has no leader.
type Candidate struct {
	// Trip is the round trip to the log.
	Trip time.Duration
	// Led counts the cells that the instance leads or is about to claim.
	Led int
	// Chosen says that the cell is the instance's own choice among all cells.
	Chosen bool
	// Share is the part of a core that the instance may use, Largest that of the
	// largest instance that the last leader knew; 0 stands for a whole core.
	Share   float64
	Largest float64
}

// ClaimDelay returns how long the candidate holds its claim back.
func (c Candidate) ClaimDelay() time.Duration {
	largest := c.Largest
	if largest == 0 {
		largest = 1
	}
	missing := max(0, 1-c.Share/largest)
	choice := otherCell
	if c.Chosen {
		choice = 0
	}
	return choice + tripWeight*c.Trip + time.Duration(c.Led)*ledPenalty + time.Duration(missing*float64(deference))
}

// Leader is what a leader knows of itself and of the instances linked to it.
type Leader struct {
	Workers int
	Share   float64
	// Largest is the largest share of a linked instance, or 0.
	Largest float64
	// SinceHandOver is the time since this instance last handed a cell over.
	SinceHandOver time.Duration
}

// Outsized says whether the leader should hand its cell over to a larger
// instance.
func (l Leader) Outsized() bool {
	need := float64(l.Workers) * coresPerWorker
	return need > busyShare*l.Share && l.Largest >= worthMoving*l.Share && l.SinceHandOver >= handOverPause
}
