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
	"poplarvalve/test/workerstub"
)

// counted counts grants and renewals that reach a worker.
type counted struct {
	*workerstub.Worker
	grants, renewals atomic.Int64
	newest           atomic.Pointer[ident.LeaseID]
}

func (c *counted) GrantLease(ctx context.Context, lease ident.LeaseID, period time.Duration) error {
	c.grants.Add(1)
	c.newest.Store(&lease)
	return c.Worker.GrantLease(ctx, lease, period)
}

func (c *counted) RenewTasks(ctx context.Context, tasks []ident.TaskID, period time.Duration) ([]ident.TaskID, error) {
	c.renewals.Add(int64(len(tasks)))
	return c.Worker.RenewTasks(ctx, tasks, period)
}

// bubble runs a test with an open session in virtual time.
func bubble(t *testing.T, run func(t *testing.T, session *worker.Session, stub *counted)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		stub := &counted{Worker: workerstub.New()}
		session := worker.NewSession(stub, clock.System{}, "w", ident.Incarnation{Instance: "a", Nonce: 1})
		table := worker.NewTable()
		table.Open(t.Context(), session)
		defer table.Close("w")
		time.Sleep(100 * time.Millisecond)
		run(t, session, stub)
	})
}

// Guards against a session that spins at an unreachable worker, or that does
// not come back when the worker does.
func TestUnreachableWorkerIsRetriedWithBackoff(t *testing.T) {
	bubble(t, func(t *testing.T, session *worker.Session, stub *counted) {
		stub.Change(func(s *workerstub.Settings) { s.Unreachable = true })
		stub.Restart()
		time.Sleep(time.Minute)
		assert.Assert(t, !session.Ready())
		stub.Change(func(s *workerstub.Settings) { s.Unreachable = false })
		time.Sleep(9 * time.Second)
		assert.Assert(t, session.Ready())
		before := stub.grants.Load()
		stub.Change(func(s *workerstub.Settings) { s.Leaving = true })
		stub.Restart()
		time.Sleep(time.Minute)
		assert.Assert(t, session.Leaving() && !session.Ready())
		assert.Assert(t, stub.grants.Load()-before < 20, "%d grants", stub.grants.Load()-before)
	})
}

// Guards against a retired lease that is valid at the worker after the time
// that RetireLease gave, and against a new lease that never comes.
func TestRetiredLeaseIsOverWhenSaid(t *testing.T) {
	for _, delay := range []time.Duration{0, 2500 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			bubble(t, func(t *testing.T, session *worker.Session, stub *counted) {
				time.Sleep(10 * time.Second)
				old, err := session.StartLease(time.Now())
				assert.NilError(t, err)
				if delay > 0 {
					stub.Lose(workerstub.Loss{Command: "RenewLease", Count: 1, Delay: delay})
				}
				over := session.RetireLease(old)
				assert.Assert(t, !session.Ready())
				assert.Equal(t, session.RetireLease(old), over)
				time.Sleep(time.Second)
				next, err := session.StartLease(time.Now())
				assert.NilError(t, err)
				assert.Assert(t, next != old)
				breaks, _ := session.Continuity()
				assert.Equal(t, breaks > 0, delay > 0)
				time.Sleep(time.Until(over))
				_, err = stub.Start(t.Context(), worker.StartCommand{Task: "late", StartLease: old})
				assert.Equal(t, fault.KindOf(err), fault.LeaseLapsed)
			})
		})
	}
}

// Guards against a renewal after GiveUp, and against a task that is dropped
// before or long after its run lease is over.
func TestGivenUpTaskIsNeverRenewed(t *testing.T) {
	bubble(t, func(t *testing.T, session *worker.Session, stub *counted) {
		lease, err := session.StartLease(time.Now())
		assert.NilError(t, err)
		command := worker.StartCommand{Task: "job/1", StartLease: lease, RunLease: worker.RunLeasePeriod, Class: work.Batch}
		_, err = stub.Start(t.Context(), command)
		assert.NilError(t, err)
		ended := make(chan worker.TaskReport, 1)
		session.Keep("job/1", time.Now(), func(report worker.TaskReport) { ended <- report })
		time.Sleep(30 * time.Second)
		assert.Assert(t, stub.renewals.Load() >= 5)
		over, kept := session.GiveUp("job/1")
		assert.Assert(t, kept)
		last, _ := session.LastRenewal("job/1")
		assert.Equal(t, over, last.Add(worker.RunLeasePeriod+worker.ClockMargin))
		renewals := stub.renewals.Load()
		report := <-ended
		assert.Equal(t, report.State, work.TaskStopped)
		assert.Assert(t, time.Since(last) >= worker.RunLeasePeriod)
		assert.Equal(t, stub.renewals.Load(), renewals)
	})
}

// Guards against a difference between the HTTP client and the stand-in's
// protocol.
func TestClientSpeaksTheProtocol(t *testing.T) {
	stub := workerstub.New()
	server := httptest.NewServer(stub)
	defer server.Close()
	client := worker.NewClient(strings.TrimPrefix(server.URL, "http://"), 4)
	ctx := t.Context()
	assert.NilError(t, client.GrantLease(ctx, "l#1", time.Minute))
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
	stub.Lose(workerstub.Loss{Command: "Stop", Count: 1})
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
