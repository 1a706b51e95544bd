//go:build review

package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"time"
)

// crashes: of eight workers one crashes every 1.2 s and is back 1 s later, 18 times.
// Which one is drawn at random; SEED repeats the draw. No run of any task fails.
func crashes() {
	seed, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	if err != nil {
		seed = time.Now().UnixNano() % 100000
	}
	random := rand.New(rand.NewSource(seed))
	s := newSystem(3)
	s.record.add("seed %d", seed)
	fmt.Println("seed", seed)
	s.fleet.duration = func(task string) time.Duration {
		switch task[0] {
		case 'c':
			return 800 * time.Millisecond
		case 'd':
			return 2700 * time.Millisecond
		}
		return time.Hour
	}
	for range 8 {
		s.fleet.add(32000, 128000, "r1-1")
	}
	s.startAll()
	time.Sleep(2 * time.Second)
	crashed := make(chan struct{})
	go func() {
		defer close(crashed)
		if !trouble() {
			return
		}
		time.Sleep(4 * time.Second)
		for range 18 {
			w := s.fleet.workers[random.Intn(len(s.fleet.workers))]
			for !w.isUp() {
				w = s.fleet.workers[random.Intn(len(s.fleet.workers))]
			}
			w.crash()
			time.AfterFunc(time.Second, w.boot)
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	var paths []string
	for n := range 58 {
		var path string
		var body map[string]any
		switch {
		case n == 0 || n == 30:
			path, body = fmt.Sprintf("/lohu930/f%015x", n), job("feed", step{"count": 6, "cpu": 6400, "mem_mb": 13000, "long_running": true})
		case n%2 == 0:
			path, body = fmt.Sprintf("/lohu930/c%015x", n), job("check", step{"count": 6, "cpu": 2300, "mem_mb": 4600, "estimate_ms": 800})
		default:
			path, body = fmt.Sprintf("/pufi791/d%015x", n), job("rebuild", step{"count": 8, "cpu": 3500, "mem_mb": 6400, "estimate_ms": 2700})
		}
		if s.submit(path, body) {
			paths = append(paths, path)
		}
		time.Sleep(450 * time.Millisecond)
	}
	<-crashed
	time.Sleep(14 * time.Second)
	var violations []string
	for _, path := range paths {
		id := path[strings.LastIndex(path, "/")+1:]
		state := s.state(path)
		failed, lost := s.fleet.countEnds(id, "failed"), s.fleet.countEnds(id, "crash")
		s.record.add("requester: GET %s: %s; %d runs ended failed, %d were lost with their worker", path, state, failed, lost)
		switch {
		case state == "failed" && failed == 0:
			violations = append(violations, fmt.Sprintf("%s is shown as failed; none of its runs has ended failed, %d were lost with their worker", path, lost))
		case state == "" || state == "gone":
			violations = append(violations, fmt.Sprintf("%s isn't known or gets no answer 14 s after the end of the traffic", path))
		}
	}
	s.verdict("LOST", violations)
}

func (w *worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}

// countEnds returns how many runs of the tasks of a job ended in a way.
func (f *fleet) countEnds(job, how string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for task, runs := range f.history {
		for _, h := range runs {
			if strings.HasPrefix(task, job+".") && h.how == how {
				count++
			}
		}
	}
	return count
}
