package instance

import (
	"context"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/token"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/serve"
)

func (c *incarnation) newHome() homeKeeper { return unkept{} }

// unkept refuses jobs and keys while the instance keeps no shards.
type unkept struct{}

func notKept() *fault.Failure {
	return fault.New(fault.LogUnavailable, "jobs and keys are not kept yet").WithOutcome(fault.NotRun)
}

func (unkept) Run(context.Context) {}
func (unkept) State() any          { return nil }

func (unkept) Begin(context.Context, ident.CallerName, string, token.Digest) (serve.IntentState, error) {
	return serve.IntentState{}, notKept()
}

func (unkept) Finish(ident.CallerName, string, work.Answer) {}

func (unkept) Recorded(context.Context, ident.CallerName, string) (work.Answer, bool) {
	return work.Answer{}, false
}

func (unkept) Record(work.Request, work.Answer) {}

func (unkept) HandleJob(context.Context, ident.Incarnation, codec.Job) (codec.JobDone, error) {
	return codec.JobDone{}, notKept()
}

func (unkept) Submit(context.Context, work.Job) (work.JobStatus, error) {
	return work.JobStatus{}, notKept()
}

func (unkept) Job(context.Context, ident.JobID) (work.JobStatus, error) {
	return work.JobStatus{}, notKept()
}

func (unkept) Cancel(context.Context, ident.JobID) (work.JobStatus, error) {
	return work.JobStatus{}, notKept()
}
