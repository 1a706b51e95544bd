package home

import (
	"context"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/request/start"
)

var _ TaskRunner = (*start.Runner)(nil)

// TaskRunner starts and stops tasks on the workers that this instance owns. It
// is implemented by *start.Runner.
type TaskRunner interface {
	// Start starts a task and returns once the task is running. An error with
	// outcome NotRun guarantees that this call did not start the task.
	Start(ctx context.Context, task start.Task) (*start.Handle, error)
	// Stop stops a task and returns its last report. After an error the task
	// may still be running.
	Stop(ctx context.Context, at ident.WorkerID, task ident.TaskID) (worker.TaskReport, error)
	// OnTaskEnd arranges that onEnd is called once when the task ends. It
	// returns false if this instance does not track the task.
	OnTaskEnd(at ident.WorkerID, task ident.TaskID, onEnd func(worker.TaskReport)) bool
	// Status returns what is known about a task. If the task was never started,
	// Status also makes sure that it cannot be started later. An error with
	// kind TaskUnknownToWorker says that the task is over and may have run.
	Status(ctx context.Context, at ident.WorkerID, task ident.TaskID) (start.TaskStatus, worker.TaskReport, error)
}
