package cell

import "time"

// handOverPhase is the progress of an orderly change of leader. The next leader learns of all
// that this one lets go on, and that it starts nothing more.
type handOverPhase uint8

const (
	noHandOver handOverPhase = iota
	// handOverPrepared: once the effects are carried out, no order is sent any more that
	// starts a task or extends a lease.
	handOverPrepared
	// handOverStopped: the leases that were granted are known before the next TakeEffects.
	handOverStopped
	// handOverWritten: the record for the next leader is written.
	handOverWritten
)

// PrepareHandOver ends all starts, binds the leases on all workers and stores both for the
// next leader. HandOverReady is set in the effects once that is stored. Before each call of
// TakeEffects that follows, the caller must call ExtendLease with the leases that the
// sessions may have granted.
func (c *Cell) PrepareHandOver() {
	if c.handOver != noHandOver {
		return
	}
	c.handOver = handOverPrepared
	for _, w := range c.sortedWorkers() {
		if w.binding == unbound {
			c.orderBinding(w)
		}
	}
}

// HandingOver reports whether PrepareHandOver was called.
func (c *Cell) HandingOver() bool { return c.handOver != noHandOver }

// advanceHandOver writes the record for the next leader. A start whose outcome is not known
// yet does no harm: its task may run on that worker or nowhere.
func (c *Cell) advanceHandOver(now time.Time) {
	switch c.handOver {
	case handOverPrepared:
		c.handOver = handOverStopped
	case handOverStopped:
		c.handOver = handOverWritten
		c.giveUpMoves(now)
		c.withdrawAllPlanned(now)
		c.bindAll(now)
		c.confineWaiting(now)
		c.bounds.changed = true
		c.bounds.writtenAt = time.Time{} // This record does not wait for leaseBoundsPause.
		c.write.Urgent = true
		c.afterWrite(func(time.Time) { c.effects.HandOverReady = true }, RecordOwner{LeaseBounds: true})
	}
}

// giveUpMoves releases the places that are reserved for moves. The next leader plans them anew.
func (c *Cell) giveUpMoves(now time.Time) {
	for _, m := range c.moves {
		c.giveUpMove(now, m)
	}
	c.moves = nil
}

// withdrawAllPlanned gives up the starts that wait until they are stored.
func (c *Cell) withdrawAllPlanned(now time.Time) {
	for _, w := range c.sortedWorkers() {
		for _, r := range w.runs {
			if r.phase == planned {
				c.withdrawPlanned(now, r)
			}
		}
	}
}

func (c *Cell) bindAll(now time.Time) {
	for _, w := range c.sortedWorkers() {
		if w.binding == bindingOrdered {
			c.bindOrdered(now, w)
		}
	}
}
