//go:build review

package main

import (
	"bytes"
	"fmt"
	"syscall"
	"time"
)

const (
	// largeSteps and largeWidth are the size of the large job.
	largeSteps = 7
	largeWidth = 3600
)

// leader returns the instance that holds the term, by the newest record of the term.
func (s *system) leader() *instance {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	newest := s.store.part("keyed.terms/0").newest["leader"].value
	for _, i := range s.instances {
		if bytes.Contains(newest, []byte(i.name)) {
			return i
		}
	}
	return nil
}

// largeJob: while a large job runs and small ones are handed in every second, the process
// that leads is killed once and started again.
func largeJob() {
	s := newSystem(3)
	s.fleet.duration = func(string) time.Duration { return 100 * time.Millisecond }
	for range 8 {
		s.fleet.add(32000, 128000, "r1-1")
	}
	s.startAll()
	time.Sleep(2 * time.Second)
	var work []step
	for range largeSteps {
		work = append(work, step{"count": largeWidth, "cpu": 1000, "mem_mb": 500, "estimate_ms": 100})
	}
	large := "/pufi791/5c0e7a21d94b36f8"
	if !s.submit(large, job("rebuild", work...)) {
		check(fmt.Errorf("the large job wasn't accepted"))
	}
	if trouble() {
		time.AfterFunc(2500*time.Millisecond, func() {
			leader := s.leader()
			s.signal(leader, syscall.SIGKILL)
			time.AfterFunc(500*time.Millisecond, func() { s.start(leader) })
		})
	}
	paths := []string{large}
	for n := range 40 {
		path := fmt.Sprintf("/lohu930/c%015x", n)
		if s.submit(path, job("check", step{"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": 100}, step{"count": 1, "cpu": 1000, "mem_mb": 500, "estimate_ms": 100, "after": []int{0}})) {
			paths = append(paths, path)
		}
		time.Sleep(time.Second)
	}
	time.Sleep(14 * time.Second)
	busiest := 0
	for range 80 {
		busiest = max(busiest, s.fleet.running())
		time.Sleep(50 * time.Millisecond)
	}
	s.record.add("in the last 4 s, at most %d runs at a time on workers with room for 256", busiest)
	var violations []string
	for _, path := range paths {
		state := s.state(path)
		s.record.add("requester: GET %s: %s", path, state)
		if state == "" || state == "gone" {
			violations = append(violations, fmt.Sprintf("%s isn't known or gets no answer 18 s after the end of the traffic", path))
		} else if state != "completed" && busiest == 0 {
			violations = append(violations, fmt.Sprintf("%s is %s 18 s after the end of the traffic, and for 4 s nothing has run", path, state))
		}
	}
	s.record.add("the store rejected %d appends", s.store.rejected.Load())
	s.verdict("LOST", violations)
}
