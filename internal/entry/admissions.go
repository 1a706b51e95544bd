package entry

import "poplarvalve/internal/version/cell"

// updateRoom applies the limits that follow from the instances known so far to the cell.
func (l *leadership) updateRoom() {
	budget := l.cell.Budget()
	budget.SetLimits(l.entry.leaders.stateLimits())
	l.entry.options.Metrics.CellJobs(l.term.Cell, budget.Held(), budget.Limits().Bytes)
}

// countAdmissions records the refused submissions, and how the forecasts for accepted jobs
// compare with what they took, in the metrics.
func (l *leadership) countAdmissions(effects cell.Effects) {
	metrics := l.entry.options.Metrics
	for queue, jobs := range effects.Refused {
		metrics.JobsRefused(queue, jobs)
	}
	for _, ratio := range effects.CompletionRatios {
		metrics.CompletionRatio(ratio)
	}
}
