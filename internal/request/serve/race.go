package serve

import (
	"context"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/placement"
	"poplarvalve/internal/version/rules"
)

// race is the set of attempts of one idempotent request. Only the goroutine of
// the request uses it; attempts hand over their answers.
type race struct {
	engine     *Engine
	snapshot   snapshot
	request    work.Request
	service    rules.Service
	candidates []placement.Candidate

	answers chan work.Answer
	begun   int
	pending int
	// next fires when another attempt is due; due is nil if none is.
	next *time.Timer
	due  <-chan time.Time
	// granted is whether the budget has already paid for the attempt that is due.
	granted    bool
	last       work.Answer
	mayHaveRun bool
}

// race returns the answer of the first attempt that ran. NotRun is answered only
// if each attempt is known not to have run.
func (e *Engine) race(ctx context.Context, s snapshot, request work.Request, service rules.Service, candidates []placement.Candidate) work.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &race{
		engine:     e,
		snapshot:   s,
		request:    request,
		service:    service,
		candidates: candidates,
		answers:    make(chan work.Answer, len(candidates)),
	}
	defer r.disarm()
	r.begin(ctx)
	for r.pending > 0 || r.granted {
		select {
		case answer := <-r.answers:
			if r.take(ctx, answer) {
				return answer
			}
		case <-r.due:
			r.another(ctx)
		}
	}
	if r.mayHaveRun {
		return work.Refuse(request.ID, r.last.Failure.WithOutcome(fault.Unknown))
	}
	return r.last
}

// begin starts the next attempt, and the time after which it is hedged.
func (r *race) begin(ctx context.Context) {
	candidate := r.candidates[r.begun]
	request := attemptOf(r.request, r.begun)
	r.begun++
	r.pending++
	go func() {
		r.answers <- r.engine.attempt(ctx, r.snapshot, request, r.service, candidate)
	}()
	r.hedge(ctx)
}

// take notes the answer of one attempt and reports whether it ran.
func (r *race) take(ctx context.Context, answer work.Answer) bool {
	r.pending--
	if answer.Outcome == fault.Ran {
		return true
	}
	r.last = answer
	r.mayHaveRun = r.mayHaveRun || answer.Outcome == fault.Unknown
	if r.granted || r.begun == len(r.candidates) {
		return false
	}
	wait, allowed := r.engine.retryAfter(ctx, r.request, r.begun, answer)
	if allowed {
		r.granted = true
		r.arm(wait)
	}
	return false
}

// another begins the attempt that is due, if it is paid for and there is time.
func (r *race) another(ctx context.Context) {
	paid := r.granted
	r.granted = false
	r.disarm()
	if ctx.Err() != nil {
		return
	}
	if paid || r.engine.Hedging.Hedge() {
		r.begin(ctx)
	}
}

// hedge arranges a further attempt for the case that none answers in time.
func (r *race) hedge(ctx context.Context) {
	if r.engine.Hedging == nil || r.begun == len(r.candidates) {
		return
	}
	now := r.engine.Clock.Now()
	request := r.request
	request.Remaining = left(ctx, request, now)
	wait, sensible := r.engine.Hedging.After(request, r.service, now)
	if sensible {
		r.arm(wait)
	}
}

func (r *race) arm(wait time.Duration) {
	r.disarm()
	r.next = r.engine.Clock.NewTimer(wait)
	r.due = r.next.C
}

func (r *race) disarm() {
	if r.due != nil {
		r.next.Stop()
	}
	r.due = nil
}
