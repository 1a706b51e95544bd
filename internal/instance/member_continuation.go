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
// member lease has expired keeps its sessions with the workers until the next
// incarnation is a member.

// mayContinueRunning reports whether an incarnation whose member lease has
// expired may still keep its running tasks alive. It must be the last one that
// expired, and still be listed among the newest members.
func (a *MemberAgent) mayContinueRunning(expired ident.Incarnation) bool {
	if a.isMember || len(a.expiredIncarnations) == 0 || a.expiredIncarnations[len(a.expiredIncarnations)-1] != expired {
		return false
	}
	_, isMember := a.members.Load().Find(expired)
	return isMember
}

// requestContinuationGrants requests lease grants from the members of the own
// region for the incarnation that expired last, so that its running tasks can
// go on.
func (a *MemberAgent) requestContinuationGrants(ctx context.Context, group *sync.WaitGroup, now time.Time) {
	if a.grantsRequested || len(a.expiredIncarnations) == 0 {
		return
	}
	last := a.expiredIncarnations[len(a.expiredIncarnations)-1]
	if !a.mayContinueRunning(last) {
		return
	}
	state := a.members.Load()
	round := leaseGrantRound{self: last, epoch: state.Epoch, sent: now}
	for _, member := range state.Members {
		if member.Region == a.options.Region && member.ID != last {
			round.peers = append(round.peers, member)
		}
	}
	a.startGrantRound(ctx, group, round)
}

// announceExpiredIncarnations appends a Leave record for each earlier
// incarnation. It proves to the other members that the incarnation is over. They
// could not know that otherwise if the leases of all instances had expired in
// the same outage. The continuation lease of an earlier incarnation has to end
// first; OnMember sees to that.
func (a *MemberAgent) announceExpiredIncarnations() {
	if a.options.OnMember != nil {
		a.options.OnMember(a.self)
	}
	for _, earlier := range a.expiredIncarnations {
		// Without this record the other members wait as they do after a crash.
		_, _ = a.appendRecordAs(earlier, record.Leave{})
	}
	a.expiredIncarnations = nil
}
