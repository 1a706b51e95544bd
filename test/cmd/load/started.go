package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/test/cluster"
)

const (
	// leaseSlack is added to the run's duration for the start lease of direct
	// calls, so that the lease outlasts the run.
	leaseSlack = time.Minute
	// directRateShare is the rate of direct calls as a fraction of the rate of
	// the measured load.
	directRateShare = 0.25
	kibPerMiB       = 1 << 10
)

const rulesFile = `team permits weight 8   # load: urgent work
team rebuilds weight 2  # load: batch work
service permit-check team permits class urgent cpu 250m memory 128MB idempotent deadline 2s   # load: lookups only
service issue-permit team permits class urgent cpu 250m memory 128MB deadline 2s              # load: must not run twice
service quota-rebuild team rebuilds class batch cpu 1 memory 1GB                              # load: batch work
`

// measureClusters starts and measures one cluster for each number of instances.
func measureClusters(ctx context.Context, o options) ([]*report, error) {
	var reports []*report
	for _, count := range o.instances {
		r, err := measureCluster(ctx, o, count)
		if r != nil {
			reports = append(reports, r)
		}
		if err != nil {
			return reports, fmt.Errorf("%d instances: %w", count, err)
		}
		printSummary(r)
	}
	return reports, nil
}

// measureCluster starts and measures one cluster with the given number of
// instances. It keeps the logs if anything failed.
func measureCluster(ctx context.Context, o options, count int) (*report, error) {
	dir, err := os.MkdirTemp("", "poplarvalve-load-")
	if err != nil {
		return nil, err
	}
	r, err := measureClusterIn(ctx, dir, o, count)
	if err != nil || r.hasProblems() {
		fmt.Fprintln(os.Stderr, "logs and settings:", dir)
		return r, err
	}
	return r, os.RemoveAll(dir)
}

func measureClusterIn(ctx context.Context, dir string, o options, count int) (*report, error) {
	start := time.Now()
	system, err := cluster.Start(ctx, dir, cluster.Options{
		ProgramFolder: o.programFolder, Zones: 1, Instances: count, Workers: o.workers,
		Capacity:           resource.Vector{CPU: 32000, Memory: 125000, Slots: 8, Connections: 64},
		UrgentTaskDuration: o.urgentTaskDuration, TaskDuration: o.taskDuration, Rules: rulesFile,
	})
	if err != nil {
		return nil, err
	}
	defer system.Close()
	if err := system.ApplyRules(ctx); err != nil {
		return nil, err
	}
	var targets []string
	for _, instance := range system.Instances {
		targets = append(targets, instance.CallerAddress)
	}
	var direct *classSummary
	var directError error
	var group sync.WaitGroup
	group.Go(func() { direct, directError = measureDirect(ctx, o, system.Workers) })
	d := newDriver(o, targets)
	r := d.run(ctx)
	group.Wait()
	r.Instances, r.Direct = count, direct
	r.computeFigures()
	err = d.compareWithHistories(ctx, r, system.Workers)
	failures := []error{err, directError}
	for _, instance := range system.Instances {
		peak, err := instance.PeakMemoryKiB()
		failures = append(failures, err)
		r.Processes = append(r.Processes, processUsage{Name: instance.Name, PeakMiB: float64(peak) / kibPerMiB})
	}
	failures = append(failures, system.TerminateInstances()...)
	for number, instance := range system.Instances {
		instance.Kill()
		r.Processes[number].ProcessorSeconds = instance.CPUTime().Seconds()
		r.Processes[number].ElapsedSeconds = time.Since(start).Seconds()
	}
	return r, errors.Join(failures...)
}

// measureDirect sends requests straight to the workers in turn, without an
// instance in between. It runs at the same time as the measured load, so that
// other work on the machine disturbs both alike.
func measureDirect(ctx context.Context, o options, workers []*cluster.Worker) (*classSummary, error) {
	lease := ident.LeaseID("direct-" + uuid.NewString())
	for _, w := range workers {
		if err := w.API.RequestLease(ctx, lease, o.duration+leaseSlack); err != nil {
			return nil, err
		}
	}
	o.mix, o.rate, o.seed = mix{idempotent: 1}, o.rate*directRateShare, o.seed+1
	d := newDriver(o, nil)
	var workerIndex atomic.Uint64
	d.sendOnSchedule(ctx, planRequests(o, "direct"), func(ctx context.Context, p plannedRequest, due time.Time) {
		w := workers[workerIndex.Add(1)%uint64(len(workers))]
		d.recordReply(p, due, startDirect(ctx, w, lease, p), "")
	})
	d.report.computeFigures()
	if d.report.hasProblems() {
		return nil, fmt.Errorf("direct calls: %v", d.report.Problems)
	}
	return d.report.Classes[idempotent], nil
}

// startDirect starts a task on a worker without any resource demand, so that the
// task does not count against the capacity that the instances reserve.
func startDirect(ctx context.Context, w *cluster.Worker, lease ident.LeaseID, p plannedRequest) cluster.Reply {
	reply := cluster.Reply{SentAt: time.Now(), Outcome: cluster.Ran, Status: 200}
	report, err := w.API.Start(ctx, worker.StartCommand{
		Task: ident.TaskID(p.label), StartLease: lease, RunLease: callTimeout, Service: "direct",
		Class: work.Urgent, Body: p.body,
	})
	reply.ReceivedAt, reply.Body = time.Now(), report.Result
	if err != nil {
		failure := fault.From(err)
		reply.Outcome, reply.Status, reply.Kind = failure.Outcome.String(), 0, failure.Kind
	}
	return reply
}

// printSummary prints one line for each class to standard error, for human
// readers. The JSON goes to standard output.
func printSummary(r *report) {
	table := tabwriter.NewWriter(os.Stderr, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%d instances\tsent\tanswered\tper second\tp50 ms\tp99 ms\tp99.9 ms\t\n", r.Instances)
	printRow := func(name string, s *classSummary) {
		fmt.Fprintf(table, "%s\t%d\t%d\t%.1f\t%.2f\t%.2f\t%.2f\t\n", name, s.Sent, s.Answered, s.PerSecond, s.P50, s.P99, s.P999)
	}
	if r.Direct != nil {
		printRow("direct", r.Direct)
	}
	for _, class := range classes {
		if s, used := r.Classes[class]; used {
			printRow(class, s)
		}
	}
	_ = table.Flush()
	for _, p := range r.Processes {
		fmt.Fprintf(os.Stderr, "%s: %.1f MiB at most, %.2f s of processor time in %.1f s\n", p.Name, p.PeakMiB, p.ProcessorSeconds, p.ElapsedSeconds)
	}
	fmt.Fprintf(os.Stderr, "problems: %d\n\n", r.ProblemCount)
}
