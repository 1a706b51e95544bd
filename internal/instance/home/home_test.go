package home

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/logstream"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/process/token"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/serve"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/ownership"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
	"poplarvalve/test/platformstub"
	"poplarvalve/test/virtualtime"
)

var (
	_ serve.KeyGrants = (*Home)(nil)
	_ serve.Outcomes  = (*Home)(nil)
)

const testRules = `team t weight 1 quota 8cpu # desk: test
service rebuild team t class batch cpu 2 memory 1GB # desk: test
service watch team t class live cpu 1 memory 1GB # desk: test
service check team t class urgent cpu 1 memory 1GB # desk: test
`

func newUUIDv7(now time.Time, suffix byte) string {
	var id uuid.UUID
	millis := now.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (8 * (5 - i)))
	}
	id[6], id[8], id[15] = 0x70, 0x80, suffix
	return id.String()
}

func newJob(now time.Time, suffix byte) work.Job {
	return work.Job{ID: ident.JobID("t." + newUUIDv7(now, suffix)), Caller: "c", Service: "rebuild", Body: []byte{suffix}}
}

// directPeers passes messages between homes by direct calls.
type directPeers struct {
	homes map[ident.Incarnation]*Home
}

func (p *directPeers) CallJobOperation(ctx context.Context, to ident.Incarnation, job codec.Job) (codec.JobDone, error) {
	home := p.homes[to]
	if home == nil {
		return codec.JobDone{}, fault.New(fault.PeerUnreachable, "%s", to)
	}
	return home.HandleJob(ctx, ident.Incarnation{}, job)
}

func (p *directPeers) RequestWorker(context.Context, ident.Incarnation, codec.WorkerRequest) (codec.WorkerReply, error) {
	return codec.WorkerReply{}, nil
}

func incarnation(name string, nonce uint64) ident.Incarnation {
	return ident.Incarnation{Instance: ident.InstanceName(name), Nonce: nonce}
}

// ownershipTable returns an ownership table for members in one zone.
func ownershipTable(epoch ident.Epoch, members ...ident.Incarnation) *ownership.Table {
	state := &membership.State{Epoch: epoch}
	for _, member := range members {
		state.Members = append(state.Members, membership.Member{ID: member, Zone: "z", Region: "r"})
	}
	return ownership.New(state)
}

func newTestView(count int) *workers.View {
	var list []workers.Worker
	for i := range count {
		size := testCapacity
		list = append(list, workers.Worker{
			ID: ident.WorkerID(rune('a' + i)), Zone: "z", Region: "r", Capacity: size, Free: size, Ready: true, Reported: time.Now(),
		})
	}
	return workers.New(list)
}

func newTestConfig(t *testing.T, self ident.Incarnation, log logstream.Log, taskRunner TaskRunner, peers Peers) Config {
	t.Helper()
	set, problems := rules.Parse("test", testRules)
	assert.Equal(t, len(problems), 0, "%v", problems)
	return Config{
		Self: self, Clock: clock.System{}, Log: log, AppendRateLimit: logstream.NewAppendRateLimit(1000),
		LeaseValid: func(time.Time) bool { return true },
		Shards:     1, Retention: time.Hour,
		Rules:      publish.New(set),
		Workers:    publish.New(newTestView(3)),
		Ownership:  publish.New(ownershipTable(1, self)),
		TaskRunner: taskRunner, Peers: peers,
		Jitter: func() float64 { return 0.5 },
	}
}

// gatedClock blocks the callers of Now while the gate is closed.
type gatedClock struct {
	clock.System
	gate *pauseGate
}

func (c gatedClock) Now() time.Time {
	c.gate.waitUntilOpen()
	return time.Now()
}

// observedLog calls onRecord with each record that is read.
type observedLog struct {
	logstream.Log
	onRecord func(record.Record)
}

func (l observedLog) Read(ctx context.Context, s ident.StreamName, from ident.Offset, limit int, wait time.Duration) (logstream.Batch, error) {
	batch, err := l.Log.Read(ctx, s, from, limit, wait)
	for _, entry := range batch.Entries {
		if envelope, err := codec.DecodeRecord(entry); err == nil {
			l.onRecord(envelope.Record)
		}
	}
	return batch, err
}

// startHome runs a home in a goroutine. The returned function stops it and
// waits for it.
func startHome(t *testing.T, home *Home) func() {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); home.Run(ctx) }()
	return func() { cancel(); <-done }
}

// waitUntil polls a condition every second for ten minutes of virtual time, and
// fails the test with the given message if it never holds.
func waitUntil(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for range 600 {
		if condition() {
			return
		}
		time.Sleep(time.Second)
	}
	t.Fatal(failure)
}

// An accepted job must run to its end exactly once. A repeated submission must
// return the status of the existing job and not run it again, and one with
// other content must be refused.
func TestAcceptedJobRunsOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		platform := platformstub.New(nil)
		pool := newFakePool(1)
		home := New(newTestConfig(t, incarnation("a", 1), platform.Client("a"), pool, &directPeers{}))
		defer startHome(t, home)()
		time.Sleep(2 * time.Second)
		submitted := newJob(time.Now(), 1)
		status, err := home.Submit(t.Context(), submitted)
		assert.NilError(t, err)
		assert.Equal(t, status.State, work.JobWaiting)
		waitUntil(t, "the job did not succeed", func() bool {
			status, err := home.JobStatus(t.Context(), submitted.ID)
			assert.NilError(t, err)
			return status.State == work.JobSucceeded
		})
		status, err = home.Submit(t.Context(), submitted)
		assert.NilError(t, err)
		assert.Equal(t, status.State, work.JobSucceeded)
		negative := newJob(time.Now(), 2)
		negative.Demand.CPU = -1
		_, err = home.Submit(t.Context(), negative)
		assert.Equal(t, fault.KindOf(err), fault.BadRequest)
		submitted.Service = "watch"
		_, err = home.Submit(t.Context(), submitted)
		assert.Equal(t, fault.KindOf(err), fault.KeyReused)
		assert.Equal(t, pool.finishCount[submitted.ID], 1)
	})
}

// A key may be granted again only if its request did not run. The test would
// fail if a repeated request ran after the first one, including a repeat that
// read the job table before the outcome was recorded, or if a request that did
// not run used up its key.
func TestKeyIsGrantedAgainOnlyAfterNotRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		platform := platformstub.New(nil)
		home := New(newTestConfig(t, incarnation("a", 1), platform.Client("a"), newFakePool(1), &directPeers{}))
		defer startHome(t, home)()
		time.Sleep(2 * time.Second)
		key := newUUIDv7(time.Now(), 1)
		result, err := home.GrantKey(t.Context(), "c", key, token.Digest{1})
		assert.NilError(t, err)
		assert.Assert(t, result.Granted)
		home.FinishKey("c", key, work.Answer{Outcome: fault.NotRun})
		time.Sleep(2 * time.Second)
		result, err = home.GrantKey(t.Context(), "c", key, token.Digest{1})
		assert.NilError(t, err)
		assert.Assert(t, result.Granted, "the key must be granted again, since its request did not run")
		shard, err := home.localShard(0)
		assert.NilError(t, err)
		pending, _ := shard.currentTable().Key("c", key)
		_, err = home.GrantKey(t.Context(), "c", key, token.Digest{2})
		assert.Equal(t, fault.KindOf(err), fault.KeyReused)
		home.FinishKey("c", key, work.Answer{Outcome: fault.Ran, Body: []byte("permit")})
		result, err = home.GrantKey(t.Context(), "c", key, token.Digest{1})
		assert.NilError(t, err)
		assert.Assert(t, !result.Granted)
		assert.Equal(t, string(result.Answer.Body), "permit")
		time.Sleep(2 * time.Second)
		answer, found := home.RecordedAnswer(t.Context(), "c", key)
		assert.Assert(t, found)
		assert.Equal(t, string(answer.Body), "permit")
		granted, first, err := shard.claimGrant(pending)
		assert.NilError(t, err)
		assert.Assert(t, granted == nil && !first, "a repeat that read the table before the outcome got a grant")
		_, err = home.GrantKey(t.Context(), "c", newUUIDv7(time.Now().Add(-25*time.Hour), 2), token.Digest{1})
		assert.Equal(t, fault.KindOf(err), fault.KeyExpired)
		assert.Equal(t, fault.From(err).Outcome, fault.Unknown)
	})
}

// During an outage of the log, a refusal must not claim NotRun for a job whose
// record is queued and may still be appended, and a job must not be accepted
// without a record.
func TestRefusalsDuringLogOutageStateTrueOutcome(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		platform := platformstub.New(nil)
		pool := newFakePool(1)
		home := New(newTestConfig(t, incarnation("a", 1), platform.Client("a"), pool, &directPeers{}))
		defer startHome(t, home)()
		time.Sleep(2 * time.Second)
		platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = true })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		queued := newJob(time.Now(), 1)
		_, err := home.Submit(ctx, queued)
		assert.Equal(t, fault.KindOf(err), fault.LogUnavailable)
		assert.Equal(t, fault.From(err).Outcome, fault.Unknown, "the record is still queued for the log")
		time.Sleep(10 * time.Second)
		refused := newJob(time.Now(), 2)
		_, err = home.Submit(t.Context(), refused)
		assert.Equal(t, fault.From(err).Outcome, fault.NotRun)
		_, err = home.GrantKey(t.Context(), "c", newUUIDv7(time.Now(), 3), token.Digest{})
		assert.Equal(t, fault.From(err).Outcome, fault.NotRun)
		platform.ChangeFaults(func(faults *platformstub.Faults) { faults.Outage = false })
		waitUntil(t, "the job whose record was queued during the outage did not finish", func() bool { return pool.timesFinished(queued.ID) == 1 })
		assert.Equal(t, pool.timesFinished(refused.ID), 0)
	})
}

// Cancel must not return while the attempt of the job is still running.
func TestCancelReturnsAfterAttemptStopped(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		platform := platformstub.New(nil)
		pool := newFakePool(1)
		home := New(newTestConfig(t, incarnation("a", 1), platform.Client("a"), pool, &directPeers{}))
		defer startHome(t, home)()
		time.Sleep(2 * time.Second)
		submitted := newJob(time.Now(), 1)
		_, err := home.Submit(t.Context(), submitted)
		assert.NilError(t, err)
		waitUntil(t, "the job was not started", func() bool { return pool.isRunning(submitted.ID) })
		status, err := home.Cancel(t.Context(), submitted.ID)
		assert.NilError(t, err)
		assert.Equal(t, status.State, work.JobCanceled)
		assert.Assert(t, !pool.isRunning(submitted.ID))
		time.Sleep(time.Minute)
		assert.Assert(t, !pool.isRunning(submitted.ID))
	})
}

// A home may be paused after it has read back a placement and before it starts
// the attempt. If the pause is longer than the owner of the worker remembers
// its refusal, the owner would accept the start. The home must therefore notice
// on its own that its lease has ended, or the attempt would run beside one of
// the next home.
func TestPausedHomeStartsNoAttemptAfterLeaseEnds(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		platform := platformstub.New(nil)
		pool := newFakePool(1)
		pool.stepsPerJob = 1000
		paused, next := incarnation("a", 1), incarnation("b", 2)
		var leaseValid atomic.Bool
		var pauseOnce sync.Once
		gate := &pauseGate{}
		leaseValid.Store(true)
		log := observedLog{platform.Client("a"), func(body record.Record) {
			if _, placing := body.(record.AttemptPlaced); placing {
				pauseOnce.Do(func() { gate.pause(5 * time.Minute) })
			}
		}}
		config := newTestConfig(t, paused, log, gatedRunner{gate, pool}, &directPeers{})
		config.Clock = gatedClock{gate: gate}
		config.LeaseValid = func(time.Time) bool { return leaseValid.Load() }
		first := New(config)
		defer startHome(t, first)()
		time.Sleep(2 * time.Second)
		submitted := newJob(time.Now(), 1)
		_, err := first.Submit(t.Context(), submitted)
		assert.NilError(t, err)
		time.Sleep(10 * time.Second)
		leaseValid.Store(false)
		config = newTestConfig(t, next, platform.Client("b"), pool, &directPeers{})
		config.Ownership.Publish(ownershipTable(2, next))
		defer startHome(t, New(config))()
		waitUntil(t, "the next home did not start the job", func() bool { return pool.isRunning(submitted.ID) })
		time.Sleep(10 * time.Minute)
		assert.Equal(t, len(pool.violations), 0, "%v", pool.violations)
	})
}

// A placement by a replaced home that reaches the log late must be rejected. If
// it counted, the team would exceed its quota, because the next home has
// already placed other jobs.
func TestLatePlacementOfReplacedHomeIsRejected(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		platform := platformstub.New(nil)
		pool := newFakePool(1)
		pool.quota = map[string]int64{"t": 8000}
		old, next := incarnation("a", 1), incarnation("b", 2)
		config := newTestConfig(t, old, platform.Client("a"), pool, &directPeers{})
		delayedLog := &node{log: platform.Client("a")}
		config.Log = delayedLog
		config.Workers.Publish(workers.New(nil))
		first := New(config)
		defer startHome(t, first)()
		time.Sleep(2 * time.Second)
		for i := range byte(4) {
			_, err := first.Submit(t.Context(), newJob(time.Now(), i))
			assert.NilError(t, err)
		}
		delayedLog.gate.pause(20 * time.Second)
		config.Workers.Publish(newTestView(3))
		time.Sleep(5 * time.Second)
		config = newTestConfig(t, next, platform.Client("b"), pool, &directPeers{})
		config.Ownership.Publish(ownershipTable(2, next))
		config.Workers.Publish(workers.New(nil))
		second := New(config)
		defer startHome(t, second)()
		time.Sleep(2 * time.Second)
		for i := range byte(8) {
			live := newJob(time.Now(), 10+i)
			live.Service = "watch"
			_, err := second.Submit(t.Context(), live)
			assert.NilError(t, err)
		}
		config.Workers.Publish(newTestView(3))
		time.Sleep(time.Minute)
		assert.Equal(t, len(pool.violations), 0, "%v", pool.violations)
	})
}

// Jobs must not be lost when the log drops their records at the end of the
// retention. The next home must restore them from a snapshot.
func TestJobsSurviveLogRetention(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		platform := platformstub.New(nil)
		platform.ChangeFaults(func(faults *platformstub.Faults) { faults.RetainEntries = 100 })
		pool := newFakePool(1)
		config := newTestConfig(t, incarnation("a", 1), platform.Client("a"), pool, &directPeers{})
		config.Retention = time.Minute
		config.Workers.Publish(workers.New(nil))
		first := New(config)
		stop := startHome(t, first)
		time.Sleep(2 * time.Second)
		submitted := newJob(time.Now(), 1)
		_, err := first.Submit(t.Context(), submitted)
		assert.NilError(t, err)
		for i := range byte(200) {
			_, err := first.GrantKey(t.Context(), "c", newUUIDv7(time.Now(), i), token.Digest{})
			assert.NilError(t, err)
			time.Sleep(time.Second)
		}
		stop()
		config = newTestConfig(t, incarnation("b", 2), platform.Client("b"), pool, &directPeers{})
		defer startHome(t, New(config))()
		waitUntil(t, "the job did not finish after its home was replaced", func() bool { return pool.timesFinished(submitted.ID) == 1 })
	})
}
