package fleet

import (
	"cmp"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// maxListedEnds is the number of ended runs in one reply to a lease renewal. It is the
// platform's: the adapter recognizes a list that may be cut by its length.
const maxListedEnds = 500

// Worker emulates one worker over HTTP. Each of its runs takes the time
// RunDuration and then ends as done.
type Worker struct {
	// ID is the name that callers must expect in their orders.
	ID string
	// Pool is the name of the service that the worker registers for.
	Pool string
	// Zone is the availability zone that the worker registers, z1 if it is empty.
	Zone string
	// RunDuration is the time that each run takes.
	RunDuration time.Duration
	// DurationOf returns the time that the runs of a task take, or 0 for runs that don't
	// end by themselves. If it is nil, each takes RunDuration.
	DurationOf func(task string) time.Duration
	// RegisteredAddress is the address that the worker registers if it is not its own.
	RegisteredAddress string
	server            *httptest.Server
	// startedAt is when the current incarnation began.
	startedAt atomic.Pointer[time.Time]

	mu sync.Mutex
	// fencingToken is the highest token of any order so far.
	fencingToken int64
	// leaseEndMillis is the latest lease end in any order, on the worker's clock.
	leaseEndMillis int64
	// runs holds the current run of each task.
	runs map[string]*workerRun
	// endedRuns holds the rows that the worker reports for ended runs; the first
	// column is the number of the end.
	endedRuns     [][]any
	lastEndNumber int64
	// cutReports counts the replies that left out ended runs.
	cutReports int
	// highestRun is the highest run identifier of each task that ended or was
	// stopped. The worker refuses to start that run and earlier ones.
	highestRun map[string]int64
	// runEnded is closed and replaced at each end of a run.
	runEnded chan struct{}
	// Started and Done count, by task, the runs started and the runs that ended
	// as done.
	Started  map[string]int
	Done     map[string]int
	overlaps *OverlapDetector
	// renewalDelay is the time that the response to a lease renewal takes to arrive.
	renewalDelay time.Duration
	// cutOff is set while no order reaches the worker.
	cutOff bool
	// responsesToLose is the number of coming starts that take effect without a
	// response.
	responsesToLose int
	// adviser checks the tickets of starts. If it is nil, tickets are not
	// checked.
	adviser *Adviser
	// cpuMillis is the CPU in the registered capacity, in thousandths of a core.
	cpuMillis int
	// unreachable makes the worker close each connection without a response.
	unreachable bool
	// maxLease is the longest lease that the worker grants. If it is 0, leases
	// don't expire.
	maxLease   time.Duration
	leaseTimer *time.Timer
	// drainsUntil is the time until which the worker serves at least, or zero if it does
	// not drain.
	drainsUntil time.Time
	observer    Observer
}

// Observer is told what happens on a worker, in order. Its methods are called
// with the worker locked.
type Observer interface {
	RunStarted(worker, task string, run int64)
	RunEnded(worker, task string, run int64, outcome string)
	// EndAcknowledged is called when an order acknowledges the end of a run.
	EndAcknowledged(worker, task string, run int64)
	// EndsVoid is called when the ends that nobody has acknowledged no longer
	// count, because the worker has crashed or its lease has expired.
	EndsVoid(worker string)
}

// ignoreEvents is the Observer of workers that have no other.
type ignoreEvents struct{}

func (ignoreEvents) RunStarted(string, string, int64)       {}
func (ignoreEvents) RunEnded(string, string, int64, string) {}
func (ignoreEvents) EndAcknowledged(string, string, int64)  {}
func (ignoreEvents) EndsVoid(string)                        {}

// Observe sets the worker's Observer.
func (w *Worker) Observe(observer Observer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observer = observer
}

// EnforceLeases makes the worker end its runs when their lease expires, and grant
// leases of at most maxLease.
func (w *Worker) EnforceLeases(maxLease time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.maxLease = maxLease
}

// SetCPU sets the CPU of the capacity that the worker registers, in thousandths of
// a core. It doesn't limit what the worker starts.
func (w *Worker) SetCPU(millis int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cpuMillis = millis
}

// Crash ends all runs without a report. Until Restart, the worker closes each
// connection without a response.
func (w *Worker) Crash() {
	w.stopServing("crashed")
	w.server.CloseClientConnections()
}

// stopServing ends all runs with that outcome and without a report. The worker closes each
// connection without a response from then on.
func (w *Worker) stopServing(outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable = true
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.observer.EndsVoid(w.ID)
	for task, run := range w.runs {
		run.stopTimer()
		delete(w.runs, task)
		w.overlaps.addRuns(task, -1)
		w.observer.RunEnded(w.ID, task, run.runID, outcome)
	}
}

// CutOff makes the worker close each connection without a response until Reconnect.
// Its runs go on as long as their lease does.
func (w *Worker) CutOff() {
	w.mu.Lock()
	w.unreachable = true
	w.mu.Unlock()
	w.server.CloseClientConnections()
}

// Reconnect ends CutOff.
func (w *Worker) Reconnect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable = false
}

// begin sets the time at which the worker's incarnation began.
func (w *Worker) begin() {
	now := time.Now()
	w.startedAt.Store(&now)
}

// Restart begins a new incarnation of a crashed worker, which knows nothing of the
// one before.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable = false
	w.begin()
	w.fencingToken, w.leaseEndMillis, w.lastEndNumber = 0, 0, 0
	w.endedRuns = nil
	w.highestRun = map[string]int64{}
}

// CheckTickets makes the worker reject starts without a ticket that the Adviser
// issued.
func (w *Worker) CheckTickets(a *Adviser) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.adviser = a
}

// OverlapDetector counts the runs of each task on all workers of a test, and
// records in Tasks the tasks that ran more than once at the same time.
type OverlapDetector struct {
	mu      sync.Mutex
	running map[string]int
	Tasks   []string
}

// NewOverlapDetector returns an empty OverlapDetector, to be passed to all
// workers of a test.
func NewOverlapDetector() *OverlapDetector { return &OverlapDetector{running: map[string]int{}} }

// addRuns adds delta, which may be negative, to the number of current runs of a
// task.
func (d *OverlapDetector) addRuns(task string, delta int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[task] += delta
	if d.running[task] > 1 {
		d.Tasks = append(d.Tasks, task)
	}
}

// OverlappingTasks returns the tasks that had two runs at the same time.
func (d *OverlapDetector) OverlappingTasks() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Tasks
}

// workerRun is a current run of a task.
type workerRun struct {
	runID int64
	// timer ends the run as done. It is nil if the run does not end by itself.
	timer *time.Timer
}

// stopTimer keeps the run from ending by itself.
func (r *workerRun) stopTimer() {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// percent returns the progress in the worker's list: runs that don't end by themselves are
// always at work.
func (r *workerRun) percent() int {
	if r.timer == nil {
		return 100
	}
	return 50
}

// NewWorker starts a worker on loopback whose runs take runDuration each. It
// reports its runs to overlaps.
func NewWorker(id, pool string, runDuration time.Duration, overlaps *OverlapDetector) *Worker {
	w := &Worker{ID: id, Pool: pool, RunDuration: runDuration, runs: map[string]*workerRun{},
		highestRun: map[string]int64{}, runEnded: make(chan struct{}), overlaps: overlaps,
		Started: map[string]int{}, Done: map[string]int{}, cpuMillis: 16000, observer: ignoreEvents{}}
	w.begin()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.serveStart)
	mux.HandleFunc("POST /-/run-stop", w.serveStop)
	mux.HandleFunc("POST /-/hold", w.serveLeaseRenewal)
	w.server = httptest.NewServer(mux)
	return w
}

// Close stops the worker's server and closes its connections.
func (w *Worker) Close() {
	w.server.CloseClientConnections()
	w.server.Close()
}

// Address returns the IP:port that the worker listens on.
func (w *Worker) Address() string { return w.server.Listener.Addr().String() }

// DelayRenewals makes each response to a lease renewal arrive after a delay, as on a
// congested connection. The response describes the worker before the delay.
func (w *Worker) DelayRenewals(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.renewalDelay = delay
}

// SetCutOff sets whether orders fail to reach the worker. What runs on it goes on.
func (w *Worker) SetCutOff(cutOff bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutOff = cutOff
}

// FencingToken returns the highest token of any order so far.
func (w *Worker) FencingToken() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fencingToken
}

// StartedCount returns how many runs of a task have started.
func (w *Worker) StartedCount(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Started[task]
}

// EndRuns ends all current runs as done.
func (w *Worker) EndRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, run := range w.runs {
		w.endRunLocked(task, run.runID, "done")
	}
}

// CutReports returns how many replies to lease renewals left out ended runs.
func (w *Worker) CutReports() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutReports
}

// StartedTasks returns how many tasks have started on the worker.
func (w *Worker) StartedTasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.Started)
}

// LoseResponses makes the next count starts take effect without a response: the
// worker closes the connection instead.
func (w *Worker) LoseResponses(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.responsesToLose = count
}

// DoneCount returns the number of runs of a task that ended as done.
func (w *Worker) DoneCount(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Done[task]
}

// RegistryEntry returns the JSON entry that the worker registers with the
// platform.
func (w *Worker) RegistryEntry() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := map[string]any{
		"service": w.Pool, "address": cmp.Or(w.RegisteredAddress, w.Address()), "zone": cmp.Or(w.Zone, "z1"), "state": "ready",
		"capacity": map[string]int{"cpu": w.cpuMillis, "mem_mb": 64000}, "labels": []string{"a", "r1-1"},
		"born": w.startedAt.Load().UnixMilli(), "sequence": 1,
	}
	if !w.drainsUntil.IsZero() {
		entry["state"], entry["remaining_ms"] = "draining", max(0, time.Until(w.drainsUntil).Milliseconds())
	}
	encoded, _ := json.Marshal(entry) // The map holds only types that can be encoded.
	return encoded
}

// workerOrder holds the fields of the orders to a worker: start, stop and lease
// renewal.
type workerOrder struct {
	Task       string `json:"task"`
	Run        int64  `json:"run_id"`
	LeaseUntil int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
	Ticket     string `json:"ticket"`
}

// clockMillis returns the worker's clock, in milliseconds since its start plus
// 1000.
func (w *Worker) clockMillis() int64 { return time.Since(*w.startedAt.Load()).Milliseconds() + 1000 }

// acceptOrder decodes an order, checks the instance that it expects and its
// fencing token, and records its lease end. If it refuses the order, it sends
// the response and returns false.
func (w *Worker) acceptOrder(rw http.ResponseWriter, r *http.Request) (workerOrder, bool) {
	var order workerOrder
	w.mu.Lock()
	cutOff := w.cutOff
	w.mu.Unlock()
	if cutOff {
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return order, false
	}
	if r.Header.Get("Poplarvalve-Expect-Instance") != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return order, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreachable {
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	}
	if order.Token < w.fencingToken {
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMillis(), "reason": "fence"})
		return order, false
	}
	w.fencingToken = order.Token
	w.extendLease(order.LeaseUntil)
	return order, true
}

// extendLease records a lease end, on the worker's clock. The caller must hold w.mu.
func (w *Worker) extendLease(until int64) {
	if w.maxLease == 0 {
		w.leaseEndMillis = max(w.leaseEndMillis, until)
		return
	}
	until = min(until, w.clockMillis()+w.maxLease.Milliseconds())
	if until <= w.leaseEndMillis {
		return
	}
	w.leaseEndMillis = until
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(time.Duration(until-w.clockMillis())*time.Millisecond, w.expireLease)
}

// expireLease ends all runs if the lease has expired.
func (w *Worker) expireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clockMillis() < w.leaseEndMillis {
		return
	}
	w.observer.EndsVoid(w.ID)
	for task, run := range w.runs {
		w.endRunLocked(task, run.runID, "lapsed")
	}
}

// serveStart starts a run. A repeated order for the current run succeeds
// without another effect. An order for another run of a task that is running,
// or for a run up to the highest that has ended, is refused as old.
func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	order, accepted := w.acceptOrder(rw, r)
	if !accepted {
		return
	}
	w.mu.Lock()
	if w.unreachable {
		w.mu.Unlock()
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	}
	if w.adviser != nil && !w.adviser.acceptsTicket(order.Task, w.ID, order.Ticket) {
		w.mu.Unlock()
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMillis(), "reason": "ticket"})
		return
	}
	if w.maxLease > 0 && w.clockMillis() >= w.leaseEndMillis {
		w.mu.Unlock()
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMillis(), "reason": "late"})
		return
	}
	current := w.runs[order.Task]
	refused := current != nil && current.runID != order.Run || current == nil && order.Run <= w.highestRun[order.Task]
	if !refused && current == nil {
		w.startRun(order)
	}
	loseResponse := w.responsesToLose > 0
	if loseResponse {
		w.responsesToLose--
	}
	w.mu.Unlock()
	switch {
	case loseResponse:
		panic(http.ErrAbortHandler) // Closes the connection without a response.
	case refused:
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMillis(), "reason": "old"})
	default:
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMillis()})
	}
}

// startRun starts a run. The caller must hold w.mu.
func (w *Worker) startRun(order workerOrder) {
	w.Started[order.Task]++
	w.overlaps.addRuns(order.Task, 1)
	w.observer.RunStarted(w.ID, order.Task, order.Run)
	run := &workerRun{runID: order.Run}
	duration := w.RunDuration
	if w.DurationOf != nil {
		duration = w.DurationOf(order.Task)
	}
	if duration > 0 {
		run.timer = time.AfterFunc(duration, func() { w.endRun(order.Task, order.Run, "done") })
	}
	w.runs[order.Task] = run
}

// endRun ends a run with that outcome, unless it is not the task's current run.
func (w *Worker) endRun(task string, runID int64, outcome string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endRunLocked(task, runID, outcome)
}

// endRunLocked is endRun for a caller that holds w.mu.
func (w *Worker) endRunLocked(task string, runID int64, outcome string) {
	run := w.runs[task]
	if run == nil || run.runID != runID {
		return
	}
	run.stopTimer()
	delete(w.runs, task)
	w.overlaps.addRuns(task, -1)
	w.observer.RunEnded(w.ID, task, runID, outcome)
	w.highestRun[task] = max(w.highestRun[task], runID)
	w.lastEndNumber++
	w.endedRuns = append(w.endedRuns, []any{w.lastEndNumber, task, runID, outcome, ""})
	if outcome == "done" {
		w.Done[task]++
	}
	close(w.runEnded)
	w.runEnded = make(chan struct{})
}

// serveStop stops a run if it is the task's current one, and makes the worker
// refuse later starts of that run.
func (w *Worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	order, accepted := w.acceptOrder(rw, r)
	if !accepted {
		return
	}
	w.mu.Lock()
	w.highestRun[order.Task] = max(w.highestRun[order.Task], order.Run)
	w.mu.Unlock()
	w.endRun(order.Task, order.Run, "stopped")
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": w.clockMillis()})
}

// serveLeaseRenewal reports the current runs, and the first maxListedEnds runs that ended
// after the last end that the caller has seen. If none has, it waits up to wait_ms for
// one.
func (w *Worker) serveLeaseRenewal(rw http.ResponseWriter, r *http.Request) {
	order, accepted := w.acceptOrder(rw, r)
	if !accepted {
		return
	}
	w.forgetEnds(order.LastSeen)
	deadline := time.After(time.Duration(order.Wait) * time.Millisecond)
	for waiting := order.Wait > 0; ; {
		reply, endedCount, runEnded := w.leaseRenewalReply(order.LastSeen)
		if endedCount > 0 || !waiting {
			w.delayRenewal(r)
			writeJSON(rw, http.StatusOK, reply)
			return
		}
		select {
		case <-runEnded:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// forgetEnds drops the ended runs up to the last one that the caller has seen.
func (w *Worker) forgetEnds(lastSeen int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.endedRuns) > 0 {
		row := w.endedRuns[0]
		if number, _ := row[0].(int64); number > lastSeen {
			return
		}
		task, _ := row[1].(string)
		runID, _ := row[2].(int64)
		w.observer.EndAcknowledged(w.ID, task, runID)
		w.endedRuns = w.endedRuns[1:]
	}
}

// delayRenewal waits for the time that DelayRenewals has set, or until the caller has
// given up.
func (w *Worker) delayRenewal(r *http.Request) {
	w.mu.Lock()
	delay := w.renewalDelay
	w.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-r.Context().Done():
	}
}

// leaseRenewalReply returns the reply to a lease renewal, the number of ended
// runs in it, and the channel that is closed when the next run ends.
func (w *Worker) leaseRenewalReply(lastSeen int64) (reply map[string]any, endedCount int, runEnded chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for task, run := range w.runs {
		running = append(running, []any{task, run.runID, "", run.percent(), 100})
	}
	for _, row := range w.endedRuns {
		if number, _ := row[0].(int64); number > lastSeen {
			ended = append(ended, row)
		}
	}
	if len(ended) > maxListedEnds {
		ended = ended[:maxListedEnds]
		w.cutReports++
	}
	return map[string]any{"clock_ms": w.clockMillis(), "born": w.startedAt.Load().UnixMilli(), "running": running, "ended": ended},
		len(ended), w.runEnded
}

// DoneTasksOfJob returns the number of runs of a job's tasks that ended as done
// on the worker.
func (w *Worker) DoneTasksOfJob(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for task, doneCount := range w.Done {
		if strings.HasPrefix(task, job+".") {
			total += doneCount
		}
	}
	return total
}
