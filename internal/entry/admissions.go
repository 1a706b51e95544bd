package entry

import "poplarvalve/internal/version/cell"

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
