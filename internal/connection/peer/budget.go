package peer

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// regionBudget counts the bytes sent to one region and limits their rate. Bulk
// messages may use only half of the burst. The other half is left to urgent
// messages, so that these go first whichever link to the region they use.
type regionBudget struct {
	sent    atomic.Uint64
	limiter *rate.Limiter
}

// newRegionBudget returns a budget in bytes per second, with a burst of one
// second's budget. Zero means no limit.
func newRegionBudget(bytesPerSecond int) *regionBudget {
	if bytesPerSecond == 0 {
		return &regionBudget{}
	}
	return &regionBudget{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), bytesPerSecond)}
}

// bulkDelay returns how long a bulk message of the given size must still wait.
// A message larger than half of the burst counts as half of it.
func (b *regionBudget) bulkDelay(now time.Time, bytes int) time.Duration {
	if b.limiter == nil {
		return 0
	}
	half := float64(b.limiter.Burst()) / 2
	shortfall := min(float64(bytes), half) + half - b.limiter.TokensAt(now)
	if shortfall <= 0 {
		return 0
	}
	return time.Duration(shortfall/float64(b.limiter.Limit())*float64(time.Second)) + time.Microsecond
}

// acquire waits until the budget covers a message and counts its bytes. A
// message larger than the burst waits for the whole burst.
func (b *regionBudget) acquire(ctx context.Context, bytes int) error {
	b.sent.Add(uint64(bytes))
	if b.limiter == nil {
		return nil
	}
	return b.limiter.WaitN(ctx, min(bytes, b.limiter.Burst()))
}
