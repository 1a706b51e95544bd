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
	// maxJobBodyBytes bounds the body of a job, so that the message that starts
	// an attempt can hold both the body and a checkpoint.
	maxJobBodyBytes = 256 << 10
	// maxOpenJobs bounds the jobs of one shard that have not ended.
	maxOpenJobs = 20_000
	// readBackTimeout bounds the wait until the record of a job or key is read
	// back. Most calls of the log take milliseconds.
	readBackTimeout = 5 * time.Second
	// cancelRetry is the delay before the next try to cancel a job that is
	// being placed or could not be stopped.
	cancelRetry = 1 * time.Second
)

func teamOf(id ident.JobID) (string, error) {
	team, wellFormed := jobs.Team(id)
	if _, hasTime := jobs.JobTime(id); !wellFormed || !hasTime {
		return "", fault.New(fault.BadRequest, "job identifier %q does not consist of a team, a dot and a version 7 UUID", id)
	}
	return string(team), nil
}

// runAtHome runs an operation on a job at its home. It calls runLocally if this
// incarnation is the home, and sends a message otherwise.
func runAtHome(ctx context.Context, h *Home, id ident.JobID, operation string, body any, runLocally func(*shard) (work.JobStatus, error)) (work.JobStatus, error) {
	team, err := teamOf(id)
	if err != nil {
		return work.JobStatus{}, err
	}
	home, shardID, err := h.homeOf(team)
	if err != nil {
		return work.JobStatus{}, err
	}
	if home.ID == h.config.Self {
		s, err := h.localShard(shardID)
		if err != nil {
			return work.JobStatus{}, err
		}
		return runLocally(s)
	}
	status, err := callPeer[work.JobStatus](ctx, h, home.ID, operation, body)
	if failure := fault.From(err); failure != nil && isTransportFailure(failure.Kind) {
		return status, failure.WithOutcome(fault.Unknown)
	}
	return status, err
}

// isTransportFailure reports whether a message may have failed before the home
// looked up the job. Such a failure says nothing about the job.
func isTransportFailure(kind fault.Kind) bool {
	return kind == fault.PeerUnreachable || kind == fault.Overloaded
}

// Submit records a job durably and returns after the record was read back. For
// a repeated submission it returns the status of the existing job. An error
// with outcome NotRun guarantees that the job will not run.
func (h *Home) Submit(ctx context.Context, submitted work.Job) (work.JobStatus, error) {
	if len(submitted.Body) > maxJobBodyBytes {
		return work.JobStatus{}, fault.New(fault.TooLarge, "the body of the job exceeds %d bytes", maxJobBodyBytes)
	}
	return runAtHome(ctx, h, submitted.ID, codec.OpSubmit, submitted, func(s *shard) (work.JobStatus, error) {
		return s.submit(ctx, submitted)
	})
}

// JobStatus returns the status of a job, or NotFound.
func (h *Home) JobStatus(ctx context.Context, id ident.JobID) (work.JobStatus, error) {
	return runAtHome(ctx, h, id, codec.OpStatus, codec.JobRef{Job: id}, func(s *shard) (work.JobStatus, error) {
		return s.status(id)
	})
}

// Cancel ends a job and returns its final status. A running attempt is stopped
// first. After an error the job may continue to run.
func (h *Home) Cancel(ctx context.Context, id ident.JobID) (work.JobStatus, error) {
	return runAtHome(ctx, h, id, codec.OpCancel, codec.JobRef{Job: id}, func(s *shard) (work.JobStatus, error) {
		return s.cancelJob(ctx, id)
	})
}

// checkReady returns OwnerNotReady unless this incarnation is the home of the
// shard and has read the whole stream.
func (s *shard) checkReady() error {
	if !s.caughtUp() || s.currentTable().Home != s.home.config.Self {
		return unknownOutcome(fault.OwnerNotReady, "shard %d is being taken over", s.id)
	}
	return nil
}

func (s *shard) submit(ctx context.Context, submitted work.Job) (work.JobStatus, error) {
	if existing, found := s.currentTable().Find(submitted.ID); found {
		return s.answerRepeat(existing, submitted)
	}
	if err := s.checkReady(); err != nil {
		return work.JobStatus{}, err
	}
	table := s.currentTable()
	accepted, err := s.checkNewJob(table, submitted)
	if err != nil {
		return work.JobStatus{}, err
	}
	if err := s.checkAppendable(); err != nil {
		return work.JobStatus{}, err
	}
	release, err := s.reserveRoom((&jobs.Job{Spec: accepted}).Cost())
	if err != nil {
		return work.JobStatus{}, err
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	result, err := s.append(ctx, record.JobAccepted{Job: accepted})
	if err != nil {
		return work.JobStatus{}, err
	}
	if result.effect == jobs.Rejected {
		return work.JobStatus{}, unknownOutcome(fault.RecordRejected, "the record was rejected: shard %d has another home", s.id)
	}
	existing, found := s.currentTable().Find(submitted.ID)
	if !found {
		return work.JobStatus{}, unknownOutcome(fault.KeyExpired, "the identifier of job %s has expired", submitted.ID)
	}
	return s.answerRepeat(existing, submitted)
}

// answerRepeat answers the submission of a job that already exists.
func (s *shard) answerRepeat(existing *jobs.Job, submitted work.Job) (work.JobStatus, error) {
	spec := existing.Spec
	sameContent := spec.Caller == submitted.Caller && spec.Service == submitted.Service
	// The table does not keep the body of a job that has ended.
	if !existing.State.IsFinal() {
		sameContent = sameContent && bytes.Equal(spec.Body, submitted.Body)
	}
	if !sameContent {
		return work.JobStatus{}, fault.New(fault.KeyReused, "job %s already exists with other content", submitted.ID)
	}
	return s.statusOf(existing), nil
}

// checkNewJob checks a job that is not in the table yet. It returns the job
// with the demand that applies to it, or a refusal.
func (s *shard) checkNewJob(table *jobs.Table, submitted work.Job) (work.Job, error) {
	issued, _ := jobs.JobTime(submitted.ID)
	if err := table.CheckTime(issued, s.home.now()); err != nil {
		return submitted, err
	}
	ruleSet := s.home.config.Rules.Load()
	if ruleSet == nil {
		return submitted, fault.New(fault.NoConfiguration, "no rules are known yet")
	}
	service, defined := ruleSet.Services[submitted.Service]
	if !defined {
		return submitted, fault.New(fault.UnknownService, "%s", submitted.Service)
	}
	team, _ := jobs.Team(submitted.ID)
	if service.Team != team {
		return submitted, fault.New(fault.BadRequest, "the job names another team: service %s belongs to team %s", service.Name, service.Team)
	}
	if service.Class != work.Batch && service.Class != work.Live {
		return submitted, fault.New(fault.BadRequest, "service %s has class %s, only batch and live services run jobs", service.Name, service.Class)
	}
	if !(resource.Vector{}).Fits(submitted.Demand) {
		return submitted, fault.New(fault.BadRequest, "the demand is negative: %s", submitted.Demand)
	}
	if table.Counts().Open >= maxOpenJobs {
		return submitted, fault.New(fault.Overloaded, "the shard holds the maximum of %d jobs that have not ended", maxOpenJobs)
	}
	submitted.Demand = job.EffectiveDemand(submitted.Demand, service)
	return submitted, nil
}

// checkAppendable returns an error if a record that is appended now might not
// be read back. If only the log is unreachable, the outcome is NotRun, because
// the valid lease of this instance shows that no other member has become the
// home.
func (s *shard) checkAppendable() error {
	now := s.home.now()
	if !s.home.config.LeaseValid(now) {
		return unknownOutcome(fault.Fenced, "the instance lease has expired, shard %d accepts no records", s.id)
	}
	if !s.logReachable(now) {
		return fault.New(fault.LogUnavailable, "the log does not answer").WithOutcome(fault.NotRun)
	}
	return nil
}

func (s *shard) status(id ident.JobID) (work.JobStatus, error) {
	if existing, found := s.currentTable().Find(id); found {
		return s.statusOf(existing), nil
	}
	if err := s.checkReady(); err != nil {
		return work.JobStatus{}, err
	}
	return work.JobStatus{}, unknownOutcome(fault.NotFound, "job %s is not known", id)
}

// statusOf returns the status of a job. For a waiting job it includes the
// reason why the job was not placed.
func (s *shard) statusOf(existing *jobs.Job) work.JobStatus {
	status := existing.Status()
	if existing.State != work.JobWaiting {
		return status
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal := s.waitReasons[existing.Spec.ID]; refusal != nil {
		status.Reason = refusal.Kind
		status.Detail = refusal.Detail
	}
	return status
}

func (s *shard) cancelJob(ctx context.Context, id ident.JobID) (work.JobStatus, error) {
	s.beginCanceling(id)
	defer s.doneCanceling(id)
	for {
		changed := s.table.Changed()
		if err := s.checkReady(); err != nil {
			return work.JobStatus{}, err
		}
		existing, found := s.currentTable().Find(id)
		if !found {
			return work.JobStatus{}, unknownOutcome(fault.NotFound, "job %s is not known", id)
		}
		if existing.State.IsFinal() {
			return s.statusOf(existing), nil
		}
		if !s.isPlacing(id) && s.tryCancel(ctx, existing) {
			continue
		}
		if !s.waitForChange(ctx, changed, cancelRetry) {
			return work.JobStatus{}, fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "job %s is not canceled yet and may continue to run", id)
		}
	}
}

// tryCancel stops the newest attempt of a job if it is running and records the
// cancellation. If the attempt has succeeded meanwhile, it records the success
// instead. It returns false if the attempt was not stopped or the record was
// not read back.
func (s *shard) tryCancel(ctx context.Context, existing *jobs.Job) bool {
	if existing.State == work.JobRunning {
		report, ended := s.stopAttempt(ctx, existing)
		if !ended {
			return false
		}
		if report.State == work.TaskSucceeded {
			s.applyReport(report)
			return true
		}
	}
	_, err := s.append(ctx, record.JobCanceled{Job: existing.Spec.ID, Attempt: existing.Attempt})
	return err == nil
}

// stopAttempt stops the running attempt of a job and returns whether the
// attempt has ended.
func (s *shard) stopAttempt(ctx context.Context, existing *jobs.Job) (codec.AttemptReport, bool) {
	owner, err := s.home.ownerOf(existing.Location)
	if err != nil {
		return codec.AttemptReport{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	report, err := s.home.stopAtOwner(ctx, owner, attemptRefOf(existing))
	return report, err == nil && statusFromReport(report).Ended
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

// waitForChange waits at most d for changed, which signals a new table. It
// returns false if ctx ended or the shard was stopped.
func (s *shard) waitForChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
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
