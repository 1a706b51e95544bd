package cell

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/evacuation"
	"poplarvalve/internal/version/workerspeed"
)

// speedFleet is a cell with workers of 64 cores whose speeds change over time. They report
// whole percents each 200 ms and at each end. Tasks take up to twice as long as their estimates,
// or half as long.
type speedFleet struct {
	*Cell
	t      testing.TB
	random *rand.Rand
	start  time.Time
	now    time.Time
	infos  []WorkerInfo
	runs   map[WorkerID][]*speedRun
	ends   map[WorkerID]int64
	// factor is by how much longer than usual tasks take on the i-th worker after a time.
	factor func(worker int, after time.Duration) float64
	// took is the time that each ended job took, as a multiple of the estimate of its tasks.
	submitted map[jobspec.ID]time.Time
	estimates map[jobspec.ID]time.Duration
	took      []float64
	// spread is 1, or 0 if all estimates are exact.
	spread  float64
	inTime  int
	moves   map[TaskID]int
	events  map[string]int
	started map[WorkerID]int
	jobs    int
	// underWay is the highest number of moves off slow workers at a time.
	underWay int
	// decisions lists what the cell has decided, if traced is set.
	decisions []string
	traced    bool
}

type speedRun struct {
	order StartOrder
	spec  *jobspec.Step
	// work is the usual duration, done what is done of it.
	work, done time.Duration
	stopAt     time.Time
}

func newSpeedFleet(t testing.TB, seed uint64, workers int, learn bool) *speedFleet {
	f := &speedFleet{t: t, spread: 1, random: rand.New(rand.NewPCG(seed, 1)), start: testStart, now: testStart, runs: map[WorkerID][]*speedRun{}, ends: map[WorkerID]int64{},
		submitted: map[jobspec.ID]time.Time{}, estimates: map[jobspec.ID]time.Duration{}, moves: map[TaskID]int{}, events: map[string]int{},
		started: map[WorkerID]int{}, factor: func(int, time.Duration) float64 { return 1 }}
	f.Cell = New(Config{Epoch: 1, RecoveryWait: 8 * time.Second, MaxEarlierLease: testLease, EndedJobRetention: time.Minute, RemoteFactor: 2, Evacuations: true, LearnSpeed: learn})
	for i := range workers {
		info := testInfo(WorkerID(fmt.Sprintf("w%04d", i)))
		info.Capacity = Size{CPU: 64_000, MemoryMB: 256_000}
		f.infos = append(f.infos, info)
	}
	f.UpdateWorkers(f.now, f.infos)
	f.SetEvacuations(evacuation.FromNewest(nil, 1))
	for _, info := range f.infos {
		f.report(info.ID)
	}
	f.take()
	return f
}

const speedStep = 20 * time.Millisecond

// advance lets time pass in steps; jobs arrive at the given rate.
func (f *speedFleet) advance(d time.Duration, jobsPerSecond float64, submit func()) {
	due := 0.0
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(speedStep)
		f.TermRenewed(f.now)
		for due += jobsPerSecond * speedStep.Seconds(); due >= 1; due-- {
			submit()
		}
		for i, info := range f.infos {
			ended := f.work(i, info.ID)
			if len(ended) > 0 || (int(f.now.Sub(f.start)/speedStep)+i)%10 == 0 {
				f.report(info.ID, ended...)
			}
		}
		if f.now.Sub(f.start)%(100*time.Millisecond) == 0 {
			f.Tick(f.now)
		}
		f.take()
	}
}

// work advances the runs of a worker, and returns those that end.
func (f *speedFleet) work(i int, id WorkerID) []RunEnd {
	var ended []RunEnd
	factor := f.factor(i, f.now.Sub(f.start))
	f.runs[id] = slices.DeleteFunc(f.runs[id], func(r *speedRun) bool {
		r.done += time.Duration(float64(speedStep) / factor)
		reason := EndSucceeded
		switch {
		case r.spec.LongRunning, r.done < r.work:
			if r.stopAt.IsZero() || f.now.Before(r.stopAt) {
				return false
			}
			reason = EndStopped
		}
		f.ends[id]++
		end := RunEnd{Number: f.ends[id], Task: r.order.Task, Run: r.order.Run, Reason: reason}
		if reason == EndStopped && r.spec.Checkpointing {
			end.Checkpoint = fmt.Sprint(int64(r.done))
		}
		ended = append(ended, end)
		return true
	})
	return ended
}

func (f *speedFleet) report(id WorkerID, ended ...RunEnd) {
	report := newReport(id, f.now)
	report.LeaseUntil = f.now.Add(testLease)
	report.Ended = ended
	for _, r := range f.runs[id] {
		report.Running = append(report.Running, RunReport{Task: r.order.Task, Run: r.order.Run, Percent: min(99, int(100*r.done/max(1, r.work))), Measurement: r.spec.CPUMillis})
	}
	f.ApplyReport(f.now, report)
}

func (f *speedFleet) take() {
	for {
		effects := f.TakeEffects(f.now)
		if f.traced {
			f.decisions = append(f.decisions, fmt.Sprintf("%+v %+v %+v %+v", effects.Starts, effects.Stops, effects.Throttles, effects.Events))
		}
		under := 0
		for _, m := range f.Cell.moves {
			if m.forSpeed {
				under++
			}
		}
		f.underWay = max(f.underWay, under)
		for _, order := range effects.Starts {
			f.begin(order)
		}
		for _, stop := range effects.Stops {
			for _, r := range f.runs[stop.Worker] {
				if r.order.Task == stop.Task && r.order.Run == stop.Run && r.stopAt.IsZero() {
					r.stopAt = f.now.Add(40 * time.Millisecond)
				}
			}
		}
		for _, e := range effects.Events {
			f.record(e)
		}
		if effects.Write == nil && len(effects.Starts) == 0 {
			return
		}
		if effects.Write != nil {
			f.MarkStored(f.now, effects.Write.Number)
		}
	}
}

func (f *speedFleet) record(e DecisionEvent) {
	f.events[e.Event]++
	switch {
	case e.Event == "run moved":
		f.moves[e.Task]++
	case e.Event == "job ended" && e.Outcome == "completed":
		took := f.now.Sub(f.submitted[e.Task.Job])
		f.took = append(f.took, took.Seconds()/f.estimates[e.Task.Job].Seconds())
		if took <= f.objective(f.Cell.jobs[e.Task.Job]) {
			f.inTime++
		}
	}
}

// begin starts a run. It checks that the task has no other run, unless its step is speculative,
// and that the worker has room.
func (f *speedFleet) begin(order StartOrder) {
	spec := f.Cell.jobs[order.Task.Job].findTask(order.Task).spec()
	f.started[order.Worker]++
	used := 0
	for id, runs := range f.runs {
		for _, r := range runs {
			if r.order.Task == order.Task && !spec.Speculative {
				f.t.Fatalf("%v runs on %s and %s", order.Task, id, order.Worker)
			}
			if id == order.Worker && !r.spec.BestEffort {
				used += r.spec.CPUMillis
			}
		}
	}
	if !spec.BestEffort && used+spec.CPUMillis > 64_000 {
		f.t.Fatalf("%s has no room", order.Worker)
	}
	work := time.Duration(float64(spec.EstimateMillis) * math.Exp2(f.spread*(2*f.random.Float64()-1)) * float64(time.Millisecond))
	r := &speedRun{order: order, spec: spec, work: work}
	fmt.Sscan(order.Checkpoint, (*int64)(&r.done))
	f.runs[order.Worker] = append(f.runs[order.Worker], r)
	f.ApplyStartResult(f.now, newStartResult(order, StartAccepted, ""))
}

func (f *speedFleet) submitTo(step jobspec.Step, objective time.Duration) jobspec.ID {
	f.jobs++
	id := jobspec.ID(fmt.Sprintf("%016x", f.jobs))
	f.submitted[id] = f.now
	f.estimates[id] = time.Duration(step.EstimateMillis) * time.Millisecond
	f.Submit(f.now, uint64(f.jobs), id, &jobspec.Job{Steps: []jobspec.Step{step}}, QueueTerms{Queue: "q", Pool: "pool", Attempts: 3, Stretch: 2, ObjectiveMillis: objective.Milliseconds()})
	return id
}

// interactive submits a job of ten tasks of 0.5 to 1 s on eight cores.
func (f *speedFleet) interactive() {
	f.submitTo(jobspec.Step{Count: 10, CPUMillis: 8000, MemoryMB: 100, EstimateMillis: 500 + f.random.Int64N(500), Image: fmt.Sprintf("fast%d", f.random.IntN(4))}, time.Second)
}

// figures are what a load has shown: the mean and the 99th percentile of the completion, as a
// multiple of the estimate, and the share of jobs that missed their objective.
type figures struct{ mean, p99, late float64 }

func (f *speedFleet) figures() figures {
	assert.Equal(f.t, len(f.took), f.jobs, "all jobs have ended")
	sorted := slices.Sorted(slices.Values(f.took))
	sum := 0.0
	for _, took := range sorted {
		sum += took
	}
	n := len(sorted)
	return figures{sum / float64(n), sorted[n*99/100], 1 - float64(f.inTime)/float64(n)}
}

// mostMoves returns how often a task was moved at most.
func (f *speedFleet) mostMoves() int {
	most := 0
	for _, n := range f.moves {
		most = max(most, n)
	}
	return most
}

// speedLoads are the loads under which the mechanism is compared with none.
var speedLoads = []struct {
	name string
	// factor is that of the i-th of 24 workers after a time.
	factor func(worker int, after time.Duration) float64
	// cold is for how long a third of the workers is announced as cold.
	cold time.Duration
	// mean, p99 and late are the most that the figures may be, as a share of those without the
	// mechanism.
	mean, p99, late float64
}{
	{name: "step of 15%", factor: func(worker int, after time.Duration) float64 {
		return slowIf(worker%7 == 3 && after > 5*time.Second && after < 11*time.Second, 7)
	}, mean: 0.95, p99: 0.9, late: 0.5},
	{name: "wave", factor: func(worker int, after time.Duration) float64 {
		since := after - 4*time.Second - time.Duration(worker%12)*1500*time.Millisecond
		return slowIf(since > 0 && since < 6*time.Second, 7)
	}, mean: 0.8, p99: 1, late: 0.6},
	{name: "third slow at once", factor: func(worker int, after time.Duration) float64 {
		return slowIf(worker%3 == 0 && after < 8*time.Second, 5)
	}, mean: 0.95, p99: 1, late: 0.8},
	{name: "third cold at once", factor: func(worker int, after time.Duration) float64 {
		return slowIf(worker%3 == 0 && after < 8*time.Second, 5)
	}, cold: 8 * time.Second, mean: 0.95, p99: 0.75, late: 0.5},
	{name: "oscillation", factor: func(worker int, after time.Duration) float64 {
		return slowIf(worker%6 == 1 && int(after/time.Second)%3 == 0, 7)
	}, mean: 0.97, p99: 1.05, late: 1},
}

func slowIf(slow bool, factor float64) float64 {
	if slow {
		return factor
	}
	return 1
}

// playSpeeds plays a load of interactive jobs that uses about two thirds of all cores.
func playSpeeds(t testing.TB, kind int, seed uint64, learn bool) *speedFleet {
	f := newSpeedFleet(t, seed, 24, learn)
	load := speedLoads[kind]
	f.factor = load.factor
	if load.cold > 0 {
		for i := 0; i < len(f.infos); i += 3 {
			f.infos[i].ColdUntil = f.start.Add(load.cold)
		}
		f.UpdateWorkers(f.now, f.infos)
	}
	f.advance(18*time.Second, 16, f.interactive)
	f.advance(14*time.Second, 0, nil)
	return f
}

// Load: workers that become slow beside interactive jobs of ten tasks. Without knowledge of
// speeds one task of many jobs runs on a slow worker and makes its job late. The moves must stay
// bounded, also if workers change their speed all the time.
func TestLearnedSpeedsKeepJobsInTime(t *testing.T) {
	for i, load := range speedLoads {
		off, on := playSpeeds(t, i, 1, false), playSpeeds(t, i, 1, true)
		without, with := off.figures(), on.figures()
		t.Logf("%s: mean %.2f to %.2f, 99th percentile %.2f to %.2f, late %.1f%% to %.1f%%; %d times slow, %d moves, %d at a time", load.name, without.mean, with.mean,
			without.p99, with.p99, 100*without.late, 100*with.late, on.events["worker slow"], on.events["run moved"], on.underWay)
		assert.Assert(t, with.mean <= load.mean*without.mean && with.p99 <= load.p99*without.p99, load.name)
		assert.Assert(t, with.late <= max(0.02, load.late*without.late), load.name)
		assert.Equal(t, off.events["worker slow"]+off.events["run moved"], 0)
		assert.Equal(t, on.events["worker slow"], on.events["worker speed recovered"], "no worker is given up")
		assert.Assert(t, on.mostMoves() <= maxSpeedMoves && on.underWay <= workerspeed.MaxMoves(24))
		assert.Assert(t, on.events["run moved"] <= on.jobs*10/20, "a twentieth of the tasks")
	}
}

// A task that takes twice as long as its estimate, or half as long, must not make a worker slow:
// moves would lose work for nothing.
func TestUsualSpeedsCauseNoMoves(t *testing.T) {
	for seed := range uint64(3) {
		f := newSpeedFleet(t, seed, 24, true)
		f.advance(15*time.Second, 16, f.interactive)
		assert.Equal(t, f.events["worker slow"]+f.events["run moved"], 0)
	}
}

// With the setting off, neither may anything be learned nor any decision depend on what is known
// of speeds: one of two cells is told before each step that a third of its workers is slow.
func TestSpeedsDecideNothingUnlessEnabled(t *testing.T) {
	play := func(told bool) []string {
		f := newSpeedFleet(t, 1, 9, false)
		f.factor, f.traced = speedLoads[0].factor, true
		for range 400 {
			for i, w := range f.sortedWorkers() {
				if told && i%3 == 0 {
					makeSlow(f.now, w)
				} else {
					assert.Assert(t, w.speed == workerspeed.Estimate{})
				}
				for _, r := range w.runs {
					assert.Assert(t, r.pace == workerspeed.Progress{})
				}
			}
			f.advance(speedStep, 0, nil)
			if f.random.IntN(6) == 0 {
				f.interactive()
			}
		}
		return f.decisions
	}
	assert.DeepEqual(t, play(false), play(true))
}

// makeSlow lets a worker be known as slow.
func makeSlow(now time.Time, w *worker) {
	for range 6 {
		p := &workerspeed.Progress{}
		p.Begin(now.Add(-time.Second))
		p.Observe(now, 12, time.Second)
		w.speed.ObserveEnd(now, p)
	}
	w.speed.Assess(now, workerspeed.Fleet{}, time.Time{})
}

// Runs that must not be stopped stay on a slow worker; speculative ones get copies. The others
// are moved, and go on from their checkpoints.
func TestWhichRunsLeaveSlowWorker(t *testing.T) {
	plain := jobspec.Step{Count: 4, CPUMillis: 8000, MemoryMB: 100, EstimateMillis: 1500}
	with := func(change func(*jobspec.Step)) jobspec.Step {
		changed := plain
		change(&changed)
		return changed
	}
	tests := []struct {
		name          string
		step          jobspec.Step
		prepare       func(f *speedFleet, s *step)
		moves, copies int
	}{
		{name: "plain", step: plain, moves: 4},
		{name: "with checkpoints", step: with(func(s *jobspec.Step) { s.Checkpointing = true }), moves: 4},
		{name: "gang", step: with(func(s *jobspec.Step) { s.Gang = true })},
		{name: "long-running", step: with(func(s *jobspec.Step) { s.LongRunning = true })},
		{name: "speculative", step: with(func(s *jobspec.Step) { s.Speculative = true }), copies: 4},
		{name: "workers crashed", step: plain, prepare: func(_ *speedFleet, s *step) {
			for _, t := range s.tasks {
				t.crashes = 1
			}
		}},
		{name: "moved before", step: plain, prepare: func(_ *speedFleet, s *step) {
			for _, t := range s.tasks {
				t.speedMoves = maxSpeedMoves
			}
		}},
		{name: "no place", step: plain, prepare: func(f *speedFleet, _ *step) {
			f.submitTo(jobspec.Step{Count: 5, CPUMillis: 60_000, MemoryMB: 100, EstimateMillis: 20_000}, 0)
		}},
	}
	for _, test := range tests {
		f := newSpeedFleet(t, 2, 6, true)
		f.spread = 0
		id := f.submitTo(test.step, time.Second)
		f.advance(300*time.Millisecond, 0, nil)
		s := f.Cell.jobs[id].occurrences[0].steps[0]
		assert.Equal(t, len(s.tasks[0].runs), 1)
		slow := s.tasks[0].runs[0].worker
		if test.prepare != nil {
			test.prepare(f, s)
		}
		f.factor = func(worker int, _ time.Duration) float64 { return slowIf(f.infos[worker].ID == slow.info.ID, 7) }
		f.advance(1500*time.Millisecond, 0, nil)
		assert.Equal(t, f.events["run moved"], test.moves, test.name)
		assert.Equal(t, f.events["copy started"], test.copies, test.name)
	}
}

// A tight task waits for a while for a worker of usual speed, a patient one takes what is free,
// and where all workers are slow nothing waits: they must stay usable.
func TestWhoTakesSlowWorker(t *testing.T) {
	start := func(slow int, estimate int64, bestEffort bool, objective time.Duration) time.Duration {
		f := newSpeedFleet(t, 3, 3, true)
		f.submitTo(jobspec.Step{Count: 2, CPUMillis: 60_000, MemoryMB: 100, LongRunning: true}, 0)
		f.advance(200*time.Millisecond, 0, nil)
		for _, w := range f.sortedWorkers() {
			if slow == 3 || slow == 1 && len(w.runs) == 0 {
				w.info.ColdUntil = f.now.Add(20 * time.Second)
			}
		}
		f.infos = nil // What is known stays as it is.
		for _, w := range f.sortedWorkers() {
			f.infos = append(f.infos, w.info)
		}
		f.advance(300*time.Millisecond, 0, nil)
		id := f.submitTo(jobspec.Step{Count: 1, CPUMillis: 8000, MemoryMB: 100, EstimateMillis: estimate, BestEffort: bestEffort}, objective)
		for waited := time.Duration(0); ; waited += speedStep {
			f.advance(speedStep, 0, nil)
			if len(f.Cell.jobs[id].occurrences[0].steps[0].tasks[0].runs) > 0 {
				return waited
			}
		}
	}
	assert.Assert(t, start(0, 800, false, 0) < 100*time.Millisecond)
	tight := start(1, 800, false, 0)
	assert.Assert(t, tight > 500*time.Millisecond && tight <= 1200*time.Millisecond, "%v", tight)
	assert.Assert(t, start(1, 800, false, time.Minute) < 100*time.Millisecond, "much time is left")
	assert.Assert(t, start(1, 200, true, 3*time.Second) < 100*time.Millisecond, "best effort")
	assert.Assert(t, start(3, 800, false, 0) < 100*time.Millisecond, "all are slow")
}

// What is no evidence must not make a worker slow: throttled runs, best-effort runs beside a
// service over its target, and an earlier incarnation.
func TestWhatShowsNoSpeed(t *testing.T) {
	f := newSpeedFleet(t, 4, 2, true)
	id := f.submitTo(jobspec.Step{Count: 4, CPUMillis: 8000, MemoryMB: 100, EstimateMillis: 4000, BestEffort: true}, time.Second)
	f.advance(500*time.Millisecond, 0, nil)
	r := f.Cell.jobs[id].occurrences[0].steps[0].tasks[0].runs[0]
	assert.Assert(t, f.showsSpeed(r))
	r.throttle = 50
	assert.Assert(t, !f.showsSpeed(r))
	r.throttle = 100
	r.worker.bestEffort.overSince = f.now
	assert.Assert(t, !f.showsSpeed(r))
	makeSlow(f.now, r.worker)
	assert.Assert(t, r.worker.speed.IsSlow())
	f.handleRestart(f.now, r.worker, Report{Worker: r.worker.info.ID, Incarnation: 2, Sent: f.now, Complete: true})
	assert.Equal(t, r.worker.speed, workerspeed.Estimate{})
}

// percentOf returns the progress that a worker reports of a run.
func (s *simulation) percentOf(w *simWorker, run *simRun) int {
	percent := 50 + s.random.IntN(49)
	if s.slowness == nil || run.spec.EstimateMillis == 0 {
		return percent
	}
	return int(min(99, 100*s.now.Sub(run.begin).Seconds()/(float64(run.spec.EstimateMillis)/1000*s.slowness(w))))
}

// Moves off slow workers must keep the guarantees when leaders are lost in the middle of them,
// workers crash and answers are lost: a task would run twice, or never again.
func TestGuaranteesHoldWhileSpeedsAreLearned(t *testing.T) {
	moved := 0
	for seed := range uint64(6) {
		s := newSimulation(t, seed, 12)
		s.slowness = func(w *simWorker) float64 {
			return slowIf((slices.Index(s.workers, w)+int(s.now.Unix())/6)%5 == 0, 7)
		}
		s.playRandomFaults()
		moved += s.movedForSpeed
	}
	assert.Assert(t, moved > 0)
	t.Logf("%d moves", moved)
}

// BenchmarkSpeedPass measures the reports of 500 workers with 6,000 running tasks, of which 15%
// are slow and no other has room, and one tick with its effects.
func BenchmarkSpeedPass(b *testing.B) {
	for _, part := range []string{"reports", "tick"} {
		for _, learn := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/learn=%v", part, learn), func(b *testing.B) {
				var f *speedFleet
				for i := range b.N {
					b.StopTimer()
					if i%200 == 0 {
						f = newBusyFleet(b, learn)
					}
					f.passBusy(b, part)
				}
			})
		}
	}
}

func newBusyFleet(b *testing.B, learn bool) *speedFleet {
	f := newSpeedFleet(b, 5, 500, learn)
	for range 500 {
		f.submitTo(jobspec.Step{Count: 12, CPUMillis: 5000, MemoryMB: 100, EstimateMillis: 60_000, Image: "image"}, time.Second)
	}
	f.take()
	f.factor = func(worker int, _ time.Duration) float64 { return slowIf(worker%7 == 3, 7) }
	f.advance(3*time.Second, 0, nil)
	if slow := f.SlowWorkers(); learn && slow < 60 {
		b.Fatalf("%d workers are slow", slow)
	}
	return f
}

// passBusy lets 100 ms pass and measures one part of what the cell does.
func (f *speedFleet) passBusy(b *testing.B, part string) {
	f.now = f.now.Add(100 * time.Millisecond)
	f.TermRenewed(f.now)
	for i, info := range f.infos {
		for range 5 {
			f.work(i, info.ID)
		}
	}
	if part == "reports" {
		b.StartTimer()
	}
	for _, info := range f.infos {
		f.report(info.ID)
	}
	if part == "tick" {
		b.StartTimer()
	}
	f.Tick(f.now)
	f.take()
	b.StopTimer()
}
