package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// In each of poisonPhases, which last poisonTime, one of poisonEvery jobs can never be done:
	// its label is that of no worker. It has poisonTasks tasks.
	poisonPhases = 6
	poisonTime   = 3200 * time.Millisecond
	poisonPause  = time.Second
	poisonEvery  = 15
	poisonTasks  = 4096
	// jobPause is the time between two jobs.
	jobPause = 50 * time.Millisecond
	// lateJobs is the number of ordinary jobs that are handed in after the last phase.
	lateJobs = 20
	// finishTime is finish_s of the sheets, after which jobs are asked for.
	finishTime = 14 * time.Second
	// idleTime is for how long a job may have nothing running although there is room.
	idleTime        = 3 * time.Second
	hopelessWorkers = 8
)

// hopeless hands in ordinary jobs, and among them some that can never be done.
func hopeless(record *recorder, trouble bool) (broken bool, err error) {
	s, err := newSystem(record, 3)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	w := newWorld(record, s.log.AppendRecord)
	defer w.close()
	for n := range hopelessWorkers {
		if _, err := w.addWorker(fmt.Sprintf("w%d", n+1), fmt.Sprintf("r%d", n%3+1), "a"); err != nil {
			return false, err
		}
	}
	w.register()
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var accepted []string
	number, poisoned := 0, 0
	handIn := func(spec *jobSpec) bool {
		number++
		id := fmt.Sprintf("beef%012x", number)
		spec.Spec = "spec of " + id
		w.mu.Lock()
		w.jobs[id] = spec
		w.mu.Unlock()
		if !s.submit(id, spec) {
			return false
		}
		if spec.Steps[0].Requirements == "" {
			accepted = append(accepted, id)
		}
		time.Sleep(jobPause)
		return true
	}
	ordinary := func() {
		handIn(&jobSpec{Steps: []stepSpec{{Count: 2, CPU: 500, MemoryMB: 100, Estimate: 500}}})
	}
	for range poisonPhases {
		for end, n := time.Now().Add(poisonTime), 1; time.Now().Before(end); n++ {
			if trouble && n%poisonEvery == 0 {
				if handIn(&jobSpec{Steps: []stepSpec{{Count: poisonTasks, CPU: 500, MemoryMB: 100, Estimate: 500, Requirements: "z"}}}) {
					poisoned++
				}
				continue
			}
			ordinary()
		}
		time.Sleep(poisonPause)
	}
	for range lateJobs {
		ordinary()
	}
	record.line("the traffic has ended: %d ordinary jobs accepted, %d that can never be done", len(accepted), poisoned)
	if len(accepted) < lateJobs {
		return false, fmt.Errorf("only %d ordinary jobs were accepted", len(accepted))
	}
	time.Sleep(finishTime)
	return s.checkAtWork(w, accepted), nil
}

// checkAtWork reports whether an accepted job that is not shown as completed has nothing running for
// idleTime, although the workers have room for its tasks twice over and less than half of their
// capacity is in use.
func (s *system) checkAtWork(w *world, accepted []string) (broken bool) {
	atWork := map[string]bool{}
	for end := time.Now().Add(idleTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w.mu.Lock()
		used := 0
		for _, x := range w.workers {
			for _, r := range x.running {
				used += r.spec.CPU
				atWork[r.name.job] = true
			}
		}
		w.mu.Unlock()
		if used > hopelessWorkers*workerCPU/2 {
			s.record.line("the workers are over half in use")
			return false
		}
	}
	waiting := 0
	for _, id := range accepted {
		status, answer := s.call(s.instances[0], http.MethodGet, id, nil)
		var state struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal([]byte(answer), &state) // An answer without a state is shown as it is.
		s.record.line("GET %s -> %d %s", id, status, answer)
		if state.State != "completed" && !atWork[id] {
			waiting++
		}
	}
	s.record.line("%d of %d ordinary jobs have nothing running", waiting, len(accepted))
	fmt.Println(waiting, "of", len(accepted), "ordinary jobs have nothing running")
	return waiting > 0
}
