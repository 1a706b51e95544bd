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

func timeAt(second int) time.Time { return time.Unix(1_700_000_000+int64(second), 0) }

func newReply(sent, received int, outcome, body string) cluster.Reply {
	r := cluster.Reply{SentAt: timeAt(sent), ReceivedAt: timeAt(received), Outcome: outcome, Body: []byte(body), Status: 503}
	if outcome == cluster.Ran {
		r.Status = 200
	}
	return r
}

// runOf returns the events of a run of a task labelled "x". Without an end time
// the task is still running.
func runOf(task ident.TaskID, from, to int, state work.TaskState) []workerstub.Event {
	events := []workerstub.Event{{Task: task, Label: "x", State: work.TaskRunning, At: timeAt(from)}}
	if to > 0 {
		events = append(events, workerstub.Event{Task: task, State: state, At: timeAt(to)})
	}
	return events
}

// expectFailure expects exactly one failure that contains want, or none if want
// is empty.
func expectFailure(t *testing.T, name string, failures []string, want string) {
	t.Helper()
	if want == "" {
		assert.Equal(t, len(failures), 0, "%s: %v", name, failures)
		return
	}
	assert.Equal(t, len(failures), 1, "%s: %v", name, failures)
	assert.Assert(t, strings.Contains(failures[0], want), "%s: %v", name, failures)
}

// The demo must fail if a request that is not idempotent ran twice, got the
// answer to another request, or ran although it was refused. It must not fail on
// a true refusal.
func TestVerifyFindsWrongOperations(t *testing.T) {
	once := runOf("a", 2, 3, work.TaskSucceeded)
	twice := append(runOf("a", 2, 3, work.TaskSucceeded), runOf("b", 4, 5, work.TaskSucceeded)...)
	answered := newReply(1, 4, cluster.Ran, "x\n")
	for name, c := range map[string]struct {
		class   string
		replies []cluster.Reply
		events  []workerstub.Event
		want    string
	}{
		"answered":                            {withKey, []cluster.Reply{answered}, once, ""},
		"not idempotent, ran twice":           {withToken, []cluster.Reply{answered}, twice, "ran 2 times"},
		"idempotent, ran twice":               {idempotent, []cluster.Reply{answered}, twice, ""},
		"another's answer":                    {idempotent, []cluster.Reply{newReply(1, 4, cluster.Ran, "y\n")}, once, "differs from the request body"},
		"answer incomplete":                   {withKey, []cluster.Reply{newReply(1, 4, cluster.Ran, "x")}, once, "differs from the request body"},
		"answered without a run":              {withKey, []cluster.Reply{answered}, nil, "no worker ran it"},
		"refused":                             {withKey, []cluster.Reply{newReply(1, 4, cluster.NotRun, "")}, nil, ""},
		"refused, but ran":                    {idempotent, []cluster.Reply{newReply(1, 4, cluster.NotRun, "")}, once, "but ran"},
		"refused, then ran":                   {withKey, []cluster.Reply{newReply(0, 1, cluster.NotRun, ""), answered}, once, ""},
		"ran by key, then refused":            {withKey, []cluster.Reply{answered, newReply(5, 6, cluster.NotRun, "")}, once, "but ran"},
		"unknown by token, then refused":      {withToken, []cluster.Reply{newReply(1, 4, cluster.Lost, ""), newReply(5, 6, cluster.NotRun, "")}, once, "but ran"},
		"unknown without key, a later run":    {idempotent, []cluster.Reply{newReply(0, 1, cluster.Unknown, ""), newReply(1, 4, cluster.NotRun, "")}, once, ""},
		"idempotent, earlier run, refused":    {idempotent, []cluster.Reply{answered, newReply(5, 6, cluster.NotRun, "")}, once, ""},
		"unknown outcome of a run, no answer": {withToken, []cluster.Reply{newReply(1, 4, cluster.Unknown, "")}, once, ""},
	} {
		o := &operation{class: c.class, label: "x", body: []byte("x\n"), replies: c.replies}
		expectFailure(t, name, verify([]*operation{o}, nil, cluster.RunsByLabel("w", c.events)), c.want)
	}
}

// If no request of a class was answered, the demo shows nothing about this class
// and must fail.
func TestUnansweredClassIsAFailure(t *testing.T) {
	var operations []*operation
	for _, c := range clientGroups {
		operations = append(operations, &operation{class: c.class})
	}
	expectFailure(t, "all answered", findUnanswered(operations), "")
	operations[0].answerIndex = -1
	assert.Equal(t, len(findUnanswered(operations)), 2)
	expectFailure(t, "no key", findUnanswered(append(operations[1:2:2], &operation{class: idempotent})), "class key")
}

// The demo must fail if a job was lost, ran to completion twice or ran in two
// places at once.
func TestVerifyFindsWrongJobs(t *testing.T) {
	correct := job{fullID: "t.x", state: "succeeded", result: []byte("x\n")}
	stopped := runOf("j/1", 2, 3, work.TaskStopped)
	lost, failed, canceled, wrong, refused := correct, correct, correct, correct, correct
	lost.state, failed.state, canceled.state, wrong.result, refused.fullID = "running", "failed", "canceled", nil, ""
	for name, c := range map[string]struct {
		job    job
		events [][]workerstub.Event
		want   string
	}{
		"succeeded":                {correct, [][]workerstub.Event{runOf("j/1", 2, 3, work.TaskSucceeded)}, ""},
		"resumed":                  {correct, [][]workerstub.Event{stopped, runOf("j/2", 3, 4, work.TaskSucceeded)}, ""},
		"never ran":                {correct, nil, "0 times"},
		"ran to its end twice":     {correct, [][]workerstub.Event{runOf("j/1", 2, 3, work.TaskSucceeded), runOf("j/2", 3, 4, work.TaskSucceeded)}, "2 times"},
		"ran in two places":        {correct, [][]workerstub.Event{runOf("j/1", 2, 5, work.TaskStopped), runOf("j/2", 4, 6, work.TaskSucceeded)}, "two places"},
		"the other never ended":    {correct, [][]workerstub.Event{runOf("j/1", 2, 0, 0), runOf("j/2", 4, 6, work.TaskSucceeded)}, "two places"},
		"did not end":              {lost, nil, "did not end"},
		"failed":                   {failed, nil, "failed"},
		"canceled by nobody":       {canceled, nil, "nobody"},
		"another's result":         {wrong, [][]workerstub.Event{runOf("j/1", 2, 3, work.TaskSucceeded)}, "differs from the submitted body"},
		"not accepted":             {refused, nil, "not accepted"},
		"same task, second worker": {correct, [][]workerstub.Event{runOf("j/1", 2, 5, work.TaskSucceeded), runOf("j/1", 3, 4, work.TaskStopped)}, "two places"},
	} {
		j := c.job
		j.label, j.body = "x", []byte("x\n")
		byLabel := map[string][]*cluster.Run{}
		for _, events := range c.events {
			byLabel["x"] = append(byLabel["x"], cluster.RunsByLabel("w", events)["x"]...)
		}
		expectFailure(t, name, verify(nil, []*job{&j}, byLabel), c.want)
	}
}
