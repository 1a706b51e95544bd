// Package workerstub stands in for a worker of the platform in tests.
//
// It times its leases itself, refuses a start under a lapsed lease, starts one
// task at most once under one lease and ends a task whose run lease lapses.
// It never refuses work for lack of room, as a real worker may not.
package workerstub

import (
	"bytes"
	"fmt"
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
	w.mu.Lock()
	defer w.mu.Unlock()
	w.update()
	for _, t := range w.running {
		w.stop(t)
	}
	w.clear()
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
	return locked(w, func() []Event { return slices.Clone(w.history) })
}

// Exceeded reports whether tasks ever held more than the capacity.
func (w *Worker) Exceeded() bool {
	return locked(w, func() bool { return w.exceeded })
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
		time.AfterFunc(loss.Delay, func() {
			locked(w, func() error { _, err := effect(); return err })
		})
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

// locked brings every task up to the present and then carries out effect.
func locked[T any](w *Worker, effect func() T) T {
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
