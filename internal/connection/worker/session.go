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
	// startLeaseGrant is the time between grants of start leases. Two grants in
	// a row may fail before starts have to wait.
	startLeaseGrant = 1 * time.Second
	// RunLeasePeriod is how long a task runs without renewal.
	RunLeasePeriod = 20 * time.Second
	// runLeaseRenewal is the time between batches of run lease renewals.
	runLeaseRenewal = 5 * time.Second
	// usagePeriod is the time between polls of a worker's usage.
	usagePeriod = 1 * time.Second
	// commandTimeout bounds one lease, renewal or poll command.
	commandTimeout = 1 * time.Second
	// ClockMargin covers the difference in clock rate between two machines over
	// one lease.
	ClockMargin = membership.ClockMargin
)

// Session gets start leases at one owned worker and renews the run leases of
// its tasks. StartLease takes no lock.
type Session struct {
	API
	clock   clock.Clock
	worker  ident.WorkerID
	holder  ident.Incarnation
	fence   *fence.Fence
	keeping *fence.Fence
	account *ledger.Account
	random  func() float64
	// only is whether the worker never had another owner.
	only bool

	// lease is the lease for new starts, or nil.
	lease   atomic.Pointer[Lease]
	usage   atomic.Pointer[Measurement]
	leaving atomic.Bool
	// found holds the tasks that the takeover found running, or nil before it.
	found atomic.Pointer[map[ident.TaskID]bool]
	// cleared is closed when earlier owners of the worker can't act any more.
	cleared   chan struct{}
	clearOnce sync.Once
	// remembered is closed when the first continuity lease was granted.
	remembered chan struct{}
	// wake asks for a renewal of the continuity lease before the next is due.
	wake       chan struct{}
	leases     leaseBook
	continuity continuityBook
	tasks      taskBook
}

// Options are the parts of a session.
type Options struct {
	API    API
	Clock  clock.Clock
	Worker ident.WorkerID
	Holder ident.Incarnation
	// Fence is the instance's own lease; no lease for starts is asked for or
	// renewed while it is closed.
	Fence *fence.Fence
	// Keep is the lease under which run leases are renewed; nil stands for
	// Fence.
	Keep *fence.Fence
	// Account receives the tasks that the takeover finds.
	Account *ledger.Account
	// Random spreads retries; it returns values in [0, 1) and is safe for use
	// by many threads. Nil stands for the random source of the process.
	Random func() float64
}

// NewSession returns the first session ever with a worker. It
// is ready as soon as it has a start lease.
func NewSession(api API, clock clock.Clock, worker ident.WorkerID, holder ident.Incarnation) *Session {
	s := newSession(Options{API: api, Clock: clock, Worker: worker, Holder: holder})
	s.leases.ready = true
	s.only = true
	return s
}

// NewTakeover returns a session with a worker that may have had other owners.
// It becomes ready only after EarlierOwnersOver and the takeover that follows.
func NewTakeover(options Options) *Session {
	return newSession(options)
}

func newSession(options Options) *Session {
	if options.Random == nil {
		options.Random = rand.Float64
	}
	if options.Keep == nil {
		options.Keep = options.Fence
	}
	return &Session{
		API:     options.API,
		clock:   options.Clock,
		worker:  options.Worker,
		holder:  options.Holder,
		fence:   options.Fence,
		keeping: options.Keep,
		account: options.Account,
		random:  options.Random,
		cleared: make(chan struct{}),
		wake:    make(chan struct{}, 1),
		tasks:   taskBook{entries: map[ident.TaskID]*runTask{}},

		remembered: make(chan struct{}),
	}
}

// Worker returns the worker that the session is with.
func (s *Session) Worker() ident.WorkerID { return s.worker }

// StartLease returns the lease for a start sent now, which is the newest that
// was granted. A caller that may have paused since it read now checks its fence
// after the call.
func (s *Session) StartLease(now time.Time) (Lease, error) {
	if s.leaving.Load() {
		return Lease{}, fault.New(fault.WorkerLeaving, "worker %s", s.worker)
	}
	lease := s.lease.Load()
	if lease == nil || !now.Before(lease.Until) {
		return Lease{}, fault.New(fault.OwnerNotReady, "no start lease at worker %s", s.worker)
	}
	return *lease, nil
}

// MarkLeaving records that the worker refused work because it is leaving. No
// start leaves for it any more; its running tasks go on.
func (s *Session) MarkLeaving() { s.leaving.Store(true) }

// Leaving reports whether the worker refused work because it is leaving.
func (s *Session) Leaving() bool { return s.leaving.Load() }

// Ready reports whether a start could leave now.
func (s *Session) Ready() bool {
	_, err := s.StartLease(s.clock.Now())
	return err == nil
}

// Run keeps the leases at the worker until ctx ends. Then it lets go of the
// tasks that are kept.
func (s *Session) Run(ctx context.Context) {
	defer s.abandon()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { s.repeat(ctx, s.wake, continuityRenewal, s.keepContinuity) })
	group.Go(func() { s.keepStartLease(ctx) })
	group.Go(func() { s.repeat(ctx, nil, runLeaseRenewal, s.renewTasks) })
	group.Go(func() { s.repeat(ctx, nil, usagePeriod, s.poll) })
	if s.account != nil {
		s.takeOver(ctx)
	}
}

// keepStartLease gets start leases until ctx ends. It begins after the first
// continuity lease, so that Continuity covers every start of the session.
func (s *Session) keepStartLease(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.remembered:
	}
	s.repeat(ctx, nil, startLeaseGrant, s.grantLease)
}

// repeat runs step each period, after a failure with growing jittered delays.
func (s *Session) repeat(ctx context.Context, wake <-chan struct{}, period time.Duration, step func(context.Context) error) {
	failures := 0
	for ctx.Err() == nil {
		delay := period
		if s.bounded(ctx, step) == nil {
			failures = 0
		} else {
			failures++
			delay = backoff(failures, s.random())
		}
		s.sleep(ctx, wake, delay)
	}
}

func (s *Session) bounded(ctx context.Context, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return step(ctx)
}

// sleep waits for d, a wake or the end of ctx.
func (s *Session) sleep(ctx context.Context, wake <-chan struct{}, d time.Duration) {
	timer := s.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

const (
	// firstBackoff is short enough for two more tries within a start lease.
	firstBackoff = 500 * time.Millisecond
	// maxBackoff bounds how late a worker that came back is noticed.
	maxBackoff = 8 * time.Second
)

// backoff returns the delay after a number of failures in a row. spread is in
// [0, 1) and moves the delay within its upper half.
func backoff(failures int, spread float64) time.Duration {
	delay := firstBackoff
	for range min(failures-1, 8) {
		delay = min(2*delay, maxBackoff)
	}
	return delay/2 + time.Duration(spread*float64(delay/2))
}

// fenced returns a failure if the instance's own lease is over.
func (s *Session) fenced() error { return s.under(s.fence) }

// under returns a failure if a lease of the instance is over.
func (s *Session) under(lease *fence.Fence) error {
	if lease == nil || lease.Open(s.clock.Now()) {
		return nil
	}
	return fault.New(fault.Fenced, "at worker %s", s.worker)
}
