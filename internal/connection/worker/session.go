package worker

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/process/clock"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/fence"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/ledger"
	"poplarvalve/internal/version/membership"
)

const (
	// StartLeasePeriod is how long a start lease lasts.
	StartLeasePeriod = 3 * time.Second
	// startLeaseGrantPeriod is the time between two grants of start leases. Two
	// grants in a row may fail before starts have to wait.
	startLeaseGrantPeriod = 1 * time.Second
	// RunLeasePeriod is how long a task runs without a renewal.
	RunLeasePeriod = 20 * time.Second
	// runLeaseRenewalPeriod is the time between two renewals of all run leases.
	runLeaseRenewalPeriod = 5 * time.Second
	// usagePollPeriod is the time between two polls of a worker's usage.
	usagePollPeriod = 1 * time.Second
	// commandTimeout bounds one grant, renewal or poll, including the requests
	// about single tasks that follow it.
	commandTimeout = 1 * time.Second
	// ClockMargin covers the difference in clock rate between two machines over
	// one lease.
	ClockMargin = membership.ClockMargin
)

// Session gets start leases at one owned worker and renews the run leases of
// its tasks. StartLease takes no lock.
type Session struct {
	WorkerClient
	clock  clock.Clock
	worker ident.WorkerID
	holder ident.Incarnation
	// startFence is the member lease of the instance. Start leases and the
	// continuity lease are requested and renewed only while it is open.
	startFence *fence.Fence
	// continuationFence is the lease of the instance under which run leases are
	// renewed.
	continuationFence *fence.Fence
	account           *ledger.Account
	random            func() float64
	// neverOwnedBefore is whether the worker never had another owner.
	neverOwnedBefore bool

	// usableStartLease is the lease for new starts, or nil.
	usableStartLease atomic.Pointer[Lease]
	usage            atomic.Pointer[Measurement]
	leaving          atomic.Bool
	// foundRunning holds the tasks that the takeover found running. It is nil
	// until then.
	foundRunning atomic.Pointer[map[ident.TaskID]bool]
	// earlierOwnersOver is closed when earlier owners of the worker can no
	// longer act.
	earlierOwnersOver     chan struct{}
	earlierOwnersOverOnce sync.Once
	// firstContinuityGranted is closed when the first continuity lease was
	// granted.
	firstContinuityGranted chan struct{}
	// continuityWake triggers a renewal of the continuity lease before the next
	// one is due.
	continuityWake  chan struct{}
	startLeases     startLeases
	continuityLease continuityLease
	runningTasks    runningTasks
}

// Options are the dependencies and settings of a session.
type Options struct {
	Client WorkerClient
	Clock  clock.Clock
	Worker ident.WorkerID
	Holder ident.Incarnation
	// StartFence is the instance's own lease. While it is closed, no start
	// lease or continuity lease is requested or renewed.
	StartFence *fence.Fence
	// ContinuationFence is the lease of the instance under which run leases are
	// renewed. Nil means StartFence.
	ContinuationFence *fence.Fence
	// Account receives the resources of the tasks that the takeover finds. A
	// nil Account means that there is no takeover.
	Account *ledger.Account
	// Random supplies the jitter of retries. It returns values in [0, 1) and
	// must be safe for concurrent use. Nil means the random source of the
	// process.
	Random func() float64
}

// NewFirstSession returns a session with a worker that never had an owner. The
// session is ready as soon as it has a start lease.
func NewFirstSession(client WorkerClient, clock clock.Clock, worker ident.WorkerID, holder ident.Incarnation) *Session {
	s := newSession(Options{Client: client, Clock: clock, Worker: worker, Holder: holder})
	s.startLeases.ready = true
	s.neverOwnedBefore = true
	return s
}

// NewTakeoverSession returns a session with a worker that may have had other
// owners. It becomes ready only after ConfirmEarlierOwnersOver was called and
// the takeover that follows it is complete.
func NewTakeoverSession(options Options) *Session {
	return newSession(options)
}

func newSession(options Options) *Session {
	if options.Random == nil {
		options.Random = rand.Float64
	}
	if options.ContinuationFence == nil {
		options.ContinuationFence = options.StartFence
	}
	return &Session{
		WorkerClient:      options.Client,
		clock:             options.Clock,
		worker:            options.Worker,
		holder:            options.Holder,
		startFence:        options.StartFence,
		continuationFence: options.ContinuationFence,
		account:           options.Account,
		random:            options.Random,
		earlierOwnersOver: make(chan struct{}),
		continuityWake:    make(chan struct{}, 1),
		runningTasks:      runningTasks{entries: map[ident.TaskID]*runningTask{}},

		firstContinuityGranted: make(chan struct{}),
	}
}

// Worker returns the identifier of the session's worker.
func (s *Session) Worker() ident.WorkerID { return s.worker }

// StartLease returns the lease for a start sent at now, which is the newest
// granted one. A caller that may have been paused since it read now must check
// its fence after the call.
func (s *Session) StartLease(now time.Time) (Lease, error) {
	if s.leaving.Load() {
		return Lease{}, fault.New(fault.WorkerLeaving, "worker %s is leaving and accepts no new starts", s.worker)
	}
	lease := s.usableStartLease.Load()
	if lease == nil || !now.Before(lease.LastStart) {
		return Lease{}, fault.New(fault.OwnerNotReady, "no valid start lease at worker %s", s.worker)
	}
	return *lease, nil
}

// MarkLeaving records that the worker refused work because it is leaving. No
// further starts are sent to it; its running tasks go on.
func (s *Session) MarkLeaving() { s.leaving.Store(true) }

// Leaving reports whether the worker refused work because it is leaving.
func (s *Session) Leaving() bool { return s.leaving.Load() }

// Ready reports whether a start could be sent now.
func (s *Session) Ready() bool {
	_, err := s.StartLease(s.clock.Now())
	return err == nil
}

// Run maintains the leases at the worker until ctx ends. Then it reports the
// tasks that it still renews as running on without it.
func (s *Session) Run(ctx context.Context) {
	defer s.releaseTasks()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { s.runPeriodically(ctx, s.continuityWake, continuityRenewalPeriod, s.renewContinuity) })
	group.Go(func() { s.grantStartLeases(ctx) })
	group.Go(func() { s.runPeriodically(ctx, nil, runLeaseRenewalPeriod, s.renewTasks) })
	group.Go(func() { s.runPeriodically(ctx, nil, usagePollPeriod, s.pollUsage) })
	if s.account != nil {
		s.takeOver(ctx)
	}
}

// grantStartLeases requests start leases until ctx ends. It begins after the
// first continuity lease was granted, so that Continuity covers every start of
// the session.
func (s *Session) grantStartLeases(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.firstContinuityGranted:
	}
	s.runPeriodically(ctx, nil, startLeaseGrantPeriod, s.grantStartLease)
}

// runPeriodically runs step once each period or after a wake. After a failure
// it retries with growing jittered delays instead.
func (s *Session) runPeriodically(ctx context.Context, wake <-chan struct{}, period time.Duration, step func(context.Context) error) {
	failures := 0
	for ctx.Err() == nil {
		delay := period
		if s.runWithTimeout(ctx, step) == nil {
			failures = 0
		} else {
			failures++
			delay = backoff(failures, s.random())
		}
		s.sleep(ctx, wake, delay)
	}
}

func (s *Session) runWithTimeout(ctx context.Context, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return step(ctx)
}

// sleep waits for duration, a wake or the end of ctx.
func (s *Session) sleep(ctx context.Context, wake <-chan struct{}, duration time.Duration) {
	timer := s.clock.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

const (
	// initialBackoff is short enough for two more attempts within a start
	// lease.
	initialBackoff = 500 * time.Millisecond
	// maxBackoff bounds the delay until a worker that answers again is noticed.
	maxBackoff = 8 * time.Second
)

// backoff returns the delay after a number of failures in a row. jitter is in
// [0, 1) and moves the delay within its upper half.
func backoff(failures int, jitter float64) time.Duration {
	delay := initialBackoff
	for range min(failures-1, 8) {
		delay = min(2*delay, maxBackoff)
	}
	return delay/2 + time.Duration(jitter*float64(delay/2))
}

// checkFence returns a failure if the instance's own lease has ended.
func (s *Session) checkFence() error { return s.checkOpen(s.startFence) }

// checkOpen returns a failure if the given lease of the instance has ended.
func (s *Session) checkOpen(lease *fence.Fence) error {
	if lease == nil || lease.Open(s.clock.Now()) {
		return nil
	}
	return fault.New(fault.Fenced, "a lease of this instance has ended, so it does not act at worker %s", s.worker)
}
