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

// handlers takes the messages of peers for one incarnation. It implements
// peer.Handlers and peer.Requests.
type handlers struct {
	*incarnation
}

var (
	_ peer.Handlers = handlers{}
	_ peer.Requests = handlers{}
)

// Hello takes what a member acknowledges, and passes the configuration on to
// one that has an older version.
func (h handlers) Hello(hello codec.Hello) {
	h.process.members.Acknowledge(hello.From, hello.Folded)
	if hello.ConfigVersion >= h.process.config.Version() {
		return
	}
	// The next Hello brings another try.
	_ = h.node.ConfigOffer(hello.From, h.process.config.Offer())
}

// Summary takes the workers of a peer of the same zone.
func (h handlers) Summary(_ ident.Incarnation, summary codec.Summary) {
	h.view.summary(summary)
}

// ZoneTotal takes the total of another zone.
func (h handlers) ZoneTotal(_ ident.Incarnation, total codec.ZoneTotal) {
	h.view.zoneTotal(total)
}

// ConfigOffer takes a configuration that a peer passed on.
func (h handlers) ConfigOffer(_ ident.Incarnation, offer codec.ConfigOffer) {
	h.process.config.Adopt(offer)
}

// Promise answers whether this process acts on an epoch without the asker.
func (h handlers) Promise(from ident.Incarnation, promise codec.Promise) codec.Promised {
	reply := codec.Promised{Epoch: promise.Epoch, Sent: promise.Sent}
	answer, err := h.process.members.AnswerPromise(from, h.self, promise.Epoch)
	if err != nil {
		return reply
	}
	reply.Granted = true
	reply.ConfigVersion = answer.Config
	return reply
}

// Offer names a worker of the own zone that has room, if there is one.
func (h handlers) Offer(_ context.Context, _ ident.Incarnation, offer codec.Offer) codec.Offered {
	view, set := h.process.workers.Load(), h.process.config.Rules().Load()
	if view == nil || set == nil {
		return codec.Offered{}
	}
	plan := placement.Rank(view, set, placement.Demand{Resources: offer.Demand, From: h.process.options.Place})
	if plan.Count == 0 {
		return codec.Offered{}
	}
	return codec.Offered{Worker: plan.Candidates[0].Worker}
}

// Job serves an operation on jobs.
func (h handlers) Job(ctx context.Context, from ident.Incarnation, job codec.Job) (codec.JobDone, error) {
	done, ok := h.process.gate.Begin()
	if !ok {
		return codec.JobDone{}, fault.New(fault.Draining, "instance %s", h.self.Instance)
	}
	defer done()
	return h.home.HandleJob(ctx, from, job)
}

// Forwarded runs a request of a peer unless the instance is draining.
func (h handlers) Forwarded(ctx context.Context, from ident.Incarnation, number uint64, request work.Request) work.Answer {
	done, ok := h.process.gate.Begin()
	if !ok {
		draining := fault.New(fault.Draining, "instance %s", h.self.Instance)
		return work.Refuse(request.ID, serve.Unproven(request, draining))
	}
	defer done()
	return h.engine.Forwarded(ctx, from, number, request)
}

// Resolve says what became of a forward.
func (h handlers) Resolve(ctx context.Context, from ident.Incarnation, number uint64, request ident.RequestID) work.Answer {
	return h.engine.Resolve(ctx, from, number, request)
}

// promiser asks peers for promises over the links of the incarnation that is
// current at the time.
type promiser struct {
	process *Instance
}

// Promise implements Promiser.
func (p promiser) Promise(ctx context.Context, to membership.Member, epoch ident.Epoch) (Promise, error) {
	current := p.process.current.Load()
	if current == nil {
		return Promise{}, fault.New(fault.PeerUnreachable, "%s: not a member yet", to.ID)
	}
	promised, err := current.node.Promise(ctx, to.ID, codec.Promise{Epoch: epoch})
	if err != nil {
		return Promise{}, err
	}
	if !promised.Granted || promised.Epoch != epoch {
		return Promise{}, fault.New(fault.Fenced, "%s does not promise", to.ID)
	}
	return Promise{Config: promised.ConfigVersion}, nil
}
