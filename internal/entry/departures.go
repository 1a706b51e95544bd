package entry

import "poplarvalve/internal/version/cell"

// countDepartures records the workers that leave or are slow, the moves and the absences of
// long-running tasks in the metrics.
func (l *leadership) countDepartures(effects cell.Effects) {
	metrics := l.entry.options.Metrics
	metrics.WorkersDeparted(effects.DeparturesKnown, effects.DeparturesMissed)
	metrics.TasksMoved(effects.MovedForDeparture, effects.MovedForInterference)
	metrics.TasksMovedForSpeed(effects.MovedForSpeed)
	metrics.SlowWorkers(l.term.Cell, l.cell.SlowWorkers())
	for _, away := range effects.Away {
		metrics.TaskAway(away.Cause.String(), away.Duration)
	}
}
