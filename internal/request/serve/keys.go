package serve

import (
	"context"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/token"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/version/ownership"
	"poplarvalve/internal/version/rules"
)

// DefaultShards is the number of shards into which keys and jobs are divided.
const DefaultShards = 16

// WithoutNotRunProof returns the failure for a request whose key or token was
// not looked up. It replaces outcome NotRun by Unknown for such a request,
// because an earlier request with the same key may have run.
func WithoutNotRunProof(request work.Request, err error) *fault.Failure {
	failure := fault.From(err)
	hasKeyOrToken := request.Worker == "" && (request.Key != "" || request.Token != "")
	if hasKeyOrToken && failure.Outcome == fault.NotRun {
		return failure.WithOutcome(fault.Unknown)
	}
	return failure
}

// serveToken runs a request at the issuer of its token, and nowhere else.
func (e *Engine) serveToken(ctx context.Context, s snapshot, request work.Request, service rules.Service) work.Answer {
	parsed, err := token.Parse(request.Token)
	if err != nil {
		return work.Refuse(request.ID, err)
	}
	if parsed.Issuer == e.Self {
		return e.runOwnToken(ctx, s, parsed, request, service)
	}
	if s.members == nil {
		return work.Refuse(request.ID, WithoutNotRunProof(request, fault.New(fault.NoConfiguration, "no members are known yet")))
	}
	issuer, found := s.members.Find(parsed.Issuer)
	if !found {
		return e.answerForGoneIssuer(ctx, request, parsed.Issuer)
	}
	return e.forward(ctx, issuer, request, 0)
}

// answerForGoneIssuer returns the recorded answer to a request whose token was
// issued by an incarnation that has ended, or IssuerGone if none is recorded.
// The request never runs again.
func (e *Engine) answerForGoneIssuer(ctx context.Context, request work.Request, issuer ident.Incarnation) work.Answer {
	if e.Outcomes != nil {
		answer, found := e.Outcomes.RecordedAnswer(ctx, request.Caller, request.Token)
		if found {
			answer.Request = request.ID
			return answer
		}
	}
	return work.Refuse(request.ID, fault.New(fault.IssuerGone, "%s", issuer))
}

// runOwnToken runs a request whose token was issued by this incarnation.
func (e *Engine) runOwnToken(ctx context.Context, s snapshot, parsed token.Token, request work.Request, service rules.Service) work.Answer {
	now := e.Clock.Now()
	if err := e.Tokens.Check(parsed, now); err != nil {
		return work.Refuse(request.ID, err)
	}
	return e.Results.Run(ctx, now, parsed, request, func() work.Answer {
		answer := e.admitAndRun(ctx, s, request, service)
		e.recordOutcome(request, answer)
		return answer
	})
}

// recordOutcome records the outcome of a request that has run or may have run.
func (e *Engine) recordOutcome(request work.Request, answer work.Answer) {
	if e.Outcomes != nil && answer.Outcome != fault.NotRun {
		e.Outcomes.RecordAnswer(request, answer)
	}
}

// serveKey runs a request at the home of its key.
func (e *Engine) serveKey(ctx context.Context, s snapshot, request work.Request, service rules.Service) work.Answer {
	shard := ownership.ShardOf(string(request.Caller)+"\x00"+request.Key, e.shardCount())
	home, found := s.ownership.Home(shard)
	if !found {
		return work.Refuse(request.ID, WithoutNotRunProof(request, fault.New(fault.NotOwner, "shard %d has no home", shard)))
	}
	if home.ID != e.Self {
		return e.forward(ctx, home, request, 0)
	}
	return e.runOwnKey(ctx, s, request, service)
}

func (e *Engine) shardCount() int {
	if e.Shards == 0 {
		return DefaultShards
	}
	return e.Shards
}

// runOwnKey runs a request whose key has its home at this instance, if
// KeyGrants grants the key.
func (e *Engine) runOwnKey(ctx context.Context, s snapshot, request work.Request, service rules.Service) work.Answer {
	if e.KeyGrants == nil {
		return work.Refuse(request.ID, fault.New(fault.LogUnavailable, "this instance cannot record idempotency keys yet").WithOutcome(fault.NotRun))
	}
	result, err := e.KeyGrants.GrantKey(ctx, request.Caller, request.Key, token.DigestOf(request))
	if err != nil {
		return work.Refuse(request.ID, err)
	}
	if !result.Granted {
		result.Answer.Request = request.ID
		return result.Answer
	}
	answer := e.admitAndRun(ctx, s, request, service)
	e.KeyGrants.FinishKey(request.Caller, request.Key, answer)
	return answer
}

// IssueTokens returns a block of count request tokens. It returns nil if this
// instance issues no tokens.
func (e *Engine) IssueTokens(count int) []string {
	if e.Tokens == nil {
		return nil
	}
	return e.Tokens.Issue(e.Clock.Now(), count)
}

// RecordedAnswer returns the recorded answer to the request with a key or
// token: from memory for a token that this incarnation issued, otherwise from
// Outcomes. It fails with NotFound if there is none.
func (e *Engine) RecordedAnswer(ctx context.Context, caller ident.CallerName, key string) (work.Answer, error) {
	if answer, found := e.tokenAnswer(key); found {
		return answer, nil
	}
	if e.Outcomes != nil {
		if answer, found := e.Outcomes.RecordedAnswer(ctx, caller, key); found {
			return answer, nil
		}
	}
	return work.Answer{}, fault.New(fault.NotFound, "no outcome is recorded for this key or token").WithOutcome(fault.Unknown)
}

// tokenAnswer returns the answer in memory to the request with a valid token
// that this incarnation issued.
func (e *Engine) tokenAnswer(key string) (work.Answer, bool) {
	if e.Tokens == nil {
		return work.Answer{}, false
	}
	parsed, err := token.Parse(key)
	if err != nil || e.Tokens.Check(parsed, e.Clock.Now()) != nil {
		return work.Answer{}, false
	}
	return e.Results.RecordedAnswer(parsed)
}
