package cell

import "time"

// Dump returns the state for operators.
func (c *Cell) Dump(now time.Time) any {
	type workerState struct {
		Worker               WorkerID
		Listed, Held, Silent bool
		Draining             bool
		Used, Capacity       Size
		Runs                 int
		HeardMillis          int64
		FillBudget           float64
		FailuresInARow       int
	}
	var workers []workerState
	for _, w := range c.workers {
		workers = append(workers, workerState{
			Worker: w.info.ID, Listed: w.listed, Held: w.held, Silent: w.silent, Draining: w.info.Draining,
			Used: w.used, Capacity: w.info.Capacity, Runs: len(w.runs), HeardMillis: now.Sub(w.heard).Milliseconds(),
			FillBudget: w.fill.share(), FailuresInARow: w.health.failures,
		})
	}
	states := map[string]int{}
	for _, j := range c.jobs {
		states[j.state.String()]++
	}
	return map[string]any{"epoch": c.config.Epoch, "jobs": states, "ready_tasks": len(c.ready), "workers": workers,
		"recovering": len(c.recovering), "starts_paused": c.paused}
}
