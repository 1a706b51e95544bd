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
	defaultStepsPerJob = 40
	stepDuration       = time.Second
)

// fakePool replaces all workers, the tasks on them and the instances that
// own them. It records every violation of the guarantees of this package.
type fakePool struct {
	mu     sync.Mutex
	random *rand.Rand
	// lossRate is the fraction of commands that are lost before or after they
	// take effect, and of tasks that are refused.
	lossRate float64
	// failureRate is the fraction of tasks that end with an error.
	failureRate float64
	quota       map[string]int64
	canceled    map[ident.JobID]bool
	tasks       map[ident.TaskID]*fakeTask
	refusedAt   map[ident.TaskID]time.Time
	// stepsPerJob is the number of steps that complete a job. A checkpoint
	// holds the number of completed steps.
	stepsPerJob int
	savedSteps  map[ident.JobID]int
	finishCount map[ident.JobID]int
	violations  []string
}

type fakeTask struct {
	state       work.TaskState
	job         ident.JobID
	resumedFrom int
	startedAt   time.Time
	savedSteps  int
	demand      resource.Vector
	// forgotten reports whether the worker lost the task in a restart.
	forgotten bool
}

func newFakePool(seed uint64) *fakePool {
	return &fakePool{
		random:      rand.New(rand.NewPCG(seed, 1)),
		tasks:       map[ident.TaskID]*fakeTask{},
		refusedAt:   map[ident.TaskID]time.Time{},
		savedSteps:  map[ident.JobID]int{},
		finishCount: map[ident.JobID]int{},
		canceled:    map[ident.JobID]bool{},
		stepsPerJob: defaultStepsPerJob,
	}
}

func jobOf(task ident.TaskID) ident.JobID {
	job, _, _ := strings.Cut(string(task), "/")
	return ident.JobID(job)
}

// updateProgress computes the steps that a running task has completed by now,
// and ends the task after the last step.
func (w *fakePool) updateProgress(task *fakeTask) {
	if task.state != work.TaskRunning {
		return
	}
	task.savedSteps = task.resumedFrom + int(time.Since(task.startedAt)/stepDuration)
	if task.savedSteps >= max(w.stepsPerJob, 1) {
		task.state = work.TaskFailed
		if w.random.Float64() >= w.failureRate {
			task.state = work.TaskSucceeded
			w.finishCount[task.job]++
		}
	}
}

func (w *fakePool) isRunning(job ident.JobID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runningTask(job) != nil
}

func (w *fakePool) timesFinished(job ident.JobID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runningTask(job)
	return w.finishCount[job]
}

func (w *fakePool) runningTask(job ident.JobID) *fakeTask {
	for _, task := range w.tasks {
		w.updateProgress(task)
		if task.job == job && task.state == work.TaskRunning {
			return task
		}
	}
	return nil
}

// evict stops the running attempt of a job and keeps its checkpoint.
func (w *fakePool) evict(job ident.JobID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if task := w.runningTask(job); task != nil {
		w.stopTask(task)
	}
}

// restart makes the worker forget the running attempt of a job.
func (w *fakePool) restart(job ident.JobID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if task := w.runningTask(job); task != nil {
		task.state = work.TaskUnknown
		task.forgotten = true
	}
}

// noteCanceled notes that a caller was told that a job is canceled.
func (w *fakePool) noteCanceled(job ident.JobID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.canceled[job] = true
	if w.runningTask(job) != nil {
		w.violations = append(w.violations, fmt.Sprintf("job %s runs after its cancellation", job))
	}
}

func (w *fakePool) stopTask(task *fakeTask) {
	task.state = work.TaskStopped
	w.savedSteps[task.job] = task.savedSteps
}

func (w *fakePool) losesCommand() bool { return w.random.Float64() < w.lossRate }

// Begin implements TaskRunner.
func (w *fakePool) Begin(ctx context.Context, task start.Task) (*start.Handle, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil || w.losesCommand() {
		return nil, fault.New(fault.WorkerLost, "before the start")
	}
	if w.remembersRefusal(task.ID) || w.tasks[task.ID] != nil {
		return nil, fault.New(fault.ResolvedNotRun, "task %s", task.ID)
	}
	if w.random.Float64() < w.lossRate {
		return nil, fault.New(fault.NoCapacity, "worker %s", task.Worker)
	}
	w.startTask(task)
	if w.losesCommand() {
		return nil, fault.New(fault.WorkerLost, "after the start")
	}
	return nil, nil
}

// remembersRefusal reports whether the owner still remembers that it refused a
// task. Like start.Runner, it remembers a refusal for two minutes.
func (w *fakePool) remembersRefusal(task ident.TaskID) bool {
	refusedAt, known := w.refusedAt[task]
	return known && time.Since(refusedAt) < 2*time.Minute
}

func (w *fakePool) startTask(task start.Task) {
	job := jobOf(task.ID)
	if w.runningTask(job) != nil {
		w.violations = append(w.violations, fmt.Sprintf("task %s starts while another attempt runs", task.ID))
	}
	if w.finishCount[job] > 0 {
		w.violations = append(w.violations, fmt.Sprintf("task %s starts after the job finished", task.ID))
	}
	if w.canceled[job] {
		w.violations = append(w.violations, fmt.Sprintf("task %s starts after the job was canceled", task.ID))
	}
	w.checkQuota(task)
	resumedFrom, _ := strconv.Atoi(string(task.Checkpoint))
	if resumedFrom != w.savedSteps[job] {
		w.violations = append(w.violations, fmt.Sprintf("task %s resumes from step %d instead of %d", task.ID, resumedFrom, w.savedSteps[job]))
	}
	w.tasks[task.ID] = &fakeTask{state: work.TaskRunning, job: job, resumedFrom: resumedFrom, savedSteps: resumedFrom, startedAt: time.Now(), demand: task.Demand}
}

// checkQuota records a violation if a start exceeds the quota of the team.
func (w *fakePool) checkQuota(started start.Task) {
	team, _, _ := strings.Cut(string(started.ID), ".")
	used := started.Demand.CPU
	for _, task := range w.tasks {
		w.updateProgress(task)
		if task.state == work.TaskRunning && strings.HasPrefix(string(task.job), team+".") {
			used += task.demand.CPU
		}
	}
	if limit := w.quota[team]; limit > 0 && used > limit {
		w.violations = append(w.violations, fmt.Sprintf("task %s raises the usage of team %s to %d, above its quota of %d", started.ID, team, used, limit))
	}
}

// Stop implements TaskRunner.
func (w *fakePool) Stop(_ context.Context, _ ident.WorkerID, id ident.TaskID) (worker.TaskReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task := w.tasks[id]
	if task == nil || task.forgotten || w.losesCommand() {
		return worker.TaskReport{}, fault.New(fault.WorkerLost, "task %s", id)
	}
	w.updateProgress(task)
	if task.state == work.TaskRunning {
		w.stopTask(task)
	}
	return w.report(task), nil
}

func (w *fakePool) report(task *fakeTask) worker.TaskReport {
	return worker.TaskReport{State: task.state, Checkpoint: []byte(strconv.Itoa(task.savedSteps)), Result: []byte("done")}
}

// Status implements TaskRunner.
func (w *fakePool) Status(_ context.Context, _ ident.WorkerID, id ident.TaskID) (start.TaskStatus, worker.TaskReport, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.losesCommand() {
		return start.TaskStatusUnknown, worker.TaskReport{}, fault.New(fault.WorkerLost, "task %s", id)
	}
	task := w.tasks[id]
	if task == nil {
		w.refusedAt[id] = time.Now()
		return start.TaskStatusNeverStarted, worker.TaskReport{}, nil
	}
	if task.forgotten {
		return start.TaskStatusUnknown, worker.TaskReport{}, fault.New(fault.TaskUnknownToWorker, "task %s", id)
	}
	w.updateProgress(task)
	if task.state == work.TaskRunning {
		return start.TaskStatusRunning, w.report(task), nil
	}
	return start.TaskStatusEnded, w.report(task), nil
}

// OnTaskEnd reports every task as followed but never calls over, so that the home
// has to learn of the end of a task by polling.
func (w *fakePool) OnTaskEnd(ident.WorkerID, ident.TaskID, func(worker.TaskReport)) bool { return true }
