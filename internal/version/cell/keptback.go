package cell

import (
	"slices"
	"time"

	"poplarvalve/internal/process/jobspec"
)

// RecordOwner is what a stored record is about: a job, a worker or the bounds of leases. The
// zero value stands for the learned estimates.
type RecordOwner struct {
	Job         jobspec.ID
	Worker      WorkerID
	LeaseBounds bool
}

// keptBackRetryPause is the pause before records that the log did not take are written
// again.
const keptBackRetryPause = time.Second

// keptBackRecord is the state of an owner with a record that the log did not take.
type keptBackRecord struct {
	retryAt time.Time
	// retryWrite is the number of the write that holds all records of the owner again,
	// or 0 if there is none yet.
	retryWrite uint64
}

// MarkKeptBack records that the log did not take a record of each owner. It must be
// called before MarkStored with the number of the write. What waits for the records of
// these owners goes on waiting until a later write holds them; all else goes on.
func (c *Cell) MarkKeptBack(now time.Time, owners []RecordOwner) {
	for _, owner := range owners {
		if owner != (RecordOwner{}) {
			c.keptBack[owner] = keptBackRecord{retryAt: now.Add(keptBackRetryPause)}
		}
	}
}

// retryKeptBack writes the records of the owners again whose pause is over.
func (c *Cell) retryKeptBack(now time.Time) {
	for owner, kept := range c.keptBack {
		if kept.retryWrite != 0 || now.Before(kept.retryAt) {
			continue
		}
		if j := c.jobs[owner.Job]; j != nil {
			c.storeWhole(j)
		}
		if w := c.workers[owner.Worker]; w != nil {
			c.storeWorker(w)
		}
		if owner.LeaseBounds {
			c.storeLeaseBounds()
		}
		c.keptBack[owner] = keptBackRecord{retryWrite: c.lastWrite + 1}
	}
}

// storeWhole writes all records of a job.
func (c *Cell) storeWhole(j *job) {
	if State(j.visibleState.Load()) == Hidden {
		c.write.Jobs = append(c.write.Jobs, JobRecord{ID: j.id, Job: *j.spec, Terms: j.terms, AcceptedMillis: j.acceptedAt.UnixMilli(), Source: j.source})
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			s.markAllBlocks()
		}
	}
	c.markChanged(j)
}

// forgetStoredOwners ends the waits for the records that a write up to number holds.
func (c *Cell) forgetStoredOwners(number uint64) {
	for owner, kept := range c.keptBack {
		if kept.retryWrite != 0 && kept.retryWrite <= number {
			delete(c.keptBack, owner)
		}
	}
}

// waits reports whether a record for which the action waits was kept back.
func (c *Cell) waits(action writeAction) bool {
	if len(c.keptBack) == 0 {
		return false
	}
	return slices.ContainsFunc(action.owners, func(owner RecordOwner) bool {
		_, keptBack := c.keptBack[owner]
		return keptBack
	})
}
