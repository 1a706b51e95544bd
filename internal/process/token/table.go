package token

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/process/ident"
	"poplarvalve/internal/process/work"
)

const (
	// maxEntries is the maximum number of tokens in a table.
	maxEntries = 1 << 16
	// maxResultBytes is the total size of the remembered answer bodies at which
	// a table accepts no more tokens.
	maxResultBytes = 64 << 20
)

// Digest is a hash of the content of a request. Requests with different content
// have different digests.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a request's caller, service and body.
func DigestOf(request work.Request) Digest {
	hash := sha256.New()
	for _, part := range []string{string(request.Caller), string(request.Service)} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(request.Body)
	return Digest(hash.Sum(nil))
}

// Table remembers the request of each token until the token expires. A full
// table refuses new tokens, and never forgets one that is still valid. It is
// safe for concurrent use.
type Table struct {
	// mu is held only while an entry is looked up or changed, never while a
	// request runs.
	mu          sync.Mutex
	start       time.Time
	entries     map[uint64]*entry
	resultBytes int
	// sweptUpTo is the time since start of the last sweep. The entries of
	// tokens that expired before it may be gone.
	sweptUpTo time.Duration
}

// entry is the state of the request of one token.
type entry struct {
	digest Digest
	expiry int64
	// done is closed when the request has ended and answer is set.
	done   chan struct{}
	answer work.Answer
}

// NewTable returns an empty table for the tokens of the issuer that was created
// with the same start.
func NewTable(start time.Time) *Table {
	return &Table{start: start, entries: map[uint64]*entry{}}
}

// Run returns the answer of the request of a token. It calls run for the first
// request of the token; repeats wait for the answer of the first. If the
// outcome of run is NotRun, the token is forgotten and may be used again. The
// error KeyReused refuses a repeat with other content, KeyExpired an expired
// token, and Overloaded a new token while the table is full. The token must
// have been checked with Issuer.Check at now.
func (t *Table) Run(ctx context.Context, now time.Time, token Token, request work.Request, run func() work.Answer) work.Answer {
	tokenEntry, isFirst, err := t.begin(now, token, DigestOf(request))
	if err != nil {
		return work.Refuse(request.ID, err)
	}
	if isFirst {
		answer := run()
		t.finish(token.Number, tokenEntry, answer)
		return answer
	}
	return tokenEntry.wait(ctx, request.ID)
}

// RecordedAnswer returns the answer of the request of a token, if the request
// has ended and is still remembered. The token must have been checked with
// Issuer.Check.
func (t *Table) RecordedAnswer(token Token) (work.Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tokenEntry, found := t.entries[token.Number]
	if !found || !tokenEntry.ended() {
		return work.Answer{}, false
	}
	return tokenEntry.answer, true
}

// wait waits for the answer of the first request and returns it with the
// identifier id of a repeat.
func (e *entry) wait(ctx context.Context, id ident.RequestID) work.Answer {
	select {
	case <-e.done:
		answer := e.answer
		answer.Request = id
		return answer
	case <-ctx.Done():
		return work.Refuse(id, fault.New(fault.DeadlineExceeded, "the first request with the same token did not end before the deadline of this one"))
	}
}

// begin returns the entry of a token. The second result is true if the caller
// must run the request, because the token has no earlier one.
func (t *Table) begin(now time.Time, token Token, digest Digest) (*entry, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tokenEntry, found := t.entries[token.Number]; found {
		if tokenEntry.digest != digest {
			return nil, false, fault.New(fault.KeyReused, "request token %d was used before for a request with other content", token.Number)
		}
		return tokenEntry, false, nil
	}
	t.sweep(now.Sub(t.start))
	if token.Expiry <= t.sweptUpTo.Milliseconds() {
		// The token expired after it was checked. Its entry may have been
		// removed, so whether its request ran is unknown.
		return nil, false, fault.New(fault.KeyExpired, "request token %d has expired", token.Number).WithOutcome(fault.Unknown)
	}
	if len(t.entries) >= maxEntries || t.resultBytes >= maxResultBytes {
		return nil, false, fault.New(fault.Overloaded, "the table of request tokens is full: try again after some of them have expired")
	}
	added := &entry{digest: digest, expiry: token.Expiry, done: make(chan struct{})}
	t.entries[token.Number] = added
	return added, true, nil
}

// sweep removes the entries of expired tokens whose requests have ended. It
// does nothing if the last sweep was less than a second ago. now is the time
// since t.start.
func (t *Table) sweep(now time.Duration) {
	if now-t.sweptUpTo < time.Second {
		return
	}
	t.sweptUpTo = now
	for number, tokenEntry := range t.entries {
		if tokenEntry.ended() && now.Milliseconds() >= tokenEntry.expiry {
			t.resultBytes -= len(tokenEntry.answer.Body)
			delete(t.entries, number)
		}
	}
}

// ended reports whether the request has ended and answer is set.
func (e *entry) ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (t *Table) finish(number uint64, tokenEntry *entry, answer work.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tokenEntry.answer = answer
	close(tokenEntry.done)
	if answer.Outcome == fault.NotRun {
		delete(t.entries, number)
		return
	}
	t.resultBytes += len(answer.Body)
}
