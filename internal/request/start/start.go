// Package start carries out one start on a worker that this instance owns.
//
// A start leaves the process only while the instance's own lease and the start
// lease at the worker last and the ledger has reserved the demand.
package start

import (
	"context"
	"errors"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/fence"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/ledger"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

// Session is the connection to an owned worker.
type Session interface {
	// StartLease returns the lease for a start sent now, or OwnerNotReady.
	StartLease(now time.Time) (ident.LeaseID, error)
	worker.API
}

// Sessions finds the session of an owned worker.
type Sessions interface {
	Session(id ident.WorkerID) (Session, bool)
}

// Runner starts tasks on owned workers.
type Runner struct {
	Clock    clock.Clock
	Fence    *fence.Fence
	Ledger   *ledger.Ledger
	Sessions Sessions
	// RunLease is the first run lease of each task.
	RunLease time.Duration
}

// Task is what is to be started.
type Task struct {
	ID         ident.TaskID
	Worker     ident.WorkerID
	Service    ident.ServiceName
	Class      work.Class
	Body       []byte
	Checkpoint []byte
	Demand     resource.Vector
}

// Call runs an urgent task to its end. The error's outcome says whether the
// task may have run.
func (r *Runner) Call(ctx context.Context, task Task) (worker.TaskReport, error) {
	session, found := r.Sessions.Session(task.Worker)
	if !found {
		return worker.TaskReport{}, fault.New(fault.NotOwner, "worker %s", task.Worker)
	}
	account, found := r.Ledger.Find(task.Worker)
	if !found {
		return worker.TaskReport{}, fault.New(fault.OwnerNotReady, "worker %s", task.Worker)
	}
	if !account.Reserve(task.Demand) {
		return worker.TaskReport{}, fault.New(fault.NoCapacity, "worker %s", task.Worker)
	}
	defer account.Release(task.Demand)
	return r.send(ctx, session, task)
}

// send checks the leases last, immediately before the command leaves.
func (r *Runner) send(ctx context.Context, session Session, task Task) (worker.TaskReport, error) {
	now := r.Clock.Now()
	lease, err := session.StartLease(now)
	if err != nil {
		return worker.TaskReport{}, err
	}
	if !r.Fence.Open(now) {
		return worker.TaskReport{}, fault.New(fault.Fenced, "before the start of %s", task.ID)
	}
	report, err := session.Start(ctx, worker.StartCommand{
		Task:       task.ID,
		StartLease: lease,
		RunLease:   r.RunLease,
		Service:    task.Service,
		Class:      task.Class,
		Body:       task.Body,
		Demand:     task.Demand,
		Checkpoint: task.Checkpoint,
	})
	if err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return report, fault.Wrap(fault.DeadlineExceeded, err, "task %s", task.ID)
	}
	return report, err
}
