package cell

import (
	"slices"
	"time"
)

// worker is the account of one worker.
type worker struct {
	info WorkerInfo
	// listed says that the registry names the worker.
	listed bool
	// held says that the worker has answered a hold in this term.
	held bool
	// silent says that the last hold got no answer.
	silent bool
	// foreign says that the worker runs something that belongs to no open task.
	foreign bool
	// used is what the runs reserve, whatever their phase.
	used Size
	runs map[*run]struct{}
	// leaseUntil is when everything on the worker has lapsed at the latest.
	leaseUntil time.Time
	heard      time.Time
	// blockedUntil ends the pause after a refused start.
	blockedUntil time.Time
	// lastEnd is the number of the newest end that was applied, stored the
	// newest that is stored, acked the newest that the worker was told of.
	lastEnd int64
	health  health
	// fill is the learned state of the work that fills on this worker.
	fill fillState
	// load sums up the runs; it is nil if they changed since.
	load *load
}

func newWorker(info WorkerInfo) *worker {
	return &worker{info: info, runs: map[*run]struct{}{}}
}

// usable says whether new runs may be started.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.held && !w.silent && !w.info.Draining && !w.foreign && !now.Before(w.blockedUntil)
}

func (w *worker) free() Size { return w.info.Capacity.minus(w.used) }

// allowed says whether policy lets the task run on the worker, whatever its
// room.
func (w *worker) allowed(t *task) bool {
	spec := t.spec()
	if w.info.Pool != t.job().terms.Pool {
		return false
	}
	if spec.Label != "" && !slices.Contains(w.info.Labels, spec.Label) {
		return false
	}
	return spec.Spread == 0 || t.step.perWorker[w.info.ID] < spec.Spread
}

// takes says whether the worker may get the task now and has room for it.
func (w *worker) takes(now time.Time, t *task) bool {
	return w.usable(now) && w.free().fits(t.size()) && w.allowed(t)
}

// attach counts a run on the worker.
func (w *worker) attach(r *run) {
	r.worker = w
	w.load = nil
	w.runs[r] = struct{}{}
	w.used = w.used.plus(r.size)
	if r.task.step.perWorker != nil {
		r.task.step.perWorker[w.info.ID]++
	}
}

// detach ends the account of a run.
func (w *worker) detach(r *run) {
	if _, known := w.runs[r]; !known {
		return
	}
	delete(w.runs, r)
	w.load = nil
	w.used = w.used.minus(r.size)
	if r.task.step.perWorker != nil {
		r.task.step.perWorker[w.info.ID]--
	}
	r.task.runs = slices.DeleteFunc(r.task.runs, func(o *run) bool { return o == r })
}

// find returns the run of that name, or nil.
func (w *worker) find(id TaskID, number int64) *run {
	for r := range w.runs {
		if r.number == number && r.task.id() == id {
			return r
		}
	}
	return nil
}
