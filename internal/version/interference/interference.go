// Package interference estimates by how much tasks of one kind slow down tasks of
// another kind on the same worker.
//
// A Table is an immutable value; equal reports in equal order give equal tables.
// The view builder adds the usage reports of owned workers to a Table and reads
// the disturbance of each worker from it for the view.
package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"poplarvalve/internal/process/ident"
)

const (
	// defaultExtra is the estimate for a pair of kinds without reports, as a
	// fraction of the run time. It is about the slowdown of two tasks that share a
	// cache. With a lower default, work without reports would be placed next to
	// urgent work first.
	defaultExtra = 0.2
	// learningRate is the fraction of the prediction error that one report
	// corrects. It is small because the noise in reports is about as large as the
	// effect that they measure.
	learningRate = 0.2
	// halfLife is the time in which an estimate without new reports moves half of
	// the way back to defaultExtra.
	halfLife = 30 * time.Minute
	// minPublishedChange is the smallest change of an estimate, as a fraction of
	// the run time, that is published to readers. Smaller changes are noise and
	// would make work move back and forth.
	minPublishedChange = 0.05
	// minPublishedChangeShare is the same limit as a fraction of the published
	// estimate. The larger of the two limits applies.
	minPublishedChangeShare = 0.15
	// perMille converts fractions to thousandths.
	perMille = 1000
)

// RunningCount is the number of tasks of one kind that run on a worker.
type RunningCount struct {
	Kind  ident.ServiceName
	Count int
}

// Report is one measurement of the slowdown of one task.
type Report struct {
	// Kind is the kind of the measured task.
	Kind ident.ServiceName
	// Colocated holds the other tasks that run on the worker, by kind.
	Colocated []RunningCount
	// Slowdown is the run time relative to that on an idle worker, in thousandths:
	// 1000 means that the task is not slowed down.
	Slowdown int64
	// MeasuredAt is the time of the measurement.
	MeasuredAt time.Time
	// LastPlacementChange is the time of the last start or end of a task on the
	// worker. A measurement from before that time is about another set of tasks.
	LastPlacementChange time.Time
}

// kindPair is a kind of task that is slowed down and a neighbouring kind that
// slows it down.
type kindPair struct {
	slowed    ident.ServiceName
	neighbour ident.ServiceName
}

// estimate is the extra run time that each neighbouring task causes, as a fraction
// of the run time.
type estimate struct {
	// extra changes with each report. published is what readers get; it is set to
	// extra only when the two differ enough (see minPublishedChange).
	extra     float64
	published float64
	updated   time.Time
}

// Table is an immutable version of the estimates. A nil Table has no reports, so
// all its estimates are the default.
type Table struct {
	pairs map[kindPair]estimate
}

// Add returns the table after more reports. It ignores a report whose measurement
// is older than the last start or end of a task on the worker.
func (t *Table) Add(reports []Report) *Table {
	next := &Table{pairs: map[kindPair]estimate{}}
	if t != nil {
		maps.Copy(next.pairs, t.pairs)
	}
	for _, report := range reports {
		if report.MeasuredAt.Before(report.LastPlacementChange) {
			continue
		}
		next.update(report)
	}
	return next
}

// update moves the estimates of the pairs in a report towards the measurement. It
// distributes the prediction error over the pairs by their numbers of tasks, as a
// normalised least mean squares filter does, so that a step never overshoots.
func (t *Table) update(report Report) {
	power := 0.0
	expected := 0.0
	for _, other := range report.Colocated {
		current := t.estimateAt(kindPair{report.Kind, other.Kind}, report.MeasuredAt)
		count := float64(other.Count)
		expected += current.extra * count
		power += count * count
	}
	if power == 0 {
		return
	}
	predictionError := float64(report.Slowdown-perMille)/perMille - expected
	for _, other := range report.Colocated {
		key := kindPair{report.Kind, other.Kind}
		current := t.estimateAt(key, report.MeasuredAt)
		step := learningRate * predictionError * float64(other.Count) / power
		t.pairs[key] = current.withExtra(max(current.extra+step, 0), report.MeasuredAt)
	}
}

// estimateAt returns the estimate of a pair at the time now: it moves back towards
// defaultExtra with the time since its last update, as halfLife says.
func (t *Table) estimateAt(key kindPair, now time.Time) estimate {
	known, found := t.pairs[key]
	if !found {
		return estimate{extra: defaultExtra, published: defaultExtra, updated: now}
	}
	age := now.Sub(known.updated)
	if age <= 0 {
		return known
	}
	remaining := math.Exp2(-float64(age) / float64(halfLife))
	known.extra = defaultExtra + (known.extra-defaultExtra)*remaining
	return known
}

// withExtra returns the estimate with a new value. It publishes the value if that
// differs enough from the published one.
func (e estimate) withExtra(extra float64, at time.Time) estimate {
	if at.After(e.updated) {
		e.updated = at
	}
	e.extra = extra
	if math.Abs(extra-e.published) >= max(minPublishedChange, minPublishedChangeShare*e.published) {
		e.published = extra
	}
	return e
}

// Refresh returns the table with the estimates as of the time now: an estimate
// without new reports moves back towards the default. The view builder calls it
// before it reads estimates.
func (t *Table) Refresh(now time.Time) *Table {
	next := &Table{pairs: map[kindPair]estimate{}}
	if t == nil {
		return next
	}
	for key := range t.pairs {
		aged := t.estimateAt(key, now)
		next.pairs[key] = aged.withExtra(aged.extra, now)
	}
	return next
}

// ExtraPerTask returns by how much one task of the kind neighbour slows down a task
// of the kind slowed, in thousandths of the run time of the latter.
func (t *Table) ExtraPerTask(slowed, neighbour ident.ServiceName) int64 {
	if t == nil {
		return defaultExtra * perMille
	}
	known, found := t.pairs[kindPair{slowed, neighbour}]
	if !found {
		return defaultExtra * perMille
	}
	return int64(math.Round(known.published * perMille))
}

// ExpectedExtra returns the expected extra run time of a task that runs beside
// others, in thousandths of its run time: 0 means no slowdown, unlike in
// Report.Slowdown.
func (t *Table) ExpectedExtra(slowed ident.ServiceName, colocated []RunningCount) int64 {
	total := int64(0)
	for _, other := range colocated {
		total += t.ExtraPerTask(slowed, other.Kind) * int64(other.Count)
	}
	return total
}

// Disturbance returns the largest slowdown, in thousandths of the run time, that
// the tasks running on a worker cause to any of the given kinds of urgent work.
func (t *Table) Disturbance(urgent []ident.ServiceName, running []RunningCount) int64 {
	worst := int64(0)
	for _, kind := range urgent {
		worst = max(worst, t.ExpectedExtra(kind, running))
	}
	return worst
}

// Pair is one estimate for the state dump. Extra is in thousandths, as returned by
// Table.ExtraPerTask.
type Pair struct {
	Slowed    ident.ServiceName `json:"slowed"`
	Neighbour ident.ServiceName `json:"by"`
	Extra     int64             `json:"extra_millis"`
}

// Pairs returns all estimates, ordered by Slowed and then Neighbour.
func (t *Table) Pairs() []Pair {
	var all []Pair
	if t == nil {
		return all
	}
	for key := range t.pairs {
		all = append(all, Pair{key.slowed, key.neighbour, t.ExtraPerTask(key.slowed, key.neighbour)})
	}
	slices.SortFunc(all, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.Slowed, b.Slowed), cmp.Compare(a.Neighbour, b.Neighbour))
	})
	return all
}
