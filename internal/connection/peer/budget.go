package peer

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// budget counts the bytes sent to one region and limits their rate. Bulk
// messages leave half of the burst to urgent ones, so urgent messages go first
// whichever link they use.
type budget struct {
	sent  atomic.Uint64
	limit *rate.Limiter
}

// newBudget returns a budget in bytes a second; zero means no limit. The burst
// is what the budget allows in one second.
func newBudget(bytesPerSecond int) *budget {
	if bytesPerSecond == 0 {
		return &budget{}
	}
	return &budget{limit: rate.NewLimiter(rate.Limit(bytesPerSecond), bytesPerSecond)}
}

// bulkDelay returns how long a bulk message of a size must still wait.
func (b *budget) bulkDelay(now time.Time, bytes int) time.Duration {
	if b.limit == nil {
		return 0
	}
	half := float64(b.limit.Burst()) / 2
	missing := min(float64(bytes), half) + half - b.limit.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing/float64(b.limit.Limit())*float64(time.Second)) + time.Microsecond
}

// take waits until the budget covers a message and counts it.
func (b *budget) take(ctx context.Context, bytes int) error {
	b.sent.Add(uint64(bytes))
	if b.limit == nil {
		return nil
	}
	return b.limit.WaitN(ctx, min(bytes, b.limit.Burst()))
}
