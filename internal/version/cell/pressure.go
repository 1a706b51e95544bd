package cell

import (
	"math"
	"time"
)

// Pressure says how far the tail latency of a service task is above its
// unloaded level, on a scale from 0 to 1: with an unloaded tail of b, a tail of
// t shows a pressure of 1 - b/t. A queue with utilization p answers in b/(1-p),
// so the pressures of several causes add up although their tails don't.
//
// The pressure on a service task is modeled as the sum of the pressure of its
// own users and, for each best-effort image on the same worker, a coefficient
// of the pair of images times the number of cores that the image uses. Each
// report corrects all terms in proportion to their uncertainty. The variances
// are those of a Kalman filter without covariances.

const (
	// initialCoefficient, in pressure per core, and initialCoefficientVariance
	// are assumed for a pair without reports. Most pairs don't affect each
	// other; some reach a pressure of 0.1 per core.
	initialCoefficient         = 0.012
	initialCoefficientVariance = 0.05 * 0.05
	// restoredVariance is the variance assumed for a coefficient that an earlier
	// leader learned, since variances are not stored.
	restoredVariance = 0.015 * 0.015
	// minVariance is the lowest variance of a coefficient, so that well-known
	// coefficients can still change.
	minVariance = 0.004 * 0.004
	// trialVariance is the variance from which on tasks of a pair are placed
	// one at a time.
	trialVariance = 0.03 * 0.03
	// trialPeriod is the time between two such placements. It is about the time
	// between two reports of a busy worker.
	trialPeriod = 400 * time.Millisecond
	// cautionDeviations is the number of standard deviations by which a
	// coefficient is assumed to be higher than its mean.
	cautionDeviations = 0.25
	// maxCoefficient is the highest coefficient. One core of such a best-effort
	// image is already too much for the service image.
	maxCoefficient = 0.6
	// pressureDeviation is the standard deviation of the pressure computed from
	// a report; tailRoundingMillis is that of a reported tail, in milliseconds.
	pressureDeviation  = 0.03
	tailRoundingMillis = 0.3
	// outlierDeviations limits a correction to this number of standard
	// deviations, because single tails are sometimes far too high.
	outlierDeviations = 3
	// reportAge is the age of the middle of the time span that a report covers.
	reportAge = 250 * time.Millisecond
	// targetShare is the fraction of the pressure at the target that may be
	// used. The rest absorbs changes of the users' load within the age of one
	// report.
	targetShare = 0.9
	// initialUnloadedShare is the unloaded tail, as a fraction of the target,
	// assumed for an image until its first tail is reported.
	initialUnloadedShare = 0.25
)

// imagePair is a service image and a best-effort image that share a worker.
type imagePair struct{ service, bestEffort string }

// coefficient is the learned pressure of a best-effort image on a service
// image.
type coefficient struct {
	// mean is in pressure per core.
	mean, variance float64
	// lastTrial is when a task of the pair was last placed.
	lastTrial time.Time
	// reports is the number of reports of this term that corrected the coefficient, and
	// learnedAt the time of the last one.
	reports   int
	learnedAt time.Time
	usage     usage
}

// upperEstimate returns the mean plus a margin that grows with the uncertainty.
func (k coefficient) upperEstimate() float64 { return k.mean + cautionDeviations*math.Sqrt(k.variance) }

// trialAllowed reports whether a task of the pair may be placed now. While the
// variance is at least trialVariance, one task may be placed per trialPeriod.
func (k coefficient) trialAllowed(now time.Time) bool {
	return k.variance < trialVariance || now.Sub(k.lastTrial) >= trialPeriod
}

// pressureModel holds what was learned about the pressure on service images.
type pressureModel struct {
	coefficients map[imagePair]*coefficient
	// unloadedTails holds the lowest tail seen of each service image, in
	// milliseconds.
	unloadedTails map[string]*imageEstimate
}

func newPressureModel() pressureModel {
	return pressureModel{coefficients: map[imagePair]*coefficient{}, unloadedTails: map[string]*imageEstimate{}}
}

// lookup returns the coefficient of a pair, or the initial one if there is
// none.
func (p *pressureModel) lookup(service, bestEffort string) coefficient {
	if entry := p.coefficients[imagePair{service, bestEffort}]; entry != nil {
		return *entry
	}
	return coefficient{mean: initialCoefficient, variance: initialCoefficientVariance}
}

// ensureEntry returns the stored coefficient of a pair and creates it on first
// use. That of images for which no estimates are kept is not stored.
func (p *pressureModel) ensureEntry(service, bestEffort string) *coefficient {
	entry := p.coefficients[imagePair{service, bestEffort}]
	if entry == nil {
		entry = &coefficient{mean: initialCoefficient, variance: initialCoefficientVariance}
		if keepsEstimates(service, bestEffort) {
			p.coefficients[imagePair{service, bestEffort}] = entry
		}
	}
	return entry
}

// unloadedTail returns the unloaded tail of a service image, in milliseconds.
func (p *pressureModel) unloadedTail(image string, target float64) float64 {
	if lowest := p.unloadedTails[image]; lowest != nil {
		return lowest.value
	}
	return initialUnloadedShare * target
}

// pressureAt returns the pressure that corresponds to a tail.
func (p *pressureModel) pressureAt(image string, tail, target float64) float64 {
	unloaded := p.unloadedTail(image, target)
	if tail <= unloaded {
		return 0
	}
	return 1 - unloaded/tail
}

// allowed returns the highest pressure that the service tasks of an image may
// be under.
func (p *pressureModel) allowed(image string, target float64) float64 {
	return targetShare * p.pressureAt(image, target, target)
}

// tailVariance returns the variance of the pressure computed from a tail.
func (p *pressureModel) tailVariance(image string, tail, target float64) float64 {
	rounding := tailRoundingMillis * p.unloadedTail(image, target) / (tail * tail)
	return pressureDeviation*pressureDeviation + rounding*rounding
}

func (p *pressureModel) recordTail(now time.Time, image string, tail float64) {
	if !keepsEstimates(image) {
		return
	}
	lowest := p.unloadedTails[image]
	if lowest == nil {
		lowest = &imageEstimate{value: tail}
		p.unloadedTails[image] = lowest
	}
	lowest.value = min(lowest.value, tail)
	lowest.usage.mark(now)
}

// learn corrects the load estimate of a service step, and the coefficients of
// the best-effort images that share its worker, by a sample from a report.
func (p *pressureModel) learn(now time.Time, s serviceSample, usage []imageUsage) {
	at := now.Add(-reportAge)
	load := &s.step.userLoad
	loadVariance := load.varianceAt(at)
	totalVariance := loadVariance + s.noise
	residual := s.pressure - load.expectedAt(at)
	for _, u := range usage {
		entry := p.lookup(s.image, u.image)
		residual -= entry.mean * u.cores
		totalVariance += entry.variance * u.cores * u.cores
	}
	limit := outlierDeviations * math.Sqrt(totalVariance)
	residual = math.Min(limit, math.Max(-limit, residual))
	for _, u := range usage {
		entry := p.ensureEntry(s.image, u.image)
		gain := entry.variance * u.cores / totalVariance
		entry.mean = math.Min(maxCoefficient, math.Max(0, entry.mean+gain*residual))
		entry.variance = math.Max(minVariance, entry.variance*(1-gain*u.cores))
		entry.usage.mark(now)
		entry.reports++
		entry.learnedAt = now
	}
	load.correct(at, residual, loadVariance/totalVariance)
}
