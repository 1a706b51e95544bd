// Package workerstub emulates a worker of the platform for tests, in process or
// over HTTP, with faults that the tests inject.
//
// The stub measures its leases by its own clock, refuses a start under an expired
// lease, starts a task at most once under the same lease and ends a task whose
// run lease expires. It never refuses work for lack of free capacity, which a
// real worker is not allowed to do either; CapacityExceeded reports whether the
// tasks needed more.
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

// Settings control the behaviour of the stub. Tests can change them while it
// runs.
type Settings struct {
	// UrgentTaskDuration is the run time of an urgent task whose body sets no
	// sleep_ms.
	UrgentTaskDuration time.Duration `json:"service_time_ns"`
	// TaskDuration is the run time of any other task whose body sets no sleep_ms.
	TaskDuration time.Duration `json:"duration_ns"`
	// Result is the result of a task whose body is not a directive. If it is nil,
	// the result is the body.
	Result []byte `json:"answer,omitempty"`
	// UsageAge is the age of the measurement in a usage report.
	UsageAge time.Duration `json:"usage_age_ns"`
	// FeedInterval is the time between events of a feed.
	FeedInterval time.Duration `json:"feed_interval_ns"`
	// Capacity is compared with the demand of the running tasks to determine the
	// value of Worker.CapacityExceeded.
	Capacity resource.Vector `json:"capacity"`
	// Leaving makes the worker refuse new leases and starts.
	Leaving bool `json:"leaving"`
	// FailAll ends tasks with TaskFailed instead of TaskSucceeded.
	FailAll bool `json:"fail_all"`
	// Unreachable makes every command fail without taking effect.
	Unreachable bool `json:"unreachable"`
}

// ReplyLoss is a fault that drops the replies to the next commands of one kind.
type ReplyLoss struct {
	// Command is the name of the method of worker.WorkerClient, such as Start,
	// or GrantLease for RequestLease.
	Command string `json:"command"`
	// Count is the number of commands affected.
	Count int `json:"count"`
	// DropCommand drops the command too, so that it never takes effect.
	DropCommand bool `json:"before_effect"`
	// Delay is the time after which the command takes effect. The caller gets the
	// error for the lost reply at once.
	Delay time.Duration `json:"delay_ns"`
}

// Event is one start or end of a task in the worker's history. State is
// TaskRunning for a start and the final state for an end.
type Event struct {
	Task  ident.TaskID   `json:"task"`
	Lease ident.LeaseID  `json:"lease,omitempty"`
	State work.TaskState `json:"state"`
	At    time.Time      `json:"at"`
	// ResumedProgress is the progress in the checkpoint that a start resumed
	// from, as run time at full speed.
	ResumedProgress time.Duration `json:"from_ns,omitempty"`
	// Label is the first line of the body of a start, at most maxLabelBytes long.
	// Callers find their requests by it, because the system and not the caller
	// chooses the identifiers of tasks.
	Label string `json:"label,omitempty"`
}

// maxLabelBytes bounds the label of an event.
const maxLabelBytes = 64

func labelOf(body []byte) string {
	line, _, _ := bytes.Cut(body, []byte("\n"))
	return string(line[:min(len(line), maxLabelBytes)])
}

// Worker is an emulated worker. It implements worker.WorkerClient in memory,
// and http.Handler to serve that API over HTTP. It is safe for concurrent use.
type Worker struct {
	mu       sync.Mutex
	settings Settings
	losses   []*ReplyLoss
	// leases holds the time at which each lease expires.
	leases map[ident.LeaseID]time.Time
	// startKeys holds the pairs of start lease and task that were started, as
	// "lease task". It survives a Restart.
	startKeys map[string]bool
	// tasks holds the tasks since the last Restart, including those that have
	// ended.
	tasks map[ident.TaskID]*task
	// running holds only the tasks that have not ended, so that the cost of a
	// command does not grow with the number of tasks that the worker has run.
	running          map[ident.TaskID]*task
	history          []Event
	capacityExceeded bool
	mux              *http.ServeMux
}

var _ worker.WorkerClient = (*Worker)(nil)

// New returns a worker with no leases and no tasks.
func New() *Worker {
	w := &Worker{
		settings:  Settings{TaskDuration: time.Minute, FeedInterval: time.Second},
		startKeys: map[string]bool{},
	}
	w.resetState()
	w.mux = w.routes()
	return w
}

// resetState drops all leases and tasks.
func (w *Worker) resetState() {
	w.leases = map[ident.LeaseID]time.Time{}
	w.tasks = map[ident.TaskID]*task{}
	w.running = map[ident.TaskID]*task{}
}

// ChangeSettings calls change to edit the settings. The function must not call
// the worker.
func (w *Worker) ChangeSettings(change func(*Settings)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.settings)
}

// AddLoss adds a loss to those in force. Losses for the same command apply one
// after the other.
func (w *Worker) AddLoss(loss ReplyLoss) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.losses = append(w.losses, &loss)
}

// Restart emulates a restart of the worker: it stops every task and drops all
// leases and tasks. The history and the settings stay.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceAll()
	for _, t := range w.running {
		w.stopTask(t)
	}
	w.resetState()
}

// StartCount returns the number of times that a task was started.
func (w *Worker) StartCount(id ident.TaskID) int {
	starts := 0
	for _, event := range w.History() {
		if event.Task == id && event.State == work.TaskRunning {
			starts++
		}
	}
	return starts
}

// History returns the starts and ends of tasks so far, in the order in which the
// stub noticed them. It notices an end at the next command, so an Event.At may be
// before that of an earlier event.
func (w *Worker) History() []Event {
	return withLock(w, func() []Event { return slices.Clone(w.history) })
}

// CapacityExceeded reports whether the running tasks have ever needed more than
// the worker's capacity.
func (w *Worker) CapacityExceeded() bool {
	return withLock(w, func() bool { return w.capacityExceeded })
}

// runCommand executes one command under the lock and applies the faults in force
// to it.
func runCommand[T any](w *Worker, command string, execute func() (T, error)) (reply T, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.settings.Unreachable {
		return reply, fault.New(fault.WorkerUnreachable, "%s", command)
	}
	loss, lost := w.takeLoss(command)
	replyLost := fault.New(fault.WorkerLost, "the worker stub dropped the reply to %s", command)
	if loss.DropCommand {
		return reply, replyLost
	}
	if loss.Delay > 0 {
		time.AfterFunc(loss.Delay, func() {
			withLock(w, func() error { _, err := execute(); return err })
		})
		return reply, replyLost
	}
	w.advanceAll()
	reply, err = execute()
	if lost {
		var zeroReply T
		return zeroReply, replyLost
	}
	return reply, err
}

// takeLoss returns the first loss left for the command, and counts it down.
func (w *Worker) takeLoss(command string) (ReplyLoss, bool) {
	for _, loss := range w.losses {
		if loss.Command == command && loss.Count > 0 {
			loss.Count--
			return *loss, true
		}
	}
	return ReplyLoss{}, false
}

// withLock calls execute under the lock, after it has brought every task up to
// the present.
func withLock[T any](w *Worker, execute func() T) T {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceAll()
	return execute()
}

// empty is the body of a command without fields, and of a reply without any.
type empty struct{}

// runWithoutReply is runCommand for a command that returns only an error.
func (w *Worker) runWithoutReply(command string, execute func() error) error {
	_, err := runCommand(w, command, func() (empty, error) { return empty{}, execute() })
	return err
}

// startTask starts a task under the command's start lease. It refuses the start
// if the worker is leaving, if the lease has expired or if the task was already
// started under that lease.
func (w *Worker) startTask(command worker.StartCommand) (report worker.TaskReport, err error) {
	key := fmt.Sprintf("%s %s", command.StartLease, command.Task)
	switch {
	case w.settings.Leaving:
		return report, fault.New(fault.WorkerLeaving, "task %s not started because the worker is leaving", command.Task)
	case !time.Now().Before(w.leases[command.StartLease]):
		return report, fault.New(fault.LeaseExpired, "start lease %s has expired or is unknown", command.StartLease)
	case w.startKeys[key]:
		return report, fault.New(fault.WorkerRefused, "task %s was already started under the same lease", command.Task)
	}
	w.startKeys[key] = true
	t := w.newTask(command)
	w.tasks[command.Task] = t
	w.running[command.Task] = t
	w.history = append(w.history, Event{
		Task: command.Task, Lease: command.StartLease, State: work.TaskRunning, At: t.updatedAt, ResumedProgress: t.progress,
		Label: labelOf(command.Body),
	})
	w.recordExceeded()
	w.advance(t, t.updatedAt)
	return t.report(), nil
}

// recordExceeded sets capacityExceeded if the running tasks need more than the
// capacity.
func (w *Worker) recordExceeded() {
	var used resource.Vector
	for _, t := range w.running {
		used = used.Add(t.command.Demand)
	}
	w.capacityExceeded = w.capacityExceeded || !used.Fits(w.settings.Capacity)
}

// findTask returns the task of that identifier, or one in state TaskUnknown if
// the worker does not know it.
func (w *Worker) findTask(id ident.TaskID) *task {
	if t, found := w.tasks[id]; found {
		return t
	}
	return &task{command: worker.StartCommand{Task: id}}
}
