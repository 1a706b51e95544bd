// Package soak is a fault injection test of the real daemon. It runs several
// instances as processes against an emulated platform, injects faults from
// outside, and checks what callers and workers observe.
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

// regressionSeeds are seeds that have failed before. CI runs them and seed 1.
var regressionSeeds = []uint64{
	// The test started a process while the previous one of the same instance
	// still held its addresses.
	147, 208, 212, 213,
}

const (
	instanceCount = 4
	workerCount   = 5
	// faultDuration is how long faults are injected and jobs submitted.
	// completionTimeout bounds the time after that in which all jobs must
	// complete.
	faultDuration     = 15 * time.Second
	completionTimeout = 40 * time.Second
	// taskDuration is the run time of every task on a worker.
	taskDuration = 300 * time.Millisecond
)

// manifest is the configuration of the deployment: one queue and one service.
const manifest = `{"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/j/","service":"p",
 "target_latency_ms":600,"attempts":5,"stretch":2.0}],"services":[{"name":"p"}],"limits":{"max_body_bytes":262144}}`

// Instances are killed, paused and restarted at random, their connections to
// the log are reset, blocked or delayed, the log is down, and the log and a
// worker lose responses. Despite that, no accepted job may be lost or
// forgotten, and none of its tasks may be done twice or run twice at the same
// time. The environment variables SOAK_FROM and SOAK_COUNT choose other seeds:
// SOAK_COUNT of them from SOAK_FROM on.
func TestAcceptedJobsCompleteOnceUnderFaults(t *testing.T) {
	program := buildDaemon(t)
	seeds := append([]uint64{1}, regressionSeeds...)
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
			runSeed(t, program, seed)
		})
	}
}

// buildDaemon builds poplarvalved and returns the path of the program.
func buildDaemon(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "poplarvalved")
	output, err := exec.Command("go", "build", "-o", program, "../../cmd/poplarvalved").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return program
}

// deployment is one platform with its workers and instances on loopback.
type deployment struct {
	t      *testing.T
	random *rand.Rand
	// program is the path of the daemon, and dir the folder of settings and logs.
	program   string
	dir       string
	log       *fleet.Log
	overlaps  *fleet.OverlapDetector
	workers   []*fleet.Worker
	instances []*entryInstance
	client    *http.Client
}

// entryInstance is one instance and the proxy through which it reaches the log.
type entryInstance struct {
	name  string
	ip    string
	proxy *proxy
	// settingsPath is the path of the settings file.
	settingsPath string

	mu sync.Mutex
	// command is the running process, or nil.
	command *exec.Cmd
}

// runSeed starts a deployment, submits jobs while it injects the faults of the
// seed, and checks the jobs.
func runSeed(t *testing.T, program string, seed uint64) {
	d := &deployment{t: t, random: rand.New(rand.NewPCG(seed, 7)), program: program, dir: t.TempDir(),
		log: fleet.NewLog(), overlaps: fleet.NewOverlapDetector(), client: &http.Client{Timeout: 4 * time.Second}}
	t.Cleanup(d.log.Close)
	d.log.AppendRecord("keyed.op", "config", []byte(manifest))
	for i := range workerCount {
		w := fleet.NewWorker(fmt.Sprint("i-", i), "p", taskDuration, d.overlaps)
		t.Cleanup(w.Close)
		d.workers = append(d.workers, w)
		d.log.AppendRecord("keyed.servers", w.ID, w.RegistryEntry())
	}
	for i := range instanceCount {
		d.instances = append(d.instances, d.addInstance(seed, i))
	}
	accepted := d.submitDuringFaults()
	d.checkJobs(accepted)
}

// addInstance writes the settings of an instance and starts it. The address
// depends on the seed, the index and the process identifier, so that
// deployments don't collide.
func (d *deployment) addInstance(seed uint64, index int) *entryInstance {
	instance := &entryInstance{name: fmt.Sprint("n", index), ip: fmt.Sprintf("127.%d.%d.%d", 70+seed%50, os.Getpid()%250+1, index+1)}
	instance.proxy = newProxy(d.t, d.log.Address())
	instance.settingsPath = filepath.Join(d.dir, instance.name+".ini")
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
`, instance.name, instance.ip, instance.proxy.address())
	assert.NilError(d.t, os.WriteFile(instance.settingsPath, []byte(text), 0o600))
	d.startProcess(instance)
	d.t.Cleanup(func() { d.endProcess(instance, syscall.SIGKILL) })
	return instance
}

// startProcess starts the instance's process unless it is running.
func (d *deployment) startProcess(instance *entryInstance) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	if instance.command != nil {
		return
	}
	logFile, err := os.OpenFile(filepath.Join(d.dir, instance.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(d.t, err)
	defer logFile.Close() // The process has its own copy of the descriptor.
	command := exec.Command(d.program, "-settings", instance.settingsPath, "entry")
	command.Stdout, command.Stderr = logFile, logFile
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(d.t, command.Start())
	instance.command = command
}

// endProcess sends a signal to the instance's process, by its id, and waits for
// its end. It holds the lock meanwhile, because a new process of the instance
// could not listen on the addresses before the old one has ended.
func (d *deployment) endProcess(instance *entryInstance, signal syscall.Signal) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	if instance.command == nil {
		return
	}
	_ = instance.command.Process.Signal(syscall.SIGCONT) // A paused process does not handle SIGTERM.
	_ = instance.command.Process.Signal(signal)
	_ = instance.command.Wait() // Wait returns an error for a killed process.
	instance.command = nil
}

// signalProcess sends a signal to the instance's process if there is one.
func (d *deployment) signalProcess(instance *entryInstance, signal syscall.Signal) {
	instance.mu.Lock()
	defer instance.mu.Unlock()
	if instance.command != nil {
		_ = instance.command.Process.Signal(signal) // Fails if the process has ended by itself.
	}
}

// submitDuringFaults submits jobs for faultDuration while faults are injected. It
// returns the identifiers of the accepted jobs after the last fault has ended.
func (d *deployment) submitDuringFaults() []string {
	ctx, cancel := context.WithTimeout(context.Background(), faultDuration)
	defer cancel()
	var faults sync.WaitGroup
	faults.Add(1)
	go func() {
		defer faults.Done()
		for ctx.Err() == nil {
			d.injectFault(&faults)
			time.Sleep(time.Duration(200+d.random.IntN(900)) * time.Millisecond)
		}
	}()
	var accepted []string
	for number := 1; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%016x", number)
		if d.submit(ctx, id, number) {
			accepted = append(accepted, id)
		}
		time.Sleep(60 * time.Millisecond)
	}
	faults.Wait()
	return accepted
}

// injectFault starts one random fault and returns at once, so that faults
// overlap. The wait group counts the faults that have not ended.
func (d *deployment) injectFault(faults *sync.WaitGroup) {
	instance := d.instances[d.random.IntN(len(d.instances))]
	duration := time.Duration(300+d.random.IntN(2700)) * time.Millisecond
	kind := d.random.IntN(8)
	proxyFault := proxyMode(1 + d.random.IntN(int(proxyModeCount)-1))
	faults.Add(1)
	go func() {
		defer faults.Done()
		switch kind {
		case 0, 1:
			d.endProcess(instance, syscall.SIGKILL)
			time.Sleep(duration / 4)
			d.startProcess(instance)
		case 2:
			d.endProcess(instance, syscall.SIGTERM)
			d.startProcess(instance)
		case 3:
			d.signalProcess(instance, syscall.SIGSTOP)
			time.Sleep(duration)
			d.signalProcess(instance, syscall.SIGCONT)
		case 4:
			instance.proxy.setMode(proxyFault)
			time.Sleep(duration)
			instance.proxy.setMode(passThrough)
			instance.proxy.resetConnections()
		case 5:
			instance.proxy.resetConnections()
		case 6:
			d.log.LoseResponses(3)
			d.workers[kind%workerCount].LoseResponses(2)
		case 7:
			d.log.SetDown(true)
			time.Sleep(duration)
			d.log.SetDown(false)
		}
	}()
}

// submit sends a job to one instance after the other, at most twice to each,
// until one accepts it or ctx ends. It reports whether the job was accepted.
func (d *deployment) submit(ctx context.Context, id string, firstInstance int) bool {
	body := `{"spec":"x","steps":[{"count":3,"cpu":1000,"mem_mb":100,"estimate_ms":300},{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":300,"after":[0]}]}`
	for attempt := range 2 * instanceCount {
		status, _ := d.sendRequest(ctx, d.instances[(firstInstance+attempt)%instanceCount], http.MethodPost, "/j/"+id, body)
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

// sendRequest sends a request to the caller address of an instance. The status
// is 0 if there was no complete response.
func (d *deployment) sendRequest(ctx context.Context, instance *entryInstance, method, path, body string) (status int, answer string) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+instance.ip+":8161"+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = "h"
	response, err := d.client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(content)
}

// checkJobs ends all faults and waits until every accepted job is reported as
// completed. It checks that each of their tasks was done exactly once and never
// ran twice at the same time.
func (d *deployment) checkJobs(accepted []string) {
	for _, instance := range d.instances {
		d.signalProcess(instance, syscall.SIGCONT)
		instance.proxy.setMode(passThrough)
		d.startProcess(instance)
	}
	d.log.SetDown(false)
	deadline := time.Now().Add(completionTimeout)
	for _, id := range accepted {
		for {
			status, answer := d.sendRequest(context.Background(), d.instances[len(id)%instanceCount], http.MethodGet, "/j/"+id, "")
			if strings.Contains(answer, "completed") {
				break
			}
			assert.Assert(d.t, status != http.StatusGone, "the accepted job %s is gone: its status request was answered with 410", id)
			assert.Assert(d.t, time.Now().Before(deadline), "job %s is not completed in time; last status %d, last answer %s; logs in %s", id, status, answer, d.saveLogs())
			time.Sleep(100 * time.Millisecond)
		}
		d.checkTasksDoneOnce(id)
	}
	assert.Equal(d.t, len(d.overlaps.OverlappingTasks()), 0, "tasks that ran twice at the same time: %v; logs in %s", d.overlaps.OverlappingTasks(), d.saveLogs())
	d.t.Logf("%d jobs accepted", len(accepted))
}

// checkTasksDoneOnce checks that each of the four tasks of a job was done exactly
// once on all workers together.
func (d *deployment) checkTasksDoneOnce(id string) {
	for _, task := range []string{".0.0.0", ".0.0.1", ".0.0.2", ".0.1.0"} {
		done := 0
		for _, w := range d.workers {
			done += w.DoneCount(id + task)
		}
		assert.Assert(d.t, done == 1, "task %s%s was done %d times instead of once; logs in %s", id, task, done, d.saveLogs())
	}
}

// saveLogs copies the logs to a new folder that is not deleted at the end of the
// test, and returns its path.
func (d *deployment) saveLogs() string {
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return err.Error()
	}
	for _, instance := range d.instances {
		content, err := os.ReadFile(filepath.Join(d.dir, instance.name+".log"))
		if err == nil {
			err = os.WriteFile(filepath.Join(folder, instance.name+".log"), content, 0o600)
		}
		if err != nil {
			d.t.Log(err)
		}
	}
	return folder
}
