package instance

import (
	"context"
	"sync"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/version/membership"
)

// promiseTimeout bounds one round of promise requests.
const promiseTimeout = 1 * time.Second

// RegionCut says whose promises renew a lease while the log is unreachable.
type RegionCut string

const (
	// RegionCutRefuse asks all members, so a region that is cut off from the log
	// and from another region refuses work.
	RegionCutRefuse RegionCut = "refuse"
	// RegionCutServe asks the members of the own region only.
	RegionCutServe RegionCut = "serve"
)

// Promise says that its giver will not act on an epoch without the asker for
// one lease after the reply.
type Promise struct {
	// Config is the configuration version of the giver.
	Config ident.Offset
}

// Promiser asks a peer for a promise. An error means that there is none.
type Promiser interface {
	Promise(ctx context.Context, to membership.Member, epoch ident.Epoch) (Promise, error)
}

// promiseRequest is one round of requests.
type promiseRequest struct {
	self  ident.Incarnation
	epoch ident.Epoch
	sent  time.Time
	peers []membership.Member
}

// promiseRequest is called under the mutex.
func (a *MemberAgent) promiseRequest(now time.Time) promiseRequest {
	state := a.cell.Load()
	request := promiseRequest{self: a.self, epoch: state.Epoch, sent: now}
	for _, member := range state.Members {
		asked := a.config.RegionCut != RegionCutServe || member.Region == a.config.Region
		if asked && member.ID != a.self {
			request.peers = append(request.peers, member)
		}
	}
	return request
}

// askPromises renews the lease if each peer promises. It takes the mutex itself.
func (a *MemberAgent) askPromises(ctx context.Context, request promiseRequest) {
	ctx, cancel := context.WithTimeout(ctx, promiseTimeout)
	defer cancel()
	granted := make([]bool, len(request.peers))
	var group sync.WaitGroup
	for i, peer := range request.peers {
		group.Go(func() { granted[i] = a.askPromise(ctx, peer, request.epoch) })
	}
	group.Wait()
	all, regional := true, true
	for i, one := range granted {
		all = all && one
		regional = regional && (one || request.peers[i].Region != a.config.Region)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asking = false
	now := a.config.Clock.Now()
	a.checkLapse(now)
	if request.epoch != a.cell.Load().Epoch || a.leaving {
		return
	}
	if all && request.self == a.self && a.opened {
		a.renew(request.sent, now)
	}
	if regional && (request.self == a.self && a.opened || a.keeps(request.self)) {
		a.config.Keep.Renew(request.sent, membership.Lease)
	}
}

func (a *MemberAgent) askPromise(ctx context.Context, peer membership.Member, epoch ident.Epoch) bool {
	promise, err := a.config.Promiser.Promise(ctx, peer, epoch)
	if err != nil {
		return false
	}
	if a.config.OnPromise != nil {
		a.config.OnPromise(peer, promise)
	}
	return true
}

// AnswerPromise promises that this process will not act on an epoch without
// from until one lease and the margin have passed, unless from leaves by its own
// record. to is the incarnation that was asked; an earlier one of this process
// still answers, so that its lapse doesn't stop the others in an outage of the
// log. The failure is Fenced if from is no member here or to is another process.
func (a *MemberAgent) AnswerPromise(from, to ident.Incarnation, epoch ident.Epoch) (Promise, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.mine[to] {
		return Promise{}, fault.New(fault.Fenced, "%s is not an incarnation of this process", to)
	}
	if _, member := a.cell.Load().Find(from); !member {
		return Promise{}, fault.New(fault.Fenced, "%s is not a member", from)
	}
	now := a.config.Clock.Now()
	a.tracking.promised[from] = now.Add(membership.Lease + membership.ClockMargin)
	a.tracking.acknowledge(from, ident.Offset(epoch), now)
	promise := Promise{}
	if a.config.ConfigVersion != nil {
		promise.Config = a.config.ConfigVersion()
	}
	return promise, nil
}

// Acknowledge takes the folded offset that a member stated on its peer link.
func (a *MemberAgent) Acknowledge(member ident.Incarnation, folded ident.Offset) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracking.acknowledge(member, folded, a.config.Clock.Now())
}

// ConfirmEnded takes the platform's word that the process of a removed member
// has ended. It is needed when no member that the removed one knew survived.
func (a *MemberAgent) ConfirmEnded(member ident.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracking.settle(member, a.config.Clock.Now())
}

// ConfirmAbsent settles the removals of instances that are not listed, if they
// were read at least lag ago. An instance that was a member before that time
// and still runs would be listed by now.
func (a *MemberAgent) ConfirmAbsent(listed map[ident.InstanceName]bool, lag time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.config.Clock.Now()
	for _, removal := range a.tracking.removals {
		if !listed[removal.Member.Instance] && now.Sub(removal.Read) >= lag {
			a.tracking.settle(removal.Member, now)
		}
	}
}

// Ready returns whether this instance may act on what it gained in the newest
// epoch, by points 1 and 2 of section 5a of the design. What it owned before
// without interruption needs only the fence.
func (a *MemberAgent) Ready() membership.Readiness {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.opened {
		return membership.Readiness{}
	}
	now := a.config.Clock.Now()
	return a.tracking.ready(a.cell.Load(), a.config.Region, a.self, now)
}
