package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"poplarvalve/internal/connection/advice"
	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/connection/workerlink"
	"poplarvalve/internal/entry"
	"poplarvalve/internal/process/logging"
	"poplarvalve/internal/process/metrics"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
	"poplarvalve/platform"
	"poplarvalve/test/fleet"
)

const testManifest = `{"version":3,"routes":[{"name":"q1","host":"h.example","path_prefix":"/jobs/","service":"pool",
 "target_latency_ms":600,"priority":0,"attempts":3,"stretch":2.0,"timeout_ms":3000}],
 "services":[{"name":"pool","enforces_capacity":false}],"limits":{"max_body_bytes":262144}}`

// patience bounds each wait of a test. It is far above what is measured, since
// no test asserts speed.
const patience = 30 * time.Second

// deployment is a platform on loopback with workers and entry instances.
type deployment struct {
	t       *testing.T
	log     *fleet.Log
	shared  *fleet.Shared
	workers []*fleet.Worker
	entries []*instance
	// adviser is nil for a deployment without an advice service.
	adviser *fleet.Adviser
}

// instance is one entry instance with its servers.
type instance struct {
	entry *entry.Entry
	front *httptest.Server
	link  *httptest.Server
	once  sync.Once
}

func deploy(t *testing.T, instances int, work time.Duration) *deployment {
	d := &deployment{t: t, log: fleet.NewLog(), shared: fleet.NewShared()}
	t.Cleanup(d.log.Close)
	d.log.Put("keyed.op", "config", []byte(testManifest))
	for i := range 3 {
		w := fleet.NewWorker(fmt.Sprintf("i-%d", i), "pool", work, d.shared)
		t.Cleanup(w.Close)
		d.workers = append(d.workers, w)
		d.log.Put("keyed.servers", w.ID, w.Entry())
	}
	for range instances {
		d.start()
	}
	return d
}

// start adds one entry instance.
func (d *deployment) start() *instance {
	var holder lateHandler
	i := &instance{link: httptest.NewServer(&holder)}
	counters := metrics.NewEntry()
	client := &http.Client{Transport: &http.Transport{}}
	number := uint64(len(d.entries) + 1)
	var adviser advice.Service
	if d.adviser != nil {
		adviser = platform.NewAdvice(d.adviser.Address(), client)
	}
	i.entry = entry.New(entry.Options{
		Self:          election.Holder{Name: fmt.Sprint("e", number), Address: i.link.Listener.Addr().String(), Nonce: number},
		CPUShare:      1,
		Log:           platform.NewLog(d.log.Address(), client),
		Configuration: platform.Configuration,
		Registry:      platform.Registry,
		Decoder:       platform.Decoder{},
		DialWorker: func(info cell.WorkerInfo) workerlink.API {
			return platform.NewWorker(info.Address, client)
		},
		Advice:  adviser,
		Bounds:  entry.Bounds{MaxLease: 6 * time.Second, KeepEnded: time.Minute, RemoteFactor: 2},
		Journal: logging.NewJournal(io.Discard, "info", "test", counters.LineDropped),
		Metrics: counters,
	})
	links := http.NewServeMux()
	links.Handle(peer.Path, i.entry.LinkHandler())
	holder.set(links)
	i.front = httptest.NewServer(platform.NewFront(i.entry))
	i.entry.Start()
	d.entries = append(d.entries, i)
	d.t.Cleanup(i.stop)
	return i
}

// lateHandler serves once its handler is known.
type lateHandler struct {
	mu      sync.Mutex
	handler http.Handler
}

func (h *lateHandler) set(handler http.Handler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handler = handler
}

func (h *lateHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	handler := h.handler
	h.mu.Unlock()
	handler.ServeHTTP(w, r)
}

// stop ends an instance as a kill does for the others: its links are cut.
func (i *instance) stop() {
	i.once.Do(func() {
		i.link.CloseClientConnections()
		i.entry.Stop()
		i.front.CloseClientConnections()
		i.front.Close()
		i.link.Close()
	})
}

// call sends one request to an instance.
func (i *instance) call(method, path, body string) (status int, answer string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, i.front.URL+path, strings.NewReader(body))
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

// submit hands a job in at any instance until it is accepted.
func (d *deployment) submit(id string) {
	d.t.Helper()
	turn := 0
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		turn++
		i := d.entries[turn%len(d.entries)]
		status, _, err := i.call(http.MethodPost, "/jobs/"+id, `{"spec":"x","steps":[{"count":4,"cpu":1000,"mem_mb":100,"estimate_ms":100},
			{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":100,"after":[0]}]}`)
		if err == nil && status == http.StatusOK {
			return poll.Success()
		}
		return poll.Continue("status %d, %v", status, err)
	}, poll.WithTimeout(patience), poll.WithDelay(100*time.Millisecond))
}

// await waits until every instance shows a job in a state.
func (d *deployment) await(id, state string) {
	d.t.Helper()
	for _, i := range d.entries {
		poll.WaitOn(d.t, func(poll.LogT) poll.Result {
			_, answer, err := i.call(http.MethodGet, "/jobs/"+id, "")
			if err == nil && strings.Contains(answer, `"`+state+`"`) {
				return poll.Success()
			}
			return poll.Continue("%s, %v", answer, err)
		}, poll.WithTimeout(patience), poll.WithDelay(100*time.Millisecond))
	}
}

// checkRanOnce checks that each task of a job was done once, on one worker.
func (d *deployment) checkRanOnce(id string) {
	d.t.Helper()
	for step, count := range []int{4, 2} {
		for index := range count {
			task := fmt.Sprintf("%s.0.%d.%d", id, step, index)
			done := 0
			for _, w := range d.workers {
				done += w.Finished(task)
			}
			assert.Equal(d.t, done, 1, "task %s", task)
		}
	}
	assert.Equal(d.t, len(d.shared.Seen()), 0, "tasks that ran in two places: %v", d.shared.Seen())
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// leaderOf returns the instance that leads, by its state dump.
func (d *deployment) leader() *instance {
	d.t.Helper()
	var found *instance
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		for _, i := range d.entries {
			state, isMap := i.entry.Dump().(map[string]any)
			if isMap && state["cell-0"] != nil {
				found = i
				return poll.Success()
			}
		}
		return poll.Continue("no leader")
	}, poll.WithTimeout(patience))
	return found
}

// Guards against a path that doesn't serve at all: every instance passes
// requests on, steps run in order, each task once.
func TestJobsRunOnceThroughAnyInstance(t *testing.T) {
	d := deploy(t, 3, 50*time.Millisecond)
	for n := range 6 {
		d.submit(jobID(n))
	}
	for n := range 6 {
		d.await(jobID(n), "completed")
		d.checkRanOnce(jobID(n))
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

// Guards against a job of a queue with a policy that is refused, or whose tasks
// start on a worker that the policy doesn't allow.
func TestJobsOfAQueueWithAPolicy(t *testing.T) {
	d := deploy(t, 0, 50*time.Millisecond)
	d.adviser = fleet.NewAdviser(2*time.Second, "i-1")
	t.Cleanup(d.adviser.Close)
	for _, w := range d.workers {
		w.CheckTickets(d.adviser)
	}
	d.log.Put("keyed.op", "config", []byte(advisedManifest))
	d.start()
	d.start()
	for n := range 3 {
		d.submit(jobID(n))
	}
	for n := range 3 {
		d.await(jobID(n), "completed")
		d.checkRanOnce(jobID(n))
		assert.Equal(t, d.workers[1].TasksOf(jobID(n)), 6)
	}
	assert.Assert(t, d.adviser.Calls() <= 12, "%d calls for 6 steps", d.adviser.Calls())
}

// Guards against jobs that are accepted and can never start, because the
// deployment has no service that its policy could be asked of.
func TestQueueWithAPolicyButNoService(t *testing.T) {
	d := deploy(t, 0, 50*time.Millisecond)
	d.log.Put("keyed.op", "config", []byte(advisedManifest))
	i := d.start()
	d.leader()
	status, _, err := i.call(http.MethodPost, "/jobs/"+jobID(1), `{"spec":"x","steps":[{"count":1,"cpu":1000}]}`)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

// Guards against jobs that are lost or run twice when the leader ends while
// they run, and against answers that forget them.
func TestJobsSurviveTheirLeader(t *testing.T) {
	d := deploy(t, 3, 600*time.Millisecond)
	for n := range 4 {
		d.submit(jobID(n))
	}
	leader := d.leader()
	leader.stop()
	d.entries = without(d.entries, leader)
	for n := range 4 {
		d.await(jobID(n), "completed")
		d.checkRanOnce(jobID(n))
	}
}

// Guards against workers that nobody holds, because the leader gave its term up
// on SIGTERM while the log was away and no other could claim it: running tasks
// lapsed after 4.5 s.
func TestDrainingLeaderWaitsForTheLog(t *testing.T) {
	d := deploy(t, 2, 2*time.Second)
	d.submit(jobID(1))
	leader := d.leader()
	d.log.SetDown(true)
	leader.entry.Drain()
	wait, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	assert.ErrorIs(t, leader.entry.AwaitHandOver(wait), context.DeadlineExceeded)
	assert.Equal(t, d.leader(), leader, "it still leads")
	d.log.SetDown(false)
	wait, cancel = context.WithTimeout(context.Background(), patience)
	defer cancel()
	assert.NilError(t, leader.entry.AwaitHandOver(wait))
	assert.Assert(t, d.leader() != leader, "another leads")
	d.await(jobID(1), "completed")
	d.checkRanOnce(jobID(1))
}

// Guards against jobs that are lost when every instance ends at once.
func TestJobsSurviveAllInstances(t *testing.T) {
	d := deploy(t, 2, 600*time.Millisecond)
	d.submit(jobID(1))
	for _, i := range d.entries {
		i.stop()
	}
	d.entries = nil
	d.start()
	d.await(jobID(1), "completed")
	d.checkRanOnce(jobID(1))
}

// Guards against a job that is doubled or lost because the answer to its
// append, or to a start, is lost.
func TestLostAnswersChangeNothing(t *testing.T) {
	d := deploy(t, 2, 50*time.Millisecond)
	d.leader()
	for n := range 5 {
		d.log.LoseAnswers(1)
		d.workers[n%3].LoseAnswers(1)
		d.submit(jobID(n))
		d.await(jobID(n), "completed")
		d.checkRanOnce(jobID(n))
	}
}

// Guards against a refusal that isn't true, and against a job that is lost,
// while the log is away.
func TestLogOutage(t *testing.T) {
	d := deploy(t, 2, 50*time.Millisecond)
	d.submit(jobID(1))
	d.log.SetDown(true)
	status, _, err := d.entries[0].call(http.MethodPost, "/jobs/"+jobID(2), `{"spec":"x","steps":[{"count":1,"cpu":1,"mem_mb":1,"estimate_ms":10}]}`)
	assert.NilError(t, err)
	assert.Assert(t, status != http.StatusOK, "nothing can be stored")
	d.log.SetDown(false)
	d.await(jobID(1), "completed")
	d.checkRanOnce(jobID(1))
	d.submit(jobID(3))
	d.await(jobID(3), "completed")
}

// Guards against workers and a manifest that are lost when the log drops the
// history of the records that others write.
func TestLogForgetsItsHistory(t *testing.T) {
	d := deploy(t, 2, 50*time.Millisecond)
	d.submit(jobID(1))
	d.log.Forget("keyed.servers")
	d.log.Forget("keyed.op")
	d.submit(jobID(2))
	d.await(jobID(2), "completed")
	d.checkRanOnce(jobID(2))
}

func without(all []*instance, one *instance) []*instance {
	var rest []*instance
	for _, i := range all {
		if i != one {
			rest = append(rest, i)
		}
	}
	return rest
}
