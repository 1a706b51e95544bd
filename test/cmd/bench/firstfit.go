package main

import (
	"time"
)

// firstFit is the baseline scheduler. It takes work in the order of arrival,
// knows all reservations without delay, and gives each task the first worker
// with free capacity, in the task's own zone before other zones. An urgent
// request that finds no such worker preempts the first batch task whose
// removal makes it fit.
type firstFit struct {
	fleet   *fleet
	waiting []*job
	// knownGone holds the nodes that the platform's list shows as gone.
	knownGone map[*node]bool
}

func (f *firstFit) placeBatch(j *job) {
	if j.canceled || j.done || j.current != nil {
		return
	}
	f.waiting = append(f.waiting, j)
	f.startWaiting()
}

// startWaiting starts the jobs that fit, in the order of arrival. A kind that
// found no free capacity is not tried again in the same pass.
func (f *firstFit) startWaiting() {
	var noCapacity [kindCount]bool
	stillWaiting := f.waiting[:0]
	waiting := f.waiting
	for i, j := range waiting {
		if j.canceled {
			continue
		}
		if noCapacity[j.kind] {
			stillWaiting = append(stillWaiting, waiting[i])
			continue
		}
		if !f.tryPlace(j) {
			noCapacity[j.kind] = true
			stillWaiting = append(stillWaiting, waiting[i])
		}
	}
	f.waiting = stillWaiting
}

func (f *firstFit) tryPlace(j *job) bool {
	demand := f.fleet.kinds[j.kind].demand
	n := f.firstNode(j.number%zoneCount, func(n *node) bool { return n.account.Reserve(demand) })
	if n == nil {
		return false
	}
	switch {
	case n.dead || n.leaving:
		n.account.Release(demand)
		f.fleet.schedule(time.Second, func() { f.placeBatch(j) })
	case n.broken:
		f.fleet.schedule(failureDelay, func() {
			n.account.Release(demand)
			f.fleet.schedule(time.Second, func() { f.placeBatch(j) })
		})
	default:
		f.fleet.startTask(n, j.kind, demand, j.remaining, j, func() { f.fleet.completeJob(j) })
	}
	return true
}

// firstNode returns the first node that accepts the work, looking in the given
// zone before other zones.
func (f *firstFit) firstNode(zone int, accepts func(*node) bool) *node {
	for i := range zoneCount {
		for _, n := range f.fleet.nodes {
			if n.zone == (zone+i)%zoneCount && !f.knownGone[n] && accepts(n) {
				return n
			}
		}
	}
	return nil
}

func (f *firstFit) onFreed(*node) { f.startWaiting() }

func (f *firstFit) placeUrgent(r *request) {
	demand := f.fleet.kinds[r.kind].demand
	n := f.firstNode(r.zone, func(n *node) bool { return n.account.Reserve(demand) })
	if n == nil {
		n = f.firstNode(r.zone, func(n *node) bool { return f.preemptOne(r, n) })
	}
	if n == nil {
		f.fleet.refuseRequest(r)
		return
	}
	f.fleet.schedule(networkDelay(r.zone, n.zone), func() { f.startUrgent(r, n) })
}

// preemptOne stops the first batch task of a node whose removal makes the
// urgent request fit. It reports whether the request's demand is now reserved on
// the node.
func (f *firstFit) preemptOne(r *request, n *node) bool {
	demand := f.fleet.kinds[r.kind].demand
	for _, task := range n.tasks {
		if task.job == nil || !demand.Fits(n.account.Free().Add(task.held)) {
			continue
		}
		j := task.job
		f.fleet.result.evictions++
		j.evictions++
		f.fleet.removeTask(task)
		reserved := n.account.Reserve(demand)
		f.fleet.schedule(0, func() { f.placeBatch(j) })
		return reserved
	}
	return false
}

func (f *firstFit) startUrgent(r *request, n *node) {
	demand := f.fleet.kinds[r.kind].demand
	if n.dead || n.leaving {
		n.account.Release(demand)
		f.fleet.schedule(deadWorkerTimeout, func() { f.fleet.failRequest(r) })
		return
	}
	remaining := r.remaining
	if n.broken {
		remaining = failureDelay
	}
	task := f.fleet.startTask(n, r.kind, demand, remaining, nil, func() {
		if n.dead {
			f.fleet.failRequest(r)
			return
		}
		f.fleet.schedule(networkDelay(r.zone, n.zone), func() { f.fleet.answerRequest(r, !n.broken) })
	})
	r.runs = append(r.runs, task)
}
