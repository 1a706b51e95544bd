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

// measurePeriod is the time between two readings of gauges.
const measurePeriod = 1 * time.Second

// measured serves one request and counts it.
func (i *Instance) measured(request work.Request, run func() work.Answer) work.Answer {
	class := work.Urgent
	began := i.options.Clock.Now()
	i.options.Metrics.InFlight(1)
	answer := run()
	i.options.Metrics.InFlight(-1)
	i.options.Metrics.Answered(class, i.options.Clock.Now().Sub(began).Seconds())
	if answer.Failure != nil {
		i.options.Metrics.Refused(answer.Failure.Kind)
	}
	return answer
}

// measure sets the gauges and logs changes of state until ctx ends.
func (i *Instance) measure(ctx context.Context) {
	ticker := i.options.Clock.NewTicker(measurePeriod)
	defer ticker.Stop()
	held, reachable := false, false
	counts := newCounts(i)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := i.options.Clock.Now()
		counts.update()
		i.options.Metrics.Lease(i.fence.Open(now))
		i.options.Metrics.Lag(ident.MembersStream, i.members.Follower().Progress().Behind)
		i.options.Metrics.Lag(ident.ConfigStream, i.config.Follower().Progress().Behind)
		if open := i.fence.Open(now); open != held {
			held = open
			i.options.Logger.Lease(held)
		}
		if now := i.members.LogReachable(); now != reachable {
			reachable = now
			i.options.Logger.LogReachable(reachable)
		}
	}
}

// Status implements operator.Reporter.
func (i *Instance) Status() operator.Status {
	now := i.options.Clock.Now()
	state := i.members.Members().Load()
	status := operator.Status{
		Instance:     i.options.Name,
		Incarnation:  i.members.Self().String(),
		Version:      i.options.Version,
		Zone:         i.options.Place.Zone,
		Region:       i.options.Place.Region,
		LeaseHeld:    i.fence.Open(now),
		LogReachable: i.members.LogReachable(),
		Draining:     i.gate.Draining(),
		Epoch:        state.Epoch,
		Members:      len(state.Members),
		RulesVersion: i.config.Version(),
		InFlight:     i.gate.InFlight(),
	}
	if current := i.current.Load(); current != nil {
		status.Backends = len(current.owner.table.List())
	}
	return status
}

// Configuration implements operator.Reader.
func (i *Instance) Configuration() *config.State { return i.config.Configuration() }

// Explain implements operator.Explainer.
func (i *Instance) Explain(ctx context.Context, id ident.JobID) (operator.Explanation, error) {
	status, err := i.Front().Job(ctx, id)
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
func (i *Instance) Self() ident.Incarnation { return i.members.Self() }

// Propose implements operator.Proposer.
func (i *Instance) Propose(ctx context.Context, proposal operator.Proposal) (config.Entry, error) {
	return i.config.Propose(ctx, proposal)
}

// JSON implements operator.Dumper.
func (i *Instance) JSON() ([]byte, error) { return i.dump.JSON() }

// streamState is how far a stream was read.
type streamState struct {
	Stream   ident.StreamName   `json:"stream"`
	Progress logstream.Progress `json:"progress"`
}

// memberState is what the instance knows of the members.
type memberState struct {
	Self      string               `json:"self"`
	State     *membership.State    `json:"state"`
	Readiness membership.Readiness `json:"readiness"`
}

// registerStates names the states of the dump.
func (i *Instance) registerStates() {
	states := map[string]func() any{
		"status": func() any { return i.Status() },
		"members": func() any {
			return memberState{i.members.Self().String(), i.members.Members().Load(), i.members.Ready()}
		},
		"streams": func() any {
			return []streamState{
				{ident.MembersStream, i.members.Follower().Progress()},
				{ident.ConfigStream, i.config.Follower().Progress()},
			}
		},
		"backends": func() any { return i.viewState() },
		"owned":    func() any { return i.ownedState() },
		"zones":    func() any { return i.zoneState() },
		"jobs":     func() any { return i.jobState() },
	}
	for name, state := range states {
		// Each name stands once in the map, so that none is taken.
		_ = i.dump.Register(name, state)
	}
}

func (i *Instance) viewState() []workers.Worker {
	if view := i.workers.Load(); view != nil {
		return view.List
	}
	return nil
}

func (i *Instance) ownedState() []workers.Owned {
	if current := i.current.Load(); current != nil {
		return current.owner.owned()
	}
	return nil
}

func (i *Instance) zoneState() any {
	if current := i.current.Load(); current != nil {
		return current.view.zoneTotals()
	}
	return nil
}

func (i *Instance) jobState() any {
	if current := i.current.Load(); current != nil {
		return current.home.State()
	}
	return nil
}
