package main

import (
	"bytes"
	"fmt"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/test/cluster"
	"poplarvalve/test/workerstub"
)

// workerRuns is what one worker says it ran.
type workerRuns struct {
	worker   string
	events   []workerstub.Event
	exceeded bool
}

// taskRun is one start of a task and its end. A task that still runs has a zero
// end.
type taskRun struct {
	worker string
	task   ident.TaskID
	from   time.Time
	to     time.Time
	state  work.TaskState
}

// runsByLabel joins the starts and ends of the tasks of each label.
func runsByLabel(workers []workerRuns) map[string][]*taskRun {
	byLabel := map[string][]*taskRun{}
	for _, w := range workers {
		open := map[ident.TaskID]*taskRun{}
		for _, event := range w.events {
			if event.State == work.TaskRunning {
				run := &taskRun{worker: w.worker, task: event.Task, from: event.At, state: work.TaskRunning}
				open[event.Task] = run
				byLabel[event.Label] = append(byLabel[event.Label], run)
				continue
			}
			if run, found := open[event.Task]; found {
				run.to, run.state = event.At, event.State
			}
		}
	}
	return byLabel
}

// verify returns each answer that contradicts what the workers ran.
func verify(operations []*operation, jobs []*job, workers []workerRuns) []string {
	var failures []string
	byLabel := runsByLabel(workers)
	for _, w := range workers {
		if w.exceeded {
			failures = append(failures, w.worker+" held more than its capacity")
		}
	}
	for _, o := range operations {
		for _, failure := range o.check(byLabel[o.label]) {
			failures = append(failures, o.label+": "+failure)
		}
	}
	for _, j := range jobs {
		for _, failure := range j.check(byLabel[j.label]) {
			failures = append(failures, j.label+" "+j.full+": "+failure)
		}
	}
	return failures
}

// unsettled returns what the run left undone: a class without any answer shows
// nothing, and an idempotent request can be repeated until it is answered.
func unsettled(operations []*operation) []string {
	var failures []string
	answers := map[string]int{}
	for _, o := range operations {
		if o.answered >= 0 {
			answers[o.class]++
		} else if o.class == idempotent {
			failures = append(failures, o.label+": was not answered in time")
		}
	}
	for _, c := range clients {
		if answers[c.class] == 0 {
			failures = append(failures, "no request of class "+c.class+" was answered")
		}
	}
	return failures
}

func (o *operation) check(runs []*taskRun) []string {
	var failures []string
	if o.class != idempotent && len(runs) > 1 {
		failures = append(failures, fmt.Sprintf("ran %d times: %s", len(runs), describe(runs)))
	}
	for at, reply := range o.replies {
		switch {
		case reply.Outcome == cluster.Ran && !reply.Whole():
			failures = append(failures, "ran and failed: "+reply.String())
		case reply.Whole() && !bytes.Equal(reply.Body, o.body):
			failures = append(failures, fmt.Sprintf("answer %d of %d bytes is not its own of %d bytes", at, len(reply.Body), len(o.body)))
		case reply.Whole() && len(runs) == 0:
			failures = append(failures, "answered, but no worker ran it")
		}
		if run := o.falseRefusal(at, runs); run != nil {
			failures = append(failures, fmt.Sprintf("answered %q, but ran: %s", reply, describe([]*taskRun{run})))
		}
	}
	return failures
}

// falseRefusal returns a run that the reply says did not happen. With a key or
// token, "not run" speaks of every request under it so far; without, of this
// request alone, which can't be told from an earlier one whose end is unknown.
func (o *operation) falseRefusal(at int, runs []*taskRun) *taskRun {
	reply := o.replies[at]
	if reply.Outcome != cluster.NotRun {
		return nil
	}
	for _, run := range runs {
		if run.from.After(reply.Received) {
			continue
		}
		if o.class != idempotent || (!run.from.Before(reply.Sent) && !o.uncertainBefore(at)) {
			return run
		}
	}
	return nil
}

func (o *operation) uncertainBefore(at int) bool {
	for _, reply := range o.replies[:at] {
		if reply.Outcome == cluster.Unknown || reply.Outcome == cluster.Lost {
			return true
		}
	}
	return false
}

func (j *job) check(runs []*taskRun) []string {
	if j.full == "" {
		return []string{"was not accepted in time"}
	}
	var failures []string
	switch {
	case !isOver(j.state):
		failures = append(failures, fmt.Sprintf("did not end; its state is %q", j.state))
	case j.state == work.JobFailed.String():
		failures = append(failures, "failed")
	case j.state == work.JobCanceled.String() && !j.canceled:
		failures = append(failures, "was canceled by nobody")
	case j.state == work.JobSucceeded.String() && !bytes.Equal(j.result, j.body):
		failures = append(failures, "its result is not its own")
	}
	if ends := succeeded(runs); j.state == work.JobSucceeded.String() && ends != 1 {
		failures = append(failures, fmt.Sprintf("ran to its end %d times: %s", ends, describe(runs)))
	}
	if overlap(runs) {
		failures = append(failures, "ran in two places at once: "+describe(runs))
	}
	return failures
}

func succeeded(runs []*taskRun) int {
	count := 0
	for _, run := range runs {
		if run.state == work.TaskSucceeded {
			count++
		}
	}
	return count
}

// overlap reports whether two runs share a moment.
func overlap(runs []*taskRun) bool {
	for at, run := range runs {
		for _, other := range runs[:at] {
			if !endsBefore(run, other) && !endsBefore(other, run) {
				return true
			}
		}
	}
	return false
}

func endsBefore(run, other *taskRun) bool {
	return !run.to.IsZero() && !run.to.After(other.from)
}

func describe(runs []*taskRun) string {
	text := ""
	for _, run := range runs {
		text += fmt.Sprintf("[%s on %s at %s %s]", run.task, run.worker, run.from.Format("15:04:05.000"), run.state)
	}
	return text
}
