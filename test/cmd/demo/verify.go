package main

import (
	"bytes"
	"fmt"

	"poplarvalve/internal/process/work"
	"poplarvalve/test/cluster"
)

// verify returns one failure for each contradiction between the replies and the
// runs of the workers.
func verify(operations []*operation, jobs []*job, byLabel map[string][]*cluster.Run) []string {
	var failures []string
	for _, o := range operations {
		for _, failure := range o.checkRuns(byLabel[o.label]) {
			failures = append(failures, o.label+": "+failure)
		}
	}
	for _, j := range jobs {
		for _, failure := range j.checkRuns(byLabel[j.label]) {
			failures = append(failures, j.label+" "+j.fullID+": "+failure)
		}
	}
	return failures
}

// findUnanswered returns a failure for each idempotent operation without an
// answer, since such an operation can be repeated until it is answered, and for
// each class without any answer, since the demo then shows nothing about it.
func findUnanswered(operations []*operation) []string {
	var failures []string
	answers := map[string]int{}
	for _, o := range operations {
		if o.answerIndex >= 0 {
			answers[o.class]++
		} else if o.class == idempotent {
			failures = append(failures, o.label+": was not answered in time")
		}
	}
	for _, c := range clientGroups {
		if answers[c.class] == 0 {
			failures = append(failures, "no request of class "+c.class+" was answered")
		}
	}
	return failures
}

func (o *operation) checkRuns(runs []*cluster.Run) []string {
	var failures []string
	if o.class != idempotent && len(runs) > 1 {
		failures = append(failures, fmt.Sprintf("ran %d times: %s", len(runs), formatRuns(runs)))
	}
	for at, reply := range o.replies {
		switch {
		case reply.Outcome == cluster.Ran && !reply.Succeeded():
			failures = append(failures, "ran and failed: "+reply.String())
		case reply.Succeeded() && !bytes.Equal(reply.Body, o.body):
			failures = append(failures, fmt.Sprintf("answer %d of %d bytes differs from the request body of %d bytes", at, len(reply.Body), len(o.body)))
		case reply.Succeeded() && len(runs) == 0:
			failures = append(failures, "answered, but no worker ran it")
		}
		if run := o.falseRefusal(at, runs); run != nil {
			failures = append(failures, fmt.Sprintf("answered %q, but ran: %s", reply, formatRuns([]*cluster.Run{run})))
		}
	}
	return failures
}

// falseRefusal returns a run that contradicts the reply at the given index, or
// nil. With a key or token, the outcome "not run" covers all earlier requests
// under it. Without one it covers this request only, whose run can't be told
// apart from that of an earlier request in doubt.
func (o *operation) falseRefusal(at int, runs []*cluster.Run) *cluster.Run {
	reply := o.replies[at]
	if reply.Outcome != cluster.NotRun {
		return nil
	}
	for _, run := range runs {
		if run.StartedAt.After(reply.ReceivedAt) {
			continue
		}
		if o.class != idempotent || (!run.StartedAt.Before(reply.SentAt) && !o.inDoubtBefore(at)) {
			return run
		}
	}
	return nil
}

func (o *operation) inDoubtBefore(at int) bool {
	for _, reply := range o.replies[:at] {
		if reply.Outcome == cluster.Unknown || reply.Outcome == cluster.Lost {
			return true
		}
	}
	return false
}

func (j *job) checkRuns(runs []*cluster.Run) []string {
	if j.fullID == "" {
		return []string{"was not accepted in time"}
	}
	var failures []string
	switch {
	case !isFinal(j.state):
		failures = append(failures, fmt.Sprintf("did not end; its state is %q; its runs: %s", j.state, formatRuns(runs)))
	case j.state == work.JobFailed.String():
		failures = append(failures, "failed")
	case j.state == work.JobCanceled.String() && !j.cancelRequested:
		failures = append(failures, "was canceled, but nobody asked for it")
	case j.state == work.JobSucceeded.String() && !bytes.Equal(j.result, j.body):
		failures = append(failures, "its result differs from the submitted body")
	}
	if completions := countSucceeded(runs); j.state == work.JobSucceeded.String() && completions != 1 {
		failures = append(failures, fmt.Sprintf("ran to completion %d times: %s", completions, formatRuns(runs)))
	}
	if cluster.Overlap(runs) {
		failures = append(failures, "ran in two places at once: "+formatRuns(runs))
	}
	return failures
}

func countSucceeded(runs []*cluster.Run) int {
	count := 0
	for _, run := range runs {
		if run.State == work.TaskSucceeded {
			count++
		}
	}
	return count
}

func formatRuns(runs []*cluster.Run) string {
	text := ""
	for _, run := range runs {
		text += run.String()
	}
	return text
}
