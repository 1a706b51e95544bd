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

// silentLog doesn't answer the first appends; later ones answer at once.
type silentLog struct {
	store.Log
	silent int
	fail   error

	mu        sync.Mutex
	sequences []int64
}

func (l *silentLog) Append(ctx context.Context, _ store.Partition, _ []store.Record, c store.Condition) (int64, error) {
	l.mu.Lock()
	l.sequences = append(l.sequences, c.Writer.Sequence)
	sent := len(l.sequences)
	l.mu.Unlock()
	if sent <= l.silent {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return 0, l.fail
}

// Guards against new work that is refused for most of a second because one
// answer of the log was lost: the copy must be sent before the append counts as
// stalled, under the same sequence.
func TestLostAnswerOfAnAppendIsAskedForAgainSoon(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		log := &silentLog{silent: 1}
		w := newWriter(log, 0, 3)
		w.failed = func(error) {}
		began := time.Now()
		assert.NilError(t, w.append(t.Context(), []store.Record{{Key: "k"}}))
		assert.Assert(t, time.Since(began) < stalledWrite, "%v", time.Since(began))
		assert.DeepEqual(t, log.sequences, []int64{0, 0})
		assert.Equal(t, w.producer.Sequence, int64(1))
	})
}

// Guards against a copy that hides that the term is over.
func TestFencedCopyEndsTheAppend(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		w := newWriter(&silentLog{silent: 1, fail: &store.Error{Reason: store.Fenced}}, 0, 3)
		w.failed = func(error) {}
		assert.ErrorContains(t, w.append(t.Context(), []store.Record{{Key: "k"}}), "epoch 3")
		assert.Equal(t, w.producer.Sequence, int64(0))
	})
}
