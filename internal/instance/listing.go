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
	// listPeriod is the time between two reads of the instance list. With it a
	// leaving worker gets nothing new after about three seconds.
	listPeriod = 2 * time.Second
	// listLag bounds how long the platform's list may lack a running instance. It
	// is part of what is assumed of the platform.
	listLag = 30 * time.Second
	// maxListBackoff bounds the pause between reads that fail.
	maxListBackoff = 8 * time.Second
)

// InstanceList is the platform's lagging list of instances.
type InstanceList interface {
	Instances(ctx context.Context) ([]platform.ListedInstance, error)
}

// Listing is one version of the instance list.
type Listing struct {
	Workers []workers.Listed
	// Entries holds the listed entry instances.
	Entries map[ident.InstanceName]bool
}

// listAgent reads the instance list. After failed reads the last version stays.
type listAgent struct {
	clock clock.Clock
	list  InstanceList
	cell  *publish.Cell[Listing]
	// read is called with each version and the one before it.
	read func(before, next *Listing)
}

func newListAgent(clock clock.Clock, list InstanceList, read func(before, next *Listing)) *listAgent {
	return &listAgent{clock: clock, list: list, cell: publish.New(&Listing{}), read: read}
}

func (a *listAgent) run(ctx context.Context) {
	wait := listPeriod
	for {
		if a.poll(ctx) == nil {
			wait = listPeriod
		} else {
			wait = min(2*wait, maxListBackoff)
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

func (a *listAgent) poll(ctx context.Context) error {
	listed, err := a.list.Instances(ctx)
	if err != nil {
		return err
	}
	before := a.cell.Load()
	next := parseListing(listed)
	a.cell.Publish(next)
	a.read(before, next)
	return nil
}

func parseListing(listed []platform.ListedInstance) *Listing {
	next := &Listing{Entries: map[ident.InstanceName]bool{}}
	for _, line := range listed {
		switch line.Kind {
		case platform.KindWorker:
			next.Workers = append(next.Workers, workers.Listed{
				ID:       ident.WorkerID(line.ID),
				Address:  line.Address,
				Zone:     line.Zone,
				Region:   line.Region,
				Rack:     line.Rack,
				Capacity: line.Capacity,
				Leaving:  line.State != platform.StateLive,
			})
		case platform.KindEntry:
			next.Entries[ident.InstanceName(line.ID)] = true
		}
	}
	return next
}
