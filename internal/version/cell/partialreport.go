package cell

import "time"

// partialReport is a report that may leave out ends of runs. A worker numbers and lists its ends
// in order. Once it has listed the end of a run that a report shows as running, it has listed all
// ends of before that report.
type partialReport struct {
	sent, received time.Time
	token          int64
	// completed is set once all ends of before the report are listed.
	completed bool
}

// shows reports whether a run was running when the worker made the report, or later.
func (p *partialReport) shows(r *run) bool {
	return r.listedIn.Equal(p.sent) || r.listedIn.After(p.received)
}

// completePartial removes the runs that neither an earlier partial report nor the ends listed
// since show, if these ends complete that report, and reports whether they do. Otherwise it keeps
// the earlier report, or this one if there is none.
func (c *Cell) completePartial(now time.Time, w *worker, report Report) bool {
	completed := w.partial != nil && w.partial.completed
	if completed {
		for _, r := range w.runs {
			c.removeUnlistedBy(now, w.partial, r)
		}
		w.partial = nil
	}
	if w.partial == nil {
		w.partial = &partialReport{sent: report.Sent, received: now, token: report.Token}
	}
	return completed
}

func (c *Cell) removeUnlistedBy(now time.Time, p *partialReport, r *run) {
	switch {
	case r.phase == inDoubt && p.token > r.startToken:
		c.recordUnarrivedStart(now, r)
	case r.phase == over && r.runningSince.Before(p.sent) && r.listedIn.Before(p.sent):
		c.recordLostRun(now, r, "not listed")
	}
}

// recordUnarrivedStart removes a run whose start order never arrived.
func (c *Cell) recordUnarrivedStart(now time.Time, r *run) {
	c.recordLostRun(now, r, "start did not arrive")
	c.requeueUnstarted(now, r)
	r.task.recordFailedWorker(r.worker)
}
