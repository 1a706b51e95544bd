package cell

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/nearplace"
)

var nearTable = flag.Bool("near-table", false, "compare waits near data over all loads and factors")

// nearFleet is a fleet in virtual time whose workers, in racks r0, r1 and so on, run each task
// for its duration, and for RemoteFactor times as long away from its data.
type nearFleet struct {
	*Cell
	t     testing.TB
	now   time.Time
	infos []WorkerInfo
	runs  map[WorkerID][]nearRun
	ends  map[WorkerID]int64
	dead  map[string]bool // Racks that don't answer.
	// actual is the ratio of actual to estimated durations.
	actual float64
	// fixed is how long each task waits for its rack in any case, or 0.
	fixed     time.Duration
	submitted map[jobspec.ID]time.Time
	completed []time.Duration
	remote    int
	waits     []NearWait
	decisions []string
}

type nearRun struct {
	task       TaskID
	run        int64
	start, end time.Time
}

func newNearFleet(t testing.TB, config Config, racks, perRack int) *nearFleet {
	config.Epoch, config.RecoveryWait, config.MaxEarlierLease, config.EndedJobRetention = 1, 8*time.Second, testLease, time.Second
	f := &nearFleet{Cell: New(config), t: t, now: testStart, runs: map[WorkerID][]nearRun{}, ends: map[WorkerID]int64{}, dead: map[string]bool{},
		actual: 1, submitted: map[jobspec.ID]time.Time{}}
	for i := range racks * perRack {
		info := testInfo(WorkerID(fmt.Sprintf("w%03d", i)))
		info.Rack, info.Capacity = fmt.Sprintf("r%d", i/perRack), Size{CPU: 16000, MemoryMB: 64000}
		info.Labels = []string{info.Rack}
		f.infos = append(f.infos, info)
	}
	f.UpdateWorkers(f.now, f.infos)
	f.advance(300 * time.Millisecond)
	return f
}

func (f *nearFleet) submit(step jobspec.Step, objective time.Duration) jobspec.ID {
	id := jobspec.ID(fmt.Sprintf("%016x", len(f.submitted)+1))
	f.submitted[id] = f.now
	if f.fixed > 0 {
		step.Label = step.DataRack
	}
	f.Submit(f.now, 1, id, &jobspec.Job{Steps: []jobspec.Step{step}}, QueueTerms{Queue: "q", Pool: "pool", Attempts: 9, Stretch: 1.5, ObjectiveMillis: objective.Milliseconds()})
	f.take()
	return id
}

// advance lets each worker report its progress each 200 ms and ends at once, and the cell tick
// each 100 ms.
func (f *nearFleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(10 * time.Millisecond)
		step := int(f.now.Sub(testStart) / (10 * time.Millisecond))
		for i, info := range f.infos {
			if f.dead[info.Rack] {
				f.MarkUnresponsive(f.now, info.ID, time.Time{})
			} else {
				f.report(info.ID, (step+i)%20 == 0)
			}
		}
		if f.fixed > 0 {
			for id, at := range f.submitted {
				if j := f.jobs[id]; j != nil && f.now.Sub(at) >= f.fixed {
					j.spec.Steps[0].Label = ""
				}
			}
		}
		if step%10 == 0 {
			f.TermRenewed(f.now)
			f.Tick(f.now)
		}
		f.take()
	}
}

func (f *nearFleet) report(id WorkerID, progress bool) {
	report := newReport(id, f.now)
	report.LeaseUntil = f.now.Add(testLease)
	f.runs[id] = slices.DeleteFunc(f.runs[id], func(r nearRun) bool {
		if r.end.After(f.now) {
			report.Running = append(report.Running, RunReport{Task: r.task, Run: r.run, Percent: int(100 * f.now.Sub(r.start) / r.end.Sub(r.start))})
			return false
		}
		f.ends[id]++
		report.Ended = append(report.Ended, RunEnd{Number: f.ends[id], Task: r.task, Run: r.run, Reason: EndSucceeded})
		f.completed = append(f.completed, f.now.Sub(f.submitted[r.task.Job]))
		return true
	})
	if progress || len(report.Ended) > 0 {
		f.ApplyReport(f.now, report)
	}
}

func (f *nearFleet) take() {
	for effects := f.TakeEffects(f.now); ; effects = f.TakeEffects(f.now) {
		f.waits = append(f.waits, effects.NearWaits...)
		for _, e := range effects.Events {
			f.decisions = append(f.decisions, fmt.Sprint(f.now.UnixMilli(), e))
		}
		racks := map[StepID]map[string]bool{}
		for _, order := range effects.Starts {
			step := StepID{order.Task.Job, order.Task.Occurrence, order.Task.Step}
			if racks[step] == nil {
				racks[step] = map[string]bool{}
			}
			racks[step][f.workers[order.Worker].info.Rack] = true
		}
		for _, order := range effects.Starts {
			f.decisions = append(f.decisions, fmt.Sprint(f.now.UnixMilli(), order))
			spec, rack := &f.jobs[order.Task.Job].spec.Steps[0], f.workers[order.Worker].info.Rack
			random := rand.New(rand.NewPCG(uint64(order.Task.Index), uint64(f.submitted[order.Task.Job].UnixMilli())))
			duration := f.actual * (0.7 + 0.6*random.Float64()) * float64(spec.EstimateMillis)
			if spec.SameRack && len(racks[StepID{order.Task.Job, 0, 0}]) > 1 || spec.DataRack != "" && rack != spec.DataRack {
				duration *= f.config.RemoteFactor
				f.remote++
			}
			if spec.LongRunning {
				duration = 1e9
			}
			f.runs[order.Worker] = append(f.runs[order.Worker], nearRun{order.Task, order.Run, f.now, f.now.Add(time.Duration(duration) * time.Millisecond)})
			f.ApplyStartResult(f.now, newStartResult(order, StartAccepted, ""))
		}
		for _, order := range effects.Stops {
			f.decisions = append(f.decisions, fmt.Sprint(f.now.UnixMilli(), order))
		}
		if effects.Write != nil {
			f.MarkStored(f.now, effects.Write.Number)
		} else if len(effects.Starts) == 0 {
			return
		}
	}
}

func (f *nearFleet) outcomes() (counts [nearplace.OutcomeCount]int) {
	for _, w := range f.waits {
		assert.Assert(f.t, w.Duration <= nearplace.MaxWait, "a wait of %v", w.Duration)
		counts[w.Outcome]++
	}
	return counts
}

// load submits jobs of ten tasks whose data are in one rack for a time. load is the share of
// the capacity that they need near their data. Rack r0 holds twice as much data as others.
func (f *nearFleet) load(seed uint64, d time.Duration, load float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	racks := len(f.racks())
	perSecond := load * float64(16*len(f.infos)) / (10 * 8 * 0.75)
	for end := f.now.Add(d); f.now.Before(end); {
		f.advance(max(10*time.Millisecond, time.Duration(random.ExpFloat64()/perSecond*float64(time.Second))))
		f.submit(jobspec.Step{Count: 10, CPUMillis: 8000, MemoryMB: 500, EstimateMillis: int64(500 + random.IntN(500)), Image: "i",
			DataRack: fmt.Sprintf("r%d", max(0, random.IntN(racks+1)-1))}, 2*time.Second)
	}
}

func (f *nearFleet) racks() map[string]bool {
	racks := map[string]bool{}
	for _, info := range f.infos {
		racks[info.Rack] = true
	}
	return racks
}

// result returns the mean and the 99th percentile of the completion times of all tasks.
func (f *nearFleet) result() (mean, p99 time.Duration) {
	for range 600 {
		if len(f.completed) == 10*len(f.submitted) {
			break
		}
		f.advance(200 * time.Millisecond)
	}
	assert.Equal(f.t, len(f.completed), 10*len(f.submitted), "every task must end: a wait must not starve any")
	slices.Sort(f.completed)
	sum := time.Duration(0)
	for _, d := range f.completed {
		sum += d
	}
	return sum / time.Duration(len(f.completed)), f.completed[len(f.completed)*99/100]
}

// Compares waits that are decided on with never waiting and with a fixed wait. It fails if they
// cost completion time at any load, or save none where racks are hot, as with the mechanism off.
func TestNearWaitsAgainstSimplePolicies(t *testing.T) {
	loads, factors, d := []float64{0.3, 0.7}, []float64{2}, 15*time.Second
	if *nearTable {
		loads, factors, d = []float64{0.3, 0.5, 0.7, 0.9, 1.1, 1.3}, []float64{1.5, 2, 3}, 30*time.Second
	}
	for _, factor := range factors {
		for _, load := range loads {
			var means, tails [3]time.Duration
			line := ""
			for policy, config := range []Config{{}, {}, {NearWait: nearplace.MaxWait}} {
				config.RemoteFactor = factor
				f := newNearFleet(t, config, 8, 8)
				if policy == 1 {
					f.fixed = 500 * time.Millisecond
				}
				f.load(1, d, load)
				means[policy], tails[policy] = f.result()
				line += fmt.Sprintf(" | %d / %d ms, %d%% remote", means[policy].Milliseconds(), tails[policy].Milliseconds(), 100*f.remote/len(f.completed))
				if policy == 2 {
					line += fmt.Sprintf(" | %v", f.outcomes())
				}
			}
			t.Logf("| %.1f | %.1f%s |", factor, load, line)
			assert.Assert(t, float64(means[2]) < 1.03*float64(means[0]), "factor %v, load %v", factor, load)
			if load == 0.7 && factor == 2 {
				assert.Assert(t, float64(means[2]) < 0.9*float64(means[0]), "factor %v, load %v: no gain", factor, load)
			}
		}
	}
}

// Guards against a change of decisions where the setting is absent: the digest is of the
// decisions before waits existed.
func TestWithoutNearWaitDecisionsAreUnchanged(t *testing.T) {
	f := newNearFleet(t, Config{RemoteFactor: 2}, 3, 4)
	random := rand.New(rand.NewPCG(3, 3))
	for range 60 {
		f.advance(time.Duration(random.IntN(250)) * time.Millisecond)
		step := jobspec.Step{Count: 1 + random.IntN(6), CPUMillis: 2000 * (1 + random.IntN(4)), MemoryMB: 500, EstimateMillis: 500 + int64(random.IntN(1500)), Image: "i"}
		switch random.IntN(5) {
		case 0:
			step.Gang, step.SameRack = true, true
		case 1:
			step.BestEffort, step.Checkpointing, step.DataRack = true, true, "r1"
		case 2:
			step.Speculative, step.DataRack = true, "r2"
		case 3:
			step.LongRunning, step.Count, step.DataRack = true, 1, "r0"
		default:
			step.DataRack = "r0"
		}
		f.submit(step, time.Second)
	}
	f.infos[0].Draining = true
	f.UpdateWorkers(f.now, f.infos)
	f.advance(2 * time.Second)
	f.dead["r1"] = true
	f.advance(20 * time.Second)
	digest := fnv.New64a()
	for _, decision := range f.decisions {
		fmt.Fprintln(digest, decision)
	}
	assert.Equal(t, fmt.Sprintf("%d %016x", len(f.decisions), digest.Sum64()), unchangedDecisions)
	assert.Equal(t, len(f.waits), 0)
}

const unchangedDecisions = "614 0e900e113d44d7cb"

// hotRack returns a fleet of two racks of two servers. Rack r0 is full of runs of the given time,
// and r1 is free.
func hotRack(t *testing.T, run time.Duration, config Config) *nearFleet {
	config.RemoteFactor, config.NearWait = 3, time.Hour
	f := newNearFleet(t, config, 2, 2)
	f.submit(jobspec.Step{Count: 4, CPUMillis: 8000, MemoryMB: 500, EstimateMillis: run.Milliseconds(), Image: "busy", Label: "r0"}, time.Minute)
	f.advance(50 * time.Millisecond)
	assert.Equal(t, len(f.runs["w000"])+len(f.runs["w001"]), 4)
	return f
}

func nearStep(count int) jobspec.Step {
	return jobspec.Step{Count: count, CPUMillis: 8000, MemoryMB: 500, EstimateMillis: 1000, Image: "i", DataRack: "r0"}
}

// Each way in which a wait ends, and that none exceeds its bound, however wrong the forecast is
// and whatever the setting says.
func TestNearWaitEnds(t *testing.T) {
	for name, c := range map[string]struct {
		actual  float64
		during  func(*nearFleet, *task)
		outcome nearplace.Outcome
		remote  int
	}{
		"near":                   {1, func(*nearFleet, *task) {}, nearplace.PlacedNear, 0},
		"forecast 5 times short": {5, func(*nearFleet, *task) {}, nearplace.PlacedFar, 1},
		"room not suitable": {1, func(_ *nearFleet, t *task) {
			t.failedWorkers = []WorkerID{"w000", "w001"}
		}, nearplace.GaveUp, 1},
		"rack fails": {1, func(f *nearFleet, _ *task) { f.dead["r0"] = true }, nearplace.RackLost, 1},
		"rack leaves": {1, func(f *nearFleet, _ *task) {
			f.infos[0].Draining, f.infos[1].Draining = true, true
			f.UpdateWorkers(f.now, f.infos)
		}, nearplace.RackLost, 1},
	} {
		f := newNearFleet(t, Config{RemoteFactor: 3, NearWait: time.Hour}, 2, 2)
		f.actual = c.actual
		f.submit(jobspec.Step{Count: 4, CPUMillis: 8000, MemoryMB: 500, EstimateMillis: 600, Image: "busy", Label: "r0"}, time.Minute)
		f.advance(50 * time.Millisecond)
		id := f.submit(nearStep(1), time.Minute)
		task := f.jobs[id].occurrences[0].steps[0].tasks[0]
		assert.Assert(t, task.waitsNear(), name)
		c.during(f, task)
		f.advance(nearplace.MaxWait)
		assert.Assert(t, len(task.runs) == 1 || task.done, "%s: not started within the bound", name)
		assert.Equal(t, f.remote, c.remote, name)
		assert.Equal(t, len(f.waits), 1, name)
		assert.Equal(t, f.outcomes()[c.outcome], 1, "%s: %v", name, f.waits)
		logged := slices.ContainsFunc(f.decisions, func(d string) bool {
			return strings.Contains(d, "near wait") && strings.Contains(d, c.outcome.String()+", rack r0, expected ")
		})
		assert.Assert(t, logged, name)
	}
}

// Tasks that can't gain from a wait, or must not wait, start elsewhere at once.
func TestTasksThatStartFarAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		run    time.Duration
		change func(*jobspec.Step)
		config Config
	}{
		"long-running":         {500 * time.Millisecond, func(s *jobspec.Step) { s.LongRunning = true }, Config{}},
		"saves little":         {800 * time.Millisecond, func(s *jobspec.Step) { s.EstimateMillis = 100 }, Config{}},
		"frees too late":       {5 * time.Second, func(*jobspec.Step) {}, Config{}},
		"no server in rack":    {500 * time.Millisecond, func(s *jobspec.Step) { s.DataRack = "r9" }, Config{}},
		"label of other racks": {500 * time.Millisecond, func(s *jobspec.Step) { s.Label = "r1" }, Config{}},
	} {
		f := hotRack(t, c.run, c.config)
		step := nearStep(1)
		c.change(&step)
		id := f.submit(step, time.Minute)
		f.advance(50 * time.Millisecond)
		assert.Equal(t, len(f.jobs[id].occurrences[0].steps[0].tasks[0].runs), 1, name)
		assert.Equal(t, len(f.waits), 0, name)
	}
}

// A task that waits must not hold back others: neither those of its own step that have no share
// of the rack, nor others that take the room near its data.
func TestNearWaitHoldsBackNoOther(t *testing.T) {
	f := hotRack(t, 600*time.Millisecond, Config{})
	first := f.submit(nearStep(6), time.Minute)
	f.advance(20 * time.Millisecond)
	waiting, started := 0, 0
	for _, task := range f.jobs[first].occurrences[0].steps[0].tasks {
		if task.waitsNear() {
			waiting++
		}
		started += len(task.runs)
	}
	assert.Assert(t, waiting == 4 && started == 2, "%d tasks wait, %d are started", waiting, started)
	other := f.submit(jobspec.Step{Count: 1, CPUMillis: 8000, MemoryMB: 500, EstimateMillis: 1000, Image: "j"}, time.Minute)
	f.advance(20 * time.Millisecond)
	assert.Equal(t, len(f.jobs[other].occurrences[0].steps[0].tasks[0].runs), 1)
}

// A group starts in one rack if that has room soon, and spread over racks otherwise.
func TestGroupWaitsForOneRack(t *testing.T) {
	for run, near := range map[time.Duration]bool{500 * time.Millisecond: true, 5 * time.Second: false} {
		f := newNearFleet(t, Config{RemoteFactor: 2, NearWait: nearplace.MaxWait}, 2, 2)
		for _, rack := range []string{"r0", "r1"} {
			f.submit(jobspec.Step{Count: 2, CPUMillis: 8000, MemoryMB: 500, EstimateMillis: run.Milliseconds(), Image: "busy", Label: rack}, time.Minute)
		}
		f.advance(50 * time.Millisecond)
		step := nearStep(4)
		step.DataRack, step.Gang, step.SameRack = "", true, true
		id := f.submit(step, time.Minute)
		f.advance(50 * time.Millisecond)
		first := f.jobs[id].occurrences[0].steps[0].tasks[0]
		assert.Assert(t, first.waitsNear() == near && len(first.runs) == map[bool]int{true: 0, false: 1}[near], "%v", run)
		f.advance(nearplace.MaxWait)
		assert.Assert(t, first.done || len(first.runs) == 1)
		assert.Equal(t, f.remote, map[bool]int{true: 0, false: 4}[near], "%v", run)
		assert.Equal(t, f.outcomes()[nearplace.PlacedNear], map[bool]int{true: 1, false: 0}[near], "%v", run)
	}
}

// Guards against waits for racks that delay a startable task beyond the 3 s that the guarantees
// allow, or break another guarantee, whatever faults there are.
func TestStartableTasksStartWithNearWaits(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"crash", "drain", "leader", "loss", "longtasks", "advice"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			testLiveness(t, 5, nearWaits+","+kind, testMaxListedEnds)
		})
	}
}

// BenchmarkNearPass measures a pass over 6,000 ready tasks with data in 50 racks in a cell of
// 500 workers, of which none or 40 have room for one task each.
func BenchmarkNearPass(b *testing.B) {
	for _, free := range []int{0, 40} {
		for _, wait := range []time.Duration{0, 1500 * time.Millisecond} {
			b.Run(fmt.Sprintf("free=%d/wait=%v", free, wait), func(b *testing.B) { benchmarkNearPass(b, free, wait) })
		}
	}
}

func benchmarkNearPass(b *testing.B, free int, wait time.Duration) {
	f := newNearFleet(b, Config{RemoteFactor: 2, NearWait: wait}, 50, 10)
	f.SetStartsEnabled(false)
	step := jobspec.Step{Count: 10, CPUMillis: 8000, MemoryMB: 500, EstimateMillis: 800, Image: "i"}
	for i := range 700 {
		step.DataRack = fmt.Sprintf("r%d", i%50)
		f.submit(step, time.Minute)
	}
	for i, t := range f.readyTasks[:1000-free] {
		r := f.addRun(f.now, t, f.sortedWorkers()[i/2], 1)
		r.phase, r.runningSince = running, f.now.Add(-time.Duration(i%800)*time.Millisecond)
	}
	f.readyTasks = slices.Clone(f.readyTasks[1000:])
	f.SetStartsEnabled(true)
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		f.now = f.now.Add(time.Millisecond)
		for _, t := range f.readyTasks {
			t.readySince, t.step.retryAt = f.now, time.Time{}
		}
		ready := slices.Clone(f.readyTasks)
		f.rankedAt, f.reserve.updatedAt = f.now, f.now
		b.StartTimer()
		f.startReadyTasks(f.now)
		b.StopTimer()
		f.effects = Effects{}
		for _, t := range ready {
			if len(t.runs) > 0 {
				f.removeRun(t.runs[0])
				f.requeue(f.now, t)
			}
		}
		f.freedWorkers, f.rankedAt = nil, f.now
		b.StartTimer()
	}
}
