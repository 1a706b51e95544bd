package main

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"time"

	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/logstream"
	"poplarvalve/internal/version/ownership"
)

// grouping is how appenders group the records of the peak.
type grouping struct {
	// calls and entries are per second over all instances.
	calls   float64
	entries float64
	median  time.Duration
	p99     time.Duration
	longest time.Duration
}

// logDelays are the durations of an append: the store's zone, and a writer in
// another region at 30 ms each way.
var logDelays = []time.Duration{5 * time.Millisecond, 65 * time.Millisecond}

// grouped names one measurement of grouping.
type grouped struct {
	instances int
	delay     time.Duration
}

// slowLog takes a constant time for an append and notes how long each entry
// had waited at its end.
type slowLog struct {
	delay time.Duration
	begin time.Time

	mu    sync.Mutex
	calls int
	waits []time.Duration
}

// Append implements logstream.Log.
func (l *slowLog) Append(ctx context.Context, _ ident.StreamName, entries [][]byte) (ident.Offset, error) {
	timer := time.NewTimer(l.delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-timer.C:
	}
	now := time.Since(l.begin)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	for _, entry := range entries {
		l.waits = append(l.waits, now-time.Duration(binary.LittleEndian.Uint64(entry)))
	}
	return 1, nil
}

// Read implements logstream.Log.
func (l *slowLog) Read(ctx context.Context, _ ident.StreamName, _ ident.Offset, _ int, _ time.Duration) (logstream.Batch, error) {
	<-ctx.Done()
	return logstream.Batch{}, ctx.Err()
}

// measureGrouping runs all cases side by side, since they mostly wait.
func measureGrouping(ctx context.Context) map[grouped]grouping {
	results := map[grouped]grouping{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, n := range instanceCounts {
		for _, delay := range logDelays {
			group.Go(func() {
				result := groupRecords(ctx, n, delay)
				mu.Lock()
				defer mu.Unlock()
				results[grouped{n, delay}] = result
			})
		}
	}
	group.Wait()
	printGrouping(results)
	return results
}

func printGrouping(results map[grouped]grouping) {
	t := newTable(fmt.Sprintf("Appenders at %.0f starts/s, %d records each, %d shards, and the heartbeats; %.0f appends/s shared equally",
		startRate, recordsPerTask, shardCount, appendBudget),
		"instances", "append takes", "records/s", "appends/s", "records per append", "wait p50", "wait p99", "longest")
	for _, n := range instanceCounts {
		for _, delay := range logDelays {
			g := results[grouped{n, delay}]
			t.row(count(n), delay.String(), fmt.Sprintf("%.0f", g.entries), fmt.Sprintf("%.0f", g.calls), fmt.Sprintf("%.1f", g.entries/g.calls),
				g.median.Round(time.Millisecond).String(), g.p99.Round(time.Millisecond).String(), g.longest.Round(time.Millisecond).String())
		}
	}
	t.end()
}

// groupRecords runs an appender for each shard at its home and for the
// heartbeats of each instance.
func groupRecords(ctx context.Context, instances int, delay time.Duration) grouping {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	log := &slowLog{delay: delay, begin: time.Now()}
	state := members(instances)
	table := ownership.New(state)
	budgets := map[ident.Incarnation]*logstream.Budget{}
	run := func(budget *logstream.Budget, stream ident.StreamName, rate float64, source uint64) {
		appender := logstream.NewAppender(log, clock.System{}, stream, budget, logstream.AppenderOptions{})
		group.Go(func() { appender.Run(ctx) })
		group.Go(func() {
			poisson(ctx, rate, source, func(int) {
				entry := binary.LittleEndian.AppendUint64(make([]byte, 0, 100), uint64(time.Since(log.begin)))
				_ = appender.Add(entry[:100])
			})
		})
	}
	for i, m := range state.Members {
		budgets[m.ID] = logstream.NewBudget(appendBudget / float64(instances))
		run(budgets[m.ID], ident.MembersStream, 1, uint64(i))
	}
	for shard := range ident.Shard(shardCount) {
		home, _ := table.Home(shard)
		run(budgets[home.ID], ident.ShardStream(shard), shardRate, 1000+uint64(shard))
	}
	time.Sleep(2 * window)
	cancel()
	group.Wait()
	return log.summarize(2 * window)
}

func (l *slowLog) summarize(length time.Duration) grouping {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.Sort(l.waits)
	last := len(l.waits) - 1
	return grouping{
		calls:   float64(l.calls) / length.Seconds(),
		entries: float64(len(l.waits)) / length.Seconds(),
		median:  l.waits[last/2],
		p99:     l.waits[last*99/100],
		longest: l.waits[last],
	}
}
