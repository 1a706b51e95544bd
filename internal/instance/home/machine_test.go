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
	// taskSteps is the work of one job; its checkpoint is the number of steps done.
	taskSteps = 40
	stepTime  = time.Second
)

// machine stands in for the owners of all workers and what runs there. It notes
// each breach of the guarantees.
type machine struct {
	mu     sync.Mutex
	random *rand.Rand
	// lose is the part of the replies that are lost, before or after the effect.
	lose float64
	// hold makes each start wait until it is closed, before it takes effect.
	tasks    map[ident.TaskID]*machineTask
	refused  map[ident.TaskID]bool
	saved    map[ident.JobID]int
	finished map[ident.JobID]int
	breaches []string
}

type machineTask struct {
	state work.TaskState
	job   ident.JobID
	from  int
	began time.Time
	saved int
}

func newMachine(seed uint64) *machine {
	return &machine{
		random:   rand.New(rand.NewPCG(seed, 1)),
		tasks:    map[ident.TaskID]*machineTask{},
		refused:  map[ident.TaskID]bool{},
		saved:    map[ident.JobID]int{},
		finished: map[ident.JobID]int{},
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
	if task.saved >= taskSteps {
		task.state = work.TaskSucceeded
		m.finished[task.job]++
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
	if m.refused[task.ID] || m.tasks[task.ID] != nil {
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

func (m *machine) begin(task start.Task) {
	job := jobOf(task.ID)
	if m.runningTask(job) != nil {
		m.breaches = append(m.breaches, fmt.Sprintf("%s starts while another attempt runs", task.ID))
	}
	if m.finished[job] > 0 {
		m.breaches = append(m.breaches, fmt.Sprintf("%s starts after the job finished", task.ID))
	}
	from, _ := strconv.Atoi(string(task.Checkpoint))
	if from != m.saved[job] {
		m.breaches = append(m.breaches, fmt.Sprintf("%s resumes from %d instead of %d", task.ID, from, m.saved[job]))
	}
	m.tasks[task.ID] = &machineTask{state: work.TaskRunning, job: job, from: from, saved: from, began: time.Now()}
}

// Stop implements Starts.
func (m *machine) Stop(_ context.Context, _ ident.WorkerID, id ident.TaskID) (worker.TaskReport, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	task := m.tasks[id]
	if task == nil || m.lost() {
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
func (m *machine) Status(_ context.Context, _ ident.WorkerID, id ident.TaskID) (Standing, worker.TaskReport, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lost() {
		return StandingUnknown, worker.TaskReport{}, nil
	}
	task := m.tasks[id]
	if task == nil {
		m.refused[id] = true
		return StandingNeverStarted, worker.TaskReport{}, nil
	}
	m.progress(task)
	if task.state == work.TaskRunning {
		return StandingRunning, m.report(task), nil
	}
	return StandingOver, m.report(task), nil
}
