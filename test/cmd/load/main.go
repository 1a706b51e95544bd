// Command load sends requests at a set rate to entry instances on loopback and
// prints, as JSON, their latencies and every answer that was not whole, not its
// own, or contradicts what the workers ran.
//
// Each request has a time at which it is due, and its latency counts from then,
// so that a slow answer does not hide the wait of later ones. With -instances
// the driver starts the system itself, once for each number of instances, and
// measures direct calls to the workers in the same run.
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
	// maxInstances is the number of instances of a zone today.
	maxInstances = 8
	// minRate keeps the time between two requests within a timer's range.
	minRate = 0.1
)

// options is the command line.
type options struct {
	targets   []string
	history   []string
	instances []int
	bin       string
	workers   int
	service   time.Duration
	job       time.Duration
	rate      float64
	duration  time.Duration
	settle    time.Duration
	repeat    float64
	mix       mix
	seed      uint64
}

func main() {
	o, err := parse()
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
		if r.faults() {
			os.Exit(1)
		}
	}
}

func parse() (options, error) {
	var o options
	targets := flag.String("targets", "", "caller addresses of running instances, separated by commas")
	history := flag.String("history", "", "addresses of the workers' stand-ins, to check doubles and lost work")
	instances := flag.String("instances", "", "numbers of instances to start, such as 1,2,4")
	mixture := flag.String("mix", "idempotent=80,token=20", "weights of the classes idempotent, token, key and job")
	flag.StringVar(&o.bin, "bin", "bin", "folder of the programs")
	flag.IntVar(&o.workers, "workers", 4, "stand-ins of workers to start")
	flag.DurationVar(&o.service, "service-time", 5*time.Millisecond, "time of a call at a worker")
	flag.DurationVar(&o.job, "job-time", time.Second, "time of a job at a worker")
	flag.Float64Var(&o.rate, "rate", defaultRate, "requests a second")
	flag.DurationVar(&o.duration, "duration", 20*time.Second, "time for which requests are due")
	flag.DurationVar(&o.settle, "settle", 30*time.Second, "time for accepted jobs to end")
	flag.Float64Var(&o.repeat, "repeat", 0.05, "share of requests with a key or token that are sent twice")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of due times, classes and bodies")
	flag.Parse()
	var err error
	if o.mix, err = parseMix(*mixture); err != nil {
		return o, err
	}
	if o.rate < minRate {
		return o, fmt.Errorf("-rate must be at least %g", minRate)
	}
	if o.instances, err = parseCounts(*instances); err != nil {
		return o, err
	}
	o.targets, o.history = split(*targets), split(*history)
	if (len(o.targets) == 0) == (len(o.instances) == 0) {
		return o, fmt.Errorf("either -targets or -instances must be given")
	}
	return o, checkLoopback(append(o.targets, o.history...))
}

func split(list string) []string {
	return strings.FieldsFunc(list, func(r rune) bool { return r == ',' })
}

func parseCounts(list string) ([]int, error) {
	var counts []int
	for _, word := range split(list) {
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

// measure returns one report for each system.
func measure(ctx context.Context, o options) ([]*report, error) {
	if len(o.instances) > 0 {
		return measureStarted(ctx, o)
	}
	var workers []*cluster.Worker
	for _, address := range o.history {
		workers = append(workers, &cluster.Worker{Address: address})
	}
	d := newDriver(o, o.targets)
	r := d.run(ctx)
	r.finish()
	if len(workers) == 0 {
		return []*report{r}, nil
	}
	return []*report{r}, d.compare(ctx, r, workers)
}
