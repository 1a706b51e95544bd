package home

import (
	"context"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

// operations holds the handler of each Job message.
var operations = map[string]func(h *Home, ctx context.Context, body []byte) (any, error){
	codec.OpSubmit:   typed((*Home).handleSubmit),
	codec.OpStatus:   typed((*Home).handleStatus),
	codec.OpCancel:   typed((*Home).handleCancel),
	codec.OpBegin:    typed((*Home).handleBegin),
	codec.OpAsk:      typed((*Home).handleAsk),
	codec.OpStop:     typed((*Home).handleStop),
	codec.OpEnded:    typed((*Home).handleEnded),
	codec.OpOutcome:  typed((*Home).handleOutcome),
	codec.OpRecorded: typed((*Home).handleRecorded),
}

// typed returns a handler that decodes the body first.
func typed[T any](handle func(h *Home, ctx context.Context, body T) (any, error)) func(*Home, context.Context, []byte) (any, error) {
	return func(h *Home, ctx context.Context, encoded []byte) (any, error) {
		body, err := codec.DecodeJobBody[T](encoded)
		if err != nil {
			return nil, fault.From(err).WithOutcome(fault.NotRun)
		}
		return handle(h, ctx, body)
	}
}

// HandleJob serves a Job message of another instance. The receiver never
// forwards it, so a message can't circulate while two instances disagree on the
// home of a shard.
func (h *Home) HandleJob(ctx context.Context, _ ident.Incarnation, job codec.Job) (codec.JobDone, error) {
	handle, known := operations[job.Operation]
	if !known {
		return codec.JobDone{}, fault.New(fault.BadRequest, "job operation %q", job.Operation)
	}
	body, err := handle(h, ctx, job.Body)
	if err != nil {
		return codec.JobDone{}, err
	}
	return codec.EncodeJobDone(body)
}

// shardOf returns the shard of a job, if this incarnation is its home.
func (h *Home) shardOf(id ident.JobID) (*shard, error) {
	team, err := teamOf(id)
	if err != nil {
		return nil, err
	}
	_, shardID, err := h.homeOf(team)
	if err != nil {
		return nil, err
	}
	return h.local(shardID)
}

func (h *Home) handleSubmit(ctx context.Context, body work.Job) (any, error) {
	s, err := h.shardOf(body.ID)
	if err != nil {
		return nil, err
	}
	return s.submit(ctx, body)
}

func (h *Home) handleStatus(_ context.Context, body codec.JobRef) (any, error) {
	s, err := h.shardOf(body.Job)
	if err != nil {
		return nil, err
	}
	return s.status(body.Job)
}

func (h *Home) handleCancel(ctx context.Context, body codec.JobRef) (any, error) {
	s, err := h.shardOf(body.Job)
	if err != nil {
		return nil, err
	}
	return s.cancel(ctx, body.Job)
}

func (h *Home) handleBegin(ctx context.Context, body codec.BeginAttempt) (any, error) {
	report, err := h.serveBegin(ctx, body)
	return codec.AttemptReports{Reports: []codec.AttemptReport{report}}, err
}

func (h *Home) handleAsk(ctx context.Context, body codec.AttemptRefs) (any, error) {
	return h.serveAsk(ctx, body), nil
}

func (h *Home) handleStop(ctx context.Context, body codec.AttemptRef) (any, error) {
	report := h.serveStop(ctx, body)
	return codec.AttemptReports{Reports: []codec.AttemptReport{report}}, nil
}

func (h *Home) handleEnded(_ context.Context, body codec.AttemptReports) (any, error) {
	for _, report := range body.Reports {
		s, err := h.shardOf(report.Ref.Job)
		if err != nil {
			return nil, err
		}
		s.learn(report)
	}
	return nil, nil
}

func (h *Home) handleOutcome(ctx context.Context, body codec.RequestOutcome) (any, error) {
	id := keyShard(body.Ref.Caller, body.Ref.Key, h.config.Shards)
	return nil, h.settleHere(ctx, id, body)
}

func (h *Home) handleRecorded(_ context.Context, body codec.KeyRef) (any, error) {
	return h.recordedHere(keyShard(body.Caller, body.Key, h.config.Shards), body), nil
}
