//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "can't run the case:", err)
		stopAll()
		os.Exit(2)
	}
}

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// instance is one entry instance, a process of its own.
type instance struct {
	name     string
	front    string
	ready    string
	settings string
	log      string
	mu       sync.Mutex
	process  *exec.Cmd
}

var (
	allMu   sync.Mutex
	running = map[*exec.Cmd]bool{}
)

// stopAll kills the processes that this case has started.
func stopAll() {
	allMu.Lock()
	defer allMu.Unlock()
	for process := range running {
		process.Process.Kill()
	}
}

var freePorts = struct {
	mu   sync.Mutex
	used map[int]bool
}{used: map[int]bool{}}

// freePort returns a loopback address whose port was free just now. It is below the range
// from which connections get theirs.
func freePort() string {
	freePorts.mu.Lock()
	defer freePorts.mu.Unlock()
	for {
		port := 20000 + rand.Intn(12000)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil || freePorts.used[port] {
			continue
		}
		listener.Close()
		freePorts.used[port] = true
		return address
	}
}

// settingsOf fills the template of the deploy file.
func settingsOf(name, storeAddress string) (text, front, ready string) {
	template, err := os.ReadFile("deploy/entry.ini.tmpl")
	check(err)
	front, ready = freePort(), freePort()
	link, operator := freePort(), freePort()
	values := map[string]string{
		"node_name": name, "listen_addrs.front": front, "listen_addrs.ready": ready,
		"ip": "127.0.0.1", "zone": "r1-1", "internal_ports.0": link[strings.Index(link, ":")+1:], "internal_ports.1": operator[strings.Index(operator, ":")+1:],
		"platform.address": storeAddress, "advice": "",
		"platform.record_bytes": strconv.Itoa(recordBytes), "platform.call_bytes": strconv.Itoa(callBytes),
		"bounds.hold_max_ms": "6000", "bounds.remote_factor": "2", "bounds.status_s": "120",
		"limits.memory_mb": "284", "limits.cpu_share": "0.16", "limits.max_fds": "4100", "bounds.grace_s": "6", "bounds.evacuate_ms": "",
	}
	text = regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(template), func(hole string) string {
		value, known := values[strings.Trim(hole, "{}")]
		if !known {
			check(fmt.Errorf("the template asks for %s", hole))
		}
		return value
	})
	return text, front, ready
}

// system is the platform's side of one deployment and its entry instances.
type system struct {
	folder    string
	record    *recorder
	store     *store
	fleet     *fleet
	instances []*instance
	client    *http.Client
}

const (
	pool = "huvo11a"
	host = "nony24.example"
)

// route is one queue of the manifest.
type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"path_prefix"`
	Kind     string  `json:"route_type"`
	Timeout  int     `json:"timeout_ms"`
	Target   int     `json:"target_latency_ms"`
	Priority int     `json:"priority"`
	Service  string  `json:"service"`
	Attempts int     `json:"attempts"`
	Stretch  float64 `json:"stretch"`
}

func newSystem(instances int) *system {
	folder, err := os.MkdirTemp("", "review")
	check(err)
	file, err := os.Create(os.Getenv("RECORD"))
	check(err)
	s := &system{folder: folder, record: &recorder{file: file, began: time.Now()}}
	s.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	s.store = newStore(s.record)
	s.fleet = &fleet{store: s.store, record: s.record, pool: pool, history: map[string][]*runHistory{},
		duration: func(string) time.Duration { return time.Second }}
	s.store.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []route{
			{"r-check", host, "/lohu930/", "unsafe", 3000, 600, 0, pool, 4, 1.5},
			{"r-rebuild", host, "/pufi791/", "unsafe", 3000, 1000, 2, pool, 2, 2.0},
		},
		"services": []map[string]any{{"name": pool, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": false, "spare": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	for i := range instances {
		s.addInstance(fmt.Sprintf("edge-z1-%d", i+1))
	}
	return s
}

func (s *system) addInstance(name string) {
	text, front, ready := settingsOf(name, s.store.address)
	settings := filepath.Join(s.folder, name+".ini")
	check(os.WriteFile(settings, []byte(text), 0o600))
	i := &instance{name: name, front: front, ready: ready, settings: settings, log: filepath.Join(s.folder, name+".log")}
	s.instances = append(s.instances, i)
}

func (s *system) startAll() {
	for _, i := range s.instances {
		s.start(i)
	}
	deadline := time.Now().Add(30 * time.Second)
	for _, i := range s.instances {
		for !s.isReady(i) {
			if time.Now().After(deadline) {
				check(fmt.Errorf("%s isn't ready after 30 s", i.name))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.record.add("all instances are ready")
}

// start starts an instance with the command of the deploy file.
func (s *system) start(i *instance) {
	output, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	process := exec.Command("target/poplarvalved", "-settings", i.settings, "entry")
	process.Stdout, process.Stderr = output, output
	check(process.Start())
	output.Close()
	allMu.Lock()
	running[process] = true
	allMu.Unlock()
	i.mu.Lock()
	i.process = process
	i.mu.Unlock()
	s.record.add("%s: started", i.name)
	go func() {
		err := process.Wait()
		allMu.Lock()
		delete(running, process)
		allMu.Unlock()
		s.record.add("%s: ended (%v)", i.name, err)
	}()
}

func (s *system) signal(i *instance, signal syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	s.record.add("%s: gets %v", i.name, signal)
	i.process.Process.Signal(signal)
}

func (s *system) isReady(i *instance) bool {
	response, err := s.client.Get("http://" + i.ready + "/-/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes. It keeps the logs of the instances if KEEP is set.
func (s *system) close() {
	stopAll()
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs:", s.folder)
	}
}

// call sends one request of a requester and returns the status, 0 without an answer.
func (s *system) call(i *instance, method, path string, body any) (status int, answer map[string]any) {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		check(err)
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequest(method, "http://"+i.front+path, content)
	check(err)
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Poplarvalve-Deadline-Ms", "3000")
	response, err := s.client.Do(request)
	if err == nil {
		status = response.StatusCode
		json.NewDecoder(response.Body).Decode(&answer)
		response.Body.Close()
	}
	return status, answer
}

// submit hands a job in, with the retries of a requester at other instances.
func (s *system) submit(path string, job any) (accepted bool) {
	for attempt := range 5 {
		i := s.instances[attempt%len(s.instances)]
		status, _ := s.call(i, http.MethodPost, path, job)
		s.record.add("requester: POST %s at %s: %d", path, i.name, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks the instances for the state of a job until one answers with it. It returns
// "gone" for 410 and "" without an answer.
func (s *system) state(path string) string {
	for _, i := range s.instances {
		status, answer := s.call(i, http.MethodGet, path, nil)
		if state, _ := answer["state"].(string); status == http.StatusOK && state != "" {
			return state
		}
		if status == http.StatusGone {
			return "gone"
		}
	}
	return ""
}

type step map[string]any

func job(spec string, steps ...step) map[string]any {
	return map[string]any{"spec": spec, "steps": steps}
}

// trouble reports whether the case shall bring its disruption about.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// verdict ends the case.
func (s *system) verdict(rule string, violations []string) {
	s.close()
	for n, v := range violations {
		if n < 20 {
			s.record.add("%s broken: %s", rule, v)
			fmt.Println(rule, "broken:", v)
		}
	}
	s.record.add("violations of %s: %d", rule, len(violations))
	fmt.Printf("violations of %s: %d\n", rule, len(violations))
	if len(violations) > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}
