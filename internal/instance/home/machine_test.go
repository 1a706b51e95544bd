package home

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/start"
)

var testCapacity = resource.Vector{CPU: 4000, Memory: 8192, Slots: 4, Connections: 8}

const (
	taskSteps = 40
	stepTime  = time.Second
)

// machine stands in for the owners of all workers and what runs there. It notes
// each breach of the guarantees.
type machine struct {
	mu     sync.Mutex
	random *rand.Rand
	// lose is the part of the commands that are lost before or after their
	// effect, and of the tasks that are refused.
	lose float64
	// fail is the part of the tasks that fail at their end.
	fail     float64
	quota    map[string]int64
	canceled map[ident.JobID]bool
	tasks    map[ident.TaskID]*machineTask
	refused  map[ident.TaskID]time.Time
	// steps is the work of one job; its checkpoint is the number of steps done.
	steps    int
	saved    map[ident.JobID]int
	finished map[ident.JobID]int
	breaches []string
}

type machineTask struct {
	state  work.TaskState
	job    ident.JobID
	from   int
	began  time.Time
	saved  int
	demand resource.Vector
	// forgotten is whether the worker lost the task when it restarted.
	forgotten bool
}

func newMachine(seed uint64) *machine {
	return &machine{
		random:   rand.New(rand.NewPCG(seed, 1)),
		tasks:    map[ident.TaskID]*machineTask{},
		refused:  map[ident.TaskID]time.Time{},
		saved:    map[ident.JobID]int{},
		finished: map[ident.JobID]int{},
		canceled: map[ident.JobID]bool{},
		steps:    taskSteps,
	}
}

func jobOf(task ident.TaskID) ident.JobID {
	job, _, _ := strings.Cut(string(task), "/")
	return ident.JobID(job)
}

// progress brings a running task up to date.
func (m *machine) progress(task *machineTask) {
	if task.state != work.TaskRunning {
		return
	}
	task.saved = task.from + int(time.Since(task.began)/stepTime)
	if task.saved >= max(m.steps, 1) {
		task.state = work.TaskErrored
		if m.random.Float64() >= m.fail {
			task.state = work.TaskSucceeded
			m.finished[task.job]++
		}
	}
}

func (m *machine) runs(job ident.JobID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.runningTask(job) != nil
}

func (m *machine) finishedCount(job ident.JobID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.runningTask(job)
	return m.finished[job]
}

func (m *machine) runningTask(job ident.JobID) *machineTask {
	for _, task := range m.tasks {
		m.progress(task)
		if task.job == job && task.state == work.TaskRunning {
			return task
		}
	}
	return nil
}

// evict stops a running attempt of a job and keeps its checkpoint.
func (m *machine) evict(job ident.JobID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if task := m.runningTask(job); task != nil {
		m.end(task)
	}
}

// restart makes a worker forget a running attempt of a job.
func (m *machine) restart(job ident.JobID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if task := m.runningTask(job); task != nil {
		task.state = work.TaskUnknown
		task.forgotten = true
	}
}

// noteCanceled notes that a caller was told of the end of a job.
func (m *machine) noteCanceled(job ident.JobID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.canceled[job] = true
	if m.runningTask(job) != nil {
		m.breaches = append(m.breaches, fmt.Sprintf("%s runs after its cancellation", job))
	}
}

func (m *machine) end(task *machineTask) {
	task.state = work.TaskStopped
	m.saved[task.job] = task.saved
}

func (m *machine) lost() bool { return m.random.Float64() < m.lose }

// Begin implements Starts.
func (m *machine) Begin(ctx context.Context, task start.Task) (*start.Handle, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil || m.lost() {
		return nil, fault.New(fault.WorkerLost, "before the start")
	}
	if m.refuses(task.ID) || m.tasks[task.ID] != nil {
		return nil, fault.New(fault.Resolved, "task %s", task.ID)
	}
	if m.random.Float64() < m.lose {
		return nil, fault.New(fault.NoCapacity, "worker %s", task.Worker)
	}
	m.begin(task)
	if m.lost() {
		return nil, fault.New(fault.WorkerLost, "after the start")
	}
	return nil, nil
}

// refuses reports whether the owner still remembers that it refused a task, as
// start.Runner does for two minutes.
func (m *machine) refuses(task ident.TaskID) bool {
	at, known := m.refused[task]
	return known && time.Since(at) < 2*time.Minute
}

func (m *machine) begin(task start.Task) {
	job := jobOf(task.ID)
	if m.runningTask(job) != nil {
		m.breaches = append(m.breaches, fmt.Sprintf("%s starts while another attempt runs", task.ID))
	}
	if m.finished[job] > 0 {
		m.breaches = append(m.breaches, fmt.Sprintf("%s starts after the job finished", task.ID))
	}
	if m.canceled[job] {
		m.breaches = append(m.breaches, fmt.Sprintf("%s starts after its cancellation", task.ID))
	}
	m.checkQuota(task)
	from, _ := strconv.Atoi(string(task.Checkpoint))
	if from != m.saved[job] {
		m.breaches = append(m.breaches, fmt.Sprintf("%s resumes from %d instead of %d", task.ID, from, m.saved[job]))
	}
	m.tasks[task.ID] = &machineTask{state: work.TaskRunning, job: job, from: from, saved: from, began: time.Now(), demand: task.Demand}
}

// checkQuota notes a start that exceeds the quota of its team.
func (m *machine) checkQuota(started start.Task) {
	team, _, _ := strings.Cut(string(started.ID), ".")
	used := started.Demand.CPU
	for _, task := range m.tasks {
		m.progress(task)
		if task.state == work.TaskRunning && strings.HasPrefix(string(task.job), team+".") {
			used += task.demand.CPU
		}
	}
	if limit := m.quota[team]; limit > 0 && used > limit {
		m.breaches = append(m.breaches, fmt.Sprintf("%s takes team %s to %d of %d", started.ID, team, used, limit))
	}
}

// Stop implements Starts.
func (m *machine) Stop(_ context.Context, _ ident.WorkerID, id ident.TaskID) (worker.TaskReport, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	task := m.tasks[id]
	if task == nil || task.forgotten || m.lost() {
		return worker.TaskReport{}, fault.New(fault.WorkerLost, "task %s", id)
	}
	m.progress(task)
	if task.state == work.TaskRunning {
		m.end(task)
	}
	return m.report(task), nil
}

func (m *machine) report(task *machineTask) worker.TaskReport {
	return worker.TaskReport{State: task.state, Checkpoint: []byte(strconv.Itoa(task.saved)), Result: []byte("done")}
}

// Status implements Starts.
func (m *machine) Status(_ context.Context, _ ident.WorkerID, id ident.TaskID) (start.Standing, worker.TaskReport, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lost() {
		return start.StandingUnknown, worker.TaskReport{}, fault.New(fault.WorkerLost, "task %s", id)
	}
	task := m.tasks[id]
	if task == nil {
		m.refused[id] = time.Now()
		return start.StandingNeverStarted, worker.TaskReport{}, nil
	}
	if task.forgotten {
		return start.StandingUnknown, worker.TaskReport{}, fault.New(fault.TaskForgotten, "task %s", id)
	}
	m.progress(task)
	if task.state == work.TaskRunning {
		return start.StandingRunning, m.report(task), nil
	}
	return start.StandingOver, m.report(task), nil
}

// Watch pretends to follow each task, so that the home learns ends by asking.
func (m *machine) Watch(ident.WorkerID, ident.TaskID, func(worker.TaskReport)) bool { return true }
