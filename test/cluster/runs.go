package cluster

import (
	"context"
	"fmt"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/test/workerstub"
)

// Run is one start of a task and its end. A task that still runs has a zero To.
type Run struct {
	Worker string
	Task   ident.TaskID
	From   time.Time
	To     time.Time
	State  work.TaskState
}

// String names the task, its worker, its start and its state.
func (r *Run) String() string {
	return fmt.Sprintf("[%s on %s at %s %s]", r.Task, r.Worker, r.From.Format("15:04:05.000"), r.State)
}

// Runs joins the starts and ends of the tasks of one worker, by their labels.
func Runs(worker string, events []workerstub.Event) map[string][]*Run {
	byLabel := map[string][]*Run{}
	open := map[ident.TaskID]*Run{}
	for _, event := range events {
		if event.State == work.TaskRunning {
			run := &Run{Worker: worker, Task: event.Task, From: event.At, State: work.TaskRunning}
			open[event.Task] = run
			byLabel[event.Label] = append(byLabel[event.Label], run)
			continue
		}
		if run, found := open[event.Task]; found {
			run.To, run.State = event.At, event.State
		}
	}
	return byLabel
}

// Overlap reports whether two runs share a moment.
func Overlap(runs []*Run) bool {
	for at, run := range runs {
		for _, other := range runs[:at] {
			if !endsBefore(run, other) && !endsBefore(other, run) {
				return true
			}
		}
	}
	return false
}

func endsBefore(run, other *Run) bool {
	return !run.To.IsZero() && !run.To.After(other.From)
}

// AllRuns returns what the workers ran, by label, and which of them ever held
// more than their capacity.
func AllRuns(ctx context.Context, workers []*Worker) (byLabel map[string][]*Run, exceeded []string, err error) {
	byLabel = map[string][]*Run{}
	for _, w := range workers {
		events, err := w.History(ctx)
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", w.Address, err)
		}
		for label, runs := range Runs(w.Address, events) {
			byLabel[label] = append(byLabel[label], runs...)
		}
		over, err := w.Exceeded(ctx)
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", w.Address, err)
		}
		if over {
			exceeded = append(exceeded, w.Address)
		}
	}
	return byLabel, exceeded, nil
}
