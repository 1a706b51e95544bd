package cell

import (
	"math"
	"time"
)

// ownLoad estimates the pressure that the own load of a serving step puts on
// its tasks, wherever they run: the tasks of a step share their users, so the
// reports of all workers correct one estimate. It follows the trend, because
// the load moves further between two reports of a worker than the room that is
// left beside it.
type ownLoad struct {
	// level is the pressure at at, slope its change per second.
	level, slope float64
	// variance is that of level.
	variance float64
	// at is the moment of the newest report; zero before the first.
	at time.Time
}

const (
	// initialLoad is the pressure assumed before the first report, with
	// initialVariance.
	initialLoad     = 0.35
	initialVariance = 0.05
	// loadDrift is the variance that a second adds: a load that swings by half
	// of itself within ten seconds moves by about 0.15 a second.
	loadDrift = 0.02
	// trendHorizon is how far ahead the trend is followed.
	trendHorizon = 1500 * time.Millisecond
	// steepest bounds the slope, in pressure per second.
	steepest = 0.25
)

// expect returns the pressure at a moment.
func (l *ownLoad) expect(at time.Time) float64 {
	if l.at.IsZero() {
		return initialLoad
	}
	ahead := min(at.Sub(l.at), trendHorizon)
	return math.Min(1, math.Max(0, l.level+l.slope*ahead.Seconds()))
}

// highest returns the higher of the pressures now and at the end of a span.
func (l *ownLoad) highest(now time.Time, span time.Duration) float64 {
	return math.Max(l.expect(now), l.expect(now.Add(span)))
}

// varianceAt returns the variance of what expect returns.
func (l *ownLoad) varianceAt(at time.Time) float64 {
	if l.at.IsZero() {
		return initialVariance
	}
	return math.Min(initialVariance, l.variance+loadDrift*math.Max(0, at.Sub(l.at).Seconds()))
}

// correct applies the error of an expectation. gain is the part of it that is
// put down to the load.
func (l *ownLoad) correct(at time.Time, miss, gain float64) {
	variance := l.varianceAt(at) * (1 - gain)
	if l.at.IsZero() {
		l.level, l.variance, l.at = initialLoad+gain*miss, variance, at
		return
	}
	since := at.Sub(l.at).Seconds()
	l.level = l.expect(at) + gain*miss
	l.variance = variance
	if since <= 0 {
		return
	}
	// The gain of the slope is that of a filter for a constant slope.
	l.slope += gain * gain / (2 - gain) * miss / since
	l.slope = math.Min(steepest, math.Max(-steepest, l.slope))
	l.at = at
}
