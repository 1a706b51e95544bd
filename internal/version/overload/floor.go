package overload

import (
	"math"
	"time"
)

// Floors let some small and some of the largest jobs through that would be refused, so that no
// size of job is shut out for the whole of an overload. Each of the two has a part of the
// capacity. The zero value is ready for use.
type Floors struct {
	small, large       allowance
	lowBound, topBound quantile
}

const (
	// smallQuantile and largeQuantile are the quantiles of the work of jobs below and above
	// which a job is small or one of the largest.
	smallQuantile = 0.25
	largeQuantile = 0.9
	// floorShare is the part of the capacity that each floor gets.
	floorShare = 0.01
	// floorBurst is the time for which an unused floor is saved up.
	floorBurst = 5 * time.Second
)

// Observe takes the work of a submitted job into account.
func (f *Floors) Observe(work float64) {
	f.lowBound.observe(smallQuantile, work)
	f.topBound.observe(largeQuantile, work)
}

// Allow reports whether a job that would be refused is accepted under a floor, and charges it.
func (f *Floors) Allow(now time.Time, work, capacity float64) bool {
	switch {
	case work > f.topBound.value:
		return f.large.take(now, work, floorShare*capacity)
	case work < f.lowBound.value:
		return f.small.take(now, work, floorShare*capacity)
	}
	return false
}

// allowance is an amount of work that grows at a rate. It may be overdrawn by one job, so that
// a job larger than the saved amount is not shut out.
type allowance struct {
	left float64
	at   time.Time
}

func (a *allowance) take(now time.Time, work, rate float64) bool {
	if !a.at.IsZero() {
		a.left = min(a.left+rate*float64(now.Sub(a.at).Milliseconds()), rate*float64(floorBurst.Milliseconds()))
	}
	a.at = now
	if a.left < 0 {
		return false
	}
	a.left -= work
	return true
}

// quantile estimates a quantile of a series of positive values.
type quantile struct{ value float64 }

// quantileStep is the relative change of an estimate by one value. With it an estimate follows
// a change of the mix of jobs by a factor of ten within about a hundred jobs.
const quantileStep = 0.05

func (q *quantile) observe(share, value float64) {
	switch {
	case q.value == 0:
		q.value = value
	case value > q.value:
		q.value *= math.Exp(quantileStep * share)
	case value < q.value:
		q.value *= math.Exp(-quantileStep * (1 - share))
	}
}
