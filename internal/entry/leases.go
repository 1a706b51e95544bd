package entry

import (
	"time"

	"poplarvalve/internal/version/cell"
)

// takeEffects returns the effects of all events. The end of the wait for workers that may run
// tasks of earlier terms is judged by the leases that were granted up to the same time, and so
// are the leases that the next leader is told of.
func (l *leadership) takeEffects() cell.Effects {
	now := time.Now()
	if l.cell.Recovering() || l.cell.HandingOver() {
		l.extendLeases()
	}
	return l.cell.TakeEffects(now)
}

// extendLeases passes to the cell which leases the sessions may have granted. Sessions extend
// leases by answers that may still wait in the queue of the cell's goroutine. If that is slow,
// the leases that the cell knows of may have ended while those at the workers go on.
func (l *leadership) extendLeases() {
	for id, session := range l.sessions {
		l.cell.ExtendLease(id, session.LeaseEnd())
	}
}
