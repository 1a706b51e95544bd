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
	_ serve.Intents  = (*Home)(nil)
	_ serve.Outcomes = (*Home)(nil)
)

const testRules = `team t weight 1 quota 8cpu # desk: test
service rebuild team t class batch cpu 2 memory 1GB # desk: test
service watch team t class live cpu 1 memory 1GB # desk: test
service check team t class urgent cpu 1 memory 1GB # desk: test
`

func uuidAt(now time.Time, number byte) string {
	var id uuid.UUID
	millis := now.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (8 * (5 - i)))
	}
	id[6], id[8], id[15] = 0x70, 0x80, number
	return id.String()
}

func jobAt(now time.Time, number byte) work.Job {
	return work.Job{ID: ident.JobID("t." + uuidAt(now, number)), Caller: "c", Service: "rebuild", Body: []byte{number}}
}

// network connects homes directly.
type network struct {
	homes map[ident.Incarnation]*Home
}

func (n *network) Job(ctx context.Context, to ident.Incarnation, job codec.Job) (codec.JobDone, error) {
	home := n.homes[to]
	if home == nil {
		return codec.JobDone{}, fault.New(fault.PeerUnreachable, "%s", to)
	}
	return home.HandleJob(ctx, ident.Incarnation{}, job)
}

func (n *network) Offer(context.Context, ident.Incarnation, codec.Offer) (codec.Offered, error) {
	return codec.Offered{}, nil
}

func incarnation(name string, nonce uint64) ident.Incarnation {
	return ident.Incarnation{Instance: ident.InstanceName(name), Nonce: nonce}
}

// tableOf returns the ownership among incarnations in one zone.
func tableOf(epoch ident.Epoch, members ...ident.Incarnation) *ownership.Table {
	state := &membership.State{Epoch: epoch}
	for _, member := range members {
		state.Members = append(state.Members, membership.Member{ID: member, Zone: "z", Region: "r"})
	}
	return ownership.New(state)
}

func testView(count int) *workers.View {
	var list []workers.Worker
	for i := range count {
		size := testCapacity
		list = append(list, workers.Worker{
			ID: ident.WorkerID(rune('a' + i)), Zone: "z", Region: "r", Capacity: size, Free: size, Ready: true, Reported: time.Now(),
		})
	}
	return workers.New(list)
}

func testConfig(t *testing.T, self ident.Incarnation, log logstream.Log, starts Starts, peers Peers) Config {
	t.Helper()
	set, problems := rules.Parse("test", testRules)
	assert.Equal(t, len(problems), 0, "%v", problems)
	return Config{
		Self: self, Clock: clock.System{}, Log: log, Budget: logstream.NewBudget(1000),
		Open:   func(time.Time) bool { return true },
		Shards: 1, Retention: time.Hour,
		Rules:     publish.New(set),
		Workers:   publish.New(testView(3)),
		Ownership: publish.New(tableOf(1, self)),
		Starts:    starts, Peers: peers,
		Jitter: func() float64 { return 0.5 },
	}
}

// pausedClock stops its readers while the gate is shut.
type pausedClock struct {
	clock.System
	gate *gate
}

func (c pausedClock) Now() time.Time {
	c.gate.pass()
	return time.Now()
}

// watchedLog calls seen with each record that was read.
type watchedLog struct {
	logstream.Log
	seen func(record.Record)
}

func (l watchedLog) Read(ctx context.Context, s ident.StreamName, from ident.Offset, limit int, wait time.Duration) (logstream.Batch, error) {
	batch, err := l.Log.Read(ctx, s, from, limit, wait)
	for _, entry := range batch.Entries {
		if envelope, err := codec.DecodeRecord(entry); err == nil {
			l.seen(envelope.Record)
		}
	}
	return batch, err
}

// running runs a home until the returned function is called.
func running(t *testing.T, home *Home) func() {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); home.Run(ctx) }()
	return func() { cancel(); <-done }
}

// eventually waits in virtual time.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 600 {
		if holds() {
			return
		}
		time.Sleep(time.Second)
	}
	t.Fatal(what)
}

// Guards against an accepted job that does not run to its end, and against a
// repeat of a submission that runs it again.
func TestJobRunsOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		stub := platformstub.New(nil)
		machine := newMachine(1)
		home := New(testConfig(t, incarnation("a", 1), stub.Client("a"), machine, &network{}))
		defer running(t, home)()
		time.Sleep(2 * time.Second)
		submitted := jobAt(time.Now(), 1)
		status, err := home.Submit(t.Context(), submitted)
		assert.NilError(t, err)
		assert.Equal(t, status.State, work.JobWaiting)
		eventually(t, "the job does not succeed", func() bool {
			status, err := home.Job(t.Context(), submitted.ID)
			assert.NilError(t, err)
			return status.State == work.JobSucceeded
		})
		status, err = home.Submit(t.Context(), submitted)
		assert.NilError(t, err)
		assert.Equal(t, status.State, work.JobSucceeded)
		negative := jobAt(time.Now(), 2)
		negative.Demand.CPU = -1
		_, err = home.Submit(t.Context(), negative)
		assert.Equal(t, fault.KindOf(err), fault.BadRequest)
		submitted.Service = "watch"
		_, err = home.Submit(t.Context(), submitted)
		assert.Equal(t, fault.KindOf(err), fault.KeyReused)
		assert.Equal(t, machine.finished[submitted.ID], 1)
	})
}

// Guards against a key that runs twice, and against one that is lost to a
// request that did not run.
func TestKeyIsGrantedOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		stub := platformstub.New(nil)
		home := New(testConfig(t, incarnation("a", 1), stub.Client("a"), newMachine(1), &network{}))
		defer running(t, home)()
		time.Sleep(2 * time.Second)
		key := uuidAt(time.Now(), 1)
		state, err := home.Begin(t.Context(), "c", key, token.Digest{1})
		assert.NilError(t, err)
		assert.Assert(t, state.Granted)
		home.Finish("c", key, work.Answer{Outcome: fault.NotRun})
		time.Sleep(2 * time.Second)
		state, err = home.Begin(t.Context(), "c", key, token.Digest{1})
		assert.NilError(t, err)
		assert.Assert(t, state.Granted, "the request did not run")
		shard, err := home.local(0)
		assert.NilError(t, err)
		pending, _ := shard.current().Key("c", key)
		_, err = home.Begin(t.Context(), "c", key, token.Digest{2})
		assert.Equal(t, fault.KindOf(err), fault.KeyReused)
		home.Finish("c", key, work.Answer{Outcome: fault.Ran, Body: []byte("permit")})
		state, err = home.Begin(t.Context(), "c", key, token.Digest{1})
		assert.NilError(t, err)
		assert.Assert(t, !state.Granted)
		assert.Equal(t, string(state.Answer.Body), "permit")
		time.Sleep(2 * time.Second)
		answer, found := home.Recorded(t.Context(), "c", key)
		assert.Assert(t, found)
		assert.Equal(t, string(answer.Body), "permit")
		granted, first, err := shard.claimKey(pending)
		assert.NilError(t, err)
		assert.Assert(t, granted == nil && !first, "a repeat that read the table before the outcome")
		_, err = home.Begin(t.Context(), "c", uuidAt(time.Now().Add(-25*time.Hour), 2), token.Digest{1})
		assert.Equal(t, fault.KindOf(err), fault.KeyExpired)
		assert.Equal(t, fault.From(err).Outcome, fault.Unknown)
	})
}

// Guards against a refusal that is not true while the log is down, and against
// a job that is accepted without a record.
func TestLogDownRefusesTruthfully(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		stub := platformstub.New(nil)
		machine := newMachine(1)
		home := New(testConfig(t, incarnation("a", 1), stub.Client("a"), machine, &network{}))
		defer running(t, home)()
		time.Sleep(2 * time.Second)
		stub.Set(func(c *platformstub.Control) { c.Outage = true })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		early := jobAt(time.Now(), 1)
		_, err := home.Submit(ctx, early)
		assert.Equal(t, fault.KindOf(err), fault.LogUnavailable)
		assert.Equal(t, fault.From(err).Outcome, fault.Unknown, "a record waits for the log")
		time.Sleep(10 * time.Second)
		late := jobAt(time.Now(), 2)
		_, err = home.Submit(t.Context(), late)
		assert.Equal(t, fault.From(err).Outcome, fault.NotRun)
		_, err = home.Begin(t.Context(), "c", uuidAt(time.Now(), 3), token.Digest{})
		assert.Equal(t, fault.From(err).Outcome, fault.NotRun)
		stub.Set(func(c *platformstub.Control) { c.Outage = false })
		eventually(t, "the record in the queue is lost", func() bool { return machine.finishedCount(early.ID) == 1 })
		assert.Equal(t, machine.finishedCount(late.ID), 0)
	})
}

// Guards against a cancellation that is answered while the job still runs.
func TestCancelStopsTheAttemptFirst(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		stub := platformstub.New(nil)
		machine := newMachine(1)
		home := New(testConfig(t, incarnation("a", 1), stub.Client("a"), machine, &network{}))
		defer running(t, home)()
		time.Sleep(2 * time.Second)
		submitted := jobAt(time.Now(), 1)
		_, err := home.Submit(t.Context(), submitted)
		assert.NilError(t, err)
		eventually(t, "the job does not run", func() bool { return machine.runs(submitted.ID) })
		status, err := home.Cancel(t.Context(), submitted.ID)
		assert.NilError(t, err)
		assert.Equal(t, status.State, work.JobCanceled)
		assert.Assert(t, !machine.runs(submitted.ID))
		time.Sleep(time.Minute)
		assert.Assert(t, !machine.runs(submitted.ID))
	})
}

// Guards against a home that was paused between the read-back of a placement
// and the start for longer than the owner remembers its refusal.
func TestPausedHomeBeginsNothing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		stub := platformstub.New(nil)
		machine := newMachine(1)
		machine.steps = 1000
		paused, next := incarnation("a", 1), incarnation("b", 2)
		var lease atomic.Bool
		var once sync.Once
		shut := &gate{}
		lease.Store(true)
		log := watchedLog{stub.Client("a"), func(body record.Record) {
			if _, placing := body.(record.Placing); placing {
				once.Do(func() { shut.pause(5 * time.Minute) })
			}
		}}
		config := testConfig(t, paused, log, startsGate{shut, machine}, &network{})
		config.Clock = pausedClock{gate: shut}
		config.Open = func(time.Time) bool { return lease.Load() }
		first := New(config)
		defer running(t, first)()
		time.Sleep(2 * time.Second)
		submitted := jobAt(time.Now(), 1)
		_, err := first.Submit(t.Context(), submitted)
		assert.NilError(t, err)
		time.Sleep(10 * time.Second)
		lease.Store(false)
		config = testConfig(t, next, stub.Client("b"), machine, &network{})
		config.Ownership.Publish(tableOf(2, next))
		defer running(t, New(config))()
		eventually(t, "the next home starts nothing", func() bool { return machine.runs(submitted.ID) })
		time.Sleep(10 * time.Minute)
		assert.Equal(t, len(machine.breaches), 0, "%v", machine.breaches)
	})
}

// Guards against a placement of a replaced home that counts, and with it more
// running than the quota of the team.
func TestLatePlacementOfReplacedHomeIsVoid(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		stub := platformstub.New(nil)
		machine := newMachine(1)
		machine.quota = map[string]int64{"t": 8000}
		old, next := incarnation("a", 1), incarnation("b", 2)
		config := testConfig(t, old, stub.Client("a"), machine, &network{})
		late := &node{log: stub.Client("a")}
		config.Log = late
		config.Workers.Publish(workers.New(nil))
		first := New(config)
		defer running(t, first)()
		time.Sleep(2 * time.Second)
		for i := range byte(4) {
			_, err := first.Submit(t.Context(), jobAt(time.Now(), i))
			assert.NilError(t, err)
		}
		late.gate.pause(20 * time.Second)
		config.Workers.Publish(testView(3))
		time.Sleep(5 * time.Second)
		config = testConfig(t, next, stub.Client("b"), machine, &network{})
		config.Ownership.Publish(tableOf(2, next))
		config.Workers.Publish(workers.New(nil))
		second := New(config)
		defer running(t, second)()
		time.Sleep(2 * time.Second)
		for i := range byte(8) {
			live := jobAt(time.Now(), 10+i)
			live.Service = "watch"
			_, err := second.Submit(t.Context(), live)
			assert.NilError(t, err)
		}
		config.Workers.Publish(testView(3))
		time.Sleep(time.Minute)
		assert.Equal(t, len(machine.breaches), 0, "%v", machine.breaches)
	})
}

// Guards against jobs that are lost when the log drops their records.
func TestJobsOutliveTheRetention(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		stub := platformstub.New(nil)
		stub.Set(func(c *platformstub.Control) { c.Retain = 100 })
		machine := newMachine(1)
		config := testConfig(t, incarnation("a", 1), stub.Client("a"), machine, &network{})
		config.Retention = time.Minute
		config.Workers.Publish(workers.New(nil))
		first := New(config)
		stop := running(t, first)
		time.Sleep(2 * time.Second)
		submitted := jobAt(time.Now(), 1)
		_, err := first.Submit(t.Context(), submitted)
		assert.NilError(t, err)
		for i := range byte(200) {
			_, err := first.Begin(t.Context(), "c", uuidAt(time.Now(), i), token.Digest{})
			assert.NilError(t, err)
			time.Sleep(time.Second)
		}
		stop()
		config = testConfig(t, incarnation("b", 2), stub.Client("b"), machine, &network{})
		defer running(t, New(config))()
		eventually(t, "the job is lost", func() bool { return machine.finishedCount(submitted.ID) == 1 })
	})
}
