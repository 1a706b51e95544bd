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
	// maxPlacing bounds the attempts of one shard that are placed at once.
	maxPlacing = 64
	// callTimeout bounds one message about an attempt.
	callTimeout = 10 * time.Second
	// maxAsked bounds the attempts in one question.
	maxAsked = 64
)

// round plans and begins what is due.
func (s *shard) round(now time.Time) {
	config := s.home.config
	set, view := config.Rules.Load(), config.Workers.Load()
	if set == nil || view == nil {
		return
	}
	plan := job.Round(s.input(view, set, now))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits = plan.Waits
	for _, placement := range plan.Place {
		if s.beginPlacing(placement.Job.Spec.ID, placement.At.Worker) {
			s.group.Go(func() { s.place(placement) })
		}
	}
	for _, offer := range plan.Offers {
		if s.beginPlacing(offer.Job.Spec.ID, "") {
			s.group.Go(func() { s.placeElsewhere(offer) })
		}
	}
	s.ask(plan.Ask, now)
}

// input returns what a round looks at. Jobs with a step under way are left
// alone. The table is loaded after them, so that a job whose step has ended
// meanwhile counts with what the step recorded.
func (s *shard) input(view *workers.View, set *rules.Set, now time.Time) job.Input {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetOwners()
	busy := maps.Clone(s.placing)
	for id := range s.canceling {
		if _, placing := busy[id]; !placing {
			busy[id] = ""
		}
	}
	return job.Input{
		Table: s.current(),
		Now:   now,
		View:  view,
		Rules: set,
		Busy:  busy,
		Due:   s.due(),
		Limit: max(maxPlacing-len(s.placing), 0),
	}
}

// due returns when to ask about running attempts. The caller holds mu.
func (s *shard) due() map[ident.JobID]time.Time {
	due := make(map[ident.JobID]time.Time, len(s.followed))
	for id, known := range s.followed {
		due[id] = known.due
	}
	return due
}

// forgetOwners makes the attempts whose owner has changed due to be asked about,
// since a new owner reports no end of an attempt that it did not begin. The
// caller holds mu.
func (s *shard) forgetOwners() {
	ownership := s.home.config.Ownership.Load()
	if ownership == nil || ownership.Epoch == s.followedEpoch {
		return
	}
	s.followedEpoch = ownership.Epoch
	table := s.current()
	maps.DeleteFunc(s.followed, func(id ident.JobID, known followed) bool {
		running, found := table.Find(id)
		if !found {
			return true
		}
		owner, err := s.home.ownerOf(running.At)
		return err != nil || owner.ID != known.owner
	})
}

// beginPlacing reports whether an attempt of the job may be placed now. The
// caller holds mu.
func (s *shard) beginPlacing(id ident.JobID, at ident.WorkerID) bool {
	_, placing := s.placing[id]
	if len(s.placing) >= maxPlacing || placing || s.canceling[id] > 0 {
		return false
	}
	s.placing[id] = at
	return true
}

// donePlacing lets rounds look at a job again.
func (s *shard) donePlacing(id ident.JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.placing, id)
}

// placeElsewhere asks another zone for a worker and places the job there. If
// there is none, the job is offered again after a pause.
func (s *shard) placeElsewhere(offer job.Offer) {
	if worker, found := s.offered(offer); found {
		if placement, fits := s.takeOffered(offer, worker); fits {
			s.place(placement)
			return
		}
	}
	s.home.sleep(s.ctx, offerPause)
	s.donePlacing(offer.Job.Spec.ID)
}

// takeOffered reserves the room of an offered worker for a job.
func (s *shard) takeOffered(offer job.Offer, worker ident.WorkerID) (job.Placement, bool) {
	config := s.home.config
	input := s.input(config.Workers.Load(), config.Rules.Load(), s.home.now())
	placement, fits := job.PlaceOffered(input, offer, worker)
	if fits {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.placing[offer.Job.Spec.ID] = worker
	}
	return placement, fits
}

// offerPause is the time between two offers of one job.
const offerPause = 2 * time.Second

func (s *shard) offered(offer job.Offer) (ident.WorkerID, bool) {
	table := s.home.config.Ownership.Load()
	if table == nil {
		return "", false
	}
	gateway, found := table.Gateway(offer.Zone, s.home.config.Self)
	if !found || gateway.ID == s.home.config.Self {
		return "", false
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	offered, err := s.home.config.Peers.Offer(ctx, gateway.ID, codec.Offer{Demand: offer.Job.Spec.Demand})
	return offered.Worker, err == nil && offered.Worker != ""
}

// place records the next attempt of a job and begins it. Only this call may
// begin the attempt, and it does so at most once.
func (s *shard) place(placement job.Placement) {
	id := placement.Job.Spec.ID
	defer s.donePlacing(id)
	at := placement.At
	result, err := s.append(s.ctx, record.Placing{
		Job:     id,
		Attempt: placement.Attempt,
		Worker:  at.Worker,
		Address: at.Address,
		Zone:    at.Zone,
		Region:  at.Region,
	})
	if err != nil || result.verdict != jobs.Applied {
		return
	}
	owner, err := s.home.ownerOf(at)
	if err != nil {
		s.learn(notBegun(placement, err))
		return
	}
	report := s.begin(owner, placement)
	if report.Standing == codec.AttemptRunning {
		s.follow(id, owner.ID)
	}
	s.learn(report)
}

// follow notes that an owner reports the end of the job's attempt.
func (s *shard) follow(id ident.JobID, owner ident.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followed[id] = followed{owner: owner, watched: true, due: s.home.now().Add(job.WatchedPeriod)}
}

// notBegun returns the report of an attempt that provably was not begun.
func notBegun(placement job.Placement, err error) codec.AttemptReport {
	ref := refTo(placement.Job.Spec.ID, placement.Attempt, placement.At)
	return codec.AttemptReport{Ref: ref, Standing: codec.AttemptNeverStarted, Reason: fault.KindOf(err)}
}

// begin sends the attempt to the owner of its worker. The lease is checked
// last, so a home that was paused begins nothing that a later one may place.
func (s *shard) begin(owner membership.Member, placement job.Placement) codec.AttemptReport {
	spec := placement.Job.Spec
	begin := codec.BeginAttempt{
		Ref:        refTo(spec.ID, placement.Attempt, placement.At),
		Service:    spec.Service,
		Class:      placement.Class,
		Body:       spec.Body,
		Checkpoint: placement.Job.Checkpoint,
		Demand:     spec.Demand,
	}
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	if !s.home.config.Open(s.home.now()) {
		return notBegun(placement, fault.New(fault.Fenced, "before the start"))
	}
	report, err := s.home.beginAt(ctx, owner, begin)
	if err == nil {
		return report
	}
	if fault.From(err).Outcome == fault.NotRun {
		return notBegun(placement, err)
	}
	return codec.AttemptReport{Ref: begin.Ref}
}

// ask asks the owners of the workers for attempts. The caller holds mu.
func (s *shard) ask(running []*jobs.Job, now time.Time) {
	byOwner := map[ident.Incarnation][]codec.AttemptRef{}
	for _, running := range running {
		owner, err := s.home.ownerOf(running.At)
		if err != nil || len(byOwner[owner.ID]) >= maxAsked {
			continue
		}
		known := s.followed[running.Spec.ID]
		s.followed[running.Spec.ID] = followed{
			owner:   owner.ID,
			watched: known.watched && known.owner == owner.ID,
			due:     now.Add(askRetry),
		}
		byOwner[owner.ID] = append(byOwner[owner.ID], refOf(running))
	}
	for owner, refs := range byOwner {
		s.group.Go(func() { s.askOwner(owner, refs) })
	}
}

// askRetry is the time after which a question without a definite answer is
// repeated.
const askRetry = 5 * time.Second

func refOf(running *jobs.Job) codec.AttemptRef {
	return refTo(running.Spec.ID, running.Attempt, running.At)
}

func refTo(id ident.JobID, attempt ident.Attempt, at jobs.Place) codec.AttemptRef {
	return codec.AttemptRef{Job: id, Attempt: attempt, Worker: at.Worker, Zone: at.Zone, Region: at.Region}
}

func (s *shard) askOwner(owner ident.Incarnation, refs []codec.AttemptRef) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	answer, err := s.home.askAt(ctx, owner, codec.AttemptRefs{Refs: refs})
	if err != nil {
		return
	}
	for _, report := range answer.Reports {
		s.group.Go(func() { s.learn(report) })
	}
}

// learn records what a report says of a job's newest attempt. Reports of other
// attempts change nothing. It returns when the record was read back.
func (s *shard) learn(report codec.AttemptReport) {
	known, found := s.current().Find(report.Ref.Job)
	if !found || known.State != work.JobRunning || known.Attempt != report.Ref.Attempt {
		return
	}
	body := job.End(known, newsOf(report), s.healthy(known.At.Worker))
	if body == nil {
		s.hear(report)
		return
	}
	task := ident.AttemptTask(report.Ref.Job, report.Ref.Attempt)
	if _, over := body.(record.Started); !over && !s.beginEnding(task) {
		return
	}
	_, _ = s.append(s.ctx, body)
	s.doneEnding(task, report)
}

// hear notes what was heard of an attempt that goes on.
func (s *shard) hear(report codec.AttemptReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.followed[report.Ref.Job]
	now := s.home.now()
	switch {
	case report.Standing == codec.AttemptUnknown:
		known.watched = false
		known.due = now.Add(askRetry)
	case report.Standing != codec.AttemptRunning:
		return
	case known.watched:
		known.due = now.Add(job.WatchedPeriod)
	default:
		known.due = now.Add(job.AskPeriod)
	}
	s.followed[report.Ref.Job] = known
}

// beginEnding reports whether no end of the attempt is being recorded.
func (s *shard) beginEnding(task ident.TaskID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ending[task] {
		return false
	}
	s.ending[task] = true
	return true
}

func (s *shard) doneEnding(task ident.TaskID, report codec.AttemptReport) {
	s.hear(report)
	s.mu.Lock()
	defer s.mu.Unlock()
	if report.Standing != codec.AttemptRunning {
		delete(s.ending, task)
		delete(s.followed, report.Ref.Job)
	}
}

func (s *shard) healthy(worker ident.WorkerID) bool {
	view := s.home.config.Workers.Load()
	if view == nil {
		return false
	}
	known, found := view.Find(worker)
	return found && known.Health == workers.Healthy && !known.Leaving
}

func newsOf(report codec.AttemptReport) job.News {
	over := report.Standing == codec.AttemptOver
	never := report.Standing == codec.AttemptNeverStarted
	return job.News{
		Over:       over || never,
		Started:    over,
		State:      report.State,
		Result:     report.Result,
		Checkpoint: report.Checkpoint,
		Reason:     report.Reason,
	}
}

// ownerOf returns the owner of the worker of an attempt.
func (h *Home) ownerOf(at jobs.Place) (membership.Member, error) {
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
