package home

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fence"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/ledger"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/start"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/ownership"
	"poplarvalve/test/platformstub"
	"poplarvalve/test/virtualtime"
	"poplarvalve/test/workerstub"
)

// newRunner returns a runner that owns worker "a" of newTestView.
func newRunner(ctx context.Context, name string, client worker.WorkerClient) *start.Runner {
	account := ledger.NewAccount(testCapacity)
	table := worker.NewSessionTable()
	runner := &start.Runner{
		Clock: clock.System{}, Fence: fence.New(time.Now()), Ledger: ledger.New(), RunLease: worker.RunLeasePeriod,
		Sessions: tableSessions{table}, Random: func() float64 { return 0.5 },
	}
	runner.Fence.Renew(time.Now(), time.Hour)
	runner.Ledger.Open("a", account)
	session := worker.NewTakeoverSession(worker.Options{
		Client: client, Clock: clock.System{}, Worker: "a", StartFence: runner.Fence, Account: account, Random: runner.Random,
		Holder: ident.Incarnation{Instance: ident.InstanceName(name), Nonce: 1},
	})
	table.Open(ctx, session)
	session.ConfirmEarlierOwnersOver()
	return runner
}

type tableSessions struct{ table *worker.SessionTable }

func (s tableSessions) Session(id ident.WorkerID) (start.Session, bool) { return s.table.Find(id) }

// Checks that a job continues from its checkpoint right after an eviction. The
// test fails if the owner of the worker does not report the eviction, so that
// the home of the job learns of it only by polling, or if the checkpoint is
// lost between the owner, the log and the next attempt.
func TestEvictedJobResumesFromCheckpointWithoutPolling(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(2 * time.Minute)
		defer cancel()
		backend := workerstub.New()
		backend.ChangeSettings(func(s *workerstub.Settings) { s.Capacity = testCapacity })
		platform := platformstub.New(nil)
		peers := &directPeers{homes: map[ident.Incarnation]*Home{}}
		members := ownership.New(&membership.State{Epoch: 1, Members: []membership.Member{
			{ID: incarnation("far", 1), Zone: "other", Region: "other"},
			{ID: incarnation("near", 1), Zone: "z", Region: "r"},
		}})
		home, _ := members.Home(0)
		assert.Equal(t, home.ID, incarnation("far", 1), "the home of the job must not own the worker in this test")
		runner := newRunner(ctx, "near", backend)
		for _, name := range []string{"far", "near"} {
			self := incarnation(name, 1)
			config := newTestConfig(t, self, platform.Client(name), runner, peers)
			config.Ownership.Publish(members)
			config.Workers.Publish(newTestView(1))
			peers.homes[self] = New(config)
			defer startHome(t, peers.homes[self])()
		}
		time.Sleep(5 * time.Second)
		submitted := newJob(time.Now(), 1)
		submitted.Body = []byte(`{"sleep_ms":60000,"steps":60}`)
		near := peers.homes[incarnation("near", 1)]
		submittedAt := time.Now()
		_, err := near.Submit(ctx, submitted)
		assert.NilError(t, err)
		time.Sleep(20 * time.Second)
		evicted, err := runner.Evict(ctx, "a", ident.AttemptTask(submitted.ID, 1))
		assert.NilError(t, err)
		assert.Assert(t, evicted.Ended)
		waitUntil(t, "the job did not succeed", func() bool {
			status, err := near.JobStatus(ctx, submitted.ID)
			assert.NilError(t, err)
			return status.State == work.JobSucceeded
		})
		assert.Assert(t, time.Since(submittedAt) < 65*time.Second, "%s", time.Since(submittedAt))
		resumed := backend.History()[2]
		assert.Equal(t, resumed.Task, ident.AttemptTask(submitted.ID, 2))
		assert.Assert(t, resumed.ResumedProgress >= 15*time.Second, "%s", resumed.ResumedProgress)
		status, err := near.JobStatus(ctx, submitted.ID)
		assert.NilError(t, err)
		assert.Equal(t, status.Evictions, 1)
	})
}
