package workerspeed

import (
	"math"
	"time"
)

const (
	// minWindow and maxWindow limit the time over which the rate of a run is measured. It is
	// longer for long tasks, since progress is reported in whole percents.
	minWindow = 400 * time.Millisecond
	maxWindow = 3 * time.Second
	// windowShare is the share of its expected duration over which the rate of a run is
	// measured, within these limits.
	windowShare = 0.05
	// earliestSample is the time after which a run is first evidence. Over a shorter time, the
	// delay of reports would decide.
	earliestSample = 200 * time.Millisecond
	// estimateVariance is the variance of the logarithm of the duration of one task around that
	// of its image: estimates are off by a factor of up to two.
	estimateVariance = 0.36
	// percentDeviation is the standard deviation of a difference of two whole percents.
	percentDeviation = 0.41
	// maxLogFactor limits the evidence of one run. A run that stands still shows more about
	// itself than about the speed of its worker.
	maxLogFactor = 4
)

// point is the progress of a run at a time.
type point struct {
	at      time.Time
	percent int
}

// Progress measures how fast one run advances. The zero value is a run that has not been
// observed.
type Progress struct {
	// from and middle are the beginnings of the last two windows. The rate is measured since
	// middle once half a window has passed, so that a change of speed shows soon.
	from, middle point
	sample       sample
}

// sample is evidence about the factor by which a worker is slower than expected, as a
// logarithm to base 2.
type sample struct {
	log, precision float64
}

// Discard makes all observations so far no evidence.
func (p *Progress) Discard() { *p = Progress{} }

// HasBegun reports whether the run has been observed since it began or was discarded.
func (p *Progress) HasBegun() bool { return !p.from.at.IsZero() }

// Begin records that the run has begun at a time, without any progress.
func (p *Progress) Begin(now time.Time) { *p = Progress{from: point{at: now}, middle: point{at: now}} }

// Observe records the progress of a run in percent. expected is the duration of the whole task
// on a worker of usual speed.
func (p *Progress) Observe(now time.Time, percent int, expected time.Duration) {
	if p.from.at.IsZero() || percent < p.from.percent || percent < p.middle.percent {
		*p = Progress{from: point{now, percent}, middle: point{now, percent}}
		return
	}
	if expected <= 0 || p.middle.percent >= 100 {
		return
	}
	window := min(max(time.Duration(windowShare*float64(expected)), minWindow), maxWindow)
	start := p.from
	if now.Sub(p.middle.at) >= window/2 {
		start = p.middle
	}
	if elapsed := now.Sub(start.at); elapsed >= earliestSample || percent >= 100 {
		p.sample = measure(elapsed, percent-start.percent, expected)
	}
	if now.Sub(p.middle.at) >= window {
		p.from, p.middle = p.middle, point{now, percent}
	}
}

// measure returns the evidence of an advance by some percent within a time.
func measure(elapsed time.Duration, percent int, expected time.Duration) sample {
	if elapsed <= 0 {
		return sample{}
	}
	advance := max(float64(percent), 1)
	log := math.Log2(elapsed.Seconds() * 100 / (advance * expected.Seconds()))
	if percent == 0 && log <= 0 {
		return sample{} // Less time has passed than one percent takes.
	}
	deviation := percentDeviation / advance / math.Ln2
	return sample{min(max(log, -maxLogFactor), maxLogFactor), 1 / (estimateVariance + deviation*deviation)}
}
