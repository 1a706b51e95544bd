package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// hopelessJobs is the number of jobs that can never be done, and hopelessTasks the number of
	// tasks of each.
	hopelessJobs  = 17
	hopelessTasks = 4096
	// ordinaryJobs is the number of ordinary jobs that are handed in afterwards.
	ordinaryJobs = 20
	// finishTime is finish_s of the sheets, after which accepted jobs must be at work.
	finishTime = 14 * time.Second
	// idleTime is for how long a job may have nothing running although there is room.
	idleTime = 3 * time.Second
)

type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemoryMB     int    `json:"mem_mb"`
	Estimate     int    `json:"estimate_ms"`
	Requirements string `json:"requirements,omitempty"`
}

type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// hopeless hands in jobs that no worker can run, and ordinary jobs after them.
func hopeless(record *recorder, trouble bool) (broken bool, err error) {
	s, err := newSystem(record, 3, 8, 500*time.Millisecond)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // The workers have registered and answered.
	if trouble {
		for n := range hopelessJobs {
			id := fmt.Sprintf("dead%012x", n)
			if !s.submit(id, job{"hopeless", []step{{Count: hopelessTasks, CPU: 100, MemoryMB: 10, Estimate: 500, Requirements: "no-worker-has-it"}}}) {
				record.line("hopeless job %s was not accepted", id)
			}
		}
	}
	var accepted []string
	for n := range ordinaryJobs {
		id := fmt.Sprintf("beef%012x", n)
		if s.submit(id, job{"ordinary", []step{{Count: 2, CPU: 500, MemoryMB: 100, Estimate: 500}}}) {
			accepted = append(accepted, id)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(accepted) == 0 {
		return false, fmt.Errorf("no ordinary job was accepted")
	}
	record.line("last ordinary job handed in; %d accepted", len(accepted))
	time.Sleep(finishTime)
	return s.checkAtWork(accepted), nil
}

// checkAtWork reports whether an accepted job that is not shown as completed has nothing running for
// idleTime while the workers are less than half in use.
func (s *system) checkAtWork(accepted []string) (broken bool) {
	end := time.Now().Add(idleTime)
	idle := map[string]bool{}
	for _, id := range accepted {
		idle[id] = true
	}
	for time.Now().Before(end) {
		for _, id := range accepted {
			if _, running := s.runs.count(id); running > 0 {
				idle[id] = false
			}
		}
		if s.runs.total()*500 > 8*16000/2 {
			s.record.line("the workers are over half in use")
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, id := range accepted {
		status, answer := s.call(s.instances[0], http.MethodGet, id, nil)
		var state struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal([]byte(answer), &state) // An answer without a state is shown as it is.
		started, _ := s.runs.count(id)
		s.record.line("GET %s -> %d %s; %d starts, %d tasks running on all workers", id, status, answer, started, s.runs.total())
		if idle[id] && state.State != "completed" {
			broken = true
		}
	}
	return broken
}
