package home

import (
	"bytes"
	"context"
	"sync"
	"time"

	"poplarvalve/internal/connection/codec"
	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/record"
	"poplarvalve/internal/process/token"
	"poplarvalve/internal/process/work"
	"poplarvalve/internal/request/serve"
	"poplarvalve/internal/version/jobs"
	"poplarvalve/internal/version/ownership"
)

const (
	// maxKeys bounds the number of idempotency keys in one shard.
	maxKeys = 200_000
	// earlierHomeTimeout is how long a repeated request waits for an outcome
	// that an earlier home of the shard may still send.
	earlierHomeTimeout = 2 * time.Second
)

// grantID identifies the intent of a key by its shard and its offset in the
// stream.
type grantID struct {
	shard  ident.Shard
	intent ident.Offset
}

// grant represents an intent that was granted, so that its request may run at
// this incarnation.
type grant struct {
	// done is closed after answer is set.
	done   chan struct{}
	answer work.Answer
}

// grantTable holds the intents that this incarnation has granted and whose
// outcome it has not read back yet. The table outlives the shards: an intent is
// granted only once, even if its shard moves to another instance and back.
type grantTable struct {
	mu      sync.Mutex
	granted map[grantID]*grant
	// running holds the granted intent of each key whose request is running, by
	// qualified key.
	running map[string]grantID
}

// claim returns the grant of a key's intent and whether this call created it.
// It returns nil if the intent was not granted and may not be granted. claim
// calls mayGrant while it holds the mutex: an intent is removed from the table
// once its outcome was read back, and must not be granted again on the basis of
// an older job table.
func (t *grantTable) claim(id grantID, key *jobs.Key, mayGrant func() bool) (*grant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if existing, found := t.granted[id]; found {
		return existing, false
	}
	if !mayGrant() {
		return nil, false
	}
	if t.granted == nil {
		t.granted = map[grantID]*grant{}
		t.running = map[string]grantID{}
	}
	created := &grant{done: make(chan struct{})}
	t.granted[id] = created
	t.running[qualifiedKey(key.Caller, key.Key)] = id
	return created, true
}

// finish passes the answer of a granted key to the repeated requests that wait
// for it. It returns the offset of the intent, or false if no request of the
// key is running.
func (t *grantTable) finish(caller ident.CallerName, key string, answer work.Answer) (ident.Offset, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	qualified := qualifiedKey(caller, key)
	id, found := t.running[qualified]
	if !found {
		return 0, false
	}
	delete(t.running, qualified)
	finished := t.granted[id]
	finished.answer = answer
	close(finished.done)
	return id.intent, true
}

// forgetRecorded removes an intent once the job table holds its outcome.
func (t *grantTable) forgetRecorded(shard ident.Shard, jobTable *jobs.Table, body record.Record) {
	outcome, isOutcome := body.(record.Outcome)
	if !isOutcome || outcome.Intent == 0 {
		return
	}
	key, found := jobTable.Key(outcome.Caller, outcome.Key)
	if !found || key.Intent == outcome.Intent && !key.Resolved {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.granted, grantID{shard, outcome.Intent})
}

func shardOfKey(caller ident.CallerName, key string, shards int) ident.Shard {
	return ownership.ShardOf(qualifiedKey(caller, key), shards)
}

// qualifiedKey returns the key with its caller. serve.Engine uses this name to
// find the home of a key.
func qualifiedKey(caller ident.CallerName, key string) string {
	return string(caller) + "\x00" + key
}

// GrantKey implements serve.KeyGrants. It must be called at the home of the key
// and returns NotOwner elsewhere.
func (h *Home) GrantKey(ctx context.Context, caller ident.CallerName, key string, digest token.Digest) (serve.GrantResult, error) {
	if _, hasTime := jobs.KeyTime(key); !hasTime {
		return serve.GrantResult{}, fault.New(fault.BadRequest, "the idempotency key is not a UUID of version 7")
	}
	s, err := h.localShard(shardOfKey(caller, key, h.config.Shards))
	if err != nil {
		return serve.GrantResult{}, err
	}
	for {
		changed := s.table.Changed()
		existing, found := s.currentTable().Key(caller, key)
		if found && !bytes.Equal(existing.Digest, digest[:]) {
			return serve.GrantResult{}, fault.New(fault.KeyReused, "idempotency key %s was used for another request", key)
		}
		if found && existing.Resolved && !existing.Reusable() {
			return serve.GrantResult{Answer: answerOfKey(existing)}, nil
		}
		if found && !existing.Resolved && existing.IntentWriter != s.home.config.Self {
			return s.awaitEarlierHome(ctx, changed, existing)
		}
		if found && !existing.Resolved {
			granted, first, err := s.claimGrant(existing)
			if err != nil {
				return serve.GrantResult{}, err
			}
			if granted != nil {
				return granted.wait(ctx, first)
			}
			continue
		}
		if err := s.appendIntent(ctx, existing, record.Intent{Caller: caller, Key: key, Digest: digest[:]}); err != nil {
			return serve.GrantResult{}, err
		}
	}
}

// appendIntent appends an intent for a key that has no intent yet, or whose
// earlier request did not run. If it returns nil, the caller must look up the
// key again.
func (s *shard) appendIntent(ctx context.Context, existing *jobs.Key, body record.Intent) error {
	if err := s.checkReady(); err != nil {
		return err
	}
	table := s.currentTable()
	if existing != nil {
		body.After = existing.Intent
	} else if err := s.checkNewKey(table, body.Key); err != nil {
		return err
	}
	if err := s.checkAppendable(); err != nil {
		return err
	}
	release, err := s.reserveRoom((&jobs.Key{Caller: body.Caller, Key: body.Key}).Cost())
	if err != nil {
		return err
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	result, err := s.append(ctx, body)
	if err != nil {
		return err
	}
	if result.effect == jobs.Rejected && s.currentTable().Home != s.home.config.Self {
		return unknownOutcome(fault.RecordRejected, "the record was rejected: shard %d has another home", s.id)
	}
	return nil
}

func (s *shard) checkNewKey(table *jobs.Table, key string) error {
	issued, _ := jobs.KeyTime(key)
	if err := table.CheckTime(issued, s.home.now()); err != nil {
		return err
	}
	if table.Counts().Keys >= maxKeys {
		return fault.New(fault.Overloaded, "the shard holds the maximum of %d keys", maxKeys)
	}
	return nil
}

// claimGrant returns the grant of an intent that this incarnation wrote, and
// whether this call created the grant. It returns nil if the job table already
// holds a later state of the key.
func (s *shard) claimGrant(existing *jobs.Key) (granted *grant, first bool, err error) {
	granted, first = s.home.grants.claim(grantID{s.id, existing.Intent}, existing, func() bool {
		var pending bool
		pending, err = s.isPending(existing)
		return pending
	})
	return granted, first, err
}

// isPending reports whether an intent has no outcome in the whole stream. It
// fails for a shard that was stopped, whose table may be out of date.
func (s *shard) isPending(existing *jobs.Key) (bool, error) {
	if current, err := s.home.localShard(s.id); err != nil || current != s {
		return false, unknownOutcome(fault.NotOwner, "this instance is not the home of shard %d", s.id)
	}
	if err := s.checkReady(); err != nil {
		return false, err
	}
	newest, found := s.currentTable().Key(existing.Caller, existing.Key)
	return found && newest.Intent == existing.Intent && !newest.Resolved, nil
}

// wait returns Granted to the request that created the grant. A repeated
// request waits for the answer of the first.
func (g *grant) wait(ctx context.Context, first bool) (serve.GrantResult, error) {
	if first {
		return serve.GrantResult{Granted: true}, nil
	}
	select {
	case <-g.done:
		return serve.GrantResult{Answer: g.answer}, nil
	case <-ctx.Done():
		return serve.GrantResult{}, fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "waiting for the first request of the key")
	}
}

// awaitEarlierHome waits for the outcome of an intent that an earlier home
// granted. That home sends the outcome if it is still running; until then the
// outcome is in doubt.
func (s *shard) awaitEarlierHome(ctx context.Context, changed <-chan struct{}, existing *jobs.Key) (serve.GrantResult, error) {
	ctx, cancel := context.WithTimeout(ctx, earlierHomeTimeout)
	defer cancel()
	for s.waitForChange(ctx, changed, earlierHomeTimeout) {
		changed = s.table.Changed()
		newest, found := s.currentTable().Key(existing.Caller, existing.Key)
		if found && newest.Resolved {
			return serve.GrantResult{Answer: answerOfKey(newest)}, nil
		}
	}
	return serve.GrantResult{}, fault.New(fault.IssuerGone, "%s granted the key and has not recorded an outcome yet", existing.IntentWriter)
}

// FinishKey implements serve.KeyGrants.
func (h *Home) FinishKey(caller ident.CallerName, key string, answer work.Answer) {
	if intent, found := h.grants.finish(caller, key, answer); found {
		h.outbox.add(outcomeOfAnswer(caller, key, intent, answer))
	}
}

// RecordAnswer implements serve.Outcomes.
func (h *Home) RecordAnswer(request work.Request, answer work.Answer) {
	key := request.Token
	if key == "" {
		key = request.Key
	}
	h.outbox.add(outcomeOfAnswer(request.Caller, key, 0, answer))
}

// RecordedAnswer implements serve.Outcomes.
func (h *Home) RecordedAnswer(ctx context.Context, caller ident.CallerName, key string) (work.Answer, bool) {
	home, id, err := h.homeOf(qualifiedKey(caller, key))
	if err != nil {
		return work.Answer{}, false
	}
	ref := codec.KeyRef{Caller: caller, Key: key}
	recorded := codec.RequestOutcome{}
	if home.ID == h.config.Self {
		recorded = h.localOutcome(id, ref)
	} else {
		recorded, err = callPeer[codec.RequestOutcome](ctx, h, home.ID, codec.OpRecorded, ref)
	}
	if err != nil || !recorded.Recorded {
		return work.Answer{}, false
	}
	return answerOfOutcome(recorded), true
}

// localOutcome looks up the outcome of a key in a shard whose home is this
// incarnation.
func (h *Home) localOutcome(id ident.Shard, ref codec.KeyRef) codec.RequestOutcome {
	s, err := h.localShard(id)
	if err != nil {
		return codec.RequestOutcome{}
	}
	existing, found := s.currentTable().Key(ref.Caller, ref.Key)
	if !found || !existing.Resolved {
		return codec.RequestOutcome{}
	}
	return outcomeOfKey(existing)
}
