package workerlink

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/version/cell"
)

// awaitStarts blocks until no start order is under way, for at most maxStartsWait or until
// Resolve is called. A renewal sent earlier would acknowledge no ends. If that has gone
// on for maxAcknowledgementDelay, new starts are held until the next renewal is sent.
func (s *Session) awaitStarts(ctx context.Context) {
	limit := maxStartsWait
	if s.acknowledgementDue.IsZero() {
		s.acknowledgementDue = time.Now()
	}
	if time.Since(s.acknowledgementDue) > maxAcknowledgementDelay {
		limit = callTimeout
		released := make(chan struct{})
		s.startsHeld.Store(&released)
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for s.startsUnderWay.Load() > 0 {
		select {
		case <-s.startsSignal:
		case <-s.resolveSignal:
			return
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// releaseStarts lets starts held by awaitStarts go on.
func (s *Session) releaseStarts() {
	if released := s.startsHeld.Swap(nil); released != nil {
		close(*released)
	}
}

// beginStart counts a start order as under way. It blocks while starts are held and returns
// false if the context ends before.
func (s *Session) beginStart(ctx context.Context) bool {
	for {
		s.startsUnderWay.Add(1)
		released := s.startsHeld.Load()
		if released == nil {
			return true
		}
		s.endStart()
		select {
		case <-*released:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Session) endStart() {
	if s.startsUnderWay.Add(-1) == 0 {
		notify(s.startsSignal)
	}
}

// Start sends a start order and passes its outcome to the sink. Without authorization, or while
// the lease must not be extended, it sends nothing, and the outcome is a refusal with the reason
// RefusedNotSent.
func (s *Session) Start(ctx context.Context, order cell.StartOrder) {
	held := !s.beginStart(ctx)
	grant := s.newGrant()
	sent := time.Now()
	if held || !s.sink.MayStart() || !s.mayGrant(latestLeaseEnd(sent)) {
		if !held {
			s.endStart()
		}
		s.sink.StartResult(cell.StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run,
			Token: grant.Token, Outcome: cell.StartRefused, Refusal: cell.RefusedNotSent})
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sameIncarnation, err := s.sendStart(callCtx, grant, order)
	s.endStart()
	result := cell.StartResult{
		Worker: order.Worker, Task: order.Task, Run: order.Run,
		Token: grant.Token, LeaseUntil: latestLeaseEnd(sent),
	}
	if err == nil && !sameIncarnation {
		result.LeaseUntil = s.longestLeaseEnd()
		result.StrayUntil = result.LeaseUntil.Add(MaxOrderDelay)
		recordLatest(&s.leaseEnd, result.LeaseUntil)
	}
	var refused *RefusedError
	switch {
	case err == nil:
		result.Outcome = cell.StartAccepted
	case errors.As(err, &refused):
		result.Outcome = cell.StartRefused
		result.Refusal = refused.Reason
	default:
		s.recordUnanswered(grant)
		result.Outcome = cell.StartUnknown
		if isClosedByWorker(err) {
			result.ClosedAfter = time.Since(sent)
		}
	}
	s.sink.StartResult(result)
}

// sendStart sends a start order, and reports whether the incarnation has answered that the order
// was meant for.
func (s *Session) sendStart(ctx context.Context, grant Grant, order cell.StartOrder) (sameIncarnation bool, err error) {
	sent, millis := time.Now(), int64(0)
	if unexpected := fault.Catch(func() { millis, err = s.client.Start(ctx, grant, order) }); unexpected != nil {
		err = unexpected
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		return false, err
	}
	if err != nil {
		recordLatest(&s.doubtedAt, time.Now())
		return false, err
	}
	return s.recordStartClock(grant, millis, sent), nil
}

// isClosedByWorker reports whether the worker's end closed the connection of an order
// that was sent.
func isClosedByWorker(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}
