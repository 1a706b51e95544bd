package cell

import "time"

// placingBudget bounds the attempts to place tasks that fail in one pass over the ready tasks,
// if hopeless jobs are refused. Each failed attempt looks at all workers, so that the cost of a
// pass would grow with the number of steps that wait. Some attempts go to the tasks ranked
// first, and some to those from cursor on, so that each task is tried in turn.
type placingBudget struct {
	bounded bool
	// first and others are the attempts that may still fail.
	first, others int
	// cursor is the index of the task at which the second part of the attempts begins, and next
	// that of the next pass.
	cursor, next int
	// beganAt is when the pass began.
	beganAt time.Time
}

const (
	// maxFailedFirst and maxFailedOthers are the numbers of attempts that may fail in a pass.
	// With 350 workers they take about 1.5 ms.
	maxFailedFirst  = 64
	maxFailedOthers = 64
	// placingPeriod is the time between two passes for which maxFailedOthers holds. After a
	// longer one more attempts may fail, up to maxPlacingPeriods times as many, so that a cell in
	// which little happens tries 5,000 steps within a second.
	placingPeriod     = 10 * time.Millisecond
	maxPlacingPeriods = 8
	// rankedPerPeriod is the number of ready tasks up to which they are ranked as soon as
	// others are added. Beyond it they are ranked each rankPeriod at the most.
	rankedPerPeriod = 6000
)

// beginPlacing begins a pass over the ready tasks.
func (c *Cell) beginPlacing(now time.Time) {
	p := &c.placing
	p.bounded = c.work != nil
	periods := min(maxPlacingPeriods, max(1, int(now.Sub(p.beganAt)/placingPeriod)))
	p.first, p.others, p.beganAt = maxFailedFirst, maxFailedOthers*periods, now
	p.cursor, p.next = p.next, 0
}

// defersPlacing reports whether the attempt to place the task at an index waits for a later
// pass. Long-running tasks are always tried: they may not wait long.
func (c *Cell) defersPlacing(index int, t *task) bool {
	p := &c.placing
	if !p.bounded || t.spec().LongRunning || p.first > 0 {
		return false
	}
	if index < p.cursor {
		return true
	}
	if p.others == 0 && p.next == 0 {
		p.next = index
	}
	return p.others == 0
}

// failed counts a failed attempt.
func (p *placingBudget) failed(index int) {
	switch {
	case p.first > 0:
		p.first--
	case index >= p.cursor && p.others > 0:
		p.others--
	}
}

// rankingDue reports whether the ready tasks have to be ranked.
func (c *Cell) rankingDue(now time.Time) bool {
	if now.Sub(c.rankedAt) > rankPeriod {
		return true
	}
	return c.needsRanking && (c.work == nil || len(c.readyTasks) <= rankedPerPeriod)
}
