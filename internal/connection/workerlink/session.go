// Package workerlink holds the connection to one worker: the leases of what
// runs there, the order of its reports, and the outcome of each order.
//
// An order whose answer is lost is Unknown until a report that was asked for
// under a higher fencing token shows or rules out its effect.
package workerlink

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"poplarvalve/internal/version/cell"
)

// Grant is what an order carries besides its subject.
type Grant struct {
	// Instance is the worker that is meant; any other refuses.
	Instance cell.WorkerID
	// Token is the fencing token.
	Token int64
	// Until is the end of the lease on the worker's own clock, in
	// milliseconds. It is 0 as long as that clock is unknown.
	Until int64
}

// HoldOrder asks for a report and prolongs the lease.
type HoldOrder struct {
	Grant
	// Seen lets the worker forget its ends up to this number.
	Seen int64
	// Wait is how long the worker may wait for an end.
	Wait time.Duration
}

// HoldAnswer is the worker's report.
type HoldAnswer struct {
	// Clock is the worker's clock in milliseconds when it answered.
	Clock   int64
	Born    int64
	Running []cell.Row
	Ended   []cell.End
}

// API is one worker. Failures are of type *Refused if the worker did nothing,
// and prove nothing otherwise.
type API interface {
	Hold(ctx context.Context, order HoldOrder) (HoldAnswer, error)
	// Start returns the worker's clock.
	Start(ctx context.Context, grant Grant, order cell.StartOrder) (clock int64, err error)
	Stop(ctx context.Context, grant Grant, order cell.StopOrder) error
	Pace(ctx context.Context, grant Grant, order cell.PaceOrder) error
}

// Refused is the error of an order that the worker did not and will not carry
// out.
type Refused struct {
	Reason cell.Refusal
}

func (r *Refused) Error() string { return "the worker refused: " + string(r.Reason) }

// Sink takes what a session learns. Its methods may block for a short time.
type Sink interface {
	Report(report cell.Report)
	// Silent says that a hold got no answer. If it arrived, what runs there
	// has lapsed at leaseUntil.
	Silent(worker cell.WorkerID, leaseUntil time.Time, err error)
	StartResult(result cell.StartResult)
	// Authorized says whether starts and leases may be sent. It is false while
	// the sender may have been replaced without knowing.
	Authorized() bool
}

const (
	// Lease is how long what runs on a worker outlives the last contact. It
	// must cover the change of a leader and the restart of all instances, and
	// it delays the work of a worker that is lost.
	Lease = 4500 * time.Millisecond
	// clockDrift is how much slower than ours a worker's clock may run.
	clockDrift = 0.02
	// leaseMargin covers what is sent but not yet timed.
	leaseMargin = 50 * time.Millisecond
	// holdWait is how long a worker with runs waits for an end. It is also the
	// age of the usage that a report shows, and well below a third of Lease.
	holdWait = 800 * time.Millisecond
	// idleWait is holdWait for workers without runs.
	idleWait = 1400 * time.Millisecond
	// callTimeout bounds one order, and a hold beyond its wait: two round
	// trips between regions and a slow processor at either end.
	callTimeout = 700 * time.Millisecond
	// retryPause is the pause after a call that failed.
	retryPause = 200 * time.Millisecond
	// authorityPause is the pause while the sender isn't authorized: about a
	// renewal at the log.
	authorityPause = 50 * time.Millisecond
	// storePause bounds the wait until ends are stored. A hold sent before
	// would list them again at once.
	storePause = 400 * time.Millisecond
	// mergePause lets ends that come together share one report.
	mergePause = 20 * time.Millisecond
)

// Session is the link to one worker in one term. Its methods may be called by
// any thread.
type Session struct {
	worker cell.WorkerID
	api    API
	sink   Sink

	token atomic.Int64
	// clock is what is known of the worker's clock.
	clock atomic.Pointer[clockReading]
	seen  atomic.Pointer[seenEnds]

	acked  chan struct{}
	settle chan struct{}

	cancel context.CancelFunc
	ended  sync.WaitGroup
}

// seenEnds says up to which number the ends of one life of the worker are
// stored.
type seenEnds struct{ born, number int64 }

// clockReading is the worker's clock at a moment of ours.
type clockReading struct {
	millis int64
	at     time.Time
	born   int64
}

// Open starts a session. token is the first fencing token; the session uses
// higher ones up to the next multiple of TokensPerTerm.
func Open(ctx context.Context, worker cell.WorkerID, api API, sink Sink, token int64) *Session {
	ctx, cancel := context.WithCancel(ctx)
	s := &Session{
		worker: worker,
		api:    api,
		sink:   sink,
		acked:  make(chan struct{}, 1),
		settle: make(chan struct{}, 1),
		cancel: cancel,
	}
	s.token.Store(token)
	s.seen.Store(&seenEnds{})
	s.ended.Add(1)
	go s.run(ctx)
	return s
}

// TokensPerTerm is the number of tokens that one term may use at one worker.
const TokensPerTerm = 1 << 20

// Close ends the session without an order to the worker.
func (s *Session) Close() {
	s.cancel()
}

// Seen says that the ends of one life of the worker are stored up to number.
func (s *Session) Seen(born, number int64) {
	s.seen.Store(&seenEnds{born, number})
	wake(s.acked)
}

// Settle asks for a report under a higher token, so that earlier orders that
// have not arrived never will.
func (s *Session) Settle() {
	s.token.Add(1)
	wake(s.settle)
}

func wake(signal chan struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// run asks for one report after the other.
func (s *Session) run(ctx context.Context) {
	defer s.ended.Done()
	wait := time.Duration(0)
	prolong := true
	for ctx.Err() == nil {
		if !s.sink.Authorized() {
			s.pause(ctx, authorityPause)
			continue
		}
		report, err := s.hold(ctx, wait, prolong)
		// A hold without an answer may have arrived. Those that follow must
		// not prolong the lease again, or a worker whose answers are lost
		// would never be given up.
		prolong = err == nil
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			s.sink.Silent(s.worker, report.LeaseUntil, err)
			s.pause(ctx, retryPause)
			wait = 0
			continue
		}
		s.sink.Report(report)
		wait = s.next(ctx, report)
	}
}

// next waits until another report is worth its price, and returns how long the
// worker may wait for an end.
func (s *Session) next(ctx context.Context, report cell.Report) time.Duration {
	if report.LeaseUntil.IsZero() {
		return 0 // Nothing was prolonged.
	}
	if last := newest(report.Ended); last > 0 {
		s.awaitStored(ctx, report.Born, last)
		s.pause(ctx, mergePause)
		if seen := s.seen.Load(); seen.born != report.Born || seen.number < last {
			return 0
		}
	}
	if len(report.Running) == 0 && len(report.Ended) == 0 {
		return idleWait
	}
	return holdWait
}

func newest(ends []cell.End) int64 {
	last := int64(0)
	for _, end := range ends {
		last = max(last, end.Number)
	}
	return last
}

func (s *Session) awaitStored(ctx context.Context, born, number int64) {
	timer := time.NewTimer(storePause)
	defer timer.Stop()
	for {
		if seen := s.seen.Load(); seen.born == born && seen.number >= number {
			return
		}
		select {
		case <-s.acked:
		case <-s.settle:
			return
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *Session) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.settle:
	case <-ctx.Done():
	}
}

// hold sends one hold. While it waits at the worker, Settle ends it early.
// With an error the report holds only the lease that it may have granted.
func (s *Session) hold(ctx context.Context, wait time.Duration, prolong bool) (cell.Report, error) {
	order := HoldOrder{Grant: s.grant(), Wait: wait}
	if !prolong {
		order.Until = 0
	}
	if seen, clock := s.seen.Load(), s.clock.Load(); clock != nil && seen.born == clock.born {
		order.Seen = seen.number
	}
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	type result struct {
		answer HoldAnswer
		err    error
	}
	results := make(chan result, 1)
	go func() {
		answer, err := s.api.Hold(call, order)
		results <- result{answer, err}
	}()
	select {
	case r := <-results:
		if r.err != nil {
			return cell.Report{LeaseUntil: order.leaseEnd(sent)}, r.err
		}
		return s.report(order, sent, r.answer), nil
	case <-s.settle:
		cancel()
		report, err := s.hold(ctx, 0, prolong)
		if err != nil && report.LeaseUntil.IsZero() {
			report.LeaseUntil = order.leaseEnd(sent)
		}
		return report, err
	}
}

func (s *Session) report(order HoldOrder, sent time.Time, answer HoldAnswer) cell.Report {
	s.read(answer.Clock, answer.Born)
	report := cell.Report{
		Worker:  s.worker,
		Born:    answer.Born,
		Sent:    sent,
		Token:   order.Token,
		Running: answer.Running,
		Ended:   answer.Ended,
	}
	report.LeaseUntil = order.leaseEnd(sent)
	return report
}

// leaseEnd returns when the lease that the order grants is over; it is zero if
// the order grants none.
func (o HoldOrder) leaseEnd(sent time.Time) time.Time {
	if o.Until == 0 {
		return time.Time{}
	}
	return leaseEnd(sent)
}

// read keeps a reading of the worker's clock. The clock shows at least that
// much from now on.
func (s *Session) read(millis, born int64) {
	if millis > 0 {
		s.clock.Store(&clockReading{millis, time.Now(), born})
	}
}

func (s *Session) grant() Grant {
	grant := Grant{Instance: s.worker, Token: s.token.Load()}
	if reading := s.clock.Load(); reading != nil {
		elapsed := time.Since(reading.at)
		grant.Until = reading.millis + (elapsed + Lease).Milliseconds()
	}
	return grant
}

// leaseEnd returns when a lease is over that was granted by a call sent then,
// also if the worker's clock is slow.
func leaseEnd(sent time.Time) time.Time {
	return sent.Add(time.Duration(float64(Lease)*(1+2*clockDrift)) + callTimeout/2 + leaseMargin)
}

// Start sends a start order and reports its outcome.
func (s *Session) Start(ctx context.Context, order cell.StartOrder) {
	grant := s.grant()
	sent := time.Now()
	if !s.sink.Authorized() {
		s.sink.StartResult(cell.StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run,
			Token: grant.Token, Outcome: cell.StartRefused, Refusal: cell.RefusedUnsent})
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.api.Start(call, grant, order)
	result := cell.StartResult{
		Worker: order.Worker, Task: order.Task, Run: order.Run,
		Token: grant.Token, LeaseUntil: leaseEnd(sent),
	}
	var refused *Refused
	switch {
	case err == nil:
		result.Outcome = cell.StartAccepted
	case errors.As(err, &refused):
		result.Outcome = cell.StartRefused
		result.Refusal = refused.Reason
	default:
		result.Outcome = cell.StartUnknown
	}
	s.sink.StartResult(result)
}

// Stop sends a stop order. The end of the run shows in a report; the owner
// repeats the order if it doesn't.
func (s *Session) Stop(ctx context.Context, order cell.StopOrder) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.api.Stop(call, s.grant(), order)
}

// Pace sends a pace order. The owner repeats it as reports ask for it.
func (s *Session) Pace(ctx context.Context, order cell.PaceOrder) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.api.Pace(call, s.grant(), order)
}
