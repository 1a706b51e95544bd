package worker

import (
	"context"
	"maps"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/publish"
)

// Table holds the sessions with the owned workers. Find and List take no lock.
// Open and Close are for one thread, which follows the ownership.
type Table struct {
	sessions *publish.Cell[map[ident.WorkerID]running]
}

// running is a session with the means to end it.
type running struct {
	session *Session
	cancel  context.CancelFunc
	done    chan struct{}
}

// NewTable returns a table without sessions.
func NewTable() *Table {
	return &Table{sessions: publish.New(&map[ident.WorkerID]running{})}
}

// Find returns the session with a worker.
func (t *Table) Find(id ident.WorkerID) (*Session, bool) {
	entry, found := (*t.sessions.Load())[id]
	return entry.session, found
}

// List returns the sessions in any order.
func (t *Table) List() []*Session {
	var list []*Session
	for _, entry := range *t.sessions.Load() {
		list = append(list, entry.session)
	}
	return list
}

// Open runs a session until Close or the end of ctx. An earlier session with
// the same worker ends first.
func (t *Table) Open(ctx context.Context, session *Session) {
	t.Close(session.worker)
	ctx, cancel := context.WithCancel(ctx)
	entry := running{session: session, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(entry.done)
		session.Run(ctx)
	}()
	t.change(func(next map[ident.WorkerID]running) { next[session.worker] = entry })
}

// Close removes the session with a worker and waits until it sends nothing
// more. Tasks at the worker run on until their run leases are over.
func (t *Table) Close(id ident.WorkerID) {
	entry, found := (*t.sessions.Load())[id]
	if !found {
		return
	}
	t.change(func(next map[ident.WorkerID]running) { delete(next, id) })
	entry.session.HandOver()
	entry.cancel()
	<-entry.done
}

func (t *Table) change(edit func(map[ident.WorkerID]running)) {
	t.sessions.Update(func(current *map[ident.WorkerID]running) *map[ident.WorkerID]running {
		next := maps.Clone(*current)
		edit(next)
		return &next
	})
}
