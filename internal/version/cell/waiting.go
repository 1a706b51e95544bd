package cell

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// waitReportAge is how long a ready task waits before the reason is logged.
	waitReportAge = 3 * time.Second
	// waitReportPeriod limits the log to one line about a waiting task per period.
	waitReportPeriod = time.Second
)

// obstacle is the first reason for which a worker does not get a task.
type obstacle uint8

const (
	noObstacle obstacle = iota
	obstacleUnlisted
	obstacleNotRenewed
	obstacleUnresponsive
	obstacleNotStored
	obstacleBound
	obstacleDraining
	obstacleEvacuated
	obstacleUnknownRuns
	obstacleRefused
	obstaclePolicy
	obstacleFull
	obstacleNoTicket
	obstacleExcluded
	obstacleUnsuitable
	obstacleReserve
	obstacleCount
)

var obstacleNames = [obstacleCount]string{"available", "unlisted", "not renewed", "unresponsive", "not stored as in use", "leases bound", "draining", "in an evacuated zone",
	"unknown runs", "refused a start", "other pool or label", "full", "no ticket", "excluded", "unsuitable", "reserved"}

func (o obstacle) String() string { return obstacleNames[o] }

// obstacleTo returns the first reason for which the worker does not get the task
// now.
func (c *Cell) obstacleTo(now time.Time, t *task, w *worker) obstacle {
	switch {
	case !w.registered:
		return obstacleUnlisted
	case !w.renewed:
		return obstacleNotRenewed
	case w.unresponsive:
		return obstacleUnresponsive
	case !w.storedInUse():
		return obstacleNotStored
	case w.binding != unbound:
		return obstacleBound
	case w.departure.closed:
		return obstacleDraining
	case w.evacuated:
		return obstacleEvacuated
	case w.hasUnknownRuns:
		return obstacleUnknownRuns
	case now.Before(w.startsBlockedUntil):
		return obstacleRefused
	case !w.policyAllows(t):
		return obstaclePolicy
	case !w.free().canHold(t.size()):
		return obstacleFull
	case !t.adviceAllows(now, w):
		return obstacleNoTicket
	case w.trust(now) == excluded:
		return obstacleExcluded
	}
	if _, reason := c.score(now, t, w); reason != suitable {
		return obstacleUnsuitable
	}
	if c.blockedByReserve(now, t) {
		return obstacleReserve
	}
	return noObstacle
}

// reportWaiting logs why the task that has been ready for the longest time has no
// run, if that time exceeds waitReportAge.
func (c *Cell) reportWaiting(now time.Time) {
	if len(c.readyTasks) == 0 || now.Sub(c.waitReportedAt) < waitReportPeriod {
		return
	}
	t := slices.MinFunc(c.readyTasks, func(a, b *task) int { return a.readySince.Compare(b.readySince) })
	if now.Sub(t.readySince) < waitReportAge || len(t.runs) > 0 {
		return
	}
	c.waitReportedAt = now
	c.addEvent(DecisionEvent{Event: "task waiting", Task: t.id(), Run: t.lastRun + 1, Outcome: c.describeObstacles(now, t), Age: now.Sub(t.readySince)})
}

// reportUnopened logs how many jobs have an occurrence that is due and finds no room among the
// open tasks, with the first of them.
func (c *Cell) reportUnopened(now time.Time) {
	if len(c.unopenedJobs) == 0 || now.Sub(c.unopenedReportedAt) < waitReportPeriod {
		return
	}
	c.unopenedReportedAt = now
	first := c.unopenedJobs[0]
	c.addEvent(DecisionEvent{Event: "occurrences wait", Task: TaskID{Job: first.id, Occurrence: first.opened},
		Outcome: fmt.Sprintf("%d jobs, %d tasks open", len(c.unopenedJobs), c.open.total()), Age: now.Sub(first.acceptedAt)})
}

// describeRecovery tells for which workers of earlier terms a task waits, how many of them have
// left the registry, and for how long the leader waits for the last of them.
func (c *Cell) describeRecovery(now time.Time, t *task) string {
	if only := t.confinedEarlier; only != nil {
		left := leftMillis(now, c.leaseEnd(c.workers[only.worker]))
		return fmt.Sprintf("it may still run on %s, for up to %d ms", only.worker, left)
	}
	unlisted, left := 0, int64(0)
	for id := range c.recovering {
		w := c.workers[id]
		if !w.registered {
			unlisted++
		}
		left = max(left, leftMillis(now, c.leaseEnd(w)))
	}
	return fmt.Sprintf("%d workers (%d unlisted) may still run tasks of an earlier term, for up to %d ms", len(c.recovering), unlisted, left)
}

// describeObstacles returns the number of workers for each obstacle to a task.
func (c *Cell) describeObstacles(now time.Time, t *task) string {
	if c.awaitsEvacuations() {
		return "the evacuated zones are not known"
	}
	if !c.mayStart() {
		return "starts are paused"
	}
	if c.mayRunElsewhere(now, t) {
		return c.describeRecovery(now, t)
	}
	var counts [obstacleCount]int
	var reasons unsuitableWorkers
	for _, w := range c.sortedWorkers() {
		o := c.obstacleTo(now, t, w)
		counts[o]++
		if o == obstacleUnsuitable {
			reasons.add(c, now, t, w)
		}
	}
	var parts []string
	for o, count := range counts {
		if count > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", count, obstacle(o)))
		}
		if obstacle(o) == obstacleUnsuitable && count > 0 {
			parts[len(parts)-1] += reasons.describe(now)
		}
	}
	if t.spec().LongRunning && !t.overdue(now) {
		parts = append(parts, "ranked behind short tasks")
	}
	if c.held.places > 0 {
		parts = append(parts, fmt.Sprintf("room held for %d tasks of earlier terms", c.held.places))
	}
	return strings.Join(parts, ", ")
}
