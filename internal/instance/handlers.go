package instance

import (
	"context"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/connection/peer"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/placement"
	"poplarvalve/internal/request/serve"
	"poplarvalve/internal/version/membership"
)

// peerHandlers handles the messages that peers send to one incarnation. It
// implements peer.Handlers and peer.Requests.
type peerHandlers struct {
	*incarnation
}

var (
	_ peer.Handlers = peerHandlers{}
	_ peer.Requests = peerHandlers{}
)

// Hello records the membership offset that a peer has applied, and sends the
// rules version in force to a peer that has an older one.
func (h peerHandlers) Hello(hello codec.Hello) {
	h.instance.memberAgent.Acknowledge(hello.From, hello.AppliedOffset)
	if hello.ConfigVersion >= h.instance.configAgent.Version() {
		return
	}
	// If this offer is lost, the peer's next Hello triggers another one.
	_ = h.peerNode.SendConfig(hello.From, h.instance.configAgent.CurrentRules())
}

// Summary handles the workers reported by a peer of the same zone.
func (h peerHandlers) Summary(_ ident.Incarnation, summary codec.Summary) {
	h.viewAgent.summary(summary)
}

// ZoneTotal handles the total free capacity reported by another zone.
func (h peerHandlers) ZoneTotal(_ ident.Incarnation, total codec.ZoneTotal) {
	h.viewAgent.receiveZoneTotal(total)
}

// ConfigOffer handles a rules version sent by a peer.
func (h peerHandlers) ConfigOffer(_ ident.Incarnation, offer codec.ConfigOffer) {
	h.instance.configAgent.Adopt(offer)
}

// GrantLease answers a request for a lease grant. The grant is refused if the
// requesting incarnation is not a member here.
func (h peerHandlers) GrantLease(from ident.Incarnation, request codec.LeaseGrantRequest) codec.LeaseGrantReply {
	reply := codec.LeaseGrantReply{Epoch: request.Epoch, Sent: request.Sent}
	grant, err := h.instance.memberAgent.GrantLease(from, h.self, request.Epoch)
	if err != nil {
		return reply
	}
	reply.Granted = true
	reply.ConfigVersion = grant.RulesVersion
	return reply
}

// FindWorker returns a worker of the own zone with enough free capacity, or an
// empty reply if there is none.
func (h peerHandlers) FindWorker(_ context.Context, _ ident.Incarnation, request codec.WorkerRequest) codec.WorkerReply {
	view, ruleSet := h.instance.workersView.Load(), h.instance.configAgent.Rules().Load()
	if view == nil || ruleSet == nil {
		return codec.WorkerReply{}
	}
	ranking := placement.Rank(view, ruleSet, placement.Demand{Resources: request.Demand, From: h.instance.options.Origin})
	if ranking.Count == 0 {
		return codec.WorkerReply{}
	}
	return codec.WorkerReply{Worker: ranking.Candidates[0].Worker}
}

// HandleJobOperation handles a job operation forwarded by a peer, unless the
// instance is draining.
func (h peerHandlers) HandleJobOperation(ctx context.Context, from ident.Incarnation, job codec.Job) (codec.JobDone, error) {
	done, ok := h.instance.drainGate.Begin()
	if !ok {
		return codec.JobDone{}, fault.New(fault.Draining, "instance %s is shutting down and accepts no new requests", h.self.Instance)
	}
	defer done()
	return h.home.HandleJob(ctx, from, job)
}

// RunForwarded runs a request forwarded by a peer, unless the instance is
// draining.
func (h peerHandlers) RunForwarded(ctx context.Context, from ident.Incarnation, number uint64, request work.Request) work.Answer {
	done, ok := h.instance.drainGate.Begin()
	if !ok {
		refusal := fault.New(fault.Draining, "instance %s is shutting down and accepts no new requests", h.self.Instance)
		return work.Refuse(request.ID, serve.WithoutNotRunProof(request, refusal))
	}
	defer done()
	return h.engine.RunForwarded(ctx, from, number, request)
}

// Resolve returns the outcome of a request that a peer forwarded and got no
// reply for.
func (h peerHandlers) Resolve(ctx context.Context, from ident.Incarnation, number uint64, request ident.RequestID) work.Answer {
	return h.engine.Resolve(ctx, from, number, request)
}

// leaseGrantRequester requests lease grants from peers over the links of the
// incarnation that is current at the time of the request.
type leaseGrantRequester struct {
	instance *Instance
}

// RequestLeaseGrant requests a lease grant from a member for an epoch. The error
// is PeerUnreachable if there is no link yet, and Fenced if the member refuses.
// RequestLeaseGrant implements LeaseGrantRequester.
func (r leaseGrantRequester) RequestLeaseGrant(ctx context.Context, to membership.Member, epoch ident.Epoch) (LeaseGrant, error) {
	current := r.instance.currentIncarnation.Load()
	if current == nil {
		return LeaseGrant{}, fault.New(fault.PeerUnreachable, "can't request a lease grant from %s: this instance is not a member yet", to.ID)
	}
	reply, err := current.peerNode.RequestLeaseGrant(ctx, to.ID, codec.LeaseGrantRequest{Epoch: epoch})
	if err != nil {
		return LeaseGrant{}, err
	}
	if !reply.Granted || reply.Epoch != epoch {
		return LeaseGrant{}, fault.New(fault.Fenced, "%s refused to give a lease grant for the epoch", to.ID)
	}
	return LeaseGrant{RulesVersion: reply.ConfigVersion}, nil
}
