package main

import (
	"time"
)

// firstFit is the scheduler to compare with: it takes work in the order of
// arrival, knows all reservations without lag, and gives each the first worker
// with room, of the own zone before others. Urgent work that finds none stops
// the first batch task that makes room.
type firstFit struct {
	w       *world
	waiting []*job
	// known holds the nodes that the platform's list shows as gone.
	known map[*node]bool
}

func (f *firstFit) batch(j *job) {
	if j.canceled || j.done || j.current != nil {
		return
	}
	f.waiting = append(f.waiting, j)
	f.pass()
}

// pass starts what fits, in order of arrival. A kind that found no room is not
// tried again in the same pass.
func (f *firstFit) pass() {
	var full [kindCount]bool
	kept := f.waiting[:0]
	waiting := f.waiting
	for i, j := range waiting {
		if j.canceled {
			continue
		}
		if full[j.kind] {
			kept = append(kept, waiting[i])
			continue
		}
		if !f.place(j) {
			full[j.kind] = true
			kept = append(kept, waiting[i])
		}
	}
	f.waiting = kept
}

func (f *firstFit) place(j *job) bool {
	demand := f.w.kinds[j.kind].demand
	n := f.first(j.number%zones, func(n *node) bool { return n.account.Reserve(demand) })
	if n == nil {
		return false
	}
	switch {
	case n.dead || n.leaving:
		n.account.Release(demand)
		f.w.after(time.Second, func() { f.batch(j) })
	case n.broken:
		f.w.after(failTime, func() {
			n.account.Release(demand)
			f.w.after(time.Second, func() { f.batch(j) })
		})
	default:
		f.w.begin(n, j.kind, demand, j.left, j, func() { f.w.complete(j) })
	}
	return true
}

// first returns the first node that takes the work, of the own zone first.
func (f *firstFit) first(zone int, takes func(*node) bool) *node {
	for i := range zones {
		for _, n := range f.w.nodes {
			if n.zone == (zone+i)%zones && !f.known[n] && takes(n) {
				return n
			}
		}
	}
	return nil
}

func (f *firstFit) freed(*node) { f.pass() }

func (f *firstFit) urgent(r *request) {
	demand := f.w.kinds[r.kind].demand
	n := f.first(r.zone, func(n *node) bool { return n.account.Reserve(demand) })
	if n == nil {
		n = f.first(r.zone, func(n *node) bool { return f.stopOne(r, n) })
	}
	if n == nil {
		f.w.refuse(r)
		return
	}
	f.w.after(delay(r.zone, n.zone), func() { f.start(r, n) })
}

// stopOne stops the first batch task of a node without which the work fits.
func (f *firstFit) stopOne(r *request, n *node) bool {
	demand := f.w.kinds[r.kind].demand
	for _, task := range n.tasks {
		if task.job == nil || !demand.Fits(n.account.Free().Add(task.held)) {
			continue
		}
		j := task.job
		f.w.result.evictions++
		j.evictions++
		f.w.remove(task)
		taken := n.account.Reserve(demand)
		f.w.after(0, func() { f.batch(j) })
		return taken
	}
	return false
}

func (f *firstFit) start(r *request, n *node) {
	demand := f.w.kinds[r.kind].demand
	if n.dead || n.leaving {
		n.account.Release(demand)
		f.w.after(replyLost, func() { f.w.fail(r) })
		return
	}
	left := r.left
	if n.broken {
		left = failTime
	}
	task := f.w.begin(n, r.kind, demand, left, nil, func() {
		if n.dead {
			f.w.fail(r)
			return
		}
		f.w.after(delay(r.zone, n.zone), func() { f.w.answer(r, !n.broken) })
	})
	r.runs = append(r.runs, task)
}
