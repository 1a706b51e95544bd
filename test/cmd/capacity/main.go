// Command capacity measures what one unit of each kind of state, message and
// decision costs, and computes from these slopes what the design costs at its
// two-year size. It asserts nothing; docs/CAPACITY.md quotes its tables.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"
)

// benchTime is how long each benchmark runs; it keeps the whole program within
// two minutes.
const benchTime = "150ms"

func main() {
	if err := run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	testing.Init()
	standIn := flag.String("stand-in", "", "serve as the stand-ins described in JSON; for use by the program itself")
	flag.Parse()
	if *standIn != "" {
		return runStandIn(ctx, *standIn)
	}
	if err := flag.Set("test.benchtime", benchTime); err != nil {
		return err
	}
	start := time.Now()
	printSizes()
	measured, err := measure(ctx)
	if err != nil {
		return err
	}
	printModel(measured)
	fmt.Printf("\nelapsed %s, largest resident size %s\n", time.Since(start).Round(time.Second), amount(float64(peakResident())))
	return nil
}

func printSizes() {
	fmt.Printf("seed %d; %s, %d processors visible\n", seed, runtime.Version(), runtime.NumCPU())
	fmt.Printf("%d workers, %d zones, %d teams, %.0f starts/s, %d running tasks (%d a worker), %d jobs/day, %d changes/day, %d shards, instances %v\n",
		workerCount, zoneCount, teamCount, startRate, runningTasks, tasksPerWorker, jobsPerDay, changesPerDay, shardCount, instanceCounts)
	fmt.Println("bytes are what TCP carries; headers of TCP and IP are not counted")
	fmt.Println("stand-ins for workers and the log run in a second process; processor time and memory are without them")
}

// slopes are all measured costs.
type slopes struct {
	encodings encodings
	versions  versions
	owner     owner
	log       logCosts
	links     links
	grouping  map[grouped]grouping
}

func measure(ctx context.Context) (slopes, error) {
	var s slopes
	var err error
	s.encodings = measureEncodings()
	s.versions = measureVersions()
	if s.log, err = measureLog(ctx); err != nil {
		return s, err
	}
	if s.links, err = measureLinks(ctx); err != nil {
		return s, err
	}
	if s.owner, err = measureOwner(ctx); err != nil {
		return s, err
	}
	s.grouping = measureGrouping(ctx)
	return s, nil
}
