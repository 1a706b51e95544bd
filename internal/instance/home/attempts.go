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
	// maxEndReportTries bounds how often the owner of a worker tries to report
	// the end of an attempt. If all tries fail, the home learns of the end by
	// polling.
	maxEndReportTries = 3
	// endReportRetry is the time between two of these tries.
	endReportRetry = 2 * time.Second
	// attemptStatusTimeout bounds the status query for one attempt.
	attemptStatusTimeout = 5 * time.Second
	// maxReplyBytes bounds the results and checkpoints in the reply to one
	// poll.
	maxReplyBytes = 512 << 10
)

// startAtOwner starts an attempt at the owner of its worker. An error with
// outcome NotRun guarantees that the attempt was not started.
func (h *Home) startAtOwner(ctx context.Context, owner membership.Member, command codec.StartAttempt) (codec.AttemptReport, error) {
	if owner.ID == h.config.Self {
		return h.startLocally(ctx, command)
	}
	answer, err := callPeer[codec.AttemptReports](ctx, h, owner.ID, codec.OpStartAttempt, command)
	return singleReport(answer, err)
}

// pollAtOwner asks the owner of several workers for the status of attempts on
// these workers.
func (h *Home) pollAtOwner(ctx context.Context, owner ident.Incarnation, refs codec.AttemptRefs) (codec.AttemptReports, error) {
	if owner == h.config.Self {
		return h.pollLocally(ctx, refs), nil
	}
	return callPeer[codec.AttemptReports](ctx, h, owner, codec.OpAttemptStatus, refs)
}

// stopAtOwner stops an attempt at the owner of its worker. After an error the
// attempt may still be running.
func (h *Home) stopAtOwner(ctx context.Context, owner membership.Member, ref codec.AttemptRef) (codec.AttemptReport, error) {
	if owner.ID == h.config.Self {
		return h.stopLocally(ctx, ref), nil
	}
	answer, err := callPeer[codec.AttemptReports](ctx, h, owner.ID, codec.OpStop, ref)
	return singleReport(answer, err)
}

// singleReport returns the report of an answer that must hold exactly one.
func singleReport(answer codec.AttemptReports, err error) (codec.AttemptReport, error) {
	if err != nil {
		return codec.AttemptReport{}, err
	}
	if len(answer.Reports) != 1 {
		return codec.AttemptReport{}, fault.New(fault.Malformed, "the answer holds %d attempt reports instead of one", len(answer.Reports))
	}
	return answer.Reports[0], nil
}

// startLocally starts an attempt on a worker that this instance owns. When the
// attempt ends, this instance reports it to the home of the job.
func (h *Home) startLocally(ctx context.Context, command codec.StartAttempt) (codec.AttemptReport, error) {
	ref := command.Ref
	handle, err := h.config.TaskRunner.Start(ctx, start.Task{
		ID:         ident.AttemptTask(ref.Job, ref.Attempt),
		Worker:     ref.Worker,
		Service:    command.Service,
		Class:      command.Class,
		Body:       command.Body,
		Checkpoint: command.Checkpoint,
		Demand:     command.Demand,
	})
	if err != nil {
		return codec.AttemptReport{}, err
	}
	if handle != nil {
		h.reportedTasks.Store(ident.AttemptTask(ref.Job, ref.Attempt), true)
		h.spawn(func() { h.awaitEnd(ref, handle) })
	}
	return codec.AttemptReport{Ref: ref, TaskStatus: codec.TaskStatusRunning, State: work.TaskRunning}, nil
}

// awaitEnd waits until an attempt ends or this instance stops tracking it, and
// reports this to the home of the job. In the second case the home polls the
// attempt.
func (h *Home) awaitEnd(ref codec.AttemptRef, handle *start.Handle) {
	select {
	case <-h.baseCtx.Done():
		return
	case <-handle.Done():
	}
	h.reportEnd(ref, handle.Report())
}

// ensureEndReported makes sure that the end of a running attempt is reported,
// even if an earlier owner of the worker started it. Without this the home
// would learn of the end only by polling, up to a minute late. It returns false
// if this instance does not track the task.
func (h *Home) ensureEndReported(ref codec.AttemptRef, task ident.TaskID) bool {
	if _, reported := h.reportedTasks.LoadOrStore(task, true); reported {
		return true
	}
	tracked := h.config.TaskRunner.OnTaskEnd(ref.Worker, task, func(report worker.TaskReport) {
		h.spawn(func() { h.reportEnd(ref, report) })
	})
	if !tracked {
		h.reportedTasks.Delete(task)
	}
	return tracked
}

// reportEnd sends the last report of an attempt to the home of its job.
func (h *Home) reportEnd(ref codec.AttemptRef, report worker.TaskReport) {
	h.reportedTasks.Delete(ident.AttemptTask(ref.Job, ref.Attempt))
	endReport := codecReport(ref, codec.TaskStatusEnded, report)
	if report.State == work.TaskRunning {
		endReport = codec.AttemptReport{Ref: ref}
	}
	for range maxEndReportTries {
		if h.deliverReport(endReport) || !h.sleep(h.baseCtx, endReportRetry) {
			return
		}
	}
}

// deliverReport sends a report to the home of its job. It returns whether the
// home received the report.
func (h *Home) deliverReport(report codec.AttemptReport) bool {
	team, err := teamOf(report.Ref.Job)
	if err != nil {
		return false
	}
	home, id, err := h.homeOf(team)
	if err != nil {
		return false
	}
	if home.ID == h.config.Self {
		s, err := h.localShard(id)
		if err == nil {
			s.applyReport(report)
		}
		return err == nil
	}
	ctx, cancel := context.WithTimeout(h.baseCtx, peerCallTimeout)
	defer cancel()
	message := codec.AttemptReports{Reports: []codec.AttemptReport{report}}
	return h.notifyPeer(ctx, home.ID, codec.OpEnded, message) == nil
}

// pollLocally returns the status of attempts on workers that this instance
// owns. Reports that do not fit into one message are omitted, and the home
// polls these attempts again.
func (h *Home) pollLocally(ctx context.Context, refs codec.AttemptRefs) codec.AttemptReports {
	reports := make([]codec.AttemptReport, len(refs.Refs))
	var group sync.WaitGroup
	for i, ref := range refs.Refs {
		group.Go(func() { reports[i] = h.attemptStatus(ctx, ref) })
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

func (h *Home) attemptStatus(ctx context.Context, ref codec.AttemptRef) codec.AttemptReport {
	ctx, cancel := context.WithTimeout(ctx, attemptStatusTimeout)
	defer cancel()
	task := ident.AttemptTask(ref.Job, ref.Attempt)
	status, report, err := h.config.TaskRunner.Status(ctx, ref.Worker, task)
	if h.isRunLeaseExpired(ref, task, err) {
		return codec.AttemptReport{Ref: ref, TaskStatus: codec.TaskStatusEnded}
	}
	if status == start.TaskStatusRunning && !h.ensureEndReported(ref, task) {
		// The home polls again soon, when the takeover of the worker is
		// complete.
		return codec.AttemptReport{Ref: ref}
	}
	return codecReport(ref, codecTaskStatus(status, err), report)
}

// isRunLeaseExpired reports whether the run lease of an attempt has expired on
// a worker that cannot be queried. In each of the cases below, the status query
// has already refused the task identifier, so a delayed message cannot start
// the attempt.
func (h *Home) isRunLeaseExpired(ref codec.AttemptRef, task ident.TaskID, err error) bool {
	switch fault.KindOf(err) {
	case fault.NotOwner, fault.WorkerUnreachable, fault.WorkerLost:
		at := jobs.WorkerLocation{Worker: ref.Worker, Zone: ref.Zone, Region: ref.Region}
		return h.config.RunLeaseExpired != nil && h.config.RunLeaseExpired(at, task)
	default:
		return false
	}
}

// codecTaskStatus converts a status to the one used in messages. A task that
// the worker does not know has ended, although its result is unknown.
func codecTaskStatus(status start.TaskStatus, err error) codec.TaskStatus {
	switch {
	case fault.KindOf(err) == fault.TaskUnknownToWorker:
		return codec.TaskStatusEnded
	case err != nil:
		return codec.TaskStatusUnknown
	case status == start.TaskStatusRunning:
		return codec.TaskStatusRunning
	case status == start.TaskStatusEnded:
		return codec.TaskStatusEnded
	case status == start.TaskStatusNeverStarted:
		return codec.TaskStatusNeverStarted
	default:
		return codec.TaskStatusUnknown
	}
}

// stopLocally stops an attempt on a worker that this instance owns.
func (h *Home) stopLocally(ctx context.Context, ref codec.AttemptRef) codec.AttemptReport {
	report, err := h.config.TaskRunner.Stop(ctx, ref.Worker, ident.AttemptTask(ref.Job, ref.Attempt))
	if err == nil && report.State.IsFinal() {
		return codecReport(ref, codec.TaskStatusEnded, report)
	}
	return h.attemptStatus(ctx, ref)
}

// codecReport converts a report to the one used in messages. A result longer
// than maxReplyBytes is cut to one byte more than this limit, so that the home
// can tell that it was cut.
func codecReport(ref codec.AttemptRef, status codec.TaskStatus, report worker.TaskReport) codec.AttemptReport {
	result := report.Result
	return codec.AttemptReport{
		Ref:        ref,
		TaskStatus: status,
		State:      report.State,
		Result:     result[:min(len(result), maxReplyBytes+1)],
		Checkpoint: resumableCheckpoint(report),
	}
}

// resumableCheckpoint returns the checkpoint from which the next attempt can
// resume. It returns nil if the task succeeded or the checkpoint does not fit
// into a message.
func resumableCheckpoint(report worker.TaskReport) []byte {
	if report.State == work.TaskSucceeded || len(report.Checkpoint) > maxReplyBytes {
		return nil
	}
	return report.Checkpoint
}
