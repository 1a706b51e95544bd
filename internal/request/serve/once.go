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

// DefaultShards is the number of shards of keys and jobs.
const DefaultShards = 16

// Unproven returns the refusal of a request whose key or token was not looked
// up. An earlier request with the same key may have run, so NotRun would not be
// proven.
func Unproven(request work.Request, err error) *fault.Failure {
	failure := fault.From(err)
	forKey := request.Worker == "" && (request.Key != "" || request.Token != "")
	if forKey && failure.Outcome == fault.NotRun {
		return failure.WithOutcome(fault.Unknown)
	}
	return failure
}

// byToken runs a request at the issuer of its token, and nowhere else.
func (e *Engine) byToken(ctx context.Context, s snapshot, request work.Request, service rules.Service) work.Answer {
	parsed, err := token.Parse(request.Token)
	if err != nil {
		return work.Refuse(request.ID, err)
	}
	if parsed.Issuer == e.Self {
		return e.runToken(ctx, s, parsed, request, service)
	}
	if s.members == nil {
		return work.Refuse(request.ID, Unproven(request, fault.New(fault.NoConfiguration, "no members are known yet")))
	}
	issuer, found := s.members.Find(parsed.Issuer)
	if !found {
		return e.recorded(ctx, request, parsed.Issuer)
	}
	return e.forward(ctx, issuer, request, 0)
}

// recorded answers for an issuer that is gone. The request never runs again.
func (e *Engine) recorded(ctx context.Context, request work.Request, issuer ident.Incarnation) work.Answer {
	if e.Outcomes != nil {
		answer, found := e.Outcomes.Recorded(ctx, request.Caller, request.Token)
		if found {
			answer.Request = request.ID
			return answer
		}
	}
	return work.Refuse(request.ID, fault.New(fault.IssuerGone, "%s", issuer))
}

// runToken runs the request of a token that this incarnation issued.
func (e *Engine) runToken(ctx context.Context, s snapshot, parsed token.Token, request work.Request, service rules.Service) work.Answer {
	now := e.Clock.Now()
	if err := e.Tokens.Check(parsed, now); err != nil {
		return work.Refuse(request.ID, err)
	}
	return e.Results.Run(ctx, now, parsed, request, func() work.Answer {
		answer := e.admitted(ctx, s, request, service)
		e.record(request, answer)
		return answer
	})
}

// record keeps the outcome of a request that has run or may have.
func (e *Engine) record(request work.Request, answer work.Answer) {
	if e.Outcomes != nil && answer.Outcome != fault.NotRun {
		e.Outcomes.Record(request, answer)
	}
}

// byKey runs a request at the home of its key.
func (e *Engine) byKey(ctx context.Context, s snapshot, request work.Request, service rules.Service) work.Answer {
	shard := ownership.ShardOf(string(request.Caller)+"\x00"+request.Key, e.shards())
	home, found := s.ownership.Home(shard)
	if !found {
		return work.Refuse(request.ID, Unproven(request, fault.New(fault.NotOwner, "shard %d has no home", shard)))
	}
	if home.ID != e.Self {
		return e.forward(ctx, home, request, 0)
	}
	return e.runKey(ctx, s, request, service)
}

func (e *Engine) shards() int {
	if e.Shards == 0 {
		return DefaultShards
	}
	return e.Shards
}

// runKey runs the request of a key whose home is here, if its intent is
// granted.
func (e *Engine) runKey(ctx context.Context, s snapshot, request work.Request, service rules.Service) work.Answer {
	if e.Intents == nil {
		return work.Refuse(request.ID, fault.New(fault.LogUnavailable, "keys are not kept yet").WithOutcome(fault.NotRun))
	}
	intent, err := e.Intents.Begin(ctx, request.Caller, request.Key, token.DigestOf(request))
	if err != nil {
		return work.Refuse(request.ID, err)
	}
	if !intent.Granted {
		intent.Answer.Request = request.ID
		return intent.Answer
	}
	answer := e.admitted(ctx, s, request, service)
	e.Intents.Finish(request.Caller, request.Key, answer)
	return answer
}

// Issue returns a block of request tokens.
func (e *Engine) Issue(count int) []string {
	if e.Tokens == nil {
		return nil
	}
	return e.Tokens.Issue(e.Clock.Now(), count)
}

// Recorded returns the recorded answer of a key or token: from memory for a
// token that was issued here, otherwise from Outcomes.
func (e *Engine) Recorded(ctx context.Context, caller ident.CallerName, key string) (work.Answer, error) {
	if answer, found := e.remembered(key); found {
		return answer, nil
	}
	if e.Outcomes != nil {
		if answer, found := e.Outcomes.Recorded(ctx, caller, key); found {
			return answer, nil
		}
	}
	return work.Answer{}, fault.New(fault.NotFound, "no outcome is recorded").WithOutcome(fault.Unknown)
}

// remembered returns the answer of a valid token that was issued here.
func (e *Engine) remembered(key string) (work.Answer, bool) {
	if e.Tokens == nil {
		return work.Answer{}, false
	}
	parsed, err := token.Parse(key)
	if err != nil || e.Tokens.Check(parsed, e.Clock.Now()) != nil {
		return work.Answer{}, false
	}
	return e.Results.Recorded(parsed)
}
