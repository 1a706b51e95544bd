package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

// gangs hands in gangs beside canceled and hopeless jobs, new manifests and new workers. It is the
// search that the report names; no case uses it.
func gangs(record *recorder, trouble bool) (broken bool, err error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 4))
	s, err := newSystem(record, 3)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	w := newWorld(record, s.log.AppendRecord)
	defer w.close()
	w.calm = true
	for n := range 8 {
		x, err := w.addWorker(fmt.Sprintf("w%d", n+1), fmt.Sprintf("r%d", n%3+1), "a")
		if err != nil {
			return false, err
		}
		if n%2 == 1 {
			x.delay = 60 * time.Millisecond
		}
	}
	w.register()
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	deadline := time.Now().Add(60 * time.Second)
	version := 1
	var accepted []string
	for n := 0; time.Now().Before(deadline); n++ {
		id := fmt.Sprintf("%04x%012x", seed&0xffff, n)
		spec := &jobSpec{Spec: "spec of " + id}
		for range 1 + random.IntN(2) {
			step := stepSpec{Count: 2 + random.IntN(60), CPU: 100 * (1 + random.IntN(20)), MemoryMB: 100 * (1 + random.IntN(20)), Estimate: 200 + random.IntN(2500),
				Gang: random.Float64() < 0.8, Checkpointing: random.Float64() < 0.5}
			if random.Float64() < 0.2 {
				step.fails = 1
			}
			spec.Steps = append(spec.Steps, step)
		}
		if trouble && random.Float64() < 0.06 {
			spec.Steps[0] = stepSpec{Count: 200, CPU: 1000, MemoryMB: 100, Estimate: 1000, Gang: true}
		}
		w.mu.Lock()
		w.jobs[id] = spec
		w.mu.Unlock()
		if s.submit(id, spec) {
			accepted = append(accepted, id)
			if trouble && random.Float64() < 0.15 {
				go s.cancelLater(w, id, time.Duration(random.IntN(3000))*time.Millisecond)
			}
		}
		if trouble && n%20 == 10 {
			version++
			s.publishManifest(version)
		}
		if trouble && n%60 == 30 {
			if _, err := w.addWorker(fmt.Sprintf("new%d", n), "r1", "a"); err != nil {
				return false, err
			}
			w.register()
		}
		time.Sleep(time.Duration(50+random.IntN(400)) * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Println("seed", seed, "jobs", len(accepted), "broken", len(w.broken))
	for _, b := range w.broken[:min(5, len(w.broken))] {
		fmt.Println("  ", b)
	}
	return len(w.broken) > 0, nil
}
