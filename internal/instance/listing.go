package instance

import (
	"context"
	"time"

	"poplarvalve/internal/connection/platform"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/version/workers"
)

const (
	// listPollPeriod is the time between two polls of the instance list. With
	// this period, a leaving worker gets no new work after about three seconds.
	listPollPeriod = 2 * time.Second
	// maxListLag bounds how long the platform's list may lack a running
	// instance. It is one of the assumptions made about the platform.
	maxListLag = 30 * time.Second
	// maxListPollPeriod bounds the time between polls while they fail.
	maxListPollPeriod = 8 * time.Second
)

// InstanceList reads the platform's list of instances, which lags behind their
// actual state.
type InstanceList interface {
	ListInstances(ctx context.Context) ([]platform.ListedInstance, error)
}

// Listing is an immutable version of the instance list.
type Listing struct {
	Workers []workers.ListedWorker
	// Entries is the set of listed entry instances.
	Entries map[ident.InstanceName]bool
}

// instanceListAgent polls the instance list. While polls fail, the last version
// stays published.
type instanceListAgent struct {
	clock   clock.Clock
	list    InstanceList
	listing *publish.Value[Listing]
	// onListing is called after each successful poll, with the previous and the
	// new version.
	onListing func(previous, next *Listing)
}

func newInstanceListAgent(clock clock.Clock, list InstanceList, onListing func(previous, next *Listing)) *instanceListAgent {
	return &instanceListAgent{clock: clock, list: list, listing: publish.New(&Listing{}), onListing: onListing}
}

func (a *instanceListAgent) run(ctx context.Context) {
	wait := listPollPeriod
	for {
		if a.poll(ctx) == nil {
			wait = listPollPeriod
		} else {
			wait = min(2*wait, maxListPollPeriod)
		}
		timer := a.clock.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

func (a *instanceListAgent) poll(ctx context.Context) error {
	listed, err := a.list.ListInstances(ctx)
	if err != nil {
		return err
	}
	previous := a.listing.Load()
	next := parseListing(listed)
	a.listing.Publish(next)
	a.onListing(previous, next)
	return nil
}

func parseListing(listed []platform.ListedInstance) *Listing {
	next := &Listing{Entries: map[ident.InstanceName]bool{}}
	for _, item := range listed {
		switch item.Kind {
		case platform.KindWorker:
			next.Workers = append(next.Workers, workers.ListedWorker{
				ID:       ident.WorkerID(item.ID),
				Address:  item.Address,
				Zone:     item.Zone,
				Region:   item.Region,
				Rack:     item.Rack,
				Capacity: item.Capacity,
				Leaving:  item.State != platform.StateLive,
			})
		case platform.KindEntry:
			next.Entries[ident.InstanceName(item.ID)] = true
		}
	}
	return next
}
