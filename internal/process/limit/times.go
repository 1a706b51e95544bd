package limit

import (
	"sync/atomic"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/publish"
)

const (
	// meanDivisor and deviationDivisor determine the weights of a new sample:
	// 1/8 in the mean and 1/4 in the mean deviation, as for the round trip
	// times of TCP (RFC 6298).
	meanDivisor      = 8
	deviationDivisor = 4
	// highDeviations is the number of mean deviations by which Estimate.High
	// exceeds the mean.
	highDeviations = 4
	// halfLife is the time in which an estimate without new samples halves.
	// Without this decay, an estimate so high that all requests are refused
	// would never be corrected.
	halfLife = 10 * time.Second
	// maxHalvings limits the number of bits by which an old estimate is
	// shifted.
	maxHalvings = 30
)

// ServiceTime holds the statistics of the time that requests of one service
// take.
type ServiceTime struct {
	// mean and deviation are the mean and the mean deviation of the samples, in
	// nanoseconds.
	mean      atomic.Int64
	deviation atomic.Int64
	// lastSample is the time of the newest sample, in nanoseconds after
	// ServiceTimes.start.
	lastSample atomic.Int64
}

// Estimate is an estimate of the time that a request of a service takes. The
// zero value means that nothing is known about it.
type Estimate struct {
	// Mean is the moving average of the samples.
	Mean time.Duration
	// High is a time that only few requests exceed.
	High time.Duration
}

// ServiceTimes estimates the service times of all services. It is safe for
// concurrent use.
type ServiceTimes struct {
	start     time.Time
	byService *publish.Value[map[ident.ServiceName]*ServiceTime]
}

// NewServiceTimes returns estimates without samples. All times passed to its
// methods must come from the same clock as start.
func NewServiceTimes(start time.Time) *ServiceTimes {
	return &ServiceTimes{start: start, byService: publish.New(&map[ident.ServiceName]*ServiceTime{})}
}

// Observe adds the time of one request that ran. If two samples are added at
// the same moment, one of them may be lost.
func (t *ServiceTimes) Observe(service ident.ServiceName, took time.Duration, now time.Time) {
	stats := t.findOrAdd(service)
	sample := int64(took)
	mean := stats.mean.Load()
	stats.lastSample.Store(int64(now.Sub(t.start)))
	if mean == 0 {
		stats.mean.CompareAndSwap(0, sample)
		stats.deviation.CompareAndSwap(0, sample/2)
		return
	}
	deviation := stats.deviation.Load()
	stats.deviation.CompareAndSwap(deviation, deviation+(abs(sample-mean)-deviation)/deviationDivisor)
	stats.mean.CompareAndSwap(mean, mean+(sample-mean)/meanDivisor)
}

func abs(x int64) int64 {
	return max(x, -x)
}

// Estimate returns the estimate for a service at the time now.
func (t *ServiceTimes) Estimate(service ident.ServiceName, now time.Time) Estimate {
	stats, found := (*t.byService.Load())[service]
	if !found {
		return Estimate{}
	}
	idle := now.Sub(t.start) - time.Duration(stats.lastSample.Load())
	halvings := min(max(idle/halfLife, 0), maxHalvings)
	mean := stats.mean.Load()
	high := mean + highDeviations*stats.deviation.Load()
	return Estimate{
		Mean: time.Duration(mean >> halvings),
		High: time.Duration(high >> halvings),
	}
}

// findOrAdd returns the statistics of a service. The map is copied only when a
// service is seen for the first time, which is rare because the rules define
// few services.
func (t *ServiceTimes) findOrAdd(service ident.ServiceName) *ServiceTime {
	if stats, found := (*t.byService.Load())[service]; found {
		return stats
	}
	t.byService.Update(func(current *map[ident.ServiceName]*ServiceTime) *map[ident.ServiceName]*ServiceTime {
		if _, found := (*current)[service]; found {
			return current
		}
		next := make(map[ident.ServiceName]*ServiceTime, len(*current)+1)
		for name, stats := range *current {
			next[name] = stats
		}
		next[service] = &ServiceTime{}
		return &next
	})
	return (*t.byService.Load())[service]
}
