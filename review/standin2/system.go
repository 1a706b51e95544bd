package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"poplarvalve/test/fleet"
)

// Bounds of the small site cbp-sched, and the pause before the platform restarts a process.
const (
	holdMax    = 6 * time.Second
	memoryMB   = 284
	cpuShare   = 0.16
	grace      = 6 * time.Second
	restartGap = time.Second
)

// recorder writes record.txt.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
	// last is the newest line.
	last string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now()}, nil
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = fmt.Sprintf("%8.3f %s", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(r.last + "\n")
}

// RunStarted implements fleet.Observer.
func (r *recorder) RunStarted(worker, task string, run int64) {
	r.line("%s starts %s, run %d", worker, task, run)
}

// RunEnded implements fleet.Observer.
func (r *recorder) RunEnded(worker, task string, run int64, outcome string) {
	r.line("%s: end of %s, run %d: %s", worker, task, run, outcome)
}

// EndAcknowledged implements fleet.Observer.
func (r *recorder) EndAcknowledged(string, string, int64) {}

// EndsVoid implements fleet.Observer.
func (r *recorder) EndsVoid(string) {}

// system is a small deployment on loopback: the platform's log, workers and entry instances.
type system struct {
	rec       *recorder
	dir       string
	program   string
	log       *fleet.Log
	overlaps  *fleet.OverlapDetector
	instances []*instance
	workers   []*fleet.Worker
	client    *http.Client
	stop      chan struct{}
	// logAddress returns the address under which an instance reaches the log. If it is nil, all
	// reach it directly.
	logAddress func(instance int) string
	stopOnce   sync.Once
}

// newSystem starts the log and writes the manifest with one queue.
func newSystem(rec *recorder, program string) (*system, error) {
	dir, err := os.MkdirTemp("", "poplarvalve-review-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, dir: dir, program: program, log: fleet.NewLog(), overlaps: fleet.NewOverlapDetector(),
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, stop: make(chan struct{})}
	s.log.AppendRecord("keyed.op", "config", []byte(`{"version":3,"routes":[{"name":"q","host":"desk.example","path_prefix":"/q/","service":"p","priority":0,"attempts":4,"stretch":2,"target_latency_ms":1000}],"services":[{"name":"p","enforces_capacity":false}],"limits":{}}`))
	return s, nil
}

// close ends all processes that the system started.
func (s *system) close() {
	s.stopOnce.Do(func() { close(s.stop) })
	for _, i := range s.instances {
		i.kill()
	}
	for _, w := range s.workers {
		w.Close()
	}
	s.log.Close()
	_ = os.RemoveAll(s.dir)
}

// register writes the registry entry of a worker.
func (s *system) register(w *fleet.Worker) {
	s.log.AppendRecord("keyed.servers", w.ID, w.RegistryEntry())
}

// instance is one entry instance.
type instance struct {
	s        *system
	name     string
	settings string
	caller   string
	ready    string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	closing bool
	// ends counts the ends of the process, and overMemory those for its memory.
	ends, overMemory int
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// addInstance writes the settings of an instance, as the platform fills in the template.
func (s *system) addInstance(zone string) (*instance, error) {
	i := &instance{s: s, name: fmt.Sprintf("edge-%s-%d", zone, len(s.instances)+1), caller: freeAddress(), ready: freeAddress()}
	logAddress := s.log.Address()
	if s.logAddress != nil {
		logAddress = s.logAddress(len(s.instances))
	}
	text := fmt.Sprintf(`[instance]
name = %s
zone = %s
caller_address = %s
ready_address = %s
link_address = %s
operator_address = %s

[log]
address = %s
record_bytes = 262144
call_bytes = 2097152

[workers]
max_lease_ms = %d
remote_factor = 2

[jobs]
keep_ended_s = 120

[limits]
memory_mb = %d
cpu_share = %g
grace_s = %g
`, i.name, zone, i.caller, i.ready, freeAddress(), freeAddress(), logAddress, holdMax.Milliseconds(), memoryMB, cpuShare, grace.Seconds())
	i.settings = filepath.Join(s.dir, i.name+".ini")
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s.instances = append(s.instances, i)
	return i, nil
}

// start starts the process of the instance. The platform restarts one that has ended.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closing {
		return nil
	}
	out, err := os.OpenFile(filepath.Join(i.s.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	command := exec.Command(i.s.program, "-settings", i.settings, "entry")
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	i.process, i.ended = command, ended
	i.s.rec.line("%s: process starts", i.name)
	go func() {
		err := command.Wait()
		close(ended)
		i.mu.Lock()
		i.ends++
		closing := i.closing
		i.mu.Unlock()
		if closing {
			return
		}
		i.s.rec.line("%s: process has ended: %v", i.name, err)
		time.Sleep(restartGap)
		if err := i.start(); err != nil {
			i.s.rec.line("%s: the process does not start: %v", i.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.s.rec.line("%s: signal %v", i.name, sig)
	_ = i.process.Process.Signal(sig)
}

// kill ends the process for good.
func (i *instance) kill() {
	i.mu.Lock()
	i.closing = true
	process, ended := i.process, i.ended
	i.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-ended
}

// residentMB returns the memory that the process holds.
func (i *instance) residentMB() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", i.process.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// limitMemory kills a process that exceeds its memory, as the platform does.
func (s *system) limitMemory() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, i := range s.instances {
			if resident := i.residentMB(); resident > memoryMB {
				i.mu.Lock()
				i.overMemory++
				_ = i.process.Process.Kill()
				i.mu.Unlock()
				s.rec.line("%s: killed, it holds %d MB, its limit is %d MB", i.name, resident, memoryMB)
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
}

// isReady asks the instance as the balancer does.
func (i *instance) isReady() bool {
	response, err := i.s.client.Get("http://" + i.ready + "/-/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (s *system) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range s.instances {
			if i.isReady() {
				ready++
			}
		}
		if ready == len(s.instances) {
			return true
		}
	}
	return false
}

// call sends a request of a requester. The status is 0 if there was no response.
func (i *instance) call(method, id, body string) (status int, state string) {
	request, err := http.NewRequest(method, "http://"+i.caller+"/q/"+id, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	request.Host = "desk.example"
	request.Header.Set("Poplarvalve-Deadline-Ms", "3000")
	response, err := i.s.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	var answer struct {
		State   string `json:"state"`
		Pending int    `json:"pending"`
	}
	_ = json.Unmarshal(raw, &answer)
	return response.StatusCode, answer.State
}

// startUsual starts three instances in three zones and workers whose runs take a time, and waits
// until the instances are ready.
func (s *system) startUsual(workers int, runTime time.Duration) error {
	return s.startInstances(workers, runTime, "north", "south", "hoh")
}

// startInstances starts an instance in each of the zones and workers, and waits until the instances
// are ready.
func (s *system) startInstances(workers int, runTime time.Duration, zones ...string) error {
	for n := range workers {
		w := fleet.NewWorker(fmt.Sprintf("i-%04x", n+1), "p", runTime, s.overlaps)
		w.EnforceLeases(holdMax)
		w.SetCPU(32000)
		w.Observe(s.rec)
		s.register(w)
		s.workers = append(s.workers, w)
	}
	for _, zone := range zones {
		i, err := s.addInstance(zone)
		if err != nil {
			return err
		}
		if err := i.start(); err != nil {
			return err
		}
	}
	if !s.awaitReady(20 * time.Second) {
		return fmt.Errorf("the instances are not ready after 20 s")
	}
	return nil
}
