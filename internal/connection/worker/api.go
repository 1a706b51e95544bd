// Package worker is the connection to one worker. It holds the messages of the
// worker's HTTP protocol, the client for them, and the session in which an
// owner gets start leases at the worker and renews the run leases of its tasks.
package worker

import (
	"context"
	"io"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

// StartCommand asks a worker to run a task. It is valid only as long as its
// start lease lasts, and a task is started at most once under one start lease.
type StartCommand struct {
	Task       ident.TaskID      `json:"task"`
	StartLease ident.LeaseID     `json:"start_lease"`
	RunLease   time.Duration     `json:"run_lease_ns"`
	Service    ident.ServiceName `json:"service"`
	Class      work.Class        `json:"class"`
	Body       []byte            `json:"body,omitempty"`
	Demand     resource.Vector   `json:"demand"`
	// Checkpoint is the state saved by an earlier attempt. It is empty if there
	// is none.
	Checkpoint []byte `json:"checkpoint,omitempty"`
}

// TaskReport is what a worker reports about one task.
type TaskReport struct {
	Task    ident.TaskID      `json:"task"`
	State   work.TaskState    `json:"state"`
	Service ident.ServiceName `json:"service,omitempty"`
	Class   work.Class        `json:"class"`
	Demand  resource.Vector   `json:"demand"`
	// Result is the answer of a task that has ended.
	Result []byte `json:"result,omitempty"`
	// Checkpoint is the state that was saved last.
	Checkpoint []byte `json:"checkpoint,omitempty"`
	// RunLeaseLeft is the remaining time of the run lease.
	RunLeaseLeft time.Duration `json:"run_lease_left_ns,omitempty"`
}

// Usage is the measured resource use of one task. It lags behind the present by
// UsageReport.Age.
type Usage struct {
	Task    ident.TaskID      `json:"task"`
	Service ident.ServiceName `json:"service"`
	Used    resource.Vector   `json:"used"`
	// Slowdown is the measured run time relative to that on an idle worker, in
	// thousandths.
	Slowdown int64 `json:"slowdown_millis"`
}

// UsageReport is the latest measurement of a worker.
type UsageReport struct {
	// Age is the time since the measurement.
	Age   time.Duration `json:"age_ns"`
	Tasks []Usage       `json:"tasks"`
}

// WorkerClient is the set of commands that a worker accepts. An error of kind
// WorkerUnreachable or a refusal guarantees that the command had no effect;
// after WorkerLost it may have had one.
type WorkerClient interface {
	// RequestLease requests a new lease. Each identifier can be granted only
	// once.
	RequestLease(ctx context.Context, lease ident.LeaseID, period time.Duration) error
	// RenewLease extends a lease to period from now. It fails for a lease that
	// has expired, or that the worker forgot when it restarted. It must not be
	// used for a lease that a start names: a late renewal would make the lease
	// outlast the wait of a takeover.
	RenewLease(ctx context.Context, lease ident.LeaseID, period time.Duration) error
	// Start runs a task. For an urgent task Start returns when the task has
	// ended; any other task runs on.
	Start(ctx context.Context, command StartCommand) (TaskReport, error)
	// Task reports one task. The state of a task that the worker does not know
	// is TaskUnknown.
	Task(ctx context.Context, task ident.TaskID) (TaskReport, error)
	// Inventory reports every running task.
	Inventory(ctx context.Context) ([]TaskReport, error)
	// RenewTasks extends the run leases of tasks to period from now. It returns
	// the tasks that no longer run.
	RenewTasks(ctx context.Context, tasks []ident.TaskID, period time.Duration) ([]ident.TaskID, error)
	// Throttle limits a task to a share of its processors, in percent.
	Throttle(ctx context.Context, task ident.TaskID, percent int) error
	// Checkpoint saves the state of a task and returns it.
	Checkpoint(ctx context.Context, task ident.TaskID) ([]byte, error)
	// Stop ends a task and returns its report after the end.
	Stop(ctx context.Context, task ident.TaskID) (TaskReport, error)
	// Usage returns the latest measurement.
	Usage(ctx context.Context) (UsageReport, error)
	// Feed opens a standing feed after position from. Each line is one event.
	Feed(ctx context.Context, feed string, from uint64) (io.ReadCloser, error)
}
