package instance

import (
	"context"
	"sync"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
)

// A region that is cut off from the log and from the other regions starts no new
// work, but its running tasks go on. Only members of the region ever own its
// workers, so lease grants from the members of the region are enough to exclude
// another owner. The continuation lease (MemberAgentOptions.ContinuationFence)
// expresses that. It may outlast the member lease, and an incarnation whose
// member lease has lapsed keeps its sessions with the workers until the next
// incarnation is a member.

// mayContinueRunning reports whether a lapsed incarnation may still keep its
// running tasks alive. It must be the last one that lapsed, and still be listed
// among the newest members.
func (a *MemberAgent) mayContinueRunning(lapsed ident.Incarnation) bool {
	if a.isMember || len(a.lapsedIncarnations) == 0 || a.lapsedIncarnations[len(a.lapsedIncarnations)-1] != lapsed {
		return false
	}
	_, isMember := a.members.Load().Find(lapsed)
	return isMember
}

// requestContinuationGrants requests lease grants from the members of the own
// region for the incarnation that lapsed last, so that its running tasks can go
// on.
func (a *MemberAgent) requestContinuationGrants(ctx context.Context, group *sync.WaitGroup, now time.Time) {
	if a.grantsRequested || len(a.lapsedIncarnations) == 0 {
		return
	}
	last := a.lapsedIncarnations[len(a.lapsedIncarnations)-1]
	if !a.mayContinueRunning(last) {
		return
	}
	state := a.members.Load()
	round := leaseGrantRound{self: last, epoch: state.Epoch, sent: now}
	for _, member := range state.Members {
		if member.Region == a.config.Region && member.ID != last {
			round.peers = append(round.peers, member)
		}
	}
	a.startGrantRound(ctx, group, round)
}

// announceLapsedIncarnations appends a Leave record for each earlier
// incarnation. It proves to the other members that the incarnation is over. If
// all instances had lapsed in the same outage, they could not know that
// otherwise. The continuation lease of an earlier incarnation has to end first;
// OnMember sees to that.
func (a *MemberAgent) announceLapsedIncarnations() {
	if a.config.OnMember != nil {
		a.config.OnMember(a.self)
	}
	for _, earlier := range a.lapsedIncarnations {
		// Without this record the other members wait as they do after a crash.
		_, _ = a.appendRecordAs(earlier, record.Leave{})
	}
	a.lapsedIncarnations = nil
}
