package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/workerlink"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/cell"
	"poplarvalve/test/virtualtime"
)

// Guards against a replaced leader that starts tasks of workers which it takes for lost,
// because they follow the next leader.
func TestLeaderFencedByWorkerStartsNothingUntilItsTermIsRenewed(t *testing.T) {
	l := testLeadership(t)
	l.renewalRequests = make(chan struct{}, 1)
	l.cancel = func() {}
	now := time.Now()
	info := cell.WorkerInfo{ID: "a", Pool: "p", Capacity: cell.Size{CPU: 1000}}
	l.cell.UpdateWorkers(now, []cell.WorkerInfo{info})
	l.cell.ApplyReport(now, cell.Report{Worker: "a", Incarnation: 1, Sent: now})
	spec := jobspec.Job{Steps: []jobspec.Step{{Count: 1, CPUMillis: 100}}}
	l.cell.Submit(now, 1, "00000000000000aa", &spec, cell.QueueTerms{Queue: "q", Pool: "p"})
	write := l.cell.TakeEffects(now).Write
	l.RenewalUnanswered("b", time.Time{}, &workerlink.RefusedError{Reason: cell.RefusedFenced})
	l.applyQueuedEvents()
	assert.Equal(t, len(l.renewalRequests), 1)
	l.cell.MarkStored(now, write.Number)
	l.tick()
	assert.Equal(t, len(l.cell.TakeEffects(now).Starts), 0)

	l.refusalsChecked.Store(l.fenceRefusals.Load()) // A renewal has succeeded.
	l.RenewalUnanswered("b", time.Time{}, &workerlink.RefusedError{Reason: cell.RefusedFenced})
	l.applyQueuedEvents()
	l.tick()
	assert.Equal(t, len(l.cell.TakeEffects(now.Add(time.Second)).Starts), 1, "a worker that refuses everything stops no others")
}

// lostReplyLog stores the first append but loses its reply, and then answers as a log that
// holds its record.
type lostReplyLog struct {
	store.Log
	stored []store.Record
}

func (l *lostReplyLog) Append(_ context.Context, _ store.Partition, records []store.Record, _ store.Condition) (int64, error) {
	if l.stored == nil {
		l.stored = records
		l.stored[0].Offset = 10
		return 0, &store.Error{Reason: store.Unanswered}
	}
	return 0, &store.Error{Reason: store.EndMismatch, Expected: 11}
}

func (l *lostReplyLog) Newest(context.Context, store.Partition) ([]store.Record, int64, error) {
	return l.stored, 11, nil
}

// Guards against a leader that counts its authority from a retry, while the next leader counts
// from the record of the first attempt and waits for too short a time.
func TestRenewalWithLostReplyCountsFromItsFirstAttempt(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := testTermLeadership(t)
		defer l.entry.options.Journal.Close()
		l.renewalRequests = make(chan struct{}, 1)
		l.entry.options.Log = &lostReplyLog{}
		state := renewalState{held: l.term}
		assert.Equal(t, store.ReasonOf(l.renew(t.Context(), &state)), store.Unanswered)
		time.Sleep(time.Second)
		assert.NilError(t, l.renew(t.Context(), &state))
		assert.Equal(t, l.sinceRenewal().Round(10*time.Millisecond), time.Second)
		assert.Equal(t, len(l.renewalRequests), 1, "the next renewal isn't requested at once")
		assert.Equal(t, state.held.EndOffset, int64(11))
	})
}

// slowLog takes a time to return the newest records.
type slowLog struct {
	store.Log
	took    time.Duration
	calls   int
	records []store.Record
}

func (s *slowLog) Newest(ctx context.Context, _ store.Partition) ([]store.Record, int64, error) {
	s.calls++
	select {
	case <-time.After(s.took):
		return s.records, int64(len(s.records)), nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// Guards against a leader that breaks off each read of its records, begins again, and keeps its
// term meanwhile, so that nobody leads: the read takes as long as the records need on its link.
func TestRecoveryReadsRecordsForAsLongAsTheyNeed(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		l := testTermLeadership(t)
		defer l.entry.options.Journal.Close()
		records, _, err := cellcodec.EncodeWriteBatch(cell.WriteBatch{Workers: []cell.WorkerInfo{{ID: "w"}}}, store.DefaultLimits)
		assert.NilError(t, err)
		slow := &slowLog{took: 10 * time.Second, records: records}
		l.entry.options.Log = slow
		l.writer.onRetry = func(error) {}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		state, err := l.readState(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(state.Workers), 1)
		assert.Equal(t, slow.calls, 1)
	})
}
