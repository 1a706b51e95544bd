// Package election decides how the leaders of cells change: when an instance
// should claim a cell, how long it delays the claim, when a leader should hand its
// cell to a larger instance, and how many cells a deployment has.
//
// These decisions are preferences. Safety depends only on the log, which accepts
// one of several concurrent claims.
package election

import "time"

const (
	// roundTripWeight is the number of round trips to the log that are added to
	// the claim delay, so that an instance near the log claims first. A leader
	// calls the log for most of its decisions.
	roundTripWeight = 3
	// ledCellDelay is added to the claim delay for each cell that the instance
	// already leads or is about to claim. A small instance that leads two cells
	// of 500 workers is late with its decisions and its term renewals.
	ledCellDelay = 400 * time.Millisecond
	// unpreferredCellDelay is added to the claim delay for a cell that is not the
	// instance's preferred one, so that the cells are spread over the instances.
	unpreferredCellDelay = 100 * time.Millisecond
	// maxSizeDelay is how long the smallest instances delay a claim so that a
	// larger instance can claim first. After a power failure instances come back
	// within 0.3 s of each other.
	maxSizeDelay = 400 * time.Millisecond
	// coresPerWorker is the part of a core that a leader uses for one worker and
	// its tasks. A leader of 490 workers uses 0.23 of a core
	// (docs/measurements.md).
	coresPerWorker = 0.0005
	// maxUtilization is the utilization of a leader's CPU share above which its
	// decisions are late.
	maxUtilization = 0.6
	// minSizeRatio is how many times as large another instance must be for a
	// hand-over to be worth the interruption.
	minSizeRatio = 1.5
	// minHandOverInterval is the shortest time between two hand-overs by one
	// instance. If the larger instance can't claim the cell, the smaller one has
	// to continue to lead it.
	minHandOverInterval = 15 * time.Second
)

// Candidate describes an instance that is about to claim a cell without a leader.
type Candidate struct {
	// RoundTrip is the round-trip time to the log.
	RoundTrip time.Duration
	// LedCells is the number of cells that the instance leads or is about to claim.
	LedCells int
	// Preferred is set if the cell is the instance's preferred one among all cells.
	Preferred bool
	// CPUShare is the part of a core that the instance may use. LargestCPUShare
	// is the share of the largest instance known to the last leader of the cell;
	// 0 means that it is unknown, and one core is assumed.
	CPUShare        float64
	LargestCPUShare float64
}

// ClaimDelay returns how long the candidate waits before it claims the cell. It
// is shorter for instances that are near the log, large, and lead few cells.
func (c Candidate) ClaimDelay() time.Duration {
	largest := c.LargestCPUShare
	if largest == 0 {
		largest = 1
	}
	sizeShortfall := max(0, 1-c.CPUShare/largest)
	preferenceDelay := unpreferredCellDelay
	if c.Preferred {
		preferenceDelay = 0
	}
	return preferenceDelay + roundTripWeight*c.RoundTrip + time.Duration(c.LedCells)*ledCellDelay + time.Duration(sizeShortfall*float64(maxSizeDelay))
}

// LeaderLoad describes the load on the leader of a cell, and the capacity of the
// leader and of the instances linked to it.
type LeaderLoad struct {
	// Workers is the number of workers of the cell.
	Workers int
	// CPUShare is the part of a core that the leader may use.
	CPUShare float64
	// LargestCPUShare is the largest such share among the linked instances, or 0 if
	// none is known.
	LargestCPUShare float64
	// SinceHandOver is the time since this instance last handed over a cell.
	SinceHandOver time.Duration
}

// ShouldHandOver reports whether the leader should hand its cell over to a larger
// instance: the cell needs more than 0.6 of the leader's CPU share, a linked
// instance is at least 1.5 times as large, and the last hand-over was at least
// 15 s ago.
func (l LeaderLoad) ShouldHandOver() bool {
	neededCores := float64(l.Workers) * coresPerWorker
	return neededCores > maxUtilization*l.CPUShare && l.LargestCPUShare >= minSizeRatio*l.CPUShare && l.SinceHandOver >= minHandOverInterval
}
