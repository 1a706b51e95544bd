// Command bench drives the decision code with fake workers in virtual time and
// prints what it reaches. It is a driver of the decisions, not a simulator of
// the cluster. Equal seeds print equal figures.
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

// parallel is how many runs go at once.
const parallel = 3

// setup is one line of a table.
type setup struct {
	scenario scenario
	size     size
	first    bool
	off      string
	result   *result
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
	compare(*seeds)
	if *ablation > 0 {
		ablate(*ablation)
	}
}

// runAll fills in the results.
func runAll(setups []*setup, seeds int) {
	slots := make(chan struct{}, parallel)
	var group sync.WaitGroup
	for _, s := range setups {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			s.result = newResult()
			for seed := range seeds {
				measure(s.result, s.scenario, s.size, uint64(seed+1), s.first, s.off)
			}
		})
	}
	group.Wait()
}

const heading = "| %-16s | %-24s | %8s | %8s | %8s | %10s | %7s | %6s | %7s | %6s |\n"

func printHeading(second string) {
	fmt.Printf(heading, "scenario", second, "p50 ms", "p99 ms", "p99.9 ms", "batch core s", "evicted", "oom", "refused", "failed")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
}

func (s *setup) print(second string) {
	r := s.result
	fmt.Printf("| %-16s | %-24s | %8.1f | %8.1f | %8.1f | %10.0f | %7d | %6d | %7d | %6d |\n", s.scenario.name, second,
		r.quantile(50), r.quantile(99), r.quantile(99.9), r.coreSeconds, r.evictions, r.outOfMemory, r.refused, r.failed)
}

// compare prints both policies in all scenarios, and the goals.
func compare(seeds int) {
	for _, hardware := range sizes {
		var setups []*setup
		for _, s := range scenarios {
			setups = append(setups, &setup{scenario: s, size: hardware}, &setup{scenario: s, size: hardware, first: true})
		}
		runAll(setups, seeds)
		fmt.Printf("\n%s, seeds 1 to %d, %s of virtual time each\n\n", hardware.name, seeds, length)
		printHeading("policy")
		for _, s := range setups {
			name := "poplarvalve"
			if s.first {
				name = "first fit"
			}
			s.print(name)
		}
		goals(setups)
	}
}

// goals holds the figures against the goals.
func goals(setups []*setup) {
	quiet, wave, naive := setups[0].result, setups[2].result, setups[3].result
	fmt.Println()
	tail := wave.quantile(99) / quiet.quantile(99)
	goal("urgent p99 under noisy waves / quiet p99", tail, 1.2)
	goal("batch of first fit / batch, noisy waves", naive.coreSeconds/wave.coreSeconds, 1)
	evicted := float64(wave.evictions) / math.Max(float64(naive.evictions), 1)
	goal("evictions / evictions of first fit, noisy waves", evicted, 1.0/3)
}

func goal(name string, value, most float64) {
	verdict := "reached"
	if value > most {
		verdict = "NOT reached"
	}
	fmt.Printf("- %s: %.3f, goal at most %.3f: %s\n", name, value, most, verdict)
}

// ablate switches off one mechanism after another, then backups, and prints the scenarios in
// which a figure differs by more than a twentieth.
func ablate(seeds int) {
	hardware := sizes[0]
	var setups []*setup
	for _, off := range slices.Concat([]string{""}, mechanisms, backups) {
		for _, s := range scenarios {
			setups = append(setups, &setup{scenario: s, size: hardware, off: off})
		}
	}
	runAll(setups, seeds)
	fmt.Printf("\n%s, seeds 1 to %d, with mechanisms off, where a figure differs by more than 5%% from all on\n\n", hardware.name, seeds)
	printHeading("off")
	full := setups[:len(scenarios)]
	for i, s := range setups {
		base := full[i%len(scenarios)]
		if s.off == "" {
			s.print("(all on)")
		} else if differs(s.result, base.result) {
			s.print(s.off)
		}
	}
}

func differs(a, b *result) bool {
	far := func(x, y float64) bool { return math.Abs(x-y) > 0.05*math.Max(math.Max(x, y), 20) }
	return far(a.quantile(99), b.quantile(99)) || far(a.quantile(99.9), b.quantile(99.9)) ||
		far(a.coreSeconds, b.coreSeconds) || far(float64(a.evictions), float64(b.evictions)) ||
		far(float64(a.outOfMemory), float64(b.outOfMemory)) ||
		far(float64(a.refused+a.failed), float64(b.refused+b.failed))
}
