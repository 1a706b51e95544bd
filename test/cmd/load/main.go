// Command load sends requests at a given rate to entry instances on loopback
// addresses. It prints, as JSON, their latencies and every answer that was
// incomplete, differed from the request body or contradicts the run histories of
// the workers.
//
// Each request has a due time, and its latency counts from then, so that a slow
// answer does not hide how long later requests wait. With -instances the command
// starts the system itself, once for each number of instances, and measures
// direct calls to the workers in the same run.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"poplarvalve/test/cluster"
)

const (
	defaultRate = 200
	// maxInstances is the largest number of instances that -instances accepts. A
	// zone has this many today.
	maxInstances = 8
	// minRate is the lowest accepted rate in requests per second. It keeps the
	// time between two requests within the range of a timer.
	minRate = 0.1
)

// options holds the values of the command-line flags.
type options struct {
	targets            []string
	historyAddresses   []string
	instances          []int
	programFolder      string
	workers            int
	urgentTaskDuration time.Duration
	taskDuration       time.Duration
	rate               float64
	duration           time.Duration
	jobTimeout         time.Duration
	repeatShare        float64
	mix                mix
	seed               uint64
}

func main() {
	o, err := parseFlags()
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	reports, err := measure(ctx, o)
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(reports)
	if err != nil {
		fmt.Fprintln(os.Stderr, "load:", err)
		os.Exit(1)
	}
	for _, r := range reports {
		if r.hasProblems() {
			os.Exit(1)
		}
	}
}

func parseFlags() (options, error) {
	var o options
	targets := flag.String("targets", "", "caller addresses of running instances, separated by commas")
	history := flag.String("history", "", "addresses of the worker stubs, to detect double executions and lost work")
	instances := flag.String("instances", "", "numbers of instances to start, such as 1,2,4")
	mixText := flag.String("mix", "idempotent=80,token=20", "weights of the classes idempotent, token, key and job")
	flag.StringVar(&o.programFolder, "bin", "bin", "folder of the programs")
	flag.IntVar(&o.workers, "workers", 4, "number of worker stubs to start")
	flag.DurationVar(&o.urgentTaskDuration, "service-time", 5*time.Millisecond, "run time of a call on a worker")
	flag.DurationVar(&o.taskDuration, "job-time", time.Second, "run time of a job on a worker")
	flag.Float64Var(&o.rate, "rate", defaultRate, "requests a second")
	flag.DurationVar(&o.duration, "duration", 20*time.Second, "period in which requests are sent")
	flag.DurationVar(&o.jobTimeout, "settle", 30*time.Second, "longest wait for all accepted jobs to end")
	flag.Float64Var(&o.repeatShare, "repeat", 0.05, "share of requests with a key or token that are sent twice")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of due times, classes and bodies")
	flag.Parse()
	var err error
	if o.mix, err = parseMix(*mixText); err != nil {
		return o, err
	}
	if o.rate < minRate {
		return o, fmt.Errorf("-rate must be at least %g", minRate)
	}
	if o.instances, err = parseCounts(*instances); err != nil {
		return o, err
	}
	o.targets, o.historyAddresses = splitList(*targets), splitList(*history)
	if (len(o.targets) == 0) == (len(o.instances) == 0) {
		return o, fmt.Errorf("exactly one of -targets and -instances must be given")
	}
	return o, checkLoopback(append(o.targets, o.historyAddresses...))
}

func splitList(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' })
}

func parseCounts(list string) ([]int, error) {
	var counts []int
	for _, word := range splitList(list) {
		count, err := strconv.Atoi(word)
		if err != nil || count < 1 || count > maxInstances {
			return nil, fmt.Errorf("-instances: %q is not a number from 1 to %d", word, maxInstances)
		}
		counts = append(counts, count)
	}
	return counts, nil
}

func checkLoopback(addresses []string) error {
	for _, address := range addresses {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil || !parsed.Addr().IsLoopback() {
			return fmt.Errorf("%q is not an IP:port on loopback", address)
		}
	}
	return nil
}

// measure runs the load and returns one report for each measured system.
func measure(ctx context.Context, o options) ([]*report, error) {
	if len(o.instances) > 0 {
		return measureClusters(ctx, o)
	}
	var workers []*cluster.Worker
	for _, address := range o.historyAddresses {
		workers = append(workers, &cluster.Worker{Address: address})
	}
	d := newDriver(o, o.targets)
	r := d.run(ctx)
	r.computeFigures()
	if len(workers) == 0 {
		return []*report{r}, nil
	}
	return []*report{r}, d.compareWithHistories(ctx, r, workers)
}
