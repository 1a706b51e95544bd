package cell

import "time"

// Dump returns the state of the cell for the operators' dump.
func (c *Cell) Dump(now time.Time) map[string]any {
	type workerState struct {
		Worker               WorkerID
		Listed, Held, Silent bool
		Draining             bool
		LeasesBound          bool
		Evacuated            bool
		Used, Capacity       Size
		Runs                 int
		HeardMillis          int64
		FillBudget           float64
		FailureWeight        int
		ImplicatedRuns       int
		SuspectRuns          int
		SpeedFactor          float64
		Slow                 bool
	}
	var workers []workerState
	for _, w := range c.workers {
		workers = append(workers, workerState{
			Worker: w.info.ID, Listed: w.registered, Held: w.renewed, Silent: w.unresponsive, Draining: w.info.Draining, LeasesBound: w.binding != unbound, Evacuated: w.evacuated,
			Used: w.reserved, Capacity: w.info.Capacity, Runs: len(w.runs), HeardMillis: now.Sub(w.lastResponse).Milliseconds(),
			FillBudget: w.bestEffort.budgetShare(), FailureWeight: w.health.weight(), ImplicatedRuns: w.implicatedRuns,
			SuspectRuns: len(w.crashSuspects()), SpeedFactor: w.speed.Factor(), Slow: w.speed.IsSlow(),
		})
	}
	states := map[string]int{}
	for _, j := range c.jobs {
		states[j.state.String()]++
	}
	return map[string]any{"epoch": c.config.Epoch, "jobs": states, "ready_tasks": len(c.readyTasks),
		"open_tasks": c.open.total(), "unopened_jobs": len(c.unopenedJobs), "workers": workers,
		"recovering": len(c.recovering), "confined_workers": len(c.confinements), "handing_over": c.HandingOver(), "starts_paused": c.startsPaused,
		"evacuations": c.dumpEvacuations(), "speeds": c.dumpSpeeds()}
}
