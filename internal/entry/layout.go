package entry

import (
	"context"
	"strconv"
	"time"

	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/election"
)

const (
	// layoutTopic holds the number of cells, under layoutKey, and before that
	// the name of the instance that counts the workers.
	layoutTopic = "layout"
	layoutKey   = "cells"
	counterKey  = "counter"
)

// followCells settles the number of cells and takes part in the election of
// each.
func (e *Entry) followCells(ctx context.Context) {
	count := election.Census{Began: time.Now()}
	var looks looks
	for e.leaders.Cells() == 0 && ctx.Err() == nil {
		cells, err := e.readLayout(ctx, &count)
		if err != nil {
			e.options.Journal.Retry("number of cells", err)
		}
		if cells > 0 {
			e.leaders.setCells(cells)
			break
		}
		looks.pause(ctx, err)
	}
	for number := range e.leaders.Cells() {
		e.spawn(func() { e.followCell(ctx, number) })
	}
}

// readLayout returns the number of cells. On a first start one instance derives
// it from the registered workers, since reading them all is too much for every
// instance of a large deployment; it then holds for good.
func (e *Entry) readLayout(ctx context.Context, count *election.Census) (int, error) {
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
	case count.Overdue(time.Now(), counter):
		_, err = e.writeLayout(ctx, counterKey, self, end)
	}
	return 0, err
}

// countWorkers settles the number of cells once the count of workers is calm.
func (e *Entry) countWorkers(ctx context.Context, count *election.Census, end int64) (int, error) {
	workers, _, err := e.options.Log.Newest(ctx, e.options.Registry)
	if err != nil || !count.Settled(time.Now(), len(workers)) {
		return 0, err
	}
	cells := election.CellsFor(len(workers))
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
