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

// readinessCheckPeriod is the time between checks whether earlier owners can no
// longer act, while a takeover waits for that.
const readinessCheckPeriod = 250 * time.Millisecond

// ownerOptions holds the dependencies of an ownerAgent. All fields are required
// except Log.
type ownerOptions struct {
	Self              ident.Incarnation
	Clock             clock.Clock
	StartFence        *fence.Fence
	ContinuationFence *fence.Fence
	Ledger            *ledger.Ledger
	Ownership         *publish.Value[ownership.Table]
	Listing           *publish.Value[Listing]
	// Ready returns whether the instance may act on the newest epoch.
	Ready      func() membership.Readiness
	DialWorker func(w workers.ListedWorker) worker.WorkerClient
	Random     func() float64
	Health     *healthAgent
	Usage      *usageAgent
	Log        *logging.Logger
}

// ownerAgent keeps a session with each worker that this incarnation owns. A
// session becomes ready only when earlier owners can no longer act. Once an
// epoch has been acknowledged, no start is sent to a worker that the epoch gives
// to another member.
type ownerAgent struct {
	options  ownerOptions
	sessions *worker.SessionTable

	// mu is never held during I/O. It orders the opening of a session relative
	// to the epoch that gives the worker to another member.
	mu sync.Mutex
	// newestTable is the ownership table of the newest epoch passed to
	// handleEpoch.
	newestTable *ownership.Table
	// sessionWorkers holds, for each open session, the worker as it was listed
	// at the opening.
	sessionWorkers map[ident.WorkerID]workers.ListedWorker
	// startsStopped holds the workers whose sessions may send no more starts.
	startsStopped map[ident.WorkerID]bool
	// closedAt holds, for each worker, when the last session with it ended, if
	// that was within runLeaseExpiredAfter.
	closedAt map[ident.WorkerID]time.Time
	// exclusiveEpoch is the epoch whose earlier owners can no longer act, and
	// exclusiveSince is when that was established.
	exclusiveEpoch ident.Epoch
	exclusiveSince time.Time
}

func newOwnerAgent(options ownerOptions) *ownerAgent {
	return &ownerAgent{
		options:        options,
		sessions:       worker.NewSessionTable(),
		sessionWorkers: map[ident.WorkerID]workers.ListedWorker{},
		startsStopped:  map[ident.WorkerID]bool{},
		closedAt:       map[ident.WorkerID]time.Time{},
	}
}

// Session returns the session with a worker, if there is one. It implements
// start.Sessions.
func (a *ownerAgent) Session(id ident.WorkerID) (start.Session, bool) {
	session, found := a.sessions.Find(id)
	if !found {
		return nil, false
	}
	return session, true
}

// handleEpoch stops starts on the workers that the next table gives to other
// members. It does no I/O. It ignores a table that is not newer than one passed
// before.
func (a *ownerAgent) handleEpoch(next *ownership.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if next == nil || a.newestTable != nil && next.Epoch <= a.newestTable.Epoch {
		return
	}
	a.newestTable = next
	for _, session := range a.sessions.List() {
		if a.owns(next, a.sessionWorkers[session.Worker()]) {
			continue
		}
		session.StopStarts()
		a.startsStopped[session.Worker()] = true
	}
}

func (a *ownerAgent) owns(table *ownership.Table, listed workers.ListedWorker) bool {
	owner, found := table.Owner(listed.ID, listed.Zone, listed.Region)
	return found && owner.ID == a.options.Self
}

// stopAllStarts stops starts on all workers.
func (a *ownerAgent) stopAllStarts() {
	for _, session := range a.sessions.List() {
		session.StopStarts()
	}
}

// run opens and closes sessions until ctx ends.
func (a *ownerAgent) run(ctx context.Context) {
	defer a.closeAllSessions()
	ticker := a.options.Clock.NewTicker(readinessCheckPeriod)
	defer ticker.Stop()
	for {
		ownershipChanged := a.options.Ownership.Changed()
		listingChanged := a.options.Listing.Changed()
		a.reconcileSessions(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ownershipChanged:
		case <-listingChanged:
		case <-ticker.C:
		}
	}
}

// reconcileSessions closes and opens sessions so that they match the newest
// ownership table and instance list.
func (a *ownerAgent) reconcileSessions(ctx context.Context) {
	table := a.options.Ownership.Load()
	if table == nil {
		return
	}
	wanted := map[ident.WorkerID]workers.ListedWorker{}
	for _, listed := range a.options.Listing.Load().Workers {
		if a.owns(table, listed) {
			wanted[listed.ID] = listed
		}
	}
	for _, id := range a.sessionsToClose(wanted) {
		a.closeSession(id)
	}
	for _, listed := range wanted {
		a.openSession(ctx, listed)
	}
	a.reportEarlierOwnersOver()
}

// sessionsToClose returns the workers whose sessions have to end, because the
// worker has another owner, has vanished from the list, or has another address
// or capacity.
func (a *ownerAgent) sessionsToClose(wanted map[ident.WorkerID]workers.ListedWorker) []ident.WorkerID {
	a.mu.Lock()
	defer a.mu.Unlock()
	var ids []ident.WorkerID
	for id, listed := range a.sessionWorkers {
		current, isWanted := wanted[id]
		unchanged := isWanted && current.Address == listed.Address && current.Capacity == listed.Capacity
		if !unchanged || a.startsStopped[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// closeSession ends a session and waits until it sends nothing more.
func (a *ownerAgent) closeSession(id ident.WorkerID) {
	a.sessions.Close(id)
	a.options.Ledger.Close(id)
	a.mu.Lock()
	delete(a.sessionWorkers, id)
	delete(a.startsStopped, id)
	a.noteClosed(id)
	a.mu.Unlock()
	a.options.Log.WorkerOwnerChanged(id, false)
}

// openSession opens a session with a worker, unless there is one already or the
// newest epoch gives the worker to another member.
func (a *ownerAgent) openSession(ctx context.Context, listed workers.ListedWorker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, open := a.sessionWorkers[listed.ID]
	if open || a.newestTable == nil || !a.owns(a.newestTable, listed) {
		return
	}
	account := ledger.NewAccount(listed.Capacity)
	session := worker.NewTakeoverSession(worker.Options{
		Client:            a.options.DialWorker(listed),
		Clock:             a.options.Clock,
		Worker:            listed.ID,
		Holder:            a.options.Self,
		StartFence:        a.options.StartFence,
		ContinuationFence: a.options.ContinuationFence,
		Account:           account,
		Random:            a.options.Random,
	})
	a.options.Ledger.Open(listed.ID, account)
	a.sessionWorkers[listed.ID] = listed
	a.sessions.Open(ctx, session)
	a.options.Log.WorkerOwnerChanged(listed.ID, true)
}

// reportEarlierOwnersOver tells all sessions once earlier owners can no longer
// act. Sessions opened under the newest epoch are in the table before Ready is
// called, so an answer for that epoch covers them.
func (a *ownerAgent) reportEarlierOwnersOver() {
	sessions := a.sessions.List()
	a.mu.Lock()
	newest := a.newestTable
	a.mu.Unlock()
	if !a.options.Ready().Ready {
		return
	}
	a.markExclusive(newest)
	for _, session := range sessions {
		session.ConfirmEarlierOwnersOver()
	}
}

// runLeaseExpiredAfter is the time without a renewal by any owner after which
// the run lease of a task has certainly expired. It is two run leases and the
// clock margin, because a renewal that an earlier owner sent before its end may
// arrive just before the run lease ends.
const runLeaseExpiredAfter = 2*worker.RunLeasePeriod + worker.ClockMargin

// runLeaseExpired reports whether this incarnation owns a worker, and the run
// lease of a task there has certainly expired, because neither it nor an earlier
// owner has renewed the lease for runLeaseExpiredAfter. A session that does not
// track the task has not renewed its run lease, or has seen the task end. The
// time starts again with any change of the members.
func (a *ownerAgent) runLeaseExpired(location jobs.WorkerLocation, task ident.TaskID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.options.Clock.Now()
	if a.newestTable == nil || a.exclusiveEpoch != a.newestTable.Epoch || !a.options.StartFence.Open(now) {
		return false
	}
	if session, open := a.sessions.Find(location.Worker); open {
		if _, tracked := session.LastRenewal(task); tracked {
			return false
		}
	}
	if !a.owns(a.newestTable, workers.ListedWorker{ID: location.Worker, Zone: location.Zone, Region: location.Region}) {
		return false
	}
	return now.Sub(a.exclusiveSince) >= runLeaseExpiredAfter && now.Sub(a.closedAt[location.Worker]) >= runLeaseExpiredAfter
}

// markExclusive records when the earlier owners of the workers in a table could
// no longer act.
func (a *ownerAgent) markExclusive(table *ownership.Table) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if table == nil || table.Epoch == a.exclusiveEpoch {
		return
	}
	a.exclusiveEpoch = table.Epoch
	a.exclusiveSince = a.options.Clock.Now()
}

// noteClosed records the end of a session, and forgets ends that are older than
// runLeaseExpiredAfter. It is called with mu held.
func (a *ownerAgent) noteClosed(id ident.WorkerID) {
	now := a.options.Clock.Now()
	maps.DeleteFunc(a.closedAt, func(_ ident.WorkerID, at time.Time) bool { return now.Sub(at) > runLeaseExpiredAfter })
	a.closedAt[id] = now
}

func (a *ownerAgent) closeAllSessions() {
	for _, id := range a.sessionsToClose(nil) {
		a.closeSession(id)
	}
}

// applyUsageReports applies the usage reports that have arrived since the last
// call. It must be called by one goroutine only.
func (a *ownerAgent) applyUsageReports() {
	owned := map[ident.WorkerID]bool{}
	for _, session := range a.sessions.List() {
		owned[session.Worker()] = true
		if measurement := session.LatestMeasurement(); measurement != nil {
			a.options.Usage.applyMeasurement(session.Worker(), measurement)
		}
	}
	a.options.Usage.refreshEstimates(owned)
}

// ownedWorkers returns what the sessions, the ledger and the health state know
// about the owned workers.
func (a *ownerAgent) ownedWorkers() []workers.OwnedWorker {
	var list []workers.OwnedWorker
	for _, session := range a.sessions.List() {
		account, found := a.options.Ledger.Find(session.Worker())
		if !found {
			continue
		}
		owned := workers.OwnedWorker{
			Worker:  session.Worker(),
			Free:    account.Free(),
			Ready:   session.Ready(),
			Leaving: session.Leaving(),
			Health:  a.options.Health.workerHealth(session.Worker()),
		}
		if measurement := session.LatestMeasurement(); measurement != nil {
			for _, usage := range measurement.Tasks {
				owned.CPUUsed += usage.Used.CPU
			}
			owned.Disturbance = a.options.Usage.disturbance(measurement)
		}
		list = append(list, owned)
	}
	return list
}
