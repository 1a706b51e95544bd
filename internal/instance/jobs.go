package instance

import (
	"context"

	"poplarvalve/internal/instance/home"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

func (c *incarnation) newHome() *home.Home {
	options := &c.process.options
	return home.New(home.Config{
		Self:      c.self,
		Clock:     options.Clock,
		Log:       options.Log,
		Budget:    c.process.budget,
		Open:      c.fence.Open,
		Shards:    options.Shards,
		Retention: options.Retention,
		Rules:     c.process.config.Rules(),
		Workers:   c.process.workers,
		Ownership: c.process.ownership,
		Starts:    c.runner,
		Peers:     c.node,
		Abandoned: c.owner.abandoned,
		Jitter:    options.Random,
	})
}

// Submit implements caller.Jobs. The caller chooses a bare UUID; the team of the
// service makes it the identifier that names the home of the job.
func (f front) Submit(ctx context.Context, job work.Job) (work.JobStatus, error) {
	current, done, err := f.begin()
	if err != nil {
		// The job's identifier was not looked up, so it may be known already.
		return work.JobStatus{}, fault.From(err).WithOutcome(fault.Unknown)
	}
	defer done()
	set := f.process.config.Rules().Load()
	if set == nil {
		return work.JobStatus{}, fault.New(fault.NoConfiguration, "no rules are known yet").WithOutcome(fault.Unknown)
	}
	service, found := set.Services[job.Service]
	if !found {
		return work.JobStatus{}, fault.New(fault.UnknownService, "%q", job.Service).WithOutcome(fault.Unknown)
	}
	job.ID = ident.JobID(string(service.Team) + "." + string(job.ID))
	return current.home.Submit(ctx, job)
}

// Job implements caller.Jobs.
func (f front) Job(ctx context.Context, id ident.JobID) (work.JobStatus, error) {
	current, done, err := f.begin()
	if err != nil {
		return work.JobStatus{}, fault.From(err).WithOutcome(fault.Unknown)
	}
	defer done()
	return current.home.Job(ctx, id)
}

// Cancel implements caller.Jobs.
func (f front) Cancel(ctx context.Context, id ident.JobID) (work.JobStatus, error) {
	current, done, err := f.begin()
	if err != nil {
		return work.JobStatus{}, fault.From(err).WithOutcome(fault.Unknown)
	}
	defer done()
	return current.home.Cancel(ctx, id)
}
