// Package interference estimates how much one kind of task slows down another
// on the same worker.
//
// A Table is an immutable value; equal reports in equal order give equal
// tables. The view builder folds the usage reports of owned workers into it,
// and takes from it the disturbance of each worker for the view.
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
	// cautious is the estimate for a pair of which nothing is known, as a part
	// of the run time. It is about that of two tasks that share a cache; a lower
	// one would place unknown work next to urgent work first.
	cautious = 0.2
	// learningRate is the part of an error that one report corrects. Reports
	// hold noise of about the size of the effect.
	learningRate = 0.2
	// halfLife is the time in which an estimate without reports goes half of
	// the way back to the cautious one.
	halfLife = 30 * time.Minute
	// publishChange is the least change of an estimate that readers see. A
	// smaller one would move work back and forth on noise.
	publishChange = 0.05
	// publishShare is the same as a part of the estimate.
	publishShare = 0.15
	// thousand converts to thousandths.
	thousand = 1000
)

// Running is how many tasks of a kind run beside the observed one.
type Running struct {
	Kind  ident.ServiceName
	Count int
}

// Report is one measurement of one task.
type Report struct {
	Kind ident.ServiceName
	// Beside holds the other tasks of the worker by kind.
	Beside []Running
	// Slowdown is the run time relative to an idle worker, in thousandths.
	Slowdown int64
	// Measured is when the measurement was made.
	Measured time.Time
	// Placed is the newest start or end of a task on the worker. A measurement
	// made before it judges another set of tasks.
	Placed time.Time
}

type pair struct {
	slowed ident.ServiceName
	by     ident.ServiceName
}

// estimate is the extra run time per task, as a part of the run time.
type estimate struct {
	// extra follows the reports, published follows extra in steps.
	extra     float64
	published float64
	at        time.Time
}

// Table is an immutable version of the estimates. Nil holds none.
type Table struct {
	pairs map[pair]estimate
}

// Fold returns the table after more reports. Reports older than the placement
// that they judge are ignored.
func (t *Table) Fold(reports []Report) *Table {
	next := &Table{pairs: map[pair]estimate{}}
	if t != nil {
		maps.Copy(next.pairs, t.pairs)
	}
	for _, report := range reports {
		if report.Measured.Before(report.Placed) {
			continue
		}
		next.learn(report)
	}
	return next
}

// learn moves the estimates of the pairs of a report towards it. The error is
// shared by the number of tasks, as in the normalised least mean squares
// filter, so that a step never overshoots.
func (t *Table) learn(report Report) {
	power := 0.0
	expected := 0.0
	for _, other := range report.Beside {
		known := t.at(pair{report.Kind, other.Kind}, report.Measured)
		count := float64(other.Count)
		expected += known.extra * count
		power += count * count
	}
	if power == 0 {
		return
	}
	miss := float64(report.Slowdown-thousand)/thousand - expected
	for _, other := range report.Beside {
		key := pair{report.Kind, other.Kind}
		known := t.at(key, report.Measured)
		step := learningRate * miss * float64(other.Count) / power
		t.pairs[key] = known.moved(max(known.extra+step, 0), report.Measured)
	}
}

// at returns the estimate of a pair, aged to a time.
func (t *Table) at(key pair, now time.Time) estimate {
	known, found := t.pairs[key]
	if !found {
		return estimate{extra: cautious, published: cautious, at: now}
	}
	age := now.Sub(known.at)
	if age <= 0 {
		return known
	}
	left := math.Exp2(-float64(age) / float64(halfLife))
	known.extra = cautious + (known.extra-cautious)*left
	return known
}

// moved returns the estimate with a new value; readers see it if it differs
// enough from what they see now.
func (e estimate) moved(extra float64, at time.Time) estimate {
	if at.After(e.at) {
		e.at = at
	}
	e.extra = extra
	if math.Abs(extra-e.published) >= max(publishChange, publishShare*e.published) {
		e.published = extra
	}
	return e
}

// Refresh returns the table with each estimate aged to now. The view builder
// calls it before it reads.
func (t *Table) Refresh(now time.Time) *Table {
	next := &Table{pairs: map[pair]estimate{}}
	if t == nil {
		return next
	}
	for key := range t.pairs {
		aged := t.at(key, now)
		next.pairs[key] = aged.moved(aged.extra, now)
	}
	return next
}

// Extra returns by how much one task of kind by slows down a task, in
// thousandths of its run time.
func (t *Table) Extra(slowed, by ident.ServiceName) int64 {
	if t == nil {
		return cautious * thousand
	}
	known, found := t.pairs[pair{slowed, by}]
	if !found {
		return cautious * thousand
	}
	return int64(math.Round(known.published * thousand))
}

// Slowdown returns the expected extra run time of a task beside others, in
// thousandths.
func (t *Table) Slowdown(slowed ident.ServiceName, beside []Running) int64 {
	total := int64(0)
	for _, other := range beside {
		total += t.Extra(slowed, other.Kind) * int64(other.Count)
	}
	return total
}

// Disturbance returns the largest slowdown that what runs on a worker causes to
// any of the given kinds of urgent work.
func (t *Table) Disturbance(urgent []ident.ServiceName, running []Running) int64 {
	worst := int64(0)
	for _, kind := range urgent {
		worst = max(worst, t.Slowdown(kind, running))
	}
	return worst
}

// Pair is one estimate for the state dump, in thousandths.
type Pair struct {
	Slowed ident.ServiceName `json:"slowed"`
	By     ident.ServiceName `json:"by"`
	Extra  int64             `json:"extra_millis"`
}

// Pairs returns all estimates in a fixed order.
func (t *Table) Pairs() []Pair {
	var all []Pair
	if t == nil {
		return all
	}
	for key := range t.pairs {
		all = append(all, Pair{key.slowed, key.by, t.Extra(key.slowed, key.by)})
	}
	slices.SortFunc(all, func(a, b Pair) int {
		return cmp.Or(cmp.Compare(a.Slowed, b.Slowed), cmp.Compare(a.By, b.By))
	})
	return all
}
