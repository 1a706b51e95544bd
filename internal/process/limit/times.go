package limit

import (
	"sync/atomic"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/publish"
)

const (
	// meanWeight and deviationWeight are the parts of a new sample in the mean
	// and in the mean deviation, as for the round trip times of TCP (RFC 6298).
	meanWeight      = 8
	deviationWeight = 4
	// highDeviations is how many mean deviations High lies above the mean.
	highDeviations = 4
	// halfLife is the time in which an estimate without samples halves. Without
	// it an estimate that refuses all requests would never be corrected.
	halfLife = 10 * time.Second
	// maxHalvings bounds the shift of an old estimate.
	maxHalvings = 30
)

// Time estimates how long requests of one service take.
type Time struct {
	mean      atomic.Int64
	deviation atomic.Int64
	// last is the time after the start of Times of the newest sample.
	last atomic.Int64
}

// Estimate is what is known of the time of a service. Zero is unknown.
type Estimate struct {
	Mean time.Duration
	// High is exceeded by few requests.
	High time.Duration
}

// Times holds one estimate for each service.
type Times struct {
	start time.Time
	of    *publish.Cell[map[ident.ServiceName]*Time]
}

// NewTimes returns a table without samples.
func NewTimes(start time.Time) *Times {
	return &Times{start: start, of: publish.New(&map[ident.ServiceName]*Time{})}
}

// Observe adds the time of one request that ran. Two samples at the same moment
// may count as one.
func (t *Times) Observe(service ident.ServiceName, took time.Duration, now time.Time) {
	at := t.find(service)
	sample := int64(took)
	mean := at.mean.Load()
	at.last.Store(int64(now.Sub(t.start)))
	if mean == 0 {
		at.mean.CompareAndSwap(0, sample)
		at.deviation.CompareAndSwap(0, sample/2)
		return
	}
	deviation := at.deviation.Load()
	at.deviation.CompareAndSwap(deviation, deviation+(abs(sample-mean)-deviation)/deviationWeight)
	at.mean.CompareAndSwap(mean, mean+(sample-mean)/meanWeight)
}

func abs(x int64) int64 {
	return max(x, -x)
}

// Estimate returns what is known of a service.
func (t *Times) Estimate(service ident.ServiceName, now time.Time) Estimate {
	at, found := (*t.of.Load())[service]
	if !found {
		return Estimate{}
	}
	idle := now.Sub(t.start) - time.Duration(at.last.Load())
	halvings := min(max(idle/halfLife, 0), maxHalvings)
	mean := at.mean.Load()
	high := mean + highDeviations*at.deviation.Load()
	return Estimate{
		Mean: time.Duration(mean >> halvings),
		High: time.Duration(high >> halvings),
	}
}

// find returns the entry of a service. The services of the rules are few, so
// the table is copied only when one is seen first.
func (t *Times) find(service ident.ServiceName) *Time {
	if at, found := (*t.of.Load())[service]; found {
		return at
	}
	t.of.Update(func(current *map[ident.ServiceName]*Time) *map[ident.ServiceName]*Time {
		if _, found := (*current)[service]; found {
			return current
		}
		next := make(map[ident.ServiceName]*Time, len(*current)+1)
		for name, at := range *current {
			next[name] = at
		}
		next[service] = &Time{}
		return &next
	})
	return (*t.of.Load())[service]
}
