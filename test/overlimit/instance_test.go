// Package overlimit tests that an entry instance survives clients that exceed its limits or
// stall. Each test starts one instance as a process of its own on loopback, with a small memory
// limit, and a crowd of clients of one kind. The tests assert nothing about time or about the
// share of the crowd that is served.
package overlimit

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/test/fleet"
)

const (
	// memoryMB is the memory limit in the settings of the instance, unless a test needs that of
	// the smallest machine of a deployment, smallestMachineMB. The peak resident memory must stay
	// below.
	memoryMB          = 64
	smallestMachineMB = 184
	// maxFDs is the limit of descriptors in the settings, of which filesReserve are for
	// files. The others are the bound of the open descriptors.
	maxFDs       = 600
	filesReserve = 200
	// maxTries is the number of tries of an ordinary submission, with tryPause after each
	// refusal.
	maxTries = 150
	tryPause = 100 * time.Millisecond
	// samplePause is the pause between two samples of memory and descriptors.
	samplePause = 10 * time.Millisecond
	// sampledTime is how long a crowd that has sent everything stays open.
	sampledTime = 2 * time.Second
)

// instance is the process under test beside stand-ins for the log and a worker.
type instance struct {
	t    *testing.T
	name string
	ip   string
	// environment are variables of the process beside those of the test.
	environment []string
	// memoryMB is the memory limit of the process.
	memoryMB                   int
	program, settings, logPath string
	command                    *exec.Cmd
	// descriptors is the number of descriptors that the system lets the process open, or 0 for
	// that of the test.
	descriptors int
	log         *fleet.Log
	// pid is the id of the process.
	pid int
	// ended is closed when the process has ended.
	ended <-chan struct{}
	// ordinaryAddress is the address of the caller of ordinary submissions, or nil for that of
	// the crowd.
	ordinaryAddress net.Addr
	// submissions is the number of ordinary submissions, which gives them their ids.
	submissions int
	addresses   addresses
	// addressOf returns the address to which a client connects, and head the first lines of a
	// request with a body there.
	addressOf func(number int) string
	head      func(number int) string
	// restart kills the process without notice and starts it again.
	restart func()
	// trySubmit sends an ordinary request and returns why it was not served.
	trySubmit func() error
	// source returns the address from which a client connects, or is nil for that of the system.
	source     func(number int) net.Addr
	maxRSS     atomic.Int64
	maxOpenFDs atomic.Int64
}

// startInstance starts an instance and waits until it accepts a job.
func startInstance(t *testing.T) *instance { return startInstanceWith(t, memoryMB) }

// startInstanceWith is startInstance with another memory limit.
func startInstanceWith(t *testing.T, memoryMB int) *instance {
	t.Helper()
	dir := t.TempDir()
	program := os.Getenv("OVERLIMIT_PROGRAM")
	if program == "" {
		program = filepath.Join(dir, "poplarvalved")
		output, err := exec.Command("go", "build", "-o", program, "../../cmd/poplarvalved").CombinedOutput()
		assert.NilError(t, err, "%s", output)
	}
	log := fleet.NewLog()
	t.Cleanup(log.Close)
	worker := fleet.NewWorker("i-0", "p", 100*time.Millisecond, fleet.NewOverlapDetector())
	t.Cleanup(worker.Close)
	log.AppendRecord("keyed.servers", worker.ID, worker.RegistryEntry())
	log.AppendRecord("keyed.op", "config", []byte(`{"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/j/","service":"p","target_latency_ms":600,"attempts":5,"stretch":2.0}],"services":[{"name":"p"}],"limits":{"max_body_bytes":262144}}`))
	i := newInstance(t, log, program, dir, 0, memoryMB)
	i.addresses.links = i.ip + ":8163"
	i.run()
	return i
}

// newInstance returns an instance with a number that has not started.
func newInstance(t *testing.T, log *fleet.Log, program, dir string, number, memoryMB int) *instance {
	name := fmt.Sprint("n", number)
	i := &instance{t: t, log: log, ip: fmt.Sprintf("127.%d.%d.%d", 130+os.Getpid()/250%100, os.Getpid()%250+1, number+1), memoryMB: memoryMB,
		program: program, settings: filepath.Join(dir, name+".ini"), logPath: filepath.Join(dir, name+".log"), head: submissionHead, name: name}
	i.addresses = addresses{callers: i.ip + ":8161", readiness: i.ip + ":8162", operators: i.ip + ":8164"}
	i.addressOf, i.trySubmit = i.bodyAddress, i.submitJob
	i.restart = func() {
		i.kill()
		i.start()
	}
	return i
}

// run writes the settings, starts the process until the test ends, and waits until it accepts a job.
func (i *instance) run() {
	i.t.Helper()
	assert.NilError(i.t, os.WriteFile(i.settings, fmt.Appendf(nil, `[instance]
name = %[1]s
caller_address = %[2]s
ready_address = %[3]s
link_address = %[4]s
operator_address = %[5]s
[log]
address = %[6]s
[workers]
max_lease_ms = 6000
remote_factor = 2
[jobs]
keep_ended_s = 300
[limits]
memory_mb = %[7]d
cpu_share = 1
grace_s = 2
max_fds = %[8]d
`, i.name, i.addresses.callers, i.addresses.readiness, i.addresses.links, i.addresses.operators, i.log.Address(), i.memoryMB, maxFDs), 0o600))
	i.start()
	i.t.Cleanup(func() {
		i.kill()
		if i.t.Failed() {
			content, _ := os.ReadFile(i.logPath)
			i.t.Logf("end of the log of the instance:\n%s", content[max(0, len(content)-4000):])
		}
	})
	i.submitOrdinary("before the crowd")
}

// start starts the process.
func (i *instance) start() {
	i.t.Helper()
	logFile, err := os.OpenFile(i.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(i.t, err)
	defer logFile.Close() // The process has its own copy of the descriptor.
	command := exec.Command(i.program, "-settings", i.settings, "entry")
	if i.descriptors > 0 {
		command = exec.Command("/bin/sh", append([]string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(i.descriptors)}, command.Args...)...)
	}
	command.Stdout, command.Stderr = logFile, logFile
	command.Env = append(os.Environ(), i.environment...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(i.t, command.Start())
	ended := make(chan struct{})
	i.command, i.pid, i.ended = command, command.Process.Pid, ended
	go func() {
		defer close(ended)
		_ = command.Wait() // The tests check whether it ended, not how.
	}()
}

// kill ends the process without notice and waits for its end.
func (i *instance) kill() {
	_ = i.command.Process.Kill() // Fails if the process has ended.
	<-i.ended
}

// submitOrdinary sends an ordinary request until it is served, for a bounded number of tries.
func (i *instance) submitOrdinary(when string) {
	i.t.Helper()
	i.submissions++
	last := errors.New("no try")
	for range maxTries {
		if last = i.trySubmit(); last == nil {
			return
		}
		select {
		case <-i.ended:
			i.t.Fatalf("%s: the process has ended", when)
		case <-time.After(tryPause):
		}
	}
	i.t.Errorf("%s: an ordinary submission was not accepted in %d tries, the last one: %v", when, maxTries, last)
}

// submitJob submits a small job.
func (i *instance) submitJob() error {
	return i.post(fmt.Sprintf("/j/%016x", i.submissions), `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100}]}`)
}

// post submits a job under a path and returns why it was not accepted.
func (i *instance) post(path, body string) error {
	_, err := i.request(http.MethodPost, path, body)
	return err
}

// request sends a request of the ordinary caller and returns the answer, which must have status 200.
func (i *instance) request(method, path, body string) (answer string, err error) {
	dialer := &net.Dialer{LocalAddr: i.ordinaryAddress}
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext}}
	request, err := http.NewRequest(method, "http://"+i.addresses.callers+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Host = "h"
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = errors.New(response.Status)
	}
	return string(content), err
}

// addresses are those at which the instance accepts connections. readiness is empty if it has none
// for that.
type addresses struct{ callers, readiness, links, operators string }

// bodyAddress returns one of the addresses that take bodies: mostly the callers' one, and every
// third time the operators'.
func (i *instance) bodyAddress(number int) string {
	return []string{i.addresses.callers, i.addresses.callers, i.addresses.operators}[number%3]
}

// anyAddress returns one of all addresses in turn.
func (i *instance) anyAddress(number int) string {
	all := []string{i.addresses.callers, i.addresses.readiness, i.addresses.links, i.addresses.operators}
	if i.addresses.readiness == "" {
		all = slices.Delete(all, 1, 2)
	}
	return all[number%len(all)]
}

// sample records memory and descriptors until stop is closed.
func (i *instance) sample(stop <-chan struct{}) {
	for {
		i.maxRSS.Store(max(i.maxRSS.Load(), i.statusKB("VmRSS")))
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.pid)) // Empty if the process has ended.
		i.maxOpenFDs.Store(max(i.maxOpenFDs.Load(), int64(len(entries))))
		select {
		case <-stop:
			return
		case <-time.After(samplePause):
		}
	}
}

// statusKB returns a field of the status of the process in kilobytes, or 0 if the process has
// ended.
func (i *instance) statusKB(field string) int64 {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.pid))
	for line := range strings.Lines(string(content)) {
		if rest, found := strings.CutPrefix(line, field+":"); found {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb
		}
	}
	return 0
}

// checkCrowd runs count clients at once and checks what must hold whatever they do. A client
// returns when it has sent all that it has to send; its connection stays open.
func (i *instance) checkCrowd(count int, client func(number int, c net.Conn)) {
	i.t.Helper()
	i.checkCrowdDuring(count, client, func() {})
}

// checkCrowdDuring is checkCrowd and calls during while the crowd is open.
func (i *instance) checkCrowdDuring(count int, client func(number int, c net.Conn), during func()) {
	i.t.Helper()
	stop, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		i.sample(stop)
	}()
	conns, done := make(chan net.Conn, count), make(chan struct{}, count)
	for number := range count {
		go func() {
			defer func() { done <- struct{}{} }()
			dialer := net.Dialer{Timeout: 5 * time.Second}
			if i.source != nil {
				dialer.LocalAddr = i.source(number)
			}
			c, err := dialer.Dial("tcp", i.addressOf(number))
			if err != nil {
				return // The instance refuses the connection.
			}
			conns <- c
			_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second)) // Ends a client whose data is not read.
			client(number, c)
		}()
	}
	for range count {
		<-done
	}
	time.Sleep(sampledTime)
	i.submitOrdinary("while the crowd is open")
	during()
	close(conns)
	for c := range conns {
		_ = c.Close()
	}
	i.submitOrdinary("after the crowd")
	close(stop)
	<-sampled
	i.checkLimits()
}

// checkLimits checks that the process lives and has kept within its memory and descriptors.
func (i *instance) checkLimits() {
	i.t.Helper()
	peak := i.statusKB("VmHWM")
	i.t.Logf("VmHWM %.1f MB, largest sample of RSS %.1f MB, of open descriptors %d", float64(peak)/1024, float64(i.maxRSS.Load())/1024, i.maxOpenFDs.Load())
	select {
	case <-i.ended:
		i.t.Errorf("the process has ended")
	default:
	}
	if limit := int64(i.memoryMB) << 10; peak > limit || i.maxRSS.Load() > limit {
		i.t.Errorf("the peak of the memory is %d KB, a sample %d KB; the limit is %d MB", peak, i.maxRSS.Load(), i.memoryMB)
	}
	if open := i.maxOpenFDs.Load(); open > maxFDs-filesReserve {
		i.t.Errorf("%d descriptors are open; the limit is %d", open, maxFDs-filesReserve)
	}
}
