package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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
	// plannedDuration is how long there is planned work only, and faultDuration how
	// long faults are injected after that, beside planned work. completionTimeout
	// bounds the time after that in which all jobs must complete.
	plannedDuration   = 10 * time.Second
	faultDuration     = 15 * time.Second
	completionTimeout = 40 * time.Second
	// taskDuration is the run time of every task on a worker.
	taskDuration = 500 * time.Millisecond
)

// size is the size of a deployment.
type size struct {
	instances int
	workers   int
	// maxSlots is the largest number of tasks that a worker has room for. The jobs
	// fill most of the room.
	maxSlots int
	// maxStopping is the number of instances that planned work stops at once.
	maxStopping int
	// evacuations is set if zones are evacuated.
	evacuations bool
	// crowds is set if crowds of clients exceed the limits of the instances.
	crowds bool
	// submissionPause is the pause between two submissions.
	submissionPause time.Duration
	// longJobPause is the pause between two long jobs, and mediumJobPause the one between
	// two medium jobs, or 0 for none.
	longJobPause, mediumJobPause time.Duration
}

var (
	usualSize = size{evacuations: true, crowds: true, instances: 4, workers: 5, maxSlots: 8, maxStopping: 2, submissionPause: 75 * time.Millisecond}
	largeSize = size{evacuations: true, crowds: true, instances: 8, workers: 24, maxSlots: 5, maxStopping: 4, submissionPause: 10 * time.Millisecond}
)

// callerPauses holds, for each caller with an open connection to an instance, its
// longest pause between two requests.
var callerPauses = []time.Duration{2 * time.Millisecond, 50 * time.Millisecond, 200 * time.Millisecond}

// smallJob is a job of one task, and usualJob one of four.
const (
	smallJob = `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":500}]}`
	usualJob = `{"spec":"x","steps":[{"count":3,"cpu":1000,"mem_mb":100,"estimate_ms":500},{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":500,"after":[0]}]}`
)

// At first there is planned work only: instances are shut down, restarted and told
// to reload, one after the other and several at once, routes are added and dropped,
// zones are evacuated, workers change their capacity, and crowds of clients stall, send too much, or
// submit jobs that no worker can run. No instance may take more memory than its settings allow. No request on an open connection may remain
// without an answer that a process has read. Then, beside the planned work, instances
// are killed and paused at random, their connections to the log are reset, blocked or
// delayed, the log is down, the log and a worker lose responses, workers crash, come
// back and leave the registry, and another writer adds an odd entry to it. Despite
// that, no accepted job may be lost or forgotten, none of its tasks may be done twice
// or run twice at the same time, no worker may be filled beyond its capacity, none may get
// a task while its zone is evacuated, and no
// instance that reaches the log may act on an old configuration. In the end, workers are
// cut off or crash while nothing else happens, and must be used again when they are back.
//
// The environment variables SOAK_FROM and SOAK_COUNT choose other seeds: SOAK_COUNT
// of them from SOAK_FROM on. SOAK_LARGE=1 runs a large deployment, one seed at a time.
func TestAcceptedJobsCompleteOnceUnderFaults(t *testing.T) {
	program := buildDaemon(t)
	seeds := chosenSeeds(append([]uint64{1}, regressionSeeds...))
	large := os.Getenv("SOAK_LARGE") == "1"
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if large {
				runSeed(t, program, seed, largeSize)
				return
			}
			t.Parallel()
			runSeed(t, program, seed, usualSize)
		})
	}
}

// chosenSeeds returns the seeds that the environment variables choose, or else the usual
// ones.
func chosenSeeds(usual []uint64) (seeds []uint64) {
	from, err := strconv.ParseUint(os.Getenv("SOAK_FROM"), 10, 64)
	if err != nil {
		return usual
	}
	count, _ := strconv.ParseUint(os.Getenv("SOAK_COUNT"), 10, 64)
	for seed := from; seed < from+max(1, count); seed++ {
		seeds = append(seeds, seed)
	}
	return seeds
}

// buildDaemon builds poplarvalved and returns the path of the program. The environment
// variable SOAK_PROGRAM names another one.
func buildDaemon(t *testing.T) string {
	t.Helper()
	if program := os.Getenv("SOAK_PROGRAM"); program != "" {
		return program
	}
	program := filepath.Join(t.TempDir(), "poplarvalved")
	output, err := exec.Command("go", "build", "-o", program, "../../cmd/poplarvalved").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return program
}

// deployment is one platform with its workers and instances on loopback.
type deployment struct {
	t    *testing.T
	seed uint64
	size size
	// random chooses the faults of injectFault.
	random *rand.Rand
	// program is the path of the daemon, and dir the folder of settings and logs.
	program     string
	dir         string
	log         *fleet.Log
	overlaps    *fleet.OverlapDetector
	history     *history
	disruptions *disruptions
	// network has the paths that a partition cuts. It is nil in a deployment that has
	// no partitions.
	network       *network
	configuration *configuration
	workers       []*soakWorker
	instances     []*entryInstance
	client        *http.Client
	startedAt     time.Time
	// lastLeader is the index of the leader that was seen last.
	lastLeader atomic.Int32

	mu sync.Mutex
	// events is the file in which the test records what it does and sees.
	events *os.File
}

// jobs holds the identifiers of submitted jobs.
type jobs struct {
	accepted []string
	// refused holds the jobs of which every submission was refused.
	refused []string
}

// runSeed starts a deployment, submits jobs while it changes and disturbs the
// deployment as the seed says, and checks the jobs.
func runSeed(t *testing.T, program string, seed uint64, s size) {
	d := newDeployment(t, program, seed, s)
	d.start()
	d.checkJobs(d.submitDuringFaults())
}

// newDeployment returns a deployment without workers and instances.
func newDeployment(t *testing.T, program string, seed uint64, s size) *deployment {
	t.Logf("seed %d", seed)
	d := &deployment{t: t, seed: seed, size: s, random: rand.New(rand.NewPCG(seed, 7)), program: program, dir: t.TempDir(),
		log: fleet.NewLog(), overlaps: fleet.NewOverlapDetector(), disruptions: &disruptions{},
		client: &http.Client{Timeout: 4 * time.Second}, startedAt: time.Now()}
	t.Cleanup(d.saveLogs)
	t.Cleanup(d.log.Close)
	var err error
	d.events, err = os.Create(filepath.Join(d.dir, "events.log"))
	assert.NilError(t, err)
	d.history = newHistory(d.disruptions, d.report, d.journal)
	d.configuration = &configuration{d: d}
	d.configuration.change(d.newRandom("first configuration"))
	return d
}

// start starts the workers and the instances.
func (d *deployment) start() {
	for i := range d.size.workers {
		d.workers = append(d.workers, d.addWorker(i))
	}
	for i := range d.size.instances {
		d.instances = append(d.instances, d.addInstance(i))
	}
	for _, instance := range d.instances {
		d.startProcess(instance)
	}
}

// newRandom returns a source of random numbers for one purpose, so that the choices
// for one purpose don't depend on the timing of others.
func (d *deployment) newRandom(purpose string) *rand.Rand {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(purpose)) // Never returns an error.
	return rand.New(rand.NewPCG(d.seed, hash.Sum64()))
}

// journal records an event.
func (d *deployment) journal(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// The file is only for reading after a failure.
	_, _ = fmt.Fprintf(d.events, "%s %7.3f %s\n", time.Now().UTC().Format("15:04:05.000"), time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// report fails the test without ending it.
func (d *deployment) report(format string, args ...any) {
	d.t.Helper()
	text := fmt.Sprintf(format, args...)
	d.journal("FAILURE: %s", text)
	d.t.Errorf("seed %d, after %.3f s: %s", d.seed, time.Since(d.startedAt).Seconds(), text)
}

// submitDuringFaults submits jobs while there is planned work, and then also while
// faults are injected. It returns the jobs after the last fault has ended.
func (d *deployment) submitDuringFaults() (submitted jobs) {
	ctx, cancel := context.WithTimeout(context.Background(), plannedDuration+faultDuration)
	defer cancel()
	var callers, work sync.WaitGroup
	work.Go(func() { d.doPlannedWork(ctx.Done()) })
	work.Go(func() { d.changeWorkerRooms(d.newRandom("rooms"), ctx.Done()) })
	work.Go(func() { d.evacuateZones(d.newRandom("evacuations"), ctx.Done()) })
	work.Go(func() { d.watchMemory(ctx.Done()) })
	if d.size.crowds {
		work.Go(func() { d.sendCrowds(d.newRandom("crowds"), ctx.Done()) })
	}
	work.Go(func() {
		random := d.newRandom("configuration")
		for pause(random, ctx.Done(), 200*time.Millisecond, 1800*time.Millisecond) {
			d.configuration.change(random)
		}
	})
	work.Go(func() {
		time.Sleep(plannedDuration)
		d.journal("faults begin")
		work.Go(func() { d.disturbWorkers(d.newRandom("workers"), ctx.Done()) })
		for ctx.Err() == nil {
			d.injectFault(&work)
			time.Sleep(time.Duration(200+d.random.IntN(900)) * time.Millisecond)
		}
	})
	persistentCallers, probers := d.startCallers(&callers, ctx.Done())
	for number := 1; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("%016x", number)
		accepted, refused := d.submit(ctx, id, number, usualJob)
		if accepted {
			submitted.accepted = append(submitted.accepted, id)
		}
		if refused {
			submitted.refused = append(submitted.refused, id)
		}
		time.Sleep(d.size.submissionPause)
	}
	callers.Wait()
	work.Wait()
	requests := 0
	for _, c := range persistentCallers {
		requests += c.requests
		submitted.accepted = append(submitted.accepted, c.accepted...)
		submitted.refused = append(submitted.refused, c.refused...)
	}
	for _, p := range probers {
		submitted.accepted = append(submitted.accepted, p.accepted...)
		submitted.refused = append(submitted.refused, p.refused...)
	}
	d.t.Logf("%d requests on open connections", requests)
	return submitted
}

// startCallers starts the callers that keep their connections open and those that
// probe the changing routes. They end when stop is closed.
func (d *deployment) startCallers(callers *sync.WaitGroup, stop <-chan struct{}) (persistent []*persistentCaller, probers []*routeProber) {
	persistent = d.startPersistentCallers(callers, stop)
	for _, instance := range d.instances {
		p := &routeProber{d: d, instance: instance, random: d.newRandom(fmt.Sprint("prober ", instance.index))}
		probers = append(probers, p)
		callers.Go(func() { p.run(stop) })
	}
	return persistent, probers
}

// startPersistentCallers starts the callers that keep their connections open. They end when
// stop is closed.
func (d *deployment) startPersistentCallers(callers *sync.WaitGroup, stop <-chan struct{}) (persistent []*persistentCaller) {
	for _, instance := range d.instances {
		for i, longestPause := range callerPauses {
			c := &persistentCaller{d: d, instance: instance, name: fmt.Sprintf("c%04x%04x", instance.index, i),
				random: d.newRandom(fmt.Sprint("caller ", instance.index, i)), pause: longestPause}
			persistent = append(persistent, c)
			callers.Go(func() { c.run(stop) })
		}
	}
	return persistent
}

// doPlannedWork shuts random instances down and starts them again, or tells them to
// reload their settings, until stop is closed. Up to maxStopping instances are being
// shut down or restarted at once.
func (d *deployment) doPlannedWork(stop <-chan struct{}) {
	random := d.newRandom("planned work")
	var restarts sync.WaitGroup
	defer restarts.Wait()
	slots := make(chan struct{}, d.size.maxStopping)
	for pause(random, stop, 200*time.Millisecond, 1200*time.Millisecond) {
		instance := d.instances[random.IntN(len(d.instances))]
		other := d.instances[random.IntN(len(d.instances))]
		kind := random.IntN(4)
		offTime := time.Duration(random.IntN(1000)) * time.Millisecond
		logLevel := []string{"info", "debug"}[random.IntN(2)]
		switch kind {
		case 0, 1:
			d.restart(&restarts, slots, instance, offTime)
		case 2:
			d.restart(&restarts, slots, instance, offTime)
			if other != instance {
				d.restart(&restarts, slots, other, offTime/2)
			}
		case 3:
			d.writeSettings(instance, logLevel)
			d.reload(instance)
		}
	}
}

// restart shuts an instance down and starts it again after a time, in a goroutine,
// unless all slots are taken.
func (d *deployment) restart(restarts *sync.WaitGroup, slots chan struct{}, instance *entryInstance, offTime time.Duration) {
	select {
	case slots <- struct{}{}:
	default:
		return
	}
	restarts.Go(func() {
		defer func() { <-slots }()
		d.endProcess(instance, syscall.SIGTERM)
		time.Sleep(offTime)
		d.startProcess(instance)
	})
}

// injectFault starts one random fault and returns at once, so that faults
// overlap. The wait group counts the faults that have not ended.
func (d *deployment) injectFault(faults *sync.WaitGroup) {
	instance := d.instances[d.random.IntN(len(d.instances))]
	duration := time.Duration(300+d.random.IntN(2700)) * time.Millisecond
	kind := d.random.IntN(8)
	proxyFault := proxyMode(1 + d.random.IntN(int(proxyModeCount)-1))
	faults.Go(func() {
		switch kind {
		case 0, 1:
			defer d.disruptions.start(instance.index)()
			d.endProcess(instance, syscall.SIGKILL)
			time.Sleep(duration / 4)
			d.startProcess(instance)
		case 2:
			d.endProcess(instance, syscall.SIGTERM)
			d.startProcess(instance)
		case 3:
			defer d.disruptions.start(instance.index)()
			p := instance.current()
			d.signalProcess(instance, p, syscall.SIGSTOP)
			time.Sleep(duration)
			d.signalProcess(instance, p, syscall.SIGCONT)
		case 4:
			defer d.disruptions.start(instance.index)()
			d.journal("%s: the path to the log is in mode %d for %v", instance.name, proxyFault, duration)
			instance.proxy.setMode(proxyFault)
			time.Sleep(duration)
			instance.proxy.setMode(passThrough)
			instance.proxy.resetConnections()
		case 5:
			defer d.disruptions.start(instance.index)()
			d.journal("%s: connections to the log are reset", instance.name)
			instance.proxy.resetConnections()
		case 6:
			defer d.disruptions.start(everything)()
			d.journal("the log and a worker lose responses")
			d.log.LoseResponses(3)
			d.workers[kind%usualSize.workers].LoseResponses(2)
		case 7:
			defer d.disruptions.start(everything)()
			d.journal("the log is down for %v", duration)
			d.log.SetDown(true)
			time.Sleep(duration)
			d.log.SetDown(false)
		}
	})
}

// submit sends a job to one instance after the other, at most twice to each,
// until one accepts it or ctx ends. It reports whether the job was accepted, and
// whether every submission was refused.
func (d *deployment) submit(ctx context.Context, id string, firstInstance int, body string) (accepted, refused bool) {
	refused = true
	for attempt := range 2 * len(d.instances) {
		status, _ := d.sendRequest(ctx, d.instances[(firstInstance+attempt)%len(d.instances)], http.MethodPost, "/j/"+id, body)
		switch status {
		case http.StatusOK:
			return true, false
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusNotFound:
		default:
			refused = false
		}
		if ctx.Err() != nil {
			return false, refused
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false, refused
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

// checkJobs ends all faults, and checks that all workers are used again after an absence
// and that the runs of all jobs were right.
func (d *deployment) checkJobs(submitted jobs) {
	d.endFaults()
	submitted.accepted = append(submitted.accepted, d.configuration.checkLastChange(d.newRandom("last change"))...)
	submitted.accepted = append(submitted.accepted, d.checkWorkersReturn()...)
	d.checkRuns(submitted)
}

// endFaults ends all faults that concern instances, the log and the workers' rooms.
func (d *deployment) endFaults() {
	for _, instance := range d.instances {
		d.signalProcess(instance, instance.current(), syscall.SIGCONT)
		instance.proxy.setMode(passThrough)
		d.startProcess(instance)
	}
	d.log.SetDown(false)
	for _, w := range d.workers {
		d.changeSlots(w, d.size.maxSlots)
	}
	d.journal("faults have ended")
}

// checkRuns waits until every accepted job is reported as completed. It checks that each
// of their tasks was done exactly once and never ran twice at the same time, and that no
// refused job has run.
func (d *deployment) checkRuns(submitted jobs) {
	deadline := time.Now().Add(completionTimeout)
	for number, id := range submitted.accepted {
		if !d.awaitCompletion(id, d.instances[number%len(d.instances)], deadline) {
			break
		}
		for _, task := range d.tasksOf(id) {
			if wrong := d.history.wrongRuns(id + task); wrong != "" {
				d.report("%s", wrong)
			}
		}
	}
	for _, id := range submitted.refused {
		if d.history.started(id + ".0.0.0") {
			d.report("job %s runs, although every submission was refused", id)
		}
	}
	if overlapping := d.overlaps.OverlappingTasks(); len(overlapping) > 0 {
		d.report("tasks that ran twice at the same time: %v", overlapping)
	}
	for _, wrong := range d.history.startsAfterNotedEnds() {
		d.report("%s", wrong)
	}
	d.t.Logf("%d jobs accepted, %d refused", len(submitted.accepted), len(submitted.refused))
}

// tasksOf returns the tasks of a job, without the job's identifier. The first digit of
// the identifier tells the kind of job.
func (d *deployment) tasksOf(id string) (tasks []string) {
	switch id[0] {
	case '0':
		return []string{".0.0.0", ".0.0.1", ".0.0.2", ".0.1.0"}
	case wideJobPrefix:
		for index := range d.wideJobTasks() {
			tasks = append(tasks, fmt.Sprint(".0.0.", index))
		}
		return tasks
	case mediumJobPrefix:
		for index := range mediumJobTasks {
			tasks = append(tasks, fmt.Sprint(".0.0.", index))
		}
		return tasks
	case longJobPrefix:
		for index := range longJobTasks {
			tasks = append(tasks, fmt.Sprint(".0.0.", index))
		}
		return tasks
	}
	return []string{".0.0.0"}
}

// awaitCompletion waits until a job is reported as completed, and reports whether it
// was before the deadline.
func (d *deployment) awaitCompletion(id string, instance *entryInstance, deadline time.Time) bool {
	for {
		status, answer := d.sendRequest(context.Background(), instance, http.MethodGet, "/j/"+id, "")
		switch {
		case strings.Contains(answer, "completed"):
			return true
		case status == http.StatusGone:
			d.report("the accepted job %s is gone: its status request was answered with 410", id)
			return true
		case strings.Contains(answer, "failed"):
			d.report("the accepted job %s is reported as failed", id)
			return true
		case time.Now().After(deadline):
			d.report("job %s is not completed in time; last status %d, last answer %s", id, status, answer)
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// saveLogs copies the logs of a failed run to a new folder that is not deleted at the
// end of the test, and prints its path and the seed.
func (d *deployment) saveLogs() {
	_ = d.events.Close() // The file is only for reading after a failure.
	if !d.t.Failed() {
		return
	}
	folder, err := os.MkdirTemp("", fmt.Sprintf("soak-seed-%d-", d.seed))
	if err == nil {
		err = os.CopyFS(folder, os.DirFS(d.dir))
	}
	d.t.Logf("seed %d failed; run it with SOAK_FROM=%d SOAK_COUNT=1; logs in %s (%v)", d.seed, d.seed, folder, err)
}
