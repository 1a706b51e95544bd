package main

import (
	"bytes"
	"fmt"

	"poplarvalve/internal/process/work"
	"poplarvalve/test/cluster"
)

// verify returns each answer that contradicts what the workers ran.
func verify(operations []*operation, jobs []*job, byLabel map[string][]*cluster.Run) []string {
	var failures []string
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

func (o *operation) check(runs []*cluster.Run) []string {
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
			failures = append(failures, fmt.Sprintf("answered %q, but ran: %s", reply, describe([]*cluster.Run{run})))
		}
	}
	return failures
}

// falseRefusal returns a run that the reply says did not happen. With a key or
// token, "not run" speaks of every request under it so far; without, of this
// request alone, which can't be told from an earlier one whose end is unknown.
func (o *operation) falseRefusal(at int, runs []*cluster.Run) *cluster.Run {
	reply := o.replies[at]
	if reply.Outcome != cluster.NotRun {
		return nil
	}
	for _, run := range runs {
		if run.From.After(reply.Received) {
			continue
		}
		if o.class != idempotent || (!run.From.Before(reply.Sent) && !o.uncertainBefore(at)) {
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

func (j *job) check(runs []*cluster.Run) []string {
	if j.full == "" {
		return []string{"was not accepted in time"}
	}
	var failures []string
	switch {
	case !isOver(j.state):
		failures = append(failures, fmt.Sprintf("did not end; its state is %q; its runs: %s", j.state, describe(runs)))
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
	if cluster.Overlap(runs) {
		failures = append(failures, "ran in two places at once: "+describe(runs))
	}
	return failures
}

func succeeded(runs []*cluster.Run) int {
	count := 0
	for _, run := range runs {
		if run.State == work.TaskSucceeded {
			count++
		}
	}
	return count
}

func describe(runs []*cluster.Run) string {
	text := ""
	for _, run := range runs {
		text += run.String()
	}
	return text
}
