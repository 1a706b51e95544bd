package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"poplarvalve/internal/connection/advice"
	"poplarvalve/internal/connection/clientlimit"
	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/connection/workerlink"
	"poplarvalve/internal/entry"
	"poplarvalve/internal/process/logging"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
	"poplarvalve/platform"
	"poplarvalve/test/fleet"
)

const testManifest = `{"version":3,"routes":[{"name":"q1","host":"h.example","path_prefix":"/jobs/","service":"pool",
 "target_latency_ms":600,"priority":0,"attempts":3,"stretch":2.0,"timeout_ms":3000}],
 "services":[{"name":"pool","enforces_capacity":false}],"limits":{"max_body_bytes":262144}}`

// waitTimeout bounds each wait of a test. It is far longer than the waits take, since
// no test asserts speed.
const waitTimeout = 30 * time.Second

// deployment is a test platform on the loopback interface with a log, workers and
// entry instances.
type deployment struct {
	t   *testing.T
	log *fleet.Log
	// overlaps finds tasks that run on two workers at a time.
	overlaps *fleet.OverlapDetector
	workers  []*fleet.Worker
	entries  []*instance
	// started counts the instances started so far. Each gets a nonce of its own, also
	// after others were removed from entries.
	started uint64
	// adviser is nil for a deployment without an advice service.
	adviser *fleet.Adviser
	network *network
	// zone is the availability zone of the instances that are started next.
	zone string
	// evacuationApply is the setting of the instances that are started next.
	evacuationApply time.Duration
}

// instance is an entry instance with the servers for its callers and its peers.
type instance struct {
	entry        *entry.Entry
	callerServer *httptest.Server
	linkServer   *httptest.Server
	stopOnce     sync.Once
}

// deploy starts a log, three workers whose tasks each take taskDuration, and the
// given number of entry instances.
func deploy(t *testing.T, instances int, taskDuration time.Duration) *deployment {
	d := &deployment{t: t, log: fleet.NewLog(), overlaps: fleet.NewOverlapDetector(), network: &network{}}
	t.Cleanup(d.log.Close)
	d.log.AppendRecord("keyed.op", "config", []byte(testManifest))
	for i := range 3 {
		w := fleet.NewWorker(fmt.Sprintf("i-%d", i), "pool", taskDuration, d.overlaps)
		t.Cleanup(w.Close)
		d.workers = append(d.workers, w)
		d.log.AppendRecord("keyed.servers", w.ID, w.RegistryEntry())
	}
	for range instances {
		d.start()
	}
	return d
}

// start adds an entry instance and starts it.
func (d *deployment) start() *instance {
	var handler deferredHandler
	i := &instance{linkServer: httptest.NewServer(&handler)}
	counters := metrics.NewEntryMetrics()
	address := i.linkServer.Listener.Addr().String()
	client := &http.Client{Transport: &caller{d.network, address, &http.Transport{}}}
	d.started++
	number := d.started
	var adviser advice.Service
	if d.adviser != nil {
		adviser = platform.NewAdviceClient(d.adviser.Address(), client)
	}
	i.entry = entry.New(entry.Options{
		Self:          election.Holder{Name: fmt.Sprint("e", number), Address: address, Nonce: number},
		Zone:          d.zone,
		CPUShare:      1,
		Log:           platform.NewLogClient(d.log.Address(), client),
		Configuration: platform.ConfigurationPartition,
		Registry:      platform.RegistryPartition,
		Decoder:       platform.Decoder{},
		LinkDialer:    linkDialer{d.network, address},
		DialWorker: func(info cell.WorkerInfo) workerlink.WorkerClient {
			return platform.NewWorkerClient(info.Address, client)
		},
		Advice:  adviser,
		Limits:  entry.Limits{MaxLease: 6 * time.Second, EndedJobRetention: time.Minute, RemoteFactor: 2, EvacuationApply: d.evacuationApply},
		Journal: logging.NewJournal(io.Discard, "info", "test", counters.LineDropped),
		Metrics: counters,
	})
	links := http.NewServeMux()
	links.Handle(peer.Path, i.entry.LinkHandler(nil))
	handler.setHandler(links)
	i.callerServer = httptest.NewServer(platform.NewCallerHandler(i.entry, clientlimit.NewUnlimitedBodies()))
	i.entry.Start()
	d.entries = append(d.entries, i)
	d.t.Cleanup(i.stop)
	return i
}

// deferredHandler forwards requests to a handler that is set after the server has
// started, since the handler depends on the server's address.
type deferredHandler struct {
	mu      sync.Mutex
	handler http.Handler
}

func (h *deferredHandler) setHandler(handler http.Handler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handler = handler
}

func (h *deferredHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	handler := h.handler
	h.mu.Unlock()
	handler.ServeHTTP(w, r)
}

// stop stops an instance and cuts its links, which looks to the other instances as
// if its process was killed.
func (i *instance) stop() {
	i.stopOnce.Do(func() {
		i.linkServer.CloseClientConnections()
		i.entry.Stop()
		i.callerServer.CloseClientConnections()
		i.callerServer.Close()
		i.linkServer.Close()
	})
}

// call sends an HTTP request to an instance and returns the status and the body of
// the response.
func (i *instance) call(method, path, body string) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, i.callerServer.URL+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	request.Host = "h.example"
	request.Header.Set("Poplarvalve-Deadline-Ms", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, string(raw), err
}

// submit submits a job of two steps to the instances in turn until one accepts it.
func (d *deployment) submit(id string) {
	d.t.Helper()
	d.submitBody(id, `{"spec":"x","steps":[{"count":4,"cpu":1000,"mem_mb":100,"estimate_ms":100},
			{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":100,"after":[0]}]}`)
}

// submitBody submits a job to the instances in turn until one accepts it. An instance may
// refuse it, or not know its outcome, while the machine is busy.
func (d *deployment) submitBody(id, body string) {
	d.t.Helper()
	attempt := 0
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		attempt++
		i := d.entries[attempt%len(d.entries)]
		status, _, err := i.call(http.MethodPost, "/jobs/"+id, body)
		if err == nil && status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("status %d, %v", status, err)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(100*time.Millisecond))
}

// awaitState waits until every instance reports a job to be in the given state.
func (d *deployment) awaitState(id, state string) {
	d.t.Helper()
	for _, i := range d.entries {
		poll.WaitOn(d.t, func(poll.LogT) poll.Result {
			status, answer, err := i.call(http.MethodGet, "/jobs/"+id, "")
			if err == nil && strings.Contains(answer, `"`+state+`"`) {
				return poll.Success()
			}
			return poll.Continue("status %d, %s, %v", status, answer, err)
		}, poll.WithTimeout(waitTimeout), poll.WithDelay(100*time.Millisecond))
	}
}

// checkEachTaskRanOnce checks that each task of a job was completed once, on one
// worker.
func (d *deployment) checkEachTaskRanOnce(id string) {
	d.t.Helper()
	for step, count := range []int{4, 2} {
		for index := range count {
			task := fmt.Sprintf("%s.0.%d.%d", id, step, index)
			done := 0
			for _, w := range d.workers {
				done += w.DoneCount(task)
			}
			assert.Equal(d.t, done, 1, "number of completions of task %s", task)
		}
	}
	assert.Equal(d.t, len(d.overlaps.OverlappingTasks()), 0, "tasks that ran in two places: %v", d.overlaps.OverlappingTasks())
}

// checkEachTaskStartedOnce checks that no task of a job was started a second time.
func (d *deployment) checkEachTaskStartedOnce(id string) {
	d.t.Helper()
	for step, count := range []int{4, 2} {
		for index := range count {
			task := fmt.Sprintf("%s.0.%d.%d", id, step, index)
			started := 0
			for _, w := range d.workers {
				started += w.StartedCount(task)
			}
			assert.Equal(d.t, started, 1, "number of starts of task %s", task)
		}
	}
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// leader waits until an instance leads cell 0 according to its state dump, and
// returns that instance.
func (d *deployment) leader() *instance {
	d.t.Helper()
	var found *instance
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		for _, i := range d.entries {
			state := i.entry.Dump()
			if state["cell-0"] != nil {
				found = i
				return poll.Success()
			}
		}
		return poll.Continue("no leader")
	}, poll.WithTimeout(waitTimeout))
	return found
}

// dumpedWorker is a worker in the state dump of its leader.
type dumpedWorker struct {
	Worker       string
	Listed, Held bool
}

// awaitWorkers waits until the workers in the dump of the leader of cell 0 meet a
// condition.
func (d *deployment) awaitWorkers(condition func([]dumpedWorker) bool) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		encoded, err := json.Marshal(d.leader().entry.Dump())
		assert.NilError(d.t, err)
		var state struct {
			Cell struct {
				Workers []dumpedWorker `json:"workers"`
			} `json:"cell-0"`
		}
		assert.NilError(d.t, json.Unmarshal(encoded, &state))
		if condition(state.Cell.Workers) {
			return poll.Success()
		}
		return poll.Continue("%+v", state.Cell.Workers)
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(100*time.Millisecond))
}

// awaitOnlyListed waits until the leader of cell 0 has one worker in its registry, which
// has answered.
func (d *deployment) awaitOnlyListed(id string) {
	d.t.Helper()
	d.awaitWorkers(func(workers []dumpedWorker) bool {
		listed := slices.DeleteFunc(workers, func(w dumpedWorker) bool { return !w.Listed })
		return len(listed) == 1 && listed[0] == dumpedWorker{Worker: id, Listed: true, Held: true}
	})
}

// The basic path: every instance accepts requests and forwards them to the leader,
// each task runs once, and unknown jobs and paths are refused with their own status.
func TestAnyInstanceServesJobsAndEachTaskRunsOnce(t *testing.T) {
	d := deploy(t, 3, 50*time.Millisecond)
	for n := range 6 {
		d.submit(jobID(n))
	}
	for n := range 6 {
		d.awaitState(jobID(n), "completed")
		d.checkEachTaskRanOnce(jobID(n))
	}
	status, _, err := d.entries[0].call(http.MethodGet, "/jobs/"+jobID(99), "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusGone)
	status, _, err = d.entries[0].call(http.MethodGet, "/none/"+jobID(1), "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)
}

const advisedManifest = `{"version":9,"routes":[{"name":"q1","host":"h.example","path_prefix":"/jobs/","service":"pool",
 "target_latency_ms":600,"priority":0,"attempts":3,"stretch":2.0,"timeout_ms":3000,
 "advice":{"decision_ms":5,"per_worker_ms":1,"valid_ms":2000}}],
 "services":[{"name":"pool","enforces_capacity":false}],"limits":{"max_body_bytes":262144}}`

// A job of a queue with a policy must be accepted, and its tasks must start only on
// the worker that the advice service allows. The service must not be called more
// often than twice per step.
func TestTasksOfQueueWithPolicyStartOnlyOnAllowedWorker(t *testing.T) {
	d := deploy(t, 0, 50*time.Millisecond)
	d.adviser = fleet.NewAdviser(2*time.Second, "i-1")
	t.Cleanup(d.adviser.Close)
	for _, w := range d.workers {
		w.CheckTickets(d.adviser)
	}
	d.log.AppendRecord("keyed.op", "config", []byte(advisedManifest))
	d.start()
	d.start()
	for n := range 3 {
		d.submit(jobID(n))
	}
	for n := range 3 {
		d.awaitState(jobID(n), "completed")
		d.checkEachTaskRanOnce(jobID(n))
		assert.Equal(t, d.workers[1].DoneTasksOfJob(jobID(n)), 6)
	}
	assert.Assert(t, d.adviser.RequestCount() <= 12, "%d calls to the advice service for 6 steps, want at most 12", d.adviser.RequestCount())
}

// In a deployment without an advice service, jobs of a queue with a policy could
// never start. They must be refused instead of accepted.
func TestQueueWithPolicyRefusesJobsWithoutAdviceService(t *testing.T) {
	d := deploy(t, 0, 50*time.Millisecond)
	d.log.AppendRecord("keyed.op", "config", []byte(advisedManifest))
	i := d.start()
	d.leader()
	status, _, err := i.call(http.MethodPost, "/jobs/"+jobID(1), `{"spec":"x","steps":[{"count":1,"cpu":1000}]}`)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

// When the leader ends while jobs run, the next leader must neither lose them nor
// run their tasks twice, and status queries must still find them.
func TestJobsCompleteOnceAfterLeaderEnds(t *testing.T) {
	d := deploy(t, 3, 600*time.Millisecond)
	for n := range 4 {
		d.submit(jobID(n))
	}
	leader := d.leader()
	leader.stop()
	d.entries = removeInstance(d.entries, leader)
	for n := range 4 {
		d.awaitState(jobID(n), "completed")
		d.checkEachTaskRanOnce(jobID(n))
	}
}

// The reports of all workers take two seconds to arrive, longer than a lease renewal may
// take. The workers are neither gone nor unhealthy: their runs must go on, and ends that
// arrive late must count, or tasks would run again that have ended.
func TestTasksRunOnceWhileReportsAreLate(t *testing.T) {
	d := deploy(t, 2, 1500*time.Millisecond)
	d.submit(jobID(1))
	d.leader()
	for _, w := range d.workers {
		w.DelayRenewals(2 * time.Second)
	}
	for n := range 3 {
		d.submit(jobID(n + 2))
	}
	for n := range 4 {
		d.awaitState(jobID(n+1), "completed")
		d.checkEachTaskRanOnce(jobID(n + 1))
		d.checkEachTaskStartedOnce(jobID(n + 1))
	}
}

// Around a hand-over, the old and the new leader both know the tasks and the workers. If
// both acted for a moment, orders would go out twice and tasks would start twice.
func TestTasksStartOnceAcrossHandOvers(t *testing.T) {
	d := deploy(t, 2, 300*time.Millisecond)
	next := 1
	for range 3 {
		for range 3 {
			d.submit(jobID(next))
			next++
		}
		leader := d.leader()
		d.start()
		leader.entry.Drain()
		waitCtx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		assert.NilError(t, leader.entry.AwaitHandOver(waitCtx))
		cancel()
		d.entries = removeInstance(d.entries, leader)
	}
	for n := 1; n < next; n++ {
		d.awaitState(jobID(n), "completed")
		d.checkEachTaskRanOnce(jobID(n))
		d.checkEachTaskStartedOnce(jobID(n))
	}
}

// The stored records of a cell still name a worker that left while no instance ran. The
// next leader must not start anything there before it has read the registry.
func TestWorkerThatLeftIsNotUsedAfterRestart(t *testing.T) {
	d := deploy(t, 1, 50*time.Millisecond)
	d.submit(jobID(1))
	d.awaitState(jobID(1), "completed")
	d.entries[0].stop()
	d.entries = nil
	left := d.workers[0]
	startedBefore := left.StartedTasks()
	d.log.AppendRecord("keyed.servers", left.ID, nil)
	d.start()
	for n := range 6 {
		d.submit(jobID(n + 2))
	}
	for n := range 6 {
		d.awaitState(jobID(n+2), "completed")
		d.checkEachTaskRanOnce(jobID(n + 2))
	}
	assert.Equal(t, left.StartedTasks(), startedBefore, "tasks were started on the worker that left")
}

// Guards against workers that are fenced off for the rest of a term: a worker that was
// cut off until the leader forgot it remembers the tokens of its earlier session and
// refuses lower ones.
func TestWorkerThatReturnsInSameTermIsUsedAgain(t *testing.T) {
	d := deploy(t, 1, 50*time.Millisecond)
	d.submit(jobID(1))
	d.awaitState(jobID(1), "completed")
	firstToken := d.workers[0].FencingToken()
	for n := 2; d.workers[0].FencingToken() == firstToken; n++ {
		d.workers[0].LoseResponses(1) // A start in doubt raises the token.
		d.submit(jobID(n))
		d.awaitState(jobID(n), "completed")
	}
	for _, w := range d.workers {
		w.SetCutOff(true)
		d.log.AppendRecord("keyed.servers", w.ID, nil)
	}
	d.awaitWorkers(func(workers []dumpedWorker) bool { return len(workers) == 0 })
	d.workers[0].SetCutOff(false)
	d.log.AppendRecord("keyed.servers", d.workers[0].ID, d.workers[0].RegistryEntry())
	d.submit(jobID(100))
	d.awaitState(jobID(100), "completed")
	d.checkEachTaskRanOnce(jobID(100))
}

// A leader that receives SIGTERM while the log is unreachable must keep its cell. It
// used to give up its term at once; no other instance could claim the cell, nobody
// renewed the workers' leases, and the leases of running tasks expired after 4.5 s.
func TestDrainingLeaderKeepsCellWhileLogIsUnreachable(t *testing.T) {
	d := deploy(t, 2, 2*time.Second)
	d.submit(jobID(1))
	leader := d.leader()
	d.log.SetDown(true)
	leader.entry.Drain()
	waitCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	assert.ErrorIs(t, leader.entry.AwaitHandOver(waitCtx), context.DeadlineExceeded)
	assert.Equal(t, d.leader(), leader, "the draining instance must lead while the log is unreachable")
	d.log.SetDown(false)
	waitCtx, cancel = context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	assert.NilError(t, leader.entry.AwaitHandOver(waitCtx))
	assert.Assert(t, d.leader() != leader, "another instance must lead after the hand-over")
	d.awaitState(jobID(1), "completed")
	d.checkEachTaskRanOnce(jobID(1))
}

// Jobs must not be lost when all instances end at the same time and a new one
// starts.
func TestJobsCompleteAfterAllInstancesEnd(t *testing.T) {
	d := deploy(t, 2, 600*time.Millisecond)
	d.submit(jobID(1))
	for _, i := range d.entries {
		i.stop()
	}
	d.entries = nil
	d.start()
	d.awaitState(jobID(1), "completed")
	d.checkEachTaskRanOnce(jobID(1))
}

// A reply of the log to an append, or of a worker to a start, may be lost although
// the call was executed. The job must neither be lost nor run twice.
func TestLostRepliesNeitherLoseNorRepeatTasks(t *testing.T) {
	d := deploy(t, 2, 50*time.Millisecond)
	d.leader()
	for n := range 5 {
		d.log.LoseResponses(1)
		d.workers[n%3].LoseResponses(1)
		d.submit(jobID(n))
		d.awaitState(jobID(n), "completed")
		d.checkEachTaskRanOnce(jobID(n))
	}
}

// While the log is unreachable, a new job can't be stored and must not be accepted.
// A job that was accepted before must complete, and new jobs must be accepted once
// the log is back.
func TestJobsAreNeitherAcceptedNorLostDuringLogOutage(t *testing.T) {
	d := deploy(t, 2, 50*time.Millisecond)
	d.submit(jobID(1))
	d.log.SetDown(true)
	status, _, err := d.entries[0].call(http.MethodPost, "/jobs/"+jobID(2), `{"spec":"x","steps":[{"count":1,"cpu":1,"mem_mb":1,"estimate_ms":10}]}`)
	assert.NilError(t, err)
	assert.Assert(t, status != http.StatusOK, "a job was accepted that could not be stored")
	d.log.SetDown(false)
	d.awaitState(jobID(1), "completed")
	d.checkEachTaskRanOnce(jobID(1))
	d.submit(jobID(3))
	d.awaitState(jobID(3), "completed")
}

// When the log drops the history of the registry and the configuration, the
// offset of the next read is no longer valid. The instances must read the newest
// records again and lose neither the workers nor the manifest.
func TestWorkersAndManifestSurviveLossOfLogHistory(t *testing.T) {
	d := deploy(t, 2, 50*time.Millisecond)
	d.submit(jobID(1))
	d.log.DropHistory("keyed.servers")
	d.log.DropHistory("keyed.op")
	d.submit(jobID(2))
	d.awaitState(jobID(2), "completed")
	d.checkEachTaskRanOnce(jobID(2))
}

func removeInstance(all []*instance, removed *instance) []*instance {
	var rest []*instance
	for _, i := range all {
		if i != removed {
			rest = append(rest, i)
		}
	}
	return rest
}

// Another writer leaves odd entries among those of the workers. None of them may stop the
// reader, end a leader, keep the next one from leading, or hide the workers.
func TestOddRegistryEntriesDisturbNeitherLeaderNorSuccessor(t *testing.T) {
	d := deploy(t, 1, 50*time.Millisecond)
	d.submit(jobID(1))
	d.awaitState(jobID(1), "completed")
	good := string(d.workers[0].RegistryEntry())
	address := good[strings.Index(good, "127.0.0.1:"):]
	address = address[:strings.Index(address, `"`)]
	altered := func(old, odd string) string {
		assert.Assert(t, strings.Contains(good, old), old)
		return strings.Replace(good, old, odd, 1)
	}
	odd := map[string]string{
		"i-nested":      strings.Repeat("[", 100_000),
		"i-cpu":         altered(`"cpu":16000`, `"cpu":4611686018427387904`),
		"i-cpu2":        altered(`"cpu":16000`, `"cpu":4611686018427387904`),
		"i-port":        altered(address, "127.0.0.1:70000"),
		"i-path":        altered(address, address+"/x"),
		"i-born":        altered(`"born":`, `"born":9999`),
		"i-labels":      altered(`"labels":["a"`, `"labels":[`+strings.Repeat(`"",`, 200_000)+`"a"`),
		"i-\xff":        good,
		"":              good,
		"i-not-text":    altered(`"pool"`, "\"pool\xff\""),
		"i-line\nbreak": good,
	}
	for key, value := range odd {
		d.log.AppendRecord("keyed.servers", key, []byte(value))
	}
	d.log.AppendDamagedRecord("keyed.servers", "i-damaged")
	d.log.AppendDamagedRecord("keyed.op", "damaged")
	late := fleet.NewWorker("i-late", "pool", 50*time.Millisecond, d.overlaps)
	t.Cleanup(late.Close)
	d.workers = append(d.workers, late)
	d.log.AppendRecord("keyed.servers", late.ID, late.RegistryEntry())
	for _, w := range d.workers[:3] {
		d.log.AppendRecord("keyed.servers", w.ID, nil)
	}
	d.awaitOnlyListed(late.ID)
	d.submit(jobID(2))
	d.awaitState(jobID(2), "completed")
	d.checkEachTaskRanOnce(jobID(2))
	assert.Equal(t, late.DoneTasksOfJob(jobID(2)), 6)
	d.entries[0].stop()
	d.entries = nil
	d.start()
	d.submit(jobID(3))
	d.awaitState(jobID(3), "completed")
	assert.Equal(t, late.DoneTasksOfJob(jobID(3)), 6)
}

// A record that the log refuses for its size ended the term, and all jobs beside it waited
// for the next leader, which met the same. Its caller must not be told that it is stored.
func TestRecordTooLargeForTheLogDoesNotStopOtherJobs(t *testing.T) {
	d := deploy(t, 2, 50*time.Millisecond)
	d.submit(jobID(1))
	d.awaitState(jobID(1), "completed")
	leader := d.leader()
	d.log.SetRecordLimit(2000) // Less than the settings of the instances say.
	large := `{"spec":"` + strings.Repeat("s", 3000) + `","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100}]}`
	for range 2 {
		status, _, err := d.entries[0].call(http.MethodPost, "/jobs/"+jobID(2), large)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusGatewayTimeout)
	}
	d.submit(jobID(3))
	d.awaitState(jobID(3), "completed")
	d.checkEachTaskRanOnce(jobID(3))
	assert.Equal(t, d.leader(), leader, "the term has ended")
	d.log.SetRecordLimit(262144)
	d.awaitState(jobID(2), "completed")
}

// Operators check a manifest against what an instance returns. Workers that it misses make it
// report a service as unused, and another version a change that nobody made.
func TestLeaderKnowsManifestAndPools(t *testing.T) {
	d := deploy(t, 1, time.Millisecond)
	d.awaitWorkers(func(workers []dumpedWorker) bool {
		return len(slices.DeleteFunc(workers, func(w dumpedWorker) bool { return !w.Listed })) == 3
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.entries[0].entry.Ready() {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(waitTimeout))
	known, err := d.entries[0].entry.Deployment(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, known.InForce.Version, int64(3))
	assert.Assert(t, known.PoolsComplete && known.LacksAdviceService)
	assert.Equal(t, known.RecordBytes, store.DefaultLimits.RecordBytes)
	assert.Equal(t, len(known.Pools), 1)
	assert.Equal(t, known.Pools[0].Pool, "pool")
	assert.Equal(t, known.Pools[0].Workers, 3)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = d.entries[0].entry.Deployment(ctx)
	assert.Assert(t, err != nil, "an answer with a part of the pools after the request has ended")
}
