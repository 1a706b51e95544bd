// Package soak runs the real daemon as several processes against the emulated
// platform, injects faults from outside, and checks what callers and workers
// see.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/test/fleet"
)

// regressions are seeds that failed once. CI runs them and the first seed.
var regressions = []uint64{
	// The soak started a process while the earlier one still held its addresses.
	147, 208, 212, 213,
}

const (
	instances = 4
	workers   = 5
	// faultTime is how long faults are injected, settleTime how long the system
	// has to end all jobs afterwards.
	faultTime  = 15 * time.Second
	settleTime = 40 * time.Second
	taskTime   = 300 * time.Millisecond
)

const manifest = `{"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/j/","service":"p",
 "target_latency_ms":600,"attempts":5,"stretch":2.0}],"services":[{"name":"p"}],"limits":{"max_body_bytes":262144}}`

// Guards against jobs that are lost, doubled or forgotten while processes are
// killed, paused and restarted and the log is cut off, slow or loses answers.
// SOAK_FROM and SOAK_COUNT choose other seeds.
func TestSoak(t *testing.T) {
	program := build(t)
	seeds := append([]uint64{1}, regressions...)
	if from, err := strconv.ParseUint(os.Getenv("SOAK_FROM"), 10, 64); err == nil {
		count, _ := strconv.ParseUint(os.Getenv("SOAK_COUNT"), 10, 64)
		seeds = nil
		for seed := from; seed < from+max(1, count); seed++ {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, program, seed)
		})
	}
}

func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "poplarvalved")
	output, err := exec.Command("go", "build", "-o", program, "../../cmd/poplarvalved").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return program
}

// system is one deployment on loopback.
type system struct {
	t       *testing.T
	random  *rand.Rand
	program string
	dir     string
	log     *fleet.Log
	shared  *fleet.Shared
	workers []*fleet.Worker
	nodes   []*node
	client  *http.Client
}

// node is one instance with its way to the log.
type node struct {
	name   string
	ip     string
	proxy  *proxy
	config string

	mu      sync.Mutex
	command *exec.Cmd
}

func play(t *testing.T, program string, seed uint64) {
	s := &system{t: t, random: rand.New(rand.NewPCG(seed, 7)), program: program, dir: t.TempDir(),
		log: fleet.NewLog(), shared: fleet.NewShared(), client: &http.Client{Timeout: 4 * time.Second}}
	t.Cleanup(s.log.Close)
	s.log.Put("keyed.op", "config", []byte(manifest))
	for i := range workers {
		w := fleet.NewWorker(fmt.Sprint("i-", i), "p", taskTime, s.shared)
		t.Cleanup(w.Close)
		s.workers = append(s.workers, w)
		s.log.Put("keyed.servers", w.ID, w.Entry())
	}
	for i := range instances {
		s.nodes = append(s.nodes, s.prepare(seed, i))
	}
	accepted := s.inject()
	s.settle(accepted)
}

// prepare writes the settings of an instance and starts it.
func (s *system) prepare(seed uint64, index int) *node {
	n := &node{name: fmt.Sprint("n", index), ip: fmt.Sprintf("127.%d.%d.%d", 70+seed%50, os.Getpid()%250+1, index+1)}
	n.proxy = newProxy(s.t, s.log.Address())
	n.config = filepath.Join(s.dir, n.name+".ini")
	text := fmt.Sprintf(`[instance]
name = %[1]s
caller_address = %[2]s:8161
ready_address = %[2]s:8162
link_address = %[2]s:8163
operator_address = %[2]s:8164
[log]
address = %[3]s
[workers]
max_lease_ms = 6000
remote_factor = 2
[jobs]
keep_ended_s = 300
[limits]
memory_mb = 200
cpu_share = 1
grace_s = 5
`, n.name, n.ip, n.proxy.address())
	assert.NilError(s.t, os.WriteFile(n.config, []byte(text), 0o600))
	s.start(n)
	s.t.Cleanup(func() { s.end(n, syscall.SIGKILL) })
	return n
}

// start starts the instance's process unless it runs.
func (s *system) start(n *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		return
	}
	log, err := os.OpenFile(filepath.Join(s.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(s.t, err)
	defer log.Close() // The process has its own copy.
	command := exec.Command(s.program, "-settings", n.config, "entry")
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(s.t, command.Start())
	n.command = command
}

// end sends a signal to the instance's process, by its id, and waits for it.
// Until then no other can be started, since it could not use the addresses.
func (s *system) end(n *node, how syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return
	}
	_ = n.command.Process.Signal(syscall.SIGCONT) // A paused process takes no other signal.
	_ = n.command.Process.Signal(how)
	_ = n.command.Wait() // A killed process returns an error.
	n.command = nil
}

func (s *system) signal(n *node, how syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil {
		_ = n.command.Process.Signal(how) // It may have ended by itself.
	}
}

// inject plays faults while jobs are handed in, and returns the accepted ones.
func (s *system) inject() []string {
	ctx, cancel := context.WithTimeout(context.Background(), faultTime)
	defer cancel()
	var faults sync.WaitGroup
	faults.Add(1)
	go func() {
		defer faults.Done()
		for ctx.Err() == nil {
			s.fault(&faults)
			time.Sleep(time.Duration(200+s.random.IntN(900)) * time.Millisecond)
		}
	}()
	var accepted []string
	for number := 1; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%016x", number)
		if s.submit(ctx, id, number) {
			accepted = append(accepted, id)
		}
		time.Sleep(60 * time.Millisecond)
	}
	faults.Wait()
	return accepted
}

// fault injects one fault; its end overlaps with those that follow.
func (s *system) fault(running *sync.WaitGroup) {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	length := time.Duration(300+s.random.IntN(2700)) * time.Millisecond
	kind := s.random.IntN(8)
	m := mode(1 + s.random.IntN(int(modes)-1))
	running.Add(1)
	go func() {
		defer running.Done()
		switch kind {
		case 0, 1:
			s.end(n, syscall.SIGKILL)
			time.Sleep(length / 4)
			s.start(n)
		case 2:
			s.end(n, syscall.SIGTERM)
			s.start(n)
		case 3:
			s.signal(n, syscall.SIGSTOP)
			time.Sleep(length)
			s.signal(n, syscall.SIGCONT)
		case 4:
			n.proxy.set(m)
			time.Sleep(length)
			n.proxy.set(pass)
			n.proxy.reset()
		case 5:
			n.proxy.reset()
		case 6:
			s.log.LoseAnswers(3)
			s.workers[kind%workers].LoseAnswers(2)
		case 7:
			s.log.SetDown(true)
			time.Sleep(length)
			s.log.SetDown(false)
		}
	}()
}

// submit hands a job in at one instance after the other. It returns false if
// the job was not accepted in time.
func (s *system) submit(ctx context.Context, id string, turn int) bool {
	body := `{"spec":"x","steps":[{"count":3,"cpu":1000,"mem_mb":100,"estimate_ms":300},{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":300,"after":[0]}]}`
	for try := range 2 * instances {
		status, _ := s.call(ctx, s.nodes[(turn+try)%instances], http.MethodPost, "/j/"+id, body)
		if status == http.StatusOK {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

func (s *system) call(ctx context.Context, n *node, method, path, body string) (status int, answer string) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.ip+":8161"+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = "h"
	response, err := s.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(raw)
}

// settle waits until all accepted jobs are shown as completed, and checks that
// each of their tasks was done once and never ran twice at once.
func (s *system) settle(accepted []string) {
	for _, n := range s.nodes {
		s.signal(n, syscall.SIGCONT)
		n.proxy.set(pass)
		s.start(n)
	}
	s.log.SetDown(false)
	deadline := time.Now().Add(settleTime)
	for _, id := range accepted {
		for {
			status, answer := s.call(context.Background(), s.nodes[len(id)%instances], http.MethodGet, "/j/"+id, "")
			if strings.Contains(answer, "completed") {
				break
			}
			assert.Assert(s.t, status != http.StatusGone, "the accepted job %s is not known", id)
			assert.Assert(s.t, time.Now().Before(deadline), "job %s: %d %s; logs in %s", id, status, answer, s.keepLogs())
			time.Sleep(100 * time.Millisecond)
		}
		s.checkOnce(id)
	}
	assert.Equal(s.t, len(s.shared.Seen()), 0, "tasks that ran twice at once: %v; logs in %s", s.shared.Seen(), s.keepLogs())
	s.t.Logf("%d jobs accepted", len(accepted))
}

func (s *system) checkOnce(id string) {
	for _, task := range []string{".0.0.0", ".0.0.1", ".0.0.2", ".0.1.0"} {
		done := 0
		for _, w := range s.workers {
			done += w.Finished(id + task)
		}
		assert.Assert(s.t, done == 1, "task %s%s was done %d times; logs in %s", id, task, done, s.keepLogs())
	}
}

// keepLogs copies the logs to where they outlive the test.
func (s *system) keepLogs() string {
	kept, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err.Error()
	}
	for _, n := range s.nodes {
		content, err := os.ReadFile(filepath.Join(s.dir, n.name+".log"))
		if err == nil {
			err = os.WriteFile(filepath.Join(kept, n.name+".log"), content, 0o600)
		}
		if err != nil {
			s.t.Log(err)
		}
	}
	return kept
}
