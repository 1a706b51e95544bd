package cell

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarvalve/internal/process/jobspec"
)

// simulation drives a Cell against simple workers in virtual time. It checks
// after each event that no task runs twice, that none starts after it is done,
// and that no worker holds more than its capacity.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Time
	events  eventHeap
	counter int

	cell    *Cell
	epoch   int64
	workers []*simWorker
	stored  storedState
	// answered holds the requests that were answered.
	answered map[uint64]bool
	requests uint64
	starts   int
	done     map[TaskID]bool
	// writeDelay is how long a write takes.
	writeDelay time.Duration
	lossRate   float64
	// trace holds what was decided, for the report of a failure.
	trace []string
}

func (s *simulation) log(id TaskID, format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%v %.3f ", id, float64(s.now.UnixMicro()-1e9)/1e6)+fmt.Sprintf(format, args...))
}

// history returns the trace of one task.
func (s *simulation) history(id TaskID) string {
	lines := ""
	for _, line := range s.trace {
		if strings.HasPrefix(line, fmt.Sprint(id)) {
			lines += "\n" + line
		}
	}
	return lines
}

// storedState is what the log holds.
type storedState struct {
	jobs     map[jobspec.ID]JobRecord
	progress map[jobspec.ID]ProgressRecord
	workers  map[WorkerID]WorkerInfo
}

type simWorker struct {
	info  WorkerInfo
	token int64
	// session is the token that the leader uses now.
	session int64
	// timed is the token under which the worker's clock was read.
	timed  int64
	born   int64
	runs   map[TaskID]*simRun
	ended  []End
	number int64
	seen   int64
	// highest is the highest run that ended or was stopped, for each task.
	highest map[TaskID]int64
	dead    bool
}

type simRun struct {
	run  int64
	end  time.Time
	size Size
	spec *jobspec.Step
}

type simEvent struct {
	at    time.Time
	order int
	do    func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

const testLease = 4500 * time.Millisecond

func newSimulation(t *testing.T, seed uint64, workers int) *simulation {
	s := &simulation{
		t:          t,
		random:     rand.New(rand.NewPCG(seed, 1)),
		now:        time.UnixMilli(1_000_000),
		answered:   map[uint64]bool{},
		done:       map[TaskID]bool{},
		writeDelay: 5 * time.Millisecond,
		stored: storedState{
			jobs:     map[jobspec.ID]JobRecord{},
			progress: map[jobspec.ID]ProgressRecord{},
			workers:  map[WorkerID]WorkerInfo{},
		},
	}
	for i := range workers {
		s.workers = append(s.workers, &simWorker{
			info: WorkerInfo{
				ID: WorkerID(fmt.Sprintf("w%03d", i)), Pool: "pool", Rack: fmt.Sprintf("r%d", i/8),
				Capacity: Size{CPU: 32000, MemoryMB: 128000},
			},
			runs:    map[TaskID]*simRun{},
			highest: map[TaskID]int64{},
			born:    1,
		})
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.counter++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.counter, do})
}

// lead begins a term from what is stored.
func (s *simulation) lead() {
	s.epoch += 3
	c := New(Config{Epoch: s.epoch, RecoveryWait: 8 * time.Second, KeepEnded: time.Minute,
		Lease: testLease, RemoteFactor: 2})
	var jobs []JobRecord
	for _, job := range s.stored.jobs {
		jobs = append(jobs, job)
	}
	var progress []ProgressRecord
	for _, record := range s.stored.progress {
		progress = append(progress, record)
	}
	var workers []WorkerInfo
	for _, info := range s.stored.workers {
		workers = append(workers, info)
	}
	c.Restore(s.now, jobs, progress, workers)
	s.cell = c
	var infos []WorkerInfo
	for _, w := range s.workers {
		infos = append(infos, w.info)
		w.session = s.epoch * 1000
		s.after(time.Millisecond, func() { s.hold(c, w, w.session) })
	}
	c.Register(s.now, infos)
	s.tick(c)
	s.take(c)
}

func (s *simulation) tick(c *Cell) {
	if c != s.cell {
		return
	}
	c.Tick(s.now)
	s.take(c)
	s.after(100*time.Millisecond, func() { s.tick(c) })
}

// hold asks a worker for a report, and again after its wait.
func (s *simulation) hold(c *Cell, w *simWorker, token int64) {
	if c != s.cell || token < w.session {
		return
	}
	again := 800 * time.Millisecond
	sent := s.now
	if w.dead {
		s.after(again, func() {
			if c == s.cell {
				c.Silent(s.now, w.info.ID, time.Time{})
				s.take(c)
			}
			s.hold(c, w, token)
		})
		return
	}
	if token < w.token {
		return
	}
	w.token = token
	if s.random.Float64() < s.lossRate {
		s.after(again, func() {
			if c == s.cell {
				c.Silent(s.now, w.info.ID, sent.Add(testLease))
				s.take(c)
			}
			s.hold(c, w, token)
		})
		return
	}
	report := Report{Worker: w.info.ID, Born: w.born, Sent: sent, Token: token}
	if w.timed == token {
		report.LeaseUntil = s.now.Add(testLease)
	}
	w.timed = token // The clock is known from now on.
	for id, run := range w.runs {
		gauge := run.spec.CPU
		if run.spec.TargetMillis > 0 {
			gauge = 7
		}
		report.Running = append(report.Running, Row{Task: id, Run: run.run, Percent: 50, Gauge: gauge})
	}
	for _, end := range w.ended {
		if end.Number > w.seen {
			report.Ended = append(report.Ended, end)
		}
	}
	s.after(2*time.Millisecond, func() {
		if c == s.cell {
			c.Report(s.now, report)
			s.take(c)
		}
	})
	s.after(again/4, func() { s.hold(c, w, token) })
}

func (s *simulation) worker(id WorkerID) *simWorker {
	for _, w := range s.workers {
		if w.info.ID == id {
			return w
		}
	}
	s.t.Fatalf("no worker %s", id)
	return nil
}

// take carries out the effects of the cell.
func (s *simulation) take(c *Cell) {
	effects := c.Take(s.now)
	for _, note := range effects.Notes {
		s.log(note.Task, "%s run %d %s %s", note.Event, note.Run, note.Worker, note.Outcome)
	}
	for _, order := range effects.Starts {
		s.log(order.Task, "ordered run %d on %s, term %d", order.Run, order.Worker, s.epoch)
		s.start(c, order)
	}
	for _, order := range effects.Stops {
		s.after(s.delay(), func() { s.stop(order) })
	}
	for _, ack := range effects.Acks {
		if w := s.worker(ack.Worker); w.born == ack.Born {
			w.seen = max(w.seen, ack.Number)
		}
	}
	for _, id := range effects.Settle {
		w := s.worker(id)
		w.session++
		s.after(0, func() { s.hold(c, w, w.session) })
	}
	for _, request := range effects.Done {
		s.answered[request] = true
	}
	if write := effects.Write; write != nil {
		s.after(s.writeDelay, func() { s.store(c, *write) })
	}
}

func (s *simulation) delay() time.Duration {
	return time.Duration(500+s.random.IntN(2000)) * time.Microsecond
}

func (s *simulation) store(c *Cell, write Write) {
	if c != s.cell {
		return // Fenced off.
	}
	for _, job := range write.Jobs {
		s.stored.jobs[job.ID] = job
	}
	for _, progress := range write.Progress {
		s.stored.progress[progress.ID] = progress
	}
	for _, info := range write.Workers {
		s.stored.workers[info.ID] = info
	}
	for _, id := range write.Dropped {
		delete(s.stored.jobs, id)
		delete(s.stored.progress, id)
	}
	c.Stored(write.Number)
	s.take(c)
}

// start carries a start order to its worker. Some answers are lost.
func (s *simulation) start(c *Cell, order StartOrder) {
	token := s.worker(order.Worker).session
	late := time.Duration(0)
	outcome := StartAccepted
	if s.random.Float64() < s.lossRate {
		outcome = StartUnknown
		late = time.Duration(s.random.IntN(8)) * time.Second
	}
	w := s.worker(order.Worker)
	s.after(s.delay()+late, func() {
		switch {
		case w.dead:
			outcome = StartUnknown
		case token < w.token || late > testLease || !s.run(w, order):
			if outcome == StartAccepted {
				outcome = StartRefused
			}
		}
	})
	s.after(s.delay()+4*time.Millisecond, func() {
		if c != s.cell {
			return
		}
		if w.dead {
			outcome = StartUnknown
		}
		c.StartResult(s.now, StartResult{Worker: order.Worker, Task: order.Task, Run: order.Run, Outcome: outcome,
			Refusal: RefusedOldRun, Token: token, LeaseUntil: s.now.Add(testLease)})
		s.take(c)
	})
}

func (s *simulation) run(w *simWorker, order StartOrder) bool {
	if known := w.runs[order.Task]; known != nil {
		return known.run == order.Run
	}
	if order.Run <= w.highest[order.Task] {
		return false
	}
	spec := &s.stored.jobs[order.Task.Job].Job.Steps[order.Task.Step]
	size := Size{CPU: spec.CPU, MemoryMB: spec.MemoryMB}
	if spec.Fills {
		size.CPU = 0
	}
	run := &simRun{run: order.Run, size: size, spec: spec}
	took := time.Duration(float64(spec.EstimateMillis)*(0.5+s.random.Float64())) * time.Millisecond
	run.end = s.now.Add(took)
	w.runs[order.Task] = run
	s.starts++
	s.log(order.Task, "began run %d on %s", order.Run, w.info.ID)
	s.check(order.Task)
	if !spec.LongRunning {
		born := w.born
		s.after(took, func() {
			if w.born == born && !w.dead {
				s.end(w, order.Task, order.Run, EndDone)
			}
		})
	}
	return true
}

func (s *simulation) end(w *simWorker, id TaskID, run int64, how How) {
	known := w.runs[id]
	if known == nil || known.run != run {
		return
	}
	delete(w.runs, id)
	w.highest[id] = max(w.highest[id], run)
	w.number++
	w.ended = append(w.ended, End{Number: w.number, Task: id, Run: run, How: how})
	s.log(id, "ended run %d on %s %s", run, w.info.ID, how)
	if how == EndDone {
		s.done[id] = true
	}
}

func (s *simulation) stop(order StopOrder) {
	w := s.worker(order.Worker)
	if w.dead {
		return
	}
	w.highest[order.Task] = max(w.highest[order.Task], order.Run)
	s.end(w, order.Task, order.Run, EndStopped)
}

// check holds the guarantees at the start of a task.
func (s *simulation) check(id TaskID) {
	spec := s.stored.jobs[id.Job].Job.Steps[id.Step]
	running := 0
	for _, w := range s.workers {
		used := Size{}
		for other, run := range w.runs {
			used = used.plus(run.size)
			if other == id && !w.dead {
				running++
			}
		}
		assert.Assert(s.t, w.info.Capacity.fits(used), "%s holds %v", w.info.ID, used)
	}
	if running > 1 && !spec.Speculative {
		s.t.Fatalf("%v runs %d times: %s", id, running, s.history(id))
	}
	if s.done[id] && !spec.Speculative {
		s.t.Fatalf("%v started after it was done: %s", id, s.history(id))
	}
}

// crash ends a worker; it comes back as another life.
func (s *simulation) crash(w *simWorker, down time.Duration) {
	if w.dead {
		return
	}
	w.dead = true
	for id := range w.runs {
		delete(w.runs, id)
	}
	for _, end := range w.ended {
		if end.Number > w.seen {
			delete(s.done, end.Task) // Nobody knows that it is done.
		}
	}
	s.after(down, func() {
		w.dead = false
		w.born++
		w.token = 0
		w.number, w.seen = 0, 0
		w.ended = nil
		w.highest = map[TaskID]int64{}
	})
}

func (s *simulation) submit(job *jobspec.Job, priority int) jobspec.ID {
	s.requests++
	id := jobspec.ID(fmt.Sprintf("%016x", s.requests))
	s.cell.Submit(s.now, s.requests, id, job, Terms{Queue: "q", Pool: "pool", Priority: priority, Attempts: 4, Stretch: 2, ObjectiveMillis: 1000})
	s.take(s.cell)
	return id
}

// runUntil plays all events up to a time.
func (s *simulation) runUntil(end time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(simEvent)
		s.now = next.at
		next.do()
	}
	s.now = end
}

func (s *simulation) advance(d time.Duration) { s.runUntil(s.now.Add(d)) }

func shortJob(r *rand.Rand) *jobspec.Job {
	return &jobspec.Job{Steps: []jobspec.Step{
		{Count: 1 + r.IntN(12), CPU: 500 + r.IntN(4000), MemoryMB: 4000, EstimateMillis: 800, Speculative: r.IntN(3) == 0},
		{Count: 1 + r.IntN(4), CPU: 500 + r.IntN(4000), MemoryMB: 4000, EstimateMillis: 800, After: []int{0}},
	}}
}

func fillingJob(r *rand.Rand) *jobspec.Job {
	return &jobspec.Job{Steps: []jobspec.Step{
		{Count: 2 + r.IntN(14), CPU: 1500 + r.IntN(4000), MemoryMB: 6400, EstimateMillis: 2700, Fills: true,
			Image: fmt.Sprintf("fill%d", r.IntN(9)), Checkpointing: true},
		{Count: 2 + r.IntN(14), CPU: 1500 + r.IntN(4000), MemoryMB: 6400, EstimateMillis: 2700, Fills: true, After: []int{0},
			Image: fmt.Sprintf("fill%d", r.IntN(9)), Checkpointing: true},
	}}
}

func lastingJob(r *rand.Rand) *jobspec.Job {
	return &jobspec.Job{Steps: []jobspec.Step{{Count: 1 + r.IntN(11), CPU: 4000 + r.IntN(5000), MemoryMB: 13000,
		LongRunning: true, Image: fmt.Sprintf("serve%d", r.IntN(5)), TargetMillis: 18}}}
}

// load submits a mix of jobs for a time.
func (s *simulation) load(d time.Duration, perSecond int) {
	for i := range int(d.Seconds() * float64(perSecond)) {
		s.after(time.Duration(i)*time.Second/time.Duration(perSecond), func() {
			if s.random.IntN(2) == 0 {
				s.submit(shortJob(s.random), 0)
				return
			}
			s.submit(fillingJob(s.random), 2)
		})
	}
}

// Guards against runs that are doubled, lost or too large while workers crash,
// answers are lost and leaders change.
func TestRandomFaultsKeepTheGuarantees(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { randomFaults(t, seed) })
	}
}

func randomFaults(t *testing.T, seed uint64) {
	s := newSimulation(t, seed, 12)
	s.lossRate = 0.03
	s.lead()
	s.advance(time.Second)
	for range 6 {
		s.submit(lastingJob(s.random), 0)
	}
	s.load(20*time.Second, 3)
	for i := range 5 {
		s.after(time.Duration(3*i+2)*time.Second, func() {
			s.crash(s.workers[s.random.IntN(len(s.workers))], 3*time.Second)
		})
		s.after(time.Duration(4*i+3)*time.Second+time.Duration(s.random.IntN(900))*time.Millisecond, s.lead)
	}
	s.advance(90 * time.Second)
	s.allEnded()
}

// allEnded checks that each stored job that can end has ended.
func (s *simulation) allEnded() {
	for id, job := range s.stored.jobs {
		state, found := s.cell.Lookup(id)
		assert.Assert(s.t, found, "job %s is lost", id)
		if job.Job.Steps[0].LongRunning {
			assert.Equal(s.t, state, Running)
			continue
		}
		if state != Completed {
			s.t.Fatalf("job %s is %v: %s", id, state, s.unfinished(id))
		}
	}
}

// unfinished returns the trace of the tasks of a job that aren't done.
func (s *simulation) unfinished(id jobspec.ID) string {
	lines := ""
	for _, o := range s.cell.jobs[id].occurrences {
		for _, step := range o.steps {
			for _, t := range step.tasks {
				if !t.done {
					lines += fmt.Sprintf("\n%v queued %v runs %d open %v %s", t.id(), t.queued, len(t.runs), step.open, s.history(t.id()))
				}
			}
		}
	}
	return lines
}

// Measures the decisions of one second of the permit desk's load.
func BenchmarkSecondOfLoad(b *testing.B) {
	s := newSimulation(&testing.T{}, 1, 48)
	s.lead()
	s.advance(time.Second)
	for range 40 {
		s.submit(lastingJob(s.random), 0)
	}
	s.load(time.Duration(b.N+1)*time.Second, 10)
	b.ResetTimer()
	for range b.N {
		s.advance(time.Second)
	}
	b.ReportMetric(float64(s.starts)/float64(b.N), "starts/op")
}
