package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/workerlink"
	"poplarvalve/internal/process/boottime"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/cell"
	"poplarvalve/test/virtualtime"
)

// queuedWorker runs each task that it is told to start, until its lease expires. While it is
// silent, its answers are lost.
type queuedWorker struct {
	silent atomic.Bool

	mu         sync.Mutex
	begin      time.Time
	leaseUntil int64
	running    []cell.RunReport
	ended      []cell.RunEnd
}

func newQueuedWorker(running ...cell.RunReport) *queuedWorker {
	return &queuedWorker{begin: time.Now(), running: running}
}

// clock returns the worker's clock in milliseconds. The caller must hold w.mu.
func (w *queuedWorker) clock() int64 { return 1000 + time.Since(w.begin).Milliseconds() }

func (w *queuedWorker) RenewLease(ctx context.Context, order workerlink.RenewalOrder) (workerlink.RenewalAnswer, error) {
	w.mu.Lock()
	w.leaseUntil = max(w.leaseUntil, order.LeaseUntil)
	w.mu.Unlock()
	if w.silent.Load() {
		<-ctx.Done()
		return workerlink.RenewalAnswer{}, ctx.Err()
	}
	time.Sleep(order.Wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	return workerlink.RenewalAnswer{Clock: w.clock(), Incarnation: 1, Running: w.running, Ended: w.ended, Complete: true}, nil
}

func (w *queuedWorker) Start(_ context.Context, grant workerlink.Grant, order cell.StartOrder) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaseUntil = max(w.leaseUntil, grant.LeaseUntil)
	w.running = append(w.running, cell.RunReport{Task: order.Task, Run: order.Run, Percent: 10})
	return w.clock(), nil
}

func (w *queuedWorker) Stop(context.Context, workerlink.Grant, cell.StopOrder) error { return nil }

func (w *queuedWorker) Throttle(context.Context, workerlink.Grant, cell.ThrottleOrder) error {
	return nil
}

// endRuns ends all runs as done.
func (w *queuedWorker) endRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		w.ended = append(w.ended, cell.RunEnd{Number: int64(len(w.ended) + 1), Task: r.Task, Run: r.Run, Reason: cell.EndSucceeded})
	}
	w.running = nil
}

// runs reports whether the worker runs anything under a lease that goes on.
func (w *queuedWorker) runs() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running) > 0 && w.clock() < w.leaseUntil
}

// queueTest is a leadership whose queue is applied by the test. All writes are stored at once.
type queueTest struct {
	*leadership
	ctx     context.Context
	workers map[cell.WorkerID]*queuedWorker
	starts  []cell.StartOrder
}

func newQueueTest(t *testing.T, ctx context.Context, config cell.Config, workers map[cell.WorkerID]*queuedWorker) *queueTest {
	q := &queueTest{leadership: testLeadership(t), ctx: ctx, workers: workers}
	q.cell = cell.New(config)
	q.renewalRequests = make(chan struct{}, 1)
	q.cancel = func() {}
	q.entry.options.DialWorker = func(info cell.WorkerInfo) workerlink.WorkerClient { return workers[info.ID] }
	return q
}

func (q *queueTest) infos() (infos []cell.WorkerInfo) {
	for _, id := range []cell.WorkerID{"a", "b"} {
		infos = append(infos, cell.WorkerInfo{ID: id, Address: string(id), Pool: "p", Capacity: cell.Size{CPU: 1000}})
	}
	return infos
}

// newBusyQueueTest returns a leadership of two workers, and the one that runs the only task.
func newBusyQueueTest(t *testing.T, ctx context.Context) (*queueTest, *queuedWorker) {
	workers := map[cell.WorkerID]*queuedWorker{"a": newQueuedWorker(), "b": newQueuedWorker()}
	q := newQueueTest(t, ctx, cell.Config{Epoch: 1, MaxEarlierLease: 5 * time.Second, EndedJobRetention: time.Minute}, workers)
	q.cell.UpdateWorkers(time.Now(), q.infos())
	q.work(3 * time.Second)
	q.cell.Submit(time.Now(), 1, "00000000000000aa", &longTask, cell.QueueTerms{Queue: "q", Pool: "p", Attempts: 3, Stretch: 2})
	q.work(time.Second)
	assert.Equal(t, len(q.starts), 1)
	return q, workers[q.starts[0].Worker]
}

// decide does what the goroutine of the cell does after an event or a tick. The term has
// been renewed meanwhile.
func (q *queueTest) decide() {
	renewed := boottime.Now()
	q.lastRenewal.Store(&renewed)
	q.cell.TermRenewed(renewed.Time())
	q.openSessions(q.ctx)
	effects := q.takeEffects()
	for _, order := range effects.Starts {
		q.starts = append(q.starts, order)
		q.startRun(q.ctx, order)
	}
	if effects.Write != nil {
		q.cell.MarkStored(time.Now(), effects.Write.Number)
		q.decide()
	}
}

// holdBack keeps the goroutine of the cell from working for a time, while the term is renewed.
func (q *queueTest) holdBack(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(renewalPeriod) {
		renewed := boottime.Now()
		q.lastRenewal.Store(&renewed)
		q.post(func(_ time.Time, c *cell.Cell) { c.TermRenewed(renewed.Time()) })
	}
}

// work applies events and ticks for a time.
func (q *queueTest) work(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		q.applyQueuedEvents()
		q.decide()
		q.tick()
		q.decide()
		time.Sleep(50 * time.Millisecond)
	}
}

func (q *queueTest) close() {
	for _, session := range q.sessions {
		session.Close()
	}
	for _, session := range q.sessions {
		session.Wait()
	}
}

var longTask = jobspec.Job{Steps: []jobspec.Step{{Count: 1, CPUMillis: 900, EstimateMillis: 600_000}}}

// A slow leader gave up the runs on a worker whose leases had ended by what it had applied.
// Its session had extended them since, by answers that waited in the queue, and the task ran
// twice.
func TestRunIsNotGivenUpWhileReportsWaitInQueue(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		q, busy := newBusyQueueTest(t, ctx)
		defer q.close()
		busy.silent.Store(true)
		q.work(3 * time.Second)
		busy.silent.Store(false)
		q.holdBack(10 * time.Second)
		assert.Assert(t, busy.runs(), "the session must have extended the lease meanwhile")
		q.decide()
		q.tick()
		q.decide()
		assert.Equal(t, len(q.starts), 1, "the task was started again while it ran")
		q.work(3 * time.Second)
		assert.Equal(t, len(q.starts), 1)
	})
}

// Guards against a run that is given up because the cell leaves out the answers by which its
// session has extended the lease, for example as overtaken by a later one.
func TestRunIsNotGivenUpWhileReportsAreOvertaken(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		q, busy := newBusyQueueTest(t, ctx)
		defer q.close()
		now := time.Now()
		q.cell.ApplyReport(now, cell.Report{Worker: q.starts[0].Worker, Incarnation: 1, Sent: now.Add(time.Minute),
			Running: []cell.RunReport{{Task: q.starts[0].Task, Run: q.starts[0].Run}}, Complete: true})
		busy.silent.Store(true)
		q.work(3 * time.Second)
		busy.silent.Store(false)
		q.work(10 * time.Second)
		assert.Assert(t, busy.runs(), "the session must have extended the lease meanwhile")
		assert.Equal(t, len(q.starts), 1, "the task was started again while it ran")
	})
}

// A slow leader started a task again whose successful end it had received: the end was in
// the queue when the leases of the worker ended.
func TestEndInQueueIsAppliedBeforeLeaseExpires(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		q, busy := newBusyQueueTest(t, ctx)
		defer q.close()
		busy.silent.Store(true)
		q.work(3 * time.Second)
		busy.endRuns()
		busy.silent.Store(false)
		q.holdBack(2 * time.Second)
		busy.silent.Store(true)
		q.holdBack(10 * time.Second)
		q.decide()
		q.tick()
		q.decide()
		assert.Equal(t, len(q.starts), 1, "the task was started after its end was received")
		state, _ := q.cell.Lookup("00000000000000aa")
		assert.Equal(t, state, cell.Completed)
	})
}

// A slow leader ended the wait for a worker by the clock, although the worker had answered
// and its leases were extended: its answer, with a run of an earlier term, was in the queue.
func TestRecoveryWaitDoesNotEndWhileReportsWaitInQueue(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		now := time.Now()
		id := cell.TaskID{Job: "00000000000000aa"}
		workers := map[cell.WorkerID]*queuedWorker{"a": newQueuedWorker(cell.RunReport{Task: id, Run: 1001, Percent: 10}), "b": newQueuedWorker()}
		q := newQueueTest(t, ctx, cell.Config{Epoch: 2, RecoveryWait: 8 * time.Second, EarlierAuthority: 4 * time.Second,
			MaxEarlierLease: 5 * time.Second, EndedJobRetention: time.Minute}, workers)
		defer q.close()
		record := cell.JobRecord{ID: id.Job, Job: longTask, AcceptedMillis: now.UnixMilli(), Terms: cell.QueueTerms{Queue: "q", Pool: "p", Attempts: 3, Stretch: 2}}
		q.cell.Restore(now, []cell.JobRecord{record}, nil, q.infos())
		q.cell.UpdateWorkers(now, q.infos())
		workers["a"].silent.Store(true)
		q.work(2 * time.Second)
		workers["a"].silent.Store(false)
		q.holdBack(10 * time.Second)
		assert.Assert(t, workers["a"].runs(), "the session must have extended the lease meanwhile")
		q.decide()
		assert.Equal(t, len(q.starts), 0, "the task was started while it ran")
		q.work(3 * time.Second)
		assert.Equal(t, len(q.starts), 0)
	})
}

// Guards against a lease that is held for ever because it was extended once.
func TestRunIsGivenUpWhenAllLeasesThatWereSentHaveEnded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		q, busy := newBusyQueueTest(t, ctx)
		defer q.close()
		busy.silent.Store(true)
		for len(q.starts) == 1 {
			assert.Assert(t, time.Since(busy.begin) < time.Minute, "the run is never given up")
			assert.Equal(t, len(q.starts), 1)
			q.work(100 * time.Millisecond)
		}
		assert.Assert(t, !busy.runs(), "the task was started again while it ran")
	})
}
