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
// The pressure on a serving image is that of its own load, and for each task
// that fills beside it a coefficient of the pair of images times the cores that
// the task uses. Coefficients are scaled by what each report misses, since the
// pairs differ by orders of magnitude and only a few are bad.

const (
	// unknownCoefficient is assumed for a pair without reports, in pressure per
	// core: the filler is let in, on few cores.
	unknownCoefficient = 0.012
	// learningRate is the part of an error that one report corrects upwards,
	// maxGrowth the most that a coefficient grows by, as a multiple, and decay
	// the most that it shrinks by.
	learningRate = 0.6
	maxGrowth    = 3.0
	decay        = 0.25
	// halfKnown is the number of cores at which a report counts half.
	halfKnown = 1.5
	// leastExpected keeps a small expectation from growing without bound.
	leastExpected = 0.05
	// minCoefficient lets a harmless pair become a bad one again.
	minCoefficient = 0.002
	// maxCoefficient is that of a filler of which one core is too much.
	maxCoefficient = 0.6
	// swing is what the own load alone adds at times. Only what exceeds it is
	// put down to a filler, since most pairs don't disturb each other.
	swing = 0.1
	// baseRate is the weight of one report in the pressure of the own load.
	baseRate = 0.3
	// initialBase is assumed for the own load until the first report.
	initialBase = 0.35
	// targetShare is the part of the pressure at the target that is used; the
	// rest is for the swing of the own load within one report's age.
	targetShare = 0.72
	// unloadedShare is the part of its target that an unloaded tail is taken
	// for until the lowest tail seen replaces it.
	unloadedShare = 0.25
)

// pair is a serving image and an image that fills beside it.
type pair struct{ serving, filling string }

// pressures holds what was learned about serving images.
type pressures struct {
	coefficients map[pair]float64
	// unloaded is the lowest tail of each serving image, in milliseconds.
	unloaded map[string]float64
}

func newPressures() pressures {
	return pressures{coefficients: map[pair]float64{}, unloaded: map[string]float64{}}
}

func (p *pressures) coefficient(serving, filling string) float64 {
	if known, found := p.coefficients[pair{serving, filling}]; found {
		return known
	}
	return unknownCoefficient
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

// serving is what a worker's report says about one serving image.
type serving struct {
	image  string
	target float64
	// pressure is the mean over the tasks of the image, allowed the most that
	// keeps the tail within the target.
	pressure float64
	allowed  float64
	worst    float64
	count    int
}

// observe returns the serving images on a worker with their pressures.
func (c *Cell) observe(now time.Time, w *worker) []serving {
	var seen []serving
	for r := range w.runs {
		if !r.atWork(now) {
			continue
		}
		image, target, tail := r.task.spec().Image, r.task.spec().TargetMillis, float64(r.gauge)
		c.pressures.seeTail(image, tail)
		seen = addServing(seen, image, target)
		for i := range seen {
			if seen[i].image == image {
				seen[i].pressure += c.pressures.of(image, tail, target)
				seen[i].worst = max(seen[i].worst, tail/target)
				seen[i].count++
			}
		}
	}
	for i := range seen {
		seen[i].pressure /= float64(seen[i].count)
		seen[i].allowed = targetShare * c.pressures.of(seen[i].image, seen[i].target, seen[i].target)
	}
	return seen
}

func addServing(seen []serving, image string, target float64) []serving {
	for i := range seen {
		if seen[i].image == image {
			seen[i].target = min(seen[i].target, target)
			return seen
		}
	}
	return append(seen, serving{image: image, target: target})
}

// startup is how long after its start the tail of a serving task says nothing.
const startup = 1500 * time.Millisecond

// atWork says whether the run serves and has reported a tail worth using.
func (r *run) atWork(now time.Time) bool {
	return r.task.serves() && r.phase == running && r.gauge > 0 && now.Sub(r.answered) > startup
}

func (p *pressures) seeTail(image string, tail float64) {
	if known, found := p.unloaded[image]; !found || tail < known {
		p.unloaded[image] = tail
	}
}

// learn corrects the coefficients of one serving image by a report, and
// returns the pressure of its own load.
func (p *pressures) learn(s serving, base float64, w *worker) float64 {
	expected := 0.0
	cores := map[string]float64{}
	for r := range w.runs {
		if r.fills() && r.gauge > 0 {
			cores[r.task.spec().Image] += float64(r.gauge) / 1000
		}
	}
	for image, used := range cores {
		expected += p.coefficient(s.image, image) * used
	}
	p.correct(s.image, cores, expected, s.pressure-base-expected)
	return base + baseRate*(math.Max(0, s.pressure-expected)-base)
}

// correct scales the coefficients of the images that were at work by what a
// report missed. Those that are believed to do most of the harm are scaled most,
// so that an image that was harmless elsewhere isn't blamed for its neighbour.
func (p *pressures) correct(image string, cores map[string]float64, expected, miss float64) {
	if len(cores) == 0 {
		return
	}
	largest := 0.0
	for filling, used := range cores {
		largest = math.Max(largest, p.coefficient(image, filling)*used)
	}
	for filling, used := range cores {
		known := p.coefficient(image, filling)
		share := known * used / largest
		certainty := used / (used + halfKnown)
		switch {
		case miss > swing:
			growth := math.Min(maxGrowth, learningRate*(miss-swing)/math.Max(expected, leastExpected))
			known *= 1 + growth*share*certainty
		case miss < 0:
			known *= 1 - decay*math.Min(1, -miss/math.Max(expected, leastExpected))*certainty
		}
		p.coefficients[pair{image, filling}] = math.Min(maxCoefficient, math.Max(minCoefficient, known))
	}
}
