package celllink

import (
	"context"
	"errors"
	"time"

	"poplarvalve/internal/connection/cellcodec"
	"poplarvalve/internal/process/membudget"
)

// The submissions on a link that have no reply yet are bounded by their bytes. What a slow link has
// not carried yet waits in the buffers of the system, and heartbeats wait behind it: a link that
// receives none for receiveTimeout is closed with all its calls.
const (
	// windowBytes is the bound, of which smallWindowBytes are only for messages up to
	// smallCallBytes. A link of 10 Mbit/s carries the whole window in 0.2 s.
	windowBytes      = 256 << 10
	smallWindowBytes = 64 << 10
	smallCallBytes   = 16 << 10
	// windowWait is how long a submission waits for room, and maxWaitingCalls how many may wait.
	// Others are refused at once.
	windowWait      = 400 * time.Millisecond
	maxWaitingCalls = 4
	// refusedMinMillis and refusedSpreadMillis are the bounds of the wait of a refused caller.
	refusedMinMillis    = 1000
	refusedSpreadMillis = 3000
)

func newWindow() *membudget.Budget {
	return membudget.New(membudget.Config{Total: windowBytes, SmallReserve: smallWindowBytes, SmallBody: smallCallBytes,
		AccountMax: windowBytes, Wait: windowWait, EvictAfter: windowWait})
}

// enterWindow waits for room for a submission and returns a refusal if there is none. The grant must
// be closed when the link has carried the message.
func (l *Link) enterWindow(ctx context.Context, grant *membudget.Grant, bytes int) (refusal *cellcodec.Reply) {
	if grant.TryAcquire(int64(bytes)) {
		return nil
	}
	err := membudget.ErrShort
	if l.window.State().Waiting < maxWaitingCalls {
		err = grant.Acquire(ctx, int64(bytes))
	}
	switch {
	case err == nil:
		return nil
	case errors.Is(err, membudget.ErrShort):
		spread := int64(l.lastSequence.Load()*611) % refusedSpreadMillis // Successive callers return apart.
		return &cellcodec.Reply{Result: cellcodec.Refused, RetryAfterMillis: refusedMinMillis + spread}
	}
	return &cellcodec.Reply{} // ctx has ended.
}
