package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/connection/workerlink"
	"poplarvalve/internal/process/boottime"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/logging"
	"poplarvalve/internal/process/store"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/election"
	"poplarvalve/internal/version/statebudget"
)

const (
	// tickPeriod is the time between two checks of what depends only on time.
	tickPeriod = 100 * time.Millisecond
	// registryPollPeriod is the time between two reads of the registry. Together
	// with the round trip it is well below the time after which a leaving worker
	// must not get any more work.
	registryPollPeriod = 300 * time.Millisecond
	// maxQueuedEvents is the number of events that may wait for the cell's
	// goroutine before senders block.
	maxQueuedEvents = 4096
	// recoveryMargin allows for the time that the last order of an earlier
	// leader takes to reach a worker.
	recoveryMargin = 500 * time.Millisecond
)

// event is a change of the cell's state that the cell's goroutine applies.
type event func(now time.Time, c *cell.Cell)

// leadership is one term during which this instance leads a cell. One goroutine
// owns the cell; all others send events to it.
type leadership struct {
	entry  *Entry
	term   election.Term
	cell   *cell.Cell
	writer *writer
	events chan event
	// ended is closed when this instance no longer leads the cell.
	ended     chan struct{}
	endReason atomic.Pointer[error]
	cancel    context.CancelFunc

	// lastRenewal is the time at which the last claim or renewal that the log has
	// accepted was sent.
	lastRenewal atomic.Pointer[boottime.Moment]
	// releasing is set once a release of the term was sent: another instance may claim the
	// cell at once.
	releasing atomic.Bool
	// extendedLeases counts the answered renewals that extended the leases of a worker,
	// since authorityLogged.
	extendedLeases  atomic.Int64
	authorityLogged loggedAuthority
	confirmation    termConfirmation
	// handOverReady is closed once the record for the next leader is stored. The cell's
	// goroutine closes it, once.
	handOverReady chan struct{}
	handOverOnce  sync.Once
	// handOverRequests receives a value when a larger instance should lead.
	handOverRequests chan struct{}
	// renewalRequests requests a renewal before the next one is due.
	renewalRequests chan struct{}
	// fenceRefusals counts the workers that refused a lease renewal as fenced, and
	// refusalsChecked those of them that the last renewal of the term has followed.
	fenceRefusals, refusalsChecked atomic.Int64
	// fencedBy holds these workers. The cell's goroutine owns it.
	fencedBy map[cell.WorkerID]bool
	// renewalEndOffset is the log offset that follows the newest renewal.
	renewalEndOffset atomic.Int64

	sessions map[cell.WorkerID]*openSession
	// lastToken is the highest fencing token of the sessions that were closed in
	// this term. A worker that returns under a new session refuses lower ones.
	lastToken int64

	lastRequest     atomic.Uint64
	waitingRequests sync.Map // request number to the chan struct{} closed once it is stored
	goroutines      sync.WaitGroup
}

// openSession is the session with a worker and the worker's address.
type openSession struct {
	*workerlink.Session
	address string
}

// lead leads a cell until the term is lost or given up, or parent ends. claimSent
// is the time at which the claim was sent.
func (e *Entry) lead(parent context.Context, heldTerm election.Term, claimSent boottime.Moment) {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	l := &leadership{
		entry:    e,
		term:     heldTerm,
		writer:   newWriter(e.options.Log, heldTerm.Cell, heldTerm.Epoch),
		events:   make(chan event, maxQueuedEvents),
		ended:    make(chan struct{}),
		cancel:   cancel,
		sessions: map[cell.WorkerID]*openSession{},
		fencedBy: map[cell.WorkerID]bool{},

		lastToken:        heldTerm.Epoch * workerlink.TokensPerTerm,
		renewalRequests:  make(chan struct{}, 1),
		handOverReady:    make(chan struct{}),
		handOverRequests: make(chan struct{}, 1),
	}
	l.lastRenewal.Store(&claimSent)
	l.renewalEndOffset.Store(heldTerm.EndOffset)
	l.confirmation.start(heldTerm.Voters)
	l.spawn(func() { l.renewPeriodically(ctx) })
	var err error
	if unexpected := fault.Catch(func() { err = l.recover(ctx) }); unexpected != nil {
		err = unexpected
	}
	if err != nil {
		e.options.Journal.Retrying("recovery of "+cellName(heldTerm.Cell), err)
		l.shutDown(cancel)
		return
	}
	e.options.Journal.LeadershipChanged(heldTerm.Cell, heldTerm.Epoch, true, nil)
	e.leaders.recordTerm(heldTerm)
	e.leaders.setLeadership(heldTerm.Cell, l)
	l.spawn(func() { l.writer.run(ctx) })
	l.spawn(func() { l.followRegistry(ctx) })
	l.spawn(func() { l.announceTerm(ctx) })
	if heldTerm.Cell == sourcesCell {
		l.spawn(func() { l.chooseManifestSources(ctx) })
	}
	l.runContained(ctx)
	e.leaders.setLeadership(heldTerm.Cell, nil)
	l.shutDown(cancel)
	e.options.Journal.LeadershipChanged(heldTerm.Cell, heldTerm.Epoch, false, l.reason())
}

// spawn runs a function in a goroutine of the term. An unexpected error in it ends the
// term.
func (l *leadership) spawn(function func()) {
	l.goroutines.Add(1)
	go func() {
		defer l.goroutines.Done()
		if err := fault.Catch(function); err != nil {
			l.endTerm(err)
		}
	}()
}

// runContained is run, but an unexpected error ends only the term: the cell's state may
// be inconsistent, and the next leader restores it from the log.
func (l *leadership) runContained(ctx context.Context) {
	if err := fault.Catch(func() { l.run(ctx) }); err != nil {
		l.endTerm(err)
	}
}

// shutDown ends all goroutines of the term and the requests that wait for them.
func (l *leadership) shutDown(cancel context.CancelFunc) {
	cancel()
	close(l.ended)
	for _, session := range l.sessions {
		session.Close()
	}
	for _, session := range l.sessions {
		session.Wait()
	}
	l.goroutines.Wait()
	l.entry.options.Metrics.SlowWorkers(l.term.Cell, 0)
	l.entry.options.Metrics.CellGivenUp(l.term.Cell)
}

// endTerm ends the leadership. The first error passed is kept as the reason.
func (l *leadership) endTerm(err error) {
	l.endReason.CompareAndSwap(nil, &err)
	l.cancel()
}

// reason returns why the leadership was ended, or nil if endTerm was not called.
func (l *leadership) reason() error {
	if reason := l.endReason.Load(); reason != nil {
		return *reason
	}
	return nil
}

// recover fences earlier terms, so that they can't store anything more, and
// restores the cell from the records that they stored.
func (l *leadership) recover(ctx context.Context) error {
	options := l.entry.options
	l.writer.limits = options.Limits.Log
	l.writer.onRetry = func(err error) { options.Journal.Retrying("append", err) }
	l.writer.onKeptBack = func(record store.Record, err error) { options.Journal.RecordKeptBack(record.Key, err) }
	if err := l.writer.fence(ctx); err != nil {
		return err
	}
	state, err := l.readState(ctx)
	if err != nil {
		return err
	}
	config := earlierTermConfig(options.Limits.MaxLease)
	config.Epoch = l.term.Epoch
	config.EndedJobRetention = options.Limits.EndedJobRetention
	config.RemoteFactor = options.Limits.RemoteFactor
	config.NearWait = options.Limits.NearWait
	config.LearnSpeed = options.Limits.LearnSpeed
	config.RefuseHopeless = options.Limits.RefuseHopeless
	config.Evacuations = l.entry.followsEvacuations()
	config.Budget = statebudget.New(l.entry.leaders.stateLimits())
	l.cell = cell.New(config)
	now := time.Now()
	l.confirmation.recoveredAt = now
	l.cell.Restore(now, state.Jobs, state.Progress, withoutFutureStarts(now, state.Workers))
	l.cell.RestoreLearned(state.Learned)
	l.updateEvacuations()
	l.cell.RestoreLeaseBounds(now, state.LeaseBounds, state.Confinements, l.term.Previous)
	l.writer.onStored = func(number uint64, keptBack []cell.RecordOwner, took time.Duration) {
		options.Metrics.AppendFinished(took)
		options.Metrics.RecordsKeptBack(len(keptBack))
		l.post(func(now time.Time, c *cell.Cell) {
			c.MarkKeptBack(now, keptBack)
			c.MarkStored(now, number)
		})
	}
	l.writer.onFatalError = l.endTerm
	options.Journal.Recovered(recoveredLine(l.term, l.cell.Restored(), state))
	return nil
}

// recoveredLine returns the log line about the state that a term begins with.
func recoveredLine(term election.Term, restored cell.RestoredState, state cellcodec.CellState) logging.RecoveredLine {
	parts := 0
	for _, record := range state.Progress {
		if record.Part != nil {
			parts++
		}
	}
	return logging.RecoveredLine{
		Cell: term.Cell, Epoch: term.Epoch, Jobs: len(state.Jobs), EndedJobs: restored.EndedJobs,
		Workers: len(state.Workers), IdleWorkers: restored.IdleWorkers, BoundWorkers: restored.BoundWorkers,
		ProgressRecords: len(state.Progress), ProgressParts: parts,
		DoneTasks: restored.DoneTasks, FailedRuns: restored.FailedRuns, DoneByTerm: restored.DescribeTerms(),
	}
}

// readState reads and decodes the records that earlier terms stored, page by page, so that they are
// not held beside their decoded form. It retries as long as the term lasts, since giving up the
// term would cause another election. The time that it takes grows with the records, so that only
// each of its calls is bounded.
func (l *leadership) readState(ctx context.Context) (cellcodec.CellState, error) {
	for {
		var state cellcodec.CellState
		var malformed error
		_, err := store.VisitNewest(ctx, l.entry.options.Log, l.writer.partition, func(page []store.Record) error {
			malformed = state.AddRecords(page)
			return malformed
		})
		if malformed != nil {
			return cellcodec.CellState{}, malformed
		}
		if err == nil {
			return state, nil
		}
		if ctx.Err() != nil {
			return cellcodec.CellState{}, fmt.Errorf("reading the records of the cell: %w", err)
		}
		l.writer.onRetry(err)
		sleep(ctx, appendRetryPause)
	}
}

// post queues an event for the cell's goroutine. It blocks while the queue is full
// and drops the event once the term has ended.
func (l *leadership) post(e event) {
	select {
	case l.events <- e:
	case <-l.ended:
	}
}

// run applies events and carries out their effects until ctx ends.
func (l *leadership) run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		l.openSessions(ctx)
		l.applyEffects(ctx, l.takeEffects())
		select {
		case e := <-l.events:
			e(time.Now(), l.cell)
			l.applyQueuedEvents()
		case <-ticker.C:
			l.tick()
		case <-ctx.Done():
			return
		}
	}
}

// applyQueuedEvents applies the events that are already queued, so that the
// scheduling decisions are made once for all of them.
func (l *leadership) applyQueuedEvents() {
	for range maxQueuedEvents {
		select {
		case e := <-l.events:
			e(time.Now(), l.cell)
		default:
			return
		}
	}
}

// tick updates what depends only on time, and ends the leadership if a later term
// is known or another instance should lead.
func (l *leadership) tick() {
	l.applyQueuedEvents()
	now := time.Now()
	l.extendLeases()
	l.updateEvacuations()
	l.cell.SetStartsEnabled(l.MayStart() && !l.mayBeReplaced())
	if !l.Authorized() {
		l.requestRenewal()
	}
	l.updateConfirmation(now)
	l.updateRoom()
	l.reportLeaseAuthority(now)
	l.cell.Tick(now)
	if l.cell.AwaitsRenewal() {
		l.requestRenewal()
	}
	switch {
	case l.entry.leaders.newestKnownEpoch(l.term.Cell) > l.term.Epoch:
		l.endTerm(errTermReplaced)
	case l.entry.leaders.isolated():
		l.stepDown(errIsolated)
	case !l.cell.HandingOver() && l.needsLargerInstance(now):
		l.entry.lastHandOver.Store(now.UnixNano())
		l.requestHandOver()
	}
}

// needsLargerInstance reports whether a larger instance should lead the cell.
func (l *leadership) needsLargerInstance(now time.Time) bool {
	return election.LeaderLoad{
		Workers:         l.cell.WorkerCount(),
		CPUShare:        l.entry.options.CPUShare,
		LargestCPUShare: l.entry.leaders.largestCPUShare(),
		SinceHandOver:   now.Sub(time.Unix(0, l.entry.lastHandOver.Load())),
	}.ShouldHandOver()
}

var (
	errDraining       = errors.New("the instance is draining")
	errIsolated       = errors.New("no other instance reaches this one")
	errLargerInstance = errors.New("a larger instance should lead the cell")
)

// followRegistry passes the registered workers to the cell whenever they change.
func (l *leadership) followRegistry(ctx context.Context) {
	reader := newRegistryReader(l.entry, l.term.Cell)
	for ctx.Err() == nil {
		infos, changed, err := reader.poll(ctx)
		if err == nil && changed {
			l.post(func(now time.Time, c *cell.Cell) { c.UpdateWorkers(now, infos) })
		}
		sleep(ctx, registryPollPeriod)
	}
}

// openSessions opens a session with each worker of the cell, and closes the
// sessions with workers that are no longer registered or have another address.
func (l *leadership) openSessions(ctx context.Context) {
	if !l.cell.WorkersChanged() {
		return
	}
	registered := map[cell.WorkerID]bool{}
	for _, info := range l.cell.Workers() {
		registered[info.ID] = true
		existing := l.sessions[info.ID]
		if existing != nil && existing.address == info.Address {
			continue
		}
		if existing != nil {
			l.closeSession(info.ID, existing)
		}
		session := workerlink.Open(ctx, workerlink.Options{
			Worker: info.ID, Client: l.entry.options.DialWorker(info), Sink: l, Token: l.lastToken + 1,
			MaxLease: l.entry.options.Limits.MaxLease, Bound: l.cell.LeasesBound(info.ID),
		})
		l.sessions[info.ID] = &openSession{session, info.Address}
	}
	for id, session := range l.sessions {
		if !registered[id] {
			l.closeSession(id, session)
			delete(l.sessions, id)
		}
	}
}

func (l *leadership) closeSession(id cell.WorkerID, session *openSession) {
	session.Close()
	l.cell.ExtendLease(id, session.LeaseEnd())
	l.lastToken = max(l.lastToken, session.Token())
}

// Report implements workerlink.Sink. It passes a worker's report to the cell.
func (l *leadership) Report(report cell.Report) {
	if !report.LeaseUntil.IsZero() {
		l.extendedLeases.Add(1)
	}
	l.post(func(now time.Time, c *cell.Cell) { c.ApplyReport(now, report) })
}

// RenewalUnanswered implements workerlink.Sink. It tells the cell that a worker did not
// answer a lease renewal.
func (l *leadership) RenewalUnanswered(worker cell.WorkerID, leaseUntil time.Time, err error) {
	l.entry.options.Journal.Retrying("lease renewal of worker "+string(worker), err)
	var refused *workerlink.RefusedError
	errors.As(err, &refused)
	replaced := refused != nil && refused.Reason == cell.RefusedOtherIncarnation
	fenced := refused != nil && refused.Reason == cell.RefusedFenced
	l.post(func(now time.Time, c *cell.Cell) {
		if fenced {
			l.recordFenceRefusal(worker)
		}
		c.MarkUnresponsive(now, worker, leaseUntil)
		if replaced {
			c.MarkReplaced(now, worker)
		}
	})
}

// StartResult implements workerlink.Sink. It passes the result of a start order to
// the cell.
func (l *leadership) StartResult(result cell.StartResult) {
	l.post(func(now time.Time, c *cell.Cell) { c.ApplyStartResult(now, result) })
}
