package instance

import (
	"context"
	"sync"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/version/membership"
)

// leaseGrantTimeout bounds one round of lease grant requests.
const leaseGrantTimeout = 1 * time.Second

// RegionCutPolicy selects the members whose lease grants renew a lease while the
// log is unreachable.
type RegionCutPolicy string

const (
	// RefuseWhenCut requires lease grants from all members, so a region that
	// is cut off from the log and from another region refuses work.
	RefuseWhenCut RegionCutPolicy = "refuse"
	// ServeWhenCut requires lease grants from the members of the own region
	// only, so a region that is cut off keeps serving.
	ServeWhenCut RegionCutPolicy = "serve"
)

// LeaseGrant states that the member that gives it will not act on an epoch that
// lacks the requesting incarnation until one lease after its reply.
type LeaseGrant struct {
	// RulesVersion is the rules version in force at the member that gives the
	// grant.
	RulesVersion ident.Offset
}

// LeaseGrantRequester requests a lease grant from a peer. An error means that
// none was given.
type LeaseGrantRequester interface {
	RequestLeaseGrant(ctx context.Context, to membership.Member, epoch ident.Epoch) (LeaseGrant, error)
}

// leaseGrantRound is one round of lease grant requests, for the incarnation
// self and sent at one time to all peers.
type leaseGrantRound struct {
	self  ident.Incarnation
	epoch ident.Epoch
	sent  time.Time
	peers []membership.Member
}

// newLeaseGrantRound returns the round of requests that renews the lease of the
// current incarnation. It is called with the mutex held.
func (a *MemberAgent) newLeaseGrantRound(now time.Time) leaseGrantRound {
	state := a.members.Load()
	round := leaseGrantRound{self: a.self, epoch: state.Epoch, sent: now}
	for _, member := range state.Members {
		included := a.options.RegionCutPolicy != ServeWhenCut || member.Region == a.options.Region
		if included && member.ID != a.self {
			round.peers = append(round.peers, member)
		}
	}
	return round
}

// requestLeaseGrants requests a lease grant from each peer of the round. It
// renews both leases if all peers give one, and the continuation lease if all
// peers of the own region do. It takes the mutex itself.
func (a *MemberAgent) requestLeaseGrants(ctx context.Context, round leaseGrantRound) {
	ctx, cancel := context.WithTimeout(ctx, leaseGrantTimeout)
	defer cancel()
	granted := make([]bool, len(round.peers))
	var group sync.WaitGroup
	for i, peer := range round.peers {
		group.Go(func() { granted[i] = a.requestLeaseGrant(ctx, peer, round.epoch) })
	}
	group.Wait()
	allGranted, regionGranted := true, true
	for i, peerGranted := range granted {
		allGranted = allGranted && peerGranted
		regionGranted = regionGranted && (peerGranted || round.peers[i].Region != a.options.Region)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.grantsRequested = false
	now := a.options.Clock.Now()
	a.rejoinIfExpired(now)
	if round.epoch != a.members.Load().Epoch || a.leaving {
		return
	}
	if allGranted && round.self == a.self && a.leaseObtained {
		a.renewLeases(round.sent, now)
	}
	if regionGranted && (round.self == a.self && a.leaseObtained || a.mayContinueRunning(round.self)) {
		a.options.ContinuationFence.Renew(round.sent, membership.Lease)
	}
}

func (a *MemberAgent) requestLeaseGrant(ctx context.Context, peer membership.Member, epoch ident.Epoch) bool {
	grant, err := a.options.LeaseGrants.RequestLeaseGrant(ctx, peer, epoch)
	if err != nil {
		return false
	}
	if a.options.OnLeaseGrant != nil {
		a.options.OnLeaseGrant(peer, grant)
	}
	return true
}

// GrantLease gives a lease grant to the incarnation from: until one lease and
// the clock margin have passed, this process will not act on an epoch that
// lacks from, unless from ends its membership by its own record. to is the
// incarnation that was asked. An earlier incarnation of this process still
// answers, so that the expiry of its lease does not stop the other members
// during an outage of the log. The error is Fenced if from is not a member here
// or if to is not an incarnation of this process.
func (a *MemberAgent) GrantLease(from, to ident.Incarnation, epoch ident.Epoch) (LeaseGrant, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ownIncarnations[to] {
		return LeaseGrant{}, fault.New(fault.Fenced, "a lease grant was requested from %s, which is not an incarnation of this process", to)
	}
	if _, isMember := a.members.Load().Find(from); !isMember {
		return LeaseGrant{}, fault.New(fault.Fenced, "a lease grant was requested by %s, which is not a member", from)
	}
	now := a.options.Clock.Now()
	a.tracker.grantedUntil[from] = now.Add(membership.Lease + membership.ClockMargin)
	a.tracker.acknowledge(from, ident.Offset(epoch), now)
	grant := LeaseGrant{}
	if a.options.ConfigVersion != nil {
		grant.RulesVersion = a.options.ConfigVersion()
	}
	return grant, nil
}

// Acknowledge records the membership offset that a member has applied, as
// stated on its peer link.
func (a *MemberAgent) Acknowledge(member ident.Incarnation, applied ident.Offset) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracker.acknowledge(member, applied, a.options.Clock.Now())
}

// ConfirmEnded records that, according to the platform, the process of a
// removed member has ended. It is needed if none of the members that the
// removed one knew has survived.
func (a *MemberAgent) ConfirmEnded(member ident.Incarnation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracker.markCannotRenew(member, a.options.Clock.Now())
}

// ConfirmAbsent confirms the end of each removed member whose instance is not
// listed, if its removal was read at least lag ago. An instance that was a
// member before that time and still runs would be listed by now.
func (a *MemberAgent) ConfirmAbsent(listed map[ident.InstanceName]bool, lag time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Clock.Now()
	for _, removal := range a.tracker.removals {
		if !listed[removal.Member.Instance] && now.Sub(removal.ReadAt) >= lag {
			a.tracker.markCannotRenew(removal.Member, now)
		}
	}
}

// Readiness returns whether this instance may act on what it gained in the
// newest epoch (design, section 5a, points 1 and 2). For what it has owned
// without interruption since before that epoch, the fence alone decides.
func (a *MemberAgent) Readiness() membership.Readiness {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.leaseObtained {
		return membership.Readiness{}
	}
	now := a.options.Clock.Now()
	return a.tracker.readiness(a.members.Load(), a.options.Region, a.self, now)
}
