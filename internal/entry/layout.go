package entry

import (
	"context"
	"strconv"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/election"
)

const (
	// layoutTopic is the topic of the log that holds the number of cells, under
	// cellCountKey. Until that is set, it holds under counterKey the nonce of
	// the instance that counts the workers.
	layoutTopic  = "layout"
	cellCountKey = "cells"
	counterKey   = "counter"
)

// followCells finds out the number of cells, and then takes part in the election
// of each cell's leader.
func (e *Entry) followCells(ctx context.Context) {
	census := election.WorkerCensus{Started: time.Now()}
	var backoff pollBackoff
	for e.leaders.Cells() == 0 && ctx.Err() == nil {
		cells, err := e.readCellCount(ctx, &census)
		if err != nil {
			e.options.Journal.Retrying("number of cells", err)
		}
		if cells > 0 {
			e.leaders.setCellCount(cells)
			break
		}
		backoff.wait(ctx, err)
	}
	for number := range e.leaders.Cells() {
		e.spawn(func() { e.followCell(ctx, number) })
	}
}

// readCellCount returns the number of cells, or 0 if it is not known yet. On the
// first start of a deployment one instance derives the number from the registered
// workers, since in a large deployment it would be too expensive if every instance
// read all of them. The number never changes afterwards.
func (e *Entry) readCellCount(ctx context.Context, census *election.WorkerCensus) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, logCallTimeout)
	defer cancel()
	records, endOffset, err := e.options.Log.Newest(ctx, store.Partition{Topic: layoutTopic})
	if err != nil {
		return 0, err
	}
	counterNonce := ""
	for _, record := range records {
		switch record.Key {
		case cellCountKey:
			return decodeCellCount(record)
		case counterKey:
			counterNonce = string(record.Value)
		}
	}
	ownNonce := strconv.FormatUint(e.options.Self.Nonce, 10)
	switch {
	case counterNonce == ownNonce:
		return e.deriveCellCount(ctx, census, endOffset)
	case census.CounterOverdue(time.Now(), counterNonce):
		_, err = e.writeLayoutRecord(ctx, counterKey, ownNonce, endOffset)
	}
	return 0, err
}

// decodeCellCount decodes the stored number of cells.
func decodeCellCount(record store.Record) (int, error) {
	cells, err := strconv.Atoi(string(record.Value))
	if record.Err != nil {
		err = record.Err
	}
	if err != nil {
		return 0, fault.Wrap(fault.Malformed, err, "decoding the stored number of cells")
	}
	if cells < 1 || cells > election.MaxCells {
		return 0, fault.New(fault.Malformed, "the stored number of cells is %d, want 1 to %d", cells, election.MaxCells)
	}
	return cells, nil
}

// deriveCellCount derives the number of cells from the number of registered
// workers and writes it to the log, once the number of workers is stable. It returns
// 0 before that, and if another instance has written to the topic since endOffset.
func (e *Entry) deriveCellCount(ctx context.Context, census *election.WorkerCensus, endOffset int64) (int, error) {
	workers, _, err := e.options.Log.Newest(ctx, e.options.Registry)
	if err != nil || !census.CountStable(time.Now(), len(workers)) {
		return 0, err
	}
	cells := election.CellsFor(len(workers))
	written, err := e.writeLayoutRecord(ctx, cellCountKey, strconv.Itoa(cells), endOffset)
	if !written {
		return 0, err
	}
	return cells, nil
}

// writeLayoutRecord appends a record on condition that the topic still ends at
// endOffset. written is false if another instance has written first.
func (e *Entry) writeLayoutRecord(ctx context.Context, key, value string, endOffset int64) (written bool, err error) {
	records := []store.Record{{Key: key, Value: []byte(value)}}
	_, err = e.options.Log.Append(ctx, store.Partition{Topic: layoutTopic}, records, store.Condition{EndOffset: &endOffset})
	if err != nil && store.ReasonOf(err) == store.EndMismatch {
		return false, nil // The next read returns what the other instance wrote.
	}
	return err == nil, err
}
