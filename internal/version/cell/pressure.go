package cell

import (
	"math"
	"time"
)

// Pressure is how far a serving task's tail is from its unloaded level, from 0
// to 1: with the unloaded tail b, a tail t shows a pressure of 1 - b/t. A queue
// answers in b/(1-p), so that the pressures of several causes add up where
// their tails don't.
//
// The pressure on a serving task is that of its step's own load, and for each
// task that fills beside it a coefficient of the pair of images times the cores
// that the task uses. A report corrects both in proportion to what is not known
// of each: the variances are those of a Kalman filter without covariances.

const (
	// unknownCoefficient is assumed for a pair without reports, in pressure per
	// core, with unknownVariance. Most pairs don't disturb each other and some
	// do by a tenth of the whole per core.
	unknownCoefficient = 0.012
	unknownVariance    = 0.05 * 0.05
	// learnedVariance is that of a pair that an earlier leader learned.
	learnedVariance = 0.015 * 0.015
	// leastVariance lets a pair that is well known change.
	leastVariance = 0.004 * 0.004
	// trialVariance is that of a pair of which one task at a time is tried.
	trialVariance = 0.03 * 0.03
	// trialPeriod is the time between two such tasks. A busy worker reports
	// about as often.
	trialPeriod = 400 * time.Millisecond
	// caution is the number of standard deviations by which a pair is taken to
	// be worse than believed.
	caution = 0.25
	// maxCoefficient is that of a filler of which one core is too much.
	maxCoefficient = 0.6
	// reportNoise is the standard deviation of a pressure that a report shows,
	// tailRounding that of a tail in milliseconds.
	reportNoise  = 0.03
	tailRounding = 0.3
	// outlier is the number of standard deviations beyond which a report
	// counts no more: single tails are far too high at times.
	outlier = 3
	// reportAge is how old the middle of the span is that a report covers.
	reportAge = 250 * time.Millisecond
	// targetShare is the part of the pressure at the target that is used; the
	// rest is for the swing of the own load within one report's age.
	targetShare = 0.9
	// unloadedShare is the part of its target that an unloaded tail is taken
	// for until the lowest tail seen replaces it.
	unloadedShare = 0.25
)

// pair is a serving image and an image that fills beside it.
type pair struct{ serving, filling string }

// coefficient is what is known of a pair.
type coefficient struct {
	// mean is in pressure per core.
	mean, variance float64
	// tried is when a task was last placed while little was known.
	tried time.Time
}

// cautious returns a coefficient that is higher the less is known.
func (k coefficient) cautious() float64 { return k.mean + caution*math.Sqrt(k.variance) }

// mayTry says whether a task may be placed: of a pair of which little is known,
// one at a time.
func (k coefficient) mayTry(now time.Time) bool {
	return k.variance < trialVariance || now.Sub(k.tried) >= trialPeriod
}

// pressures holds what was learned about serving images.
type pressures struct {
	coefficients map[pair]*coefficient
	// unloaded is the lowest tail of each serving image, in milliseconds.
	unloaded map[string]float64
}

func newPressures() pressures {
	return pressures{coefficients: map[pair]*coefficient{}, unloaded: map[string]float64{}}
}

// pair returns what is known of a pair.
func (p *pressures) pair(serving, filling string) coefficient {
	if known := p.coefficients[pair{serving, filling}]; known != nil {
		return *known
	}
	return coefficient{mean: unknownCoefficient, variance: unknownVariance}
}

// entry returns the kept state of a pair.
func (p *pressures) entry(serving, filling string) *coefficient {
	known := p.coefficients[pair{serving, filling}]
	if known == nil {
		known = &coefficient{mean: unknownCoefficient, variance: unknownVariance}
		p.coefficients[pair{serving, filling}] = known
	}
	return known
}

// floor returns the unloaded tail of a serving image.
func (p *pressures) floor(image string, target float64) float64 {
	if known, found := p.unloaded[image]; found {
		return known
	}
	return unloadedShare * target
}

// of returns the pressure that a tail shows.
func (p *pressures) of(image string, tail, target float64) float64 {
	floor := p.floor(image, target)
	if tail <= floor {
		return 0
	}
	return 1 - floor/tail
}

// allowed returns the pressure up to which serving tasks of an image may be
// disturbed.
func (p *pressures) allowed(image string, target float64) float64 {
	return targetShare * p.of(image, target, target)
}

// noise returns the variance of the pressure that a tail shows.
func (p *pressures) noise(image string, tail, target float64) float64 {
	rounding := tailRounding * p.floor(image, target) / (tail * tail)
	return reportNoise*reportNoise + rounding*rounding
}

func (p *pressures) seeTail(image string, tail float64) {
	if known, found := p.unloaded[image]; !found || tail < known {
		p.unloaded[image] = tail
	}
}

// learn corrects the own load of a serving step and the coefficients of what
// fills beside it by what a report of one worker shows.
func (p *pressures) learn(now time.Time, s serving, fillers []use) {
	at := now.Add(-reportAge)
	load := &s.step.load
	loadVariance := load.varianceAt(at)
	total := loadVariance + s.noise
	miss := s.pressure - load.expect(at)
	for _, f := range fillers {
		known := p.pair(s.image, f.image)
		miss -= known.mean * f.cores
		total += known.variance * f.cores * f.cores
	}
	limit := outlier * math.Sqrt(total)
	miss = math.Min(limit, math.Max(-limit, miss))
	for _, f := range fillers {
		known := p.entry(s.image, f.image)
		gain := known.variance * f.cores / total
		known.mean = math.Min(maxCoefficient, math.Max(0, known.mean+gain*miss))
		known.variance = math.Max(leastVariance, known.variance*(1-gain*f.cores))
	}
	load.correct(at, miss, loadVariance/total)
}
