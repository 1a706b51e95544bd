package intake

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/jobapi"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/manifest"
	"poplarvalve/test/virtualtime"
)

// leaderStub answers the calls with its replies in turn and then repeats the
// last one.
type leaderStub struct {
	replies []cellcodec.Reply
	sent    bool
	calls   int
	// last is the newest call.
	last cellcodec.Call
}

func (s *leaderStub) Cells() int                     { return 1 }
func (s *leaderStub) CellOf(jobspec.ID, int) int     { return 0 }
func (s *leaderStub) HasAdviceService() bool         { return false }
func (s *leaderStub) Changed() <-chan struct{}       { return nil }
func (s *leaderStub) reply(call int) cellcodec.Reply { return s.replies[min(call, len(s.replies)-1)] }
func (s *leaderStub) Call(_ context.Context, call cellcodec.Call) (cellcodec.Reply, bool) {
	s.calls++
	s.last = call
	return s.reply(s.calls - 1), s.sent
}

func serveWithReplies(t *testing.T, operation cellcodec.Operation, leaders *leaderStub) (jobapi.Answer, time.Duration) {
	t.Helper()
	m := manifest.New(1, []manifest.Queue{{Name: "q", Host: "h", Prefix: "/p/"}})
	request := jobapi.Request{Operation: operation, Queue: "q", ID: "00000000000000aa",
		Job: func() (*jobspec.Job, error) {
			return &jobspec.Job{Steps: []jobspec.Step{{Count: 1}}}, nil
		}}
	start := time.Now()
	answer := Serve(context.Background(), start, m, leaders, request)
	return answer, time.Since(start)
}

// The largest job is a stated number. A larger one was accepted, and then its progress or
// the job itself could not be stored.
func TestJobOverALimitIsRefusedAtOnceAndNamesIt(t *testing.T) {
	serve := func(m *manifest.Manifest, job jobspec.Job) (jobapi.Answer, int) {
		leaders := &leaderStub{sent: true, replies: []cellcodec.Reply{{Result: cellcodec.OK}}}
		request := jobapi.Request{Operation: cellcodec.OpSubmit, Queue: m.Queues[0].Name, ID: "00000000000000aa", Job: func() (*jobspec.Job, error) { return &job, nil }}
		return Serve(context.Background(), time.Now(), m, leaders, request), leaders.calls
	}
	named := func(name string) *manifest.Manifest {
		return manifest.New(1, []manifest.Queue{{Name: name, Host: "h", Prefix: "/p/"}})
	}
	tasks := func(extra int) jobspec.Job {
		var job jobspec.Job
		for range jobspec.MaxJobTasks/jobspec.MaxTasks - 1 {
			job.Steps = append(job.Steps, jobspec.Step{Count: jobspec.MaxTasks})
		}
		job.Steps = append(job.Steps, jobspec.Step{Count: jobspec.MaxTasks - 1}, jobspec.Step{Count: 1 + extra})
		return job
	}
	size := func(extra int) jobspec.Job {
		job := jobspec.Job{Steps: []jobspec.Step{{Count: 1}}}
		job.Steps[0].Label = strings.Repeat("l", jobspec.MaxJobBytes-job.Size()+extra)
		return job
	}
	image := func(extra int) jobspec.Job {
		return jobspec.Job{Steps: []jobspec.Step{{Count: 1, Image: strings.Repeat("i", jobspec.MaxImageBytes+extra)}}}
	}
	for limit, job := range map[string]func(extra int) jobspec.Job{"65536 tasks": tasks, "131072 bytes": size, "1024 bytes": image} {
		for _, extra := range []int{-1, 0, 1} {
			if extra < 0 && limit == "65536 tasks" {
				continue // The last step would have no task.
			}
			answer, calls := serve(named("q"), job(extra))
			if extra <= 0 {
				assert.Equal(t, answer.Verdict, jobapi.OK, "%s %+d: %v", limit, extra, answer)
				continue
			}
			assert.Equal(t, answer.Verdict, jobapi.BadRequest, "%s %+d", limit, extra)
			assert.Equal(t, answer.FailureKind, fault.TooLarge)
			assert.Assert(t, strings.Contains(answer.Detail, limit), "%s", answer.Detail)
			assert.Equal(t, calls, 0, "the leader was called")
		}
	}
	for length, verdict := range map[int]jobapi.Verdict{cell.MaxTermsBytes - 1: jobapi.OK, cell.MaxTermsBytes: jobapi.OK, cell.MaxTermsBytes + 1: jobapi.BadRequest} {
		answer, _ := serve(named(strings.Repeat("q", length)), image(0))
		assert.Equal(t, answer.Verdict, verdict, "a queue with a name of %d bytes", length)
	}
}

// If a leader may have stored a submission or cancel, the answer must not be
// NotRun, even if the next leader refuses. The caller would otherwise assume
// that the job goes on after a cancel that took effect.
func TestOutcomeInDoubtIsNeverNotRun(t *testing.T) {
	for _, operation := range []cellcodec.Operation{cellcodec.OpSubmit, cellcodec.OpCancel} {
		virtualtime.Test(t, func(t *testing.T) {
			leaders := &leaderStub{sent: true, replies: []cellcodec.Reply{{Result: cellcodec.InDoubt}, {Result: cellcodec.Refused}}}
			answer, took := serveWithReplies(t, operation, leaders)
			assert.Equal(t, answer.Verdict, jobapi.Unknown, "operation %d", operation)
			assert.Assert(t, took <= outcomeWait, "the answer took %v, longer than outcomeWait", took)
		})
	}
}

// A request that has certainly not reached a leader must be refused at once, so that
// its caller can try another instance.
func TestRequestIsRefusedAtOnceWithoutLeader(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		answer, took := serveWithReplies(t, cellcodec.OpSubmit, &leaderStub{replies: []cellcodec.Reply{{}}})
		assert.Equal(t, answer.Verdict, jobapi.NotRun)
		assert.Assert(t, took <= leaderWait+leaderRetryPause, "the answer took %v", took)
	})
}

// A status query changes nothing, so a missing reply leaves no change in doubt.
// Its refusal must not wait for outcomeWait.
func TestStatusQueryIsRefusedAfterLeaderWait(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		leaders := &leaderStub{sent: true, replies: []cellcodec.Reply{{Result: cellcodec.InDoubt}}}
		answer, took := serveWithReplies(t, cellcodec.OpStatus, leaders)
		assert.Equal(t, answer.Verdict, jobapi.NotRun)
		assert.Assert(t, took <= leaderWait+leaderRetryPause, "the answer took %v, longer than leaderWait and one pause", took)
	})
}

// A cancel that was lost with its leader must be sent to the next leader.
func TestCancelIsRepeatedAtNextLeader(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		leaders := &leaderStub{sent: true, replies: []cellcodec.Reply{{Result: cellcodec.InDoubt}, {Result: cellcodec.OK}}}
		answer, _ := serveWithReplies(t, cellcodec.OpCancel, leaders)
		assert.Equal(t, answer.Verdict, jobapi.OK)
		assert.Equal(t, leaders.calls, 2)
	})
}
