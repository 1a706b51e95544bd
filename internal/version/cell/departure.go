package cell

import (
	"fmt"
	"time"
)

// DrainNotice is what the registry says about the time that is left to a worker.
type DrainNotice struct {
	// Remaining is the least time that was left when the entry was written, if
	// RemainingKnown is set.
	Remaining      time.Duration
	RemainingKnown bool
	// ReadAt is when the entry was read.
	ReadAt time.Time
}

// noticeTolerance is the difference between two notices that the delays of writing and
// reading entries explain.
const noticeTolerance = 500 * time.Millisecond

// Agrees reports whether two notices say the same about when the worker leaves.
func (n DrainNotice) Agrees(other DrainNotice) bool {
	if n.RemainingKnown != other.RemainingKnown {
		return false
	}
	return !n.RemainingKnown || n.end().Sub(other.end()).Abs() < noticeTolerance
}

func (n DrainNotice) end() time.Time { return n.ReadAt.Add(n.Remaining) }

// departure is the notion of a worker that is going to leave, whatever announces it. The
// worker doesn't leave before the time, as far as it keeps its promise, but may do so much
// later, and may stay after all.
type departure struct {
	// expected is set if the worker is going to leave.
	expected bool
	// closed is set if the worker must not get any start.
	closed bool
	// at is the earliest time at which the worker leaves, or zero if it is unknown.
	at time.Time
	// knownSince is when the departure became known in this term, or zero if only an earlier
	// leader has read of it.
	knownSince time.Time
}

// updated returns the departure that a registry entry announces. It keeps the earliest time
// that the entries have named, since each of them is read some time after it was written.
func (d departure) updated(now time.Time, info WorkerInfo) departure {
	if !info.Draining && !info.Notice.RemainingKnown {
		return departure{}
	}
	next := departure{expected: true, closed: info.Draining, at: d.at, knownSince: d.knownSince}
	if next.knownSince.IsZero() {
		next.knownSince = now
	}
	if end := info.Notice.end(); info.Notice.RemainingKnown && (d.at.IsZero() || end.Before(d.at)) {
		next.at = end
	}
	return next
}

// assumedNotice is the time that is assumed to be left if a worker does not say when it
// leaves.
const assumedNotice = 3 * time.Second

// deadline returns the time by which the worker is expected to have left.
func (d departure) deadline() time.Time {
	if d.at.IsZero() {
		return d.knownSince.Add(assumedNotice)
	}
	return d.at
}

// timeLeft returns the time that is left at least.
func (d departure) timeLeft(now time.Time) time.Duration { return max(0, d.deadline().Sub(now)) }

// describe returns the time left for the log.
func (d departure) describe(now time.Time) string {
	if d.at.IsZero() {
		return "time left unknown"
	}
	return fmt.Sprintf("%d ms left", d.timeLeft(now).Milliseconds())
}

// updateDeparture applies what a registry entry says about the departure of a worker.
func (c *Cell) updateDeparture(now time.Time, w *worker, info WorkerInfo) {
	known := w.departure
	w.departure = known.updated(now, info)
	switch {
	case w.departure.expected && (known.knownSince.IsZero() || known.at.IsZero() && !w.departure.at.IsZero()):
		c.effects.DeparturesKnown++
		c.addEvent(DecisionEvent{Event: "departure known", Worker: info.ID, Outcome: w.departure.describe(now) + ", " + w.describeRuns()})
	case known.expected && !w.departure.expected:
		c.addEvent(DecisionEvent{Event: "departure called off", Worker: info.ID, Age: now.Sub(known.knownSince)})
	}
}

// reportMissedDeparture logs what is still on a worker that has left.
func (c *Cell) reportMissedDeparture(now time.Time, w *worker) {
	if !w.departure.expected || len(w.runs) == 0 {
		return
	}
	c.effects.DeparturesMissed++
	c.addEvent(DecisionEvent{Event: "departure missed", Worker: w.info.ID, Outcome: w.departure.describe(now) + ", " + w.describeRuns(), Age: now.Sub(w.departure.knownSince)})
}

// describeRuns returns the numbers of runs on the worker for the log.
func (w *worker) describeRuns() string {
	longRunning := 0
	for _, r := range w.runs {
		if r.task.spec().LongRunning {
			longRunning++
		}
	}
	return fmt.Sprintf("%d long-running and %d other runs", longRunning, len(w.runs)-longRunning)
}

// departingPenalty, in spare cores, makes a worker that is going to leave the last choice for
// a task.
const departingPenalty = 2000

// departureScore rates a worker for a task by its departure.
func (w *worker) departureScore() float64 {
	if w.departure.expected {
		return -departingPenalty
	}
	return 0
}
