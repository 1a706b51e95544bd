package home

import (
	"context"
	"sync"
	"time"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/start"
	"poplarvalve/internal/version/jobs"
	"poplarvalve/internal/version/membership"
)

const (
	// endedTries bounds how often the end of an attempt is reported. The home
	// asks for it later if all of them fail.
	endedTries = 3
	// endedPause is the time between two of them.
	endedPause = 2 * time.Second
	// statusTimeout bounds the question about one attempt.
	statusTimeout = 5 * time.Second
	// maxReplyBytes bounds the bodies in the answer to one question.
	maxReplyBytes = 512 << 10
)

// beginAt begins an attempt at the owner of its worker. An error of outcome
// NotRun guarantees that the attempt was not begun.
func (h *Home) beginAt(ctx context.Context, owner membership.Member, begin codec.BeginAttempt) (codec.AttemptReport, error) {
	if owner.ID == h.config.Self {
		return h.serveBegin(ctx, begin)
	}
	answer, err := call[codec.AttemptReports](ctx, h, owner.ID, codec.OpBegin, begin)
	return single(answer, err)
}

// askAt asks the owner of some workers for attempts there.
func (h *Home) askAt(ctx context.Context, owner ident.Incarnation, refs codec.AttemptRefs) (codec.AttemptReports, error) {
	if owner == h.config.Self {
		return h.serveAsk(ctx, refs), nil
	}
	return call[codec.AttemptReports](ctx, h, owner, codec.OpAsk, refs)
}

// stopAt stops an attempt at the owner of its worker. After an error the
// attempt may still run.
func (h *Home) stopAt(ctx context.Context, owner membership.Member, ref codec.AttemptRef) (codec.AttemptReport, error) {
	if owner.ID == h.config.Self {
		return h.serveStop(ctx, ref), nil
	}
	answer, err := call[codec.AttemptReports](ctx, h, owner.ID, codec.OpStop, ref)
	return single(answer, err)
}

// single returns the only report of an answer.
func single(answer codec.AttemptReports, err error) (codec.AttemptReport, error) {
	if err != nil {
		return codec.AttemptReport{}, err
	}
	if len(answer.Reports) != 1 {
		return codec.AttemptReport{}, fault.New(fault.Malformed, "%d reports instead of one", len(answer.Reports))
	}
	return answer.Reports[0], nil
}

// serveBegin begins an attempt on a worker that this instance owns, and reports
// its end to the job's home.
func (h *Home) serveBegin(ctx context.Context, begin codec.BeginAttempt) (codec.AttemptReport, error) {
	ref := begin.Ref
	handle, err := h.config.Starts.Begin(ctx, start.Task{
		ID:         ident.AttemptTask(ref.Job, ref.Attempt),
		Worker:     ref.Worker,
		Service:    begin.Service,
		Class:      begin.Class,
		Body:       begin.Body,
		Checkpoint: begin.Checkpoint,
		Demand:     begin.Demand,
	})
	if err != nil {
		return codec.AttemptReport{}, err
	}
	if handle != nil {
		h.reported.Store(ident.AttemptTask(ref.Job, ref.Attempt), true)
		h.spawn(func() { h.watch(ref, handle) })
	}
	return codec.AttemptReport{Ref: ref, Standing: codec.AttemptRunning, State: work.TaskRunning}, nil
}

// watch reports the end of an attempt, or that this instance no longer follows
// it, after which the home asks for it.
func (h *Home) watch(ref codec.AttemptRef, handle *start.Handle) {
	select {
	case <-h.base.Done():
		return
	case <-handle.Done():
	}
	h.reportEnd(ref, handle.Report())
}

// adopt sees to it that the end of a running attempt is reported, also if an
// earlier owner began it: the questions of the home alone would find it up to a
// minute late. It reports false while this instance doesn't follow the task.
func (h *Home) adopt(ref codec.AttemptRef, task ident.TaskID) bool {
	if _, reported := h.reported.LoadOrStore(task, true); reported {
		return true
	}
	followed := h.config.Starts.Watch(ref.Worker, task, func(report worker.TaskReport) {
		h.spawn(func() { h.reportEnd(ref, report) })
	})
	if !followed {
		h.reported.Delete(task)
	}
	return followed
}

// reportEnd gives the last report of an attempt to the home of its job.
func (h *Home) reportEnd(ref codec.AttemptRef, report worker.TaskReport) {
	h.reported.Delete(ident.AttemptTask(ref.Job, ref.Attempt))
	ended := reportOf(ref, codec.AttemptOver, report)
	if report.State == work.TaskRunning {
		ended = codec.AttemptReport{Ref: ref}
	}
	for range endedTries {
		if h.deliver(ended) || !h.sleep(h.base, endedPause) {
			return
		}
	}
}

// deliver gives a report to the home of its job and reports whether it arrived.
func (h *Home) deliver(report codec.AttemptReport) bool {
	team, err := teamOf(report.Ref.Job)
	if err != nil {
		return false
	}
	home, id, err := h.homeOf(team)
	if err != nil {
		return false
	}
	if home.ID == h.config.Self {
		s, err := h.local(id)
		if err == nil {
			s.learn(report)
		}
		return err == nil
	}
	ctx, cancel := context.WithTimeout(h.base, callTimeout)
	defer cancel()
	ended := codec.AttemptReports{Reports: []codec.AttemptReport{report}}
	return h.tell(ctx, home.ID, codec.OpEnded, ended) == nil
}

// serveAsk answers for attempts on workers that this instance owns. Reports
// that exceed the size of a message are left out and asked for again.
func (h *Home) serveAsk(ctx context.Context, refs codec.AttemptRefs) codec.AttemptReports {
	reports := make([]codec.AttemptReport, len(refs.Refs))
	var group sync.WaitGroup
	for i, ref := range refs.Refs {
		group.Go(func() { reports[i] = h.status(ctx, ref) })
	}
	group.Wait()
	size := 0
	for i, report := range reports {
		size += len(report.Result) + len(report.Checkpoint)
		if size > maxReplyBytes && i > 0 {
			reports = reports[:i]
			break
		}
	}
	return codec.AttemptReports{Reports: reports}
}

func (h *Home) status(ctx context.Context, ref codec.AttemptRef) codec.AttemptReport {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	task := ident.AttemptTask(ref.Job, ref.Attempt)
	standing, report, err := h.config.Starts.Status(ctx, ref.Worker, task)
	if h.abandoned(ref, task, err) {
		return codec.AttemptReport{Ref: ref, Standing: codec.AttemptOver}
	}
	if standing == start.StandingRunning && !h.adopt(ref, task) {
		// The home asks again soon, when the takeover of the worker is over.
		return codec.AttemptReport{Ref: ref}
	}
	return reportOf(ref, standingOf(standing, err), report)
}

// abandoned reports whether the run lease of an attempt is over at a worker that
// can't be asked. With these reasons the identifier was refused before, so no
// late message begins the attempt.
func (h *Home) abandoned(ref codec.AttemptRef, task ident.TaskID, err error) bool {
	switch fault.KindOf(err) {
	case fault.NotOwner, fault.WorkerUnreachable, fault.WorkerLost:
		at := jobs.Place{Worker: ref.Worker, Zone: ref.Zone, Region: ref.Region}
		return h.config.Abandoned != nil && h.config.Abandoned(at, task)
	default:
		return false
	}
}

// standingOf returns a standing in the form of a message. A forgotten task is
// over, although nothing more is known of it.
func standingOf(standing start.Standing, err error) codec.Standing {
	switch {
	case fault.KindOf(err) == fault.TaskForgotten:
		return codec.AttemptOver
	case err != nil:
		return codec.AttemptUnknown
	case standing == start.StandingRunning:
		return codec.AttemptRunning
	case standing == start.StandingOver:
		return codec.AttemptOver
	case standing == start.StandingNeverStarted:
		return codec.AttemptNeverStarted
	default:
		return codec.AttemptUnknown
	}
}

// serveStop stops an attempt on a worker that this instance owns.
func (h *Home) serveStop(ctx context.Context, ref codec.AttemptRef) codec.AttemptReport {
	report, err := h.config.Starts.Stop(ctx, ref.Worker, ident.AttemptTask(ref.Job, ref.Attempt))
	if err == nil && report.State.Over() {
		return reportOf(ref, codec.AttemptOver, report)
	}
	return h.status(ctx, ref)
}

// reportOf returns a report in the form of a message. A result that doesn't fit
// into one is kept longer than its limit by one byte, so that the home sees
// that it was cut.
func reportOf(ref codec.AttemptRef, standing codec.Standing, report worker.TaskReport) codec.AttemptReport {
	result := report.Result
	return codec.AttemptReport{
		Ref:        ref,
		Standing:   standing,
		State:      report.State,
		Result:     result[:min(len(result), maxReplyBytes+1)],
		Checkpoint: checkpointOf(report),
	}
}

// checkpointOf returns the checkpoint of a task that another attempt resumes.
func checkpointOf(report worker.TaskReport) []byte {
	if report.State == work.TaskSucceeded || len(report.Checkpoint) > maxReplyBytes {
		return nil
	}
	return report.Checkpoint
}
