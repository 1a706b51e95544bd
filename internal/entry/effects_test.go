package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/connection/workerlink"
	"poplarvalve/internal/version/cell"
)

// tokenWorker records the fencing tokens of the start orders.
type tokenWorker struct {
	*queuedWorker
	mu     sync.Mutex
	tokens []int64
}

func (w *tokenWorker) Start(_ context.Context, grant workerlink.Grant, _ cell.StartOrder) (int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tokens = append(w.tokens, grant.Token)
	return 1, nil
}

// Guards against a task that starts again after it was done. A restarted worker numbers its
// ends anew. If its first starts carried the token of orders to the earlier incarnation, a
// lease renewal to that one which arrives late would be carried out after them, and its
// last_seen would let the worker forget ends that nobody has read.
func TestStartAtRestartedWorkerFencesOrdersToEarlierIncarnation(t *testing.T) {
	l := testLeadership(t)
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	w := &tokenWorker{queuedWorker: newQueuedWorker()}
	session := workerlink.Open(ctx, workerlink.Options{Worker: "a", Client: w, Sink: l, Token: 1, MaxLease: 6 * time.Second})
	l.sessions["a"] = &openSession{session, "a"}
	earlier := session.Token()
	effects := cell.Effects{Resolve: []cell.WorkerID{"a"}}
	for run := range int64(500) {
		effects.Starts = append(effects.Starts, cell.StartOrder{Worker: "a", Task: cell.TaskID{Job: "00000000000000aa", Index: int(run)}, Run: run + 1})
	}
	l.applyEffects(ctx, effects)
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		w.mu.Lock()
		count := len(w.tokens)
		w.mu.Unlock()
		if count == len(effects.Starts) {
			break
		}
	}
	cancel()
	session.Wait()
	l.goroutines.Wait()
	assert.Equal(t, len(w.tokens), len(effects.Starts))
	for i, token := range w.tokens {
		assert.Assert(t, token > earlier, fmt.Sprintf("start %d has token %d", i, token))
	}
}
