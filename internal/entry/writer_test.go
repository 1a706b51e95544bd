package entry

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/store"
	"poplarvalve/test/virtualtime"
)

// unresponsiveLog does not answer the first appends. It answers later ones at once
// with the given error.
type unresponsiveLog struct {
	store.Log
	unanswered int
	reply      error

	mu        sync.Mutex
	sequences []int64
}

func (l *unresponsiveLog) Append(ctx context.Context, _ store.Partition, _ []store.Record, c store.Condition) (int64, error) {
	l.mu.Lock()
	l.sequences = append(l.sequences, c.Writer.Sequence)
	calls := len(l.sequences)
	l.mu.Unlock()
	if calls <= l.unanswered {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 0, l.reply
}

// One lost reply of the log must not lead to new work being refused for most of a
// second. The append must be sent again, under the same sequence number, before it
// counts as stalled.
func TestAppendIsResentBeforeItCountsAsStalled(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		log := &unresponsiveLog{unanswered: 1}
		w := newWriter(log, 0, 3)
		w.onRetry = func(error) {}
		start := time.Now()
		assert.NilError(t, w.appendUntilResolved(t.Context(), []store.Record{{Key: "k"}}))
		assert.Assert(t, time.Since(start) < stalledAppendAge, "%v", time.Since(start))
		assert.DeepEqual(t, log.sequences, []int64{0, 0})
		assert.Equal(t, w.producer.Sequence, int64(1))
	})
}

// If the log answers the second send of an append with an error that shows that the
// term is fenced, the writer must return that error and not try again.
func TestFencedReplyToResentAppendEndsAppend(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWriter(&unresponsiveLog{unanswered: 1, reply: &store.Error{Reason: store.Fenced}}, 0, 3)
		w.onRetry = func(error) {}
		assert.ErrorContains(t, w.appendUntilResolved(t.Context(), []store.Record{{Key: "k"}}), "epoch 3")
		assert.Equal(t, w.producer.Sequence, int64(0))
	})
}
