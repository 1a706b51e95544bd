package instance

import (
	"context"
	"maps"
	"sync"
	"time"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/process/resource"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
)

const (
	// viewPeriod is the time between two versions of the view.
	viewPeriod = 200 * time.Millisecond
	// viewsPerSummary is the number of view periods from one summary to the
	// next, which makes one summary a second.
	viewsPerSummary = 5
)

// summarySender sends summaries and totals to peers; they may be lost.
type summarySender interface {
	SendSummary(to ident.Incarnation, summary codec.Summary) error
	SendZoneTotal(to ident.Incarnation, total codec.ZoneTotal) error
}

// viewOptions holds the dependencies of a viewAgent. All fields are required.
type viewOptions struct {
	Self    ident.Incarnation
	Origin  workers.Origin
	Clock   clock.Clock
	Listing *publish.Value[Listing]
	Rules   *publish.Value[rules.Set]
	Members *publish.Value[membership.State]
	View    *publish.Value[workers.View]
	Owned   func() []workers.OwnedWorker
	Peers   summarySender
}

// viewAgent builds the view of all workers, and reports the workers that this
// instance owns to its peers.
type viewAgent struct {
	options viewOptions
	// lastSent holds, for each peer of the zone, the summaries that were last
	// sent to it. Only run uses it.
	lastSent map[ident.Incarnation]map[ident.WorkerID]workers.SentSummary

	// mu protects peerSummaries and totalsByZone; it is never held during I/O.
	mu            sync.Mutex
	peerSummaries map[ident.WorkerID]workers.ReceivedSummary
	totalsByZone  map[ident.ZoneName]codec.ZoneTotal
}

func newViewAgent(options viewOptions) *viewAgent {
	return &viewAgent{
		options:       options,
		lastSent:      map[ident.Incarnation]map[ident.WorkerID]workers.SentSummary{},
		peerSummaries: map[ident.WorkerID]workers.ReceivedSummary{},
		totalsByZone:  map[ident.ZoneName]codec.ZoneTotal{},
	}
}

func (a *viewAgent) run(ctx context.Context) {
	ticker := a.options.Clock.NewTicker(viewPeriod)
	defer ticker.Stop()
	for round := 0; ; round++ {
		owned := a.options.Owned()
		a.publishView(owned)
		if round%viewsPerSummary == 0 {
			a.sendSummaries(owned)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *viewAgent) publishView(owned []workers.OwnedWorker) {
	sources := workers.Sources{
		Now:    a.options.Clock.Now(),
		Listed: a.options.Listing.Load().Workers,
		Owned:  owned,
	}
	if ruleSet := a.options.Rules.Load(); ruleSet != nil {
		sources.Drained = ruleSet.DrainedWorkers
	}
	a.mu.Lock()
	sources.Summaries = maps.Clone(a.peerSummaries)
	a.mu.Unlock()
	a.options.View.Publish(workers.Build(a.options.View.Load(), sources))
}

// sendSummaries sends the changed worker summaries to the members of the own
// zone, and the total free capacity to the members of other zones.
func (a *viewAgent) sendSummaries(owned []workers.OwnedWorker) {
	now := a.options.Clock.Now()
	total := a.ownZoneTotal(owned)
	sentNow := map[ident.Incarnation]map[ident.WorkerID]workers.SentSummary{}
	for _, member := range a.options.Members.Load().Members {
		if member.ID == a.options.Self {
			continue
		}
		if member.Zone != a.options.Origin.Zone {
			_ = a.options.Peers.SendZoneTotal(member.ID, total)
			continue
		}
		changed, sent := workers.SelectChanged(a.lastSent[member.ID], owned, now)
		sentNow[member.ID] = sent
		if len(changed) == 0 {
			continue
		}
		if a.options.Peers.SendSummary(member.ID, codec.Summary{Workers: changed}) != nil {
			// All summaries have to be sent again once the link is back.
			sentNow[member.ID] = nil
		}
	}
	a.lastSent = sentNow
}

func (a *viewAgent) ownZoneTotal(owned []workers.OwnedWorker) codec.ZoneTotal {
	var free resource.Vector
	for _, worker := range owned {
		if worker.Ready && !worker.Leaving {
			free = free.Add(worker.Free)
		}
	}
	return codec.ZoneTotal{Zone: a.options.Origin.Zone, Free: free}
}

// summary handles the worker summaries of a peer.
func (a *viewAgent) summary(summary codec.Summary) {
	now := a.options.Clock.Now()
	listed := len(a.options.Listing.Load().Workers)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, worker := range summary.Workers {
		if _, known := a.peerSummaries[worker.Worker]; !known && len(a.peerSummaries) > 2*listed {
			continue // Unlisted workers must not fill the memory.
		}
		a.peerSummaries[worker.Worker] = workers.ReceivedSummary{Summary: worker, ReceivedAt: now}
	}
}

// receiveZoneTotal handles the total free capacity of another zone. Operators
// see it in the dump. Requests do not use it; they ask for a worker with a
// WorkerRequest message.
func (a *viewAgent) receiveZoneTotal(total codec.ZoneTotal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.totalsByZone[total.Zone] = total
}

// zoneTotals returns the newest total of each other zone.
func (a *viewAgent) zoneTotals() map[ident.ZoneName]codec.ZoneTotal {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.totalsByZone)
}
