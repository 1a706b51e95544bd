package cell

import (
	"cmp"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/evacuation"
	"poplarvalve/internal/version/statebudget"
)

// Cell is the state of one cell in one term.
type Cell struct {
	config  Config
	jobs    map[jobspec.ID]*job
	workers map[WorkerID]*worker
	// workersByID caches the workers sorted by ID; sortedWorkers rebuilds it.
	workersByID []*worker
	// storedJobs is the index of jobs that Lookup reads. Each change publishes
	// a new version of the tree.
	storedJobs atomic.Pointer[iradix.Tree[*job]]

	// recovering holds the workers that may have runs of earlier terms, or ends of
	// them, and have sent no complete report in this term. partlyRecovered holds those
	// of them whose leases this term has extended.
	recovering, partlyRecovered map[WorkerID]bool
	recoveryDeadline            time.Time
	recoveryStart               time.Time
	// recoveryEndReported is set once the end of that wait is logged.
	recoveryEndReported bool
	// renewedAt is when the newest renewal of the term that the log has accepted was sent.
	renewedAt     time.Time
	awaitsRenewal bool
	// authorityEnd is when no earlier leader starts tasks any more.
	authorityEnd time.Time
	// registryRead is set once the registry has been read in this term.
	registryRead bool

	// lostWorkers holds the workers that became unresponsive.
	lostWorkers []*lostWorker

	readyTasks []*task
	// freedWorkers holds the workers of the runs that were removed since startReadyTasks
	// last ran.
	freedWorkers []*worker
	// needsRanking is set if tasks were added to readyTasks since it was last
	// ranked.
	needsRanking bool
	rankedAt     time.Time
	// waitReportedAt is when a waiting task was last logged.
	waitReportedAt time.Time
	// unopenedReportedAt is when jobs that wait for room among the open tasks were last logged.
	unopenedReportedAt time.Time
	// heldOffStartAt is, for each class, the time up to which the starts of held-off tasks
	// are counted.
	heldOffStartAt [heldOffClassCount]time.Time
	// lastSubmitAt is when a job was last submitted.
	lastSubmitAt time.Time
	// open counts the tasks of occurrences in memory. periodicJobs holds the jobs whose next
	// occurrence is not due, and unopenedJobs those with one that is due and not open.
	open         openTasks
	periodicJobs []*job
	unopenedJobs []*job
	changedJobs  []*job

	effects Effects
	write   WriteBatch
	// lastWrite is the number of the newest write that TakeEffects returned.
	// writeActions are run, in order, when their writes are stored.
	lastWrite    uint64
	writeActions []writeAction
	// keptBack holds the owners of records that the log did not take.
	keptBack map[RecordOwner]keptBackRecord

	durations durationModel
	near      nearPlacement
	speeds    workerSpeeds
	pressures pressureModel
	// learnedSavedAt is the time at which the learned estimates were last
	// stored.
	learnedSavedAt time.Time
	reserve        shortTaskReserve
	totals         capacityTotals
	// work sums up the work of the accepted jobs, and refused holds the refused ones; work is
	// nil unless hopeless jobs are refused. expected is the forecast for the job that is being
	// accepted.
	work     *workSums
	refused  refusals
	expected time.Duration
	placing  placingBudget
	// bounds is what is stored about the leases on silent workers.
	bounds   leaseBounds
	handOver handOverPhase
	// evacuations holds the evacuated availability zones; nil while they are not known.
	evacuations *evacuation.View
	// effectsTaken counts the calls of TakeEffects.
	effectsTaken uint64
	// confinements holds what is stored about tasks that run on one worker or nowhere, and
	// changedConfinements the workers of those to be written.
	confinements        map[WorkerID]*confinement
	changedConfinements map[WorkerID]bool
	// held is the room held for the tasks that startReadyTasks has passed over so far.
	held heldRoom

	// moves holds the moves under way. unplaced holds long-running runs that have to be
	// moved and for which the last pass found no place. firstRated is the index of the worker
	// at which the search for places began last.
	moves      []*move
	unplaced   []*run
	firstRated int

	// adviceCallsInFlight is the number of unanswered calls to the advice
	// service.
	adviceCallsInFlight int

	workersChanged bool
	// startsPaused is set while no task may be started.
	startsPaused bool
}

// writeAction is a callback that is run once the write with that number is
// stored with the records of the owners.
type writeAction struct {
	number   uint64
	owners   []RecordOwner
	callback func(now time.Time)
}

// New returns an empty cell.
func New(config Config) *Cell {
	config.BlockTasks = cmp.Or(config.BlockTasks, BlockTasks)
	c := &Cell{
		config:     config,
		jobs:       map[jobspec.ID]*job{},
		workers:    map[WorkerID]*worker{},
		recovering: map[WorkerID]bool{},
		keptBack:   map[RecordOwner]keptBackRecord{},
		durations:  newDurationModel(),
		pressures:  newPressureModel(),

		partlyRecovered: map[WorkerID]bool{},
		confinements:    map[WorkerID]*confinement{},
	}
	if c.config.Budget == nil {
		c.config.Budget = statebudget.New(statebudget.Unlimited)
	}
	c.open.budget = c.config.Budget
	c.refused = newRefusals(c.config.Budget.Limits())
	c.storedJobs.Store(iradix.New[*job]())
	if config.RefuseHopeless {
		c.work = newWorkSums()
	}
	return c
}

// Budget returns what counts the jobs of the cell. It may be called by any goroutine.
func (c *Cell) Budget() *statebudget.Budget { return c.config.Budget }

// Restore loads the state that earlier terms stored. It must be called at most
// once, before any other event. The given workers may still have runs of those
// terms.
func (c *Cell) Restore(now time.Time, jobs []JobRecord, progress []ProgressRecord, workers []WorkerInfo) {
	c.lastSubmitAt = now
	tree := c.storedJobs.Load().Txn()
	for _, record := range jobs {
		j := c.addJob(record, c.acceptedTime(now, record.AcceptedMillis))
		j.fromEarlierTerm = true
		tree.Insert([]byte(j.id), j)
	}
	c.storedJobs.Store(tree.Commit())
	c.restoreAllProgress(progress)
	for _, record := range jobs {
		j := c.jobs[record.ID]
		j.visibleState.Store(uint32(j.state))
		c.advanceOccurrence(now, j)
	}
	for _, info := range workers {
		c.addWorker(info)
		if !info.Idle {
			c.recovering[info.ID] = true
		}
	}
	for _, record := range progress {
		c.restoreSuspects(now, record)
	}
	c.recoveryStart = now
	c.recoveryDeadline = now.Add(max(c.config.RecoveryWait, c.config.UnconfirmedRecoveryWait))
	c.authorityEnd = now.Add(c.config.EarlierAuthority)
	for _, record := range jobs {
		c.awaitNextDue(now, c.jobs[record.ID])
	}
	c.recountWork()
	c.openWaiting(now)
	c.recordAwayAtStart(now)
}

// EarlierTermsEnded records that no earlier leader extends a lease after at. The wait for
// silent workers ends with the leases that it extended until then, but not before
// RecoveryWait.
func (c *Cell) EarlierTermsEnded(at time.Time) {
	deadline := at.Add(c.config.MaxEarlierLease)
	if least := c.recoveryStart.Add(c.config.RecoveryWait); deadline.Before(least) {
		deadline = least
	}
	if deadline.Before(c.recoveryDeadline) {
		c.recoveryDeadline = deadline
	}
}

// TermRenewed records that the log has accepted a renewal of the term that was sent at sent.
// No later term had begun then.
func (c *Cell) TermRenewed(sent time.Time) {
	if sent.After(c.renewedAt) {
		c.renewedAt = sent
	}
}

// isOver reports whether a time has passed, and a renewal of the term was sent after it.
// Without the renewal, a later leader may have extended what ended then by the clock.
func (c *Cell) isOver(now, end time.Time) bool {
	if now.Before(end) {
		return false
	}
	if c.renewedAt.Before(end) {
		c.awaitsRenewal = true
		return false
	}
	return true
}

// AwaitsRenewal reports whether a decision has waited for the next renewal of the term since
// the last call.
func (c *Cell) AwaitsRenewal() bool {
	awaits := c.awaitsRenewal
	c.awaitsRenewal = false
	return awaits
}

// acceptedTime converts a stored time. It never returns a time after now: the
// clock of the earlier leader that stored the time may have run ahead.
func (c *Cell) acceptedTime(now time.Time, millis int64) time.Time {
	age := max(0, now.Sub(time.UnixMilli(millis)))
	return now.Add(-age)
}

// UpdateWorkers replaces the registry's entries for the cell's workers.
func (c *Cell) UpdateWorkers(now time.Time, infos []WorkerInfo) {
	listed := make(map[WorkerID]bool, len(infos))
	for _, info := range infos {
		listed[info.ID] = true
		c.registerWorker(now, info)
	}
	c.registryRead = true
	for id, w := range c.workers {
		if !listed[id] && w.registered {
			w.registered = false
			c.addEvent(DecisionEvent{Event: "worker unlisted", Worker: id})
			c.reportMissedDeparture(now, w)
		}
	}
}

func (c *Cell) registerWorker(now time.Time, info WorkerInfo) {
	w := c.workers[info.ID]
	if w == nil {
		// An earlier leader may have used a worker that was listed before this term.
		info.Idle = c.registryRead
		w = c.addWorker(info)
		c.liftEarlierBound(w)
		if !info.Idle {
			c.recovering[info.ID] = true
			c.blockUntilStored(w)
		}
		c.storeWorker(w)
	}
	if !w.registered || w.info.Draining != info.Draining {
		c.addEvent(DecisionEvent{Event: "worker listed", Worker: info.ID, Outcome: drainState(info.Draining)})
	}
	c.noteListedIncarnation(w, info.Incarnation)
	// Only a report may change the incarnation, because only a report shows
	// what the new incarnation runs: an order that was sent to the earlier
	// incarnation may still arrive there.
	info.Incarnation = w.info.Incarnation
	info.Idle = w.info.Idle
	if info.Address != w.info.Address {
		c.workersChanged = true
		w.moved = true
	}
	c.updateDeparture(now, w, info)
	changed := !info.Equal(w.info)
	w.registered = true
	w.info = info
	w.evacuated = c.evacuates(info.Zone)
	if changed {
		c.storeWorker(w)
	}
}

// noteListedIncarnation asks a worker for a report if the registry lists another incarnation than
// the one that has answered. Until then the new one may carry out what was meant for the other.
func (c *Cell) noteListedIncarnation(w *worker, listed int64) {
	if listed == 0 || listed == w.listedIncarnation {
		return
	}
	w.listedIncarnation = listed
	w.restartListed = w.info.Incarnation != 0 && listed != w.info.Incarnation
	if w.restartListed {
		c.addEvent(DecisionEvent{Event: "restart listed", Worker: w.info.ID})
		c.effects.Resolve = append(c.effects.Resolve, w.info.ID)
	}
}

// storeWorker stores the record of a worker. It takes the place of a removal, or of an
// earlier record, that was not written yet.
func (c *Cell) storeWorker(w *worker) {
	id := w.info.ID
	c.write.RemovedWorkers = slices.DeleteFunc(c.write.RemovedWorkers, func(removed WorkerID) bool { return removed == id })
	c.write.Workers = slices.DeleteFunc(c.write.Workers, func(earlier WorkerInfo) bool { return earlier.ID == id })
	c.write.Workers = append(c.write.Workers, w.info)
}

// markIdle lets the next leader start tasks without waiting for a worker on which nothing
// runs.
func (c *Cell) markIdle(w *worker) {
	if !w.info.Idle {
		w.info.Idle = true
		c.storeWorker(w)
	}
}

// markInUse makes an idle worker usable as soon as the next leader would wait for it.
func (c *Cell) markInUse(w *worker) {
	if !w.info.Idle {
		return
	}
	w.info.Idle = false
	c.storeWorker(w)
	c.blockUntilStored(w)
}

// blockUntilStored makes a worker usable once its record, which the caller stores, is in the
// log: without it the next leader would not wait for the worker.
func (c *Cell) blockUntilStored(w *worker) {
	c.write.Urgent = true
	number := c.lastWrite + 1
	w.inUseWrite = number
	c.afterWrite(func(time.Time) {
		if w.inUseWrite == number {
			w.inUseWrite = 0
		}
	}, RecordOwner{Worker: w.info.ID})
}

func drainState(draining bool) string {
	if draining {
		return "draining"
	}
	return "ready"
}

// WorkersChanged reports whether the set of workers or any of their addresses
// changed since the last call.
func (c *Cell) WorkersChanged() bool {
	changed := c.workersChanged
	c.workersChanged = false
	return changed
}

// SetStartsEnabled sets whether tasks may be started. A leader that can't prove
// that its term is still valid must not start any.
func (c *Cell) SetStartsEnabled(enabled bool) {
	if enabled == c.startsPaused {
		c.startsPaused = !enabled
		c.addEvent(DecisionEvent{Event: "starts", Outcome: map[bool]string{true: "resumed", false: "paused"}[enabled]})
	}
}

// ThrottleFailed records that a throttle order failed or that its outcome is
// unknown, so that the next report of the worker sends a new one.
func (c *Cell) ThrottleFailed(order ThrottleOrder) {
	if w := c.workers[order.Worker]; w != nil {
		if r := w.findRun(order.Task, order.Run); r != nil && r.throttle == order.Percent {
			r.throttle = unknownThrottle
		}
	}
}

// sortedWorkers returns the workers sorted by ID.
func (c *Cell) sortedWorkers() []*worker {
	if len(c.workersByID) != len(c.workers) {
		c.workersByID = slices.SortedFunc(maps.Values(c.workers), func(a, b *worker) int {
			return cmp.Compare(a.info.ID, b.info.ID)
		})
	}
	return c.workersByID
}

// Workers returns the workers that need a session, with their addresses.
func (c *Cell) Workers() []WorkerInfo {
	infos := make([]WorkerInfo, 0, len(c.workers))
	for _, w := range c.sortedWorkers() {
		infos = append(infos, w.info)
	}
	return infos
}

// WorkerCount returns the number of workers in the cell.
func (c *Cell) WorkerCount() int { return len(c.workers) }

// SubmitResult is the result of Submit.
type SubmitResult uint8

const (
	// SubmitStored means that the job is accepted and stored.
	SubmitStored SubmitResult = iota
	// SubmitPending means that the request is listed in
	// Effects.AnswerableRequests once the job is stored.
	SubmitPending
	// SubmitRefused means that the job was not accepted, since it can't have any value or there
	// is no room for it. RefusalWait returns when its caller should return.
	SubmitRefused
	// SubmitTooLarge means that the job was not accepted, since it has more tasks than
	// MaxJobTasks.
	SubmitTooLarge
)

// Submission is a validated job that a caller submits.
type Submission struct {
	ID    jobspec.ID
	Job   *jobspec.Job
	Terms QueueTerms
	// Source has the same meaning as in JobRecord.
	Source []byte
	// InDoubt is set if an earlier leader may have stored the job. It is never refused then,
	// because a refusal would say that the job never runs.
	InDoubt bool
}

// Submit is SubmitJob for a job from no known source.
func (c *Cell) Submit(now time.Time, request uint64, id jobspec.ID, spec *jobspec.Job, terms QueueTerms) SubmitResult {
	return c.SubmitJob(now, request, Submission{ID: id, Job: spec, Terms: terms})
}

// SubmitJob accepts a job, for which the caller has reserved room in the budget. If a job with
// the same ID is known, the content is ignored. If SubmitJob returns SubmitPending, request is
// listed in Effects.AnswerableRequests once the job is stored.
func (c *Cell) SubmitJob(now time.Time, request uint64, s Submission) SubmitResult {
	if result, known := c.submitKnown(request, s.ID); known {
		return result
	}
	record := JobRecord{ID: s.ID, Job: *s.Job, Terms: s.Terms, AcceptedMillis: now.UnixMilli(), Source: s.Source}
	if !s.InDoubt && s.Job.Tasks() > c.MaxJobTasks() {
		return SubmitTooLarge
	}
	if !s.InDoubt && (now.Before(c.refused.until[s.ID]) || c.refuses(now, record)) {
		return SubmitRefused
	}
	c.acceptJob(now, record)
	c.answerAfterWrite(request, s.ID)
	return SubmitPending
}

// submitKnown answers the repeated submission of a job, or reports that the job is not known.
func (c *Cell) submitKnown(request uint64, id jobspec.ID) (result SubmitResult, known bool) {
	j := c.jobs[id]
	if j == nil {
		return SubmitRefused, false
	}
	if State(j.visibleState.Load()) != Hidden {
		return SubmitStored, true
	}
	c.answerAfterWrite(request, id)
	return SubmitPending, true
}

func (c *Cell) acceptJob(now time.Time, record JobRecord) {
	c.lastSubmitAt = now
	j := c.addJob(record, now)
	c.countAccepted(now, j)
	c.write.Jobs = append(c.write.Jobs, record)
	c.afterWrite(func(now time.Time) {
		tree, _, _ := c.storedJobs.Load().Insert([]byte(j.id), j)
		c.storedJobs.Store(tree)
		j.visibleState.CompareAndSwap(uint32(Hidden), uint32(Queued))
		c.awaitNextDue(now, j)
	}, RecordOwner{Job: j.id})
}

// Cancel ends a job unless it has ended already. It returns false if there is no
// such job. Otherwise it returns true, and request is listed in
// Effects.AnswerableRequests once the job's final state is stored.
func (c *Cell) Cancel(now time.Time, request uint64, id jobspec.ID) bool {
	j := c.jobs[id]
	if j == nil {
		return false
	}
	// This includes a job whose write is still in progress: the job will be
	// stored whatever its caller was told, and would run without the
	// cancellation.
	if !j.state.IsFinal() {
		c.endJob(now, j, Canceled)
	}
	c.answerAfterWrite(request, id)
	return true
}

// Lookup returns the state of a stored job, and false if there is none with
// that ID. It is safe for concurrent use.
func (c *Cell) Lookup(id jobspec.ID) (State, bool) {
	j, found := c.storedJobs.Load().Get([]byte(id))
	if !found {
		return Hidden, false
	}
	return State(j.visibleState.Load()), true
}

// PendingJobs returns the number of accepted jobs of a queue of which no task has
// been started.
func (c *Cell) PendingJobs(queue string) int {
	count := 0
	for _, j := range c.jobs {
		if j.terms.Queue == queue && State(j.visibleState.Load()) == Queued {
			count++
		}
	}
	return count
}

// endJob sets the final state of a job. Once that state is stored, it becomes
// visible and the remaining runs are stopped.
func (c *Cell) endJob(now time.Time, j *job, state State) {
	j.state = state
	j.endedAt = now
	c.countEnded(now, j)
	c.addEvent(DecisionEvent{Event: "job ended", Task: TaskID{Job: j.id}, Outcome: state.String(), Age: now.Sub(j.acceptedAt)})
	c.markChanged(j)
	c.afterWrite(func(now time.Time) {
		j.visibleState.Store(uint32(state))
		c.stopJobRuns(now, j)
	}, RecordOwner{Job: j.id})
	j.dropEndedOccurrences()
}

func (c *Cell) stopJobRuns(now time.Time, j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					c.stopRun(now, r)
				}
			}
		}
	}
}

// stopRun orders a worker to stop a run. The run keeps its reserved size until
// the worker reports the end. advanceMoves gives up a run that only has a place.
func (c *Cell) stopRun(now time.Time, r *run) {
	if r.phase == reserved {
		return
	}
	if r.phase == running || r.phase == stopping {
		r.phase = stopping
	}
	r.stopOrderedAt = now
	c.effects.Stops = append(c.effects.Stops, StopOrder{r.worker.info.ID, r.task.id(), r.number})
}

func (c *Cell) markChanged(j *job) {
	if j.changed {
		return
	}
	j.changed = true
	c.changedJobs = append(c.changedJobs, j)
}

// afterWrite runs callback once everything decided so far about the owners is stored.
func (c *Cell) afterWrite(callback func(now time.Time), owners ...RecordOwner) {
	c.writeActions = append(c.writeActions, writeAction{c.lastWrite + 1, owners, callback})
}

func (c *Cell) answerAfterWrite(request uint64, id jobspec.ID) {
	c.write.Urgent = true
	c.afterWrite(func(time.Time) { c.effects.AnswerableRequests = append(c.effects.AnswerableRequests, request) }, RecordOwner{Job: id})
}

// MarkStored records that all writes up to and including number are stored, but for the
// records passed to MarkKeptBack.
func (c *Cell) MarkStored(now time.Time, number uint64) {
	c.forgetStoredOwners(number)
	// Callbacks may add actions, but only for writes after number.
	completed := 0
	var waiting []writeAction
	for completed < len(c.writeActions) && c.writeActions[completed].number <= number {
		if action := c.writeActions[completed]; c.waits(action) {
			waiting = append(waiting, action)
		} else {
			action.callback(now)
		}
		completed++
	}
	c.writeActions = slices.Replace(c.writeActions, 0, completed, waiting...)
}

// TakeEffects starts the tasks that can be started, and returns the effects of
// all events since the last call.
func (c *Cell) TakeEffects(now time.Time) Effects {
	c.openWaiting(now)
	c.advanceMoves(now)
	c.moveToFreedWorkers(now)
	c.startReadyTasks(now)
	c.advanceHandOver(now)
	c.collectWrite(now)
	effects := c.effects
	c.effects = Effects{}
	c.effectsTaken++
	return effects
}

func (c *Cell) collectWrite(now time.Time) {
	c.collectConfinements(now)
	c.collectLeaseBounds(now)
	for _, j := range c.changedJobs {
		j.changed = false
		c.writeProgress(j)
	}
	c.changedJobs = nil
	if c.write.isEmpty() && !c.hasUnwrittenAction() {
		return
	}
	c.lastWrite++
	write := c.write
	write.Number = c.lastWrite
	c.effects.Write = &write
	c.write = WriteBatch{}
}

// hasUnwrittenAction reports whether an action waits for a write that TakeEffects
// has not returned yet.
func (c *Cell) hasUnwrittenAction() bool {
	return len(c.writeActions) > 0 && c.writeActions[len(c.writeActions)-1].number > c.lastWrite
}

func (w *WriteBatch) isEmpty() bool {
	return w.Learned == nil && w.LeaseBounds == nil && len(w.Confinements)+len(w.Jobs)+len(w.Progress)+len(w.Workers)+len(w.RemovedWorkers)+len(w.RemovedJobs)+len(w.RemovedParts) == 0
}

func (c *Cell) addEvent(event DecisionEvent) { c.effects.Events = append(c.effects.Events, event) }
