// Command bench runs the decision code against simulated workers in virtual time
// and prints latencies, batch throughput and failures, compared with a first-fit
// scheduler. It exercises the decisions only and does not simulate the rest of
// the cluster. The same seeds print the same figures.
package main

import (
	"flag"
	"fmt"
	"math"
	"os"
	"runtime/pprof"
	"slices"
	"sync"
)

// maxParallelRuns is how many simulation runs are executed at the same time.
const maxParallelRuns = 3

// measurement is one row of a printed table.
type measurement struct {
	scenario    scenario
	hardware    hardwareProfile
	useFirstFit bool
	disabled    string
	result      *result
}

func main() {
	seeds := flag.Int("seeds", 2, "number of seeds of the comparison, from 1")
	ablation := flag.Int("ablation", 1, "number of seeds with each mechanism off")
	profile := flag.String("cpuprofile", "", "file for a profile")
	flag.Parse()
	if *profile != "" {
		file, err := os.Create(*profile)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		defer file.Close()
		_ = pprof.StartCPUProfile(file)
		defer pprof.StopCPUProfile()
	}
	printComparison(*seeds)
	if *ablation > 0 {
		printAblation(*ablation)
	}
}

// runAll fills in the result of each measurement.
func runAll(measurements []*measurement, seeds int) {
	slots := make(chan struct{}, maxParallelRuns)
	var group sync.WaitGroup
	for _, m := range measurements {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			m.result = newResult()
			for seed := range seeds {
				runScenario(m.result, m.scenario, m.hardware, uint64(seed+1), m.useFirstFit, m.disabled)
			}
		})
	}
	group.Wait()
}

const headingFormat = "| %-16s | %-24s | %8s | %8s | %8s | %10s | %7s | %6s | %7s | %6s |\n"

func printHeading(label string) {
	fmt.Printf(headingFormat, "scenario", label, "p50 ms", "p99 ms", "p99.9 ms", "batch core s", "evicted", "oom", "refused", "failed")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
}

func (m *measurement) print(label string) {
	r := m.result
	fmt.Printf("| %-16s | %-24s | %8.1f | %8.1f | %8.1f | %10.0f | %7d | %6d | %7d | %6d |\n", m.scenario.name, label,
		r.quantileMillis(50), r.quantileMillis(99), r.quantileMillis(99.9), r.coreSeconds, r.evictions, r.outOfMemory, r.refused, r.failed)
}

// printComparison prints the results of both policies in all scenarios, and the
// goals.
func printComparison(seeds int) {
	for _, hardware := range hardwareProfiles {
		var measurements []*measurement
		for _, s := range scenarios {
			measurements = append(measurements, &measurement{scenario: s, hardware: hardware}, &measurement{scenario: s, hardware: hardware, useFirstFit: true})
		}
		runAll(measurements, seeds)
		fmt.Printf("\n%s, seeds 1 to %d, %s of virtual time each\n\n", hardware.name, seeds, runLength)
		printHeading("policy")
		for _, m := range measurements {
			name := "poplarvalve"
			if m.useFirstFit {
				name = "first fit"
			}
			m.print(name)
		}
		printGoals(measurements)
	}
}

// printGoals compares the figures with the goals.
func printGoals(measurements []*measurement) {
	quiet, wave, baseline := measurements[0].result, measurements[2].result, measurements[3].result
	fmt.Println()
	tail := wave.quantileMillis(99) / quiet.quantileMillis(99)
	printGoal("urgent p99 under noisy waves / quiet p99", tail, 1.2)
	printGoal("batch of first fit / batch, noisy waves", baseline.coreSeconds/wave.coreSeconds, 1)
	evicted := float64(wave.evictions) / math.Max(float64(baseline.evictions), 1)
	printGoal("evictions / evictions of first fit, noisy waves", evicted, 1.0/3)
}

func printGoal(name string, value, limit float64) {
	verdict := "reached"
	if value > limit {
		verdict = "NOT reached"
	}
	fmt.Printf("- %s: %.3f, goal at most %.3f: %s\n", name, value, limit, verdict)
}

// printAblation disables one mechanism after another, and then the pairs, and
// prints the scenarios in which a figure differs by more than 5% from the run
// with everything enabled.
func printAblation(seeds int) {
	hardware := hardwareProfiles[0]
	var measurements []*measurement
	for _, disabled := range slices.Concat([]string{""}, mechanisms, ablationPairs) {
		for _, s := range scenarios {
			measurements = append(measurements, &measurement{scenario: s, hardware: hardware, disabled: disabled})
		}
	}
	runAll(measurements, seeds)
	fmt.Printf("\n%s, seeds 1 to %d, with mechanisms off, where a figure differs by more than 5%% from all on\n\n", hardware.name, seeds)
	printHeading("off")
	allEnabled := measurements[:len(scenarios)]
	for i, m := range measurements {
		base := allEnabled[i%len(scenarios)]
		if m.disabled == "" {
			m.print("(all on)")
		} else if differs(m.result, base.result) {
			m.print(m.disabled)
		}
	}
}

func differs(a, b *result) bool {
	apart := func(x, y float64) bool { return math.Abs(x-y) > 0.05*math.Max(math.Max(x, y), 20) }
	return apart(a.quantileMillis(99), b.quantileMillis(99)) || apart(a.quantileMillis(99.9), b.quantileMillis(99.9)) ||
		apart(a.coreSeconds, b.coreSeconds) || apart(float64(a.evictions), float64(b.evictions)) ||
		apart(float64(a.outOfMemory), float64(b.outOfMemory)) ||
		apart(float64(a.refused+a.failed), float64(b.refused+b.failed))
}
