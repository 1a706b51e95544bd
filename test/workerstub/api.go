package workerstub

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// RequestLease implements worker.WorkerClient.
func (w *Worker) RequestLease(_ context.Context, lease ident.LeaseID, period time.Duration) error {
	return w.runWithoutReply("GrantLease", func() error {
		if w.settings.Leaving {
			return fault.New(fault.WorkerLeaving, "lease %s not granted because the worker is leaving", lease)
		}
		if _, known := w.leases[lease]; known {
			return fault.New(fault.WorkerRefused, "lease %s was already granted", lease)
		}
		w.leases[lease] = time.Now().Add(period)
		return nil
	})
}

// RenewLease implements worker.WorkerClient.
func (w *Worker) RenewLease(_ context.Context, lease ident.LeaseID, period time.Duration) error {
	return w.runWithoutReply("RenewLease", func() error {
		if !time.Now().Before(w.leases[lease]) {
			return fault.New(fault.LeaseExpired, "lease %s has expired or is unknown", lease)
		}
		w.leases[lease] = time.Now().Add(period)
		return nil
	})
}

// Start implements worker.WorkerClient.
func (w *Worker) Start(ctx context.Context, command worker.StartCommand) (worker.TaskReport, error) {
	report, err := runCommand(w, "Start", func() (worker.TaskReport, error) { return w.startTask(command) })
	if err != nil || command.Class != work.Urgent {
		return report, err
	}
	return w.awaitTask(ctx, command.Task)
}

// awaitTask waits until an urgent task has ended. No configured fault applies
// to the wait.
func (w *Worker) awaitTask(ctx context.Context, id ident.TaskID) (worker.TaskReport, error) {
	for {
		t := withLock(w, func() task { return *w.findTask(id) })
		if t.state != work.TaskRunning {
			return t.report(), nil
		}
		select {
		case <-ctx.Done():
			return worker.TaskReport{}, fault.Wrap(fault.WorkerLost, ctx.Err(), "context ended while waiting for the end of urgent task %s", id)
		case <-time.After(max(t.duration-t.progress, time.Millisecond)):
		}
	}
}

// Task implements worker.WorkerClient.
func (w *Worker) Task(_ context.Context, id ident.TaskID) (worker.TaskReport, error) {
	return runCommand(w, "Task", func() (worker.TaskReport, error) { return w.findTask(id).report(), nil })
}

// Inventory implements worker.WorkerClient.
func (w *Worker) Inventory(context.Context) ([]worker.TaskReport, error) {
	return runCommand(w, "Inventory", func() ([]worker.TaskReport, error) {
		reports := []worker.TaskReport{}
		for _, t := range w.running {
			reports = append(reports, t.report())
		}
		return reports, nil
	})
}

// RenewTasks implements worker.WorkerClient.
func (w *Worker) RenewTasks(_ context.Context, ids []ident.TaskID, period time.Duration) ([]ident.TaskID, error) {
	return runCommand(w, "RenewTasks", func() ([]ident.TaskID, error) {
		var missing []ident.TaskID
		for _, id := range ids {
			if t := w.findTask(id); t.state == work.TaskRunning {
				t.runLeaseEnd = time.Now().Add(period)
				continue
			}
			missing = append(missing, id)
		}
		return missing, nil
	})
}

// Throttle implements worker.WorkerClient.
func (w *Worker) Throttle(_ context.Context, id ident.TaskID, percent int) error {
	return w.runWithoutReply("Throttle", func() error {
		w.findTask(id).throttlePercent = int64(max(percent, 1))
		return nil
	})
}

// Checkpoint implements worker.WorkerClient.
func (w *Worker) Checkpoint(_ context.Context, id ident.TaskID) ([]byte, error) {
	return runCommand(w, "Checkpoint", func() ([]byte, error) {
		t := w.findTask(id)
		if t.state != work.TaskRunning {
			return nil, fault.New(fault.NotFound, "task %s is not running, so it has no state to save", id)
		}
		savedProgress := t.progress
		if stepDuration := t.duration / time.Duration(max(t.directive.Steps, 1)); t.directive.Steps > 0 && stepDuration > 0 {
			savedProgress = savedProgress / stepDuration * stepDuration
		}
		t.checkpoint, _ = json.Marshal(savedProgress)
		return t.checkpoint, nil
	})
}

// Stop implements worker.WorkerClient.
func (w *Worker) Stop(_ context.Context, id ident.TaskID) (worker.TaskReport, error) {
	return runCommand(w, "Stop", func() (worker.TaskReport, error) {
		w.stopTask(w.findTask(id))
		return w.findTask(id).report(), nil
	})
}

// Usage implements worker.WorkerClient.
func (w *Worker) Usage(context.Context) (worker.UsageReport, error) {
	return runCommand(w, "Usage", func() (worker.UsageReport, error) {
		report := worker.UsageReport{Age: w.settings.UsageAge}
		measured := time.Now().Add(-report.Age)
		for id, t := range w.tasks {
			if !t.startedAt.After(measured) && (t.state == work.TaskRunning || t.endedAt.After(measured)) {
				usage := worker.Usage{Task: id, Service: t.command.Service, Used: t.command.Demand, Slowdown: 1000}
				report.Tasks = append(report.Tasks, usage)
			}
		}
		return report, nil
	})
}

// Feed implements worker.WorkerClient. The first event has the position from+1;
// events continue at the FeedInterval until ctx ends.
func (w *Worker) Feed(ctx context.Context, feed string, from uint64) (io.ReadCloser, error) {
	interval, err := runCommand(w, "Feed", func() (time.Duration, error) { return w.settings.FeedInterval, nil })
	if err != nil {
		return nil, err
	}
	reader, writer := io.Pipe()
	go func() {
		defer writer.Close()
		for position := from + 1; ctx.Err() == nil; position++ {
			if _, err := fmt.Fprintf(writer, "{\"feed\":%q,\"position\":%d}\n", feed, position); err != nil {
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(interval):
			}
		}
	}()
	return reader, nil
}
