// Package workerlink implements a leader's session with one worker. A session
// renews the lease of the runs on the worker, collects the worker's reports one
// after the other, and determines the outcome of each order sent to it.
//
// The outcome of an order whose answer is lost is in doubt. It is resolved by a
// report that was requested with a higher fencing token, because such a report
// shows the order's effect or proves that it has and will have none.
package workerlink

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/version/cell"
)

// Grant holds the fields that every order to a worker carries.
type Grant struct {
	// Instance is the worker that the order is for; any other worker refuses it.
	Instance cell.WorkerID
	// Token is the fencing token of the order.
	Token int64
	// LeaseUntil is when the lease ends, in milliseconds of the worker's own clock.
	// It is 0, which grants no lease, while that clock is unknown.
	LeaseUntil int64
	// Incarnation is the incarnation of the worker whose clock that is, as far as known. It is
	// not sent: the worker can't tell for which incarnation an order was meant.
	Incarnation int64
}

// RenewalOrder is a lease renewal: it extends the lease and requests a report.
type RenewalOrder struct {
	Grant
	// AcknowledgedEnd is the number up to which the ended runs that the worker
	// reported are stored, so that the worker may forget them.
	AcknowledgedEnd int64
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// RenewalAnswer is the worker's answer to a lease renewal.
type RenewalAnswer struct {
	// Clock is the worker's clock in milliseconds when it answered.
	Clock int64
	// Incarnation identifies the worker's incarnation.
	Incarnation int64
	Running     []cell.RunReport
	Ended       []cell.RunEnd
	// Complete is set if Ended lists all ends after the acknowledged one.
	Complete bool
}

// WorkerClient is a client of one worker. An error of type *RefusedError means that
// the worker did not carry out the order; after any other error the outcome is
// unknown.
type WorkerClient interface {
	RenewLease(ctx context.Context, order RenewalOrder) (RenewalAnswer, error)
	// Start returns the worker's clock in milliseconds.
	Start(ctx context.Context, grant Grant, order cell.StartOrder) (clock int64, err error)
	Stop(ctx context.Context, grant Grant, order cell.StopOrder) error
	Throttle(ctx context.Context, grant Grant, order cell.ThrottleOrder) error
}

// RefusedError is the error for an order that the worker has not carried out and
// will not carry out.
type RefusedError struct {
	Reason cell.Refusal
}

func (r *RefusedError) Error() string { return "the worker refused the order: " + string(r.Reason) }

// Sink receives the results of a session. Its methods may block for a short
// time.
type Sink interface {
	// Report handles the report that a lease renewal returned.
	Report(report cell.Report)
	// RenewalUnanswered handles a lease renewal without an answer. The worker may
	// have received it; in that case its runs have ended at leaseUntil. leaseUntil
	// is zero if the renewal granted no lease.
	RenewalUnanswered(worker cell.WorkerID, leaseUntil time.Time, err error)
	// StartResult handles the outcome of a start order.
	StartResult(result cell.StartResult)
	// Authorized reports whether lease renewals may be sent, and MayStart whether starts
	// may be. They are false while another leader may have replaced the sender without
	// the sender knowing.
	Authorized() bool
	MayStart() bool
}

const (
	// LeaseDuration is how long runs on a worker go on after its last contact with
	// a leader. It must be longer than a change of leader and a restart of all
	// instances take. A longer lease delays the restart of a lost worker's tasks.
	LeaseDuration = 4500 * time.Millisecond
	// maxClockDrift is the fraction by which a worker's clock may run slower than
	// the local clock.
	maxClockDrift = 0.02
	// leaseMargin covers the delay between sending an order and reading the local
	// clock for it.
	leaseMargin = 50 * time.Millisecond
	// busyWait is the Wait of a lease renewal for a worker with runs. A report
	// can show usage that is this old. It is well below a third of LeaseDuration.
	busyWait = 800 * time.Millisecond
	// idleWait is the Wait of a lease renewal for a worker without runs.
	idleWait = 1400 * time.Millisecond
	// callTimeout limits the time of one order, and of a lease renewal beyond its
	// Wait. It allows for two round trips between regions and a slow processor
	// at either end.
	callTimeout = 700 * time.Millisecond
	// lateAnswerTimeout limits how long the answer to a lease renewal is awaited
	// after callTimeout. On a congested connection answers take seconds.
	lateAnswerTimeout = LeaseDuration
	// retryDelay is the delay after a lease renewal that failed.
	retryDelay = 200 * time.Millisecond
	// authorizationPollInterval is the interval of checking Authorized while it
	// is false. It is about the time that renewing a term at the log takes.
	authorizationPollInterval = 50 * time.Millisecond
	// maxStoreWait limits the wait until reported ends are stored. A lease
	// renewal sent earlier would return immediately with the same ends.
	maxStoreWait = 400 * time.Millisecond
	// maxStartsWait limits the wait until start orders under way are answered. It covers a
	// round trip between regions.
	maxStartsWait = 100 * time.Millisecond
	// maxAcknowledgementDelay is how long starts that follow each other may put off the
	// acknowledgement of ends. A worker lists a limited number of ends at a time.
	maxAcknowledgementDelay = 2 * time.Second
	// batchDelay is the delay after a report with ends, so that runs which end
	// at nearly the same time share the next report.
	batchDelay = 20 * time.Millisecond
)

// Session is a leader's session with one worker during one term. Its methods may
// be called concurrently.
type Session struct {
	worker cell.WorkerID
	client WorkerClient
	sink   Sink
	// maxLease is the longest lease that the worker grants.
	maxLease time.Duration

	// bound is set while no order may extend the lease.
	bound atomic.Bool
	// token is the fencing token of the next order.
	token atomic.Int64
	// clock is the newest reading of the worker's clock, or nil while that is unknown.
	clock atomic.Pointer[clockReading]
	// unansweredToken is the highest token of the orders that granted a lease and got no answer.
	unansweredToken atomic.Int64
	// earlierClock is the highest token of the orders that name the end of their lease on the
	// clock of an earlier incarnation of the worker and may still be carried out by this one, or
	// nil if there are none.
	earlierClock atomic.Pointer[int64]
	stored       atomic.Pointer[storedEnds]
	// leaseEnd is when the leases that orders of the session may have granted so far have
	// ended for certain, or nil.
	leaseEnd atomic.Pointer[time.Time]
	// lateAnswerAwaited is set while a renewal that counts as unanswered may still
	// be answered. lateAnswerArrived is set when such an answer has arrived.
	lateAnswerAwaited atomic.Bool
	lateAnswerArrived atomic.Bool
	// doubtedAt is the newest time at which a renewal was sent that failed, or an order was
	// given up, or nil. The worker may have restarted since, until a renewal is answered that
	// was sent no earlier. timedOutAt is when the newest renewal was sent that got no answer
	// in time. Its answer may still arrive, so that any answer since ends this doubt.
	doubtedAt, timedOutAt atomic.Pointer[time.Time]
	// startsUnderWay is the number of start orders without an answer.
	startsUnderWay atomic.Int64
	// startsHeld is closed when starts may be sent again, or nil while they may.
	startsHeld atomic.Pointer[chan struct{}]
	// acknowledgementDue is since when stored ends are to be acknowledged, or zero. Only the
	// goroutine of renewLeases uses it.
	acknowledgementDue time.Time

	// storedSignal receives a value when stored has changed, startsSignal when no start order is
	// under way any more, resolveSignal when Resolve asks for a report, and extendSignal when
	// the lease may be extended again.
	storedSignal  chan struct{}
	startsSignal  chan struct{}
	resolveSignal chan struct{}
	extendSignal  chan struct{}

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// storedEnds is the number up to which the ends of one incarnation of the worker
// are stored.
type storedEnds struct{ incarnation, number int64 }

// Options are the parameters of a session.
type Options struct {
	Worker cell.WorkerID
	Client WorkerClient
	Sink   Sink
	// Token is the first fencing token; the session uses higher ones up to the next multiple of
	// TokensPerTerm.
	Token int64
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Bound is set if no order may extend the lease before AllowExtension is called.
	Bound bool
}

// Open starts a session and its lease renewals.
func Open(ctx context.Context, options Options) *Session {
	ctx, cancel := context.WithCancel(ctx)
	s := &Session{
		worker:        options.Worker,
		client:        options.Client,
		sink:          options.Sink,
		maxLease:      options.MaxLease,
		storedSignal:  make(chan struct{}, 1),
		startsSignal:  make(chan struct{}, 1),
		resolveSignal: make(chan struct{}, 1),
		extendSignal:  make(chan struct{}, 1),
		cancel:        cancel,
	}
	s.bound.Store(options.Bound)
	s.token.Store(options.Token)
	s.stored.Store(&storedEnds{})
	s.goroutines.Add(1)
	go s.renewLeases(ctx)
	return s
}

// TokensPerTerm is the number of fencing tokens that one term may use at one
// worker.
const TokensPerTerm = 1 << 20

// Close ends the session without sending an order to the worker. It does not block. LeaseEnd
// then covers all leases that the session has granted.
func (s *Session) Close() {
	s.StopExtension()
	s.cancel()
}

// Token returns the highest fencing token that the session has used.
func (s *Session) Token() int64 { return s.token.Load() }

// LeaseEnd returns when the leases that the session's orders may have granted so far have
// ended for certain, also by orders whose outcome the sink does not know yet. It is zero if
// no order may have granted one.
func (s *Session) LeaseEnd() time.Time {
	if end := s.leaseEnd.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// Wait blocks until the goroutines of the session have ended after Close. They may
// still pass a result to the sink before.
func (s *Session) Wait() { s.goroutines.Wait() }

// AcknowledgeEnds records that the ends of one incarnation of the worker are stored
// up to number. The next lease renewal allows the worker to forget them.
func (s *Session) AcknowledgeEnds(incarnation, number int64) {
	s.stored.Store(&storedEnds{incarnation, number})
	notify(s.storedSignal)
}

// Resolve resolves orders whose outcome is in doubt. It requests a report with a
// higher fencing token, after which the worker refuses the earlier orders that
// have not arrived yet.
func (s *Session) Resolve() {
	recordLatest(&s.doubtedAt, time.Now())
	s.token.Add(1)
	notify(s.resolveSignal)
}

// notify sends a signal without blocking. A signal that is already pending
// serves for both.
func notify(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// renewLeases sends one lease renewal after the other until the context ends.
func (s *Session) renewLeases(ctx context.Context) {
	defer s.goroutines.Done()
	defer s.releaseStarts()
	wait := time.Duration(0)
	extend := true
	for ctx.Err() == nil {
		if !s.sink.Authorized() {
			s.releaseStarts()
			s.pause(ctx, authorizationPollInterval)
			continue
		}
		report, err := s.renewLease(ctx, wait, extend)
		// The worker may have received a renewal without an answer. Until an
		// answer arrives, the renewals that follow must not extend the lease, or
		// a worker whose answers are lost would never be declared lost.
		extend = s.lateAnswerArrived.Swap(false) || err == nil
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			s.sink.RenewalUnanswered(s.worker, report.LeaseUntil, err)
			s.pause(ctx, retryDelay)
			wait = 0
			continue
		}
		s.sink.Report(report)
		wait = s.nextWait(ctx, report)
	}
}

// nextWait blocks until the next lease renewal should be sent and returns its
// Wait. After a report with ends it blocks until they are stored, so that the
// next report doesn't repeat them.
func (s *Session) nextWait(ctx context.Context, report cell.Report) time.Duration {
	if report.LeaseUntil.IsZero() {
		s.awaitExtension(ctx)
		return 0 // No lease was granted; the next renewal grants one.
	}
	if last := highestNumber(report.Ended); last > 0 {
		s.awaitStored(ctx, report.Incarnation, last)
		s.pause(ctx, batchDelay)
		s.awaitStarts(ctx)
		if stored := s.stored.Load(); stored.incarnation != report.Incarnation || stored.number < last {
			return 0
		}
	}
	if len(report.Running) == 0 && len(report.Ended) == 0 {
		return idleWait
	}
	return busyWait
}

// highestNumber returns the highest number of the ends, or 0 if there are none.
func highestNumber(ends []cell.RunEnd) int64 {
	last := int64(0)
	for _, end := range ends {
		last = max(last, end.Number)
	}
	return last
}

// awaitStored blocks until the ends of an incarnation up to number are stored,
// for at most maxStoreWait or until Resolve is called.
func (s *Session) awaitStored(ctx context.Context, incarnation, number int64) {
	timer := time.NewTimer(maxStoreWait)
	defer timer.Stop()
	for {
		if stored := s.stored.Load(); stored.incarnation == incarnation && stored.number >= number {
			return
		}
		select {
		case <-s.storedSignal:
		case <-s.resolveSignal:
			return
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// pause blocks for a duration, or until Resolve is called or the context ends.
func (s *Session) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.resolveSignal:
	case <-ctx.Done():
	}
}

// errUnanswered is the error for a lease renewal that was not answered in time.
var errUnanswered = errors.New("no answer in time")

// openRenewal is a lease renewal that was sent.
type openRenewal struct {
	order  RenewalOrder
	sent   time.Time
	result chan renewalResult
	// cancel abandons the renewal. It must be called once.
	cancel context.CancelFunc
}

type renewalResult struct {
	answer RenewalAnswer
	err    error
}

func (s *Session) sendRenewal(ctx context.Context, order RenewalOrder) openRenewal {
	ctx, cancel := context.WithTimeout(ctx, order.Wait+callTimeout+lateAnswerTimeout)
	renewal := openRenewal{order: order, sent: time.Now(), result: make(chan renewalResult, 1), cancel: cancel}
	if end := order.leaseEnd(renewal.sent); !end.IsZero() && !s.mayGrant(end) {
		order.LeaseUntil = 0
		renewal.order = order
	}
	go func() {
		var r renewalResult
		if err := fault.Catch(func() { r.answer, r.err = s.client.RenewLease(ctx, order) }); err != nil {
			r.err = err
		}
		renewal.result <- r
	}()
	return renewal
}

// renewLease sends one lease renewal, which extends the lease if extend is set.
// If Resolve is called before the worker has answered, renewLease abandons the
// renewal and sends another with the new token. With an error, only LeaseUntil
// of the report is set: the end of the lease that the renewal may have granted.
func (s *Session) renewLease(ctx context.Context, wait time.Duration, extend bool) (cell.Report, error) {
	order := RenewalOrder{Grant: s.newGrant(), Wait: wait}
	// The lease must not be extended later than it was allowed, so its end is fixed first.
	if !extend || !s.sink.Authorized() {
		order.LeaseUntil = 0
	}
	order.AcknowledgedEnd = s.acknowledgedEnd()
	if order.AcknowledgedEnd > 0 {
		s.acknowledgementDue = time.Time{}
	}
	renewal := s.sendRenewal(ctx, order)
	order = renewal.order
	s.releaseStarts()
	timer := time.NewTimer(wait + callTimeout)
	defer timer.Stop()
	select {
	case r := <-renewal.result:
		renewal.cancel()
		if r.err != nil {
			recordLatest(&s.doubtedAt, renewal.sent)
			s.recordUnansweredRenewal(order)
			return cell.Report{LeaseUntil: order.leaseEnd(renewal.sent)}, r.err
		}
		return s.newReport(order, renewal.sent, r.answer), nil
	case <-timer.C:
		recordLatest(&s.timedOutAt, renewal.sent)
		s.recordUnansweredRenewal(order)
		s.awaitLateAnswer(renewal)
		return cell.Report{LeaseUntil: order.leaseEnd(renewal.sent)}, errUnanswered
	case <-s.resolveSignal:
		renewal.cancel()
		s.recordUnanswered(order.Grant)
		report, err := s.renewLease(ctx, 0, extend)
		if end := order.leaseEnd(renewal.sent); end.After(report.LeaseUntil) {
			report.LeaseUntil = end
		}
		return report, err
	}
}

// acknowledgedEnd returns the number up to which the worker may forget its ends. It is 0 while
// the worker may have restarted and carried out a start since: the ends of a new incarnation
// are numbered anew.
func (s *Session) acknowledgedEnd() int64 {
	if s.startsUnderWay.Load() > 0 {
		return 0
	}
	stored, clock := s.stored.Load(), s.clock.Load()
	if clock == nil || stored.incarnation != clock.incarnation || isBefore(clock.sent, &s.doubtedAt) || isBefore(clock.readAt, &s.timedOutAt) {
		return 0
	}
	return stored.number
}

// isBefore reports whether a time is before a recorded one.
func isBefore(at time.Time, recorded *atomic.Pointer[time.Time]) bool {
	latest := recorded.Load()
	return latest != nil && at.Before(*latest)
}

// recordLatest records a time unless a later one is recorded.
func recordLatest(recorded *atomic.Pointer[time.Time], at time.Time) {
	for {
		earlier := recorded.Load()
		if earlier != nil && !at.After(*earlier) || recorded.CompareAndSwap(earlier, &at) {
			return
		}
	}
}

// awaitLateAnswer reports the answer to a renewal that counts as unanswered, should
// it still arrive. It abandons the renewal if an earlier one is still awaited, so that
// a silent worker holds one connection at most.
func (s *Session) awaitLateAnswer(renewal openRenewal) {
	if !s.lateAnswerAwaited.CompareAndSwap(false, true) {
		renewal.cancel()
		return
	}
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		r := <-renewal.result
		renewal.cancel()
		s.lateAnswerAwaited.Store(false)
		if r.err != nil {
			return // RenewalUnanswered was called for this renewal already.
		}
		s.sink.Report(s.newReport(renewal.order, renewal.sent, r.answer))
		s.lateAnswerArrived.Store(true)
	}()
}

// newGrant returns the grant for an order sent now: the current fencing token,
// and a lease if the worker's clock is known.
func (s *Session) newGrant() Grant {
	grant := Grant{Instance: s.worker, Token: s.token.Load()}
	if reading := s.clock.Load(); reading != nil {
		elapsed := time.Since(reading.readAt)
		grant.LeaseUntil = reading.millis + (elapsed + LeaseDuration).Milliseconds()
		grant.Incarnation = reading.incarnation
	}
	return grant
}

// Stop sends a stop order. A later report lists the end of the run; the owner of
// the session repeats the order if no report does.
func (s *Session) Stop(ctx context.Context, order cell.StopOrder) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.client.Stop(callCtx, s.newGrant(), order)
}

// Throttle sends an order to throttle a best-effort run. The owner of the session
// repeats it when reports show that this is needed.
func (s *Session) Throttle(ctx context.Context, order cell.ThrottleOrder) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.client.Throttle(callCtx, s.newGrant(), order)
}
