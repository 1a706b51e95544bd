package main

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/test/cluster"
	"poplarvalve/test/workerstub"
)

func at(second int) time.Time { return time.Unix(1_700_000_000+int64(second), 0) }

func reply(sent, received int, outcome, body string) cluster.Reply {
	r := cluster.Reply{Sent: at(sent), Received: at(received), Outcome: outcome, Body: []byte(body), Status: 503}
	if outcome == cluster.Ran {
		r.Status = 200
	}
	return r
}

// runOf returns the start and the end of a task labelled "x". A task with no end
// still runs.
func runOf(task ident.TaskID, from, to int, state work.TaskState) []workerstub.Event {
	events := []workerstub.Event{{Task: task, Label: "x", State: work.TaskRunning, At: at(from)}}
	if to > 0 {
		events = append(events, workerstub.Event{Task: task, State: state, At: at(to)})
	}
	return events
}

// check expects one failure that holds want, or none if want is empty.
func check(t *testing.T, name string, failures []string, want string) {
	t.Helper()
	if want == "" {
		assert.Equal(t, len(failures), 0, "%s: %v", name, failures)
		return
	}
	assert.Equal(t, len(failures), 1, "%s: %v", name, failures)
	assert.Assert(t, strings.Contains(failures[0], want), "%s: %v", name, failures)
}

// Guards against a demo that passes although a request ran twice, had another's
// answer or ran after all, and against one that fails for a true refusal.
func TestOperationsAreChecked(t *testing.T) {
	once := runOf("a", 2, 3, work.TaskSucceeded)
	twice := append(runOf("a", 2, 3, work.TaskSucceeded), runOf("b", 4, 5, work.TaskSucceeded)...)
	answered := reply(1, 4, cluster.Ran, "x\n")
	for name, c := range map[string]struct {
		class   string
		replies []cluster.Reply
		events  []workerstub.Event
		want    string
	}{
		"answered":                            {withKey, []cluster.Reply{answered}, once, ""},
		"not idempotent, ran twice":           {withToken, []cluster.Reply{answered}, twice, "ran 2 times"},
		"idempotent, ran twice":               {idempotent, []cluster.Reply{answered}, twice, ""},
		"another's answer":                    {idempotent, []cluster.Reply{reply(1, 4, cluster.Ran, "y\n")}, once, "not its own"},
		"answer cut":                          {withKey, []cluster.Reply{reply(1, 4, cluster.Ran, "x")}, once, "not its own"},
		"answered without a run":              {withKey, []cluster.Reply{answered}, nil, "no worker ran it"},
		"refused":                             {withKey, []cluster.Reply{reply(1, 4, cluster.NotRun, "")}, nil, ""},
		"refused, but ran":                    {idempotent, []cluster.Reply{reply(1, 4, cluster.NotRun, "")}, once, "but ran"},
		"refused, then ran":                   {withKey, []cluster.Reply{reply(0, 1, cluster.NotRun, ""), answered}, once, ""},
		"ran by key, then refused":            {withKey, []cluster.Reply{answered, reply(5, 6, cluster.NotRun, "")}, once, "but ran"},
		"unknown by token, then refused":      {withToken, []cluster.Reply{reply(1, 4, cluster.Lost, ""), reply(5, 6, cluster.NotRun, "")}, once, "but ran"},
		"unknown without key, a later run":    {idempotent, []cluster.Reply{reply(0, 1, cluster.Unknown, ""), reply(1, 4, cluster.NotRun, "")}, once, ""},
		"idempotent, earlier run, refused":    {idempotent, []cluster.Reply{answered, reply(5, 6, cluster.NotRun, "")}, once, ""},
		"unknown outcome of a run, no answer": {withToken, []cluster.Reply{reply(1, 4, cluster.Unknown, "")}, once, ""},
	} {
		o := &operation{class: c.class, label: "x", body: []byte("x\n"), replies: c.replies}
		check(t, name, verify([]*operation{o}, nil, cluster.Runs("w", c.events)), c.want)
	}
}

// Guards against a demo that passes although it has shown nothing.
func TestUnansweredClassesFail(t *testing.T) {
	var operations []*operation
	for _, c := range clients {
		operations = append(operations, &operation{class: c.class})
	}
	check(t, "all answered", unsettled(operations), "")
	operations[0].answered = -1
	assert.Equal(t, len(unsettled(operations)), 2)
	check(t, "no key", unsettled(append(operations[1:2:2], &operation{class: idempotent})), "class key")
}

// Guards against a demo that passes although a job was lost, ran to its end
// twice or ran in two places at once.
func TestJobsAreChecked(t *testing.T) {
	whole := job{full: "t.x", state: "succeeded", result: []byte("x\n")}
	stopped := runOf("j/1", 2, 3, work.TaskStopped)
	lost, failed, canceled, wrong, refused := whole, whole, whole, whole, whole
	lost.state, failed.state, canceled.state, wrong.result, refused.full = "running", "failed", "canceled", nil, ""
	for name, c := range map[string]struct {
		job    job
		events [][]workerstub.Event
		want   string
	}{
		"succeeded":                {whole, [][]workerstub.Event{runOf("j/1", 2, 3, work.TaskSucceeded)}, ""},
		"resumed":                  {whole, [][]workerstub.Event{stopped, runOf("j/2", 3, 4, work.TaskSucceeded)}, ""},
		"never ran":                {whole, nil, "0 times"},
		"ran to its end twice":     {whole, [][]workerstub.Event{runOf("j/1", 2, 3, work.TaskSucceeded), runOf("j/2", 3, 4, work.TaskSucceeded)}, "2 times"},
		"ran in two places":        {whole, [][]workerstub.Event{runOf("j/1", 2, 5, work.TaskStopped), runOf("j/2", 4, 6, work.TaskSucceeded)}, "two places"},
		"the other never ended":    {whole, [][]workerstub.Event{runOf("j/1", 2, 0, 0), runOf("j/2", 4, 6, work.TaskSucceeded)}, "two places"},
		"did not end":              {lost, nil, "did not end"},
		"failed":                   {failed, nil, "failed"},
		"canceled by nobody":       {canceled, nil, "nobody"},
		"another's result":         {wrong, [][]workerstub.Event{runOf("j/1", 2, 3, work.TaskSucceeded)}, "not its own"},
		"not accepted":             {refused, nil, "not accepted"},
		"same task, second worker": {whole, [][]workerstub.Event{runOf("j/1", 2, 5, work.TaskSucceeded), runOf("j/1", 3, 4, work.TaskStopped)}, "two places"},
	} {
		j := c.job
		j.label, j.body = "x", []byte("x\n")
		byLabel := map[string][]*cluster.Run{}
		for _, events := range c.events {
			byLabel["x"] = append(byLabel["x"], cluster.Runs("w", events)["x"]...)
		}
		check(t, name, verify(nil, []*job{&j}, byLabel), c.want)
	}
}
