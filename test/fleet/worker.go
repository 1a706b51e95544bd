package fleet

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// Worker emulates one worker. It runs each task for its set time.
type Worker struct {
	ID     string
	Pool   string
	Work   time.Duration
	server *httptest.Server
	began  time.Time

	mu      sync.Mutex
	token   int64
	lease   int64
	runs    map[string]*workerRun
	ended   [][]any
	number  int64
	highest map[string]int64
	changed chan struct{}
	// Started and Done count how often each task was started and ended as done.
	Started map[string]int
	Done    map[string]int
	shared  *Shared
	// loseAnswers is the number of starts that are carried out without an
	// answer.
	loseAnswers int
	// adviser checks the tickets of starts; nil checks none.
	adviser *Adviser
}

// CheckTickets makes the worker reject starts without a ticket of the service.
func (w *Worker) CheckTickets(a *Adviser) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.adviser = a
}

// Shared notices what the workers of a test do together.
type Shared struct {
	mu       sync.Mutex
	running  map[string]int
	Overlaps []string
}

// NewShared returns a value for all workers of a test.
func NewShared() *Shared { return &Shared{running: map[string]int{}} }

func (s *Shared) change(task string, by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[task] += by
	if s.running[task] > 1 {
		s.Overlaps = append(s.Overlaps, task)
	}
}

// Seen returns the tasks that ran in two places at once.
func (s *Shared) Seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Overlaps
}

type workerRun struct {
	run   int64
	timer *time.Timer
}

// NewWorker starts a worker.
func NewWorker(id, pool string, work time.Duration, shared *Shared) *Worker {
	w := &Worker{ID: id, Pool: pool, Work: work, began: time.Now(), runs: map[string]*workerRun{},
		highest: map[string]int64{}, changed: make(chan struct{}), shared: shared,
		Started: map[string]int{}, Done: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.start)
	mux.HandleFunc("POST /-/run-stop", w.stop)
	mux.HandleFunc("POST /-/hold", w.hold)
	w.server = httptest.NewServer(mux)
	return w
}

// Close stops the worker.
func (w *Worker) Close() {
	w.server.CloseClientConnections()
	w.server.Close()
}

// LoseAnswers carries out the next count starts without an answer.
func (w *Worker) LoseAnswers(count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseAnswers = count
}

// Finished returns how often a task ended as done.
func (w *Worker) Finished(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Done[task]
}

// Entry is what the worker registers.
func (w *Worker) Entry() []byte {
	// The map holds only types that can be encoded.
	encoded, _ := json.Marshal(map[string]any{
		"service": w.Pool, "address": w.server.Listener.Addr().String(), "zone": "z1", "state": "ready",
		"capacity": map[string]int{"cpu": 16000, "mem_mb": 64000}, "labels": []string{"a", "r1-1"},
		"born": w.began.UnixMilli(), "sequence": 1,
	})
	return encoded
}

type workerOrder struct {
	Task   string `json:"task"`
	Run    int64  `json:"run_id"`
	Until  int64  `json:"deadline_ms"`
	Token  int64  `json:"fencing_token"`
	Seen   int64  `json:"last_seen"`
	Wait   int64  `json:"wait_ms"`
	Ticket string `json:"ticket"`
}

func (w *Worker) clock() int64 { return time.Since(w.began).Milliseconds() + 1000 }

// accept decodes an order, checks its token and takes its lease. It returns
// false if the order was answered.
func (w *Worker) accept(rw http.ResponseWriter, r *http.Request) (workerOrder, bool) {
	var order workerOrder
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
	if order.Token < w.token {
		answer(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": "fence"})
		return order, false
	}
	w.token = order.Token
	w.lease = max(w.lease, order.Until)
	return order, true
}

func (w *Worker) start(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.accept(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	if w.adviser != nil && !w.adviser.takes(order.Task, w.ID, order.Ticket) {
		w.mu.Unlock()
		answer(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": "ticket"})
		return
	}
	known := w.runs[order.Task]
	refuse := known != nil && known.run != order.Run || known == nil && order.Run <= w.highest[order.Task]
	if !refuse && known == nil {
		w.begin(order)
	}
	lose := w.loseAnswers > 0
	if lose {
		w.loseAnswers--
	}
	w.mu.Unlock()
	switch {
	case lose:
		panic(http.ErrAbortHandler) // Ends the connection without an answer.
	case refuse:
		answer(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": "old"})
	default:
		answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
	}
}

// begin starts a run. The caller holds the lock.
func (w *Worker) begin(order workerOrder) {
	w.Started[order.Task]++
	w.shared.change(order.Task, 1)
	run := &workerRun{run: order.Run}
	run.timer = time.AfterFunc(w.Work, func() { w.end(order.Task, order.Run, "done") })
	w.runs[order.Task] = run
}

func (w *Worker) end(task string, number int64, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	run := w.runs[task]
	if run == nil || run.run != number {
		return
	}
	run.timer.Stop()
	delete(w.runs, task)
	w.shared.change(task, -1)
	w.highest[task] = max(w.highest[task], number)
	w.number++
	w.ended = append(w.ended, []any{w.number, task, number, how, ""})
	if how == "done" {
		w.Done[task]++
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.accept(rw, r)
	if !ok {
		return
	}
	w.mu.Lock()
	w.highest[order.Task] = max(w.highest[order.Task], order.Run)
	w.mu.Unlock()
	w.end(order.Task, order.Run, "stopped")
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request) {
	order, ok := w.accept(rw, r)
	if !ok {
		return
	}
	deadline := time.After(time.Duration(order.Wait) * time.Millisecond)
	for waiting := order.Wait > 0; ; {
		reply, ends, changed := w.report(order.Seen)
		if ends > 0 || !waiting {
			answer(rw, http.StatusOK, reply)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// report returns the answer to a hold, the number of ends in it, and what is
// closed at the next end.
func (w *Worker) report(seen int64) (reply map[string]any, ends int, changed chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for task, run := range w.runs {
		running = append(running, []any{task, run.run, "", 50, 100})
	}
	for _, row := range w.ended {
		if number, _ := row[0].(int64); number > seen {
			ended = append(ended, row)
		}
	}
	return map[string]any{"clock_ms": w.clock(), "born": w.began.UnixMilli(), "running": running, "ended": ended},
		len(ended), w.changed
}

// TasksOf returns how many tasks of a job were done on the worker.
func (w *Worker) TasksOf(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := 0
	for task, times := range w.Done {
		if strings.HasPrefix(task, job+".") {
			count += times
		}
	}
	return count
}
