package cell

import (
	"time"

	"poplarvalve/internal/process/jobspec"
)

// verdict says how far a worker is trusted.
type verdict uint8

const (
	trusted verdict = iota
	// suspect workers get work that finds no other place.
	suspect
	// excluded workers get one probe at a time.
	excluded
)

const (
	// excludeAfter is the number of failures of different jobs in a row after
	// which a worker is excluded. A sound worker fails about one run in 40.
	excludeAfter = 3
	// excludePeriod is how long a worker stays excluded before the next run
	// probes it.
	excludePeriod = 2500 * time.Millisecond
	// suspectPeriod is how long one failure or stall counts.
	suspectPeriod = 4 * time.Second
)

// health is what the ends on a worker say about it.
type health struct {
	// failures counts failures of different jobs since the last success.
	failures int
	lastJob  jobspec.ID
	lastBad  time.Time
}

func (h *health) ended(how How, job jobspec.ID, now time.Time) {
	switch how {
	case EndDone:
		h.failures = 0
	case EndFailed:
		if h.lastJob != job || h.failures == 0 {
			h.failures++
		}
		h.lastJob = job
		h.lastBad = now
	}
}

// bad counts a run that stood still or a start that was refused as unhealthy.
func (h *health) bad(now time.Time) {
	h.failures++
	h.lastJob = ""
	h.lastBad = now
}

func (h *health) verdict(now time.Time) verdict {
	if h.failures == 0 {
		return trusted
	}
	age := now.Sub(h.lastBad)
	if h.failures >= excludeAfter && age < excludePeriod {
		return excluded
	}
	if age < suspectPeriod || h.failures >= excludeAfter {
		return suspect
	}
	return trusted
}
