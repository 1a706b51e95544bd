package cell

import (
	"fmt"
	"slices"
	"time"
)

// A leader stores for how long leases may still last on workers that are silent, and extends
// none of them until a later record without the worker is stored. The next leader then waits
// for what is left of these leases, whatever became of the leader that stored the record.

// LeaseBoundsRecord holds the bounds of the leases on silent workers that a term has stored
// last.
type LeaseBoundsRecord struct {
	Epoch  int64        `cbor:"1,keyasint"`
	Bounds []LeaseBound `cbor:"2,keyasint,omitempty"`
	// HandedOver is set if the term starts no task after the record was written.
	// AuthorityLeftMillis is for how long after that earlier terms may still start some.
	HandedOver          bool  `cbor:"3,keyasint,omitempty"`
	AuthorityLeftMillis int64 `cbor:"4,keyasint,omitempty"`
}

// LeaseBound says that no lease which its term or an earlier one grants on a worker lasts for
// longer than LeftMillis after the record was written. Confined is set if the worker's
// ConfinementRecord holds for that term; its tasks were then away for AwayMillis.
type LeaseBound struct {
	_          struct{} `cbor:",toarray"`
	Worker     WorkerID
	LeftMillis int64
	Confined   bool
	AwayMillis int64
}

const (
	// MaxLeaseBoundsBytes limits the encoded LeaseBoundsRecord, and leaseBoundBytes is the
	// part of each bound in it beside the name of the worker.
	MaxLeaseBoundsBytes = 96 << 10
	leaseBoundBytes     = 16
	// leaseBoundsPeriod is the time between two records while leases last, and
	// leaseBoundsPause the least time between two of them. After a change of leader all
	// workers answer one after the other.
	leaseBoundsPeriod = time.Second
	leaseBoundsPause  = 50 * time.Millisecond
)

// binding is the state of the bound of a worker's leases.
type binding uint8

const (
	unbound binding = iota
	// bindingOrdered: the session was told to extend no lease. The cell may not know yet of all
	// leases that were granted before.
	bindingOrdered
	// bound: a record with the worker is stored or about to be.
	bound
	// lifting: the worker has answered, and a record without it is not stored yet.
	lifting
)

// leaseBounds is what a term has stored about the leases on silent workers.
type leaseBounds struct {
	// changed is set if the newest record is out of date. writtenAt is when it was written,
	// and lasting reports whether a lease in it had not ended then.
	changed   bool
	writtenAt time.Time
	lasting   bool
	// written holds the bounds of the newest record.
	written []LeaseBound
	// restored is the number of workers that were bound by the record of the earlier term.
	restored int
}

// RestoreLeaseBounds applies the bounds that the term before this one has stored. It must be
// called after Restore and before any other event. A record of any other term is ignored: a
// leader in between may have extended the leases.
func (c *Cell) RestoreLeaseBounds(now time.Time, record LeaseBoundsRecord, confinements []ConfinementRecord, previousEpoch int64) {
	if record.Epoch != previousEpoch || previousEpoch == 0 {
		return
	}
	if record.HandedOver {
		c.authorityEnd = now.Add(time.Duration(max(0, record.AuthorityLeftMillis)) * time.Millisecond)
	}
	confined := map[WorkerID]LeaseBound{}
	for _, b := range record.Bounds {
		confined[b.Worker] = b
		w := c.workers[b.Worker]
		if w == nil || w.binding != unbound {
			continue
		}
		w.earlierEnd = now.Add(time.Duration(max(0, b.LeftMillis)) * time.Millisecond)
		c.setBound(w)
		c.bounds.restored++
	}
	for _, stored := range confinements {
		if b := confined[stored.Worker]; b.Confined {
			c.restoreConfinement(now, stored, now.Add(-time.Duration(max(0, b.AwayMillis))*time.Millisecond))
		}
	}
}

// LeasesBound reports whether no lease on the worker may be extended now.
func (c *Cell) LeasesBound(id WorkerID) bool {
	w := c.workers[id]
	return w != nil && w.binding != unbound
}

// updateLeaseBounds binds the leases on silent workers, and writes the bounds again while
// leases last.
func (c *Cell) updateLeaseBounds(now time.Time) {
	for _, w := range c.sortedWorkers() {
		switch {
		case w.binding == bindingOrdered:
			c.bindOrdered(now, w)
		case w.binding == unbound && c.shouldBind(w):
			c.orderBinding(w)
		}
	}
	if c.bounds.lasting && now.Sub(c.bounds.writtenAt) >= leaseBoundsPeriod {
		c.bounds.changed = true
	}
}

// shouldBind reports whether the leases on a worker are to be bound: it is silent and has left
// the registry. One that is still listed may answer again while the log is away, and its leases
// must go on then.
func (c *Cell) shouldBind(w *worker) bool {
	return w.unresponsive && !w.registered && c.registryRead
}

// orderBinding lets the session with a worker extend no lease any more.
func (c *Cell) orderBinding(w *worker) {
	w.binding = bindingOrdered
	w.bindingOrder = c.effectsTaken
	c.effects.Extensions = append(c.effects.Extensions, ExtensionOrder{w.info.ID, false})
}

// bindOrdered binds the leases on a worker whose session extends none any more.
func (c *Cell) bindOrdered(now time.Time, w *worker) {
	if w.bindingOrder == c.effectsTaken {
		return // The session has not been told yet.
	}
	c.setBound(w)
	c.confineRuns(now, w)
	if !w.unresponsive {
		return // A hand-over binds all workers.
	}
	w.silentWhenBound = true
	c.effects.LeasesBound++
	c.addEvent(DecisionEvent{Event: "leases bound", Worker: w.info.ID, Outcome: fmt.Sprintf("%d ms left", leftMillis(now, c.leaseEnd(w))), Age: c.silence(now, w)})
}

func (c *Cell) setBound(w *worker) {
	w.binding = bound
	c.bounds.changed = true
}

// liftBound lets the leases on a worker that has answered be extended again, as soon as no
// stored bound tells the next leader that they are not. After a hand-over they never are.
func (c *Cell) liftBound(w *worker) {
	if c.HandingOver() {
		return
	}
	switch w.binding {
	case bindingOrdered:
		c.unbind(w)
	case bound:
		w.binding = lifting
		c.bounds.changed = true
		c.liftConfinement(w.info.ID)
		c.write.Urgent = true
	}
}

// renewBound keeps a worker bound that is silent again before its bound was lifted.
func (c *Cell) renewBound(w *worker) {
	if w.binding == lifting {
		c.setBound(w)
	}
}

func (c *Cell) unbind(w *worker) {
	w.binding = unbound
	c.effects.Extensions = append(c.effects.Extensions, ExtensionOrder{w.info.ID, true})
}

// leaseEnd returns when the leases on a worker that is silent have ended for certain.
func (c *Cell) leaseEnd(w *worker) time.Time {
	end := later(w.leaseUntil, w.strayUntil)
	if c.awaitsFirstAnswer(w) {
		return later(end, c.earlierLeaseEnd(w))
	}
	return end
}

// strayStartEnd returns when a start in doubt has ended for certain on a worker that has restarted
// since and has not answered. To the next incarnation the order is not late.
func (c *Cell) strayStartEnd(w *worker) time.Time {
	return later(c.leaseEnd(w), w.leaseUntil.Add(c.config.LeaseExcess+c.config.OrderDelay))
}

// runsEnd returns when all runs on a silent worker have ended for certain.
func (c *Cell) runsEnd(w *worker) time.Time {
	if w.restartListed && slices.ContainsFunc(w.runs, func(r *run) bool { return r.phase == inDoubt }) {
		return c.strayStartEnd(w)
	}
	return c.leaseEnd(w)
}

// earlierLeaseEnd returns when the leases that earlier terms have granted on a worker have
// ended, if it has not answered in this term.
func (c *Cell) earlierLeaseEnd(w *worker) time.Time {
	if !w.earlierEnd.IsZero() && w.earlierEnd.Before(c.recoveryDeadline) {
		return w.earlierEnd
	}
	return c.recoveryDeadline
}

// silence returns for how long a worker is known to be silent.
func (c *Cell) silence(now time.Time, w *worker) time.Duration {
	if w.lastResponse.IsZero() {
		return now.Sub(c.recoveryStart)
	}
	return now.Sub(w.lastResponse)
}

// waitOutBounded ends the wait for workers of earlier terms whose stored bounds are over.
func (c *Cell) waitOutBounded(now time.Time) {
	if len(c.recovering) == 0 {
		return
	}
	for _, w := range c.sortedWorkers() {
		if w.earlierEnd.IsZero() || !c.awaitsFirstAnswer(w) || !c.isOver(now, w.earlierEnd) {
			continue
		}
		c.addEvent(DecisionEvent{Event: "worker waited out", Worker: w.info.ID, Outcome: "stored bound", Age: now.Sub(c.recoveryStart)})
		c.endRecovery(w)
	}
}

// storeLeaseBounds writes all bounds and confinements again.
func (c *Cell) storeLeaseBounds() {
	c.bounds.changed = true
	for _, known := range c.confinements {
		c.storeConfinement(known)
	}
}

// collectLeaseBounds adds the bounds to the next write if they have changed.
func (c *Cell) collectLeaseBounds(now time.Time) {
	if !c.bounds.changed || now.Sub(c.bounds.writtenAt) < leaseBoundsPause {
		return
	}
	c.bounds.changed, c.bounds.lasting, c.bounds.writtenAt = false, false, now
	var bounds []LeaseBound
	for _, w := range c.sortedWorkers() {
		switch w.binding {
		case bound:
			left := leftMillis(now, c.runsEnd(w))
			c.bounds.lasting = c.bounds.lasting || left > 0
			bounds = append(bounds, c.confinedBound(now, LeaseBound{Worker: w.info.ID, LeftMillis: left}))
		case lifting:
			c.unbindOnceStored(w)
		}
	}
	bounds = append(bounds, c.boundsOfGoneWorkers(now)...)
	c.bounds.written = fittingBounds(bounds)
	c.write.LeaseBounds = &LeaseBoundsRecord{Epoch: c.config.Epoch, Bounds: c.bounds.written,
		HandedOver: c.handOver == handOverWritten, AuthorityLeftMillis: leftMillis(now, c.authorityEnd)}
}

// fittingBounds returns the first bounds that the record has room for. The next leader waits
// for the others as if nothing was known.
func fittingBounds(bounds []LeaseBound) []LeaseBound {
	size := 0
	for i, b := range bounds {
		if size += leaseBoundBytes + len(b.Worker); size > MaxLeaseBoundsBytes {
			return bounds[:i]
		}
	}
	return bounds
}

// liftEarlierBound keeps a worker that is listed anew from extending leases while the bound of
// its earlier entry is stored.
func (c *Cell) liftEarlierBound(w *worker) {
	if slices.ContainsFunc(c.bounds.written, func(b LeaseBound) bool { return b.Worker == w.info.ID }) {
		w.binding = lifting
		c.bounds.changed = true
	}
}

// unbindOnceStored ends the bound of a worker with the next write, which does not hold it.
func (c *Cell) unbindOnceStored(w *worker) {
	number := c.lastWrite + 1
	w.liftWrite = number
	c.afterWrite(func(time.Time) {
		if w.binding == lifting && w.liftWrite == number {
			c.unbind(w)
			if w.silentWhenBound {
				c.addEvent(DecisionEvent{Event: "leases extended again", Worker: w.info.ID})
			}
		}
	}, RecordOwner{LeaseBounds: true})
}

// leftMillis returns the time until end in milliseconds, rounded up.
func leftMillis(now, end time.Time) int64 {
	left := max(0, end.Sub(now))
	return int64((left + time.Millisecond - 1) / time.Millisecond)
}
