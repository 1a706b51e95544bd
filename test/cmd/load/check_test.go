package main

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/work"
	"poplarvalve/test/cluster"
)

func timeAt(second int) time.Time { return time.Unix(1_700_000_000+int64(second), 0) }

func newRun(from, to int, state work.TaskState) *cluster.Run {
	return &cluster.Run{Worker: "w", Task: "t", StartedAt: timeAt(from), EndedAt: timeAt(to), State: state}
}

// The driver must find double executions, lost work, runs of refused requests and
// wrong answers, and must not report a problem where there is none.
func TestCheckRunsFindsContradictions(t *testing.T) {
	once := newRun(1, 2, work.TaskSucceeded)
	later := newRun(3, 4, work.TaskSucceeded)
	ended := jobStatus{State: "succeeded", Result: []byte("x")}
	for name, c := range map[string]struct {
		class   string
		outcome string
		runs    []*cluster.Run
		status  jobStatus
		want    string
	}{
		"answered":                  {withToken, cluster.Ran, []*cluster.Run{once}, jobStatus{}, ""},
		"double":                    {withKey, cluster.Ran, []*cluster.Run{once, later}, jobStatus{}, "double"},
		"idempotent, twice":         {idempotent, cluster.Ran, []*cluster.Run{once, later}, jobStatus{}, ""},
		"lost answer's work":        {idempotent, cluster.Ran, nil, jobStatus{}, "lost"},
		"refused":                   {withKey, cluster.NotRun, nil, jobStatus{}, ""},
		"refused, but ran":          {idempotent, cluster.NotRun, []*cluster.Run{once}, jobStatus{}, "but ran"},
		"refused, the repeat ran":   {withKey, cluster.NotRun, []*cluster.Run{newRun(11, 12, work.TaskSucceeded)}, jobStatus{}, ""},
		"job":                       {asJob, cluster.Ran, []*cluster.Run{once}, ended, ""},
		"job resumed":               {asJob, cluster.Ran, []*cluster.Run{newRun(1, 2, work.TaskStopped), later}, ended, ""},
		"job lost":                  {asJob, cluster.Ran, nil, jobStatus{State: "waiting"}, "lost"},
		"job failed":                {asJob, cluster.Ran, nil, jobStatus{State: "failed"}, "lost"},
		"job with another's result": {asJob, cluster.Ran, []*cluster.Run{once}, jobStatus{State: "succeeded"}, "differs from the submitted body"},
		"job ended twice":           {asJob, cluster.Ran, []*cluster.Run{once, later}, ended, "2 times"},
		"job in two places":         {asJob, cluster.Ran, []*cluster.Run{newRun(1, 4, work.TaskStopped), later}, ended, "two places"},
	} {
		s := sentRequest{request: plannedRequest{class: c.class, body: []byte("x")}, reply: cluster.Reply{Outcome: c.outcome, ReceivedAt: timeAt(10)}}
		if c.outcome == cluster.Ran {
			s.reply.Status = 200
		}
		if c.class == asJob {
			s.id = "team.id"
		}
		problems := s.checkRuns(c.runs, c.status)
		if c.want == "" {
			assert.Equal(t, len(problems), 0, "%s: %v", name, problems)
			continue
		}
		assert.Equal(t, len(problems), 1, "%s: %v", name, problems)
		assert.Assert(t, strings.Contains(problems[0], c.want), "%s: %v", name, problems)
	}
	r := newReport(options{})
	r.countReply(plannedRequest{class: idempotent}, cluster.Reply{Outcome: cluster.Ran, Status: 200}, 0, false)
	assert.Assert(t, r.hasProblems(), "an answer that differs from the request body was not reported as a problem")
}

// Two plans with the same options must be equal, and the due times must follow
// the rate.
func TestPlanIsRepeatableAndFollowsRate(t *testing.T) {
	parsed, err := parseMix("idempotent=3,job=1")
	assert.NilError(t, err)
	o := options{seed: 7, rate: 100, duration: 100 * time.Second, mix: parsed}
	readPlan := func() (all []string, jobs int, last time.Duration) {
		for p := range planRequests(o, "x") {
			assert.Assert(t, p.due >= last)
			last = p.due
			if p.class == asJob {
				jobs++
			}
			all = append(all, p.class+p.due.String()+string(p.body))
		}
		return all, jobs, last
	}
	first, jobs, _ := readPlan()
	second, _, _ := readPlan()
	assert.Assert(t, slices.Equal(first, second))
	// The counts are those of this seed; the expected means are 10000 and 2500.
	assert.Assert(t, len(first) > 9600 && len(first) < 10400, "%d", len(first))
	assert.Assert(t, jobs > 2300 && jobs < 2700, "%d", jobs)
	for _, wrong := range []string{"", "x=1", "token=-1", "token=0", "token"} {
		_, err := parseMix(wrong)
		assert.Assert(t, err != nil, wrong)
	}
	assert.Assert(t, checkLoopback([]string{"10.0.0.1:80"}) != nil)
	assert.NilError(t, checkLoopback([]string{"127.0.0.1:80"}))
}
