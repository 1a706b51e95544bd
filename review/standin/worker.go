//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxHold    = 6000
	endsListed = 500
	heartbeat  = 1500 * time.Millisecond
	// forgottenAfter is the silence after which the store drops a worker's entry.
	forgottenAfter = 3 * heartbeat
)

// worker stands in for one backend server. It starts whatever it is told to start.
type worker struct {
	fleet      *fleet
	address    string
	cpu, mem   int
	rack       string
	server     *http.Server
	mu         sync.Mutex
	id         string
	up         bool
	born       time.Time
	sequence   int
	fence      int64
	leaseEnd   int64
	leaseTimer *time.Timer
	runs       map[string]*run
	highest    map[string]int64
	ends       []end
	lastEnd    int64
	changed    chan struct{}
}

type run struct {
	task    string
	number  int64
	began   time.Time
	lasts   time.Duration
	timer   *time.Timer
	history *runHistory
}

type end struct {
	number int64
	run    *run
	how    string
}

// fleet is all workers, with the history of all runs.
type fleet struct {
	store   *store
	record  *recorder
	pool    string
	workers []*worker
	// duration returns how long a run of a task takes.
	duration func(task string) time.Duration

	mu      sync.Mutex
	nextID  int
	history map[string][]*runHistory
}

// runHistory is what the workers know of one run.
type runHistory struct {
	worker string
	number int64
	began  time.Time
	ended  time.Time
	how    string
	// notedAt is when an order acknowledged the end.
	notedAt time.Time
}

func (f *fleet) newID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	return fmt.Sprintf("i-%08x", f.nextID*7919)
}

func (f *fleet) add(cpu, mem int, rack string) *worker {
	w := &worker{fleet: f, cpu: cpu, mem: mem, rack: rack}
	w.boot()
	f.workers = append(f.workers, w)
	go func() {
		for range time.Tick(heartbeat) {
			w.beat()
		}
	}()
	return w
}

// boot begins a life of the worker: a new id at the same address.
func (w *worker) boot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	check(err)
	w.address = listener.Addr().String()
	w.id, w.up, w.born = w.fleet.newID(), true, time.Now()
	w.sequence, w.fence, w.leaseEnd, w.lastEnd = 0, 0, 0, 0
	w.runs, w.highest, w.ends = map[string]*run{}, map[string]int64{}, nil
	w.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /-/hold", w.hold)
	mux.HandleFunc("POST /-/run-start", w.start)
	mux.HandleFunc("POST /-/run-stop", w.stop)
	mux.HandleFunc("POST /-/pace", w.pace)
	w.server = &http.Server{Handler: mux}
	go w.server.Serve(listener)
	w.fleet.record.add("worker %s: up at %s", w.id, w.address)
	w.beatLocked()
}

func (w *worker) beat() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		w.beatLocked()
	}
}

func (w *worker) beatLocked() {
	if w.fleet.store.down.Load() {
		return
	}
	w.sequence++
	w.fleet.store.put("keyed.servers", w.id, map[string]any{
		"service": w.fleet.pool, "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "labels": []string{"a", w.rack},
		"clock_ms": w.clock(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	})
}

// crash ends the worker and all that runs on it. Its entry goes after three heartbeats.
func (w *worker) crash() {
	w.mu.Lock()
	id := w.id
	w.up = false
	for key, r := range w.runs {
		r.timer.Stop()
		w.fleet.ended(r, "crash")
		delete(w.runs, key)
	}
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	server := w.server
	w.mu.Unlock()
	server.Close()
	w.fleet.record.add("worker %s: crashes", id)
	time.AfterFunc(forgottenAfter, func() { w.fleet.store.put("keyed.servers", id, nil) })
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run_id"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "reason": reason})
}

// take decodes an order, checks whom it is for, its token and its deadline. If it returns
// true, the caller holds w.mu.
func (w *worker) take(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	w.mu.Lock()
	expected := r.Header.Get("Poplarvalve-Expect-Instance")
	switch {
	case !w.up:
	case expected != "" && expected != w.id:
		reply(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
	case o.Token < w.fence:
		w.refuse(rw, "fence")
	default:
		w.fence = o.Token
		return o, true
	}
	w.mu.Unlock()
	return o, false
}

func (w *worker) extend(deadline int64) {
	deadline = min(deadline, w.clock()+maxHold)
	if deadline <= w.leaseEnd {
		return
	}
	w.leaseEnd = deadline
	if w.leaseTimer != nil {
		w.leaseTimer.Stop()
	}
	w.leaseTimer = time.AfterFunc(time.Duration(deadline-w.clock())*time.Millisecond, w.lapse)
}

func (w *worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.clock() < w.leaseEnd {
		return
	}
	for _, r := range w.runs {
		w.finish(r, "lapsed")
	}
}

func key(task string, number int64) string { return fmt.Sprint(task, "/", number) }

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if o.Deadline <= w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.extend(o.Deadline)
	switch {
	case w.runs[key(o.Task, o.Run)] != nil:
	case o.Run <= w.highest[o.Task]:
		w.refuse(rw, "old")
		return
	default:
		started := &run{task: o.Task, number: o.Run, began: time.Now(), lasts: w.fleet.duration(o.Task)}
		started.history = w.fleet.began(w, started)
		w.runs[key(o.Task, o.Run)] = started
		started.timer = time.AfterFunc(started.lasts, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.runs[key(o.Task, o.Run)] == started {
				w.finish(started, "done")
			}
		})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

// finish ends a run that is listed as running. The caller must hold w.mu.
func (w *worker) finish(r *run, how string) {
	r.timer.Stop()
	delete(w.runs, key(r.task, r.number))
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r, how})
	w.fleet.ended(r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if stopped := w.runs[key(o.Task, o.Run)]; stopped != nil {
		w.finish(stopped, "stopped")
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *worker) pace(rw http.ResponseWriter, r *http.Request) {
	if _, ok := w.take(rw, r); ok {
		defer w.mu.Unlock()
		reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
	}
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.take(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		w.fleet.noted(w.ends[0].run)
		w.ends = w.ends[1:]
	}
	deadline := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
		if !w.up {
			return
		}
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		percent := min(99, int(100*time.Since(r.began)/r.lasts))
		running = append(running, []any{r.task, r.number, "", percent, 100})
	}
	for _, e := range w.ends[:min(len(w.ends), endsListed)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.number, e.how, ""})
	}
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended": ended})
}

func (f *fleet) began(w *worker, r *run) *runHistory {
	f.record.add("worker %s: starts %s run %d", w.id, r.task, r.number)
	f.mu.Lock()
	defer f.mu.Unlock()
	h := &runHistory{worker: w.id, number: r.number, began: time.Now()}
	f.history[r.task] = append(f.history[r.task], h)
	return h
}

func (f *fleet) ended(r *run, how string) {
	f.record.add("worker %s: %s run %d ends %s", r.history.worker, r.task, r.number, how)
	f.mu.Lock()
	defer f.mu.Unlock()
	r.history.ended, r.history.how = time.Now(), how
}

func (f *fleet) noted(r *run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.history.notedAt = time.Now()
}

// running returns the number of runs of all workers.
func (f *fleet) running() int {
	count := 0
	for _, w := range f.workers {
		w.mu.Lock()
		count += len(w.runs)
		w.mu.Unlock()
	}
	return count
}

// twice returns the violations of the rule TWICE for tasks of steps that aren't speculative:
// two runs of a task at the same time, or a start after a run has ended done whose end was
// taken note of then or later.
func (f *fleet) twice() (found []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for task, runs := range f.history {
		for i, earlier := range runs {
			for _, later := range runs[i+1:] {
				switch {
				case earlier.ended.IsZero() || later.began.Before(earlier.ended):
					found = append(found, fmt.Sprintf("%s: run %d on %s began while run %d on %s was running", task, later.number, later.worker, earlier.number, earlier.worker))
				case earlier.how == "done" && !earlier.notedAt.IsZero():
					found = append(found, fmt.Sprintf("%s: run %d on %s began %d ms after run %d on %s had ended done; that end was taken note of %d ms after it",
						task, later.number, later.worker, later.began.Sub(earlier.ended).Milliseconds(), earlier.number, earlier.worker, earlier.notedAt.Sub(earlier.ended).Milliseconds()))
				}
			}
		}
	}
	return found
}
