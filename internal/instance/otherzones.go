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
	// workerRequestTimeout bounds how long the members of other zones have to
	// name a worker. It is longer than a round trip between regions.
	workerRequestTimeout = 250 * time.Millisecond
	// maxWorkerRequests bounds the number of members that are asked on behalf of
	// one request.
	maxWorkerRequests = 2
)

// workerRequester requests a worker of another zone from a peer.
type workerRequester interface {
	RequestWorker(ctx context.Context, to ident.Incarnation, request codec.WorkerRequest) (codec.WorkerReply, error)
}

// otherZoneFinder finds workers in other zones for requests that find none in
// their own zone. It asks members of the own region before members of other
// regions.
type otherZoneFinder struct {
	origin  workers.Origin
	members *publish.Value[membership.State]
	view    *publish.Value[workers.View]
	peers   workerRequester
}

// Candidates returns the workers that members of other zones name for the
// demand. Members that do not answer within workerRequestTimeout are left out.
// Candidates implements serve.OtherZones.
func (f *otherZoneFinder) Candidates(ctx context.Context, demand resource.Vector) []placement.Candidate {
	ctx, cancel := context.WithTimeout(ctx, workerRequestTimeout)
	defer cancel()
	members := f.membersToAsk()
	foundWorkers := make([]ident.WorkerID, len(members))
	var group sync.WaitGroup
	for i, member := range members {
		group.Go(func() {
			reply, err := f.peers.RequestWorker(ctx, member.ID, codec.WorkerRequest{Demand: demand})
			if err == nil {
				foundWorkers[i] = reply.Worker
			}
		})
	}
	group.Wait()
	return f.candidatesOf(foundWorkers)
}

// membersToAsk returns one member for each of the nearest other zones, at most
// maxWorkerRequests.
func (f *otherZoneFinder) membersToAsk() []membership.Member {
	var members []membership.Member
	seenZones := map[ident.ZoneName]bool{f.origin.Zone: true}
	for _, sameRegion := range []bool{true, false} {
		for _, member := range f.members.Load().Members {
			if seenZones[member.Zone] || (member.Region == f.origin.Region) != sameRegion {
				continue
			}
			seenZones[member.Zone] = true
			members = append(members, member)
		}
	}
	return members[:min(len(members), maxWorkerRequests)]
}

func (f *otherZoneFinder) candidatesOf(foundWorkers []ident.WorkerID) []placement.Candidate {
	view := f.view.Load()
	var candidates []placement.Candidate
	for _, id := range foundWorkers {
		worker, known := view.Find(id)
		if !known || slices.ContainsFunc(candidates, func(c placement.Candidate) bool { return c.Worker == id }) {
			continue
		}
		candidates = append(candidates, placement.Candidate{Worker: id, Zone: worker.Zone, Region: worker.Region})
	}
	return candidates
}
