package cluster

import (
	"context"
	"fmt"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/test/workerstub"
)

// Run is one run of a task at a worker, from its start to its end. EndedAt is
// zero while the task is running.
type Run struct {
	Worker    string
	Task      ident.TaskID
	StartedAt time.Time
	EndedAt   time.Time
	State     work.TaskState
}

// String returns the task, its worker, the time of its start and its state.
func (r *Run) String() string {
	return fmt.Sprintf("[%s on %s at %s %s]", r.Task, r.Worker, r.StartedAt.Format("15:04:05.000"), r.State)
}

// RunsByLabel pairs the starts with the ends in the history of one worker, and
// returns the runs by the label of their start.
func RunsByLabel(worker string, events []workerstub.Event) map[string][]*Run {
	byLabel := map[string][]*Run{}
	openRuns := map[ident.TaskID]*Run{}
	for _, event := range events {
		if event.State == work.TaskRunning {
			run := &Run{Worker: worker, Task: event.Task, StartedAt: event.At, State: work.TaskRunning}
			openRuns[event.Task] = run
			byLabel[event.Label] = append(byLabel[event.Label], run)
			continue
		}
		if run, found := openRuns[event.Task]; found {
			run.EndedAt, run.State = event.At, event.State
		}
	}
	return byLabel
}

// Overlap reports whether any two of the runs were running at the same time.
func Overlap(runs []*Run) bool {
	for i, run := range runs {
		for _, other := range runs[:i] {
			if !endsBefore(run, other) && !endsBefore(other, run) {
				return true
			}
		}
	}
	return false
}

// endsBefore reports whether run has ended by the start of other.
func endsBefore(run, other *Run) bool {
	return !run.EndedAt.IsZero() && !run.EndedAt.After(other.StartedAt)
}

// AllRunsByLabel returns the runs of all workers by label, and the addresses of
// the workers whose running tasks ever needed more than the worker's capacity.
func AllRunsByLabel(ctx context.Context, workers []*Worker) (byLabel map[string][]*Run, exceeded []string, err error) {
	byLabel = map[string][]*Run{}
	for _, w := range workers {
		events, err := w.History(ctx)
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", w.Address, err)
		}
		for label, runs := range RunsByLabel(w.Address, events) {
			byLabel[label] = append(byLabel[label], runs...)
		}
		overCapacity, err := w.CapacityExceeded(ctx)
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", w.Address, err)
		}
		if overCapacity {
			exceeded = append(exceeded, w.Address)
		}
	}
	return byLabel, exceeded, nil
}
