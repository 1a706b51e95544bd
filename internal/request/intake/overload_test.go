package intake

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/jobapi"
	"poplarvalve/internal/process/fault"
	"poplarvalve/test/virtualtime"
)

// Guards against a refusal that is held back, or that tells its caller to return before there
// is capacity or, by a wrong reply, after a very long time.
func TestWaitOfOverloadedLeaderIsPassedOnAtOnce(t *testing.T) {
	for millis, want := range map[int64]time.Duration{1: time.Second, 1000: time.Second, 1001: 2 * time.Second, 12000: 12 * time.Second, 1 << 60: 15 * time.Second} {
		virtualtime.Test(t, func(t *testing.T) {
			leaders := &leaderStub{sent: true, replies: []cellcodec.Reply{{Result: cellcodec.Refused, RetryAfterMillis: millis}}}
			answer, took := serveWithReplies(t, cellcodec.OpSubmit, leaders)
			assert.Equal(t, answer.Verdict, jobapi.NotRun)
			assert.Equal(t, answer.FailureKind, fault.Overloaded)
			assert.Equal(t, answer.RetryAfter, want, "%d ms", millis)
			assert.Equal(t, took, time.Duration(0))
			assert.Assert(t, !leaders.last.InDoubt)
		})
	}
}

// Guards against a refusal of a job that the leader before may have stored: its caller would
// take it for one that never runs.
func TestSubmissionInDoubtIsNotRefusedForOverload(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		leaders := &leaderStub{sent: true, replies: []cellcodec.Reply{{Result: cellcodec.InDoubt}, {Result: cellcodec.Refused, RetryAfterMillis: 2000}}}
		answer, _ := serveWithReplies(t, cellcodec.OpSubmit, leaders)
		assert.Equal(t, answer.Verdict, jobapi.Unknown)
		assert.Assert(t, leaders.last.InDoubt, "the leader is not told of the earlier attempt")
	})
}

// Guards against a job that is refused as if it could be accepted later, though it has more tasks
// than the deployment has memory for, and against that answer while the job may be stored.
func TestJobWithTooManyTasksIsRefusedForGood(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		tooLarge := cellcodec.Reply{Result: cellcodec.TooLarge, Limit: 12345}
		answer, took := serveWithReplies(t, cellcodec.OpSubmit, &leaderStub{sent: true, replies: []cellcodec.Reply{tooLarge}})
		assert.Equal(t, answer.Verdict, jobapi.BadRequest)
		assert.Equal(t, answer.FailureKind, fault.TooLarge)
		assert.Assert(t, strings.Contains(answer.Detail, "12345 tasks"), answer.Detail)
		assert.Equal(t, took, time.Duration(0))
		answer, _ = serveWithReplies(t, cellcodec.OpSubmit, &leaderStub{sent: true, replies: []cellcodec.Reply{{Result: cellcodec.InDoubt}, tooLarge}})
		assert.Equal(t, answer.Verdict, jobapi.Unknown)
	})
}
