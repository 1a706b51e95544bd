package workerstub

import (
	"bytes"
	"encoding/json"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/work"
)

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
