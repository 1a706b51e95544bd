package worker_test

import (
	"bufio"
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/test/virtualtime"
	"poplarvalve/test/workerstub"
)

// countingWorker counts the grants and renewals that reach a worker.
type countingWorker struct {
	*workerstub.Worker
	grants, renewals atomic.Int64
	newest           atomic.Pointer[ident.LeaseID]
}

func (c *countingWorker) RequestLease(ctx context.Context, lease ident.LeaseID, period time.Duration) error {
	c.grants.Add(1)
	c.newest.Store(&lease)
	return c.Worker.RequestLease(ctx, lease, period)
}

func (c *countingWorker) RenewTasks(ctx context.Context, tasks []ident.TaskID, period time.Duration) ([]ident.TaskID, error) {
	c.renewals.Add(int64(len(tasks)))
	return c.Worker.RenewTasks(ctx, tasks, period)
}

// withOpenSession runs a test in virtual time with an open session.
func withOpenSession(t *testing.T, run func(t *testing.T, session *worker.Session, stub *countingWorker)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		stub := &countingWorker{Worker: workerstub.New()}
		session := worker.NewFirstSession(stub, clock.System{}, "w", ident.Incarnation{Instance: "a", Nonce: 1})
		table := worker.NewSessionTable()
		table.Open(t.Context(), session)
		defer table.Close("w")
		time.Sleep(100 * time.Millisecond)
		run(t, session, stub)
	})
}

// A session must not retry an unreachable or leaving worker without backoff,
// and must be ready again soon after the worker is reachable.
func TestUnreachableWorkerIsRetriedWithBackoff(t *testing.T) {
	withOpenSession(t, func(t *testing.T, session *worker.Session, stub *countingWorker) {
		stub.ChangeSettings(func(s *workerstub.Settings) { s.Unreachable = true })
		stub.Restart()
		time.Sleep(time.Minute)
		assert.Assert(t, !session.Ready())
		stub.ChangeSettings(func(s *workerstub.Settings) { s.Unreachable = false })
		time.Sleep(9 * time.Second)
		assert.Assert(t, session.Ready())
		before := stub.grants.Load()
		stub.ChangeSettings(func(s *workerstub.Settings) { s.Leaving = true })
		stub.Restart()
		time.Sleep(time.Minute)
		assert.Assert(t, session.Leaving() && !session.Ready())
		assert.Assert(t, stub.grants.Load()-before < 20, "%d lease grants within a minute of leaving, want fewer than 20", stub.grants.Load()-before)
	})
}

// A lease must have ended at the worker at its stated end, whichever message
// arrives late, and each grant must use a new identifier. Otherwise a start of
// an earlier owner could still be accepted after a takeover.
func TestStartLeaseHasEndedAtStatedTime(t *testing.T) {
	for _, command := range []string{"", "GrantLease", "RenewLease"} {
		t.Run("late "+command, func(t *testing.T) {
			withOpenSession(t, func(t *testing.T, session *worker.Session, stub *countingWorker) {
				time.Sleep(10 * time.Second)
				old, err := session.StartLease(time.Now())
				assert.NilError(t, err)
				stub.AddLoss(workerstub.ReplyLoss{Command: command, Count: 1, Delay: 2500 * time.Millisecond})
				time.Sleep(1900 * time.Millisecond)
				next, err := session.StartLease(time.Now())
				assert.NilError(t, err)
				assert.Assert(t, next.ID != old.ID)
				assert.Assert(t, !old.EndedAtWorker.Before(old.LastStart.Add(worker.ClockMargin)))
				time.Sleep(time.Until(old.EndedAtWorker))
				_, err = stub.Start(t.Context(), worker.StartCommand{Task: "late", StartLease: old.ID})
				assert.Equal(t, fault.KindOf(err), fault.LeaseExpired)
			})
		})
	}
}

// A session must not repeat the lease identifiers of an earlier session of the
// same incarnation. Its grants would be refused, or a start under the earlier
// lease would be accepted late.
func TestNextSessionUsesNewLeaseIdentifiers(t *testing.T) {
	withOpenSession(t, func(t *testing.T, first *worker.Session, stub *countingWorker) {
		time.Sleep(5 * time.Second)
		first.StopStarts()
		next := worker.NewFirstSession(stub, clock.System{}, "w", ident.Incarnation{Instance: "a", Nonce: 1})
		table := worker.NewSessionTable()
		table.Open(t.Context(), next)
		defer table.Close("w")
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, next.Ready())
	})
}

// A restart of the worker must raise the continuity count, and a lost or late
// message must not be taken for a restart.
func TestContinuityCountsRestarts(t *testing.T) {
	withOpenSession(t, func(t *testing.T, session *worker.Session, stub *countingWorker) {
		first, _ := session.Continuity()
		assert.Equal(t, first, uint64(1))
		for _, command := range []string{"GrantLease", "RenewLease"} {
			stub.AddLoss(workerstub.ReplyLoss{Command: command, Count: 1})
			stub.AddLoss(workerstub.ReplyLoss{Command: command, Count: 1, DropCommand: true})
			stub.AddLoss(workerstub.ReplyLoss{Command: command, Count: 1, Delay: 2 * time.Second})
		}
		time.Sleep(15 * time.Second)
		requestedAt := time.Now()
		session.RequestContinuityProof()
		synctest.Wait()
		same, provenUntil := session.Continuity()
		assert.Equal(t, same, first)
		assert.Assert(t, !provenUntil.Before(requestedAt))
		stub.Restart()
		session.RequestContinuityProof()
		synctest.Wait()
		changed, _ := session.Continuity()
		assert.Assert(t, changed > first)
	})
}

// After StopRenewal no renewal may be sent, and the task must be reported as
// ended when its run lease has ended: not before, and not long after.
func TestTaskIsNeverRenewedAfterStopRenewal(t *testing.T) {
	withOpenSession(t, func(t *testing.T, session *worker.Session, stub *countingWorker) {
		lease, err := session.StartLease(time.Now())
		assert.NilError(t, err)
		command := worker.StartCommand{Task: "job/1", StartLease: lease.ID, RunLease: worker.RunLeasePeriod, Class: work.Batch}
		_, err = stub.Start(t.Context(), command)
		assert.NilError(t, err)
		ended := make(chan worker.TaskReport, 1)
		session.TrackTask("job/1", time.Now(), func(report worker.TaskReport) { ended <- report })
		time.Sleep(30 * time.Second)
		assert.Assert(t, stub.renewals.Load() >= 5)
		leaseEnd, tracked := session.StopRenewal("job/1")
		assert.Assert(t, tracked)
		last, _ := session.LastRenewal("job/1")
		assert.Equal(t, leaseEnd, last.Add(worker.RunLeasePeriod+worker.ClockMargin))
		renewals := stub.renewals.Load()
		report := <-ended
		assert.Equal(t, report.State, work.TaskStopped)
		assert.Assert(t, time.Since(last) >= worker.RunLeasePeriod)
		assert.Equal(t, stub.renewals.Load(), renewals)
	})
}

// The client must send requests and read replies as the protocol of the test
// worker defines them.
func TestClientSpeaksTheProtocol(t *testing.T) {
	stub := workerstub.New()
	server := httptest.NewServer(stub)
	defer server.Close()
	client := worker.NewClient(strings.TrimPrefix(server.URL, "http://"), 4)
	ctx := t.Context()
	assert.NilError(t, client.RequestLease(ctx, "l#1", time.Minute))
	assert.NilError(t, client.RenewLease(ctx, "l#1", time.Minute))
	command := worker.StartCommand{Task: "job/1", StartLease: "l#1", RunLease: time.Minute}
	_, err := client.Start(ctx, command)
	assert.NilError(t, err)
	_, err = client.Start(ctx, command)
	assert.Equal(t, fault.KindOf(err), fault.WorkerRefused)
	missing, err := client.RenewTasks(ctx, []ident.TaskID{"job/1", "job/2"}, time.Minute)
	assert.NilError(t, err)
	assert.DeepEqual(t, missing, []ident.TaskID{"job/2"})
	assert.NilError(t, client.Throttle(ctx, "job/1", 50))
	_, err = client.Checkpoint(ctx, "job/1")
	assert.NilError(t, err)
	usage, err := client.Usage(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(usage.Tasks), 1)
	stub.AddLoss(workerstub.ReplyLoss{Command: "Stop", Count: 1})
	_, err = client.Stop(ctx, "job/1")
	assert.Equal(t, fault.KindOf(err), fault.WorkerLost)
	report, err := client.Task(ctx, "job/1")
	assert.NilError(t, err)
	assert.Equal(t, report.State, work.TaskStopped)
	events, err := client.Feed(ctx, "counts", 41)
	assert.NilError(t, err)
	defer events.Close()
	line, err := bufio.NewReader(events).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "{\"feed\":\"counts\",\"position\":42}\n")
}

// continuityLoser is a worker at which every grant of a continuity lease is
// lost.
type continuityLoser struct{ *workerstub.Worker }

func (l continuityLoser) RequestLease(ctx context.Context, lease ident.LeaseID, period time.Duration) error {
	if period > worker.StartLeasePeriod {
		return fault.New(fault.WorkerLost, "lease %s", lease)
	}
	return l.Worker.RequestLease(ctx, lease, period)
}

// A session must get no start lease before its first continuity lease. A task
// started earlier and lost in a restart of the worker would be reported as never
// started.
func TestNoStartLeaseBeforeContinuity(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		session := worker.NewFirstSession(continuityLoser{workerstub.New()}, clock.System{}, "w", ident.Incarnation{Instance: "a", Nonce: 1})
		table := worker.NewSessionTable()
		table.Open(t.Context(), session)
		defer table.Close("w")
		time.Sleep(10 * time.Second)
		assert.Assert(t, !session.Ready())
	})
}
