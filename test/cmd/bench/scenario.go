package main

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"poplarvalve/internal/request/placement"
)

const (
	// warmUpTime is the start of a run, which is left out of the latencies.
	warmUpTime = 20 * time.Second
	// runLength is the virtual time of one run.
	runLength = 180 * time.Second
	// failureDelay is the time after which a broken worker fails a task.
	failureDelay = 5 * time.Millisecond
	// deadline is the time within which an urgent request must be answered.
	deadline = 2400 * time.Millisecond
	// urgentPerSecond is the rate of urgent requests at all entry instances
	// together.
	urgentPerSecond = 400
	// batchCPUShare is the fraction of the processors that the batch tasks of
	// the ordinary load use.
	batchCPUShare = 0.45
)

// result holds the figures of one or more runs.
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

func (r *result) quantileMillis(percent float64) float64 {
	return float64(r.latency.ValueAtQuantile(percent)) / 1000
}

// request is one urgent request.
type request struct {
	number  int
	kind    int
	zone    int
	arrived time.Duration
	// remaining is the run time on an idle worker.
	remaining  time.Duration
	ended      bool
	attempts   int
	plan       placement.Plan
	release    func()
	hedged     bool
	runs       []*run
	leaveQueue func() bool
}

// networkDelay returns the one-way network delay between two zones.
func networkDelay(from, to int) time.Duration {
	switch {
	case from == to:
		return 250 * time.Microsecond
	case from == zoneCount-1 || to == zoneCount-1:
		return 30 * time.Millisecond
	default:
		return 500 * time.Microsecond
	}
}

// endRequest ends a request once. It reports whether the request counts in the
// results: it was open, is of the check kind and arrived after the warm-up.
func (f *fleet) endRequest(r *request) bool {
	if r.ended {
		return false
	}
	r.ended = true
	if r.release != nil {
		r.release()
	}
	return r.kind == checkKind && r.arrived >= warmUpTime
}

func (f *fleet) answerRequest(r *request, success bool) {
	if !success {
		f.failRequest(r)
		return
	}
	if f.endRequest(r) {
		_ = f.result.latency.RecordValue((f.now - r.arrived).Microseconds())
	}
}

func (f *fleet) refuseRequest(r *request) {
	if f.endRequest(r) {
		f.result.refused++
	}
}

func (f *fleet) failRequest(r *request) {
	if f.endRequest(r) {
		f.result.failed++
	}
}

func (f *fleet) completeJob(j *job) {
	j.done = true
	cores := float64(f.kinds[j.kind].demand.CPU) * f.kinds[j.kind].usageFactor / 1000
	f.result.coreSeconds += j.runTime.Seconds() * cores
}

func (j *job) name() string { return fmt.Sprintf("job-%d", j.number) }

// policy is a scheduler to be measured.
type policy interface {
	placeUrgent(r *request)
	placeBatch(j *job)
}

// workload generates the requests and jobs of one run. All its random numbers
// are drawn when it is generated, so that two policies with the same seed get
// the same load.
type workload struct {
	fleet    *fleet
	policy   policy
	requests []*request
	jobs     []*job
	// zoneLost tells whether zone 0 has failed.
	zoneLost bool
}

func (w *workload) addRequest(kind int, at time.Duration) *request {
	k := &w.fleet.kinds[kind]
	r := &request{
		number:    len(w.requests),
		kind:      kind,
		zone:      w.fleet.random.IntN(zoneCount),
		arrived:   at,
		remaining: k.minRunTime + time.Duration(w.fleet.random.ExpFloat64()*float64(k.meanExtraRunTime)),
	}
	w.requests = append(w.requests, r)
	w.fleet.schedule(at-w.fleet.now, func() {
		if w.zoneLost && r.zone == 0 {
			r.zone = 1 // The load balancer no longer sends to the entry instances of the lost zone.
		}
		w.policy.placeUrgent(r)
	})
	return r
}

func (w *workload) addJob(kind int, at time.Duration) *job {
	k := &w.fleet.kinds[kind]
	took := k.minRunTime + time.Duration(w.fleet.random.ExpFloat64()*float64(k.meanExtraRunTime))
	j := &job{number: len(w.jobs), kind: kind, runTime: took, remaining: took, arrived: at}
	w.jobs = append(w.jobs, j)
	w.fleet.schedule(at-w.fleet.now, func() { w.policy.placeBatch(j) })
	return j
}

// generateArrivals calls arrive at random times with the given rate per second.
func (w *workload) generateArrivals(rate float64, from, to time.Duration, arrive func(at time.Duration)) {
	for at := from; ; {
		at += time.Duration(w.fleet.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		arrive(at)
	}
}

// addWave adds jobs that arrive evenly within two seconds.
func (w *workload) addWave(kind, count int, at time.Duration) []*job {
	var made []*job
	for i := range count {
		made = append(made, w.addJob(kind, at+time.Duration(i)*2*time.Second/time.Duration(count)))
	}
	return made
}

// addOrdinary adds the load that all scenarios have in common.
func (w *workload) addOrdinary(rate float64) {
	w.generateArrivals(rate, 0, runLength, func(at time.Duration) { w.addRequest(checkKind, at) })
	cores := 0.0
	for _, n := range w.fleet.nodes {
		cores += float64(n.account.Capacity().CPU) / 1000
	}
	// One rebuild takes 120 core seconds and one render 240.
	jobs := batchCPUShare * cores / (120 + 240)
	for _, kind := range []int{rebuildKind, renderKind} {
		w.generateArrivals(jobs, 0, runLength, func(at time.Duration) { w.addJob(kind, at) })
	}
}

func (w *workload) totalSlots() int {
	return len(w.fleet.nodes) * int(w.fleet.nodes[0].account.Capacity().Slots)
}

// cancelJob cancels a job on behalf of its caller.
func (w *workload) cancelJob(j *job) {
	j.canceled = true
	if j.leaveQueue != nil {
		j.leaveQueue()
	}
	if j.current != nil {
		w.fleet.stopJob(j.current, false)
	}
}

func (w *workload) cancelRequest(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	if r.release != nil {
		r.release()
	}
	if r.leaveQueue != nil {
		r.leaveQueue()
	}
	for _, task := range r.runs {
		task.onEnd = nil
		w.fleet.finishTask(task)
	}
}

// scenario is a workload together with its faults.
type scenario struct {
	name  string
	build func(w *workload)
}

var scenarios = []scenario{
	{"quiet", func(w *workload) { w.addOrdinary(urgentPerSecond) }},
	{"noisy waves", func(w *workload) {
		w.addOrdinary(urgentPerSecond)
		w.addWave(noisyKind, w.totalSlots(), 40*time.Second)
		w.addWave(noisyKind, w.totalSlots(), 100*time.Second)
	}},
	{"flood", func(w *workload) {
		const small = 20
		w.addOrdinary(small)
		w.generateArrivals(100*small, 40*time.Second, 80*time.Second, func(at time.Duration) { w.addRequest(bulkKind, at) })
		w.addWave(noisyKind, 2*w.totalSlots(), 60*time.Second)
	}},
	{"sizes wrong", func(w *workload) {
		w.fleet.kinds[renderKind].usageFactor = 4
		w.fleet.kinds[rebuildKind].usageFactor = 0.25
		w.addOrdinary(urgentPerSecond)
	}},
	{"cancellations", func(w *workload) {
		w.addOrdinary(urgentPerSecond)
		for i, j := range w.addWave(noisyKind, 2*w.totalSlots(), 60*time.Second) {
			if i%5 != 0 {
				w.fleet.schedule(j.arrived+5*time.Second, func() { w.cancelJob(j) })
			}
		}
		for i := range 2000 {
			r := w.addRequest(checkKind, 60*time.Second+time.Duration(i)*time.Millisecond)
			if i%5 != 0 {
				w.fleet.schedule(r.arrived+8*time.Millisecond, func() { w.cancelRequest(r) })
			}
		}
	}},
	{"workers fail all", func(w *workload) {
		w.addOrdinary(urgentPerSecond)
		w.fleet.schedule(40*time.Second, func() {
			for _, n := range w.fleet.nodes[:3] {
				n.broken = true
			}
		})
	}},
	{"worker slow", func(w *workload) {
		w.addOrdinary(urgentPerSecond)
		w.fleet.schedule(40*time.Second, func() { w.fleet.nodes[0].slowFactor = 10 })
	}},
	{"worker leaves", func(w *workload) {
		w.addOrdinary(urgentPerSecond)
		w.fleet.schedule(60*time.Second, func() { w.fleet.nodes[0].leaving = true })
		w.fleet.schedule(60*time.Second+workerListDelay, func() { w.fleet.onNodeUnlisted(w.fleet.nodes[0]) })
		w.fleet.schedule(90*time.Second, func() { w.fleet.failNode(w.fleet.nodes[0]) })
	}},
	{"zone lost", func(w *workload) {
		w.addOrdinary(urgentPerSecond)
		w.fleet.schedule(60*time.Second, func() {
			w.zoneLost = true
			for _, n := range w.fleet.nodes {
				if n.zone == 0 {
					w.fleet.failNode(n)
					w.fleet.schedule(workerListDelay, func() { w.fleet.onNodeUnlisted(n) })
				}
			}
		})
	}},
}

// runScenario runs a scenario once and adds the figures to totals. It uses the
// first-fit policy if useFirstFit is set, and otherwise the decision code
// without the disabled mechanisms.
func runScenario(totals *result, s scenario, hardware hardwareProfile, seed uint64, useFirstFit bool, disabled string) {
	simFleet := newFleet(hardware, seed, totals)
	w := &workload{fleet: simFleet}
	s.build(w)
	if useFirstFit {
		f := &firstFit{fleet: simFleet, knownGone: map[*node]bool{}}
		w.policy, simFleet.onFreed, simFleet.onJobLost = f, f.onFreed, f.placeBatch
		simFleet.onNodeUnlisted = func(n *node) { f.knownGone[n] = true }
	} else {
		d := newDecisionDriver(simFleet, disabled)
		w.policy, simFleet.onFreed, simFleet.onJobLost = d, d.onFreed, d.placeBatch
		simFleet.onNodeUnlisted = func(n *node) { d.knownGone[n] = true }
	}
	simFleet.runUntil(runLength)
}
