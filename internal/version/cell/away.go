package cell

import "time"

// AwayCause is why a long-running task has no run.
type AwayCause uint8

const (
	// AwayDeparture: its worker leaves, or has left after it said so.
	AwayDeparture AwayCause = iota
	// AwayCrash: its worker has crashed or is silent.
	AwayCrash
	// AwayLeaderChange: no worker has listed it since the leader changed, or its lease expired
	// without a leader.
	AwayLeaderChange
	// AwayInterference: it was stopped for other tasks on its worker.
	AwayInterference
	// AwayOwnEnd: it ended by itself.
	AwayOwnEnd

	awayCauseCount
)

func (a AwayCause) String() string {
	return [awayCauseCount]string{"departure", "crash", "leader_change", "interference", "own_end"}[a]
}

// AwayTime is how long a long-running task was away until it was started again.
type AwayTime struct {
	Cause    AwayCause
	Duration time.Duration
}

// absence is since when a long-running task is away, or the zero value.
type absence struct {
	since time.Time
	cause AwayCause
}

// recordAway notes that a long-running task has no run. Its next worker shows nothing about an
// absence that the cell found when its term began; a listed end shows its cause.
func (t *task) recordAway(since time.Time, cause AwayCause) {
	switch {
	case !t.spec().LongRunning || t.job().state.IsFinal():
	case t.absence.since.IsZero():
		t.absence = absence{since, cause}
	case t.absence.cause == AwayLeaderChange:
		t.absence.cause = cause
	}
}

// recordAwayByEnd notes that a run of a long-running task has ended on a worker.
func (t *task) recordAwayByEnd(now time.Time, w *worker, reason EndReason) {
	cause := AwayOwnEnd
	switch {
	case w.departure.expected:
		cause = AwayDeparture
	case reason == EndStopped:
		cause = AwayInterference
	case reason == EndLeaseExpired:
		cause = AwayLeaderChange
	}
	t.recordAway(now, cause)
}

// recordAwayByLoss notes that a run of a long-running task is lost with its worker, which last
// answered while the run may have gone on.
func (r *run) recordAwayByLoss() {
	if !r.hasStarted() && r.phase != over {
		return
	}
	cause := AwayCrash
	if r.worker.departure.expected {
		cause = AwayDeparture
	}
	r.task.recordAway(r.worker.lastResponse, cause)
}

// recordAwayAtStart notes the long-running tasks that an earlier term may have started. Those
// that a worker lists were not away.
func (c *Cell) recordAwayAtStart(now time.Time) {
	for _, j := range c.jobs {
		if !j.started {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				for _, t := range s.tasks {
					t.recordAway(now, AwayLeaderChange)
				}
			}
		}
	}
}

// endAway notes that a worker has accepted or listed a run of the task.
func (c *Cell) endAway(now time.Time, t *task) {
	if !t.absence.since.IsZero() {
		c.effects.Away = append(c.effects.Away, AwayTime{t.absence.cause, now.Sub(t.absence.since)})
	}
	t.absence = absence{}
}
