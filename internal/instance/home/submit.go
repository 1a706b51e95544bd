package home

import (
	"bytes"
	"context"
	"time"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/job"
	"poplarvalve/internal/version/jobs"
)

const (
	// maxBodyBytes bounds the body of a job, so that its start fits into a
	// message together with a checkpoint.
	maxBodyBytes = 256 << 10
	// maxOpen bounds the jobs of one shard that are not over.
	maxOpen = 20_000
	// acceptTimeout bounds the wait for the record of a job or key. Most calls
	// of the log take milliseconds.
	acceptTimeout = 5 * time.Second
	// cancelRetry is the time between two tries to stop a running job.
	cancelRetry = 1 * time.Second
)

func teamOf(id ident.JobID) (string, error) {
	team, wellFormed := jobs.Team(id)
	if _, dated := jobs.TimeOfJob(id); !wellFormed || !dated {
		return "", fault.New(fault.BadRequest, "job identifier %q is not a team, a dot and a UUID of version 7", id)
	}
	return string(team), nil
}

// atHome runs an operation on a job at its home: here or by a message.
func atHome(ctx context.Context, h *Home, id ident.JobID, operation string, body any, here func(*shard) (work.JobStatus, error)) (work.JobStatus, error) {
	team, err := teamOf(id)
	if err != nil {
		return work.JobStatus{}, err
	}
	home, shardID, err := h.homeOf(team)
	if err != nil {
		return work.JobStatus{}, err
	}
	if home.ID == h.config.Self {
		s, err := h.local(shardID)
		if err != nil {
			return work.JobStatus{}, err
		}
		return here(s)
	}
	status, err := call[work.JobStatus](ctx, h, home.ID, operation, body)
	if failure := fault.From(err); failure != nil && fromTransport(failure.Kind) {
		return status, failure.WithOutcome(fault.Unknown)
	}
	return status, err
}

// fromTransport reports whether a failure says nothing about the identifier,
// because its home did not look it up.
func fromTransport(kind fault.Kind) bool {
	return kind == fault.PeerUnreachable || kind == fault.Overloaded
}

// Submit makes a job known for good and returns when its record was read back.
// A repeat returns the job as it is. An error of outcome NotRun guarantees that
// the job will not run.
func (h *Home) Submit(ctx context.Context, submitted work.Job) (work.JobStatus, error) {
	if len(submitted.Body) > maxBodyBytes {
		return work.JobStatus{}, fault.New(fault.TooLarge, "the body exceeds %d bytes", maxBodyBytes)
	}
	return atHome(ctx, h, submitted.ID, codec.OpSubmit, submitted, func(s *shard) (work.JobStatus, error) {
		return s.submit(ctx, submitted)
	})
}

// Job returns what is known of a job.
func (h *Home) Job(ctx context.Context, id ident.JobID) (work.JobStatus, error) {
	return atHome(ctx, h, id, codec.OpStatus, codec.JobRef{Job: id}, func(s *shard) (work.JobStatus, error) {
		return s.status(id)
	})
}

// Cancel ends a job and returns how it ended. A running attempt is stopped
// first. After an error the job may go on.
func (h *Home) Cancel(ctx context.Context, id ident.JobID) (work.JobStatus, error) {
	return atHome(ctx, h, id, codec.OpCancel, codec.JobRef{Job: id}, func(s *shard) (work.JobStatus, error) {
		return s.cancel(ctx, id)
	})
}

// ready refuses unless this incarnation is home of the shard and has read all
// of it.
func (s *shard) ready() error {
	if !s.caughtUp() || s.current().Home != s.home.config.Self {
		return unproven(fault.OwnerNotReady, "shard %d is being taken over", s.id)
	}
	return nil
}

func (s *shard) submit(ctx context.Context, submitted work.Job) (work.JobStatus, error) {
	if known, found := s.current().Find(submitted.ID); found {
		return s.repeated(known, submitted)
	}
	if err := s.ready(); err != nil {
		return work.JobStatus{}, err
	}
	table := s.current()
	checked, err := s.check(table, submitted)
	if err != nil {
		return work.JobStatus{}, err
	}
	if err := s.appendable(); err != nil {
		return work.JobStatus{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	result, err := s.append(ctx, record.Accepted{Job: checked})
	if err != nil {
		return work.JobStatus{}, err
	}
	if result.verdict == jobs.Void {
		return work.JobStatus{}, unproven(fault.RecordVoid, "shard %d has another home", s.id)
	}
	known, found := s.current().Find(submitted.ID)
	if !found {
		return work.JobStatus{}, unproven(fault.KeyExpired, "job %s", submitted.ID)
	}
	return s.repeated(known, submitted)
}

// repeated answers the submission of a known job.
func (s *shard) repeated(known *jobs.Job, submitted work.Job) (work.JobStatus, error) {
	spec := known.Spec
	same := spec.Caller == submitted.Caller && spec.Service == submitted.Service
	// The body of a job that is over is no longer known.
	if !known.State.Over() {
		same = same && bytes.Equal(spec.Body, submitted.Body)
	}
	if !same {
		return work.JobStatus{}, fault.New(fault.KeyReused, "job %s has another content", submitted.ID)
	}
	return s.explain(known), nil
}

// check returns a new job with its demand, or a refusal.
func (s *shard) check(table *jobs.Table, submitted work.Job) (work.Job, error) {
	stated, _ := jobs.TimeOfJob(submitted.ID)
	if err := table.CheckTime(stated, s.home.now()); err != nil {
		return submitted, err
	}
	set := s.home.config.Rules.Load()
	if set == nil {
		return submitted, fault.New(fault.NoConfiguration, "no rules are known yet")
	}
	service, known := set.Services[submitted.Service]
	if !known {
		return submitted, fault.New(fault.UnknownService, "%s", submitted.Service)
	}
	team, _ := jobs.Team(submitted.ID)
	if service.Team != team {
		return submitted, fault.New(fault.BadRequest, "service %s belongs to team %s", service.Name, service.Team)
	}
	if service.Class != work.Batch && service.Class != work.Live {
		return submitted, fault.New(fault.BadRequest, "service %s has class %s", service.Name, service.Class)
	}
	if !(resource.Vector{}).Fits(submitted.Demand) {
		return submitted, fault.New(fault.BadRequest, "the demand is negative: %s", submitted.Demand)
	}
	if table.Counts().Open >= maxOpen {
		return submitted, fault.New(fault.Overloaded, "%d jobs of the shard are not over", maxOpen)
	}
	submitted.Demand = job.Demand(submitted.Demand, service)
	return submitted, nil
}

// appendable refuses as NotRun while a record could not be read back. The own
// lease shows that no other member has become the home.
func (s *shard) appendable() error {
	now := s.home.now()
	if !s.home.config.Open(now) {
		return unproven(fault.Fenced, "shard %d", s.id)
	}
	if !s.logReachable(now) {
		return fault.New(fault.LogUnavailable, "the log does not answer").WithOutcome(fault.NotRun)
	}
	return nil
}

func (s *shard) status(id ident.JobID) (work.JobStatus, error) {
	if known, found := s.current().Find(id); found {
		return s.explain(known), nil
	}
	if err := s.ready(); err != nil {
		return work.JobStatus{}, err
	}
	return work.JobStatus{}, unproven(fault.NotFound, "job %s", id)
}

// explain returns the status of a job with the reason for which it waits.
func (s *shard) explain(known *jobs.Job) work.JobStatus {
	status := known.Status()
	if known.State != work.JobWaiting {
		return status
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal := s.waits[known.Spec.ID]; refusal != nil {
		status.Reason = refusal.Kind
		status.Detail = refusal.Detail
	}
	return status
}

func (s *shard) cancel(ctx context.Context, id ident.JobID) (work.JobStatus, error) {
	s.beginCanceling(id)
	defer s.doneCanceling(id)
	for {
		changed := s.table.Changed()
		if err := s.ready(); err != nil {
			return work.JobStatus{}, err
		}
		known, found := s.current().Find(id)
		if !found {
			return work.JobStatus{}, unproven(fault.NotFound, "job %s", id)
		}
		if known.State.Over() {
			return s.explain(known), nil
		}
		if !s.isPlacing(id) && s.tryCancel(ctx, known) {
			continue
		}
		if !s.pause(ctx, changed, cancelRetry) {
			return work.JobStatus{}, fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "job %s may go on", id)
		}
	}
}

// tryCancel records the cancellation of a job whose newest attempt is over, if
// need be after stopping it, and reports whether a record was read back.
func (s *shard) tryCancel(ctx context.Context, known *jobs.Job) bool {
	if known.State == work.JobRunning {
		report, over := s.stopAttempt(ctx, known)
		if !over {
			return false
		}
		if report.State == work.TaskSucceeded {
			s.learn(report)
			return true
		}
	}
	_, err := s.append(ctx, record.Canceled{Job: known.Spec.ID, Attempt: known.Attempt})
	return err == nil
}

// stopAttempt stops the attempt of a job and reports whether it is over.
func (s *shard) stopAttempt(ctx context.Context, known *jobs.Job) (codec.AttemptReport, bool) {
	owner, err := s.home.ownerOf(known.At)
	if err != nil {
		return codec.AttemptReport{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := s.home.stopAt(ctx, owner, refOf(known))
	return report, err == nil && newsOf(report).Over
}

func (s *shard) beginCanceling(id ident.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canceling[id]++
}

func (s *shard) doneCanceling(id ident.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.canceling[id]--
	if s.canceling[id] == 0 {
		delete(s.canceling, id)
	}
}

func (s *shard) isPlacing(id ident.JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, placing := s.placing[id]
	return placing
}

// pause waits for a new table, at most for d, and reports false when ctx ended
// or the shard was stopped.
func (s *shard) pause(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := s.home.config.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-s.ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}
