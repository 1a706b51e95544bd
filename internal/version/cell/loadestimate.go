package cell

import (
	"math"
	"time"
)

// loadEstimate estimates the pressure that the users of a service step cause on
// its tasks. There is one estimate for all workers, because the tasks of a step
// share their users, so every worker's report corrects it. The estimate
// includes a trend: between two reports of a worker, the load can change by
// more than the pressure that is left for best-effort tasks.
type loadEstimate struct {
	// level is the pressure at updatedAt; slope is its change per second.
	level, slope float64
	// variance is the variance of level.
	variance float64
	// updatedAt is the time of the newest report, or zero before the first.
	updatedAt time.Time
}

const (
	// initialLoad and initialLoadVariance are the pressure and its variance
	// assumed before the first report.
	initialLoad         = 0.35
	initialLoadVariance = 0.05
	// loadVariancePerSecond is the variance added per second since the last
	// report: a load that swings by half of itself within ten seconds changes
	// by about 0.15 per second.
	loadVariancePerSecond = 0.02
	// trendHorizon is how far ahead the trend is extrapolated.
	trendHorizon = 1500 * time.Millisecond
	// maxSlope limits the absolute slope, in pressure per second.
	maxSlope = 0.25
)

// expectedAt returns the expected pressure at a time.
func (l *loadEstimate) expectedAt(at time.Time) float64 {
	if l.updatedAt.IsZero() {
		return initialLoad
	}
	ahead := min(at.Sub(l.updatedAt), trendHorizon)
	return math.Min(1, math.Max(0, l.level+l.slope*ahead.Seconds()))
}

// highestExpected returns the higher of the expected pressures now and at the
// end of the span.
func (l *loadEstimate) highestExpected(now time.Time, span time.Duration) float64 {
	return math.Max(l.expectedAt(now), l.expectedAt(now.Add(span)))
}

// varianceAt returns the variance of the result of expectedAt.
func (l *loadEstimate) varianceAt(at time.Time) float64 {
	if l.updatedAt.IsZero() {
		return initialLoadVariance
	}
	return math.Min(initialLoadVariance, l.variance+loadVariancePerSecond*math.Max(0, at.Sub(l.updatedAt).Seconds()))
}

// correct updates the estimate after a report. residual is the observed
// pressure minus the expected one; gain is the fraction of it that is
// attributed to the load.
func (l *loadEstimate) correct(at time.Time, residual, gain float64) {
	variance := l.varianceAt(at) * (1 - gain)
	if l.updatedAt.IsZero() {
		l.level, l.variance, l.updatedAt = initialLoad+gain*residual, variance, at
		return
	}
	elapsed := at.Sub(l.updatedAt).Seconds()
	l.level = l.expectedAt(at) + gain*residual
	l.variance = variance
	if elapsed <= 0 {
		return
	}
	// The gain of the slope is that of a filter for a constant slope.
	l.slope += gain * gain / (2 - gain) * residual / elapsed
	l.slope = math.Min(maxSlope, math.Max(-maxSlope, l.slope))
	l.updatedAt = at
}
