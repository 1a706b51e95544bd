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

// batchingResult tells how appenders batch the records of the peak load, and how
// long the records wait.
type batchingResult struct {
	// callsPerSecond and entriesPerSecond are sums over all instances.
	callsPerSecond   float64
	entriesPerSecond float64
	median           time.Duration
	p99              time.Duration
	longest          time.Duration
}

// appendDelays are the simulated durations of an append: by a writer in the
// store's zone, and by a writer in another region at 30 ms each way.
var appendDelays = []time.Duration{5 * time.Millisecond, 65 * time.Millisecond}

// batchingCase identifies one measurement of batching.
type batchingCase struct {
	instances int
	delay     time.Duration
}

// delayedLog is a log whose appends take a constant time. It records how long
// each entry had waited when its append ended. An entry starts with the time of
// its creation, counted from start.
type delayedLog struct {
	delay time.Duration
	start time.Time

	mu         sync.Mutex
	calls      int
	entryWaits []time.Duration
}

// Append implements logstream.Log.
func (l *delayedLog) Append(ctx context.Context, _ ident.StreamName, entries [][]byte) (ident.Offset, error) {
	timer := time.NewTimer(l.delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-timer.C:
	}
	now := time.Since(l.start)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	for _, entry := range entries {
		l.entryWaits = append(l.entryWaits, now-time.Duration(binary.LittleEndian.Uint64(entry)))
	}
	return 1, nil
}

// Read implements logstream.Log.
func (l *delayedLog) Read(ctx context.Context, _ ident.StreamName, _ ident.Offset, _ int, _ time.Duration) (logstream.Batch, error) {
	<-ctx.Done()
	return logstream.Batch{}, ctx.Err()
}

// measureBatching measures all cases at the same time, since they mostly wait.
func measureBatching(ctx context.Context) map[batchingCase]batchingResult {
	results := map[batchingCase]batchingResult{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, n := range instanceCounts {
		for _, delay := range appendDelays {
			group.Go(func() {
				result := measureAppenders(ctx, n, delay)
				mu.Lock()
				defer mu.Unlock()
				results[batchingCase{n, delay}] = result
			})
		}
	}
	group.Wait()
	printBatching(results)
	return results
}

func printBatching(results map[batchingCase]batchingResult) {
	t := newTable(fmt.Sprintf("Appenders at %.0f starts/s, %d records each, %d shards, and the heartbeats; %.0f appends/s shared equally",
		startsPerSecond, recordsPerTask, shardCount, appendsPerSecond),
		"instances", "append takes", "records/s", "appends/s", "records per append", "wait p50", "wait p99", "longest")
	for _, n := range instanceCounts {
		for _, delay := range appendDelays {
			result := results[batchingCase{n, delay}]
			t.row(formatCount(n), delay.String(), fmt.Sprintf("%.0f", result.entriesPerSecond), fmt.Sprintf("%.0f", result.callsPerSecond), fmt.Sprintf("%.1f", result.entriesPerSecond/result.callsPerSecond),
				result.median.Round(time.Millisecond).String(), result.p99.Round(time.Millisecond).String(), result.longest.Round(time.Millisecond).String())
		}
	}
	t.end()
}

// measureAppenders runs an appender for each shard at the shard's home and one
// for the heartbeats of each instance.
func measureAppenders(ctx context.Context, instances int, delay time.Duration) batchingResult {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	log := &delayedLog{delay: delay, start: time.Now()}
	state := membershipState(instances)
	table := ownership.New(state)
	rateLimits := map[ident.Incarnation]*logstream.AppendRateLimit{}
	startAppender := func(rateLimit *logstream.AppendRateLimit, stream ident.StreamName, rate float64, source uint64) {
		appender := logstream.NewAppender(log, clock.System{}, stream, rateLimit, logstream.AppenderOptions{})
		group.Go(func() { appender.Run(ctx) })
		group.Go(func() {
			runPoisson(ctx, rate, source, func(int) {
				entry := binary.LittleEndian.AppendUint64(make([]byte, 0, 100), uint64(time.Since(log.start)))
				_ = appender.Add(entry[:100])
			})
		})
	}
	for i, m := range state.Members {
		rateLimits[m.ID] = logstream.NewAppendRateLimit(appendsPerSecond / float64(instances))
		startAppender(rateLimits[m.ID], ident.MembersStream, 1, uint64(i))
	}
	for shard := range ident.Shard(shardCount) {
		home, _ := table.Home(shard)
		startAppender(rateLimits[home.ID], ident.ShardStream(shard), shardRate, 1000+uint64(shard))
	}
	time.Sleep(2 * sampleTime)
	cancel()
	group.Wait()
	return log.summarize(2 * sampleTime)
}

func (l *delayedLog) summarize(duration time.Duration) batchingResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.Sort(l.entryWaits)
	last := len(l.entryWaits) - 1
	return batchingResult{
		callsPerSecond:   float64(l.calls) / duration.Seconds(),
		entriesPerSecond: float64(len(l.entryWaits)) / duration.Seconds(),
		median:           l.entryWaits[last/2],
		p99:              l.entryWaits[last*99/100],
		longest:          l.entryWaits[last],
	}
}
