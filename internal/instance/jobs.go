package instance

import (
	"context"

	"poplarvalve/internal/instance/home"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

func (c *incarnation) newHome() *home.Home {
	options := &c.instance.options
	return home.New(home.Config{
		Self:            c.self,
		Clock:           options.Clock,
		Log:             options.Log,
		AppendRateLimit: c.instance.appendRateLimit,
		LeaseValid:      c.startFence.Open,
		Shards:          options.Shards,
		Retention:       options.Retention,
		Rules:           c.instance.configAgent.Rules(),
		Workers:         c.instance.workersView,
		Ownership:       c.instance.ownership,
		TaskRunner:      c.runner,
		Peers:           c.peerNode,
		RunLeaseExpired: c.ownerAgent.runLeaseExpired,
		MemoryBytes:     options.MemoryBytes,
		Jitter:          options.Random,
	})
}

// Submit accepts a job. The caller chooses a plain UUID; prefixed with the team
// of the job's service, it becomes the job identifier, from which the home
// instance of the job follows. Submit implements caller.Jobs.
func (f frontEnd) Submit(ctx context.Context, job work.Job) (work.JobStatus, error) {
	current, done, err := f.beginRequest()
	if err != nil {
		// The outcome is Unknown because the job's identifier was not looked
		// up: an earlier submission may have been accepted.
		return work.JobStatus{}, fault.From(err).WithOutcome(fault.Unknown)
	}
	defer done()
	ruleSet := f.instance.configAgent.Rules().Load()
	if ruleSet == nil {
		return work.JobStatus{}, fault.New(fault.NoConfiguration, "no rules are known yet").WithOutcome(fault.Unknown)
	}
	service, found := ruleSet.Services[job.Service]
	if !found {
		return work.JobStatus{}, fault.New(fault.UnknownService, "%q", job.Service).WithOutcome(fault.Unknown)
	}
	job.ID = ident.JobID(string(service.Team) + "." + string(job.ID))
	return current.home.Submit(ctx, job)
}

// JobStatus returns the status of a job. It implements caller.Jobs.
func (f frontEnd) JobStatus(ctx context.Context, id ident.JobID) (work.JobStatus, error) {
	current, done, err := f.beginRequest()
	if err != nil {
		return work.JobStatus{}, fault.From(err).WithOutcome(fault.Unknown)
	}
	defer done()
	return current.home.JobStatus(ctx, id)
}

// Cancel cancels a job and returns its status. It implements caller.Jobs.
func (f frontEnd) Cancel(ctx context.Context, id ident.JobID) (work.JobStatus, error) {
	current, done, err := f.beginRequest()
	if err != nil {
		return work.JobStatus{}, fault.From(err).WithOutcome(fault.Unknown)
	}
	defer done()
	return current.home.Cancel(ctx, id)
}
