package serve

import (
	"context"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/placement"
	"poplarvalve/internal/version/rules"
)

// hedgedRequest is the state of one idempotent request that may have several
// attempts at the same time. Only the goroutine of the request uses it; the
// goroutines of attempts send their answers over a channel.
type hedgedRequest struct {
	engine     *Engine
	snapshot   snapshot
	request    work.Request
	service    rules.Service
	candidates []placement.Candidate

	answers chan work.Answer
	started int
	pending int
	// timer fires when another attempt is due. timerC is its channel, or nil
	// if no attempt is scheduled.
	timer  *time.Timer
	timerC <-chan time.Time
	// retryScheduled is whether the scheduled attempt is a retry, which the
	// retry budget has already paid for.
	retryScheduled bool
	lastAnswer     work.Answer
	mayHaveRun     bool
}

// tryHedged returns the answer of the first attempt that ran. The outcome is
// NotRun only if every attempt is known not to have run.
func (e *Engine) tryHedged(ctx context.Context, s snapshot, request work.Request, service rules.Service, candidates []placement.Candidate) work.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hedgedRequest{
		engine:     e,
		snapshot:   s,
		request:    request,
		service:    service,
		candidates: candidates,
		answers:    make(chan work.Answer, len(candidates)),
	}
	defer h.stopTimer()
	h.startAttempt(ctx)
	for h.pending > 0 || h.retryScheduled {
		select {
		case answer := <-h.answers:
			if h.handleAnswer(ctx, answer) {
				return answer
			}
		case <-h.timerC:
			h.startDueAttempt(ctx)
		}
	}
	if h.mayHaveRun {
		return work.Refuse(request.ID, h.lastAnswer.Failure.WithOutcome(fault.Unknown))
	}
	return h.lastAnswer
}

// startAttempt starts the next attempt and schedules its hedge.
func (h *hedgedRequest) startAttempt(ctx context.Context) {
	candidate := h.candidates[h.started]
	request := withAttemptID(h.request, h.started)
	h.started++
	h.pending++
	go func() {
		h.answers <- h.engine.runAttempt(ctx, h.snapshot, request, h.service, candidate)
	}()
	h.scheduleHedge(ctx)
}

// handleAnswer processes the answer of one attempt and reports whether the
// attempt ran.
func (h *hedgedRequest) handleAnswer(ctx context.Context, answer work.Answer) bool {
	h.pending--
	if answer.Outcome == fault.Ran {
		return true
	}
	h.lastAnswer = answer
	h.mayHaveRun = h.mayHaveRun || answer.Outcome == fault.Unknown
	if h.retryScheduled || h.started == len(h.candidates) {
		return false
	}
	wait, allowed := h.engine.retryDelay(ctx, h.request, h.started, answer)
	if allowed {
		h.retryScheduled = true
		h.setTimer(wait)
	}
	return false
}

// startDueAttempt starts the scheduled attempt if it is a retry or Hedging
// allows it, and if the request has time left.
func (h *hedgedRequest) startDueAttempt(ctx context.Context) {
	isRetry := h.retryScheduled
	h.retryScheduled = false
	h.stopTimer()
	if ctx.Err() != nil {
		return
	}
	if isRetry || h.engine.Hedging.AllowHedge() {
		h.startAttempt(ctx)
	}
}

// scheduleHedge schedules a further attempt for the case that no attempt
// answers in time.
func (h *hedgedRequest) scheduleHedge(ctx context.Context) {
	if h.engine.Hedging == nil || h.started == len(h.candidates) {
		return
	}
	now := h.engine.Clock.Now()
	request := h.request
	request.Remaining = timeLeft(ctx, request, now)
	wait, worthwhile := h.engine.Hedging.HedgeAfter(request, h.service, now)
	if worthwhile {
		h.setTimer(wait)
	}
}

func (h *hedgedRequest) setTimer(wait time.Duration) {
	h.stopTimer()
	h.timer = h.engine.Clock.NewTimer(wait)
	h.timerC = h.timer.C
}

func (h *hedgedRequest) stopTimer() {
	if h.timerC != nil {
		h.timer.Stop()
	}
	h.timerC = nil
}
