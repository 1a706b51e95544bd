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
func (p *fakePool) updateProgress(task *fakeTask) {
	if task.state != work.TaskRunning {
		return
	}
	task.savedSteps = task.resumedFrom + int(time.Since(task.startedAt)/stepDuration)
	if task.savedSteps >= max(p.stepsPerJob, 1) {
		task.state = work.TaskFailed
		if p.random.Float64() >= p.failureRate {
			task.state = work.TaskSucceeded
			p.finishCount[task.job]++
		}
	}
}

func (p *fakePool) isRunning(job ident.JobID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runningTask(job) != nil
}

func (p *fakePool) timesFinished(job ident.JobID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runningTask(job)
	return p.finishCount[job]
}

func (p *fakePool) runningTask(job ident.JobID) *fakeTask {
	for _, task := range p.tasks {
		p.updateProgress(task)
		if task.job == job && task.state == work.TaskRunning {
			return task
		}
	}
	return nil
}

// evict stops the running attempt of a job and keeps its checkpoint.
func (p *fakePool) evict(job ident.JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if task := p.runningTask(job); task != nil {
		p.stopTask(task)
	}
}

// restart makes the worker forget the running attempt of a job.
func (p *fakePool) restart(job ident.JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if task := p.runningTask(job); task != nil {
		task.state = work.TaskUnknown
		task.forgotten = true
	}
}

// noteCanceled notes that a caller was told that a job is canceled.
func (p *fakePool) noteCanceled(job ident.JobID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.canceled[job] = true
	if p.runningTask(job) != nil {
		p.violations = append(p.violations, fmt.Sprintf("job %s runs after its cancellation", job))
	}
}

func (p *fakePool) stopTask(task *fakeTask) {
	task.state = work.TaskStopped
	p.savedSteps[task.job] = task.savedSteps
}

func (p *fakePool) losesCommand() bool { return p.random.Float64() < p.lossRate }

// Start implements TaskRunner.
func (p *fakePool) Start(ctx context.Context, task start.Task) (*start.Handle, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.Err() != nil || p.losesCommand() {
		return nil, fault.New(fault.WorkerLost, "before the start")
	}
	if p.remembersRefusal(task.ID) || p.tasks[task.ID] != nil {
		return nil, fault.New(fault.ResolvedNotRun, "task %s", task.ID)
	}
	if p.random.Float64() < p.lossRate {
		return nil, fault.New(fault.NoCapacity, "worker %s", task.Worker)
	}
	p.startTask(task)
	if p.losesCommand() {
		return nil, fault.New(fault.WorkerLost, "after the start")
	}
	return nil, nil
}

// remembersRefusal reports whether the owner still remembers that it refused a
// task. Like start.Runner, it remembers a refusal for two minutes.
func (p *fakePool) remembersRefusal(task ident.TaskID) bool {
	refusedAt, known := p.refusedAt[task]
	return known && time.Since(refusedAt) < 2*time.Minute
}

func (p *fakePool) startTask(task start.Task) {
	job := jobOf(task.ID)
	if p.runningTask(job) != nil {
		p.violations = append(p.violations, fmt.Sprintf("task %s starts while another attempt runs", task.ID))
	}
	if p.finishCount[job] > 0 {
		p.violations = append(p.violations, fmt.Sprintf("task %s starts after the job finished", task.ID))
	}
	if p.canceled[job] {
		p.violations = append(p.violations, fmt.Sprintf("task %s starts after the job was canceled", task.ID))
	}
	p.checkQuota(task)
	resumedFrom, _ := strconv.Atoi(string(task.Checkpoint))
	if resumedFrom != p.savedSteps[job] {
		p.violations = append(p.violations, fmt.Sprintf("task %s resumes from step %d instead of %d", task.ID, resumedFrom, p.savedSteps[job]))
	}
	p.tasks[task.ID] = &fakeTask{state: work.TaskRunning, job: job, resumedFrom: resumedFrom, savedSteps: resumedFrom, startedAt: time.Now(), demand: task.Demand}
}

// checkQuota records a violation if a start exceeds the quota of the team.
func (p *fakePool) checkQuota(started start.Task) {
	team, _, _ := strings.Cut(string(started.ID), ".")
	used := started.Demand.CPU
	for _, task := range p.tasks {
		p.updateProgress(task)
		if task.state == work.TaskRunning && strings.HasPrefix(string(task.job), team+".") {
			used += task.demand.CPU
		}
	}
	if limit := p.quota[team]; limit > 0 && used > limit {
		p.violations = append(p.violations, fmt.Sprintf("task %s raises the usage of team %s to %d, above its quota of %d", started.ID, team, used, limit))
	}
}

// Stop implements TaskRunner.
func (p *fakePool) Stop(_ context.Context, _ ident.WorkerID, id ident.TaskID) (worker.TaskReport, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	task := p.tasks[id]
	if task == nil || task.forgotten || p.losesCommand() {
		return worker.TaskReport{}, fault.New(fault.WorkerLost, "task %s", id)
	}
	p.updateProgress(task)
	if task.state == work.TaskRunning {
		p.stopTask(task)
	}
	return p.report(task), nil
}

func (p *fakePool) report(task *fakeTask) worker.TaskReport {
	return worker.TaskReport{State: task.state, Checkpoint: []byte(strconv.Itoa(task.savedSteps)), Result: []byte("done")}
}

// Status implements TaskRunner.
func (p *fakePool) Status(_ context.Context, _ ident.WorkerID, id ident.TaskID) (start.TaskStatus, worker.TaskReport, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.losesCommand() {
		return start.TaskStatusUnknown, worker.TaskReport{}, fault.New(fault.WorkerLost, "task %s", id)
	}
	task := p.tasks[id]
	if task == nil {
		p.refusedAt[id] = time.Now()
		return start.TaskStatusNeverStarted, worker.TaskReport{}, nil
	}
	if task.forgotten {
		return start.TaskStatusUnknown, worker.TaskReport{}, fault.New(fault.TaskUnknownToWorker, "task %s", id)
	}
	p.updateProgress(task)
	if task.state == work.TaskRunning {
		return start.TaskStatusRunning, p.report(task), nil
	}
	return start.TaskStatusEnded, p.report(task), nil
}

// OnTaskEnd reports every task as tracked but never calls back, so that the
// home has to learn of the end of a task by polling.
func (p *fakePool) OnTaskEnd(ident.WorkerID, ident.TaskID, func(worker.TaskReport)) bool { return true }
