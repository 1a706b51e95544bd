// Package fairness orders the work that waits for capacity.
//
// Class goes first, then teams below their reserved minimum, then the smaller
// weighted dominant share, then the longer wait. Waiting raises batch work up
// to the class of live tasks, and one grant in agedTurn goes to the work that
// has waited longest, so that none starves and an overload of batch work takes
// at most that share of the grants from urgent work. The owner of a worker
// passes Less to queue.Queue.Grant when capacity is freed.
package fairness

import (
	"time"

	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/rules"
)

const (
	// ageStep is the wait that raises batch work by one class.
	ageStep = 5 * time.Minute
	// agedAfter is the wait after which work may go first in an aged turn.
	agedAfter = 2 * ageStep
	// agedTurn is the number of grants of which one goes by age alone.
	agedTurn = 16
)

// The order of classes; a higher level goes first.
const (
	levelBatch = iota
	levelFeed
	levelLive
	levelUrgent
)

// Standing is how much a team holds against what it is due.
type Standing struct {
	// Share is the dominant share of all capacity, divided by the weight.
	Share float64
	// BelowReserve is whether the team holds less than its reserved minimum in
	// an entry that the reserve names.
	BelowReserve bool
}

// Stand returns the standing of a team that holds used of total.
func Stand(team rules.Team, used, total resource.Vector) Standing {
	weight := max(team.Weight, 1)
	return Standing{
		Share:        used.DominantShare(total) / float64(weight),
		BelowReserve: below(used, team.Reserve),
	}
}

// below reports whether used is less than reserve in an entry.
func below(used, reserve resource.Vector) bool {
	return !reserve.Fits(used)
}

// WithinQuota reports whether a team that holds used may get demand as well. A
// zero entry of the quota has no limit.
func WithinQuota(team rules.Team, used, demand resource.Vector) bool {
	after := used.Add(demand)
	return within(after.CPU, team.Quota.CPU) &&
		within(after.Memory, team.Quota.Memory) &&
		within(after.Accelerators, team.Quota.Accelerators) &&
		within(after.Slots, team.Quota.Slots) &&
		within(after.Connections, team.Quota.Connections)
}

func within(amount, limit int64) bool {
	return limit == 0 || amount <= limit
}

// LeavesReserve reports whether demand may be taken from free without touching
// the reserved minimum that other teams have not taken up yet. Urgent and live
// work is not held to it.
func LeavesReserve(class work.Class, free, unclaimed, demand resource.Vector) bool {
	if class == work.Urgent || class == work.Live {
		return true
	}
	return demand.Fits(free.Sub(unclaimed))
}

// Unclaimed returns what a team may still take of its reserved minimum.
func Unclaimed(team rules.Team, used resource.Vector) resource.Vector {
	left := team.Reserve.Sub(used)
	return resource.Vector{
		CPU:          max(left.CPU, 0),
		Memory:       max(left.Memory, 0),
		Accelerators: max(left.Accelerators, 0),
		Slots:        max(left.Slots, 0),
		Connections:  max(left.Connections, 0),
	}
}

// Waiting is work that waits for capacity.
type Waiting struct {
	Class    work.Class
	Standing Standing
	Since    time.Time
}

// Moment is when a grant is made.
type Moment struct {
	Now time.Time
	// Turn is the number of the grant.
	Turn uint64
}

// Aged reports whether work has waited so long that it may go first in an aged
// turn and may hold a worker until it fits.
func Aged(since, now time.Time) bool {
	return now.Sub(since) >= agedAfter
}

// Less reports whether a is granted before b. It is a strict weak order for a
// given moment.
func Less(a, b Waiting, at Moment) bool {
	if at.Turn%agedTurn == 0 {
		agedA, agedB := Aged(a.Since, at.Now), Aged(b.Since, at.Now)
		if agedA != agedB {
			return agedA
		}
		if agedA {
			return a.Since.Before(b.Since)
		}
	}
	levelA, levelB := level(a, at.Now), level(b, at.Now)
	if levelA != levelB {
		return levelA > levelB
	}
	if a.Standing.BelowReserve != b.Standing.BelowReserve {
		return a.Standing.BelowReserve
	}
	if a.Standing.Share != b.Standing.Share {
		return a.Standing.Share < b.Standing.Share
	}
	return a.Since.Before(b.Since)
}

func level(waiting Waiting, now time.Time) int {
	switch waiting.Class {
	case work.Urgent:
		return levelUrgent
	case work.Live:
		return levelLive
	case work.Feed:
		return levelFeed
	default:
		steps := int(now.Sub(waiting.Since) / ageStep)
		return min(max(levelBatch+steps, levelBatch), levelLive)
	}
}
