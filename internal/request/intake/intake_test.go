package intake

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/jobapi"
	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/manifest"
	"poplarvalve/test/virtualtime"
)

// scripted answers calls to the leader with its replies in turn, and repeats
// the last one.
type scripted struct {
	replies []cellcodec.Reply
	sent    bool
	calls   int
}

func (s *scripted) Cells() int                     { return 1 }
func (s *scripted) CellOf(jobspec.ID, int) int     { return 0 }
func (s *scripted) Advised() bool                  { return false }
func (s *scripted) Changed() <-chan struct{}       { return nil }
func (s *scripted) reply(call int) cellcodec.Reply { return s.replies[min(call, len(s.replies)-1)] }
func (s *scripted) Do(context.Context, cellcodec.Call) (cellcodec.Reply, bool) {
	s.calls++
	return s.reply(s.calls - 1), s.sent
}

func serveScripted(t *testing.T, operation cellcodec.Operation, leaders *scripted) (jobapi.Answer, time.Duration) {
	t.Helper()
	m := manifest.New(1, []manifest.Queue{{Name: "q", Host: "h", Prefix: "/p/"}})
	request := jobapi.Request{Operation: operation, Queue: "q", ID: "00000000000000aa",
		Job: func() (*jobspec.Job, error) {
			return &jobspec.Job{Steps: []jobspec.Step{{Count: 1}}}, nil
		}}
	began := time.Now()
	answer := Serve(context.Background(), began, m, leaders, request)
	return answer, time.Since(began)
}

// Guards against a cancel that is refused as not run although a leader may have
// stored it: the caller would take the job for one that goes on.
func TestOpenOutcomeIsNeverNotRun(t *testing.T) {
	for _, operation := range []cellcodec.Operation{cellcodec.OpSubmit, cellcodec.OpCancel} {
		virtualtime.Test(t, func(t *testing.T) {
			leaders := &scripted{sent: true, replies: []cellcodec.Reply{{Result: cellcodec.Unproven}, {Result: cellcodec.Refused}}}
			answer, took := serveScripted(t, operation, leaders)
			assert.Equal(t, answer.Verdict, jobapi.Unknown, "operation %d", operation)
			assert.Assert(t, took <= outcomeWait, "took %v", took)
		})
	}
}

// Guards against a question whose open outcome delays its answer: it changes
// nothing, so that it may be refused at once.
func TestQuestionWithoutAReplyIsRefusedAtOnce(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		leaders := &scripted{sent: true, replies: []cellcodec.Reply{{Result: cellcodec.Unproven}}}
		answer, took := serveScripted(t, cellcodec.OpStatus, leaders)
		assert.Equal(t, answer.Verdict, jobapi.NotRun)
		assert.Assert(t, took <= leaderWait+askPause, "took %v", took)
	})
}

// Guards against a cancel that is lost with its leader: the next one is asked.
func TestCancelIsRepeatedAtTheNextLeader(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		leaders := &scripted{sent: true, replies: []cellcodec.Reply{{Result: cellcodec.Unproven}, {Result: cellcodec.OK}}}
		answer, _ := serveScripted(t, cellcodec.OpCancel, leaders)
		assert.Equal(t, answer.Verdict, jobapi.OK)
		assert.Equal(t, leaders.calls, 2)
	})
}
