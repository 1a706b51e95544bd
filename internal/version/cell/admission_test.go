package cell

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
	"poplarvalve/internal/version/overload"
)

// loadModel runs a cell against a fleet and callers in virtual time. Runs take a random time
// around what the caller's estimate says, and callers that are refused return when they are told.
type loadModel struct {
	t        *testing.T
	random   *rand.Rand
	now      time.Time
	cell     *Cell
	epoch    int64
	on       bool
	workers  []*modelWorker
	stored   storedState
	due      map[int64][]func()
	jobs     map[jobspec.ID]*modelJob
	leading  bool
	requests uint64
	// runAnyway is the share of refused jobs that are accepted to see what becomes of them.
	runAnyway float64
	ratios    []float64
	readyMost int
	// used is the CPU in use at each step.
	used []int
}

type modelWorker struct {
	info    WorkerInfo
	running map[TaskID]int64
	ended   []RunEnd
	number  int64
	changed bool
}

// modelJob is one job of a caller.
type modelJob struct {
	id    jobspec.ID
	spec  jobspec.Job
	terms QueueTerms
	work  float64
	// objective is counted from the acceptance.
	objective             time.Duration
	first, accepted, done time.Time
	attempts, refusals    int
	longestWait           time.Duration
	forced                bool
}

const (
	modelStep      = 20 * time.Millisecond
	modelWorkers   = 20
	modelCores     = 64
	modelAttempts  = 5
	interactiveCPU = 8000
)

func newLoadModel(t *testing.T, seed uint64, on bool) *loadModel {
	m := &loadModel{t: t, random: rand.New(rand.NewPCG(seed, 5)), now: testStart, on: on, due: map[int64][]func(){}, jobs: map[jobspec.ID]*modelJob{},
		stored: storedState{jobs: map[jobspec.ID]JobRecord{}, progress: map[string]ProgressRecord{}, workers: map[WorkerID]WorkerInfo{}}}
	for i := range modelWorkers {
		info := testInfo(WorkerID(fmt.Sprintf("w%03d", i)))
		info.Capacity, info.Incarnation = Size{CPU: modelCores * 1000, MemoryMB: 1 << 20}, 1
		m.workers = append(m.workers, &modelWorker{info: info, running: map[TaskID]int64{}})
	}
	m.takeOver()
	m.advance(time.Second)
	return m
}

// takeOver lets a new leader begin with what is stored.
func (m *loadModel) takeOver() {
	m.epoch++
	m.leading = true
	m.cell = New(Config{Epoch: m.epoch, RecoveryWait: 6 * time.Second, MaxEarlierLease: testLease, EndedJobRetention: time.Hour, RemoteFactor: 1, RefuseHopeless: m.on})
	var jobs []JobRecord
	for _, id := range sortedKeys(m.stored.jobs) {
		jobs = append(jobs, m.stored.jobs[id])
	}
	var progress []ProgressRecord
	for _, key := range sortedKeys(m.stored.progress) {
		progress = append(progress, m.stored.progress[key])
	}
	var workers []WorkerInfo
	for _, id := range sortedKeys(m.stored.workers) {
		workers = append(workers, m.stored.workers[id])
	}
	m.cell.Restore(m.now, jobs, progress, workers)
	for _, w := range m.workers {
		w.changed = true
	}
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	var keys []K
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// loseLeader leaves the cell without a leader for a time.
func (m *loadModel) loseLeader(d time.Duration) {
	m.leading = false
	m.after(d, m.takeOver)
}

func (m *loadModel) after(d time.Duration, callback func()) {
	at := m.now.Add(d).UnixNano() / int64(modelStep)
	m.due[at] = append(m.due[at], callback)
}

func (m *loadModel) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.step()
	}
}

func (m *loadModel) step() {
	m.now = m.now.Add(modelStep)
	at := m.now.UnixNano() / int64(modelStep)
	callbacks := m.due[at]
	delete(m.due, at)
	for _, callback := range callbacks {
		callback()
	}
	m.used = append(m.used, m.usedCPU())
	if !m.leading {
		return
	}
	if at%5 == 0 {
		var infos []WorkerInfo
		for _, w := range m.workers {
			infos = append(infos, w.info)
		}
		m.cell.UpdateWorkers(m.now, infos)
		m.cell.TermRenewed(m.now)
		m.cell.Tick(m.now)
	}
	for i, w := range m.workers {
		if w.changed || (at+int64(i))%10 == 0 {
			m.report(w)
		}
	}
	m.applyEffects()
}

func (m *loadModel) usedCPU() int {
	used := 0
	for _, w := range m.workers {
		for id := range w.running {
			used += m.jobs[id.Job].spec.Steps[id.Step].CPUMillis
		}
	}
	return used
}

// usedShare returns the mean share of the fleet in use.
func (m *loadModel) usedShare(from, to time.Duration) float64 {
	total := 0
	steps := m.used[from/modelStep : to/modelStep]
	for _, used := range steps {
		total += used
	}
	return float64(total) / float64(len(steps)*modelWorkers*modelCores*1000)
}

func (m *loadModel) report(w *modelWorker) {
	w.changed = false
	report := newReport(w.info.ID, m.now)
	report.Incarnation, report.Ended = 1, slices.Clone(w.ended)
	for id, run := range w.running {
		report.Running = append(report.Running, RunReport{Task: id, Run: run, Percent: 100, Measurement: 1})
	}
	slices.SortFunc(report.Running, func(a, b RunReport) int { return a.Task.compare(b.Task) })
	m.cell.ApplyReport(m.now, report)
}

func (id TaskID) compare(other TaskID) int {
	return cmp.Or(cmp.Compare(id.Job, other.Job), cmp.Compare(id.Step, other.Step), cmp.Compare(id.Index, other.Index))
}

func (m *loadModel) applyEffects() {
	effects := m.cell.TakeEffects(m.now)
	if write := effects.Write; write != nil {
		m.stored.apply(*write)
		m.cell.MarkStored(m.now, write.Number)
	}
	m.ratios = append(m.ratios, effects.CompletionRatios...)
	m.readyMost = max(m.readyMost, len(m.cell.readyTasks))
	for _, event := range effects.Events {
		if j := m.jobs[event.Task.Job]; j != nil && event.Event == "job ended" && event.Outcome == Completed.String() {
			j.done = m.now
		}
	}
	for _, ack := range effects.Acknowledgements {
		w := m.worker(ack.Worker)
		w.ended = slices.DeleteFunc(w.ended, func(end RunEnd) bool { return end.Number <= ack.Number })
	}
	for _, order := range effects.Starts {
		w := m.worker(order.Worker)
		w.running[order.Task] = order.Run
		m.cell.ApplyStartResult(m.now, StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: StartAccepted, LeaseUntil: m.now.Add(testLease)})
		j := m.jobs[order.Task.Job]
		if j == nil || j.spec.Steps[order.Task.Step].LongRunning {
			continue
		}
		estimate := float64(j.spec.Steps[order.Task.Step].EstimateMillis)
		duration := time.Duration(estimate*(0.8+0.6*m.random.Float64())) * time.Millisecond
		m.after(max(duration, modelStep), func() { m.endRun(w, order.Task, order.Run, EndSucceeded) })
	}
	for _, order := range effects.Stops {
		m.after(modelStep, func() { m.endRun(m.worker(order.Worker), order.Task, order.Run, EndStopped) })
	}
}

func (m *loadModel) worker(id WorkerID) *modelWorker {
	return m.workers[slices.IndexFunc(m.workers, func(w *modelWorker) bool { return w.info.ID == id })]
}

func (m *loadModel) endRun(w *modelWorker, id TaskID, run int64, reason EndReason) {
	if w.running[id] != run {
		return
	}
	delete(w.running, id)
	w.number++
	w.ended = append(w.ended, RunEnd{Number: w.number, Task: id, Run: run, Reason: reason})
	w.changed = true
}

// submit sends a job until it is accepted, or its caller gives up.
func (m *loadModel) submit(j *modelJob) {
	j.attempts++
	if !m.leading {
		if j.attempts < modelAttempts {
			m.after(time.Second, func() { m.submit(j) })
		}
		return
	}
	m.requests++
	result := m.cell.Submit(m.now, m.requests, j.id, &j.spec, j.terms)
	if result != SubmitRefused {
		j.accepted = m.now
		return
	}
	j.refusals++
	if m.random.Float64() < m.runAnyway {
		j.forced, j.accepted = true, m.now
		m.cell.SubmitInDoubt(m.now, m.requests, j.id, &j.spec, j.terms)
		return
	}
	wait := m.cell.RefusalWait(m.now, j.id)
	j.longestWait = max(j.longestWait, wait)
	if j.attempts < modelAttempts {
		m.after((wait + time.Second - 1).Truncate(time.Second), func() { m.submit(j) })
	}
}

// interactiveJob returns a job of one or two steps of ten tasks.
func (m *loadModel) interactiveJob(queue string) *modelJob {
	j := &modelJob{terms: QueueTerms{Queue: queue, Pool: "pool", Attempts: 3, Stretch: 1.5, ObjectiveMillis: 600}}
	m.addStep(j, jobspec.Step{Count: 10, CPUMillis: interactiveCPU, MemoryMB: 100, Image: "interactive"}, 500, 1000)
	if m.random.Float64() < 0.6 {
		m.addStep(j, jobspec.Step{Count: 10, CPUMillis: interactiveCPU, MemoryMB: 100, Image: "interactive", DependsOn: []int{0}}, 500, 1000)
	}
	return m.finishJob(j)
}

// batchJob returns a best-effort job of two steps of 20 tasks.
func (m *loadModel) batchJob(queue string) *modelJob {
	j := &modelJob{terms: QueueTerms{Queue: queue, Pool: "pool", Priority: 2, Attempts: 3, Stretch: 2, ObjectiveMillis: 1000}}
	for i := range 2 {
		m.addStep(j, jobspec.Step{Count: 20, CPUMillis: 7000, MemoryMB: 100, Image: "batch", BestEffort: true, Checkpointing: true, DependsOn: []int{0}[:i]}, 2300, 2700)
	}
	return m.finishJob(j)
}

func (m *loadModel) addStep(j *modelJob, step jobspec.Step, shortest, longest int) {
	step.EstimateMillis = int64(shortest + m.random.IntN(longest-shortest))
	j.spec.Steps = append(j.spec.Steps, step)
	j.work += float64(step.Count*step.CPUMillis) * 1.1 * float64(step.EstimateMillis)
}

func (m *loadModel) finishJob(j *modelJob) *modelJob {
	j.id, j.first = jobspec.ID(fmt.Sprintf("%016x", len(m.jobs)+1)), m.now
	chain := 0.0
	for _, step := range j.spec.Steps {
		chain += float64(step.EstimateMillis)
	}
	j.objective = time.Duration(j.terms.Stretch*chain+float64(j.terms.ObjectiveMillis)) * time.Millisecond
	m.jobs[j.id] = j
	return j
}

// offer lets jobs arrive for a time at a multiple of the room.
func (m *loadModel) offer(from, to time.Duration, load float64, queues int, newJob func(queue string) *modelJob) {
	const room = modelWorkers * modelCores * 1000
	owed := 0.0
	for at := from; at < to; at += modelStep {
		m.after(at, func() {
			for owed += load * room * float64(modelStep.Milliseconds()); owed > 0; {
				j := newJob(fmt.Sprint("q", m.random.IntN(queues)))
				owed -= j.work
				m.submit(j)
			}
		})
	}
}

// modelResult sums up what became of jobs.
type modelResult struct {
	jobs, refused, failed int
	// value is the value served, as a share of all, counted from the acceptance, and fromFirst
	// the same counted from the first attempt.
	value, fromFirst, inTime float64
	longestWait              time.Duration
}

func (m *loadModel) result(counts func(*modelJob) bool) modelResult {
	var r modelResult
	total := 0.0
	for _, j := range m.jobs {
		if j.forced || !counts(j) {
			continue
		}
		total += j.work
		r.jobs++
		r.refused += j.refusals
		r.longestWait = max(r.longestWait, j.longestWait)
		if j.accepted.IsZero() {
			r.failed++
		}
		r.value += j.work * j.value(j.accepted)
		r.fromFirst += j.work * j.value(j.first)
		if j.value(j.accepted) == 1 {
			r.inTime += j.work
		}
	}
	r.value, r.fromFirst, r.inTime = r.value/total, r.fromFirst/total, r.inTime/total
	return r
}

func allJobs(*modelJob) bool { return true }

// value returns the value of a job whose objective is counted from a time.
func (j *modelJob) value(from time.Time) float64 {
	switch took := j.done.Sub(from); {
	case j.done.IsZero():
		return 0
	case took <= j.objective:
		return 1
	case took <= lateFactor*j.objective:
		return 0.15
	}
	return 0
}

// bursts offers what the users saw: overlapping bursts of 3.6 and 2.4 times the room beside an
// ordinary load.
func (m *loadModel) bursts() {
	m.offer(0, 60*time.Second, 0.5, 8, m.interactiveJob)
	m.offer(0, 60*time.Second, 0.15, 4, m.batchJob)
	m.offer(10*time.Second, 25*time.Second, 3.6, 8, m.interactiveJob)
	m.offer(20*time.Second, 35*time.Second, 2.4, 8, m.interactiveJob)
}

// Guards against jobs that all become late because more are accepted than the fleet can run,
// also while a leader is lost, and against a mechanism that doesn't pay: the value served must
// rise by a third. Callers are never told to wait for longer than overload.MaxWait.
func TestValueServedUnderOverlappingBursts(t *testing.T) {
	for name, lose := range map[string]bool{"leader stays": false, "leader lost": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var results [2]modelResult
			var most [2]int
			for i, on := range []bool{false, true} {
				m := newLoadModel(t, 1, on)
				m.bursts()
				if lose {
					m.after(18*time.Second, func() { m.loseLeader(2 * time.Second) })
				}
				m.advance(90 * time.Second)
				results[i], most[i] = m.result(allJobs), m.readyMost
				t.Logf("on %v: %+v, at most %d tasks ready", on, results[i], most[i])
				m.logAccuracy()
				t.Logf("share of the fleet in use during the bursts: %.2f", m.usedShare(10*time.Second, 35*time.Second))
			}
			off, on := results[0], results[1]
			assert.Equal(t, off.refused, 0)
			assert.Assert(t, on.value >= 4*off.value/3, "%.3f with refusals, %.3f without", on.value, off.value)
			assert.Assert(t, on.fromFirst > off.fromFirst, "from the first attempt %.3f with refusals, %.3f without", on.fromFirst, off.fromFirst)
			assert.Assert(t, on.longestWait <= overload.MaxWait)
			assert.Assert(t, most[1] < most[0], "%d tasks ready with refusals, %d without", most[1], most[0])
		})
	}
}

// logAccuracy prints how the forecasts compare with what jobs took.
func (m *loadModel) logAccuracy() {
	if len(m.ratios) > 0 {
		slices.Sort(m.ratios)
		m.t.Logf("actual over expected time to completion: median %.2f, 95th percentile %.2f", m.ratios[len(m.ratios)/2], m.ratios[len(m.ratios)*95/100])
	}
}

// Guards against refusals while the fleet has room for all, for which callers wait in vain.
func TestNothingIsRefusedBelowTheRoom(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		m := newLoadModel(t, seed, true)
		m.offer(0, 40*time.Second, 0.9, 8, m.interactiveJob)
		m.advance(50 * time.Second)
		r := m.result(allJobs)
		t.Logf("seed %d: %+v", seed, r)
		assert.Equal(t, r.refused, 0)
	}
}

// hogBound is the share by which one queue at a hundred times its load may raise the refusals of
// the jobs of the others.
const hogBound = 0.01

// Guards against one queue that takes the capacity of the others. They ask for 0.3 of the room
// between them, and one of them multiplies its part by a hundred.
func TestOneQueueAtHundredTimesItsLoadLeavesOthersTheirShare(t *testing.T) {
	t.Parallel()
	var values [2]float64
	for i, factor := range []float64{1, 100} {
		m := newLoadModel(t, 1, true)
		const queues, each = 8, 0.04
		for q := range queues {
			load := each
			if q == 0 {
				load *= factor
			}
			m.offer(0, 20*time.Second, load, 1, func(string) *modelJob { return m.interactiveJob(fmt.Sprint("queue", q)) })
		}
		m.advance(30 * time.Second)
		r := m.result(func(j *modelJob) bool { return j.terms.Queue != "queue0" })
		t.Logf("factor %.0f: %+v", factor, r)
		assert.Assert(t, float64(r.refused) <= hogBound*float64(r.jobs), "%d of %d refused", r.refused, r.jobs)
		values[i] = r.value
	}
	assert.Assert(t, values[1] >= 0.8*values[0], "%.3f beside the hog, %.3f without", values[1], values[0])
}

// Guards against refusals that hindsight calls wrong: a tenth of the fleet was idle long enough,
// before the job would have lost its value. The target is 1% of them. Also prints what becomes of
// refused jobs that are accepted all the same, and what that adds to the value served in all.
func TestRefusalsInHindsight(t *testing.T) {
	t.Parallel()
	var served [2]float64
	var tried, idle, full, part int
	work := 0.0
	for seed := range uint64(2) {
		for i, share := range []float64{0, 0.1} {
			m := newLoadModel(t, seed+1, true)
			m.runAnyway = share
			m.bursts()
			m.advance(90 * time.Second)
			for _, id := range sortedKeys(m.jobs) {
				j := m.jobs[id]
				value := j.value(j.accepted)
				served[i] += j.work * value
				if !j.forced {
					continue
				}
				tried++
				work += j.work
				if value == 1 {
					full++
				} else if value > 0 {
					part++
				}
				if m.wasIdle(j.accepted, lateFactor*j.objective) {
					idle++
				}
			}
		}
	}
	t.Logf("of %d refused jobs that were accepted all the same %d had their full value and %d a part; for %d a tenth of the fleet was idle in time", tried, full, part, idle)
	t.Logf("they changed the value served by %+.1f%% of their work", 100*(served[1]-served[0])/work)
	assert.Assert(t, tried >= 500)
	assert.Assert(t, idle*100 <= tried, "%d of %d refused although the fleet became idle in time", idle, tried)
}

// wasIdle reports whether a tenth of the fleet was idle for the objective of the shortest jobs
// within a time.
func (m *loadModel) wasIdle(from time.Time, within time.Duration) bool {
	const chain = 750 * time.Millisecond
	first, last := from.Sub(testStart)/modelStep, (from.Add(within).Sub(testStart)-chain)/modelStep
	idle := 0
	for i := int(first); i < int(last) && i < len(m.used); i++ {
		if m.used[i] > modelWorkers*modelCores*900 {
			idle = 0
		} else if idle++; idle >= int(chain/modelStep) {
			return true
		}
	}
	return false
}

// Guards against a submission that is refused although an earlier attempt may have stored it, or
// although it was accepted, and against one that is accepted after its caller was told that it
// never runs.
func TestRefusalsAreTrue(t *testing.T) {
	m := newLoadModel(t, 1, true)
	m.offer(0, 10*time.Second, 4, 1, m.interactiveJob)
	m.advance(5 * time.Second)
	var refused, accepted *modelJob
	for _, id := range sortedKeys(m.jobs) {
		if j := m.jobs[id]; !j.accepted.IsZero() && j.done.IsZero() {
			accepted = j
		} else if j.accepted.IsZero() && m.now.Before(m.cell.refused.until[j.id]) {
			refused = j
		}
	}
	_, stored := m.stored.jobs[refused.id]
	assert.Assert(t, !stored && m.cell.jobs[refused.id] == nil)
	assert.Equal(t, m.cell.Submit(m.now, 1, accepted.id, &accepted.spec, accepted.terms), SubmitStored)
	m.cell.work.pools["pool"][reservedWork].free = 1e9
	assert.Equal(t, m.cell.Submit(m.now, 1, refused.id, &refused.spec, refused.terms), SubmitRefused, "a late attempt within the wait")
	assert.Equal(t, m.cell.SubmitInDoubt(m.now, 1, refused.id, &refused.spec, refused.terms), SubmitPending)
	service := jobspec.Job{Steps: []jobspec.Step{{Count: 1, CPUMillis: 13000, LongRunning: true}}}
	periodic := jobspec.Job{Steps: refused.spec.Steps, Occurrences: 2, IntervalMillis: 1000}
	for i, spec := range []*jobspec.Job{&service, &periodic} {
		assert.Equal(t, m.cell.Submit(m.now, 1, jobspec.ID(fmt.Sprintf("ff%014x", i)), spec, refused.terms), SubmitPending)
	}
}

// checkWork compares the running sums with a recount.
func (c *Cell) checkWork(t *testing.T) {
	t.Helper()
	type key struct {
		pool string
		kind workKind
		rank workRank
		g    workGroup
	}
	want, queues := map[key]workAmount{}, map[string]int64{}
	add := func(j *job, kind workKind, queued, running int64) {
		k := key{j.terms.Pool, kind, j.work.rank, j.work.group}
		want[k] = workAmount{want[k].queued + queued, want[k].running + running}
		if j.work.group != tooLateWork {
			queues[fmt.Sprint(j.terms.Pool, kind, j.terms.Queue)] += queued
		}
	}
	for _, j := range c.jobs {
		if j.state.IsFinal() {
			continue
		}
		if j.spec.Occurrences == 0 && len(j.occurrences) == 0 {
			for i, step := range j.spec.Steps {
				add(j, workKindOf(&step), int64(step.Count)*j.work.perTask[i], 0)
			}
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				for _, task := range s.tasks {
					switch work := j.work.perTask[s.index]; {
					case task.done:
					case len(task.runs) > 0:
						add(j, workKindOf(s.spec), 0, work)
					default:
						add(j, workKindOf(s.spec), work, 0)
					}
				}
			}
		}
	}
	for name, p := range c.work.pools {
		for kind := range p {
			running := int64(0)
			for _, sums := range p[kind].ranks {
				rank := sums.rank
				for g, got := range sums.groups {
					assert.Equal(t, got, want[key{name, workKind(kind), rank, workGroup(g)}], "%s %d %v %d", name, kind, rank, g)
					delete(want, key{name, workKind(kind), rank, workGroup(g)})
					running += got.running
				}
			}
			assert.Equal(t, p[kind].running, running)
			for queue, got := range p[kind].queued {
				assert.Equal(t, got, queues[fmt.Sprint(name, workKind(kind), queue)], "queue %s", queue)
			}
		}
	}
	for k, amount := range want {
		assert.Equal(t, amount, workAmount{}, "%v", k)
	}
}

// Guards against sums that drift from the work they stand for: a forecast by them would refuse
// jobs for work that is long done.
func TestWorkSumsEqualRecount(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		s := newSimulation(t, seed, 12)
		s.refuseHopeless, s.lossRate = true, 0.03
		s.startTerm()
		s.advance(time.Second)
		for range 4 {
			s.submit(longRunningJob(s.random), 0)
		}
		s.submitJobs(20*time.Second, 8)
		for i := range 4 {
			s.schedule(time.Duration(4*i+2)*time.Second, func() { s.crash(s.workers[s.random.IntN(len(s.workers))], 3*time.Second) })
			s.schedule(time.Duration(5*i+3)*time.Second, s.changeLeader)
		}
		for range 120 {
			s.advance(time.Duration(50+s.random.IntN(500)) * time.Millisecond)
			if open := s.openShortJobs(); len(open) > 0 && s.random.IntN(10) == 0 {
				s.cell.Cancel(s.now, 0, open[s.random.IntN(len(open))])
			}
			s.cell.checkWork(t)
		}
	}
}

// openShortJobs returns the jobs that have not ended and have no long-running tasks.
func (s *simulation) openShortJobs() []jobspec.ID {
	var open []jobspec.ID
	for _, id := range sortedKeys(s.cell.jobs) {
		if j := s.cell.jobs[id]; !j.state.IsFinal() && !j.spec.Steps[0].LongRunning {
			open = append(open, id)
		}
	}
	return open
}
