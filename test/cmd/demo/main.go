// Command demo runs a small system of separate processes on loopback, kills one
// entry instance and evicts one task on the way, and checks every answer against
// what the workers ran.
//
// It exits with 0 only if every answer was whole and its own, nothing that is
// not idempotent ran twice, no request answered "not run" had run, and every
// accepted job ended. Otherwise it prints what failed and keeps the logs.
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
	// totalTime bounds the whole run.
	totalTime = 90 * time.Second
	// drainTime is left for the instances to end after the last request.
	drainTime = 15 * time.Second
	// evictAfter and killAfter are counted from the first request.
	evictAfter = 4 * time.Second
	killAfter  = 8 * time.Second
	// killed is the index of the instance that is killed. It shares its zone
	// with the first one, which takes its workers over.
	killed = 2
	// serviceTime and jobTime are how long calls and jobs take at a worker.
	serviceTime = 5 * time.Millisecond
	jobTime     = 6 * time.Second
)

const rulesFile = `team permits weight 8 reserve 8cpu 8GB   # demo: checks do not wait behind rebuilds
team rebuilds weight 2                   # demo: rebuilds fill what is left
service permit-check team permits class urgent cpu 250m memory 128MB idempotent deadline 2s   # demo: lookups only
service issue-permit team permits class urgent cpu 250m memory 128MB deadline 2s              # demo: must not run twice
service quota-rebuild team rebuilds class batch cpu 4 memory 8GB evict last                   # demo: batch work
`

func main() {
	bin := flag.String("bin", "bin", "folder of the programs")
	seed := flag.Uint64("seed", 1, "seed of the bodies")
	duration := flag.Duration("duration", 24*time.Second, "time for which requests are sent")
	slowest := flag.Int("slowest", 0, "number of slow requests to print with their replies")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, totalTime)
	defer cancel()
	os.Exit(run(ctx, *bin, *seed, *duration, *slowest))
}

// run returns the exit code.
func run(ctx context.Context, bin string, seed uint64, duration time.Duration, slowest int) int {
	dir, err := os.MkdirTemp("", "poplarvalve-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return 1
	}
	failures := demonstrate(ctx, dir, bin, seed, duration, slowest)
	if len(failures) == 0 {
		fmt.Println("\nEvery answer was whole and its own, and nothing ran twice.")
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, "demo:", err)
		}
		return 0
	}
	fmt.Printf("\nFAILED: %d\n", len(failures))
	for _, failure := range failures {
		fmt.Println(" ", failure)
	}
	fmt.Println("logs and settings:", dir)
	return 1
}

// demonstrate runs the system and returns what failed.
func demonstrate(ctx context.Context, dir, bin string, seed uint64, duration time.Duration, slowest int) []string {
	began := time.Now()
	system, err := cluster.Start(ctx, dir, cluster.Options{
		Bin: bin, Zones: 2, Instances: 3, Workers: 4,
		Capacity:    resource.Vector{CPU: 32000, Memory: 125000, Slots: 8, Connections: 64},
		ServiceTime: serviceTime, Duration: jobTime, Rules: rulesFile,
	})
	if err != nil {
		return []string{"the system did not start: " + err.Error()}
	}
	defer system.Close()
	if err := system.Publish(ctx); err != nil {
		return []string{"the system did not start: " + err.Error()}
	}
	fmt.Printf("%d instances and %d workers ready after %.1f s\n",
		len(system.Instances), len(system.Workers), time.Since(began).Seconds())
	d := newDriver(system, seed)
	deadline, _ := ctx.Deadline()
	requests, cancel := context.WithDeadline(ctx, deadline.Add(-drainTime))
	defer cancel()
	d.drive(requests, duration)
	fmt.Printf("settled after %.1f s\n\n", time.Since(began).Seconds())
	failures := d.failures(ctx)
	printTable(os.Stdout, d.operations, d.jobs)
	printSlowest(os.Stdout, d.operations, slowest)
	for _, err := range system.Drain() {
		failures = append(failures, err.Error())
	}
	return failures
}

// failures compares the answers with what the workers ran.
func (d *driver) failures(ctx context.Context) []string {
	// The workers are asked even if the time for requests is over.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainTime)
	defer cancel()
	failures := d.problems
	byLabel, exceeded, err := cluster.AllRuns(ctx, d.system.Workers)
	if err != nil {
		return append(failures, err.Error())
	}
	for _, worker := range exceeded {
		failures = append(failures, worker+" held more than its capacity")
	}
	failures = append(failures, unsettled(d.operations)...)
	return append(failures, verify(d.operations, d.jobs, byLabel)...)
}
