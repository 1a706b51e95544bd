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
	// maxKeys bounds the keys of one shard.
	maxKeys = 200_000
	// foreignWait is how long a repeat waits for the outcome that an earlier home
	// may still send.
	foreignWait = 2 * time.Second
)

// grantName names one intent.
type grantName struct {
	shard  ident.Shard
	intent ident.Offset
}

// grant is an intent whose request may run at this incarnation.
type grant struct {
	// done is closed when answer is set.
	done   chan struct{}
	answer work.Answer
}

// grantBook holds the intents that this incarnation has granted and whose
// outcome was not read back. It outlives the followers of the shards: an intent
// is granted once, even if its shard goes and comes back.
type grantBook struct {
	mu      sync.Mutex
	granted map[grantName]*grant
	// running holds the granted intent of each key whose request runs.
	running map[string]grantName
}

// claim returns the grant of a key's intent and whether the caller made it. It
// returns nil if the intent is not granted and may not be. mayGrant is called
// under the mutex, since an intent is forgotten once its outcome was read back,
// and must not be granted again on what was read before.
func (b *grantBook) claim(name grantName, key *jobs.Key, mayGrant func() bool) (*grant, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, found := b.granted[name]; found {
		return known, false
	}
	if !mayGrant() {
		return nil, false
	}
	if b.granted == nil {
		b.granted = map[grantName]*grant{}
		b.running = map[string]grantName{}
	}
	made := &grant{done: make(chan struct{})}
	b.granted[name] = made
	b.running[keyHash(key.Caller, key.Key)] = name
	return made, true
}

// finish gives the answer of a granted key to those that wait for it and
// returns its intent.
func (b *grantBook) finish(caller ident.CallerName, key string, answer work.Answer) (ident.Offset, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hash := keyHash(caller, key)
	name, found := b.running[hash]
	if !found {
		return 0, false
	}
	delete(b.running, hash)
	known := b.granted[name]
	known.answer = answer
	close(known.done)
	return name.intent, true
}

// folded forgets an intent once the table holds its outcome.
func (b *grantBook) folded(shard ident.Shard, table *jobs.Table, body record.Record) {
	outcome, isOutcome := body.(record.Outcome)
	if !isOutcome || outcome.Intent == 0 {
		return
	}
	key, found := table.Key(outcome.Caller, outcome.Key)
	if !found || key.Intent == outcome.Intent && !key.Settled {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.granted, grantName{shard, outcome.Intent})
}

func keyShard(caller ident.CallerName, key string, shards int) ident.Shard {
	return ownership.ShardOf(keyHash(caller, key), shards)
}

// keyHash is the name by which serve.Engine finds the home of a key.
func keyHash(caller ident.CallerName, key string) string {
	return string(caller) + "\x00" + key
}

// Begin implements serve.Intents. It must be called at the home of the key.
func (h *Home) Begin(ctx context.Context, caller ident.CallerName, key string, digest token.Digest) (serve.IntentState, error) {
	if _, dated := jobs.TimeOfKey(key); !dated {
		return serve.IntentState{}, fault.New(fault.BadRequest, "the idempotency key is not a UUID of version 7")
	}
	s, err := h.local(keyShard(caller, key, h.config.Shards))
	if err != nil {
		return serve.IntentState{}, err
	}
	for {
		changed := s.table.Changed()
		known, found := s.current().Key(caller, key)
		if found && !bytes.Equal(known.Digest, digest[:]) {
			return serve.IntentState{}, fault.New(fault.KeyReused, "key %s", key)
		}
		if found && known.Settled && !known.Reusable() {
			return serve.IntentState{Answer: answerOf(known)}, nil
		}
		if found && !known.Settled && known.Writer != s.home.config.Self {
			return s.foreign(ctx, changed, known)
		}
		if found && !known.Settled {
			granted, first, err := s.claimKey(known)
			if err != nil {
				return serve.IntentState{}, err
			}
			if granted != nil {
				return granted.wait(ctx, first)
			}
			continue
		}
		if err := s.appendIntent(ctx, known, record.Intent{Caller: caller, Key: key, Digest: digest[:]}); err != nil {
			return serve.IntentState{}, err
		}
	}
}

// appendIntent appends an intent for a key that has none whose request ran, and
// returns nil when the key is to be looked at again.
func (s *shard) appendIntent(ctx context.Context, known *jobs.Key, body record.Intent) error {
	if err := s.ready(); err != nil {
		return err
	}
	table := s.current()
	if known != nil {
		body.After = known.Intent
	} else if err := s.newKey(table, body.Key); err != nil {
		return err
	}
	if err := s.appendable(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	result, err := s.append(ctx, body)
	if err != nil {
		return err
	}
	if result.verdict == jobs.Void && s.current().Home != s.home.config.Self {
		return unproven(fault.RecordVoid, "shard %d has another home", s.id)
	}
	return nil
}

func (s *shard) newKey(table *jobs.Table, key string) error {
	stated, _ := jobs.TimeOfKey(key)
	if err := table.CheckTime(stated, s.home.now()); err != nil {
		return err
	}
	if table.Counts().Keys >= maxKeys {
		return fault.New(fault.Overloaded, "the shard holds %d keys", maxKeys)
	}
	return nil
}

// claimKey returns the grant of an intent of this incarnation and whether it was
// made now. It returns nil if the table holds a later state of the key by now.
func (s *shard) claimKey(known *jobs.Key) (granted *grant, first bool, err error) {
	granted, first = s.home.grants.claim(grantName{s.id, known.Intent}, known, func() bool {
		var pending bool
		pending, err = s.stillPending(known)
		return pending
	})
	return granted, first, err
}

// stillPending reports whether an intent has no outcome as far as the whole
// stream says. A shard that was stopped may hold an old table.
func (s *shard) stillPending(known *jobs.Key) (bool, error) {
	if current, err := s.home.local(s.id); err != nil || current != s {
		return false, unproven(fault.NotOwner, "shard %d", s.id)
	}
	if err := s.ready(); err != nil {
		return false, err
	}
	newest, found := s.current().Key(known.Caller, known.Key)
	return found && newest.Intent == known.Intent && !newest.Settled, nil
}

// wait returns the state of a key for the one that was granted it, and for a
// repeat the answer once there is one.
func (g *grant) wait(ctx context.Context, first bool) (serve.IntentState, error) {
	if first {
		return serve.IntentState{Granted: true}, nil
	}
	select {
	case <-g.done:
		return serve.IntentState{Answer: g.answer}, nil
	case <-ctx.Done():
		return serve.IntentState{}, fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "waiting for the first request of the key")
	}
}

// foreign waits for the outcome of an intent that an earlier home granted. That
// home sends it if it still lives; until then nothing is known.
func (s *shard) foreign(ctx context.Context, changed <-chan struct{}, known *jobs.Key) (serve.IntentState, error) {
	ctx, cancel := context.WithTimeout(ctx, foreignWait)
	defer cancel()
	for s.pause(ctx, changed, foreignWait) {
		changed = s.table.Changed()
		newest, found := s.current().Key(known.Caller, known.Key)
		if found && newest.Settled {
			return serve.IntentState{Answer: answerOf(newest)}, nil
		}
	}
	return serve.IntentState{}, fault.New(fault.IssuerGone, "%s granted the key", known.Writer)
}

// Finish implements serve.Intents.
func (h *Home) Finish(caller ident.CallerName, key string, answer work.Answer) {
	if intent, found := h.grants.finish(caller, key, answer); found {
		h.outbox.add(outcomeOf(caller, key, intent, answer))
	}
}

// Record implements serve.Outcomes.
func (h *Home) Record(request work.Request, answer work.Answer) {
	name := request.Token
	if name == "" {
		name = request.Key
	}
	h.outbox.add(outcomeOf(request.Caller, name, 0, answer))
}

// Recorded implements serve.Outcomes.
func (h *Home) Recorded(ctx context.Context, caller ident.CallerName, key string) (work.Answer, bool) {
	home, id, err := h.homeOf(keyHash(caller, key))
	if err != nil {
		return work.Answer{}, false
	}
	ref := codec.KeyRef{Caller: caller, Key: key}
	recorded := codec.RequestOutcome{}
	if home.ID == h.config.Self {
		recorded = h.recordedHere(id, ref)
	} else {
		recorded, err = call[codec.RequestOutcome](ctx, h, home.ID, codec.OpRecorded, ref)
	}
	if err != nil || !recorded.Found {
		return work.Answer{}, false
	}
	return answerFrom(recorded), true
}

// recordedHere looks a key up in a shard of which this incarnation is home.
func (h *Home) recordedHere(id ident.Shard, ref codec.KeyRef) codec.RequestOutcome {
	s, err := h.local(id)
	if err != nil {
		return codec.RequestOutcome{}
	}
	known, found := s.current().Key(ref.Caller, ref.Key)
	if !found || !known.Settled {
		return codec.RequestOutcome{}
	}
	return recordedOf(known)
}
