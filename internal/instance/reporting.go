package instance

import (
	"context"
	"time"

	"poplarvalve/internal/connection/operator"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/logstream"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/config"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/workers"
)

// reportPeriod is the time between updates of the metrics and checks for state
// changes to log.
const reportPeriod = 1 * time.Second

// serveMeasured serves one request and records its metrics.
func (i *Instance) serveMeasured(request work.Request, serve func() work.Answer) work.Answer {
	class := work.Urgent
	start := i.options.Clock.Now()
	i.options.Metrics.AddInFlight(1)
	answer := serve()
	i.options.Metrics.AddInFlight(-1)
	i.options.Metrics.CountAnswer(class, i.options.Clock.Now().Sub(start).Seconds())
	if answer.Failure != nil {
		i.options.Metrics.CountRefusal(answer.Failure.Kind)
	}
	return answer
}

// reportState updates the metrics and logs changes of state, once per
// reportPeriod until ctx ends.
func (i *Instance) reportState(ctx context.Context) {
	ticker := i.options.Clock.NewTicker(reportPeriod)
	defer ticker.Stop()
	leaseHeld, logReachable := false, false
	counters := newCounterUpdater(i)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := i.options.Clock.Now()
		counters.updateAll()
		i.options.Metrics.SetLeaseHeld(i.startFence.Open(now))
		i.options.Metrics.SetLag(ident.MembersStream, i.memberAgent.Follower().Progress().Behind)
		i.options.Metrics.SetLag(ident.ConfigStream, i.configAgent.Follower().Progress().Behind)
		if open := i.startFence.Open(now); open != leaseHeld {
			leaseHeld = open
			i.options.Logger.LeaseChanged(leaseHeld)
		}
		if reachable := i.memberAgent.LogReachable(); reachable != logReachable {
			logReachable = reachable
			i.options.Logger.LogReachable(logReachable)
		}
	}
}

// Status returns a summary of the instance for operators. It implements
// operator.Reporter.
func (i *Instance) Status() operator.Status {
	now := i.options.Clock.Now()
	state := i.memberAgent.Members().Load()
	status := operator.Status{
		Instance:     i.options.Name,
		Incarnation:  i.memberAgent.Self().String(),
		Version:      i.options.Version,
		Zone:         i.options.Origin.Zone,
		Region:       i.options.Origin.Region,
		LeaseHeld:    i.startFence.Open(now),
		LogReachable: i.memberAgent.LogReachable(),
		Draining:     i.drainGate.Draining(),
		Epoch:        state.Epoch,
		Members:      len(state.Members),
		RulesVersion: i.configAgent.Version(),
		InFlight:     i.drainGate.InFlight(),
	}
	if current := i.currentIncarnation.Load(); current != nil {
		status.Backends = len(current.ownerAgent.sessions.List())
	}
	return status
}

// Configuration returns the state of the configuration stream, or nil if
// nothing was read yet. It implements operator.Reader.
func (i *Instance) Configuration() *config.State { return i.configAgent.Configuration() }

// Explain returns the state of a job and the reason for it. It implements
// operator.Explainer.
func (i *Instance) Explain(ctx context.Context, id ident.JobID) (operator.Explanation, error) {
	status, err := i.FrontEnd().JobStatus(ctx, id)
	if err != nil {
		return operator.Explanation{}, err
	}
	explanation := operator.Explanation{
		Job:     status.ID,
		State:   status.State.String(),
		Attempt: status.Attempt,
		Backend: status.Worker,
	}
	if status.Reason != "" {
		explanation.Reasons = append(explanation.Reasons, string(status.Reason)+": "+status.Detail)
	}
	return explanation, nil
}

// Self returns the newest incarnation, which need not be a member yet.
func (i *Instance) Self() ident.Incarnation { return i.memberAgent.Self() }

// Propose appends a rules change and returns the verdict on it; see
// ConfigAgent.Propose. It implements operator.Proposer.
func (i *Instance) Propose(ctx context.Context, proposal operator.Proposal) (config.VerdictEntry, error) {
	return i.configAgent.Propose(ctx, proposal)
}

// JSON returns the state of the instance as a JSON object for operators. It
// implements operator.Dumper.
func (i *Instance) JSON() ([]byte, error) { return i.dumpRegistry.JSON() }

// streamState tells how far a log stream was read.
type streamState struct {
	Stream   ident.StreamName   `json:"stream"`
	Progress logstream.Progress `json:"progress"`
}

// memberState is what the instance knows about the membership.
type memberState struct {
	Self      string               `json:"self"`
	State     *membership.State    `json:"state"`
	Readiness membership.Readiness `json:"readiness"`
}

// registerDumpStates registers the parts of the dump.
func (i *Instance) registerDumpStates() {
	states := map[string]func() any{
		"status": func() any { return i.Status() },
		"members": func() any {
			return memberState{i.memberAgent.Self().String(), i.memberAgent.Members().Load(), i.memberAgent.Readiness()}
		},
		"streams": func() any {
			return []streamState{
				{ident.MembersStream, i.memberAgent.Follower().Progress()},
				{ident.ConfigStream, i.configAgent.Follower().Progress()},
			}
		},
		"backends": func() any { return i.viewState() },
		"owned":    func() any { return i.ownedState() },
		"zones":    func() any { return i.zoneState() },
		"jobs":     func() any { return i.jobState() },
	}
	for name, state := range states {
		// Register fails only if a name is taken, and each name occurs once in
		// the map.
		_ = i.dumpRegistry.Register(name, state)
	}
}

func (i *Instance) viewState() []workers.Worker {
	if view := i.workersView.Load(); view != nil {
		return view.List
	}
	return nil
}

func (i *Instance) ownedState() []workers.OwnedWorker {
	if current := i.currentIncarnation.Load(); current != nil {
		return current.ownerAgent.ownedWorkers()
	}
	return nil
}

func (i *Instance) zoneState() any {
	if current := i.currentIncarnation.Load(); current != nil {
		return current.viewAgent.zoneTotals()
	}
	return nil
}

func (i *Instance) jobState() any {
	if current := i.currentIncarnation.Load(); current != nil {
		return current.home.State()
	}
	return nil
}
