//go:build review

package main

import (
	"fmt"
	"time"
)

const (
	// jobs is the number of jobs of the case, and tasks that of the tasks of each.
	jobs  = 108
	tasks = 36
)

// manyEnds: the store is down for 4.2 s while two workers run a job of short tasks. Ends
// can't be stored, so they aren't taken note of, and each worker keeps more than the 500
// that it lists at a time.
func manyEnds() {
	s := newSystem(3)
	s.fleet.duration = func(string) time.Duration { return 300 * time.Millisecond }
	for range 2 {
		s.fleet.add(32000, 128000, "r1-1")
	}
	s.startAll()
	time.Sleep(2 * time.Second)
	var paths []string
	for n := range jobs {
		path := fmt.Sprintf("/lohu930/5c0e7a21d94b%04x", n)
		if s.submit(path, job("check", step{"count": tasks, "cpu": 200, "mem_mb": 100, "estimate_ms": 300})) {
			paths = append(paths, path)
		}
	}
	time.Sleep(time.Second)
	if trouble() {
		s.store.setDown(true)
		time.Sleep(4200 * time.Millisecond)
		s.store.setDown(false)
	}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline) && s.fleet.running() > 0; {
		time.Sleep(500 * time.Millisecond)
	}
	for _, path := range paths {
		s.record.add("requester: GET %s: %s", path, s.state(path))
	}
	time.Sleep(3 * time.Second)
	s.verdict("TWICE", s.fleet.twice())
}
