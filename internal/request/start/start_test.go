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

// owner is an instance that owns the worker of a test.
type owner struct {
	*start.Runner
	table   *worker.SessionTable
	session *worker.Session
	account *ledger.Account
}

func (o *owner) Session(id ident.WorkerID) (start.Session, bool) {
	return o.table.Find(id)
}

// newOwner begins a takeover of the worker. The takeover ends with ctx.
func newOwner(ctx context.Context, name string, client worker.WorkerClient) *owner {
	o := &owner{table: worker.NewSessionTable(), account: ledger.NewAccount(capacity)}
	o.Runner = &start.Runner{
		Clock: clock.System{}, Fence: fence.New(time.Now()), Ledger: ledger.New(), RunLease: worker.RunLeasePeriod,
	}
	o.Sessions = o
	o.Random = func() float64 { return 0.5 }
	o.Fence.Renew(time.Now(), time.Hour)
	o.Ledger.Open("w", o.account)
	o.session = worker.NewTakeoverSession(worker.Options{
		Client: client, Clock: clock.System{}, Worker: "w", StartFence: o.Fence, Account: o.account, Random: o.Random,
		Holder: ident.Incarnation{Instance: ident.InstanceName(name), Nonce: 1},
	})
	o.table.Open(ctx, o.session)
	return o
}

// newReadyOwner returns an owner whose takeover is complete.
func newReadyOwner(ctx context.Context, name string, client worker.WorkerClient) *owner {
	o := newOwner(ctx, name, client)
	o.session.ConfirmEarlierOwnersOver()
	time.Sleep(4 * time.Second)
	return o
}

func batchTask(id string) start.Task {
	return start.Task{ID: ident.TaskID(id), Worker: "w", Class: work.Batch, Body: []byte(`{"sleep_ms":60000,"steps":60}`), Demand: demand}
}

func urgentTask(id string) start.Task {
	return start.Task{ID: ident.TaskID(id), Worker: "w", Class: work.Urgent, Body: []byte("body"), Demand: demand}
}

// inVirtualTime runs a test in virtual time, with a context that ends with the
// test.
func inVirtualTime(t *testing.T, run func(t *testing.T, ctx context.Context, stub *workerstub.Worker)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(2 * time.Minute)
		defer cancel()
		stub := workerstub.New()
		stub.ChangeSettings(func(s *workerstub.Settings) { s.Capacity = capacity })
		run(t, ctx, stub)
	})
}

// The takeover must not open the worker for new starts before the last start
// of the old owner has either been counted in the ledger or become impossible.
func TestTakeoverCountsOrRefusesLateStart(t *testing.T) {
	for _, delay := range []time.Duration{100 * time.Millisecond, 2900 * time.Millisecond, 3600 * time.Millisecond, 5 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
				old := newReadyOwner(ctx, "old", stub)
				stub.AddLoss(workerstub.ReplyLoss{Command: "Start", Count: 1, Delay: delay})
				startCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
				defer cancel()
				_, _ = old.Start(startCtx, batchTask("late/1"))
				old.Fence.Close()
				next := newOwner(ctx, "next", stub)
				next.session.ConfirmEarlierOwnersOver()
				time.Sleep(3 * time.Second)
				assert.Assert(t, !next.session.Ready())
				time.Sleep(3 * time.Second)
				assert.Assert(t, next.session.Ready())
				expected := resource.Vector{}
				if stub.StartCount("late/1") == 1 {
					expected = demand
				}
				assert.Equal(t, next.account.Used(), expected)
				for i := range 6 {
					_, _ = next.Start(ctx, batchTask(fmt.Sprintf("new/%d", i)))
				}
				assert.Assert(t, !stub.CapacityExceeded())
			})
		})
	}
}

// A message about a lease of a paused owner arrives late. It must not let a
// late start through after the next owner has counted the running tasks,
// because the worker's capacity would then be exceeded. The start arrives
// 5.1 s after it was sent; the next owner is ready after 4.55 s.
func TestLateLeaseMessageAdmitsNoStartAfterTakeover(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		old := newReadyOwner(ctx, "old", stub)
		time.Sleep(500 * time.Millisecond)
		stub.AddLoss(workerstub.ReplyLoss{Command: "Start", Count: 1, Delay: 5100 * time.Millisecond})
		stub.AddLoss(workerstub.ReplyLoss{Command: "RenewLease", Count: 1, Delay: 1900 * time.Millisecond})
		stub.AddLoss(workerstub.ReplyLoss{Command: "GrantLease", Count: 1, Delay: 1900 * time.Millisecond})
		startCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
		defer cancel()
		_, _ = old.Start(startCtx, batchTask("late/1"))
		time.Sleep(1050 * time.Millisecond)
		old.Fence.Close()
		next := newOwner(ctx, "next", stub)
		next.session.ConfirmEarlierOwnersOver()
		time.Sleep(3600 * time.Millisecond)
		assert.Assert(t, next.session.Ready())
		for i := range 4 {
			_, err := next.Start(ctx, batchTask(fmt.Sprintf("new/%d", i)))
			assert.NilError(t, err)
		}
		time.Sleep(time.Second)
		assert.Equal(t, stub.StartCount("late/1"), 0)
		assert.Assert(t, !stub.CapacityExceeded())
	})
}

// pausingSession is a session whose owner is paused while it reads its start
// lease. During the pause another goroutine may still adopt a late grant.
type pausingSession struct {
	start.Session
	pause time.Duration
}

func (p pausingSession) StartLease(now time.Time) (worker.Lease, error) {
	time.Sleep(p.pause)
	return p.Session.StartLease(now)
}

func (p pausingSession) session(ident.WorkerID) (start.Session, bool) { return p, true }

// sessionsFunc implements start.Sessions.
type sessionsFunc func(ident.WorkerID) (start.Session, bool)

func (f sessionsFunc) Session(id ident.WorkerID) (start.Session, bool) { return f(id) }

// A fence check with a time read before the start lease would admit this
// start, although the instance lease ends while the start lease is read.
func TestFenceIsCheckedAfterStartLeaseIsRead(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := newReadyOwner(ctx, "a", stub)
		o.Fence.Close()
		o.Fence.Renew(time.Now(), time.Second)
		o.Sessions = sessionsFunc(pausingSession{o.session, 2 * time.Second}.session)
		_, err := o.Call(ctx, urgentTask("paused"))
		assert.Equal(t, fault.KindOf(err), fault.Fenced)
		assert.Equal(t, stub.StartCount("paused"), 0)
	})
}

// A start may pass the checks, be delayed by a pause of its owner and leave
// only then. The worker must refuse it.
func TestStartAfterPauseIsRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := newReadyOwner(ctx, "a", stub)
		lease, err := o.session.StartLease(time.Now())
		assert.NilError(t, err)
		o.Fence.Close()
		_, err = o.Call(ctx, urgentTask("fenced at once"))
		assert.Equal(t, fault.KindOf(err), fault.Fenced)
		time.Sleep(worker.StartLeasePeriod + worker.ClockMargin)
		_, err = stub.Start(ctx, worker.StartCommand{Task: "paused", StartLease: lease.ID})
		assert.Equal(t, fault.KindOf(err), fault.LeaseExpired)
		_, err = o.Call(ctx, urgentTask("fenced"))
		assert.Equal(t, fault.From(err).Outcome, fault.NotRun)
	})
}

// A lost reply to a start must not lead to a second start, to a wrong outcome,
// or to a reservation that is kept or released wrongly.
func TestLostStartReplyIsResolved(t *testing.T) {
	for _, dropCommand := range []bool{true, false} {
		t.Run(fmt.Sprintf("command dropped %t", dropCommand), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
				o := newReadyOwner(ctx, "a", stub)
				stub.AddLoss(workerstub.ReplyLoss{Command: "Start", Count: 2, DropCommand: dropCommand})
				_, callErr := o.Call(ctx, urgentTask("call"))
				_, startErr := o.Start(ctx, batchTask("job/1"))
				if dropCommand {
					assert.Equal(t, fault.From(callErr).Outcome, fault.NotRun)
					assert.Equal(t, fault.From(startErr).Outcome, fault.NotRun)
					assert.Equal(t, o.account.Used(), resource.Vector{})
					assert.Equal(t, stub.StartCount("call")+stub.StartCount("job/1"), 0)
					return
				}
				assert.NilError(t, callErr)
				assert.NilError(t, startErr)
				assert.Equal(t, o.account.Used(), demand)
				assert.Equal(t, stub.StartCount("call")+stub.StartCount("job/1"), 2)
			})
		})
	}
}

// The worker runs a task, restarts and forgets it. The owner, which got no
// reply to the start, must not report the task as not run.
func TestOutcomeIsUnknownAfterWorkerRestart(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := newReadyOwner(ctx, "a", stub)
		stub.AddLoss(workerstub.ReplyLoss{Command: "Start", Count: 1})
		stub.AddLoss(workerstub.ReplyLoss{Command: "Task", Count: 1, DropCommand: true})
		time.AfterFunc(time.Millisecond, stub.Restart)
		_, err := o.Start(ctx, batchTask("job/1"))
		assert.Equal(t, stub.StartCount("job/1"), 1)
		assert.Equal(t, fault.From(err).Outcome, fault.Unknown)
		assert.Equal(t, o.account.Used(), resource.Vector{})
	})
}

// Tasks of a restarted worker must not hold capacity for good, and the session
// must become usable again after the restart.
func TestWorkerRestartReleasesReservations(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := newReadyOwner(ctx, "a", stub)
		handle, err := o.Start(ctx, batchTask("job/1"))
		assert.NilError(t, err)
		assert.Assert(t, handle.Resize(resource.Vector{CPU: 8000, Memory: 500, Slots: 1}))
		_, err = o.Call(ctx, urgentTask("too large"))
		assert.Equal(t, fault.KindOf(err), fault.NoCapacity)
		stub.Restart()
		<-handle.Done()
		assert.Assert(t, !handle.Resize(demand))
		assert.Equal(t, handle.Report().State, work.TaskUnknown)
		assert.Equal(t, o.account.Used(), resource.Vector{})
		time.Sleep(2 * time.Second)
		_, err = o.Call(ctx, urgentTask("after"))
		assert.NilError(t, err)
	})
}

// When the worker of a task gets another owner, the waiters and the start
// record at the old owner must not remain for good, and the task must not be
// stopped.
func TestTaskContinuesUnderNextOwner(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		old := newReadyOwner(ctx, "old", stub)
		handle, err := old.Start(ctx, batchTask("job/1"))
		assert.NilError(t, err)
		old.table.Close("w")
		<-handle.Done()
		assert.Equal(t, handle.Report().State, work.TaskRunning)
		outcome, _, _ := old.Resolve(ctx, "job/1")
		assert.Equal(t, outcome, fault.Unknown)
		next := newReadyOwner(ctx, "next", stub)
		assert.DeepEqual(t, next.session.TrackedTasks(), []ident.TaskID{"job/1"})
		time.Sleep(time.Minute)
		assert.Equal(t, next.account.Used(), resource.Vector{})
		events := stub.History()
		assert.Equal(t, events[len(events)-1].State, work.TaskSucceeded)
	})
}

// A delayed forward must not start an identifier that was already reported as
// not run, and a repeated request must not start one twice.
func TestResolvedIdentifierIsNotStarted(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := newReadyOwner(ctx, "a", stub)
		outcome, _, _ := o.Resolve(ctx, "never")
		assert.Equal(t, outcome, fault.NotRun)
		_, err := o.Call(ctx, urgentTask("never"))
		assert.Equal(t, fault.KindOf(err), fault.ResolvedNotRun)
		for range 2 {
			report, err := o.Call(ctx, urgentTask("twice"))
			assert.NilError(t, err)
			assert.Equal(t, string(report.Result), "body")
		}
		time.Sleep(time.Minute)
		_, err = o.Call(ctx, urgentTask("never"))
		assert.Equal(t, fault.KindOf(err), fault.ResolvedNotRun)
		assert.Equal(t, stub.StartCount("never"), 0)
		assert.Equal(t, stub.StartCount("twice"), 1)
		outcome, report, _ := o.Resolve(ctx, "twice")
		assert.Equal(t, outcome, fault.Ran)
		assert.Equal(t, string(report.Result), "body")
		time.Sleep(3 * time.Minute)
		_, err = o.Call(ctx, urgentTask("starts pruning"))
		assert.NilError(t, err)
		synctest.Wait()
		_, err = o.Call(ctx, urgentTask("never"))
		assert.NilError(t, err, "a resolved identifier is never removed from the table")
	})
}

// An eviction must not lose the checkpoint, and it must end with the task
// either running or over. The evicted task must not continue beside its next
// attempt.
func TestEvictedTaskResumesFromCheckpoint(t *testing.T) {
	for _, command := range []string{"Throttle", "Checkpoint", "Stop"} {
		for _, dropCommand := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, command dropped %t", command, dropCommand), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
					o := newReadyOwner(ctx, "a", stub)
					_, err := o.Start(ctx, batchTask("job/1"))
					assert.NilError(t, err)
					time.Sleep(30 * time.Second)
					stub.AddLoss(workerstub.ReplyLoss{Command: command, Count: 1, DropCommand: dropCommand})
					evicted, err := o.Evict(ctx, "w", "job/1")
					assert.NilError(t, err)
					assert.Assert(t, evicted.Ended)
					assert.Equal(t, o.account.Used(), resource.Vector{})
					next := batchTask("job/2")
					next.Checkpoint = evicted.Report.Checkpoint
					handle, err := o.Start(ctx, next)
					assert.NilError(t, err)
					<-handle.Done()
					assert.Equal(t, handle.Report().State, work.TaskSucceeded)
					events := stub.History()
					assert.Equal(t, len(events), 4)
					assert.Assert(t, !events[2].At.Before(events[1].At))
					assert.Assert(t, events[2].ResumedProgress >= 29*time.Second, "%v", events[2].ResumedProgress)
				})
			})
		}
	}
}

// The worker can't be reached, or the instance's own lease ends during the
// eviction. In both cases the eviction must not report the task as over before
// its run lease has ended.
func TestEvictWaitsForRunLeaseWhenStopFails(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		t.Run(fmt.Sprintf("fenced %t", fenced), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
				o := newReadyOwner(ctx, "a", stub)
				_, err := o.Start(ctx, batchTask("job/1"))
				assert.NilError(t, err)
				stub.AddLoss(workerstub.ReplyLoss{Command: "Stop", Count: 1000, DropCommand: true})
				stub.AddLoss(workerstub.ReplyLoss{Command: "Task", Count: 1000, DropCommand: true})
				if fenced {
					time.AfterFunc(time.Millisecond, o.Fence.Close)
				}
				evicted, err := o.Evict(ctx, "w", "job/1")
				assert.NilError(t, err)
				assert.Assert(t, evicted.Ended && len(evicted.Report.Checkpoint) > 0)
				events := stub.History()
				assert.Equal(t, events[len(events)-1].State, work.TaskStopped)
			})
		})
	}
}

// No interleaving of starts, lost replies, task ends and a change of owner may
// put more work on the worker than it can hold. The seeds are fixed.
func TestCapacityIsNeverExceeded(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
				random := rand.New(rand.NewPCG(seed, 1))
				old := newReadyOwner(ctx, "old", stub)
				startRandomTasks(ctx, old, stub, random, "old")
				old.Fence.Close()
				next := newReadyOwner(ctx, "next", stub)
				startRandomTasks(ctx, next, stub, random, "next")
				time.Sleep(3 * time.Minute)
				assert.Assert(t, !stub.CapacityExceeded())
				assert.Equal(t, next.account.Used(), resource.Vector{})
				for i := range 40 {
					assert.Assert(t, stub.StartCount(ident.TaskID(fmt.Sprintf("old/%d", i))) <= 1)
					assert.Assert(t, stub.StartCount(ident.TaskID(fmt.Sprintf("next/%d", i))) <= 1)
				}
			})
		})
	}
}

// startRandomTasks sends 40 starts, each from its own goroutine. The replies
// to some of them are lost.
func startRandomTasks(ctx context.Context, o *owner, stub *workerstub.Worker, random *rand.Rand, name string) {
	var group sync.WaitGroup
	for i := range 40 {
		task := batchTask(fmt.Sprintf("%s/%d", name, i))
		task.Body = fmt.Appendf(nil, `{"sleep_ms":%d}`, random.IntN(30000))
		if random.IntN(4) == 0 {
			task.Class = work.Urgent
		}
		if random.IntN(4) == 0 {
			delay := time.Duration(random.IntN(5000)) * time.Millisecond
			stub.AddLoss(workerstub.ReplyLoss{Command: "Start", Count: 1, DropCommand: random.IntN(2) == 0, Delay: delay})
		}
		group.Go(func() {
			taskCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			if task.Class == work.Urgent {
				_, _ = o.Call(taskCtx, task)
				return
			}
			_, _ = o.Start(taskCtx, task)
		})
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	}
	group.Wait()
}

// After a worker has refused a start because it is leaving, it must get no
// further starts, and its running tasks must not be lost.
func TestLeavingWorkerGetsNoFurtherStart(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		o := newReadyOwner(ctx, "a", stub)
		handle, err := o.Start(ctx, batchTask("job/1"))
		assert.NilError(t, err)
		stub.ChangeSettings(func(s *workerstub.Settings) { s.Leaving = true })
		_, err = o.Call(ctx, urgentTask("refused"))
		assert.Equal(t, fault.KindOf(err), fault.WorkerLeaving)
		assert.Equal(t, fault.From(err).Outcome, fault.NotRun)
		assert.Assert(t, o.session.Leaving())
		stub.ChangeSettings(func(s *workerstub.Settings) { s.Leaving = false })
		_, err = o.Call(ctx, urgentTask("not sent"))
		assert.Equal(t, fault.KindOf(err), fault.WorkerLeaving)
		<-handle.Done()
		assert.Equal(t, handle.Report().State, work.TaskSucceeded)
	})
}

// A new owner gets no start lease at a leaving worker. The tasks that already
// run there must still survive the change of owner.
func TestTakeoverOfLeavingWorkerKeepsTasks(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, ctx context.Context, stub *workerstub.Worker) {
		old := newReadyOwner(ctx, "old", stub)
		_, err := old.Start(ctx, batchTask("job/1"))
		assert.NilError(t, err)
		stub.ChangeSettings(func(s *workerstub.Settings) { s.Leaving = true })
		old.table.Close("w")
		next := newReadyOwner(ctx, "next", stub)
		assert.DeepEqual(t, next.session.TrackedTasks(), []ident.TaskID{"job/1"})
		time.Sleep(time.Minute)
		events := stub.History()
		assert.Equal(t, events[len(events)-1].State, work.TaskSucceeded)
	})
}
