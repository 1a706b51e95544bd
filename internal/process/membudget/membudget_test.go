package membudget

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func testConfig() Config {
	return Config{Total: 1000, SmallReserve: 200, SmallBody: 50, AccountMax: 900, Wait: time.Second, EvictAfter: 500 * time.Millisecond}
}

// open returns a grant that holds n bytes.
func open(t *testing.T, b *Budget, account *Account, n int64) *Grant {
	t.Helper()
	g := new(b.Open(account))
	assert.Assert(t, g.TryAcquire(n))
	return g
}

// Memory that is counted twice, or not released on one of the ways, would make the budget useless
// after some time: either everything is refused, or nothing.
func TestConcurrentGrantsKeepWithinBudgetAndReleaseAll(t *testing.T) {
	b := New(testConfig())
	accounts := make([]Account, 3)
	var readers sync.WaitGroup
	for seed := range uint64(16) {
		readers.Go(func() {
			random := rand.New(rand.NewPCG(seed, 1))
			for range 2000 {
				func() {
					defer func() { _ = recover() }()
					g := b.Open(&accounts[random.IntN(3)])
					defer g.Close()
					g.Register(func() {})
					for range random.IntN(6) {
						if !g.TryAcquire(int64(1 + random.IntN(60))) {
							return
						}
						g.Received(1)
						if used := b.large.used.Load(); used > b.large.limit {
							t.Errorf("%d bytes are in use", used)
						}
					}
					if random.IntN(4) == 0 {
						panic("a reader fails")
					}
					g.Shrink(int64(random.IntN(100)))
				}()
			}
		})
	}
	readers.Wait()
	assert.Equal(t, b.State().Used(), int64(0))
	for i := range accounts {
		assert.Equal(t, accounts[i].used.Load(), int64(0))
	}
	assert.Equal(t, len(b.readers), 0)
}

// Large bodies must not keep small ones, which are the ordinary ones, from being read.
func TestLargeBodiesLeaveReserveToSmallOnes(t *testing.T) {
	b := New(testConfig())
	var one, other Account
	large := open(t, b, &one, 700)
	assert.Assert(t, large.TryAcquire(100))
	assert.Assert(t, !large.TryAcquire(1))
	var small []*Grant
	for range 4 {
		small = append(small, open(t, b, &other, 50))
	}
	refused := b.Open(&other)
	assert.Assert(t, !refused.TryAcquire(1))
	// A small body that becomes a large one gives its part of the reserve back.
	large.Shrink(500)
	assert.Assert(t, small[0].TryAcquire(20))
	assert.Equal(t, b.State().SmallUsed, int64(150))
	assert.Assert(t, refused.TryAcquire(50))
}

// One client address must not take the whole budget.
func TestAccountIsLimited(t *testing.T) {
	config := testConfig()
	config.AccountMax = 100
	b := New(config)
	var one, other Account
	g := open(t, b, &one, 90)
	assert.Assert(t, !g.TryAcquire(11))
	open(t, b, &other, 100)
}

// A reader that needs memory must get it at the cost of the slowest reader, and not of one that is
// fast or has only begun, and not before a short wait.
func TestSlowestReaderIsEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testConfig())
		var account, asking Account
		var evicted []string
		begin := func(name string, received int) {
			g := open(t, b, &account, 250)
			g.Received(received)
			g.Register(func() {
				evicted = append(evicted, name)
				go g.Close()
			})
		}
		begin("fast", 250)
		begin("slow", 10)
		time.Sleep(400 * time.Millisecond)
		begin("new", 0)
		g := b.Open(&asking)
		defer g.Close()
		start := time.Now()
		assert.NilError(t, g.Acquire(t.Context(), 300))
		assert.DeepEqual(t, evicted, []string{"slow"})
		assert.Equal(t, time.Since(start), 100*time.Millisecond)
		synctest.Wait()
		assert.Equal(t, b.State().Evicted, int64(1))
	})
}

// A wait for memory must end when memory is released, at its bound, and when its request ends. A
// reader that is evicted while it waits must learn it.
func TestWaitForMemoryEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testConfig())
		var account, other Account
		holder := open(t, b, &account, 800)
		g := b.Open(&other)
		start := time.Now()
		assert.Equal(t, g.Acquire(t.Context(), 100), ErrShort)
		assert.Equal(t, time.Since(start), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		assert.Assert(t, errors.Is(g.Acquire(ctx, 100), context.DeadlineExceeded))
		time.AfterFunc(300*time.Millisecond, holder.Close)
		start = time.Now()
		assert.NilError(t, g.Acquire(t.Context(), 100))
		assert.Equal(t, time.Since(start), 300*time.Millisecond)
		g.Close()

		full := open(t, b, &account, 800)
		waiter := b.Open(&other)
		waiter.Register(func() {})
		time.AfterFunc(100*time.Millisecond, func() { b.Evict(&waiter) })
		assert.Equal(t, waiter.Acquire(t.Context(), 100), ErrEvicted)
		full.Close()
		waiter.Close()
		assert.Equal(t, b.State().Used(), int64(0))
	})
}
