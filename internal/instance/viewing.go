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
	// viewPeriod is the time between two views, and between two summaries.
	viewPeriod = 200 * time.Millisecond
	// summaryEvery is the number of views from one summary to the next, which
	// makes one a second.
	summaryEvery = 5
)

// viewPeers sends summaries; they may be lost.
type viewPeers interface {
	Summary(to ident.Incarnation, summary codec.Summary) error
	ZoneTotal(to ident.Incarnation, total codec.ZoneTotal) error
}

// viewOptions are what a viewAgent uses. All fields are required.
type viewOptions struct {
	Self    ident.Incarnation
	Place   workers.Place
	Clock   clock.Clock
	Listing *publish.Cell[Listing]
	Rules   *publish.Cell[rules.Set]
	Members *publish.Cell[membership.State]
	View    *publish.Cell[workers.View]
	Owned   func() []workers.Owned
	Peers   viewPeers
}

// viewAgent builds the view of the workers and tells peers of the workers that
// this instance owns.
type viewAgent struct {
	options viewOptions
	// sent holds, for each peer of the zone, what it was last told. Only run
	// uses it.
	sent map[ident.Incarnation]map[ident.WorkerID]workers.Sent

	// mu protects heard and totals; it is never held during I/O.
	mu     sync.Mutex
	heard  map[ident.WorkerID]workers.Heard
	totals map[ident.ZoneName]codec.ZoneTotal
}

func newViewAgent(options viewOptions) *viewAgent {
	return &viewAgent{
		options: options,
		sent:    map[ident.Incarnation]map[ident.WorkerID]workers.Sent{},
		heard:   map[ident.WorkerID]workers.Heard{},
		totals:  map[ident.ZoneName]codec.ZoneTotal{},
	}
}

func (a *viewAgent) run(ctx context.Context) {
	ticker := a.options.Clock.NewTicker(viewPeriod)
	defer ticker.Stop()
	for round := 0; ; round++ {
		owned := a.options.Owned()
		a.build(owned)
		if round%summaryEvery == 0 {
			a.tell(owned)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *viewAgent) build(owned []workers.Owned) {
	from := workers.Sources{
		Now:    a.options.Clock.Now(),
		Listed: a.options.Listing.Load().Workers,
		Owned:  owned,
	}
	if set := a.options.Rules.Load(); set != nil {
		from.Drained = set.Drained
	}
	a.mu.Lock()
	from.Heard = maps.Clone(a.heard)
	a.mu.Unlock()
	a.options.View.Publish(workers.Build(a.options.View.Load(), from))
}

// tell sends the summaries that changed to the members of the own zone, and a
// total to the others.
func (a *viewAgent) tell(owned []workers.Owned) {
	now := a.options.Clock.Now()
	total := a.total(owned)
	told := map[ident.Incarnation]map[ident.WorkerID]workers.Sent{}
	for _, member := range a.options.Members.Load().Members {
		if member.ID == a.options.Self {
			continue
		}
		if member.Zone != a.options.Place.Zone {
			_ = a.options.Peers.ZoneTotal(member.ID, total)
			continue
		}
		changed, sent := workers.Changed(a.sent[member.ID], owned, now)
		told[member.ID] = sent
		if len(changed) == 0 {
			continue
		}
		if a.options.Peers.Summary(member.ID, codec.Summary{Workers: changed}) != nil {
			// All are due again once the link is back.
			told[member.ID] = nil
		}
	}
	a.sent = told
}

func (a *viewAgent) total(owned []workers.Owned) codec.ZoneTotal {
	var free resource.Vector
	for _, worker := range owned {
		if worker.Ready && !worker.Leaving {
			free = free.Add(worker.Free)
		}
	}
	return codec.ZoneTotal{Zone: a.options.Place.Zone, Free: free}
}

// summary takes what a peer tells of its workers.
func (a *viewAgent) summary(summary codec.Summary) {
	now := a.options.Clock.Now()
	listed := len(a.options.Listing.Load().Workers)
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, worker := range summary.Workers {
		if _, known := a.heard[worker.Worker]; !known && len(a.heard) > 2*listed {
			continue // Workers that nobody lists can't fill the memory.
		}
		a.heard[worker.Worker] = workers.Heard{Summary: worker, Arrived: now}
	}
}

// zoneTotal takes what a peer of another zone has free. Operators see it in the
// dump; requests ask for a worker by an Offer.
func (a *viewAgent) zoneTotal(total codec.ZoneTotal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.totals[total.Zone] = total
}

// zoneTotals returns the newest total of each other zone.
func (a *viewAgent) zoneTotals() map[ident.ZoneName]codec.ZoneTotal {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.totals)
}
