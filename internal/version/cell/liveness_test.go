package cell

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/nearplace"
)

const (
	// calmBefore is how long no fault must have happened before a task is expected to
	// start within startWithin.
	calmBefore  = 4 * time.Second
	startWithin = 3 * time.Second
	// longRunningPause is how long after its last run a long-running task must be
	// startable before it counts as waiting.
	longRunningPause = 6 * time.Second
	// livenessPeriod is the time between two checks.
	livenessPeriod = 200 * time.Millisecond
)

// watchLiveness checks again and again that each task that could run is started.
func (s *simulation) watchLiveness() {
	s.checkLiveness()
	s.schedule(livenessPeriod, s.watchLiveness)
}

func (s *simulation) checkLiveness() {
	if s.storeDown || s.lossRate > 0 || s.network.isSplit() {
		s.disturbedAt = s.now
	}
	if s.cell == nil || s.now.Sub(s.disturbedAt) < calmBefore {
		clear(s.startable)
		return
	}
	waiting := map[TaskID]bool{}
	for _, id := range slices.Sorted(maps.Keys(s.openJobs)) {
		state, found := s.cell.Lookup(id)
		if found && state.IsFinal() || s.canceled[id] {
			delete(s.openJobs, id)
			continue
		}
		if record, stored := s.stored.jobs[id]; stored && found {
			s.checkJob(&record, waiting)
		}
	}
	maps.DeleteFunc(s.startable, func(id TaskID, _ time.Time) bool { return !waiting[id] })
}

// checkJob checks the tasks of a job that could be started, and adds them to waiting.
func (s *simulation) checkJob(record *JobRecord, waiting map[TaskID]bool) {
	for number := range record.Job.OccurrenceCount() {
		if s.now.Before(record.Job.DueTime(number)) {
			return
		}
		for index := range record.Job.Steps {
			s.checkStep(record, number, index, waiting)
		}
	}
}

func (s *simulation) checkStep(record *JobRecord, number, index int, waiting map[TaskID]bool) {
	spec := &record.Job.Steps[index]
	for _, earlier := range spec.DependsOn {
		for task := range record.Job.Steps[earlier].Count {
			if !s.isDone(TaskID{record.ID, number, earlier, task}) {
				return
			}
		}
	}
	roomChecked, hasRoom := false, false
	for task := range spec.Count {
		id := TaskID{record.ID, number, index, task}
		if s.isDone(id) || s.hasLiveRun(id) {
			continue
		}
		if spec.LongRunning && s.now.Sub(s.lastRunAt[id]) < longRunningPause {
			continue
		}
		if !roomChecked {
			roomChecked, hasRoom = true, s.hasRoomForTwo(record, index, spec)
		}
		if !hasRoom {
			return
		}
		waiting[id] = true
		since, known := s.startable[id]
		if !known {
			s.startable[id] = s.now
		} else if s.now.Sub(since) >= startWithin {
			s.t.Fatalf("at %.3f, task %v could run since %.3f and doesn't (%+v): %s\n%s", s.seconds(), id,
				float64(since.UnixMicro()-1e9)/1e6, *spec, s.taskTrace(id), s.state(id))
		}
	}
}

// isDone reports whether a task is done, or the leader has learned of a successful end
// that came too late to count otherwise.
func (s *simulation) isDone(id TaskID) bool {
	if s.done[id] {
		return true
	}
	t := s.cell.jobs[id.Job].findTask(id)
	return t == nil || t.done
}

func (s *simulation) hasLiveRun(id TaskID) bool {
	spec := s.stored.jobs[id.Job].Job.Steps[id.Step]
	for _, w := range s.workers {
		if w.crashed {
			continue
		}
		if w.runs[id] != nil {
			return true
		}
		if !spec.Gang {
			continue
		}
		for other := range w.runs {
			if other.Job == id.Job && other.Occurrence == id.Occurrence && other.Step == id.Step {
				return true // The gang is ending, or its other members are being started.
			}
		}
	}
	return false
}

// hasRoomForTwo reports whether the workers have capacity for the task, or its gang,
// twice over. Unless the step is long-running, less than half of the whole capacity must
// be in use as well.
func (s *simulation) hasRoomForTwo(record *JobRecord, index int, spec *jobspec.Step) bool {
	size := Size{CPU: spec.CPUMillis, MemoryMB: spec.MemoryMB}
	used, capacity, places := 0, 0, 0
	step := StepID{Job: record.ID, Step: index}
	for _, w := range s.workers {
		if !w.reachable() || w.listed == nil || w.listed.Draining || w.sick || w.mute {
			continue
		}
		// CPU that best-effort runs use is not free for other best-effort tasks.
		inUse := w.used()
		used += w.declaredCPU()
		capacity += min(w.info.Capacity.CPU, w.listed.Capacity.CPU)
		if spec.Label != "" && !slices.Contains(w.info.Labels, spec.Label) || record.Terms.Advice != nil && !adviceAllows(step, w.info.ID) {
			continue
		}
		if spec.BestEffort {
			inUse.CPU = w.declaredCPU()
			if s.hasService(w) {
				continue
			}
		}
		free := w.info.Capacity.minus(inUse)
		if listedFree := w.listed.Capacity.minus(inUse); !listedFree.canHold(free) {
			free = listedFree
		}
		onWorker := 0
		for other := range w.runs {
			if other.Job == record.ID && other.Step == index {
				onWorker++
			}
		}
		for free.canHold(size) && (spec.MaxPerWorker == 0 || onWorker < spec.MaxPerWorker) && size.CPU > 0 {
			places++
			onWorker++
			free = free.minus(size)
		}
	}
	needed := 2
	if spec.Gang {
		needed = 2 * spec.Count
	}
	return places >= needed && (spec.LongRunning || 2*used < capacity)
}

func (s *simulation) hasService(w *simWorker) bool {
	for _, run := range w.runs {
		if run.spec.LatencyTargetMillis > 0 {
			return true
		}
	}
	return false
}

// state describes what the cell knows that bears on a task.
func (s *simulation) state(id TaskID) string {
	var lines []string
	t := s.cell.jobs[id.Job].findTask(id)
	lines = append(lines, fmt.Sprintf("task queued %v runs %d opened %v retryAt %v recovered %v recovering %d inflight %d ready %d paused %v", t.queued, len(t.runs), t.step.opened,
		t.step.retryAt.Sub(s.now), s.cell.recoveryDone(s.now), len(s.cell.recovering), s.cell.adviceCallsInFlight, len(s.cell.readyTasks), s.cell.startsPaused))
	for _, r := range t.runs {
		lines = append(lines, fmt.Sprintf("run %d on %s phase %d startToken %d", r.number, r.worker.info.ID, r.phase, r.startToken))
	}
	for _, sw := range s.workers {
		w := s.cell.workers[sw.info.ID]
		line := fmt.Sprintf("%s incarnation %d real %v runs %d crashed %v cut %v listed %v", sw.info.ID, sw.incarnation, sw.info.Capacity, len(sw.runs), sw.crashed, sw.cut, sw.listed != nil)
		if w != nil {
			line += fmt.Sprintf(" | known incarnation %d capacity %v reserved %v runs %d registered %v renewed %v unresponsive %v unknownRuns %v blocked %v failures %d trust %v", w.info.Incarnation,
				w.info.Capacity, w.reserved, len(w.runs), w.registered, w.renewed, w.unresponsive, w.hasUnknownRuns, s.now.Before(w.startsBlockedUntil), w.health.weight(), w.trust(s.now))
		}
		if session := s.leader.sessions[sw.info.ID]; session != nil {
			line += fmt.Sprintf(" | session token %d worker token %d closed %v", session.token, sw.token, session.closed)
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// Faults of a day. Each is scheduled over the given duration.

func (s *simulation) someWorkers() []*simWorker {
	if s.random.IntN(4) == 0 {
		return s.workers
	}
	count := 1 + s.random.IntN(len(s.workers))
	var chosen []*simWorker
	for _, i := range s.random.Perm(len(s.workers))[:count] {
		chosen = append(chosen, s.workers[i])
	}
	return chosen
}

func (s *simulation) millis(low, high int) time.Duration {
	return time.Duration(low+s.random.IntN(high-low)) * time.Millisecond
}

// every schedules a callback at random times until the end of the day.
func (s *simulation) every(day time.Duration, low, high int, callback func()) {
	for at := s.millis(low/2, high); at < day; at += s.millis(low, high) {
		s.schedule(at, callback)
	}
}

func scaled(size Size, percent int) Size {
	return Size{CPU: size.CPU * percent / 100, MemoryMB: size.MemoryMB * percent / 100, GPU: size.GPU * percent / 100}
}

func (s *simulation) shrinkCapacity() {
	percent := []int{10, 30, 50, 80}[s.random.IntN(4)]
	chosen := s.someWorkers()
	s.addFault("capacity of %d workers at %d%%", len(chosen), percent)
	for _, w := range chosen {
		w.info.Capacity = scaled(w.fullSize, percent)
	}
	s.schedule(s.millis(1000, 9000), func() {
		s.addFault("capacity restored")
		for _, w := range chosen {
			w.info.Capacity = w.fullSize
		}
	})
}

func (s *simulation) crashSome(lowerIncarnation bool) {
	for _, w := range s.someWorkers()[:1] {
		step := int64(1 + s.random.IntN(5000))
		if lowerIncarnation && s.random.IntN(2) == 0 {
			step = -step
		}
		s.crashWithStep(w, s.millis(200, 6000), step)
	}
}

func (s *simulation) cutSome(high int) {
	chosen := s.someWorkers()
	s.addFault("cut of %d workers", len(chosen))
	for _, w := range chosen {
		w.cut = true
	}
	// Until then, a lease that was prolonged just before the cut was noticed may hold.
	s.schedule(4*time.Second, func() { s.addFault("leases of workers that are still cut off end") })
	s.schedule(s.millis(1000, high), func() {
		s.addFault("cut ends")
		for _, w := range chosen {
			w.cut = false
		}
	})
}

// unlistSome keeps workers from writing to the registry.
func (s *simulation) unlistSome() {
	chosen := s.someWorkers()
	s.addFault("%d workers can't reach the registry", len(chosen))
	for _, w := range chosen {
		w.unlistedByFault = true
	}
	s.schedule(s.millis(1000, 8000), func() {
		s.addFault("registry reached again")
		for _, w := range chosen {
			w.unlistedByFault = false
		}
	})
}

// storeOutage makes the log and the registry unreachable; entries may expire meanwhile.
func (s *simulation) storeOutage() {
	if s.storeDown {
		return
	}
	s.addFault("log down")
	s.storeDown = true
	expire := s.random.IntN(2) == 0
	c := s.cell
	s.schedule(s.millis(1000, 9000), func() {
		if c != s.cell {
			return
		}
		s.addFault("log up")
		if expire {
			for _, w := range s.workers {
				w.listed = nil
			}
			s.registryChanged = true
		}
		s.storeUp()
	})
}

// storeUp ends an outage of the log.
func (s *simulation) storeUp() {
	s.storeDown = false
	writes := s.delayedWrites
	s.delayedWrites = nil
	for _, write := range writes {
		write()
	}
}

func (s *simulation) loseMessages(rate float64) {
	s.addFault("messages are lost")
	s.lossRate = rate
	s.schedule(s.millis(1000, 6000), func() {
		s.addFault("no more messages are lost")
		s.lossRate = 0
	})
}

func (s *simulation) sickWorkers() {
	chosen := s.someWorkers()
	s.addFault("%d workers are sick", len(chosen))
	for _, w := range chosen {
		w.sick = true
	}
	s.schedule(s.millis(2000, 9000), func() {
		s.addFault("workers are well")
		for _, w := range chosen {
			w.sick = false
		}
	})
}

func (s *simulation) drainSome() {
	chosen := s.someWorkers()
	s.addFault("%d workers drain", len(chosen))
	for _, w := range chosen {
		w.info.Draining = true
	}
	s.schedule(s.millis(1000, 6000), func() {
		s.addFault("drain ends")
		for _, w := range chosen {
			w.info.Draining = false
		}
	})
}

func (s *simulation) cancelSome() {
	if len(s.openJobs) == 0 {
		return
	}
	open := slices.Sorted(maps.Keys(s.openJobs))
	id := open[s.random.IntN(len(open))]
	s.requests++
	if s.cell.Cancel(s.now, s.requests, id) {
		s.canceled[id] = true
		s.trace = append(s.trace, fmt.Sprintf("fault %.3f cancel of %s", s.seconds(), id))
		s.applyEffects(s.cell)
	}
}

// Jobs of a day.

func longTasksJob(r *rand.Rand) *jobspec.Job {
	return &jobspec.Job{Steps: []jobspec.Step{{Count: 1 + r.IntN(8), CPUMillis: 1000 + r.IntN(3000), MemoryMB: 2000, EstimateMillis: 15000}}}
}

func gangJob(r *rand.Rand) *jobspec.Job {
	return &jobspec.Job{Steps: []jobspec.Step{{Count: 2 + r.IntN(5), CPUMillis: 1000 + r.IntN(6000), MemoryMB: 2000, EstimateMillis: 3000,
		Gang: true, SameRack: r.IntN(2) == 0, MaxPerWorker: r.IntN(3), Checkpointing: true}}}
}

func spreadJob(r *rand.Rand) *jobspec.Job {
	return &jobspec.Job{Steps: []jobspec.Step{{Count: 1 + r.IntN(5), CPUMillis: 1000 + r.IntN(6000), MemoryMB: 2000, EstimateMillis: 2000,
		MaxPerWorker: 1 + r.IntN(2), Label: []string{"", "third"}[r.IntN(2)], DataRack: []string{"", "r0"}[r.IntN(2)]}}}
}

func failingJob(r *rand.Rand) *jobspec.Job {
	return &jobspec.Job{Spec: "fail", Steps: []jobspec.Step{{Count: 1 + r.IntN(10), CPUMillis: 500 + r.IntN(2000), MemoryMB: 1000, EstimateMillis: 800}}}
}

func failingLongRunningJob(r *rand.Rand) *jobspec.Job {
	job := longRunningJob(r)
	job.Spec = "fail"
	job.Steps[0].EstimateMillis = int64(r.IntN(20000))
	return job
}

func (s *simulation) periodicJob(r *rand.Rand) *jobspec.Job {
	job := shortJob(r)
	job.Occurrences, job.IntervalMillis = 4, int64(500+r.IntN(4000))
	job.FirstRunMillis = s.now.UnixMilli() + int64(r.IntN(3000))
	return job
}

var seedFlag = flag.Uint64("liveness-seed", 0, "run only this seed of TestStartableTasksStart")

// defaultSeeds is the number of seeds of TestStartableTasksStart unless a flag says otherwise.
const defaultSeeds = 12

var seedsFlag = flag.Uint64("liveness-seeds", defaultSeeds, "number of seeds of TestStartableTasksStart")
var firstSeedFlag = flag.Uint64("liveness-first", 1, "first seed of TestStartableTasksStart")
var kindsFlag = flag.String("liveness-faults", "", "kinds of faults of TestStartableTasksStart, separated by commas; empty means by seed")

var firstTokenFlag = flag.Bool("liveness-first-token", false, "open each session of a term with the first token of the term")
var heldOrdersFlag = flag.Bool("liveness-held-orders", false, "let late orders reach the next incarnation of their worker")

var listedFlag = flag.Int("liveness-listed", testMaxListedEnds, "number of ends that a worker lists at a time; 0 means all")

// listedEnds are the limits with which seeds run that a fault has shown: each limit makes
// another day of a seed.
var listedEnds = []int{0, testMaxListedEnds}

// faultKinds are the kinds of faults that a day may have.
var faultKinds = map[string]func(s *simulation, day time.Duration){
	"capacity":  func(s *simulation, day time.Duration) { s.every(day, 2000, 8000, s.shrinkCapacity) },
	"crash":     func(s *simulation, day time.Duration) { s.every(day, 1000, 5000, func() { s.crashSome(false) }) },
	"clockstep": func(s *simulation, day time.Duration) { s.every(day, 1000, 5000, func() { s.crashSome(true) }) },
	"cut":       func(s *simulation, day time.Duration) { s.every(day, 3000, 9000, func() { s.cutSome(15000) }) },
	"unlist":    func(s *simulation, day time.Duration) { s.every(day, 3000, 9000, s.unlistSome) },
	"outage":    func(s *simulation, day time.Duration) { s.every(day, 5000, 12000, s.storeOutage) },
	"loss":      func(s *simulation, day time.Duration) { s.every(day, 4000, 9000, func() { s.loseMessages(0.3) }) },
	"sick":      func(s *simulation, day time.Duration) { s.every(day, 8000, 16000, s.sickWorkers) },
	"drain":     func(s *simulation, day time.Duration) { s.every(day, 6000, 12000, s.drainSome) },
	"leader":    func(s *simulation, day time.Duration) { s.every(day, 4000, 9000, s.startTerm) },
	"handover":  func(s *simulation, day time.Duration) { s.every(day, 1500, 6000, s.changeLeader) },
	"cancel":    func(s *simulation, day time.Duration) { s.every(day, 300, 1500, s.cancelSome) },
	"longtasks": func(s *simulation, day time.Duration) {
		s.every(day, 1000, 3000, func() { s.submit(longTasksJob(s.random), 0) })
	},
	"advice": func(s *simulation, day time.Duration) {
		s.every(day, 300, 1000, func() { s.submitWithAdvice(shortJob(s.random)) })
		s.every(day, 1000, 3000, func() { s.submitWithAdvice(bestEffortJob(s.random)) })
	},
	"failing": func(s *simulation, day time.Duration) {
		s.every(day, 300, 2500, func() { s.submit(failingJob(s.random), 0) })
	},
	"failinglong": func(s *simulation, day time.Duration) {
		s.every(day, 3000, 9000, func() { s.submit(failingLongRunningJob(s.random), 0) })
	},
	"deadly": func(s *simulation, day time.Duration) {
		s.every(day, 5000, 12000, func() {
			job := spreadJob(s.random)
			job.Spec = "crash"
			s.submit(job, 0)
		})
	},
}

// besideEarlierLeader is a kind of fault that a seed does not choose.
const besideEarlierLeader = "beside"

// nearWaits is a kind that a seed does not choose: tasks wait for racks.
const nearWaits = "nearwaits"

// Guards against an earlier leader that cannot reach the log any more and, beside the next
// one, starts a task that runs or is done.
func TestNothingRunsTwiceBesideEarlierLeader(t *testing.T) {
	t.Parallel()
	for kind, seeds := range map[string][]uint64{"crash": {2, 7, 34, 35, 94}, "loss": {12, 32, 35}, "cut": {19, 29}} {
		for _, seed := range seeds {
			for _, listed := range listedEnds {
				t.Run(fmt.Sprintf("%s, seed %d, listed %d", kind, seed, listed), func(t *testing.T) {
					t.Parallel()
					testLiveness(t, seed, besideEarlierLeader+","+kind, listed)
				})
			}
		}
	}
}

// A task that could run must be started soon, whatever faults have come before, and all
// jobs must end.
func TestStartableTasksStart(t *testing.T) {
	t.Parallel()
	first, count := *firstSeedFlag, *seedsFlag
	if *seedFlag > 0 {
		first, count = *seedFlag, 1
	}
	for seed := first; seed < first+count; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			testLiveness(t, seed, *kindsFlag, *listedFlag)
		})
	}
}

// Guards against sound workers that are excluded for long because many jobs that always
// fail ran on them.
func TestStartableTasksStartAmongFailingJobs(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1026, 1027, 1422, 1808, 2132, 2471, 2543} {
		for _, listed := range listedEnds {
			t.Run(fmt.Sprintf("seed %d, listed %d", seed, listed), func(t *testing.T) {
				t.Parallel()
				testLiveness(t, seed, "failing,failing", listed)
			})
		}
	}
}

// Guards against tasks that are offered again and again to workers that answer lease
// renewals but get no start order.
func TestStartableTasksStartBesideMuteWorkers(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newSimulation(t, seed, 10)
			s.startTerm()
			s.advance(time.Second)
			for _, w := range s.someWorkers()[:1] {
				w.mute = true
			}
			s.every(20*time.Second, 200, 800, s.submitAny)
			s.schedule(2*time.Second, s.watchLiveness)
			s.advance(60 * time.Second)
			s.checkAllEnded()
		})
	}
}

// Guards against long-running tasks of lost workers that find no room again once the leader
// has changed as well, while short jobs keep the other workers full.
func TestLongRunningTasksStartAfterLossOfWorkersAndLeader(t *testing.T) {
	t.Parallel()
	seeds := []uint64{2, 3}
	if *seedsFlag != defaultSeeds {
		seeds = nil
		for seed := *firstSeedFlag; seed < *firstSeedFlag+*seedsFlag; seed++ {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			testLossOfWorkersAndLeader(t, seed)
		})
	}
}

func testLossOfWorkersAndLeader(t *testing.T, seed uint64) {
	s := newSimulation(t, seed, 24)
	s.distance = 30 * time.Millisecond
	s.startTerm()
	s.advance(time.Second)
	submitLongRunning := func() {
		job := longRunningJob(s.random)
		job.Steps[0].CPUMillis /= 4
		s.submit(job, 0)
	}
	for range 10 {
		submitLongRunning()
	}
	const day = 30 * time.Second
	s.every(day, 20, 40, func() { s.submit(shortJob(s.random), 0) })
	s.every(day, 2000, 6000, submitLongRunning)
	s.schedule(s.millis(3000, 6000), func() {
		for _, i := range s.random.Perm(len(s.workers))[:2] {
			s.crash(s.workers[i], time.Hour)
		}
		s.schedule(s.millis(500, 1500), s.startTerm)
	})
	s.schedule(2*time.Second, s.watchLiveness)
	s.advance(60 * time.Second)
	s.checkAllEnded()
}

// testLiveness runs one simulated day with the given kinds of faults, separated by
// commas, or with some that the seed chooses. Workers list so many ends at a time, or all
// if that is 0.
func testLiveness(t *testing.T, seed uint64, faults string, listed int) {
	r := rand.New(rand.NewPCG(seed, 7))
	s := newSimulation(t, seed, 8+r.IntN(10))
	s.maxListedEnds = listed
	s.firstTokenOnly, s.heldOrdersReachNextIncarnation = *firstTokenFlag, *heldOrdersFlag
	kinds := strings.Split(faults, ",")
	if faults == "" {
		all := slices.Sorted(maps.Keys(faultKinds))
		kinds = nil
		for _, i := range r.Perm(len(all))[:1+r.IntN(4)] {
			kinds = append(kinds, all[i])
		}
	}
	t.Logf("%d workers, faults %v", len(s.workers), kinds)
	s.startTerm()
	s.advance(time.Second)
	const day = 40 * time.Second
	for range r.IntN(5) {
		s.submit(longRunningJob(s.random), 0)
	}
	perSecond := 1 + r.IntN(3)
	s.every(day, 500/perSecond, 1500/perSecond, func() { s.submitAny() })
	for _, kind := range kinds {
		if kind == besideEarlierLeader {
			s.every(day, 5000, 16000, s.startTermBesideEarlier)
			continue
		}
		if kind == nearWaits {
			s.nearWait, s.cell.config.NearWait = nearplace.MaxWait, nearplace.MaxWait
			continue
		}
		if departs := departureKinds[kind]; departs != nil {
			departs(s, day)
			continue
		}
		faultKinds[kind](s, day)
	}
	s.schedule(2*time.Second, s.watchLiveness)
	s.advance(day + 500*time.Millisecond)
	s.advance(110 * time.Second)
	s.checkAllEnded()
	s.checkNothingLeft()
}

// checkNothingLeft checks that no run of an ended job goes on.
func (s *simulation) checkNothingLeft() {
	for _, w := range s.workers {
		for id := range w.runs {
			if state, found := s.cell.Lookup(id.Job); !found || state.IsFinal() {
				s.t.Fatalf("task %v of an ended job still runs on %s: %s", id, w.info.ID, s.taskTrace(id))
			}
		}
	}
}

func (s *simulation) submitAny() {
	r := s.random
	switch r.IntN(12) {
	case 0:
		s.submit(gangJob(r), 0)
	case 1:
		s.submit(spreadJob(r), 0)
	case 2:
		s.submit(longTasksJob(r), 0)
	case 3:
		s.submit(s.periodicJob(r), 0)
	case 4, 5:
		job := shortJob(r)
		if r.IntN(3) == 0 {
			job = spreadJob(r)
			job.Steps[0].Label = "" // The policy might allow none of the labeled workers.
		}
		s.submitWithAdvice(job)
	case 6, 7:
		s.submit(bestEffortJob(r), 2)
	default:
		s.submit(shortJob(r), 0)
	}
}

// submitWithAdvice submits a job to a queue whose policy only the advice service knows.
func (s *simulation) submitWithAdvice(job *jobspec.Job) {
	s.submitWithTerms(job, QueueTerms{Queue: "a", Pool: "pool", Attempts: 4, Stretch: 2, ObjectiveMillis: 1000,
		Advice: &AdviceLatency{DecisionMillis: 40, PerWorkerMillis: 5}})
}
