package instance

import (
	"context"
	"slices"
	"sync"
	"time"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/request/placement"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/workers"
)

const (
	// offerTimeout bounds how long the members of other zones have to offer a
	// worker. It is longer than a round trip between regions.
	offerTimeout = 250 * time.Millisecond
	// maxOfferRequests bounds the number of members that are asked on behalf of
	// one request.
	maxOfferRequests = 2
)

// offerRequester asks a peer to offer a worker.
type offerRequester interface {
	RequestWorker(ctx context.Context, to ident.Incarnation, offer codec.WorkerRequest) (codec.WorkerReply, error)
}

// otherZoneFinder finds workers in other zones for requests that find none in
// their own zone. It asks members of the own region before members of other
// regions.
type otherZoneFinder struct {
	place   workers.Origin
	members *publish.Value[membership.State]
	view    *publish.Value[workers.View]
	peers   offerRequester
}

// Candidates returns the workers that members of other zones offer for the
// demand. Members that do not answer within offerTimeout are left out.
// Candidates implements serve.OtherZones.
func (e *otherZoneFinder) Candidates(ctx context.Context, demand resource.Vector) []placement.Candidate {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	members := e.membersToAsk()
	offeredWorkers := make([]ident.WorkerID, len(members))
	var group sync.WaitGroup
	for i, member := range members {
		group.Go(func() {
			reply, err := e.peers.RequestWorker(ctx, member.ID, codec.WorkerRequest{Demand: demand})
			if err == nil {
				offeredWorkers[i] = reply.Worker
			}
		})
	}
	group.Wait()
	return e.candidatesOf(offeredWorkers)
}

// membersToAsk returns one member for each of the nearest other zones, at most
// maxOfferRequests.
func (e *otherZoneFinder) membersToAsk() []membership.Member {
	var members []membership.Member
	seenZones := map[ident.ZoneName]bool{e.place.Zone: true}
	for _, sameRegion := range []bool{true, false} {
		for _, member := range e.members.Load().Members {
			if seenZones[member.Zone] || (member.Region == e.place.Region) != sameRegion {
				continue
			}
			seenZones[member.Zone] = true
			members = append(members, member)
		}
	}
	return members[:min(len(members), maxOfferRequests)]
}

func (e *otherZoneFinder) candidatesOf(offeredWorkers []ident.WorkerID) []placement.Candidate {
	view := e.view.Load()
	var candidates []placement.Candidate
	for _, id := range offeredWorkers {
		worker, known := view.Find(id)
		if !known || slices.ContainsFunc(candidates, func(c placement.Candidate) bool { return c.Worker == id }) {
			continue
		}
		candidates = append(candidates, placement.Candidate{Worker: id, Zone: worker.Zone, Region: worker.Region})
	}
	return candidates
}
