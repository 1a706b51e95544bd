// Command capacity measures the cost of one unit of each kind of state, message
// and decision. From these unit costs it computes what the design costs at the
// size that is expected in two years. It checks nothing; docs/CAPACITY.md quotes
// its tables.
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

// benchTime is how long each benchmark runs. With this value the whole program
// takes less than two minutes.
const benchTime = "150ms"

func main() {
	if err := run(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	testing.Init()
	stubSpecJSON := flag.String("stand-in", "", "serve the stubs described in JSON; for use by the program itself")
	flag.Parse()
	if *stubSpecJSON != "" {
		return runStubs(ctx, *stubSpecJSON)
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
	fmt.Printf("\nelapsed %s, largest resident size %s\n", time.Since(start).Round(time.Second), formatBytes(float64(peakResident())))
	return nil
}

func printSizes() {
	fmt.Printf("seed %d; %s, %d processors visible\n", seed, runtime.Version(), runtime.NumCPU())
	fmt.Printf("%d workers, %d zones, %d teams, %.0f starts/s, %d running tasks (%d a worker), %d jobs/day, %d changes/day, %d shards, instances %v\n",
		workerCount, zoneCount, teamCount, startsPerSecond, runningTasks, tasksPerWorker, jobsPerDay, changesPerDay, shardCount, instanceCounts)
	fmt.Println("bytes are what TCP carries; headers of TCP and IP are not counted")
	fmt.Println("stubs of workers and the log run in a second process; processor time and memory are without them")
}

// unitCosts holds all measured costs.
type unitCosts struct {
	encodings encodedSizes
	decisions decisionCosts
	owner     ownerCosts
	log       logCosts
	links     linkCosts
	batching  map[batchingCase]batchingResult
}

func measure(ctx context.Context) (unitCosts, error) {
	var u unitCosts
	var err error
	u.encodings = measureEncodings()
	u.decisions = measureDecisions()
	if u.log, err = measureLog(ctx); err != nil {
		return u, err
	}
	if u.links, err = measureLinks(ctx); err != nil {
		return u, err
	}
	if u.owner, err = measureOwner(ctx); err != nil {
		return u, err
	}
	u.batching = measureBatching(ctx)
	return u, nil
}
