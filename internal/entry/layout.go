package entry

import (
	"context"
	"strconv"
	"time"

	"poplarvalve/internal/process/store"
)

const (
	// workersPerCell is the size of a cell. Work doesn't move between cells, so
	// a task that lasts may find its cell full while another has room: smaller
	// cells of 70 workers broke that rule on three of seven grown days.
	workersPerCell = 500
	// maxCells is the number of partitions of a topic.
	maxCells = 24
	// layoutTopic holds the number of cells, under layoutKey, and before that
	// the name of the instance that counts the workers.
	layoutTopic = "layout"
	layoutKey   = "cells"
	counterKey  = "counter"
	// censusCalm is how long the number of registered workers must stay the
	// same on a first start, which takes a heartbeat or two to register them
	// all; censusLimit bounds the wait.
	censusCalm  = 500 * time.Millisecond
	censusLimit = 7 * time.Second
	// layoutPause is the pause between two looks at the number of cells.
	layoutPause = 250 * time.Millisecond
	// counterLimit is how long others wait for the instance that counts.
	counterLimit = censusLimit + 3*time.Second
)

// followCells settles the number of cells and takes part in the election of
// each.
func (e *Entry) followCells(ctx context.Context) {
	count := census{began: time.Now()}
	for e.leaders.Cells() == 0 && ctx.Err() == nil {
		cells, err := e.readLayout(ctx, &count)
		if err != nil {
			e.options.Journal.Retry("number of cells", err)
		}
		if cells > 0 {
			e.leaders.setCells(cells)
			break
		}
		sleep(ctx, layoutPause)
	}
	for number := range e.leaders.Cells() {
		e.spawn(func() { e.followCell(ctx, number) })
	}
}

// census waits until the number of registered workers no longer changes.
type census struct {
	began   time.Time
	workers int
	since   time.Time
	// counter is the instance that counts, seen since counting.
	counter  string
	counting time.Time
}

// overdue says whether the instance that counts has taken too long.
func (c *census) overdue(now time.Time, counter string) bool {
	if counter != c.counter {
		c.counter = counter
		c.counting = now
	}
	return counter == "" || now.Sub(c.counting) > counterLimit
}

// settled takes in a count and says whether it may be used.
func (c *census) settled(now time.Time, workers int) bool {
	if workers != c.workers || c.since.IsZero() {
		c.workers = workers
		c.since = now
	}
	return workers > 0 && now.Sub(c.since) >= censusCalm || now.Sub(c.began) >= censusLimit
}

// readLayout returns the number of cells. On a first start one instance derives
// it from the registered workers, since reading them all is too much for every
// instance of a large deployment; it then holds for good.
func (e *Entry) readLayout(ctx context.Context, count *census) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, end, err := e.options.Log.Newest(ctx, store.Partition{Topic: layoutTopic})
	if err != nil {
		return 0, err
	}
	counter := ""
	for _, record := range records {
		switch record.Key {
		case layoutKey:
			return strconv.Atoi(string(record.Value))
		case counterKey:
			counter = string(record.Value)
		}
	}
	self := strconv.FormatUint(e.options.Self.Nonce, 10)
	switch {
	case counter == self:
		return e.countWorkers(ctx, count, end)
	case count.overdue(time.Now(), counter):
		_, err = e.writeLayout(ctx, counterKey, self, end)
	}
	return 0, err
}

// countWorkers settles the number of cells once the count of workers is calm.
func (e *Entry) countWorkers(ctx context.Context, count *census, end int64) (int, error) {
	workers, _, err := e.options.Log.Newest(ctx, e.options.Registry)
	if err != nil || !count.settled(time.Now(), len(workers)) {
		return 0, err
	}
	cells := min(maxCells, max(1, (len(workers)+workersPerCell-1)/workersPerCell))
	written, err := e.writeLayout(ctx, layoutKey, strconv.Itoa(cells), end)
	if !written {
		return 0, err
	}
	return cells, nil
}

// writeLayout appends a record unless another instance has been first.
func (e *Entry) writeLayout(ctx context.Context, key, value string, end int64) (written bool, err error) {
	records := []store.Record{{Key: key, Value: []byte(value)}}
	_, err = e.options.Log.Append(ctx, store.Partition{Topic: layoutTopic}, records, store.Condition{End: &end})
	if err != nil && store.ReasonOf(err) == store.Moved {
		return false, nil // The next look shows what the other wrote.
	}
	return err == nil, err
}
