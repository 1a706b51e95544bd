// Package instance assembles one entry instance from the parts that live for a
// process, a version, a connection and a request. It is the only package that
// imports all four.
package instance

import (
	"context"
	"sync"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fence"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/ledger"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/request/serve"
	"poplarvalve/internal/request/start"
	"poplarvalve/internal/version/ownership"
	"poplarvalve/internal/version/rules"
	"poplarvalve/internal/version/workers"
)

// defaultDeadline applies to requests when neither they nor their service state one.
const defaultDeadline = 2 * time.Second

// Parts are the connections of an instance to the outside.
type Parts struct {
	Clock clock.Clock
	Peers serve.Peers
	// Dial returns the connection to a worker.
	Dial func(w workers.Worker) worker.API
}

// Instance is one running entry instance.
type Instance struct {
	Self      ident.Incarnation
	Fence     *fence.Fence
	Ledger    *ledger.Ledger
	Rules     *publish.Cell[rules.Set]
	Workers   *publish.Cell[workers.View]
	Ownership *publish.Cell[ownership.Table]
	Engine    *serve.Engine

	parts    Parts
	sessions *publish.Cell[sessionTable]
}

// sessionTable is an immutable version of the sessions with owned workers.
type sessionTable map[ident.WorkerID]*worker.Session

// Session implements start.Sessions.
func (i *Instance) Session(id ident.WorkerID) (start.Session, bool) {
	session, found := (*i.sessions.Load())[id]
	return session, found
}

// New returns an instance that owns nothing and whose fence is closed.
func New(self ident.Incarnation, place workers.Place, parts Parts) *Instance {
	i := &Instance{
		Self:      self,
		Fence:     fence.New(parts.Clock.Now()),
		Ledger:    ledger.New(),
		Rules:     publish.New[rules.Set](nil),
		Workers:   publish.New[workers.View](nil),
		Ownership: publish.New[ownership.Table](nil),
		parts:     parts,
		sessions:  publish.New(&sessionTable{}),
	}
	runner := &start.Runner{
		Clock:    parts.Clock,
		Fence:    i.Fence,
		Ledger:   i.Ledger,
		Sessions: i,
		RunLease: worker.RunLeasePeriod,
	}
	i.Engine = &serve.Engine{
		Self:            self,
		Place:           place,
		Clock:           parts.Clock,
		Start:           runner,
		Peers:           parts.Peers,
		Rules:           i.Rules,
		Workers:         i.Workers,
		Ownership:       i.Ownership,
		DefaultDeadline: defaultDeadline,
	}
	return i
}

// Run keeps the sessions with the owned workers until ctx ends.
func (i *Instance) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, known := range i.Workers.Load().List {
		session := i.open(known)
		group.Go(func() { session.Run(ctx) })
	}
}

// open creates the session and the account of a worker.
func (i *Instance) open(known workers.Worker) *worker.Session {
	session := worker.NewSession(i.parts.Dial(known), i.parts.Clock, known.ID, i.Self)
	i.Ledger.Open(known.ID, ledger.NewAccount(known.Capacity))
	i.sessions.Update(func(current *sessionTable) *sessionTable {
		next := sessionTable{known.ID: session}
		for id, other := range *current {
			next[id] = other
		}
		return &next
	})
	return session
}
