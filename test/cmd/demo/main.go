// Command demo runs a small system of separate processes on loopback addresses,
// kills one entry instance and evicts one task while requests are sent, and
// compares every answer with the run histories of the workers.
//
// It exits with 0 only if every answer was complete and belonged to its request,
// no operation that is not idempotent ran twice, no request answered "not run"
// had run, and every accepted job ended. Otherwise it prints the failures and
// keeps the logs.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"poplarvalve/internal/process/resource"
	"poplarvalve/test/cluster"
)

const (
	// runTimeout bounds the whole run.
	runTimeout = 90 * time.Second
	// drainReserve is the part of runTimeout that is kept for the instances to
	// end after the last request.
	drainReserve = 15 * time.Second
	// evictionDelay and killDelay are counted from the first request.
	evictionDelay = 4 * time.Second
	killDelay     = 8 * time.Second
	// killedInstance is the index of the instance that is killed. It shares its
	// zone with the first instance, which takes over its workers.
	killedInstance = 2
	// urgentTaskDuration and taskDuration are the run times of calls and jobs on
	// a worker.
	urgentTaskDuration = 5 * time.Millisecond
	taskDuration       = 6 * time.Second
)

const rulesFile = `team permits weight 8 reserve 8cpu 8GB   # demo: checks do not wait behind rebuilds
team rebuilds weight 2                   # demo: rebuilds fill what is left
service permit-check team permits class urgent cpu 250m memory 128MB idempotent deadline 2s   # demo: lookups only
service issue-permit team permits class urgent cpu 250m memory 128MB deadline 2s              # demo: must not run twice
service quota-rebuild team rebuilds class batch cpu 4 memory 8GB evict last                   # demo: batch work
`

func main() {
	programFolder := flag.String("bin", "bin", "folder of the programs")
	seed := flag.Uint64("seed", 1, "seed of the bodies")
	duration := flag.Duration("duration", 24*time.Second, "time for which requests are sent")
	slowest := flag.Int("slowest", 0, "number of slow requests to print with their replies; also prints the runs of resumed jobs")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	os.Exit(run(ctx, *programFolder, *seed, *duration, *slowest))
}

// run runs the demo with a temporary directory for its logs and returns the exit
// code.
func run(ctx context.Context, programFolder string, seed uint64, duration time.Duration, slowest int) int {
	dir, err := os.MkdirTemp("", "poplarvalve-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	failures := runDemo(ctx, dir, programFolder, seed, duration, slowest)
	if len(failures) == 0 {
		fmt.Println("\nEvery answer was complete and belonged to its request, and nothing ran twice.")
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, "demo:", err)
		}
		return 0
	}
	fmt.Printf("\nFAILED: %d\n", len(failures))
	for _, failure := range failures {
		fmt.Println(" ", failure)
	}
	fmt.Println("logs, settings and state dumps:", dir)
	return 1
}

// runDemo runs the system, sends the load and returns what failed.
func runDemo(ctx context.Context, dir, programFolder string, seed uint64, duration time.Duration, slowest int) []string {
	start := time.Now()
	system, err := cluster.Start(ctx, dir, cluster.Options{
		ProgramFolder: programFolder, Zones: 2, Instances: 3, Workers: 4,
		Capacity:           resource.Vector{CPU: 32000, Memory: 125000, Slots: 8, Connections: 64},
		UrgentTaskDuration: urgentTaskDuration, TaskDuration: taskDuration, Rules: rulesFile,
	})
	if err != nil {
		return []string{"the system did not start: " + err.Error()}
	}
	defer system.Close()
	if err := system.ApplyRules(ctx); err != nil {
		return []string{"the system did not start: " + err.Error()}
	}
	fmt.Printf("%d instances and %d workers ready after %.1f s\n",
		len(system.Instances), len(system.Workers), time.Since(start).Seconds())
	d := newDriver(system, seed)
	deadline, _ := ctx.Deadline()
	requestCtx, cancel := context.WithDeadline(ctx, deadline.Add(-drainReserve))
	defer cancel()
	d.runLoad(requestCtx, duration)
	fmt.Printf("requests and jobs finished after %.1f s\n\n", time.Since(start).Seconds())
	failures := d.failures(ctx)
	if len(failures) > 0 {
		// Ended or unresponsive instances give no dump. Their logs are kept.
		_ = system.Dump(context.WithoutCancel(ctx))
	}
	printTable(os.Stdout, d.operations, d.jobs)
	if slowest > 0 {
		printSlowest(os.Stdout, d.operations, slowest)
		printResumed(os.Stdout, d.jobs)
	}
	for _, err := range system.TerminateInstances() {
		failures = append(failures, err.Error())
	}
	return failures
}

// failures compares the replies with the run histories of the workers and
// returns what contradicts them.
func (d *driver) failures(ctx context.Context) []string {
	// The workers must be asked even if the time for requests is over.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainReserve)
	defer cancel()
	failures := d.problems
	byLabel, exceeded, err := cluster.AllRunsByLabel(ctx, d.system.Workers)
	if err != nil {
		return append(failures, err.Error())
	}
	for _, worker := range exceeded {
		failures = append(failures, worker+" ran tasks that needed more than its capacity")
	}
	for _, j := range d.jobs {
		j.runs = byLabel[j.label]
	}
	failures = append(failures, findUnanswered(d.operations)...)
	return append(failures, verify(d.operations, d.jobs, byLabel)...)
}
