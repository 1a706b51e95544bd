package home

import (
	"context"
	"maps"
	"time"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/job"
	"poplarvalve/internal/version/jobs"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
)

const (
	// maxConcurrentPlacements bounds the jobs of one shard whose attempts are
	// being placed or started at the same time.
	maxConcurrentPlacements = 64
	// peerCallTimeout bounds one call about an attempt, an outcome or a worker
	// of another zone.
	peerCallTimeout = 10 * time.Second
	// maxPolledAttempts bounds the attempts in one poll of an owner.
	maxPolledAttempts = 64
)

// runRound computes the plan of a scheduling round and starts to carry it out:
// it places jobs, requests workers from other zones and polls running attempts.
func (s *shard) runRound(now time.Time) {
	config := s.home.config
	ruleSet, view := config.Rules.Load(), config.Workers.Load()
	if ruleSet == nil || view == nil {
		return
	}
	plan := job.MakePlan(s.roundInput(view, ruleSet, now))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitReasons = plan.WaitReasons
	for _, placement := range plan.Placements {
		if s.beginPlacing(placement.Job.Spec.ID, placement.Location.Worker) {
			s.goroutines.Go(func() { s.placeAttempt(placement) })
		}
	}
	for _, request := range plan.ZoneRequests {
		if s.beginPlacing(request.Job.Spec.ID, "") {
			s.goroutines.Go(func() { s.placeInOtherZone(request) })
		}
	}
	s.pollAttempts(plan.Polls, now)
}

// roundInput returns the input of a scheduling round. Jobs that are being
// placed or canceled are passed as InProgress, and the round does not plan
// them. The table is loaded after these jobs were copied, so that it holds what
// was recorded for a job whose placement or cancellation has just ended.
func (s *shard) roundInput(view *workers.View, ruleSet *rules.Set, now time.Time) job.Input {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetChangedOwners()
	inProgress := maps.Clone(s.placing)
	for id := range s.canceling {
		if _, placing := inProgress[id]; !placing {
			inProgress[id] = ""
		}
	}
	return job.Input{
		Table:         s.currentTable(),
		Now:           now,
		View:          view,
		Rules:         ruleSet,
		InProgress:    inProgress,
		NextPoll:      s.pollTimes(),
		MaxPlacements: max(maxConcurrentPlacements-len(s.placing), 0),
	}
}

// pollTimes returns the time of the next poll of each running attempt. The
// caller holds mu.
func (s *shard) pollTimes() map[ident.JobID]time.Time {
	times := make(map[ident.JobID]time.Time, len(s.polled))
	for id, attempt := range s.polled {
		times[id] = attempt.nextPoll
	}
	return times
}

// forgetChangedOwners makes an attempt due for a poll if the owner of its
// worker has changed, because a new owner does not report the end of an attempt
// that it did not start. The caller holds mu.
func (s *shard) forgetChangedOwners() {
	ownership := s.home.config.Ownership.Load()
	if ownership == nil || ownership.Epoch == s.polledEpoch {
		return
	}
	s.polledEpoch = ownership.Epoch
	table := s.currentTable()
	maps.DeleteFunc(s.polled, func(id ident.JobID, attempt polledAttempt) bool {
		current, found := table.Find(id)
		if !found {
			return true
		}
		owner, err := s.home.ownerOf(current.Location)
		return err != nil || owner.ID != attempt.owner
	})
}

// beginPlacing marks a job as being placed on a worker. It returns false if the
// job is already being placed or canceled, or if maxConcurrentPlacements is
// reached. The caller holds mu.
func (s *shard) beginPlacing(id ident.JobID, at ident.WorkerID) bool {
	_, placing := s.placing[id]
	if len(s.placing) >= maxConcurrentPlacements || placing || s.canceling[id] > 0 {
		return false
	}
	s.placing[id] = at
	return true
}

// donePlacing removes the mark of beginPlacing, so that later rounds plan the
// job again.
func (s *shard) donePlacing(id ident.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.placing, id)
}

// placeInOtherZone asks another zone for a worker and places the job there. If
// there is no such worker, the job becomes available to rounds again after
// zoneRequestRetry.
func (s *shard) placeInOtherZone(request job.ZoneRequest) {
	if worker, found := s.requestWorker(request); found {
		if placement, fits := s.reserveRequested(request, worker); fits {
			s.placeAttempt(placement)
			return
		}
	}
	s.home.sleep(s.ctx, zoneRequestRetry)
	s.donePlacing(request.Job.Spec.ID)
}

// reserveRequested reserves the capacity of a requested worker for a job. It
// returns false if the job does not fit there.
func (s *shard) reserveRequested(request job.ZoneRequest, worker ident.WorkerID) (job.Placement, bool) {
	config := s.home.config
	input := s.roundInput(config.Workers.Load(), config.Rules.Load(), s.home.now())
	placement, fits := job.PlaceOnRequestedWorker(input, request, worker)
	if fits {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.placing[request.Job.Spec.ID] = worker
	}
	return placement, fits
}

// zoneRequestRetry is the time between two requests to other zones for the same
// job.
const zoneRequestRetry = 2 * time.Second

func (s *shard) requestWorker(request job.ZoneRequest) (ident.WorkerID, bool) {
	table := s.home.config.Ownership.Load()
	if table == nil {
		return "", false
	}
	contact, found := table.ZoneContact(request.Zone, s.home.config.Self)
	if !found || contact.ID == s.home.config.Self {
		return "", false
	}
	ctx, cancel := context.WithTimeout(s.ctx, peerCallTimeout)
	defer cancel()
	reply, err := s.home.config.Peers.RequestWorker(ctx, contact.ID, codec.WorkerRequest{Demand: request.Job.Spec.Demand})
	return reply.Worker, err == nil && reply.Worker != ""
}

// placeAttempt records the placement of a job's next attempt and then starts
// the attempt. No other call may start this attempt, and this call does so at
// most once.
func (s *shard) placeAttempt(placement job.Placement) {
	id := placement.Job.Spec.ID
	defer s.donePlacing(id)
	at := placement.Location
	result, err := s.append(s.ctx, record.AttemptPlaced{
		Job:     id,
		Attempt: placement.Attempt,
		Worker:  at.Worker,
		Address: at.Address,
		Zone:    at.Zone,
		Region:  at.Region,
	})
	if err != nil || result.effect != jobs.Applied {
		return
	}
	owner, err := s.home.ownerOf(at)
	if err != nil {
		s.applyReport(notStartedReport(placement, err))
		return
	}
	report := s.sendStart(owner, placement)
	if report.TaskStatus == codec.TaskStatusRunning {
		s.expectEndReport(id, owner.ID)
	}
	s.applyReport(report)
}

// expectEndReport notes that owner reports the end of the job's attempt, so
// that the attempt is polled less often.
func (s *shard) expectEndReport(id ident.JobID, owner ident.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.polled[id] = polledAttempt{owner: owner, reportsEnd: true, nextPoll: s.home.now().Add(job.ReportedPollPeriod)}
}

// notStartedReport returns the report of an attempt that is known not to have
// been started.
func notStartedReport(placement job.Placement, err error) codec.AttemptReport {
	ref := newAttemptRef(placement.Job.Spec.ID, placement.Attempt, placement.Location)
	return codec.AttemptReport{Ref: ref, TaskStatus: codec.TaskStatusNeverStarted, Reason: fault.KindOf(err)}
}

// sendStart asks the owner of the worker to start the attempt. The instance
// lease is checked last, right before the call. Otherwise a home that was
// paused could start an attempt that a later home may place again.
func (s *shard) sendStart(owner membership.Member, placement job.Placement) codec.AttemptReport {
	spec := placement.Job.Spec
	command := codec.StartAttempt{
		Ref:        newAttemptRef(spec.ID, placement.Attempt, placement.Location),
		Service:    spec.Service,
		Class:      placement.Class,
		Body:       spec.Body,
		Checkpoint: placement.Job.Checkpoint,
		Demand:     spec.Demand,
	}
	ctx, cancel := context.WithTimeout(s.ctx, peerCallTimeout)
	defer cancel()
	if !s.home.config.LeaseValid(s.home.now()) {
		return notStartedReport(placement, fault.New(fault.Fenced, "the instance lease expired before the start of the attempt"))
	}
	report, err := s.home.startAtOwner(ctx, owner, command)
	if err == nil {
		return report
	}
	if fault.From(err).Outcome == fault.NotRun {
		return notStartedReport(placement, err)
	}
	return codec.AttemptReport{Ref: command.Ref}
}

// pollAttempts polls the owners of the workers on which the jobs run. It does
// not wait for the answers. The caller holds mu.
func (s *shard) pollAttempts(runningJobs []*jobs.Job, now time.Time) {
	byOwner := map[ident.Incarnation][]codec.AttemptRef{}
	for _, running := range runningJobs {
		owner, err := s.home.ownerOf(running.Location)
		if err != nil || len(byOwner[owner.ID]) >= maxPolledAttempts {
			continue
		}
		previous := s.polled[running.Spec.ID]
		s.polled[running.Spec.ID] = polledAttempt{
			owner:      owner.ID,
			reportsEnd: previous.reportsEnd && previous.owner == owner.ID,
			nextPoll:   now.Add(pollRetry),
		}
		byOwner[owner.ID] = append(byOwner[owner.ID], attemptRefOf(running))
	}
	for owner, refs := range byOwner {
		s.goroutines.Go(func() { s.pollOwner(owner, refs) })
	}
}

// pollRetry is the time after which a poll without a definite answer is
// repeated.
const pollRetry = 5 * time.Second

func attemptRefOf(running *jobs.Job) codec.AttemptRef {
	return newAttemptRef(running.Spec.ID, running.Attempt, running.Location)
}

func newAttemptRef(id ident.JobID, attempt ident.Attempt, at jobs.WorkerLocation) codec.AttemptRef {
	return codec.AttemptRef{Job: id, Attempt: attempt, Worker: at.Worker, Zone: at.Zone, Region: at.Region}
}

func (s *shard) pollOwner(owner ident.Incarnation, refs []codec.AttemptRef) {
	ctx, cancel := context.WithTimeout(s.ctx, peerCallTimeout)
	defer cancel()
	answer, err := s.home.pollAtOwner(ctx, owner, codec.AttemptRefs{Refs: refs})
	if err != nil {
		return
	}
	for _, report := range answer.Reports {
		s.goroutines.Go(func() { s.applyReport(report) })
	}
}

// applyReport appends the record that follows from a report about the newest
// attempt of a job, and returns when the record was read back. Reports about
// other attempts have no effect.
func (s *shard) applyReport(report codec.AttemptReport) {
	existing, found := s.currentTable().Find(report.Ref.Job)
	if !found || existing.State != work.JobRunning || existing.Attempt != report.Ref.Attempt {
		return
	}
	body := job.EndRecord(existing, statusFromReport(report), s.isHealthy(existing.Location.Worker))
	if body == nil {
		s.scheduleNextPoll(report)
		return
	}
	task := ident.AttemptTask(report.Ref.Job, report.Ref.Attempt)
	if _, isStarted := body.(record.AttemptStarted); !isStarted && !s.beginRecordingEnd(task) {
		return
	}
	_, _ = s.append(s.ctx, body)
	s.doneRecordingEnd(task, report)
}

// scheduleNextPoll sets when an attempt that may still run is polled next:
// after pollRetry if its state is unknown, and otherwise after
// job.ReportedPollPeriod or job.PollPeriod, depending on whether the owner
// reports the end.
func (s *shard) scheduleNextPoll(report codec.AttemptReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt := s.polled[report.Ref.Job]
	now := s.home.now()
	switch {
	case report.TaskStatus == codec.TaskStatusUnknown:
		attempt.reportsEnd = false
		attempt.nextPoll = now.Add(pollRetry)
	case report.TaskStatus != codec.TaskStatusRunning:
		return
	case attempt.reportsEnd:
		attempt.nextPoll = now.Add(job.ReportedPollPeriod)
	default:
		attempt.nextPoll = now.Add(job.PollPeriod)
	}
	s.polled[report.Ref.Job] = attempt
}

// beginRecordingEnd marks the end of an attempt as being recorded. It returns
// false if another call is recording it.
func (s *shard) beginRecordingEnd(task ident.TaskID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recordingEnd[task] {
		return false
	}
	s.recordingEnd[task] = true
	return true
}

func (s *shard) doneRecordingEnd(task ident.TaskID, report codec.AttemptReport) {
	s.scheduleNextPoll(report)
	s.mu.Lock()
	defer s.mu.Unlock()
	if report.TaskStatus != codec.TaskStatusRunning {
		delete(s.recordingEnd, task)
		delete(s.polled, report.Ref.Job)
	}
}

func (s *shard) isHealthy(worker ident.WorkerID) bool {
	view := s.home.config.Workers.Load()
	if view == nil {
		return false
	}
	listed, found := view.Find(worker)
	return found && listed.Health == workers.Healthy && !listed.Leaving
}

func statusFromReport(report codec.AttemptReport) job.AttemptStatus {
	ended := report.TaskStatus == codec.TaskStatusEnded
	neverStarted := report.TaskStatus == codec.TaskStatusNeverStarted
	return job.AttemptStatus{
		Ended:      ended || neverStarted,
		Started:    ended,
		State:      report.State,
		Result:     report.Result,
		Checkpoint: report.Checkpoint,
		Reason:     report.Reason,
	}
}

// ownerOf returns the instance that owns the worker of an attempt.
func (h *Home) ownerOf(at jobs.WorkerLocation) (membership.Member, error) {
	table := h.config.Ownership.Load()
	if table == nil {
		return membership.Member{}, fault.New(fault.NoConfiguration, "no members are known yet")
	}
	owner, found := table.Owner(at.Worker, at.Zone, at.Region)
	if !found {
		return membership.Member{}, fault.New(fault.NotOwner, "worker %s has no owner", at.Worker)
	}
	return owner, nil
}
