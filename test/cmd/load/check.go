package main

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"poplarvalve/internal/process/work"
	"poplarvalve/test/cluster"
)

// compare adds to the report what contradicts the histories of the workers. It
// first waits for the accepted jobs to end.
func (d *driver) compare(ctx context.Context, r *report, workers []*cluster.Worker) error {
	states := d.jobStates(ctx)
	byLabel, exceeded, err := cluster.AllRuns(ctx, workers)
	if err != nil {
		return err
	}
	for _, worker := range exceeded {
		r.problem("%s held more than its capacity", worker)
	}
	for _, s := range d.all {
		for _, problem := range s.check(byLabel[s.planned.label], states[s.id]) {
			r.problem("%s: %s", s.planned.label, problem)
		}
	}
	return nil
}

// check returns what contradicts the runs of one request.
func (s sent) check(runs []*cluster.Run, status jobStatus) []string {
	var problems []string
	if s.planned.class == withToken || s.planned.class == withKey {
		if len(runs) > 1 {
			problems = append(problems, fmt.Sprintf("double: ran %d times: %v", len(runs), runs))
		}
	}
	for _, run := range runs {
		if s.reply.Outcome == cluster.NotRun && run.From.Before(s.reply.Received) {
			problems = append(problems, fmt.Sprintf("refused %q, but ran: %v", s.reply, run))
		}
	}
	if s.planned.class == asJob {
		return append(problems, s.checkJob(runs, status)...)
	}
	if s.reply.Whole() && len(runs) == 0 {
		problems = append(problems, "lost: answered, but no worker ran it")
	}
	return problems
}

func (s sent) checkJob(runs []*cluster.Run, status jobStatus) []string {
	var problems []string
	if cluster.Overlap(runs) {
		problems = append(problems, fmt.Sprintf("double: ran in two places at once: %v", runs))
	}
	if s.id == "" {
		return problems
	}
	ends := 0
	for _, run := range runs {
		if run.State == work.TaskSucceeded {
			ends++
		}
	}
	switch {
	case status.State != work.JobSucceeded.String():
		problems = append(problems, fmt.Sprintf("lost: the accepted job %s is %q at the end", s.id, status.State))
	case !bytes.Equal(status.Result, s.planned.body):
		problems = append(problems, "the result is not its own")
	case ends != 1:
		problems = append(problems, fmt.Sprintf("double: ran to its end %d times: %v", ends, runs))
	}
	return problems
}

// jobStates returns the last status of each accepted job, by its identifier.
func (d *driver) jobStates(ctx context.Context) map[string]jobStatus {
	ctx, cancel := context.WithTimeout(ctx, d.options.settle)
	defer cancel()
	states := map[string]jobStatus{}
	for _, s := range d.all {
		if s.id != "" {
			states[s.id] = d.awaitJob(ctx, s.id)
		}
	}
	return states
}

// awaitJob returns the status of a job when it is over or ctx ends.
func (d *driver) awaitJob(ctx context.Context, id string) jobStatus {
	var last jobStatus
	for ctx.Err() == nil {
		if reply, status := d.jobCall(ctx, "GET", "/v1/jobs/"+id, nil); reply.Whole() {
			last = status
		}
		if last.State != work.JobWaiting.String() && last.State != work.JobRunning.String() && last.State != "" {
			break
		}
		sleepUntil(ctx, time.Now().Add(pollInterval))
	}
	return last
}
