package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

// mixed hands in jobs of all kinds beside faults that are drawn by SEED. It is the search that the
// report names; no case uses it.
func mixed(record *recorder, trouble bool) (broken bool, err error) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	random := rand.New(rand.NewPCG(seed, 3))
	s, err := newSystem(record, 3)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return false, err
	}
	w := newWorld(record, s.log.AppendRecord)
	defer w.close()
	for n := range 10 {
		label := "a"
		if n >= 6 {
			label = "b"
		}
		if _, err := w.addWorker(fmt.Sprintf("w%d", n+1), fmt.Sprintf("r%d", n%3+1), label); err != nil {
			return false, err
		}
	}
	w.register()
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	ended := make(chan struct{})
	if trouble {
		go func() { defer close(ended); s.faults(w, random, stop) }()
	} else {
		close(ended)
	}
	var accepted []string
	deadline := time.Now().Add(35 * time.Second)
	for n := 0; time.Now().Before(deadline); n++ {
		id := fmt.Sprintf("%04x%012x", seed&0xffff, n)
		spec := drawJob(random, id)
		w.mu.Lock()
		w.jobs[id] = spec
		w.mu.Unlock()
		if s.submit(id, spec) {
			accepted = append(accepted, id)
			if random.Float64() < 0.05 {
				go s.cancelLater(w, id, time.Duration(random.IntN(3000))*time.Millisecond)
			}
		}
		time.Sleep(time.Duration(50+random.IntN(300)) * time.Millisecond)
	}
	close(stop)
	<-ended
	record.line("faults are over")
	settled := time.Now().Add(45 * time.Second)
	var open []string
	for time.Now().Before(settled) {
		open = s.openJobs(w, accepted)
		if len(open) == 0 {
			break
		}
		time.Sleep(time.Second)
	}
	for _, line := range open {
		record.line("OPEN: %s", line)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Println("seed", seed, "jobs", len(accepted), "open", len(open), "broken", len(w.broken))
	for _, b := range w.broken[:min(5, len(w.broken))] {
		fmt.Println("  ", b)
	}
	for _, o := range open[:min(5, len(open))] {
		fmt.Println("   open", o)
	}
	return len(w.broken)+len(open) > 0, nil
}

func drawJob(random *rand.Rand, id string) *jobSpec {
	spec := &jobSpec{Spec: "spec of " + id + " <>&\u2028 \"é\""}
	steps := 1 + random.IntN(3)
	for n := range steps {
		step := stepSpec{Count: 1 + random.IntN(6), CPU: 100 * (1 + random.IntN(40)), MemoryMB: 100 * (1 + random.IntN(60)), Estimate: 200 + random.IntN(2500), Image: fmt.Sprintf("i%d", random.IntN(4))}
		if n > 0 && random.Float64() < 0.8 {
			step.After = []int{random.IntN(n)}
		}
		step.Checkpointing = random.Float64() < 0.4
		step.Gang = random.Float64() < 0.3
		step.SameRack = step.Gang && random.Float64() < 0.4
		if random.Float64() < 0.2 {
			step.Requirements = []string{"a", "b"}[random.IntN(2)]
		}
		if random.Float64() < 0.2 {
			step.AntiAffinity = 1 + random.IntN(2)
			step.Count = min(step.Count, 4*step.AntiAffinity)
		}
		if random.Float64() < 0.2 {
			step.Affinity = fmt.Sprintf("r%d", 1+random.IntN(3))
		}
		step.Speculative = !step.Gang && random.Float64() < 0.15
		step.Fills = random.Float64() < 0.2
		if random.Float64() < 0.15 {
			step.fails = 1 + random.IntN(2)
		}
		spec.Steps = append(spec.Steps, step)
	}
	if random.Float64() < 0.2 {
		spec.FirstRun = time.Now().UnixMilli() + int64(random.IntN(4000)) - 1000
		spec.Interval = int64(200 + random.IntN(2500))
		spec.Repeat = 1 + random.IntN(5)
	}
	return spec
}

func (s *system) cancelLater(w *world, id string, after time.Duration) {
	time.Sleep(after)
	for range 10 {
		i := s.instances[rand.IntN(len(s.instances))]
		status, _ := s.call(i, http.MethodDelete, id, nil)
		s.record.line("DELETE %s at %s -> %d", id, i.name, status)
		if status/100 == 2 {
			w.mu.Lock()
			w.canceled[id] = time.Now()
			w.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// openJobs returns the accepted jobs that have not ended.
func (s *system) openJobs(w *world, accepted []string) (open []string) {
	for _, id := range accepted {
		status, answer := s.call(s.instances[0], http.MethodGet, id, nil)
		var state struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal([]byte(answer), &state)
		w.mu.Lock()
		_, canceled := w.canceled[id]
		w.mu.Unlock()
		switch {
		case state.State == "completed" || state.State == "cancelled":
		case canceled:
		default:
			open = append(open, fmt.Sprintf("%s -> %d %s", id, status, answer))
		}
	}
	return open
}

// faults brings faults about until stop is closed.
func (s *system) faults(w *world, random *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+random.IntN(2500)) * time.Millisecond):
		}
		switch random.IntN(9) {
		case 0, 1:
			i := s.instances[random.IntN(len(s.instances))]
			s.kill(i)
			time.Sleep(time.Duration(100+random.IntN(1500)) * time.Millisecond)
			_ = s.start(i)
		case 2:
			i := s.instances[random.IntN(len(s.instances))]
			_ = i.command.Process.Signal(syscall.SIGSTOP)
			s.record.line("%s: stopped", i.name)
			time.Sleep(time.Duration(500+random.IntN(3500)) * time.Millisecond)
			_ = i.command.Process.Signal(syscall.SIGCONT)
			s.record.line("%s: continued", i.name)
		case 3, 4:
			w.mu.Lock()
			x := w.workers[random.IntN(len(w.workers))]
			if x.up {
				x.crash()
				time.AfterFunc(time.Duration(100+random.IntN(4000))*time.Millisecond, func() {
					w.mu.Lock()
					x.begin()
					w.record.line("%s is back", x.id)
					w.mu.Unlock()
					w.register()
				})
			}
			w.mu.Unlock()
		case 5:
			w.mu.Lock()
			x := w.workers[random.IntN(len(w.workers))]
			x.cut = true
			x.wake()
			w.record.line("%s is cut off", x.id)
			time.AfterFunc(time.Duration(500+random.IntN(6000))*time.Millisecond, func() {
				w.mu.Lock()
				x.cut = false
				w.record.line("%s is reached again", x.id)
				w.mu.Unlock()
			})
			w.mu.Unlock()
		case 6:
			s.record.line("log is down")
			s.log.SetDown(true)
			time.Sleep(time.Duration(300+random.IntN(4000)) * time.Millisecond)
			s.log.SetDown(false)
			s.record.line("log is up")
		case 7:
			s.log.LoseResponses(1 + random.IntN(10))
			s.log.DropHistory("keyed.servers")
			s.record.line("answers of the log are lost, and the history of the registry")
		case 8:
			if os.Getenv("NOLATE") != "" {
				continue
			}
			w.mu.Lock()
			for _, x := range w.workers {
				x.late = 0.3
			}
			w.record.line("orders are carried out late")
			w.mu.Unlock()
			time.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
			w.mu.Lock()
			for _, x := range w.workers {
				x.late = 0
			}
			w.mu.Unlock()
		}
	}
}
