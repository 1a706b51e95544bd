package instance

import (
	"context"
	"sync"
	"time"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
)

// A region that lost the log and the other regions starts nothing new, but what
// runs there goes on: only members of the region ever own its workers, so their
// promises alone exclude another owner. The keep lease says so. It
// outlives the lease for starts, and the incarnation that lapsed keeps its
// sessions with the workers until the next one is a member.

// keeps says whether a lapsed incarnation may still keep what runs: it is the
// last that lapsed, and the newest folded members name it.
func (a *MemberAgent) keeps(lapsed ident.Incarnation) bool {
	if a.member || len(a.lapsed) == 0 || a.lapsed[len(a.lapsed)-1] != lapsed {
		return false
	}
	_, present := a.cell.Load().Find(lapsed)
	return present
}

// keepRunning asks the members of the own region to promise once more to the
// incarnation that lapsed.
func (a *MemberAgent) keepRunning(ctx context.Context, group *sync.WaitGroup, now time.Time) {
	if a.asking || len(a.lapsed) == 0 {
		return
	}
	last := a.lapsed[len(a.lapsed)-1]
	if !a.keeps(last) {
		return
	}
	state := a.cell.Load()
	request := promiseRequest{self: last, epoch: state.Epoch, sent: now}
	for _, member := range state.Members {
		if member.Region == a.config.Region && member.ID != last {
			request.peers = append(request.peers, member)
		}
	}
	a.ask(ctx, group, request)
}

// announceLapsed appends the Leave of each earlier incarnation. It proves to the
// others that the incarnation is over, which they couldn't know if all instances
// lapsed in the same outage. Its keep lease has to be over before.
func (a *MemberAgent) announceLapsed() {
	if a.config.OnMember != nil {
		a.config.OnMember(a.self)
	}
	for _, earlier := range a.lapsed {
		// Without the record the others wait as for a crash.
		_, _ = a.addAs(earlier, record.Leave{})
	}
	a.lapsed = nil
}
