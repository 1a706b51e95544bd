package main

import (
	"fmt"
	"sync"
	"time"
)

// The bounds of the site file for which the cases are written.
const (
	finishWait = 14 * time.Second
	// answerWait is how long the state of a job is asked for.
	answerWait = 20 * time.Second
	// tries is how often a requester sends a request: once, and four retries.
	tries = 5
)

const ordinaryJob = `{"spec":"permit","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":500}]}`

// seriesJob describes a job that runs two steps of eight tasks every five minutes since a year ago.
func seriesJob(times int) string {
	first := time.Now().AddDate(-1, 0, 0).UnixMilli()
	return fmt.Sprintf(`{"spec":"quota","steps":[{"count":8,"cpu":1000,"mem_mb":100,"estimate_ms":500},`+
		`{"count":8,"cpu":1000,"mem_mb":100,"estimate_ms":500,"after":[0]}],"first_run_ms":%d,"interval_ms":300000,"repeat_count":%d}`, first, times)
}

// repeatCase hands in one job with many times that are due, beside ordinary jobs. LOST is broken
// if an accepted job isn't known or its state gets no answer finish_s after the traffic.
func repeatCase(s *system, trouble bool) (broken bool, err error) {
	if err := s.startUsual(12, 500*time.Millisecond); err != nil {
		return false, err
	}
	go s.limitMemory()
	times := 8
	if trouble {
		times = 100_000
	}
	var mu sync.Mutex
	var accepted []string
	var requesters sync.WaitGroup
	handIn := func(id string, first int, body string) {
		requesters.Go(func() {
			if s.submit(id, first, body) {
				mu.Lock()
				defer mu.Unlock()
				accepted = append(accepted, id)
			}
		})
	}
	for n := range 60 {
		handIn(fmt.Sprintf("%016x", n+1), n, ordinaryJob)
		if n == 20 {
			s.rec.line("a job with %d times is handed in", times)
			handIn(fmt.Sprintf("%016x", 0xabc), n, seriesJob(times))
		}
		time.Sleep(200 * time.Millisecond)
	}
	requesters.Wait()
	s.rec.line("end of the traffic; %d jobs are accepted", len(accepted))
	time.Sleep(finishWait)
	lost := 0
	for n, id := range accepted {
		requesters.Go(func() {
			status, state := s.ask(id, n)
			mu.Lock()
			defer mu.Unlock()
			if status == 200 {
				s.rec.line("job %s: %s", id, state)
				return
			}
			lost++
			s.rec.line("LOST: job %s is accepted; no answer for %v, the last status is %d", id, answerWait, status)
		})
	}
	requesters.Wait()
	for _, i := range s.instances {
		i.mu.Lock()
		s.rec.line("%s: %d ends of the process for more than %d MB", i.name, i.overMemory, memoryMB)
		i.mu.Unlock()
	}
	s.rec.line("%d of %d accepted jobs without an answer", lost, len(accepted))
	return lost > 0, nil
}

// submit hands in a job, at another instance with each try, until it is accepted. It returns
// false if it was not.
func (s *system) submit(id string, first int, body string) bool {
	for n := range tries {
		i := s.instances[(first+n)%len(s.instances)]
		status, _ := i.call("POST", id, body)
		s.rec.line("POST %s to %s: %d", id, i.name, status)
		if status == 200 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// ask asks for the state of a job until it is answered, at another instance with each try, for at
// most answerWait.
func (s *system) ask(id string, first int) (status int, state string) {
	return s.askFor(id, first, answerWait)
}

func (s *system) askFor(id string, first int, limit time.Duration) (status int, state string) {
	end := time.Now().Add(limit)
	for n := first; time.Now().Before(end); n++ {
		i := s.instances[n%len(s.instances)]
		if status, state = i.call("GET", id, ""); status == 200 {
			return status, state
		}
		s.rec.line("GET %s at %s: %d", id, i.name, status)
		time.Sleep(time.Second)
	}
	return status, state
}
