package entry

import (
	"context"
	"time"

	"poplarvalve/internal/process/fault"
	"poplarvalve/internal/version/cell"
	"poplarvalve/internal/version/manifestcheck"
)

// Deployment returns the manifest in force and what this instance knows about the deployment:
// the pools of the cells that it leads, which are complete if it leads all cells. It fails if
// ctx ends first.
func (e *Entry) Deployment(ctx context.Context) (manifestcheck.Deployment, error) {
	deployment := manifestcheck.Deployment{
		InForce:            e.manifest.Load(),
		LacksAdviceService: e.options.Advice == nil,
		RecordBytes:        e.options.Limits.Log.RecordBytes,
	}
	table := e.leaders.table.Load()
	deployment.PoolsComplete = table.cellCount > 0 && len(table.ledHere) == table.cellCount
	var summaries [][]cell.PoolSummary
	for _, led := range table.ledHere {
		pools, complete := led.pools(ctx)
		summaries = append(summaries, pools)
		deployment.PoolsComplete = deployment.PoolsComplete && complete
	}
	if err := ctx.Err(); err != nil {
		return deployment, fault.Wrap(fault.DeadlineExceeded, err, "reading the pools")
	}
	pools, complete := cell.MergePools(summaries...)
	deployment.Pools = pools
	deployment.PoolsComplete = deployment.PoolsComplete && complete
	return deployment, nil
}

// pools returns the pools of the cell. complete is false if pools are left out, or if the
// term or ctx has ended.
func (l *leadership) pools(ctx context.Context) (pools []cell.PoolSummary, complete bool) {
	type result struct {
		pools    []cell.PoolSummary
		complete bool
	}
	results := make(chan result, 1)
	l.post(func(_ time.Time, c *cell.Cell) {
		var r result
		r.pools, r.complete = c.Pools()
		results <- r
	})
	select {
	case r := <-results:
		return r.pools, r.complete
	case <-l.ended:
	case <-ctx.Done():
	}
	return nil, false
}
