//go:build review

package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// steps is the number of steps of a job, each with an image of its own.
	steps = 5
	// requesters hand jobs in at the same time, one every 400 ms each.
	requesters = 8
)

// manyImages: in a deployment whose jobs have named many images, one worker is lost for
// good. The tasks that last and ran there have to run again elsewhere. With IMAGES=few,
// all jobs name the same images.
func manyImages() {
	s := newSystem(3)
	s.fleet.duration = func(task string) time.Duration {
		if strings.HasPrefix(task, "f") {
			return time.Hour
		}
		return 100 * time.Millisecond
	}
	for range 8 {
		s.fleet.add(32000, 128000, "r1-1")
	}
	s.startAll()
	time.Sleep(2 * time.Second)
	feed := "f000000000000001"
	if !s.submit("/lohu930/"+feed, job("feed", step{"count": 6, "cpu": 6400, "mem_mb": 13000, "long_running": true, "anti_affinity": 1})) {
		check(fmt.Errorf("the job that lasts wasn't accepted"))
	}
	stop := make(chan struct{})
	var done sync.WaitGroup
	for r := range requesters {
		done.Add(1)
		go func() {
			defer done.Done()
			ticker := time.NewTicker(400 * time.Millisecond)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				var work []step
				for i := range steps {
					work = append(work, step{"count": 1, "cpu": 500, "mem_mb": 500, "estimate_ms": 100, "image": imageName(r, n, i)})
				}
				s.submit(fmt.Sprintf("/lohu930/a%07x%08x", r, n), job("check", work...))
			}
		}()
	}
	time.Sleep(30 * time.Second)
	lostAt := time.Now()
	var affected []string
	if trouble() {
		affected = s.loseWorkerOf(feed)
	}
	time.Sleep(25 * time.Second)
	var violations []string
	for _, task := range affected {
		again, ran := s.fleet.startAfter(task, lostAt)
		switch {
		case !ran:
			violations = append(violations, fmt.Sprintf("%s lasts and hasn't run since its worker was lost %.1f s ago, with seven workers free", task, time.Since(lostAt).Seconds()))
		case again.Sub(lostAt) > 9*time.Second:
			violations = append(violations, fmt.Sprintf("%s lasts and ran again only %.1f s after its worker was lost, with seven workers free", task, again.Sub(lostAt).Seconds()))
		}
	}
	close(stop)
	done.Wait()
	s.record.add("the store rejected %d appends", s.store.rejected.Load())
	s.verdict("LOST", violations)
}

// imageName returns the name of an image with its digest, as registries give them.
func imageName(requester, n, i int) string {
	if os.Getenv("IMAGES") == "few" {
		return fmt.Sprintf("registry.example/permits/check-%d@sha256:%064x", i, i)
	}
	return fmt.Sprintf("registry.example/permits/check-%d@sha256:%064x", i, (requester*100000+n)*steps+i)
}

// loseWorkerOf crashes a worker that runs a task of a job, for good, and returns the tasks
// of the job that ran there.
func (s *system) loseWorkerOf(job string) (tasks []string) {
	for _, w := range s.fleet.workers {
		w.mu.Lock()
		for _, r := range w.runs {
			if strings.HasPrefix(r.task, job+".") {
				tasks = append(tasks, r.task)
			}
		}
		w.mu.Unlock()
		if len(tasks) > 0 {
			w.crash()
			return tasks
		}
	}
	check(fmt.Errorf("no worker runs a task of %s", job))
	return nil
}

// startAfter returns the first start of a task after a time.
func (f *fleet) startAfter(task string, after time.Time) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range f.history[task] {
		if h.began.After(after) {
			return h.began, true
		}
	}
	return time.Time{}, false
}
