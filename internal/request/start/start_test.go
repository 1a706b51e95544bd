package start_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/fence"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/ledger"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/start"
	"poplarvalve/test/virtualtime"
	"poplarvalve/test/workerstub"
)

var (
	capacity = resource.Vector{CPU: 8000, Memory: 8000, Slots: 4, Connections: 8}
	demand   = resource.Vector{CPU: 2000, Memory: 1000, Slots: 1}
)

// owner is one instance that owns the worker of a test.
type owner struct {
	*start.Runner
	table   *worker.Table
	session *worker.Session
	account *ledger.Account
}

func (o *owner) Session(id ident.WorkerID) (start.Session, bool) {
	return o.table.Find(id)
}

// newOwner starts a takeover of the worker; cancel it by the test's context.
func newOwner(ctx context.Context, name string, api worker.API) *owner {
	o := &owner{table: worker.NewTable(), account: ledger.NewAccount(capacity)}
	o.Runner = &start.Runner{
		Clock: clock.System{}, Fence: fence.New(time.Now()), Ledger: ledger.New(), RunLease: worker.RunLeasePeriod,
	}
	o.Sessions = o
	o.Random = func() float64 { return 0.5 }
	o.Fence.Renew(time.Now(), time.Hour)
	o.Ledger.Open("w", o.account)
	o.session = worker.NewTakeover(worker.Options{
		API: api, Clock: clock.System{}, Worker: "w", Fence: o.Fence, Account: o.account, Random: o.Random,
		Holder: ident.Incarnation{Instance: ident.InstanceName(name), Nonce: 1},
	})
	o.table.Open(ctx, o.session)
	return o
}

// ready returns an owner whose takeover is complete.
func ready(ctx context.Context, name string, api worker.API) *owner {
	o := newOwner(ctx, name, api)
	o.session.EarlierOwnersOver()
	time.Sleep(4 * time.Second)
	return o
}

func batch(id string) start.Task {
	return start.Task{ID: ident.TaskID(id), Worker: "w", Class: work.Batch, Body: []byte(`{"sleep_ms":60000,"steps":60}`), Demand: demand}
}

func urgent(id string) start.Task {
	return start.Task{ID: ident.TaskID(id), Worker: "w", Class: work.Urgent, Body: []byte("body"), Demand: demand}
}

// bubble runs a test in virtual time with a context that ends with the test.
func bubble(t *testing.T, run func(t *testing.T, ctx context.Context, stub *workerstub.Worker)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(2 * time.Minute)
		defer cancel()
		stub := workerstub.New()
		stub.Change(func(s *workerstub.Settings) { s.Capacity = capacity })
		run(t, ctx, stub)
	})
}

// Guards against a takeover that opens a worker before the last start of the
// old owner has either been counted or been refused.
func TestTakeoverCountsOrExcludesLateStart(t *testing.T) {
	for _, late := range []time.Duration{100 * time.Millisecond, 2900 * time.Millisecond, 3600 * time.Millisecond, 5 * time.Second} {
		t.Run(late.String(), func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
				old := ready(ctx, "old", stub)
				stub.Lose(workerstub.Loss{Command: "Start", Count: 1, Delay: late})
				short, stop := context.WithTimeout(ctx, time.Millisecond)
				defer stop()
				_, _ = old.Begin(short, batch("late/1"))
				old.Fence.Close()
				next := newOwner(ctx, "next", stub)
				next.session.EarlierOwnersOver()
				time.Sleep(3 * time.Second)
				assert.Assert(t, !next.session.Ready())
				time.Sleep(3 * time.Second)
				assert.Assert(t, next.session.Ready())
				counted := resource.Vector{}
				if stub.Starts("late/1") == 1 {
					counted = demand
				}
				assert.Equal(t, next.account.Used(), counted)
				for i := range 6 {
					_, _ = next.Begin(ctx, batch(fmt.Sprintf("new/%d", i)))
				}
				assert.Assert(t, !stub.Exceeded())
			})
		})
	}
}

// Guards against a message about a lease of a paused owner that arrives late,
// lets a late start in after the next owner has counted, and so exceeds the
// worker's capacity. The start arrives 5.1 s after it was sent; the next owner
// is ready after 4.55 s.
func TestLateLeaseMessageLetsNoStartPastTakeover(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		old := ready(ctx, "old", stub)
		time.Sleep(500 * time.Millisecond)
		stub.Lose(workerstub.Loss{Command: "Start", Count: 1, Delay: 5100 * time.Millisecond})
		stub.Lose(workerstub.Loss{Command: "RenewLease", Count: 1, Delay: 1900 * time.Millisecond})
		stub.Lose(workerstub.Loss{Command: "GrantLease", Count: 1, Delay: 1900 * time.Millisecond})
		short, stop := context.WithTimeout(ctx, time.Millisecond)
		defer stop()
		_, _ = old.Begin(short, batch("late/1"))
		time.Sleep(1050 * time.Millisecond)
		old.Fence.Close()
		next := newOwner(ctx, "next", stub)
		next.session.EarlierOwnersOver()
		time.Sleep(3600 * time.Millisecond)
		assert.Assert(t, next.session.Ready())
		for i := range 4 {
			_, err := next.Begin(ctx, batch(fmt.Sprintf("new/%d", i)))
			assert.NilError(t, err)
		}
		time.Sleep(time.Second)
		assert.Equal(t, stub.Starts("late/1"), 0)
		assert.Assert(t, !stub.Exceeded())
	})
}

// pausing is a session whose owner is paused while it reads its start lease,
// during which another thread may still adopt a late grant.
type pausing struct {
	start.Session
	pause time.Duration
}

func (p pausing) StartLease(now time.Time) (worker.Lease, error) {
	time.Sleep(p.pause)
	return p.Session.StartLease(now)
}

func (p pausing) find(ident.WorkerID) (start.Session, bool) { return p, true }

// sessionsFunc implements start.Sessions.
type sessionsFunc func(ident.WorkerID) (start.Session, bool)

func (f sessionsFunc) Session(id ident.WorkerID) (start.Session, bool) { return f(id) }

// Guards against a fence check at a time read before the start lease.
func TestFenceIsCheckedAfterStartLease(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := ready(ctx, "a", stub)
		o.Fence.Close()
		o.Fence.Renew(time.Now(), time.Second)
		o.Sessions = sessionsFunc(pausing{o.session, 2 * time.Second}.find)
		_, err := o.Call(ctx, urgent("paused"))
		assert.Equal(t, fault.KindOf(err), fault.Fenced)
		assert.Equal(t, stub.Starts("paused"), 0)
	})
}

// Guards against a start that was checked before a pause and sent after it.
func TestStartAfterPauseIsRefused(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := ready(ctx, "a", stub)
		lease, err := o.session.StartLease(time.Now())
		assert.NilError(t, err)
		o.Fence.Close()
		_, err = o.Call(ctx, urgent("fenced at once"))
		assert.Equal(t, fault.KindOf(err), fault.Fenced)
		time.Sleep(worker.StartLeasePeriod + worker.ClockMargin)
		_, err = stub.Start(ctx, worker.StartCommand{Task: "paused", StartLease: lease.ID})
		assert.Equal(t, fault.KindOf(err), fault.LeaseLapsed)
		_, err = o.Call(ctx, urgent("fenced"))
		assert.Equal(t, fault.From(err).Outcome, fault.NotRun)
	})
}

// Guards against a lost start reply that leads to a second start, a false
// outcome or a reservation that is kept or released wrongly.
func TestLostStartReply(t *testing.T) {
	for _, before := range []bool{true, false} {
		t.Run(fmt.Sprintf("before effect %t", before), func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
				o := ready(ctx, "a", stub)
				stub.Lose(workerstub.Loss{Command: "Start", Count: 2, BeforeEffect: before})
				_, callErr := o.Call(ctx, urgent("call"))
				_, beginErr := o.Begin(ctx, batch("job/1"))
				if before {
					assert.Equal(t, fault.From(callErr).Outcome, fault.NotRun)
					assert.Equal(t, fault.From(beginErr).Outcome, fault.NotRun)
					assert.Equal(t, o.account.Used(), resource.Vector{})
					assert.Equal(t, stub.Starts("call")+stub.Starts("job/1"), 0)
					return
				}
				assert.NilError(t, callErr)
				assert.NilError(t, beginErr)
				assert.Equal(t, o.account.Used(), demand)
				assert.Equal(t, stub.Starts("call")+stub.Starts("job/1"), 2)
			})
		})
	}
}

// Guards against the answer that a task did not run when the worker ran it,
// restarted and forgot it.
func TestRestartAfterLostReplyIsUnknown(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := ready(ctx, "a", stub)
		stub.Lose(workerstub.Loss{Command: "Start", Count: 1})
		stub.Lose(workerstub.Loss{Command: "Task", Count: 1, BeforeEffect: true})
		time.AfterFunc(time.Millisecond, stub.Restart)
		_, err := o.Begin(ctx, batch("job/1"))
		assert.Equal(t, stub.Starts("job/1"), 1)
		assert.Equal(t, fault.From(err).Outcome, fault.Unknown)
		assert.Equal(t, o.account.Used(), resource.Vector{})
	})
}

// Guards against tasks of a restarted worker that hold capacity for ever, and
// against a session that doesn't come back.
func TestWorkerRestart(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := ready(ctx, "a", stub)
		handle, err := o.Begin(ctx, batch("job/1"))
		assert.NilError(t, err)
		assert.Assert(t, handle.Resize(resource.Vector{CPU: 8000, Memory: 500, Slots: 1}))
		_, err = o.Call(ctx, urgent("too large"))
		assert.Equal(t, fault.KindOf(err), fault.NoCapacity)
		stub.Restart()
		<-handle.Done()
		assert.Assert(t, !handle.Resize(demand))
		assert.Equal(t, handle.Report().State, work.TaskUnknown)
		assert.Equal(t, o.account.Used(), resource.Vector{})
		time.Sleep(2 * time.Second)
		_, err = o.Call(ctx, urgent("after"))
		assert.NilError(t, err)
	})
}

// Guards against a task whose waiters and entry stay for ever when its worker
// gets another owner, and against one that is stopped by that.
func TestTaskGoesOnUnderNextOwner(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		old := ready(ctx, "old", stub)
		handle, err := old.Begin(ctx, batch("job/1"))
		assert.NilError(t, err)
		old.table.Close("w")
		<-handle.Done()
		assert.Equal(t, handle.Report().State, work.TaskRunning)
		outcome, _, _ := old.Resolve(ctx, "job/1")
		assert.Equal(t, outcome, fault.Unknown)
		next := ready(ctx, "next", stub)
		assert.DeepEqual(t, next.session.Tasks(), []ident.TaskID{"job/1"})
		time.Sleep(time.Minute)
		assert.Equal(t, next.account.Used(), resource.Vector{})
		events := stub.History()
		assert.Equal(t, events[len(events)-1].State, work.TaskSucceeded)
	})
}

// Guards against a delayed forward that starts an identifier after it was
// reported as not run, and against a repeat that starts it twice.
func TestResolve(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := ready(ctx, "a", stub)
		outcome, _, _ := o.Resolve(ctx, "never")
		assert.Equal(t, outcome, fault.NotRun)
		_, err := o.Call(ctx, urgent("never"))
		assert.Equal(t, fault.KindOf(err), fault.Resolved)
		for range 2 {
			report, err := o.Call(ctx, urgent("twice"))
			assert.NilError(t, err)
			assert.Equal(t, string(report.Result), "body")
		}
		time.Sleep(time.Minute)
		_, err = o.Call(ctx, urgent("never"))
		assert.Equal(t, fault.KindOf(err), fault.Resolved)
		assert.Equal(t, stub.Starts("never"), 0)
		assert.Equal(t, stub.Starts("twice"), 1)
		outcome, report, _ := o.Resolve(ctx, "twice")
		assert.Equal(t, outcome, fault.Ran)
		assert.Equal(t, string(report.Result), "body")
		time.Sleep(3 * time.Minute)
		_, err = o.Call(ctx, urgent("starts a sweep"))
		assert.NilError(t, err)
		synctest.Wait()
		_, err = o.Call(ctx, urgent("never"))
		assert.NilError(t, err, "an identifier is held for ever")
	})
}

// Guards against an eviction that loses the checkpoint, ends in neither state
// or lets the task run on beside its next attempt.
func TestEvictedTaskResumesOnce(t *testing.T) {
	for _, command := range []string{"Throttle", "Checkpoint", "Stop"} {
		for _, before := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s before effect %t", command, before), func(t *testing.T) {
				bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
					o := ready(ctx, "a", stub)
					_, err := o.Begin(ctx, batch("job/1"))
					assert.NilError(t, err)
					time.Sleep(30 * time.Second)
					stub.Lose(workerstub.Loss{Command: command, Count: 1, BeforeEffect: before})
					evicted, err := o.Evict(ctx, "w", "job/1")
					assert.NilError(t, err)
					assert.Assert(t, evicted.Over)
					assert.Equal(t, o.account.Used(), resource.Vector{})
					next := batch("job/2")
					next.Checkpoint = evicted.Report.Checkpoint
					handle, err := o.Begin(ctx, next)
					assert.NilError(t, err)
					<-handle.Done()
					assert.Equal(t, handle.Report().State, work.TaskSucceeded)
					events := stub.History()
					assert.Equal(t, len(events), 4)
					assert.Assert(t, !events[2].At.Before(events[1].At))
					assert.Assert(t, events[2].From >= 29*time.Second, "%v", events[2].From)
				})
			})
		}
	}
}

// Guards against an eviction that frees the task before its run lease is over
// when the worker can't be reached or the instance's own lease ends meanwhile.
func TestEvictWithoutStopWaitsForRunLease(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		t.Run(fmt.Sprintf("fenced %t", fenced), func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
				o := ready(ctx, "a", stub)
				_, err := o.Begin(ctx, batch("job/1"))
				assert.NilError(t, err)
				stub.Lose(workerstub.Loss{Command: "Stop", Count: 1000, BeforeEffect: true})
				stub.Lose(workerstub.Loss{Command: "Task", Count: 1000, BeforeEffect: true})
				if fenced {
					time.AfterFunc(time.Millisecond, o.Fence.Close)
				}
				evicted, err := o.Evict(ctx, "w", "job/1")
				assert.NilError(t, err)
				assert.Assert(t, evicted.Over && len(evicted.Report.Checkpoint) > 0)
				events := stub.History()
				assert.Equal(t, events[len(events)-1].State, work.TaskStopped)
			})
		})
	}
}

// Guards against more work than the worker holds at any interleaving of
// starts, lost replies, ends and a change of owner. The seeds are fixed.
func TestCapacityIsNeverExceeded(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
				random := rand.New(rand.NewPCG(seed, 1))
				old := ready(ctx, "old", stub)
				load(ctx, old, stub, random, "old")
				old.Fence.Close()
				next := ready(ctx, "next", stub)
				load(ctx, next, stub, random, "next")
				time.Sleep(3 * time.Minute)
				assert.Assert(t, !stub.Exceeded())
				assert.Equal(t, next.account.Used(), resource.Vector{})
				for i := range 40 {
					assert.Assert(t, stub.Starts(ident.TaskID(fmt.Sprintf("old/%d", i))) <= 1)
					assert.Assert(t, stub.Starts(ident.TaskID(fmt.Sprintf("next/%d", i))) <= 1)
				}
			})
		})
	}
}

// load sends 40 starts from threads of their own, some with lost replies.
func load(ctx context.Context, o *owner, stub *workerstub.Worker, random *rand.Rand, name string) {
	var group sync.WaitGroup
	for i := range 40 {
		task := batch(fmt.Sprintf("%s/%d", name, i))
		task.Body = fmt.Appendf(nil, `{"sleep_ms":%d}`, random.IntN(30000))
		if random.IntN(4) == 0 {
			task.Class = work.Urgent
		}
		if random.IntN(4) == 0 {
			delay := time.Duration(random.IntN(5000)) * time.Millisecond
			stub.Lose(workerstub.Loss{Command: "Start", Count: 1, BeforeEffect: random.IntN(2) == 0, Delay: delay})
		}
		group.Go(func() {
			limited, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			if task.Class == work.Urgent {
				_, _ = o.Call(limited, task)
				return
			}
			_, _ = o.Begin(limited, task)
		})
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	}
	group.Wait()
}

// Guards against starts that go on to a worker after it refused one as
// leaving, and against running tasks that are lost by that.
func TestLeavingWorkerGetsNoStart(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := ready(ctx, "a", stub)
		handle, err := o.Begin(ctx, batch("job/1"))
		assert.NilError(t, err)
		stub.Change(func(s *workerstub.Settings) { s.Leaving = true })
		_, err = o.Call(ctx, urgent("refused"))
		assert.Equal(t, fault.KindOf(err), fault.WorkerLeaving)
		assert.Equal(t, fault.From(err).Outcome, fault.NotRun)
		assert.Assert(t, o.session.Leaving())
		stub.Change(func(s *workerstub.Settings) { s.Leaving = false })
		_, err = o.Call(ctx, urgent("not sent"))
		assert.Equal(t, fault.KindOf(err), fault.WorkerLeaving)
		<-handle.Done()
		assert.Equal(t, handle.Report().State, work.TaskSucceeded)
	})
}

// Guards against tasks of a leaving worker that end with a change of owner,
// because the new owner gets no start lease there.
func TestTakeoverOfLeavingWorkerKeepsTasks(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		old := ready(ctx, "old", stub)
		_, err := old.Begin(ctx, batch("job/1"))
		assert.NilError(t, err)
		stub.Change(func(s *workerstub.Settings) { s.Leaving = true })
		old.table.Close("w")
		next := ready(ctx, "next", stub)
		assert.DeepEqual(t, next.session.Tasks(), []ident.TaskID{"job/1"})
		time.Sleep(time.Minute)
		events := stub.History()
		assert.Equal(t, events[len(events)-1].State, work.TaskSucceeded)
	})
}
