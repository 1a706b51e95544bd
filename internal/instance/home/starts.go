package home

import (
	"context"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/request/start"
)

// Standing says what is known of a task at its worker.
type Standing uint8

const (
	// StandingUnknown: the task may run now or later.
	StandingUnknown Standing = iota
	// StandingRunning: the task runs.
	StandingRunning
	// StandingOver: the task ran or may have run, and never runs again.
	StandingOver
	// StandingNeverStarted: the task did not run and never will.
	StandingNeverStarted
)

// Starts begins and ends tasks on the workers that this instance owns.
// *start.Runner implements it.
type Starts interface {
	// Begin starts a task and returns when it runs. An error of outcome NotRun
	// guarantees that this call did not start it.
	Begin(ctx context.Context, task start.Task) (*start.Handle, error)
	// Stop ends a task. An error means that the task may still run.
	Stop(ctx context.Context, at ident.WorkerID, task ident.TaskID) (worker.TaskReport, error)
	// Status says what is known of a task.
	Status(ctx context.Context, at ident.WorkerID, task ident.TaskID) (Standing, worker.TaskReport, error)
}
