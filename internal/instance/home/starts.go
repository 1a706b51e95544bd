package home

import (
	"context"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/request/start"
)

var _ Starts = (*start.Runner)(nil)

// Starts begins and ends tasks on the workers that this instance owns.
// *start.Runner implements it.
type Starts interface {
	// Begin starts a task and returns when it runs. An error of outcome NotRun
	// guarantees that this call did not start it.
	Begin(ctx context.Context, task start.Task) (*start.Handle, error)
	// Stop ends a task. An error means that the task may still run.
	Stop(ctx context.Context, at ident.WorkerID, task ident.TaskID) (worker.TaskReport, error)
	// Watch calls over once when a followed task is over; false if it is not
	// followed here.
	Watch(at ident.WorkerID, task ident.TaskID, over func(worker.TaskReport)) bool
	// Status says what is known of a task, and refuses it for good if it was not
	// begun. Reason TaskForgotten says that it is over and may have run.
	Status(ctx context.Context, at ident.WorkerID, task ident.TaskID) (start.Standing, worker.TaskReport, error)
}
