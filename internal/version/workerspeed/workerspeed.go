// Package workerspeed estimates how much slower than usual each worker runs its tasks, from the
// progress of what runs there.
//
// The estimate of a worker weighs two hypotheses: that it has its usual speed, or that it is
// several times slower, as a cold or degraded worker is. Evidence is the rate at which tasks
// advance, relative to the expected duration of their images and to the rest of the fleet. It
// loses weight as it ages, so that a worker without tasks is tried again. All values are
// logarithms to base 2 of the factor by which a task takes longer than expected.
package workerspeed

import (
	"math"
	"slices"
	"time"
)

const (
	// usualVariance is the variance among workers of usual speed, of one kind of machine.
	usualVariance = 0.16
	// slowLog and slowVariance describe slow workers: degraded ones take 5 to 9 times as long,
	// cold ones an unknown multiple.
	slowLog      = 2.6
	slowVariance = 0.5
	// minSlowShare and maxSlowShare limit the share of slow workers that is assumed before any
	// evidence. coldShare takes its place for a worker that is known to be cold.
	minSlowShare = 0.01
	maxSlowShare = 0.2
	coldShare    = 0.9
	// slowAbove and recoveredBelow are the probabilities at which a worker becomes known as
	// slow, and at which it stops to be. They differ so that single tasks don't change it back
	// and forth.
	slowAbove      = 0.9
	recoveredBelow = 0.4
	// evidenceHalfLife is the time in which evidence loses half its weight. With maxPrecision,
	// a slow worker without tasks is tried again after about as long as a degradation lasts.
	evidenceHalfLife = 1500 * time.Millisecond
	maxPrecision     = 16
	// negligiblePrecision is the weight below which evidence is ignored.
	negligiblePrecision = 0.01
	// changeLog is the least difference that shows a change of speed, beside twice the
	// standard deviation. What was learned before is dropped then.
	changeLog = 1
	// negligibleFactor is the factor, or its inverse, up to which a worker counts as usual:
	// placement would otherwise follow noise.
	negligibleFactor = 1.25
	// typicalSlowness is how long a degradation lasts, and leastSlowness what is assumed to be
	// left near its end. A worker that is slow for longer is taken to stay slow for as long as
	// it has been already.
	typicalSlowness = 6 * time.Second
	leastSlowness   = time.Second
	// maxFleetLog limits the correction for the whole fleet.
	maxFleetLog = 3
)

// Change is how the assessment of a worker has changed.
type Change uint8

const (
	Unchanged Change = iota
	BecameSlow
	Recovered
)

// Estimate is what is known of the speed of one worker. The zero value is a worker about which
// nothing is known.
type Estimate struct {
	// live is the evidence of the runs in the last report, and liveAt the time of that report.
	// past is that of ended runs, as of pastAt.
	live, past     sample
	liveAt, pastAt time.Time
	observedAt     time.Time
	// log is that of all evidence at assessedAt.
	log        float64
	assessedAt time.Time
	coldUntil  time.Time
	// probability is that of being slow. factor is the expected one; 0 stands for 1.
	probability, factor float64
	// fleetLog is the correction for the whole fleet that factor takes into account.
	fleetLog  float64
	slow      bool
	slowSince time.Time
}

// Fleet is what the estimates of single workers are relative to.
type Fleet struct {
	// log corrects the expected durations if more than half of the workers differ from them.
	log float64
	// slowShare is the share of workers that are known as slow.
	slowShare float64
}

// NewFleet compares the workers with each other, as of their last assessments. A worker without
// evidence counts as usual.
func NewFleet(estimates []*Estimate) Fleet {
	if len(estimates) == 0 {
		return Fleet{}
	}
	logs := make([]float64, len(estimates))
	slow := 0
	for i, e := range estimates {
		logs[i] = e.log
		if e.slow {
			slow++
		}
	}
	slices.Sort(logs)
	median := logs[(len(logs)-1)/2]
	return Fleet{log: min(max(median, -maxFleetLog), maxFleetLog), slowShare: float64(slow) / float64(len(estimates))}
}

// ObserveRuns records the progress of all runs of a worker that may be evidence.
func (e *Estimate) ObserveRuns(now time.Time, runs []*Progress) {
	logs := make([]float64, 0, 64) // Few workers run more; it stays on the stack.
	precision := 0.0
	e.observedAt = now
	for _, p := range runs {
		if p.sample.precision > 0 {
			logs = append(logs, p.sample.log)
			precision += p.sample.precision
		}
	}
	if len(logs) == 0 {
		e.live = sample{}
		return
	}
	// The lower median: one run that stands still doesn't make its worker slow.
	slices.Sort(logs)
	e.live = sample{logs[(len(logs)-1)/2], precision}
	e.liveAt = now
	if past := e.past.aged(now.Sub(e.pastAt)); past.contradicts(e.live) {
		e.past = sample{}
	}
}

// ObserveEnd records that a run has ended, as far as its progress was observed.
func (e *Estimate) ObserveEnd(now time.Time, p *Progress) {
	if p.sample.precision == 0 {
		return
	}
	past := e.past.aged(now.Sub(e.pastAt))
	if past.contradicts(p.sample) {
		past = sample{}
	}
	e.past, e.pastAt = past.plus(p.sample), now
}

// ObservedAt returns when the progress of the worker's runs was last observed.
func (e *Estimate) ObservedAt() time.Time { return e.observedAt }

// AssessedAt returns when the estimate was last brought up to date.
func (e *Estimate) AssessedAt() time.Time { return e.assessedAt }

func (s sample) aged(age time.Duration) sample {
	if s.precision == 0 || age <= 0 {
		return s
	}
	return sample{s.log, s.precision * math.Exp2(-float64(age)/float64(evidenceHalfLife))}
}

func (s sample) plus(other sample) sample {
	precision := s.precision + other.precision
	if precision == 0 {
		return sample{}
	}
	return sample{(s.log*s.precision + other.log*other.precision) / precision, min(precision, maxPrecision)}
}

// contradicts reports whether two samples can't be of one speed.
func (s sample) contradicts(other sample) bool {
	if s.precision == 0 || other.precision == 0 {
		return false
	}
	return math.Abs(s.log-other.log) > changeLog+2*math.Sqrt(1/s.precision+1/other.precision)
}

// evidence returns all evidence about the worker by the weight that it has now.
func (e *Estimate) evidence(now time.Time) sample {
	return e.past.aged(now.Sub(e.pastAt)).plus(e.live.aged(now.Sub(e.liveAt)))
}

// Assess brings the estimate up to date. coldUntil is until when the worker is cold, or zero.
func (e *Estimate) Assess(now time.Time, fleet Fleet, coldUntil time.Time) Change {
	if !e.coldUntil.IsZero() && !now.Before(e.coldUntil) {
		e.live, e.past, e.coldUntil = sample{}, sample{}, time.Time{} // It was learned while the worker was cold.
	}
	cold := now.Before(coldUntil)
	if cold {
		e.coldUntil = coldUntil
	}
	share := min(max(fleet.slowShare, minSlowShare), maxSlowShare)
	if cold {
		share = coldShare
	}
	evidence := e.evidence(now)
	if evidence.precision < negligiblePrecision {
		evidence = sample{}
	}
	e.log, e.assessedAt = evidence.log, now
	if evidence.precision == 0 && !cold && !e.slow && share == minSlowShare {
		e.probability, e.factor = share, 1
		return Unchanged
	}
	usual, slow := hypothesis{0, usualVariance}, hypothesis{slowLog, slowVariance}
	evidence.log -= fleet.log
	e.fleetLog = fleet.log
	usualWeight, slowWeight := (1-share)*usual.likelihood(evidence), share*slow.likelihood(evidence)
	e.probability = slowWeight / (usualWeight + slowWeight)
	// The mean of the logarithms: a task on a worker that turns out to be slow can be moved, so
	// that a small probability weighs little.
	e.factor = math.Exp2((1-e.probability)*usual.mean(evidence) + e.probability*slow.mean(evidence))
	if e.factor < negligibleFactor && e.factor > 1/negligibleFactor {
		e.factor = 1
	}
	return e.judge(now, evidence.precision > 0)
}

// judge updates whether the worker is known as slow. Without evidence it is not, however cold
// it may be.
func (e *Estimate) judge(now time.Time, known bool) Change {
	switch {
	case !e.slow && known && e.probability >= slowAbove:
		e.slow, e.slowSince = true, now
		return BecameSlow
	case e.slow && e.probability <= recoveredBelow:
		e.slow = false
		return Recovered
	}
	return Unchanged
}

// hypothesis is a normal distribution of the logarithm.
type hypothesis struct{ log, variance float64 }

// likelihood returns the density of evidence under the hypothesis. Tasks that end sooner than
// expected show no more than those that end as expected.
func (h hypothesis) likelihood(evidence sample) float64 {
	if evidence.precision == 0 {
		return 1
	}
	evidence.log = max(evidence.log, 0)
	variance := h.variance + 1/evidence.precision
	// The floor keeps the ratio of two densities finite for evidence that is far from both.
	return max(math.Exp(-(evidence.log-h.log)*(evidence.log-h.log)/(2*variance))/math.Sqrt(variance), math.SmallestNonzeroFloat32)
}

// mean returns the expectation under the hypothesis, given evidence.
func (h hypothesis) mean(evidence sample) float64 {
	return (h.log/h.variance + evidence.log*evidence.precision) / (1/h.variance + evidence.precision)
}

// IsSlow reports whether the worker is known as slow.
func (e *Estimate) IsSlow() bool { return e.slow }

// SlowSince returns since when the worker is, or was last, known as slow.
func (e *Estimate) SlowSince() time.Time { return e.slowSince }

// Factor returns how many times as long as usual a task is expected to take, as long as the
// worker keeps its present speed. It is 1 unless the worker is known as slow, is cold, or most
// others are slow: placement that follows weaker evidence gives up good pairs of images for noise.
func (e *Estimate) Factor() float64 {
	if e.factor == 0 || !e.slow && e.coldUntil.IsZero() && e.fleetLog < changeLog {
		return 1
	}
	return e.factor
}

// Probability returns the probability that the worker is slow.
func (e *Estimate) Probability() float64 { return e.probability }

// slownessLeft returns for how long the worker is expected to keep its present speed. A worker
// that differs little, as a smaller machine does, is taken to differ for good.
func (e *Estimate) slownessLeft(now time.Time) (left time.Duration, ends bool) {
	if now.Before(e.coldUntil) {
		return e.coldUntil.Sub(now), true
	}
	if !e.slow {
		return typicalSlowness, e.factor > math.Exp2(slowLog/2)
	}
	age := now.Sub(e.slowSince)
	if age < typicalSlowness {
		return max(typicalSlowness-age, leastSlowness), true
	}
	return age, true
}

// Expected returns how long work takes on the worker that takes the given time on a usual one.
func (e *Estimate) Expected(now time.Time, work time.Duration) time.Duration {
	factor := e.Factor()
	if factor == 1 {
		return work
	}
	slow := time.Duration(factor * float64(work))
	left, ends := e.slownessLeft(now)
	if !ends || factor < 1 || slow <= left {
		return slow
	}
	return left + work - time.Duration(float64(left)/factor)
}
