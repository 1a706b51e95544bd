package worker

import (
	"context"
	"maps"

	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/publish"
)

// SessionTable holds the sessions with the owned workers. Find and List take no
// lock. Open and Close must be called from one goroutine only, the one that
// follows the ownership of workers.
type SessionTable struct {
	sessions *publish.Value[map[ident.WorkerID]runningSession]
}

// runningSession is a session together with what is needed to end it.
type runningSession struct {
	session *Session
	cancel  context.CancelFunc
	done    chan struct{}
}

// NewSessionTable returns a table without sessions.
func NewSessionTable() *SessionTable {
	return &SessionTable{sessions: publish.New(&map[ident.WorkerID]runningSession{})}
}

// Find returns the session with a worker.
func (t *SessionTable) Find(id ident.WorkerID) (*Session, bool) {
	entry, found := (*t.sessions.Load())[id]
	return entry.session, found
}

// List returns the sessions in no particular order.
func (t *SessionTable) List() []*Session {
	var list []*Session
	for _, entry := range *t.sessions.Load() {
		list = append(list, entry.session)
	}
	return list
}

// Open runs a session until Close or the end of ctx. It first closes an earlier
// session with the same worker.
func (t *SessionTable) Open(ctx context.Context, session *Session) {
	t.Close(session.worker)
	ctx, cancel := context.WithCancel(ctx)
	entry := runningSession{session: session, cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(entry.done)
		session.Run(ctx)
	}()
	t.update(func(next map[ident.WorkerID]runningSession) { next[session.worker] = entry })
}

// Close removes the session with a worker and waits until it sends no more
// commands. Tasks at the worker run on until their run leases end.
func (t *SessionTable) Close(id ident.WorkerID) {
	entry, found := (*t.sessions.Load())[id]
	if !found {
		return
	}
	t.update(func(next map[ident.WorkerID]runningSession) { delete(next, id) })
	entry.session.StopStarts()
	entry.cancel()
	<-entry.done
}

func (t *SessionTable) update(edit func(map[ident.WorkerID]runningSession)) {
	t.sessions.Update(func(current *map[ident.WorkerID]runningSession) *map[ident.WorkerID]runningSession {
		next := maps.Clone(*current)
		edit(next)
		return &next
	})
}
