// Package workerstub stands in for a worker of the platform in tests.
//
// It times its leases itself, refuses a start under a lapsed lease, starts one
// task at most once under one lease and ends a task whose run lease lapses.
// It never refuses work for lack of room, as a real worker may not.
package workerstub

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
)

// Settings change the behaviour of the stand-in while it runs.
type Settings struct {
	// ServiceTime is how long an urgent call takes without a directive.
	ServiceTime time.Duration `json:"service_time_ns"`
	// Duration is how long any other task takes without a directive.
	Duration time.Duration `json:"duration_ns"`
	// Answer replaces the echo of a body that is no directive.
	Answer []byte `json:"answer,omitempty"`
	// UsageAge is how old usage reports are.
	UsageAge time.Duration `json:"usage_age_ns"`
	// FeedInterval is the time between events of a feed.
	FeedInterval time.Duration   `json:"feed_interval_ns"`
	Capacity     resource.Vector `json:"capacity"`
	Leaving      bool            `json:"leaving"`
	FailAll      bool            `json:"fail_all"`
	Unreachable  bool            `json:"unreachable"`
}

// Loss drops the reply to the next commands of one kind.
type Loss struct {
	// Command is the name of the API method.
	Command string `json:"command"`
	// Count is how many commands are affected.
	Count int `json:"count"`
	// BeforeEffect drops the command itself and not only its reply.
	BeforeEffect bool `json:"before_effect"`
	// Delay is how late the command takes effect. Its reply is lost at once.
	Delay time.Duration `json:"delay_ns"`
}

// Event is one start or end in the history of a task.
type Event struct {
	Task  ident.TaskID   `json:"task"`
	Lease ident.LeaseID  `json:"lease,omitempty"`
	State work.TaskState `json:"state"`
	At    time.Time      `json:"at"`
	// From is the work that a checkpoint had done before the start.
	From time.Duration `json:"from_ns,omitempty"`
	// Label is the first line of the body of a start, cut at labelBytes. Callers
	// use it to find their requests, whose tasks the system names.
	Label string `json:"label,omitempty"`
}

// labelBytes bounds the label of an event.
const labelBytes = 64

func labelOf(body []byte) string {
	line, _, _ := bytes.Cut(body, []byte("\n"))
	return string(line[:min(len(line), labelBytes)])
}

// directive is the part of a body that the stand-in obeys.
type directive struct {
	SleepMS     *int64 `json:"sleep_ms"`
	AnswerBytes int    `json:"answer_bytes"`
	Fail        bool   `json:"fail"`
	// Steps rounds checkpoints down to a number of equal parts.
	Steps int64 `json:"steps"`
}

// task is one run. Its progress is brought up to date when it is read.
type task struct {
	command  worker.StartCommand
	plan     directive
	state    work.TaskState
	result   []byte
	saved    []byte
	total    time.Duration
	done     time.Duration
	percent  int64
	began    time.Time
	ended    time.Time
	seen     time.Time
	runUntil time.Time
}

// Worker implements worker.API in memory and http.Handler around it.
type Worker struct {
	mu       sync.Mutex
	settings Settings
	losses   []*Loss
	leases   map[ident.LeaseID]time.Time
	started  map[string]bool
	tasks    map[ident.TaskID]*task
	// running holds the tasks that are not over, so that a command takes no
	// longer after many tasks than after few.
	running  map[ident.TaskID]*task
	history  []Event
	exceeded bool
	mux      *http.ServeMux
}

var _ worker.API = (*Worker)(nil)

// New returns a worker with no leases and no tasks.
func New() *Worker {
	w := &Worker{
		settings: Settings{Duration: time.Minute, FeedInterval: time.Second},
		started:  map[string]bool{},
	}
	w.clear()
	w.mux = w.routes()
	return w
}

func (w *Worker) clear() {
	w.leases = map[ident.LeaseID]time.Time{}
	w.tasks = map[ident.TaskID]*task{}
	w.running = map[ident.TaskID]*task{}
}

// Change edits the settings.
func (w *Worker) Change(edit func(*Settings)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	edit(&w.settings)
}

// Lose adds a loss of replies.
func (w *Worker) Lose(loss Loss) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.losses = append(w.losses, &loss)
}

// Restart ends every task and forgets tasks and leases.
func (w *Worker) Restart() {
	_, _ = locked(w, func() (none, error) {
		for _, t := range w.running {
			w.stop(t)
		}
		w.clear()
		return none{}, nil
	})
}

// Starts returns how often a task was started.
func (w *Worker) Starts(id ident.TaskID) int {
	starts := 0
	for _, event := range w.History() {
		if event.Task == id && event.State == work.TaskRunning {
			starts++
		}
	}
	return starts
}

// History returns the starts and ends so far in the order of their detection.
func (w *Worker) History() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update()
	return slices.Clone(w.history)
}

// Exceeded reports whether tasks ever held more than the capacity.
func (w *Worker) Exceeded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.exceeded
}

// update brings every task up to the present.
func (w *Worker) update() {
	now := time.Now()
	for _, t := range w.running {
		w.advance(t, now)
	}
}

// advance ends a task at its own end or that of its run lease.
func (w *Worker) advance(t *task, now time.Time) {
	if t.state != work.TaskRunning {
		return
	}
	end := t.seen.Add((t.total - t.done) * 100 / time.Duration(t.percent))
	lapsed := t.runUntil.Before(end)
	if lapsed {
		end = t.runUntil
	}
	if now.Before(end) {
		t.done += now.Sub(t.seen) * time.Duration(t.percent) / 100
		t.seen = now
		return
	}
	switch {
	case lapsed:
		w.end(t, work.TaskStopped, end)
	case t.plan.Fail || w.settings.FailAll:
		w.end(t, work.TaskErrored, end)
	default:
		w.end(t, work.TaskSucceeded, end)
	}
}

func (w *Worker) stop(t *task) {
	if t.state == work.TaskRunning {
		w.end(t, work.TaskStopped, time.Now())
	}
}

func (w *Worker) end(t *task, state work.TaskState, at time.Time) {
	t.state, t.ended = state, at
	delete(w.running, t.command.Task)
	w.history = append(w.history, Event{Task: t.command.Task, State: state, At: at})
}

// run carries out one command under the lock, with the faults that were set.
func run[T any](w *Worker, command string, effect func() (T, error)) (reply T, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.settings.Unreachable {
		return reply, fault.New(fault.WorkerUnreachable, "%s", command)
	}
	loss, lost := w.nextLoss(command)
	lostReply := fault.New(fault.WorkerLost, "the reply to %s is lost", command)
	if loss.BeforeEffect {
		return reply, lostReply
	}
	if loss.Delay > 0 {
		time.AfterFunc(loss.Delay, func() { _, _ = locked(w, effect) })
		return reply, lostReply
	}
	w.update()
	reply, err = effect()
	if lost {
		var nothing T
		return nothing, lostReply
	}
	return reply, err
}

func (w *Worker) nextLoss(command string) (Loss, bool) {
	for _, loss := range w.losses {
		if loss.Command == command && loss.Count > 0 {
			loss.Count--
			return *loss, true
		}
	}
	return Loss{}, false
}

func locked[T any](w *Worker, effect func() (T, error)) (T, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update()
	return effect()
}

type none struct{}

// do is run for a command without a reply.
func (w *Worker) do(command string, effect func() error) error {
	_, err := run(w, command, func() (none, error) { return none{}, effect() })
	return err
}

// GrantLease implements worker.API.
func (w *Worker) GrantLease(_ context.Context, lease ident.LeaseID, period time.Duration) error {
	return w.do("GrantLease", func() error {
		if w.settings.Leaving {
			return fault.New(fault.WorkerLeaving, "lease %s", lease)
		}
		if _, known := w.leases[lease]; known {
			return fault.New(fault.WorkerRefused, "lease %s was granted before", lease)
		}
		w.leases[lease] = time.Now().Add(period)
		return nil
	})
}

// RenewLease implements worker.API.
func (w *Worker) RenewLease(_ context.Context, lease ident.LeaseID, period time.Duration) error {
	return w.do("RenewLease", func() error {
		if !time.Now().Before(w.leases[lease]) {
			return fault.New(fault.LeaseLapsed, "lease %s", lease)
		}
		w.leases[lease] = time.Now().Add(period)
		return nil
	})
}

// Start implements worker.API.
func (w *Worker) Start(ctx context.Context, command worker.StartCommand) (worker.TaskReport, error) {
	report, err := run(w, "Start", func() (worker.TaskReport, error) { return w.begin(command) })
	if err != nil || command.Class != work.Urgent {
		return report, err
	}
	return w.await(ctx, command.Task)
}

// await waits until an urgent task is over, without any further loss.
func (w *Worker) await(ctx context.Context, id ident.TaskID) (worker.TaskReport, error) {
	for {
		t, _ := locked(w, func() (task, error) { return *w.find(id), nil })
		if t.state != work.TaskRunning {
			return t.report(), nil
		}
		select {
		case <-ctx.Done():
			return worker.TaskReport{}, fault.Wrap(fault.WorkerLost, ctx.Err(), "waiting for %s", id)
		case <-time.After(max(t.total-t.done, time.Millisecond)):
		}
	}
}

func (w *Worker) begin(command worker.StartCommand) (report worker.TaskReport, err error) {
	key := fmt.Sprintf("%s %s", command.StartLease, command.Task)
	switch {
	case w.settings.Leaving:
		return report, fault.New(fault.WorkerLeaving, "task %s", command.Task)
	case !time.Now().Before(w.leases[command.StartLease]):
		return report, fault.New(fault.LeaseLapsed, "lease %s", command.StartLease)
	case w.started[key]:
		return report, fault.New(fault.WorkerRefused, "task %s was started before", command.Task)
	}
	w.started[key] = true
	t := w.plan(command)
	w.tasks[command.Task] = t
	w.running[command.Task] = t
	w.history = append(w.history, Event{
		Task: command.Task, Lease: command.StartLease, State: work.TaskRunning, At: t.seen, From: t.done,
		Label: labelOf(command.Body),
	})
	w.measure()
	w.advance(t, t.seen)
	return t.report(), nil
}

func (w *Worker) plan(command worker.StartCommand) *task {
	now := time.Now()
	t := &task{command: command, state: work.TaskRunning, percent: 100, began: now, seen: now, saved: command.Checkpoint}
	t.runUntil = now.Add(command.RunLease)
	t.total = w.settings.Duration
	if command.Class == work.Urgent {
		t.total = w.settings.ServiceTime
	}
	t.result = command.Body
	if plan, found := parse(command.Body); found {
		t.plan = plan
		t.result = bytes.Repeat([]byte("x"), plan.AnswerBytes)
	} else if w.settings.Answer != nil {
		t.result = w.settings.Answer
	}
	if t.plan.SleepMS != nil {
		t.total = time.Duration(*t.plan.SleepMS) * time.Millisecond
	}
	_ = json.Unmarshal(command.Checkpoint, &t.done)
	return t
}

// parse reads a directive. An object with any other field is not one.
func parse(body []byte) (plan directive, found bool) {
	if !bytes.HasPrefix(body, []byte("{")) {
		return plan, false
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if decoder.Decode(&plan) != nil {
		return directive{}, false
	}
	return plan, true
}

// measure records whether the running tasks exceed the capacity.
func (w *Worker) measure() {
	var held resource.Vector
	for _, t := range w.running {
		held = held.Add(t.command.Demand)
	}
	w.exceeded = w.exceeded || !held.Fits(w.settings.Capacity)
}

func (w *Worker) find(id ident.TaskID) *task {
	if t, found := w.tasks[id]; found {
		return t
	}
	return &task{command: worker.StartCommand{Task: id}}
}

func (t *task) report() worker.TaskReport {
	report := worker.TaskReport{
		Task: t.command.Task, State: t.state, Service: t.command.Service, Class: t.command.Class,
		Demand: t.command.Demand, Checkpoint: t.saved,
	}
	if t.state == work.TaskRunning {
		report.RunLeaseLeft = time.Until(t.runUntil)
	} else {
		report.Result = t.result
	}
	return report
}

// Task implements worker.API.
func (w *Worker) Task(_ context.Context, id ident.TaskID) (worker.TaskReport, error) {
	return run(w, "Task", func() (worker.TaskReport, error) { return w.find(id).report(), nil })
}

// Inventory implements worker.API.
func (w *Worker) Inventory(context.Context) ([]worker.TaskReport, error) {
	return run(w, "Inventory", func() ([]worker.TaskReport, error) {
		reports := []worker.TaskReport{}
		for _, t := range w.running {
			reports = append(reports, t.report())
		}
		return reports, nil
	})
}

// RenewTasks implements worker.API.
func (w *Worker) RenewTasks(_ context.Context, ids []ident.TaskID, period time.Duration) ([]ident.TaskID, error) {
	return run(w, "RenewTasks", func() ([]ident.TaskID, error) {
		var missing []ident.TaskID
		for _, id := range ids {
			if t := w.find(id); t.state == work.TaskRunning {
				t.runUntil = time.Now().Add(period)
				continue
			}
			missing = append(missing, id)
		}
		return missing, nil
	})
}

// Throttle implements worker.API.
func (w *Worker) Throttle(_ context.Context, id ident.TaskID, percent int) error {
	return w.do("Throttle", func() error {
		w.find(id).percent = int64(max(percent, 1))
		return nil
	})
}

// Checkpoint implements worker.API.
func (w *Worker) Checkpoint(_ context.Context, id ident.TaskID) ([]byte, error) {
	return run(w, "Checkpoint", func() ([]byte, error) {
		t := w.find(id)
		if t.state != work.TaskRunning {
			return nil, fault.New(fault.NotFound, "task %s does not run", id)
		}
		saved := t.done
		if step := t.total / time.Duration(max(t.plan.Steps, 1)); t.plan.Steps > 0 && step > 0 {
			saved = saved / step * step
		}
		t.saved, _ = json.Marshal(saved)
		return t.saved, nil
	})
}

// Stop implements worker.API.
func (w *Worker) Stop(_ context.Context, id ident.TaskID) (worker.TaskReport, error) {
	return run(w, "Stop", func() (worker.TaskReport, error) {
		w.stop(w.find(id))
		return w.find(id).report(), nil
	})
}

// Usage implements worker.API.
func (w *Worker) Usage(context.Context) (worker.UsageReport, error) {
	return run(w, "Usage", func() (worker.UsageReport, error) {
		report := worker.UsageReport{Age: w.settings.UsageAge}
		measured := time.Now().Add(-report.Age)
		for id, t := range w.tasks {
			if !t.began.After(measured) && (t.state == work.TaskRunning || t.ended.After(measured)) {
				used := worker.Usage{Task: id, Service: t.command.Service, Used: t.command.Demand, Slowdown: 1000}
				report.Tasks = append(report.Tasks, used)
			}
		}
		return report, nil
	})
}

// Feed implements worker.API. Events continue after a position until ctx ends.
func (w *Worker) Feed(ctx context.Context, feed string, from uint64) (io.ReadCloser, error) {
	interval, err := run(w, "Feed", func() (time.Duration, error) { return w.settings.FeedInterval, nil })
	if err != nil {
		return nil, err
	}
	reader, writer := io.Pipe()
	go func() {
		defer writer.Close()
		for position := from + 1; ctx.Err() == nil; position++ {
			if _, err := fmt.Fprintf(writer, "{\"feed\":%q,\"position\":%d}\n", feed, position); err != nil {
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(interval):
			}
		}
	}()
	return reader, nil
}
