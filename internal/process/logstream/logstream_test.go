package logstream_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/logstream"
	"poplarvalve/internal/process/record"
	"poplarvalve/test/platformstub"
	"poplarvalve/test/virtualtime"
)

const stream ident.StreamName = "work-00"

func constantJitter() float64 { return 0.5 }

// countingLog records the time and the number of entries of each append call.
type countingLog struct {
	logstream.Log
	mu         sync.Mutex
	calls      []time.Time
	groupSizes []int
}

func (l *countingLog) Append(ctx context.Context, name ident.StreamName, entries [][]byte) (ident.Offset, error) {
	l.mu.Lock()
	l.calls = append(l.calls, time.Now())
	l.groupSizes = append(l.groupSizes, len(entries))
	l.mu.Unlock()
	return l.Log.Append(ctx, name, entries)
}

// decodeText decodes "snap:N" as a snapshot of the state after offset N, and
// any other text as a heartbeat with this text as its identifier. It fails for
// "bad".
func decodeText(entry []byte) (record.Envelope, error) {
	envelope := record.Envelope{ID: ident.RecordID(entry), Record: record.Heartbeat{}}
	var at ident.Offset
	if string(entry) == "bad" {
		return envelope, fault.New(fault.Malformed, "bad")
	}
	if _, err := fmt.Sscanf(string(entry), "snap:%d", &at); err == nil {
		envelope.Record = record.Snapshot{At: at}
	}
	return envelope, nil
}

// runAll runs the functions concurrently. The returned function ends their
// context and waits for them.
func runAll(t *testing.T, runs ...func(context.Context)) func() {
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for _, run := range runs {
		group.Go(func() { run(ctx) })
	}
	return func() { cancel(); group.Wait() }
}

// Entries that are added during an outage of the log must all be appended
// afterwards, in groups and within the rate limit. One call per entry, or a
// burst of calls when the log is reachable again, would overload it.
func TestAppenderAppendsGroupsAtLimitedRateAfterOutage(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		stub := platformstub.New(nil)
		log := &countingLog{Log: stub.Client("a")}
		options := logstream.AppenderOptions{MaxQueueCount: 100, MaxCallCount: 10, Jitter: constantJitter}
		rateLimit := logstream.NewAppendRateLimit(10)
		appender := logstream.NewAppender(log, clock.System{}, stream, rateLimit, options)
		stop := runAll(t, appender.Run)
		defer stop()
		stub.ChangeFaults(func(c *platformstub.Faults) { c.Outage = true })
		for i := range 100 {
			assert.NilError(t, appender.Add(fmt.Appendf(nil, "r%d", i)))
		}
		assert.Equal(t, fault.KindOf(appender.Add([]byte("full"))), fault.Overloaded)
		time.Sleep(time.Minute)
		stub.ChangeFaults(func(c *platformstub.Faults) { c.Outage = false; c.LoseReplies = 1 })
		time.Sleep(10 * time.Second)
		batch, err := stub.Client("b").Read(t.Context(), stream, 1, 1000, 0)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Entries), 110, "want 100 entries, and 10 of them twice, because the reply to their append was lost")
		for i := 1; i < len(log.calls); i++ {
			assert.Assert(t, log.calls[i].Sub(log.calls[i-1]) >= 100*time.Millisecond)
			assert.Assert(t, log.groupSizes[i] <= 10)
		}
	})
}

// A follower must skip an entry that can't be decoded and not stop there. After
// a failed read it must continue without applying a record twice. Waiters must
// find their record whether it is applied before or after the call.
func TestFollowerSkipsBadEntriesResumesAndWakesWaiters(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		stub := platformstub.New(nil)
		log := stub.Client("a")
		var applied []ident.Offset
		follower := logstream.NewFollower(log, clock.System{}, stream, logstream.FollowerOptions{
			Decode: decodeText, Jitter: constantJitter,
			Apply: func(offset ident.Offset, _ record.Envelope) { applied = append(applied, offset) },
		})
		stop := runAll(t, follower.Run)
		_, err := log.Append(t.Context(), stream, [][]byte{[]byte("x"), []byte("bad"), []byte("y")})
		assert.NilError(t, err)
		synctest.Wait()
		stub.ChangeFaults(func(c *platformstub.Faults) { c.Outage = true })
		time.Sleep(5 * time.Second)
		stub.ChangeFaults(func(c *platformstub.Faults) { c.Outage = false })
		go func() { _, _ = log.Append(context.Background(), stream, [][]byte{[]byte("z")}) }()
		offset, err := follower.WaitFor(t.Context(), "z")
		assert.NilError(t, err)
		assert.Equal(t, offset, ident.Offset(4))
		offset, err = follower.WaitFor(t.Context(), "x")
		assert.NilError(t, err)
		assert.Equal(t, offset, ident.Offset(1))
		assert.NilError(t, follower.WaitApplied(t.Context(), 4))
		progress := follower.Progress()
		assert.Equal(t, progress.Skipped["other"], uint64(1))
		assert.Equal(t, progress.Behind, uint64(0))
		stop()
		assert.Assert(t, slices.Equal(applied, []ident.Offset{1, 3, 4}), "%v", applied)
	})
}

// If the log no longer holds the oldest records, a follower must not apply the
// rest without the state before it. It must start from a snapshot, and must
// also apply the records between the position of the snapshot's state and the
// snapshot record.
func TestFollowerStartsFromSnapshotIfOldRecordsAreLost(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		stub := platformstub.New(nil)
		log := stub.Client("a")
		var events []string
		follower := logstream.NewFollower(log, clock.System{}, stream, logstream.FollowerOptions{
			Decode: decodeText, Jitter: constantJitter,
			Apply: func(offset ident.Offset, _ record.Envelope) { events = append(events, fmt.Sprint(offset)) },
			Restore: func(_ ident.Offset, s record.Snapshot) error {
				events = append(events, fmt.Sprintf("restore %d", s.At))
				return nil
			},
		})
		for _, entry := range []string{"a", "b", "snap:1", "c", "d", "snap:4", "e"} {
			_, err := log.Append(t.Context(), stream, [][]byte{[]byte(entry)})
			assert.NilError(t, err)
		}
		stub.ChangeFaults(func(c *platformstub.Faults) { c.RetainEntries = 5 })
		stop := runAll(t, follower.Run)
		time.Sleep(time.Second)
		stop()
		assert.DeepEqual(t, events, []string{"restore 4", "5", "6", "7"})
	})
}
