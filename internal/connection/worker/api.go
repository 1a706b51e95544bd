// Package worker is the connection to one worker: the messages it understands,
// its HTTP client, and the session that holds leases there.
package worker

import (
	"context"
	"io"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

// StartCommand asks a worker to run a task. It is valid only while StartLease
// lasts, and one task is started at most once under one start lease.
type StartCommand struct {
	Task       ident.TaskID      `json:"task"`
	StartLease ident.LeaseID     `json:"start_lease"`
	RunLease   time.Duration     `json:"run_lease_ns"`
	Service    ident.ServiceName `json:"service"`
	Class      work.Class        `json:"class"`
	Body       []byte            `json:"body,omitempty"`
	Demand     resource.Vector   `json:"demand"`
	// Checkpoint is the state that an earlier attempt left, or empty.
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// TaskReport is what a worker says about one task.
type TaskReport struct {
	Task    ident.TaskID      `json:"task"`
	State   work.TaskState    `json:"state"`
	Service ident.ServiceName `json:"service,omitempty"`
	Class   work.Class        `json:"class"`
	Demand  resource.Vector   `json:"demand"`
	// Result is the answer of a task that is over.
	Result []byte `json:"result,omitempty"`
	// Checkpoint is the newest saved state.
	Checkpoint []byte `json:"checkpoint,omitempty"`
	// RunLeaseLeft is how long the run lease still lasts.
	RunLeaseLeft time.Duration `json:"run_lease_left_ns,omitempty"`
}

// Usage is a lagging measurement of what a task takes.
type Usage struct {
	Task    ident.TaskID      `json:"task"`
	Service ident.ServiceName `json:"service"`
	Used    resource.Vector   `json:"used"`
	// Slowdown is the measured run time relative to an idle worker, in thousandths.
	Slowdown int64 `json:"slowdown_millis"`
}

// UsageReport is the newest measurement of a worker.
type UsageReport struct {
	// Age is how old the measurement is.
	Age   time.Duration `json:"age_ns"`
	Tasks []Usage       `json:"tasks"`
}

// API is what a worker offers. An error of kind WorkerUnreachable or a refusal
// guarantees that the command had no effect; after WorkerLost it may have had.
type API interface {
	// GrantLease creates a lease. An identifier is granted once.
	GrantLease(ctx context.Context, lease ident.LeaseID, period time.Duration) error
	// RenewLease extends a lease to period from now. A lease that lapsed, or was
	// forgotten in a restart, can't be renewed. It is never used on a lease that
	// a start names: a late renewal would outlast the wait of a takeover.
	RenewLease(ctx context.Context, lease ident.LeaseID, period time.Duration) error
	// Start runs a task. An urgent task is over when Start returns; any other
	// runs on.
	Start(ctx context.Context, command StartCommand) (TaskReport, error)
	// Task reports one task. A task that the worker doesn't know has state
	// TaskUnknown.
	Task(ctx context.Context, task ident.TaskID) (TaskReport, error)
	// Inventory reports every task that runs.
	Inventory(ctx context.Context) ([]TaskReport, error)
	// RenewTasks extends the run leases of tasks to period from now. It returns
	// the tasks that no longer run.
	RenewTasks(ctx context.Context, tasks []ident.TaskID, period time.Duration) ([]ident.TaskID, error)
	// Throttle limits a task to a share of its processors, in percent.
	Throttle(ctx context.Context, task ident.TaskID, percent int) error
	// Checkpoint saves the state of a task and returns it.
	Checkpoint(ctx context.Context, task ident.TaskID) ([]byte, error)
	// Stop ends a task. The report is that of the task after it ended.
	Stop(ctx context.Context, task ident.TaskID) (TaskReport, error)
	// Usage returns the newest measurement.
	Usage(ctx context.Context) (UsageReport, error)
	// Feed opens a standing feed after a position. Each line is one event.
	Feed(ctx context.Context, feed string, from uint64) (io.ReadCloser, error)
}
