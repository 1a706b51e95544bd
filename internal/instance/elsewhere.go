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
	// offerTimeout bounds the question to other zones. It is longer than a round
	// trip between regions.
	offerTimeout = 250 * time.Millisecond
	// maxOffers bounds the members that one request asks.
	maxOffers = 2
)

// offerPeers asks a peer for a worker.
type offerPeers interface {
	Offer(ctx context.Context, to ident.Incarnation, offer codec.Offer) (codec.Offered, error)
}

// elsewhere finds workers of other zones for requests that find none in their
// own. Members of the own region are asked before those of other regions.
type elsewhere struct {
	place   workers.Place
	members *publish.Cell[membership.State]
	view    *publish.Cell[workers.View]
	peers   offerPeers
}

// Candidates implements serve.Elsewhere.
func (e *elsewhere) Candidates(ctx context.Context, demand resource.Vector) []placement.Candidate {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	asked := e.asked()
	offered := make([]ident.WorkerID, len(asked))
	var group sync.WaitGroup
	for i, member := range asked {
		group.Go(func() {
			answer, err := e.peers.Offer(ctx, member.ID, codec.Offer{Demand: demand})
			if err == nil {
				offered[i] = answer.Worker
			}
		})
	}
	group.Wait()
	return e.candidates(offered)
}

// asked returns one member of each of the nearest other zones.
func (e *elsewhere) asked() []membership.Member {
	var found []membership.Member
	zones := map[ident.ZoneName]bool{e.place.Zone: true}
	for _, sameRegion := range []bool{true, false} {
		for _, member := range e.members.Load().Members {
			if zones[member.Zone] || (member.Region == e.place.Region) != sameRegion {
				continue
			}
			zones[member.Zone] = true
			found = append(found, member)
		}
	}
	return found[:min(len(found), maxOffers)]
}

func (e *elsewhere) candidates(offered []ident.WorkerID) []placement.Candidate {
	view := e.view.Load()
	var found []placement.Candidate
	for _, id := range offered {
		worker, known := view.Find(id)
		if !known || slices.ContainsFunc(found, func(c placement.Candidate) bool { return c.Worker == id }) {
			continue
		}
		found = append(found, placement.Candidate{Worker: id, Zone: worker.Zone, Region: worker.Region})
	}
	return found
}
