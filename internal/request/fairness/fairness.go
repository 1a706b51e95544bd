// Package fairness orders the work that waits for capacity.
//
// Work is ordered by class. Within a class, teams below their reserved minimum
// go first, then the team with the smaller weighted dominant share, then the
// work that has waited longest. Waiting raises batch work step by step up to
// the class of live tasks. In addition, one in agedGrantInterval grants, the
// aged grant, goes to the work that has waited longest. Therefore no work
// starves, and an overload of batch work takes at most that share of the grants
// from urgent work. The owner of a worker passes Less to queue.Queue.Grant when
// capacity is freed.
package fairness

import (
	"time"

	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/rules"
)

const (
	// classRaiseWait is the wait that raises batch work by one class.
	classRaiseWait = 5 * time.Minute
	// agedWait is the wait after which work counts as aged, so that it may get
	// an aged grant.
	agedWait = 2 * classRaiseWait
	// agedGrantInterval is the interval of aged grants: one in so many grants
	// goes by waiting time alone, among aged work.
	agedGrantInterval = 16
)

// Levels of the classes. Work of a higher level goes first.
const (
	levelBatch = iota
	levelFeed
	levelLive
	levelUrgent
)

// Standing compares what a team holds with what it is entitled to.
type Standing struct {
	// Share is the team's dominant share of all capacity, divided by its
	// weight.
	Share float64
	// BelowReserve is set if the team holds less than its reserved minimum of
	// any resource.
	BelowReserve bool
}

// StandingOf returns the standing of a team that holds used of the capacity
// total.
func StandingOf(team rules.Team, used, total resource.Vector) Standing {
	weight := max(team.Weight, 1)
	return Standing{
		Share:        used.DominantShare(total) / float64(weight),
		BelowReserve: isBelowReserve(used, team.Reserve),
	}
}

// isBelowReserve reports whether used is less than reserve in any resource.
func isBelowReserve(used, reserve resource.Vector) bool {
	return !reserve.Fits(used)
}

// WithinQuota reports whether a team that holds used may also get demand. A
// zero entry of the quota means no limit.
func WithinQuota(team rules.Team, used, demand resource.Vector) bool {
	after := used.Add(demand)
	return withinLimit(after.CPU, team.Quota.CPU) &&
		withinLimit(after.Memory, team.Quota.Memory) &&
		withinLimit(after.Accelerators, team.Quota.Accelerators) &&
		withinLimit(after.Slots, team.Quota.Slots) &&
		withinLimit(after.Connections, team.Quota.Connections)
}

func withinLimit(amount, limit int64) bool {
	return limit == 0 || amount <= limit
}

// LeavesReserve reports whether demand may be taken from free without using the
// reserved minimum that other teams have not claimed yet. It is always true for
// urgent and live work, which may use that capacity.
func LeavesReserve(class work.Class, free, unclaimed, demand resource.Vector) bool {
	if class == work.Urgent || class == work.Live {
		return true
	}
	return demand.Fits(free.Sub(unclaimed))
}

// Unclaimed returns the part of a team's reserved minimum that the team does
// not hold yet.
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

// WaitingWork describes work that waits for capacity since a time.
type WaitingWork struct {
	Class    work.Class
	Standing Standing
	Since    time.Time
}

// Grant identifies a grant by its time and its number.
type Grant struct {
	Time time.Time
	// Number is the sequence number of the grant.
	Number uint64
}

// Aged reports whether work that waits since a time has waited so long that it
// may get an aged grant, and may keep a worker reserved until it fits there.
func Aged(since, now time.Time) bool {
	return now.Sub(since) >= agedWait
}

// Less reports whether a is granted before b. For a given grant it is a strict
// weak order.
func Less(a, b WaitingWork, grant Grant) bool {
	if grant.Number%agedGrantInterval == 0 {
		agedA, agedB := Aged(a.Since, grant.Time), Aged(b.Since, grant.Time)
		if agedA != agedB {
			return agedA
		}
		if agedA {
			return a.Since.Before(b.Since)
		}
	}
	levelA, levelB := level(a, grant.Time), level(b, grant.Time)
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

func level(waiting WaitingWork, now time.Time) int {
	switch waiting.Class {
	case work.Urgent:
		return levelUrgent
	case work.Live:
		return levelLive
	case work.Feed:
		return levelFeed
	default:
		raises := int(now.Sub(waiting.Since) / classRaiseWait)
		return min(max(levelBatch+raises, levelBatch), levelLive)
	}
}
