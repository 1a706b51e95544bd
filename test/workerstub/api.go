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

// GrantLease implements worker.API.
func (w *Worker) GrantLease(_ context.Context, lease ident.LeaseID, period time.Duration) error {
	return w.do("GrantLease", func() error {
		if w.settings.Leaving {
			return fault.New(fault.WorkerLeaving, "lease %s", lease)
		}
		if _, known := w.leases[lease]; known {
			return fault.New(fault.WorkerRefused, "lease %s was granted before", lease)
		}
		w.leases[lease] = time.Now().Add(period)
		return nil
	})
}

// RenewLease implements worker.API.
func (w *Worker) RenewLease(_ context.Context, lease ident.LeaseID, period time.Duration) error {
	return w.do("RenewLease", func() error {
		if !time.Now().Before(w.leases[lease]) {
			return fault.New(fault.LeaseLapsed, "lease %s", lease)
		}
		w.leases[lease] = time.Now().Add(period)
		return nil
	})
}

// Start implements worker.API.
func (w *Worker) Start(ctx context.Context, command worker.StartCommand) (worker.TaskReport, error) {
	report, err := run(w, "Start", func() (worker.TaskReport, error) { return w.begin(command) })
	if err != nil || command.Class != work.Urgent {
		return report, err
	}
	return w.await(ctx, command.Task)
}

// await waits until an urgent task is over, without any further loss.
func (w *Worker) await(ctx context.Context, id ident.TaskID) (worker.TaskReport, error) {
	for {
		t := locked(w, func() task { return *w.find(id) })
		if t.state != work.TaskRunning {
			return t.report(), nil
		}
		select {
		case <-ctx.Done():
			return worker.TaskReport{}, fault.Wrap(fault.WorkerLost, ctx.Err(), "waiting for %s", id)
		case <-time.After(max(t.total-t.done, time.Millisecond)):
		}
	}
}

// Task implements worker.API.
func (w *Worker) Task(_ context.Context, id ident.TaskID) (worker.TaskReport, error) {
	return run(w, "Task", func() (worker.TaskReport, error) { return w.find(id).report(), nil })
}

// Inventory implements worker.API.
func (w *Worker) Inventory(context.Context) ([]worker.TaskReport, error) {
	return run(w, "Inventory", func() ([]worker.TaskReport, error) {
		reports := []worker.TaskReport{}
		for _, t := range w.running {
			reports = append(reports, t.report())
		}
		return reports, nil
	})
}

// RenewTasks implements worker.API.
func (w *Worker) RenewTasks(_ context.Context, ids []ident.TaskID, period time.Duration) ([]ident.TaskID, error) {
	return run(w, "RenewTasks", func() ([]ident.TaskID, error) {
		var missing []ident.TaskID
		for _, id := range ids {
			if t := w.find(id); t.state == work.TaskRunning {
				t.runUntil = time.Now().Add(period)
				continue
			}
			missing = append(missing, id)
		}
		return missing, nil
	})
}

// Throttle implements worker.API.
func (w *Worker) Throttle(_ context.Context, id ident.TaskID, percent int) error {
	return w.do("Throttle", func() error {
		w.find(id).percent = int64(max(percent, 1))
		return nil
	})
}

// Checkpoint implements worker.API.
func (w *Worker) Checkpoint(_ context.Context, id ident.TaskID) ([]byte, error) {
	return run(w, "Checkpoint", func() ([]byte, error) {
		t := w.find(id)
		if t.state != work.TaskRunning {
			return nil, fault.New(fault.NotFound, "task %s does not run", id)
		}
		saved := t.done
		if step := t.total / time.Duration(max(t.plan.Steps, 1)); t.plan.Steps > 0 && step > 0 {
			saved = saved / step * step
		}
		t.saved, _ = json.Marshal(saved)
		return t.saved, nil
	})
}

// Stop implements worker.API.
func (w *Worker) Stop(_ context.Context, id ident.TaskID) (worker.TaskReport, error) {
	return run(w, "Stop", func() (worker.TaskReport, error) {
		w.stop(w.find(id))
		return w.find(id).report(), nil
	})
}

// Usage implements worker.API.
func (w *Worker) Usage(context.Context) (worker.UsageReport, error) {
	return run(w, "Usage", func() (worker.UsageReport, error) {
		report := worker.UsageReport{Age: w.settings.UsageAge}
		measured := time.Now().Add(-report.Age)
		for id, t := range w.tasks {
			if !t.began.After(measured) && (t.state == work.TaskRunning || t.ended.After(measured)) {
				used := worker.Usage{Task: id, Service: t.command.Service, Used: t.command.Demand, Slowdown: 1000}
				report.Tasks = append(report.Tasks, used)
			}
		}
		return report, nil
	})
}

// Feed implements worker.API. Events continue after a position until ctx ends.
func (w *Worker) Feed(ctx context.Context, feed string, from uint64) (io.ReadCloser, error) {
	interval, err := run(w, "Feed", func() (time.Duration, error) { return w.settings.FeedInterval, nil })
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
