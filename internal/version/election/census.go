package election

import "time"

const (
	// workersPerCell is the size of a cell. Work doesn't move between cells, so
	// a task that lasts may find its cell full while another has room: smaller
	// cells of 70 workers broke that rule on three of seven grown days.
	workersPerCell = 500
	// maxCells is the number of partitions of a topic.
	maxCells = 24
	// censusCalm is how long the number of registered workers must stay the
	// same on a first start, which takes a heartbeat or two to register them
	// all; censusLimit bounds the wait.
	censusCalm  = 500 * time.Millisecond
	censusLimit = 7 * time.Second
	// counterLimit is how long others wait for the instance that counts.
	counterLimit = censusLimit + 3*time.Second
)

// CellsFor returns the number of cells of a deployment with so many workers.
func CellsFor(workers int) int {
	return min(maxCells, max(1, (workers+workersPerCell-1)/workersPerCell))
}

// Census waits until the number of registered workers no longer changes. Began
// is when the instance started.
type Census struct {
	Began   time.Time
	workers int
	since   time.Time
	// counter is the instance that counts, seen since counting.
	counter  string
	counting time.Time
}

// Overdue says whether the instance that counts has taken too long.
func (c *Census) Overdue(now time.Time, counter string) bool {
	if counter != c.counter {
		c.counter = counter
		c.counting = now
	}
	return counter == "" || now.Sub(c.counting) > counterLimit
}

// Settled takes in a count and says whether it may be used.
func (c *Census) Settled(now time.Time, workers int) bool {
	if workers != c.workers || c.since.IsZero() {
		c.workers = workers
		c.since = now
	}
	return workers > 0 && now.Sub(c.since) >= censusCalm || now.Sub(c.Began) >= censusLimit
}
