package workerstub

import (
	"bytes"
	"encoding/json"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/work"
)

// directive is a task body in JSON that tells the stub how to run the task.
type directive struct {
	// SleepMS is how long the task takes at full speed. If it is absent, the
	// Settings decide.
	SleepMS *int64 `json:"sleep_ms"`
	// ResultBytes is the size of the result.
	ResultBytes int `json:"answer_bytes"`
	// Fail ends the task with TaskFailed instead of TaskSucceeded.
	Fail bool `json:"fail"`
	// Steps divides the task into that many equal parts: a checkpoint saves the
	// progress up to the last complete part. 0 saves the exact progress.
	Steps int64 `json:"steps"`
}

// task is one run of a task. No timer drives it: its progress and state are
// brought up to date when they are read.
type task struct {
	command   worker.StartCommand
	directive directive
	state     work.TaskState
	result    []byte
	// checkpoint is the progress saved last, as a duration in JSON.
	checkpoint []byte
	// duration is the run time of the whole task at full speed, and progress the
	// part of it that is done.
	duration        time.Duration
	progress        time.Duration
	throttlePercent int64
	startedAt       time.Time
	endedAt         time.Time
	// updatedAt is the time up to which progress is computed.
	updatedAt   time.Time
	runLeaseEnd time.Time
}

// advanceAll brings the progress and the state of every running task up to the
// present. The caller must hold w.mu.
func (w *Worker) advanceAll() {
	now := time.Now()
	for _, t := range w.running {
		w.advance(t, now)
	}
}

// advance brings the task's progress up to now. If the task is complete or its
// run lease has expired by then, it ends the task as of the earlier of the two
// times.
func (w *Worker) advance(t *task, now time.Time) {
	if t.state != work.TaskRunning {
		return
	}
	end := t.updatedAt.Add((t.duration - t.progress) * 100 / time.Duration(t.throttlePercent))
	leaseExpired := t.runLeaseEnd.Before(end)
	if leaseExpired {
		end = t.runLeaseEnd
	}
	if now.Before(end) {
		t.progress += now.Sub(t.updatedAt) * time.Duration(t.throttlePercent) / 100
		t.updatedAt = now
		return
	}
	switch {
	case leaseExpired:
		w.endTask(t, work.TaskStopped, end)
	case t.directive.Fail || w.settings.FailAll:
		w.endTask(t, work.TaskFailed, end)
	default:
		w.endTask(t, work.TaskSucceeded, end)
	}
}

// stopTask ends the task now if it is running.
func (w *Worker) stopTask(t *task) {
	if t.state == work.TaskRunning {
		w.endTask(t, work.TaskStopped, time.Now())
	}
}

// endTask sets the task's final state and records its end in the history.
func (w *Worker) endTask(t *task, state work.TaskState, at time.Time) {
	t.state, t.endedAt = state, at
	delete(w.running, t.command.Task)
	w.history = append(w.history, Event{Task: t.command.Task, State: state, At: at})
}

// newTask returns the task of a start command. Its run time and its result come
// from the directive in the body if there is one, otherwise from the Settings; it
// resumes from the progress in the command's checkpoint.
func (w *Worker) newTask(command worker.StartCommand) *task {
	now := time.Now()
	t := &task{command: command, state: work.TaskRunning, throttlePercent: 100, startedAt: now, updatedAt: now, checkpoint: command.Checkpoint}
	t.runLeaseEnd = now.Add(command.RunLease)
	t.duration = w.settings.TaskDuration
	if command.Class == work.Urgent {
		t.duration = w.settings.UrgentTaskDuration
	}
	t.result = command.Body
	if parsed, found := parseDirective(command.Body); found {
		t.directive = parsed
		t.result = bytes.Repeat([]byte("x"), parsed.ResultBytes)
	} else if w.settings.Result != nil {
		t.result = w.settings.Result
	}
	if t.directive.SleepMS != nil {
		t.duration = time.Duration(*t.directive.SleepMS) * time.Millisecond
	}
	_ = json.Unmarshal(command.Checkpoint, &t.progress)
	return t
}

// parseDirective decodes the body as a directive. A JSON object with any field
// that a directive lacks counts as an ordinary body.
func parseDirective(body []byte) (parsed directive, found bool) {
	if !bytes.HasPrefix(body, []byte("{")) {
		return parsed, false
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if decoder.Decode(&parsed) != nil {
		return directive{}, false
	}
	return parsed, true
}

func (t *task) report() worker.TaskReport {
	report := worker.TaskReport{
		Task: t.command.Task, State: t.state, Service: t.command.Service, Class: t.command.Class,
		Demand: t.command.Demand, Checkpoint: t.checkpoint,
	}
	if t.state == work.TaskRunning {
		report.RunLeaseLeft = time.Until(t.runLeaseEnd)
	} else {
		report.Result = t.result
	}
	return report
}
