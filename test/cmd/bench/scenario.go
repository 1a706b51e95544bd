package main

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"poplarvalve/internal/request/placement"
)

const (
	// warmUp is left out of the latencies.
	warmUp = 20 * time.Second
	// length is the virtual time of one run.
	length = 180 * time.Second
	// failTime is how soon a broken worker fails what it gets.
	failTime = 5 * time.Millisecond
	// deadline is the time within which urgent work is answered.
	deadline = 2400 * time.Millisecond
	// urgentRate is the urgent requests of all fronts a second.
	urgentRate = 400
	// batchShare is the part of the processors that the batch work of a quiet
	// day takes.
	batchShare = 0.45
)

// result is what one or more runs showed.
type result struct {
	latency     *hdrhistogram.Histogram
	coreSeconds float64
	evictions   int
	outOfMemory int
	refused     int
	failed      int
}

func newResult() *result {
	return &result{latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (r *result) quantile(percent float64) float64 {
	return float64(r.latency.ValueAtQuantile(percent)) / 1000
}

// request is one urgent request on its way.
type request struct {
	number  int
	kind    int
	zone    int
	arrived time.Duration
	// left is the run time on an idle worker.
	left    time.Duration
	over    bool
	tried   int
	plan    placement.Plan
	release func()
	hedged  bool
	runs    []*run
	leave   func() bool
}

// delay is the time between two zones, one way.
func delay(from, to int) time.Duration {
	switch {
	case from == to:
		return 250 * time.Microsecond
	case from == zones-1 || to == zones-1:
		return 30 * time.Millisecond
	default:
		return 500 * time.Microsecond
	}
}

// end counts a request once and reports whether it was open.
func (w *world) end(r *request) bool {
	if r.over {
		return false
	}
	r.over = true
	if r.release != nil {
		r.release()
	}
	return r.kind == check && r.arrived >= warmUp
}

func (w *world) answer(r *request, success bool) {
	if !success {
		w.fail(r)
		return
	}
	if w.end(r) {
		_ = w.result.latency.RecordValue((w.now - r.arrived).Microseconds())
	}
}

func (w *world) refuse(r *request) {
	if w.end(r) {
		w.result.refused++
	}
}

func (w *world) fail(r *request) {
	if w.end(r) {
		w.result.failed++
	}
}

func (w *world) complete(j *job) {
	j.done = true
	cores := float64(w.kinds[j.kind].demand.CPU) * w.kinds[j.kind].scale / 1000
	w.result.coreSeconds += j.work.Seconds() * cores
}

func (j *job) name() string { return fmt.Sprintf("job-%d", j.number) }

// policy is a scheduler under test.
type policy interface {
	urgent(r *request)
	batch(j *job)
}

// load makes the work of one run. All randomness of the load is drawn when it
// is made, so that two policies with one seed get the same load.
type load struct {
	w        *world
	p        policy
	requests []*request
	jobs     []*job
	// zoneLost is whether zone 0 is lost.
	zoneLost bool
}

func (l *load) request(kind int, at time.Duration) *request {
	k := &l.w.kinds[kind]
	r := &request{
		number:  len(l.requests),
		kind:    kind,
		zone:    l.w.random.IntN(zones),
		arrived: at,
		left:    k.least + time.Duration(l.w.random.ExpFloat64()*float64(k.spread)),
	}
	l.requests = append(l.requests, r)
	l.w.after(at-l.w.now, func() {
		if l.zoneLost && r.zone == 0 {
			r.zone = 1 // The balancer knows no fronts in the lost zone.
		}
		l.p.urgent(r)
	})
	return r
}

func (l *load) job(kind int, at time.Duration) *job {
	k := &l.w.kinds[kind]
	took := k.least + time.Duration(l.w.random.ExpFloat64()*float64(k.spread))
	j := &job{number: len(l.jobs), kind: kind, work: took, left: took, arrived: at}
	l.jobs = append(l.jobs, j)
	l.w.after(at-l.w.now, func() { l.p.batch(j) })
	return j
}

// stream makes arrivals at random times with a rate a second.
func (l *load) stream(rate float64, from, to time.Duration, arrive func(at time.Duration)) {
	for at := from; ; {
		at += time.Duration(l.w.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		arrive(at)
	}
}

// wave makes jobs that arrive within two seconds.
func (l *load) wave(kind, count int, at time.Duration) []*job {
	var made []*job
	for i := range count {
		made = append(made, l.job(kind, at+time.Duration(i)*2*time.Second/time.Duration(count)))
	}
	return made
}

// ordinary is the load of all scenarios.
func (l *load) ordinary(rate float64) {
	l.stream(rate, 0, length, func(at time.Duration) { l.request(check, at) })
	cores := 0.0
	for _, n := range l.w.nodes {
		cores += float64(n.account.Capacity().CPU) / 1000
	}
	// One rebuild and one render take 120 and 240 core seconds.
	jobs := batchShare * cores / (120 + 240)
	for _, kind := range []int{rebuild, render} {
		l.stream(jobs, 0, length, func(at time.Duration) { l.job(kind, at) })
	}
}

func (l *load) slots() int {
	return len(l.w.nodes) * int(l.w.nodes[0].account.Capacity().Slots)
}

// cancelJob ends a job for its caller.
func (l *load) cancelJob(j *job) {
	j.canceled = true
	if j.leave != nil {
		j.leave()
	}
	if j.current != nil {
		l.w.stop(j.current, false)
	}
}

func (l *load) cancelRequest(r *request) {
	if r.over {
		return
	}
	r.over = true
	if r.release != nil {
		r.release()
	}
	if r.leave != nil {
		r.leave()
	}
	for _, task := range r.runs {
		task.end = nil
		l.w.finish(task)
	}
}

// scenario is one load with its faults.
type scenario struct {
	name string
	make func(l *load)
}

var scenarios = []scenario{
	{"quiet", func(l *load) { l.ordinary(urgentRate) }},
	{"noisy waves", func(l *load) {
		l.ordinary(urgentRate)
		l.wave(noisy, l.slots(), 40*time.Second)
		l.wave(noisy, l.slots(), 100*time.Second)
	}},
	{"flood", func(l *load) {
		const small = 20
		l.ordinary(small)
		l.stream(100*small, 40*time.Second, 80*time.Second, func(at time.Duration) { l.request(bulk, at) })
		l.wave(noisy, 2*l.slots(), 60*time.Second)
	}},
	{"sizes wrong", func(l *load) {
		l.w.kinds[render].scale = 4
		l.w.kinds[rebuild].scale = 0.25
		l.ordinary(urgentRate)
	}},
	{"cancellations", func(l *load) {
		l.ordinary(urgentRate)
		for i, j := range l.wave(noisy, 2*l.slots(), 60*time.Second) {
			if i%5 != 0 {
				l.w.after(j.arrived+5*time.Second, func() { l.cancelJob(j) })
			}
		}
		for i := range 2000 {
			r := l.request(check, 60*time.Second+time.Duration(i)*time.Millisecond)
			if i%5 != 0 {
				l.w.after(r.arrived+8*time.Millisecond, func() { l.cancelRequest(r) })
			}
		}
	}},
	{"workers fail all", func(l *load) {
		l.ordinary(urgentRate)
		l.w.after(40*time.Second, func() {
			for _, n := range l.w.nodes[:3] {
				n.broken = true
			}
		})
	}},
	{"worker slow", func(l *load) {
		l.ordinary(urgentRate)
		l.w.after(40*time.Second, func() { l.w.nodes[0].slow = 10 })
	}},
	{"worker leaves", func(l *load) {
		l.ordinary(urgentRate)
		l.w.after(60*time.Second, func() { l.w.nodes[0].leaving = true })
		l.w.after(60*time.Second+listLag, func() { l.w.listed(l.w.nodes[0]) })
		l.w.after(90*time.Second, func() { l.w.die(l.w.nodes[0]) })
	}},
	{"zone lost", func(l *load) {
		l.ordinary(urgentRate)
		l.w.after(60*time.Second, func() {
			l.zoneLost = true
			for _, n := range l.w.nodes {
				if n.zone == 0 {
					l.w.die(n)
					l.w.after(listLag, func() { l.w.listed(n) })
				}
			}
		})
	}},
}

// measure adds one run to a result. An empty policy name is first fit; another
// is the mechanism that is off, or none.
func measure(into *result, s scenario, hardware size, seed uint64, first bool, off string) {
	w := newWorld(hardware, seed, into)
	l := &load{w: w}
	s.make(l)
	if first {
		f := &firstFit{w: w, known: map[*node]bool{}}
		l.p, w.freed, w.lost = f, f.freed, f.batch
		w.listed = func(n *node) { f.known[n] = true }
	} else {
		d := newDecider(w, off)
		l.p, w.freed, w.lost = d, d.freed, d.batch
		w.listed = func(n *node) { d.gone[n] = true }
	}
	w.runUntil(length)
}
