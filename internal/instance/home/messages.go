package home

import (
	"context"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// jobHandlers holds the handler of each operation of a Job message.
var jobHandlers = map[string]func(h *Home, ctx context.Context, body []byte) (any, error){
	codec.OpSubmit:        withDecodedBody((*Home).handleSubmit),
	codec.OpStatus:        withDecodedBody((*Home).handleStatus),
	codec.OpCancel:        withDecodedBody((*Home).handleCancel),
	codec.OpStartAttempt:  withDecodedBody((*Home).handleStartAttempt),
	codec.OpAttemptStatus: withDecodedBody((*Home).handleAttemptStatus),
	codec.OpStop:          withDecodedBody((*Home).handleStop),
	codec.OpEnded:         withDecodedBody((*Home).handleEnded),
	codec.OpOutcome:       withDecodedBody((*Home).handleOutcome),
	codec.OpRecorded:      withDecodedBody((*Home).handleRecorded),
}

// withDecodedBody returns a handler that decodes the body and passes it to
// handle.
func withDecodedBody[T any](handle func(h *Home, ctx context.Context, body T) (any, error)) func(*Home, context.Context, []byte) (any, error) {
	return func(h *Home, ctx context.Context, encoded []byte) (any, error) {
		body, err := codec.DecodeJobBody[T](encoded)
		if err != nil {
			return nil, fault.From(err).WithOutcome(fault.NotRun)
		}
		return handle(h, ctx, body)
	}
}

// HandleJob serves a Job message of another instance. The receiver never
// forwards the message, so a message cannot circulate while two instances
// disagree about the home of a shard.
func (h *Home) HandleJob(ctx context.Context, _ ident.Incarnation, job codec.Job) (codec.JobDone, error) {
	handle, known := jobHandlers[job.Operation]
	if !known {
		return codec.JobDone{}, fault.New(fault.BadRequest, "unknown job operation %q", job.Operation)
	}
	body, err := handle(h, ctx, job.Body)
	if err != nil {
		return codec.JobDone{}, err
	}
	return codec.EncodeJobDone(body)
}

// shardOfJob returns the shard of a job, or an error if this incarnation is not
// its home.
func (h *Home) shardOfJob(id ident.JobID) (*shard, error) {
	team, err := teamOf(id)
	if err != nil {
		return nil, err
	}
	_, shardID, err := h.homeOf(team)
	if err != nil {
		return nil, err
	}
	return h.localShard(shardID)
}

func (h *Home) handleSubmit(ctx context.Context, body work.Job) (any, error) {
	s, err := h.shardOfJob(body.ID)
	if err != nil {
		return nil, err
	}
	return s.submit(ctx, body)
}

func (h *Home) handleStatus(_ context.Context, body codec.JobRef) (any, error) {
	s, err := h.shardOfJob(body.Job)
	if err != nil {
		return nil, err
	}
	return s.status(body.Job)
}

func (h *Home) handleCancel(ctx context.Context, body codec.JobRef) (any, error) {
	s, err := h.shardOfJob(body.Job)
	if err != nil {
		return nil, err
	}
	return s.cancelJob(ctx, body.Job)
}

func (h *Home) handleStartAttempt(ctx context.Context, body codec.StartAttempt) (any, error) {
	report, err := h.startLocally(ctx, body)
	return codec.AttemptReports{Reports: []codec.AttemptReport{report}}, err
}

func (h *Home) handleAttemptStatus(ctx context.Context, body codec.AttemptRefs) (any, error) {
	return h.pollLocally(ctx, body), nil
}

func (h *Home) handleStop(ctx context.Context, body codec.AttemptRef) (any, error) {
	report := h.stopLocally(ctx, body)
	return codec.AttemptReports{Reports: []codec.AttemptReport{report}}, nil
}

func (h *Home) handleEnded(_ context.Context, body codec.AttemptReports) (any, error) {
	for _, report := range body.Reports {
		s, err := h.shardOfJob(report.Ref.Job)
		if err != nil {
			return nil, err
		}
		s.applyReport(report)
	}
	return nil, nil
}

func (h *Home) handleOutcome(ctx context.Context, body codec.RequestOutcome) (any, error) {
	id := shardOfKey(body.Ref.Caller, body.Ref.Key, h.config.Shards)
	return nil, h.recordOutcome(ctx, id, body)
}

func (h *Home) handleRecorded(_ context.Context, body codec.KeyRef) (any, error) {
	return h.localOutcome(shardOfKey(body.Caller, body.Key, h.config.Shards), body), nil
}
