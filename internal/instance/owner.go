package instance

import (
	"context"
	"maps"
	"sync"
	"time"

	"poplarvalve/internal/connection/worker"
	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fence"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/ledger"
	"poplarvalve/internal/process/logging"
	"poplarvalve/internal/process/publish"
	"poplarvalve/internal/request/start"
	"poplarvalve/internal/version/jobs"
	"poplarvalve/internal/version/membership"
	"poplarvalve/internal/version/ownership"
	"poplarvalve/internal/version/workers"
)

// readyCheck is the time between looks at whether earlier owners are over, while
// a takeover waits for that.
const readyCheck = 250 * time.Millisecond

// ownerOptions are what an ownerAgent uses. All fields are required but Log.
type ownerOptions struct {
	Self      ident.Incarnation
	Clock     clock.Clock
	Fence     *fence.Fence
	Keep      *fence.Fence
	Ledger    *ledger.Ledger
	Ownership *publish.Cell[ownership.Table]
	Listing   *publish.Cell[Listing]
	// Ready says whether the instance may act on the newest epoch.
	Ready  func() membership.Readiness
	Dial   func(w workers.Listed) worker.API
	Random func() float64
	Health *healthAgent
	Usage  *usageAgent
	Log    *logging.Logger
}

// ownerAgent keeps a session with each worker that this incarnation owns. A
// session gets ready only after earlier owners can't act any more, and no start
// leaves for a worker after an epoch without its ownership was acknowledged.
type ownerAgent struct {
	options ownerOptions
	table   *worker.Table

	// mu is never held during I/O. It orders the opening of a session and the
	// epoch that takes its worker away.
	mu sync.Mutex
	// newest is the table of the newest epoch that epoch was told.
	newest *ownership.Table
	// opened holds the listed worker of each session.
	opened map[ident.WorkerID]workers.Listed
	// lost holds the workers whose sessions were handed over.
	lost map[ident.WorkerID]bool
	// closed is when the last session with a worker ended, if that was lately.
	closed map[ident.WorkerID]time.Time
	// over is the epoch whose earlier owners can't act any more, as of overAt.
	over   ident.Epoch
	overAt time.Time
}

func newOwnerAgent(options ownerOptions) *ownerAgent {
	return &ownerAgent{
		options: options,
		table:   worker.NewTable(),
		opened:  map[ident.WorkerID]workers.Listed{},
		lost:    map[ident.WorkerID]bool{},
		closed:  map[ident.WorkerID]time.Time{},
	}
}

// Session implements start.Sessions.
func (a *ownerAgent) Session(id ident.WorkerID) (start.Session, bool) {
	session, found := a.table.Find(id)
	if !found {
		return nil, false
	}
	return session, true
}

// epoch ends starts on the workers that the next table gives to others. It
// does no I/O. A table that is older than one told before has no effect.
func (a *ownerAgent) epoch(next *ownership.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if next == nil || a.newest != nil && next.Epoch <= a.newest.Epoch {
		return
	}
	a.newest = next
	for _, session := range a.table.List() {
		if a.owns(next, a.opened[session.Worker()]) {
			continue
		}
		session.HandOver()
		a.lost[session.Worker()] = true
	}
}

func (a *ownerAgent) owns(table *ownership.Table, listed workers.Listed) bool {
	owner, found := table.Owner(listed.ID, listed.Zone, listed.Region)
	return found && owner.ID == a.options.Self
}

// handOver ends starts on all workers.
func (a *ownerAgent) handOver() {
	for _, session := range a.table.List() {
		session.HandOver()
	}
}

// run opens and closes sessions until ctx ends.
func (a *ownerAgent) run(ctx context.Context) {
	defer a.closeAll()
	ticker := a.options.Clock.NewTicker(readyCheck)
	defer ticker.Stop()
	for {
		ownershipChanged := a.options.Ownership.Changed()
		listingChanged := a.options.Listing.Changed()
		a.follow(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ownershipChanged:
		case <-listingChanged:
		case <-ticker.C:
		}
	}
}

// follow makes the sessions those of the newest table and listing.
func (a *ownerAgent) follow(ctx context.Context) {
	table := a.options.Ownership.Load()
	if table == nil {
		return
	}
	wanted := map[ident.WorkerID]workers.Listed{}
	for _, listed := range a.options.Listing.Load().Workers {
		if a.owns(table, listed) {
			wanted[listed.ID] = listed
		}
	}
	for _, id := range a.unwanted(wanted) {
		a.close(id)
	}
	for _, listed := range wanted {
		a.open(ctx, listed)
	}
	a.clear()
}

// unwanted returns the workers whose session has to end, because the worker
// moved, vanished or changed its address or capacity.
func (a *ownerAgent) unwanted(wanted map[ident.WorkerID]workers.Listed) []ident.WorkerID {
	a.mu.Lock()
	defer a.mu.Unlock()
	var found []ident.WorkerID
	for id, listed := range a.opened {
		now, still := wanted[id]
		same := still && now.Address == listed.Address && now.Capacity == listed.Capacity
		if !same || a.lost[id] {
			found = append(found, id)
		}
	}
	return found
}

// close ends a session and waits until it sends nothing more.
func (a *ownerAgent) close(id ident.WorkerID) {
	a.table.Close(id)
	a.options.Ledger.Close(id)
	a.mu.Lock()
	delete(a.opened, id)
	delete(a.lost, id)
	a.noteClosed(id)
	a.mu.Unlock()
	a.options.Log.WorkerOwned(id, false)
}

// open begins a session with a worker, unless there is one or the newest epoch
// gives the worker to another member.
func (a *ownerAgent) open(ctx context.Context, listed workers.Listed) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, open := a.opened[listed.ID]
	if open || a.newest == nil || !a.owns(a.newest, listed) {
		return
	}
	account := ledger.NewAccount(listed.Capacity)
	session := worker.NewTakeover(worker.Options{
		API:     a.options.Dial(listed),
		Clock:   a.options.Clock,
		Worker:  listed.ID,
		Holder:  a.options.Self,
		Fence:   a.options.Fence,
		Keep:    a.options.Keep,
		Account: account,
		Random:  a.options.Random,
	})
	a.options.Ledger.Open(listed.ID, account)
	a.opened[listed.ID] = listed
	a.table.Open(ctx, session)
	a.options.Log.WorkerOwned(listed.ID, true)
}

// clear tells the sessions when earlier owners can't act any more. Sessions
// that were opened under the newest epoch are in the table before Ready is
// asked, so an answer for that epoch covers them.
func (a *ownerAgent) clear() {
	sessions := a.table.List()
	a.mu.Lock()
	newest := a.newest
	a.mu.Unlock()
	if !a.options.Ready().Ready {
		return
	}
	a.noteOver(newest)
	for _, session := range sessions {
		session.EarlierOwnersOver()
	}
}

// abandonedAfter is the time without an owner that renews a run lease after
// which it is over. A renewal that an owner sent before its end may arrive just before the
// run lease is over, which makes two run leases.
const abandonedAfter = 2*worker.RunLeasePeriod + worker.ClockMargin

// abandoned reports whether this incarnation owns a worker and neither it nor an
// earlier owner has renewed the run lease of a task there for longer than one
// lasts. A session that does not keep the task has not renewed it, or has seen
// its end. Any change of the members starts the time anew.
func (a *ownerAgent) abandoned(at jobs.Place, task ident.TaskID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Clock.Now()
	if a.newest == nil || a.over != a.newest.Epoch || !a.options.Fence.Open(now) {
		return false
	}
	if session, open := a.table.Find(at.Worker); open {
		if _, kept := session.LastRenewal(task); kept {
			return false
		}
	}
	if !a.owns(a.newest, workers.Listed{ID: at.Worker, Zone: at.Zone, Region: at.Region}) {
		return false
	}
	return now.Sub(a.overAt) >= abandonedAfter && now.Sub(a.closed[at.Worker]) >= abandonedAfter
}

// noteOver notes when the earlier owners of a table's workers were over.
func (a *ownerAgent) noteOver(table *ownership.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if table == nil || table.Epoch == a.over {
		return
	}
	a.over = table.Epoch
	a.overAt = a.options.Clock.Now()
}

// noteClosed notes the end of a session, and forgets ends that no longer
// matter. The caller holds mu.
func (a *ownerAgent) noteClosed(id ident.WorkerID) {
	now := a.options.Clock.Now()
	maps.DeleteFunc(a.closed, func(_ ident.WorkerID, at time.Time) bool { return now.Sub(at) > abandonedAfter })
	a.closed[id] = now
}

func (a *ownerAgent) closeAll() {
	for _, id := range a.unwanted(nil) {
		a.close(id)
	}
}

// learn folds the usage reports that arrived since the last call. It is called
// by one goroutine.
func (a *ownerAgent) learn() {
	owned := map[ident.WorkerID]bool{}
	for _, session := range a.table.List() {
		owned[session.Worker()] = true
		if measured := session.Measured(); measured != nil {
			a.options.Usage.measured(session.Worker(), measured)
		}
	}
	a.options.Usage.refresh(owned)
}

// owned returns what is known of the owned workers for the view.
func (a *ownerAgent) owned() []workers.Owned {
	var list []workers.Owned
	for _, session := range a.table.List() {
		account, found := a.options.Ledger.Find(session.Worker())
		if !found {
			continue
		}
		known := workers.Owned{
			Worker:  session.Worker(),
			Free:    account.Free(),
			Ready:   session.Ready(),
			Leaving: session.Leaving(),
			Health:  a.options.Health.worker(session.Worker()),
		}
		if measured := session.Measured(); measured != nil {
			for _, usage := range measured.Tasks {
				known.CPUUsed += usage.Used.CPU
			}
			known.Disturbance = a.options.Usage.disturbance(measured)
		}
		list = append(list, known)
	}
	return list
}
