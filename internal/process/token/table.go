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
	// maxEntries bounds the tokens whose requests are remembered.
	maxEntries = 1 << 16
	// maxResultBytes bounds the answer bodies that are remembered.
	maxResultBytes = 64 << 20
)

// Digest identifies the content of a request.
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
// table refuses new tokens; it never forgets one that is still valid.
type Table struct {
	// mu is held only to look up or change an entry, never while one runs.
	mu      sync.Mutex
	start   time.Time
	entries map[uint64]*entry
	bytes   int
	// swept is the time after start up to which expired tokens are forgotten.
	swept time.Duration
}

// entry is the request of one token.
type entry struct {
	digest Digest
	expiry int64
	// done is closed when answer is set.
	done   chan struct{}
	answer work.Answer
}

// NewTable returns an empty table for the issuer that started at start.
func NewTable(start time.Time) *Table {
	return &Table{start: start, entries: map[uint64]*entry{}}
}

// Run returns the answer of the token's request and calls run for it at most
// once, unless run answers NotRun, after which the token may be used again.
// Repeats wait for the first. The token must have been checked at now.
func (t *Table) Run(ctx context.Context, now time.Time, token Token, request work.Request, run func() work.Answer) work.Answer {
	known, first, err := t.begin(now, token, DigestOf(request))
	if err != nil {
		return work.Refuse(request.ID, err)
	}
	if first {
		answer := run()
		t.finish(token.Number, known, answer)
		return answer
	}
	return known.wait(ctx, request.ID)
}

// Recorded returns the answer of a token's request, if it has ended and is
// still remembered. The token must have been checked.
func (t *Table) Recorded(token Token) (work.Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, found := t.entries[token.Number]
	if !found || !known.over() {
		return work.Answer{}, false
	}
	return known.answer, true
}

// wait returns the first request's answer under the identifier of a repeat.
func (e *entry) wait(ctx context.Context, id ident.RequestID) work.Answer {
	select {
	case <-e.done:
		answer := e.answer
		answer.Request = id
		return answer
	case <-ctx.Done():
		return work.Refuse(id, fault.New(fault.DeadlineExceeded, "waiting for the first request of the token"))
	}
}

func (t *Table) begin(now time.Time, token Token, digest Digest) (*entry, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, found := t.entries[token.Number]; found {
		if known.digest != digest {
			return nil, false, fault.New(fault.KeyReused, "token %d", token.Number)
		}
		return known, false, nil
	}
	t.sweep(now.Sub(t.start))
	if token.Expiry <= t.swept.Milliseconds() {
		// The token expired after it was checked, so its entry may be gone.
		return nil, false, fault.New(fault.KeyExpired, "token %d", token.Number).WithOutcome(fault.Unknown)
	}
	if len(t.entries) >= maxEntries || t.bytes >= maxResultBytes {
		return nil, false, fault.New(fault.Overloaded, "the table of request tokens is full")
	}
	added := &entry{digest: digest, expiry: token.Expiry, done: make(chan struct{})}
	t.entries[token.Number] = added
	return added, true, nil
}

// sweep forgets expired tokens, at most once a second.
func (t *Table) sweep(now time.Duration) {
	if now-t.swept < time.Second {
		return
	}
	t.swept = now
	for number, known := range t.entries {
		if known.over() && now.Milliseconds() >= known.expiry {
			t.bytes -= len(known.answer.Body)
			delete(t.entries, number)
		}
	}
}

func (e *entry) over() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (t *Table) finish(number uint64, known *entry, answer work.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known.answer = answer
	close(known.done)
	if answer.Outcome == fault.NotRun {
		delete(t.entries, number)
		return
	}
	t.bytes += len(answer.Body)
}
