package main

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"poplarvalve/internal/process/work"
	"poplarvalve/test/cluster"
)

// compareWithHistories waits for the accepted jobs to end and adds a problem to
// the report for each contradiction between the replies and the run histories of
// the workers.
func (d *driver) compareWithHistories(ctx context.Context, r *report, workers []*cluster.Worker) error {
	states := d.jobStates(ctx)
	byLabel, exceeded, err := cluster.AllRunsByLabel(ctx, workers)
	if err != nil {
		return err
	}
	for _, worker := range exceeded {
		r.addProblem("%s ran tasks that needed more than its capacity", worker)
	}
	for _, s := range d.sentRequests {
		for _, problem := range s.checkRuns(byLabel[s.request.label], states[s.id]) {
			r.addProblem("%s: %s", s.request.label, problem)
		}
	}
	return nil
}

// checkRuns returns the contradictions between the reply to one request and its
// runs.
func (s sentRequest) checkRuns(runs []*cluster.Run, status jobStatus) []string {
	var problems []string
	if s.request.class == withToken || s.request.class == withKey {
		if len(runs) > 1 {
			problems = append(problems, fmt.Sprintf("double execution: ran %d times: %v", len(runs), runs))
		}
	}
	for _, run := range runs {
		if s.reply.Outcome == cluster.NotRun && run.StartedAt.Before(s.reply.ReceivedAt) {
			problems = append(problems, fmt.Sprintf("refused %q, but ran: %v", s.reply, run))
		}
	}
	if s.request.class == asJob {
		return append(problems, s.checkJob(runs, status)...)
	}
	if s.reply.Succeeded() && len(runs) == 0 {
		problems = append(problems, "lost: answered, but no worker ran it")
	}
	return problems
}

func (s sentRequest) checkJob(runs []*cluster.Run, status jobStatus) []string {
	var problems []string
	if cluster.Overlap(runs) {
		problems = append(problems, fmt.Sprintf("double execution: ran in two places at once: %v", runs))
	}
	if s.id == "" {
		return problems
	}
	completions := 0
	for _, run := range runs {
		if run.State == work.TaskSucceeded {
			completions++
		}
	}
	switch {
	case status.State != work.JobSucceeded.String():
		problems = append(problems, fmt.Sprintf("lost: the accepted job %s did not succeed; its last state is %q", s.id, status.State))
	case !bytes.Equal(status.Result, s.request.body):
		problems = append(problems, "the result differs from the submitted body")
	case completions != 1:
		problems = append(problems, fmt.Sprintf("double execution: ran to completion %d times: %v", completions, runs))
	}
	return problems
}

// jobStates returns the last known status of each accepted job by its
// identifier. It waits for the jobs to end, up to the jobTimeout option for all
// of them.
func (d *driver) jobStates(ctx context.Context) map[string]jobStatus {
	ctx, cancel := context.WithTimeout(ctx, d.options.jobTimeout)
	defer cancel()
	states := map[string]jobStatus{}
	for _, s := range d.sentRequests {
		if s.id != "" {
			states[s.id] = d.awaitJob(ctx, s.id)
		}
	}
	return states
}

// awaitJob polls a job until it has ended or ctx is done, and returns its last
// known status.
func (d *driver) awaitJob(ctx context.Context, id string) jobStatus {
	var last jobStatus
	for ctx.Err() == nil {
		if reply, status := d.callJobAPI(ctx, "GET", "/v1/jobs/"+id, nil); reply.Succeeded() {
			last = status
		}
		if last.State != work.JobWaiting.String() && last.State != work.JobRunning.String() && last.State != "" {
			break
		}
		sleepUntil(ctx, time.Now().Add(pollInterval))
	}
	return last
}
