package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/cell"
	"poplarvalve/test/virtualtime"
)

// unresponsiveLog does not answer the first appends. It answers later ones at once
// with the given error.
type unresponsiveLog struct {
	store.Log
	unanswered int
	reply      error

	mu        sync.Mutex
	sequences []int64
}

func (l *unresponsiveLog) Append(ctx context.Context, _ store.Partition, _ []store.Record, c store.Condition) (int64, error) {
	l.mu.Lock()
	l.sequences = append(l.sequences, c.Writer.Sequence)
	calls := len(l.sequences)
	l.mu.Unlock()
	if calls <= l.unanswered {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 0, l.reply
}

// One lost reply of the log must not lead to new work being refused for most of a
// second. The append must be sent again, under the same sequence number, before it
// counts as stalled.
func TestAppendIsResentBeforeItCountsAsStalled(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		log := &unresponsiveLog{unanswered: 1}
		w := newWriter(log, 0, 3)
		w.onRetry = func(error) {}
		start := time.Now()
		assert.NilError(t, w.appendUntilResolved(t.Context(), []store.Record{{Key: "k"}}))
		assert.Assert(t, time.Since(start) < stalledAppendAge, "%v", time.Since(start))
		assert.DeepEqual(t, log.sequences, []int64{0, 0})
		assert.Equal(t, w.producer.Sequence, int64(1))
	})
}

// If the log answers the second send of an append with an error that shows that the
// term is fenced, the writer must return that error and not try again.
func TestFencedReplyToResentAppendEndsAppend(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWriter(&unresponsiveLog{unanswered: 1, reply: &store.Error{Reason: store.Fenced}}, 0, 3)
		w.onRetry = func(error) {}
		assert.ErrorContains(t, w.appendUntilResolved(t.Context(), []store.Record{{Key: "k"}}), "epoch 3")
		assert.Equal(t, w.producer.Sequence, int64(0))
	})
}

// strictLog refuses appends above its limits and those that repeat or skip a sequence
// number. It keeps the records of the others.
type strictLog struct {
	store.Log
	limits store.Limits

	mu       sync.Mutex
	sequence int64
	stored   []store.Record
	refused  int
}

func (l *strictLog) Append(_ context.Context, _ store.Partition, records []store.Record, c store.Condition) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.limits.CheckAppend(records); err != nil {
		l.refused++
		return 0, err
	}
	if c.Writer.Sequence != l.sequence {
		return 0, &store.Error{Reason: store.OutOfSequence, Expected: l.sequence}
	}
	l.sequence++
	l.stored = append(l.stored, records...)
	return 0, nil
}

// writeUntilStored lets a writer store writes, and returns the owners of the records that
// were kept back. It fails if the term ends.
func writeUntilStored(t *testing.T, w *writer, writes []cell.WriteBatch) (keptBack []cell.RecordOwner) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	w.onRetry = func(error) {}
	w.onKeptBack = func(store.Record, error) {}
	w.onFatalError = func(err error) { done <- err }
	w.onStored = func(number uint64, owners []cell.RecordOwner, _ time.Duration) {
		keptBack = append(keptBack, owners...)
		if number == uint64(len(writes)) {
			done <- nil
		}
	}
	var stopped sync.WaitGroup
	stopped.Go(func() { w.run(ctx) })
	for i, write := range writes {
		write.Number = uint64(i + 1)
		w.add(write)
	}
	assert.NilError(t, <-done, "the term has ended")
	cancel()
	stopped.Wait()
	return keptBack
}

// jobOfSize returns a job whose stored record has the given size.
func jobOfSize(t *testing.T, number, size int) cell.JobRecord {
	t.Helper()
	record := cell.JobRecord{ID: jobspec.ID(fmt.Sprintf("%016x", number))}
	for range 3 {
		records, _, err := cellcodec.EncodeWriteBatch(cell.WriteBatch{Jobs: []cell.JobRecord{record}}, store.Limits{})
		assert.Assert(t, err == nil && len(records) == 0)
		_, tooLarge, err := cellcodec.EncodeWriteBatch(cell.WriteBatch{Jobs: []cell.JobRecord{record}}, store.Limits{})
		assert.NilError(t, err)
		record.Job.Spec += strings.Repeat("s", max(0, size-tooLarge[0].Size()))
		record.Job.Spec = record.Job.Spec[:len(record.Job.Spec)-max(0, tooLarge[0].Size()-size)]
	}
	return record
}

// One record that the log refused for its size ended the term, and all that was to be
// stored beside it had to wait for a leader that met the same. The sizes lie around the
// limits of a record and of a call, both as the settings state them and below.
func TestRecordRefusedForItsSizeStopsNoOther(t *testing.T) {
	stated := store.Limits{RecordBytes: 2000, CallBytes: 5000}
	for _, actual := range []store.Limits{stated, {RecordBytes: 1500, CallBytes: 5000}, {RecordBytes: 2000, CallBytes: 2004}} {
		for seed := range uint64(30) {
			virtualtime.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 36))
				log := &strictLog{limits: actual}
				w := newWriter(log, 0, 3)
				w.limits = stated
				var writes []cell.WriteBatch
				var fitting, over []jobspec.ID
				for number := range 40 {
					limit := []int{actual.RecordBytes, stated.RecordBytes, actual.CallBytes - store.RecordLengthBytes}[random.IntN(3)]
					size := []int{limit - 1, limit, limit + 1, 200}[random.IntN(4)]
					job := jobOfSize(t, number, size)
					if size <= min(actual.RecordBytes, actual.CallBytes-store.RecordLengthBytes) {
						fitting = append(fitting, job.ID)
					} else {
						over = append(over, job.ID)
					}
					if len(writes) == 0 || random.IntN(3) == 0 {
						writes = append(writes, cell.WriteBatch{Urgent: random.IntN(2) == 0})
					}
					last := &writes[len(writes)-1]
					last.Jobs = append(last.Jobs, job)
				}
				owners := writeUntilStored(t, w, writes)
				var stored, keptBack []jobspec.ID
				for _, record := range log.stored {
					stored = append(stored, cellcodec.OwnerOf(record).Job)
				}
				for _, owner := range owners {
					keptBack = append(keptBack, owner.Job)
				}
				slices.Sort(keptBack) // Those that the settings exclude are found first.
				assert.DeepEqual(t, stored, fitting)
				assert.DeepEqual(t, keptBack, over)
				if actual == stated {
					assert.Equal(t, log.refused, 0, "seed %d: appends above the stated limits were sent", seed)
				}
			})
		}
	}
}

// The next leader must find each owner that a record was kept back of, also that of a
// worker whose name is too long for a key.
func TestOwnerOfRecordIsKnown(t *testing.T) {
	long := cell.WorkerID(strings.Repeat("w", 255))
	write := cell.WriteBatch{
		Jobs:     []cell.JobRecord{{ID: jobspec.ID("00000000000000aa")}},
		Progress: []cell.ProgressRecord{{ID: "00000000000000bb"}},
		Workers:  []cell.WorkerInfo{{ID: "p/j/1"}, {ID: long}},
		Learned:  &cell.LearnedRecord{},
	}
	records, _, err := cellcodec.EncodeWriteBatch(write, store.DefaultLimits)
	assert.NilError(t, err)
	var owners []cell.RecordOwner
	for _, record := range records {
		owners = append(owners, cellcodec.OwnerOf(record))
	}
	assert.DeepEqual(t, owners, []cell.RecordOwner{{Job: "00000000000000aa"}, {Job: "00000000000000bb"}, {Worker: "p/j/1"}, {Worker: long}, {}})
}
