// Package membudget bounds the memory of data that a process has read from clients and on which
// it has not decided yet. Readers acquire memory as bytes arrive and release it when the request
// is decided. Small bodies have a part that large ones can't take, and the part of one client
// address is bounded. If memory is short, the slowest readers are evicted.
//
// Acquiring and releasing use atomics only. A lock guards the list of readers that may be
// evicted, which a reader enters only when its body has not arrived with the first bytes.
package membudget

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

var (
	// ErrShort is returned if memory does not become free within the wait of the settings.
	ErrShort = errors.New("the memory for data of clients is in use")
	// ErrEvicted is returned to a reader that was evicted.
	ErrEvicted = errors.New("evicted because memory for data of clients is short and other clients are faster")
)

// Config holds the sizes of a budget in bytes.
type Config struct {
	// Total is the size of the budget, of which SmallReserve is only for small bodies.
	Total, SmallReserve int64
	// SmallBody is the size up to which a body is small.
	SmallBody int64
	// AccountMax limits what one account holds.
	AccountMax int64
	// Wait is how long Acquire waits for memory.
	Wait time.Duration
	// EvictAfter is the age from which a reader may be evicted.
	EvictAfter time.Duration
}

// Budget is a budget of memory. It is safe for concurrent use.
type Budget struct {
	config  Config
	small   pool
	large   pool
	waiting atomic.Int64
	evicted atomic.Int64
	short   atomic.Int64
	// released is closed and replaced when memory is released while a reader waits.
	released atomic.Pointer[chan struct{}]

	mu      sync.Mutex
	readers map[*Grant]struct{}
}

// pool counts memory up to a limit.
type pool struct {
	limit int64
	used  atomic.Int64
}

func (p *pool) tryAcquire(n int64) bool {
	for {
		used := p.used.Load()
		if used+n > p.limit {
			return false
		}
		if p.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Account is what one client address holds. The zero value holds nothing.
type Account struct{ used atomic.Int64 }

// New returns a budget of which nothing is acquired.
func New(config Config) *Budget {
	b := &Budget{config: config, readers: map[*Grant]struct{}{}}
	b.small.limit = config.SmallReserve
	b.large.limit = config.Total - config.SmallReserve
	b.released.Store(new(make(chan struct{})))
	return b
}

// Grant is the part of a budget that one request holds. It is used by one goroutine and must be
// closed.
type Grant struct {
	budget  *Budget
	account *Account
	// small and large are the bytes held in the pools.
	small, large int64
	start        time.Time
	// received is the number of bytes of the body that have arrived.
	received atomic.Int64
	// evict ends the read of a registered reader. held is what the reader held when it last
	// acquired memory.
	evict      func()
	held       atomic.Int64
	evicted    atomic.Bool
	registered bool
}

// Open begins a grant for a request of the account.
func (b *Budget) Open(account *Account) Grant {
	return Grant{budget: b, account: account, start: time.Now()}
}

// Register makes the reader of the grant one that may be evicted: evict is called then and must
// make the reader fail and not block.
func (g *Grant) Register(evict func()) {
	g.evict, g.registered = evict, true
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	g.budget.readers[g] = struct{}{}
}

// Unregister ends Register. evict is not called after it.
func (g *Grant) Unregister() {
	if !g.registered {
		return
	}
	g.registered = false
	g.budget.mu.Lock()
	defer g.budget.mu.Unlock()
	delete(g.budget.readers, g)
}

// Received records that n bytes of the body have arrived.
func (g *Grant) Received(n int) { g.received.Add(int64(n)) }

// Evicted reports whether the reader was evicted.
func (g *Grant) Evicted() bool { return g.evicted.Load() }

// Start returns the time of Open.
func (g *Grant) Start() time.Time { return g.start }

// TryAcquire adds n bytes to the grant if they are free.
func (g *Grant) TryAcquire(n int64) bool {
	if !g.account.tryAcquire(n, g.budget.config.AccountMax) {
		return false
	}
	if !g.acquire(n) {
		g.account.used.Add(-n)
		return false
	}
	g.held.Store(g.small + g.large)
	return true
}

func (a *Account) tryAcquire(n, limit int64) bool {
	if a.used.Add(n) > limit {
		a.used.Add(-n)
		return false
	}
	return true
}

// acquire takes n bytes from the pool for the size that the grant then has. A small body may also
// take what large ones leave. What a body holds moves to the large pool when it is small no more.
func (g *Grant) acquire(n int64) bool {
	b := g.budget
	if g.small+g.large+n <= b.config.SmallBody {
		if b.small.tryAcquire(n) {
			g.small += n
			return true
		}
		if b.large.tryAcquire(n) {
			g.large += n
			return true
		}
		return false
	}
	if !b.large.tryAcquire(n + g.small) {
		return false
	}
	if g.small > 0 {
		b.release(&b.small, g.small)
	}
	g.large += n + g.small
	g.small = 0
	return true
}

// Acquire adds n bytes to the grant. If they are not free, it evicts slower readers and waits for
// a bounded time. It returns ErrShort, ErrEvicted, the error of ctx, or nil.
func (g *Grant) Acquire(ctx context.Context, n int64) error {
	if g.TryAcquire(n) {
		return nil
	}
	b := g.budget
	deadline := time.NewTimer(b.config.Wait)
	defer deadline.Stop()
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	for {
		// The channel is read before the try, so that a release after the try is noticed.
		released := *b.released.Load()
		if g.TryAcquire(n) {
			return nil
		}
		if g.Evicted() {
			return ErrEvicted
		}
		retry := time.NewTimer(b.evictSlowest(g, n))
		select {
		case <-released:
		case <-retry.C:
		case <-deadline.C:
			retry.Stop()
			b.short.Add(1)
			return ErrShort
		case <-ctx.Done():
			retry.Stop()
			return ctx.Err()
		}
		retry.Stop()
	}
}

// evictSlowest evicts the slowest reader that is old enough, and further ones until n bytes are
// free or held by evicted readers. It returns when to call it again if no memory becomes free.
func (b *Budget) evictSlowest(asking *Grant, n int64) (retry time.Duration) {
	now := time.Now()
	// An account above its own limit gains nothing from evictions of others.
	free := b.large.limit - b.large.used.Load()
	ownFree := b.config.AccountMax - asking.account.used.Load()
	ownOnly := ownFree < n
	expected := max(0, min(free, ownFree))
	b.mu.Lock()
	defer b.mu.Unlock()
	retry = b.config.EvictAfter
	for g := range b.readers {
		if g.evicted.Load() {
			expected += g.held.Load() // It has not released its part yet.
		}
	}
	for expected < n {
		var slowest *Grant
		lowest := 0.0
		for g := range b.readers {
			age := now.Sub(g.start)
			if g == asking || g.evicted.Load() || ownOnly && g.account != asking.account {
				continue
			}
			if age < b.config.EvictAfter {
				retry = min(retry, b.config.EvictAfter-age)
				continue
			}
			if rate := float64(g.received.Load()) / age.Seconds(); slowest == nil || rate < lowest {
				slowest, lowest = g, rate
			}
		}
		if slowest == nil {
			return retry
		}
		expected += slowest.held.Load()
		b.evictLocked(slowest)
	}
	return retry
}

// Evict evicts the reader of a registered grant. It reports whether the grant is registered and
// not evicted yet.
func (b *Budget) Evict(g *Grant) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, registered := b.readers[g]; !registered || g.evicted.Load() {
		return false
	}
	b.evictLocked(g)
	return true
}

func (b *Budget) evictLocked(g *Grant) {
	g.evicted.Store(true)
	b.evicted.Add(1)
	g.evict()
}

// Shrink releases what the grant holds above n bytes.
func (g *Grant) Shrink(n int64) {
	excess := g.small + g.large - max(0, n)
	if excess <= 0 {
		return
	}
	fromLarge := min(excess, g.large)
	g.large -= fromLarge
	g.small -= excess - fromLarge
	g.held.Store(g.small + g.large)
	g.account.used.Add(-excess)
	b := g.budget
	b.large.used.Add(-fromLarge)
	b.release(&b.small, excess-fromLarge)
}

// Close releases the whole grant. It may be called more than once.
func (g *Grant) Close() {
	g.Unregister()
	g.Shrink(0)
}

// release returns bytes to a pool and wakes the waiting readers.
func (b *Budget) release(p *pool, n int64) {
	p.used.Add(-n)
	if b.waiting.Load() > 0 {
		close(*b.released.Swap(new(make(chan struct{}))))
	}
}

// State is the state of a budget for operators, in bytes.
type State struct {
	Total        int64 `json:"total_bytes"`
	SmallReserve int64 `json:"small_reserve_bytes"`
	SmallUsed    int64 `json:"small_used_bytes"`
	LargeUsed    int64 `json:"large_used_bytes"`
	Waiting      int64 `json:"waiting"`
	// Evicted and Short count evicted readers and requests for which memory was short.
	Evicted int64 `json:"evicted"`
	Short   int64 `json:"short"`
}

// Used returns the number of bytes that are held.
func (s State) Used() int64 { return s.SmallUsed + s.LargeUsed }

// State returns the state of the budget.
func (b *Budget) State() State {
	return State{b.config.Total, b.config.SmallReserve, b.small.used.Load(), b.large.used.Load(), b.waiting.Load(), b.evicted.Load(), b.short.Load()}
}
