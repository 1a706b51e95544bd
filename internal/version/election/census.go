package election

import "time"

const (
	// workersPerCell is the largest number of workers per cell. Work doesn't
	// move between cells, so a service task may find its cell full while another
	// cell has free capacity. With cells of 70 workers this happened on three of
	// seven days of scaled-up load.
	workersPerCell = 500
	// MaxCells bounds the number of cells, since each cell needs a partition of
	// its own and a topic of the log has 24.
	MaxCells = 24
	// censusStablePeriod is how long the number of registered workers must stay the
	// same before it is used on the first start of a deployment. The workers take
	// one or two heartbeats to register. After censusTimeout the count is used even
	// if it still changes.
	censusStablePeriod = 500 * time.Millisecond
	censusTimeout      = 7 * time.Second
	// counterTimeout is how long the other instances wait for the instance that
	// counts the workers before one of them replaces it.
	counterTimeout = censusTimeout + 3*time.Second
)

// CellsFor returns the number of cells for a deployment with the given number of
// workers: one per 500 workers or part of them, at least 1 and at most 24.
func CellsFor(workers int) int {
	return min(MaxCells, max(1, (workers+workersPerCell-1)/workersPerCell))
}

// WorkerCensus decides, on the first start of a deployment, when the number of
// registered workers is stable enough to derive the number of cells from it, and
// when the instance that counts the workers must be replaced.
type WorkerCensus struct {
	// Started is the time at which this instance started.
	Started        time.Time
	workers        int
	unchangedSince time.Time
	// counter identifies the instance that counts the workers. It was first
	// seen in that role at counterSince.
	counter      string
	counterSince time.Time
}

// CounterOverdue reports whether this instance should take over the counting of
// workers: no instance counts (counter is empty), or the same instance has counted
// for longer than counterTimeout (10 s).
func (c *WorkerCensus) CounterOverdue(now time.Time, counter string) bool {
	if counter != c.counter {
		c.counter = counter
		c.counterSince = now
	}
	return counter == "" || now.Sub(c.counterSince) > counterTimeout
}

// CountStable records the current number of registered workers and reports whether
// it may be used: it is above 0 and has not changed for censusStablePeriod (500 ms),
// or censusTimeout (7 s) has passed since Started.
func (c *WorkerCensus) CountStable(now time.Time, workers int) bool {
	if workers != c.workers || c.unchangedSince.IsZero() {
		c.workers = workers
		c.unchangedSince = now
	}
	return workers > 0 && now.Sub(c.unchangedSince) >= censusStablePeriod || now.Sub(c.Started) >= censusTimeout
}
